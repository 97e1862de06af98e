#pragma once

#include "gateway_core.h"
#include "proxy.h"

/* gateway_policy - decides what happens to the requests of callers at an entry of a fleet with
 * control instances.
 *
 * A request on an idempotent route may be sent again after any failure, within max_attempts of the
 * route, the retry budget and its time. On another route the caller's attempt is the unit that runs
 * at most once: the request is sent to one target, and to another only when it is certain that the
 * first did not run it. */

typedef struct
{
  request_policy_t policy; /* first member */
  gateway_core_t *core;
  const http_dialect_t *dialect;
  counter_t refused[3]; /* by balancer_verdict_t */
  counter_t retries;
  counter_t retries_denied;
  counter_t queue_wait;
  counter_t latency;
} gateway_policy_t;

void gateway_policy_init (gateway_policy_t *policy, gateway_core_t *core,
                          const http_dialect_t *dialect, counter_registry_t *counters);
