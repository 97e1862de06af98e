#include "health.h"

#include <math.h>
#include <string.h>

#include "health_internal.h"

#define DEFAULT_SLOW_START_US 10000000

/* Scores at which a target becomes unhealthy, for sensitivity 0 and 1. A CUSUM of exact
 * log-likelihood ratios raises a false alarm at most once in exp(threshold) samples. */
#define THRESHOLD_INSENSITIVE 24.0
#define THRESHOLD_SENSITIVE 6.0

/* Fraction of the threshold at which a target becomes suspect. */
#define SUSPECT_FRACTION 0.35

/* Weights of a new sample in moving averages: the latency of a target and the usual latency of the
 * service. */
#define LATENCY_GAIN 0.15
#define USUAL_LATENCY_GAIN 0.001

/* Step of the running median of probe latencies, in logarithms. */
#define PROBE_LATENCY_STEP 0.02
#define INITIAL_PROBE_LATENCY_US 25000.0

/* The counts of requests and failures are halved at this number of requests. */
#define MAX_COUNTED_REQUESTS 100.0

/* Log-likelihood ratio of a probe: PROBE_LLR_SLOPE times its residual minus PROBE_LLR_OFFSET. The
 * residual is the logarithm of its latency relative to the expected one. The hypotheses are a
 * median of twice the expected latency and one of the expected latency, both log-normal with a
 * standard deviation of the logarithm of 0.5. */
#define PROBE_LLR_SLOPE 2.77
#define PROBE_LLR_OFFSET 0.96

/* Below this residual a response is timely: it took less than twice the reference latency. */
#define MAX_TIMELY_RESIDUAL M_LN2

/* A target is normal only if it gave a usual answer to a request or probe that started within this
 * time. */
#define NORMAL_WINDOW_US 1000000

/* A successful probe is timely below this multiple of the expected latency. A probe of an ejected
 * target must be timely to count for its readmission. */
#define MAX_TIMELY_PROBE_FACTOR 2.0

void
health_configure (health_t *h, const health_options_t *options)
{
  double sensitivity = fmax (0, fmin (1, options->sensitivity));

  h->options = *options;
  h->options.sensitivity = sensitivity;
  if (h->options.slow_start_us <= 0)
    h->options.slow_start_us = DEFAULT_SLOW_START_US;
  h->threshold
      = THRESHOLD_INSENSITIVE + sensitivity * (THRESHOLD_SENSITIVE - THRESHOLD_INSENSITIVE);
  h->suspect_threshold = SUSPECT_FRACTION * h->threshold;
}

void
health_init (health_t *h, const health_options_t *options)
{
  *h = (health_t){ .reference_computed_us = -1,
                   .probe_latency_log = log (INITIAL_PROBE_LATENCY_US) };
  health_configure (h, options);
  h->targets = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  h->targets_by_id = g_ptr_array_new ();
  h->peers = g_array_new (FALSE, TRUE, sizeof (health_peer_t));
  h->reference = g_array_new (FALSE, TRUE, sizeof (health_reference_t));
  latency_model_init (&h->model);
}

void
health_destroy (health_t *h)
{
  g_ptr_array_free (h->targets_by_id, TRUE);
  g_hash_table_destroy (h->targets);
  g_array_free (h->peers, TRUE);
  g_array_free (h->reference, TRUE);
}

static health_target_t *
find_target (const health_t *h, uint64_t target_id)
{
  return g_hash_table_lookup (h->targets, &target_id);
}

static const health_target_t *
target_at (const health_t *h, guint position)
{
  return g_ptr_array_index (h->targets_by_id, position);
}

void
health_add_target (health_t *h, int64_t now_us, uint64_t target_id)
{
  if (find_target (h, target_id) != NULL)
    return;
  health_target_t *target = g_new0 (health_target_t, 1);
  target->id = target_id;
  list_init (&target->attempts);
  list_init (&target->probes);
  target->weight_ramp_start_us = now_us;
  target->credit_updated_us = now_us;
  target->last_finished_us = now_us;
  target->needs_warmup = true;
  target->reference_index = -1;
  g_hash_table_insert (h->targets, &target->id, target);

  guint position = 0;
  while (position < h->targets_by_id->len && target_at (h, position)->id < target_id)
    position++;
  g_ptr_array_insert (h->targets_by_id, (gint)position, target);
}

static void
detach_attempts (list_t *attempts)
{
  list_node_t *node;
  while ((node = list_pop_front (attempts)) != NULL)
    CONTAINER_OF (node, health_attempt_t, node)->target = NULL;
}

void
health_remove_target (health_t *h, uint64_t target_id)
{
  health_target_t *target = find_target (h, target_id);

  if (target == NULL)
    return;
  detach_attempts (&target->attempts);
  detach_attempts (&target->probes);
  g_ptr_array_remove (h->targets_by_id, target);
  g_array_set_size (h->reference, 0);
  memset (&h->failure_totals, 0, sizeof (h->failure_totals));
  g_hash_table_remove (h->targets, &target_id);
  h->reference_computed_us = -1;
}

