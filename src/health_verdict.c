#include <math.h>

#include "health_internal.h"

/* Hysteresis: fractions of the thresholds below which a target leaves the state. */
#define SUSPECT_END_FRACTION 0.5
#define UNHEALTHY_END_FRACTION 0.25

/* A target is ejected at a lower threshold for this long after its readmission. */
#define RECENT_READMISSION_US 20000000

/* Weight at the start of slow start. */
#define MIN_WEIGHT 0.1

/* Interval of probes of a suspect target at sensitivity 1, and what sensitivity 0 adds to it. */
#define SUSPECT_PROBE_INTERVAL_US 50000.0
#define SUSPECT_PROBE_INTERVAL_EXTRA_US 450000.0

/* A target without a request in flight is probed this long after the end of its last request or
 * probe: at sensitivity 1, and what sensitivity 0 adds to it. Between the two the addition grows
 * with the square of 1 - sensitivity. A short delay causes probes in random gaps between requests:
 * at 3 requests/s to a target, one gap in 20 is longer than a second. */
#define LOW_TRAFFIC_PROBE_DELAY_US 250000.0
#define LOW_TRAFFIC_PROBE_DELAY_EXTRA_US 5000000.0

/* The targets of a service without requests for SERVICE_IDLE_TIMEOUT_US are probed at this
 * interval. */
#define SERVICE_IDLE_TIMEOUT_US 5000000
#define IDLE_PROBE_INTERVAL_US 5000000

/* Fraction of the suspect threshold at which a target is already probed like a suspect one. */
#define EARLY_PROBE_FRACTION 0.5

/* Interval of requests for a probe by another entry. */
#define PEER_PROBE_INTERVAL_US 1000000

/* Without a result of another entry for this long, this entry may decide alone, see
 * may_decide_alone(). If no peer has sent a summary for as long, none is asked. */
#define PEER_PROBE_TIMEOUT_US 3000000

/* How long a confirmation by another entry counts, and how long the network of this entry stays
 * suspect. */
#define CONFIRMATION_TTL_US 5000000
#define NETWORK_SUSPECT_PERIOD_US 10000000

/* While a target is suspect, each other target is probed for comparison, every
 * COMPARISON_PROBE_INTERVAL_US, unless it has answered as usual since the target became suspect or
 * within COMPARISON_WINDOW_US, whichever is shorter. If fewer than half of them have answered as
 * usual after COMPARISON_WAIT_US, or if there are none, the fault counts as wide: the whole service
 * or the network of this entry may be slow. Another entry may not have noticed yet that the service
 * is slow, so a wide fault needs a second confirmation, PEER_PROBE_INTERVAL_US later. */
#define COMPARISON_PROBE_INTERVAL_US 100000
#define COMPARISON_WAIT_US 300000
#define COMPARISON_WINDOW_US 500000
#define WIDE_FAULT_CONFIRMATIONS 2

/* The network of this entry stays suspect while the own median latency exceeds that of most targets
 * of peers by this factor. */
#define NETWORK_SLOWER_FACTOR 1.5

/* A probe by another entry confirms a fault above this multiple of the expected latency. */
#define CONFIRMING_LATENCY_FACTOR 2.0

typedef struct
{
  uint32_t in_service; /* own targets that are not ejected */
  uint32_t suspect;    /* of these */
  bool can_ask_peer;   /* another entry has sent a summary within PEER_PROBE_TIMEOUT_US */
} target_counts_t;

static double
ejection_threshold (const health_t *h, int64_t now_us, const health_target_t *target)
{
  const readmission_t *readmission = &target->readmission;
  bool recent = readmission->ejection_count > 0
                && now_us - readmission->readmitted_us < RECENT_READMISSION_US;
  return recent ? HEALTH_READMITTED_FRACTION * h->threshold : h->threshold;
}

static bool
can_ask_peer (const health_t *h, int64_t now_us)
{
  for (guint i = 0; i < h->peers->len; i++)
    {
      const health_peer_t *peer = &g_array_index (h->peers, health_peer_t, i);
      if (now_us - peer->summary_sent_us <= PEER_PROBE_TIMEOUT_US)
        return true;
    }
  return false;
}

static void
update_suspect (health_t *h, int64_t now_us, health_target_t *target, double score)
{
  if (score >= h->suspect_threshold)
    {
      if (!target->suspect)
        target->suspect_since_us = now_us;
      target->suspect = true;
    }
  else if (score < SUSPECT_END_FRACTION * h->suspect_threshold && !target->unhealthy)
    target->suspect = false;
}

