#include "http_dialect.h"

#include <stddef.h>

const http_dialect_t http_dialect_own = {
  .deadline = "Anvillb-Deadline-Ms",
  .refused = "Anvillb-Shed",
  .refused_value = "1",
  .refused_status = 503,
  .outcome_fields = true,
  .forwarding_fields = true,
};
