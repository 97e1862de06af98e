#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "entry_directory.h"
}

namespace
{
constexpr int64_t SECOND_US = 1000000;

class EntryDirectory : public ::testing::Test
{
protected:
  entry_directory_t directory;
  directory_layout_t layout = {};

  void
  SetUp () override
  {
    directory_options_t options = { 2, 2.5, 2 * SECOND_US };
    entry_directory_init (&directory, &options);
  }
  void
  TearDown () override
  {
    directory_layout_clear (&layout);
    entry_directory_destroy (&directory);
  }
  bool
  report (const std::string &id, const std::string &domain, int64_t last_report_us,
          entry_state_t state = ENTRY_READY, double capacity = 10, uint64_t incarnation = 1)
  {
    directory_entry_t entry = {};
    g_strlcpy (entry.id, id.c_str (), sizeof (entry.id));
    g_strlcpy (entry.domain, domain.c_str (), sizeof (entry.domain));
    g_strlcpy (entry.caller_address, (id + ":80").c_str (), sizeof (entry.caller_address));
    entry.state = state;
    entry.last_report_us = last_report_us;
    entry.capacity = capacity;
    entry.incarnation = incarnation;
    return entry_directory_update (&directory, &entry);
  }
  void
  lay_out (const char *domain, unsigned slots, int64_t now_us = SECOND_US)
  {
    directory_layout_clear (&layout);
    entry_directory_compute_layout (&directory, now_us, domain, slots, &layout);
  }
  std::map<std::string, guint>
  cells ()
  {
    std::map<std::string, guint> result;
    for (guint i = 0; i < layout.active->len; i++)
      result[((directory_entry_t *)g_ptr_array_index (layout.active, i))->id]
          = g_array_index (layout.cell_of, guint, i);
    return result;
  }
  std::set<std::string>
  resolve (const char *domain, unsigned slots, int64_t now_us = SECOND_US)
  {
    const directory_entry_t *out[DIRECTORY_MAX_ENTRIES];
    lay_out (domain, slots, now_us);
    size_t count = entry_directory_resolve (&directory, now_us, domain, &layout, 0, out,
                                            DIRECTORY_MAX_ENTRIES);
    std::set<std::string> result;
    for (size_t i = 0; i < count; i++)
      result.insert (out[i]->id);
    return result;
  }
};
}

// Guards against reading past the entries when all of them together carry less than is needed, and
// against counting each entry for two.
TEST_F (EntryDirectory, AllEntriesAreActiveWhenTheyCarryTooLittle)
{
  for (int i = 0; i < 43; i++)
    report ("e" + std::to_string (i), "a", SECOND_US);
  lay_out ("a", 224);
  EXPECT_EQ (layout.active->len, 43u);
  lay_out ("a", 80); // 200 requests per second, of which each entry carries 10
  EXPECT_EQ (layout.active->len, 20u);
}

// Guards against a single active entry, whose loss leaves callers without an address.
TEST_F (EntryDirectory, AtLeastTwoEntriesAreActive)
{
  for (int i = 0; i < 8; i++)
    report ("e" + std::to_string (i), "a", SECOND_US, ENTRY_READY, 1000);
  EXPECT_EQ (resolve ("a", 16).size (), 2u);
  EXPECT_EQ (resolve ("a", 0).size (), 2u);
}

// Guards against callers that are sent to an entry that leaves, starts or is silent.
TEST_F (EntryDirectory, OnlyReadyEntriesThatReportAreUsed)
{
  report ("ready", "a", SECOND_US);
  report ("starting", "a", SECOND_US, ENTRY_STARTING);
  report ("leaving", "a", SECOND_US, ENTRY_LEAVING);
  report ("silent", "a", SECOND_US - 3 * SECOND_US);
  EXPECT_EQ (resolve ("a", 100), (std::set<std::string>{ "ready" }));
}

// Guards against an empty answer: entries of other domains, or the last known ones, serve better.
TEST_F (EntryDirectory, OtherDomainsAndOldEntriesAreBetterThanNone)
{
  report ("b1", "b", SECOND_US);
  report ("a1", "a", -9 * SECOND_US);
  EXPECT_EQ (resolve ("a", 100), (std::set<std::string>{ "b1" }));
  EXPECT_EQ (resolve ("a", 100, 20 * SECOND_US), (std::set<std::string>{ "a1" }));
  EXPECT_EQ (resolve ("c", 100, 20 * SECOND_US), (std::set<std::string>{ "a1", "b1" }));
}

// Guards against a late report of an earlier process that makes an entry ready again.
TEST_F (EntryDirectory, ReportOfAnEarlierProcessIsIgnored)
{
  report ("e", "a", SECOND_US, ENTRY_STARTING, 10, 2);
  EXPECT_FALSE (report ("e", "a", SECOND_US, ENTRY_READY, 10, 1));
  EXPECT_EQ (((directory_entry_t *)g_hash_table_lookup (directory.entries, "e"))->state,
             ENTRY_STARTING);
}

// Guards against cells of very different size, and against an entry without a cell.
TEST_F (EntryDirectory, CellsHaveSimilarSizes)
{
  for (int i = 0; i < 43; i++)
    report ("e" + std::to_string (i), "a", SECOND_US);
  lay_out ("a", 224);
  EXPECT_EQ (layout.cells, 224u / DIRECTORY_CELL_SLOTS);
  std::map<guint, int> sizes;
  for (const auto &[id, cell] : cells ())
    sizes[cell]++;
  EXPECT_EQ (sizes.size (), layout.cells);
  for (const auto &[cell, size] : sizes)
    {
      EXPECT_LT (cell, layout.cells);
      EXPECT_LE (size, (int)(43 / layout.cells + 1));
      EXPECT_GE (size, DIRECTORY_CELL_ENTRIES);
    }
}

// Guards against a new order of all cells whenever one entry leaves: each move costs connections
// and what was learnt of the targets.
TEST_F (EntryDirectory, FewEntriesMoveWhenOneLeaves)
{
  for (int i = 0; i < 43; i++)
    report ("e" + std::to_string (i), "a", SECOND_US);
  lay_out ("a", 224);
  std::map<std::string, guint> before = cells ();
  report ("e7", "a", SECOND_US, ENTRY_LEAVING);
  lay_out ("a", 224);
  int moved = 0;
  for (const auto &[id, cell] : cells ())
    moved += before.at (id) != cell;
  EXPECT_LE (moved, 6);
}

// Guards against control instances that divide the same entries in different ways.
TEST_F (EntryDirectory, LayoutDoesNotDependOnTheOrderOfReports)
{
  for (int i = 0; i < 30; i++)
    report ("e" + std::to_string (i), "a", SECOND_US);
  lay_out ("a", 200);
  std::map<std::string, guint> first = cells ();
  entry_directory_prune (&directory, INT64_MAX);
  for (int i = 29; i >= 0; i--)
    report ("e" + std::to_string (i), "a", SECOND_US);
  lay_out ("a", 200);
  EXPECT_EQ (cells (), first);
}
