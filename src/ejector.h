#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* ejector - decides which unhealthy targets are ejected, within the floor of the service.
 *
 * The floor is a number of slots that must stay healthy over all assigned entries of the service.
 * Each owner keeps its share of the floor and may eject the rest:
 *
 *   keep   = ceil (floor * own / (own + peers))
 *   budget = own - keep
 *
 * "own" are the slots of the owned targets that have been owned for EJECTOR_SETTLE_US, "peers" are
 * the settled slots in summaries of other assigned entries that are at most
 * EJECTOR_SUMMARY_MAX_AGE_US old. The shares of all owners add up to the floor at any mix of
 * summary ages, because each owner's total is at most the true one:
 *
 * - A lost or old summary makes the total smaller and the share larger.
 * - A target that changes owners would be counted by the old owner's last summary and by the new
 *   owner. It is therefore not part of "own" until it has settled; until then all its slots count
 *   as kept.
 * - When the own slots shrink, others still rely on the old share until they have the next
 *   summary. "own" in the share is therefore its maximum over the last EJECTOR_SHARE_MEMORY_US.
 *
 * What remains below the floor is at most the number of slots that left or died within the last
 * EJECTOR_SHARE_MEMORY_US: no owner can know of these earlier. */

#define EJECTOR_SUMMARY_MAX_AGE_US 2000000

/* Longer than views of the member list differ (about 3 s) plus the life of a summary. */
#define EJECTOR_SETTLE_US 5000000

/* Longer than the life of a summary plus its transit. */
#define EJECTOR_SHARE_MEMORY_US 3000000

/* An ejected target makes room for a worse one only if that one is worse by this factor, so that
 * two targets of similar badness do not take turns. */
#define EJECTOR_SWAP_FACTOR 1.5

typedef enum
{
  EJECTOR_KEEP,    /* no change */
  EJECTOR_EJECT,   /* in service before this update */
  EJECTOR_READMIT, /* ejected before this update; WANTED tells whether it is still unhealthy */
} ejector_action_t;

/* One owned target that announces itself as "up". Targets that drain, leave or have no lease are
 * not part of the view. */
typedef struct
{
  uint64_t id;
  uint32_t slots;
  int64_t owned_since_us;
  bool wanted;             /* health asks for the ejection, or for its continuation */
  double badness;          /* higher is worse */
  bool ejected;            /* in: before the update; out: after it */
  ejector_action_t action; /* out */
} ejector_target_t;

/* What the summary of another assigned entry says. */
typedef struct
{
  uint64_t entry_id;
  int64_t taken_us;       /* time of the summary: receive time minus excess delay */
  uint32_t settled_slots; /* ejector_result_t of the sender */
} ejector_peer_t;

typedef struct
{
  uint32_t floor_slots; /* min_healthy_slots of the installed configuration; 0 counts as 1 */
  ejector_target_t *targets;
  size_t target_count;
  const ejector_peer_t *peers; /* one per entry */
  size_t peer_count;
} ejector_view_t;

typedef struct
{
  uint32_t own_slots;     /* all owned slots */
  uint32_t settled_slots; /* for the summary to the other assigned entries */
  uint32_t total_slots;   /* settled slots of all owners in this view */
  uint32_t budget_slots;  /* most slots that may be ejected */
  uint32_t ejected_slots; /* at most budget_slots */
  uint32_t held_slots;    /* unhealthy, in service because of the floor */
  size_t ejected;         /* number of targets with EJECTOR_EJECT */
  size_t readmitted;      /* number of targets with EJECTOR_READMIT */
} ejector_result_t;

typedef struct
{
  int64_t period_start_us;
  uint32_t period_max;   /* most settled slots since period_start_us */
  uint32_t previous_max; /* the same for the period before */
  bool started;
} ejector_t;

void ejector_init (ejector_t *e);

/* Decides anew for all owned targets; sets "ejected" and "action" of each. To be called at least
 * every 100 ms, and at once when a target, a summary, a verdict or the floor changes. Sorts
 * VIEW->targets: unhealthy ones first, worst first. */
ejector_result_t ejector_update (ejector_t *e, int64_t now_us, const ejector_view_t *view);
