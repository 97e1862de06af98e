#include "scheduler.h"

#include <math.h>
#include <string.h>

#define US_PER_S 1e6

#define DEFAULT_MAX_QUEUED 1024
#define DEFAULT_SERVICE_TIME_US 50000

/* Weight of a new sample in the mean service time. */
#define SERVICE_TIME_GAIN 0.02

/* A sample is capped at this multiple of the mean, so that one slow target does not cause refusals
 * at the others. */
#define MAX_SERVICE_TIME_FACTOR 4.0

/* Time constant of the exponential decay of the rate of urgent dispatches. */
#define URGENT_RATE_TIME_CONSTANT_US 1000000.0

/* Wait limit of a class, in mean service times; a longer wait is a standing queue. Under overload
 * urgent requests wait at most about half a service time, so that the p99 of their latency stays
 * near the p99 of the service time. */
#define URGENT_WAIT_FACTOR 0.5
#define BACKGROUND_WAIT_FACTOR 8.0

/* Least time before the deadline at which a request is still dispatched, in mean service times.
 * Under overload most requests are dispatched close to their deadline, and work that misses it is
 * wasted. */
#define MIN_TIME_LEFT_FACTOR 1.0
#define MIN_TIME_LEFT_FACTOR_OVERLOADED 2.0

/* Background requests are forwarded only above this wait, in mean service times, because links
 * between failure domains are costly. */
#define BACKGROUND_SPILLOVER_FACTOR 4.0

/* Estimated wait without any slot. Far below INT64_MAX, so that sums with it do not overflow. */
#define UNBOUNDED_WAIT_US (INT64_MAX / 4)

enum
{
  STATE_QUEUED,
  STATE_PARKED,
  STATE_DISPATCHED,
};

void
scheduler_init (scheduler_t *s, const scheduler_options_t *options)
{
  *s = (scheduler_t){ .options = *options };
  for (size_t i = 0; i < SCHEDULER_CLASS_COUNT; i++)
    {
      request_queue_init (&s->queues[i]);
      overload_init (&s->overloads[i]);
      if (s->options.max_queued[i] == 0)
        s->options.max_queued[i] = DEFAULT_MAX_QUEUED;
    }
  target_choice_init (&s->targets, options->seed);
  spillover_init (&s->spillover);
  s->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  s->service_time_us
      = (double)(options->initial_service_time_us > 0 ? options->initial_service_time_us
                                                      : DEFAULT_SERVICE_TIME_US);
}

void
scheduler_destroy (scheduler_t *s)
{
  for (size_t i = 0; i < SCHEDULER_CLASS_COUNT; i++)
    request_queue_destroy (&s->queues[i]);
  target_choice_destroy (&s->targets);
  spillover_destroy (&s->spillover);
  g_hash_table_destroy (s->requests);
}

void
scheduler_set_target (scheduler_t *s, const target_setting_t *setting)
{
  target_choice_set (&s->targets, setting, s->service_time_us);
}

void
scheduler_remove_target (scheduler_t *s, uint64_t target_id)
{
  target_choice_remove (&s->targets, target_id);
}

void
scheduler_set_peer (scheduler_t *s, const spillover_peer_t *peer)
{
  spillover_update (&s->spillover, peer);
}

void
scheduler_remove_peer (scheduler_t *s, uint64_t entry_id)
{
  spillover_remove (&s->spillover, entry_id);
}

/* Returns the slots of the normal targets, or those of the last resort if there are none. */
static uint32_t
capacity_slots (const scheduler_t *s)
{
  uint32_t normal = s->targets.slots[TARGET_NORMAL];
  return normal > 0 ? normal : s->targets.slots[TARGET_LAST_RESORT];
}

static uint32_t
free_slots (const scheduler_t *s)
{
  if (s->targets.slots[TARGET_NORMAL] > 0)
    return s->targets.free_slots[TARGET_NORMAL];
  return s->targets.free_slots[TARGET_LAST_RESORT];
}

