// Random faults of the membership protocol in virtual time: loss, delay, reordering, one-way cuts,
// pauses, crashes and restarts, then a good network in which the views must converge.

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "swim_sim.h"

static const int64_t JOIN_US = 10 * SIM_S;
static const int64_t GOOD_US = 50 * SIM_S;

// The longest interval between two comparisons of tables and 15 s for a suspicion with its
// refutation or timeout (6.02 s at 64 members).
static const int64_t CONVERGE_US = SWIM_SYNC_INTERVAL_US * 3 / 2 + 15 * SIM_S;
// Time after which no suspicion from before GOOD_US may end in a death: a timeout and two periods
// of the slowest prober.
static const int64_t SETTLE_US = 7 * SIM_S + 2 * SWIM_PERIOD_US * 9;

class FaultRun
{
public:
  explicit FaultRun (uint64_t seed) : sim_ (options_of (seed))
  {
    sim_.member_hook = [this] (int node, swim_event_t event, const swim_member_t *member) {
      check_member (node, event, member);
    };
    sim_.blocked = [this] (int from, int to) { return cuts_.count ({ from, to }) > 0; };
  }

  void
  run ()
  {
    sim_.start_all ();
    plan ();
    sim_.run_until (GOOD_US);
    cuts_.clear ();
    sim_.loss_factor = 0;
    for (int64_t t = SETTLE_US + 5 * SIM_S; t <= CONVERGE_US; t += 5 * SIM_S)
      {
        sim_.run_until (GOOD_US + t);
        wrong_views = sim_.wrong_views ();
        if (wrong_views == 0)
          return;
      }
  }

  int wrong_views = 0;
  int late_deaths = 0; // of running members, declared when the network had long been good
  int backward_incarnations = 0;
  int deaths = 0;
  int restarts = 0;

private:
  static sim_options_t
  options_of (uint64_t seed)
  {
    rng_t rng;
    rng_init (&rng, seed);
    sim_options_t options;
    options.seed = seed;
    options.nodes = seed % 20 == 0 ? 33 + (int)rng_below (&rng, 32) : 3 + (int)rng_below (&rng, 14);
    options.domains = 1 + (int)rng_below (&rng, 4);
    options.loss = (double)rng_below (&rng, 3) * 0.1;
    options.max_delay_us = (int64_t)rng_below (&rng, 200) * SIM_MS + 2 * SIM_MS;
    return options;
  }

  int
  random_node ()
  {
    return (int)rng_below (&sim_.rng, sim_.nodes.size ());
  }

  void
  plan ()
  {
    int faults = 2 + (int)rng_below (&sim_.rng, 8);
    for (int i = 0; i < faults; i++)
      {
        int64_t start = JOIN_US + (int64_t)rng_below (&sim_.rng, GOOD_US - JOIN_US);
        int64_t length = (int64_t)rng_below (&sim_.rng, 20 * SIM_S);
        int a = random_node ();
        int b = random_node ();
        switch (rng_below (&sim_.rng, 4))
          {
          case 0:
            sim_.at (start, [=] { cuts_.insert ({ a, b }); });
            sim_.at (start + length, [=] { cuts_.erase ({ a, b }); });
            break;
          case 1:
            sim_.at (start, [=] { cut_off (a, b % 3); });
            sim_.at (start + length, [=] { cuts_.clear (); });
            break;
          case 2:
            sim_.at (start, [=] { sim_.pause (a, std::min (length, GOOD_US - sim_.now_us)); });
            break;
          default:
            sim_.at (start, [=] { crash (a, length, b % 2 == 0); });
          }
      }
  }

  // DIRECTION 0: hears nobody; 1: nobody hears it; 2: both.
  void
  cut_off (int node, int direction)
  {
    for (int other = 0; other < (int)sim_.nodes.size (); other++)
      {
        if (direction != 1)
          cuts_.insert ({ other, node });
        if (direction != 0)
          cuts_.insert ({ node, other });
      }
  }

  // One crash in two is followed by a restart, one restart in two with a clock that went back.
  void
  crash (int node, int64_t length, bool restart)
  {
    if (!sim_.nodes[node].running)
      return;
    sim_.crash (node);
    seen_.erase (node);
    if (!restart)
      return;
    restarts++;
    int64_t clock_ms = rng_below (&sim_.rng, 2) == 0 ? 0 : -600000;
    sim_.at (std::min (sim_.now_us + length, GOOD_US), [=] {
      if (!sim_.nodes[node].running)
        sim_.start (node, clock_ms);
    });
  }

  void
  check_member (int node, swim_event_t event, const swim_member_t *member)
  {
    uint64_t &highest = seen_[node][member->id];
    backward_incarnations += member->incarnation < highest ? 1 : 0;
    highest = std::max (highest, member->incarnation);
    if (event != SWIM_EVENT_DEAD)
      return;
    deaths++;
    int subject = atoi (member->id + 6) - 10000;
    if (sim_.nodes[subject].running && sim_.now_us > GOOD_US + SETTLE_US)
      late_deaths++;
  }

  Sim sim_;
  std::set<std::pair<int, int> > cuts_;
  std::map<int, std::map<std::string, uint64_t> > seen_;
};

class SwimFaults : public ::testing::TestWithParam<int>
{
};

// Guards against live members that stay dead in a view, crashed members that stay alive, views that
// differ for ever, and incarnations that go back.
TEST_P (SwimFaults, ViewsConverge)
{
  int deaths = 0;
  int restarts = 0;
  for (uint64_t seed = (uint64_t)GetParam () * 100 + 1; seed <= (uint64_t)GetParam () * 100 + 100;
       seed++)
    {
      FaultRun run (seed);
      run.run ();
      EXPECT_EQ (run.wrong_views, 0) << "seed " << seed;
      EXPECT_EQ (run.late_deaths, 0) << "seed " << seed;
      EXPECT_EQ (run.backward_incarnations, 0) << "seed " << seed;
      deaths += run.deaths;
      restarts += run.restarts;
    }
  EXPECT_GT (deaths, 100);
  EXPECT_GT (restarts, 20);
}

INSTANTIATE_TEST_SUITE_P (Seeds, SwimFaults, ::testing::Range (0, 5));

// Shows that the check detects a violation: a member that only receives stays dead for the others.
TEST (SwimFaultCheck, DetectsAMemberThatStaysDead)
{
  sim_options_t options;
  options.nodes = 8;
  Sim sim (options);
  sim.blocked = [] (int from, int) { return from == 3; };
  sim.start_all ();
  sim.run_until (GOOD_US + CONVERGE_US);
  EXPECT_GT (sim.wrong_views (), 0);
}
