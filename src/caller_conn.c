#include "caller_conn.h"

#include <string.h>

#define READ_BUFFER_BYTES (64 * 1024)
/* Most bytes of a request body that are read and dropped to keep the connection open after an early
 * response. The connection closes if more of the body is left. */
#define MAX_DISCARDED_BYTES (256 * 1024)
/* Time without input for the caller to close after the output was shut down. */
#define LINGER_TIMEOUT_US (2 * G_USEC_PER_SEC)
/* A caller that goes on sending reads its response only afterwards, and a close over unread input
 * would destroy it. So the input is read and dropped up to these bounds. */
#define MAX_LINGER_US (10 * G_USEC_PER_SEC)
#define MAX_LINGER_BYTES (8 * 1024 * 1024)
/* Time for the last bytes to reach the caller before a reset ends the response. */
#define RESET_DELAY_US (G_USEC_PER_SEC / 5)
/* Time without progress while the last response is flushed to a slow caller. */
#define FLUSH_TIMEOUT_US (30 * G_USEC_PER_SEC)

static void process_input (caller_conn_t *conn, const char *bytes, size_t size);
static void close_if_unused (caller_conn_t *conn);

static void
arm_timer (caller_conn_t *conn, int64_t delay_us)
{
  io_loop_t *loop = conn->options->loop;
  io_timer_set (loop, &conn->timer, io_loop_now_us (loop) + delay_us);
}

static void
free_pipelined_input (caller_conn_t *conn)
{
  if (conn->pipelined_input != NULL)
    g_string_free (conn->pipelined_input, TRUE);
  conn->pipelined_input = NULL;
}

static void
free_conn (io_deferred_t *deferred)
{
  caller_conn_t *conn = CONTAINER_OF (deferred, caller_conn_t, free);
  http_codec_destroy (&conn->codec);
  free_pipelined_input (conn);
  g_free (conn);
}

static void
close_conn (caller_conn_t *conn, bool reset)
{
  if (conn->state == CALLER_CLOSED)
    return;
  conn->state = CALLER_CLOSED;
  caller_memory_close (conn);
  byte_stream_close (&conn->stream, reset || conn->ends_with_reset);
  io_timer_cancel (&conn->timer);
  io_deferred_cancel (&conn->resume);
  list_remove (&conn->node);
  io_loop_defer (conn->options->loop, &conn->free);
  conn->options->closed (conn, conn->options->data);
}

void
caller_conn_close (caller_conn_t *conn)
{
  proxy_request_t *request = conn->request;
  conn->request = NULL;
  if (request != NULL)
    proxy_request_caller_gone (request);
  close_conn (conn, request != NULL || byte_stream_pending (&conn->stream) > 0);
}

void
caller_conn_close_for_memory (caller_conn_t *conn)
{
  if (conn->request != NULL && byte_stream_pending (&conn->stream) == 0)
    proxy_request_end_for_memory (conn->request);
  else if (conn->request != NULL)
    caller_conn_close (conn);
  else
    close_conn (conn, true);
}

static void
update_reading (caller_conn_t *conn)
{
  bool reading = conn->pipelined_input == NULL && !conn->paused;
  if (conn->state == CALLER_LINGERING)
    reading = !conn->input_ended;
  byte_stream_set_reading (&conn->stream, reading);
}

/* Shuts down the sending side once all output is flushed. An immediate close could destroy the
 * response, because the kernel sends a reset if input is left unread. */
static void
shut_down_output (caller_conn_t *conn)
{
  if (conn->output_shut_down || byte_stream_pending (&conn->stream) > 0)
    return;
  if (conn->input_ended)
    {
      close_conn (conn, false);
      return;
    }
  conn->output_shut_down = true;
  conn->linger_end_us = io_loop_now_us (conn->options->loop) + MAX_LINGER_US;
  if (!conn->ends_with_reset)
    byte_stream_shutdown_output (&conn->stream);
  arm_timer (conn, conn->ends_with_reset ? RESET_DELAY_US : LINGER_TIMEOUT_US);
}

static void
start_lingering_close (caller_conn_t *conn)
{
  conn->state = CALLER_LINGERING;
  free_pipelined_input (conn);
  arm_timer (conn, conn->aborted ? LINGER_TIMEOUT_US : FLUSH_TIMEOUT_US);
  update_reading (conn);
  shut_down_output (conn);
}

