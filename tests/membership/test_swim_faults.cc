// Tests the membership protocol in virtual time with random faults: loss, delay, reordering, links
// blocked in one direction, pauses, crashes and restarts. Then the faults end, and the views must
// converge.

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "swim_sim.h"

static const int64_t FAULTS_START_US = 10 * SIM_S;
static const int64_t FAULTS_END_US = 50 * SIM_S;

// The longest interval between two table synchronisations, plus 15 s for a suspicion with its
// refutation or timeout (6.02 s at 64 members).
static const int64_t MAX_CONVERGE_US = SWIM_SYNC_INTERVAL_US * 3 / 2 + 15 * SIM_S;
// Time after FAULTS_END_US in which an earlier suspicion may still end in a death: a suspicion
// timeout plus two probe periods of the slowest prober.
static const int64_t SETTLE_US = 7 * SIM_S + 2 * SWIM_PERIOD_US * 9;

class FaultRun
{
public:
  explicit FaultRun (uint64_t seed) : sim_ (random_options (seed))
  {
    sim_.member_hook = [this] (int node, swim_event_t event, const swim_member_t *member) {
      check_event (node, event, member);
    };
    sim_.blocked = [this] (int from, int to) { return blocked_links_.count ({ from, to }) > 0; };
  }

  void
  run ()
  {
    sim_.start_all ();
    schedule_faults ();
    sim_.run_until (FAULTS_END_US);
    blocked_links_.clear ();
    sim_.loss_factor = 0;
    for (int64_t t = SETTLE_US + 5 * SIM_S; t <= MAX_CONVERGE_US; t += 5 * SIM_S)
      {
        sim_.run_until (FAULTS_END_US + t);
        wrong_views = sim_.wrong_views ();
        if (wrong_views == 0)
          return;
      }
  }

  int wrong_views = 0;
  int late_deaths = 0; // of running members, later than SETTLE_US after the faults ended
  int backward_incarnations = 0;
  int deaths = 0;
  int restarts = 0;

private:
  static sim_options_t
  random_options (uint64_t seed)
  {
    rng_t rng;
    rng_init (&rng, seed);
    sim_options_t options;
    options.seed = seed;
    options.nodes = seed % 20 == 0 ? 33 + (int)rng_uniform_int (&rng, 32)
                                   : 3 + (int)rng_uniform_int (&rng, 14);
    options.domains = 1 + (int)rng_uniform_int (&rng, 4);
    options.loss = (double)rng_uniform_int (&rng, 3) * 0.1;
    options.max_delay_us = (int64_t)rng_uniform_int (&rng, 200) * SIM_MS + 2 * SIM_MS;
    return options;
  }

  int
  random_node ()
  {
    return (int)rng_uniform_int (&sim_.rng, sim_.nodes.size ());
  }

  void
  schedule_faults ()
  {
    int fault_count = 2 + (int)rng_uniform_int (&sim_.rng, 8);
    for (int i = 0; i < fault_count; i++)
      {
        int64_t start = FAULTS_START_US
                        + (int64_t)rng_uniform_int (&sim_.rng, FAULTS_END_US - FAULTS_START_US);
        int64_t duration_us = (int64_t)rng_uniform_int (&sim_.rng, 20 * SIM_S);
        int a = random_node ();
        int b = random_node ();
        switch (rng_uniform_int (&sim_.rng, 4))
          {
          case 0:
            sim_.schedule (start, [=] { blocked_links_.insert ({ a, b }); });
            sim_.schedule (start + duration_us, [=] { blocked_links_.erase ({ a, b }); });
            break;
          case 1:
            sim_.schedule (start, [=] { isolate (a, b % 3); });
            sim_.schedule (start + duration_us, [=] { blocked_links_.clear (); });
            break;
          case 2:
            sim_.schedule (start, [=] {
              sim_.pause (a, std::min (duration_us, FAULTS_END_US - sim_.now_us));
            });
            break;
          default:
            sim_.schedule (start, [=] { crash (a, duration_us, b % 2 == 0); });
          }
      }
  }

  // Blocks the links of NODE. DIRECTION is 0: to it; 1: from it; 2: both.
  void
  isolate (int node, int direction)
  {
    for (int other = 0; other < (int)sim_.nodes.size (); other++)
      {
        if (direction != 1)
          blocked_links_.insert ({ other, node });
        if (direction != 0)
          blocked_links_.insert ({ node, other });
      }
  }

  // Crashes NODE. With RESTART it starts again, in one case of two with a wall clock that is 10
  // minutes behind.
  void
  crash (int node, int64_t duration_us, bool restart)
  {
    if (!sim_.nodes[node].running)
      return;
    sim_.crash (node);
    highest_incarnations_.erase (node);
    if (!restart)
      return;
    restarts++;
    int64_t clock_ms = rng_uniform_int (&sim_.rng, 2) == 0 ? 0 : -600000;
    sim_.schedule (std::min (sim_.now_us + duration_us, FAULTS_END_US), [=] {
      if (!sim_.nodes[node].running)
        sim_.start (node, clock_ms);
    });
  }

  void
  check_event (int node, swim_event_t event, const swim_member_t *member)
  {
    uint64_t &highest = highest_incarnations_[node][member->id];
    backward_incarnations += member->incarnation < highest ? 1 : 0;
    highest = std::max (highest, member->incarnation);
    if (event != SWIM_EVENT_DEAD)
      return;
    deaths++;
    int subject = atoi (member->id + 6) - 10000;
    if (sim_.nodes[subject].running && sim_.now_us > FAULTS_END_US + SETTLE_US)
      late_deaths++;
  }

  Sim sim_;
  std::set<std::pair<int, int> > blocked_links_;
  std::map<int, std::map<std::string, uint64_t> > highest_incarnations_;
};

class SwimFaults : public ::testing::TestWithParam<int>
{
};

// Guards against running members that stay dead in a view, crashed members that stay alive, views
// that never become equal, and incarnations that decrease.
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

// Shows that the check detects a violation: the others list a member as dead if none of its
// messages arrive.
TEST (SwimFaultCheck, DetectsAMemberThatStaysDead)
{
  sim_options_t options;
  options.nodes = 8;
  Sim sim (options);
  sim.blocked = [] (int from, int) { return from == 3; };
  sim.start_all ();
  sim.run_until (FAULTS_END_US + MAX_CONVERGE_US);
  EXPECT_GT (sim.wrong_views (), 0);
}
