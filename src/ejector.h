#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* ejector - chooses the unhealthy targets to eject, within the floor of the service.
 *
 * The floor is the number of slots that must stay in service over all assigned entries. Each entry
 * keeps its share of the floor and may eject the rest of its own slots:
 *
 *   kept   = ceil (floor * own / (own + peers))
 *   budget = own - kept
 *
 * "own" counts the slots of targets that this entry has owned for EJECTOR_SETTLING_TIME_US (settled
 * slots). "peers" counts the settled slots in the summaries of the other assigned entries, without
 * summaries older than EJECTOR_MAX_SUMMARY_AGE_US. The shares of all entries add up to at least the
 * floor, or to all slots if there are fewer, at any ages of the summaries, because no entry
 * overestimates the total:
 *
 * - A lost or expired summary lowers the total and raises the share.
 * - A target that moves to another entry could be counted twice: in the last summary of its old
 *   owner and by its new owner. The new owner therefore counts it only once it has settled; until
 *   then its slots do not add to the budget.
 * - When the own slots shrink, the peers rely on the old share until the next summary arrives. The
 *   share is therefore computed from the maximum of "own" over at least the last
 *   EJECTOR_SHARE_WINDOW_US.
 *
 * The slots in service can fall short of the floor by at most the number of slots that left or
 * failed within the last EJECTOR_SHARE_WINDOW_US, because no entry can know of them earlier. */

#define EJECTOR_MAX_SUMMARY_AGE_US 2000000

/* The time for which member lists of entries can differ (about 3 s) plus the maximum age of a
 * summary. */
#define EJECTOR_SETTLING_TIME_US 5000000

/* Longer than the maximum age of a summary plus its transit time. */
#define EJECTOR_SHARE_WINDOW_US 3000000

/* A target replaces an ejected one only if its badness is higher by this factor. Otherwise two
 * targets of similar badness would alternate. */
#define EJECTOR_SWAP_FACTOR 1.5

typedef enum
{
  EJECTOR_NO_CHANGE,
  EJECTOR_EJECT,   /* the target was in service before this update */
  EJECTOR_READMIT, /* the target was ejected before; it is still unhealthy if wants_ejection */
} ejector_action_t;

/* An owned target that announces itself as "up". Targets that drain, leave or have no lease are not
 * passed to the ejector. */
typedef struct
{
  uint64_t id;
  uint32_t slots;
  int64_t owned_since_us;
  bool wants_ejection;     /* health asks to eject the target, or to keep it ejected */
  double badness;          /* higher is worse */
  bool ejected;            /* in: before the update; out: after it */
  ejector_action_t action; /* out */
} ejector_target_t;

/* The part of a summary of another assigned entry that the ejector uses. */
typedef struct
{
  uint64_t entry_id;
  int64_t summary_sent_us; /* receive time minus link_clock_age_us(), at or before the true time */
  uint32_t settled_slots;  /* the sender's ejector_result_t.settled_slots */
} ejector_peer_t;

typedef struct
{
  uint32_t floor_slots; /* min_healthy_slots of the installed configuration; 0 counts as 1 */
  ejector_target_t *targets;
  size_t target_count;
  const ejector_peer_t *peers; /* one element for each other assigned entry */
  size_t peer_count;
} ejector_input_t;

typedef struct
{
  uint32_t own_slots;      /* slots of all owned targets */
  uint32_t settled_slots;  /* reported in the summary to the other assigned entries */
  uint32_t total_slots;    /* settled slots of this entry and of all peers with a fresh summary */
  uint32_t budget_slots;   /* most slots that may be ejected */
  uint32_t ejected_slots;  /* at most budget_slots */
  uint32_t held_slots;     /* slots of unhealthy targets that the floor keeps in service */
  size_t ejected_count;    /* targets with EJECTOR_EJECT */
  size_t readmitted_count; /* targets with EJECTOR_READMIT */
} ejector_result_t;

typedef struct
{
  int64_t period_start_us;
  uint32_t period_max;          /* most settled slots since period_start_us */
  uint32_t previous_period_max; /* most settled slots in the period before */
  bool started;                 /* period_start_us is valid */
} ejector_t;

void ejector_init (ejector_t *e);

/* Chooses the ejected targets anew and sets "ejected" and "action" of each target. Sorts
 * INPUT->targets: unhealthy targets first, worst first. Must be called at least every 100 ms, and
 * whenever a target, a summary, a verdict or the floor changes. */
ejector_result_t ejector_update (ejector_t *e, int64_t now_us, const ejector_input_t *input);
