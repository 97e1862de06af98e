#include "upstream_conn.h"

#include "upstream_pool.h"

#define LOG_MODULE "upstream_conn"
#include "log.h"

/* Most bytes that may precede the head of the response: interim responses, and responses to other
 * requests, which are dropped. */
#define MAX_PRECEDING_BYTES (1024U * 1024)

static void
free_conn (io_deferred_t *deferred)
{
  upstream_conn_t *conn = CONTAINER_OF (deferred, upstream_conn_t, free);
  http_codec_destroy (&conn->codec);
  g_free (conn);
}

/* Ends the account of the bytes that the exchange of CONN has written, and tells the others at the
 * target if that makes room. */
static void
release_request_bytes (upstream_conn_t *conn)
{
  upstream_target_t *target = conn->target;
  size_t limit = conn->pool->options.max_target_request_bytes;
  bool was_full = limit > 0 && target->request_bytes >= limit;

  target->request_bytes -= conn->exchange->request_bytes;
  conn->exchange->request_bytes = 0;
  if (!was_full)
    return;
  LIST_FOREACH (&target->active, node)
  {
    upstream_conn_t *other = CONTAINER_OF (node, upstream_conn_t, node);
    if (other != conn && other->exchange != NULL && other->exchange->ops->relieved != NULL)
      other->exchange->ops->relieved (other->exchange);
  }
}

void
upstream_conn_close (upstream_conn_t *conn)
{
  if (conn->state == UPSTREAM_CONN_CLOSED)
    return;
  conn->state = UPSTREAM_CONN_CLOSED;
  if (conn->exchange != NULL)
    {
      release_request_bytes (conn);
      conn->exchange->conn = NULL;
    }
  conn->exchange = NULL;
  byte_stream_close (&conn->stream, false);
  io_timer_cancel (&conn->timer);
  list_remove (&conn->node);
  io_loop_defer (conn->pool->options.loop, &conn->free);
  conn->target->connection_count--;
  upstream_pool_conn_closed (conn->target);
}

static void
fail_exchange (upstream_conn_t *conn, upstream_failure_t failure, const char *detail)
{
  upstream_exchange_t *exchange = conn->exchange;
  upstream_conn_close (conn);
  if (exchange != NULL)
    exchange->ops->failed (exchange, failure, detail);
}

static void
record_progress (upstream_conn_t *conn)
{
  conn->last_progress_us = io_loop_now_us (conn->pool->options.loop);
  conn->target->last_progress_us = conn->last_progress_us;
}

static void
arm_stall_check (upstream_conn_t *conn)
{
  int64_t stall_timeout_us = conn->exchange->stall_timeout_us;
  if (stall_timeout_us <= 0)
    io_timer_cancel (&conn->timer);
  else
    io_timer_set (conn->pool->options.loop, &conn->timer,
                  conn->last_progress_us + stall_timeout_us);
}

bool
upstream_conn_suits (const upstream_conn_t *conn, const upstream_exchange_t *exchange)
{
  if (exchange->used_connection_count > UPSTREAM_MAX_USED_CONNECTIONS)
    return false;
  for (unsigned i = 0; i < exchange->used_connection_count; i++)
    {
      if (exchange->used_connections[i] == conn->number)
        return false;
    }
  return true;
}

static void
record_use (const upstream_conn_t *conn, upstream_exchange_t *exchange)
{
  if (exchange->used_connection_count < UPSTREAM_MAX_USED_CONNECTIONS)
    exchange->used_connections[exchange->used_connection_count] = conn->number;
  exchange->used_connection_count++;
}

static void
start_exchange (upstream_conn_t *conn)
{
  conn->state = UPSTREAM_CONN_BUSY;
  conn->got_response_bytes = false;
  conn->paused = false;
  conn->preceding_bytes = 0;
  conn->got_response_head = false;
  conn->skipping_response = false;
  record_use (conn, conn->exchange);
  record_progress (conn);
  conn->exchange_started_us = conn->last_progress_us;
  arm_stall_check (conn);
  if (conn->exchange->is_head_request)
    http_codec_expect_no_body (&conn->codec);
  byte_stream_set_reading (&conn->stream, true);
  conn->exchange->ops->ready (conn->exchange);
}

/* Returns whether the next progress is up to the peer: it must read output or send a response. */
static bool
waits_for_peer (const upstream_conn_t *conn)
{
  return byte_stream_pending (&conn->stream) > 0 || (conn->exchange->request_sent && !conn->paused);
}

