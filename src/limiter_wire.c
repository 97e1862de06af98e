#include "limiter_wire.h"

#include <string.h>

#define MESSAGE_FIELD_COUNT 5

void
limiter_wire_encode (const limiter_message_t *message, const char *service, wire_writer_t *writer)
{
  wire_writer_init (writer, WIRE_TEAM_USAGE, MESSAGE_FIELD_COUNT);
  wire_write_string (writer, service);
  wire_write_uint (writer, message->epoch);
  wire_write_uint (writer, message->ack_epoch);
  wire_write_uint (writer, message->ack_number);
  wire_write_array (writer, message->batch_count);
  for (size_t i = 0; i < message->batch_count; i++)
    {
      const limiter_batch_t *batch = &message->batches[i];
      wire_write_array (writer, 2);
      wire_write_uint (writer, batch->number);
      wire_write_array (writer, batch->usage_count * 2);
      for (size_t j = 0; j < batch->usage_count; j++)
        {
          wire_write_uint (writer, batch->usage[j].team);
          wire_write_uint (writer, batch->usage[j].admitted_count);
        }
    }
}

static void
decode_batch (wire_reader_t *reader, limiter_batch_t *batch)
{
  wire_read_array (reader);
  batch->number = wire_read_uint (reader);
  batch->usage_count = wire_read_array (reader) / 2;
  batch->usage = g_new0 (limiter_usage_t, batch->usage_count);
  for (size_t i = 0; i < batch->usage_count; i++)
    {
      batch->usage[i].team = wire_read_uint (reader);
      uint64_t count = wire_read_uint (reader);
      batch->usage[i].admitted_count = (uint32_t)MIN (count, UINT32_MAX);
    }
  wire_read_array_end (reader);
  wire_read_array_end (reader);
}

bool
limiter_wire_decode (wire_reader_t *reader, char **service, limiter_message_t *message,
                     anv_error_t *err)
{
  memset (message, 0, sizeof (*message));
  *service = wire_read_string (reader);
  message->epoch = wire_read_uint (reader);
  message->ack_epoch = wire_read_uint (reader);
  message->ack_number = wire_read_uint (reader);
  uint32_t count = wire_read_array (reader);
  if (count > LIMITER_MAX_BATCHES)
    {
      anv_error_set (err, ANV_ERROR_WIRE, WIRE_ERROR_FIELD, "%u usage batches, at most %d", count,
                     LIMITER_MAX_BATCHES);
      return false;
    }
  message->batch_count = count;
  for (uint32_t i = 0; i < count; i++)
    decode_batch (reader, &message->batches[i]);
  wire_read_array_end (reader);
  return wire_reader_finish (reader, err);
}

void
limiter_wire_clear (char **service, limiter_message_t *message)
{
  g_clear_pointer (service, g_free);
  for (size_t i = 0; i < message->batch_count; i++)
    g_clear_pointer (&message->batches[i].usage, g_free);
  message->batch_count = 0;
}
