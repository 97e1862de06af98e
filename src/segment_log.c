#include "segment_log.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <zlib.h>

#define LOG_MODULE "segment_log"
#include "log.h"

#define SECTOR_SIZE 512
#define NAME_SIZE 128
#define FIRST_INDEX 1

/* Offsets in a record header. */
enum
{
  HEADER_CRC = 0,
  HEADER_PAYLOAD_SIZE = 4,
  HEADER_INDEX = 8,
  HEADER_PAYLOAD_CRC = 16,
};

typedef enum
{
  RECORD_VALID,
  RECORD_TORN,
  RECORD_CORRUPT,
} record_state_t;

typedef struct
{
  const uint8_t *payload;
  size_t size;
  uint64_t index;
} record_t;

static uint32_t
checksum (const uint8_t *data, size_t size)
{
  return (uint32_t)crc32 (0, data, (uInt)size);
}

static void
segment_name (const segment_log_t *log, uint64_t first, char *buffer)
{
  snprintf (buffer, NAME_SIZE, "%s-%020" PRIu64 ".seg1", log->options.name, first);
}

static uint64_t
segment_first (const segment_log_t *log, guint position)
{
  return g_array_index (log->segments, uint64_t, position);
}

/* Marks LOG as failed and returns false. */
static bool
poison (segment_log_t *log)
{
  log->failed = true;
  return false;
}

static bool
check_usable (const segment_log_t *log, anv_error_t *err)
{
  if (!log->failed)
    return true;
  anv_error_set (err, ANV_ERROR_STORAGE, STORAGE_ERROR_FAILED,
                 "log %s is closed for writing after a storage failure", log->options.name);
  return false;
}

/* Returns whether the bytes from START on, or from a sector boundary within the record that starts
 * there, are all zero up to the end: space that was allocated but whose data was never written. */
static bool
ends_in_unwritten_space (const uint8_t *data, size_t size, size_t start, size_t record_end)
{
  size_t zeros_from = size;
  while (zeros_from > start && data[zeros_from - 1] == 0)
    zeros_from--;
  if (zeros_from == start)
    return true;
  size_t boundary = (zeros_from + SECTOR_SIZE - 1) / SECTOR_SIZE * SECTOR_SIZE;
  return boundary < size && boundary < record_end;
}

static record_state_t
parse_record (const uint8_t *data, size_t size, size_t offset, record_t *record)
{
  const uint8_t *header = data + offset;
  size_t left = size - offset;
  if (left < SEGMENT_RECORD_HEADER_SIZE)
    return RECORD_TORN;
  size_t header_end = offset + SEGMENT_RECORD_HEADER_SIZE;
  if (bytes_get_u32 (header)
      != checksum (header + HEADER_PAYLOAD_SIZE, SEGMENT_RECORD_HEADER_SIZE - HEADER_PAYLOAD_SIZE))
    return ends_in_unwritten_space (data, size, offset, header_end) ? RECORD_TORN : RECORD_CORRUPT;

  record->size = bytes_get_u32 (header + HEADER_PAYLOAD_SIZE);
  record->index = bytes_get_u64 (header + HEADER_INDEX);
  record->payload = header + SEGMENT_RECORD_HEADER_SIZE;
  if (left - SEGMENT_RECORD_HEADER_SIZE < record->size)
    return RECORD_TORN;
  if (bytes_get_u32 (header + HEADER_PAYLOAD_CRC) == checksum (record->payload, record->size))
    return RECORD_VALID;
  bool unwritten = ends_in_unwritten_space (data, size, offset, header_end + record->size);
  return unwritten ? RECORD_TORN : RECORD_CORRUPT;
}

static bool
corrupt (const char *name, size_t offset, const char *what, anv_error_t *err)
{
  anv_error_set (err, ANV_ERROR_STORAGE, STORAGE_ERROR_CORRUPT, "%s: %s at byte %zu", name, what,
                 offset);
  return false;
}

/* Passes the records of a segment to FN and stores where the valid ones end. */
static bool
scan_segment (segment_log_t *log, const char *name, const GByteArray *content, bool last,
              segment_log_record_fn fn, void *user, size_t *valid_size, anv_error_t *err)
{
  size_t offset = 0;
  while (offset < content->len)
    {
      record_t record = { 0 };
      record_state_t state = parse_record (content->data, content->len, offset, &record);
      if (state == RECORD_TORN && last)
        break;
      if (state != RECORD_VALID)
        return corrupt (name, offset, "damaged record", err);
      if (record.index != log->next_index)
        return corrupt (name, offset, "record out of sequence", err);
      if (fn != NULL && !fn (user, record.index, record.payload, record.size, err))
        return false;
      log->next_index++;
      offset += SEGMENT_RECORD_HEADER_SIZE + record.size;
    }
  *valid_size = offset;
  return true;
}

static int
compare_indexes (gconstpointer a, gconstpointer b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;
  return left < right ? -1 : left > right;
}

