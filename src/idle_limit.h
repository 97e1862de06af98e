#pragma once

#include <stdbool.h>
#include <stdint.h>

/* idle_limit - how long a connection may have been idle for a request that must not be lost; pure.
 *
 * Some backend servers drop idle connections without notice, and sooner than they say. The next
 * request on such a connection is reset, and nobody can tell whether it ran. Each reset right after
 * the reuse of an idle connection lowers the limit; when none has been seen for some seconds, the
 * limit is lifted. */

typedef struct
{
  int64_t limit_us; /* INT64_MAX: none */
  int64_t lost_us;  /* last reset of an idle connection */
} idle_limit_t;

void idle_limit_init (idle_limit_t *limit);

/* A request on a connection that had been idle for IDLE_US was reset ELAPSED_US after it was sent.
 * Returns whether that lowers the limit. */
bool idle_limit_reset (idle_limit_t *limit, int64_t now_us, int64_t idle_us, int64_t elapsed_us);

/* Returns the longest time that a connection may have been idle. */
int64_t idle_limit_get (const idle_limit_t *limit, int64_t now_us);