static void
decay_urgent_rate (scheduler_t *s, int64_t now_us)
{
  s->urgent_rate
      *= exp ((double)(s->urgent_rate_updated_us - now_us) / URGENT_RATE_TIME_CONSTANT_US);
  s->urgent_rate_updated_us = now_us;
}

static int64_t
wait_limit_us (const scheduler_t *s, unsigned class_index)
{
  double factor = class_index == SCHEDULER_URGENT ? URGENT_WAIT_FACTOR : BACKGROUND_WAIT_FACTOR;
  return (int64_t)(s->service_time_us * factor);
}

static int64_t
spillover_threshold_us (const scheduler_t *s, unsigned class_index)
{
  if (class_index == SCHEDULER_URGENT || capacity_slots (s) == 0)
    return 0;
  return (int64_t)(s->service_time_us * BACKGROUND_SPILLOVER_FACTOR);
}

/* Estimates the wait of a request that has AHEAD_COUNT requests of its class ahead of it. */
static int64_t
estimate_wait_us (scheduler_t *s, int64_t now_us, unsigned class_index, size_t ahead_count)
{
  uint32_t slots = capacity_slots (s);
  double dispatches_needed = (double)ahead_count + 1;

  if (slots == 0)
    return UNBOUNDED_WAIT_US;
  if (s->queues[SCHEDULER_URGENT].length + ahead_count < free_slots (s))
    return 0;

  double per_second = slots * US_PER_S / s->service_time_us;
  if (class_index == SCHEDULER_URGENT)
    return (int64_t)(dispatches_needed * US_PER_S / per_second);

  decay_urgent_rate (s, now_us);
  double background_per_second
      = fmax (per_second - s->urgent_rate, per_second / SCHEDULER_BACKGROUND_PERIOD);
  double urgent_us = (double)s->queues[SCHEDULER_URGENT].length * US_PER_S / per_second;
  return (int64_t)(urgent_us + dispatches_needed * US_PER_S / background_per_second);
}

static int64_t
retry_after_seconds (int64_t wait_us)
{
  int64_t seconds = (wait_us + 999999) / 1000000;
  return seconds < 1 ? 1 : seconds > 60 ? 60 : seconds;
}

static scheduler_submit_result_t
make_refusal (scheduler_reason_t reason, int64_t wait_us)
{
  return (scheduler_submit_result_t){
    .decision = SCHEDULER_REFUSED,
    .reason = reason,
    .retry_after_s = retry_after_seconds (wait_us),
  };
}

static scheduler_reason_t
check_admission (const scheduler_t *s, int64_t now_us, const scheduler_request_t *request,
                 int64_t wait_us)
{
  unsigned class_index = request->class_index;

  if (capacity_slots (s) == 0)
    return SCHEDULER_REASON_NO_TARGET;
  if (s->queues[class_index].length >= s->options.max_queued[class_index])
    return SCHEDULER_REASON_QUEUE_FULL;
  /* With a free slot the estimated service time causes no refusal. If it did, an initial estimate
   * that is too high could never be corrected. */
  int64_t needed_us
      = wait_us > 0 ? wait_us + (int64_t)(s->service_time_us * MIN_TIME_LEFT_FACTOR) : 0;
  if (now_us + needed_us >= request->deadline_us)
    return SCHEDULER_REASON_DEADLINE;
  if (overload_is_limited (&s->overloads[class_index], now_us)
      && wait_us > wait_limit_us (s, class_index))
    return SCHEDULER_REASON_OVERLOAD;
  return SCHEDULER_REASON_NONE;
}

static void
enqueue (scheduler_t *s, int64_t now_us, const scheduler_request_t *request)
{
  queued_request_t *queued = g_new0 (queued_request_t, 1);
  size_t tried_count = MIN (request->tried_count, REQUEST_MAX_TRIED);

  queued->id = request->id;
  queued->class_index = (uint8_t)request->class_index;
  queued->deadline_us = request->deadline_us;
  queued->enqueued_us = now_us;
  queued->tried_count = (uint8_t)tried_count;
  if (tried_count > 0)
    memcpy (queued->tried, request->tried + request->tried_count - tried_count,
            tried_count * sizeof (uint64_t));
  g_hash_table_insert (s->requests, &queued->id, queued);
  request_queue_push (&s->queues[request->class_index], now_us, queued);
}

