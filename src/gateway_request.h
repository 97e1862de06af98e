#pragma once

#include "gateway_policy.h"

/* gateway_request - state of one request in gateway_policy. Private to the source files of the
 * policy.
 *
 * gateway_policy.c handles the admission of a request, its decisions and its answers,
 * gateway_attempt.c what comes of an attempt: its response, its end and retries. */

/* Retry-After of a 503 response if there is no configuration, or if no attempt can have run the
 * request. */
#define GATEWAY_UNAVAILABLE_RETRY_AFTER_US INT64_C (300000)
/* Fields of callers that are removed: the key and the name of the team. */
#define GATEWAY_MAX_REMOVED_HEADERS 2
/* Size of the buffer for a quoted request id in a log line. */
#define GATEWAY_LOGGED_ID_SIZE 96

typedef enum
{
  GATEWAY_NEW,
  GATEWAY_ADMITTING, /* waits for the verdict about the quota of its team */
  GATEWAY_QUEUED,
  GATEWAY_DISPATCHED,
  GATEWAY_ENDED,
} gateway_state_t;

typedef struct
{
  gateway_waiter_t waiter; /* first member */
  gateway_policy_t *policy;
  proxy_request_t *request;
  config_doc_t *doc; /* reference that keeps route valid */
  const config_route_t *route;
  const config_team_info_t *team; /* team of the key; NULL: none */
  config_team_info_t team_info;   /* storage of team */
  quota_request_t quota;
  const char *removed_headers[GATEWAY_MAX_REMOVED_HEADERS + 1];
  gateway_service_t *service;
  balancer_request_t balancer_request;
  gateway_state_t state;
  unsigned attempt_count;
  bool possibly_run;                  /* a target may have run the request */
  bool retry_taken;                   /* take_retry() has permitted the next attempt */
  bool prefer_new_connection;         /* the next attempt prefers a new connection */
  uint64_t target_id;                 /* id in the balancer of the last target */
  char registry_id[REGISTRY_ID_SIZE]; /* id in the registry of the last target */
  int status;                         /* status of the last response of a target */
} gateway_request_t;

/* In gateway_policy.c: */

/* Returns the time of the main loop. */
int64_t gateway_request_now_us (const gateway_request_t *r);
/* Returns the id that the caller gave the request, quoted for the log. */
const char *gateway_request_quote_id (const gateway_request_t *r,
                                      char buffer[GATEWAY_LOGGED_ID_SIZE]);
/* Ends the request with a response of this entry, with Retry-After if RETRY_AFTER_US is above 0. */
void gateway_request_respond (gateway_request_t *r, int status, const char *text,
                              int64_t retry_after_us);
/* Queues the request for its first or next attempt. */
void gateway_request_enqueue (gateway_request_t *r);

/* In gateway_attempt.c, operations of request_policy.h: */

bool gateway_attempt_may_send (request_policy_t *policy, proxy_request_t *request);
void gateway_attempt_response_head (request_policy_t *policy, proxy_request_t *request, int status,
                                    const http_headers_t *headers);
bool gateway_attempt_accept_response (request_policy_t *policy, proxy_request_t *request,
                                      int status, const http_headers_t *headers);
void gateway_attempt_ended (request_policy_t *policy, proxy_request_t *request,
                            const attempt_result_t *result);
bool gateway_attempt_timed_out (request_policy_t *policy, proxy_request_t *request);
