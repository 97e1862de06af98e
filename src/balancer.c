#include "balancer_internal.h"

#include <math.h>
#include <string.h>

/* A request counts as late no sooner than this after its dispatch. */
#define MIN_LATE_US 60000

/* Weight of a sample in the latency estimate, and the first mean deviation as a fraction of the
 * mean. */
#define LATENCY_GAIN 0.1
#define INITIAL_DEVIATION_RATIO 0.4

/* Latency of a target in its warm-up, as a multiple of the usual one. */
#define WARMUP_LATENCY_FACTOR 2.0

/* The load that a target reported is ignored once the report is older than this. */
#define MAX_REPORT_AGE_US 400000

/* Evidence of a shed request as a fraction of that of a failed one. It weighs less because the
 * request did not run, so nothing was lost. */
#define SHED_EVIDENCE_FACTOR 0.6

/* A request without an answer is evidence once its age exceeds the mean latency by this many mean
 * deviations. The evidence grows with the age; each time it has grown by MIN_EVIDENCE_STEP (a
 * log-likelihood ratio), the growth is added. */
#define MIN_PENDING_DEVIATIONS 0.5
#define MIN_EVIDENCE_STEP 0.7
/* Part of the evidence of a late request that is withdrawn when its answer arrives after all. */
#define LATE_ANSWER_CREDIT 0.5

/* Changes of the share of placements that may use targets outside the cell: it is multiplied by
 * OUTSIDE_SHARE_BACKOFF when such a target reports no free slot, and raised by OUTSIDE_SHARE_STEP
 * when one reports a free slot. It never falls below MIN_OUTSIDE_SHARE. */
#define OUTSIDE_SHARE_BACKOFF 0.6
#define OUTSIDE_SHARE_STEP 0.1
#define MIN_OUTSIDE_SHARE 0.05

/* Pause after a failed connection. It doubles with each consecutive failure, to two seconds. */
#define CONNECT_PAUSE_US INT64_C (250000)
#define MAX_PAUSE_DOUBLINGS 3

void
balancer_init (balancer_t *b, const balancer_options_t *options, uint64_t seed)
{
  *b = (balancer_t){ .options = *options };
  rng_init (&b->rng, seed);
  b->targets = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  b->kinds = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  b->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  b->arrivals = g_array_new (FALSE, FALSE, sizeof (rank_arrivals_t));
  list_init (&b->queue);
  fault_prior_init (&b->prior);
  b->outside_share = 1;
  balancer_value_init (b);
}

void
balancer_destroy (balancer_t *b)
{
  g_clear_pointer (&b->targets, g_hash_table_unref);
  g_clear_pointer (&b->kinds, g_hash_table_unref);
  g_clear_pointer (&b->requests, g_hash_table_unref);
  g_clear_pointer (&b->arrivals, g_array_unref);
  balancer_value_destroy (b);
}

const char *
balancer_verdict_name (balancer_verdict_t verdict)
{
  static const char *const names[]
      = { "dispatch", "no_time", "no_target", "stopping", "low_value", "evicted" };
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
  latency->mean_deviation_us = latency->mean_us * INITIAL_DEVIATION_RATIO;
  g_hash_table_insert (b->kinds, &latency->kind, latency);
  return latency;
}

static void
record_latency (balancer_t *b, uint64_t kind, int64_t latency_us)
{
  kind_latency_t *latency = balancer_latency (b, kind);
  double value = (double)latency_us;
  if (!latency->has_sample)
    {
      latency->has_sample = true;
      latency->mean_us = value;
      latency->mean_deviation_us = value * INITIAL_DEVIATION_RATIO;
      return;
    }
  double error = value - latency->mean_us;
  latency->mean_us += LATENCY_GAIN * error;
  latency->mean_deviation_us += LATENCY_GAIN * (fabs (error) - latency->mean_deviation_us);
}

/* Returns the time after the dispatch from which the request counts as late. */
static int64_t
late_after_us (balancer_t *b, const tracked_request_t *tracked, const tracked_target_t *target,
               int64_t now_us)
{
  const kind_latency_t *latency = balancer_latency (b, tracked->request.kind);
  double late_us = latency->mean_us + tracked->late_deviations * latency->mean_deviation_us;
  if (now_us < target->setting.warmup_end_us)
    late_us *= WARMUP_LATENCY_FACTOR;
  return MAX ((int64_t)late_us, MIN_LATE_US);
}

