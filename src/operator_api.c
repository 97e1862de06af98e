#include "operator_api.h"

#include <string.h>

#define STATUS_OK 200
#define STATUS_CREATED 201
#define STATUS_TEMPORARY_REDIRECT 307
#define STATUS_BAD_REQUEST 400
#define STATUS_UNAUTHORIZED 401
#define STATUS_FORBIDDEN 403
#define STATUS_NOT_FOUND 404
#define STATUS_METHOD_NOT_ALLOWED 405
#define STATUS_CONFLICT 409
#define STATUS_CONTENT_TOO_LARGE 413
#define STATUS_UNPROCESSABLE 422
#define STATUS_UNAVAILABLE 503

/* The arguments of operator_api_handle(), and the token of the request. */
typedef struct
{
  const operator_api_t *api;
  const operator_request_t *request;
  const operator_token_t *token;
  int64_t wall_ms;
  void *tag;
  operator_response_t *response;
} call_t;

static bool
respond (operator_response_t *response, unsigned status, cJSON *body)
{
  response->status = status;
  response->body = json_print_canonical (body);
  cJSON_Delete (body);
  return true;
}

static bool
respond_error (operator_response_t *response, unsigned status, const char *text)
{
  cJSON *body = cJSON_CreateObject ();
  cJSON_AddStringToObject (body, "error", text);
  return respond (response, status, body);
}

static void
add_digest (cJSON *object, const char *key, const version_digest_t *digest)
{
  char hex[VERSION_HEX_SIZE];
  cJSON_AddStringToObject (object, key, version_digest_hex (digest, hex));
}

static unsigned
outcome_to_status (version_outcome_t outcome)
{
  switch (outcome)
    {
    case VERSION_ACCEPTED:
      return STATUS_CREATED;
    case VERSION_REPEATED:
      return STATUS_OK;
    case VERSION_STALE:
    case VERSION_CONFLICT:
      return STATUS_CONFLICT;
    case VERSION_INVALID:
      break;
    }
  return STATUS_UNPROCESSABLE;
}

void
operator_api_respond_result (const version_result_t *result, operator_response_t *response)
{
  cJSON *body = cJSON_CreateObject ();
  cJSON_AddStringToObject (body, "outcome", version_outcome_name (result->outcome));
  cJSON_AddNumberToObject (body, "version", (double)result->version);
  cJSON_AddNumberToObject (body, "current", (double)result->current);
  add_digest (body, "digest", &result->digest);
  cJSON_AddStringToObject (body, "text", result->text);
  respond (response, outcome_to_status (result->outcome), body);
}

void
operator_api_respond_unknown (operator_response_t *response)
{
  respond_error (response, STATUS_UNAVAILABLE,
                 "the outcome is not known; send the patch again with the same patch_id");
}

void
operator_response_clear (operator_response_t *response)
{
  g_clear_pointer (&response->location, g_free);
  g_clear_pointer (&response->body, g_free);
}

/* Compares tokens of equal length without an early exit: the time depends on the lengths only and
 * reveals no character of a token. */
static bool
equal_tokens (const char *a, const char *b)
{
  size_t size = strlen (a);
  unsigned char difference = 0;
  if (strlen (b) != size)
    return false;
  for (size_t i = 0; i < size; i++)
    difference |= (unsigned char)(a[i] ^ b[i]);
  return difference == 0;
}

static const operator_token_t *
find_token (const operator_api_t *api, const char *authorization)
{
  static const char scheme[] = "Bearer ";
  const operator_token_t *found = NULL;
  if (authorization == NULL
      || g_ascii_strncasecmp (authorization, scheme, sizeof (scheme) - 1) != 0)
    return NULL;
  for (size_t i = 0; i < api->token_count; i++)
    {
      if (equal_tokens (api->tokens[i].token, authorization + sizeof (scheme) - 1))
        found = &api->tokens[i];
    }
  return found;
}

/* Returns the number NAME of the query, FALLBACK if it is absent, or -1 if it is not a number. */
static int64_t
get_query_number (const char *query, const char *name, int64_t fallback)
{
  g_auto (GStrv) parts = g_strsplit (query != NULL ? query : "", "&", -1);
  for (size_t i = 0; parts[i] != NULL; i++)
    {
      size_t size = strlen (name);
      if (strncmp (parts[i], name, size) != 0 || parts[i][size] != '=')
        continue;
      gint64 value = 0;
      bool ok = g_ascii_string_to_signed (parts[i] + size + 1, 10, 0, G_MAXINT64, &value, NULL);
      return ok ? value : -1;
    }
  return fallback;
}

