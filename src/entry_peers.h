#pragma once

#include "entry_service.h"

/* entry_peers - messages between the entries that are assigned to a service.
 *
 *   SERVICE_SUMMARY [service, sent_us, own_slots, settled_slots, ejected_slots, slots, free_slots,
 *                    wait_us urgent, wait_us background, measured_target_count,
 *                    median_latency_us, failure_rate], see service_summary_t
 *   TEAM_USAGE      see limiter_wire
 *   PROBE_REQUEST   [service, address, target_id]
 *   PROBE_RESULT    [service, target_id, answered, latency_us, expected_probe_latency_us,
 *                    peer_is_normal], see health_peer_probe_t
 *   TARGET_LEASE    see entry_announce */

#define ENTRY_SUMMARY_PERIOD_US INT64_C (500000)

/* Handles a message of the types above. Returns whether TYPE is one of them. */
bool entry_peers_receive (entry_core_t *core, link_t *link, wire_type_t type,
                          wire_reader_t *reader);

/* Sends the summary of SERVICE to the other assigned entries. */
void entry_peers_send_summary (entry_service_t *service);

/* Sends the team usage that the limiter reports to the other assigned entries. */
void entry_peers_send_usage (entry_service_t *service);

/* Asks another assigned entry, chosen at random, to probe the target. */
void entry_peers_request_probe (entry_service_t *service, uint64_t target_id, const char *address);

/* Answers a PROBE_REQUEST on the link LINK_NUMBER. */
void entry_peers_send_probe_result (entry_service_t *service, uint64_t link_number,
                                    uint64_t target_id, const health_peer_probe_t *peer_probe);
