#include "http_dialect.h"

#include <stddef.h>

const http_dialect_t http_dialect_native = {
  .deadline_header = "Anvillb-Deadline-Ms",
  .attempt_id_header = "Anvillb-Attempt",
  .not_run_header = "Anvillb-Shed",
  .not_run_value = "1",
  .not_run_status = 503,
  .sends_outcome_headers = true,
  .sends_forwarding_headers = true,
};

bool
http_dialect_means_not_run (const http_dialect_t *dialect, int status)
{
  for (const int *known = dialect->not_run_statuses; known != NULL && *known != 0; known++)
    {
      if (*known == status)
        return true;
    }
  return false;
}
