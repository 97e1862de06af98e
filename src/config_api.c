#include "config_api.h"

#include <string.h>

#include "operator_api.h"

static void
respond (operator_call_t *call, operator_response_t *response)
{
  operator_call_respond (call, (int)response->status, response->location, response->body);
  operator_response_clear (response);
}

static void
on_applied (void *data, const void *result)
{
  operator_response_t response = { 0 };
  if (result != NULL)
    operator_api_respond_result (result, &response);
  else
    operator_api_respond_unknown (&response);
  respond (data, &response);
}

static bool
propose (void *data, GBytes *command, void *tag)
{
  config_machine_t *machine = data;
  gsize size = 0;
  const uint8_t *bytes = g_bytes_get_data (command, &size);
  return replica_group_propose (machine->group, bytes, size, on_applied, tag, NULL);
}

/* Returns the URL of the leader if another member leads the group, or NULL. Free with g_free(). */
static char *
get_redirect_url (const config_api_t *api)
{
  char name[RAFT_NAME_SIZE];
  char peer_address[LINK_ADDRESS_SIZE];
  char operator_address[LINK_ADDRESS_SIZE];
  replica_group_get_leader_name (api->machine->group, name);
  replica_group_split_member_name (name, peer_address, operator_address);
  if (operator_address[0] == '\0' || api->machine->group->leading)
    return NULL;
  return g_strconcat (api->tls ? "https://" : "http://", operator_address, NULL);
}

/* Returns whether REQUEST reads the history. Only the leader can answer such a request with all
 * accepted versions, because a follower may lag behind. */
static bool
needs_leader (const operator_request_t *request)
{
  return strcmp (request->method, "GET") == 0
         && (g_str_has_prefix (request->path, "/v1/versions")
             || g_str_has_prefix (request->path, "/v1/records"));
}

static void
redirect (operator_call_t *call, const operator_request_t *request, const char *url)
{
  bool has_query = request->query != NULL;
  g_autofree char *location = g_strconcat (url, request->path, has_query ? "?" : "",
                                           has_query ? request->query : "", NULL);
  operator_call_respond (call, 307, location, "{\"error\":\"not the leader\"}\n");
}

void
config_api_handle (const config_api_t *api, operator_call_t *call,
                   const operator_request_t *request)
{
  operator_token_t token = { .token = api->token };
  g_autofree char *url = get_redirect_url (api);
  operator_api_t operator_api = {
    .store = api->machine->store,
    .rollout = api->rollout,
    .tokens = &token,
    .token_count = 1,
    .is_leader = api->machine->group->leading,
    .leader_url = url,
    .propose = propose,
    .data = api->machine,
  };
  operator_response_t response = { 0 };
  if (url != NULL && needs_leader (request))
    {
      redirect (call, request, url);
      return;
    }
  int64_t wall_ms = g_get_real_time () / 1000;
  if (operator_api_handle (&operator_api, request, wall_ms, call, &response))
    respond (call, &response);
}
