#include <gtest/gtest.h>

extern "C"
{
#include "idle_limit.h"
}

namespace
{
constexpr int64_t MS = 1000;
constexpr int64_t SECOND = 1000 * MS;
}

// Guards against requests that are lost on connections that their peers drop after 300 ms: after
// one reset, no connection is used that was idle for as long.
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

// Guards against new connections for every request because a target reset one that it was working
// at, or one in steady use.
TEST (IdleLimit, OtherResetsSayNothing)
{
  idle_limit_t limit;
  idle_limit_init (&limit);
  EXPECT_FALSE (idle_limit_record_reset (&limit, SECOND, 400 * MS, 100 * MS));
  EXPECT_FALSE (idle_limit_record_reset (&limit, SECOND, 5 * MS, 2 * MS));
  EXPECT_EQ (idle_limit_get (&limit, SECOND), INT64_MAX);
}

// Guards against a limit that stays when the fault is over.
TEST (IdleLimit, LimitIsLifted)
{
  idle_limit_t limit;
  idle_limit_init (&limit);
  idle_limit_record_reset (&limit, SECOND, 400 * MS, 2 * MS);
  EXPECT_EQ (idle_limit_get (&limit, 12 * SECOND), INT64_MAX);
  EXPECT_TRUE (idle_limit_record_reset (&limit, 12 * SECOND, 800 * MS, 2 * MS));
  EXPECT_EQ (idle_limit_get (&limit, 12 * SECOND), 600 * MS);
}
