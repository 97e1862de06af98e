#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "anv_error.h"
#include "file_ops.h"

/* raft_store - the files of a group besides its log: "NAME-meta", "NAME-snapshot" and
 * "NAME-commit".
 *
 * All are replaced as a whole and end with a CRC-32. */

/* Most members of a group, learners included. */
#define RAFT_MAX_MEMBERS 12
/* Size of a member's name with the terminating null. */
#define RAFT_NAME_SIZE 64

typedef struct
{
  uint64_t id;               /* identity of the member's data directory */
  bool voter;                /* a learner receives the log but does not count */
  char name[RAFT_NAME_SIZE]; /* address, for the owner of the connections */
} raft_member_t;

typedef struct
{
  uint64_t founder; /* lowest identity at the founding: tells groups of the same name apart */
  raft_member_t members[RAFT_MAX_MEMBERS];
  size_t count;
} raft_config_t;

typedef struct
{
  uint64_t id; /* identity; a directory that was lost gets a new one */
  uint64_t term;
  uint64_t vote; /* candidate voted for in TERM, or 0 */
} raft_meta_t;

typedef struct
{
  uint64_t index; /* last entry that the snapshot covers, and its term */
  uint64_t term;
  raft_config_t config;
} raft_snapshot_t;

/* Reads the meta file of the group NAME. A directory without any file of the group gets a meta file
 * with NEW_ID; one that has a log or a snapshot but no meta file is an error. The file is written
 * anew in any case, since a copy that is merely visible may not be durable. */
bool raft_meta_load (file_store_t *store, const char *name, uint64_t new_id, raft_meta_t *meta,
                     anv_error_t *err);
bool raft_meta_save (file_store_t *store, const char *name, const raft_meta_t *meta,
                     anv_error_t *err);

void raft_config_encode (const raft_config_t *config, GByteArray *out);

/* Returns false if DATA is not an encoded configuration. *USED is the size of the encoding. */
bool raft_config_decode (const uint8_t *data, size_t size, raft_config_t *config, size_t *used);

/* Appends to OUT a snapshot file: SNAPSHOT, the state machine's DATA, checksum. */
void raft_snapshot_encode (const raft_snapshot_t *snapshot, const uint8_t *data, size_t size,
                           GByteArray *out);

/* Checks a snapshot file; DATA points to the state machine's part of FILE. */
bool raft_snapshot_decode (const uint8_t *file, size_t file_size, raft_snapshot_t *snapshot,
                           const uint8_t **data, size_t *size);

bool raft_snapshot_write (file_store_t *store, const char *name, const GByteArray *file,
                          anv_error_t *err);

/* Reads the snapshot file into FILE, which stays empty if there is none. */
bool raft_snapshot_read (file_store_t *store, const char *name, GByteArray *file, anv_error_t *err);

/* Saves the index of an entry that is known to be committed. A member that starts again applies its
 * log up to there before it hears from a leader. */
bool raft_commit_save (file_store_t *store, const char *name, uint64_t index, anv_error_t *err);

/* Reads that index into *INDEX; 0 without a file. A damaged file is an error. */
bool raft_commit_load (file_store_t *store, const char *name, uint64_t *index, anv_error_t *err);