scheduler_submit_result_t
scheduler_submit (scheduler_t *s, int64_t now_us, const scheduler_request_t *request)
{
  unsigned class_index = request->class_index;
  const request_queue_t *queue = &s->queues[class_index];

  if (g_hash_table_contains (s->requests, &request->id))
    return make_refusal (SCHEDULER_REASON_DUPLICATE, 0);

  size_t ahead_count = request_queue_count_before (queue, now_us, request->deadline_us);
  int64_t wait_us = estimate_wait_us (s, now_us, class_index, ahead_count);
  scheduler_submit_result_t result = { .decision = SCHEDULER_FORWARD };
  if (!request->local_only && wait_us > spillover_threshold_us (s, class_index)
      && spillover_decide (&s->spillover, now_us, class_index, wait_us, s->service_time_us,
                           &result.entry_id))
    return result;

  scheduler_reason_t reason = check_admission (s, now_us, request, wait_us);
  if (reason != SCHEDULER_REASON_NONE)
    return make_refusal (reason, wait_us);
  enqueue (s, now_us, request);
  return (scheduler_submit_result_t){ .decision = SCHEDULER_QUEUED };
}

static void
fill_refusal (scheduler_t *s, int64_t now_us, const queued_request_t *request,
              scheduler_next_result_t *out)
{
  unsigned class_index = request->class_index;
  int64_t wait_us = estimate_wait_us (s, now_us, class_index, s->queues[class_index].length);

  *out = (scheduler_next_result_t){
    .refused = true,
    .request_id = request->id,
    .waited_us = now_us - request->enqueued_us,
    .reason = SCHEDULER_REASON_DEADLINE,
    .retry_after_s = retry_after_seconds (wait_us),
  };
}

static bool
cannot_meet_deadline (const scheduler_t *s, int64_t now_us, const queued_request_t *request)
{
  bool overloaded = s->overloads[request->class_index].overloaded;
  double factor = overloaded ? MIN_TIME_LEFT_FACTOR_OVERLOADED : MIN_TIME_LEFT_FACTOR;

  /* A request that has just been admitted is refused only at its deadline. */
  if (request->enqueued_us == now_us)
    return now_us >= request->deadline_us;
  return now_us + (int64_t)(s->service_time_us * factor) > request->deadline_us;
}

static void
unpark (scheduler_t *s, size_t index)
{
  s->parked_count--;
  memmove (&s->parked[index], &s->parked[index + 1],
           (s->parked_count - index) * sizeof (s->parked[0]));
}

/* Refuses one parked or queued request that can no longer meet its deadline, if there is any. */
static bool
refuse_late (scheduler_t *s, int64_t now_us, scheduler_next_result_t *out)
{
  for (size_t i = 0; i < s->parked_count; i++)
    {
      queued_request_t *request = s->parked[i];
      if (!cannot_meet_deadline (s, now_us, request))
        continue;
      fill_refusal (s, now_us, request, out);
      unpark (s, i);
      g_hash_table_remove (s->requests, &request->id);
      return true;
    }
  for (size_t i = 0; i < SCHEDULER_CLASS_COUNT; i++)
    {
      queued_request_t *request = request_queue_first (&s->queues[i]);
      if (request == NULL || !cannot_meet_deadline (s, now_us, request))
        continue;
      fill_refusal (s, now_us, request, out);
      request_queue_remove (&s->queues[i], request);
      g_hash_table_remove (s->requests, &request->id);
      return true;
    }
  return false;
}

/* Returns whether a first attempt may use a target of last resort: if no target is normal, or if
 * the queue takes the normal targets longer than one service time. Until then waiting for a normal
 * target is faster. */
