#include "segment_log.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <zlib.h>

#define LOG_MODULE "segment_log"
#include "log.h"

#define SECTOR_BYTES 512
#define FILE_NAME_SIZE 128
#define FIRST_INDEX 1

/* Flag in the size field: END_BYTE follows the payload. Logs of earlier versions lack both. */
#define SIZE_HAS_END_BYTE UINT32_C (0x80000000)
/* Differs from zero, which unwritten space reads as, in more than one bit. */
#define END_BYTE 0xff

/* Offsets in a record header. */
enum
{
  HEADER_CRC_OFFSET = 0,
  HEADER_PAYLOAD_SIZE_OFFSET = 4,
  HEADER_INDEX_OFFSET = 8,
  HEADER_PAYLOAD_CRC_OFFSET = 16,
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
  size_t size;       /* of the payload */
  size_t total_size; /* with header and end byte */
  uint64_t index;
  bool has_end_byte;
} record_t;

static uint32_t
checksum (const uint8_t *data, size_t size)
{
  return (uint32_t)crc32 (0, data, (uInt)size);
}

static void
format_segment_name (const segment_log_t *log, uint64_t first, char *buffer)
{
  snprintf (buffer, FILE_NAME_SIZE, "%s-%020" PRIu64 ".seg1", log->options.name, first);
}

static uint64_t
segment_first_index (const segment_log_t *log, guint position)
{
  return g_array_index (log->segments, uint64_t, position);
}

/* Marks LOG as failed and returns false. */
static bool
mark_failed (segment_log_t *log)
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

/* Returns whether the damaged record from START to RECORD_END was only written in part: all bytes
 * are zero from a position within it up to the end of the file. A record with an end byte does not
 * end with zeros. In one without, the zeros must begin at START or at a sector boundary. */
static bool
tail_is_unwritten (const uint8_t *data, size_t size, size_t start, size_t record_end,
                   bool has_end_byte)
{
  size_t zeros_start = size;
  while (zeros_start > start && data[zeros_start - 1] == 0)
    zeros_start--;
  if (zeros_start == start)
    return true;
  size_t boundary = (zeros_start + SECTOR_BYTES - 1) / SECTOR_BYTES * SECTOR_BYTES;
  size_t first = has_end_byte ? zeros_start : boundary;
  return first < size && first < record_end;
}

/* HAS_END_BYTE tells whether the record has an end byte if its header is damaged. */
static record_state_t
parse_record (const uint8_t *data, size_t size, size_t offset, bool has_end_byte, record_t *record)
{
  const uint8_t *header = data + offset;
  size_t left = size - offset;
  if (left < SEGMENT_RECORD_HEADER_SIZE)
    return RECORD_TORN;
  size_t header_end = offset + SEGMENT_RECORD_HEADER_SIZE;
  if (bytes_get_u32 (header)
      != checksum (header + HEADER_PAYLOAD_SIZE_OFFSET,
                   SEGMENT_RECORD_HEADER_SIZE - HEADER_PAYLOAD_SIZE_OFFSET))
    return tail_is_unwritten (data, size, offset, header_end, has_end_byte) ? RECORD_TORN
                                                                            : RECORD_CORRUPT;

  uint32_t size_field = bytes_get_u32 (header + HEADER_PAYLOAD_SIZE_OFFSET);
  record->has_end_byte = (size_field & SIZE_HAS_END_BYTE) != 0;
  record->size = size_field & ~SIZE_HAS_END_BYTE;
  record->total_size = SEGMENT_RECORD_HEADER_SIZE + record->size + record->has_end_byte;
  record->index = bytes_get_u64 (header + HEADER_INDEX_OFFSET);
  record->payload = header + SEGMENT_RECORD_HEADER_SIZE;
  if (left < record->total_size)
    return RECORD_TORN;
  if (bytes_get_u32 (header + HEADER_PAYLOAD_CRC_OFFSET) == checksum (record->payload, record->size)
      && (!record->has_end_byte || record->payload[record->size] == END_BYTE))
    return RECORD_VALID;
  bool torn
      = tail_is_unwritten (data, size, offset, offset + record->total_size, record->has_end_byte);
  return torn ? RECORD_TORN : RECORD_CORRUPT;
}

static bool
set_corrupt_error (const char *name, size_t offset, const char *what, anv_error_t *err)
{
  anv_error_set (err, ANV_ERROR_STORAGE, STORAGE_ERROR_CORRUPT, "%s: %s at byte %zu", name, what,
                 offset);
  return false;
}

