#pragma once

#include <libsoup/soup.h>

#include "history.h"
#include "json_util.h"

/* ctl_client - calls of anvillbctl to the operators' API of anvillb-control.
 *
 * Calls block. A call without an answer, or answered with 503, is made again at the next server, so
 * a patch needs a patch_id that stays the same. A redirect (307) to the leader is followed. */

/* Calls at most, over all servers and without redirects. */
#define CTL_MAX_ATTEMPTS 6
#define CTL_MAX_REDIRECTS 3

typedef enum
{
  CTL_ERROR_TOKEN = 1, /* the token file cannot be read */
  CTL_ERROR_CALL,      /* no server answered */
  CTL_ERROR_ANSWER,    /* the answer is not what the API states */
  CTL_ERROR_USAGE,
  CTL_ERROR_REFUSED, /* stale, conflict, invalid, or bad history */
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

/* Calls METHOD on PATH (with query) and BODY (JSON, may be NULL). Returns the answer, an object,
 * and its status; or NULL with ANV_ERROR_CTL. */
cJSON *ctl_client_call (ctl_client_t *client, const char *method, const char *path,
                        const char *body, unsigned *status, anv_error_t *err);

/* Makes one call at SERVER and follows redirects. Returns the answer as ctl_client_call() does. */
cJSON *ctl_client_call_at (ctl_client_t *client, const char *server, const char *method,
                           const char *path, const char *body, unsigned *status, anv_error_t *err);

/* ctl_client_call() for an answer that must have status 200. */
cJSON *ctl_client_get (ctl_client_t *client, const char *path, anv_error_t *err);

/* Fetches the records of all versions; elements are version_record_t and freed with the array.
 * Returns NULL with ANV_ERROR_CTL. */
GPtrArray *ctl_client_records (ctl_client_t *client, anv_error_t *err);
