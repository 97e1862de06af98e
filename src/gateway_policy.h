#pragma once

#include "gateway_core.h"
#include "proxy.h"

/* gateway_policy - request policy of an entry in a fleet with control instances.
 *
 * A request on an idempotent route may be retried after any failure, within max_attempts of the
 * route, the retry budget and the deadline. On other routes a request is run at most once: it goes
 * to a second target only if it is certain that the first did not run it.
 *
 * If the configuration requires keys of teams, each request is checked against the configuration in
 * force when it arrives, also on a kept connection. An unknown key gives 401 before any target sees
 * the request, unless the route is public. Targets get the name of the team and never the key.
 *
 * A request of a team with a limit waits for the verdict of gateway_quota before it is queued. It
 * is refused with 429 beyond the limit. If it is refused with 503 later and has not run, its credit
 * is given back. */

typedef struct
{
  request_policy_t policy; /* first member */
  gateway_core_t *core;
  const http_dialect_t *dialect;
  metric_t refused[BALANCER_VERDICT_COUNT]; /* by balancer_verdict_t; [BALANCER_DISPATCH] is not
                                               exported */
  metric_t refused_key;                     /* by an unknown key */
  metric_t retries;
  metric_t retries_denied;
  metric_t queue_wait;
  metric_t latency; /* latency of complete responses */
} gateway_policy_t;

void gateway_policy_init (gateway_policy_t *policy, gateway_core_t *core,
                          const http_dialect_t *dialect, metric_registry_t *counters);