/* Passes the records of a segment to FN and stores the size of the valid part in *VALID_SIZE. */
static bool
scan_segment (segment_log_t *log, const char *name, const GByteArray *content, bool is_last,
              segment_log_record_fn_t fn, void *user, size_t *valid_size, anv_error_t *err)
{
  size_t offset = 0;
  bool has_end_byte = true;
  while (offset < content->len)
    {
      record_t record = { 0 };
      record_state_t state
          = parse_record (content->data, content->len, offset, has_end_byte, &record);
      if (state == RECORD_TORN && is_last)
        break;
      if (state != RECORD_VALID)
        return set_corrupt_error (name, offset, "damaged record", err);
      if (record.index != log->next_index)
        return set_corrupt_error (name, offset, "record out of sequence", err);
      if (fn != NULL && !fn (user, record.index, record.payload, record.size, err))
        return false;
      log->next_index++;
      offset += record.total_size;
      has_end_byte = record.has_end_byte;
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
      size_t prefix_length = strlen (log->options.name);
      uint64_t first = 0;
      char expected[FILE_NAME_SIZE];
      if (strncmp (name, log->options.name, prefix_length) != 0 || name[prefix_length] != '-')
        continue;
      first = g_ascii_strtoull (name + prefix_length + 1, NULL, 10);
      format_segment_name (log, first, expected);
      if (strcmp (name, expected) == 0)
        g_array_append_val (log->segments, first);
    }
  g_ptr_array_free (names, TRUE);
  g_array_sort (log->segments, compare_indexes);
  return ok;
}

/* Replaces the last segment by a copy of its valid part, which is known to be durable. */
static bool
rewrite_last_segment (segment_log_t *log, const char *name, const GByteArray *content,
                      size_t valid_size, anv_error_t *err)
{
  if (valid_size < content->len)
    LOG_WARNING ("incomplete record cut file=%s offset=%zu bytes=%zu", name, valid_size,
                 content->len - valid_size);
  if (!file_replace (log->store, name, content->data, valid_size, err))
    return false;
  log->last_segment_bytes = valid_size;
  return log->store->ops->open (log->store, name, false, &log->last_segment_handle, err);
}

static bool
recover_segment (segment_log_t *log, guint position, segment_log_record_fn_t fn, void *user,
                 anv_error_t *err)
{
  char name[FILE_NAME_SIZE];
  bool is_last = position + 1 == log->segments->len;
  size_t valid_size = 0;
  GByteArray *content = g_byte_array_new ();
  format_segment_name (log, segment_first_index (log, position), name);
  if (position == 0)
    log->next_index = segment_first_index (log, 0);

  bool ok = segment_first_index (log, position) == log->next_index
            || set_corrupt_error (name, 0, "gap before this segment", err);
  ok = ok && file_read_all (log->store, name, content, err);
  ok = ok && scan_segment (log, name, content, is_last, fn, user, &valid_size, err);
  ok = ok && (!is_last || rewrite_last_segment (log, name, content, valid_size, err));
  g_byte_array_free (content, TRUE);
  return ok;
}

