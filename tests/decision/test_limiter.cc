// Simulates the limiters of several assigned entries in virtual time, with delayed and lost reports
// and links that are cut in one direction.

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C"
{
#include "limiter.h"
#include "limiter_wire.h"
#include "rng.h"
}

static const int64_t MS = 1000;
static const int64_t SECOND = 1000000;
static const limiter_limit_t LIMIT = { 50, 100 };

static limiter_limit_t
fixed_limit (void *, uint64_t)
{
  return LIMIT;
}

struct network_t
{
  int64_t delay_us = 20 * MS; // largest delivery time
  double loss_probability = 0;
  int cut_from = -1; // entry whose messages to CUT_TO are lost during the cut
  int cut_to = -1;
  int64_t cut_start_us = 0;
  int64_t cut_end_us = 0;
};

class AssignedEntries
{
public:
  AssignedEntries (int entry_count, uint64_t seed, const network_t &network)
      : network_ (network), limiters (entry_count)
  {
    rng_init (&rng, seed);
    for (int i = 0; i < entry_count; i++)
      {
        limiter_options_t options = { fixed_limit, nullptr, 1000, 100, 1 };
        limiter_init (&limiters[i], &options);
        ids_.push_back ("entry-" + std::to_string (i));
      }
    for (int i = 0; i < entry_count; i++)
      set_peers (i);
  }

  ~AssignedEntries ()
  {
    for (limiter_t &limiter : limiters)
      limiter_destroy (&limiter);
  }

  void
  advance (int64_t now_us)
  {
    for (auto it = queue_.begin (); it != queue_.end () && it->first <= now_us;
         it = queue_.erase (it))
      it->second ();
    for (size_t i = 0; i < limiters.size (); i++)
      {
        // The link's heartbeat, every 500 ms.
        for (size_t j = 0; j < limiters.size () && now_us % (500 * MS) == 0; j++)
          send (now_us, i, j, [=] (int64_t arrival_us) {
            limiter_record_contact (&limiters[j], arrival_us, ids_[i].c_str ());
          });
        if (limiter_tick (&limiters[i], now_us))
          send_reports (now_us, i);
      }
  }

  bool
  admit (size_t entry, int64_t now_us, uint64_t team = 1)
  {
    int64_t retry_after_us = 0;
    bool admitted = limiter_admit (&limiters[entry], now_us, team, &retry_after_us);
    EXPECT_EQ (admitted, retry_after_us == 0);
    return admitted;
  }

  rng_t rng;

private:
  void
  set_peers (size_t entry)
  {
    std::vector<const char *> peers;
    for (size_t j = 0; j < ids_.size (); j++)
      if (j != entry)
        peers.push_back (ids_[j].c_str ());
    limiter_set_peers (&limiters[entry], 0, peers.data (), peers.size ());
  }

  void
  send (int64_t now_us, size_t from, size_t to, std::function<void (int64_t)> deliver_at)
  {
    bool cut = (int)from == network_.cut_from && (int)to == network_.cut_to
               && now_us >= network_.cut_start_us && now_us < network_.cut_end_us;
    if (from == to || cut || rng_uniform_double (&rng) < network_.loss_probability)
      return;
    int64_t arrival_us = now_us + MS + (int64_t)rng_uniform_int (&rng, network_.delay_us);
    queue_.insert ({ arrival_us, [=] { deliver_at (arrival_us); } });
  }

  void
  send_reports (int64_t now_us, size_t from)
  {
    for (size_t index = 0; index + 1 < limiters.size (); index++)
      {
        limiter_message_t message;
        if (!limiter_build_message (&limiters[from], now_us, index, &message))
          continue;
        wire_writer_t writer;
        limiter_wire_encode (&message, "crew", &writer);
        std::string bytes (writer.buffer.data, writer.buffer.size);
        wire_writer_destroy (&writer);
        size_t to = index < from ? index : index + 1;
        send (now_us, from, to,
              [=] (int64_t arrival_us) { receive_reports (arrival_us, from, to, bytes); });
      }
  }

