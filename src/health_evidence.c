#include <math.h>
#include <string.h>

#include "health_internal.h"

/* Most evidence of one kind, latency or failures, that counts at one moment, whether of responses
 * or of requests in flight. A pause of a target delays the requests in all its slots at once, but
 * is only one event. */
#define MAX_CREDIT 6.0

/* Time in which a credit grows by the threshold. Evidence that reaches the threshold is spread over
 * at least the fraction 1 - MAX_CREDIT / threshold of this time, so that a shorter pause of a
 * target causes no ejection. The maximum applies at sensitivity 0; the time falls linearly with the
 * sensitivity, but not below the minimum. */
#define MAX_CREDIT_GROWTH_TIME_US 5e6
#define MIN_CREDIT_GROWTH_TIME_US 2e5

/* Bound of a score as a multiple of the threshold, so that old evidence does not delay the recovery
 * of a target. */
#define MAX_SCORE_FACTOR 2.0

/* Weight of a new result in the badness. It is large because an ejected target gets few results:
 * its probes do not count, only the requests that were in flight at its ejection. Its badness must
 * be comparable with that of a target in service. */
#define BADNESS_GAIN 0.35

/* Lower bound of the failure rate that counts as healthy: at 1 failure in 1000 the scores fall on
 * average. */
#define MIN_FAILURE_RATE 0.001

/* Failure rate that counts as healthy, as a multiple of that of the other targets. */
#define BASELINE_FACTOR 1.5

/* Samples before the mean latency of a target becomes part of the reference. */
#define MIN_SAMPLES 3

/* Age at which the reference is computed again. */
#define MAX_REFERENCE_AGE_US 10000

/* Summaries of peers are ignored once they are older than this. */
#define MAX_PEER_AGE_US 2000000

/* Requests that are assumed for each target of a peer. They weight the failure rate of the peer,
 * whose summary has no count of requests. */
#define PEER_REQUESTS_PER_TARGET 10.0

/* A probe in flight is late above this multiple of the expected probe latency. */
#define LATE_PROBE_FACTOR 4.0

/* Failure rates of an unhealthy target, one for each test. */
static const double failure_rates[HEALTH_FAILURE_TEST_COUNT] = { 0.3, 0.05, 0.012 };

bool
health_is_warm (const health_t *h, int64_t now_us, const health_target_t *target)
{
  return !target->needs_warmup || now_us - target->weight_ramp_start_us >= h->options.slow_start_us;
}

void
health_reset_scores (health_target_t *target)
{
  for (size_t i = 0; i < LATENCY_MODEL_TEST_COUNT; i++)
    target->latency_score[i] = 0;
  for (size_t i = 0; i < HEALTH_FAILURE_TEST_COUNT; i++)
    target->failure_score[i] = 0;
}

/* Returns the logarithm of the mean latency, or of the age of the oldest request in flight if that
 * is larger. */
static double
current_latency_log (int64_t now_us, const health_target_t *target)
{
  const list_node_t *node = list_first (&target->attempts);

  if (node == NULL)
    return target->latency_log;
  const health_attempt_t *oldest = CONTAINER_OF (node, health_attempt_t, node);
  double age_us = (double)(now_us - oldest->started_us);
  return age_us > 1 ? fmax (target->latency_log, log (age_us)) : target->latency_log;
}

static int
compare_reference (const void *left, const void *right)
{
  const health_reference_t *a = left;
  const health_reference_t *b = right;
  return a->latency_log < b->latency_log ? -1 : a->latency_log > b->latency_log;
}

static void
add_own_targets (health_t *h, int64_t now_us)
{
  for (guint i = 0; i < h->targets_by_id->len; i++)
    {
      health_target_t *target = g_ptr_array_index (h->targets_by_id, i);
      target->reference_index = -1;
      if (target->sample_count < MIN_SAMPLES || target->readmission.ejected
          || !health_is_warm (h, now_us, target))
        continue;
      health_reference_t own
          = { .latency_log = current_latency_log (now_us, target), .weight = 1, .target = target };
      g_array_append_val (h->reference, own);
    }
}

