#include <math.h>
#include <string.h>

#include "health_target.h"

/* Most evidence of one kind that may be added at one moment, be it of finished responses or of
 * requests in flight: a pause of a target delays all its slots at once, which is one event. */
#define CREDIT_BURST 6.0

/* Time over which the evidence must spread to reach the threshold, for sensitivity 0; it falls
 * linearly to the shortest for sensitivity 1. A pause of a target that is shorter ejects nobody. */
#define PERSISTENCE_US 5e6
#define SHORTEST_PERSISTENCE_US 2e5

/* A score stops growing here, so that a target that recovers is not held by old evidence. */
#define MAX_SCORE_SHARE 2.0

/* Share of a new result in the badness. It is large so that an ejected target, which gets few
 * results, has a badness that compares with that of one in service. */
#define BADNESS_GAIN 0.35

/* Failures of one in a thousand are never evidence. */
#define SMALLEST_FAILURE_RATE 0.001

/* Samples of a target before its mean latency is compared. */
#define MIN_SAMPLES 3

/* Age at which the sorted reference is computed again. */
#define REFERENCE_AGE_US 10000

#define PEER_MAX_AGE_US 2000000

/* Requests per target that the failure rate of a peer stands for. */
#define PEER_REQUESTS 10.0

/* A probe in flight is late at this multiple of the usual probe latency. */
#define LATE_PROBE_FACTOR 4.0

static const double failure_rates[HEALTH_FAILURE_TESTS] = { 0.3, 0.05, 0.012 };

bool
health_is_warm (const health_t *h, int64_t now_us, const health_target_t *target)
{
  return !target->cold || now_us - target->slow_start_us >= h->options.slow_start_us;
}

void
health_reset_scores (health_target_t *target)
{
  for (size_t i = 0; i < LATENCY_MODEL_TESTS; i++)
    target->latency_score[i] = 0;
  for (size_t i = 0; i < HEALTH_FAILURE_TESTS; i++)
    target->failure_score[i] = 0;
}

/* Returns the mean latency, or the age of the oldest request in flight if that is larger. */
static double
current_log (int64_t now_us, const health_target_t *target)
{
  const list_node_t *node = list_first (&target->attempts);

  if (node == NULL)
    return target->latency_log;
  const health_attempt_t *oldest = LIST_ENTRY (node, health_attempt_t, node);
  double age_us = (double)(now_us - oldest->started_us);
  return age_us > 1 ? fmax (target->latency_log, log (age_us)) : target->latency_log;
}

static int
compare_reference (const void *left, const void *right)
{
  const health_reference_t *a = left;
  const health_reference_t *b = right;
  return a->value < b->value ? -1 : a->value > b->value;
}

static void
add_own_targets (health_t *h, int64_t now_us)
{
  for (guint i = 0; i < h->ordered->len; i++)
    {
      health_target_t *target = g_ptr_array_index (h->ordered, i);
      target->reference_index = -1;
      if (target->samples < MIN_SAMPLES || target->readmission.ejected
          || !health_is_warm (h, now_us, target))
        continue;
      health_reference_t own
          = { .value = current_log (now_us, target), .weight = 1, .target = target };
      g_array_append_val (h->reference, own);
    }
}

static void
add_peers (health_t *h, int64_t now_us)
{
  for (guint i = 0; i < h->peers->len; i++)
    {
      const health_peer_t *peer = &g_array_index (h->peers, health_peer_t, i);
      if (peer->targets == 0 || peer->median_latency_us <= 0
          || now_us - peer->taken_us > PEER_MAX_AGE_US)
        continue;
      health_reference_t other
          = { .value = log (peer->median_latency_us), .weight = peer->targets };
      g_array_append_val (h->reference, other);
    }
}

