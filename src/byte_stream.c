#include "byte_stream.h"

#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "http_codec.h"

static void
record_failure (byte_stream_t *stream, const char *text)
{
  stream->failed = true;
  g_strlcpy (stream->read_error, text, sizeof (stream->read_error));
}

static void
report_failure (byte_stream_t *stream, const char *text)
{
  anv_error_t err = { 0 };
  anv_error_set (&err, ANV_ERROR_HTTP, HTTP_ERROR_SOCKET, "%s", text);
  stream->ops->failed (stream, &err);
}

static void
update_watch (byte_stream_t *stream)
{
  uint32_t events = 0;
  if (stream->connecting)
    events = EPOLLOUT;
  else if (stream->tls == NULL)
    events = (stream->reading ? EPOLLIN : 0) | (stream->write_blocked ? EPOLLOUT : 0);
  if (!stream->connecting && stream->watch_hangup && !stream->reading)
    events |= EPOLLRDHUP;
  io_watch_set (stream->loop, &stream->watch, events);
}

static void
destroy_source (GSource **source)
{
  if (*source == NULL)
    return;
  g_source_destroy (*source);
  g_clear_pointer (source, g_source_unref);
}

static void
finish_connect (byte_stream_t *stream)
{
  g_autoptr (GError) error = NULL;
  stream->connecting = false;
  update_watch (stream);
  if (g_socket_check_connect_result (stream->socket, &error))
    stream->ops->connected (stream);
  else
    {
      record_failure (stream, error->message);
      report_failure (stream, error->message);
    }
}

static gssize
write_nonblocking (byte_stream_t *stream, GError **error)
{
  const char *bytes = stream->output->str + stream->output_start;
  size_t size = stream->output->len - stream->output_start;
  if (stream->tls == NULL)
    return g_socket_send_with_blocking (stream->socket, bytes, size, FALSE, NULL, error);
  GPollableOutputStream *output
      = G_POLLABLE_OUTPUT_STREAM (g_io_stream_get_output_stream (stream->tls));
  return g_pollable_output_stream_write_nonblocking (output, bytes, size, NULL, error);
}

static gboolean
on_tls_writable (GObject *object, gpointer data)
{
  byte_stream_t *stream = data;
  destroy_source (&stream->tls_writer);
  stream->write_blocked = false;
  io_loop_defer (stream->loop, &stream->flush);
  return G_SOURCE_REMOVE;
}

static void
wait_until_writable (byte_stream_t *stream)
{
  stream->write_blocked = true;
  update_watch (stream);
  if (stream->tls == NULL || stream->tls_writer != NULL)
    return;
  GPollableOutputStream *output
      = G_POLLABLE_OUTPUT_STREAM (g_io_stream_get_output_stream (stream->tls));
  stream->tls_writer = g_pollable_output_stream_create_source (output, NULL);
  g_source_set_callback (stream->tls_writer, G_SOURCE_FUNC (on_tls_writable), stream, NULL);
  g_source_attach (stream->tls_writer, g_main_context_get_thread_default ());
}

static void
drop_output (byte_stream_t *stream)
{
  if (stream->output != NULL)
    g_string_free (stream->output, TRUE);
  stream->output = NULL;
  stream->output_start = 0;
}

static void
flush_output (byte_stream_t *stream)
{
  size_t total = 0;
  g_autoptr (GError) error = NULL;

  while (byte_stream_pending (stream) > 0 && error == NULL)
    {
      gssize size = write_nonblocking (stream, &error);
      if (size <= 0)
        break;
      stream->output_start += (size_t)size;
      total += (size_t)size;
    }
  if (byte_stream_pending (stream) == 0)
    drop_output (stream);
  bool blocked = g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
  if (blocked)
    wait_until_writable (stream);
  else
    update_watch (stream);
  if (error != NULL && !blocked)
    record_failure (stream, error->message);

  /* After a partial write, written() is called first. The next flush reports the error. */
  if (error != NULL && !blocked && total > 0)
    io_loop_defer (stream->loop, &stream->flush);
  if (total > 0)
    {
      stream->ops->written (stream, total);
      return;
    }
  if (error == NULL || blocked)
    return;
  stream->write_failed = true;
  drop_output (stream);
  report_failure (stream, error->message);
}

