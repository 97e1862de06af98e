// Measures the membership protocol in virtual time. Usage: membership_model COMMAND MEMBERS
//
//   steady      messages and bytes per second and member, without and with restarts
//   detect      time from a crash to its detection by each member
//   false       false suspicions and deaths under 5% loss, and with one bad member
//   spread      time for a configuration version to reach all members
//   memory      bytes of state per member
//   heal        time and bytes until all views are correct after a partition of 3 minutes
//   domains     bytes across failure domains and spread time by share of probes in the own domain
//
// Seeds are fixed; the same command prints the same counts on every machine. CPU time per message
// is the process time divided by the messages delivered. It includes the simulation and varies.

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <map>
#include <string>

#include "swim_sim.h"

static const double RESTARTS_PER_MEMBER_AND_DAY = 15000.0 / 4600;
static const double SECONDS_PER_DAY = 86400;
static const int64_t WARM_UP_US = 5 * SIM_S;

static sim_options_t
make_options (int members)
{
  sim_options_t options;
  options.nodes = members;
  options.domains = members >= 128 ? 12 : 3;
  options.preload = true;
  return options;
}

static double
percentile (std::vector<double> &values, double share)
{
  if (values.empty ())
    return 0;
  std::sort (values.begin (), values.end ());
  size_t index = (size_t)((double)values.size () * share);
  return values[std::min (index, values.size () - 1)];
}

struct traffic_t
{
  double messages = 0;
  double bytes = 0;
  double cross_domain_bytes = 0;
  double max_member_bytes = 0; // highest mean of a single member
};

// Returns the traffic per member and second since BEFORE.
static traffic_t
traffic_since (const Sim &sim, const std::vector<sim_node_t> &before, double seconds)
{
  traffic_t sum;
  double members = (double)sim.nodes.size ();
  for (size_t i = 0; i < sim.nodes.size (); i++)
    {
      double bytes = (double)(sim.nodes[i].bytes - before[i].bytes) / seconds;
      sum.messages += (double)(sim.nodes[i].messages - before[i].messages) / seconds / members;
      sum.cross_domain_bytes
          += (double)(sim.nodes[i].bytes_across_domains - before[i].bytes_across_domains) / seconds
             / members;
      sum.bytes += bytes / members;
      sum.max_member_bytes = std::max (sum.max_member_bytes, bytes);
    }
  return sum;
}

static void
schedule_restarts (Sim *sim, double per_second, int64_t end_us)
{
  int64_t next_us = sim->now_us + (int64_t)(rng_exponential (&sim->rng, 1 / per_second) * 1e6);
  if (next_us >= end_us)
    return;
  sim->schedule (next_us, [=] {
    int node = (int)rng_uniform_int (&sim->rng, sim->nodes.size ());
    if (sim->nodes[node].running)
      {
        // Half of the restarts are announced, the others are failures; both take 5 s.
        if (rng_uniform_int (&sim->rng, 2) == 0)
          swim_stop (&sim->nodes[node].swim, sim->now_us);
        sim->crash (node);
        sim->schedule (sim->now_us + 5 * SIM_S, [=] { sim->start (node); });
      }
    schedule_restarts (sim, per_second, end_us);
  });
}

static void
measure_steady (int members)
{
  int64_t length_us = (members >= 2048 ? 60 : members >= 512 ? 300 : 3600) * SIM_S;
  for (int restarts = 0; restarts < 2; restarts++)
    {
      Sim sim (make_options (members));
      sim.start_all ();
      sim.run_until (WARM_UP_US);
      if (restarts)
        schedule_restarts (&sim, RESTARTS_PER_MEMBER_AND_DAY * members / SECONDS_PER_DAY,
                           WARM_UP_US + length_us);
      std::vector<sim_node_t> before = sim.nodes;
      uint64_t delivered_count = sim.delivered_count;
      clock_t start = clock ();
      sim.run_until (WARM_UP_US + length_us);
      double cpu_us = (double)(clock () - start) / CLOCKS_PER_SEC * 1e6;
      traffic_t traffic = traffic_since (sim, before, (double)length_us / 1e6);
      printf ("steady members=%d restarts=%s seconds=%d messages/s=%.2f bytes/s=%.0f "
              "across_domains=%.0f highest_member=%.0f cpu_us_per_message=%.1f\n",
              members, restarts ? "yes" : "no", (int)(length_us / SIM_S), traffic.messages,
              traffic.bytes, traffic.cross_domain_bytes, traffic.max_member_bytes,
              cpu_us / (double)(sim.delivered_count - delivered_count));
      for (sim_node_t &node : before)
        node.running = false;
    }
}

