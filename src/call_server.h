#pragma once

#include "caller_listener.h"

/* call_server - HTTP server for calls: requests that this process answers itself.
 *
 * It reuses the listener and the codec of the data path, which keep connections open and add little
 * cost to a call. The handler answers each call exactly once, immediately or later, even if the
 * caller has disconnected: the handler is not told of that, and the answer is then dropped. */

typedef struct call call_t;
typedef struct call_server call_server_t;

typedef struct
{
  const char *method;
  const char *request_target; /* path and query */
  const http_headers_t *headers;
  const char *body;
  size_t body_size; /* bytes */
} call_request_t;

typedef struct
{
  int status;
  const char *content_type; /* NULL for none */
  const char *body;         /* NULL for an empty body */
  size_t body_size;         /* bytes */
  const char *location;     /* redirection target of status 307; NULL for none */
  int64_t retry_after_us;   /* value of Retry-After; 0 for none */
} call_answer_t;

typedef struct
{
  io_loop_t *loop;
  const char *listen; /* address as "IP:PORT"; port 0 selects a free port */
  size_t max_connections;
  size_t max_body_bytes;
  int64_t timeout_us; /* a call without an answer fails after this time */
  metric_registry_t *counters;
  const char *labels; /* labels of the counters */
  rng_t *rng;
  /* Handles CALL, which must be answered with call_answer() or call_answer_status(). REQUEST is
   * valid only until this function returns. */
  void (*handle) (void *data, call_t *call, const call_request_t *request);
  void *data; /* passed to handle() */
} call_server_options_t;

struct call_server
{
  request_policy_t policy; /* must be the first member */
  call_server_options_t options;
  caller_listener_t listener;
  proxy_t proxy;
};

/* Initializes the server. Its task is SERVER->listener.task. */
void call_server_init (call_server_t *server, const call_server_options_t *options);
void call_server_destroy (call_server_t *server);

/* Answers CALL and frees it. The strings of ANSWER are copied. */
void call_answer (call_t *call, const call_answer_t *answer);

/* Answers CALL with a status and an empty body, and frees it. */
void call_answer_status (call_t *call, int status);
