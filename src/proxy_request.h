#pragma once

#include "proxy.h"

/* proxy_request - state of one request. Private to the source files of the proxy. */

/* Reading from one side stops when more than this is queued for the other side. */
#define PROXY_HIGH_WATER_BYTES (256 * 1024)
/* Reading resumes when less than this is queued. */
#define PROXY_LOW_WATER_BYTES (64 * 1024)
/* Size of the buffer for the body of an error response; a longer body is truncated. */
#define PROXY_MAX_ERROR_BODY_SIZE 256

typedef enum
{
  REQUEST_WAITING,      /* waits for a decision of the policy */
  REQUEST_READING_BODY, /* collects the request body for the policy */
  REQUEST_ATTEMPT,      /* has an attempt in progress */
  REQUEST_DONE,
} request_state_t;

typedef struct
{
  char *address;
  char id[17]; /* random, in hexadecimal; sent if the dialect has a field for it */
  http_headers_t extra_headers;
  request_dispatch_t options; /* address and extra_headers point to the copies above */
  int64_t start_us;
  int64_t response_head_us;   /* arrival of the response head; 0 if it has not arrived */
  bool head_written;          /* the request head was passed to the connection */
  bool wrote_bytes;           /* at least one byte of the request was written to the socket */
  bool not_run;               /* the response proves that the request was not run */
  bool discarding;            /* the response is read but not passed on */
  size_t discarded_bytes;     /* of its body */
  attempt_end_t discarded_as; /* how the attempt ends if discarding is set */
  int status;                 /* response status; 0 if no response has arrived */
  GString *captured;          /* response body for ended(); NULL if it is not captured */
  bool capture_failed;        /* the response body is longer than max_capture_bytes */
  span_t span;
} proxy_attempt_t;

struct proxy_request
{
  proxy_t *proxy;
  list_node_t node;
  caller_exchange_t *caller;
  void *policy_data;
  request_state_t state;
  upstream_exchange_t exchange;
  proxy_attempt_t attempt;
  io_timer_t deadline_timer;
  io_timer_t attempt_timer;
  io_deferred_t deferred_free;

  request_head_t head;
  char *target; /* request target: path and query */
  http_headers_t headers;
  int version_minor;
  bool chunked; /* the request body uses the chunked transfer coding */
  bool keep_alive;
  bool method_is_head;   /* the method is HEAD, so the response has no body */
  bool expects_continue; /* the caller may wait for 100 Continue */

  GString *body;         /* buffered request body; NULL if empty */
  size_t body_bytes;     /* received in total, buffered or not */
  size_t max_read_bytes; /* limit given to proxy_request_read_body() */
  bool body_dropped;     /* the start is no longer buffered, so no further attempt is possible */
  bool body_complete;    /* the whole body was received */
  bool caller_paused;    /* reading from the caller is stopped */

  int64_t deadline_us;
  int64_t attempts_us; /* total duration of the ended attempts */
  int attempt_count;
  bool known_to_policy; /* begin() was called, so finished() must be called as well */
  /* An attempt wrote bytes, and no response proves that its target did not run the request. */
  bool possibly_run;
  bool response_started; /* the response head was queued for the caller */
  bool response_chunked;
  bool end_delimits; /* the end of the connection delimits the response */
  int response_status;
  attempt_end_t last_end;
  byte_stream_kernel_t kernel; /* of the connection to the target, as it was read last */
  char *retry_after; /* Retry-After of the last response of an ATTEMPT_SHED; may be NULL */
  span_t span;
};

/* In proxy.c: */

/* Returns the monotonic time of the loop. */
int64_t proxy_now_us (const proxy_request_t *request);
/* Returns the wall-clock time since the Unix epoch, for spans. */
int64_t proxy_wall_time_ns (void);
/* Ends the request after its complete response. */
void proxy_request_finish (proxy_request_t *request, bool keep_alive);
/* Ends the request although its response is incomplete. */
void proxy_request_abort (proxy_request_t *request);
/* Sets deadline_timer to deadline_us. */
void proxy_request_arm_deadline (proxy_request_t *request);
/* Ends a request that cannot be completed: with an error response, or by aborting the caller
 * connection if the response has started. An attempt in progress ends with END; without one, the
 * policy is told REASON. */
void proxy_request_end_with_error (proxy_request_t *request, cancel_reason_t reason,
                                   attempt_end_t end, int status, const char *text);
/* Sends an error response. If the dialect has outcome fields, it carries Anvillb-Not-Run, or
 * Anvillb-Outcome: unknown if an attempt may have run the request. */
void proxy_request_send_error (proxy_request_t *request, int status, const char *text);
/* Appends a part of the request body to the buffered body. */
void proxy_request_append_body (proxy_request_t *request, const char *bytes, size_t size);
/* Frees the buffered body and stops buffering. No further attempt is possible. */
void proxy_request_drop_body (proxy_request_t *request);
/* Stops or resumes reading the request body. */
void proxy_request_pause_caller (proxy_request_t *request, bool paused);
/* Sends 100 Continue if the caller expects it and has not sent any of the body. */
void proxy_request_send_continue (proxy_request_t *request);

/* In proxy_attempt.c: */

/* Starts an attempt; copies DISPATCH. */
void proxy_attempt_start (proxy_request_t *request, const request_dispatch_t *dispatch);
/* Writes a part of the request body, as a chunk if the request is chunked. */
void proxy_attempt_send_body (proxy_request_t *request, const char *bytes, size_t size);
/* Ends the request body, with the last chunk if the request is chunked. */
void proxy_attempt_end_body (proxy_request_t *request);
/* Ends the attempt and closes its connection. The policy gets a final result: it must not decide
 * again. */
void proxy_attempt_cancel (proxy_request_t *request, attempt_end_t end, const char *detail);
/* Ends an attempt that has no connection yet. The policy decides again. */
void proxy_attempt_recall (proxy_request_t *request);
/* Handles the time limit of the attempt. */
void proxy_attempt_expired (io_timer_t *timer);
/* Frees what ATTEMPT owns and resets it. */
void proxy_attempt_clear (proxy_attempt_t *attempt);

/* In proxy_stop.c: */

/* Answers a request that arrives while proxy_t.refusing is set. */
void proxy_request_refuse_for_stop (proxy_request_t *request);

/* In proxy_memory.c: */

/* Returns whether new requests are refused because the process holds too much. */
bool proxy_refuses_for_memory (const proxy_t *proxy);
/* Answers a request that arrives meanwhile. */
void proxy_request_refuse_for_memory (proxy_request_t *request);

/* In proxy_message.c; the returned strings are freed with g_string_free(): */

/* Returns the request head for the current attempt. */
GString *proxy_build_request_head (proxy_request_t *request);
/* Returns the head of a response that is passed on to the caller, and sets response_chunked. */
GString *proxy_build_response_head (proxy_request_t *request, const http_head_t *head);
/* Returns a complete response that did not come from a target. */
GString *proxy_build_response (proxy_request_t *request, const request_response_t *response,
                               bool keep_alive);
/* Appends one chunk of the chunked transfer coding. */
void proxy_write_chunk (GString *out, const char *bytes, size_t size);