/* Returns the time since which the other targets must have answered as usual to count as normal in
 * the comparison with TARGET. */
static int64_t
comparison_start (int64_t now_us, const health_target_t *target)
{
  return MAX (target->suspect_since_us, now_us - COMPARISON_WINDOW_US);
}

static void
extend_comparison (health_t *h, int64_t now_us, const health_target_t *target)
{
  if (!target->suspect || target->unhealthy)
    return;
  int64_t since_us = comparison_start (now_us, target);
  if (h->comparison_start_us == 0 || since_us < h->comparison_start_us)
    h->comparison_start_us = since_us;
}

/* Returns whether the cause may lie outside the target, so that another entry must confirm the
 * fault. */
static bool
needs_peer_probe (const health_t *h, int64_t now_us, const target_counts_t *counts, bool is_wide)
{
  if (is_wide || now_us < h->network_suspect_until_us)
    return true;
  bool many_suspect = 3 * counts->suspect > counts->in_service;
  return many_suspect && (counts->suspect > 1 || counts->in_service == 1);
}

/* Returns whether this entry may eject TARGET without a confirmation: no other entry can answer or
 * none did in time, and at most half of the targets are suspect, so the others show that the
 * network of this entry works. */
static bool
may_decide_alone (int64_t now_us, const health_target_t *target, const target_counts_t *counts)
{
  bool waited = target->peer_probe_first_requested_us > 0
                && now_us - target->peer_probe_first_requested_us >= PEER_PROBE_TIMEOUT_US;
  return (waited || !counts->can_ask_peer) && 2 * counts->suspect <= counts->in_service;
}

/* If a probe by another entry is due, marks it as requested and returns true. */
static bool
try_request_peer_probe (health_target_t *target, int64_t now_us, const target_counts_t *counts)
{
  if (!counts->can_ask_peer)
    return false;
  if (target->peer_probe_requested_us > 0
      && now_us - target->peer_probe_requested_us < PEER_PROBE_INTERVAL_US)
    return false;
  target->peer_probe_requested_us = now_us;
  if (target->peer_probe_first_requested_us == 0)
    target->peer_probe_first_requested_us = now_us;
  return true;
}

static void
update_unhealthy (health_t *h, int64_t now_us, health_target_t *target, double score,
                  const target_counts_t *counts, health_verdict_t *verdict)
{
  double threshold = ejection_threshold (h, now_us, target);

  if (target->unhealthy)
    {
      target->unhealthy = score >= UNHEALTHY_END_FRACTION * threshold;
      return;
    }
  if (score < threshold)
    {
      target->peer_probe_first_requested_us = 0;
      return;
    }
  bool is_wide = !health_others_are_normal (h, target, comparison_start (now_us, target));
  if (is_wide && now_us - target->suspect_since_us < COMPARISON_WAIT_US)
    return;
  bool confirmed = now_us < target->confirmed_until_us
                   && target->confirmation_count >= (is_wide ? WIDE_FAULT_CONFIRMATIONS : 1);
  if (!needs_peer_probe (h, now_us, counts, is_wide) || confirmed
      || (!is_wide && may_decide_alone (now_us, target, counts)))
    target->unhealthy = true;
  else
    verdict->peer_probe_due = try_request_peer_probe (target, now_us, counts);
}

static double
ramp_weight (const health_t *h, int64_t now_us, const health_target_t *target)
{
  double elapsed_fraction
      = (double)(now_us - target->weight_ramp_start_us) / (double)h->options.slow_start_us;
  return fmin (1, MIN_WEIGHT + (1 - MIN_WEIGHT) * elapsed_fraction);
}

static double
low_traffic_probe_delay_us (const health_t *h, int64_t now_us)
{
  double insensitivity = 1 - h->options.sensitivity;

  if (now_us - h->last_request_us >= SERVICE_IDLE_TIMEOUT_US)
    return IDLE_PROBE_INTERVAL_US;
  return LOW_TRAFFIC_PROBE_DELAY_US
         + insensitivity * insensitivity * LOW_TRAFFIC_PROBE_DELAY_EXTRA_US;
}

