// Several assigned entries in virtual time with delayed and lost reports and one-way cuts.

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
static const int64_t S = 1000000;
static const limiter_limit_t LIMIT = { 50, 100 };

static limiter_limit_t
same_limit (void *, uint64_t)
{
  return LIMIT;
}

struct network_t
{
  int64_t delay_us = 20 * MS; // largest delivery time
  double loss = 0;
  int cut_from = -1; // entry whose messages to CUT_TO are lost during the cut
  int cut_to = -1;
  int64_t cut_start_us = 0;
  int64_t cut_end_us = 0;
};

class Group
{
public:
  Group (int n, uint64_t seed, const network_t &network) : network_ (network), limiters (n)
  {
    rng_init (&rng, seed);
    for (int i = 0; i < n; i++)
      {
        limiter_options_t options = { same_limit, nullptr, 1000, 100, 1 };
        limiter_init (&limiters[i], &options);
        ids_.push_back ("entry-" + std::to_string (i));
      }
    for (int i = 0; i < n; i++)
      set_peers (i);
  }

  ~Group ()
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
          send (now_us, i, j,
                [=] (int64_t at) { limiter_record_contact (&limiters[j], at, ids_[i].c_str ()); });
        if (limiter_tick (&limiters[i], now_us))
          exchange (now_us, i);
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
  send (int64_t now_us, size_t from, size_t to, std::function<void (int64_t)> deliver)
  {
    bool cut = (int)from == network_.cut_from && (int)to == network_.cut_to
               && now_us >= network_.cut_start_us && now_us < network_.cut_end_us;
    if (from == to || cut || rng_unit (&rng) < network_.loss)
      return;
    int64_t at = now_us + MS + (int64_t)rng_below (&rng, network_.delay_us);
    queue_.insert ({ at, [=] { deliver (at); } });
  }

  void
  exchange (int64_t now_us, size_t from)
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
        send (now_us, from, to, [=] (int64_t at) { receive (at, from, to, bytes); });
      }
  }

  void
  receive (int64_t now_us, size_t from, size_t to, const std::string &bytes)
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

// Largest excess over one bucket in any interval: the maximum over all intervals of the admitted
// requests minus rate x length minus burst. SINCE_US limits the start of the interval.
class Excess
{
public:
  void
  admitted (int64_t now_us)
  {
    count_++;
    double level = (double)count_ - LIMIT.rate * (double)now_us / 1e6;
    largest = std::max (largest, level - lowest_ - LIMIT.burst);
    lowest_ = std::min (lowest_, level);
  }

  double largest = 0;

private:
  int count_ = 0;
  double lowest_ = 0;
};

// Offers bursts and pauses at random entries and returns the excess.
static double
run_load (Group &group, int64_t end_us)
{
  Excess excess;
  size_t n = group.limiters.size ();
  std::vector<double> offered (n, 0);
  for (int64_t now_us = 0; now_us < end_us; now_us += MS)
    {
      if (now_us % (500 * MS) == 0)
        for (double &rate : offered)
          rate = rng_below (&group.rng, 3) == 0 ? 0 : (double)rng_below (&group.rng, 1000) / 1000;
      if (now_us % (10 * MS) == 0)
        group.advance (now_us);
      for (size_t i = 0; i < n; i++)
        if (rng_unit (&group.rng) < offered[i] && group.admit (i, now_us))
          excess.admitted (now_us);
    }
  return excess.largest;
}

static double
stated_bound (int n, double seconds)
{
  return (n - 1) * (LIMIT.burst + LIMIT.rate * seconds);
}

// Guards against an excess above the stated bound while reports arrive.
TEST (Limiter, ExcessWithinTheBoundWhileReportsArrive)
{
  double share = 0;
  for (uint64_t seed = 1; seed <= 60; seed++)
    {
      int n = 2 + (int)(seed % 5);
      network_t network;
      network.delay_us = 40 * MS;
      Group group (n, seed, network);
      double excess = run_load (group, 15 * S);
      EXPECT_LE (excess, stated_bound (n, 0.5)) << "seed " << seed;
      share = std::max (share, excess / stated_bound (n, 0.5));
    }
  RecordProperty ("largest_percent_of_bound", (int)(share * 100));
}

// Guards against counts that are lost with a message, and against an excess above the stated bound
// when a link works in one direction only.
TEST (Limiter, ExcessWithinTheBoundWithLossAndCuts)
{
  double share = 0;
  for (uint64_t seed = 1; seed <= 100; seed++)
    {
      int n = 2 + (int)(seed % 4);
      network_t network;
      network.loss = seed % 2 == 0 ? 0.1 : 0;
      network.cut_from = 0;
      network.cut_to = 1;
      network.cut_start_us = 4 * S;
      network.cut_end_us = 9 * S;
      Group group (n, seed, network);
      double excess = run_load (group, 15 * S);
      EXPECT_LE (excess, stated_bound (n, 2)) << "seed " << seed;
      share = std::max (share, excess / stated_bound (n, 2));
    }
  RecordProperty ("largest_percent_of_bound", (int)(share * 100));
}