static bool
find_segments (segment_log_t *log, anv_error_t *err)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  bool ok = log->store->ops->list (log->store, names, err);
  for (guint i = 0; ok && i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);
      size_t prefix = strlen (log->options.name);
      uint64_t first = 0;
      char expected[NAME_SIZE];
      if (strncmp (name, log->options.name, prefix) != 0 || name[prefix] != '-')
        continue;
      first = g_ascii_strtoull (name + prefix + 1, NULL, 10);
      segment_name (log, first, expected);
      if (strcmp (name, expected) == 0)
        g_array_append_val (log->segments, first);
    }
  g_ptr_array_free (names, TRUE);
  g_array_sort (log->segments, compare_indexes);
  return ok;
}

/* Copies the valid part of the last segment to a new file, so that its durability is known. */
static bool
rewrite_last (segment_log_t *log, const char *name, const GByteArray *content, size_t valid_size,
              anv_error_t *err)
{
  if (valid_size < content->len)
    LOG_WARNING ("incomplete record cut file=%s offset=%zu bytes=%zu", name, valid_size,
                 content->len - valid_size);
  if (!file_replace (log->store, name, content->data, valid_size, err))
    return false;
  log->size = valid_size;
  return log->store->ops->open (log->store, name, false, &log->handle, err);
}

static bool
recover_segment (segment_log_t *log, guint position, segment_log_record_fn fn, void *user,
                 anv_error_t *err)
{
  char name[NAME_SIZE];
  bool last = position + 1 == log->segments->len;
  size_t valid_size = 0;
  GByteArray *content = g_byte_array_new ();
  segment_name (log, segment_first (log, position), name);
  if (position == 0)
    log->next_index = segment_first (log, 0);

  bool ok = segment_first (log, position) == log->next_index
            || corrupt (name, 0, "gap before this segment", err);
  ok = ok && file_read_all (log->store, name, content, err);
  ok = ok && scan_segment (log, name, content, last, fn, user, &valid_size, err);
  ok = ok && (!last || rewrite_last (log, name, content, valid_size, err));
  g_byte_array_free (content, TRUE);
  return ok;
}

bool
segment_log_open (segment_log_t *log, file_store_t *store, const segment_log_options_t *options,
                  segment_log_record_fn fn, void *user, anv_error_t *err)
{
  memset (log, 0, sizeof (*log));
  log->store = store;
  log->options = *options;
  log->segments = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  log->batch = g_byte_array_new ();
  log->handle = -1;
  log->next_index = FIRST_INDEX;

  bool ok = find_segments (log, err);
  for (guint i = 0; ok && i < log->segments->len; i++)
    ok = recover_segment (log, i, fn, user, err);
  log->synced_index = log->next_index - 1;
  if (!ok)
    segment_log_close (log);
  return ok;
}

static void
close_last (segment_log_t *log)
{
  if (log->handle >= 0)
    log->store->ops->close (log->store, log->handle);
  log->handle = -1;
  log->size = 0;
}

void
segment_log_close (segment_log_t *log)
{
  close_last (log);
  g_clear_pointer (&log->segments, g_array_unref);
  g_clear_pointer (&log->batch, g_byte_array_unref);
}

bool
segment_log_append (segment_log_t *log, const uint8_t *data, size_t size, uint64_t *index,
                    anv_error_t *err)
{
  if (!check_usable (log, err))
    return false;
  if (size > SEGMENT_RECORD_MAX_SIZE)
    {
      anv_error_set (err, ANV_ERROR_STORAGE, STORAGE_ERROR_TOO_LARGE,
                     "record of %zu bytes is above the limit of %u", size, SEGMENT_RECORD_MAX_SIZE);
      return false;
    }
  if (log->batch->len == 0)
    log->batch_first = log->next_index;

  guint start = log->batch->len;
  bytes_put_u32 (log->batch, 0);
  bytes_put_u32 (log->batch, (uint32_t)size);
  bytes_put_u64 (log->batch, log->next_index);
  bytes_put_u32 (log->batch, checksum (data, size));
  uint8_t *header = log->batch->data + start;
  uint32_t crc = GUINT32_TO_BE (
      checksum (header + HEADER_PAYLOAD_SIZE, SEGMENT_RECORD_HEADER_SIZE - HEADER_PAYLOAD_SIZE));
  memcpy (header + HEADER_CRC, &crc, sizeof (crc));
  g_byte_array_append (log->batch, data, (guint)size);
  *index = log->next_index++;
  return true;
}

/* Begins a new segment with the first record of the batch. */
static bool
begin_segment (segment_log_t *log, anv_error_t *err)
{
  char name[NAME_SIZE];
  int handle = -1;
  segment_name (log, log->batch_first, name);
  if (!log->store->ops->open (log->store, name, true, &handle, err))
    return false;
  if (!log->store->ops->sync_dir (log->store, err))
    {
      log->store->ops->close (log->store, handle);
      return poison (log);
    }
  close_last (log);
  log->handle = handle;
  g_array_append_val (log->segments, log->batch_first);
  return true;
}