/* Drops SIZE bytes of input after the last response. */
static void
discard_lingering_input (caller_conn_t *conn, size_t size)
{
  conn->discarded_bytes += size;
  if (conn->discarded_bytes > MAX_LINGER_BYTES)
    {
      close_conn (conn, byte_stream_pending (&conn->stream) > 0);
      return;
    }
  int64_t left_us = conn->linger_end_us - io_loop_now_us (conn->options->loop);
  if (conn->output_shut_down && !conn->ends_with_reset)
    arm_timer (conn, CLAMP (left_us, 0, LINGER_TIMEOUT_US));
}

static void
wait_for_request (caller_conn_t *conn)
{
  conn->state = CALLER_IDLE;
  conn->message_complete = false;
  conn->paused = false;
  conn->discarded_bytes = 0;
  http_codec_reset (&conn->codec);
  arm_timer (conn, conn->options->idle_timeout_us);
  if (conn->pipelined_input != NULL || conn->draining)
    io_loop_defer (conn->options->loop, &conn->resume);
  update_reading (conn);
}

static void
process_pipelined_input (caller_conn_t *conn)
{
  GString *pipelined_input = conn->pipelined_input;
  if (pipelined_input == NULL || conn->state == CALLER_REQUEST)
    return;
  conn->pipelined_input = NULL;
  process_input (conn, pipelined_input->str, pipelined_input->len);
  g_string_free (pipelined_input, TRUE);
}

/* Processes the requests that arrived during the last one. If there are none, a connection that is
 * draining closes. */
static void
on_resume (io_deferred_t *deferred)
{
  caller_conn_t *conn = CONTAINER_OF (deferred, caller_conn_t, resume);
  process_pipelined_input (conn);
  if (conn->draining)
    close_if_unused (conn);
}

static void
write_error_response (caller_conn_t *conn, int status, const char *reason)
{
  g_autofree char *body = g_strconcat (reason, "\n", NULL);
  g_autofree char *text = g_strdup_printf (
      "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %zu\r\n%sConnection: "
      "close\r\n\r\n%s",
      status, http_status_str ((enum http_status)status), strlen (body),
      conn->options->proxy->options.dialect->sends_outcome_headers ? "Anvillb-Not-Run: 1\r\n" : "",
      body);
  byte_stream_write (&conn->stream, text, strlen (text));
  start_lingering_close (conn);
}

static int
status_for_error (int code)
{
  switch (code)
    {
    case HTTP_ERROR_TOO_LARGE:
      return 431;
    case HTTP_ERROR_UNSUPPORTED:
      return 501;
    case HTTP_ERROR_VERSION:
      return 505;
    default:
      return 400;
    }
}

static void
handle_codec_error (caller_conn_t *conn, const anv_error_t *err)
{
  if (conn->state == CALLER_REQUEST)
    proxy_request_caller_error (conn->request, err->text);
  else if (conn->state == CALLER_DISCARDING)
    start_lingering_close (conn);
  else
    write_error_response (conn, status_for_error (err->code), err->text);
}

static void
handle_head (caller_conn_t *conn)
{
  conn->state = CALLER_REQUEST;
  io_timer_cancel (&conn->timer);
  conn->request = proxy_request_new (conn->options->proxy, &conn->exchange, &conn->codec.head);
  proxy_request_start (conn->request);
}

static void
handle_body (caller_conn_t *conn, const http_event_t *event)
{
  if (conn->state == CALLER_REQUEST)
    {
      proxy_request_receive_body (conn->request, event->bytes, event->size);
      return;
    }
  conn->discarded_bytes += event->size;
  if (conn->discarded_bytes > MAX_DISCARDED_BYTES)
    start_lingering_close (conn);
}

static void
handle_complete (caller_conn_t *conn)
{
  if (conn->state == CALLER_DISCARDING)
    {
      wait_for_request (conn);
      return;
    }
  conn->message_complete = true;
  proxy_request_receive_end (conn->request);
}

