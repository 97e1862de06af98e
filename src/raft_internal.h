#pragma once

#include "raft.h"

/* raft_internal - functions that the raft modules share. */

/* raft: state, terms and messages. */

/* Stops the member because of a storage error; a full disk only sets the flag. */
void raft_storage_error (raft_t *r, const anv_error_t *err);

/* Stores term and vote durably. If that fails, nothing changes and false is returned. */
bool raft_persist (raft_t *r, uint64_t term, uint64_t vote);

/* Follows LEADER (0: unknown) in TERM. Returns false if a new term could not be stored. */
bool raft_become_follower (raft_t *r, int64_t now_us, uint64_t term, uint64_t leader);
void raft_set_role (raft_t *r, raft_role_t role, uint64_t leader);

/* Fills in sender, receiver, group and, if it is 0, the current term, and sends MESSAGE. */
void raft_send (raft_t *r, uint64_t to, raft_message_t *message);
raft_peer_t *raft_peer (raft_t *r, uint64_t id);
bool raft_is_voter (raft_t *r);
size_t raft_majority (const raft_t *r);

/* raft_election */
void raft_election_reset (raft_t *r, int64_t now_us);
void raft_election_tick (raft_t *r, int64_t now_us);
void raft_election_on_vote (raft_t *r, int64_t now_us, const raft_message_t *m);
void raft_election_on_vote_reply (raft_t *r, int64_t now_us, const raft_message_t *m);
void raft_election_on_timeout_now (raft_t *r, int64_t now_us, const raft_message_t *m);

/* Returns whether vote requests are ignored because a leader is alive. */
bool raft_election_leader_alive (const raft_t *r, int64_t now_us);
void raft_transfer_continue (raft_t *r, int64_t now_us);

/* raft_replication */
void raft_replication_lead (raft_t *r, int64_t now_us);
void raft_replication_tick (raft_t *r, int64_t now_us);
void raft_replication_send (raft_t *r, int64_t now_us);
void raft_replication_commit (raft_t *r);
void raft_replication_reply (raft_t *r);
void raft_replication_on_append (raft_t *r, int64_t now_us, const raft_message_t *m);
void raft_replication_on_reply (raft_t *r, int64_t now_us, const raft_message_t *m);
bool raft_replication_append (raft_t *r, raft_entry_type_t type, const uint8_t *data, size_t size,
                              anv_error_t *err);

/* Returns whether PEER replied within an election timeout; the member itself always did. */
bool raft_replication_in_contact (const raft_t *r, const raft_peer_t *peer, int64_t now_us);

/* Returns whether a leader is in contact with a majority of the voters. */
bool raft_replication_has_quorum (const raft_t *r, int64_t now_us);

/* raft_read */
void raft_read_finish (raft_t *r);
void raft_read_abort (raft_t *r);

/* raft_membership */
/* Takes the members from the last configuration in the log, or from the snapshot. */
void raft_membership_reload (raft_t *r, int64_t now_us);
bool raft_membership_pending (const raft_t *r);

/* Makes a learner a voter that has caught up. */
void raft_membership_promote (raft_t *r, int64_t now_us);

/* raft_snapshot */
bool raft_snapshot_load (raft_t *r, anv_error_t *err);
void raft_snapshot_take (raft_t *r, int64_t now_us);
void raft_snapshot_send (raft_t *r, int64_t now_us, raft_peer_t *peer);
void raft_snapshot_on_chunk (raft_t *r, int64_t now_us, const raft_message_t *m);
void raft_snapshot_on_reply (raft_t *r, int64_t now_us, const raft_message_t *m);
