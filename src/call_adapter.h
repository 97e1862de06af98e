#pragma once

#include "call_server.h"
#include "fleet_control.h"
#include "http_dialect.h"

/* call_adapter - how a platform calls the programs of a fleet.
 *
 * An adapter gives the names of the header fields of the data path, and translates the calls of
 * operators, targets and callers to the functions of the product and their results to answers. */

typedef struct
{
  const char *name;
  const http_dialect_t *dialect;
  /* A call of an operator or a target to a control instance. */
  void (*control) (fleet_control_t *control, call_t *call, const call_request_t *request);
  /* A caller asks a control instance for entries. TTL_MS: how long it may keep the answer. */
  void (*directory) (fleet_control_t *control, int64_t ttl_ms, call_t *call,
                     const call_request_t *request);
  /* The platform asks an entry whether it is ready. */
  void (*ready) (bool ready, call_t *call, const call_request_t *request);
} call_adapter_t;
