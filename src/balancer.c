#include "balancer_internal.h"

#include <math.h>
#include <string.h>

#define LATE_LEAST_US 60000
#define LATENCY_GAIN 0.1
#define DEVIATION_SHARE 0.4

/* Targets that have just started take about twice the time. */
#define COLD_FACTOR 2.0

/* What another entry or the target says of its load is forgotten after this time. */
#define REPORT_LIFE_US 400000

/* Weight of a refusal as evidence, in parts of that of a failure: nothing was lost by it. */
#define REFUSAL_SHARE 0.6

/* A request in flight is evidence from this many mean deviations above the mean on, and again each
 * time when the evidence has grown by EVIDENCE_STEP. */
#define OVERDUE_DEVIATIONS 0.5
#define EVIDENCE_STEP 0.7
/* Part of the evidence of a late request that its answer takes back. */
#define LATE_ANSWER_SHARE 0.5

/* Change of the share that may leave the cell, when a target outside is busy or is not. */
#define SPILL_BACKOFF 0.6
#define SPILL_STEP 0.1
#define SPILL_LEAST 0.05

/* Pause after a failed connection, which doubles with each one in a row. */
#define DOWN_US INT64_C (250000)
#define DOWN_DOUBLINGS 3

void
balancer_init (balancer_t *b, const balancer_options_t *options, uint64_t seed)
{
  *b = (balancer_t){ .options = *options };
  rng_init (&b->rng, seed);
  b->targets = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  b->kinds = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  b->flights = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  b->arrivals = g_array_new (FALSE, FALSE, sizeof (rank_arrivals_t));
  list_init (&b->queue);
  fault_prior_init (&b->prior);
  b->spill = 1;
}

void
balancer_destroy (balancer_t *b)
{
  g_clear_pointer (&b->targets, g_hash_table_unref);
  g_clear_pointer (&b->kinds, g_hash_table_unref);
  g_clear_pointer (&b->flights, g_hash_table_unref);
  g_clear_pointer (&b->arrivals, g_array_unref);
}

const char *
balancer_verdict_name (balancer_verdict_t verdict)
{
  static const char *const names[] = { "dispatch", "no_time", "no_target" };
  return names[verdict];
}

kind_latency_t *
balancer_latency (balancer_t *b, uint64_t kind)
{
  kind_latency_t *latency = g_hash_table_lookup (b->kinds, &kind);
  if (latency != NULL)
    return latency;
  latency = g_new0 (kind_latency_t, 1);
  latency->kind = kind;
  latency->mean_us = (double)b->options.default_latency_us;
  latency->deviation_us = latency->mean_us * DEVIATION_SHARE;
  g_hash_table_insert (b->kinds, &latency->kind, latency);
  return latency;
}

static void
sample_latency (balancer_t *b, uint64_t kind, int64_t latency_us)
{
  kind_latency_t *latency = balancer_latency (b, kind);
  double value = (double)latency_us;
  if (!latency->sampled)
    {
      latency->sampled = true;
      latency->mean_us = value;
      latency->deviation_us = value * DEVIATION_SHARE;
      return;
    }
  double error = value - latency->mean_us;
  latency->mean_us += LATENCY_GAIN * error;
  latency->deviation_us += LATENCY_GAIN * (fabs (error) - latency->deviation_us);
}

static int64_t
late_after_us (balancer_t *b, const tracked_request_t *flight, const tracked_target_t *target,
               int64_t now_us)
{
  const kind_latency_t *latency = balancer_latency (b, flight->request.kind);
  double late_us = latency->mean_us + flight->patience * latency->deviation_us;
  if (now_us < target->setting.warm_us)
    late_us *= COLD_FACTOR;
  return MAX ((int64_t)late_us, LATE_LEAST_US);
}

double
balancer_target_fault (const balancer_t *b, const tracked_target_t *target, int64_t now_us)
{
  return target_belief_fault (&target->belief, &b->prior, now_us);
}

/* Takes over an outcome that this entry has seen. */
static void
add_evidence (balancer_t *b, tracked_target_t *target, int64_t now_us, double ratio)
{
  target_belief_add (&target->belief, &b->prior, now_us, ratio, true);
  target->unshared += ratio;
  target->share_due = true;
}

void
balancer_set_target (balancer_t *b, int64_t now_us, const balancer_target_t *setting)
{
  tracked_target_t *target = g_hash_table_lookup (b->targets, &setting->id);
  if (target == NULL)
    {
      target = g_new0 (tracked_target_t, 1);
      target->id = setting->id;
      target_belief_init (&target->belief, &b->prior, now_us);
      target->used_us = now_us;
      g_hash_table_insert (b->targets, &target->id, target);
    }
  target->setting = *setting;
  target->removed = false;
}

