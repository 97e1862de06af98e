#include "entry_policy.h"

#include <string.h>

#include "json_util.h"

#define ANNOUNCE_PATH "/.anvillb/v1/announce"
#define RESOLVE_PATH "/.anvillb/v1/resolve"
#define OWN_PREFIX "/.anvillb/"
#define LEASE_DURATION_US 2500000
#define MAX_ANNOUNCEMENT_BYTES 4096
#define MAX_ATTEMPTS 3
/* Largest number of entries that may connect to a target at once; see docs/design.md, 2.1. */
#define CONNECTION_SHARES 48

typedef struct
{
  char *service;
  char *address;
  int max_connections;
  int64_t incarnation;
  int64_t seq;
  int64_t expires_us; /* 0 if the target takes no new work */
  int in_flight;
  bool listed;
} target_t;

typedef struct
{
  target_t *target;   /* of the current attempt; NULL between attempts */
  target_t *previous; /* compared only */
  int attempts;
} request_data_t;

static void
release_target (target_t *target)
{
  if (target->listed || target->in_flight > 0)
    return;
  g_free (target->service);
  g_free (target->address);
  g_free (target);
}

static void
unlist_target (gpointer data)
{
  target_t *target = data;
  target->listed = false;
  release_target (target);
}

static void
respond_text (proxy_request_t *request, int status, const char *text, bool not_run)
{
  request_response_t response = {
    .status = status,
    .body = text,
    .body_size = strlen (text),
    .not_run = not_run,
  };
  proxy_request_respond (request, &response);
}

static size_t
host_size (const char *host)
{
  return host == NULL ? 0 : strcspn (host, ":");
}

static target_t *
choose_target (entry_policy_t *policy, const request_head_t *head, const target_t *previous)
{
  int64_t now_us = io_loop_now_us (policy->options.loop);
  size_t size = host_size (head->host);
  target_t *best = NULL;
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, policy->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      target_t *target = value;
      if (target->expires_us < now_us || strlen (target->service) != size
          || strncmp (target->service, head->host, size) != 0)
        continue;
      if (best == NULL || best == previous
          || (target != previous && target->in_flight < best->in_flight))
        best = target;
    }
  return best;
}

static bool
is_idempotent (const char *method)
{
  return strcmp (method, "GET") == 0 || strcmp (method, "HEAD") == 0
         || strcmp (method, "OPTIONS") == 0;
}

static void
dispatch (entry_policy_t *policy, proxy_request_t *request)
{
  const request_head_t *head = proxy_request_head (request);
  request_data_t *data = proxy_request_data (request);
  target_t *target = choose_target (policy, head, data->previous);

  if (target == NULL)
    {
      respond_text (request, 503, "no target\n", true);
      return;
    }
  data->target = target;
  data->attempts++;
  target->in_flight++;
  request_dispatch_t options = {
    .address = target->address,
    .max_connections = target->max_connections,
    .deadline_us = head->received_us + policy->options.request_timeout_us,
    .stall_us = policy->options.stall_us,
    .may_retry = is_idempotent (head->method),
    .max_body_bytes = policy->options.max_body_bytes,
  };
  proxy_request_dispatch (request, &options);
}

static void
add_address (cJSON *array, const char *address, const char *domain)
{
  cJSON *item = cJSON_CreateObject ();
  cJSON_AddStringToObject (item, "address", address);
  cJSON_AddStringToObject (item, "domain", domain);
  cJSON_AddItemToArray (array, item);
}

/* Returns the value of KEY in the query of TARGET; free with g_free(). */
static char *
query_value (const char *target, const char *key)
{
  const char *query = strchr (target, '?');
  if (query == NULL)
    return NULL;
  g_autoptr (GHashTable) values = g_uri_parse_params (query + 1, -1, "&", 0, NULL);
  return values == NULL ? NULL : g_strdup (g_hash_table_lookup (values, key));
}

static void
answer_resolve (entry_policy_t *policy, proxy_request_t *request, const request_head_t *head)
{
  g_autofree char *service = query_value (head->target, "service");
  if (service == NULL)
    {
      respond_text (request, 400, "parameter service is missing\n", true);
      return;
    }
  cJSON *root = cJSON_CreateObject ();
  cJSON_AddStringToObject (root, "service", service);
  cJSON_AddNumberToObject (root, "ttl_ms", (double)policy->options.resolve_ttl_ms);
  cJSON *addresses = cJSON_AddArrayToObject (root, "addresses");
  if (!policy->draining)
    add_address (addresses, policy->options.address, policy->options.domain);
  char *text = cJSON_PrintUnformatted (root);
  respond_text (request, 200, text, false);
  cJSON_free (text);
  cJSON_Delete (root);
}

