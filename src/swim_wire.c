#include "swim_wire.h"

#include <string.h>

#define MESSAGE_FIELD_COUNT 13
#define COMMON_UPDATE_FIELD_COUNT 3
#define ALIVE_UPDATE_FIELD_COUNT 6
#define FLAGS_SHIFT 2
#define STATUS_MASK 3

/* Array header, status with flags, and incarnation: largest encoded size. */
#define FIXED_UPDATE_BYTES 12

/* An incarnation starts as milliseconds since the epoch, which is far below this bound. A value
 * above it is rejected, because it could overflow when it is refuted. */
#define MAX_INCARNATION (UINT64_C (1) << 62)

static size_t
text_size (const char *text)
{
  size_t length = strlen (text);
  return length < 32 ? length + 1 : length + 2;
}

size_t
swim_wire_update_size (const swim_update_t *update)
{
  size_t size = FIXED_UPDATE_BYTES + text_size (update->id);
  if (update->status == SWIM_ALIVE)
    size += text_size (update->peer_address) + text_size (update->caller_address)
            + text_size (update->domain);
  return size;
}

static void
encode_update (const swim_update_t *update, wire_writer_t *writer)
{
  bool full = update->status == SWIM_ALIVE;
  wire_write_array (writer, full ? ALIVE_UPDATE_FIELD_COUNT : COMMON_UPDATE_FIELD_COUNT);
  wire_write_string (writer, update->id);
  wire_write_uint (writer, (uint64_t)update->status | (uint64_t)update->flags << FLAGS_SHIFT);
  wire_write_uint (writer, update->incarnation);
  if (!full)
    return;
  wire_write_string (writer, update->peer_address);
  wire_write_string (writer, update->caller_address);
  wire_write_string (writer, update->domain);
}

void
swim_wire_encode (const swim_message_t *message, wire_writer_t *writer)
{
  wire_writer_init (writer, message->type, MESSAGE_FIELD_COUNT);
  wire_write_string (writer, message->from);
  wire_write_string (writer, message->to);
  wire_write_uint (writer, message->seq);
  wire_write_uint (writer, message->incarnation);
  wire_write_uint (writer, message->known_incarnation);
  wire_write_uint (writer, message->known_status);
  wire_write_uint (writer, message->version);
  wire_write_uint (writer, message->digest);
  wire_write_string (writer, message->subject);
  wire_write_string (writer, message->subject_address);
  wire_write_uint (writer, message->sync_stage);
  wire_write_bytes (writer, message->sync_data, message->sync_size);
  wire_write_array (writer, message->update_count);
  for (size_t i = 0; i < message->update_count; i++)
    encode_update (&message->updates[i], writer);
}

static char *
read_text (wire_reader_t *reader)
{
  char *text = wire_read_string (reader);
  if (strlen (text) >= SWIM_TEXT_SIZE)
    reader->failed = true;
  return text;
}

static uint64_t
read_incarnation (wire_reader_t *reader)
{
  uint64_t incarnation = wire_read_uint (reader);
  if (incarnation > MAX_INCARNATION)
    reader->failed = true;
  return incarnation;
}

static swim_status_t
read_status (wire_reader_t *reader, uint64_t value)
{
  if (value > SWIM_DEAD)
    reader->failed = true;
  return (swim_status_t)value;
}

static void
decode_update (wire_reader_t *reader, swim_update_t *update)
{
  uint32_t field_count = wire_read_array (reader);
  update->id = read_text (reader);
  uint64_t status_and_flags = wire_read_uint (reader);
  update->status = read_status (reader, status_and_flags & STATUS_MASK);
  update->flags = (uint8_t)(status_and_flags >> FLAGS_SHIFT);
  update->incarnation = read_incarnation (reader);
  if (update->status == SWIM_ALIVE)
    {
      update->peer_address = read_text (reader);
      update->caller_address = read_text (reader);
      update->domain = read_text (reader);
      if (update->peer_address[0] == '\0' || update->domain[0] == '\0')
        reader->failed = true;
    }
  if (field_count < COMMON_UPDATE_FIELD_COUNT || update->id[0] == '\0')
    reader->failed = true;
  wire_read_array_end (reader);
}

static void
decode_updates (wire_reader_t *reader, swim_message_t *message)
{
  uint32_t count = wire_read_array (reader);
  if (count > SWIM_MAX_UPDATES)
    reader->failed = true;
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    {
      message->update_count = i + 1;
      decode_update (reader, &message->updates[i]);
    }
  wire_read_array_end (reader);
}

static bool
sync_size_is_valid (const swim_message_t *message)
{
  switch (message->sync_stage)
    {
    case SWIM_SYNC_REQUEST:
      return message->sync_size == SWIM_SYNC_HASHES_SIZE;
    case SWIM_SYNC_REPLY:
      return message->sync_size == SWIM_SYNC_BITMAP_SIZE;
    default:
      return message->sync_stage <= SWIM_SYNC_RECORDS;
    }
}

bool
swim_wire_decode (wire_reader_t *reader, wire_type_t type, swim_message_t *message,
                  anv_error_t *err)
{
  memset (message, 0, sizeof (*message));
  message->type = type;
  message->from = read_text (reader);
  message->to = read_text (reader);
  message->seq = (uint32_t)wire_read_uint (reader);
  message->incarnation = read_incarnation (reader);
  message->known_incarnation = read_incarnation (reader);
  message->known_status = read_status (reader, wire_read_uint (reader));
  message->version = wire_read_uint (reader);
  message->digest = wire_read_uint (reader);
  message->subject = read_text (reader);
  message->subject_address = read_text (reader);
  uint64_t stage = wire_read_uint (reader);
  message->sync_stage = (swim_sync_stage_t)MIN (stage, SWIM_SYNC_RECORDS + 1);
  message->sync_data = wire_read_bytes (reader, &message->sync_size);
  decode_updates (reader, message);
  if (!sync_size_is_valid (message) || message->from[0] == '\0')
    reader->failed = true;
  return wire_reader_finish (reader, err);
}

void
swim_wire_clear (swim_message_t *message)
{
  g_free ((char *)message->from);
  g_free ((char *)message->to);
  g_free ((char *)message->subject);
  g_free ((char *)message->subject_address);
  for (size_t i = 0; i < message->update_count; i++)
    {
      g_free ((char *)message->updates[i].id);
      g_free ((char *)message->updates[i].peer_address);
      g_free ((char *)message->updates[i].caller_address);
      g_free ((char *)message->updates[i].domain);
    }
  memset (message, 0, sizeof (*message));
}
