#pragma once

#include "entry_service.h"

/* entry_probe - probes of targets: GET of the probe path over the upstream pool.
 *
 * A probe counts as answered correctly with a status below 500 within ENTRY_PROBE_TIMEOUT_US. */

#define ENTRY_PROBE_TIMEOUT_US INT64_C (1000000)

/* Probes a target for the health of SERVICE. */
void entry_probe_start (entry_service_t *service, uint64_t target_id, const char *address,
                        int max_connections);

/* Sends a probe whose only use is the progress that it makes on another connection; does nothing
 * while a probe of the target is under way. */
void entry_probe_path (entry_service_t *service, uint64_t target_id, const char *address,
                       int max_connections);

/* Probes a target for another entry and answers on the link NUMBER. */
void entry_probe_for_peer (entry_service_t *service, uint64_t target_id, const char *address,
                           uint64_t number);

/* Ends all probes of SERVICE without a report. */
void entry_probe_forget (entry_service_t *service);
