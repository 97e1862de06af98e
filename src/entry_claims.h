#pragma once

#include "entry_core.h"

/* entry_claims - connects claim_client to the peer network and relays claims of other entries.
 *
 * An entry whose own link to the claims group is broken sends a claim through another entry. The
 * relaying entry follows at most one leader hint and sends the reply back on the link that the
 * request came from. */

void entry_claims_init (entry_core_t *core);
void entry_claims_destroy (entry_core_t *core);

/* Returns whether the settings name a member of the claims group. Without one, no claim can be
 * made. */
bool entry_claims_available (const entry_core_t *core);

/* Fills NONCE with a value that no process has used before. */
void entry_claims_make_nonce (entry_core_t *core, uint8_t nonce[CLAIM_NONCE_SIZE]);

/* Sends messages that are due and arms the timer. Must be called after each use of core->claims. */
void entry_claims_update (entry_core_t *core);

/* Handles a WIRE_CLAIM_REQUEST of another entry or a WIRE_CLAIM_REPLY. Returns whether TYPE is one
 * of them. */
bool entry_claims_receive (entry_core_t *core, const link_t *link, wire_type_t type,
                           wire_reader_t *reader);
