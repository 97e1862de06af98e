#pragma once

#include "entry_core.h"
#include "request_policy.h"

/* entry_policy - request policy of anvillb-entry.
 *
 * A request passes these steps: route, forwarding to an assigned entry if this one is not, body and
 * claim on a route that is not idempotent, queue of the service, limit of the team, dispatch,
 * further attempts within the retry budget. Paths under /.anvillb/v1/ are answered here. */

typedef struct
{
  request_policy_t policy; /* first member */
  entry_core_t *core;
  uint64_t next_id;
} entry_policy_t;

void entry_policy_init (entry_policy_t *policy, entry_core_t *core);
