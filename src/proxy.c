#include "proxy_request.h"

#include <string.h>

#define LOG_MODULE "proxy"
#include "log.h"

/* Digits of the remaining time in milliseconds; 9 digits allow 11 days. */
#define MAX_DEADLINE_DIGITS 9
#define NS_PER_US 1000

int64_t
proxy_now_us (const proxy_request_t *request)
{
  return io_loop_now_us (request->proxy->options.loop);
}

int64_t
proxy_wall_time_ns (void)
{
  return g_get_real_time () * NS_PER_US;
}

static void
register_counters (proxy_t *proxy)
{
  static const char *const status_labels[] = { "class=\"none\"", "class=\"1xx\"", "class=\"2xx\"",
                                               "class=\"3xx\"",  "class=\"4xx\"", "class=\"5xx\"" };
  static const char *const end_labels[ATTEMPT_END_COUNT] = {
    "end=\"complete\"",      "end=\"shed\"",      "end=\"discarded\"",   "end=\"connect_failed\"",
    "end=\"closed_reused\"", "end=\"closed\"",    "end=\"truncated\"",   "end=\"invalid\"",
    "end=\"stalled\"",       "end=\"timed_out\"", "end=\"caller_gone\"", "end=\"caller_error\"",
    "end=\"stopping\"",      "end=\"memory\"",    "end=\"recalled\"",
  };
  proxy_counters_t *counters = &proxy->counters;
  metric_registry_t *registry = proxy->options.counters;

  metric_register (registry, &counters->requests, METRIC_KIND_COUNTER, "anvillb_requests_total",
                   NULL, "Requests from callers.");
  metric_register (registry, &counters->in_flight, METRIC_KIND_GAUGE, "anvillb_requests_in_flight",
                   NULL, "Requests in progress.");
  for (size_t i = 0; i < G_N_ELEMENTS (counters->responses); i++)
    metric_register (registry, &counters->responses[i], METRIC_KIND_COUNTER,
                     "anvillb_responses_total", status_labels[i], "Responses to callers.");
  for (size_t i = 0; i < ATTEMPT_END_COUNT; i++)
    metric_register (registry, &counters->attempts[i], METRIC_KIND_COUNTER,
                     "anvillb_attempts_total", end_labels[i], "Attempts at backend servers.");
  metric_register (registry, &counters->not_run, METRIC_KIND_COUNTER, "anvillb_not_run_total", NULL,
                   "Responses with Anvillb-Not-Run.");
  metric_register (registry, &counters->outcome_unknown, METRIC_KIND_COUNTER,
                   "anvillb_outcome_unknown_total", NULL,
                   "Responses with Anvillb-Outcome: unknown.");
  metric_register (registry, &counters->aborted, METRIC_KIND_COUNTER, "anvillb_aborted_total", NULL,
                   "Responses that were cut off.");
  metric_register (registry, &counters->added_latency, METRIC_KIND_HISTOGRAM,
                   "anvillb_added_latency_ms", NULL,
                   "Time of a request that was not spent in attempts.");
  if (proxy->options.memory != NULL)
    metric_register (registry, &counters->refused_for_memory, METRIC_KIND_COUNTER,
                     "anvillb_memory_refused_total", NULL, "Requests refused for memory.");
}

void
proxy_init (proxy_t *proxy, const proxy_options_t *options)
{
  /* Receives the counters of proxies without a registry; it is never read. */
  static metric_registry_t unexported;

  *proxy = (proxy_t){ .options = *options };
  list_init (&proxy->requests);
  if (options->dialect == NULL)
    proxy->options.dialect = &http_dialect_native;
  if (options->counters == NULL)
    {
      metric_registry_init (&unexported);
      proxy->options.counters = &unexported;
    }
  register_counters (proxy);
}

void
proxy_destroy (proxy_t *proxy)
{
  list_node_t *node = NULL;
  while ((node = list_first (&proxy->requests)) != NULL)
    {
      proxy_request_t *request = CONTAINER_OF (node, proxy_request_t, node);
      caller_exchange_t *caller = request->caller;
      bool end_delimits = request->end_delimits;
      proxy_request_caller_gone (request);
      caller->ops->aborted (caller, end_delimits);
    }
}

