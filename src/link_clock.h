#pragma once

#include <stdbool.h>
#include <stdint.h>

/* link_clock - estimates the age of messages from one sender whose clock is not synchronised.
 *
 * Each message carries its send time on the sender's monotonic clock. Two estimates use the samples
 * of the last 50 to 60 s, so that clock drift stays far below the duration of a lease:
 *
 * - excess delay: the delay minus the smallest delay in the window. It needs no reply, but it
 *   misses a delay that all messages so far had in common, for example when the first messages
 *   wait in a socket buffer.
 * - age: an upper bound that needs a round trip. The sender echoes a time stamp of the receiver,
 *   and a message that it sends afterwards is not older than that time stamp. The bound exceeds
 *   the age by at most the round-trip time. */

#define LINK_CLOCK_BUCKET_COUNT 6
#define LINK_CLOCK_BUCKET_US (10 * INT64_C (1000000))

/* Returned by link_clock_age_us() if no round trip was recorded in the last 50 to 60 s. */
#define LINK_CLOCK_AGE_UNKNOWN INT64_C (-1)

typedef struct
{
  struct
  {
    int64_t number; /* time / LINK_CLOCK_BUCKET_US; -1: never used */
    bool has_delay;
    bool has_offset;
    int64_t min_delay_us; /* time of receipt minus the sender's time; contains the clocks' offset */
    int64_t max_offset_us; /* lower bound of the receiver's clock minus the sender's clock */
  } buckets[LINK_CLOCK_BUCKET_COUNT];
} link_clock_t;

void link_clock_init (link_clock_t *clock);

/* Records a message that was sent at SENT_US on the sender's clock and received at NOW_US. Returns
 * its excess delay in microseconds, 0 or more. */
int64_t link_clock_record_message (link_clock_t *clock, int64_t now_us, int64_t sent_us);

/* Records a round trip: when the sender's clock read SENDER_US, the receiver's clock had reached at
 * least NOT_BEFORE_US. For an echo, NOT_BEFORE_US is the returned time stamp. */
void link_clock_record_round_trip (link_clock_t *clock, int64_t now_us, int64_t sender_us,
                                   int64_t not_before_us);

/* Returns an upper bound of the age at NOW_US of a message that was sent at SENT_US on the sender's
 * clock, in microseconds, 0 or more; or LINK_CLOCK_AGE_UNKNOWN. */
int64_t link_clock_age_us (const link_clock_t *clock, int64_t now_us, int64_t sent_us);
