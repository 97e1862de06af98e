#include "config_api.h"

#include <string.h>

#include "json_util.h"

#define PATCHES_PATH "/v1/patches"
#define JSON_TYPE "application/json"

static void
respond_error (operator_call_t *call, int status, const char *text)
{
  cJSON *body = cJSON_CreateObject ();
  cJSON_AddStringToObject (body, "error", text);
  char *json = cJSON_PrintUnformatted (body);
  operator_call_respond (call, status, JSON_TYPE, json);
  cJSON_free (json);
  cJSON_Delete (body);
}

static int
outcome_status (version_outcome_t outcome)
{
  switch (outcome)
    {
    case VERSION_ACCEPTED:
    case VERSION_REPEATED:
      return 200;
    case VERSION_STALE:
    case VERSION_CONFLICT:
      return 409;
    case VERSION_INVALID:
      return 422;
    }
  return 500;
}

static void
on_applied (void *data, const version_result_t *result)
{
  operator_call_t *call = data;
  char hex[VERSION_HEX_SIZE];
  if (result == NULL)
    {
      /* The operator resends the same patch_id, which gives the same number if it was accepted. */
      respond_error (call, 503, "the outcome is unknown: send the same patch_id again");
      return;
    }
  cJSON *body = cJSON_CreateObject ();
  cJSON_AddStringToObject (body, "outcome", version_outcome_name (result->outcome));
  cJSON_AddNumberToObject (body, "version", (double)result->version);
  cJSON_AddNumberToObject (body, "current", (double)result->current);
  cJSON_AddStringToObject (body, "digest", version_digest_hex (&result->digest, hex));
  cJSON_AddStringToObject (body, "text", result->text);
  char *json = cJSON_PrintUnformatted (body);
  operator_call_respond (call, outcome_status (result->outcome), JSON_TYPE, json);
  cJSON_free (json);
  cJSON_Delete (body);
}

static void
redirect (const config_machine_t *machine, operator_call_t *call)
{
  char name[RAFT_NAME_SIZE];
  char peer_address[LINK_ADDRESS_SIZE];
  char operator_address[LINK_ADDRESS_SIZE];
  replica_group_leader (machine->group, name);
  replica_group_split_name (name, peer_address, operator_address);
  if (operator_address[0] != '\0')
    operator_call_redirect (call, operator_address);
  else
    respond_error (call, 503, "no leader");
}

static void
submit (config_machine_t *machine, operator_call_t *call, const cJSON *body)
{
  int64_t base = 0;
  anv_error_t err = { 0 };
  const cJSON *patch = cJSON_GetObjectItemCaseSensitive (body, "patch");
  bool has_base
      = json_exact_integer (cJSON_GetObjectItemCaseSensitive (body, "base"), &base) && base >= 0;

  if (!has_base || !cJSON_IsObject (patch))
    {
      respond_error (call, 400, "base must be a version number and patch an object");
      return;
    }
  g_autofree char *text = json_canonical (patch);
  version_command_t command = {
    .base = (uint64_t)base,
    .patch_id = json_string (body, "patch_id", ""),
    .operator_name = json_string (body, "operator", ""),
    .reason = json_string (body, "reason", ""),
    .patch = text,
    .patch_size = strlen (text),
  };
  if (config_machine_propose (machine, &command, on_applied, call, &err))
    return;
  if (err.code == RAFT_ERROR_NOT_LEADER)
    redirect (machine, call);
  else
    respond_error (call, 503, err.text);
}

bool
config_api_handle (config_machine_t *machine, operator_call_t *call,
                   const operator_request_t *request)
{
  if (strcmp (request->path, PATCHES_PATH) != 0 || strcmp (request->method, "POST") != 0)
    return false;
  const char *reason = NULL;
  cJSON *body = json_parse (request->body, request->body_size, &reason);
  if (body == NULL)
    respond_error (call, 400, reason);
  else
    submit (machine, call, body);
  cJSON_Delete (body);
  return true;
}