// Measures the time from a crash to the suspicion by the first member, and to suspicion and death
// in each view.
static void
measure_detection (int members)
{
  int crashes = members >= 2048 ? 2 : members >= 512 ? 8 : 40;
  std::vector<double> first_suspicion_s;
  std::vector<double> suspected_in_view_s;
  std::vector<double> dead_in_view_s;
  for (int i = 0; i < crashes; i++)
    {
      sim_options_t options = make_options (members);
      options.seed = (uint64_t)i + 1;
      Sim sim (options);
      sim.start_all ();
      sim.run_until (2 * SIM_S);
      int node = (int)rng_uniform_int (&sim.rng, members);
      int64_t crash_us = sim.now_us;
      bool first = true;
      sim.crash (node);
      sim.member_hook = [&] (int, swim_event_t event, const swim_member_t *member) {
        if (member->id != sim.nodes[node].id)
          return;
        double seconds = (double)(sim.now_us - crash_us) / 1e6;
        if (event == SWIM_EVENT_SUSPECTED && first)
          first_suspicion_s.push_back (seconds);
        first = first && event != SWIM_EVENT_SUSPECTED;
        if (event == SWIM_EVENT_SUSPECTED)
          suspected_in_view_s.push_back (seconds);
        if (event == SWIM_EVENT_DEAD)
          dead_in_view_s.push_back (seconds);
      };
      sim.run_until (crash_us + 60 * SIM_S);
    }
  size_t expected = (size_t)crashes * (members - 1);
  size_t seen = dead_in_view_s.size ();
  printf ("detect members=%d crashes=%d first_suspicion_p50=%.1f p99=%.1f suspected_p50=%.1f "
          "p99=%.1f dead_p50=%.1f p99=%.1f "
          "max=%.1f views=%zu of %zu\n",
          members, crashes, percentile (first_suspicion_s, 0.5),
          percentile (first_suspicion_s, 0.99), percentile (suspected_in_view_s, 0.5),
          percentile (suspected_in_view_s, 0.99), percentile (dead_in_view_s, 0.5),
          percentile (dead_in_view_s, 0.99), percentile (dead_in_view_s, 1), seen, expected);
}

// FAULT 0: 5% loss everywhere; 1: one member handles messages 1.5 s late; 2: one member receives
// nothing; 3: one member is cut off in both directions; 4: the same for 30 s instead of 240 s.
// Suspicions and deaths of the bad member itself are not counted.
static void
measure_false_suspicions (int members, int fault, unsigned health_limit, bool demote_deaths)
{
  static const char *const faults[] = { "loss", "slow", "deaf", "cut", "cut_30s" };
  sim_options_t options = make_options (members);
  options.loss = fault == 0 ? 0.05 : 0;
  options.max_health_score = health_limit;
  options.suspects_reported_deaths = demote_deaths;
  Sim sim (options);
  uint64_t suspicion_count = 0;
  uint64_t deaths = 0;
  uint64_t deaths_in_bad_view = 0;
  std::map<std::string, uint64_t> suspicions;
  sim.start_all ();
  sim.run_until (WARM_UP_US);
  const int bad_node = fault == 0 ? -1 : 1;
  sim.member_hook = [&] (int node, swim_event_t event, const swim_member_t *member) {
    if (bad_node >= 0 && member->id == sim.nodes[bad_node].id)
      return;
    std::string key = std::string (member->id) + "." + std::to_string (member->incarnation);
    if (event == SWIM_EVENT_SUSPECTED && suspicions[key]++ == 0)
      suspicion_count++;
    deaths += event == SWIM_EVENT_DEAD && node != bad_node ? 1 : 0;
    deaths_in_bad_view += event == SWIM_EVENT_DEAD && node == bad_node ? 1 : 0;
  };
  if (fault == 1)
    sim.nodes[bad_node].handling_delay_us = 1500 * SIM_MS;
  if (fault >= 2)
    sim.blocked
        = [=] (int from, int to) { return to == bad_node || (from == bad_node && fault >= 3); };
  sim.run_until (WARM_UP_US + (fault == 4 ? 30 : 240) * SIM_S);
  sim.blocked = nullptr;
  sim.run_until (WARM_UP_US + 300 * SIM_S);
  printf ("false members=%d fault=%s health_limit=%u demote_deaths=%d seconds=300 "
          "false_suspicions=%lu false_deaths_in_views=%lu in_view_of_bad_member=%lu\n",
          members, faults[fault], health_limit, demote_deaths, suspicion_count, deaths,
          deaths_in_bad_view);
}

static void
measure_all_faults (int members)
{
  for (int fault = 0; fault < 5; fault++)
    {
      measure_false_suspicions (members, fault, 8, true);
      measure_false_suspicions (members, fault, 0, true);
      measure_false_suspicions (members, fault, 8, false);
      measure_false_suspicions (members, fault, 0, false);
    }
}

static std::vector<double>
spread_times (const sim_options_t &options)
{
  Sim sim (options);
  std::vector<double> times;
  sim.start_all ();
  sim.run_until (WARM_UP_US);
  sim.version_hook
      = [&] (int, uint64_t) { times.push_back ((double)(sim.now_us - WARM_UP_US) / 1e6); };
  swim_set_version (&sim.nodes[0].swim, sim.now_us, 7, 1);
  sim.run_until (WARM_UP_US + 30 * SIM_S);
  return times;
}

