#pragma once

#include <stdbool.h>
#include <stdint.h>

/* target_belief - probability that a target has a gray fault, from the outcomes of its requests;
 * pure.
 *
 * Faults come and go within seconds, so a target is a two-state Markov chain that is seen through
 * its requests. Each outcome is a step of Bayes; between outcomes the probability returns to the
 * share of targets that have a fault at any time. A success therefore proves less with each tenth
 * of a second, and a target that failed is worth a try again after some seconds.
 *
 * The share of faulty targets differs between services and is learned: outcomes at targets of which
 * little is known move it. */

/* Share of the requests that a faulty target fails, and that a sound one does. Gray failures that
 * were seen fail between 0.4 and 0.9; targets return about 1 in 100 errors of their own. */
#define BELIEF_FAULTY_FAILURES 0.65
#define BELIEF_SOUND_FAILURES 0.015

/* Relaxation time of the chain: faults last some seconds, with more time between them. */
#define BELIEF_MEMORY_US INT64_C (4000000)

typedef struct
{
  double share; /* of the targets of a service that have a fault at any time */
} fault_prior_t;

typedef struct
{
  double fault; /* probability at TIME_US */
  int64_t time_us;
} target_belief_t;

void fault_prior_init (fault_prior_t *prior);

/* Begins with a target of which nothing is known. */
void target_belief_init (target_belief_t *belief, const fault_prior_t *prior, int64_t now_us);

/* Returns the probability of a fault, 0 to 1. */
double target_belief_fault (const target_belief_t *belief, const fault_prior_t *prior,
                            int64_t now_us);

/* Takes over an outcome, as the logarithm of the ratio of its likelihoods with and without a fault.
 * LEARN: it is also evidence for the share of faulty targets. */
void target_belief_add (target_belief_t *belief, fault_prior_t *prior, int64_t now_us, double ratio,
                        bool learn);

double target_belief_failure_ratio (void);
double target_belief_success_ratio (void);

/* Of a request that has no answer after the mean time plus DEVIATIONS mean deviations. */
double target_belief_late_ratio (double deviations);

/* Returns the number of mean deviations after which a request at a target with the probability
 * FAULT has more likely failed than not, four to one. */
double target_belief_patience (double fault);
