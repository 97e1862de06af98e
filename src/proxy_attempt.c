#include "proxy_request.h"

#include <inttypes.h>
#include <string.h>

#define LOG_MODULE "proxy"
#include "log.h"

/* A response whose body is longer is not read to its end when it is not passed on. */
#define MAX_DISCARDED_BYTES (64U * 1024)

static const char *const end_names[ATTEMPT_END_COUNT] = {
  [ATTEMPT_COMPLETE] = "complete",
  [ATTEMPT_SHED] = "shed",
  [ATTEMPT_DISCARDED] = "discarded",
  [ATTEMPT_CONNECT_FAILED] = "connect_failed",
  [ATTEMPT_CLOSED_REUSED] = "closed_reused",
  [ATTEMPT_CLOSED] = "closed",
  [ATTEMPT_TRUNCATED] = "truncated",
  [ATTEMPT_INVALID] = "invalid",
  [ATTEMPT_STALLED] = "stalled",
  [ATTEMPT_TIMED_OUT] = "timed_out",
  [ATTEMPT_CALLER_GONE] = "caller_gone",
  [ATTEMPT_CALLER_ERROR] = "caller_error",
  [ATTEMPT_STOPPING] = "stopping",
  [ATTEMPT_MEMORY] = "memory",
  [ATTEMPT_RECALLED] = "recalled",
};

const char *
attempt_end_name (attempt_end_t end)
{
  return end_names[end];
}

void
proxy_attempt_clear (proxy_attempt_t *attempt)
{
  http_headers_destroy (&attempt->extra_headers);
  g_free (attempt->address);
  if (attempt->captured != NULL)
    g_string_free (attempt->captured, TRUE);
  *attempt = (proxy_attempt_t){ 0 };
}

static bool
is_final (const proxy_request_t *request, attempt_end_t end, bool cancelled)
{
  return end == ATTEMPT_COMPLETE || end == ATTEMPT_CALLER_GONE || end == ATTEMPT_CALLER_ERROR
         || cancelled || request->response_started;
}

static void
finish_span (proxy_request_t *request, attempt_end_t end)
{
  const proxy_options_t *options = &request->proxy->options;
  span_t *span = &request->attempt.span;

  if (options->trace_file == NULL)
    return;
  span->end_ns = proxy_wall_time_ns ();
  span->failed = end != ATTEMPT_COMPLETE;
  span_set_attribute (span, "server.address", request->attempt.address);
  span_set_attribute (span, "anvillb.attempt_end", attempt_end_name (end));
  span_set_int_attribute (span, "anvillb.attempt", request->attempt_count);
  if (request->attempt.status != 0)
    span_set_int_attribute (span, "http.response.status_code", request->attempt.status);
  span_write (span, options->program, options->instance, options->trace_file);
}

/* Ends the attempt and reports it to the policy. The exchange must already be detached from its
 * connection. CANCELLED makes the result final: the proxy ends the request. */
static void
end_attempt (proxy_request_t *request, attempt_end_t end, const char *detail, bool cancelled)
{
  proxy_attempt_t attempt = request->attempt;
  request_policy_t *policy = request->proxy->options.policy;
  int64_t now_us = proxy_now_us (request);

  io_timer_cancel (&request->attempt_timer);
  finish_span (request, end);
  request->attempt = (proxy_attempt_t){ 0 };
  request->attempts_us += now_us - attempt.start_us;
  request->last_end = end;
  request->state = REQUEST_WAITING;
  if (attempt.wrote_bytes && !attempt.not_run)
    request->possibly_run = true;
  metric_inc (&request->proxy->counters.attempts[end]);
  if (end != ATTEMPT_COMPLETE)
    LOG_DEBUG ("attempt ended end=%s target=%s detail=\"%s\"", attempt_end_name (end),
               attempt.address, detail);

  attempt_result_t result = {
    .end = end,
    .final = is_final (request, end, cancelled),
    .wrote_bytes = attempt.wrote_bytes,
    .can_repeat = proxy_request_can_repeat (request),
    .status = attempt.status,
    .duration_us = now_us - attempt.start_us,
    .time_to_head_us
    = attempt.response_head_us > 0 ? attempt.response_head_us - attempt.start_us : 0,
    .detail = detail,
  };
  if (attempt.captured != NULL && !attempt.capture_failed)
    {
      result.body = attempt.captured->str;
      result.body_size = attempt.captured->len;
    }
  if (result.final)
    request->state = REQUEST_DONE;
  policy->ops->ended (policy, request, &result);
  proxy_attempt_clear (&attempt);
}