size_t
proxy_in_flight_count (const proxy_t *proxy)
{
  return (size_t)proxy->counters.in_flight.value;
}

static void
free_request (io_deferred_t *deferred)
{
  proxy_request_t *request = CONTAINER_OF (deferred, proxy_request_t, deferred_free);
  proxy_attempt_clear (&request->attempt);
  http_headers_destroy (&request->headers);
  g_free (request->target);
  g_free (request->retry_after);
  if (request->body != NULL)
    g_string_free (request->body, TRUE);
  g_free (request);
}

static void
write_span (proxy_request_t *request)
{
  const proxy_options_t *options = &request->proxy->options;
  span_t *span = &request->span;

  if (options->trace_file == NULL)
    return;
  span->end_ns = proxy_wall_time_ns ();
  span->failed = request->response_status == 0 || request->response_status >= 500;
  span_set_attribute (span, "http.request.method", request->head.method);
  span_set_attribute (span, "url.path", request->target);
  span_set_int_attribute (span, "http.response.status_code", request->response_status);
  span_set_int_attribute (span, "anvillb.attempts", request->attempt_count);
  span_write (span, options->program, options->instance, options->trace_file);
}

/* Counts and traces the end of the request and reports it to the policy. The request is freed
 * later, from the main loop. */
static void
end_request (proxy_request_t *request)
{
  proxy_t *proxy = request->proxy;
  request_policy_t *policy = proxy->options.policy;

  request->state = REQUEST_DONE;
  io_timer_cancel (&request->deadline_timer);
  io_timer_cancel (&request->attempt_timer);
  list_remove (&request->node);
  write_span (request);
  metric_add (&proxy->counters.in_flight, -1);
  metric_inc (&proxy->counters.responses[request->response_status / 100]);
  int64_t total_us = proxy_now_us (request) - request->head.received_us;
  metric_observe_ms (&proxy->counters.added_latency,
                     (double)(total_us - request->attempts_us) / 1000);
  if (request->known_to_policy)
    policy->ops->finished (policy, request);
  io_loop_defer (proxy->options.loop, &request->deferred_free);
}

void
proxy_request_finish (proxy_request_t *request, bool keep_alive)
{
  caller_exchange_t *caller = request->caller;
  end_request (request);
  caller->ops->finished (caller, keep_alive);
}

void
proxy_request_abort (proxy_request_t *request)
{
  caller_exchange_t *caller = request->caller;
  metric_inc (&request->proxy->counters.aborted);
  end_request (request);
  caller->ops->aborted (caller, request->end_delimits);
}

static void
send_response (proxy_request_t *request, const request_response_t *response)
{
  proxy_counters_t *counters = &request->proxy->counters;
  bool keep_alive = request->keep_alive && request->version_minor > 0 && !request->proxy->draining
                    && !request->expects_continue;

  if (response->reports_outcome)
    metric_inc (request->possibly_run ? &counters->outcome_unknown : &counters->not_run);
  GString *text = proxy_build_response (request, response, keep_alive);
  request->response_started = true;
  request->response_status = response->status;
  request->caller->ops->write (request->caller, text->str, text->len);
  g_string_free (text, TRUE);
  proxy_request_finish (request, keep_alive);
}

void
proxy_request_send_error (proxy_request_t *request, int status, const char *text)
{
  char body[PROXY_MAX_ERROR_BODY_SIZE];
  http_headers_t headers;
  int size = g_snprintf (body, sizeof (body), "%s\n", text);

  http_headers_init (&headers);
  http_headers_append (&headers, "Content-Type", "text/plain");
  if (status == 503)
    http_headers_append (&headers, "Retry-After",
                         request->retry_after != NULL ? request->retry_after : "1");
  request_response_t response = {
    .status = status,
    .headers = &headers,
    .body = body,
    .body_size = MIN ((size_t)size, sizeof (body) - 1),
    .reports_outcome = true,
  };
  send_response (request, &response);
  http_headers_destroy (&headers);
}

static void
notify_policy_cancelled (proxy_request_t *request, cancel_reason_t reason)
{
  request_policy_t *policy = request->proxy->options.policy;
  request->state = REQUEST_DONE;
  policy->ops->cancelled (policy, request, reason);
}

