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
 * The owner passes in the time, received messages and proposals, and calls raft_flush() after each
 * batch of them, so that one sync and one round of messages serve the whole batch. raft_tick()
 * flushes too. Messages may be lost, duplicated and reordered.
 *
 * An entry is committed once a majority of the voters has synced it; then each member applies it.
 * A proposal has succeeded when the leader applies an entry at the index that raft_propose()
 * returned and in the term of the proposal. An entry of another term at that index means that the
 * proposal is lost.
 *
 * Safety does not depend on clocks: a read is confirmed by a round of replies from a majority (read
 * index), not by a lease.
 *
 * The group NAME has the files NAME-meta, NAME-snapshot, NAME-commit and NAME-log-*.seg1 in the
 * data directory. After a storage failure other than a full disk the member stops. raft_failure()
 * returns the reason, and the owner restarts the member with a new raft_init(). */

/* Maximum size of the data of an entry: a RAFT_APPEND with one entry must fit into a frame. */
#define RAFT_MAX_ENTRY_BYTES (30U * 1024 * 1024)

/* Maximum number of entries in one RAFT_APPEND. */
#define RAFT_MAX_BATCH_ENTRIES 1024

typedef enum
{
  RAFT_ERROR_NOT_LEADER = 1,
  RAFT_ERROR_BUSY,   /* leadership is being transferred, a membership change is pending, or no entry
                        of the leader's term is committed yet */
  RAFT_ERROR_MEMBER, /* unknown, duplicate or invalid member, wrong number of members, or no other
                        voter to lead */
  RAFT_ERROR_QUORUM, /* the change would remove the leader or leave the group without a majority */
  RAFT_ERROR_STORAGE,   /* disk full or failed */
  RAFT_ERROR_TOO_LARGE, /* entry above RAFT_MAX_ENTRY_BYTES */
  RAFT_ERROR_STATE,     /* the group already exists or is restarting, or stored data is
                           inconsistent */
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

/* A message between two members. Its pointers are valid only during the call of send() or
 * raft_receive() that passes it. */
typedef struct
{
  raft_message_type_t type;
  uint32_t group;      /* number of the group */
  uint64_t from;       /* identity of the sender */
  uint64_t to;         /* identity of the receiver */
  uint64_t founder_id; /* see raft_config_t; 0 if the sender is in no group yet */
  uint64_t term;       /* current term of the sender; in a pre-vote and a reply that grants it: the
                          term that the candidate would start */
  uint64_t index; /* VOTE: last entry of the candidate; APPEND: entry before ENTRIES; APPEND_REPLY:
                     last synced entry that matches the leader's log or, if not OK, next
                     entry to send; SNAPSHOT and reply: last entry that the snapshot covers */
  uint64_t log_term;     /* term of INDEX in VOTE, APPEND and SNAPSHOT */
  uint64_t round;        /* APPEND and SNAPSHOT: last round of the leader, copied to the reply */
  uint64_t commit_index; /* APPEND: commit index of the leader */
  uint64_t offset;       /* SNAPSHOT: position of DATA in the file; reply: bytes received */
  uint64_t total;        /* SNAPSHOT: size of the file in bytes */
  bool ok;               /* reply: vote granted, log matches, snapshot installed */
  bool pre_vote;         /* VOTE and reply */
  bool transfer;         /* VOTE: the leader requested this election */
  const raft_entry_t *const *entries; /* APPEND */
  size_t entry_count;
  const uint8_t *data; /* SNAPSHOT: chunk of the file */
  size_t size;
} raft_message_t;

typedef struct raft_io raft_io_t;

typedef struct
{
  void (*send) (raft_io_t *io, const raft_message_t *message);

  /* Reports a change of the role or of the known leader. LEADER is 0 if unknown. May be NULL. */
  void (*role_changed) (raft_io_t *io, raft_role_t role, uint64_t term, uint64_t leader);

  /* Reports the result of raft_request_read(). If OK, READ_ID may now be answered from the state
   * machine; otherwise it must be sent to the current leader. May be NULL. */
  void (*read_done) (raft_io_t *io, uint64_t read_id, bool ok);
} raft_io_ops_t;

/* Environment of a member. Implementations embed it as their first field. */
struct raft_io
{
  const raft_io_ops_t *ops;
  file_store_t *store;
  state_machine_t *machine;
};

typedef struct
{
  const char *name; /* name of the group, prefix of its files; must outlive the member */
  uint32_t group;   /* number of the group in messages */
  uint64_t new_id;  /* identity for an empty data directory, unique, not 0 */
  uint64_t seed;    /* of the random numbers for election timeouts */
  int64_t min_election_timeout_us;    /* timeouts are random, from this to twice this */
  int64_t heartbeat_interval_us;      /* above the round-trip time, below a third of the timeout */
  uint64_t min_segment_bytes;         /* bytes; see segment_log_options_t */
  uint64_t snapshot_interval_entries; /* applied entries between two snapshots */
  uint64_t trailing_entries; /* entries kept in the log after a snapshot, for slow members */
  size_t max_batch_bytes; /* entries or snapshot data per message; a larger entry is sent alone */
  bool manual_promotion;  /* learners become voters only by raft_promote_member() */
} raft_options_t;

/* Defaults for members in the same region and for small entries. */
#define RAFT_OPTIONS_DEFAULT                                                                       \
  {                                                                                                \
    .min_election_timeout_us = 400 * 1000, .heartbeat_interval_us = 100 * 1000,                    \
    .min_segment_bytes = 8U * 1024 * 1024, .snapshot_interval_entries = 20000,                     \
    .trailing_entries = 1000, .max_batch_bytes = 256U * 1024                                       \
  }

/* A member of the group, this one included. The leader keeps the progress of each member here, and
 * a candidate only VOTE_GRANTED. */
typedef struct
{
  raft_member_t member;
  uint64_t next_index;      /* first entry to send */
  uint64_t match_index;     /* last entry that the member has synced */
  uint64_t acked_round;     /* last round that the member has answered */
  int64_t last_reply_us;    /* last reply; initially the start of the term or membership */
  int64_t last_sent_us;     /* time of the last RAFT_APPEND or RAFT_SNAPSHOT */
  bool probing;             /* NEXT_INDEX is unconfirmed: one message per reply or heartbeat */
  bool vote_granted;        /* in the current election or pre-vote */
  uint64_t snapshot_index;  /* snapshot being sent, or 0 */
  uint64_t snapshot_offset; /* position of the chunk being sent, in bytes */
} raft_peer_t;

/* A read that waits for confirmation. */
typedef struct
{
  uint64_t id;
  uint64_t index; /* must be applied before the read is answered */
  uint64_t round; /* must be answered by a majority before that */
} raft_read_t;

/* Fields are private to the raft modules; use raft_get_status(). */
typedef struct
{
  raft_options_t options;
  raft_io_t *io;
  rng_t rng;
  raft_meta_t meta;
  raft_log_t log;
  raft_snapshot_t snapshot;     /* latest one on disk, without its data */
  raft_config_t applied_config; /* in use at the last applied entry; stored in snapshots */
  raft_role_t role;
  uint64_t leader_id;          /* 0 if unknown */
  uint64_t commit_index;       /* last entry known to be committed */
  uint64_t saved_commit_index; /* value in the commit file */
  int64_t next_commit_save_us; /* earliest time of the next save */
  uint64_t applied;            /* last applied entry */
  uint64_t leader_match_index; /* last entry known to match the log of this term's leader */
  raft_peer_t peers[RAFT_MAX_MEMBERS];
  size_t peer_count;
  uint64_t founder_id;
  uint64_t config_index;          /* entry that PEERS comes from, or the last one of the snapshot */
  int64_t last_leader_message_us; /* last RAFT_APPEND or RAFT_SNAPSHOT of the leader */
  int64_t election_deadline_us;
  bool election_started;          /* the next tick schedules the retry */
  unsigned failed_election_count; /* started by this member since it last knew a leader */
  int64_t leading_since_us;       /* start of the term as leader */
  uint64_t term_start_index;      /* first entry of this term as leader */
  uint64_t round;                 /* number of the last round: one message to each other member */
  bool round_due;                 /* the next flush starts a round */
  int64_t round_sent_us;
  GArray *reads;               /* raft_read_t, waiting for confirmation */
  uint64_t transferee;         /* voter that leadership is being transferred to, or 0 */
  int64_t timeout_now_sent_us; /* last RAFT_TIMEOUT_NOW, or 0 */
  int64_t transfer_deadline_us;
  bool reply_due;                /* a follower must reply to the leader after the next sync */
  uint64_t reply_round;          /* round that the reply answers */
  int64_t next_snapshot_us;      /* earliest time of the next attempt after a failed one */
  GByteArray *outgoing_snapshot; /* snapshot file being sent, or NULL */
  GByteArray *incoming_snapshot; /* snapshot file being received */
  uint64_t incoming_snapshot_index;
  uint64_t incoming_snapshot_term;
  bool disk_full;
  bool failed;
  anv_error_t failure;
} raft_t;

/* State of a member as raft_get_status() returns it. */
typedef struct
{
  uint64_t id;
  raft_role_t role;
  uint64_t term;
  uint64_t leader_id; /* 0 if unknown */
  uint64_t commit_index;
  uint64_t applied;
  uint64_t last_index;
  uint64_t synced_index;
  uint64_t snapshot_index;
  bool disk_full;
  bool change_pending;      /* a membership change is not yet committed */
  bool transferring;        /* leadership is being transferred */
  int64_t leading_since_us; /* start of the term, if this member leads */
  const raft_peer_t *peers; /* valid until the next call that changes the member */
  size_t peer_count;
} raft_status_t;

/* Loads the member's files. A member with an empty directory waits for a leader, or for
 * raft_bootstrap(). Returns false with ANV_ERROR_STORAGE if the files cannot be read or written. */
bool raft_init (raft_t *r, const raft_options_t *options, raft_io_t *io, int64_t now_us,
                anv_error_t *err);
void raft_destroy (raft_t *r);

/* Creates the group with MEMBERS, which include this one, as voters. Must be called only for a new
 * group, on one or more of MEMBERS and with the same list on each. Returns false with
 * ANV_ERROR_RAFT if this member has data of a group, MEMBERS is invalid or storage fails. */
bool raft_bootstrap (raft_t *r, int64_t now_us, const raft_member_t *members, size_t count,
                     anv_error_t *err);

/* Starts elections and heartbeats that are due, then flushes. */
void raft_tick (raft_t *r, int64_t now_us);

/* Handles MESSAGE. Ignores messages of another group, of a group of the same number that was
 * created separately, and those for another identity. */
void raft_receive (raft_t *r, int64_t now_us, const raft_message_t *message);

/* Appends an entry on the leader and stores its index in *INDEX. Returns false with ANV_ERROR_RAFT
 * if this member does not lead, leadership is being transferred, the entry is too large or storage
 * fails. */
bool raft_propose (raft_t *r, int64_t now_us, const uint8_t *data, size_t size, uint64_t *index,
                   anv_error_t *err);

/* Requests confirmation that this member is still the leader, so that a read sees every entry
 * committed before it. read_done() reports the result. Returns false with ANV_ERROR_RAFT if this
 * member does not lead or leadership is being transferred. */
bool raft_request_read (raft_t *r, int64_t now_us, uint64_t read_id, anv_error_t *err);

/* Syncs, sends and applies what earlier calls have queued. */
void raft_flush (raft_t *r, int64_t now_us);

/* Proposes to add MEMBER as a learner. Unless MANUAL_PROMOTION is set, the leader promotes it to
 * voter once it has synced all committed entries. Returns false with ANV_ERROR_RAFT on failure, as
 * the next three functions do. */
bool raft_add_member (raft_t *r, int64_t now_us, const raft_member_t *member, anv_error_t *err);

/* Proposes to make the learner ID a voter. Fails if it has not synced all committed entries or is
 * not in contact. */
bool raft_promote_member (raft_t *r, int64_t now_us, uint64_t id, anv_error_t *err);

/* Proposes to remove the member ID. Fails for the leader itself, and if the remaining voters that
 * are in contact would not be a majority. */
bool raft_remove_member (raft_t *r, int64_t now_us, uint64_t id, anv_error_t *err);

/* Starts a transfer of leadership to the voter ID or, if ID is 0, to the one with the longest
 * synced log among those in contact. Proposals fail until another member leads or
 * MIN_ELECTION_TIMEOUT_US has passed. */
bool raft_transfer_leadership (raft_t *r, int64_t now_us, uint64_t id, anv_error_t *err);

/* Stores the current state of the member in *STATUS. */
void raft_get_status (const raft_t *r, raft_status_t *status);

/* Returns the member ID in STATUS, or NULL. */
const raft_member_t *raft_status_find_member (const raft_status_t *status, uint64_t id);

/* Returns whether the member received a message from the leader within the maximum election
 * timeout, or leads and is in contact with a majority. */
bool raft_in_contact (const raft_t *r, int64_t now_us);

/* Returns the failure that stopped this member, or NULL. */
const anv_error_t *raft_failure (const raft_t *r);

const char *raft_role_name (raft_role_t role);
