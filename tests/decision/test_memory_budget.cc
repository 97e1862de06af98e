#include <gtest/gtest.h>

#include <set>
#include <vector>

extern "C"
{
#include "memory_budget.h"
}

namespace
{
constexpr int64_t MS = 1000;
constexpr size_t KB = 1024;
/* The bound is a half of it. */
constexpr size_t PROCESS_BYTES = 2000 * KB;
}

class MemoryBudget : public ::testing::Test
{
protected:
  memory_budget_t budget;
  std::vector<memory_holder_t> holders = std::vector<memory_holder_t> (4000);
  int64_t now_us = 0;

  void
  SetUp () override
  {
    memory_budget_init (&budget, PROCESS_BYTES);
  }

  memory_holder_t *
  add (size_t number, size_t unread_bytes, size_t kept_bytes = 0)
  {
    memory_budget_add (&budget, &holders[number], now_us);
    memory_budget_set (&budget, &holders[number], unread_bytes, kept_bytes, now_us);
    return &holders[number];
  }
};

// Guards against callers that are cut off although there is enough memory.
TEST_F (MemoryBudget, NothingClosesBelowPressure)
{
  add (0, 700 * KB);
  now_us = 3600 * 1000 * MS;
  EXPECT_EQ (memory_budget_level (&budget), MEMORY_NORMAL);
  EXPECT_EQ (memory_budget_choose (&budget, now_us), nullptr);
}

// Guards against closing a caller that reads, or the smaller of two that do not.
TEST_F (MemoryBudget, HighestCostClosesFirst)
{
  memory_holder_t *reading = add (0, 400 * KB);
  add (1, 100 * KB);
  memory_holder_t *large = add (2, 200 * KB);
  memory_holder_t *dripping = add (3, 150 * KB);
  EXPECT_EQ (memory_budget_level (&budget), MEMORY_PRESSURE);
  for (now_us = 0; now_us < 2500 * MS; now_us += 100 * MS)
    {
      memory_budget_record_moved (reading, MIN_MEMORY_PROGRESS_BYTES, now_us);
      memory_budget_record_moved (dripping, 1, now_us);
    }
  EXPECT_EQ (memory_budget_choose (&budget, now_us), large);
  memory_budget_remove (&budget, large);
  EXPECT_EQ (memory_budget_level (&budget), MEMORY_NORMAL);
  EXPECT_EQ (memory_budget_choose (&budget, now_us), nullptr);
}

// Guards against ending requests that wait for a target rather than for their caller, and against
// a process that passes its bound because nobody is slow.
TEST_F (MemoryBudget, KeptBytesCloseOnlyBeyondTheBound)
{
  memory_holder_t *largest = add (0, 0, 600 * KB);
  add (1, 0, 450 * KB);
  now_us = 10000 * MS;
  EXPECT_EQ (memory_budget_level (&budget), MEMORY_FULL);
  EXPECT_EQ (memory_budget_choose (&budget, now_us), nullptr);
  add (2, 0, 100 * KB);
  EXPECT_EQ (memory_budget_level (&budget), MEMORY_EXCEEDED);
  EXPECT_EQ (memory_budget_choose (&budget, now_us), largest);
}

// Replays 2,000 callers that read a byte a second and hold twice the bound each second, beside four
// that take 32 KB every 60 ms. Guards against a bound that is reached, which would refuse the
// others, although slow callers could close, and against closing those that read.
TEST_F (MemoryBudget, ManySlowCallersLeaveRoomForOthers)
{
  std::set<memory_holder_t *> reading;
  size_t slow_closed = 0;
  for (size_t i = 0; i < 4; i++)
    reading.insert (add (i, 32 * KB));
  for (size_t i = 4; i < 2004; i++, now_us += 20 * MS)
    {
      add (i, 40 * KB);
      for (memory_holder_t *holder : reading)
        memory_budget_record_moved (holder, i % 3 == 0 ? 32 * KB : 0, now_us);
      memory_holder_t *chosen = nullptr;
      while ((chosen = memory_budget_choose (&budget, now_us)) != nullptr)
        {
          ASSERT_EQ (reading.count (chosen), 0u);
          memory_budget_remove (&budget, chosen);
          slow_closed++;
        }
      ASSERT_LT (memory_budget_level (&budget), MEMORY_FULL);
    }
  EXPECT_GT (slow_closed, 1900u);
}
