#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "stall_history.h"
}

namespace
{
class StallHistory : public ::testing::Test
{
protected:
  stall_history_t history;

  void
  SetUp () override
  {
    stall_history_init (&history);
  }
  void
  TearDown () override
  {
    stall_history_destroy (&history);
  }
};
}

// Guards against attempts that are given up on a route whose requests take longer than the stall
// time, from the first request on.
TEST_F (StallHistory, RouteIsQuickOnlyAfterAQuickAnswer)
{
  EXPECT_FALSE (stall_history_is_quick (&history, "slow"));
  stall_history_record_answer (&history, "slow", false);
  EXPECT_FALSE (stall_history_is_quick (&history, "slow"));
  stall_history_record_answer (&history, "quick", true);
  EXPECT_TRUE (stall_history_is_quick (&history, "quick"));
  EXPECT_FALSE (stall_history_is_quick (&history, "slow"));
}

// Guards against a route that has become slow as a whole and whose attempts are given up for ever.
TEST_F (StallHistory, StallsWithoutAnAnswerEndIt)
{
  stall_history_record_answer (&history, "r", true);
  for (int i = 1; i < STALL_HISTORY_MAX_STALLS; i++)
    stall_history_record_stall (&history, "r");
  EXPECT_TRUE (stall_history_is_quick (&history, "r"));
  stall_history_record_answer (&history, "r", true);
  for (int i = 1; i < STALL_HISTORY_MAX_STALLS; i++)
    stall_history_record_stall (&history, "r");
  EXPECT_TRUE (stall_history_is_quick (&history, "r")) << "an answer does not clear the stalls";
  stall_history_record_stall (&history, "r");
  EXPECT_FALSE (stall_history_is_quick (&history, "r"));
  stall_history_record_stall (&history, "r");
  EXPECT_FALSE (stall_history_is_quick (&history, "r"));
  stall_history_record_answer (&history, "r", true);
  EXPECT_TRUE (stall_history_is_quick (&history, "r"));
}

// Guards against a route that became slow and still counts as quick.
TEST_F (StallHistory, SlowAnswerEndsIt)
{
  stall_history_record_answer (&history, "r", true);
  stall_history_record_answer (&history, "r", false);
  EXPECT_FALSE (stall_history_is_quick (&history, "r"));
}

// Guards against memory that grows with the routes of all versions of the configuration.
TEST_F (StallHistory, NumberOfRoutesIsBounded)
{
  for (int i = 0; i < 30000; i++)
    stall_history_record_answer (&history, ("r" + std::to_string (i)).c_str (), true);
  EXPECT_LE (g_hash_table_size (history.quick_routes), 10000u);
  EXPECT_TRUE (stall_history_is_quick (&history, "r29999"));
}
