#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "rng.h"

/* target_choice - the owned targets of a service with their slots, and the choice among free ones.
 *
 * Two random free targets are drawn, weighted by their slow-start weight, and the one with the
 * lower expected latency wins. Targets are in one of three tiers. A target is never given more
 * requests than it has slots. */

typedef enum
{
  TARGET_NORMAL,
  TARGET_LAST_RESORT, /* suspect, or unhealthy and held in service by the floor */
  TARGET_OUT,         /* ejected, draining, leaving */
} target_tier_t;

typedef struct
{
  uint64_t id;
  uint32_t slots;
  target_tier_t tier;
  double weight; /* 0..1, slow start */
  double load; /* 0..1, announced; a hint that changes the expected latency by at most a quarter */
} target_setting_t;

typedef struct
{
  target_setting_t setting;
  uint32_t in_use;
  uint32_t free_index; /* position in the list of free targets of its tier, if is_free */
  bool is_free;
  bool removed; /* no longer owned; kept until in_use is 0 */
  double latency_us;
  int64_t shed_until_us;
} choice_target_t;

typedef struct
{
  GHashTable *by_id;
  GPtrArray *free_targets[2]; /* by tier */
  uint32_t targets[2];        /* number of targets by tier */
  uint32_t slots[2];          /* their slots */
  uint32_t free_slots[2];
  rng_t rng;
} target_choice_t;

void target_choice_init (target_choice_t *c, uint64_t seed);
void target_choice_destroy (target_choice_t *c);

/* Adds a target or changes its setting. LATENCY_US is the expected latency of a new one. */
void target_choice_set (target_choice_t *c, const target_setting_t *setting, double latency_us);

/* Removes a target; the slots in use are forgotten when they are released. */
void target_choice_remove (target_choice_t *c, uint64_t id);

/* Returns a free target of TIER that is not among TRIED, or NULL. */
choice_target_t *target_choice_pick (target_choice_t *c, int64_t now_us, target_tier_t tier,
                                     const uint64_t *tried, size_t tried_count);

/* Returns whether a target in tier TARGET_NORMAL, free or not, is not among TRIED. */
bool target_choice_has_other (const target_choice_t *c, const uint64_t *tried, size_t tried_count);

void target_choice_acquire (target_choice_t *c, choice_target_t *target);

/* Releases one slot of the target ID. LATENCY_US below 0 is no evidence. SHED keeps new requests
 * away from the target for a moment. Does nothing for an unknown target. */
void target_choice_release (target_choice_t *c, int64_t now_us, uint64_t id, double latency_us,
                            bool shed);
