#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "anv_error.h"
#include "file_ops.h"

/* segment_log - append-only log of numbered records in segment files.
 *
 * A segment is the file "NAME-INDEX.seg1", where INDEX (20 digits) is the index of its first
 * record. A record is a header CRC-32 and the payload size (4 bytes each), the index (8 bytes), a
 * payload CRC-32 (4 bytes), the payload and the byte 0xff; all integers are big-endian. The highest
 * bit of the size is set. It is clear in records of earlier versions, which have no last byte. The
 * header CRC covers size, index and payload CRC, which distinguishes a damaged size from a record
 * whose end was never written.
 *
 * Recovery removes a torn record at the end of the last segment: one that is shorter than a
 * header or than its header says, or one that reads as zeros from a byte in it up to the end of the
 * file. Without the last byte, the zeros must begin with the record or at a disk sector boundary,
 * because a payload may end with zeros. Any other checksum mismatch is corruption, which is
 * reported with file and offset and never repaired. This includes records of an unsynced batch that
 * reached the disk out of order.
 *
 * Opening rewrites the last segment and syncs it. After a failed sync by an earlier process, pages
 * in the page cache may be marked clean without being on disk, so only a new copy is known to be
 * durable. After a failed sync the log rejects all operations until it is opened again. */

#define SEGMENT_RECORD_HEADER_SIZE 20
#define SEGMENT_MAX_PAYLOAD_BYTES (32U * 1024 * 1024)

typedef struct
{
  const char *name;           /* prefix of the file names; must outlive the log */
  uint64_t min_segment_bytes; /* a batch starts a new segment if the last one has at least this many
                            bytes */
} segment_log_options_t;

typedef struct
{
  file_store_t *store;
  segment_log_options_t options;
  GArray *segments;            /* uint64_t: index of the first record of each segment, ascending */
  int last_segment_handle;     /* -1 if it is not open */
  uint64_t last_segment_bytes; /* durable bytes of the last segment */
  uint64_t next_index;         /* index of the next record */
  uint64_t synced_index;       /* last durable record */
  GByteArray *batch;           /* records that are not yet synced */
  uint64_t batch_first_index;
  bool failed;
  uint64_t sync_count;
  uint64_t bytes_written;
} segment_log_t;

/* Called for each recovered record, in order. If it returns false, segment_log_open() fails. */
typedef bool (*segment_log_record_fn_t) (void *user, uint64_t index, const uint8_t *data,
                                         size_t size, anv_error_t *err);

/* Opens the log and passes its records to FN, which may be NULL. All recovered records are durable
 * afterwards. An empty log starts at index 1. Returns false with ANV_ERROR_STORAGE on failure, as
 * the other functions do. */
bool segment_log_open (segment_log_t *log, file_store_t *store,
                       const segment_log_options_t *options, segment_log_record_fn_t fn, void *user,
                       anv_error_t *err);

/* Closes the log and drops records that were not synced. */
void segment_log_close (segment_log_t *log);

/* Adds a record to the batch and stores its index in *INDEX. */
bool segment_log_append (segment_log_t *log, const uint8_t *data, size_t size, uint64_t *index,
                         anv_error_t *err);

/* Writes the batch with one append and one sync. If the append fails with STORAGE_ERROR_FULL,
 * the log stays usable: the batch is kept and the next call writes it again. After any other error
 * of the append or sync the log rejects all operations. */
bool segment_log_sync (segment_log_t *log, anv_error_t *err);

/* Removes the records from INDEX on, durably. */
bool segment_log_truncate (segment_log_t *log, uint64_t index, anv_error_t *err);

/* Removes the segments that hold only records before INDEX, except the last one. */
bool segment_log_compact (segment_log_t *log, uint64_t index, anv_error_t *err);

/* Removes all records; the next one gets INDEX. */
bool segment_log_reset (segment_log_t *log, uint64_t index, anv_error_t *err);
