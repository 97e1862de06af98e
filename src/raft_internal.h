#pragma once

#include "raft.h"

/* raft_internal - functions shared by the raft modules. */

/* raft: state, terms and messages. */

/* Stops the member because of ERR; a full disk only sets r->disk_full. */
void raft_handle_storage_error (raft_t *r, const anv_error_t *err);

/* Stores TERM and VOTE durably. On failure returns false and keeps the old values. */
bool raft_save_term_and_vote (raft_t *r, uint64_t term, uint64_t vote);

/* Becomes a follower of LEADER (0: unknown) in TERM. Returns false if a new term could not be
 * stored. */
bool raft_become_follower (raft_t *r, int64_t now_us, uint64_t term, uint64_t leader);

/* Becomes a follower without a leader in the new term TERM, in which it has voted for VOTE (0: not
 * yet). Returns false if they could not be stored. */
bool raft_enter_term (raft_t *r, int64_t now_us, uint64_t term, uint64_t vote);

/* Sets role and known leader, and reports a change to the owner. */
void raft_set_role (raft_t *r, raft_role_t role, uint64_t leader);

/* Fills in the sender, receiver and group of MESSAGE, and the current term if its term is 0, and
 * sends it to the member TO. */
void raft_send (raft_t *r, uint64_t to, raft_message_t *message);

/* Returns the member ID, or NULL. */
raft_peer_t *raft_find_peer (raft_t *r, uint64_t id);

/* Returns whether this member is a voter. */
bool raft_is_voter (raft_t *r);

/* Returns the number of voters that are a majority. */
size_t raft_quorum_size (const raft_t *r);

/* raft_election */
/* Returns whether the log of the candidate that sent M is at least as up to date as this one. */
bool raft_election_is_up_to_date (const raft_t *r, const raft_message_t *m);

/* Starts a new random election timeout. */
void raft_election_reset_timeout (raft_t *r, int64_t now_us);
void raft_election_tick (raft_t *r, int64_t now_us);
void raft_election_on_vote (raft_t *r, int64_t now_us, const raft_message_t *m);
void raft_election_on_vote_reply (raft_t *r, int64_t now_us, const raft_message_t *m);
void raft_election_on_timeout_now (raft_t *r, int64_t now_us, const raft_message_t *m);

/* Returns whether the group has a leader as far as this member knows, so that it ignores vote
 * requests. */
bool raft_election_has_live_leader (const raft_t *r, int64_t now_us);

/* Sends RAFT_TIMEOUT_NOW to the transferee once it has the whole log. Ends an overdue transfer. */
void raft_continue_transfer (raft_t *r, int64_t now_us);

/* raft_replication */
/* Starts the term of this member as leader with a no-op entry. */
void raft_become_leader (raft_t *r, int64_t now_us);

/* Steps down if this leader is not in contact with a majority. Starts a round after each heartbeat
 * interval. */
void raft_replication_tick (raft_t *r, int64_t now_us);

/* Sends a round if one is due, and to each member the entries or snapshot that it lacks. */
void raft_replication_send_appends (raft_t *r, int64_t now_us);

/* Advances the leader's commit index to the last entry of its term that a majority has synced. */
void raft_replication_advance_commit (raft_t *r);

/* Sends the leader the reply that is due. */
void raft_replication_send_reply (raft_t *r);
void raft_replication_on_append (raft_t *r, int64_t now_us, const raft_message_t *m);
void raft_replication_on_append_reply (raft_t *r, int64_t now_us, const raft_message_t *m);

/* Appends an entry of the current term to the log. */
bool raft_replication_append (raft_t *r, raft_entry_type_t type, const uint8_t *data, size_t size,
                              anv_error_t *err);

/* Returns whether PEER replied within the minimum election timeout. True for this member itself. */
bool raft_replication_in_contact (const raft_t *r, const raft_peer_t *peer, int64_t now_us);

/* Returns whether this leader is in contact with a majority of the voters. */
bool raft_replication_has_quorum (const raft_t *r, int64_t now_us);

/* raft_read */
/* Reports the reads that are confirmed and whose entries are applied. */
void raft_read_complete (raft_t *r);

/* Fails all pending reads. */
void raft_read_abort (raft_t *r);

/* raft_membership */
/* Loads the members from the last configuration in the log, or from the snapshot. */
void raft_membership_reload (raft_t *r, int64_t now_us);

/* Returns whether the current configuration is not yet committed. */
bool raft_membership_is_pending (const raft_t *r);

/* Proposes to make one learner that has caught up a voter. */
void raft_membership_promote_learner (raft_t *r, int64_t now_us);

/* raft_snapshot */
/* Restores the state machine from the snapshot file, if there is one. */
bool raft_snapshot_load (raft_t *r, anv_error_t *err);

/* Writes a snapshot and compacts the log after enough applied entries. */
void raft_snapshot_take_if_due (raft_t *r, int64_t now_us);

/* Sends PEER the next chunk of the snapshot. */
void raft_snapshot_send (raft_t *r, int64_t now_us, raft_peer_t *peer);

void raft_snapshot_on_chunk (raft_t *r, int64_t now_us, const raft_message_t *m);
void raft_snapshot_on_reply (raft_t *r, int64_t now_us, const raft_message_t *m);
