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
  // Stores a report of the entry ID and returns whether the entry, its incarnation or its state is
  // new.
  bool
  report_entry (const std::string &id, const std::string &domain, int64_t last_report_us,
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
  compute_layout (const char *domain, unsigned slots, int64_t now_us = SECOND_US)
  {
    directory_layout_clear (&layout);
    entry_directory_compute_layout (&directory, now_us, domain, slots, &layout);
  }
  // Returns the cell of each active entry, by entry id.
  std::map<std::string, guint>
  cells ()
  {
    std::map<std::string, guint> result;
    for (guint i = 0; i < layout.active->len; i++)
      result[((directory_entry_t *)g_ptr_array_index (layout.active, i))->id]
          = g_array_index (layout.cell_indexes, guint, i);
    return result;
  }
  // Returns the ids of the entries for callers in DOMAIN, whose targets have SLOTS slots.
  std::set<std::string>
  resolve_entries (const char *domain, unsigned slots, int64_t now_us = SECOND_US)
  {
    const directory_entry_t *out[DIRECTORY_MAX_ENTRIES];
    compute_layout (domain, slots, now_us);
    size_t count = entry_directory_resolve (&directory, now_us, domain, &layout, 0, out,
                                            DIRECTORY_MAX_ENTRIES);
    std::set<std::string> result;
    for (size_t i = 0; i < count; i++)
      result.insert (out[i]->id);
    return result;
  }
};
}

// Guards against a read past the last entry when all of them together serve less than is needed,
// and against an entry whose capacity is counted twice.
TEST_F (EntryDirectory, AllEntriesAreActiveWhenTheirCapacityIsTooLow)
{
  for (int i = 0; i < 43; i++)
    report_entry ("e" + std::to_string (i), "a", SECOND_US);
  compute_layout ("a", 224);
  EXPECT_EQ (layout.active->len, 43u);
  compute_layout ("a", 80); // 200 requests per second, of which each entry serves 10
  EXPECT_EQ (layout.active->len, 20u);
}

// Guards against a single active entry, whose loss leaves callers without an address.
TEST_F (EntryDirectory, AtLeastTwoEntriesAreActive)
{
  for (int i = 0; i < 8; i++)
    report_entry ("e" + std::to_string (i), "a", SECOND_US, ENTRY_READY, 1000);
  EXPECT_EQ (resolve_entries ("a", 16).size (), 2u);
  EXPECT_EQ (resolve_entries ("a", 0).size (), 2u);
}

// Guards against callers that are sent to an entry that is leaving, starting or silent.
TEST_F (EntryDirectory, OnlyReadyEntriesThatReportAreUsed)
{
  report_entry ("ready", "a", SECOND_US);
  report_entry ("starting", "a", SECOND_US, ENTRY_STARTING);
  report_entry ("leaving", "a", SECOND_US, ENTRY_LEAVING);
  report_entry ("silent", "a", SECOND_US - 3 * SECOND_US);
  EXPECT_EQ (resolve_entries ("a", 100), (std::set<std::string>{ "ready" }));
}

// Guards against an empty answer while entries of other domains are ready, or while entries are
// known that no longer report.
TEST_F (EntryDirectory, OtherDomainsAndSilentEntriesAreFallbacks)
{
  report_entry ("b1", "b", SECOND_US);
  report_entry ("a1", "a", -9 * SECOND_US);
  EXPECT_EQ (resolve_entries ("a", 100), (std::set<std::string>{ "b1" }));
  EXPECT_EQ (resolve_entries ("a", 100, 20 * SECOND_US), (std::set<std::string>{ "a1" }));
  EXPECT_EQ (resolve_entries ("c", 100, 20 * SECOND_US), (std::set<std::string>{ "a1", "b1" }));
}

// Guards against a cut between the entries and the control instances that sends all callers to the
// few entries whose reports still arrive, or arrive again first (hunt-3ddc-3: 12 of 123).
TEST_F (EntryDirectory, FewReportingEntriesDoNotReplaceTheSilentOnes)
{
  for (int i = 0; i < 40; i++)
    report_entry ("e" + std::to_string (i), i % 2 == 0 ? "a" : "b", SECOND_US);
  std::set<std::string> before = resolve_entries ("a", 64);
  compute_layout ("a", 64);
  std::map<std::string, guint> cells_before = cells ();
  for (int i = 0; i < 6; i += 2)
    report_entry ("e" + std::to_string (i), "a", 11 * SECOND_US);

  EXPECT_TRUE (entry_directory_most_are_silent (&directory, 11 * SECOND_US));
  EXPECT_EQ (resolve_entries ("a", 64, 11 * SECOND_US), before);
  EXPECT_EQ (cells (), cells_before);
  EXPECT_EQ (resolve_entries ("b", 64, 11 * SECOND_US).size (), 16u);
  EXPECT_EQ (resolve_entries ("c", 0, 11 * SECOND_US).size (), 40u);
}

