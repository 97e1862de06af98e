#include "link.h"

#include <string.h>

#define LOG_MODULE "link"
#include "log.h"
#include "option.h"

#define HELLO_FIELDS 4
#define HEARTBEAT_FIELDS 3
#define READ_BUFFER_SIZE 65536
/* Most bytes read from a link in one iteration of the main loop, so that a busy link does not
 * starve the others. */
#define MAX_READ_BYTES_PER_ITERATION (1024 * 1024)

const link_timing_t link_timing_default = {
  .heartbeat_period_us = INT64_C (500000),
  .receive_timeout_us = INT64_C (2000000),
  .idle_timeout_us = INT64_C (10000000),
  .handshake_timeout_us = INT64_C (3000000),
};

const link_timing_t link_timing_fleet = {
  .heartbeat_period_us = INT64_C (500000),
  .receive_timeout_us = INT64_C (1300000),
  .idle_timeout_us = INT64_C (10000000),
  /* A connection to an instance without power gets no answer. Two attempts fit into one second, so
   * that an entry has its configuration at most a second after the instance is back. */
  .handshake_timeout_us = INT64_C (400000),
  .messages_replace_heartbeats = true,
};

static int64_t
now_us (const link_t *link)
{
  return io_loop_now_us (link->loop);
}

static void
free_link (io_deferred_t *deferred)
{
  link_t *link = CONTAINER_OF (deferred, link_t, deferred_free);
  frame_reader_destroy (&link->reader);
  g_clear_pointer (&link->queued_frames, g_byte_array_unref);
  g_free (link);
}

void
link_close (link_t *link, const anv_error_t *err)
{
  if (link->closed)
    return;
  link->closed = true;
  link->open = false;
  byte_stream_close (&link->stream, false);
  io_timer_cancel (&link->timer);
  link->ops->closed (link, err);
  io_loop_defer (link->loop, &link->deferred_free);
}

static void
close_with_error (link_t *link, link_error_t code, const char *text)
{
  anv_error_t err = { 0 };
  anv_error_set (&err, ANV_ERROR_LINK, code, "%s", text);
  link_close (link, &err);
}

static void
write_message (link_t *link, wire_writer_t *writer)
{
  GByteArray *frame = g_byte_array_sized_new ((guint)writer->buffer.size + FRAME_HEADER_SIZE);
  frame_append (frame, (const uint8_t *)writer->buffer.data, writer->buffer.size);
  byte_stream_write (&link->stream, (const char *)frame->data, frame->len);
  g_byte_array_unref (frame);
  wire_writer_destroy (writer);
}

static void
send_hello (link_t *link)
{
  wire_writer_t writer;
  wire_writer_init (&writer, WIRE_HELLO, HELLO_FIELDS);
  wire_write_string (&writer, link->self->id);
  wire_write_string (&writer, link->self->domain);
  wire_write_string (&writer, link->self->address);
  wire_write_uint (&writer, link->self->incarnation);
  write_message (link, &writer);
}

static void
send_heartbeat (link_t *link)
{
  wire_writer_t writer;
  int64_t held_us
      = link->peer_heartbeat_sent_us != 0 ? now_us (link) - link->peer_heartbeat_received_us : 0;
  wire_writer_init (&writer, WIRE_HEARTBEAT, HEARTBEAT_FIELDS);
  wire_write_int (&writer, now_us (link));
  wire_write_int (&writer, link->peer_heartbeat_sent_us);
  wire_write_int (&writer, held_us);
  link->last_output_us = now_us (link);
  write_message (link, &writer);
}

static bool
read_hello (link_t *link, wire_reader_t *reader, anv_error_t *err)
{
  link_hello_t *peer = &link->peer;
  wire_read_string_into (reader, peer->id, sizeof (peer->id));
  wire_read_string_into (reader, peer->domain, sizeof (peer->domain));
  wire_read_string_into (reader, peer->address, sizeof (peer->address));
  peer->incarnation = wire_read_uint (reader);
  return wire_reader_finish (reader, err);
}

static bool
read_heartbeat (link_t *link, wire_reader_t *reader, anv_error_t *err)
{
  int64_t sent_us = wire_read_int (reader);
  int64_t echo_us = wire_read_int (reader);
  int64_t held_us = wire_read_int (reader);
  if (!wire_reader_finish (reader, err))
    return false;

  link->peer_heartbeat_sent_us = sent_us;
  link->peer_heartbeat_received_us = now_us (link);
  link_clock_record_message (&link->clock, link->peer_heartbeat_received_us, sent_us);
  /* The peer sent this at least HELD_US after it received our time stamp. Adding HELD_US keeps the
   * bound independent of the heartbeat period. */
  if (echo_us != 0 && held_us >= 0 && echo_us + held_us <= link->peer_heartbeat_received_us)
    link_clock_record_round_trip (&link->clock, link->peer_heartbeat_received_us, sent_us,
                                  echo_us + held_us);
  return true;
}

