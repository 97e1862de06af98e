#pragma once

#include "call_server.h"

/* metrics_page - serves the metrics of a process at /metrics, in the Prometheus text format. */

/* Answers CALL with the metrics of REGISTRY, or with 404 for another path or method. */
void metrics_page_handle_call (const metric_registry_t *registry, call_t *call,
                               const call_request_t *request);
