#pragma once

#include "http_headers.h"

/* request_policy - interface between the proxy, which carries a request, and the policy, which
 * decides what to do with it.
 *
 * The proxy calls begin() for each request head. The policy calls one of these functions, inside
 * begin() or later from the main loop:
 *
 *   proxy_request_respond()    sends a response without a backend server,
 *   proxy_request_read_body()  collects the whole request body and passes it to body(),
 *   proxy_request_dispatch()   makes one attempt at a target.
 *
 * An attempt reports first_byte_written(), response_head(), accept_response() and ended(). If the
 * result given to ended() is not final, the policy decides again: it dispatches another attempt,
 * sends a response, or calls proxy_request_fail(), which derives the response from the end of the
 * last attempt. If begin() was called, finished() is always the last call for the request. */

typedef struct request_policy request_policy_t;
typedef struct proxy_request proxy_request_t;

typedef struct
{
  const char *method;
  const char *request_target; /* path and query */
  size_t path_size;           /* length of the path in request_target */
  const char *host;           /* value of Host; NULL if absent, as HTTP/1.0 allows */
  const http_headers_t *headers;
  const char *caller_address; /* IP address without port */
  bool has_body;
  int64_t content_length; /* -1 without Content-Length */
  int64_t received_us;
  int64_t deadline_us; /* from the dialect's deadline field; 0 if the caller sent none */
} request_head_t;

typedef struct
{
  const char *address;        /* "IP:PORT" */
  int max_connections;        /* most open connections from this process to the target */
  int64_t deadline_us;        /* new deadline of the request; 0 keeps the current one */
  int64_t attempt_timeout_us; /* time limit of this attempt; 0 for none but the deadline */
  int64_t stall_timeout_us;   /* longest time without progress; 0 disables the check */
  bool keep_body;             /* keep the request body for another attempt; false only streams it */
  bool end_on_stall;          /* end the attempt if its connection stalls; false only records it */
  bool avoid_stale_connection; /* avoid idle connections that the peer may have dropped unnoticed */
  /* Prefer a new connection to an idle one: after a failed attempt, idle connections may be broken
   * as well. */
  bool prefer_new_connection;
  /* The target is another entry. Its Anvillb-Not-Run, Anvillb-Outcome and Anvillb-Replayed fields
   * are passed on. */
  bool target_is_entry;
  size_t max_body_bytes; /* a longer request body is refused with 413; 0 for no limit */
  /* Longest response body that is captured for ended(); 0 captures none. */
  size_t max_capture_bytes;
  /* Names of fields of the caller that the target must not get, also with '_' for '-', ending with
   * NULL; NULL for none. Valid until finished(). */
  const char *const *removed_headers;
  const http_headers_t *extra_headers; /* replace fields of the same name; may be NULL */
} request_dispatch_t;

typedef struct
{
  int status;
  const http_headers_t *headers; /* may be NULL */
  const char *body;
  size_t body_size;
  /* The response tells the outcome of the request: unknown if an attempt may have run it, otherwise
   * not run. */
  bool reports_outcome;
} request_response_t;

typedef enum
{
  ATTEMPT_COMPLETE,
  /* The response proves that the target did not run the request, e.g. 503 with Anvillb-Shed: 1; see
   * http_dialect.h. */
  ATTEMPT_SHED,
  ATTEMPT_DISCARDED,      /* accept_response() rejected the response */
  ATTEMPT_CONNECT_FAILED, /* no connection; nothing was written */
  ATTEMPT_CLOSED_REUSED,  /* a reused connection was closed before any byte of the response */
  ATTEMPT_CLOSED,         /* a new connection was closed before any byte of the response */
  ATTEMPT_TRUNCATED,      /* closed inside the response */
  ATTEMPT_INVALID,        /* the response is not valid HTTP */
  /* No progress on the connection. Only some policies count this as evidence against the target. */
  ATTEMPT_STALLED,
  ATTEMPT_TIMED_OUT, /* its time limit or the deadline of the request has passed */
  ATTEMPT_CALLER_GONE,
  ATTEMPT_CALLER_ERROR, /* malformed or too large request body */
  ATTEMPT_STOPPING,     /* this process stops */
  ATTEMPT_MEMORY,       /* ended to free memory */
  ATTEMPT_RECALLED,     /* may_send() no longer holds; nothing was written */
} attempt_end_t;

#define ATTEMPT_END_COUNT (ATTEMPT_RECALLED + 1)

