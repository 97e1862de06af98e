#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* spillover - decides whether a request is forwarded one hop to another assigned entry of the
 * service.
 *
 * Forwarding to a peer starts when the own queue wait exceeds the peer's wait plus the distance and
 * is more than twice the peer's wait. It ends when the own wait falls to the peer's wait plus half
 * the distance, or to 1.25 times the peer's wait. Requests that were forwarded since the peer's
 * last summary are added to its wait, so that one summary does not direct all the surplus to one
 * peer. A peer whose summary is older than SPILLOVER_MAX_SUMMARY_AGE_US gets no requests. */

#define SPILLOVER_MAX_SUMMARY_AGE_US 2000000

typedef struct
{
  uint64_t entry_id;
  int64_t summary_sent_us; /* estimated local time at which the peer sent this summary */
  int64_t distance_us;     /* one-way latency between the failure domains */
  int64_t wait_us[2];      /* the peer's queue wait by class, most urgent first */
  uint32_t slots;          /* of its targets that are in service and not suspect */
  uint32_t free_slots;
} spillover_peer_t;

typedef struct
{
  GArray *peers; /* spillover_peer_state_t */
} spillover_t;

void spillover_init (spillover_t *s);
void spillover_destroy (spillover_t *s);

/* Stores the summary PEER if it is the first of that entry or newer than the known one. */
void spillover_update (spillover_t *s, const spillover_peer_t *peer);
void spillover_remove (spillover_t *s, uint64_t entry_id);

/* Returns whether to forward a request of CLASS_INDEX that would wait OWN_WAIT_US here, and stores
 * the entry to forward it to in ENTRY_ID; the request then counts as forwarded. SERVICE_TIME_US is
 * the mean latency of a target. */
bool spillover_decide (spillover_t *s, int64_t now_us, unsigned class_index, int64_t own_wait_us,
                       double service_time_us, uint64_t *entry_id);
