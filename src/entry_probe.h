#pragma once

#include "entry_service.h"

/* entry_probe - probes of targets: a GET of the probe path through the upstream pool.
 *
 * A probe succeeds if a response with a status below 500 is complete within
 * ENTRY_PROBE_TIMEOUT_US. */

#define ENTRY_PROBE_TIMEOUT_US INT64_C (1000000)

/* Probes a target of SERVICE; the result is evidence for its health. */
void entry_probe_start (entry_service_t *service, uint64_t target_id, const char *address,
                        int max_connections);

/* Sends a probe on another connection. Its result is ignored: its progress tells the upstream pool
 * that the target can be reached. Does nothing while a probe of the target is in progress. */
void entry_probe_connectivity (entry_service_t *service, uint64_t target_id, const char *address,
                               int max_connections);

/* Probes a target for another entry and sends the result on the link LINK_NUMBER. */
void entry_probe_for_peer (entry_service_t *service, uint64_t target_id, const char *address,
                           uint64_t link_number);

/* Cancels all probes of SERVICE; no results are reported. */
void entry_probe_cancel_all (entry_service_t *service);
