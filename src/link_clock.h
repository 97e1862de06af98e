#pragma once

#include <stdbool.h>
#include <stdint.h>

/* link_clock - how old a message from one sender is, although the clocks are not synchronised.
 *
 * A message states when it was sent on the sender's monotonic clock. Two estimates are kept over
 * the last 50 to 60 s, so that clock drift stays far below a lease:
 *
 * - excess: delay minus the smallest delay seen. It needs no reply, but it misses a delay that all
 *   messages so far had in common, for example when the first messages wait in a socket buffer.
 * - age: an upper bound that needs a round trip. The sender returns a time stamp of the receiver;
 *   what it sent after that cannot be older than the stamp. The bound is too high by at most the
 *   duration of the round trip. */

#define LINK_CLOCK_SLOTS 6
#define LINK_CLOCK_SLOT_US (10 * INT64_C (1000000))

/* Result of link_clock_age() before the first round trip or when the last one is too old. */
#define LINK_CLOCK_AGE_UNKNOWN INT64_C (-1)

typedef struct
{
  struct
  {
    int64_t number; /* time / LINK_CLOCK_SLOT_US */
    bool has_delay;
    bool has_offset;
    int64_t smallest_delay;
    int64_t largest_offset;
  } slots[LINK_CLOCK_SLOTS];
} link_clock_t;

void link_clock_init (link_clock_t *clock);

/* Records a message that was sent at SENT_US of the sender's clock and received at NOW_US, and
 * returns its excess delay in microseconds, 0 or more. */
int64_t link_clock_excess (link_clock_t *clock, int64_t now_us, int64_t sent_us);

/* Records a round trip: the sender's clock read REMOTE_US when NOT_BEFORE_US of the receiver's
 * clock had already passed. For an echo, NOT_BEFORE_US is the returned time stamp. */
void link_clock_calibrate (link_clock_t *clock, int64_t now_us, int64_t remote_us,
                           int64_t not_before_us);

/* Returns an upper bound of the age at NOW_US of a message sent at SENT_US of the sender's clock, 0
 * or more, or LINK_CLOCK_AGE_UNKNOWN. */
int64_t link_clock_age (const link_clock_t *clock, int64_t now_us, int64_t sent_us);