static void
check_stall (upstream_conn_t *conn)
{
  upstream_exchange_t *exchange = conn->exchange;
  io_loop_t *loop = conn->pool->options.loop;
  int64_t now_us = io_loop_now_us (loop);

  if (!waits_for_peer (conn))
    conn->last_progress_us = now_us;
  if (now_us - conn->last_progress_us < exchange->stall_timeout_us)
    {
      arm_stall_check (conn);
      return;
    }
  /* Only progress of another connection in the last half of the stall timeout shows that the target
   * still runs. After earlier progress the whole target may have frozen. */
  int64_t since_us = MAX (conn->last_progress_us, now_us - exchange->stall_timeout_us / 2);
  if (conn->target->last_progress_us <= since_us)
    {
      const upstream_pool_options_t *options = &conn->pool->options;
      if (options->on_silent != NULL)
        options->on_silent (options->data, conn->target->address);
      io_timer_set (loop, &conn->timer, now_us + exchange->stall_timeout_us / 4);
      return;
    }
  conn->pool->stall_count++;
  conn->retired = true;
  exchange->stalled = true;
  upstream_pool_close_older_idle (conn);
  if (exchange->end_on_stall)
    fail_exchange (conn, UPSTREAM_STALLED, "no progress");
}

static void
on_timer (io_timer_t *timer)
{
  upstream_conn_t *conn = CONTAINER_OF (timer, upstream_conn_t, timer);
  if (conn->state == UPSTREAM_CONN_CONNECTING)
    fail_exchange (conn, UPSTREAM_CONNECT_FAILED, "no connection within the time limit");
  else if (conn->state == UPSTREAM_CONN_BUSY)
    check_stall (conn);
  else
    upstream_conn_close (conn);
}

static void
make_idle (upstream_conn_t *conn)
{
  io_loop_t *loop = conn->pool->options.loop;
  conn->state = UPSTREAM_CONN_IDLE;
  conn->exchange_ended_us = io_loop_now_us (loop);
  io_timer_set (loop, &conn->timer, conn->exchange_ended_us + conn->pool->options.idle_timeout_us);
  upstream_pool_conn_idle (conn);
}

/* Ends the exchange with a complete response. The connection returns to the pool before complete()
 * is called, so that the next attempt of the same request can use it. MAY_REUSE is false if the
 * connection must be closed. */
static void
finish_exchange (upstream_conn_t *conn, bool may_reuse)
{
  upstream_exchange_t *exchange = conn->exchange;
  bool reuse = may_reuse && conn->codec.head.keep_alive && exchange->request_sent && !conn->retired
               && !conn->stream.failed && byte_stream_pending (&conn->stream) == 0;

  release_request_bytes (conn);
  exchange->conn = NULL;
  conn->exchange = NULL;
  http_codec_reset (&conn->codec);
  if (!reuse)
    upstream_conn_close (conn);
  else
    make_idle (conn);
  exchange->ops->complete (exchange);
}

/* Returns whether the response that begins belongs to the request of the exchange. */
static bool
is_own_response (upstream_conn_t *conn)
{
  upstream_exchange_t *exchange = conn->exchange;
  if (exchange->ops->response_owner == NULL)
    return true;
  switch (exchange->ops->response_owner (exchange, &conn->codec.head))
    {
    case RESPONSE_OWN:
      conn->peer_sends_ids = true;
      return true;
    case RESPONSE_WITHOUT_ID:
      return !conn->peer_sends_ids;
    case RESPONSE_OF_ANOTHER:
      break;
    }
  return false;
}

static void
handle_head (upstream_conn_t *conn)
{
  upstream_exchange_t *exchange = conn->exchange;
  int status = conn->codec.head.status;

  if (status == 101)
    {
      fail_exchange (conn, UPSTREAM_INVALID, "unexpected 101");
      return;
    }
  if (status >= 200 && !is_own_response (conn))
    {
      LOG_NOTICE ("response to another request dropped target=%s status=%d reused=%d",
                  conn->target->address, status, exchange->on_reused_connection);
      conn->skipping_response = true;
      conn->retired = true;
      return;
    }
  if (status >= 200)
    {
      conn->got_response_head = true;
      exchange->ops->head (exchange, &conn->codec.head);
      return;
    }
  http_codec_reset (&conn->codec);
  if (exchange->is_head_request)
    http_codec_expect_no_body (&conn->codec);
}

