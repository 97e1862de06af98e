#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "anv_error.h"
#include "segment_log.h"

/* raft_log - latest entries of one group, in memory and in a segment_log.
 *
 * A record of the segment_log holds the term (8 bytes, big-endian), the type (1 byte) and the data
 * of an entry. */

typedef enum
{
  RAFT_ENTRY_NOOP = 0,   /* first entry of a leader's term */
  RAFT_ENTRY_DATA = 1,   /* for the state machine */
  RAFT_ENTRY_CONFIG = 2, /* configuration that is in use from this entry on */
} raft_entry_type_t;

typedef struct
{
  uint64_t term;
  raft_entry_type_t type;
  const uint8_t *data;
  size_t size;
} raft_entry_t;

typedef struct
{
  segment_log_t record_log;
  GPtrArray *entries;  /* raft_entry_t; the first one has index base_index + 1 */
  uint64_t base_index; /* last entry that is no longer in memory */
  uint64_t base_term;  /* its term */
} raft_log_t;

/* Opens the log of a group whose snapshot ends with the entry SNAPSHOT_INDEX of SNAPSHOT_TERM (both
 * 0 without a snapshot). Drops the entries that the snapshot covers, and all if the log conflicts
 * with it. Returns false with ANV_ERROR_STORAGE on failure. */
bool raft_log_open (raft_log_t *log, file_store_t *store, const segment_log_options_t *options,
                    uint64_t snapshot_index, uint64_t snapshot_term, anv_error_t *err);
void raft_log_close (raft_log_t *log);

/* Return index and term of the last entry. */
uint64_t raft_log_last_index (const raft_log_t *log);
uint64_t raft_log_last_term (const raft_log_t *log);

/* Returns the entry INDEX, or NULL if it is not in memory. */
const raft_entry_t *raft_log_get_entry (const raft_log_t *log, uint64_t index);

/* Stores the term of the entry INDEX in *TERM. Returns false if it is unknown. */
bool raft_log_get_term (const raft_log_t *log, uint64_t index, uint64_t *term);

/* Appends a copy of ENTRY, which is durable after segment_log_sync(). */
bool raft_log_append (raft_log_t *log, const raft_entry_t *entry, anv_error_t *err);

/* Removes the entries from INDEX on, durably. */
bool raft_log_truncate (raft_log_t *log, uint64_t index, anv_error_t *err);

/* Drops the entries up to and including INDEX, which a snapshot covers. */
bool raft_log_compact (raft_log_t *log, uint64_t index, anv_error_t *err);

/* Drops all entries; the log continues after the entry INDEX of TERM. */
bool raft_log_reset (raft_log_t *log, uint64_t index, uint64_t term, anv_error_t *err);
