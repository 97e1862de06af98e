#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fair_share.h"
#include "list.h"
#include "rng.h"
#include "stop_plan.h"
#include "target_suspicion.h"

/* balancer - queues the requests of one service at an entry, refuses those that cannot be answered
 * in time and assigns the others to targets. It does no I/O.
 *
 * The entries of a cell share the targets of the cell. For each target they exchange load reports
 * with the requests in flight and the evidence for a fault, so that all of them place requests by
 * the same state.
 *
 * Health. Each target has a suspicion, see target_suspicion.h. Gray failures come and go, so the
 * suspicion returns to the prior with time, and an avoided target is tried again without a probe.
 * No target is excluded because of its suspicion. The least suspect target with a free slot can
 * always be used, so the floor of a service, the number of slots that must stay in service, needs
 * no rule here. There are two exceptions. A target that accepts no connection is left out for a
 * pause that grows to two seconds, since its slots would always look free. A target that refuses a
 * request and asks for a pause gets nothing from this entry until the pause ends.
 *
 * Placement. A request goes to the target with a free slot at which its expected loss is lowest.
 * The loss is a fraction of the request's worth, the value of an answer by its goal. Targets of the
 * own cell come first. Other targets are used when the cell has no free slot or only suspect
 * targets. Their load is known from their own answers alone, so while these report no free slot,
 * fewer requests go there and the queue grows in this cell instead of at those targets.
 * Recent successes lower the suspicion of a target, so requests concentrate on some targets. Part
 * of the least urgent idempotent requests therefore explores the idle targets, whose first answer
 * is least certain. A service that gets no idempotent requests is explored by the others.
 *
 * When only suspect targets have a free slot, a request waits briefly for a busy target that is
 * more likely healthy: slots become free every few milliseconds, and a failed attempt loses most or
 * all of its worth. Requests behind it that need not wait are dispatched first.
 *
 * Queue. More urgent ranks come first. Within a rank, the requests that can still meet their goal
 * come first in order of arrival, then the others. One dispatch in
 * BALANCER_LESS_URGENT_INTERVAL goes to a less urgent rank, to prevent starvation.
 *
 * Refusal. A request is refused only while none can be dispatched. A new request is refused on
 * arrival if it is estimated to miss its goal by more than a quarter of the time from goal to
 * deadline, given the requests ahead of it and the arrival rate of more urgent ones. Under overload
 * some requests have to be refused, and a refusal after a wait has wasted that wait. A waiting
 * request is refused once it can no longer meet its deadline.
 *
 * With BALANCER_OVERLOAD_VALUE, queue and refusal answer demand above the capacity for seconds,
 * bursts of one kind of request, a team that sends many times its usual rate, and targets that
 * hang. The order is: one request of a kind or team that is not served as often as guaranteed, see
 * fair_share.h; then requests that can meet their goal before those that cannot; the rank; teams
 * within their share before others; and what waiting costs, per unit of the work of a request, see
 * request_value.h. A late request keeps its place while its kind is served hardly more often than a
 * less urgent one. The capacity is measured by the work that leaves the queue while requests wait.
 * A new request is refused if its chance to meet its goal after the expected wait is too low, and a
 * waiting one if the chance becomes much lower, unless spare capacity lets it meet its deadline.
 * Refused callers are told to return one after the other. */

#define BALANCER_LESS_URGENT_INTERVAL 8
/* Longest pause that a target gets when it asks for one. */
#define BALANCER_MAX_PAUSE_US INT64_C (60000000)
/* Lower bound of the time after which a refused caller is told to retry. */
#define BALANCER_MIN_RETRY_AFTER_US INT64_C (50000)
/* Maximum number of tried targets that a request records. */
#define BALANCER_MAX_TRIED 8

/* Distance of a target from this entry. */
typedef enum
{
  BALANCER_LOCALITY_CELL,   /* of the own cell, whose entries exchange load reports */
  BALANCER_LOCALITY_DOMAIN, /* of another cell in the same failure domain */
  BALANCER_LOCALITY_REMOTE, /* in another failure domain */
} balancer_locality_t;

typedef struct
{
  uint64_t id;
  uint32_t slots;
  balancer_locality_t locality;
  int64_t warmup_end_us; /* end of the warm-up, until which the target answers slowly */
} balancer_target_t;

