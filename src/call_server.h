#pragma once

#include "caller_listener.h"

/* call_server - HTTP calls that this process answers itself.
 *
 * It stands on the listener and the codec of the data path, which keep connections open and cost
 * little for each call. A call is answered once, at once or later; a caller that leaves meanwhile
 * is noticed by the server alone. */

typedef struct call call_t;
typedef struct call_server call_server_t;

typedef struct
{
  const char *method;
  const char *target; /* path with query */
  const http_headers_t *headers;
  const char *body;
  size_t body_size;
} call_request_t;

typedef struct
{
  int status;
  const char *content_type; /* NULL: none */
  const char *body;         /* NULL: none */
  size_t body_size;
  const char *location;   /* for 307; NULL: none */
  int64_t retry_after_us; /* 0: none */
} call_answer_t;

typedef struct
{
  io_loop_t *loop;
  const char *listen;
  size_t max_connections;
  size_t max_body_bytes;
  int64_t timeout_us; /* for a call without an answer */
  counter_registry_t *counters;
  const char *labels; /* of the counters */
  rng_t *rng;
  /* Handles CALL, which is answered with call_answer(). REQUEST is valid during this function. */
  void (*handle) (void *data, call_t *call, const call_request_t *request);
  void *data;
} call_server_options_t;

struct call_server
{
  request_policy_t policy; /* first member */
  call_server_options_t options;
  caller_listener_t listener;
  proxy_t proxy;
};

/* The task of the server is SERVER->listener.task. */
void call_server_init (call_server_t *server, const call_server_options_t *options);
void call_server_destroy (call_server_t *server);

/* Answers CALL and frees it. */
void call_answer (call_t *call, const call_answer_t *answer);

/* The same with a status alone. */
void call_answer_status (call_t *call, int status);