void
proxy_attempt_cancel (proxy_request_t *request, attempt_end_t end, const char *detail)
{
  upstream_pool_cancel (&request->exchange);
  end_attempt (request, end, detail, true);
}

void
proxy_attempt_recall (proxy_request_t *request)
{
  upstream_pool_cancel (&request->exchange);
  end_attempt (request, ATTEMPT_RECALLED, "waited for a connection", false);
}

static attempt_end_t
end_for_timeout (const proxy_request_t *request)
{
  return request->exchange.stalled ? ATTEMPT_STALLED : ATTEMPT_TIMED_OUT;
}

void
proxy_attempt_expired (io_timer_t *timer)
{
  proxy_request_t *request = CONTAINER_OF (timer, proxy_request_t, attempt_timer);
  request_policy_t *policy = request->proxy->options.policy;
  attempt_end_t end = end_for_timeout (request);
  bool started = request->response_started;
  if (policy->ops->attempt_timed_out != NULL
      && (started || !policy->ops->attempt_timed_out (policy, request)))
    return;
  upstream_pool_cancel (&request->exchange);
  end_attempt (request, end, "attempt timed out", false);
  if (started)
    proxy_request_abort (request);
}

static void
on_ready (upstream_exchange_t *exchange)
{
  proxy_request_t *request = CONTAINER_OF (exchange, proxy_request_t, exchange);
  GString *text = proxy_build_request_head (request);

  request->attempt.head_written = true;
  if (request->body != NULL && request->chunked)
    proxy_write_chunk (text, request->body->str, request->body->len);
  else if (request->body != NULL)
    g_string_append_len (text, request->body->str, (gssize)request->body->len);
  upstream_exchange_write (exchange, text->str, text->len);
  g_string_free (text, TRUE);
  if (request->body_complete)
    proxy_attempt_end_body (request);
  else
    proxy_request_pause_caller (request, false);
}

void
proxy_attempt_send_body (proxy_request_t *request, const char *bytes, size_t size)
{
  if (!request->chunked)
    upstream_exchange_write (&request->exchange, bytes, size);
  else
    {
      g_autoptr (GString) chunk = g_string_sized_new (size + 16);
      proxy_write_chunk (chunk, bytes, size);
      upstream_exchange_write (&request->exchange, chunk->str, chunk->len);
    }
  if (upstream_exchange_pending (&request->exchange) > PROXY_HIGH_WATER_BYTES
      || !upstream_exchange_may_send (&request->exchange))
    proxy_request_pause_caller (request, true);
}

void
proxy_attempt_end_body (proxy_request_t *request)
{
  static const char last_chunk[] = "0\r\n\r\n";
  if (request->chunked)
    upstream_exchange_write (&request->exchange, last_chunk, strlen (last_chunk));
  request->exchange.request_sent = true;
}

static void
resume_caller (upstream_exchange_t *exchange)
{
  proxy_request_t *request = CONTAINER_OF (exchange, proxy_request_t, exchange);
  if (!request->body_complete && request->attempt.head_written
      && upstream_exchange_pending (exchange) < PROXY_LOW_WATER_BYTES
      && upstream_exchange_may_send (exchange))
    proxy_request_pause_caller (request, false);
}

static void
on_written (upstream_exchange_t *exchange, size_t size)
{
  proxy_request_t *request = CONTAINER_OF (exchange, proxy_request_t, exchange);
  request_policy_t *policy = request->proxy->options.policy;

  if (!request->attempt.wrote_bytes)
    {
      request->attempt.wrote_bytes = true;
      policy->ops->first_byte_written (policy, request);
    }
  resume_caller (exchange);
  request->caller->ops->request_written (request->caller, size);
}

