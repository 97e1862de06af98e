#pragma once

#include "health.h"

/* health_target - the state that health keeps for each target; used only by health modules. */

/* Alternatives for the failure rate of an unhealthy target. A test is off while the other targets
 * fail nearly as often. */
#define HEALTH_FAILURE_TESTS 3

/* Part of the threshold that ejects a target that was readmitted a short time ago. */
#define HEALTH_READMITTED_SHARE 0.6

struct health_target
{
  uint64_t id;
  list_t attempts;       /* health_attempt_t without probes, oldest first */
  list_t probes;         /* health_attempt_t */
  int64_t slow_start_us; /* start of the weight ramp */
  bool cold;             /* latency is no evidence until slow start ends */
  bool suspect;          /* with hysteresis */
  int64_t suspect_since_us;
  bool unhealthy;          /* with hysteresis */
  int32_t reference_index; /* in the sorted reference; -1: not part of it */
  uint32_t samples;        /* finished responses in latency_log, up to a few */
  double latency_log;      /* moving mean of the logarithm of the latency */
  double failure_share;    /* fast moving mean of failures, 0..1 */
  double slowness_log;     /* fast moving mean of the logarithm of the slowdown */
  double latency_score[LATENCY_MODEL_TESTS];
  double failure_score[HEALTH_FAILURE_TESTS];
  double latency_credit; /* evidence that may still be added now */
  double failure_credit;
  int64_t credit_us;
  double requests; /* decayed counts */
  double failures;
  int64_t last_good_start_us;   /* latest start of a response with normal latency */
  int64_t last_normal_start_us; /* the same for one with a latency that is usual for the service */
  int64_t last_sample_us;
  int64_t last_probe_us;
  int64_t opinion_asked_us; /* 0: not asked */
  int64_t opinion_first_us; /* 0: no question open */
  int64_t confirmed_until_us;
  uint32_t confirmations; /* in a row */
  readmission_t readmission;
};

/* One value of the sorted reference that latencies are compared with. */
typedef struct
{
  double value; /* logarithm of a latency */
  uint32_t weight;
  uint32_t weight_to_here; /* sum of the weights up to this one */
  uint32_t own_to_here;    /* the same of own targets */
  health_target_t *target; /* NULL: a peer */
} health_reference_t;

/* Evidence of one finished response or probe; RATIOS by test. */
void health_score_latency (health_t *h, int64_t now_us, health_target_t *target,
                           const double *ratios);
void health_note_slowness (health_target_t *target, double residual);
void health_score_outcome (health_t *h, int64_t now_us, health_target_t *target, bool failed);

/* Returns the score with the requests in flight; compare it with the threshold. */
double health_total_score (health_t *h, int64_t now_us, const health_target_t *target);

/* Returns how bad the target is, 0..1, see health_verdict_t. */
double health_badness (health_t *h, int64_t now_us, const health_target_t *target);

/* Stores the logarithm of the median latency of the others. Returns false if there are too few. */
bool health_reference_log (health_t *h, int64_t now_us, const health_target_t *target, double *out);

/* Stores the logarithm of the median latency of the own targets. Returns false without any. */
bool health_own_median_log (health_t *h, int64_t now_us, double *out);

/* Returns whether half of the own targets other than TARGET (NULL: of all) are not suspect and have
 * answered as usual a request or probe that started at SINCE_US or later. A suspect one does not
 * count: in a slow service a few responses are still short. */
bool health_others_are_normal (const health_t *h, const health_target_t *target, int64_t since_us);

/* Returns whether the own median is above FACTOR times that of most targets of other entries. */
bool health_is_slower_than_peers (health_t *h, int64_t now_us, double factor);

/* Returns the logarithm of the expected probe latency, raised while the whole service is slow. */
double health_probe_log (health_t *h, int64_t now_us, const health_target_t *target);

/* Returns the failure rate of the other targets without the worst one. */
double health_reference_failures (health_t *h, int64_t now_us, const health_target_t *target);

/* Returns whether the target's latency counts. */
bool health_is_warm (const health_t *h, int64_t now_us, const health_target_t *target);

void health_reset_scores (health_target_t *target);
