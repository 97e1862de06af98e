#include "ejector.h"

#include <stdlib.h>

void
ejector_init (ejector_t *e)
{
  *e = (ejector_t){ 0 };
}

/* Records SETTLED and returns the maximum over one to two times EJECTOR_SHARE_WINDOW_US. */
static uint32_t
update_max_settled (ejector_t *e, int64_t now_us, uint32_t settled)
{
  int64_t age_us = now_us - e->period_start_us;

  if (!e->started || age_us >= EJECTOR_SHARE_WINDOW_US)
    *e = (ejector_t){ .period_start_us = now_us,
                      .previous_period_max = e->period_max,
                      .started = true };

  if (settled > e->period_max)
    e->period_max = settled;
  return e->period_max > e->previous_period_max ? e->period_max : e->previous_period_max;
}

static bool
is_settled (const ejector_target_t *target, int64_t now_us)
{
  return now_us - target->owned_since_us >= EJECTOR_SETTLING_TIME_US;
}

static uint32_t
sum_fresh_peer_slots (const ejector_input_t *input, int64_t now_us)
{
  uint32_t slots = 0;

  for (size_t i = 0; i < input->peer_count; i++)
    {
      if (now_us - input->peers[i].summary_sent_us <= EJECTOR_MAX_SUMMARY_AGE_US)
        slots += input->peers[i].settled_slots;
    }
  return slots;
}

/* Returns ceil (floor * own / (own + peers)), but at most OWN. */
static uint32_t
share_of_floor (uint32_t floor_slots, uint32_t own, uint32_t peer_slots)
{
  uint64_t total = (uint64_t)own + peer_slots;

  if (total == 0)
    return 0;
  uint64_t share = ((uint64_t)floor_slots * own + total - 1) / total;
  return share > own ? own : (uint32_t)share;
}

static double
rank_badness (const ejector_target_t *target)
{
  if (!target->wants_ejection)
    return -1;
  return target->ejected ? target->badness * EJECTOR_SWAP_FACTOR : target->badness;
}

static int
compare_worst_first (const void *left, const void *right)
{
  const ejector_target_t *a = left;
  const ejector_target_t *b = right;
  double difference = rank_badness (b) - rank_badness (a);

  if (difference != 0)
    return difference > 0 ? 1 : -1;
  if (a->id != b->id)
    return a->id < b->id ? -1 : 1;
  return 0;
}

static void
decide_target (ejector_target_t *target, ejector_result_t *result)
{
  bool was_ejected = target->ejected;

  target->ejected
      = target->wants_ejection && result->ejected_slots + target->slots <= result->budget_slots;
  target->action = EJECTOR_NO_CHANGE;
  if (target->ejected)
    result->ejected_slots += target->slots;
  else if (target->wants_ejection)
    result->held_slots += target->slots;

  if (target->ejected && !was_ejected)
    {
      target->action = EJECTOR_EJECT;
      result->ejected_count++;
    }
  if (!target->ejected && was_ejected)
    {
      target->action = EJECTOR_READMIT;
      result->readmitted_count++;
    }
}

ejector_result_t
ejector_update (ejector_t *e, int64_t now_us, const ejector_input_t *input)
{
  ejector_result_t result = { 0 };

  for (size_t i = 0; i < input->target_count; i++)
    {
      result.own_slots += input->targets[i].slots;
      if (is_settled (&input->targets[i], now_us))
        result.settled_slots += input->targets[i].slots;
    }

  uint32_t peer_slots = sum_fresh_peer_slots (input, now_us);
  uint32_t max_settled = update_max_settled (e, now_us, result.settled_slots);
  uint32_t floor_slots = input->floor_slots > 0 ? input->floor_slots : 1;
  uint32_t kept = share_of_floor (floor_slots, max_settled, peer_slots);
  result.total_slots = result.settled_slots + peer_slots;
  result.budget_slots = result.settled_slots > kept ? result.settled_slots - kept : 0;

  if (input->target_count > 0)
    qsort (input->targets, input->target_count, sizeof (ejector_target_t), compare_worst_first);
  for (size_t i = 0; i < input->target_count; i++)
    decide_target (&input->targets[i], &result);
  return result;
}
