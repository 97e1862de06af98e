#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "overload.h"
#include "request_queue.h"
#include "spillover.h"
#include "target_choice.h"

/* scheduler - the queue of a service on one of its assigned entries.
 *
 * Urgent requests go first, the earliest deadline first within a class; while background requests
 * wait, at least one dispatch in SCHEDULER_BACKGROUND_SHARE is one of them. A request is refused
 * at once when it cannot meet its deadline or the class is overloaded, and later when its deadline
 * passes in the queue; a refused request has not been sent to a target. All operations are
 * O(log n) in the number of queued requests.
 *
 * Use: after every submit, done, cancel, change of a target, and at scheduler_wakeup_us(), call
 * scheduler_next() until it returns false. */

#define SCHEDULER_BACKGROUND_SHARE 16

/* Retries that wait for a target other than those they tried, while others are dispatched. */
#define SCHEDULER_MAX_PARKED 16

typedef enum
{
  SCHEDULER_URGENT = 0,
  SCHEDULER_BACKGROUND = 1,
} scheduler_class_t;

#define SCHEDULER_CLASSES 2

typedef struct
{
  uint64_t seed;
  uint32_t max_queued[SCHEDULER_CLASSES]; /* 0: 1024 */
  int64_t initial_service_us;             /* expected time at a target at first; 0: 50 ms */
} scheduler_options_t;

typedef struct
{
  uint64_t id; /* unique among the requests of this scheduler */
  scheduler_class_t class_index;
  int64_t deadline_us;
  bool forwarded; /* came from another entry: is not forwarded again */
  const uint64_t *tried;
  size_t tried_count;
} scheduler_request_t;

typedef enum
{
  SCHEDULER_QUEUED,
  SCHEDULER_REFUSED,
  SCHEDULER_FORWARD,
} scheduler_decision_t;

typedef enum
{
  SCHEDULER_REASON_NONE,
  SCHEDULER_REASON_DEADLINE,   /* the deadline cannot be met */
  SCHEDULER_REASON_OVERLOAD,   /* the class has a standing queue */
  SCHEDULER_REASON_QUEUE_FULL, /* limit of the options */
  SCHEDULER_REASON_NO_TARGET,  /* no target is in service */
  SCHEDULER_REASON_DUPLICATE,  /* the id is queued or dispatched */
} scheduler_reason_t;

typedef struct
{
  scheduler_decision_t decision;
  scheduler_reason_t reason;
  int64_t retry_after_s; /* SCHEDULER_REFUSED */
  uint64_t entry_id;     /* SCHEDULER_FORWARD */
} scheduler_result_t;

typedef struct
{
  bool refused; /* otherwise dispatched to target_id */
  uint64_t request_id;
  uint64_t target_id;
  int64_t waited_us;
  scheduler_reason_t reason;
  int64_t retry_after_s;
} scheduler_dispatch_t;

typedef enum
{
  SCHEDULER_DONE_OK,
  SCHEDULER_DONE_FAILED,
  SCHEDULER_DONE_SHED,      /* the target refused it because of its load */
  SCHEDULER_DONE_ABANDONED, /* cancelled or silent connection: no evidence */
} scheduler_done_t;

typedef struct
{
  scheduler_done_t kind;
  int64_t latency_us; /* SCHEDULER_DONE_OK */
} scheduler_outcome_t;

typedef enum
{
  SCHEDULER_CANCELLED, /* was queued; not sent */
  SCHEDULER_IN_FLIGHT, /* dispatched; keeps its slot until scheduler_done() */
  SCHEDULER_UNKNOWN,
} scheduler_cancel_t;

/* For the summary to the other assigned entries. */
typedef struct
{
  uint32_t slots; /* in service and not suspect */
  uint32_t free_slots;
  int64_t wait_us[SCHEDULER_CLASSES];
  size_t queued[SCHEDULER_CLASSES];
  bool overloaded[SCHEDULER_CLASSES];
} scheduler_summary_t;

typedef struct
{
  scheduler_options_t options;
  request_queue_t queues[SCHEDULER_CLASSES];
  overload_t overloads[SCHEDULER_CLASSES];
  target_choice_t targets;
  spillover_t spillover;
  GHashTable *requests; /* id -> queued_request_t */
  queued_request_t *parked[SCHEDULER_MAX_PARKED];
  size_t parked_count;
  uint32_t urgent_in_a_row; /* dispatched while background requests waited */
  double service_us;        /* mean time of a request at a target */
  double urgent_rate;       /* urgent dispatches per second, decayed over one second */
  int64_t urgent_rate_us;   /* time of that value */
} scheduler_t;

void scheduler_init (scheduler_t *s, const scheduler_options_t *options);
void scheduler_destroy (scheduler_t *s);

void scheduler_set_target (scheduler_t *s, const target_setting_t *setting);
void scheduler_remove_target (scheduler_t *s, uint64_t target_id);
void scheduler_set_peer (scheduler_t *s, const spillover_peer_t *peer);
void scheduler_remove_peer (scheduler_t *s, uint64_t entry_id);

scheduler_result_t scheduler_submit (scheduler_t *s, int64_t now_us,
                                     const scheduler_request_t *request);

/* Stores the next dispatch, or a queued request that is refused now. Returns false if there is
 * neither. */
bool scheduler_next (scheduler_t *s, int64_t now_us, scheduler_dispatch_t *out);

/* Ends a dispatched request and releases its slot. A retry is submitted again, with the same id and
 * deadline and with the target among the tried ones. */
void scheduler_done (scheduler_t *s, int64_t now_us, uint64_t request_id,
                     const scheduler_outcome_t *outcome);

scheduler_cancel_t scheduler_cancel (scheduler_t *s, uint64_t request_id);

/* Returns when the earliest deadline in the queue passes; INT64_MAX with an empty queue. */
int64_t scheduler_wakeup_us (const scheduler_t *s);

void scheduler_summary (scheduler_t *s, int64_t now_us, scheduler_summary_t *out);