bool
segment_log_open (segment_log_t *log, file_store_t *store, const segment_log_options_t *options,
                  segment_log_record_fn_t fn, void *user, anv_error_t *err)
{
  memset (log, 0, sizeof (*log));
  log->store = store;
  log->options = *options;
  log->segments = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  log->batch = g_byte_array_new ();
  log->last_segment_handle = -1;
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
close_last_segment (segment_log_t *log)
{
  if (log->last_segment_handle >= 0)
    log->store->ops->close (log->store, log->last_segment_handle);
  log->last_segment_handle = -1;
  log->last_segment_bytes = 0;
}

void
segment_log_close (segment_log_t *log)
{
  close_last_segment (log);
  g_clear_pointer (&log->segments, g_array_unref);
  g_clear_pointer (&log->batch, g_byte_array_unref);
}

bool
segment_log_append (segment_log_t *log, const uint8_t *data, size_t size, uint64_t *index,
                    anv_error_t *err)
{
  if (!check_usable (log, err))
    return false;
  if (size > SEGMENT_MAX_PAYLOAD_BYTES)
    {
      anv_error_set (err, ANV_ERROR_STORAGE, STORAGE_ERROR_TOO_LARGE,
                     "payload of %zu bytes is above the limit of %u", size,
                     SEGMENT_MAX_PAYLOAD_BYTES);
      return false;
    }
  if (log->batch->len == 0)
    log->batch_first_index = log->next_index;

  guint start = log->batch->len;
  bytes_put_u32 (log->batch, 0);
  bytes_put_u32 (log->batch, (uint32_t)size | SIZE_HAS_END_BYTE);
  bytes_put_u64 (log->batch, log->next_index);
  bytes_put_u32 (log->batch, checksum (data, size));
  uint8_t *header = log->batch->data + start;
  uint32_t crc = GUINT32_TO_BE (checksum (header + HEADER_PAYLOAD_SIZE_OFFSET,
                                          SEGMENT_RECORD_HEADER_SIZE - HEADER_PAYLOAD_SIZE_OFFSET));
  memcpy (header + HEADER_CRC_OFFSET, &crc, sizeof (crc));
  g_byte_array_append (log->batch, data, (guint)size);
  const uint8_t end_byte = END_BYTE;
  g_byte_array_append (log->batch, &end_byte, sizeof (end_byte));
  *index = log->next_index++;
  return true;
}

/* Starts a new segment whose first record is the first one of the batch. */
static bool
start_segment (segment_log_t *log, anv_error_t *err)
{
  char name[FILE_NAME_SIZE];
  int handle = -1;
  format_segment_name (log, log->batch_first_index, name);
  if (!log->store->ops->open (log->store, name, true, &handle, err))
    return false;
  if (!log->store->ops->sync_dir (log->store, err))
    {
      log->store->ops->close (log->store, handle);
      return mark_failed (log);
    }
  close_last_segment (log);
  log->last_segment_handle = handle;
  g_array_append_val (log->segments, log->batch_first_index);
  return true;
}

static bool
write_batch (segment_log_t *log, anv_error_t *err)
{
  const file_ops_t *ops = log->store->ops;
  anv_error_t local = { 0 };
  if (ops->append (log->store, log->last_segment_handle, log->batch->data, log->batch->len, &local))
    return true;
  /* Nothing of the batch was synced, so it can be written again after the truncation. */
  bool removed
      = ops->truncate (log->store, log->last_segment_handle, log->last_segment_bytes, NULL);
  if (!removed || local.code != STORAGE_ERROR_FULL)
    mark_failed (log);
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
  bool needs_segment
      = log->last_segment_handle < 0 || log->last_segment_bytes >= log->options.min_segment_bytes;
  if (needs_segment && !start_segment (log, err))
    return false;
  if (!write_batch (log, err))
    return false;
  if (!log->store->ops->sync (log->store, log->last_segment_handle, err))
    return mark_failed (log);
  log->last_segment_bytes += log->batch->len;
  log->bytes_written += log->batch->len;
  log->sync_count++;
  log->synced_index = log->next_index - 1;
  g_byte_array_set_size (log->batch, 0);
  return true;
}

/* Removes the last segment and its file. */
static bool
remove_last_segment (segment_log_t *log, anv_error_t *err)
{
  char name[FILE_NAME_SIZE];
  format_segment_name (log, segment_first_index (log, log->segments->len - 1), name);
  close_last_segment (log);
  if (!file_remove_synced (log->store, name, err))
    return mark_failed (log);
  g_array_set_size (log->segments, log->segments->len - 1);
  return true;
}

/* Removes the records of the batch from INDEX on. Returns whether all synced records are before
 * INDEX. */
static bool
truncate_batch (segment_log_t *log, uint64_t index)
{
  if (log->batch->len == 0 || index <= log->batch_first_index)
    {
      g_byte_array_set_size (log->batch, 0);
      return index > log->synced_index;
    }
  size_t offset = 0;
  for (uint64_t i = log->batch_first_index; i < index; i++)
    {
      record_t record = { 0 };
      if (parse_record (log->batch->data, log->batch->len, offset, true, &record) != RECORD_VALID)
        g_error ("damaged batch");
      offset += record.total_size;
    }
  g_byte_array_set_size (log->batch, (guint)offset);
  return true;
}

/* Removes the records from INDEX on from the last segment, which has at least one record before
 * INDEX. */
static bool
truncate_last_segment (segment_log_t *log, uint64_t index, anv_error_t *err)
{
  const file_ops_t *ops = log->store->ops;
  char name[FILE_NAME_SIZE];
  GByteArray *content = g_byte_array_new ();
  format_segment_name (log, segment_first_index (log, log->segments->len - 1), name);
  bool ok = log->last_segment_handle >= 0
            || ops->open (log->store, name, false, &log->last_segment_handle, err);
  ok = ok && file_read_handle (log->store, log->last_segment_handle, content, err);

  size_t offset = 0;
  for (uint64_t i = segment_first_index (log, log->segments->len - 1); ok && i < index; i++)
    {
      record_t record = { 0 };
      ok = offset < content->len
           && parse_record (content->data, content->len, offset, true, &record) == RECORD_VALID;
      if (!ok)
        set_corrupt_error (name, offset, "damaged record", err);
      offset += record.total_size;
    }
  ok = ok && ops->truncate (log->store, log->last_segment_handle, offset, err)
       && ops->sync (log->store, log->last_segment_handle, err);
  log->last_segment_bytes = offset;
  g_byte_array_free (content, TRUE);
  return ok || mark_failed (log);
}

bool
segment_log_truncate (segment_log_t *log, uint64_t index, anv_error_t *err)
{
  if (!check_usable (log, err))
    return false;
  if (index >= log->next_index)
    return true;
  bool only_in_batch = truncate_batch (log, index);
  log->next_index = index;
  if (only_in_batch)
    return true;

  /* Removes whole segments first, from the last one on, so that a crash never leaves a gap. */
  log->synced_index = index - 1;
  while (log->segments->len > 0 && segment_first_index (log, log->segments->len - 1) >= index)
    {
      if (!remove_last_segment (log, err))
        return false;
    }
  return log->segments->len == 0 || truncate_last_segment (log, index, err);
}

bool
segment_log_compact (segment_log_t *log, uint64_t index, anv_error_t *err)
{
  if (!check_usable (log, err))
    return false;
  while (log->segments->len > 1 && segment_first_index (log, 1) <= index)
    {
      char name[FILE_NAME_SIZE];
      format_segment_name (log, segment_first_index (log, 0), name);
      if (!file_remove_synced (log->store, name, err))
        return mark_failed (log);
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
      if (!remove_last_segment (log, err))
        return false;
    }
  log->next_index = index;
  log->synced_index = index - 1;
  return true;
}
