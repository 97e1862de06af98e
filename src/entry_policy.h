#pragma once

#include "entry_core.h"
#include "request_policy.h"

/* entry_policy - request policy of anvillb-entry.
 *
 * A request goes through these steps: selection of the route; forwarding to an assigned entry if
 * this one is not assigned to the service; queue of the service and limit of the team; on a route
 * that is not idempotent, reading the body, claiming and the queue again; dispatch; retries within
 * the retry budget. Paths under /.anvillb/ are answered by the entry itself. */

typedef struct
{
  request_policy_t policy; /* first member */
  entry_core_t *core;
  uint64_t last_request_id; /* ids start at 1 */
} entry_policy_t;

void entry_policy_init (entry_policy_t *policy, entry_core_t *core);
