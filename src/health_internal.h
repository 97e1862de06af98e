#pragma once

#include "health.h"

/* health_internal - state of a target, and functions shared by the health modules. Not for other
 * modules. */

/* Number of tests for failures. Each assumes a different failure rate of an unhealthy target, and
 * is off while the rate that counts as healthy is above half of that. */
#define HEALTH_FAILURE_TEST_COUNT 3

/* Fraction of the threshold at which a target is ejected again soon after its readmission. */
#define HEALTH_READMITTED_FRACTION 0.6

struct health_target
{
  uint64_t id;
  list_t attempts;              /* health_attempt_t of requests, oldest first */
  list_t probes;                /* health_attempt_t of probes, oldest first */
  int64_t weight_ramp_start_us; /* time of the addition or last readmission */
  bool needs_warmup; /* new to this entry: latency is no evidence until slow start ends */
  bool suspect;      /* the score has crossed the suspect threshold, with hysteresis */
  int64_t suspect_since_us;
  bool unhealthy;             /* the score has crossed the threshold, with hysteresis */
  int32_t reference_index;    /* index in the sorted reference; -1: not part of it */
  uint32_t sample_count;      /* responses that latency_log averages, counted up to 255 */
  double latency_log;         /* moving average of the logarithm of the latency */
  double recent_failure_rate; /* fast moving average of failures, 0..1 */
  double slowness_log;        /* fast moving average, see health_record_slowness() */
  double latency_score[LATENCY_MODEL_TEST_COUNT];
  double failure_score[HEALTH_FAILURE_TEST_COUNT];
  double latency_credit; /* most evidence that may be added to the latency scores now */
  double failure_credit; /* most evidence that may be added to the failure scores now */
  int64_t credit_updated_us;
  double requests;                 /* decayed count */
  double failures;                 /* decayed count */
  int64_t last_timely_start_us;    /* latest start of a request with a timely response */
  int64_t last_normal_start_us;    /* latest start of a request or probe with a usual latency */
  int64_t last_finished_us;        /* end of the last request or probe */
  int64_t last_probe_us;           /* start of the last probe */
  int64_t peer_probe_requested_us; /* last request for a probe by another entry; 0: none */
  int64_t peer_probe_first_requested_us; /* first such request without a result; 0: none */
  int64_t confirmed_until_us;            /* until then the confirmations count */
  uint32_t confirmation_count; /* consecutive probes by other entries that confirm the fault */
  readmission_t readmission;
};

/* An element of the sorted reference, with which latencies are compared. */
typedef struct
{
  double latency_log;             /* of an own target, or a peer's median */
  uint32_t weight;                /* targets that it stands for */
  uint32_t cumulative_weight;     /* sum of the weights up to and including this one */
  uint32_t cumulative_own_weight; /* the same for own targets only */
  health_target_t *target;        /* the own target, or NULL for a peer's median */
} health_reference_t;

/* Adds the log-likelihood ratios of one finished request or probe, one for each test, to the
 * latency scores. */
void health_score_latency (health_t *h, int64_t now_us, health_target_t *target,
                           const double *ratios);

/* Adds RESIDUAL, the logarithm of a latency relative to the expected one, to the moving average
 * from which the badness is computed. */
void health_record_slowness (health_target_t *target, double residual);

/* Adds the evidence of one success or failure to the failure scores and to the badness. */
void health_score_outcome (health_t *h, int64_t now_us, health_target_t *target, bool failed);

/* Returns the highest score of the tests, including the evidence of requests and probes in flight.
 * Compare it with the thresholds. */
double health_highest_score (health_t *h, int64_t now_us, const health_target_t *target);

/* Returns the badness of the target, 0..1; see health_verdict_t. */
double health_badness (health_t *h, int64_t now_us, const health_target_t *target);

/* Stores the logarithm of the median latency of the targets other than TARGET (NULL: of all), both
 * own and those of peers. Returns false if there are none. */
bool health_reference_latency_log (health_t *h, int64_t now_us, const health_target_t *target,
                                   double *out);

/* Stores the logarithm of the median latency of the own targets. Returns false if there are none.
 */
bool health_own_median_latency_log (health_t *h, int64_t now_us, double *out);

/* Returns whether at least half of the own targets other than TARGET (NULL: of all) are normal: not
 * suspect, and with a usual answer to a request or probe that started at SINCE_US or later. A
 * suspect target does not count as normal, because a slow service still gives a few short
 * responses. Ejected targets are left out. Returns false if that leaves none. */
bool health_others_are_normal (const health_t *h, const health_target_t *target, int64_t since_us);

/* Returns whether the own median latency is above FACTOR times that of most targets of peers. */
bool health_is_slower_than_peers (health_t *h, int64_t now_us, double factor);

/* Returns the logarithm of the expected latency of a probe. It is raised while the targets other
 * than TARGET (NULL: all) are slower than usual. */
double health_expected_probe_latency_log (health_t *h, int64_t now_us,
                                          const health_target_t *target);

/* Returns the failure rate, 0..1, of the targets other than TARGET (NULL: of all), both own and
 * those of peers, without the worst own target among them. */
double health_reference_failure_rate (health_t *h, int64_t now_us, const health_target_t *target);

/* Returns whether the latency of the target counts as evidence. */
bool health_is_warm (const health_t *h, int64_t now_us, const health_target_t *target);

/* Sets the latency and failure scores to 0; credits and averages stay. */
void health_reset_scores (health_target_t *target);
