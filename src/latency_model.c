#include "latency_model.h"

#include <math.h>
#include <stddef.h>

#define BINS LATENCY_MODEL_BIN_COUNT
/* Bin of the residual 0. */
#define CENTER_BIN 24
#define BINS_PER_OCTAVE 4
/* Initial histogram: its weight in samples, and its standard deviation. */
#define PRIOR_WEIGHT 200.0f
#define PRIOR_DEVIATION 0.5

/* Total weight at which all bins are halved, so that the model follows changes of the service. */
#define MAX_TOTAL_WEIGHT 16000.0f

/* Samples between two updates of the log-likelihood ratios. */
#define UPDATE_INTERVAL_SAMPLES 64

/* Added to the probability of each bin, so that bins without samples count as possible. It bounds
 * the evidence of a rare value. */
#define BIN_PROBABILITY_OFFSET 1e-4

/* Bins by which a target is slower in each test: 2, 4, 8 and 16 times. */
static const int slowdown_shifts[LATENCY_MODEL_TEST_COUNT] = { 4, 8, 12, 16 };

static int
bin_of (double residual)
{
  double bin = floor (residual / M_LN2 * BINS_PER_OCTAVE + 0.5) + CENTER_BIN;
  if (!(bin > 0))
    return 0;
  return bin < BINS - 1 ? (int)bin : BINS - 1;
}

/* Stores the probability of each bin, smoothed over its neighbours. */
static void
smooth_probabilities (const latency_model_t *m, double *out)
{
  for (int i = 0; i < BINS; i++)
    {
      double left = m->weight[i > 0 ? i - 1 : i];
      double right = m->weight[i < BINS - 1 ? i + 1 : i];
      out[i] = (0.25 * left + 0.5 * m->weight[i] + 0.25 * right) / m->total_weight;
    }
}

static double
bounded_llr (double slow, double healthy)
{
  double llr = log ((slow + BIN_PROBABILITY_OFFSET) / (healthy + BIN_PROBABILITY_OFFSET));
  return fmax (LATENCY_MODEL_MIN_LLR, fmin (LATENCY_MODEL_MAX_LLR, llr));
}

/* Raises LLRS so that a higher latency above the median never gives less evidence. Without this,
 * the evidence would fall above the latencies that a slowed-down target reaches. */
static void
make_monotonic (float *llrs)
{
  for (int i = CENTER_BIN + 1; i < BINS; i++)
    llrs[i] = fmaxf (llrs[i], llrs[i - 1]);
}

static void
update_test_llrs (latency_model_t *m, const double *healthy, unsigned test)
{
  int shift = slowdown_shifts[test];
  double healthy_above = 0;
  double slow_above = 0;

  for (int i = LATENCY_MODEL_BIN_COUNT - 1; i >= 0; i--)
    {
      double slow = i >= shift ? healthy[i - shift] : 0;
      m->finished[test][i] = (float)bounded_llr (slow, healthy[i]);
      m->pending[test][i] = (float)fmax (0, bounded_llr (slow_above, healthy_above));
      healthy_above += healthy[i];
      slow_above += slow;
    }
  make_monotonic (m->finished[test]);
  make_monotonic (m->pending[test]);
}

static void
update_llrs (latency_model_t *m)
{
  double healthy[BINS];

  smooth_probabilities (m, healthy);
  for (unsigned test = 0; test < LATENCY_MODEL_TEST_COUNT; test++)
    update_test_llrs (m, healthy, test);
  m->samples_since_update = 0;
}

void
latency_model_init (latency_model_t *m)
{
  *m = (latency_model_t){ .total_weight = PRIOR_WEIGHT };
  double sum = 0;
  double density[BINS];

  for (int i = 0; i < BINS; i++)
    {
      double value = (i - CENTER_BIN) * M_LN2 / BINS_PER_OCTAVE / PRIOR_DEVIATION;
      density[i] = exp (-value * value / 2);
      sum += density[i];
    }
  for (int i = 0; i < BINS; i++)
    m->weight[i] = (float)(density[i] / sum * PRIOR_WEIGHT);
  update_llrs (m);
}

void
latency_model_add (latency_model_t *m, double residual)
{
  m->weight[bin_of (residual)] += 1;
  m->total_weight += 1;
  if (m->total_weight >= MAX_TOTAL_WEIGHT)
    {
      for (int i = 0; i < BINS; i++)
        m->weight[i] /= 2;
      m->total_weight /= 2;
    }
  if (++m->samples_since_update >= UPDATE_INTERVAL_SAMPLES)
    update_llrs (m);
}

double
latency_model_finished_llr (const latency_model_t *m, unsigned test, double residual)
{
  return m->finished[test][bin_of (residual)];
}

double
latency_model_pending_llr (const latency_model_t *m, unsigned test, double residual)
{
  return m->pending[test][bin_of (residual)];
}
