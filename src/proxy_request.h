#pragma once

#include "proxy.h"

/* proxy_request - state of one request; shared by the source files of the proxy only. */

/* Output that is queued on one side before reading from the other side stops. */
#define PROXY_HIGH_WATER_BYTES (256 * 1024)
/* Queued output below which reading goes on. */
#define PROXY_LOW_WATER_BYTES (64 * 1024)
/* Error texts and other small answers. */
#define PROXY_TEXT_SIZE 256

typedef enum
{
  REQUEST_WAITING, /* for the policy */
  REQUEST_READING, /* the body, for the policy */
  REQUEST_ATTEMPT, /* at a target */
  REQUEST_DONE,
} request_state_t;

typedef struct
{
  char *address;
  http_headers_t extra_headers;
  request_dispatch_t options; /* address and extra_headers point to the copies above */
  int64_t start_us;
  int64_t head_us; /* arrival of the response head; 0 before */
  bool ready;      /* the request head was written */
  bool wrote_bytes;
  bool not_run;    /* the response says reliably that the request was not run */
  bool discarding; /* the response is read and dropped */
  attempt_end_t discard_end;
  int status;
  GString *captured;
  bool capture_failed; /* the response body is larger than the limit */
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
  io_deferred_t free;

  request_head_t head;
  char *target;
  http_headers_t headers;
  int version_minor;
  bool chunked;
  bool keep_alive;
  bool head_method;
  bool expects_continue;

  GString *body;     /* received and not dropped; NULL if empty */
  size_t body_bytes; /* received in total */
  size_t read_limit; /* of proxy_request_read_body() */
  bool body_dropped; /* body does not start at the beginning any more */
  bool body_complete;
  bool caller_paused;

  int64_t deadline_us;
  int64_t attempts_us; /* time spent in attempts */
  int attempt_count;
  bool begun;        /* the policy knows the request */
  bool possibly_run; /* bytes were written upstream in an attempt that did not prove a refusal */
  bool response_started;
  bool response_chunked;
  int response_status;
  attempt_end_t last_end;
  char *retry_after; /* of a shedding backend server */
  span_t span;
};

/* proxy.c */
int64_t proxy_now_us (const proxy_request_t *request);
int64_t proxy_wall_ns (void);
void proxy_request_finish (proxy_request_t *request, bool keep_alive);
void proxy_request_abort (proxy_request_t *request);
void proxy_request_arm_deadline (proxy_request_t *request);
/* Answers with STATUS and the marker that fits: not run or outcome unknown. */
void proxy_request_answer_error (proxy_request_t *request, int status, const char *text);
/* Keeps SIZE bytes of the request body. */
void proxy_request_keep_body (proxy_request_t *request, const char *bytes, size_t size);
void proxy_request_pause_caller (proxy_request_t *request, bool paused);
/* Lets a caller that waits for 100 Continue send its body. */
void proxy_request_invite_body (proxy_request_t *request);

/* proxy_attempt.c */
void proxy_attempt_start (proxy_request_t *request, const request_dispatch_t *dispatch);
void proxy_attempt_send_body (proxy_request_t *request, const char *bytes, size_t size);
void proxy_attempt_end_body (proxy_request_t *request);
/* Ends the attempt from this side and closes its connection; the request is final. */
void proxy_attempt_cancel (proxy_request_t *request, attempt_end_t end, const char *detail);
void proxy_attempt_expired (io_timer_t *timer);
void proxy_attempt_clear (proxy_attempt_t *attempt);

/* proxy_message.c */
GString *proxy_build_request_head (proxy_request_t *request);
GString *proxy_build_response_head (proxy_request_t *request, const http_head_t *head);
GString *proxy_build_response (proxy_request_t *request, const request_response_t *response,
                               bool keep_alive);
void proxy_write_chunk (GString *out, const char *bytes, size_t size);
