#pragma once

#include "replica_group.h"

/* proposal_relay - accepts commands for a replicated group on any of its members.
 *
 * A member that does not lead sends the command to the leader and returns the leader's result. A
 * command whose outcome is unknown is proposed again until its deadline, so commands must be
 * idempotent. The results that the state machine passes to replica_group_on_applied() must be
 * GBytes. */

typedef struct
{
  io_loop_t *loop;
  peer_network_t *network;
  replica_group_t *group;
} proposal_relay_options_t;

typedef struct
{
  proposal_relay_options_t options;
  GHashTable *pending; /* id -> pending_t */
  uint64_t next_id;
  io_timer_t timer;
} proposal_relay_t;

/* Completes a command. RESULT is that of the state machine, or NULL if the outcome is unknown at
 * the deadline or when the relay is destroyed. */
typedef void (*proposal_relay_done_t) (void *data, GBytes *result);

void proposal_relay_init (proposal_relay_t *relay, const proposal_relay_options_t *options);

/* Completes all commands without a result. */
void proposal_relay_destroy (proposal_relay_t *relay);

/* Proposes COMMAND, here or at the leader. DONE is called once, from the main loop. */
void proposal_relay_submit (proposal_relay_t *relay, GBytes *command, int64_t deadline_us,
                            proposal_relay_done_t done, void *data);

/* Handles WIRE_FLEET_PROPOSE and WIRE_FLEET_PROPOSED. Returns whether TYPE is one of them. */
bool proposal_relay_receive (proposal_relay_t *relay, const link_t *link, wire_type_t type,
                             wire_reader_t *reader);
