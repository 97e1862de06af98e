#pragma once

#include "file_posix.h"
#include "peer_network.h"
#include "raft.h"

/* replica_group - task that runs one member of a replicated log over the peer network.
 *
 * The name of a member is "PEER_ADDRESS/OPERATOR_ADDRESS". Proposals that are made in one turn of
 * the main loop share one sync. The state machine calls replica_group_applied() for each entry it
 * has applied, which completes the proposal. */

typedef struct replica_group replica_group_t;

/* RESULT is what the state machine passed to replica_group_applied(), or NULL if the proposal was
 * lost or its outcome is unknown. */
typedef void (*proposal_done_t) (void *data, const void *result);

typedef struct
{
  io_loop_t *loop;
  peer_network_t *network;
  file_store_t *store;
  state_machine_t *machine;
  const char *name;
  uint32_t number;
  const char *member_name; /* of this member */
  counter_registry_t *counters;
  /* Empties the state machine, before the log is applied from its start or its snapshot. */
  void (*reset) (void *data);
  uint64_t initial_id; /* identity for an empty data directory; 0: a random one */
  /* This member became leader or ceased to be it; may be NULL. */
  void (*on_leadership) (void *data, bool leading);
  void *data;
} replica_group_options_t;

struct replica_group
{
  task_t task; /* first member */
  raft_io_t io;
  replica_group_options_t options;
  raft_t raft;
  bool started;
  bool leading;
  uint64_t term;
  io_timer_t timer;
  io_deferred_t flush;
  GHashTable *proposals; /* index -> proposal */
  GHashTable *reads;     /* read id -> proposal */
  uint64_t next_read;
  GHashTable *links; /* member id -> link number of its last message */
  char labels[64];
  counter_t is_leader;
  counter_t leader_changes;
  counter_t proposed;
  counter_t applied;
};

void replica_group_init (replica_group_t *group, const replica_group_options_t *options,
                         GMainContext *context);
void replica_group_destroy (replica_group_t *group);

/* Takes a decoded message for this group. */
void replica_group_receive (replica_group_t *group, const link_t *link,
                            const raft_message_t *message);

/* Adds an entry. DONE is called once, from the main loop. Returns false with ANV_ERROR_RAFT if this
 * member does not lead; DONE is not called then. */
bool replica_group_propose (replica_group_t *group, const uint8_t *data, size_t size,
                            proposal_done_t done, void *data_for_done, anv_error_t *err);

/* Asks to read the state as of now. DONE is called once, from the main loop, with a result that is
 * not NULL if the state machine has all that was committed before. Returns false with
 * ANV_ERROR_RAFT if this member does not lead; DONE is not called then. */
bool replica_group_read (replica_group_t *group, proposal_done_t done, void *data_for_done,
                         anv_error_t *err);

/* Returns whether this member hears from the leader, or as leader from a majority. */
bool replica_group_in_contact (const replica_group_t *group);

/* For the state machine: the entry INDEX of TERM is applied. */
void replica_group_applied (replica_group_t *group, uint64_t index, uint64_t term,
                            const void *result);

/* Founds the group; see raft_bootstrap(). Only by an operator's command: a setting that founds a
 * group when the data directory is empty would found a second one after the loss of a disk. */
bool replica_group_found (replica_group_t *group, const raft_member_t *members, size_t count,
                          anv_error_t *err);

bool replica_group_add (replica_group_t *group, const raft_member_t *member, anv_error_t *err);
bool replica_group_remove (replica_group_t *group, uint64_t id, anv_error_t *err);

/* Hands leadership to another member, for a planned stop. Returns whether a transfer has begun. */
bool replica_group_hand_over (replica_group_t *group);

/* Writes the leader's name to NAME, "" if it is unknown. */
void replica_group_leader (const replica_group_t *group, char name[RAFT_NAME_SIZE]);

/* Stores the two addresses in a member's name; each has room for LINK_ADDRESS_SIZE bytes. */
void replica_group_split_name (const char *name, char *peer_address, char *operator_address);
