#pragma once

#include <stdbool.h>
#include <stdint.h>

/* deadline - computes the time a request has left at this hop, and the wait Retry-After asks for.
 *
 * The header Anvillb-Deadline-Ms carries the remaining time instead of an absolute time, so that
 * clocks need not agree. Each hop subtracts its own processing time and the latency to the next
 * hop. */

/* Deadline of a request without one. */
#define DEADLINE_NONE INT64_MAX

/* Result of deadline_retry_after_us() if the header is missing or malformed. */
#define DEADLINE_RETRY_UNKNOWN INT64_C (-1)

/* Returns the deadline of a request that arrived at NOW_US. The time limit is the smaller of the
 * route's TIMEOUT_MS and HEADER, the value of Anvillb-Deadline-Ms, so that a caller can shorten its
 * time but not extend it. HEADER may be NULL; one that is not a decimal number of at most 10 digits
 * is ignored. */
int64_t deadline_compute (int64_t now_us, int64_t timeout_ms, const char *header);

/* Returns the time left in microseconds: 0 if the deadline has passed, DEADLINE_NONE without a
 * deadline. */
int64_t deadline_left_us (int64_t deadline_us, int64_t now_us);

/* Returns the value of Anvillb-Deadline-Ms for the next hop: the time left minus DISTANCE_US, the
 * one-way latency to the next hop, rounded down. If it is 0, the request must not be sent. */
int64_t deadline_next_hop_ms (int64_t deadline_us, int64_t now_us, int64_t distance_us);

/* Returns whether an attempt that starts after WAIT_US and is expected to take EXPECTED_US ends
 * by the deadline. */
bool deadline_allows (int64_t deadline_us, int64_t now_us, int64_t wait_us, int64_t expected_us);

/* Returns the wait that the Retry-After header of a refusal asks for, in microseconds from the
 * arrival of the refusal, or DEADLINE_RETRY_UNKNOWN. RETRY_AFTER is the value of the header: a
 * number of seconds or an HTTP date. A date is compared with DATE, the Date header of the same
 * answer, so that a wrong clock of the server does no harm. WALL_MS, the local clock in
 * milliseconds since 1970, is used if DATE is NULL or malformed. Returns 0 for a date in the past.
 */
int64_t deadline_retry_after_us (const char *retry_after, const char *date, int64_t wall_ms);