  void
  receive_reports (int64_t now_us, size_t from, size_t to, const std::string &bytes)
  {
    wire_reader_t reader;
    wire_type_t type;
    char *service = nullptr;
    limiter_message_t message = {};
    ASSERT_TRUE (
        wire_reader_init (&reader, (const uint8_t *)bytes.data (), bytes.size (), &type, nullptr));
    ASSERT_TRUE (limiter_wire_decode (&reader, &service, &message, nullptr));
    EXPECT_STREQ (service, "crew");
    limiter_receive (&limiters[to], now_us, ids_[from].c_str (), &message);
    limiter_wire_clear (&service, &message);
    wire_reader_destroy (&reader);
  }

  network_t network_;
  std::vector<std::string> ids_;
  std::multimap<int64_t, std::function<void ()> > queue_;

public:
  std::vector<limiter_t> limiters;
};

// Computes the largest excess over one bucket in any interval: the maximum over all intervals of
// the admitted requests minus rate x length minus burst.
class ExcessMeter
{
public:
  void
  admitted (int64_t now_us)
  {
    admitted_count_++;
    double level = (double)admitted_count_ - LIMIT.rate * (double)now_us / 1e6;
    largest = std::max (largest, level - min_level_ - LIMIT.burst);
    min_level_ = std::min (min_level_, level);
  }

  double largest = 0;

private:
  int admitted_count_ = 0;
  double min_level_ = 0;
};

// Offers each entry bursts and pauses, changed at random every 500 ms, and returns the largest
// excess.
static double
offer_random_load (AssignedEntries &entries, int64_t end_us)
{
  ExcessMeter excess;
  size_t entry_count = entries.limiters.size ();
  std::vector<double> offered_load (entry_count, 0);
  for (int64_t now_us = 0; now_us < end_us; now_us += MS)
    {
      if (now_us % (500 * MS) == 0)
        for (double &rate : offered_load)
          rate = rng_uniform_int (&entries.rng, 3) == 0
                     ? 0
                     : (double)rng_uniform_int (&entries.rng, 1000) / 1000;
      if (now_us % (10 * MS) == 0)
        entries.advance (now_us);
      for (size_t i = 0; i < entry_count; i++)
        if (rng_uniform_double (&entries.rng) < offered_load[i] && entries.admit (i, now_us))
          excess.admitted (now_us);
    }
  return excess.largest;
}

static double
excess_bound (int entry_count, double seconds)
{
  return (entry_count - 1) * (LIMIT.burst + LIMIT.rate * seconds);
}

// Guards against an excess above the bound of limiter.h while reports arrive.
TEST (Limiter, ExcessWithinTheBoundWhileReportsArrive)
{
  double max_share_of_bound = 0;
  for (uint64_t seed = 1; seed <= 60; seed++)
    {
      int entry_count = 2 + (int)(seed % 5);
      network_t network;
      network.delay_us = 40 * MS;
      AssignedEntries entries (entry_count, seed, network);
      double excess = offer_random_load (entries, 15 * SECOND);
      EXPECT_LE (excess, excess_bound (entry_count, 0.5)) << "seed " << seed;
      max_share_of_bound = std::max (max_share_of_bound, excess / excess_bound (entry_count, 0.5));
    }
  RecordProperty ("largest_percent_of_bound", (int)(max_share_of_bound * 100));
}

