#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "list.h"
#include "rng.h"
#include "target_belief.h"

/* balancer - how the requests for one service wait, are refused and are placed at an entry; pure.
 *
 * Several entries of a failure domain share the targets there. They tell each other for each target
 * the requests in flight and the evidence for a fault, so that all place requests by the same view.
 *
 * Health. Each target has the probability of a fault, see target_belief.h: a target that was
 * avoided is tried again by itself, because gray failures come and go. A target never leaves the
 * choice altogether, so the floor of a service needs no separate rule: the least suspect target
 * with a free slot is always usable. The exception is a target that takes no connection: it is
 * tried again after a pause that grows to two seconds, because its slots would always look free.
 *
 * Placement. A request goes to the target with a free slot that most likely answers. Targets of the
 * own cell come first. Others are used when it has no free slot, or nothing but suspect targets.
 * Their load is known from their own answers alone, so while these say that they are busy too,
 * fewer requests are sent there and the queue of the cell grows instead of theirs. What was just
 * proven is best, so requests gather at some targets; a part of the most patient requests that may
 * be repeated tries the idle ones, whose first answer is least certain.
 *
 * A request waits a little for a proven target whose slots are busy, when the free ones are
 * suspect: slots become free every few milliseconds, and a fault costs all of its worth. Others
 * that are less particular pass it.
 *
 * Queue. The more urgent rank first; within a rank the requests that can still meet their
 * objective, in order of arrival, then the late ones. One dispatch in BALANCER_LOW_SHARE goes to a
 * lower rank, so that none starves.
 *
 * Refusal. A request is refused when it arrives if the requests before it, and the more urgent ones
 * that keep coming, leave no time for it until shortly after its objective: under overload some
 * have to be refused, and one that has waited was kept for nothing. One that waits is refused as
 * soon as it cannot be answered any more. */

#define BALANCER_LOW_SHARE 8
/* Targets that a request remembers as tried. */
#define BALANCER_MAX_TRIED 8

/* Distance of a target. */
typedef enum
{
  BALANCER_CELL,   /* shared by the entries that tell each other its load */
  BALANCER_DOMAIN, /* of another cell of the failure domain */
  BALANCER_REMOTE, /* in another failure domain */
} balancer_tier_t;

typedef struct
{
  uint64_t id;
  uint32_t slots;
  balancer_tier_t tier;
  int64_t warm_us; /* slow until then */
} balancer_target_t;

typedef struct
{
  uint64_t id;      /* unique among the requests of this entry */
  uint64_t kind;    /* requests of one kind take a similar time */
  uint32_t rank;    /* 0 is the most urgent */
  int64_t goal_us;  /* time by which the answer is worth most */
  int64_t limit_us; /* time by which it must be answered */
  bool idempotent;  /* may be sent to another target after a failure */
  uint64_t tried[BALANCER_MAX_TRIED];
  unsigned tried_count;
} balancer_request_t;

typedef enum
{
  BALANCER_OK,
  BALANCER_FAILED,      /* error, reset or malformed answer */
  BALANCER_UNREACHABLE, /* no connection: the request was not sent */
  BALANCER_LATE,        /* given up after a multiple of the usual time */
  BALANCER_REFUSED,     /* the target said that it is full and did not run it */
  BALANCER_ABANDONED,   /* the caller left: no evidence */
} balancer_outcome_t;

typedef enum
{
  BALANCER_DISPATCH,
  BALANCER_REFUSE_NO_TIME,   /* the requests before it leave no time */
  BALANCER_REFUSE_NO_TARGET, /* no target is known */
} balancer_verdict_t;

typedef struct
{
  balancer_verdict_t verdict;
  uint64_t request_id;
  uint64_t target_id;
  int64_t waited_us;
  int64_t retry_after_us; /* of a refusal: when there is likely room */
  int64_t expected_us;    /* of a dispatch: time after which the answer is unusually late */
  double suspicion;       /* of a dispatch: probability that the target is faulty */
} balancer_decision_t;

/* What other entries of the domain need to know of a target. */
typedef struct
{
  uint64_t target_id;
  uint32_t in_flight;
  double evidence; /* log-likelihood ratio since the last call */
} balancer_share_t;

typedef struct
{
  int64_t default_latency_us; /* of a kind without a sample */
} balancer_options_t;

typedef struct
{
  balancer_options_t options;
  rng_t rng;
  GHashTable *targets; /* id -> target */
  GHashTable *kinds;   /* kind -> latency */
  GHashTable *flights; /* request id -> flight */
  GArray *arrivals;    /* rate of each rank */
  list_t queue;        /* by rank, then by arrival */
  size_t queued;
  size_t selective; /* of these, waiting for a proven target although others have a free slot */
  fault_prior_t prior;
  unsigned unexplored; /* requests since the last one that tried an idle target */
  double spill;        /* share of the requests without a free slot in the cell that may leave it */
  unsigned urgent_in_a_row;
} balancer_t;

void balancer_init (balancer_t *b, const balancer_options_t *options, uint64_t seed);
void balancer_destroy (balancer_t *b);

void balancer_set_target (balancer_t *b, int64_t now_us, const balancer_target_t *target);

/* Ends new work of a target; requests in flight go on. */
void balancer_remove_target (balancer_t *b, uint64_t id);

/* Takes over what the entry PEER says of a target. */
void balancer_peer_share (balancer_t *b, int64_t now_us, uint64_t peer,
                          const balancer_share_t *share);

/* Forgets the requests in flight of an entry that is gone. */
void balancer_peer_gone (balancer_t *b, uint64_t peer);

/* The target says that it runs and queues BUSY requests in total. */
void balancer_reported (balancer_t *b, int64_t now_us, uint64_t id, uint32_t busy);

/* Returns whether REQUEST would be dispatched at once to a target that it has not tried. */
bool balancer_has_place (balancer_t *b, int64_t now_us, const balancer_request_t *request);

/* Adds REQUEST to the queue; balancer_next() decides. */
void balancer_submit (balancer_t *b, int64_t now_us, const balancer_request_t *request);

/* Stores the next decision. Returns false if there is none now. */
bool balancer_next (balancer_t *b, int64_t now_us, balancer_decision_t *out);

/* Ends a dispatched request. LATENCY_US is the time at the target. */
void balancer_done (balancer_t *b, int64_t now_us, uint64_t request_id, balancer_outcome_t outcome,
                    int64_t latency_us);

/* Forgets a request that waits. */
void balancer_cancel (balancer_t *b, uint64_t request_id);

/* Takes requests in flight that have become late as evidence. To be called some times a second
 * while requests are in flight. */
void balancer_tick (balancer_t *b, int64_t now_us);

/* Stores the shares that changed since the last call (balancer_share_t). */
void balancer_take_shares (balancer_t *b, GArray *out);

/* Changes the tier of a target. */
void balancer_set_tier (balancer_t *b, uint64_t id, balancer_tier_t tier);

/* Number of requests in flight and waiting. */
size_t balancer_busy (const balancer_t *b);

/* Probability that the target is faulty; 1 if it is unknown. */
double balancer_suspicion (const balancer_t *b, int64_t now_us, uint64_t id);

const char *balancer_verdict_name (balancer_verdict_t verdict);