void
proxy_request_end_with_error (proxy_request_t *request, cancel_reason_t reason, attempt_end_t end,
                              int status, const char *text)
{
  if (request->state == REQUEST_ATTEMPT)
    proxy_attempt_cancel (request, end, text);
  else
    notify_policy_cancelled (request, reason);
  if (request->response_started)
    proxy_request_abort (request);
  else
    proxy_request_send_error (request, status, text);
}

static void
on_deadline (io_timer_t *timer)
{
  proxy_request_t *request = CONTAINER_OF (timer, proxy_request_t, deadline_timer);
  attempt_end_t end = request->exchange.stalled ? ATTEMPT_STALLED : ATTEMPT_TIMED_OUT;
  bool not_run = !request->possibly_run && !request->attempt.wrote_bytes;
  /* Without outcome fields, only status 503 tells the caller that the request was not run. */
  int status = not_run && !request->proxy->options.dialect->sends_outcome_headers ? 503 : 504;
  proxy_request_end_with_error (request, CANCEL_DEADLINE, end, status, "deadline exceeded");
}

const char *
cancel_reason_name (cancel_reason_t reason)
{
  static const char *const names[] = {
    [CANCEL_CALLER_GONE] = "caller_gone",
    [CANCEL_DEADLINE] = "deadline",
    [CANCEL_CALLER_ERROR] = "caller_error",
    [CANCEL_STOPPING] = "stopping",
    [CANCEL_MEMORY] = "memory",
  };
  return names[reason];
}

void
proxy_request_arm_deadline (proxy_request_t *request)
{
  io_timer_set (request->proxy->options.loop, &request->deadline_timer, request->deadline_us);
}

/* Stores the deadline that follows from the header field with the remaining time of the caller, if
 * there is one. Returns false if the field is malformed. */
static bool
parse_deadline (proxy_request_t *request)
{
  const char *text
      = http_headers_get (&request->headers, request->proxy->options.dialect->deadline_header);
  if (text == NULL)
    return true;
  size_t digits = strspn (text, "0123456789");
  if (digits == 0 || digits > MAX_DEADLINE_DIGITS || text[digits] != '\0')
    return false;
  int64_t remaining_us = g_ascii_strtoll (text, NULL, 10) * 1000;
  request->head.deadline_us = request->head.received_us + remaining_us;
  return true;
}

static void
fill_head (proxy_request_t *request, const http_head_t *head)
{
  request->head = (request_head_t){
    .method = head->method,
    .request_target = request->target,
    .path_size = strcspn (request->target, "?"),
    .host = http_headers_get (&request->headers, "Host"),
    .headers = &request->headers,
    .caller_address = request->caller->address,
    .has_body = head->has_body,
    .content_length = head->content_length,
    .received_us = proxy_now_us (request),
  };
}

proxy_request_t *
proxy_request_new (proxy_t *proxy, caller_exchange_t *caller, http_head_t *head)
{
  proxy_request_t *request = g_new0 (proxy_request_t, 1);

  request->proxy = proxy;
  request->caller = caller;
  request->target = head->request_target;
  request->headers = head->headers;
  head->request_target = NULL;
  http_headers_init (&head->headers);
  request->version_minor = head->version_minor;
  request->chunked = head->chunked;
  request->keep_alive = head->keep_alive;
  request->method_is_head = strcmp (head->method, "HEAD") == 0;
  request->body_complete = !head->has_body;
  fill_head (request, head);
  list_node_init (&request->exchange.node);
  io_timer_init (&request->deadline_timer, on_deadline);
  io_timer_init (&request->attempt_timer, proxy_attempt_expired);
  io_deferred_init (&request->deferred_free, free_request);
  list_push_back (&proxy->requests, &request->node);
  metric_inc (&proxy->counters.requests);
  metric_add (&proxy->counters.in_flight, 1);
  span_start (&request->span, "request", http_headers_get (&request->headers, "traceparent"),
              proxy->options.rng, proxy_wall_time_ns ());
  return request;
}

