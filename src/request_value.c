#include "request_value.h"

#include <glib.h>
#include <math.h>

/* Late share per unit by which the deadline exceeds the goal, in goals. */
#define LATE_SHARE_PER_GOAL 0.1
/* Least width of the distribution of work: a kind with few samples is not certain. */
#define MIN_LOG_DEVIATION 0.05
/* Part of its worth that a refused request is expected to earn by coming back. A request with
 * attempts before is answered with a failure instead, after which callers give up. */
#define RETURN_SHARE 0.25

double
request_value_worth (uint32_t rank)
{
  return pow (REQUEST_VALUE_RANK_RATIO, rank);
}

double
request_value_late_share (const request_value_input_t *input)
{
  int64_t goal_us = input->goal_us - input->received_us;
  int64_t deadline_us = input->deadline_us - input->received_us;
  if (input->received_us == 0 || goal_us <= 0)
    return REQUEST_VALUE_MIN_LATE_SHARE;
  double share = LATE_SHARE_PER_GOAL * (double)(deadline_us - goal_us) / (double)goal_us;
  return CLAMP (share, REQUEST_VALUE_MIN_LATE_SHARE, REQUEST_VALUE_MAX_LATE_SHARE);
}

/* Returns the standard deviation of the logarithm of a log-normal distribution whose mean deviation
 * is RATIO of its mean. The mean deviation is 2 mean erf (deviation / sqrt (8)); the inverse of the
 * error function is expanded to its second term. */
static double
log_deviation (double ratio)
{
  double half = CLAMP (ratio, 0, 1.5) / 2;
  double deviation = sqrt (2 * G_PI) * half * (1 + G_PI / 12 * half * half);
  return MAX (deviation, MIN_LOG_DEVIATION);
}

double
request_value_end_probability (double mean_us, double deviation_us, double limit_us)
{
  if (limit_us <= 0)
    return 0;
  if (mean_us <= 0)
    return 1;
  double deviation = log_deviation (deviation_us / mean_us);
  double log_median_us = log (mean_us) - deviation * deviation / 2;
  return 0.5 * erfc (-(log (limit_us) - log_median_us) / deviation * G_SQRT2 / 2);
}

request_value_t
request_value_estimate (const request_value_input_t *input, int64_t start_us)
{
  request_value_t value = {
    .in_goal = request_value_end_probability (input->work_us, input->work_deviation_us,
                                              (double)(input->goal_us - start_us)),
    .in_deadline = request_value_end_probability (input->work_us, input->work_deviation_us,
                                                  (double)(input->deadline_us - start_us)),
  };
  double worth = request_value_worth (input->rank);
  double late_share = request_value_late_share (input);
  value.in_deadline = MAX (value.in_deadline, value.in_goal);
  value.earned_share = (value.in_goal + (value.in_deadline - value.in_goal) * late_share)
                       * (1 - CLAMP (input->failure, 0, 1));
  value.earned = worth * value.earned_share;
  value.earned_per_us = value.earned / MAX (input->work_us, 1);
  value.refusal_cost = value.earned - (input->attempt_count == 0 ? RETURN_SHARE * worth : 0);
  value.refusal_cost = MAX (value.refusal_cost, 0);
  return value;
}