static void
add_peers (health_t *h, int64_t now_us)
{
  for (guint i = 0; i < h->peers->len; i++)
    {
      const health_peer_t *peer = &g_array_index (h->peers, health_peer_t, i);
      if (peer->measured_target_count == 0 || peer->median_latency_us <= 0
          || now_us - peer->summary_sent_us > MAX_PEER_AGE_US)
        continue;
      health_reference_t other
          = { .latency_log = log (peer->median_latency_us), .weight = peer->measured_target_count };
      g_array_append_val (h->reference, other);
    }
}

static void
accumulate_weights (health_t *h)
{
  uint32_t all = 0;
  uint32_t own = 0;

  for (guint i = 0; i < h->reference->len; i++)
    {
      health_reference_t *item = &g_array_index (h->reference, health_reference_t, i);
      all += item->weight;
      own += item->target != NULL ? item->weight : 0;
      item->cumulative_weight = all;
      item->cumulative_own_weight = own;
      if (item->target != NULL)
        item->target->reference_index = (int32_t)i;
    }
}

static double
failure_rate (const health_target_t *target)
{
  if (target == NULL || target->requests <= 0)
    return 0;
  return target->failures / target->requests;
}

static void
sum_failures (health_t *h, int64_t now_us)
{
  memset (&h->failure_totals, 0, sizeof (h->failure_totals));
  for (guint i = 0; i < h->targets_by_id->len; i++)
    {
      const health_target_t *target = g_ptr_array_index (h->targets_by_id, i);
      if (target->readmission.ejected)
        continue;
      h->failure_totals.requests += target->requests;
      h->failure_totals.failures += target->failures;
      if (failure_rate (target) > failure_rate (h->failure_totals.worst))
        {
          h->failure_totals.second_worst = h->failure_totals.worst;
          h->failure_totals.worst = target;
        }
      else if (failure_rate (target) > failure_rate (h->failure_totals.second_worst))
        h->failure_totals.second_worst = target;
    }
  for (guint i = 0; i < h->peers->len; i++)
    {
      const health_peer_t *peer = &g_array_index (h->peers, health_peer_t, i);
      if (now_us - peer->summary_sent_us > MAX_PEER_AGE_US)
        continue;
      h->failure_totals.requests += peer->measured_target_count * PEER_REQUESTS_PER_TARGET;
      h->failure_totals.failures
          += peer->measured_target_count * PEER_REQUESTS_PER_TARGET * peer->failure_rate;
    }
}

/* Computes the reference again if it is too old. Latencies of peers are left out while the network
 * of this entry is suspect, because they are not comparable then. */
static void
refresh_reference (health_t *h, int64_t now_us)
{
  if (h->reference_computed_us >= 0 && now_us - h->reference_computed_us < MAX_REFERENCE_AGE_US)
    return;
  g_array_set_size (h->reference, 0);
  add_own_targets (h, now_us);
  if (now_us >= h->network_suspect_until_us)
    add_peers (h, now_us);
  g_array_sort (h->reference, compare_reference);
  accumulate_weights (h);
  sum_failures (h, now_us);
  h->reference_computed_us = now_us;
}

/* The elements of the reference from which a median is computed. */
typedef struct
{
  const health_target_t *excluded; /* a target to leave out, or NULL */
  bool own_only;
} selection_t;

/* Returns the weight of the selected elements of the reference up to and including INDEX. */
static uint32_t
selected_weight (const health_t *h, guint index, const selection_t *selection)
{
  const health_reference_t *item = &g_array_index (h->reference, health_reference_t, index);
  uint32_t weight = selection->own_only ? item->cumulative_own_weight : item->cumulative_weight;
  int32_t excluded = selection->excluded != NULL ? selection->excluded->reference_index : -1;

  return excluded >= 0 && (guint)excluded <= index ? weight - 1 : weight;
}

/* Finds the weighted median by binary search in the cumulative weights. */
static bool
median_latency_log (health_t *h, int64_t now_us, const selection_t *selection, double *out)
{
  refresh_reference (h, now_us);
  guint high = h->reference->len;
  uint32_t total = high > 0 ? selected_weight (h, high - 1, selection) : 0;
  guint low = 0;

  if (total == 0)
    return false;
  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      if (2 * selected_weight (h, middle, selection) >= total)
        high = middle;
      else
        low = middle + 1;
    }
  *out = g_array_index (h->reference, health_reference_t, low).latency_log;
  return true;
}

