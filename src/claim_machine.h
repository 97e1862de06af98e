#pragma once

#include "claim_store.h"
#include "replica_group.h"

/* claim_machine - replicated state machine of the claims group, and its request handler.
 *
 * The leader proposes each request as a log entry and replies when the entry is applied. Other
 * members reply with the address of the leader. The reply to a relayed request goes to the entry
 * that relayed it. */

typedef struct
{
  state_machine_t machine; /* first member */
  claim_store_t store;
  replica_group_t *group;
  peer_network_t *network;
  io_loop_t *loop;
  size_t max_records;              /* number of records at which new claims are refused */
  size_t max_total_response_bytes; /* total size of the answers at which new claims are refused */
  int64_t last_proposal_us;        /* for advance_ms of the next command */
  metric_t requests[4];            /* by command type */
  metric_t records;
  metric_t refused_full;
} claim_machine_t;

typedef struct
{
  replica_group_t *group;
  peer_network_t *network;
  io_loop_t *loop;
  size_t max_records;
  size_t max_total_response_bytes;
  metric_registry_t *counters;
} claim_machine_options_t;

void claim_machine_init (claim_machine_t *machine, const claim_machine_options_t *options);
void claim_machine_destroy (claim_machine_t *machine);

/* Callbacks for replica_group_options_t. DATA is the claim_machine_t. */
void claim_machine_reset (void *data);
void claim_machine_leadership_changed (void *data, bool leading);

/* Handles a WIRE_CLAIM_REQUEST message and replies over LINK. */
void claim_machine_receive (claim_machine_t *machine, const link_t *link, wire_reader_t *reader);