double
balancer_target_suspicion (const balancer_t *b, const tracked_target_t *target, int64_t now_us)
{
  return target_suspicion_get (&target->suspicion_estimate, &b->prior, now_us);
}

/* Applies evidence from an outcome at this entry, and queues it for the next load report. LLR is
 * the log-likelihood ratio of a fault. */
static void
add_evidence (balancer_t *b, tracked_target_t *target, int64_t now_us, double llr)
{
  target_suspicion_update (&target->suspicion_estimate, &b->prior, now_us, llr, true);
  target->unreported_evidence += llr;
  target->load_report_due = true;
}

void
balancer_set_target (balancer_t *b, int64_t now_us, const balancer_target_t *setting)
{
  tracked_target_t *target = g_hash_table_lookup (b->targets, &setting->id);
  if (target == NULL)
    {
      target = g_new0 (tracked_target_t, 1);
      target->id = setting->id;
      target_suspicion_init (&target->suspicion_estimate, &b->prior, now_us);
      target->last_use_us = now_us;
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
balancer_pause_target (balancer_t *b, int64_t now_us, uint64_t id, int64_t pause_us)
{
  tracked_target_t *target = g_hash_table_lookup (b->targets, &id);
  if (target != NULL)
    target->paused_until_us
        = MAX (target->paused_until_us, now_us + CLAMP (pause_us, 0, BALANCER_MAX_PAUSE_US));
}

void
balancer_apply_load_report (balancer_t *b, int64_t now_us, uint64_t peer,
                            const balancer_load_report_t *report)
{
  tracked_target_t *target = g_hash_table_lookup (b->targets, &report->target_id);
  peer_load_t *unused = NULL;
  if (target == NULL)
    return;
  if (report->in_flight > 0)
    target->last_use_us = now_us;
  if (report->evidence != 0)
    target_suspicion_update (&target->suspicion_estimate, &b->prior, now_us, report->evidence,
                             false);
  for (size_t i = 0; i < MAX_CELL_PEERS; i++)
    {
      peer_load_t *load = &target->peers[i];
      if (load->peer == peer)
        {
          load->in_flight = report->in_flight;
          return;
        }
      if (load->peer == 0 && unused == NULL)
        unused = load;
    }
  if (unused != NULL)
    *unused = (peer_load_t){ peer, report->in_flight };
}

void
balancer_remove_peer (balancer_t *b, uint64_t peer)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      tracked_target_t *target = value;
      for (size_t i = 0; i < MAX_CELL_PEERS; i++)
        {
          if (target->peers[i].peer == peer)
            target->peers[i] = (peer_load_t){ 0, 0 };
        }
    }
}

void
balancer_set_reported_load (balancer_t *b, int64_t now_us, uint64_t id, uint32_t load)
{
  tracked_target_t *target = g_hash_table_lookup (b->targets, &id);
  if (target == NULL)
    return;
  target->reported_load = load;
  target->reported_load_received_us = now_us;
  if (target->setting.locality == BALANCER_LOCALITY_CELL)
    return;
  if (load >= target->setting.slots)
    b->outside_share = MAX (b->outside_share * OUTSIDE_SHARE_BACKOFF, MIN_OUTSIDE_SHARE);
  else
    b->outside_share = MIN (b->outside_share + OUTSIDE_SHARE_STEP, 1);
}

void
balancer_set_locality (balancer_t *b, uint64_t id, balancer_locality_t locality)
{
  tracked_target_t *target = g_hash_table_lookup (b->targets, &id);
  if (target != NULL)
    target->setting.locality = locality;
}

uint32_t
balancer_busy_slots (const tracked_target_t *target, int64_t now_us)
{
  uint32_t busy = target->in_flight;
  for (size_t i = 0; i < MAX_CELL_PEERS; i++)
    busy += target->peers[i].in_flight;
  /* Other cells send no load reports here: their requests are known from the target's answers. */
  if (target->setting.locality != BALANCER_LOCALITY_CELL
      && now_us - target->reported_load_received_us < MAX_REPORT_AGE_US)
    busy = MAX (busy, target->reported_load);
  return busy;
}

