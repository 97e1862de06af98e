#include "group_api.h"

#include <string.h>

#include "json_util.h"

#define GROUPS_PATH "/v1/groups"

static void
respond_json (operator_call_t *call, int status, cJSON *body)
{
  char *text = cJSON_PrintUnformatted (body);
  operator_call_respond (call, status, NULL, text);
  cJSON_free (text);
  cJSON_Delete (body);
}

static void
respond_error (operator_call_t *call, int status, const char *text)
{
  cJSON *body = cJSON_CreateObject ();
  cJSON_AddStringToObject (body, "error", text);
  respond_json (call, status, body);
}

static void
add_hex_id (cJSON *object, const char *key, uint64_t id)
{
  char text[20];
  g_snprintf (text, sizeof (text), "%016" G_GINT64_MODIFIER "x", id);
  cJSON_AddStringToObject (object, key, text);
}

static cJSON *
members_to_json (const raft_status_t *status)
{
  cJSON *members = cJSON_CreateArray ();
  for (size_t i = 0; i < status->peer_count; i++)
    {
      const raft_peer_t *peer = &status->peers[i];
      cJSON *member = cJSON_CreateObject ();
      add_hex_id (member, "id", peer->member.id);
      cJSON_AddStringToObject (member, "name", peer->member.name);
      cJSON_AddBoolToObject (member, "voter", peer->member.voter);
      cJSON_AddNumberToObject (member, "match", (double)peer->match_index);
      cJSON_AddItemToArray (members, member);
    }
  return members;
}

static cJSON *
group_to_json (const replica_group_t *group)
{
  raft_status_t status;
  cJSON *object = cJSON_CreateObject ();
  cJSON_AddStringToObject (object, "group", group->options.name);
  cJSON_AddStringToObject (object, "name", group->options.member_name);
  cJSON_AddBoolToObject (object, "running", group->started);
  if (!group->started)
    return object;
  raft_get_status (&group->raft, &status);
  add_hex_id (object, "id", status.id);
  cJSON_AddStringToObject (object, "role", raft_role_name (status.role));
  add_hex_id (object, "leader", status.leader_id);
  cJSON_AddNumberToObject (object, "term", (double)status.term);
  cJSON_AddNumberToObject (object, "commit", (double)status.commit_index);
  cJSON_AddNumberToObject (object, "applied", (double)status.applied);
  cJSON_AddNumberToObject (object, "last", (double)status.last_index);
  cJSON_AddBoolToObject (object, "disk_full", status.disk_full);
  cJSON_AddBoolToObject (object, "change_pending", status.change_pending);
  cJSON_AddItemToObject (object, "members", members_to_json (&status));
  return object;
}

static void
list_groups (replica_group_t *const *groups, operator_call_t *call)
{
  cJSON *body = cJSON_CreateObject ();
  cJSON *array = cJSON_AddArrayToObject (body, "groups");
  for (; *groups != NULL; groups++)
    cJSON_AddItemToArray (array, group_to_json (*groups));
  respond_json (call, 200, body);
}

static bool
parse_id (const cJSON *object, uint64_t *id)
{
  const char *text = json_get_string (object, "id", "");
  char *end = NULL;
  *id = g_ascii_strtoull (text, &end, 16);
  return *text != '\0' && *end == '\0' && *id != 0;
}

static bool
parse_member (const cJSON *object, raft_member_t *member)
{
  const char *name = json_get_string (object, "name", "");
  *member = (raft_member_t){ .voter = true };
  g_strlcpy (member->name, name, sizeof (member->name));
  return parse_id (object, &member->id) && strchr (name, '/') != NULL
         && strlen (name) < sizeof (member->name);
}

static bool
bootstrap_group (replica_group_t *group, const cJSON *body, anv_error_t *err)
{
  raft_member_t members[RAFT_MAX_MEMBERS];
  size_t count = 0;
  const cJSON *item = NULL;

  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (body, "members"))
  {
    if (count == RAFT_MAX_MEMBERS || !parse_member (item, &members[count]))
      {
        anv_error_set (err, ANV_ERROR_RAFT, RAFT_ERROR_MEMBER, "malformed member");
        return false;
      }
    count++;
  }
  return replica_group_bootstrap (group, members, count, err);
}

static bool
change_membership (replica_group_t *group, const char *action, const cJSON *body, anv_error_t *err)
{
  raft_member_t member;
  uint64_t id = 0;

  if (strcmp (action, "found") == 0)
    return bootstrap_group (group, body, err);
  if (strcmp (action, "add") == 0 && parse_member (body, &member))
    return replica_group_add_member (group, &member, err);
  if (strcmp (action, "remove") == 0 && parse_id (body, &id))
    return replica_group_remove_member (group, id, err);
  anv_error_set (err, ANV_ERROR_RAFT, RAFT_ERROR_MEMBER, "malformed request");
  return false;
}

static void
redirect_to_leader (const replica_group_t *group, bool tls, operator_call_t *call,
                    const operator_request_t *request)
{
  char name[RAFT_NAME_SIZE];
  char peer_address[LINK_ADDRESS_SIZE];
  char operator_address[LINK_ADDRESS_SIZE];
  replica_group_get_leader_name (group, name);
  replica_group_split_member_name (name, peer_address, operator_address);
  if (operator_address[0] == '\0')
    {
      respond_error (call, 503, "no leader");
      return;
    }
  g_autofree char *location
      = g_strconcat (tls ? "https://" : "http://", operator_address, request->path, NULL);
  operator_call_respond (call, 307, location, "{\"error\":\"not the leader\"}\n");
}

static void
handle_change (replica_group_t *group, bool tls, const char *action, operator_call_t *call,
               const operator_request_t *request)
{
  anv_error_t err = { 0 };
  cJSON *body = json_parse (request->body, request->body_size, NULL);
  if (body == NULL)
    {
      respond_error (call, 400, "the body is not valid JSON");
      return;
    }
  bool changed = change_membership (group, action, body, &err);
  cJSON_Delete (body);
  if (changed)
    operator_call_respond (call, 200, NULL, "{}\n");
  else if (err.code == RAFT_ERROR_NOT_LEADER)
    redirect_to_leader (group, tls, call, request);
  else
    respond_error (call, 409, err.text);
}

bool
group_api_handle (replica_group_t *const *groups, bool tls, operator_call_t *call,
                  const operator_request_t *request)
{
  if (!g_str_has_prefix (request->path, GROUPS_PATH))
    return false;
  const char *rest = request->path + strlen (GROUPS_PATH);
  if (*rest == '\0' && strcmp (request->method, "GET") == 0)
    {
      list_groups (groups, call);
      return true;
    }
  g_auto (GStrv) parts = g_strsplit (rest, "/", 4);
  bool is_change = g_strv_length (parts) == 3 && strcmp (request->method, "POST") == 0;
  for (; is_change && *groups != NULL; groups++)
    {
      if (strcmp ((*groups)->options.name, parts[1]) != 0)
        continue;
      handle_change (*groups, tls, parts[2], call, request);
      return true;
    }
  respond_error (call, 404, "no such group or action");
  return true;
}