static cJSON *
current_version_to_json (const version_store_t *store)
{
  version_digest_t digest = version_store_digest (store);
  cJSON *body = cJSON_CreateObject ();
  cJSON_AddNumberToObject (body, "current", (double)version_store_current_version (store));
  add_digest (body, "digest", &digest);
  return body;
}

static bool
get_versions (const call_t *call)
{
  return respond (call->response, STATUS_OK, current_version_to_json (call->api->store));
}

static bool
get_version (const call_t *call, const char *number)
{
  guint64 version = 0;
  anv_error_t err = { .domain = ANV_ERROR_NONE };
  if (!g_ascii_string_to_unsigned (number, 10, 0, G_MAXINT64, &version, NULL))
    return respond_error (call->response, STATUS_BAD_REQUEST, "the version must be a number");
  GBytes *text = version_store_rebuild_document (call->api->store, version, &err);
  if (text == NULL)
    return respond_error (call->response, STATUS_NOT_FOUND, err.text);

  gsize size = 0;
  const char *data = g_bytes_get_data (text, &size);
  const version_record_t *record = version_store_record (call->api->store, version);
  cJSON *body = cJSON_CreateObject ();
  cJSON_AddItemToObject (body, "record",
                         record != NULL ? version_record_to_json (record) : cJSON_CreateNull ());
  cJSON_AddItemToObject (body, "document", json_parse (data, size, NULL));
  g_bytes_unref (text);
  return respond (call->response, STATUS_OK, body);
}

static bool
get_records (const call_t *call)
{
  int64_t current = (int64_t)version_store_current_version (call->api->store);
  int64_t from = get_query_number (call->request->query, "from", 1);
  int64_t to = get_query_number (call->request->query, "to", current);
  if (from < 1 || to < 0)
    return respond_error (call->response, STATUS_BAD_REQUEST,
                          "\"from\" must be at least 1 and \"to\" a number");
  cJSON *body = cJSON_CreateObject ();
  cJSON *list = cJSON_AddArrayToObject (body, "records");
  size_t bytes = 0;
  int64_t version = from;
  int64_t last = MIN (to, current);
  for (; version <= last && version - from < OPERATOR_MAX_RECORDS
         && bytes < OPERATOR_MAX_RESPONSE_PATCH_BYTES;
       version++)
    {
      const version_record_t *record = version_store_record (call->api->store, (uint64_t)version);
      bytes += strlen (record->patch);
      cJSON_AddItemToArray (list, version_record_to_json (record));
    }
  cJSON_AddNumberToObject (body, "next", version <= last ? (double)version : 0);
  return respond (call->response, STATUS_OK, body);
}

static bool
get_status (const call_t *call)
{
  const operator_api_t *api = call->api;
  cJSON *body = current_version_to_json (api->store);
  cJSON_AddStringToObject (body, "role", api->is_leader ? "leader" : "follower");
  if (api->leader_url != NULL)
    cJSON_AddStringToObject (body, "leader", api->leader_url);
  if (api->rollout != NULL)
    {
      rollout_summary_t summary
          = rollout_summarize (api->rollout, version_store_current_version (api->store));
      cJSON_AddNumberToObject (body, "in_force", (double)summary.in_force);
      cJSON_AddNumberToObject (body, "behind", (double)summary.behind);
      cJSON_AddNumberToObject (body, "lowest", (double)summary.lowest);
      cJSON_AddItemToObject (body, "instances", rollout_to_json (api->rollout));
    }
  return respond (call->response, STATUS_OK, body);
}

static bool
redirect (const call_t *call)
{
  const char *leader = call->api->leader_url;
  if (leader == NULL)
    return respond_error (call->response, STATUS_UNAVAILABLE, "no leader is known");
  const char *query = call->request->query;
  call->response->location = g_strdup_printf ("%s%s%s%s", leader, call->request->path,
                                              query != NULL ? "?" : "", query != NULL ? query : "");
  return respond_error (call->response, STATUS_TEMPORARY_REDIRECT,
                        "this instance is not the leader");
}

/* Fills COMMAND from BODY, whose canonical patch is PATCH. Returns false after it responded with an
 * error. */
