#pragma once

#include <stdbool.h>
#include <stdint.h>

/* overload - tells a standing queue from a burst, in the manner of CoDel.
 *
 * A burst empties within one interval, so the smallest wait of the interval stays below the limit.
 * A standing queue does not: the class is overloaded until a request has waited less than the
 * OVERLOAD_END_DIVISOR-th part of the limit or the queue is empty. While it is overloaded,
 * admission keeps the wait near the limit; a queue that drains from there shows that the load has
 * fallen. */

#define OVERLOAD_END_DIVISOR 4

/* The limit applies for this long after the end of an overload. A short queue empties by chance at
 * any load, and would otherwise grow again for an interval each time. */
#define OVERLOAD_MEMORY_US 1000000
#define OVERLOAD_INTERVAL_US 100000

typedef struct
{
  int64_t interval_start_us;
  int64_t smallest_wait_us; /* -1: none in this interval */
  bool overloaded;
  int64_t limited_until_us;
} overload_t;

void overload_init (overload_t *o);

/* Returns whether admission has to keep the wait within the limit. */
bool overload_is_limited (const overload_t *o, int64_t now_us);

/* Records the wait of a request that leaves the queue. */
void overload_observe (overload_t *o, int64_t now_us, int64_t wait_us, int64_t limit_us);

/* Records that the queue is empty. */
void overload_clear (overload_t *o, int64_t now_us);