// Guards against counts that are lost with a message, and against an excess above the bound of
// limiter.h when a link works in one direction only.
TEST (Limiter, ExcessWithinTheBoundWithLossAndCuts)
{
  double max_share_of_bound = 0;
  for (uint64_t seed = 1; seed <= 100; seed++)
    {
      int entry_count = 2 + (int)(seed % 4);
      network_t network;
      network.loss_probability = seed % 2 == 0 ? 0.1 : 0;
      network.cut_from = 0;
      network.cut_to = 1;
      network.cut_start_us = 4 * SECOND;
      network.cut_end_us = 9 * SECOND;
      AssignedEntries entries (entry_count, seed, network);
      double excess = offer_random_load (entries, 15 * SECOND);
      EXPECT_LE (excess, excess_bound (entry_count, 2)) << "seed " << seed;
      max_share_of_bound = std::max (max_share_of_bound, excess / excess_bound (entry_count, 2));
    }
  RecordProperty ("largest_percent_of_bound", (int)(max_share_of_bound * 100));
}

// Guards against an excess that continues after the first seconds of a partition: while all
// messages are lost, the entries together admit the rate of one bucket.
TEST (Limiter, PartitionedEntriesShareTheRate)
{
  for (int entry_count = 2; entry_count <= 5; entry_count++)
    {
      network_t network;
      network.loss_probability = 1;
      AssignedEntries entries (entry_count, 1, network);
      int64_t admitted = 0;
      for (int64_t now_us = 0; now_us < 30 * SECOND; now_us += 2 * MS)
        {
          entries.advance (now_us);
          for (int i = 0; i < entry_count; i++)
            admitted += entries.admit (i, now_us) && now_us >= 3 * SECOND ? 1 : 0;
        }
      EXPECT_LE (admitted, 27 * LIMIT.rate + entry_count);
      EXPECT_GE (admitted, 27 * LIMIT.rate - entry_count);
    }
}

// Guards against a team that gets less than its rate because the entries subtract too much.
TEST (Limiter, SteadyLoadIsAdmittedAtTheFullRate)
{
  for (int entry_count = 1; entry_count <= 6; entry_count++)
    {
      AssignedEntries entries (entry_count, 1, network_t ());
      int64_t admitted = 0;
      for (int64_t now_us = 0; now_us < 60 * SECOND; now_us += MS)
        {
          if (now_us % (10 * MS) == 0)
            entries.advance (now_us);
          for (int i = 0; i < entry_count; i++)
            admitted += rng_uniform_int (&entries.rng, 5) == 0 && entries.admit (i, now_us) ? 1 : 0;
        }
      EXPECT_GE (admitted, 60 * LIMIT.rate) << entry_count;
      EXPECT_LE (admitted, 60 * LIMIT.rate + LIMIT.burst + excess_bound (entry_count, 0.5))
          << entry_count;
    }
}

// Guards against memory that grows with each new team name of a caller, and against the eviction of
// a team before its consumption is reported.
TEST (Limiter, IdleTeamsAreEvictedAndReported)
{
  AssignedEntries entries (2, 1, network_t ());
  for (uint64_t team = 1; team <= 3000; team++)
    {
      entries.admit (0, SECOND, team);
      EXPECT_LE (limiter_team_count (&entries.limiters[0]), 1000u);
    }
  int64_t now_us = SECOND;
  for (; now_us < 10 * SECOND + LIMITER_IDLE_TIMEOUT_US; now_us += 10 * MS)
    entries.advance (now_us);
  EXPECT_EQ (limiter_team_count (&entries.limiters[0]), 0u);
  EXPECT_GT (limiter_team_count (&entries.limiters[1]), 0u);
  for (; now_us < 20 * SECOND + 2 * LIMITER_IDLE_TIMEOUT_US; now_us += 10 * MS)
    entries.advance (now_us);
  EXPECT_EQ (limiter_team_count (&entries.limiters[1]), 0u);
}

