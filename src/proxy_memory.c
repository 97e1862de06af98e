#include "proxy_request.h"

#define LOG_MODULE "proxy"
#include "log.h"

/* Retry-After, in milliseconds, of a request that is refused for memory. Callers that come back
 * together would fill the memory again, so the time is spread. */
#define MIN_RETRY_AFTER_MS 500
#define MAX_RETRY_AFTER_MS 1500
#define REFUSED_TEXT "out of memory for requests"
/* Size of the buffer for a quoted request id in a log line. */
#define LOGGED_ID_SIZE 96

static void
log_end (const proxy_request_t *request, const char *event, int status)
{
  char buffer[LOGGED_ID_SIZE];
  const char *field = request->proxy->options.dialect->request_id_header;
  const char *id = field != NULL ? http_headers_get (&request->headers, field) : NULL;
  LOG_INFO ("%s id=%s status=%d reason=memory", event,
            log_quote (id != NULL ? id : "", buffer, sizeof (buffer)), status);
}

static void
set_retry_after (proxy_request_t *request)
{
  uint64_t ms
      = MIN_RETRY_AFTER_MS
        + rng_next (request->proxy->options.rng) % (MAX_RETRY_AFTER_MS - MIN_RETRY_AFTER_MS);
  g_free (request->retry_after);
  request->retry_after = g_strdup_printf ("%u.%03u", (unsigned)(ms / 1000), (unsigned)(ms % 1000));
}

bool
proxy_refuses_for_memory (const proxy_t *proxy)
{
  const memory_budget_t *memory = proxy->options.memory;
  return memory != NULL && memory_budget_level (memory) >= MEMORY_FULL;
}

void
proxy_request_refuse_for_memory (proxy_request_t *request)
{
  metric_inc (&request->proxy->counters.refused_for_memory);
  log_end (request, "refused", 503);
  set_retry_after (request);
  proxy_request_send_error (request, 503, REFUSED_TEXT);
}

void
proxy_request_end_for_memory (proxy_request_t *request)
{
  bool not_run = !request->possibly_run && !request->attempt.wrote_bytes;
  int status = not_run ? 503 : 502;

  if (request->state == REQUEST_DONE)
    return;
  log_end (request, "ended", request->response_started ? request->response_status : status);
  set_retry_after (request);
  request->keep_alive = false;
  proxy_request_end_with_error (request, CANCEL_MEMORY, ATTEMPT_MEMORY, status, REFUSED_TEXT);
}

void
proxy_request_drop_kept_body (proxy_request_t *request)
{
  if (request->state == REQUEST_ATTEMPT && request->attempt.head_written && request->body != NULL)
    proxy_request_drop_body (request);
}

proxy_held_t
proxy_request_read_held (proxy_request_t *request, bool read_kernel)
{
  const upstream_conn_t *conn = request->exchange.conn;
  const GString *captured = request->attempt.captured;
  proxy_held_t held = { 0 };

  held.kept_bytes = (request->body != NULL ? request->body->allocated_len : 0)
                    + (captured != NULL ? captured->allocated_len : 0);
  if (conn == NULL)
    {
      request->kernel = (byte_stream_kernel_t){ 0 };
      return held;
    }
  if (read_kernel)
    {
      size_t before = request->kernel.output_bytes;
      request->kernel = byte_stream_kernel_bytes (&conn->stream);
      if (before > request->kernel.output_bytes)
        held.moved_bytes = before - request->kernel.output_bytes;
    }
  held.unread_bytes = byte_stream_held_bytes (&conn->stream) + request->kernel.output_bytes;
  held.kept_bytes += request->kernel.input_bytes;
  held.waits_for_target = request->caller_paused;
  return held;
}