static void
free_if_unused (balancer_t *b, tracked_target_t *target)
{
  if (target->removed && target->in_flight == 0)
    g_hash_table_remove (b->targets, &target->id);
}

void
balancer_remove_target (balancer_t *b, uint64_t id)
{
  tracked_target_t *target = g_hash_table_lookup (b->targets, &id);
  if (target == NULL)
    return;
  target->removed = true;
  free_if_unused (b, target);
}

void
balancer_peer_share (balancer_t *b, int64_t now_us, uint64_t peer, const balancer_share_t *share)
{
  tracked_target_t *target = g_hash_table_lookup (b->targets, &share->target_id);
  peer_flight_t *free_place = NULL;
  if (target == NULL)
    return;
  if (share->in_flight > 0)
    target->used_us = now_us;
  if (share->evidence != 0)
    target_belief_add (&target->belief, &b->prior, now_us, share->evidence, false);
  for (size_t i = 0; i < MAX_PEERS; i++)
    {
      peer_flight_t *place = &target->peers[i];
      if (place->peer == peer)
        {
          place->in_flight = share->in_flight;
          return;
        }
      if (place->peer == 0 && free_place == NULL)
        free_place = place;
    }
  if (free_place != NULL)
    *free_place = (peer_flight_t){ peer, share->in_flight };
}

void
balancer_peer_gone (balancer_t *b, uint64_t peer)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      tracked_target_t *target = value;
      for (size_t i = 0; i < MAX_PEERS; i++)
        {
          if (target->peers[i].peer == peer)
            target->peers[i] = (peer_flight_t){ 0, 0 };
        }
    }
}

void
balancer_reported (balancer_t *b, int64_t now_us, uint64_t id, uint32_t busy)
{
  tracked_target_t *target = g_hash_table_lookup (b->targets, &id);
  if (target == NULL)
    return;
  target->reported = busy;
  target->reported_us = now_us;
  if (target->setting.tier == BALANCER_CELL)
    return;
  if (busy >= target->setting.slots)
    b->spill = MAX (b->spill * SPILL_BACKOFF, SPILL_LEAST);
  else
    b->spill = MIN (b->spill + SPILL_STEP, 1);
}

void
balancer_set_tier (balancer_t *b, uint64_t id, balancer_tier_t tier)
{
  tracked_target_t *target = g_hash_table_lookup (b->targets, &id);
  if (target != NULL)
    target->setting.tier = tier;
}

/* Requests that all entries have at the target, as far as this one knows. */
uint32_t
balancer_busy_slots (const tracked_target_t *target, int64_t now_us)
{
  uint32_t busy = target->in_flight;
  for (size_t i = 0; i < MAX_PEERS; i++)
    busy += target->peers[i].in_flight;
  /* Entries of other cells are known from the target's own reports alone. */
  if (target->setting.tier != BALANCER_CELL && now_us - target->reported_us < REPORT_LIFE_US)
    busy = MAX (busy, target->reported);
  return busy;
}

bool
balancer_has_room (const tracked_target_t *target, int64_t now_us)
{
  return !target->removed && now_us >= target->down_until_us
         && balancer_busy_slots (target, now_us) < target->setting.slots;
}

static void
dispatch (balancer_t *b, tracked_request_t *flight, tracked_target_t *target, int64_t now_us,
          balancer_decision_t *out)
{
  double suspicion = balancer_target_fault (b, target, now_us);
  flight->patience = target_belief_patience (suspicion);
  *out = (balancer_decision_t){
    .verdict = BALANCER_DISPATCH,
    .request_id = flight->request.id,
    .target_id = target->id,
    .waited_us = now_us - flight->since_us,
    .expected_us = late_after_us (b, flight, target, now_us),
    .suspicion = suspicion,
  };
  balancer_unqueue (b, flight);
  flight->target = target;
  flight->since_us = now_us;
  target->in_flight++;
  target->used_us = now_us;
  target->share_due = true;
}

bool
balancer_next (balancer_t *b, int64_t now_us, balancer_decision_t *out)
{
  bool urgent = false;
  tracked_request_t *flight = balancer_choose_request (b, now_us, &urgent);
  if (flight == NULL)
    return false;
  tracked_target_t *target = balancer_place (b, flight, now_us);
  if (target == NULL && flight->selective)
    flight = balancer_pass_over (b, flight, now_us, &target);
  if (target == NULL)
    return balancer_refuse_one (b, now_us, out);
  dispatch (b, flight, target, now_us, out);
  b->urgent_in_a_row = urgent ? b->urgent_in_a_row + 1 : 0;
  return true;
}

