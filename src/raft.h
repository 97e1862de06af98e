#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "anv_error.h"
#include "file_ops.h"
#include "raft_log.h"
#include "raft_store.h"
#include "rng.h"
#include "state_machine.h"

/* raft - one member of a replicated log (Raft with pre-vote and check-quorum).
 *
 * The owner passes in time, received messages and proposals, and calls raft_flush() after each
 * batch of them: one sync and one round of messages then serve the whole batch. raft_tick()
 * flushes too. Messages may be lost, repeated and reordered.
 *
 * An entry is committed once a majority of the voters has synced it; then each member applies it.
 * A proposal is done when the leader's state machine gets the index that raft_propose() returned
 * with the term it was proposed in. Another term at that index means that the proposal is lost.
 *
 * Safety does not depend on clocks: a read is confirmed by a round of replies from a majority (read
 * index), not by a lease.
 *
 * The group NAME has the files NAME-meta, NAME-snapshot and NAME-log-*.seg1 in the data directory.
 * After a storage failure other than a full disk the member stops; raft_failure() gives the
 * reason, and the owner restarts it with a new raft_init(). */

/* Largest data of an entry: an append with one entry must fit a frame. */
#define RAFT_MAX_ENTRY_SIZE (30U * 1024 * 1024)

/* Most entries in one message. */
#define RAFT_BATCH_ENTRIES 1024

typedef enum
{
  RAFT_ERROR_NOT_LEADER = 1,
  RAFT_ERROR_BUSY,      /* leadership is being transferred, or a membership change is pending */
  RAFT_ERROR_MEMBER,    /* unknown or duplicate member, or one that has not caught up */
  RAFT_ERROR_QUORUM,    /* the change would lose the majority */
  RAFT_ERROR_STORAGE,   /* disk full or failed */
  RAFT_ERROR_TOO_LARGE, /* entry above RAFT_MAX_ENTRY_SIZE */
  RAFT_ERROR_STATE,     /* the group exists already, or stored data does not make sense */
} raft_error_t;

typedef enum
{
  RAFT_FOLLOWER,
  RAFT_PRE_CANDIDATE,
  RAFT_CANDIDATE,
  RAFT_LEADER,
} raft_role_t;

typedef enum
{
  RAFT_VOTE,
  RAFT_VOTE_REPLY,
  RAFT_APPEND,
  RAFT_APPEND_REPLY,
  RAFT_SNAPSHOT,
  RAFT_SNAPSHOT_REPLY,
  RAFT_TIMEOUT_NOW,
} raft_message_type_t;

/* Pointers in a message belong to the sender and are valid during the call only. */
typedef struct
{
  raft_message_type_t type;
  uint32_t group;
  uint64_t from;
  uint64_t to;
  uint64_t founder; /* of the sender's group, 0 if it has none yet */
  uint64_t term;    /* of a pre-vote: the term that the candidate would begin */
  uint64_t index; /* VOTE: candidate's last entry; APPEND: entry before ENTRIES; APPEND_REPLY: last
                     synced entry that matches or, if not OK, entry to continue with; SNAPSHOT and
                     reply: last entry covered */
  uint64_t log_term;                  /* term of INDEX in VOTE, APPEND and SNAPSHOT */
  uint64_t round;                     /* APPEND and SNAPSHOT; copied to the reply */
  uint64_t commit;                    /* APPEND */
  uint64_t offset;                    /* SNAPSHOT: of DATA in the file; reply: bytes received */
  uint64_t total;                     /* SNAPSHOT: size of the file in bytes */
  bool ok;                            /* replies: granted, matches, installed */
  bool pre_vote;                      /* VOTE and reply */
  bool transfer;                      /* VOTE: the leader asked for this election */
  const raft_entry_t *const *entries; /* APPEND */
  size_t entry_count;
  const uint8_t *data; /* SNAPSHOT */
  size_t size;
} raft_message_t;

typedef struct raft_io raft_io_t;

typedef struct
{
  void (*send) (raft_io_t *io, const raft_message_t *message);

  /* Role, term or known leader changed. LEADER is 0 if unknown. May be NULL. */
  void (*role_changed) (raft_io_t *io, raft_role_t role, uint64_t term, uint64_t leader);

  /* The read READ_ID may be answered from the state machine now (OK), or must be sent to the
   * current leader. May be NULL. */
  void (*read_done) (raft_io_t *io, uint64_t read_id, bool ok);
} raft_io_ops_t;

/* Implementations have it as their first member. */
struct raft_io
{
  const raft_io_ops_t *ops;
  file_store_t *store;
  state_machine_t *machine;
};

typedef struct
{
  const char *name;      /* of the group, prefix of its files; must live as long as the member */
  uint32_t group;        /* number of the group in messages */
  uint64_t new_id;       /* random identity for an empty data directory, not 0 */
  uint64_t seed;         /* of the election timeouts */
  int64_t election_us;   /* least election timeout; the actual one is random, up to twice that */
  int64_t heartbeat_us;  /* above the round trip between members, below ELECTION_US / 3 */
  uint64_t segment_size; /* bytes */
  uint64_t snapshot_entries; /* entries applied since the last snapshot that cause the next one */
  uint64_t trailing_entries; /* entries kept in memory after a snapshot, for slow members */
  size_t batch_bytes;        /* entries and snapshot data per message */
} raft_options_t;

