#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "anv_error.h"
#include "file_ops.h"

/* segment_log - append-only log of numbered records in segment files.
 *
 * A segment is the file "NAME-INDEX.seg1", where INDEX (20 digits) is the index of its first
 * record. A record is header CRC-32, payload size (4 bytes each), index (8 bytes), payload CRC-32
 * (4 bytes), payload; all big-endian. The header CRC covers size, index and payload CRC, so that a
 * damaged size is told apart from a record whose end was never written.
 *
 * Recovery cuts an incomplete record at the end of the last segment: a record that is shorter than
 * its header says, or one whose rest up to the end of the file reads as zeros from a disk sector
 * boundary on. Anything else that does not match its checksum is corruption, which is reported with
 * file and offset and never repaired. Records of an unsynced batch that reached the disk out of
 * order are reported as corruption too.
 *
 * Opening writes the last segment anew and syncs it. Pages that were left by an earlier process
 * may be clean in the page cache although their sync failed, so only a new copy is known to be
 * durable. After a failed sync the log refuses all further work until it is opened again. */

#define SEGMENT_RECORD_HEADER_SIZE 20
#define SEGMENT_RECORD_MAX_SIZE (32U * 1024 * 1024)

typedef struct
{
  const char *name;      /* prefix of the file names; must live as long as the log */
  uint64_t segment_size; /* bytes after which the next batch begins a new segment */
} segment_log_options_t;

typedef struct
{
  file_store_t *store;
  segment_log_options_t options;
  GArray *segments; /* uint64_t: index of the first record of each segment, ascending */
  int handle;       /* last segment; -1 if there is none */
  uint64_t size;    /* bytes in the last segment that are durable */
  uint64_t next_index;
  uint64_t synced_index;
  GByteArray *batch; /* records that are not written yet */
  uint64_t batch_first;
  bool failed;
  uint64_t sync_count;
  uint64_t bytes_written;
} segment_log_t;

/* Called for each recovered record, in order; returning false aborts opening with the error. */
typedef bool (*segment_log_record_fn) (void *user, uint64_t index, const uint8_t *data, size_t size,
                                       anv_error_t *err);

/* Opens the log and passes its records to FN. All recovered records are durable afterwards. An
 * empty log starts at index 1. */
bool segment_log_open (segment_log_t *log, file_store_t *store,
                       const segment_log_options_t *options, segment_log_record_fn fn, void *user,
                       anv_error_t *err);

/* Closes the log; records that were not synced are dropped. */
void segment_log_close (segment_log_t *log);

/* Adds a record to the current batch and returns its index through INDEX. */
bool segment_log_append (segment_log_t *log, const uint8_t *data, size_t size, uint64_t *index,
                         anv_error_t *err);

/* Writes the batch with one write and one sync. STORAGE_ERROR_FULL leaves the log usable: the batch
 * is kept and the next call writes it again. Any other error makes the log refuse further work. */
bool segment_log_sync (segment_log_t *log, anv_error_t *err);

/* Removes the records from INDEX on, durably. */
bool segment_log_truncate (segment_log_t *log, uint64_t index, anv_error_t *err);

/* Removes whole segments that hold only records before INDEX. */
bool segment_log_trim (segment_log_t *log, uint64_t index, anv_error_t *err);

/* Removes all records; the next one gets INDEX. */
bool segment_log_reset (segment_log_t *log, uint64_t index, anv_error_t *err);
