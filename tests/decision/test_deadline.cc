#include <gtest/gtest.h>

extern "C"
{
#include "deadline.h"
}

// Guards against a header that extends the timeout of the route, and against a malformed header
// that changes it.
TEST (Deadline, HeaderOnlyShortens)
{
  EXPECT_EQ (deadline_compute (1000, 2000, nullptr), 2001000);
  EXPECT_EQ (deadline_compute (1000, 2000, "500"), 501000);
  EXPECT_EQ (deadline_compute (1000, 2000, "9000"), 2001000);
  for (const char *header : { "", "-1", "1e3", " 5", "5 ", "99999999999999999999" })
    EXPECT_EQ (deadline_compute (1000, 2000, header), 2001000) << header;
}

// Guards against a hop that passes on more time than its caller will wait.
TEST (Deadline, ShrinksAtEachHop)
{
  int64_t deadline_us = deadline_compute (0, 100, nullptr);
  EXPECT_EQ (deadline_next_hop_ms (deadline_us, 30000, 4500), 65);
  EXPECT_EQ (deadline_next_hop_ms (deadline_us, 99999, 0), 0);
  EXPECT_EQ (deadline_next_hop_ms (deadline_us, 200000, 0), 0);
  EXPECT_TRUE (deadline_allows (deadline_us, 0, 50000, 50000));
  EXPECT_FALSE (deadline_allows (deadline_us, 0, 50001, 50000));
  EXPECT_TRUE (deadline_allows (DEADLINE_NONE, 1, 1000000, 1));
}

// Guards against a wait that is wrong by the difference between the server's clock and the local
// clock: a date in Retry-After is compared with the Date header of the same answer.
TEST (Deadline, RetryAfterIsComparedWithTheDateHeader)
{
  const char *date_header = "Sun, 06 Nov 1994 08:49:37 GMT";
  const int64_t wall_ms = 784111777000 + 40000;
  EXPECT_EQ (deadline_retry_after_us ("7", date_header, wall_ms), 7000000);
  EXPECT_EQ (deadline_retry_after_us ("Sun, 06 Nov 1994 08:49:42 GMT", date_header, wall_ms),
             5000000);
  EXPECT_EQ (deadline_retry_after_us ("Sun, 06 Nov 1994 08:49:30 GMT", date_header, wall_ms), 0);
  EXPECT_EQ (deadline_retry_after_us ("Sun, 06 Nov 1994 08:50:20 GMT", nullptr, wall_ms), 3000000);
  EXPECT_EQ (deadline_retry_after_us (nullptr, date_header, wall_ms), DEADLINE_RETRY_UNKNOWN);
  for (const char *header :
       { "", "soon", "-3", "Sun, 06 Xyz 1994 08:49:37 GMT", "Sun, 06 Nov 1994" })
    EXPECT_EQ (deadline_retry_after_us (header, date_header, wall_ms), DEADLINE_RETRY_UNKNOWN)
        << header;
}
