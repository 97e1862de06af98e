#pragma once

#include "entry_core.h"
#include "json_util.h"

/* entry_announce - announcements of backend servers, and resolve answers.
 *
 * POST /.anvillb/v1/announce takes the JSON object of design 2.3. The answer is {"lease_ms",
 * "echo"}; the backend server returns "echo" with its next announcement, together with
 * "echo_held_ms", the time since it got the echo. That round trip bounds the age of the
 * announcement. An echo is valid at the entry that issued it.
 *
 * TARGET_LEASE passes an announcement on to the owner: [service, address, domain, slots,
 * connections, load, state, incarnation, seq, target_sent_us, age_us, sent_us]. */

#define ANNOUNCE_MAX_BYTES 4096

/* Handles the body of an announcement. Returns the answer to send (free with cJSON_Delete()), or
 * NULL with a static REASON. */
cJSON *entry_announce_handle (entry_core_t *core, const char *body, size_t size,
                              const char **reason);

/* Sends ANNOUNCEMENT on to the entry at the peer address. */
void entry_announce_forward (entry_core_t *core, const target_announcement_t *announcement,
                             const char *peer_address);

/* Takes a TARGET_LEASE message. */
void entry_announce_receive (entry_core_t *core, const link_t *link, wire_reader_t *reader);

/* Returns the resolve answer for SERVICE and a caller in DOMAIN. Free with cJSON_Delete(). */
cJSON *entry_announce_resolve (entry_core_t *core, const char *service, const char *domain);
