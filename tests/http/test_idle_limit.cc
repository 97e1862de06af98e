#include <gtest/gtest.h>

extern "C"
{
#include "idle_limit.h"
}

namespace
{
/* Units of time in microseconds. */
constexpr int64_t MS = 1000;
constexpr int64_t SECOND = 1000 * MS;
}

// Guards against requests that are lost on connections that backend servers drop after 300 ms of
// idle time: after one reset, no connection that has been idle for longer is reused.
TEST (IdleLimit, ResetLowersTheLimit)
{
  idle_limit_t limit;
  idle_limit_init (&limit);
  EXPECT_EQ (idle_limit_get (&limit, 0), INT64_MAX);
  EXPECT_TRUE (idle_limit_record_reset (&limit, SECOND, 400 * MS, 2 * MS));
  EXPECT_EQ (idle_limit_get (&limit, SECOND), 300 * MS);
  EXPECT_FALSE (idle_limit_record_reset (&limit, SECOND, 2 * SECOND, 2 * MS));
  EXPECT_EQ (idle_limit_get (&limit, SECOND), 300 * MS);
}

// Guards against a new connection for every request after resets with other causes: of a request
// that the target was executing, or of a connection in steady use.
TEST (IdleLimit, UnrelatedResetsAreIgnored)
{
  idle_limit_t limit;
  idle_limit_init (&limit);
  EXPECT_FALSE (idle_limit_record_reset (&limit, SECOND, 400 * MS, 100 * MS));
  EXPECT_FALSE (idle_limit_record_reset (&limit, SECOND, 5 * MS, 2 * MS));
  EXPECT_EQ (idle_limit_get (&limit, SECOND), INT64_MAX);
}

// Guards against a limit that remains in force after the fault has ended.
TEST (IdleLimit, LimitIsLifted)
{
  idle_limit_t limit;
  idle_limit_init (&limit);
  idle_limit_record_reset (&limit, SECOND, 400 * MS, 2 * MS);
  EXPECT_EQ (idle_limit_get (&limit, 12 * SECOND), INT64_MAX);
  EXPECT_TRUE (idle_limit_record_reset (&limit, 12 * SECOND, 800 * MS, 2 * MS));
  EXPECT_EQ (idle_limit_get (&limit, 12 * SECOND), 600 * MS);
}
