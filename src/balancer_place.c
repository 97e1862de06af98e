#include "balancer_internal.h"

/* A target that nobody has used for this long is tried: what is known of it has aged, and its slots
 * are needed when others fail. At most one request in EXPLORE_EVERY of those that may be repeated
 * and are the most patient goes there, and none while the target very likely has a fault. The floor
 * of the platform asks for requests at 0.7 of the sound targets within 2 s, and a target counts as
 * sound 2 s after a failure of its own. */
#define EXPLORE_IDLE_US INT64_C (1500000)
#define EXPLORE_EVERY 2
#define EXPLORE_MOST_FAULT 0.8
/* Part of a request's worth that is lost if its first target fails and it is sent again. */
#define REPEAT_LOSS 0.6

/* A request waits for a proven target whose slots are busy, rather than to go to a free one at
 * which more than this part of its worth is at risk. The proven one must risk a third of that at
 * most. */
#define RISK_WORTH_WAITING 0.03
#define PROVEN_SHARE 0.33
/* Longest such wait, in mean times of its kind; its objective must stay in reach with twice that
 * time to spare for the answer. */
#define RISK_WAIT_SHARE 0.75
#define RISK_SPARE 2.0
/* Requests that are tried in place of those that wait for a proven target. */
#define MOST_PASSED_OVER 8

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

/* Parts of a request's worth: the transfer to another domain, and the unknown load of a target that
 * other entries use. */
static const double tier_costs[] = {
  [BALANCER_CELL] = 0,
  [BALANCER_DOMAIN] = 0.06,
  [BALANCER_REMOTE] = 0.15,
};

/* Part of a request's worth that is lost when its next attempt fails. */
static double
loss_of_failure (const balancer_request_t *request)
{
  return request->idempotent && request->tried_count == 0 ? REPEAT_LOSS : 1.0;
}

/* Expected loss of sending a request there, in parts of its worth: a failure costs all of it unless
 * it can be repeated, another domain costs the transfer, a nearly full target some time. */
static double
cost_of (balancer_t *b, const tracked_target_t *target, const balancer_request_t *request,
         int64_t now_us, uint32_t busy)
{
  double cost = balancer_target_fault (b, target, now_us) * loss_of_failure (request);
  cost += tier_costs[target->setting.tier];
  if (balancer_was_tried (request, target->id))
    cost += 1.0;
  if (now_us < target->setting.warm_us)
    cost += 0.08;
  cost += 0.05 * busy / MAX (target->setting.slots, 1);
  return cost + 0.02 * rng_unit (&b->rng);
}

/* Returns the target with a free slot that has been idle for longest, if it is to be tried. */
static tracked_target_t *
find_idle_target (const balancer_t *b, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value = NULL;
  tracked_target_t *longest = NULL;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      tracked_target_t *target = value;
      if (target->setting.tier != BALANCER_CELL || now_us - target->used_us < EXPLORE_IDLE_US
          || !balancer_has_room (target, now_us)
          || balancer_target_fault (b, target, now_us) > EXPLORE_MOST_FAULT)
        continue;
      if (longest == NULL || target->used_us < longest->used_us)
        longest = target;
    }
  return longest;
}

/* Returns the target that REQUEST tries because it is idle, or NULL. */
static tracked_target_t *
explore (balancer_t *b, const balancer_request_t *request, int64_t now_us)
{
  if (!request->idempotent || request->tried_count > 0
      || !balancer_is_most_patient (b, now_us, request->rank))
    return NULL;
  if (++b->unexplored < EXPLORE_EVERY)
    return NULL;
  tracked_target_t *target = find_idle_target (b, now_us);
  if (target != NULL)
    b->unexplored = 0;
  return target;
}

/* Returns the best target with a free slot for REQUEST, or NULL. */
tracked_target_t *
balancer_choose_target (balancer_t *b, const balancer_request_t *request, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value = NULL;
  tracked_target_t *best = NULL;
  double best_cost = 0;
  bool may_leave = b->spill >= 1 || rng_unit (&b->rng) < b->spill;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      tracked_target_t *target = value;
      if (!balancer_has_room (target, now_us)
          || (!may_leave && target->setting.tier != BALANCER_CELL))
        continue;
      double cost = cost_of (b, target, request, now_us, balancer_busy_slots (target, now_us));
      if (best == NULL || cost < best_cost)
        {
          best = target;
          best_cost = cost;
        }
    }
  return best;
}

/* Part of the request's worth that is lost to a fault of the target. */
static double
risk_of (const balancer_t *b, const tracked_target_t *target, const balancer_request_t *request,
         int64_t now_us)
{
  return balancer_target_fault (b, target, now_us) * BELIEF_FAULTY_FAILURES
         * loss_of_failure (request);
}

/* Returns whether a slot of a target with at most MOST_RISK is likely free soon. */
static bool
is_proven_target_busy (const balancer_t *b, const balancer_request_t *request, double most_risk,
                       int64_t now_us)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const tracked_target_t *target = value;
      if (!target->removed && now_us >= target->down_until_us
          && target->setting.tier == BALANCER_CELL && !balancer_has_room (target, now_us)
          && !balancer_was_tried (request, target->id)
          && risk_of (b, target, request, now_us) <= most_risk)
        return true;
    }
  return false;
}

/* Returns whether FLIGHT waits for a proven target although TARGET has a free slot. */
static bool
is_worth_waiting (balancer_t *b, const tracked_request_t *flight, const tracked_target_t *target,
                  int64_t now_us)
{
  const balancer_request_t *request = &flight->request;
  double own_us = balancer_latency (b, request->kind)->mean_us;
  double risk = risk_of (b, target, request, now_us);
  return risk > RISK_WORTH_WAITING && (double)(now_us - flight->since_us) < RISK_WAIT_SHARE * own_us
         && (double)(request->goal_us - now_us) > RISK_SPARE * own_us
         && is_proven_target_busy (b, request, PROVEN_SHARE * risk, now_us);
}

/* Returns the target that FLIGHT goes to now, or NULL if it waits. */
tracked_target_t *
balancer_place (balancer_t *b, tracked_request_t *flight, int64_t now_us)
{
  tracked_target_t *target = explore (b, &flight->request, now_us);
  if (target != NULL)
    return target;
  target = balancer_choose_target (b, &flight->request, now_us);
  bool selective = target != NULL && is_worth_waiting (b, flight, target, now_us);
  b->selective += selective - flight->selective;
  flight->selective = selective;
  return selective ? NULL : target;
}

/* Finds a request that is less particular than those before it. */
tracked_request_t *
balancer_pass_over (balancer_t *b, const tracked_request_t *first, int64_t now_us,
                    tracked_target_t **target)
{
  unsigned passed = 0;
  LIST_FOREACH_SAFE (&b->queue, node)
  {
    tracked_request_t *flight = LIST_ENTRY (node, tracked_request_t, node);
    if (flight == first)
      continue;
    *target = balancer_place (b, flight, now_us);
    if (*target != NULL)
      return flight;
    if (++passed >= MOST_PASSED_OVER)
      break;
  }
  return NULL;
}