static void
open_link (link_t *link)
{
  link->open = true;
  link->reader.max_size = FRAME_MAX_SIZE;
  byte_stream_write (&link->stream, (const char *)link->queued_frames->data,
                     link->queued_frames->len);
  g_byte_array_set_size (link->queued_frames, 0);
  send_heartbeat (link);
  link->ops->opened (link);
}

static bool
handle_frame (link_t *link, const uint8_t *data, size_t size, anv_error_t *err)
{
  wire_reader_t reader;
  wire_type_t type;
  if (!wire_reader_init (&reader, data, size, &type, err))
    return false;

  bool valid = true;
  if (type == WIRE_HEARTBEAT)
    valid = read_heartbeat (link, &reader, err);
  else if (type == WIRE_HELLO && !link->open)
    {
      valid = read_hello (link, &reader, err);
      if (valid)
        open_link (link);
    }
  else if (!link->open || type == WIRE_HELLO)
    {
      anv_error_set (err, ANV_ERROR_LINK, LINK_ERROR_PROTOCOL, "unexpected message type %d",
                     (int)type);
      valid = false;
    }
  else
    {
      link->last_message_us = now_us (link);
      link->ops->received (link, type, &reader, data, size);
    }
  wire_reader_destroy (&reader);
  return valid;
}

static void
handle_input (link_t *link, const char *bytes, size_t size)
{
  anv_error_t err = { 0 };
  link->last_input_us = now_us (link);
  bool valid = frame_reader_feed (&link->reader, (const uint8_t *)bytes, size, &err);
  while (valid && !link->closed)
    {
      g_autoptr (GBytes) payload = frame_reader_next (&link->reader, &err);
      if (payload == NULL)
        break;
      gsize length = 0;
      const uint8_t *data = g_bytes_get_data (payload, &length);
      valid = handle_frame (link, data, length, &err);
    }
  if (!link->closed && anv_error_is_set (&err))
    {
      anv_error_wrap (&err, ANV_ERROR_LINK, LINK_ERROR_PROTOCOL, "invalid message");
      link_close (link, &err);
    }
}

static void
on_readable (byte_stream_t *stream)
{
  link_t *link = CONTAINER_OF (stream, link_t, stream);
  char buffer[READ_BUFFER_SIZE];

  for (size_t total = 0; total < MAX_READ_BYTES_PER_ITERATION && !link->closed;)
    {
      ssize_t got = byte_stream_read (stream, buffer, sizeof (buffer));
      if (got == BYTE_STREAM_WOULD_BLOCK)
        return;
      if (got <= 0)
        {
          close_with_error (link, LINK_ERROR_CLOSED,
                            got == BYTE_STREAM_EOF ? "closed by peer" : stream->read_error);
          return;
        }
      total += (size_t)got;
      handle_input (link, buffer, (size_t)got);
    }
}

static void
start_reading (link_t *link)
{
  send_hello (link);
  byte_stream_set_reading (&link->stream, true);
}

static void
on_connected (byte_stream_t *stream)
{
  link_t *link = CONTAINER_OF (stream, link_t, stream);
  anv_error_t err = { 0 };

  if (link->tls != NULL)
    {
      g_autoptr (GIOStream) tls = tls_config_connect (link->tls, stream->socket, &err);
      if (tls == NULL)
        {
          link_close (link, &err);
          return;
        }
      byte_stream_start_tls (stream, tls);
    }
  start_reading (link);
}

static void
on_written (byte_stream_t *stream, size_t size)
{
}

static void
on_failed (byte_stream_t *stream, const anv_error_t *err)
{
  link_t *link = CONTAINER_OF (stream, link_t, stream);
  anv_error_t link_err = *err;
  anv_error_wrap (&link_err, ANV_ERROR_LINK, LINK_ERROR_SOCKET, "connection failed");
  link_close (link, &link_err);
}

static const byte_stream_ops_t stream_ops = {
  .connected = on_connected,
  .readable = on_readable,
  .written = on_written,
  .failed = on_failed,
};

