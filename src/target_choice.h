#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "rng.h"

/* target_choice - tracks the slots of the targets that this entry owns for a service, and chooses
 * among those with a free slot.
 *
 * Power of two choices: two random free targets are drawn, by their slow-start weight, and the one
 * with the lower expected latency is used. Each target is in one of three tiers. A target never
 * gets more requests than it has slots. */

typedef enum
{
  TARGET_NORMAL,
  TARGET_LAST_RESORT,    /* suspect, or faulty and kept in service by the floor */
  TARGET_OUT_OF_SERVICE, /* ejected, draining or leaving; gets no requests */
} target_tier_t;

typedef struct
{
  uint64_t id;
  uint32_t slots;
  target_tier_t tier;
  double weight; /* 0 to 1, below 1 in slow start: probability that a draw is accepted */
  double load; /* 0 to 1, announced by the target; adds at most a quarter to the expected latency */
} target_setting_t;

typedef struct
{
  target_setting_t setting;
  uint32_t in_use;
  uint32_t free_index; /* index in the free targets of its tier, if is_free */
  bool is_free;
  bool removed;                /* no longer owned; kept until in_use is 0 */
  double latency_us;           /* moving average */
  int64_t shed_penalty_end_us; /* end of the penalty after a shed request */
} choice_target_t;

typedef struct
{
  GHashTable *by_id;          /* id -> choice_target_t */
  GPtrArray *free_targets[2]; /* choice_target_t by tier, those with a free slot */
  uint32_t target_counts[2];  /* by tier */
  uint32_t slots[2];          /* sums by tier */
  uint32_t free_slots[2];     /* sums by tier */
  rng_t rng;
} target_choice_t;

void target_choice_init (target_choice_t *c, uint64_t seed);
void target_choice_destroy (target_choice_t *c);

/* Adds a target or changes its settings. LATENCY_US is the mean latency that a new one starts
 * with. */
void target_choice_set (target_choice_t *c, const target_setting_t *setting, double latency_us);

/* Removes a target. It is freed when its slots in use have been released. */
void target_choice_remove (target_choice_t *c, uint64_t id);

/* Returns a target of TIER with a free slot that is not among TRIED, or NULL. */
choice_target_t *target_choice_pick (target_choice_t *c, int64_t now_us, target_tier_t tier,
                                     const uint64_t *tried, size_t tried_count);

/* Returns whether a target in tier TARGET_NORMAL, free or not, is not among TRIED. */
bool target_choice_has_untried_normal (const target_choice_t *c, const uint64_t *tried,
                                       size_t tried_count);

/* Takes one slot of TARGET. */
void target_choice_acquire (target_choice_t *c, choice_target_t *target);

/* Releases one slot of the target ID. LATENCY_US is the latency of its request, or negative if
 * there is no sample. If SHED, the target has shed the request, and its expected latency is raised
 * for a short time, so that it gets fewer requests. Does nothing for an unknown target. */
void target_choice_release (target_choice_t *c, int64_t now_us, uint64_t id, double latency_us,
                            bool shed);
