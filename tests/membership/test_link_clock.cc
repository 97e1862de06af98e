#include <gtest/gtest.h>

extern "C"
{
#include "link_clock.h"
}

static const int64_t MS = 1000;
static const int64_t S = 1000000;

// Guards against a lease that is extended by the time its announcement spent in a socket buffer.
TEST (LinkClock, ExcessIsTheDelayAboveTheSmallest)
{
  link_clock_t clock;
  link_clock_init (&clock);
  const int64_t skew = 5000 * S;
  EXPECT_EQ (link_clock_record_message (&clock, 10 * S + 7 * MS, 10 * S + skew), 0);
  EXPECT_EQ (link_clock_record_message (&clock, 11 * S + 5 * MS, 11 * S + skew), 0);
  EXPECT_EQ (link_clock_record_message (&clock, 20 * S + 5 * MS, 12 * S + skew), 8 * S);
}

// Guards against a smallest delay that is kept so long that clock drift counts as delay.
TEST (LinkClock, SamplesExpireAfterSixtySeconds)
{
  link_clock_t clock;
  link_clock_init (&clock);
  link_clock_record_message (&clock, 1 * S, 1 * S);
  link_clock_record_round_trip (&clock, 1 * S, 1 * S, 1 * S);
  EXPECT_EQ (link_clock_record_message (&clock, 50 * S, 49 * S), 1 * S);
  EXPECT_EQ (link_clock_age_us (&clock, 50 * S, 49 * S), 1 * S);
  EXPECT_EQ (link_clock_record_message (&clock, 110 * S, 109 * S), 0);
  EXPECT_EQ (link_clock_age_us (&clock, 110 * S, 109 * S), LINK_CLOCK_AGE_UNKNOWN);
}

// Guards against an age below the true one, whatever the clock difference and the two delays.
TEST (LinkClock, AgeIsAnUpperBoundAfterARoundTrip)
{
  link_clock_t clock;
  link_clock_init (&clock);
  EXPECT_EQ (link_clock_age_us (&clock, 1 * S, 0), LINK_CLOCK_AGE_UNKNOWN);
  // The stamp of 100 s is sent back when the sender's clock, 30 s ahead, reads 130.2 s.
  link_clock_record_round_trip (&clock, 103 * S, 130 * S + 200 * MS, 100 * S);
  // The message of 134 s is sent at 104 s on the receiver's clock and received at 109 s: it is 5 s
  // old. The bound adds the 0.2 s that the stamp took to reach the sender.
  EXPECT_EQ (link_clock_age_us (&clock, 109 * S, 134 * S), 5 * S + 200 * MS);
  link_clock_record_round_trip (&clock, 110 * S, 140 * S, 109 * S + 999 * MS);
  EXPECT_EQ (link_clock_age_us (&clock, 110 * S, 135 * S), 5 * S + 1 * MS);
}
