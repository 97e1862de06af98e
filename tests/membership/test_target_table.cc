#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "target_table.h"
}

static const int64_t MS = 1000;
static const int64_t S = 1000000;

class TargetTable : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    target_table_options_t options = { 6, 4, true, on_event, this };
    target_table_init (&table, &options);
  }

  void
  TearDown () override
  {
    target_table_destroy (&table);
  }

  static void
  on_event (void *data, target_event_t event, const target_t *target)
  {
    static const char *const names[] = { "added ", "changed ", "gone " };
    ((TargetTable *)data)->events.push_back (std::string (names[event]) + target->address);
  }

  target_result_t
  announce (int64_t now_us, uint64_t incarnation, uint64_t seq, int64_t age_us,
            target_state_t state = TARGET_UP, const char *address = "10.0.0.1:80",
            const char *service = "crew")
  {
    target_announcement_t announcement = { service, address, "fd-1",      2,   300,
                                           0.5,     state,   incarnation, seq, now_us - age_us,
                                           age_us };
    return target_table_announce (&table, now_us, &announcement, true);
  }

  bool
  is_usable (int64_t now_us, const char *address = "10.0.0.1:80")
  {
    const target_t *target = target_table_find (&table, "crew", address);
    return target != nullptr && target_is_usable (target, now_us);
  }

  target_table_t table;
  std::vector<std::string> events;
};

// Guards against a lease that counts from the arrival of a delayed announcement.
TEST_F (TargetTable, LeaseCountsFromSending)
{
  EXPECT_EQ (announce (20 * S, 1, 1, 1 * S), TARGET_ACCEPTED);
  EXPECT_TRUE (is_usable (20 * S + 1499 * MS));
  EXPECT_FALSE (is_usable (20 * S + 1500 * MS));
  EXPECT_EQ (announce (22 * S, 1, 2, 3 * S), TARGET_NOT_USABLE);
  EXPECT_FALSE (is_usable (22 * S));
  target_table_tick (&table, 22 * S);
  EXPECT_EQ (events, (std::vector<std::string>{ "added 10.0.0.1:80", "gone 10.0.0.1:80" }));
}

// Guards against an old message that undoes a newer one, also after a restart of the target.
TEST_F (TargetTable, OrderIsByIncarnationAndSequence)
{
  announce (1 * S, 5, 10, 0);
  EXPECT_EQ (announce (2 * S, 5, 12, 0, TARGET_LEAVING), TARGET_NOT_USABLE);
  EXPECT_EQ (announce (2 * S, 5, 11, 0), TARGET_OUTDATED);
  EXPECT_EQ (announce (2 * S, 4, 99, 0), TARGET_OUTDATED);
  EXPECT_FALSE (is_usable (2 * S));
  EXPECT_EQ (announce (3 * S, 6, 1, 0), TARGET_ACCEPTED);
  EXPECT_EQ (announce (4 * S, 6, 2, 0, TARGET_DRAINING), TARGET_NOT_USABLE);
  EXPECT_FALSE (is_usable (4 * S));
  EXPECT_EQ (events.size (), 4u);
}

// Guards against a departed target that is removed while messages from before its departure can
// still arrive and would add it again.
TEST_F (TargetTable, DepartedTargetsAreKeptForLateMessages)
{
  announce (1 * S, 1, 1, 0);
  announce (2 * S, 1, 3, 0, TARGET_LEAVING);
  target_table_tick (&table, 15 * S);
  EXPECT_EQ (announce (15 * S, 1, 2, LINK_CLOCK_AGE_UNKNOWN), TARGET_OUTDATED);
  target_table_tick (&table, 70 * S);
  EXPECT_EQ (target_table_size (&table), 0u);
}

// Guards against announcements that use memory without limit, and against connection caps of 48
// entries that add up to more than the target allows.
TEST_F (TargetTable, LimitsTargetsAndConnections)
{
  for (int i = 0; i < 4; i++)
    EXPECT_EQ (announce (S, 1, 1, 0, TARGET_UP, std::to_string (i).c_str ()), TARGET_ACCEPTED);
  EXPECT_EQ (announce (S, 1, 1, 0, TARGET_UP, "9"), TARGET_TABLE_FULL);
  EXPECT_EQ (announce (S, 1, 1, 0, TARGET_UP, "a", "x"), TARGET_ACCEPTED);
  EXPECT_EQ (announce (S, 1, 1, 0, TARGET_UP, "b", "x"), TARGET_ACCEPTED);
  EXPECT_EQ (announce (S, 1, 1, 0, TARGET_UP, "c", "y"), TARGET_TABLE_FULL);
  EXPECT_EQ (target_table_find (&table, "crew", "1")->connection_cap, 6u);
  target_announcement_t announcement = { "crew", "1", "fd", 2, 40, 0, TARGET_UP, 1, 2, S, 0 };
  EXPECT_EQ (target_table_announce (&table, S, &announcement, true), TARGET_ACCEPTED);
  EXPECT_EQ (target_table_find (&table, "crew", "1")->connection_cap, 1u);
  announcement.slots = 0;
  EXPECT_EQ (target_table_announce (&table, S, &announcement, true), TARGET_INVALID);
}

// Guards against state at an entry that does not own the target, and against dispatches by an entry
// that no longer owns it.
TEST_F (TargetTable, OnlyTheOwnerKeepsState)
{
  target_announcement_t announcement = { "crew", "t", "fd", 2, 300, 0, TARGET_UP, 1, 1, S, 0 };
  EXPECT_EQ (target_table_announce (&table, S, &announcement, false), TARGET_NOT_OWNED);
  EXPECT_EQ (target_table_size (&table), 0u);
  EXPECT_EQ (target_table_announce (&table, S, &announcement, true), TARGET_ACCEPTED);
  target_table_end_unowned_leases (
      &table, S + 1, [] (void *, const target_t *) { return false; }, nullptr);
  EXPECT_FALSE (target_is_usable (target_table_find (&table, "crew", "t"), S + 1));
  EXPECT_EQ (events, (std::vector<std::string>{ "added t", "gone t" }));
}

// Guards against an age that is computed from an invalid echo: a stamp in the future, or a held
// time that is negative or longer than the time since the stamp.
TEST_F (TargetTable, InvalidEchoGivesAnUnknownAge)
{
  EXPECT_EQ (target_compute_max_age_us (10 * S, 8 * S, 1500 * MS), 500 * MS);
  EXPECT_EQ (target_compute_max_age_us (10 * S, 11 * S, 0), LINK_CLOCK_AGE_UNKNOWN);
  EXPECT_EQ (target_compute_max_age_us (10 * S, 8 * S, 3 * S), LINK_CLOCK_AGE_UNKNOWN);
  EXPECT_EQ (target_compute_max_age_us (10 * S, 8 * S, -1), LINK_CLOCK_AGE_UNKNOWN);
  EXPECT_EQ (announce (S, 1, 1, LINK_CLOCK_AGE_UNKNOWN), TARGET_AGE_UNKNOWN);
  EXPECT_FALSE (is_usable (S));
}