void
health_set_peer (health_t *h, const health_peer_t *peer)
{
  for (guint i = 0; i < h->peers->len; i++)
    {
      health_peer_t *known = &g_array_index (h->peers, health_peer_t, i);
      if (known->entry_id != peer->entry_id)
        continue;
      if (peer->summary_sent_us >= known->summary_sent_us)
        *known = *peer;
      return;
    }
  g_array_append_val (h->peers, *peer);
}

void
health_remove_peer (health_t *h, uint64_t entry_id)
{
  for (guint i = 0; i < h->peers->len; i++)
    {
      if (g_array_index (h->peers, health_peer_t, i).entry_id == entry_id)
        g_array_remove_index_fast (h->peers, i--);
    }
  h->reference_computed_us = -1;
}

void
health_begin (health_t *h, int64_t now_us, uint64_t target_id, health_attempt_t *attempt,
              bool is_probe)
{
  health_target_t *target = find_target (h, target_id);

  *attempt = (health_attempt_t){ .target = target, .started_us = now_us, .is_probe = is_probe };
  list_node_init (&attempt->node);
  if (target == NULL)
    return;
  list_push_back (is_probe ? &target->probes : &target->attempts, &attempt->node);
  if (is_probe)
    target->last_probe_us = now_us;
  else
    h->last_request_us = now_us;
}

/* Counts an outcome. Halves the counts at MAX_COUNTED_REQUESTS, so that the failure rate is that of
 * the recent past. */
static void
count_outcome (health_target_t *target, bool failed)
{
  target->requests += 1;
  target->failures += failed ? 1 : 0;
  if (target->requests >= MAX_COUNTED_REQUESTS)
    {
      target->requests /= 2;
      target->failures /= 2;
    }
}

static void
record_normal (health_target_t *target, int64_t started_us, bool normal)
{
  if (normal && started_us > target->last_normal_start_us)
    target->last_normal_start_us = started_us;
}

static void
score_response (health_t *h, int64_t now_us, health_target_t *target, double residual)
{
  double ratios[LATENCY_MODEL_TEST_COUNT];

  for (unsigned i = 0; i < LATENCY_MODEL_TEST_COUNT; i++)
    ratios[i] = latency_model_finished_llr (&h->model, i, residual);
  health_score_latency (h, now_us, target, ratios);
}

static void
finish_latency (health_t *h, int64_t now_us, health_target_t *target, int64_t started_us)
{
  double latency_log = log (fmax (1, (double)(now_us - started_us)));
  double reference_latency_log;

  if (!health_is_warm (h, now_us, target))
    return;
  if (health_reference_latency_log (h, now_us, target, &reference_latency_log))
    {
      double residual = latency_log - reference_latency_log;
      if (residual < MAX_TIMELY_RESIDUAL && started_us > target->last_timely_start_us)
        target->last_timely_start_us = started_us;
      score_response (h, now_us, target, residual);
      health_record_slowness (target, residual);
      record_normal (target, started_us, latency_log < h->usual_latency_log + MAX_TIMELY_RESIDUAL);
      if (!target->unhealthy && !target->readmission.ejected)
        latency_model_add (&h->model, residual);
      h->usual_latency_log
          = h->usual_latency_log == 0
                ? reference_latency_log
                : h->usual_latency_log
                      + USUAL_LATENCY_GAIN * (reference_latency_log - h->usual_latency_log);
    }
  double gain = target->sample_count == 0 ? 1 : LATENCY_GAIN;
  target->latency_log += gain * (latency_log - target->latency_log);
  target->sample_count += target->sample_count < 255;
}

/* Scores an abandoned request like one that is still in flight, because a long wait is evidence. */
static void
finish_abandoned (health_t *h, int64_t now_us, health_target_t *target, int64_t started_us)
{
  double reference_latency_log;
  double latency_log = log (fmax (1, (double)(now_us - started_us)));

  if (started_us < target->last_timely_start_us || !health_is_warm (h, now_us, target)
      || !health_reference_latency_log (h, now_us, target, &reference_latency_log))
    return;
  double ratios[LATENCY_MODEL_TEST_COUNT];
  for (unsigned i = 0; i < LATENCY_MODEL_TEST_COUNT; i++)
    ratios[i] = latency_model_pending_llr (&h->model, i, latency_log - reference_latency_log);
  health_score_latency (h, now_us, target, ratios);
}

static bool
has_outcome (health_result_t result)
{
  return result == HEALTH_OK || result == HEALTH_WRONG_ANSWER || result == HEALTH_ERROR
         || result == HEALTH_CONNECT_FAILED || result == HEALTH_STALLED;
}