typedef struct
{
  uint64_t id;         /* unique among the requests of this entry */
  uint64_t kind;       /* requests of one kind have similar latencies */
  uint64_t team;       /* id of the team that sent it; 0 for none */
  uint32_t rank;       /* 0 is the most urgent */
  int64_t received_us; /* arrival at the entry; 0 if unknown */
  int64_t goal_us;     /* time by which the answer is worth most */
  int64_t deadline_us; /* time by which the caller must have an answer */
  bool idempotent;     /* may be retried after a failed attempt */
  uint64_t tried[BALANCER_MAX_TRIED];
  unsigned tried_count;
} balancer_request_t;

typedef enum
{
  BALANCER_OK,
  BALANCER_FAILED,      /* error, connection reset or malformed answer */
  BALANCER_UNREACHABLE, /* connection failed; the request was not sent */
  BALANCER_LATE,        /* stalled, or not complete by the time limit of the attempt */
  BALANCER_SHED,        /* shed: the target was full and did not run the request */
  BALANCER_ABANDONED,   /* ended by the caller or a stale connection; no evidence of a fault */
} balancer_outcome_t;

typedef enum
{
  BALANCER_DISPATCH,
  BALANCER_REFUSE_NO_TIME,   /* it could not be answered in time behind the requests ahead of it */
  BALANCER_REFUSE_NO_TARGET, /* no target is known, reachable and not paused */
  BALANCER_REFUSE_STOPPING,  /* it could not be answered before this entry stops */
  BALANCER_REFUSE_LOW_VALUE, /* others earn more than it would, see BALANCER_OVERLOAD_VALUE */
  BALANCER_REFUSE_EVICTED,   /* the same, after it has waited */
} balancer_verdict_t;

#define BALANCER_VERDICT_COUNT (BALANCER_REFUSE_EVICTED + 1)

/* What decides about order and refusal. */
typedef enum
{
  BALANCER_OVERLOAD_ORDER, /* rank and order of arrival */
  BALANCER_OVERLOAD_VALUE, /* what requests are expected to earn, see balancer_value.c */
} balancer_overload_policy_t;

typedef struct
{
  balancer_verdict_t verdict;
  uint64_t request_id;
  uint64_t target_id;
  int64_t waited_us;
  int64_t retry_after_us; /* refusal: time after which a retry is likely accepted */
  int64_t late_after_us;  /* dispatch: latency above which the answer counts as late */
  double suspicion;       /* dispatch: suspicion of the target, 0 to 1 */
} balancer_decision_t;

/* Load report: what an entry tells the other entries of its cell about a target. */
typedef struct
{
  uint64_t target_id;
  uint32_t in_flight;
  double evidence; /* log-likelihood ratio of a fault, collected since the last report */
} balancer_load_report_t;

typedef struct
{
  int64_t default_latency_us; /* assumed for a kind of request without a sample */
  balancer_overload_policy_t overload_policy;
} balancer_options_t;

typedef struct
{
  balancer_options_t options;
  rng_t rng;
  GHashTable *targets;  /* id -> tracked_target_t */
  GHashTable *kinds;    /* kind -> kind_latency_t */
  GHashTable *requests; /* id -> tracked_request_t, waiting or in flight */
  GArray *arrivals;     /* rank_arrivals_t, one of each rank */
  list_t queue;         /* tracked_request_t, by rank, then by arrival */
  size_t queued_count;
  size_t deferred_count; /* of these, waiting for a busy target although another has a free slot */
  fault_prior_t prior;
  unsigned placements_since_exploration; /* placements that could have explored an idle target since
                                          the last that did; a waiting request counts each
                                          time a target is sought for it */
  double outside_share; /* share of placements that may use targets outside the cell, 0 to 1 */
  unsigned consecutive_urgent_count; /* dispatches while a less urgent request was waiting */
  stop_plan_t stop;                  /* of this entry */
  /* BALANCER_OVERLOAD_VALUE */
  fair_share_t kind_shares;
  fair_share_t team_shares;
  int64_t backlog_since_us; /* time from which requests wait and are not counted yet; 0: none */
  double backlog_us;        /* time in which requests waited, decays */
  double drained_work_us;   /* work that was dispatched in it, decays */
  int64_t drain_updated_us;
  double fair_slots; /* slots of the cell, divided by the entries that use them */
  int64_t fair_slots_updated_us;
  bool refusal_check_due; /* a request has arrived since the last check for refusals */
  int64_t refusal_checked_us;
  int64_t next_return_us; /* time from which capacity is left for the next refused caller */
} balancer_t;

