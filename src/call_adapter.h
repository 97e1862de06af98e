#pragma once

#include "call_server.h"
#include "fleet_control.h"
#include "http_dialect.h"
#include "route_table.h"

/* call_adapter - interface of a platform to the programs of a fleet.
 *
 * An adapter names the header fields that the proxy interprets. It translates the calls of
 * operators, targets and callers to function calls of the product, and their results to answers. */

typedef struct
{
  const char *name; /* as it is logged at the start */
  const http_dialect_t *dialect;
  route_table_options_t routes; /* how entries read the prefixes of stored configurations */
  /* Handles a call of an operator or a target to a control instance. */
  void (*handle_control_call) (fleet_control_t *control, call_t *call,
                               const call_request_t *request);
  /* Handles a call that asks a control instance for the addresses of entries. The caller may keep
   * the answer for TTL_MS. */
  void (*handle_resolve_call) (fleet_control_t *control, int64_t ttl_ms, call_t *call,
                               const call_request_t *request);
  /* Handles a readiness check of an entry, which is ready if READY. */
  void (*handle_ready_call) (bool ready, call_t *call, const call_request_t *request);
} call_adapter_t;
