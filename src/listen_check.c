#include "listen_check.h"

#include "option.h"

bool
listen_check_address (const char *name, const char *address, bool has_tls, bool insecure,
                      anv_error_t *err)
{
  if (has_tls || insecure || option_address_is_loopback (address))
    return true;
  anv_error_set (err, ANV_ERROR_OPTION, OPTION_ERROR_VALUE,
                 "--%s: value '%s' is not allowed: an address other than loopback needs TLS or "
                 "--insecure-listen",
                 name, address);
  return false;
}
