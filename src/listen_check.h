#pragma once

#include <stdbool.h>

#include "anv_error.h"

/* listen_check - rule for listening addresses, shared by the programs. */

/* Returns whether setting NAME may be ADDRESS: an address other than loopback needs TLS or the flag
 * --insecure-listen. Otherwise sets ANV_ERROR_OPTION. */
bool listen_check (const char *name, const char *address, bool has_tls, bool insecure,
                   anv_error_t *err);