static void
on_timer (io_timer_t *timer)
{
  link_t *link = CONTAINER_OF (timer, link_t, timer);
  int64_t now = now_us (link);

  if (!link->open && now - link->created_us >= link->timing->handshake_timeout_us)
    {
      close_with_error (link, LINK_ERROR_SILENT, "no HELLO within the handshake timeout");
      return;
    }
  if (link->open && now - link->last_input_us >= link->timing->receive_timeout_us)
    {
      close_with_error (link, LINK_ERROR_SILENT, "no input within the receive timeout");
      return;
    }
  if (link->open && now - link->last_message_us >= link->timing->idle_timeout_us)
    {
      close_with_error (link, LINK_ERROR_CLOSED, "idle");
      return;
    }
  bool output_idle = now - link->last_output_us >= link->timing->heartbeat_period_us / 2;
  if (link->open && (output_idle || !link->timing->messages_replace_heartbeats))
    send_heartbeat (link);
  io_timer_set (link->loop, &link->timer, now + link->timing->heartbeat_period_us);
}

static link_t *
new_link (const link_ops_t *ops, void *owner, io_loop_t *loop, const link_hello_t *self,
          const link_timing_t *timing, const tls_config_t *tls)
{
  link_t *link = g_new0 (link_t, 1);
  link->ops = ops;
  link->owner = owner;
  link->loop = loop;
  link->self = self;
  link->timing = timing;
  link->tls = tls;
  link->queued_frames = g_byte_array_new ();
  list_node_init (&link->node);
  frame_reader_init (&link->reader, LINK_MAX_HELLO_BYTES);
  link_clock_init (&link->clock);
  io_timer_init (&link->timer, on_timer);
  io_deferred_init (&link->deferred_free, free_link);
  link->created_us = now_us (link);
  link->last_input_us = link->created_us;
  link->last_message_us = link->created_us;
  io_timer_set (loop, &link->timer,
                link->created_us + MIN (timing->heartbeat_period_us, timing->handshake_timeout_us));
  return link;
}

link_t *
link_accept (const link_ops_t *ops, void *owner, io_loop_t *loop, const link_hello_t *self,
             const link_timing_t *timing, const tls_config_t *tls, GSocket *socket)
{
  anv_error_t err = { 0 };
  g_autoptr (GIOStream) stream = NULL;
  if (tls != NULL)
    {
      stream = tls_config_accept (tls, socket, &err);
      if (stream == NULL)
        {
          LOG_WARNING ("cannot accept a link error=\"%s\"", err.text);
          return NULL;
        }
    }
  link_t *link = new_link (ops, owner, loop, self, timing, tls);
  byte_stream_open (&link->stream, &stream_ops, loop, socket, stream);
  start_reading (link);
  return link;
}

link_t *
link_connect (const link_ops_t *ops, void *owner, io_loop_t *loop, const link_hello_t *self,
              const link_timing_t *timing, const tls_config_t *tls, const char *address,
              anv_error_t *err)
{
  char host[LINK_ADDRESS_SIZE];
  uint16_t port = 0;
  if (!option_parse_address (address, host, sizeof (host), &port))
    {
      anv_error_set (err, ANV_ERROR_LINK, LINK_ERROR_SOCKET, "malformed address '%s'", address);
      return NULL;
    }
  g_autoptr (GSocketAddress) socket_address = g_inet_socket_address_new_from_string (host, port);
  link_t *link = new_link (ops, owner, loop, self, timing, tls);
  g_strlcpy (link->connect_address, address, sizeof (link->connect_address));
  if (byte_stream_connect (&link->stream, &stream_ops, loop, socket_address, err))
    return link;
  anv_error_wrap (err, ANV_ERROR_LINK, LINK_ERROR_SOCKET, "cannot connect to %s", address);
  io_timer_cancel (&link->timer);
  free_link (&link->deferred_free);
  return NULL;
}

bool
link_send (link_t *link, const uint8_t *data, size_t size)
{
  size_t queued = byte_stream_pending (&link->stream) + link->queued_frames->len;
  if (link->closed || size == 0 || size > FRAME_MAX_SIZE || queued + size > LINK_MAX_QUEUED_BYTES)
    return false;

  link->last_message_us = now_us (link);
  link->last_output_us = link->last_message_us;
  if (!link->open)
    {
      frame_append (link->queued_frames, data, size);
      return true;
    }
  GByteArray *frame = g_byte_array_sized_new ((guint)size + FRAME_HEADER_SIZE);
  frame_append (frame, data, size);
  byte_stream_write (&link->stream, (const char *)frame->data, frame->len);
  g_byte_array_unref (frame);
  return true;
}

int64_t
link_compute_message_age_us (const link_t *link, int64_t sent_us)
{
  return link_clock_age_us (&link->clock, now_us (link), sent_us);
}