/* Prepares for the next response after one that belonged to another request. */
static void
end_skipped_response (upstream_conn_t *conn)
{
  conn->skipping_response = false;
  http_codec_reset (&conn->codec);
  if (conn->exchange->is_head_request)
    http_codec_expect_no_body (&conn->codec);
}

static void
process_input (upstream_conn_t *conn, const char *bytes, size_t size)
{
  anv_error_t err = { 0 };
  http_event_t event;

  while (conn->state == UPSTREAM_CONN_BUSY && conn->exchange != NULL)
    {
      switch (http_codec_next (&conn->codec, &bytes, &size, &event, &err))
        {
        case HTTP_EVENT_NEED_INPUT:
          return;
        case HTTP_EVENT_HEAD:
          handle_head (conn);
          break;
        case HTTP_EVENT_BODY:
          if (!conn->skipping_response)
            conn->exchange->ops->body (conn->exchange, event.bytes, event.size);
          break;
        case HTTP_EVENT_COMPLETE:
          if (conn->skipping_response)
            end_skipped_response (conn);
          else if (conn->codec.head.status >= 200)
            finish_exchange (conn, size == 0);
          break;
        case HTTP_EVENT_ERROR:
          fail_exchange (conn, UPSTREAM_INVALID, err.text);
          break;
        }
    }
}

/* Records that a reused connection was closed before the first byte of the response. The peer has
 * probably dropped it while it was idle. */
static void
record_idle_reset (const upstream_conn_t *conn)
{
  int64_t now_us = io_loop_now_us (conn->pool->options.loop);
  int64_t idle_us = conn->exchange_started_us - conn->exchange_ended_us;
  int64_t elapsed_us = now_us - conn->exchange_started_us;
  if (idle_limit_record_reset (&conn->pool->idle_limit, now_us, idle_us, elapsed_us))
    LOG_NOTICE ("idle connections are dropped target=%s idle_ms=%" G_GINT64_FORMAT
                " elapsed_ms=%" G_GINT64_FORMAT " limit_ms=%" G_GINT64_FORMAT,
                conn->target->address, idle_us / 1000, elapsed_us / 1000,
                idle_limit_get (&conn->pool->idle_limit, now_us) / 1000);
}

static void
handle_end_of_input (upstream_conn_t *conn, bool at_eof)
{
  anv_error_t err = { 0 };

  if (conn->state != UPSTREAM_CONN_BUSY)
    upstream_conn_close (conn);
  else if (!conn->got_response_bytes || conn->skipping_response)
    {
      if (conn->exchange->on_reused_connection && !conn->got_response_bytes)
        record_idle_reset (conn);
      fail_exchange (conn, UPSTREAM_CLOSED, "closed before the response");
    }
  else if (at_eof && http_codec_end_of_input (&conn->codec, &err) == HTTP_EVENT_COMPLETE)
    finish_exchange (conn, false);
  else
    fail_exchange (conn, UPSTREAM_TRUNCATED, "closed inside the response");
}

static void
on_readable (byte_stream_t *stream)
{
  upstream_conn_t *conn = CONTAINER_OF (stream, upstream_conn_t, stream);
  char *buffer = conn->pool->buffer;
  ssize_t size = byte_stream_read (stream, buffer, UPSTREAM_READ_BUFFER_BYTES);

  if (size == BYTE_STREAM_WOULD_BLOCK)
    return;
  if (size <= 0)
    {
      handle_end_of_input (conn, size == BYTE_STREAM_EOF);
      return;
    }
  record_progress (conn);
  if (conn->state != UPSTREAM_CONN_BUSY)
    {
      /* Unsolicited bytes would be read as the response to the next request. */
      upstream_conn_close (conn);
      return;
    }
  conn->got_response_bytes = true;
  process_input (conn, buffer, (size_t)size);
  if (conn->state != UPSTREAM_CONN_BUSY || conn->got_response_head)
    return;
  conn->preceding_bytes += (size_t)size;
  if (conn->preceding_bytes > MAX_PRECEDING_BYTES)
    fail_exchange (conn, UPSTREAM_INVALID, "too many bytes before the response");
}

static void
on_connected (byte_stream_t *stream)
{
  upstream_conn_t *conn = CONTAINER_OF (stream, upstream_conn_t, stream);
  start_exchange (conn);
}

