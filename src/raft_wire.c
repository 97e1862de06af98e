#include "raft_wire.h"

#include <glib.h>
#include <string.h>

#define COMMON_FIELD_COUNT 9
#define ENTRY_FIELD_COUNT 3

enum
{
  FLAG_OK = 1,
  FLAG_PRE_VOTE = 2,
  FLAG_TRANSFER = 4,
};

static const struct
{
  wire_type_t type;
  size_t extra_field_count;
} formats[] = {
  [RAFT_VOTE] = { WIRE_RAFT_VOTE, 0 },
  [RAFT_VOTE_REPLY] = { WIRE_RAFT_VOTE_REPLY, 0 },
  [RAFT_APPEND] = { WIRE_RAFT_APPEND, 2 },
  [RAFT_APPEND_REPLY] = { WIRE_RAFT_APPEND_REPLY, 0 },
  [RAFT_SNAPSHOT] = { WIRE_RAFT_SNAPSHOT, 3 },
  [RAFT_SNAPSHOT_REPLY] = { WIRE_RAFT_SNAPSHOT_REPLY, 1 },
  [RAFT_TIMEOUT_NOW] = { WIRE_RAFT_TIMEOUT_NOW, 0 },
};

static bool
find_message_type (wire_type_t type, raft_message_type_t *found)
{
  for (size_t i = 0; i < G_N_ELEMENTS (formats); i++)
    {
      if (formats[i].type != type)
        continue;
      *found = (raft_message_type_t)i;
      return true;
    }
  return false;
}

bool
raft_wire_is_type (wire_type_t type)
{
  raft_message_type_t found;
  return find_message_type (type, &found);
}

static void
write_entries (wire_writer_t *writer, const raft_message_t *m)
{
  wire_write_array (writer, m->entry_count);
  for (size_t i = 0; i < m->entry_count; i++)
    {
      wire_write_array (writer, ENTRY_FIELD_COUNT);
      wire_write_uint (writer, m->entries[i]->term);
      wire_write_uint (writer, m->entries[i]->type);
      wire_write_bytes (writer, m->entries[i]->data, m->entries[i]->size);
    }
}

void
raft_wire_encode (const raft_message_t *m, wire_writer_t *writer)
{
  uint64_t flags = (m->ok ? FLAG_OK : 0) | (m->pre_vote ? FLAG_PRE_VOTE : 0)
                   | (m->transfer ? FLAG_TRANSFER : 0);
  wire_writer_init (writer, formats[m->type].type,
                    COMMON_FIELD_COUNT + formats[m->type].extra_field_count);
  wire_write_uint (writer, m->group);
  wire_write_uint (writer, m->from);
  wire_write_uint (writer, m->to);
  wire_write_uint (writer, m->founder_id);
  wire_write_uint (writer, m->term);
  wire_write_uint (writer, m->index);
  wire_write_uint (writer, m->log_term);
  wire_write_uint (writer, m->round);
  wire_write_uint (writer, flags);
  if (m->type == RAFT_APPEND)
    {
      wire_write_uint (writer, m->commit_index);
      write_entries (writer, m);
    }
  if (m->type == RAFT_SNAPSHOT || m->type == RAFT_SNAPSHOT_REPLY)
    wire_write_uint (writer, m->offset);
  if (m->type == RAFT_SNAPSHOT)
    {
      wire_write_uint (writer, m->total);
      wire_write_bytes (writer, m->data, m->size);
    }
}

static void
read_common_fields (wire_reader_t *reader, raft_message_t *m)
{
  uint64_t group = wire_read_uint (reader);
  if (group > UINT32_MAX)
    reader->failed = true;
  m->group = (uint32_t)group;
  m->from = wire_read_uint (reader);
  m->to = wire_read_uint (reader);
  m->founder_id = wire_read_uint (reader);
  m->term = wire_read_uint (reader);
  m->index = wire_read_uint (reader);
  m->log_term = wire_read_uint (reader);
  m->round = wire_read_uint (reader);
  uint64_t flags = wire_read_uint (reader);
  m->ok = (flags & FLAG_OK) != 0;
  m->pre_vote = (flags & FLAG_PRE_VOTE) != 0;
  m->transfer = (flags & FLAG_TRANSFER) != 0;
}

static void
read_entries (raft_wire_message_t *decoded)
{
  wire_reader_t *reader = &decoded->reader;
  size_t count = wire_read_array (reader);
  if (count > RAFT_MAX_BATCH_ENTRIES)
    {
      reader->failed = true;
      return;
    }
  decoded->entries = g_new0 (raft_entry_t, count);
  decoded->entry_pointers = g_new0 (const raft_entry_t *, count);
  for (size_t i = 0; i < count; i++)
    {
      raft_entry_t *entry = &decoded->entries[i];
      wire_read_array (reader);
      entry->term = wire_read_uint (reader);
      uint64_t type = wire_read_uint (reader);
      if (type > RAFT_ENTRY_CONFIG)
        reader->failed = true;
      entry->type = (raft_entry_type_t)type;
      entry->data = wire_read_bytes (reader, &entry->size);
      wire_read_array_end (reader);
      decoded->entry_pointers[i] = entry;
    }
  wire_read_array_end (reader);
  decoded->message.entries = decoded->entry_pointers;
  decoded->message.entry_count = count;
}

static void
read_type_fields (raft_wire_message_t *decoded)
{
  raft_message_t *m = &decoded->message;
  wire_reader_t *reader = &decoded->reader;
  if (m->type == RAFT_APPEND)
    {
      m->commit_index = wire_read_uint (reader);
      read_entries (decoded);
    }
  if (m->type == RAFT_SNAPSHOT || m->type == RAFT_SNAPSHOT_REPLY)
    m->offset = wire_read_uint (reader);
  if (m->type == RAFT_SNAPSHOT)
    {
      m->total = wire_read_uint (reader);
      m->data = wire_read_bytes (reader, &m->size);
    }
}

bool
raft_wire_decode (raft_wire_message_t *decoded, const uint8_t *data, size_t size, anv_error_t *err)
{
  wire_type_t type;
  memset (decoded, 0, sizeof (*decoded));
  if (!wire_reader_init (&decoded->reader, data, size, &type, err))
    return false;
  if (!find_message_type (type, &decoded->message.type))
    {
      wire_reader_destroy (&decoded->reader);
      anv_error_set (err, ANV_ERROR_WIRE, WIRE_ERROR_FIELD, "not a raft message");
      return false;
    }
  read_common_fields (&decoded->reader, &decoded->message);
  read_type_fields (decoded);
  if (wire_reader_finish (&decoded->reader, err))
    return true;
  raft_wire_destroy (decoded);
  return false;
}

void
raft_wire_destroy (raft_wire_message_t *decoded)
{
  wire_reader_destroy (&decoded->reader);
  g_clear_pointer (&decoded->entries, g_free);
  g_clear_pointer (&decoded->entry_pointers, g_free);
}