bool
health_reference_latency_log (health_t *h, int64_t now_us, const health_target_t *target,
                              double *out)
{
  selection_t others = { .excluded = target };
  return median_latency_log (h, now_us, &others, out);
}

bool
health_own_median_latency_log (health_t *h, int64_t now_us, double *out)
{
  selection_t own = { .own_only = true };
  return median_latency_log (h, now_us, &own, out);
}

double
health_expected_probe_latency_log (health_t *h, int64_t now_us, const health_target_t *target)
{
  double reference_latency_log;

  if (h->usual_latency_log == 0
      || !health_reference_latency_log (h, now_us, target, &reference_latency_log))
    return h->probe_latency_log;
  return h->probe_latency_log + fmax (0, reference_latency_log - h->usual_latency_log);
}

bool
health_others_are_normal (const health_t *h, const health_target_t *target, int64_t since_us)
{
  uint32_t others = 0;
  uint32_t normal = 0;

  for (guint i = 0; i < h->targets_by_id->len; i++)
    {
      const health_target_t *other = g_ptr_array_index (h->targets_by_id, i);
      if (other == target || other->readmission.ejected)
        continue;
      others++;
      normal += !other->suspect && other->last_normal_start_us >= since_us;
    }
  return others > 0 && 2 * normal >= others;
}

/* Returns the number of targets of fresh peers whose median latency is below LATENCY_US, or of all
 * fresh peers for INFINITY. */
static uint32_t
peer_weight_below (const health_t *h, int64_t now_us, double latency_us)
{
  uint32_t weight = 0;

  for (guint i = 0; i < h->peers->len; i++)
    {
      const health_peer_t *peer = &g_array_index (h->peers, health_peer_t, i);
      if (now_us - peer->summary_sent_us <= MAX_PEER_AGE_US && peer->median_latency_us < latency_us)
        weight += peer->measured_target_count;
    }
  return weight;
}

bool
health_is_slower_than_peers (health_t *h, int64_t now_us, double factor)
{
  double own_latency_log;

  if (!health_own_median_latency_log (h, now_us, &own_latency_log))
    return false;
  uint32_t all = peer_weight_below (h, now_us, INFINITY);
  return all > 0 && 2 * peer_weight_below (h, now_us, exp (own_latency_log) / factor) > all;
}

double
health_reference_failure_rate (health_t *h, int64_t now_us, const health_target_t *target)
{
  refresh_reference (h, now_us);
  const health_target_t *worst = h->failure_totals.worst;
  double requests = h->failure_totals.requests;
  double failures = h->failure_totals.failures;

  if (target != NULL && !target->readmission.ejected)
    {
      requests -= target->requests;
      failures -= target->failures;
      if (worst == target)
        worst = h->failure_totals.second_worst;
    }
  if (worst != NULL)
    {
      requests -= worst->requests;
      failures -= worst->failures;
    }
  return requests > 0 ? fmax (0, failures) / requests : 0;
}

/* Raises both credits in proportion to the time since the last evidence. */
static void
grow_credits (const health_t *h, int64_t now_us, health_target_t *target)
{
  double insensitivity = 1 - h->options.sensitivity;
  double growth_time_us
      = fmax (MAX_CREDIT_GROWTH_TIME_US * insensitivity, MIN_CREDIT_GROWTH_TIME_US);
  double grown = h->threshold * (double)(now_us - target->credit_updated_us) / growth_time_us;

  target->credit_updated_us = now_us;
  target->latency_credit = fmin (MAX_CREDIT, target->latency_credit + grown);
  target->failure_credit = fmin (MAX_CREDIT, target->failure_credit + grown);
}

static double
add_score (const health_t *h, double score, double ratio)
{
  return fmax (0, fmin (score + ratio, MAX_SCORE_FACTOR * h->threshold));
}

void
health_record_slowness (health_target_t *target, double residual)
{
  target->slowness_log += BADNESS_GAIN * (residual - target->slowness_log);
}

void
health_score_latency (health_t *h, int64_t now_us, health_target_t *target, const double *ratios)
{
  double largest = 0;

  grow_credits (h, now_us, target);
  for (size_t i = 0; i < LATENCY_MODEL_TEST_COUNT; i++)
    {
      double ratio = fmin (ratios[i], target->latency_credit);
      largest = fmax (largest, ratio);
      target->latency_score[i] = add_score (h, target->latency_score[i], ratio);
    }
  target->latency_credit -= largest;
}