static bool
wants_input (const caller_conn_t *conn)
{
  return conn->state == CALLER_IDLE || conn->state == CALLER_DISCARDING
         || (conn->state == CALLER_REQUEST && !conn->message_complete);
}

static void
store_pipelined_input (caller_conn_t *conn, const char *bytes, size_t size)
{
  if (conn->pipelined_input == NULL)
    conn->pipelined_input = g_string_sized_new (size + 1);
  g_string_append_len (conn->pipelined_input, bytes, (gssize)size);
  update_reading (conn);
}

static void
process_input (caller_conn_t *conn, const char *bytes, size_t size)
{
  anv_error_t err = { 0 };
  http_event_t event = { .type = HTTP_EVENT_BODY };
  bool was_mid_message = http_codec_is_mid_message (&conn->codec);

  while (wants_input (conn) && event.type != HTTP_EVENT_NEED_INPUT)
    {
      switch (http_codec_next (&conn->codec, &bytes, &size, &event, &err))
        {
        case HTTP_EVENT_NEED_INPUT:
          break;
        case HTTP_EVENT_HEAD:
          handle_head (conn);
          break;
        case HTTP_EVENT_BODY:
          handle_body (conn, &event);
          break;
        case HTTP_EVENT_COMPLETE:
          handle_complete (conn);
          break;
        case HTTP_EVENT_ERROR:
          handle_codec_error (conn, &err);
          break;
        }
    }
  if (conn->state == CALLER_REQUEST && size > 0)
    store_pipelined_input (conn, bytes, size);
  else
    update_reading (conn);
  if (conn->state == CALLER_IDLE && !was_mid_message && http_codec_is_mid_message (&conn->codec))
    arm_timer (conn, conn->options->header_timeout_us);
}

/* Handles the end of the input, or a read error if AT_EOF is false. If the request was answered
 * before the caller shut down its sending side, the rest of the response is still flushed. */
static void
handle_end_of_input (caller_conn_t *conn, bool at_eof)
{
  if (!at_eof || conn->state == CALLER_REQUEST || byte_stream_pending (&conn->stream) == 0)
    {
      caller_conn_close (conn);
      return;
    }
  conn->input_ended = true;
  conn->stream.watch_hangup = false;
  start_lingering_close (conn);
}

static void
on_readable (byte_stream_t *stream)
{
  static char buffer[READ_BUFFER_BYTES];
  caller_conn_t *conn = CONTAINER_OF (stream, caller_conn_t, stream);
  ssize_t size = byte_stream_read (stream, buffer, sizeof (buffer));

  if (size == BYTE_STREAM_WOULD_BLOCK)
    return;
  if (size <= 0)
    handle_end_of_input (conn, size == BYTE_STREAM_EOF);
  else if (conn->state == CALLER_REQUEST && conn->message_complete)
    store_pipelined_input (conn, buffer, (size_t)size);
  else if (conn->state == CALLER_LINGERING)
    discard_lingering_input (conn, (size_t)size);
  else
    process_input (conn, buffer, (size_t)size);
  caller_memory_update (conn, false);
}

static void
on_written (byte_stream_t *stream, size_t size)
{
  caller_conn_t *conn = CONTAINER_OF (stream, caller_conn_t, stream);
  caller_memory_record_moved (conn, size);
  if (conn->request != NULL)
    proxy_request_output_written (conn->request);
  else if (conn->state == CALLER_LINGERING)
    {
      if (!conn->output_shut_down)
        arm_timer (conn, conn->aborted ? LINGER_TIMEOUT_US : FLUSH_TIMEOUT_US);
      shut_down_output (conn);
    }
  else if (conn->state == CALLER_IDLE && !http_codec_is_mid_message (&conn->codec))
    arm_timer (conn, conn->options->idle_timeout_us);
}

static void
on_failed (byte_stream_t *stream, const anv_error_t *err)
{
  caller_conn_close (CONTAINER_OF (stream, caller_conn_t, stream));
}

static void
on_timer (io_timer_t *timer)
{
  caller_conn_t *conn = CONTAINER_OF (timer, caller_conn_t, timer);
  if (conn->state == CALLER_IDLE && http_codec_is_mid_message (&conn->codec))
    write_error_response (conn, 408, "request head not complete in time");
  else if (conn->state == CALLER_DISCARDING)
    start_lingering_close (conn);
  else
    close_conn (conn, byte_stream_pending (&conn->stream) > 0);
}