static void
sum_weights (health_t *h)
{
  uint32_t all = 0;
  uint32_t own = 0;

  for (guint i = 0; i < h->reference->len; i++)
    {
      health_reference_t *entry = &g_array_index (h->reference, health_reference_t, i);
      all += entry->weight;
      own += entry->target != NULL ? entry->weight : 0;
      entry->weight_to_here = all;
      entry->own_to_here = own;
      if (entry->target != NULL)
        entry->target->reference_index = (int32_t)i;
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
  memset (&h->failures, 0, sizeof (h->failures));
  for (guint i = 0; i < h->ordered->len; i++)
    {
      const health_target_t *target = g_ptr_array_index (h->ordered, i);
      if (target->readmission.ejected)
        continue;
      h->failures.requests += target->requests;
      h->failures.failures += target->failures;
      if (failure_rate (target) > failure_rate (h->failures.worst))
        {
          h->failures.second = h->failures.worst;
          h->failures.worst = target;
        }
      else if (failure_rate (target) > failure_rate (h->failures.second))
        h->failures.second = target;
    }
  for (guint i = 0; i < h->peers->len; i++)
    {
      const health_peer_t *peer = &g_array_index (h->peers, health_peer_t, i);
      if (now_us - peer->taken_us > PEER_MAX_AGE_US)
        continue;
      h->failures.requests += peer->targets * PEER_REQUESTS;
      h->failures.failures += peer->targets * PEER_REQUESTS * peer->failure_rate;
    }
}

/* While the own link is suspect, latencies of other entries are no measure for this one. */
static void
refresh_reference (health_t *h, int64_t now_us)
{
  if (h->reference_us >= 0 && now_us - h->reference_us < REFERENCE_AGE_US)
    return;
  g_array_set_size (h->reference, 0);
  add_own_targets (h, now_us);
  if (now_us >= h->link_suspect_until_us)
    add_peers (h, now_us);
  g_array_sort (h->reference, compare_reference);
  sum_weights (h);
  sum_failures (h, now_us);
  h->reference_us = now_us;
}

/* Which values of the reference a median is taken of. */
typedef struct
{
  const health_target_t *without; /* one target that does not count */
  bool own_only;
} selection_t;

/* Returns the selected weight of the reference up to INDEX. */
static uint32_t
selected_to (const health_t *h, guint index, const selection_t *selection)
{
  const health_reference_t *entry = &g_array_index (h->reference, health_reference_t, index);
  uint32_t weight = selection->own_only ? entry->own_to_here : entry->weight_to_here;
  int32_t without = selection->without != NULL ? selection->without->reference_index : -1;

  return without >= 0 && (guint)without <= index ? weight - 1 : weight;
}

/* Finds the median by binary search in the sums. */
static bool
median_log (health_t *h, int64_t now_us, const selection_t *selection, double *out)
{
  refresh_reference (h, now_us);
  guint high = h->reference->len;
  uint32_t total = high > 0 ? selected_to (h, high - 1, selection) : 0;
  guint low = 0;

  if (total == 0)
    return false;
  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      if (2 * selected_to (h, middle, selection) >= total)
        high = middle;
      else
        low = middle + 1;
    }
  *out = g_array_index (h->reference, health_reference_t, low).value;
  return true;
}

bool
health_reference_log (health_t *h, int64_t now_us, const health_target_t *target, double *out)
{
  selection_t others = { .without = target };
  return median_log (h, now_us, &others, out);
}

bool
health_own_median_log (health_t *h, int64_t now_us, double *out)
{
  selection_t own = { .own_only = true };
  return median_log (h, now_us, &own, out);
}

double
health_probe_log (health_t *h, int64_t now_us, const health_target_t *target)
{
  double reference_log;

  if (h->usual_log == 0 || !health_reference_log (h, now_us, target, &reference_log))
    return h->probe_log;
  return h->probe_log + fmax (0, reference_log - h->usual_log);
}

bool
health_others_are_normal (const health_t *h, const health_target_t *target, int64_t since_us)
{
  uint32_t others = 0;
  uint32_t normal = 0;

  for (guint i = 0; i < h->ordered->len; i++)
    {
      const health_target_t *other = g_ptr_array_index (h->ordered, i);
      if (other == target || other->readmission.ejected)
        continue;
      others++;
      normal += !other->suspect && other->last_normal_start_us >= since_us;
    }
  return others > 0 && 2 * normal >= others;
}

/* Returns the weight of the fresh peers whose median is below VALUE, or of all for INFINITY. */
static uint32_t
peer_weight_below (const health_t *h, int64_t now_us, double value)
{
  uint32_t weight = 0;

  for (guint i = 0; i < h->peers->len; i++)
    {
      const health_peer_t *peer = &g_array_index (h->peers, health_peer_t, i);
      if (now_us - peer->taken_us <= PEER_MAX_AGE_US && peer->median_latency_us < value)
        weight += peer->targets;
    }
  return weight;
}

bool
health_is_slower_than_peers (health_t *h, int64_t now_us, double factor)
{
  double own_log;

  if (!health_own_median_log (h, now_us, &own_log))
    return false;
  uint32_t all = peer_weight_below (h, now_us, INFINITY);
  return all > 0 && 2 * peer_weight_below (h, now_us, exp (own_log) / factor) > all;
}

double
health_reference_failures (health_t *h, int64_t now_us, const health_target_t *target)
{
  refresh_reference (h, now_us);
  const health_target_t *worst = h->failures.worst;
  double requests = h->failures.requests;
  double failures = h->failures.failures;

  if (target != NULL && !target->readmission.ejected)
    {
      requests -= target->requests;
      failures -= target->failures;
      if (worst == target)
        worst = h->failures.second;
    }
  if (worst != NULL)
    {
      requests -= worst->requests;
      failures -= worst->failures;
    }
  return requests > 0 ? fmax (0, failures) / requests : 0;
}