void
proxy_request_start (proxy_request_t *request)
{
  const proxy_options_t *options = &request->proxy->options;
  const char *expect = http_headers_get (&request->headers, "Expect");

  request->expects_continue = expect != NULL && request->head.has_body;
  bool deadline_valid = parse_deadline (request);
  request->deadline_us = request->head.received_us + options->default_timeout_us;
  if (request->head.deadline_us != 0)
    request->deadline_us = MIN (request->deadline_us, request->head.deadline_us);

  if (request->proxy->refusing)
    proxy_request_refuse_for_stop (request);
  else if (proxy_refuses_for_memory (request->proxy))
    proxy_request_refuse_for_memory (request);
  else if (expect != NULL && g_ascii_strcasecmp (expect, "100-continue") != 0)
    proxy_request_send_error (request, 417, "unknown expectation");
  else if (!deadline_valid)
    proxy_request_send_error (request, 400, "malformed remaining time");
  else if (request->deadline_us <= request->head.received_us)
    proxy_request_send_error (request, 504, "deadline exceeded");
  else
    {
      request->known_to_policy = true;
      proxy_request_arm_deadline (request);
      options->policy->ops->begin (options->policy, request, &request->head);
    }
}

void
proxy_request_append_body (proxy_request_t *request, const char *bytes, size_t size)
{
  if (request->body == NULL)
    request->body = g_string_sized_new (size + 1);
  g_string_append_len (request->body, bytes, (gssize)size);
}

void
proxy_request_pause_caller (proxy_request_t *request, bool paused)
{
  if (request->caller_paused == paused)
    return;
  request->caller_paused = paused;
  request->caller->ops->set_reading (request->caller, !paused);
}

void
proxy_request_send_continue (proxy_request_t *request)
{
  static const char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";
  if (!request->expects_continue)
    return;
  request->expects_continue = false;
  if (request->body_bytes == 0 && request->version_minor > 0)
    request->caller->ops->write (request->caller, continue_response, strlen (continue_response));
}

static bool
body_exceeds (const proxy_request_t *request, size_t limit)
{
  int64_t limit_bytes = (int64_t)MIN (limit, (size_t)INT64_MAX);
  return request->body_bytes > limit || request->head.content_length > limit_bytes;
}

/* Returns whether the request body is longer than the current state allows, by the bytes received
 * or by Content-Length. */
static bool
body_is_too_large (const proxy_request_t *request)
{
  if (request->state == REQUEST_READING_BODY)
    return body_exceeds (request, request->max_read_bytes);
  size_t limit = request->attempt.options.max_body_bytes;
  return request->state == REQUEST_ATTEMPT && limit > 0 && body_exceeds (request, limit);
}

static void
refuse_large_body (proxy_request_t *request)
{
  proxy_request_end_with_error (request, CANCEL_CALLER_ERROR, ATTEMPT_CALLER_ERROR, 413,
                                "request body too large");
}

void
proxy_request_drop_body (proxy_request_t *request)
{
  request->body_dropped = true;
  if (request->body != NULL)
    g_string_free (request->body, TRUE);
  request->body = NULL;
}

void
proxy_request_receive_body (proxy_request_t *request, const char *bytes, size_t size)
{
  size_t max_kept_body_bytes = request->proxy->options.max_kept_body_bytes;

  if (request->state == REQUEST_DONE)
    return;
  request->body_bytes += size;
  if (body_is_too_large (request))
    {
      refuse_large_body (request);
      return;
    }
  bool sending = request->state == REQUEST_ATTEMPT && request->attempt.head_written;
  if (sending && !request->body_dropped
      && (request->body_bytes > max_kept_body_bytes || !request->attempt.options.keep_body))
    proxy_request_drop_body (request);
  if (!request->body_dropped)
    proxy_request_append_body (request, bytes, size);
  if (sending)
    proxy_attempt_send_body (request, bytes, size);
  else if (request->state != REQUEST_READING_BODY && request->body_bytes >= max_kept_body_bytes)
    proxy_request_pause_caller (request, true);
}

static void
pass_body_to_policy (proxy_request_t *request)
{
  request_policy_t *policy = request->proxy->options.policy;
  request->state = REQUEST_WAITING;
  const char *body = request->body == NULL ? "" : request->body->str;
  size_t size = request->body == NULL ? 0 : request->body->len;
  policy->ops->body (policy, request, body, size);
}