static bool
read_command (const call_t *call, const cJSON *body, const char *patch, version_command_t *command)
{
  int64_t base = 0;
  const char *names[] = { "patch_id", "operator", "reason" };
  const char **fields[] = { &command->patch_id, &command->operator_name, &command->reason };
  if (!json_read_exact_integer (cJSON_GetObjectItemCaseSensitive (body, "base"), &base) || base < 0)
    return !respond_error (call->response, STATUS_BAD_REQUEST, "$.base: must be a version number");
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      *fields[i] = json_get_string (body, names[i], NULL);
      if (*fields[i] != NULL)
        continue;
      g_autofree char *text = g_strdup_printf ("$.%s: must be a string", names[i]);
      return !respond_error (call->response, STATUS_BAD_REQUEST, text);
    }
  command->base = (uint64_t)base;
  command->wall_ms = call->wall_ms;
  command->patch = patch;
  command->patch_size = strlen (patch);
  command->schema = CONFIG_SCHEMA;
  return true;
}

static bool
propose (const call_t *call, const version_command_t *command)
{
  GBytes *encoded = version_command_encode (command);
  bool accepted = call->api->propose (call->api->data, encoded, call->tag);
  g_bytes_unref (encoded);
  if (accepted)
    return false;
  operator_api_respond_unknown (call->response);
  return true;
}

static bool
respond_preview (const call_t *call, const version_command_t *command)
{
  version_result_t result;
  version_store_preview (call->api->store, command, &result);
  operator_api_respond_result (&result, call->response);
  if (result.outcome == VERSION_ACCEPTED)
    call->response->status = STATUS_OK;
  return true;
}

static bool
post_parsed_patch (const call_t *call, const cJSON *body)
{
  version_command_t command = { .base = 0 };
  const cJSON *patch = cJSON_GetObjectItemCaseSensitive (body, "patch");
  if (!cJSON_IsObject (patch))
    return respond_error (call->response, STATUS_BAD_REQUEST, "$.patch: must be an object");
  g_autofree char *text = json_print_canonical (patch);
  if (!read_command (call, body, text, &command))
    return true;
  const char *owner = call->token->operator_name;
  if (owner != NULL && strcmp (owner, command.operator_name) != 0)
    return respond_error (call->response, STATUS_FORBIDDEN,
                          "$.operator: the token belongs to another operator");
  if (get_query_number (call->request->query, "dry_run", 0) == 1)
    return respond_preview (call, &command);
  return propose (call, &command);
}

static bool
post_patch (const call_t *call)
{
  const char *reason = NULL;
  if (!call->api->is_leader)
    return redirect (call);
  if (call->request->body_size > CONFIG_MAX_TEXT_SIZE)
    return respond_error (call->response, STATUS_CONTENT_TOO_LARGE, "the body is too large");
  cJSON *body = json_parse (call->request->body, call->request->body_size, &reason);
  if (body == NULL)
    {
      g_autofree char *text = g_strdup_printf ("$: %s", reason);
      return respond_error (call->response, STATUS_BAD_REQUEST, text);
    }
  bool responded = post_parsed_patch (call, body);
  cJSON_Delete (body);
  return responded;
}

static bool
route_call (const call_t *call)
{
  static const struct
  {
    const char *method;
    const char *path;
    bool (*handle) (const call_t *call);
  } handlers[] = {
    { "POST", "/v1/patches", post_patch },
    { "GET", "/v1/versions", get_versions },
    { "GET", "/v1/records", get_records },
    { "GET", "/v1/status", get_status },
  };
  static const char version_prefix[] = "/v1/versions/";
  const operator_request_t *request = call->request;
  for (size_t i = 0; i < G_N_ELEMENTS (handlers); i++)
    {
      if (strcmp (handlers[i].path, request->path) != 0)
        continue;
      if (strcmp (handlers[i].method, request->method) != 0)
        return respond_error (call->response, STATUS_METHOD_NOT_ALLOWED, "method not allowed");
      return handlers[i].handle (call);
    }
  if (!g_str_has_prefix (request->path, version_prefix))
    return respond_error (call->response, STATUS_NOT_FOUND, "no such resource");
  if (strcmp (request->method, "GET") != 0)
    return respond_error (call->response, STATUS_METHOD_NOT_ALLOWED, "method not allowed");
  return get_version (call, request->path + sizeof (version_prefix) - 1);
}

bool
operator_api_handle (const operator_api_t *api, const operator_request_t *request, int64_t wall_ms,
                     void *tag, operator_response_t *response)
{
  call_t call = { api, request, find_token (api, request->authorization), wall_ms, tag, response };
  memset (response, 0, sizeof (*response));
  if (call.token == NULL)
    return respond_error (response, STATUS_UNAUTHORIZED, "a valid bearer token is required");
  return route_call (&call);
}