// Guards against messages whose size grows with the number of active teams, and against messages
// without consumption to report.
TEST (Limiter, ReportsAreBoundedAndOnlyOfActiveTeams)
{
  AssignedEntries entries (2, 1, network_t ());
  limiter_t *limiter = &entries.limiters[0];
  limiter_message_t message;
  EXPECT_TRUE (limiter_tick (limiter, SECOND));
  EXPECT_FALSE (limiter_build_message (limiter, SECOND, 0, &message));
  for (uint64_t team = 1; team <= 300; team++)
    for (int i = 0; i < 20; i++)
      entries.admit (0, SECOND, team);
  EXPECT_TRUE (limiter_tick (limiter, SECOND + LIMITER_EXCHANGE_INTERVAL_US));
  EXPECT_TRUE (limiter_build_message (limiter, SECOND + LIMITER_EXCHANGE_INTERVAL_US, 0, &message));
  EXPECT_EQ (message.batch_count, 1u);
  EXPECT_EQ (message.batches[0].usage_count, 100u);
}

// Guards against counting a message twice, or one that a previous process of the peer sent before
// its restart, and against acknowledgements for another process.
TEST (Limiter, MessageOfAnOldPeerProcessIsIgnored)
{
  AssignedEntries entries (2, 1, network_t ());
  limiter_t *limiter = &entries.limiters[0];
  limiter_usage_t usage = { 1, 100 };
  limiter_message_t message = { 5, 0, 0, 1, { { 1, 0, 1, &usage } } };
  limiter_receive (limiter, SECOND, "entry-1", &message);
  EXPECT_FALSE (entries.admit (0, SECOND));
  limiter_receive (limiter, 4 * SECOND, "entry-1", &message);
  EXPECT_TRUE (entries.admit (0, 4 * SECOND));
  message.epoch = 6;
  limiter_receive (limiter, 4 * SECOND, "entry-1", &message);
  message.epoch = 5;
  message.batches[0].number = 9;
  limiter_receive (limiter, 20 * SECOND, "entry-1", &message);
  EXPECT_TRUE (entries.admit (0, 20 * SECOND));
  limiter_receive (limiter, 20 * SECOND, "stranger", &message);
  EXPECT_TRUE (entries.admit (0, 20 * SECOND));
}

// Guards against two team names that share a bucket because the hash is weak, and against a hash
// that differs between machines.
TEST (Limiter, TeamIdIsUniqueAndPortable)
{
  EXPECT_EQ (limiter_team_id ("abc"), 0xba7816bf8f01cfeaULL);
  EXPECT_NE (limiter_team_id ("gang-12"), limiter_team_id ("gang-21"));
}

// Guards against a limit for a team that has none: at any load, after reports of peers, and when
// the limit is removed while the bucket is empty.
TEST (Limiter, TeamWithoutLimitIsNeverRefused)
{
  limiter_limit_t limit = { 1, 1 };
  limiter_options_t options = {};
  options.limit = [] (void *data, uint64_t) { return *(limiter_limit_t *)data; };
  options.data = &limit;
  options.max_teams = 10;
  options.max_reported = 10;
  options.epoch = 1;
  limiter_t limiter;
  limiter_init (&limiter, &options);
  const char *const peers[] = { "entry-1" };
  limiter_set_peers (&limiter, 0, peers, 1);
  int64_t retry_after_us = 0;
  EXPECT_TRUE (limiter_admit (&limiter, SECOND, 1, &retry_after_us));
  EXPECT_FALSE (limiter_admit (&limiter, SECOND, 1, &retry_after_us));
  EXPECT_GT (retry_after_us, 0);
  limit = { 0, 0 };
  limiter_usage_t usage = { 1, 100 };
  limiter_message_t message = { 5, 0, 0, 1, { { 1, 0, 1, &usage } } };
  limiter_receive (&limiter, SECOND, "entry-1", &message);
  for (int i = 0; i < 1000; i++)
    EXPECT_TRUE (limiter_admit (&limiter, SECOND, 1, &retry_after_us));
  EXPECT_EQ (retry_after_us, 0);
  for (int64_t now_us = SECOND; now_us < 2 * LIMITER_IDLE_TIMEOUT_US; now_us += SECOND)
    limiter_tick (&limiter, now_us);
  EXPECT_EQ (limiter_team_count (&limiter), 0u);
  limiter_destroy (&limiter);
}
