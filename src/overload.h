#pragma once

#include <stdbool.h>
#include <stdint.h>

/* overload - tells a standing queue from a burst, like CoDel.
 *
 * A burst drains within one interval, so the minimum wait of the interval stays below the limit. If
 * the minimum exceeds the limit, the queue is a standing one and its class is overloaded. The
 * overload ends when a request has waited at most 1/OVERLOAD_END_DIVISOR of the limit or the queue
 * is empty. Admission keeps the wait near the limit during an overload, so a queue that drains
 * further shows that the load has fallen. */

#define OVERLOAD_END_DIVISOR 4

/* The limit still applies for this long after an overload. A short queue empties by chance at any
 * load; without the cooldown it would each time grow again for an interval. */
#define OVERLOAD_COOLDOWN_US 1000000

/* Length of an interval, longer than a burst takes to drain. */
#define OVERLOAD_INTERVAL_US 100000

typedef struct
{
  int64_t interval_start_us;
  int64_t min_wait_us; /* -1: no wait recorded in this interval */
  bool overloaded;
  int64_t limited_until_us; /* end of the cooldown */
} overload_t;

void overload_init (overload_t *o);

/* Returns whether admission must keep the wait within the limit: during an overload and its
 * cooldown. */
bool overload_is_limited (const overload_t *o, int64_t now_us);

/* Records that a dispatched request waited WAIT_US in the queue. LIMIT_US is the wait above which
 * the queue is a standing one. */
void overload_record_wait (overload_t *o, int64_t now_us, int64_t wait_us, int64_t limit_us);

/* Records that the queue is empty. */
void overload_record_empty (overload_t *o, int64_t now_us);