void
proxy_request_receive_end (proxy_request_t *request)
{
  if (request->state == REQUEST_DONE || request->body_complete)
    return;
  request->body_complete = true;
  if (request->state == REQUEST_READING_BODY)
    pass_body_to_policy (request);
  else if (request->state == REQUEST_ATTEMPT && request->attempt.head_written)
    proxy_attempt_end_body (request);
}

void
proxy_request_caller_error (proxy_request_t *request, const char *detail)
{
  if (request->state == REQUEST_DONE)
    return;
  request->keep_alive = false;
  proxy_request_end_with_error (request, CANCEL_CALLER_ERROR, ATTEMPT_CALLER_ERROR, 400, detail);
}

void
proxy_request_caller_gone (proxy_request_t *request)
{
  if (request->state == REQUEST_DONE)
    return;
  if (request->state == REQUEST_ATTEMPT)
    proxy_attempt_cancel (request, ATTEMPT_CALLER_GONE, "caller disconnected");
  else
    notify_policy_cancelled (request, CANCEL_CALLER_GONE);
  end_request (request);
}

void
proxy_request_output_written (proxy_request_t *request)
{
  if (request->state != REQUEST_ATTEMPT)
    return;
  if (request->caller->ops->pending (request->caller) < PROXY_LOW_WATER_BYTES)
    upstream_exchange_pause (&request->exchange, false);
}

void
proxy_request_set_data (proxy_request_t *request, void *data)
{
  request->policy_data = data;
}

void *
proxy_request_data (const proxy_request_t *request)
{
  return request->policy_data;
}

const request_head_t *
proxy_request_head (const proxy_request_t *request)
{
  return &request->head;
}

bool
proxy_request_can_repeat (const proxy_request_t *request)
{
  return !request->body_dropped;
}

void
proxy_request_respond (proxy_request_t *request, const request_response_t *response)
{
  g_return_if_fail (request->state == REQUEST_WAITING);
  send_response (request, response);
}

void
proxy_request_read_body (proxy_request_t *request, size_t max_bytes)
{
  g_return_if_fail (request->state == REQUEST_WAITING);
  request->state = REQUEST_READING_BODY;
  request->max_read_bytes = max_bytes;
  if (body_is_too_large (request))
    {
      refuse_large_body (request);
      return;
    }
  if (request->body_complete)
    {
      pass_body_to_policy (request);
      return;
    }
  proxy_request_send_continue (request);
  proxy_request_pause_caller (request, false);
}

void
proxy_request_set_deadline (proxy_request_t *request, int64_t deadline_us)
{
  request->deadline_us = deadline_us;
  if (request->head.deadline_us != 0)
    request->deadline_us = MIN (request->deadline_us, request->head.deadline_us);
  proxy_request_arm_deadline (request);
}

void
proxy_request_dispatch (proxy_request_t *request, const request_dispatch_t *dispatch)
{
  g_return_if_fail (request->state == REQUEST_WAITING);
  if (request->body_dropped)
    {
      LOG_WARNING ("attempt not started: the start of the request body is no longer buffered");
      proxy_request_fail (request);
      return;
    }
  if (dispatch->max_body_bytes > 0 && body_exceeds (request, dispatch->max_body_bytes))
    {
      refuse_large_body (request);
      return;
    }
  if (dispatch->deadline_us != 0)
    proxy_request_set_deadline (request, dispatch->deadline_us);
  proxy_attempt_start (request, dispatch);
  if (!request->body_complete)
    proxy_request_send_continue (request);
}

void
proxy_request_fail (proxy_request_t *request)
{
  g_return_if_fail (request->state == REQUEST_WAITING);
  switch (request->last_end)
    {
    case ATTEMPT_SHED:
      proxy_request_send_error (request, 503, "backend server is overloaded");
      break;
    case ATTEMPT_RECALLED:
      proxy_request_send_error (request, 503, "request not sent in time");
      break;
    case ATTEMPT_STALLED:
    case ATTEMPT_TIMED_OUT:
      proxy_request_send_error (request, 504, "backend server did not answer in time");
      break;
    case ATTEMPT_CONNECT_FAILED:
      proxy_request_send_error (request, 502, "cannot connect to backend server");
      break;
    default:
      proxy_request_send_error (request, 502, "no valid response from backend server");
      break;
    }
}
