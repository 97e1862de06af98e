#include "fake_backend.h"

#include <string.h>

#define PROBE_PATH "/health"
#define READ_BUFFER_BYTES (64 * 1024)
#define COLD_FACTOR 10

static void start_waiting (fake_backend_t *backend);

static void
free_conn (io_deferred_t *deferred)
{
  fake_conn_t *conn = CONTAINER_OF (deferred, fake_conn_t, deferred_free);
  http_codec_destroy (&conn->codec);
  g_free (conn->echo);
  g_free (conn->attempt_id);
  g_free (conn->key);
  g_free (conn);
}

static void
close_conn (fake_conn_t *conn, bool reset)
{
  fake_backend_t *backend = conn->backend;
  if (conn->stream.closed)
    return;
  byte_stream_close (&conn->stream, reset);
  list_remove (&conn->node);
  list_remove (&conn->waiting_node);
  if (conn->running || conn->waiting)
    backend->stats.cancelled++;
  if (conn->running)
    backend->running--;
  if (conn->timer != 0)
    g_source_remove (conn->timer);
  backend->stats.open--;
  io_loop_defer (backend->loop, &conn->deferred_free);
  start_waiting (backend);
}

void
fake_conn_send (fake_conn_t *conn, const char *text, size_t size)
{
  if (conn->silent)
    return;
  byte_stream_write (&conn->stream, text, size);
  http_codec_reset (&conn->codec);
  byte_stream_set_reading (&conn->stream, true);
}

static bool
fault_occurs (fake_backend_t *backend, double share)
{
  return share > 0 && rng_uniform_double (&backend->rng) < share;
}

static bool
is_faulty_phase (const fake_backend_t *backend)
{
  int64_t period_us = (int64_t)(backend->faults.flap_ms * 1000);
  if (period_us <= 0)
    return false;
  int64_t elapsed_us = io_loop_now_us (backend->loop) - backend->faults_changed_us;
  return elapsed_us / period_us % 2 == 1;
}

static void
send_response (fake_conn_t *conn, int status, const char *extra_fields, const char *body,
               size_t size)
{
  GString *text = g_string_sized_new (256 + size);
  g_string_append_printf (text, "HTTP/1.1 %d Fake\r\nContent-Length: %zu\r\n%s", status, size,
                          extra_fields);
  if (conn->echo != NULL)
    g_string_append_printf (text, "X-Echo: %s%s\r\n", conn->echo,
                            fault_occurs (conn->backend, conn->backend->faults.echo_wrong) ? "0"
                                                                                           : "");
  if (conn->attempt_id != NULL)
    g_string_append_printf (text, "Anvillb-Attempt: %s\r\n", conn->attempt_id);
  g_string_append (text, "\r\n");
  if (!conn->is_head_request)
    g_string_append_len (text, body, (gssize)size);
  fake_conn_send (conn, text->str, text->len);
  g_string_free (text, TRUE);
}

static void
send_truncated (fake_conn_t *conn)
{
  static const char text[]
      = "HTTP/1.1 200 Fake\r\nX-Sheet-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
  fake_conn_send (conn, text, strlen (text));
  /* on_written() closes the connection once the text is written. */
  byte_stream_set_reading (&conn->stream, false);
  conn->silent = true;
}

static void
respond (fake_conn_t *conn)
{
  fake_backend_t *backend = conn->backend;
  size_t size = (size_t)backend->options.body_bytes;

  if (fault_occurs (backend, backend->faults.truncate))
    send_truncated (conn);
  else if (fault_occurs (backend, backend->faults.two_lengths))
    send_response (conn, 200, "Content-Length: 1\r\n", "ok", 2);
  else if (is_faulty_phase (backend) || fault_occurs (backend, backend->faults.error))
    send_response (conn, 500, "", "error", 5);
  else if (fault_occurs (backend, backend->faults.false_not_run))
    send_response (conn, 503, "Anvillb-Not-Run: 1\r\n", "", 0);
  else if (fault_occurs (backend, backend->faults.wrong))
    send_response (conn, 200, "", "wrong", 5);
  else
    {
      g_autofree char *body = g_strnfill (size, 'x');
      send_response (conn, 200, "X-Sheet-Id: 1\r\n", body, size);
    }
}

static gboolean
on_executed (gpointer data)
{
  fake_conn_t *conn = data;
  conn->timer = 0;
  if (!conn->probe)
    {
      conn->running = false;
      conn->backend->running--;
      conn->backend->stats.completed++;
    }
  respond (conn);
  start_waiting (conn->backend);
  return G_SOURCE_REMOVE;
}

static void
count_execution (fake_conn_t *conn)
{
  fake_backend_t *backend = conn->backend;
  conn->running = true;
  backend->running++;
  backend->stats.executed++;
  backend->stats.max_running = MAX (backend->stats.max_running, backend->running);
  if (conn->key == NULL)
    return;
  gpointer count = g_hash_table_lookup (backend->keys, conn->key);
  g_hash_table_insert (backend->keys, g_strdup (conn->key),
                       GINT_TO_POINTER (GPOINTER_TO_INT (count) + 1));
}

