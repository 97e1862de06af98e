// Planned replacements of control instances together with losses, in virtual time. EXCHANGE_RUNS
// and EXCHANGE_SEED set the number of runs and the first seed of the random orders, EXCHANGE_STEP
// selects every Nth of the systematic ones:
//   EXCHANGE_RUNS=20000 EXCHANGE_SEED=1 EXCHANGE_STEP=1 build/tests/state/test_group_exchange
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

#include "repair_sim.h"

#if defined(__SANITIZE_ADDRESS__)
#define DEFAULT_RUN_COUNT 40
#define DEFAULT_STEP 89
#else
#define DEFAULT_RUN_COUNT 150
#define DEFAULT_STEP 22
#endif

namespace
{
enum loss_t
{
  LOST_POWER,
  LOST_DISK,
  CUT_OUTWARDS,
  CUT_INWARDS,
};
constexpr int LOSS_COUNT = CUT_INWARDS + 1;

struct Loss
{
  loss_t kind;
  int slot;
  int64_t at_us;   // time after the start
  int64_t down_us; // time until the instance is back
};

// The new instance of SLOT starts CATCH_UP_US before LEAVER is stopped.
struct Exchange
{
  int leaver;
  int slot;
  int64_t stop_us; // time after the start
};

// A group of VOTERS instances that tolerates (VOTERS - 1) / 2 losses. Its instances are replaced
// while instances are lost. Of the losses given, those are left out that the group need not bear.
class ExchangeRun : public RepairSim
{
public:
  ExchangeRun (uint64_t seed, int voters)
      : RepairSim ({ .seed = seed,
                     .slots = 2 * voters,
                     .seeds = std::min (voters, 3),
                     .initial_instances = voters,
                     .wanted_voter_count = (size_t)voters }),
        tolerated_ (voters / 2), counts_ (2 * voters, true), lost_until_us_ (2 * voters, 0)
  {
  }

  void
  play (const std::vector<Exchange> &exchanges, const std::vector<Loss> &losses)
  {
    std::vector<std::pair<int64_t, std::function<void ()> > > events;
    for (const Exchange &exchange : exchanges)
      {
        events.push_back ({ exchange.stop_us - CATCH_UP_US, [=, this] { begin (exchange.slot); } });
        events.push_back ({ exchange.stop_us, [=, this] { end (exchange); } });
      }
    for (const Loss &loss : losses)
      {
        events.push_back ({ loss.at_us, [=, this] { lose (loss); } });
        events.push_back ({ loss.at_us + loss.down_us, [=, this] { reconnect (loss.slot); } });
      }
    std::stable_sort (events.begin (), events.end (),
                      [] (const auto &a, const auto &b) { return a.first < b.first; });
    run_for (4 * SECOND);
    check_voters ("after the start");
    int64_t start_us = sim.time_us;
    for (const auto &event : events)
      {
        run_for (start_us + event.first - sim.time_us);
        event.second ();
      }
    run_for (RECOVERY_US);
    check_service ("after the last event");
    check_voters ("at the end");
  }

  // All instances lose power right after an acknowledgement, and as many as the group tolerates
  // lose their disks.
  void
  play_final_fault ()
  {
    constexpr int64_t DOWN_US = 1500 * MS;
    std::vector<int> present;
    await_acknowledgement ();
    for (int slot = 0; slot < (int)counts_.size (); slot++)
      {
        if (!exists (slot))
          continue;
        present.push_back (slot);
        lose_power (slot, DOWN_US);
      }
    for (int i = 0; i < tolerated_; i++)
      lose_disk (present[rng_uniform_int (&sim.rng, present.size ())], DOWN_US);
    run_for (DOWN_US + RECOVERY_US);
    check_service ("after the final fault");
    check_voters ("after the final fault");
  }

private:
  // Until it has had time to catch up and its leaver is stopped, the new instance may be lost
  // besides the tolerated losses, unless it has replaced a voter.
  void
  begin (int slot)
  {
    start_new (slot);
    lost_until_us_[slot] = sim.time_us + CATCH_UP_US;
    counts_[slot] = false;
    new_slots_.insert (slot);
  }

  // The leaver does not count any more, but its successor does from now on. A leaver that is down
  // cannot leave the group by itself and counts for as long as a new instance would.
  void
  end (const Exchange &exchange)
  {
    if (sim.time_us < lost_until_us_[exchange.slot])
      return; // the leaver stays, as its successor has been lost
    bool down = sim.time_us < lost_until_us_[exchange.leaver];
    lost_until_us_[exchange.leaver] = down ? sim.time_us + CATCH_UP_US : 0;
    new_slots_.erase (exchange.slot);
    counts_[exchange.slot] = true;
    stop (exchange.leaver);
  }

  int
  count_lost ()
  {
    int count = 0;
    for (size_t slot = 0; slot < lost_until_us_.size (); slot++)
      count += counts_[slot] && sim.time_us < lost_until_us_[slot];
    return count;
  }

  void
  lose (const Loss &loss)
  {
    bool lost = counts_[loss.slot] && sim.time_us < lost_until_us_[loss.slot];
    bool counts = new_slots_.count (loss.slot) == 0 || may_be_voter (loss.slot) || lost;
    if (!exists (loss.slot) || lost || (counts && count_lost () >= tolerated_)
        || !sim.cut_links.empty ())
      return;
    counts_[loss.slot] = counts;
    lost_until_us_[loss.slot] = sim.time_us + loss.down_us + CATCH_UP_US;
    switch (loss.kind)
      {
      case LOST_POWER:
        lose_power (loss.slot, loss.down_us);
        break;
      case LOST_DISK:
        lose_disk (loss.slot, loss.down_us);
        break;
      case CUT_OUTWARDS:
      case CUT_INWARDS:
        cut_slot_ = loss.slot;
        cut (loss.slot, loss.kind == CUT_OUTWARDS);
        break;
      }
  }

