#pragma once

#include <stdbool.h>

#include "anv_error.h"

/* listen_check - check of listening addresses, shared by the programs. */

/* Returns whether ADDRESS is allowed for the setting NAME: an address other than loopback needs TLS
 * or the flag --insecure-listen. Returns false with ANV_ERROR_OPTION. */
bool listen_check_address (const char *name, const char *address, bool has_tls, bool insecure,
                           anv_error_t *err);
