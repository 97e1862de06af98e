#pragma once

#include <stdbool.h>
#include <stdint.h>

/* target_suspicion - suspicion of a target: the probability that it has a gray fault, estimated
 * from the outcomes of its requests. It does no I/O.
 *
 * Faults come and go within seconds, so a target is modelled as a two-state Markov chain that is
 * observed through its requests. Each outcome is a Bayesian update. Between outcomes the suspicion
 * returns to the prior, the share of targets that are faulty at any time. The evidence of a success
 * therefore fades noticeably within tenths of a second, and a failed target is worth another try
 * after some seconds.
 *
 * The share of faulty targets differs between services, so it is learned: it is corrected by
 * outcomes at targets whose state is little known. */

/* Failure probability of a request at a faulty and at a healthy target. Observed gray failures fail
 * 0.4 to 0.9 of the requests. Healthy targets return about one error in 100 on their own. */
#define FAULTY_FAILURE_RATE 0.65
#define HEALTHY_FAILURE_RATE 0.015

/* Relaxation time of the Markov chain. Faults last some seconds, with longer times between them. */
#define SUSPICION_RELAXATION_US INT64_C (4000000)

typedef struct
{
  double faulty_share; /* share of the targets of a service that are faulty at any time, 0 to 1 */
} fault_prior_t;

typedef struct
{
  double probability; /* of a fault, at UPDATED_US */
  int64_t updated_us;
} target_suspicion_t;

/* Sets the share of faulty targets that is assumed before any outcome. */
void fault_prior_init (fault_prior_t *prior);

/* Sets the estimate of a target without outcomes, which is the prior. */
void target_suspicion_init (target_suspicion_t *estimate, const fault_prior_t *prior,
                            int64_t now_us);

/* Returns the suspicion at NOW_US, 0 to 1. */
double target_suspicion_get (const target_suspicion_t *estimate, const fault_prior_t *prior,
                             int64_t now_us);

/* Applies the evidence LLR, the log-likelihood ratio of a faulty to a healthy target. If LEARN,
 * also corrects the share of faulty targets in PRIOR. */
void target_suspicion_update (target_suspicion_t *estimate, fault_prior_t *prior, int64_t now_us,
                              double llr, bool learn);

/* Return the log-likelihood ratio of a failed and of a successful request. */
double target_suspicion_failure_llr (void);
double target_suspicion_success_llr (void);

/* Returns the log-likelihood ratio of a request without an answer after the mean latency plus
 * DEVIATIONS mean deviations. */
double target_suspicion_pending_llr (double deviations);

/* Returns the number of mean deviations above the mean latency, 1.5 to 6, after which a request
 * without an answer counts as late. Within these bounds the odds are then four to one that the
 * request has failed, if its target has the suspicion SUSPICION. */
double target_suspicion_late_deviations (double suspicion);
