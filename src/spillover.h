#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* spillover - decides whether a request goes one hop to another assigned entry of the service.
 *
 * Forwarding to a peer starts when the own queue wait exceeds the peer's wait plus the distance,
 * and is twice the peer's wait. It ends below the peer's wait plus half the distance, or below 1.25
 * times the peer's wait. Requests forwarded since the
 * peer's last summary are added to its wait, so that one summary does not draw all the surplus to
 * one peer. A peer whose summary is older than SPILLOVER_SUMMARY_MAX_AGE_US gets none. */

#define SPILLOVER_SUMMARY_MAX_AGE_US 2000000

typedef struct
{
  uint64_t entry_id;
  int64_t taken_us;
  int64_t distance_us; /* latency between the failure domains, one way */
  int64_t wait_us[2];  /* the peer's queue wait by class, urgent first */
  uint32_t slots;      /* of its targets in service */
  uint32_t free_slots;
} spillover_peer_t;

typedef struct
{
  GArray *peers; /* spillover_entry_t */
} spillover_t;

void spillover_init (spillover_t *s);
void spillover_destroy (spillover_t *s);

/* Takes over a newer summary; an older one is ignored. */
void spillover_update (spillover_t *s, const spillover_peer_t *peer);
void spillover_remove (spillover_t *s, uint64_t entry_id);

/* Returns whether to forward a request of CLASS_INDEX that would wait OWN_WAIT_US here, and stores
 * the entry. SERVICE_US is the mean time a request takes at a target. */
bool spillover_decide (spillover_t *s, int64_t now_us, unsigned class_index, int64_t own_wait_us,
                       double service_us, uint64_t *entry_id);
