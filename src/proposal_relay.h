#pragma once

#include "replica_group.h"

/* proposal_relay - takes commands for a replicated group on any of its members.
 *
 * A member that does not lead sends the command to the leader and passes the result back. A command
 * whose outcome is not known is proposed again until its deadline, so it must have the same effect
 * when it is applied twice. */

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

/* RESULT is what the state machine gave, NULL if the outcome is not known at the deadline. */
typedef void (*relay_done_t) (void *data, GBytes *result);

void proposal_relay_init (proposal_relay_t *relay, const proposal_relay_options_t *options);

/* Ends all commands without a result. */
void proposal_relay_destroy (proposal_relay_t *relay);

/* Proposes COMMAND; DONE is called once, from the main loop. */
void proposal_relay_submit (proposal_relay_t *relay, GBytes *command, int64_t deadline_us,
                            relay_done_t done, void *data);

/* Handles WIRE_FLEET_PROPOSE and WIRE_FLEET_PROPOSED. Returns whether the message was one. */
bool proposal_relay_receive (proposal_relay_t *relay, const link_t *link, wire_type_t type,
                             wire_reader_t *reader);