static bool
write_batch (segment_log_t *log, anv_error_t *err)
{
  const file_ops_t *ops = log->store->ops;
  anv_error_t local = { 0 };
  if (ops->append (log->store, log->handle, log->batch->data, log->batch->len, &local))
    return true;
  /* Nothing of the batch was synced, so it can be written again once the part is removed. */
  bool removed = ops->truncate (log->store, log->handle, log->size, NULL);
  if (!removed || local.code != STORAGE_ERROR_FULL)
    poison (log);
  if (err != NULL)
    *err = local;
  return false;
}

bool
segment_log_sync (segment_log_t *log, anv_error_t *err)
{
  if (!check_usable (log, err))
    return false;
  if (log->batch->len == 0)
    return true;
  bool begin = log->handle < 0 || log->size >= log->options.segment_size;
  if (begin && !begin_segment (log, err))
    return false;
  if (!write_batch (log, err))
    return false;
  if (!log->store->ops->sync (log->store, log->handle, err))
    return poison (log);
  log->size += log->batch->len;
  log->bytes_written += log->batch->len;
  log->sync_count++;
  log->synced_index = log->next_index - 1;
  g_byte_array_set_size (log->batch, 0);
  return true;
}

/* Removes the last segment's file. */
static bool
drop_last_segment (segment_log_t *log, anv_error_t *err)
{
  char name[NAME_SIZE];
  segment_name (log, segment_first (log, log->segments->len - 1), name);
  close_last (log);
  if (!file_remove_synced (log->store, name, err))
    return poison (log);
  g_array_set_size (log->segments, log->segments->len - 1);
  return true;
}

/* Drops the records from INDEX on out of the batch. Returns whether nothing on disk is affected. */
static bool
truncate_batch (segment_log_t *log, uint64_t index)
{
  if (log->batch->len == 0 || index <= log->batch_first)
    {
      g_byte_array_set_size (log->batch, 0);
      return index > log->synced_index;
    }
  size_t offset = 0;
  for (uint64_t i = log->batch_first; i < index; i++)
    offset += SEGMENT_RECORD_HEADER_SIZE
              + bytes_get_u32 (log->batch->data + offset + HEADER_PAYLOAD_SIZE);
  g_byte_array_set_size (log->batch, (guint)offset);
  return true;
}

/* Cuts the last segment, which holds the record before INDEX, behind that record. */
static bool
cut_last_segment (segment_log_t *log, uint64_t index, anv_error_t *err)
{
  const file_ops_t *ops = log->store->ops;
  char name[NAME_SIZE];
  GByteArray *content = g_byte_array_new ();
  segment_name (log, segment_first (log, log->segments->len - 1), name);
  bool ok = log->handle >= 0 || ops->open (log->store, name, false, &log->handle, err);
  ok = ok && file_read_handle (log->store, log->handle, content, err);

  size_t offset = 0;
  for (uint64_t i = segment_first (log, log->segments->len - 1); ok && i < index; i++)
    {
      record_t record = { 0 };
      ok = offset < content->len
           && parse_record (content->data, content->len, offset, &record) == RECORD_VALID;
      if (!ok)
        corrupt (name, offset, "damaged record", err);
      offset += SEGMENT_RECORD_HEADER_SIZE + record.size;
    }
  ok = ok && ops->truncate (log->store, log->handle, offset, err)
       && ops->sync (log->store, log->handle, err);
  log->size = offset;
  g_byte_array_free (content, TRUE);
  return ok || poison (log);
}

bool
segment_log_truncate (segment_log_t *log, uint64_t index, anv_error_t *err)
{
  if (!check_usable (log, err))
    return false;
  if (index >= log->next_index)
    return true;
  bool memory_only = truncate_batch (log, index);
  log->next_index = index;
  if (memory_only)
    return true;

  /* Whole segments go first, last one first, so that a crash never leaves a gap. */
  log->synced_index = index - 1;
  while (log->segments->len > 0 && segment_first (log, log->segments->len - 1) >= index)
    {
      if (!drop_last_segment (log, err))
        return false;
    }
  return log->segments->len == 0 || cut_last_segment (log, index, err);
}

bool
segment_log_trim (segment_log_t *log, uint64_t index, anv_error_t *err)
{
  if (!check_usable (log, err))
    return false;
  while (log->segments->len > 1 && segment_first (log, 1) <= index)
    {
      char name[NAME_SIZE];
      segment_name (log, segment_first (log, 0), name);
      if (!file_remove_synced (log->store, name, err))
        return poison (log);
      g_array_remove_index (log->segments, 0);
    }
  return true;
}

bool
segment_log_reset (segment_log_t *log, uint64_t index, anv_error_t *err)
{
  if (!check_usable (log, err))
    return false;
  g_byte_array_set_size (log->batch, 0);
  while (log->segments->len > 0)
    {
      if (!drop_last_segment (log, err))
        return false;
    }
  log->next_index = index;
  log->synced_index = index - 1;
  return true;
}