/* Returns whether the response proves that the target did not run the request. */
static bool
proves_not_run (const http_dialect_t *dialect, const http_head_t *head)
{
  const char *value = http_headers_get (&head->headers, dialect->not_run_header);
  if (dialect->wrong_target_status != 0 && head->status == dialect->wrong_target_status)
    return true;
  return value != NULL && (dialect->not_run_status == 0 || head->status == dialect->not_run_status)
         && (dialect->not_run_value == NULL || strcmp (value, dialect->not_run_value) == 0);
}

static response_owner_t
response_owner (upstream_exchange_t *exchange, const http_head_t *head)
{
  const proxy_request_t *request = CONTAINER_OF (exchange, proxy_request_t, exchange);
  const http_dialect_t *dialect = request->proxy->options.dialect;

  if (dialect->request_id_header != NULL)
    {
      /* Every response to a request with an id must repeat it; bytes after an earlier response may
       * look like a response without one. */
      const char *request_id = http_headers_get (&request->headers, dialect->request_id_header);
      const char *response_id = http_headers_get (&head->headers, dialect->request_id_header);
      return g_strcmp0 (request_id, response_id) == 0 ? RESPONSE_OWN : RESPONSE_OF_ANOTHER;
    }
  if (dialect->attempt_id_header == NULL)
    return RESPONSE_WITHOUT_ID;
  const char *attempt_id = http_headers_get (&head->headers, dialect->attempt_id_header);
  /* An entry of an earlier version leaves the id out of the responses that it generates. */
  if (attempt_id == NULL)
    return request->attempt.options.target_is_entry ? RESPONSE_OWN : RESPONSE_WITHOUT_ID;
  return strcmp (request->attempt.id, attempt_id) == 0 ? RESPONSE_OWN : RESPONSE_OF_ANOTHER;
}

static void
discard_response (proxy_request_t *request, attempt_end_t end)
{
  request->attempt.discarding = true;
  request->attempt.discarded_as = end;
}

static void
on_head (upstream_exchange_t *exchange, http_head_t *head)
{
  proxy_request_t *request = CONTAINER_OF (exchange, proxy_request_t, exchange);
  request_policy_t *policy = request->proxy->options.policy;

  request->attempt.response_head_us = proxy_now_us (request);
  request->attempt.status = head->status;
  if (policy->ops->response_head != NULL)
    policy->ops->response_head (policy, request, head->status, &head->headers);
  if (proves_not_run (request->proxy->options.dialect, head))
    {
      g_free (request->retry_after);
      request->retry_after = g_strdup (http_headers_get (&head->headers, "Retry-After"));
      request->attempt.not_run = true;
      discard_response (request, ATTEMPT_SHED);
      return;
    }
  request->attempt.not_run = request->attempt.options.target_is_entry
                             && http_headers_get (&head->headers, "Anvillb-Not-Run") != NULL;
  if (!policy->ops->accept_response (policy, request, head->status, &head->headers))
    {
      discard_response (request, ATTEMPT_DISCARDED);
      return;
    }
  request->keep_alive = request->keep_alive && !request->proxy->draining;
  if (request->version_minor == 0)
    request->keep_alive = false;
  GString *text = proxy_build_response_head (request, head);
  /* A response that has started rules out another attempt. */
  proxy_request_drop_body (request);
  request->response_started = true;
  request->response_status = head->status;
  request->caller->ops->write (request->caller, text->str, text->len);
  g_string_free (text, TRUE);
  if (request->attempt.options.max_capture_bytes > 0)
    request->attempt.captured = g_string_new (NULL);
}

static void
capture_body (proxy_attempt_t *attempt, const char *bytes, size_t size)
{
  if (attempt->captured == NULL || attempt->capture_failed)
    return;
  if (attempt->captured->len + size > attempt->options.max_capture_bytes)
    attempt->capture_failed = true;
  else
    g_string_append_len (attempt->captured, bytes, (gssize)size);
}

/* Drops SIZE bytes of the body. Ends the attempt and closes the connection if the body is long. */
static void
discard_body (proxy_request_t *request, size_t size)
{
  request->attempt.discarded_bytes += size;
  if (request->attempt.discarded_bytes <= MAX_DISCARDED_BYTES)
    return;
  upstream_pool_cancel (&request->exchange);
  end_attempt (request, request->attempt.discarded_as, "long response discarded", false);
}

