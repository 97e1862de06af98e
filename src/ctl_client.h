#pragma once

#include <libsoup/soup.h>

#include "history.h"
#include "json_util.h"

/* ctl_client - calls of anvillbctl to the operators' API of anvillb-control.
 *
 * Calls block. A call that fails, or gets status 503 or a response that is not a JSON object, is
 * repeated at the next server, so all calls for a patch must have the same patch_id. Redirects
 * (307) to the leader are followed. */

/* Maximum number of calls over all servers, not counting those that follow redirects. */
#define CTL_MAX_CALLS 6
#define CTL_MAX_REDIRECTS 3

typedef enum
{
  CTL_ERROR_TOKEN = 1, /* the token file or the certificates cannot be read */
  CTL_ERROR_CALL,      /* no usable response: malformed URL, failed call or rejected redirect */
  CTL_ERROR_RESPONSE,  /* error status, response that does not conform to the API, or
                          failed command of ctl_history */
  CTL_ERROR_USAGE,     /* wrong arguments */
  CTL_ERROR_REFUSED,   /* stale, conflict or invalid patch, refused change of members, or failed
                          verification */
} ctl_error_t;

typedef struct
{
  const GPtrArray *servers; /* URLs, "http://IP:PORT" or "https://..." */
  const char *token_file;
  const char *tls_ca; /* file with trusted certificates; NULL: those of the system */
  int64_t timeout_s;
  int64_t retry_delay_ms;
} ctl_client_options_t;

typedef struct
{
  ctl_client_options_t options;
  SoupSession *session;
  char *authorization;
} ctl_client_t;

/* Returns false with ANV_ERROR_CTL. */
bool ctl_client_init (ctl_client_t *client, const ctl_client_options_t *options, anv_error_t *err);
void ctl_client_destroy (ctl_client_t *client);

/* Calls METHOD on PATH, which may have a query, with the JSON text BODY, which may be NULL. Returns
 * the response, a JSON object, and its status, or NULL with ANV_ERROR_CTL. */
cJSON *ctl_client_call (ctl_client_t *client, const char *method, const char *path,
                        const char *body, unsigned *status, anv_error_t *err);

/* Makes one call at SERVER and follows redirects. Returns the response as ctl_client_call() does.
 */
cJSON *ctl_client_call_server (ctl_client_t *client, const char *server, const char *method,
                               const char *path, const char *body, unsigned *status,
                               anv_error_t *err);

/* Calls GET on PATH. Returns the response, or NULL with ANV_ERROR_CTL if its status is not 200. */
cJSON *ctl_client_get (ctl_client_t *client, const char *path, anv_error_t *err);

/* Fetches the records of all versions. Returns an array of version_record_t, which are freed with
 * it, or NULL with ANV_ERROR_CTL. */
GPtrArray *ctl_client_fetch_records (ctl_client_t *client, anv_error_t *err);
