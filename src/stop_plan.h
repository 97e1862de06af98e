#pragma once

#include <stdbool.h>
#include <stdint.h>

/* stop_plan - times of a graceful stop, and which requests may still be sent to a target.
 *
 * A process that stops is killed at the end of its grace period, so it ends the requests that are
 * left shortly before. A request that is ended while its target is at work costs its caller more
 * than one that is refused: whether it has run is then unknown. The plan answers a load of requests
 * that still arrive while the process stops, from callers that keep its address, and that may take
 * longer than the rest of the grace period.
 *
 * A request whose deadline comes before the end is sent in any case, as the stop cannot cut it off.
 * Any other request is sent only if it arrived before the stop or soon after it, and if it is
 * expected to end in time. Callers have learned of the stop after a while, and a later request
 * finds another instance at once when it is refused.
 *
 * All times are in microseconds of the clock of the main loop. The module does no I/O. */

/* Duration of a request of which nothing is known. */
#define STOP_PLAN_UNKNOWN_DURATION INT64_MAX

typedef struct
{
  int64_t started_us;      /* the stop was requested */
  int64_t refuse_from_us;  /* no connections are accepted, and all new requests are refused */
  int64_t end_requests_us; /* the requests that are left are ended; 0: the process does not stop */
  int64_t exit_us;         /* the process ends, whatever is left */
} stop_plan_t;

typedef struct
{
  int64_t received_us;     /* arrival of the request */
  int64_t deadline_us;     /* it is ended by then */
  int64_t max_duration_us; /* time at the target that it is not expected to exceed */
} stop_plan_request_t;

/* Plans a stop that begins at STARTED_US and whose process is killed GRACE_US later. */
void stop_plan_init (stop_plan_t *plan, int64_t started_us, int64_t grace_us);

/* Returns whether PLAN is of a process that stops. A plan that is all zeros is not. */
bool stop_plan_is_active (const stop_plan_t *plan);

/* Returns whether REQUEST may be sent to a target at START_US. */
bool stop_plan_may_send (const stop_plan_t *plan, const stop_plan_request_t *request,
                         int64_t start_us);
