#pragma once

#include <stdbool.h>
#include <stdint.h>

/* idle_limit - learned limit of the idle time after which a connection to a backend server is no
 * longer reused for a request that is not idempotent. It does no I/O.
 *
 * Some backend servers drop idle connections without notice, and earlier than they announce. The
 * next request on such a connection is reset, and it is unknown whether it ran. Each reset right
 * after an idle connection was reused lowers the limit. The limit is lifted when there has been no
 * such reset for some seconds. */

typedef struct
{
  int64_t limit_us;      /* INT64_MAX: none */
  int64_t last_reset_us; /* last reset that was counted */
} idle_limit_t;

void idle_limit_init (idle_limit_t *limit);

/* Records that a request was reset ELAPSED_US after it was sent on a connection that had been idle
 * for IDLE_US. Returns whether that lowers the limit. */
bool idle_limit_record_reset (idle_limit_t *limit, int64_t now_us, int64_t idle_us,
                              int64_t elapsed_us);

/* Returns the longest idle time of a connection that may be reused; INT64_MAX without a limit. */
int64_t idle_limit_get (const idle_limit_t *limit, int64_t now_us);