static void
on_flush (io_deferred_t *deferred)
{
  byte_stream_t *stream = CONTAINER_OF (deferred, byte_stream_t, flush);
  if (!stream->connecting && !stream->write_blocked && byte_stream_pending (stream) > 0)
    flush_output (stream);
}

static void
on_ready (io_watch_t *watch, uint32_t events)
{
  byte_stream_t *stream = CONTAINER_OF (watch, byte_stream_t, watch);

  if (stream->connecting)
    {
      finish_connect (stream);
      return;
    }
  if ((events & EPOLLERR) != 0)
    record_failure (stream, "connection failed");
  if (stream->write_blocked && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0)
    {
      stream->write_blocked = false;
      io_loop_defer (stream->loop, &stream->flush);
    }
  if (stream->reading && stream->tls == NULL)
    {
      if ((events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0)
        stream->ops->readable (stream);
      return;
    }
  if (stream->watch_hangup && (events & (EPOLLRDHUP | EPOLLERR | EPOLLHUP)) != 0)
    report_failure (stream, "connection closed by peer");
}

static void
init_stream (byte_stream_t *stream, const byte_stream_ops_t *ops, io_loop_t *loop, GSocket *socket)
{
  *stream = (byte_stream_t){ .ops = ops, .loop = loop, .socket = socket };
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  io_watch_init (&stream->watch, g_socket_get_fd (socket), on_ready);
  io_deferred_init (&stream->flush, on_flush);
}

void
byte_stream_open (byte_stream_t *stream, const byte_stream_ops_t *ops, io_loop_t *loop,
                  GSocket *socket, GIOStream *tls)
{
  init_stream (stream, ops, loop, g_object_ref (socket));
  stream->tls = tls != NULL ? g_object_ref (tls) : NULL;
}

bool
byte_stream_connect (byte_stream_t *stream, const byte_stream_ops_t *ops, io_loop_t *loop,
                     GSocketAddress *address, anv_error_t *err)
{
  g_autoptr (GError) error = NULL;
  GSocketFamily family = g_socket_address_get_family (address);
  GSocket *socket = g_socket_new (family, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error);
  if (socket == NULL)
    {
      *stream = (byte_stream_t){ .ops = ops, .loop = loop, .closed = true };
      io_watch_init (&stream->watch, -1, on_ready);
      io_deferred_init (&stream->flush, on_flush);
      anv_error_set (err, ANV_ERROR_HTTP, HTTP_ERROR_SOCKET, "%s", error->message);
      return false;
    }
  init_stream (stream, ops, loop, socket);
  stream->connecting = true;
  if (!g_socket_connect (socket, address, NULL, &error)
      && !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_PENDING))
    {
      anv_error_set (err, ANV_ERROR_HTTP, HTTP_ERROR_SOCKET, "%s", error->message);
      byte_stream_close (stream, false);
      return false;
    }
  update_watch (stream);
  return true;
}

void
byte_stream_start_tls (byte_stream_t *stream, GIOStream *tls)
{
  g_assert (!stream->reading && stream->tls == NULL && byte_stream_pending (stream) == 0);
  stream->tls = g_object_ref (tls);
  update_watch (stream);
}

ssize_t
byte_stream_read (byte_stream_t *stream, char *buffer, size_t size)
{
  g_autoptr (GError) error = NULL;
  gssize received = 0;

  if (stream->closed)
    {
      g_strlcpy (stream->read_error, "stream is closed", sizeof (stream->read_error));
      return BYTE_STREAM_FAILED;
    }
  if (stream->tls == NULL)
    received = g_socket_receive_with_blocking (stream->socket, buffer, size, FALSE, NULL, &error);
  else
    {
      GPollableInputStream *input
          = G_POLLABLE_INPUT_STREAM (g_io_stream_get_input_stream (stream->tls));
      received = g_pollable_input_stream_read_nonblocking (input, buffer, size, NULL, &error);
    }
  if (received == 0 && stream->failed)
    return BYTE_STREAM_FAILED;
  if (received >= 0)
    return received;
  if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return BYTE_STREAM_WOULD_BLOCK;
  record_failure (stream, error->message);
  return BYTE_STREAM_FAILED;
}

