#include "latency_model.h"

#include <math.h>
#include <stddef.h>

#define BINS LATENCY_MODEL_BINS
#define CENTER_BIN 24
#define BINS_PER_OCTAVE 4
#define PRIOR_WEIGHT 200.0f
#define PRIOR_DEVIATION 0.5

/* Weight at which all bins are halved, so that the shape follows the service. */
#define MAX_WEIGHT 16000.0f

#define RECOMPUTE_SAMPLES 64

/* Probability of any bin that has not been seen. It bounds what a rare value may say. */
#define UNSEEN 1e-4

static const int shifts[LATENCY_MODEL_TESTS] = { 4, 8, 12, 16 };

static int
bin_of (double residual)
{
  double bin = floor (residual / M_LN2 * BINS_PER_OCTAVE + 0.5) + CENTER_BIN;
  if (!(bin > 0))
    return 0;
  return bin < BINS - 1 ? (int)bin : BINS - 1;
}

static void
smooth (const latency_model_t *m, double *out)
{
  for (int i = 0; i < BINS; i++)
    {
      double left = m->weight[i > 0 ? i - 1 : i];
      double right = m->weight[i < BINS - 1 ? i + 1 : i];
      out[i] = (0.25 * left + 0.5 * m->weight[i] + 0.25 * right) / m->total;
    }
}

static double
bounded_ratio (double slow, double healthy)
{
  double ratio = log ((slow + UNSEEN) / (healthy + UNSEEN));
  return fmax (LATENCY_MODEL_MIN_LLR, fmin (LATENCY_MODEL_MAX_LLR, ratio));
}

/* A response later than a suspicious one is not less suspicious, also beyond the largest shift. */
static void
make_monotonic (float *ratios)
{
  for (int i = CENTER_BIN + 1; i < BINS; i++)
    ratios[i] = fmaxf (ratios[i], ratios[i - 1]);
}

static void
recompute_test (latency_model_t *m, const double *healthy, unsigned test)
{
  int shift = shifts[test];
  double healthy_above = 0;
  double slow_above = 0;

  for (int i = LATENCY_MODEL_BINS - 1; i >= 0; i--)
    {
      double slow = i >= shift ? healthy[i - shift] : 0;
      m->finished[test][i] = (float)bounded_ratio (slow, healthy[i]);
      m->pending[test][i] = (float)fmax (0, bounded_ratio (slow_above, healthy_above));
      healthy_above += healthy[i];
      slow_above += slow;
    }
  make_monotonic (m->finished[test]);
  make_monotonic (m->pending[test]);
}

static void
recompute (latency_model_t *m)
{
  double healthy[BINS];

  smooth (m, healthy);
  for (unsigned test = 0; test < LATENCY_MODEL_TESTS; test++)
    recompute_test (m, healthy, test);
  m->stale = 0;
}

void
latency_model_init (latency_model_t *m)
{
  *m = (latency_model_t){ .total = PRIOR_WEIGHT };
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
  recompute (m);
}

void
latency_model_add (latency_model_t *m, double residual)
{
  m->weight[bin_of (residual)] += 1;
  m->total += 1;
  if (m->total >= MAX_WEIGHT)
    {
      for (int i = 0; i < BINS; i++)
        m->weight[i] /= 2;
      m->total /= 2;
    }
  if (++m->stale >= RECOMPUTE_SAMPLES)
    recompute (m);
}

double
latency_model_finished (const latency_model_t *m, unsigned test, double residual)
{
  return m->finished[test][bin_of (residual)];
}

double
latency_model_pending (const latency_model_t *m, unsigned test, double residual)
{
  return m->pending[test][bin_of (residual)];
}
