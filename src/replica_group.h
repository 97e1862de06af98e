#pragma once

#include "file_posix.h"
#include "peer_network.h"
#include "raft.h"

/* replica_group - task that runs one member of a replicated log over the peer network.
 *
 * The name of a member is "PEER_ADDRESS/OPERATOR_ADDRESS". Proposals made in one iteration of the
 * main loop share one sync. The state machine calls replica_group_on_applied() for each entry it
 * has applied, which completes the proposal. */

typedef struct replica_group replica_group_t;

/* Completes a proposal or a read. RESULT of a proposal is what the state machine passed to
 * replica_group_on_applied(), or NULL if the proposal was lost or its outcome is unknown. For
 * RESULT of a read see replica_group_read(). */
typedef void (*replica_group_done_t) (void *data, const void *result);

typedef struct
{
  io_loop_t *loop;
  peer_network_t *network;
  file_store_t *store;
  state_machine_t *machine;
  const char *name;        /* name of the group; see raft_options_t */
  uint32_t group_number;   /* number of the group in messages */
  const char *member_name; /* name of this member */
  metric_registry_t *counters;
  /* Empties the state machine, before the snapshot is restored and the log is applied. */
  void (*reset_machine) (void *data);
  uint64_t initial_id;   /* identity for an empty data directory; 0 for a random one */
  bool manual_promotion; /* see raft_options_t */
  /* Reports that this member became the leader or is no longer the leader. Not called when the task
   * stops. May be NULL. */
  void (*on_leadership) (void *data, bool leading);
  void *data;
} replica_group_options_t;

struct replica_group
{
  task_t task; /* first member */
  raft_io_t io;
  replica_group_options_t options;
  raft_t raft;
  bool started; /* the member runs */
  bool leading;
  bool waiting_for_disk;
  uint64_t term; /* at the last change of the role or the leader */
  io_timer_t timer;
  io_deferred_t flush;
  GHashTable *proposals; /* index -> pending_t */
  GHashTable *reads;     /* read id -> pending_t */
  uint64_t last_read_id;
  GHashTable *link_numbers; /* member id -> number of the link of its last message */
  char labels[64];
  metric_t is_leader;
  metric_t leader_changes;
  metric_t voters;
  metric_t learners;
  metric_t following_voters;
  metric_t spare_voters;
  metric_t disk_usable;
  metric_t proposal_counter;
  metric_t applied_counter;
};

void replica_group_init (replica_group_t *group, const replica_group_options_t *options,
                         GMainContext *context);
void replica_group_destroy (replica_group_t *group);

/* Handles a decoded message for this group. */
void replica_group_receive (replica_group_t *group, const link_t *link,
                            const raft_message_t *message);

/* Proposes an entry. DONE is called once, from the main loop. Returns false with ANV_ERROR_RAFT,
 * without a call of DONE, if this member cannot propose, for example because it does not lead. */
bool replica_group_propose (replica_group_t *group, const uint8_t *data, size_t size,
                            replica_group_done_t done, void *done_data, anv_error_t *err);

/* Requests a read of the current state. DONE is called once, from the main loop; its result is not
 * NULL if the state machine has applied everything that was committed before this call. Returns
 * false with ANV_ERROR_RAFT, without a call of DONE, if this member does not lead or is
 * transferring leadership. */
bool replica_group_read (replica_group_t *group, replica_group_done_t done, void *done_data,
                         anv_error_t *err);

/* Returns whether this member is in contact with the leader, or leads and is in contact with a
 * majority; see raft_in_contact(). */
bool replica_group_in_contact (const replica_group_t *group);

/* Called by the state machine when it has applied the entry INDEX of TERM, with the result for the
 * proposer. */
void replica_group_on_applied (replica_group_t *group, uint64_t index, uint64_t term,
                               const void *result);

/* Creates the group; see raft_bootstrap(). Must be called only on an operator's command: a setting
 * that creates a group whenever the data directory is empty would create a second one after the
 * loss of a disk. */
bool replica_group_bootstrap (replica_group_t *group, const raft_member_t *members, size_t count,
                              anv_error_t *err);

/* Add, promote and remove a member; see raft_add_member(), raft_promote_member() and
 * raft_remove_member(). */
bool replica_group_add_member (replica_group_t *group, const raft_member_t *member,
                               anv_error_t *err);
bool replica_group_promote_member (replica_group_t *group, uint64_t id, anv_error_t *err);
bool replica_group_remove_member (replica_group_t *group, uint64_t id, anv_error_t *err);

/* Starts a transfer of leadership; see raft_transfer_leadership(). */
bool replica_group_transfer_leadership (replica_group_t *group, uint64_t id, anv_error_t *err);

/* Stores the name of the leader in NAME, "" if it is unknown. */
void replica_group_get_leader_name (const replica_group_t *group, char name[RAFT_NAME_SIZE]);

/* Calls VISIT with the peer address of each other member. */
void replica_group_foreach_peer (const replica_group_t *group,
                                 void (*visit) (void *data, const char *peer_address), void *data);

/* Sends an encoded message to each other member. */
void replica_group_send_to_peers (const replica_group_t *group, const wire_writer_t *writer);

/* Splits the NAME of a member into its two addresses; each buffer has LINK_ADDRESS_SIZE bytes. */
void replica_group_split_member_name (const char *name, char *peer_address, char *operator_address);
