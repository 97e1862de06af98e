#pragma once

#include <stdint.h>

/* latency_model - how service times of healthy targets scatter, and what one service time says.
 *
 * Values are residuals: the natural logarithm of a latency minus that of the median of the other
 * targets. The model is a decayed histogram of residuals. A log-likelihood ratio compares "as the
 * healthy targets" with the same shape at 2, 4, 8 and 16 times the latency, one test for each.
 * Because the shape is measured, a service with heavy tails gives less evidence per slow response.
 */

#define LATENCY_MODEL_TESTS 4

/* Bins of a quarter octave, from 1/64 to 1024 times the median. */
#define LATENCY_MODEL_BINS 64

/* Bounds of the evidence of one response. */
#define LATENCY_MODEL_MAX_LLR 4.0
#define LATENCY_MODEL_MIN_LLR (-1.5)

typedef struct
{
  float weight[LATENCY_MODEL_BINS];
  /* Ratios by test, for a response with this residual and for a request that waited this long. */
  float finished[LATENCY_MODEL_TESTS][LATENCY_MODEL_BINS];
  float pending[LATENCY_MODEL_TESTS][LATENCY_MODEL_BINS];
  float total;
  uint32_t stale; /* samples since the ratios were computed */
} latency_model_t;

/* Starts with the shape of a log-normal distribution with a standard deviation of 0.5. */
void latency_model_init (latency_model_t *m);

void latency_model_add (latency_model_t *m, double residual);

/* Returns the log-likelihood ratio of a finished response. */
double latency_model_finished (const latency_model_t *m, unsigned test, double residual);

/* Returns the ratio of a request that is still in flight; 0 or more. */
double latency_model_pending (const latency_model_t *m, unsigned test, double residual);