static bool
probe_is_due (const health_t *h, int64_t now_us, const health_target_t *target, double score)
{
  double insensitivity = 1 - h->options.sensitivity;

  if (!list_is_empty (&target->probes))
    return false;
  if (target->readmission.ejected)
    return readmission_wants_probe (&target->readmission, now_us, target->last_probe_us);
  if (target->suspect || score >= EARLY_PROBE_FRACTION * h->suspect_threshold)
    return (double)(now_us - target->last_probe_us)
           >= SUSPECT_PROBE_INTERVAL_US + insensitivity * SUSPECT_PROBE_INTERVAL_EXTRA_US;
  if (h->comparison_start_us > 0 && target->last_normal_start_us < h->comparison_start_us)
    return now_us - target->last_probe_us >= COMPARISON_PROBE_INTERVAL_US;
  return list_is_empty (&target->attempts)
         && (double)(now_us - target->last_finished_us) >= low_traffic_probe_delay_us (h, now_us);
}

static health_state_t
state_of (const health_target_t *target)
{
  if (target->readmission.ejected)
    return HEALTH_STATE_EJECTED;
  if (target->unhealthy)
    return HEALTH_STATE_UNHEALTHY;
  return target->suspect ? HEALTH_STATE_SUSPECT : HEALTH_STATE_SERVING;
}

static void
fill_verdict (health_t *h, int64_t now_us, health_target_t *target, const target_counts_t *counts,
              health_verdict_t *verdict)
{
  double score = health_highest_score (h, now_us, target);

  *verdict = (health_verdict_t){ .target_id = target->id };
  if (target->readmission.ejected)
    verdict->wants_ejection = !readmission_is_ready (&target->readmission, now_us);
  else
    {
      update_unhealthy (h, now_us, target, score, counts, verdict);
      verdict->wants_ejection = target->unhealthy;
    }
  verdict->state = state_of (target);
  verdict->badness = health_badness (h, now_us, target);
  verdict->weight = target->readmission.ejected ? MIN_WEIGHT : ramp_weight (h, now_us, target);
  verdict->probe_due = probe_is_due (h, now_us, target, score);
  if (verdict->probe_due)
    target->last_probe_us = now_us;
}

size_t
health_verdicts (health_t *h, int64_t now_us, health_verdict_t *out, size_t max)
{
  target_counts_t counts = { .can_ask_peer = can_ask_peer (h, now_us) };

  h->comparison_start_us = 0;
  for (guint i = 0; i < h->targets_by_id->len; i++)
    {
      health_target_t *target = g_ptr_array_index (h->targets_by_id, i);
      if (target->readmission.ejected)
        continue;
      update_suspect (h, now_us, target, health_highest_score (h, now_us, target));
      extend_comparison (h, now_us, target);
      counts.in_service++;
      counts.suspect += target->suspect;
    }
  if (now_us < h->network_suspect_until_us
      && health_is_slower_than_peers (h, now_us, NETWORK_SLOWER_FACTOR))
    h->network_suspect_until_us = now_us + NETWORK_SUSPECT_PERIOD_US;
  size_t stored = MIN (h->targets_by_id->len, max);
  for (size_t i = 0; i < stored; i++)
    fill_verdict (h, now_us, g_ptr_array_index (h->targets_by_id, i), &counts, &out[i]);
  h->changed = false;
  return stored;
}

/* Marks the network of this entry as suspect. The latencies learned so far are too low for a slow
 * network, so they are learned anew. */
static void
suspect_network (health_t *h, int64_t now_us)
{
  if (now_us >= h->network_suspect_until_us)
    {
      for (guint i = 0; i < h->targets_by_id->len; i++)
        {
          health_target_t *target = g_ptr_array_index (h->targets_by_id, i);
          target->sample_count = 0;
          health_reset_scores (target);
        }
    }
  h->network_suspect_until_us = now_us + NETWORK_SUSPECT_PERIOD_US;
  h->reference_computed_us = -1;
}

void
health_peer_probe_done (health_t *h, int64_t now_us, uint64_t target_id,
                        const health_peer_probe_t *result)
{
  health_target_t *target = g_hash_table_lookup (h->targets, &target_id);

  if (target == NULL)
    return;
  double expected_latency_us = result->expected_probe_latency_us > 0
                                   ? (double)result->expected_probe_latency_us
                                   : exp (h->probe_latency_log);
  bool slow = (double)result->latency_us > CONFIRMING_LATENCY_FACTOR * expected_latency_us;
  bool faulty = !result->answered || slow;
  if (faulty && !result->peer_is_normal)
    return;
  target->peer_probe_first_requested_us = 0;
  if (faulty)
    {
      bool repeated = now_us < target->confirmed_until_us;
      target->confirmation_count = repeated ? target->confirmation_count + 1 : 1;
      target->confirmed_until_us = now_us + CONFIRMATION_TTL_US;
      return;
    }
  target->confirmed_until_us = 0;
  target->suspect = false;
  health_reset_scores (target);
  suspect_network (h, now_us);
}
