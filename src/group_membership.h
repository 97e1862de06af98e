#pragma once

#include "group_repair.h"
#include "replica_group.h"

/* group_membership - the part of a control instance in the membership of its group.
 *
 * Sends the requests to join and to leave that group_repair asks for and, while this instance
 * leads, starts the changes that group_repair decides on.
 *
 * Messages, each with the identity and the name of a member:
 *
 * - WIRE_FLEET_JOIN: the sender is not a member, or has no leader and may have been removed.
 * - WIRE_FLEET_LEAVE: the sender is about to stop.
 * - WIRE_FLEET_MAY_STOP, from the leader, with the identity only: the group does not need the
 *   receiver, or has no instance to replace it.
 *
 * Instances of versions without WIRE_FLEET_LEAVE ignore it. The sender then stops at the end of its
 * grace period, if it waits at all. */

typedef struct
{
  io_loop_t *loop;
  peer_network_t *network;
  replica_group_t *group;
  const char *peer_address; /* of this instance, "IP:PORT" */
  const char *member_name;  /* of this instance; see replica_group_t */
  size_t wanted_voter_count;
} group_membership_options_t;

typedef struct
{
  group_membership_options_t options;
  group_repair_t repair;
  bool stopping;
  bool may_stop;               /* the leader has confirmed it */
  int64_t last_refusal_log_us; /* last log line about a change that could not be started */
} group_membership_t;

void group_membership_init (group_membership_t *membership,
                            const group_membership_options_t *options);

/* Sends the requests that are due and starts the next change. Call it several times a second.
 * SEEDS are peer addresses (char *, NULL: unknown). */
void group_membership_tick (group_membership_t *membership, const GPtrArray *seeds);

/* Begins a planned stop: from now on group_membership_tick() asks to leave the group. */
void group_membership_stop (group_membership_t *membership);

/* After group_membership_stop(): returns whether the group may still replace this instance, so that
 * it could lose its majority if the process ended now. */
bool group_membership_awaits_replacement (const group_membership_t *membership);

/* Handles a message of this module. Returns whether TYPE is one. */
bool group_membership_receive (group_membership_t *membership, const link_t *link, wire_type_t type,
                               wire_reader_t *reader);

/* Call it with each MESSAGE between members that arrives for the group. */
void group_membership_on_raft_message (group_membership_t *membership, const link_t *link,
                                       const raft_message_t *message);
