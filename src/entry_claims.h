#pragma once

#include "entry_core.h"

/* entry_claims - connects claim_client with the peer network, and relays claims of other entries.
 *
 * An entry whose own link to the claims group is broken sends a claim through another entry. That
 * entry follows one leader hint and passes the reply back on the link of the request. */

void entry_claims_init (entry_core_t *core);
void entry_claims_destroy (entry_core_t *core);

/* Returns whether claims are possible at all: the settings name a member of the group. */
bool entry_claims_available (const entry_core_t *core);

/* Fills NONCE with a value that no process has used before. */
void entry_claims_nonce (entry_core_t *core, uint8_t nonce[CLAIM_NONCE_SIZE]);

/* Sends what is due and arms the timer; call after each use of core->claims. */
void entry_claims_update (entry_core_t *core);

/* Takes a CLAIM_REQUEST of another entry or a CLAIM_REPLY. Returns whether TYPE is one of them. */
bool entry_claims_receive (entry_core_t *core, const link_t *link, wire_type_t type,
                           wire_reader_t *reader);