  void
  reconnect (int slot)
  {
    if (slot == cut_slot_)
      sim.cut_links.clear ();
  }

  int tolerated_;
  int cut_slot_ = -1;
  std::vector<bool> counts_; // whether the loss of a slot is one of the tolerated ones
  std::vector<int64_t> lost_until_us_;
  std::set<int> new_slots_; // their leavers still count
};

uint64_t
env_number (const char *name, uint64_t fallback)
{
  const char *text = getenv (name);
  return text != nullptr ? strtoull (text, nullptr, 10) : fallback;
}

constexpr int64_t FIRST_STOP_US = 8 * SECOND;
// Times of a loss relative to the signal of the first planned stop.
constexpr int64_t LOSS_TIMES_US[]
    = { -7 * SECOND, -3 * SECOND, -500 * MS, -100 * MS, 0,          40 * MS,
        130 * MS,    220 * MS,    310 * MS,  500 * MS,  2 * SECOND, 4 * SECOND };
// Times between two planned stops.
constexpr int64_t STOP_INTERVALS_US[] = { 0, 60 * MS, 300 * MS, 3 * SECOND };

// Returns the number below COUNT that the last digit of *NUMBER selects, and removes that digit.
int
take_digit (uint64_t *number, int count)
{
  int digit = (int)(*number % (uint64_t)count);
  *number /= (uint64_t)count;
  return digit;
}
}

// Guards against a group of three that has no leader any more after one, two or three of its
// instances have been replaced as planned and one instance is lost before, during or after that.
TEST (GroupExchange, OneLossAroundPlannedStops)
{
  constexpr int VOTERS = 3;
  const int stop_counts = 3, slots = 2 * VOTERS;
  uint64_t count = (uint64_t)stop_counts * VOTERS * slots * LOSS_COUNT * std::size (LOSS_TIMES_US)
                   * std::size (STOP_INTERVALS_US);
  uint64_t step = env_number ("EXCHANGE_STEP", DEFAULT_STEP);
  for (uint64_t number = 0; number < count; number += step)
    {
      uint64_t rest = number;
      int stop_count = 1 + take_digit (&rest, stop_counts);
      int first_leaver = take_digit (&rest, VOTERS);
      Loss loss = {};
      loss.slot = take_digit (&rest, slots);
      loss.kind = (loss_t)take_digit (&rest, LOSS_COUNT);
      loss.at_us = FIRST_STOP_US + LOSS_TIMES_US[take_digit (&rest, std::size (LOSS_TIMES_US))];
      loss.down_us = 3 * SECOND;
      int64_t interval_us = STOP_INTERVALS_US[take_digit (&rest, std::size (STOP_INTERVALS_US))];
      std::vector<Exchange> exchanges;
      for (int i = 0; i < stop_count; i++)
        exchanges.push_back ({ .leaver = (first_leaver + i) % VOTERS,
                               .slot = VOTERS + i,
                               .stop_us = FIRST_STOP_US + i * interval_us });
      ExchangeRun run (number + 1, VOTERS);
      run.play (exchanges, { loss });
      ASSERT_EQ (run.sim.violation, "") << "order " << number;
    }
}

// The same for three, five or seven instances, each replaced at most once, and several losses at
// random times.
TEST (GroupExchange, RandomStopsAndLosses)
{
  uint64_t first_seed = env_number ("EXCHANGE_SEED", 1);
  uint64_t run_count = env_number ("EXCHANGE_RUNS", DEFAULT_RUN_COUNT);
  for (uint64_t seed = first_seed; seed < first_seed + run_count; seed++)
    {
      rng_t rng;
      rng_init (&rng, seed);
      int voters = 3 + 2 * (int)(seed % 3);
      std::vector<Exchange> exchanges;
      std::vector<Loss> losses;
      int leaver = (int)rng_uniform_int (&rng, voters);
      int stop_count = 1 + (int)rng_uniform_int (&rng, voters);
      int64_t stop_us = FIRST_STOP_US;
      for (int i = 0; i < stop_count; i++)
        {
          exchanges.push_back (
              { .leaver = (leaver + i) % voters, .slot = voters + i, .stop_us = stop_us });
          if (rng_uniform_int (&rng, 2) == 0)
            stop_us += (int64_t)rng_uniform_int (&rng, 4 * SECOND);
        }
      for (int i = 0; i < 6; i++)
        losses.push_back ({ .kind = (loss_t)rng_uniform_int (&rng, LOSS_COUNT),
                            .slot = (int)rng_uniform_int (&rng, 2 * voters),
                            .at_us = (int64_t)rng_uniform_int (&rng, stop_us + 8 * SECOND),
                            .down_us = SECOND + (int64_t)rng_uniform_int (&rng, 4 * SECOND) });
      ExchangeRun run (seed, voters);
      run.play (exchanges, losses);
      run.play_final_fault ();
      ASSERT_EQ (run.sim.violation, "") << "EXCHANGE_RUNS=1 EXCHANGE_SEED=" << seed;
    }
}
