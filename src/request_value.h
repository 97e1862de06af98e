#pragma once

#include <stdint.h>

/* request_value - what serving a request is expected to earn, and what refusing it costs callers.
 * It does no I/O and keeps no state.
 *
 * Answers load with insufficient capacity: several kinds of requests with different work, goals,
 * deadlines and ranks compete for too few slots, and late answers are worth little.
 *
 * Worth. An answer by the goal is worth 1 for a request of rank 0, and half of that for each rank
 * below. An answer after the goal keeps a share of its worth, the late share. Configurations do not
 * state it. Callers that wait for a deadline far beyond their goal still use late answers, so the
 * share grows with the ratio of deadline to goal, within MIN_LATE_SHARE and MAX_LATE_SHARE. An
 * answer after the deadline is worth nothing.
 *
 * Work. The time that an answer takes follows a log-normal distribution with the mean and the mean
 * deviation that were measured for the kind of request.
 *
 * Units. Times are in microseconds. Amounts are in parts of the worth of an answer of rank 0;
 * EARNED_PER_US is per microsecond of slot time. */

#define REQUEST_VALUE_RANK_RATIO 0.5
#define REQUEST_VALUE_MIN_LATE_SHARE 0.1
#define REQUEST_VALUE_MAX_LATE_SHARE 0.5

typedef struct
{
  uint32_t rank;       /* 0 is the most urgent */
  int64_t received_us; /* arrival of the request; 0 if unknown, the late share is then the least */
  int64_t goal_us;     /* time by which the answer is worth most */
  int64_t deadline_us; /* time after which the answer is worth nothing */
  double work_us;      /* mean time that a target works on the request */
  double work_deviation_us; /* mean deviation of that time */
  double failure;           /* probability that an attempt fails, 0 to 1 */
  unsigned attempt_count;   /* attempts that were made before */
} request_value_input_t;

typedef struct
{
  double in_goal;       /* probability of an answer by the goal */
  double in_deadline;   /* probability of an answer by the deadline */
  double earned;        /* expected to be earned by serving the request */
  double earned_share;  /* EARNED as a share of the most that the request can earn, 0 to 1 */
  double earned_per_us; /* EARNED per microsecond of slot time */
  double refusal_cost;  /* expected loss by refusing the request now */
} request_value_t;

/* Returns the worth of an answer by the goal to a request of RANK. */
double request_value_worth (uint32_t rank);

/* Returns the share of the worth that an answer between goal and deadline keeps. */
double request_value_late_share (const request_value_input_t *input);

/* Returns the probability that work with the mean MEAN_US and the mean deviation DEVIATION_US takes
 * at most LIMIT_US. */
double request_value_end_probability (double mean_us, double deviation_us, double limit_us);

/* Returns what the request is expected to earn if a target starts to work on it at START_US. */
request_value_t request_value_estimate (const request_value_input_t *input, int64_t start_us);