/* Times of an instance in the same region as its peers; sizes for small entries. */
#define RAFT_OPTIONS_DEFAULT                                                                       \
  {                                                                                                \
    .election_us = 400 * 1000, .heartbeat_us = 100 * 1000, .segment_size = 8U * 1024 * 1024,       \
    .snapshot_entries = 20000, .trailing_entries = 1000, .batch_bytes = 256U * 1024                \
  }

/* What a leader knows about a member. */
typedef struct
{
  raft_member_t member;
  uint64_t next_index;  /* first entry to send */
  uint64_t match_index; /* last entry that the member has synced */
  uint64_t acked_round;
  int64_t heard_us;        /* last reply */
  int64_t sent_us;         /* last append or snapshot chunk */
  bool probing;            /* NEXT_INDEX is a guess: one message at a time */
  bool granted;            /* vote in the current election */
  uint64_t snapshot_index; /* snapshot being sent, or 0 */
  uint64_t snapshot_offset;
} raft_peer_t;

typedef struct
{
  uint64_t id;
  uint64_t index;
  uint64_t round;
} raft_read_t;

/* Members are private to the raft modules; use raft_status(). */
typedef struct
{
  raft_options_t options;
  raft_io_t *io;
  rng_t rng;
  raft_meta_t meta;
  raft_log_t log;
  raft_snapshot_t snapshot; /* latest one on disk */
  raft_config_t applied_config;
  raft_role_t role;
  uint64_t leader;
  uint64_t commit;
  uint64_t saved_commit;  /* on disk */
  int64_t save_commit_us; /* not before */
  uint64_t applied;
  uint64_t verified; /* last entry known to match the log of this term's leader */
  raft_peer_t peers[RAFT_MAX_MEMBERS];
  size_t peer_count;
  uint64_t founder;
  uint64_t config_index; /* entry that the members come from */
  int64_t leader_heard_us;
  int64_t election_deadline_us;
  int64_t leading_since_us;
  uint64_t term_start; /* first entry of the own term as leader */
  uint64_t round;
  bool round_due;
  int64_t round_sent_us;
  GArray *reads; /* raft_read_t */
  uint64_t transfer_to;
  int64_t transfer_sent_us; /* 0: not yet */
  int64_t transfer_deadline_us;
  bool reply_due; /* as follower: to the leader, after the next sync */
  uint64_t reply_round;
  int64_t snapshot_after_us; /* no snapshot before, after one that failed */
  GByteArray *outgoing;      /* snapshot file being sent, or NULL */
  GByteArray *incoming;      /* snapshot file being received */
  uint64_t incoming_index;
  uint64_t incoming_term;
  bool disk_full;
  bool failed;
  anv_error_t failure;
} raft_t;

typedef struct
{
  uint64_t id;
  raft_role_t role;
  uint64_t term;
  uint64_t leader; /* 0 if unknown */
  uint64_t commit;
  uint64_t applied;
  uint64_t last_index;
  uint64_t synced_index;
  uint64_t snapshot_index;
  bool disk_full;
  bool change_pending; /* a membership change is not committed yet */
  const raft_peer_t *peers;
  size_t peer_count;
} raft_status_t;

/* Loads the member's files. A member with an empty directory waits for a leader, or for
 * raft_bootstrap(). Returns false with ANV_ERROR_RAFT if the files cannot be used. */
bool raft_init (raft_t *r, const raft_options_t *options, raft_io_t *io, int64_t now_us,
                anv_error_t *err);
void raft_destroy (raft_t *r);

/* Founds the group, once and by operator command: MEMBERS (this one included) become voters. If
 * there are several, each of them must be given the same list. */
bool raft_bootstrap (raft_t *r, int64_t now_us, const raft_member_t *members, size_t count,
                     anv_error_t *err);

void raft_tick (raft_t *r, int64_t now_us);

/* Ignores messages of another group, or of one that was founded separately, and those for another
 * identity. */
void raft_receive (raft_t *r, int64_t now_us, const raft_message_t *message);

/* Adds an entry on the leader. */
bool raft_propose (raft_t *r, int64_t now_us, const uint8_t *data, size_t size, uint64_t *index,
                   anv_error_t *err);

/* Asks to confirm that this member is still the leader; read_done() follows. */
bool raft_read (raft_t *r, int64_t now_us, uint64_t read_id, anv_error_t *err);

/* Syncs, sends and applies what the calls before have caused. */
void raft_flush (raft_t *r, int64_t now_us);

/* Adds MEMBER as a learner; it becomes a voter by itself once it has caught up and synced. */
bool raft_add_member (raft_t *r, int64_t now_us, const raft_member_t *member, anv_error_t *err);

/* Removes a member. Refused for the leader itself, and when the voters that remain and are in
 * contact would be no majority. */
bool raft_remove_member (raft_t *r, int64_t now_us, uint64_t id, anv_error_t *err);

/* Hands leadership to the voter ID (0: the one that has most of the log). Proposals are refused
 * until another member leads or an election timeout has passed. */
bool raft_transfer (raft_t *r, int64_t now_us, uint64_t id, anv_error_t *err);

void raft_status (const raft_t *r, raft_status_t *status);

/* Returns whether the member has heard from the leader within the longest election timeout, or
 * leads and has heard from a majority. */
bool raft_in_contact (const raft_t *r, int64_t now_us);

/* Returns the storage failure that stopped this member, or NULL. */
const anv_error_t *raft_failure (const raft_t *r);

const char *raft_role_name (raft_role_t role);