void
health_score_outcome (health_t *h, int64_t now_us, health_target_t *target, bool failed)
{
  double baseline = fmax (MIN_FAILURE_RATE,
                          BASELINE_FACTOR * health_reference_failure_rate (h, now_us, target));
  double largest = 0;

  target->recent_failure_rate += BADNESS_GAIN * ((failed ? 1 : 0) - target->recent_failure_rate);
  grow_credits (h, now_us, target);
  for (size_t i = 0; i < HEALTH_FAILURE_TEST_COUNT; i++)
    {
      double rate = failure_rates[i];
      if (baseline > rate / 2)
        {
          target->failure_score[i] = 0;
          continue;
        }
      double ratio = failed ? log (rate / baseline) : log ((1 - rate) / (1 - baseline));
      ratio = fmin (ratio, fmin (LATENCY_MODEL_MAX_LLR, target->failure_credit));
      largest = fmax (largest, ratio);
      target->failure_score[i] = add_score (h, target->failure_score[i], ratio);
    }
  target->failure_credit -= largest;
}

/* Adds the evidence of the requests in flight to SCORES, by test. */
static void
add_pending_requests (health_t *h, int64_t now_us, const health_target_t *target, double *scores)
{
  double reference_latency_log;

  if (list_is_empty (&target->attempts)
      || !health_reference_latency_log (h, now_us, target, &reference_latency_log))
    return;
  LIST_FOREACH (&target->attempts, node)
  {
    const health_attempt_t *attempt = CONTAINER_OF (node, health_attempt_t, node);
    double age_us = (double)(now_us - attempt->started_us);
    /* A request that started later got a timely response, so the cause is this connection or this
     * request, not the target. */
    if (attempt->started_us < target->last_timely_start_us || age_us <= 1)
      continue;
    double residual = log (age_us) - reference_latency_log;
    for (unsigned i = 0; i < LATENCY_MODEL_TEST_COUNT; i++)
      scores[i] += latency_model_pending_llr (&h->model, i, residual);
  }
}

static void
add_pending_probes (health_t *h, int64_t now_us, const health_target_t *target, double *scores)
{
  LIST_FOREACH (&target->probes, node)
  {
    const health_attempt_t *probe = CONTAINER_OF (node, health_attempt_t, node);
    double age_us = (double)(now_us - probe->started_us);
    if (age_us <= LATE_PROBE_FACTOR * exp (health_expected_probe_latency_log (h, now_us, target)))
      continue;
    for (unsigned i = 0; i < LATENCY_MODEL_TEST_COUNT; i++)
      scores[i] += LATENCY_MODEL_MAX_LLR / 2;
  }
}

double
health_badness (health_t *h, int64_t now_us, const health_target_t *target)
{
  const list_node_t *node = list_first (&target->attempts);
  double slowness_log = fmax (0, target->slowness_log);
  double reference_latency_log;

  if (node != NULL && health_reference_latency_log (h, now_us, target, &reference_latency_log))
    {
      const health_attempt_t *oldest = CONTAINER_OF (node, health_attempt_t, node);
      double age_us = (double)(now_us - oldest->started_us) + 1;
      slowness_log = fmax (slowness_log, log (age_us) - reference_latency_log);
    }
  return fmax (target->recent_failure_rate, 1 - exp (-slowness_log));
}

double
health_highest_score (health_t *h, int64_t now_us, const health_target_t *target)
{
  double pending[LATENCY_MODEL_TEST_COUNT] = { 0 };
  double score = 0;

  if (health_is_warm (h, now_us, target))
    {
      add_pending_requests (h, now_us, target, pending);
      add_pending_probes (h, now_us, target, pending);
    }
  for (unsigned i = 0; i < LATENCY_MODEL_TEST_COUNT; i++)
    score = fmax (score, target->latency_score[i] + fmin (pending[i], target->latency_credit));
  for (size_t i = 0; i < HEALTH_FAILURE_TEST_COUNT; i++)
    score = fmax (score, target->failure_score[i]);
  return score;
}