static void
finish_probe (health_t *h, int64_t now_us, health_target_t *target, int64_t started_us,
              health_result_t result)
{
  if (!has_outcome (result))
    return;
  bool failed = result != HEALTH_OK;
  double latency_log = log (fmax (1, (double)(now_us - started_us)));
  double residual = latency_log - health_expected_probe_latency_log (h, now_us, target);
  bool passed = !failed && residual < log (MAX_TIMELY_PROBE_FACTOR);

  record_normal (target, started_us,
                 !failed && latency_log < h->probe_latency_log + log (MAX_TIMELY_PROBE_FACTOR));
  if (target->readmission.ejected)
    {
      readmission_record_probe (&target->readmission, now_us, passed);
      return;
    }
  health_score_outcome (h, now_us, target, failed);
  if (failed || !health_is_warm (h, now_us, target))
    return;
  health_record_slowness (target, residual);
  double ratio = PROBE_LLR_SLOPE * residual - PROBE_LLR_OFFSET;
  ratio = fmax (LATENCY_MODEL_MIN_LLR, fmin (LATENCY_MODEL_MAX_LLR, ratio));
  double ratios[LATENCY_MODEL_TEST_COUNT] = { ratio, ratio, ratio, ratio };
  health_score_latency (h, now_us, target, ratios);
  if (!target->suspect)
    h->probe_latency_log
        += latency_log > h->probe_latency_log ? PROBE_LATENCY_STEP : -PROBE_LATENCY_STEP;
}

static void
finish_request (health_t *h, int64_t now_us, health_target_t *target, int64_t started_us,
                health_result_t result)
{
  if (has_outcome (result))
    {
      bool failed = result != HEALTH_OK;
      health_score_outcome (h, now_us, target, failed);
      count_outcome (target, failed);
    }
  if (result == HEALTH_OK)
    finish_latency (h, now_us, target, started_us);
  if (result == HEALTH_ABANDONED)
    finish_abandoned (h, now_us, target, started_us);
}

static void
note_threshold_crossing (health_t *h, int64_t now_us, const health_target_t *target)
{
  double score = health_highest_score (h, now_us, target);

  if ((score >= h->suspect_threshold) != target->suspect
      || (score >= HEALTH_READMITTED_FRACTION * h->threshold && !target->unhealthy))
    h->changed = true;
}

void
health_finish (health_t *h, int64_t now_us, health_attempt_t *attempt, health_result_t result)
{
  health_target_t *target = attempt->target;

  if (target == NULL)
    return;
  list_remove (&attempt->node);
  attempt->target = NULL;
  target->last_finished_us = now_us;
  if (attempt->is_probe)
    finish_probe (h, now_us, target, attempt->started_us, result);
  else
    finish_request (h, now_us, target, attempt->started_us, result);
  if (target->readmission.ejected)
    h->changed |= readmission_is_ready (&target->readmission, now_us);
  else
    note_threshold_crossing (h, now_us, target);
}

void
health_set_ejected (health_t *h, int64_t now_us, uint64_t target_id, bool ejected)
{
  health_target_t *target = find_target (h, target_id);

  if (target == NULL || target->readmission.ejected == ejected)
    return;
  if (ejected)
    {
      readmission_eject (&target->readmission, now_us);
      return;
    }
  bool ready = readmission_is_ready (&target->readmission, now_us);
  readmission_readmit (&target->readmission, now_us);
  target->needs_warmup = false;
  target->sample_count = 0;
  target->weight_ramp_start_us = now_us;
  if (!ready)
    return;
  target->suspect = false;
  target->unhealthy = false;
  target->requests = 0;
  target->failures = 0;
  health_reset_scores (target);
}

bool
health_changed (const health_t *h)
{
  return h->changed;
}

void
health_summary (health_t *h, int64_t now_us, health_peer_t *out)
{
  double median_latency_log = 0;

  *out = (health_peer_t){ .summary_sent_us = now_us };
  for (guint i = 0; i < h->targets_by_id->len; i++)
    {
      const health_target_t *target = target_at (h, i);
      out->measured_target_count += target->sample_count > 0 && !target->readmission.ejected;
    }
  if (out->measured_target_count > 0
      && health_own_median_latency_log (h, now_us, &median_latency_log))
    out->median_latency_us = exp (median_latency_log);
  else
    out->measured_target_count = 0;
  out->failure_rate = health_reference_failure_rate (h, now_us, NULL);
}

bool
health_is_normal (const health_t *h, int64_t now_us)
{
  return health_others_are_normal (h, NULL, now_us - NORMAL_WINDOW_US);
}

int64_t
health_expected_probe_latency_us (health_t *h, int64_t now_us)
{
  return (int64_t)exp (health_expected_probe_latency_log (h, now_us, NULL));
}
