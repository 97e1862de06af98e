#pragma once

#include "config_machine.h"
#include "operator_server.h"

/* config_api - operators' calls that change the configuration.
 *
 *   POST /v1/patches   {"base": N, "patch_id", "operator", "reason", "patch": {...}}
 *
 * The answer is {"outcome", "version", "current", "digest", "text"} with 200 (accepted, repeated),
 * 409 (stale, conflict) or 422 (invalid). A member that does not lead redirects. */

/* Answers CALL if it is one of these. Returns whether it did. */
bool config_api_handle (config_machine_t *machine, operator_call_t *call,
                        const operator_request_t *request);
