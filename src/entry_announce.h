#pragma once

#include "entry_core.h"
#include "json_util.h"

/* entry_announce - announcements of backend servers, and resolve responses.
 *
 * POST /.anvillb/v1/announce takes the JSON object of section 2.3 of the design: "service",
 * "address", "domain", "slots", "connections", "load", "state", "incarnation", "seq", "sent_ms",
 * "echo" and "echo_held_ms". The response is {"lease_ms", "echo"}. The backend server returns
 * "echo" with its next announcement, together with "echo_held_ms", the time since it received the
 * echo. This round trip bounds the age of the announcement. An echo is valid only at the entry that
 * issued it.
 *
 * TARGET_LEASE forwards an announcement to the owner: [service, address, domain, slots,
 * connections, load, state, incarnation, seq, sent_us, max_age_us, forwarded_us]. The sending entry
 * writes forwarded_us, the time on its clock; see target_announcement_t for the other fields. */

#define MAX_ANNOUNCEMENT_BYTES 4096

/* Handles the body of an announcement. Returns the response (free with cJSON_Delete()). For a
 * malformed body returns NULL and stores a static text in REASON. */
cJSON *entry_announce_handle (entry_core_t *core, const char *body, size_t size,
                              const char **reason);

/* Forwards ANNOUNCEMENT to the entry at PEER_ADDRESS. */
void entry_announce_forward (entry_core_t *core, const target_announcement_t *announcement,
                             const char *peer_address);

/* Handles a TARGET_LEASE message. */
void entry_announce_receive (entry_core_t *core, const link_t *link, wire_reader_t *reader);

/* Returns the resolve response for SERVICE and a caller in DOMAIN. Free with cJSON_Delete(). */
cJSON *entry_announce_resolve (entry_core_t *core, const char *service, const char *domain);