static void
note_unreachable (tracked_target_t *target, int64_t now_us)
{
  unsigned doublings = MIN (target->refused_connections, DOWN_DOUBLINGS);
  target->refused_connections++;
  target->down_until_us = now_us + (DOWN_US << doublings);
}

bool
balancer_has_place (balancer_t *b, int64_t now_us, const balancer_request_t *request)
{
  const tracked_target_t *target
      = b->queued == b->selective ? balancer_choose_target (b, request, now_us) : NULL;
  return target != NULL && !balancer_was_tried (request, target->id);
}

void
balancer_done (balancer_t *b, int64_t now_us, uint64_t request_id, balancer_outcome_t outcome,
               int64_t latency_us)
{
  tracked_request_t *flight = g_hash_table_lookup (b->flights, &request_id);
  if (flight == NULL || flight->target == NULL)
    return;
  tracked_target_t *target = flight->target;
  target->in_flight--;
  target->share_due = true;
  if (outcome == BALANCER_UNREACHABLE)
    note_unreachable (target, now_us);
  else
    target->refused_connections = 0;
  if (outcome == BALANCER_OK)
    {
      double share = flight->counted_late ? LATE_ANSWER_SHARE : 1;
      add_evidence (b, target, now_us, target_belief_success_ratio () - flight->overdue * share);
      if (now_us >= target->setting.warm_us)
        sample_latency (b, flight->request.kind, latency_us);
    }
  else if (outcome == BALANCER_FAILED || outcome == BALANCER_UNREACHABLE
           || (outcome == BALANCER_LATE && !flight->counted_late))
    add_evidence (b, target, now_us, target_belief_failure_ratio () - flight->overdue);
  else if (outcome == BALANCER_REFUSED)
    {
      /* With a slot that all entries of the cell think free, it is a fault rather than load. */
      if (target->setting.tier == BALANCER_CELL)
        add_evidence (b, target, now_us, REFUSAL_SHARE * target_belief_failure_ratio ());
      balancer_reported (b, now_us, target->id, MAX (target->setting.slots, target->reported));
    }
  g_hash_table_remove (b->flights, &request_id);
  free_if_unused (b, target);
}

/* Gives what the time without an answer says of the target as evidence. */
static void
note_overdue (balancer_t *b, tracked_request_t *flight, int64_t now_us)
{
  const kind_latency_t *latency = balancer_latency (b, flight->request.kind);
  tracked_target_t *target = flight->target;
  double mean_us = latency->mean_us;
  if (now_us < target->setting.warm_us)
    mean_us *= COLD_FACTOR;
  int64_t age_us = now_us - flight->since_us;
  double deviations = ((double)age_us - mean_us) / MAX (latency->deviation_us, 1);
  bool late = age_us >= late_after_us (b, flight, target, now_us);
  /* A time that was never measured is good for the limit alone. */
  if (!late && (deviations < OVERDUE_DEVIATIONS || !latency->sampled))
    return;
  double evidence = target_belief_late_ratio (late ? flight->patience : deviations);
  if (!late && evidence - flight->overdue < EVIDENCE_STEP)
    return;
  flight->counted_late = late;
  add_evidence (b, target, now_us, evidence - flight->overdue);
  flight->overdue = evidence;
}

void
balancer_tick (balancer_t *b, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->flights);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      tracked_request_t *flight = value;
      if (flight->target != NULL && !flight->counted_late)
        note_overdue (b, flight, now_us);
    }
}

void
balancer_take_shares (balancer_t *b, GArray *out)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      tracked_target_t *target = value;
      if (!target->share_due)
        continue;
      target->share_due = false;
      if (target->in_flight == target->shared_flight && target->unshared == 0)
        continue;
      balancer_share_t share = { target->id, target->in_flight, target->unshared };
      target->shared_flight = target->in_flight;
      target->unshared = 0;
      g_array_append_val (out, share);
    }
}

size_t
balancer_busy (const balancer_t *b)
{
  return g_hash_table_size (b->flights);
}

double
balancer_suspicion (const balancer_t *b, int64_t now_us, uint64_t id)
{
  const tracked_target_t *target = g_hash_table_lookup (b->targets, &id);
  return target != NULL ? balancer_target_fault (b, target, now_us) : 1.0;
}