bool
balancer_is_available (const tracked_target_t *target, int64_t now_us)
{
  return !target->removed && now_us >= target->unreachable_until_us
         && now_us >= target->paused_until_us;
}

bool
balancer_has_free_slot (const tracked_target_t *target, int64_t now_us)
{
  return balancer_is_available (target, now_us)
         && balancer_busy_slots (target, now_us) < target->setting.slots;
}

static void
dispatch (balancer_t *b, tracked_request_t *tracked, tracked_target_t *target, int64_t now_us,
          balancer_decision_t *out)
{
  double suspicion = balancer_target_suspicion (b, target, now_us);
  tracked->late_deviations = target_suspicion_late_deviations (suspicion);
  *out = (balancer_decision_t){
    .verdict = BALANCER_DISPATCH,
    .request_id = tracked->request.id,
    .target_id = target->id,
    .waited_us = now_us - tracked->state_since_us,
    .late_after_us = late_after_us (b, tracked, target, now_us),
    .suspicion = suspicion,
  };
  balancer_dequeue (b, tracked);
  tracked->target = target;
  tracked->state_since_us = now_us;
  target->in_flight++;
  target->last_use_us = now_us;
  target->load_report_due = true;
}

static bool
decide_in_order (balancer_t *b, int64_t now_us, balancer_decision_t *out)
{
  bool passes_less_urgent = false;
  tracked_request_t *tracked = balancer_choose_request (b, now_us, &passes_less_urgent);
  if (tracked == NULL)
    return false;
  tracked_target_t *target = balancer_place_request (b, tracked, now_us);
  if (target == NULL && tracked->deferred)
    tracked = balancer_choose_other_request (b, tracked, now_us, &target);
  if (target == NULL)
    return balancer_refuse_one (b, now_us, out);
  dispatch (b, tracked, target, now_us, out);
  b->consecutive_urgent_count = passes_less_urgent ? b->consecutive_urgent_count + 1 : 0;
  return true;
}

static bool
decide_by_value (balancer_t *b, int64_t now_us, balancer_decision_t *out)
{
  balancer_value_begin (b, now_us);
  tracked_request_t *tracked = balancer_value_choose_request (b, now_us);
  tracked_target_t *target = tracked != NULL ? balancer_place_request (b, tracked, now_us) : NULL;
  if (target == NULL && tracked != NULL && tracked->deferred)
    tracked = balancer_choose_other_request (b, tracked, now_us, &target);
  if (target != NULL)
    {
      balancer_value_record_dispatch (b, now_us, tracked);
      dispatch (b, tracked, target, now_us, out);
      return true;
    }
  if (balancer_value_refuse_one (b, now_us, out))
    return true;
  balancer_value_end (b, now_us);
  return false;
}

bool
balancer_next (balancer_t *b, int64_t now_us, balancer_decision_t *out)
{
  if (balancer_refuse_for_stop (b, now_us, out))
    return true;
  return b->options.overload_policy == BALANCER_OVERLOAD_VALUE ? decide_by_value (b, now_us, out)
                                                               : decide_in_order (b, now_us, out);
}

void
balancer_set_stop (balancer_t *b, const stop_plan_t *plan)
{
  b->stop = *plan;
}

static void
record_connect_failure (tracked_target_t *target, int64_t now_us)
{
  unsigned doublings = MIN (target->connect_failure_count, MAX_PAUSE_DOUBLINGS);
  target->connect_failure_count++;
  target->unreachable_until_us = now_us + (CONNECT_PAUSE_US << doublings);
}

bool
balancer_can_dispatch (balancer_t *b, int64_t now_us, const balancer_request_t *request)
{
  if (b->queued_count != b->deferred_count || !balancer_ends_before_stop (b, request, now_us))
    return false;
  const tracked_target_t *target = balancer_choose_target (b, request, now_us);
  return target != NULL && !balancer_was_tried (request, target->id);
}