// Guards against callers that are sent to silent entries when a part of the fleet has failed and
// those that report can carry its load.
TEST_F (EntryDirectory, SilentEntriesAreLeftOutWhileAQuarterReports)
{
  for (int i = 0; i < 40; i++)
    report_entry ("e" + std::to_string (i), "a", SECOND_US);
  for (int i = 0; i < 10; i++)
    report_entry ("e" + std::to_string (i), "a", 11 * SECOND_US);
  EXPECT_FALSE (entry_directory_most_are_silent (&directory, 11 * SECOND_US));
  EXPECT_EQ (resolve_entries ("a", 64, 11 * SECOND_US).size (), 10u);
  report_entry ("e0", "a", 11 * SECOND_US, ENTRY_LEAVING);
  for (int i = 10; i < 40; i++)
    report_entry ("e" + std::to_string (i), "a", SECOND_US, ENTRY_LEAVING);
  EXPECT_EQ (resolve_entries ("a", 64, 11 * SECOND_US).size (), 9u);
}

// Guards against an empty directory when a cut lasts longer than the time for which an entry is
// kept, and against entries that ended long ago and are kept forever.
TEST_F (EntryDirectory, SilentEntriesAreKeptLongerWhileMostAreSilent)
{
  for (int i = 0; i < 40; i++)
    report_entry ("e" + std::to_string (i), "a", SECOND_US);
  report_entry ("e0", "a", 90 * SECOND_US);
  entry_directory_prune (&directory, 91 * SECOND_US, 60 * SECOND_US);
  EXPECT_EQ (resolve_entries ("a", 1000, 91 * SECOND_US).size (), 40u);
  entry_directory_prune (&directory, 700 * SECOND_US, 60 * SECOND_US);
  EXPECT_EQ (g_hash_table_size (directory.entries), 0u);

  for (int i = 0; i < 4; i++)
    report_entry ("e" + std::to_string (i), "a", i == 0 ? SECOND_US : 90 * SECOND_US);
  entry_directory_prune (&directory, 91 * SECOND_US, 60 * SECOND_US);
  EXPECT_EQ (g_hash_table_size (directory.entries), 3u);
}

// Guards against a delayed report of an earlier process that makes an entry ready again.
TEST_F (EntryDirectory, ReportOfAnEarlierIncarnationIsIgnored)
{
  report_entry ("e", "a", SECOND_US, ENTRY_STARTING, 10, 2);
  EXPECT_FALSE (report_entry ("e", "a", SECOND_US, ENTRY_READY, 10, 1));
  EXPECT_EQ (((directory_entry_t *)g_hash_table_lookup (directory.entries, "e"))->state,
             ENTRY_STARTING);
}

// Guards against cells of very different size, and against an entry without a cell.
TEST_F (EntryDirectory, CellsHaveSimilarSizes)
{
  for (int i = 0; i < 43; i++)
    report_entry ("e" + std::to_string (i), "a", SECOND_US);
  compute_layout ("a", 224);
  EXPECT_EQ (layout.cell_count, 224u / DIRECTORY_CELL_SLOTS);
  std::map<guint, int> cell_sizes;
  for (const auto &[id, cell] : cells ())
    cell_sizes[cell]++;
  EXPECT_EQ (cell_sizes.size (), layout.cell_count);
  for (const auto &[cell, size] : cell_sizes)
    {
      EXPECT_LT (cell, layout.cell_count);
      EXPECT_LE (size, (int)(43 / layout.cell_count + 1));
      EXPECT_GE (size, DIRECTORY_CELL_ENTRIES);
    }
}

// Guards against a layout that moves most entries to other cells when one leaves: each move costs
// connections and what the entry has learned about the targets.
TEST_F (EntryDirectory, FewEntriesMoveWhenOneLeaves)
{
  for (int i = 0; i < 43; i++)
    report_entry ("e" + std::to_string (i), "a", SECOND_US);
  compute_layout ("a", 224);
  std::map<std::string, guint> cells_before = cells ();
  report_entry ("e7", "a", SECOND_US, ENTRY_LEAVING);
  compute_layout ("a", 224);
  int moved_count = 0;
  for (const auto &[id, cell] : cells ())
    moved_count += cells_before.at (id) != cell;
  EXPECT_LE (moved_count, 6);
}

// Guards against control instances that divide the same entries into different cells.
TEST_F (EntryDirectory, LayoutDoesNotDependOnTheOrderOfReports)
{
  for (int i = 0; i < 30; i++)
    report_entry ("e" + std::to_string (i), "a", SECOND_US);
  compute_layout ("a", 200);
  std::map<std::string, guint> first_cells = cells ();
  entry_directory_prune (&directory, INT64_MAX, 0);
  for (int i = 29; i >= 0; i--)
    report_entry ("e" + std::to_string (i), "a", SECOND_US);
  compute_layout ("a", 200);
  EXPECT_EQ (cells (), first_cells);
}
