#include "raft_log.h"

#include <inttypes.h>
#include <string.h>

/* Layout of a record: term, type, data. */
#define RECORD_TYPE_OFFSET 8
#define RECORD_DATA_OFFSET 9

static raft_entry_t *
copy_entry (const raft_entry_t *entry)
{
  raft_entry_t *copy = g_malloc (sizeof (*copy) + entry->size);
  uint8_t *data = (uint8_t *)(copy + 1);
  *copy = *entry;
  copy->data = data;
  if (entry->size > 0)
    memcpy (data, entry->data, entry->size);
  return copy;
}

static bool
load_record (void *user, uint64_t index, const uint8_t *data, size_t size, anv_error_t *err)
{
  raft_log_t *log = user;
  if (size < RECORD_DATA_OFFSET)
    {
      anv_error_set (err, ANV_ERROR_STORAGE, STORAGE_ERROR_CORRUPT,
                     "log entry %" PRIu64 " is too short", index);
      return false;
    }
  if (log->entries->len == 0)
    log->base_index = index - 1;
  raft_entry_t entry = {
    .term = bytes_get_u64 (data),
    .type = (raft_entry_type_t)data[RECORD_TYPE_OFFSET],
    .data = data + RECORD_DATA_OFFSET,
    .size = size - RECORD_DATA_OFFSET,
  };
  g_ptr_array_add (log->entries, copy_entry (&entry));
  return true;
}

/* Drops the entries up to and including INDEX, whose term is TERM, from memory. */
static void
drop_entries_through (raft_log_t *log, uint64_t index, uint64_t term)
{
  if (index > log->base_index)
    g_ptr_array_remove_range (log->entries, 0, (guint)(index - log->base_index));
  log->base_index = index;
  log->base_term = term;
}

/* Drops what a snapshot up to INDEX of TERM covers, or the whole log if the two conflict. */
static bool
align_with_snapshot (raft_log_t *log, uint64_t index, uint64_t term, anv_error_t *err)
{
  uint64_t log_term = 0;
  if (log->entries->len > 0 && log->base_index > index)
    {
      anv_error_set (err, ANV_ERROR_STORAGE, STORAGE_ERROR_CORRUPT,
                     "log begins at entry %" PRIu64 " but the snapshot ends at %" PRIu64,
                     log->base_index + 1, index);
      return false;
    }
  bool known = log->base_index == index || raft_log_get_term (log, index, &log_term);
  if (log->entries->len == 0 || !known || (log->base_index != index && log_term != term))
    return raft_log_reset (log, index, term, err);
  drop_entries_through (log, index, term);
  return true;
}

bool
raft_log_open (raft_log_t *log, file_store_t *store, const segment_log_options_t *options,
               uint64_t snapshot_index, uint64_t snapshot_term, anv_error_t *err)
{
  memset (log, 0, sizeof (*log));
  log->entries = g_ptr_array_new_with_free_func (g_free);
  bool opened = segment_log_open (&log->record_log, store, options, load_record, log, err);
  if (opened && align_with_snapshot (log, snapshot_index, snapshot_term, err))
    return true;
  if (opened)
    segment_log_close (&log->record_log);
  g_clear_pointer (&log->entries, g_ptr_array_unref);
  return false;
}

void
raft_log_close (raft_log_t *log)
{
  segment_log_close (&log->record_log);
  g_clear_pointer (&log->entries, g_ptr_array_unref);
}

uint64_t
raft_log_last_index (const raft_log_t *log)
{
  return log->base_index + log->entries->len;
}

uint64_t
raft_log_last_term (const raft_log_t *log)
{
  uint64_t term = 0;
  raft_log_get_term (log, raft_log_last_index (log), &term);
  return term;
}

const raft_entry_t *
raft_log_get_entry (const raft_log_t *log, uint64_t index)
{
  if (index <= log->base_index || index > raft_log_last_index (log))
    return NULL;
  return g_ptr_array_index (log->entries, (guint)(index - log->base_index - 1));
}

bool
raft_log_get_term (const raft_log_t *log, uint64_t index, uint64_t *term)
{
  const raft_entry_t *entry = raft_log_get_entry (log, index);
  if (entry == NULL && index != log->base_index)
    return false;
  *term = entry != NULL ? entry->term : log->base_term;
  return true;
}

bool
raft_log_append (raft_log_t *log, const raft_entry_t *entry, anv_error_t *err)
{
  uint64_t index = 0;
  uint8_t type = (uint8_t)entry->type;
  GByteArray *record = g_byte_array_sized_new ((guint)(RECORD_DATA_OFFSET + entry->size));
  bytes_put_u64 (record, entry->term);
  g_byte_array_append (record, &type, 1);
  if (entry->size > 0)
    g_byte_array_append (record, entry->data, (guint)entry->size);
  bool ok = segment_log_append (&log->record_log, record->data, record->len, &index, err);
  g_byte_array_free (record, TRUE);
  if (!ok)
    return false;
  g_ptr_array_add (log->entries, copy_entry (entry));
  g_assert (index == raft_log_last_index (log));
  return true;
}

bool
raft_log_truncate (raft_log_t *log, uint64_t index, anv_error_t *err)
{
  g_assert (index > log->base_index);
  if (!segment_log_truncate (&log->record_log, index, err))
    return false;
  g_ptr_array_set_size (log->entries, (gint)(index - log->base_index - 1));
  return true;
}

bool
raft_log_compact (raft_log_t *log, uint64_t index, anv_error_t *err)
{
  uint64_t term = 0;
  if (index <= log->base_index)
    return true;
  if (!raft_log_get_term (log, index, &term))
    return true;
  drop_entries_through (log, index, term);
  return segment_log_compact (&log->record_log, index + 1, err);
}

bool
raft_log_reset (raft_log_t *log, uint64_t index, uint64_t term, anv_error_t *err)
{
  if (!segment_log_reset (&log->record_log, index + 1, err))
    return false;
  g_ptr_array_set_size (log->entries, 0);
  log->base_index = index;
  log->base_term = term;
  return true;
}