/* Lets both credits grow with the time since the last evidence. */
static void
grow_credits (const health_t *h, int64_t now_us, health_target_t *target)
{
  double missing = 1 - h->options.sensitivity;
  double spread_us = fmax (PERSISTENCE_US * missing, SHORTEST_PERSISTENCE_US);
  double grown = h->threshold * (double)(now_us - target->credit_us) / spread_us;

  target->credit_us = now_us;
  target->latency_credit = fmin (CREDIT_BURST, target->latency_credit + grown);
  target->failure_credit = fmin (CREDIT_BURST, target->failure_credit + grown);
}

static double
add_score (const health_t *h, double score, double ratio)
{
  return fmax (0, fmin (score + ratio, MAX_SCORE_SHARE * h->threshold));
}

void
health_note_slowness (health_target_t *target, double residual)
{
  target->slowness_log += BADNESS_GAIN * (residual - target->slowness_log);
}

void
health_score_latency (health_t *h, int64_t now_us, health_target_t *target, const double *ratios)
{
  double largest = 0;

  grow_credits (h, now_us, target);
  for (size_t i = 0; i < LATENCY_MODEL_TESTS; i++)
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
  double base = fmax (SMALLEST_FAILURE_RATE, 1.5 * health_reference_failures (h, now_us, target));
  double largest = 0;

  target->failure_share += BADNESS_GAIN * ((failed ? 1 : 0) - target->failure_share);
  grow_credits (h, now_us, target);
  for (size_t i = 0; i < HEALTH_FAILURE_TESTS; i++)
    {
      double rate = failure_rates[i];
      if (base > rate / 2)
        {
          target->failure_score[i] = 0;
          continue;
        }
      double ratio = failed ? log (rate / base) : log ((1 - rate) / (1 - base));
      ratio = fmin (ratio, fmin (LATENCY_MODEL_MAX_LLR, target->failure_credit));
      largest = fmax (largest, ratio);
      target->failure_score[i] = add_score (h, target->failure_score[i], ratio);
    }
  target->failure_credit -= largest;
}

/* Adds the evidence of the requests in flight to the scores by test. */
static void
add_pending_requests (health_t *h, int64_t now_us, const health_target_t *target, double *scores)
{
  double reference_log;

  if (list_is_empty (&target->attempts)
      || !health_reference_log (h, now_us, target, &reference_log))
    return;
  LIST_FOREACH (&target->attempts, node)
  {
    const health_attempt_t *attempt = LIST_ENTRY (node, health_attempt_t, node);
    double age_us = (double)(now_us - attempt->started_us);
    /* A request that started later was answered in time: this one is on a silent connection or is
     * long by itself. */
    if (attempt->started_us < target->last_good_start_us || age_us <= 1)
      continue;
    double residual = log (age_us) - reference_log;
    for (unsigned i = 0; i < LATENCY_MODEL_TESTS; i++)
      scores[i] += latency_model_pending (&h->model, i, residual);
  }
}

static void
add_pending_probes (health_t *h, int64_t now_us, const health_target_t *target, double *scores)
{
  LIST_FOREACH (&target->probes, node)
  {
    const health_attempt_t *probe = LIST_ENTRY (node, health_attempt_t, node);
    double age_us = (double)(now_us - probe->started_us);
    if (age_us <= LATE_PROBE_FACTOR * exp (health_probe_log (h, now_us, target)))
      continue;
    for (unsigned i = 0; i < LATENCY_MODEL_TESTS; i++)
      scores[i] += LATENCY_MODEL_MAX_LLR / 2;
  }
}

double
health_badness (health_t *h, int64_t now_us, const health_target_t *target)
{
  const list_node_t *node = list_first (&target->attempts);
  double slowness_log = fmax (0, target->slowness_log);
  double reference_log;

  if (node != NULL && health_reference_log (h, now_us, target, &reference_log))
    {
      const health_attempt_t *oldest = LIST_ENTRY (node, health_attempt_t, node);
      double age_us = (double)(now_us - oldest->started_us) + 1;
      slowness_log = fmax (slowness_log, log (age_us) - reference_log);
    }
  return fmax (target->failure_share, 1 - exp (-slowness_log));
}

double
health_total_score (health_t *h, int64_t now_us, const health_target_t *target)
{
  double pending[LATENCY_MODEL_TESTS] = { 0 };
  double score = 0;

  if (health_is_warm (h, now_us, target))
    {
      add_pending_requests (h, now_us, target, pending);
      add_pending_probes (h, now_us, target, pending);
    }
  for (unsigned i = 0; i < LATENCY_MODEL_TESTS; i++)
    score = fmax (score, target->latency_score[i] + fmin (pending[i], target->latency_credit));
  for (size_t i = 0; i < HEALTH_FAILURE_TESTS; i++)
    score = fmax (score, target->failure_score[i]);
  return score;
}
