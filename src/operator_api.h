#pragma once

#include "rollout.h"
#include "version_store.h"

/* operator_api - request handlers of the operators' HTTP API of anvillb-control, without sockets.
 *
 *   POST /v1/patches               body {"base", "patch_id", "operator", "reason", "patch"}
 *   POST /v1/patches?dry_run=1     the same, without a change
 *   GET  /v1/versions              current version and digest
 *   GET  /v1/versions/N            record and document of version N
 *   GET  /v1/records?from=N&to=M   records of versions N to M; if not all fit, "next" is the first
 *                                  version that is missing, otherwise 0
 *   GET  /v1/status                current version, role, and the versions in force on instances
 *
 * Bodies are JSON. The response to a patch is {"outcome", "version", "current", "digest", "text"}
 * and 201 accepted, 200 repeated (or acceptable, for a dry run), 409 stale or conflict, 422
 * invalid. To a patch, an instance that is not the leader responds 307 with Location, or 503 if it
 * knows no leader. config_api redirects reads of versions and records to the leader, too, before it
 * calls this module. Each call needs "Authorization: Bearer TOKEN"; otherwise the response is 401.
 * Responses with 307, 400, 401, 403, 404, 405, 413 or 503 are {"error": TEXT}. */

/* Maximum number of records in a response. */
#define OPERATOR_MAX_RECORDS 1000
/* No more records are added to a response once their patches have reached this size. */
#define OPERATOR_MAX_RESPONSE_PATCH_BYTES ((size_t)4 << 20)

typedef struct
{
  const char *token;
  /* Operator that the token belongs to; NULL: the body of a patch may name any operator. */
  const char *operator_name;
} operator_token_t;

typedef struct
{
  const char *method;
  const char *path;
  const char *query;         /* without '?'; NULL: none */
  const char *authorization; /* header value; NULL: none */
  const char *body;
  size_t body_size;
} operator_request_t;

typedef struct
{
  unsigned status;
  char *location; /* for 307; NULL otherwise */
  char *body;     /* JSON text */
} operator_response_t;

typedef struct
{
  version_store_t *store;
  const rollout_t *rollout; /* NULL: none */
  const operator_token_t *tokens;
  size_t token_count;
  bool is_leader; /* whether this instance leads the config group */
  /* URL of the leader ("http://IP:PORT" or "https://...") if it is another instance; NULL if none
   * is known. */
  const char *leader_url;
  /* Proposes an encoded command to the group. TAG identifies the request when its result
   * arrives. Returns false if the group does not accept the proposal. */
  bool (*propose) (void *data, GBytes *command, void *tag);
  void *data;
} operator_api_t;

/* Handles REQUEST at WALL_MS. Returns true with the response, or false if a patch was proposed.
 * The caller then responds with operator_api_respond_result() when the command was applied, or with
 * operator_api_respond_unknown() if the result does not arrive in time. TAG is passed to propose().
 */
bool operator_api_handle (const operator_api_t *api, const operator_request_t *request,
                          int64_t wall_ms, void *tag, operator_response_t *response);

/* Makes the response for an applied command. */
void operator_api_respond_result (const version_result_t *result, operator_response_t *response);

/* Makes the response for a command whose outcome is not known, or whose proposal was not accepted:
 * 503, which asks the operator to send the patch again with the same patch_id. */
void operator_api_respond_unknown (operator_response_t *response);

void operator_response_clear (operator_response_t *response);
