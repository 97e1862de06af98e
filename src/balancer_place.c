#include "balancer_internal.h"

/* A target that no entry has used for this long is explored: its suspicion has become uncertain,
 * and its slots are needed when other targets fail. At most one in EXPLORE_INTERVAL placements
 * of the least urgent idempotent requests explores, and never a target above MAX_EXPLORE_SUSPICION.
 * A service that gets no idempotent requests is explored by the others, with the second bounds: a
 * failed attempt loses such a request, so suspect targets are left out, and a shorter idle time
 * finds targets that were healthy a moment ago.
 * The idle time is below two seconds because the platform requires that 0.7 of the healthy targets
 * get requests within two seconds. The platform counts a target as healthy again two seconds after
 * the target itself failed. */
#define EXPLORE_IDLE_US INT64_C (1500000)
#define EXPLORE_INTERVAL 2
#define MAX_EXPLORE_SUSPICION 0.8
#define EXPLORE_IDLE_ONCE_US INT64_C (800000)
#define EXPLORE_INTERVAL_ONCE 4
#define MAX_EXPLORE_SUSPICION_ONCE 0.2
/* Part of a request's worth that is lost if its first attempt fails and it is retried. */
#define RETRY_LOSS 0.6

/* A request is deferred if its fault_loss() at the best free target exceeds MIN_DEFER_LOSS and a
 * preferred target is busy: one whose fault_loss() is at most MAX_PREFERRED_LOSS_RATIO of that. */
#define MIN_DEFER_LOSS 0.03
#define MAX_PREFERRED_LOSS_RATIO 0.33
/* Longest time that a request is deferred, and least time that must remain until its goal so that
 * the answer can still meet it, in mean latencies of its kind. */
#define MAX_DEFER_LATENCIES 0.75
#define MIN_GOAL_LATENCIES 2.0
/* Maximum number of requests that are checked for a dispatch in place of a deferred one. */
#define MAX_OTHER_REQUESTS 8

/* Added to the expected loss, as a fraction of a request's worth: for a target that it has already
 * tried, for one in its warm-up, for full load (in proportion to the busy slots), and at random. */
#define TRIED_LOSS 1.0
#define WARMUP_LOSS 0.08
#define FULL_LOAD_LOSS 0.05
#define MAX_RANDOM_LOSS 0.02

bool
balancer_was_tried (const balancer_request_t *request, uint64_t id)
{
  for (unsigned i = 0; i < MIN (request->tried_count, BALANCER_MAX_TRIED); i++)
    {
      if (request->tried[i] == id)
        return true;
    }
  return false;
}

/* Added to the expected loss by locality, as a fraction of a request's worth, for the transfer to
 * another failure domain and for the unknown load of a target that other cells use. */
static const double locality_losses[] = {
  [BALANCER_LOCALITY_CELL] = 0,
  [BALANCER_LOCALITY_DOMAIN] = 0.06,
  [BALANCER_LOCALITY_REMOTE] = 0.15,
};

/* Returns the part of a request's worth that is lost if its next attempt fails. */
static double
failure_loss (const balancer_request_t *request)
{
  return request->idempotent && request->tried_count == 0 ? RETRY_LOSS : 1.0;
}

/* Returns the expected loss of sending REQUEST to TARGET, as a fraction of its worth. A failure
 * loses all of it unless it can be retried. Another failure domain, a warm-up and a high load cost
 * time. The random part spreads requests over targets with nearly equal losses. */
static double
expected_loss (balancer_t *b, const tracked_target_t *target, const balancer_request_t *request,
               int64_t now_us, uint32_t busy)
{
  double loss = balancer_target_suspicion (b, target, now_us) * failure_loss (request);
  loss += locality_losses[target->setting.locality];
  if (balancer_was_tried (request, target->id))
    loss += TRIED_LOSS;
  if (now_us < target->setting.warmup_end_us)
    loss += WARMUP_LOSS;
  loss += FULL_LOAD_LOSS * busy / MAX (target->setting.slots, 1);
  return loss + MAX_RANDOM_LOSS * rng_uniform_double (&b->rng);
}

/* Returns the longest idle target of those unused since BEFORE_US with at most MAX_SUSPICION, or
 * NULL. */
static tracked_target_t *
find_idle_target (const balancer_t *b, int64_t now_us, int64_t before_us, double max_suspicion)
{
  GHashTableIter iter;
  gpointer value = NULL;
  tracked_target_t *longest_idle = NULL;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      tracked_target_t *target = value;
      if (target->setting.locality != BALANCER_LOCALITY_CELL || target->last_use_us > before_us
          || !balancer_has_free_slot (target, now_us)
          || balancer_target_suspicion (b, target, now_us) > max_suspicion)
        continue;
      if (longest_idle == NULL || target->last_use_us < longest_idle->last_use_us)
        longest_idle = target;
    }
  return longest_idle;
}