void
balancer_finish (balancer_t *b, int64_t now_us, uint64_t request_id, balancer_outcome_t outcome,
                 int64_t latency_us)
{
  tracked_request_t *tracked = g_hash_table_lookup (b->requests, &request_id);
  if (tracked == NULL || tracked->target == NULL)
    return;
  tracked_target_t *target = tracked->target;
  target->in_flight--;
  target->load_report_due = true;
  if (outcome == BALANCER_UNREACHABLE)
    record_connect_failure (target, now_us);
  else
    target->connect_failure_count = 0;
  if (outcome == BALANCER_OK)
    {
      double credit = tracked->counted_late ? LATE_ANSWER_CREDIT : 1;
      add_evidence (b, target, now_us,
                    target_suspicion_success_llr () - tracked->pending_evidence * credit);
      if (now_us >= target->setting.warmup_end_us)
        record_latency (b, tracked->request.kind, latency_us);
    }
  else if (outcome == BALANCER_FAILED || outcome == BALANCER_UNREACHABLE
           || (outcome == BALANCER_LATE && !tracked->counted_late))
    add_evidence (b, target, now_us, target_suspicion_failure_llr () - tracked->pending_evidence);
  else if (outcome == BALANCER_SHED)
    {
      /* All entries of the cell count this slot as free, so this is a fault rather than load. */
      if (target->setting.locality == BALANCER_LOCALITY_CELL)
        add_evidence (b, target, now_us, SHED_EVIDENCE_FACTOR * target_suspicion_failure_llr ());
      balancer_set_reported_load (b, now_us, target->id,
                                  MAX (target->setting.slots, target->reported_load));
    }
  g_hash_table_remove (b->requests, &request_id);
  free_if_unused (b, target);
}

/* Adds the evidence that the missing answer of TRACKED gives against its target. */
static void
add_pending_evidence (balancer_t *b, tracked_request_t *tracked, int64_t now_us)
{
  const kind_latency_t *latency = balancer_latency (b, tracked->request.kind);
  tracked_target_t *target = tracked->target;
  double mean_us = latency->mean_us;
  if (now_us < target->setting.warmup_end_us)
    mean_us *= WARMUP_LATENCY_FACTOR;
  int64_t age_us = now_us - tracked->state_since_us;
  double deviations = ((double)age_us - mean_us) / MAX (latency->mean_deviation_us, 1);
  bool late = age_us >= late_after_us (b, tracked, target, now_us);
  /* Without a sample the mean is a default, which is only good enough to tell that the request
   * is late. */
  if (!late && (deviations < MIN_PENDING_DEVIATIONS || !latency->has_sample))
    return;
  double evidence = target_suspicion_pending_llr (late ? tracked->late_deviations : deviations);
  if (!late && evidence - tracked->pending_evidence < MIN_EVIDENCE_STEP)
    return;
  tracked->counted_late = late;
  add_evidence (b, target, now_us, evidence - tracked->pending_evidence);
  tracked->pending_evidence = evidence;
}

void
balancer_tick (balancer_t *b, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      tracked_request_t *tracked = value;
      if (tracked->target != NULL && !tracked->counted_late)
        add_pending_evidence (b, tracked, now_us);
    }
}

void
balancer_take_load_reports (balancer_t *b, GArray *out)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      tracked_target_t *target = value;
      if (!target->load_report_due)
        continue;
      target->load_report_due = false;
      if (target->in_flight == target->last_reported_in_flight && target->unreported_evidence == 0)
        continue;
      balancer_load_report_t report
          = { target->id, target->in_flight, target->unreported_evidence };
      target->last_reported_in_flight = target->in_flight;
      target->unreported_evidence = 0;
      g_array_append_val (out, report);
    }
}

size_t
balancer_request_count (const balancer_t *b)
{
  return g_hash_table_size (b->requests);
}

double
balancer_suspicion (const balancer_t *b, int64_t now_us, uint64_t id)
{
  const tracked_target_t *target = g_hash_table_lookup (b->targets, &id);
  return target != NULL ? balancer_target_suspicion (b, target, now_us) : 1.0;
}
