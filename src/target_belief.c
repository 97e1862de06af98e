#include "target_belief.h"

#include <glib.h>
#include <math.h>

/* Before outcomes were seen: one target in ten. */
#define FIRST_SHARE 0.1
#define LEAST_SHARE 0.02
#define MOST_SHARE 0.4
/* Part of the correction by one outcome that the share takes over. */
#define SHARE_GAIN 0.04

#define LEAST_FAULT 0.005
#define MOST_FAULT 0.9975

/* Times of answers above the mean fall off exponentially: this part is later than one mean
 * deviation at zero, and e times fewer with each further one. */
#define TAIL_SHARE 0.5
/* Odds of a failure at which a request counts as late. */
#define LATE_ODDS 4.0
#define LEAST_PATIENCE 1.5
#define MOST_PATIENCE 6.0

/* Age of a belief that says nothing any more, in relaxation times. */
#define AGES_UNKNOWN 10

void
fault_prior_init (fault_prior_t *prior)
{
  prior->share = FIRST_SHARE;
}

void
target_belief_init (target_belief_t *belief, const fault_prior_t *prior, int64_t now_us)
{
  belief->fault = prior->share;
  belief->time_us = now_us - AGES_UNKNOWN * BELIEF_MEMORY_US;
}

/* Part of what was known that is still valid. */
static double
remaining (const target_belief_t *belief, int64_t now_us)
{
  return exp (-(double)(now_us - belief->time_us) / (double)BELIEF_MEMORY_US);
}

double
target_belief_fault (const target_belief_t *belief, const fault_prior_t *prior, int64_t now_us)
{
  return prior->share + (belief->fault - prior->share) * remaining (belief, now_us);
}

void
target_belief_add (target_belief_t *belief, fault_prior_t *prior, int64_t now_us, double ratio,
                   bool learn)
{
  double unknown = 1 - remaining (belief, now_us);
  double before = target_belief_fault (belief, prior, now_us);
  double odds = before / (1 - before) * exp (ratio);
  double after = odds / (1 + odds);
  belief->fault = CLAMP (after, LEAST_FAULT, MOST_FAULT);
  belief->time_us = now_us;
  if (learn)
    prior->share
        = CLAMP (prior->share + SHARE_GAIN * unknown * (after - before), LEAST_SHARE, MOST_SHARE);
}

double
target_belief_failure_ratio (void)
{
  return log (BELIEF_FAULTY_FAILURES / BELIEF_SOUND_FAILURES);
}

double
target_belief_success_ratio (void)
{
  return log ((1 - BELIEF_FAULTY_FAILURES) / (1 - BELIEF_SOUND_FAILURES));
}

double
target_belief_late_ratio (double deviations)
{
  double sound = MAX (BELIEF_SOUND_FAILURES, TAIL_SHARE * exp (-deviations));
  return log (BELIEF_FAULTY_FAILURES / sound);
}

double
target_belief_patience (double fault)
{
  double sound_odds = (1 - fault) * TAIL_SHARE / (fault * BELIEF_FAULTY_FAILURES);
  return CLAMP (log (LATE_ODDS * sound_odds), LEAST_PATIENCE, MOST_PATIENCE);
}