/* Returns the idle target that REQUEST explores, or NULL. */
static tracked_target_t *
choose_idle_target (balancer_t *b, const balancer_request_t *request, int64_t now_us)
{
  unsigned interval = request->idempotent ? EXPLORE_INTERVAL : EXPLORE_INTERVAL_ONCE;
  if (request->tried_count > 0
      || (request->idempotent ? !balancer_is_least_urgent (b, now_us, request->rank)
                              : balancer_has_idempotent_requests (b, now_us)))
    return NULL;
  if (++b->placements_since_exploration < interval)
    return NULL;
  tracked_target_t *target
      = request->idempotent
            ? find_idle_target (b, now_us, now_us - EXPLORE_IDLE_US, MAX_EXPLORE_SUSPICION)
            : find_idle_target (b, now_us, now_us - EXPLORE_IDLE_ONCE_US,
                                MAX_EXPLORE_SUSPICION_ONCE);
  if (target != NULL)
    b->placements_since_exploration = 0;
  return target;
}

tracked_target_t *
balancer_choose_target (balancer_t *b, const balancer_request_t *request, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value = NULL;
  tracked_target_t *best = NULL;
  double best_loss = 0;
  bool outside_allowed = b->outside_share >= 1 || rng_uniform_double (&b->rng) < b->outside_share;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      tracked_target_t *target = value;
      if (!balancer_has_free_slot (target, now_us)
          || (!outside_allowed && target->setting.locality != BALANCER_LOCALITY_CELL))
        continue;
      double loss
          = expected_loss (b, target, request, now_us, balancer_busy_slots (target, now_us));
      if (best == NULL || loss < best_loss)
        {
          best = target;
          best_loss = loss;
        }
    }
  return best;
}

/* Returns the part of the request's worth that a fault of TARGET is expected to lose. */
static double
fault_loss (const balancer_t *b, const tracked_target_t *target, const balancer_request_t *request,
            int64_t now_us)
{
  return balancer_target_suspicion (b, target, now_us) * FAULTY_FAILURE_RATE
         * failure_loss (request);
}

/* Returns whether all slots are in use at an untried target of the cell whose fault_loss() is at
 * most MAX_LOSS: one of its slots is likely free soon. */
static bool
is_preferred_target_busy (const balancer_t *b, const balancer_request_t *request, double max_loss,
                          int64_t now_us)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const tracked_target_t *target = value;
      if (balancer_is_available (target, now_us)
          && target->setting.locality == BALANCER_LOCALITY_CELL
          && !balancer_has_free_slot (target, now_us) && !balancer_was_tried (request, target->id)
          && fault_loss (b, target, request, now_us) <= max_loss)
        return true;
    }
  return false;
}

/* Returns whether TRACKED should wait for a busy target although TARGET has a free slot. */
static bool
should_defer (balancer_t *b, const tracked_request_t *tracked, const tracked_target_t *target,
              int64_t now_us)
{
  const balancer_request_t *request = &tracked->request;
  double mean_latency_us = balancer_latency (b, request->kind)->mean_us;
  double loss = fault_loss (b, target, request, now_us);
  return loss > MIN_DEFER_LOSS
         && (double)(now_us - tracked->state_since_us) < MAX_DEFER_LATENCIES * mean_latency_us
         && (double)(request->goal_us - now_us) > MIN_GOAL_LATENCIES * mean_latency_us
         && is_preferred_target_busy (b, request, MAX_PREFERRED_LOSS_RATIO * loss, now_us);
}

tracked_target_t *
balancer_place_request (balancer_t *b, tracked_request_t *tracked, int64_t now_us)
{
  tracked_target_t *target = choose_idle_target (b, &tracked->request, now_us);
  if (target != NULL)
    return target;
  target = balancer_choose_target (b, &tracked->request, now_us);
  bool deferred = target != NULL && should_defer (b, tracked, target, now_us);
  b->deferred_count += deferred - tracked->deferred;
  tracked->deferred = deferred;
  return deferred ? NULL : target;
}

tracked_request_t *
balancer_choose_other_request (balancer_t *b, const tracked_request_t *first, int64_t now_us,
                               tracked_target_t **target)
{
  unsigned checked_count = 0;
  LIST_FOREACH_SAFE (&b->queue, node)
  {
    tracked_request_t *tracked = CONTAINER_OF (node, tracked_request_t, node);
    if (tracked == first)
      continue;
    *target = balancer_place_request (b, tracked, now_us);
    if (*target != NULL)
      return tracked;
    if (++checked_count >= MAX_OTHER_REQUESTS)
      break;
  }
  return NULL;
}