static void
on_body (upstream_exchange_t *exchange, const char *bytes, size_t size)
{
  proxy_request_t *request = CONTAINER_OF (exchange, proxy_request_t, exchange);
  caller_exchange_t *caller = request->caller;

  if (request->attempt.discarding)
    {
      discard_body (request, size);
      return;
    }
  capture_body (&request->attempt, bytes, size);
  if (!request->response_chunked)
    caller->ops->write (caller, bytes, size);
  else
    {
      g_autoptr (GString) chunk = g_string_sized_new (size + 16);
      proxy_write_chunk (chunk, bytes, size);
      caller->ops->write (caller, chunk->str, chunk->len);
    }
  if (caller->ops->pending (caller) > PROXY_HIGH_WATER_BYTES)
    upstream_exchange_pause (exchange, true);
}

static void
on_complete (upstream_exchange_t *exchange)
{
  proxy_request_t *request = CONTAINER_OF (exchange, proxy_request_t, exchange);
  if (request->attempt.discarding)
    {
      end_attempt (request, request->attempt.discarded_as, "response discarded", false);
      return;
    }
  if (request->response_chunked)
    request->caller->ops->write (request->caller, "0\r\n\r\n", 5);
  end_attempt (request, ATTEMPT_COMPLETE, "", false);
  proxy_request_finish (request, request->keep_alive);
}

static attempt_end_t
end_for_failure (const proxy_request_t *request, upstream_failure_t failure)
{
  /* The head of a discarded response decides the end, even if the body is incomplete. */
  if (request->attempt.discarding)
    return request->attempt.discarded_as;
  switch (failure)
    {
    case UPSTREAM_CONNECT_FAILED:
      return ATTEMPT_CONNECT_FAILED;
    case UPSTREAM_CLOSED:
      return request->exchange.on_reused_connection ? ATTEMPT_CLOSED_REUSED : ATTEMPT_CLOSED;
    case UPSTREAM_TRUNCATED:
      return ATTEMPT_TRUNCATED;
    case UPSTREAM_STALLED:
      return ATTEMPT_STALLED;
    case UPSTREAM_INVALID:
      break;
    }
  return ATTEMPT_INVALID;
}

static void
on_failed (upstream_exchange_t *exchange, upstream_failure_t failure, const char *detail)
{
  proxy_request_t *request = CONTAINER_OF (exchange, proxy_request_t, exchange);
  bool started = request->response_started;
  end_attempt (request, end_for_failure (request, failure), detail, false);
  if (started)
    proxy_request_abort (request);
}

static const upstream_exchange_ops_t exchange_ops = {
  .ready = on_ready,
  .written = on_written,
  .relieved = resume_caller,
  .response_owner = response_owner,
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .failed = on_failed,
};

void
proxy_attempt_start (proxy_request_t *request, const request_dispatch_t *dispatch)
{
  proxy_attempt_t *attempt = &request->attempt;
  const proxy_options_t *options = &request->proxy->options;

  *attempt = (proxy_attempt_t){ .options = *dispatch, .start_us = proxy_now_us (request) };
  attempt->address = g_strdup (dispatch->address);
  http_headers_append_all (&attempt->extra_headers, dispatch->extra_headers);
  attempt->options.address = attempt->address;
  attempt->options.extra_headers = &attempt->extra_headers;
  g_snprintf (attempt->id, sizeof (attempt->id), "%016" PRIx64, rng_next (options->rng));
  span_start_child (&attempt->span, "attempt", &request->span, options->rng, proxy_wall_time_ns ());
  request->state = REQUEST_ATTEMPT;
  request->attempt_count++;
  if (dispatch->attempt_timeout_us > 0)
    io_timer_set (options->loop, &request->attempt_timer,
                  attempt->start_us + dispatch->attempt_timeout_us);

  request->exchange.ops = &exchange_ops;
  request->exchange.stall_timeout_us = dispatch->stall_timeout_us;
  request->exchange.end_on_stall = dispatch->end_on_stall;
  request->exchange.is_head_request = request->method_is_head;
  request->exchange.prefer_new_connection = dispatch->prefer_new_connection;
  request->exchange.avoid_stale_connection = dispatch->avoid_stale_connection;
  upstream_pool_acquire (options->pool, attempt->address, dispatch->max_connections,
                         &request->exchange);
}
