#pragma once

#include "http_headers.h"

/* request_policy - decides what happens to a request; the proxy carries it out.
 *
 * The proxy calls begin() for each request head. The policy answers, at once or later from the main
 * loop, with one of
 *
 *   proxy_request_respond()    answer without a backend server,
 *   proxy_request_read_body()  collect the body first; body() is called with all of it,
 *   proxy_request_dispatch()   make one attempt at a target.
 *
 * An attempt reports first_byte(), response() and ended(). If ended() says that the request is not
 * final, the policy answers again: with another dispatch, with a response, or with
 * proxy_request_fail() for the answer that fits the end of the attempt. finished() is the last call
 * for a request, always. */

typedef struct request_policy request_policy_t;
typedef struct proxy_request proxy_request_t;

typedef struct
{
  const char *method;
  const char *target; /* path with query */
  size_t path_size;   /* length of the path in target */
  const char *host;   /* value of Host, or NULL in HTTP/1.0 */
  const http_headers_t *headers;
  const char *caller_address; /* IP address without port */
  bool has_body;
  int64_t content_length; /* -1 if unknown or none */
  int64_t received_us;
  int64_t deadline_us; /* from Anvillb-Deadline-Ms; 0 if the caller gave none */
} request_head_t;

typedef struct
{
  const char *address;   /* "IP:PORT" */
  int max_connections;   /* open connections from this process to the target */
  int64_t deadline_us;   /* of the whole request; the caller's deadline applies if earlier */
  int64_t attempt_us;    /* time limit of this attempt; 0 for none besides the deadline */
  int64_t stall_us;      /* see upstream_exchange_t; 0 disables the check */
  bool keep_body;        /* for another attempt; without it a body is sent as it comes */
  bool end_on_stall;     /* end the attempt on a silent connection */
  bool once;             /* must not be lost on a connection that its peer has dropped */
  bool fresh;            /* use a new connection: the last one may be silent */
  bool target_is_entry;  /* pass on Anvillb-Not-Run and Anvillb-Outcome of the response */
  size_t max_body_bytes; /* a longer request body is refused with 413; 0 for no limit */
  size_t capture_bytes;  /* keep a response body of at most this size for ended() */
  const http_headers_t *extra_headers; /* replace fields of the same name; may be NULL */
} request_dispatch_t;

typedef struct
{
  int status;
  const http_headers_t *headers; /* may be NULL */
  const char *body;
  size_t body_size;
  bool not_run; /* the request was not run; overridden if bytes reached a backend server */
} request_response_t;

typedef enum
{
  ATTEMPT_COMPLETE,
  ATTEMPT_SHED,           /* 503 with Anvillb-Shed: 1; the request was not run */
  ATTEMPT_DISCARDED,      /* response() refused the response */
  ATTEMPT_CONNECT_FAILED, /* nothing was written */
  ATTEMPT_CLOSED_REUSED,  /* a reused connection was closed before any byte of the response */
  ATTEMPT_CLOSED,         /* a new connection was closed before any byte of the response */
  ATTEMPT_TRUNCATED,      /* closed inside the response */
  ATTEMPT_INVALID,        /* the response is not valid HTTP */
  ATTEMPT_STALLED,        /* silent connection; says nothing about the target's health */
  ATTEMPT_TIMED_OUT,
  ATTEMPT_CALLER_GONE,
  ATTEMPT_CALLER_ERROR, /* malformed or too large request body */
} attempt_end_t;

#define ATTEMPT_END_COUNT (ATTEMPT_CALLER_ERROR + 1)

typedef struct
{
  attempt_end_t end;
  bool final;       /* the request is answered or cannot be answered; the policy must not answer */
  bool wrote_bytes; /* at least one byte of the request was written upstream */
  bool can_repeat;  /* the proxy still has the whole request for another attempt */
  int status;       /* of the response; 0 without one */
  int64_t duration_us;
  int64_t first_byte_us; /* time to the response head; 0 without one */
  const char *detail;    /* text for the log */
  const char *body;      /* captured response body, or NULL if it was not or too large */
  size_t body_size;
} attempt_result_t;

typedef enum
{
  CANCEL_CALLER_GONE,
  CANCEL_DEADLINE,
  CANCEL_CALLER_ERROR,
} cancel_reason_t;

typedef struct
{
  void (*begin) (request_policy_t *policy, proxy_request_t *request, const request_head_t *head);
  /* The body that proxy_request_read_body() asked for. */
  void (*body) (request_policy_t *policy, proxy_request_t *request, const char *body, size_t size);
  /* The request ended while the policy had not answered. */
  void (*cancelled) (request_policy_t *policy, proxy_request_t *request, cancel_reason_t reason);
  void (*first_byte) (request_policy_t *policy, proxy_request_t *request);
  /* Returns whether the response is passed to the caller; otherwise the attempt ends as
   * ATTEMPT_DISCARDED. Not called for ATTEMPT_SHED. */
  bool (*response) (request_policy_t *policy, proxy_request_t *request, int status,
                    const http_headers_t *headers);
  void (*ended) (request_policy_t *policy, proxy_request_t *request,
                 const attempt_result_t *result);
  void (*finished) (request_policy_t *policy, proxy_request_t *request);
  /* The time limit of the attempt has passed and no response has started. Returns whether the
   * attempt ends; otherwise it goes on until the deadline of the request. NULL: it always ends. */
  bool (*late) (request_policy_t *policy, proxy_request_t *request);
} request_policy_ops_t;

struct request_policy
{
  const request_policy_ops_t *ops;
};

/* Returns the name of END in lower case, for log lines and counters. */
const char *attempt_end_name (attempt_end_t end);

/* Data of the policy for this request; initially NULL. */
void proxy_request_set_data (proxy_request_t *request, void *data);
void *proxy_request_data (const proxy_request_t *request);

/* The head that begin() got; valid until finished(). */
const request_head_t *proxy_request_head (const proxy_request_t *request);

/* Answers of the policy. A dispatch copies DISPATCH. A body that is larger than allowed is refused
 * with 413: cancelled() and finished() can therefore be called inside these functions, for a
 * dispatch without ended().
 */
void proxy_request_respond (proxy_request_t *request, const request_response_t *response);
void proxy_request_read_body (proxy_request_t *request, size_t max_bytes);
void proxy_request_dispatch (proxy_request_t *request, const request_dispatch_t *dispatch);
void proxy_request_fail (proxy_request_t *request);

/* Sets an earlier deadline while the policy has not answered; the proxy then answers 504. */
void proxy_request_set_deadline (proxy_request_t *request, int64_t deadline_us);