static void
exchange_write (caller_exchange_t *exchange, const char *bytes, size_t size)
{
  caller_conn_t *conn = (caller_conn_t *)exchange;
  byte_stream_write (&conn->stream, bytes, size);
  caller_memory_update (conn, false);
}

static size_t
exchange_pending (const caller_exchange_t *exchange)
{
  return byte_stream_pending (&((const caller_conn_t *)exchange)->stream);
}

static void
exchange_set_reading (caller_exchange_t *exchange, bool reading)
{
  caller_conn_t *conn = (caller_conn_t *)exchange;
  conn->paused = !reading;
  update_reading (conn);
}

static void
exchange_request_written (caller_exchange_t *exchange, size_t size)
{
  caller_memory_record_moved ((caller_conn_t *)exchange, size);
}

static void
exchange_finished (caller_exchange_t *exchange, bool keep_alive)
{
  caller_conn_t *conn = (caller_conn_t *)exchange;

  conn->request = NULL;
  conn->paused = false;
  if (!keep_alive)
    start_lingering_close (conn);
  else if (conn->message_complete)
    wait_for_request (conn);
  else
    {
      conn->state = CALLER_DISCARDING;
      arm_timer (conn, conn->options->header_timeout_us);
      update_reading (conn);
    }
  caller_memory_update (conn, false);
}

/* What was passed on is still written and stays readable. */
static void
exchange_aborted (caller_exchange_t *exchange, bool end_delimits)
{
  caller_conn_t *conn = (caller_conn_t *)exchange;
  conn->request = NULL;
  conn->aborted = true;
  conn->ends_with_reset = end_delimits;
  start_lingering_close (conn);
}

static const byte_stream_ops_t stream_ops = {
  .readable = on_readable,
  .written = on_written,
  .failed = on_failed,
};

static const caller_exchange_ops_t exchange_ops = {
  .write = exchange_write,
  .pending = exchange_pending,
  .set_reading = exchange_set_reading,
  .request_written = exchange_request_written,
  .finished = exchange_finished,
  .aborted = exchange_aborted,
};

static void
read_peer_address (GSocket *socket, char *buffer, size_t size)
{
  g_autoptr (GSocketAddress) address = g_socket_get_remote_address (socket, NULL);
  if (!G_IS_INET_SOCKET_ADDRESS (address))
    {
      g_strlcpy (buffer, "unknown", size);
      return;
    }
  GInetAddress *ip = g_inet_socket_address_get_address (G_INET_SOCKET_ADDRESS (address));
  g_autofree char *text = g_inet_address_to_string (ip);
  g_strlcpy (buffer, text, size);
}

caller_conn_t *
caller_conn_new (const caller_conn_options_t *options, GSocket *socket, GIOStream *tls)
{
  caller_conn_t *conn = g_new0 (caller_conn_t, 1);

  conn->options = options;
  conn->exchange.ops = &exchange_ops;
  conn->exchange.address = conn->address;
  conn->exchange.tls = tls != NULL;
  read_peer_address (socket, conn->address, sizeof (conn->address));
  list_node_init (&conn->node);
  http_codec_init (&conn->codec, HTTP_CODEC_REQUEST);
  io_timer_init (&conn->timer, on_timer);
  io_deferred_init (&conn->resume, on_resume);
  io_deferred_init (&conn->free, free_conn);
  byte_stream_open (&conn->stream, &stream_ops, options->loop, socket, tls);
  conn->stream.watch_hangup = true;
  caller_memory_open (conn);
  wait_for_request (conn);
  return conn;
}

/* Closes the connection if no byte of a request has arrived. */
static void
close_if_unused (caller_conn_t *conn)
{
  /* A request may have arrived that is not read yet. */
  if (conn->state == CALLER_IDLE)
    on_readable (&conn->stream);
  if (conn->state == CALLER_IDLE && !http_codec_is_mid_message (&conn->codec)
      && conn->pipelined_input == NULL)
    start_lingering_close (conn);
}

void
caller_conn_drain (caller_conn_t *conn)
{
  conn->draining = true;
  close_if_unused (conn);
}
