#include "call_server.h"

#define HEADER_TIMEOUT_US INT64_C (3000000)
#define IDLE_TIMEOUT_US INT64_C (30000000)

struct call
{
  proxy_request_t *request; /* NULL after the request has ended without an answer */
};

static void
begin (request_policy_t *policy, proxy_request_t *request, const request_head_t *head)
{
  const call_server_t *server = (call_server_t *)policy;
  proxy_request_read_body (request, server->options.max_body_bytes);
}

static void
body (request_policy_t *policy, proxy_request_t *request, const char *bytes, size_t size)
{
  const call_server_t *server = (call_server_t *)policy;
  const request_head_t *head = proxy_request_head (request);
  call_t *call = g_new0 (call_t, 1);
  call_request_t call_request = {
    .method = head->method,
    .request_target = head->request_target,
    .headers = head->headers,
    .body = bytes,
    .body_size = size,
  };
  call->request = request;
  proxy_request_set_data (request, call);
  server->options.handle (server->options.data, call, &call_request);
}

static void
detach_call (proxy_request_t *request)
{
  call_t *call = proxy_request_data (request);
  proxy_request_set_data (request, NULL);
  if (call != NULL)
    call->request = NULL;
}

static void
cancelled (request_policy_t *policy, proxy_request_t *request, cancel_reason_t reason)
{
  detach_call (request);
}

static void
first_byte_written (request_policy_t *policy, proxy_request_t *request)
{
}

static bool
accept_response (request_policy_t *policy, proxy_request_t *request, int status,
                 const http_headers_t *headers)
{
  return false;
}

static void
ended (request_policy_t *policy, proxy_request_t *request, const attempt_result_t *result)
{
}

static void
finished (request_policy_t *policy, proxy_request_t *request)
{
  detach_call (request);
}

static const request_policy_ops_t policy_ops = {
  .begin = begin,
  .body = body,
  .cancelled = cancelled,
  .first_byte_written = first_byte_written,
  .accept_response = accept_response,
  .ended = ended,
  .finished = finished,
};

void
call_server_init (call_server_t *server, const call_server_options_t *options)
{
  *server = (call_server_t){ .policy.ops = &policy_ops, .options = *options };
  proxy_options_t proxy_options = {
    .loop = options->loop,
    .policy = &server->policy,
    .rng = options->rng,
    .program = "call_server",
    .instance = options->listen,
    .default_timeout_us = options->timeout_us,
    .max_kept_body_bytes = options->max_body_bytes,
  };
  proxy_init (&server->proxy, &proxy_options);
  caller_listener_options_t listener_options = {
    .listen = options->listen,
    .max_connections = options->max_connections,
    .counters = options->counters,
    .labels = options->labels,
    .conn = {
      .loop = options->loop,
      .proxy = &server->proxy,
      .header_timeout_us = HEADER_TIMEOUT_US,
      .idle_timeout_us = IDLE_TIMEOUT_US,
    },
  };
  caller_listener_init (&server->listener, &listener_options, NULL);
}

void
call_server_destroy (call_server_t *server)
{
  caller_listener_destroy (&server->listener);
  proxy_destroy (&server->proxy);
}

static void
add_headers (http_headers_t *headers, const call_answer_t *answer)
{
  char seconds[32];
  if (answer->content_type != NULL)
    http_headers_append (headers, "Content-Type", answer->content_type);
  if (answer->location != NULL)
    http_headers_append (headers, "Location", answer->location);
  if (answer->retry_after_us <= 0)
    return;
  g_ascii_formatd (seconds, sizeof (seconds), "%.3f",
                   (double)answer->retry_after_us / G_USEC_PER_SEC);
  http_headers_append (headers, "Retry-After", seconds);
}

void
call_answer (call_t *call, const call_answer_t *answer)
{
  proxy_request_t *request = call->request;
  g_free (call);
  if (request == NULL)
    return;
  proxy_request_set_data (request, NULL);
  http_headers_t headers;
  http_headers_init (&headers);
  add_headers (&headers, answer);
  request_response_t proxy_response = {
    .status = answer->status,
    .headers = &headers,
    .body = answer->body != NULL ? answer->body : "",
    .body_size = answer->body_size,
  };
  proxy_request_respond (request, &proxy_response);
  http_headers_destroy (&headers);
}

void
call_answer_status (call_t *call, int status)
{
  call_answer_t answer = { .status = status };
  call_answer (call, &answer);
}
