#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "overload.h"
#include "request_queue.h"
#include "spillover.h"
#include "target_choice.h"

/* scheduler - queues the requests of a service on one of its assigned entries.
 *
 * Urgent requests are dispatched before background requests, and within a class the earliest
 * deadline first. While background requests wait, at least one dispatch in
 * SCHEDULER_BACKGROUND_PERIOD is one of them; only parked requests go first, see
 * SCHEDULER_MAX_PARKED. A request is refused on arrival if it cannot meet its deadline, or if
 * during an overload of its class or the cooldown it would wait longer than the limit of the class,
 * and later if it can no longer meet its deadline. A refused request has not been sent to a target
 * since its last scheduler_submit(). All operations take O(log n) time in the number of queued
 * requests.
 *
 * After each submit, done, cancel and change of a target, and at scheduler_wakeup_us(), call
 * scheduler_next() until it returns false. */

/* While background requests wait, at least one of this many dispatches is one of them. Dispatches
 * of parked requests are not limited by this. */
#define SCHEDULER_BACKGROUND_PERIOD 16

/* Maximum number of parked requests: retries that wait for a target they have not tried, while
 * requests behind them are dispatched. */
#define SCHEDULER_MAX_PARKED 16

typedef enum
{
  SCHEDULER_URGENT = 0,
  SCHEDULER_BACKGROUND = 1,
} scheduler_class_t;

#define SCHEDULER_CLASS_COUNT 2

typedef struct
{
  uint64_t seed;
  uint32_t max_queued[SCHEDULER_CLASS_COUNT]; /* maximum queue length of a class; 0: 1024 */
  int64_t initial_service_time_us; /* first estimate of the mean service time; 0: 50 ms */
} scheduler_options_t;

typedef struct
{
  uint64_t id; /* unique among the requests of this scheduler */
  scheduler_class_t class_index;
  int64_t deadline_us;
  bool local_only; /* must not be forwarded: came from another entry, is a retry or holds a claim */
  const uint64_t *tried; /* ids of targets of earlier attempts, oldest first; copied */
  size_t tried_count;
} scheduler_request_t;

typedef enum
{
  SCHEDULER_QUEUED,
  SCHEDULER_REFUSED,
  SCHEDULER_FORWARD, /* to be sent to another assigned entry */
} scheduler_decision_t;

typedef enum
{
  SCHEDULER_REASON_NONE,
  SCHEDULER_REASON_DEADLINE,   /* the deadline cannot be met */
  SCHEDULER_REASON_OVERLOAD,   /* the wait exceeds its limit in an overload or the cooldown */
  SCHEDULER_REASON_QUEUE_FULL, /* max_queued of the class is reached */
  SCHEDULER_REASON_NO_TARGET,  /* no target is in service */
  SCHEDULER_REASON_DUPLICATE,  /* a request with this id is queued or in flight */
} scheduler_reason_t;

typedef struct
{
  scheduler_decision_t decision;
  scheduler_reason_t reason;
  int64_t retry_after_s; /* valid for SCHEDULER_REFUSED, 1 to 60 */
  uint64_t entry_id;     /* valid for SCHEDULER_FORWARD */
} scheduler_submit_result_t;

typedef struct
{
  bool refused; /* refused; otherwise dispatched to target_id */
  uint64_t request_id;
  uint64_t target_id; /* valid if not refused */
  int64_t waited_us;
  scheduler_reason_t reason; /* valid if refused */
  int64_t retry_after_s;     /* valid if refused, 1 to 60 */
} scheduler_next_result_t;

typedef enum
{
  SCHEDULER_DONE_OK,
  SCHEDULER_DONE_FAILED,
  SCHEDULER_DONE_SHED,      /* shed by the target */
  SCHEDULER_DONE_ABANDONED, /* cancelled, or its connection alone stalled; no evidence of a fault */
} scheduler_outcome_kind_t;

typedef struct
{
  scheduler_outcome_kind_t kind;
  int64_t latency_us; /* valid for SCHEDULER_DONE_OK */
} scheduler_outcome_t;

typedef enum
{
  SCHEDULER_CANCELLED, /* the request was still queued or parked and is removed */
  SCHEDULER_IN_FLIGHT, /* the request was dispatched; it keeps its slot until scheduler_done() */
  SCHEDULER_UNKNOWN,   /* no request has this id */
} scheduler_cancel_t;

/* The part of a summary to the other assigned entries that the scheduler fills. */
typedef struct
{
  uint32_t slots; /* of targets that are in service and not suspect */
  uint32_t free_slots;
  int64_t wait_us[SCHEDULER_CLASS_COUNT]; /* estimated wait of a request behind all queued ones */
  size_t queued[SCHEDULER_CLASS_COUNT];
  bool overloaded[SCHEDULER_CLASS_COUNT];
} scheduler_summary_t;

typedef struct
{
  scheduler_options_t options;
  request_queue_t queues[SCHEDULER_CLASS_COUNT];
  overload_t overloads[SCHEDULER_CLASS_COUNT];
  target_choice_t targets;
  spillover_t spillover;
  GHashTable *requests; /* id -> queued_request_t */
  queued_request_t *parked[SCHEDULER_MAX_PARKED];
  size_t parked_count;
  uint32_t consecutive_urgent_count; /* urgent dispatches since a background one, while background
                                        waits */
  double service_time_us;            /* moving average of the time of a request at a target */
  double urgent_rate;                /* urgent dispatches per second, decayed exponentially */
  int64_t urgent_rate_updated_us;    /* time of urgent_rate */
} scheduler_t;

void scheduler_init (scheduler_t *s, const scheduler_options_t *options);
void scheduler_destroy (scheduler_t *s);

void scheduler_set_target (scheduler_t *s, const target_setting_t *setting);
void scheduler_remove_target (scheduler_t *s, uint64_t target_id);
void scheduler_set_peer (scheduler_t *s, const spillover_peer_t *peer);
void scheduler_remove_peer (scheduler_t *s, uint64_t entry_id);

/* Queues REQUEST, refuses it, or chooses another entry to forward it to. */
scheduler_submit_result_t scheduler_submit (scheduler_t *s, int64_t now_us,
                                            const scheduler_request_t *request);

/* Stores the next dispatch, or the refusal of a queued or parked request that can no longer meet
 * its deadline. Returns false if there is neither. */
bool scheduler_next (scheduler_t *s, int64_t now_us, scheduler_next_result_t *out);

/* Ends a dispatched request and releases its slot. To retry it, submit it again with the same id
 * and deadline, and with the target among the tried ones. */
void scheduler_done (scheduler_t *s, int64_t now_us, uint64_t request_id,
                     const scheduler_outcome_t *outcome);

/* Removes a request that is still queued or parked; does not end one that is in flight. */
scheduler_cancel_t scheduler_cancel (scheduler_t *s, uint64_t request_id);

/* Returns the earliest deadline of the queued and parked requests, or INT64_MAX without any. */
int64_t scheduler_wakeup_us (const scheduler_t *s);

void scheduler_summary (scheduler_t *s, int64_t now_us, scheduler_summary_t *out);