static bool
path_is (const request_head_t *head, const char *path)
{
  return head->path_size == strlen (path) && strncmp (head->target, path, head->path_size) == 0;
}

static void
begin (request_policy_t *base, proxy_request_t *request, const request_head_t *head)
{
  entry_policy_t *policy = (entry_policy_t *)base;

  proxy_request_set_data (request, g_new0 (request_data_t, 1));
  if (!g_str_has_prefix (head->target, OWN_PREFIX))
    dispatch (policy, request);
  else if (path_is (head, ANNOUNCE_PATH) && strcmp (head->method, "POST") == 0)
    proxy_request_read_body (request, MAX_ANNOUNCEMENT_BYTES);
  else if (path_is (head, RESOLVE_PATH) && strcmp (head->method, "GET") == 0)
    answer_resolve (policy, request, head);
  else
    respond_text (request, 404, "not found\n", true);
}

static target_t *
get_target (entry_policy_t *policy, const char *service, const char *address)
{
  g_autofree char *key = g_strconcat (service, " ", address, NULL);
  target_t *target = g_hash_table_lookup (policy->targets, key);
  if (target != NULL)
    return target;
  target = g_new0 (target_t, 1);
  target->service = g_strdup (service);
  target->address = g_strdup (address);
  target->listed = true;
  g_hash_table_insert (policy->targets, g_steal_pointer (&key), target);
  return target;
}

/* Returns the reason why the announcement is refused, or NULL. */
static const char *
apply_announcement (entry_policy_t *policy, const cJSON *json)
{
  const char *service = json_string (json, "service", NULL);
  const char *address = json_string (json, "address", NULL);
  const char *state = json_string (json, "state", "up");
  int64_t incarnation = (int64_t)json_number (json, "incarnation", 0);
  int64_t seq = (int64_t)json_number (json, "seq", 0);

  if (service == NULL || address == NULL)
    return "service and address are required\n";
  target_t *target = get_target (policy, service, address);
  if (incarnation < target->incarnation
      || (incarnation == target->incarnation && seq < target->seq))
    return NULL;
  target->incarnation = incarnation;
  target->seq = seq;
  int connections = (int)json_number (json, "connections", CONNECTION_SHARES);
  target->max_connections = MAX (connections / CONNECTION_SHARES, 1);
  bool up = strcmp (state, "up") == 0;
  target->expires_us = up ? io_loop_now_us (policy->options.loop) + LEASE_DURATION_US : 0;
  return NULL;
}

static void
body (request_policy_t *base, proxy_request_t *request, const char *text, size_t size)
{
  entry_policy_t *policy = (entry_policy_t *)base;
  const char *reason = NULL;
  cJSON *json = json_parse (text, size, &reason);

  if (json != NULL)
    reason = apply_announcement (policy, json);
  if (json == NULL || reason != NULL)
    respond_text (request, 400, reason, true);
  else
    respond_text (request, 204, "", false);
  cJSON_Delete (json);
}

static void
cancelled (request_policy_t *base, proxy_request_t *request, cancel_reason_t reason)
{
}

static void
first_byte (request_policy_t *base, proxy_request_t *request)
{
}

static bool
response (request_policy_t *base, proxy_request_t *request, int status,
          const http_headers_t *headers)
{
  return true;
}

static void
leave_target (request_data_t *data)
{
  if (data->target == NULL)
    return;
  data->target->in_flight--;
  data->previous = data->target;
  release_target (data->target);
  data->target = NULL;
}

static void
ended (request_policy_t *base, proxy_request_t *request, const attempt_result_t *result)
{
  entry_policy_t *policy = (entry_policy_t *)base;
  request_data_t *data = proxy_request_data (request);

  leave_target (data);
  if (result->final)
    return;
  bool not_run = !result->wrote_bytes || result->end == ATTEMPT_SHED;
  bool repeatable = not_run || is_idempotent (proxy_request_head (request)->method);
  if (repeatable && result->can_repeat && data->attempts < MAX_ATTEMPTS)
    dispatch (policy, request);
  else
    proxy_request_fail (request);
}

static void
finished (request_policy_t *base, proxy_request_t *request)
{
  request_data_t *data = proxy_request_data (request);
  leave_target (data);
  g_free (data);
}

static const request_policy_ops_t policy_ops = {
  .begin = begin,
  .body = body,
  .cancelled = cancelled,
  .first_byte = first_byte,
  .response = response,
  .ended = ended,
  .finished = finished,
};

void
entry_policy_init (entry_policy_t *policy, const entry_policy_options_t *options)
{
  *policy = (entry_policy_t){ .policy.ops = &policy_ops, .options = *options };
  policy->targets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, unlist_target);
}

void
entry_policy_destroy (entry_policy_t *policy)
{
  g_clear_pointer (&policy->targets, g_hash_table_unref);
}