static void
on_written (byte_stream_t *stream, size_t size)
{
  upstream_conn_t *conn = CONTAINER_OF (stream, upstream_conn_t, stream);
  record_progress (conn);
  if (conn->exchange != NULL)
    conn->exchange->ops->written (conn->exchange, size);
}

static void
on_failed (byte_stream_t *stream, const anv_error_t *err)
{
  upstream_conn_t *conn = CONTAINER_OF (stream, upstream_conn_t, stream);
  if (conn->state == UPSTREAM_CONN_CONNECTING)
    fail_exchange (conn, UPSTREAM_CONNECT_FAILED, err->text);
  else if (conn->state == UPSTREAM_CONN_IDLE)
    upstream_conn_close (conn);
  /* A server may respond and close before it has read the whole request. A busy connection stays
   * open to read that response from the socket; the end of the input then ends the exchange. */
  conn->retired = true;
}

static const byte_stream_ops_t stream_ops = {
  .connected = on_connected,
  .readable = on_readable,
  .written = on_written,
  .failed = on_failed,
};

/* Lets the timer report from the main loop that the connection could not be started. */
static void
schedule_connect_failure (upstream_conn_t *conn)
{
  io_loop_t *loop = conn->pool->options.loop;
  io_timer_set (loop, &conn->timer, io_loop_now_us (loop));
}

upstream_conn_t *
upstream_conn_new (upstream_pool_t *pool, upstream_target_t *target, GSocketAddress *address,
                   upstream_exchange_t *exchange)
{
  upstream_conn_t *conn = g_new0 (upstream_conn_t, 1);
  io_loop_t *loop = pool->options.loop;
  int64_t now_us = io_loop_now_us (loop);

  conn->state = UPSTREAM_CONN_CONNECTING;
  conn->pool = pool;
  conn->target = target;
  conn->number = pool->opened_count;
  conn->created_us = now_us;
  conn->last_progress_us = now_us;
  list_node_init (&conn->node);
  http_codec_init (&conn->codec, HTTP_CODEC_RESPONSE);
  io_timer_init (&conn->timer, on_timer);
  io_deferred_init (&conn->free, free_conn);
  conn->exchange = exchange;
  exchange->conn = conn;
  exchange->on_reused_connection = false;
  conn->stream.closed = true;
  if (address != NULL && byte_stream_connect (&conn->stream, &stream_ops, loop, address, NULL))
    {
      io_timer_set (loop, &conn->timer, now_us + pool->options.connect_timeout_us);
      if (pool->options.kernel_buffer_bytes > 0)
        byte_stream_limit_kernel_buffers (&conn->stream, pool->options.kernel_buffer_bytes);
    }
  else
    schedule_connect_failure (conn);
  return conn;
}

void
upstream_conn_assign (upstream_conn_t *conn, upstream_exchange_t *exchange)
{
  conn->exchange = exchange;
  exchange->conn = conn;
  exchange->on_reused_connection = true;
  start_exchange (conn);
}

void
upstream_exchange_write (upstream_exchange_t *exchange, const char *bytes, size_t size)
{
  if (exchange->conn == NULL)
    return;
  exchange->request_bytes += size;
  exchange->target->request_bytes += size;
  byte_stream_write (&exchange->conn->stream, bytes, size);
}

bool
upstream_exchange_may_send (const upstream_exchange_t *exchange)
{
  const upstream_conn_t *conn = exchange->conn;
  if (conn == NULL)
    return true;
  size_t limit = conn->pool->options.max_target_request_bytes;
  if (limit == 0 || conn->target->request_bytes < limit)
    return true;
  LIST_FOREACH (&conn->target->active, node)
  {
    const upstream_conn_t *other = CONTAINER_OF (node, upstream_conn_t, node);
    if (other->exchange != NULL)
      return other == conn;
  }
  return true;
}

size_t
upstream_exchange_pending (const upstream_exchange_t *exchange)
{
  return exchange->conn == NULL ? 0 : byte_stream_pending (&exchange->conn->stream);
}

void
upstream_exchange_pause (upstream_exchange_t *exchange, bool paused)
{
  upstream_conn_t *conn = exchange->conn;
  if (conn == NULL || conn->state != UPSTREAM_CONN_BUSY || conn->paused == paused)
    return;
  conn->paused = paused;
  conn->last_progress_us = io_loop_now_us (conn->pool->options.loop);
  byte_stream_set_reading (&conn->stream, !paused);
}
