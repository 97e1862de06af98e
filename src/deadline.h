#pragma once

#include <stdbool.h>
#include <stdint.h>

/* deadline - how much time a request has left at this hop, and what Retry-After asks for.
 *
 * The header Anvillb-Deadline-Ms carries the remaining time, not a time of day, so clocks need not
 * agree. Each hop passes on what is left after its own work and the way. */

#define DEADLINE_NONE INT64_MAX

/* Result of deadline_retry_after_us() without a usable header. */
#define DEADLINE_RETRY_UNKNOWN INT64_C (-1)

/* Returns the deadline of a request that arrived at NOW_US: the smaller of the route's TIMEOUT_MS
 * and HEADER, the value of Anvillb-Deadline-Ms or NULL. A header that is not a decimal number is
 * ignored; a caller can shorten its time but not extend it. */
int64_t deadline_start (int64_t now_us, int64_t timeout_ms, const char *header);

/* Returns the time left in microseconds, 0 if the deadline has passed. */
int64_t deadline_left_us (int64_t deadline_us, int64_t now_us);

/* Returns the value of Anvillb-Deadline-Ms for the next hop, rounded down: the time left minus
 * DISTANCE_US, the one-way time to the next hop. 0 means that the request must not be sent. */
int64_t deadline_next_hop_ms (int64_t deadline_us, int64_t now_us, int64_t distance_us);

/* Returns whether an attempt that starts after WAIT_US and is expected to take EXPECTED_US ends
 * before the deadline. */
bool deadline_allows (int64_t deadline_us, int64_t now_us, int64_t wait_us, int64_t expected_us);

/* Returns how long to wait according to a refusal, in microseconds from its arrival, or
 * DEADLINE_RETRY_UNKNOWN. RETRY_AFTER is a number of seconds or an HTTP date; a date is counted
 * from DATE, the answer's own Date header, so that the server's clock may be wrong. WALL_MS
 * replaces DATE if that is NULL or malformed. A date in the past gives 0. */
int64_t deadline_retry_after_us (const char *retry_after, const char *date, int64_t wall_ms);