// Guards against an excess that goes on after the first seconds of a partition: over a long cut of
// all links the entries together stay at the rate of one bucket.
TEST (Limiter, PartitionedEntriesShareTheRate)
{
  for (int n = 2; n <= 5; n++)
    {
      network_t network;
      network.loss = 1;
      Group group (n, 1, network);
      int64_t admitted = 0;
      for (int64_t now_us = 0; now_us < 30 * S; now_us += 2 * MS)
        {
          group.advance (now_us);
          for (int i = 0; i < n; i++)
            admitted += group.admit (i, now_us) && now_us >= 3 * S ? 1 : 0;
        }
      EXPECT_LE (admitted, 27 * LIMIT.rate + n);
      EXPECT_GE (admitted, 27 * LIMIT.rate - n);
    }
}

// Guards against a team that gets less than its rate because entries subtract too much.
TEST (Limiter, SteadyLoadGetsItsRate)
{
  for (int n = 1; n <= 6; n++)
    {
      Group group (n, 1, network_t ());
      int64_t admitted = 0;
      for (int64_t now_us = 0; now_us < 60 * S; now_us += MS)
        {
          if (now_us % (10 * MS) == 0)
            group.advance (now_us);
          for (int i = 0; i < n; i++)
            admitted += rng_below (&group.rng, 5) == 0 && group.admit (i, now_us) ? 1 : 0;
        }
      EXPECT_GE (admitted, 60 * LIMIT.rate) << n;
      EXPECT_LE (admitted, 60 * LIMIT.rate + LIMIT.burst + stated_bound (n, 0.5)) << n;
    }
}

// Guards against memory that grows with every name that a caller invents, and against a report that
// is lost with an evicted team.
TEST (Limiter, IdleTeamsAreEvictedAndReported)
{
  Group group (2, 1, network_t ());
  for (uint64_t team = 1; team <= 3000; team++)
    {
      group.admit (0, S, team);
      EXPECT_LE (limiter_team_count (&group.limiters[0]), 1000u);
    }
  int64_t now_us = S;
  for (; now_us < 10 * S + LIMITER_IDLE_TIMEOUT_US; now_us += 10 * MS)
    group.advance (now_us);
  EXPECT_EQ (limiter_team_count (&group.limiters[0]), 0u);
  EXPECT_GT (limiter_team_count (&group.limiters[1]), 0u);
  for (; now_us < 20 * S + 2 * LIMITER_IDLE_TIMEOUT_US; now_us += 10 * MS)
    group.advance (now_us);
  EXPECT_EQ (limiter_team_count (&group.limiters[1]), 0u);
}

// Guards against messages without end when many teams are active, and against traffic for teams
// without consumption.
TEST (Limiter, ReportsAreBoundedAndOnlyOfActiveTeams)
{
  Group group (2, 1, network_t ());
  limiter_t *limiter = &group.limiters[0];
  limiter_message_t message;
  EXPECT_TRUE (limiter_tick (limiter, S));
  EXPECT_FALSE (limiter_build_message (limiter, S, 0, &message));
  for (uint64_t team = 1; team <= 300; team++)
    for (int i = 0; i < 20; i++)
      group.admit (0, S, team);
  EXPECT_TRUE (limiter_tick (limiter, S + LIMITER_EXCHANGE_INTERVAL_US));
  EXPECT_TRUE (limiter_build_message (limiter, S + LIMITER_EXCHANGE_INTERVAL_US, 0, &message));
  EXPECT_EQ (message.batch_count, 1u);
  EXPECT_EQ (message.batches[0].count, 100u);
}

// Guards against an old process of a peer whose late message is counted again, and against acks of
// another process.
TEST (Limiter, RestartOfAPeer)
{
  Group group (2, 1, network_t ());
  limiter_t *limiter = &group.limiters[0];
  limiter_usage_t usage = { 1, 100 };
  limiter_message_t message = { 5, 0, 0, 1, { { 1, 0, 1, &usage } } };
  limiter_receive (limiter, S, "entry-1", &message);
  EXPECT_FALSE (group.admit (0, S));
  limiter_receive (limiter, 4 * S, "entry-1", &message);
  EXPECT_TRUE (group.admit (0, 4 * S));
  message.epoch = 6;
  limiter_receive (limiter, 4 * S, "entry-1", &message);
  message.epoch = 5;
  message.batches[0].number = 9;
  limiter_receive (limiter, 20 * S, "entry-1", &message);
  EXPECT_TRUE (group.admit (0, 20 * S));
  limiter_receive (limiter, 20 * S, "stranger", &message);
  EXPECT_TRUE (group.admit (0, 20 * S));
}

// Guards against two names that share a bucket by a weak hash, and against a hash that differs
// between machines.
TEST (Limiter, TeamIdentity)
{
  EXPECT_EQ (limiter_team_id ("abc"), 0xba7816bf8f01cfeaULL);
  EXPECT_NE (limiter_team_id ("gang-12"), limiter_team_id ("gang-21"));
}