static void
execute (fake_conn_t *conn)
{
  fake_backend_t *backend = conn->backend;
  double service_time_ms = (double)backend->options.service_ms * backend->faults.slow;
  int64_t elapsed_us = io_loop_now_us (backend->loop) - backend->faults_changed_us;

  if ((double)elapsed_us < backend->faults.cold_ms * 1000)
    service_time_ms *= COLD_FACTOR;
  conn->waiting = false;
  if (!conn->probe)
    count_execution (conn);
  if (service_time_ms < 1)
    on_executed (conn);
  else
    conn->timer = g_timeout_add ((guint)service_time_ms, on_executed, conn);
}

static void
start_waiting (fake_backend_t *backend)
{
  while (backend->running < backend->options.slots)
    {
      list_node_t *node = list_pop_front (&backend->waiting);
      if (node == NULL)
        return;
      execute (CONTAINER_OF (node, fake_conn_t, waiting_node));
    }
}

static void
handle_request (fake_conn_t *conn)
{
  fake_backend_t *backend = conn->backend;
  const http_head_t *head = &conn->codec.head;

  if (g_str_has_prefix (head->request_target, "/.fake/"))
    {
      g_autofree char *request_target = g_strdup (head->request_target);
      fake_control_respond (conn, request_target);
      return;
    }
  conn->probe = strcmp (head->request_target, PROBE_PATH) == 0;
  if (!conn->probe)
    backend->stats.requests++;
  conn->is_head_request = strcmp (head->method, "HEAD") == 0;
  g_free (conn->echo);
  g_free (conn->attempt_id);
  g_free (conn->key);
  conn->attempt_id = g_strdup (http_headers_get (&head->headers, "Anvillb-Attempt"));
  conn->echo = g_strdup (http_headers_get (&head->headers, "X-Loadgen-Id"));
  conn->key = g_strdup (http_headers_get (&head->headers, "Idempotency-Key"));
  if (conn->probe)
    {
      /* A probe takes no slot and is never shed; the other faults apply to it as well. */
      execute (conn);
      return;
    }
  bool full = backend->running >= backend->options.slots;
  if (fault_occurs (backend, backend->faults.shed) || (full && backend->faults.shed_full != 0))
    {
      backend->stats.shed++;
      send_response (conn, 503, "Anvillb-Shed: 1\r\nRetry-After: 1\r\n", "shed", 4);
      return;
    }
  conn->waiting = true;
  list_push_back (&backend->waiting, &conn->waiting_node);
  start_waiting (backend);
}

static void
parse_input (fake_conn_t *conn, const char *bytes, size_t size)
{
  anv_error_t err = { 0 };
  http_event_t event;

  while (!conn->stream.closed)
    {
      switch (http_codec_next (&conn->codec, &bytes, &size, &event, &err))
        {
        case HTTP_EVENT_NEED_INPUT:
          return;
        case HTTP_EVENT_COMPLETE:
          handle_request (conn);
          return;
        case HTTP_EVENT_ERROR:
          close_conn (conn, false);
          return;
        case HTTP_EVENT_HEAD:
        case HTTP_EVENT_BODY:
          break;
        }
    }
}

static void
on_readable (byte_stream_t *stream)
{
  static char buffer[READ_BUFFER_BYTES];
  fake_conn_t *conn = CONTAINER_OF (stream, fake_conn_t, stream);
  ssize_t size = byte_stream_read (stream, buffer, sizeof (buffer));

  if (size == BYTE_STREAM_WOULD_BLOCK)
    return;
  if (size <= 0)
    close_conn (conn, false);
  else if (!conn->silent)
    parse_input (conn, buffer, (size_t)size);
}

static void
on_written (byte_stream_t *stream, size_t size)
{
  fake_conn_t *conn = CONTAINER_OF (stream, fake_conn_t, stream);
  bool truncated = conn->silent && !stream->reading;
  if (truncated && byte_stream_pending (stream) == 0)
    close_conn (conn, false);
}

static void
on_failed (byte_stream_t *stream, const anv_error_t *err)
{
  close_conn (CONTAINER_OF (stream, fake_conn_t, stream), false);
}

static const byte_stream_ops_t stream_ops = {
  .readable = on_readable,
  .written = on_written,
  .failed = on_failed,
};

void
fake_backend_accept (io_watch_t *watch, uint32_t events)
{
  fake_backend_t *backend = CONTAINER_OF (watch, fake_backend_t, watch);
  g_autoptr (GSocket) socket = g_socket_accept (backend->socket, NULL, NULL);
  if (socket == NULL)
    return;
  fake_conn_t *conn = g_new0 (fake_conn_t, 1);
  conn->backend = backend;
  list_node_init (&conn->waiting_node);
  io_deferred_init (&conn->deferred_free, free_conn);
  http_codec_init (&conn->codec, HTTP_CODEC_REQUEST);
  byte_stream_open (&conn->stream, &stream_ops, backend->loop, socket, NULL);
  byte_stream_set_reading (&conn->stream, true);
  list_push_back (&backend->conns, &conn->node);
  backend->stats.accepted++;
  backend->stats.open++;
  backend->stats.max_open = MAX (backend->stats.max_open, backend->stats.open);
}