void
byte_stream_write (byte_stream_t *stream, const char *bytes, size_t size)
{
  if (stream->closed || stream->write_failed || size == 0)
    return;
  if (stream->output == NULL)
    stream->output = g_string_sized_new (MAX (size, 512));
  if (stream->output_start > 0 && stream->output_start >= stream->output->len / 2)
    {
      g_string_erase (stream->output, 0, (gssize)stream->output_start);
      stream->output_start = 0;
    }
  g_string_append_len (stream->output, bytes, (gssize)size);
  if (!stream->write_blocked)
    io_loop_defer (stream->loop, &stream->flush);
}

size_t
byte_stream_pending (const byte_stream_t *stream)
{
  return stream->output == NULL ? 0 : stream->output->len - stream->output_start;
}

size_t
byte_stream_held_bytes (const byte_stream_t *stream)
{
  return stream->output == NULL ? 0 : stream->output->allocated_len;
}

byte_stream_kernel_t
byte_stream_kernel_bytes (const byte_stream_t *stream)
{
  uint32_t values[SK_MEMINFO_VARS] = { 0 };
  socklen_t size = sizeof (values);
  if (stream->closed
      || getsockopt (g_socket_get_fd (stream->socket), SOL_SOCKET, SO_MEMINFO, values, &size) != 0)
    return (byte_stream_kernel_t){ 0 };
  return (byte_stream_kernel_t){
    .input_bytes = values[SK_MEMINFO_RMEM_ALLOC],
    .output_bytes = values[SK_MEMINFO_WMEM_QUEUED],
  };
}

void
byte_stream_limit_kernel_buffers (byte_stream_t *stream, int size)
{
  if (stream->closed)
    return;
  g_socket_set_option (stream->socket, SOL_SOCKET, SO_SNDBUF, size, NULL);
  g_socket_set_option (stream->socket, SOL_SOCKET, SO_RCVBUF, size, NULL);
}

static gboolean
on_tls_readable (GObject *object, gpointer data)
{
  byte_stream_t *stream = data;
  stream->ops->readable (stream);
  return G_SOURCE_CONTINUE;
}

void
byte_stream_set_reading (byte_stream_t *stream, bool reading)
{
  if (stream->closed || stream->reading == reading)
    return;
  stream->reading = reading;
  update_watch (stream);
  if (stream->tls == NULL)
    return;
  destroy_source (&stream->tls_reader);
  if (!reading)
    return;
  GPollableInputStream *input
      = G_POLLABLE_INPUT_STREAM (g_io_stream_get_input_stream (stream->tls));
  stream->tls_reader = g_pollable_input_stream_create_source (input, NULL);
  g_source_set_callback (stream->tls_reader, G_SOURCE_FUNC (on_tls_readable), stream, NULL);
  g_source_attach (stream->tls_reader, g_main_context_get_thread_default ());
}

void
byte_stream_shutdown_output (byte_stream_t *stream)
{
  if (!stream->closed)
    g_socket_shutdown (stream->socket, FALSE, TRUE, NULL);
}

void
byte_stream_close (byte_stream_t *stream, bool reset)
{
  if (stream->closed)
    return;
  stream->closed = true;
  io_watch_remove (stream->loop, &stream->watch);
  io_deferred_cancel (&stream->flush);
  destroy_source (&stream->tls_reader);
  destroy_source (&stream->tls_writer);
  drop_output (stream);
  if (reset)
    {
      struct linger linger = { .l_onoff = 1, .l_linger = 0 };
      setsockopt (g_socket_get_fd (stream->socket), SOL_SOCKET, SO_LINGER, &linger,
                  sizeof (linger));
    }
  g_socket_close (stream->socket, NULL);
  g_clear_object (&stream->tls);
  g_clear_object (&stream->socket);
}
