#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "anv_error.h"
#include "file_ops.h"

/* raft_store - the files of a group other than its log: "NAME-meta", "NAME-snapshot" and
 * "NAME-commit".
 *
 * Each is replaced as a whole and ends with a CRC-32. */

/* Maximum number of members of a group, including learners. */
#define RAFT_MAX_MEMBERS 12
/* Size of a member's name, including the terminating null. */
#define RAFT_NAME_SIZE 64

typedef struct
{
  uint64_t id;               /* identity of the member's data directory, not 0 */
  bool voter;                /* false for a learner, which receives the log but does not vote */
  char name[RAFT_NAME_SIZE]; /* addresses; only the owner interprets them */
} raft_member_t;

typedef struct
{
  uint64_t founder_id; /* lowest identity at raft_bootstrap(); distinguishes groups of one number */
  raft_member_t members[RAFT_MAX_MEMBERS];
  size_t count;
} raft_config_t;

typedef struct
{
  uint64_t id; /* identity of the data directory; a new directory has a new one */
  uint64_t term;
  uint64_t vote; /* candidate voted for in TERM, or 0 */
} raft_meta_t;

typedef struct
{
  uint64_t index; /* last entry that the snapshot covers */
  uint64_t term;  /* of that entry */
  raft_config_t config;
} raft_snapshot_t;

/* Reads the meta file of the group NAME. Creates it with NEW_ID if the directory has no file of the
 * group; other files of the group without a meta file are an error. Rewrites an existing file,
 * since a file that can be read may still not be durable. Returns false with ANV_ERROR_STORAGE on
 * failure, as all functions here that use STORE do. */
bool raft_meta_load (file_store_t *store, const char *name, uint64_t new_id, raft_meta_t *meta,
                     anv_error_t *err);
bool raft_meta_save (file_store_t *store, const char *name, const raft_meta_t *meta,
                     anv_error_t *err);

/* Appends the encoding of CONFIG to OUT. */
void raft_config_encode (const raft_config_t *config, GByteArray *out);

/* Decodes a configuration at the start of DATA and stores the size of its encoding in *USED.
 * Returns false if DATA does not start with a valid one. */
bool raft_config_decode (const uint8_t *data, size_t size, raft_config_t *config, size_t *used);

/* Appends a snapshot file to OUT: SNAPSHOT, DATA of the state machine, checksum. */
void raft_snapshot_encode (const raft_snapshot_t *snapshot, const uint8_t *data, size_t size,
                           GByteArray *out);

/* Decodes a snapshot file; *DATA points to the state machine's part of FILE. Returns false if the
 * file is damaged. */
bool raft_snapshot_decode (const uint8_t *file, size_t file_size, raft_snapshot_t *snapshot,
                           const uint8_t **data, size_t *size);

/* Replaces the snapshot file by FILE, durably. */
bool raft_snapshot_write (file_store_t *store, const char *name, const GByteArray *file,
                          anv_error_t *err);

/* Reads the snapshot file into FILE, which stays empty if there is none. */
bool raft_snapshot_read (file_store_t *store, const char *name, GByteArray *file, anv_error_t *err);

/* Saves the commit index INDEX. A restarted member applies its log up to this index before it hears
 * from a leader. */
bool raft_commit_save (file_store_t *store, const char *name, uint64_t index, anv_error_t *err);

/* Loads the saved commit index into *INDEX; 0 without a file. A damaged file is an error. */
bool raft_commit_load (file_store_t *store, const char *name, uint64_t *index, anv_error_t *err);
