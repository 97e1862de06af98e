#pragma once

#include "claim_store.h"
#include "replica_group.h"

/* claim_machine - connects the claims group with its store and with the entries that ask it.
 *
 * On the leader each request becomes one entry of the log and the reply is sent when the entry is
 * applied. Other members name the leader. A request may come from an entry that relays it; the
 * reply goes back the same way. */

typedef struct
{
  state_machine_t machine; /* first member */
  claim_store_t store;
  replica_group_t *group;
  peer_network_t *network;
  io_loop_t *loop;
  size_t max_records; /* new claims are refused above it */
  size_t max_answer_bytes;
  int64_t last_proposal_us; /* for the time in the store */
  counter_t requests[4];    /* by command type */
  counter_t records;
  counter_t refused_full;
} claim_machine_t;

typedef struct
{
  replica_group_t *group;
  peer_network_t *network;
  io_loop_t *loop;
  size_t max_records;
  size_t max_answer_bytes;
  counter_registry_t *counters;
} claim_machine_options_t;

void claim_machine_init (claim_machine_t *machine, const claim_machine_options_t *options);
void claim_machine_destroy (claim_machine_t *machine);

/* Handlers for replica_group_options_t; DATA is the claim_machine_t. */
void claim_machine_reset (void *data);
void claim_machine_leadership (void *data, bool leading);

/* Takes a message of the type CLAIM_REQUEST. */
void claim_machine_receive (claim_machine_t *machine, const link_t *link, wire_reader_t *reader);
