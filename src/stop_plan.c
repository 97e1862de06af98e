#include "stop_plan.h"

#include <glib.h>

/* Requests are ended this long before the end of the grace period, or the grace period divided by
 * the divisor if that is less. */
#define MAX_END_MARGIN_US INT64_C (300000)
#define END_MARGIN_DIVISOR 12

/* A request that arrives later than this after the start of the stop is not sent on an estimate:
 * callers have had the time to learn the addresses of other instances. */
#define MAX_ESTIMATED_ARRIVAL_US INT64_C (2700000)

void
stop_plan_init (stop_plan_t *plan, int64_t started_us, int64_t grace_us)
{
  int64_t margin_us = MIN (MAX_END_MARGIN_US, grace_us / END_MARGIN_DIVISOR);
  *plan = (stop_plan_t){
    .started_us = started_us,
    .refuse_from_us = started_us + grace_us / 2 - margin_us,
    .end_requests_us = started_us + grace_us - margin_us,
    .exit_us = started_us + grace_us - margin_us / 2,
  };
}

bool
stop_plan_is_active (const stop_plan_t *plan)
{
  return plan->end_requests_us != 0;
}

bool
stop_plan_may_send (const stop_plan_t *plan, const stop_plan_request_t *request, int64_t start_us)
{
  if (!stop_plan_is_active (plan) || request->deadline_us <= plan->end_requests_us)
    return true;
  return request->received_us <= plan->started_us + MAX_ESTIMATED_ARRIVAL_US
         && request->max_duration_us <= plan->end_requests_us - start_us;
}