static bool
may_use_last_resort (const scheduler_t *s)
{
  size_t queued = s->queues[SCHEDULER_URGENT].length + s->queues[SCHEDULER_BACKGROUND].length;
  return queued >= s->targets.slots[TARGET_NORMAL];
}

/* Picks a normal target or, if allowed, one of last resort. */
static choice_target_t *
pick_by_tier (scheduler_t *s, int64_t now_us, const uint64_t *tried, size_t tried_count)
{
  choice_target_t *target
      = target_choice_pick (&s->targets, now_us, TARGET_NORMAL, tried, tried_count);
  if (target == NULL && may_use_last_resort (s))
    target = target_choice_pick (&s->targets, now_us, TARGET_LAST_RESORT, tried, tried_count);
  return target;
}

/* Returns a free target for REQUEST, or NULL if it has to wait. A retry gets a target that it has
 * not tried, even one of last resort. Without such a target, MUST_WAIT is set if an untried normal
 * target is busy; if every normal target has been tried, the retry gets what a first attempt would
 * get. */
static choice_target_t *
pick_target (scheduler_t *s, int64_t now_us, const queued_request_t *request, bool *must_wait)
{
  const uint64_t *tried = request->tried;
  size_t tried_count = request->tried_count;
  choice_target_t *target = pick_by_tier (s, now_us, tried, tried_count);

  *must_wait = false;
  if (target != NULL || tried_count == 0)
    return target;
  target = target_choice_pick (&s->targets, now_us, TARGET_LAST_RESORT, tried, tried_count);
  if (target != NULL)
    return target;
  *must_wait = target_choice_has_untried_normal (&s->targets, tried, tried_count);
  return *must_wait ? NULL : pick_by_tier (s, now_us, NULL, 0);
}

static void
dispatch (scheduler_t *s, int64_t now_us, queued_request_t *request, choice_target_t *target,
          scheduler_next_result_t *out)
{
  target_choice_acquire (&s->targets, target);
  request->state = STATE_DISPATCHED;
  request->target_id = target->setting.id;
  request->dispatched_us = now_us;
  if (request->class_index == SCHEDULER_URGENT)
    {
      decay_urgent_rate (s, now_us);
      s->urgent_rate += US_PER_S / URGENT_RATE_TIME_CONSTANT_US;
      s->consecutive_urgent_count++;
    }
  if (request->class_index == SCHEDULER_BACKGROUND || s->queues[SCHEDULER_BACKGROUND].length == 0)
    s->consecutive_urgent_count = 0;
  *out = (scheduler_next_result_t){
    .request_id = request->id,
    .target_id = target->setting.id,
    .waited_us = now_us - request->enqueued_us,
  };
  overload_record_wait (&s->overloads[request->class_index], now_us, out->waited_us,
                        wait_limit_us (s, request->class_index));
}

static bool
dispatch_parked (scheduler_t *s, int64_t now_us, scheduler_next_result_t *out)
{
  for (size_t i = 0; i < s->parked_count; i++)
    {
      bool must_wait;
      choice_target_t *target = pick_target (s, now_us, s->parked[i], &must_wait);
      if (target == NULL)
        continue;
      queued_request_t *request = s->parked[i];
      unpark (s, i);
      dispatch (s, now_us, request, target, out);
      return true;
    }
  return false;
}

static request_queue_t *
next_queue (scheduler_t *s)
{
  request_queue_t *urgent = &s->queues[SCHEDULER_URGENT];
  request_queue_t *background = &s->queues[SCHEDULER_BACKGROUND];

  if (urgent->length == 0)
    return background;
  if (background->length > 0 && s->consecutive_urgent_count >= SCHEDULER_BACKGROUND_PERIOD - 1)
    return background;
  return urgent;
}