void balancer_init (balancer_t *b, const balancer_options_t *options, uint64_t seed);
void balancer_destroy (balancer_t *b);

/* Adds a target or updates its settings. A removed target gets requests again. */
void balancer_set_target (balancer_t *b, int64_t now_us, const balancer_target_t *target);

/* Stops dispatching to a target. Its requests in flight continue. */
void balancer_remove_target (balancer_t *b, uint64_t id);

/* Stops dispatching to a target for PAUSE_US, at most BALANCER_MAX_PAUSE_US, because it asked this
 * entry to. A pause that ends later stays. Does nothing for an unknown target. */
void balancer_pause_target (balancer_t *b, int64_t now_us, uint64_t id, int64_t pause_us);

/* Applies a load report of the entry PEER. */
void balancer_apply_load_report (balancer_t *b, int64_t now_us, uint64_t peer,
                                 const balancer_load_report_t *report);

/* Clears the requests in flight of the entry PEER, which has left the cell or failed. */
void balancer_remove_peer (balancer_t *b, uint64_t peer);

/* Stores the number of requests, running and queued, that a target reports in its answers. A target
 * outside the cell also raises or lowers the share of placements that may go there. */
void balancer_set_reported_load (balancer_t *b, int64_t now_us, uint64_t id, uint32_t load);

/* Returns whether the best target with a free slot for REQUEST is one that it has not tried, the
 * queue is empty or holds only deferred requests, see deferred_count, and REQUEST can end before
 * this entry stops. */
bool balancer_can_dispatch (balancer_t *b, int64_t now_us, const balancer_request_t *request);

/* Tells that this entry stops by PLAN. From now on a request is refused as soon as
 * balancer_ends_before_stop() does not hold for it. Call balancer_next() afterwards. */
void balancer_set_stop (balancer_t *b, const stop_plan_t *plan);

/* Returns whether REQUEST may be dispatched at START_US with a view to the stop of this entry, see
 * stop_plan_may_send(). */
bool balancer_ends_before_stop (balancer_t *b, const balancer_request_t *request, int64_t start_us);

/* Copies REQUEST into the queue. Call balancer_next() afterwards. */
void balancer_submit (balancer_t *b, int64_t now_us, const balancer_request_t *request);

/* Makes the next decision, a dispatch or a refusal, and stores it in OUT. Returns false if the
 * queue is empty or all requests in it have to wait. */
bool balancer_next (balancer_t *b, int64_t now_us, balancer_decision_t *out);

/* Records the outcome of a dispatched request and frees its slot. LATENCY_US is the latency of
 * the target and used for BALANCER_OK only. Does nothing for an unknown or waiting request. */
void balancer_finish (balancer_t *b, int64_t now_us, uint64_t request_id,
                      balancer_outcome_t outcome, int64_t latency_us);

/* Removes a waiting request. Does nothing for an unknown or dispatched one. */
void balancer_cancel (balancer_t *b, uint64_t request_id);

/* Adds evidence against the targets of requests in flight that have no answer yet. Call it several
 * times a second while requests are in flight. */
void balancer_tick (balancer_t *b, int64_t now_us);

/* Appends the load report (balancer_load_report_t) of each target whose load or evidence changed
 * since the last call to OUT. */
void balancer_take_load_reports (balancer_t *b, GArray *out);

/* Changes the locality of a target. Does nothing for an unknown one. */
void balancer_set_locality (balancer_t *b, uint64_t id, balancer_locality_t locality);

/* Returns the time until a target is available again, as it is told to callers; 0 if one is. */
int64_t balancer_available_after_us (const balancer_t *b, int64_t now_us);

/* Returns the number of requests waiting and in flight. */
size_t balancer_request_count (const balancer_t *b);

/* Returns the suspicion of a target, 0 to 1; 1 for an unknown one. */
double balancer_suspicion (const balancer_t *b, int64_t now_us, uint64_t id);

/* Returns the name of VERDICT: "dispatch", "no_time", "no_target", "stopping", "low_value"
 * or "evicted". */
const char *balancer_verdict_name (balancer_verdict_t verdict);