typedef struct
{
  attempt_end_t end;
  bool final;       /* the proxy ends the request; the policy must not decide again */
  bool wrote_bytes; /* at least one byte of the request was written upstream */
  bool can_repeat;  /* the request body is still buffered, so another attempt is possible */
  int status;       /* response status; 0 without a response */
  int64_t duration_us;
  int64_t time_to_head_us; /* from the start of the attempt to the response head; 0 without one */
  const char *detail;      /* text for the log */
  const char *body; /* captured response body; NULL if none was captured or it was too long */
  size_t body_size;
} attempt_result_t;

typedef enum
{
  CANCEL_CALLER_GONE,
  CANCEL_DEADLINE,
  CANCEL_CALLER_ERROR,
  CANCEL_STOPPING, /* this process stops */
  CANCEL_MEMORY,   /* ended to free memory */
} cancel_reason_t;

typedef struct
{
  void (*begin) (request_policy_t *policy, proxy_request_t *request, const request_head_t *head);
  /* The whole request body, after proxy_request_read_body(). */
  void (*body) (request_policy_t *policy, proxy_request_t *request, const char *body, size_t size);
  /* The request ends without an attempt in progress and before the policy has decided. */
  void (*cancelled) (request_policy_t *policy, proxy_request_t *request, cancel_reason_t reason);
  /* The first byte of the request was written to the target. */
  void (*first_byte_written) (request_policy_t *policy, proxy_request_t *request);
  /* Returns whether the response is passed to the caller; otherwise the attempt ends as
   * ATTEMPT_DISCARDED. Not called for ATTEMPT_SHED. */
  bool (*accept_response) (request_policy_t *policy, proxy_request_t *request, int status,
                           const http_headers_t *headers);
  /* The attempt ended. RESULT is valid during the call. */
  void (*ended) (request_policy_t *policy, proxy_request_t *request,
                 const attempt_result_t *result);
  /* REQUEST is about to be freed. */
  void (*finished) (request_policy_t *policy, proxy_request_t *request);
  /* The time limit of the attempt has passed and no response has started. Returns whether the
   * attempt ends; otherwise it continues until the deadline of the request. If NULL, every attempt
   * ends at its time limit. */
  bool (*attempt_timed_out) (request_policy_t *policy, proxy_request_t *request);
  /* The head of a response arrived, which may still be rejected or prove that the request was not
   * run. Called before accept_response(). May be NULL. */
  void (*response_head) (request_policy_t *policy, proxy_request_t *request, int status,
                         const http_headers_t *headers);
  /* Returns whether the request may still be sent. proxy_recall_requests() asks this for attempts
   * without a connection; those that may not be sent end as ATTEMPT_RECALLED. May be NULL. */
  bool (*may_send) (request_policy_t *policy, proxy_request_t *request);
} request_policy_ops_t;

struct request_policy
{
  const request_policy_ops_t *ops;
};

/* Return the name of END or REASON in lower case, for log lines and spans. */
const char *attempt_end_name (attempt_end_t end);
const char *cancel_reason_name (cancel_reason_t reason);

/* Set and return the data of the policy for the request; NULL at first. */
void proxy_request_set_data (proxy_request_t *request, void *data);
void *proxy_request_data (const proxy_request_t *request);

/* Returns the head that was passed to begin(); valid until finished(). */
const request_head_t *proxy_request_head (const proxy_request_t *request);

/* Returns whether the request can be sent once more: the start of its body is still buffered. */
bool proxy_request_can_repeat (const proxy_request_t *request);

/* Decisions of the policy; see above. proxy_request_dispatch() copies DISPATCH. A request body that
 * is larger than allowed is refused with 413, so cancelled() and finished() can be called inside
 * these functions. ended() is not called for a dispatch that is refused in this way. */
void proxy_request_respond (proxy_request_t *request, const request_response_t *response);
void proxy_request_read_body (proxy_request_t *request, size_t max_bytes);
void proxy_request_dispatch (proxy_request_t *request, const request_dispatch_t *dispatch);
void proxy_request_fail (proxy_request_t *request);

/* Sets the deadline of the request; an earlier deadline of the caller still applies. When it passes
 * before the response starts, the proxy answers 504, or 503 if the request was certainly not run
 * and the dialect has no outcome fields. */
void proxy_request_set_deadline (proxy_request_t *request, int64_t deadline_us);