static void
record_empty_queues (scheduler_t *s, int64_t now_us)
{
  for (size_t i = 0; i < SCHEDULER_CLASS_COUNT; i++)
    {
      if (s->queues[i].length == 0)
        overload_record_empty (&s->overloads[i], now_us);
    }
}

bool
scheduler_next (scheduler_t *s, int64_t now_us, scheduler_next_result_t *out)
{
  if (refuse_late (s, now_us, out) || dispatch_parked (s, now_us, out))
    return true;

  for (;;)
    {
      request_queue_t *queue = next_queue (s);
      queued_request_t *request = request_queue_first (queue);
      bool must_wait;
      if (request == NULL)
        break;
      choice_target_t *target = pick_target (s, now_us, request, &must_wait);
      if (target == NULL && must_wait && s->parked_count < SCHEDULER_MAX_PARKED
          && free_slots (s) > 0)
        {
          request_queue_remove (queue, request);
          request->state = STATE_PARKED;
          s->parked[s->parked_count++] = request;
          continue;
        }
      if (target == NULL && must_wait && free_slots (s) > 0)
        target = pick_by_tier (s, now_us, NULL, 0);
      if (target == NULL)
        break;
      request_queue_remove (queue, request);
      dispatch (s, now_us, request, target, out);
      return true;
    }
  record_empty_queues (s, now_us);
  return false;
}

void
scheduler_done (scheduler_t *s, int64_t now_us, uint64_t request_id,
                const scheduler_outcome_t *outcome)
{
  queued_request_t *request = g_hash_table_lookup (s->requests, &request_id);

  if (request == NULL || request->state != STATE_DISPATCHED)
    return;
  double latency_us = outcome->kind == SCHEDULER_DONE_OK ? (double)outcome->latency_us : -1;
  target_choice_release (&s->targets, now_us, request->target_id, latency_us,
                         outcome->kind == SCHEDULER_DONE_SHED);
  if (latency_us >= 0)
    s->service_time_us
        += SERVICE_TIME_GAIN
           * (fmin (latency_us, MAX_SERVICE_TIME_FACTOR * s->service_time_us) - s->service_time_us);
  g_hash_table_remove (s->requests, &request_id);
}

scheduler_cancel_t
scheduler_cancel (scheduler_t *s, uint64_t request_id)
{
  queued_request_t *request = g_hash_table_lookup (s->requests, &request_id);

  if (request == NULL)
    return SCHEDULER_UNKNOWN;
  if (request->state == STATE_DISPATCHED)
    return SCHEDULER_IN_FLIGHT;
  if (request->state == STATE_QUEUED)
    request_queue_remove (&s->queues[request->class_index], request);
  for (size_t i = 0; i < s->parked_count; i++)
    {
      if (s->parked[i] == request)
        {
          unpark (s, i);
          break;
        }
    }
  g_hash_table_remove (s->requests, &request_id);
  return SCHEDULER_CANCELLED;
}

int64_t
scheduler_wakeup_us (const scheduler_t *s)
{
  int64_t earliest_us = INT64_MAX;

  for (size_t i = 0; i < SCHEDULER_CLASS_COUNT; i++)
    {
      const queued_request_t *request = request_queue_first (&s->queues[i]);
      if (request != NULL)
        earliest_us = MIN (earliest_us, request->deadline_us);
    }
  for (size_t i = 0; i < s->parked_count; i++)
    earliest_us = MIN (earliest_us, s->parked[i]->deadline_us);
  return earliest_us;
}

void
scheduler_summary (scheduler_t *s, int64_t now_us, scheduler_summary_t *out)
{
  *out = (scheduler_summary_t){
    .slots = s->targets.slots[TARGET_NORMAL],
    .free_slots = s->targets.free_slots[TARGET_NORMAL],
  };
  for (unsigned i = 0; i < SCHEDULER_CLASS_COUNT; i++)
    {
      out->queued[i] = s->queues[i].length;
      out->wait_us[i] = estimate_wait_us (s, now_us, i, s->queues[i].length);
      out->overloaded[i] = s->overloads[i].overloaded;
    }
}
