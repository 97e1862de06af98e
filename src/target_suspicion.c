#include "target_suspicion.h"

#include <glib.h>
#include <math.h>

/* Share of faulty targets: before any outcome, and its bounds. */
#define INITIAL_FAULTY_SHARE 0.1
#define MIN_FAULTY_SHARE 0.02
#define MAX_FAULTY_SHARE 0.4
/* Weight of the correction by one outcome in the share of faulty targets. */
#define FAULTY_SHARE_GAIN 0.04

/* Bounds of the suspicion after an outcome. */
#define MIN_SUSPICION 0.005
#define MAX_SUSPICION 0.9975

/* Latencies above the mean are assumed to have an exponential tail: this share of the answers takes
 * longer than the mean, and a share e times smaller with each mean deviation above it. */
#define TAIL_SHARE 0.5
/* Odds that a request has failed at which it counts as late, and bounds of the age at which it
 * does, in mean deviations above the mean latency. */
#define LATE_ODDS 4.0
#define MIN_LATE_DEVIATIONS 1.5
#define MAX_LATE_DEVIATIONS 6.0

/* Age of the estimate of a target without outcomes, in relaxation times: old enough to equal the
 * prior. */
#define INITIAL_AGE_RELAXATIONS 10

void
fault_prior_init (fault_prior_t *prior)
{
  prior->faulty_share = INITIAL_FAULTY_SHARE;
}

void
target_suspicion_init (target_suspicion_t *estimate, const fault_prior_t *prior, int64_t now_us)
{
  estimate->probability = prior->faulty_share;
  estimate->updated_us = now_us - INITIAL_AGE_RELAXATIONS * SUSPICION_RELAXATION_US;
}

/* Returns the weight, 0 to 1, that the last estimate still has against the prior. */
static double
remaining_weight (const target_suspicion_t *estimate, int64_t now_us)
{
  return exp (-(double)(now_us - estimate->updated_us) / (double)SUSPICION_RELAXATION_US);
}

double
target_suspicion_get (const target_suspicion_t *estimate, const fault_prior_t *prior,
                      int64_t now_us)
{
  return prior->faulty_share
         + (estimate->probability - prior->faulty_share) * remaining_weight (estimate, now_us);
}

void
target_suspicion_update (target_suspicion_t *estimate, fault_prior_t *prior, int64_t now_us,
                         double llr, bool learn)
{
  double prior_weight = 1 - remaining_weight (estimate, now_us);
  double before = target_suspicion_get (estimate, prior, now_us);
  double odds = before / (1 - before) * exp (llr);
  double after = odds / (1 + odds);
  estimate->probability = CLAMP (after, MIN_SUSPICION, MAX_SUSPICION);
  estimate->updated_us = now_us;
  if (learn)
    prior->faulty_share
        = CLAMP (prior->faulty_share + FAULTY_SHARE_GAIN * prior_weight * (after - before),
                 MIN_FAULTY_SHARE, MAX_FAULTY_SHARE);
}

double
target_suspicion_failure_llr (void)
{
  return log (FAULTY_FAILURE_RATE / HEALTHY_FAILURE_RATE);
}

double
target_suspicion_success_llr (void)
{
  return log ((1 - FAULTY_FAILURE_RATE) / (1 - HEALTHY_FAILURE_RATE));
}

double
target_suspicion_pending_llr (double deviations)
{
  double healthy = MAX (HEALTHY_FAILURE_RATE, TAIL_SHARE * exp (-deviations));
  return log (FAULTY_FAILURE_RATE / healthy);
}

double
target_suspicion_late_deviations (double suspicion)
{
  double healthy_odds = (1 - suspicion) * TAIL_SHARE / (suspicion * FAULTY_FAILURE_RATE);
  return CLAMP (log (LATE_ODDS * healthy_odds), MIN_LATE_DEVIATIONS, MAX_LATE_DEVIATIONS);
}