static void
measure_spread (int members)
{
  int runs = members >= 2048 ? 1 : members >= 512 ? 5 : 50;
  std::vector<double> all;
  for (int i = 0; i < runs; i++)
    {
      sim_options_t options = make_options (members);
      options.seed = (uint64_t)i + 1;
      options.loss = 0.01;
      std::vector<double> times = spread_times (options);
      all.insert (all.end (), times.begin (), times.end ());
    }
  size_t reached = all.size ();
  printf ("spread members=%d runs=%d loss=1%% fetch=20ms p50=%.2f p99=%.2f max=%.2f reached=%zu of "
          "%zu\n",
          members, runs, percentile (all, 0.5), percentile (all, 0.99), percentile (all, 1),
          reached, (size_t)runs * (members - 1));
}

static void
measure_memory (int members)
{
  sim_options_t options = make_options (members);
  options.preload = false;
  Sim sim (options);
  for (int i = 0; i < members; i++)
    sim.start (i);
  std::vector<swim_update_t> updates (members);
  for (int i = 0; i < members; i++)
    swim_table_get_update (sim.nodes[i].swim.table.self, &updates[i]);
  // The difference excludes the texts, which the members of this process share. They are counted
  // separately.
  size_t before = mallinfo2 ().uordblks;
  for (int i = 1; i < members; i++)
    swim_table_add (&sim.nodes[0].swim.table, &updates[i]);
  size_t used_bytes = mallinfo2 ().uordblks - before;
  size_t text_bytes = 0;
  for (int i = 1; i < members; i++)
    text_bytes += 2 * (strlen (updates[i].id) + strlen (updates[i].peer_address) + 2 * 40);
  printf ("memory members=%d bytes_per_member=%.0f and at most %.0f for the texts\n", members,
          (double)used_bytes / (members - 1), (double)text_bytes / (members - 1));
}

// Cuts off a third of the failure domains for 180 s.
static void
measure_heal (int members)
{
  Sim sim (make_options (members));
  uint64_t false_deaths = 0;
  double highest_bytes = 0;
  sim.start_all ();
  sim.run_until (WARM_UP_US);
  sim.blocked = [&] (int from, int to) { return (from % 12 % 3 == 0) != (to % 12 % 3 == 0); };
  sim.run_until (WARM_UP_US + 180 * SIM_S);
  sim.blocked = nullptr;
  sim.member_hook = [&] (int, swim_event_t event, const swim_member_t *) {
    false_deaths += event == SWIM_EVENT_DEAD ? 1 : 0;
  };
  int64_t start_us = sim.now_us;
  int seconds = 0;
  int above_one_percent_s = 0;
  int wrong_view_count = sim.wrong_views ();
  const int before = wrong_view_count;
  for (; wrong_view_count > 0 && seconds < 600; seconds++)
    {
      std::vector<sim_node_t> counters = sim.nodes;
      sim.run_until (start_us + (seconds + 1) * SIM_S);
      highest_bytes = std::max (highest_bytes, traffic_since (sim, counters, 1).max_member_bytes);
      wrong_view_count = sim.wrong_views ();
      above_one_percent_s = wrong_view_count * 100 > before ? seconds + 1 : above_one_percent_s;
    }
  printf ("heal members=%d wrong_views_before=%d seconds_to_1%%=%d seconds_to_none=%d "
          "deaths_after=%lu highest_member_bytes_in_a_second=%.0f\n",
          members, before, above_one_percent_s, seconds, false_deaths, highest_bytes);
}

static void
measure_domains (int members)
{
  for (double share : { -1.0, 0.5, 0.75, 0.9 })
    {
      sim_options_t options = make_options (members);
      options.own_domain_share = share < 0 ? 1.0 / options.domains : share;
      options.loss = 0.01;
      std::vector<double> times = spread_times (options);
      Sim sim (options);
      sim.start_all ();
      sim.run_until (WARM_UP_US);
      std::vector<sim_node_t> before = sim.nodes;
      sim.run_until (WARM_UP_US + 120 * SIM_S);
      traffic_t traffic = traffic_since (sim, before, 120);
      printf ("domains members=%d own_share=%.2f bytes/s=%.0f across_domains=%.0f spread_p50=%.2f "
              "p99=%.2f max=%.2f\n",
              members, options.own_domain_share, traffic.bytes, traffic.cross_domain_bytes,
              percentile (times, 0.5), percentile (times, 0.99), percentile (times, 1));
      for (sim_node_t &node : before)
        node.running = false;
    }
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const char *name;
    void (*run) (int members);
  } commands[] = { { "steady", measure_steady },    { "detect", measure_detection },
                   { "false", measure_all_faults }, { "spread", measure_spread },
                   { "memory", measure_memory },    { "domains", measure_domains },
                   { "heal", measure_heal } };
  int members = argc == 3 ? atoi (argv[2]) : 0;
  for (const auto &command : commands)
    {
      if (members < 2 || strcmp (argv[1], command.name) != 0)
        continue;
      command.run (members);
      return 0;
    }
  fprintf (stderr,
           "usage: membership_model steady|detect|false|spread|memory|heal|domains MEMBERS\n");
  return 1;
}
