#pragma once

#include <stdint.h>

/* latency_model - distribution of the latencies of healthy targets, and the evidence for a slow
 * target that one latency gives.
 *
 * Values are residuals: the natural logarithm of a latency minus that of the median latency of the
 * other targets. The model is a decayed histogram of residuals. Each test compares two hypotheses
 * by their log-likelihood ratio: latencies as of the healthy targets, and the same distribution at
 * 2, 4, 8 or 16 times the latency. Because the distribution is measured, a service with a heavy
 * tail gives less evidence per slow response. */

#define LATENCY_MODEL_TEST_COUNT 4

/* Each bin spans a quarter octave; together they span about 1/70 to 940 times the median. Residuals
 * beyond that count in the first or last bin. */
#define LATENCY_MODEL_BIN_COUNT 64

/* Bounds of the log-likelihood ratio of one response. */
#define LATENCY_MODEL_MAX_LLR 4.0
#define LATENCY_MODEL_MIN_LLR (-1.5)

typedef struct
{
  float weight[LATENCY_MODEL_BIN_COUNT];
  /* Log-likelihood ratios by test and bin, of a response with this residual and of a request that
   * is still in flight after this time. */
  float finished[LATENCY_MODEL_TEST_COUNT][LATENCY_MODEL_BIN_COUNT];
  float pending[LATENCY_MODEL_TEST_COUNT][LATENCY_MODEL_BIN_COUNT];
  float total_weight;            /* sum of the weights */
  uint32_t samples_since_update; /* since the log-likelihood ratios were computed */
} latency_model_t;

/* Initializes the histogram with a log-normal distribution with a standard deviation of 0.5. */
void latency_model_init (latency_model_t *m);

/* Adds the residual of a response. */
void latency_model_add (latency_model_t *m, double residual);

/* Returns the log-likelihood ratio of a response. TEST is 0 to LATENCY_MODEL_TEST_COUNT - 1. */
double latency_model_finished_llr (const latency_model_t *m, unsigned test, double residual);

/* Returns the log-likelihood ratio of a request that is still in flight, 0 or more. RESIDUAL is
 * that of its age. */
double latency_model_pending_llr (const latency_model_t *m, unsigned test, double residual);
