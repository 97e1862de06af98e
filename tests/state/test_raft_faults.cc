// Random faults in virtual time. RAFT_RUNS and RAFT_SEED set the number of runs and the first seed:
//   RAFT_RUNS=100000 RAFT_SEED=1 build/tests/state/test_raft_faults --gtest_filter=*RandomFaults
#include <gtest/gtest.h>

#include <cstdlib>

#include "raft_sim.h"

#if defined(__SANITIZE_ADDRESS__)
#define DEFAULT_RUN_COUNT 300
#else
#define DEFAULT_RUN_COUNT 4000
#endif

// A run with random faults, proposals and reads, and an operator who replaces instances whose disk
// is lost or damaged.
class FaultRun
{
public:
  FaultRun (uint64_t seed, int member_count) : sim (seed, member_count, seed % 2 == 0)
  {
    sim.loss_probability = rng_uniform_double (&sim.rng) * 0.1;
    sim.duplicate_probability = rng_uniform_double (&sim.rng) * 0.1;
    sim.slow_probability = rng_uniform_double (&sim.rng) * 0.05;
    // Slow links lead to elections with several candidates.
    sim.mean_link_delay_us = seed % 4 == 1 ? 60 * MS : 1 * MS;
    sim.crash_after_vote_probability = rng_uniform_double (&sim.rng) * 0.2;
    for (int i = 0; i < member_count; i++)
      sim.node (i).clock_rate = 0.8 + rng_uniform_double (&sim.rng) * 0.4;
  }

  void
  run (int actions)
  {
    sim.bootstrap (random_slot () == 0 ? 1 : sim.member_count ());
    if (plant_fault)
      plant_fault (sim);
    for (int i = 0; i < actions && sim.violation.empty (); i++)
      {
        sim.run_for ((int64_t)rng_uniform_int (&sim.rng, 150 * MS));
        propose_and_read ();
        inject_random_fault ();
        replace_lost_instances ();
      }
    if (sim.violation.empty ())
      sim.check_recovery ();
  }

  RaftSim sim;
  // Makes members violate a safety property, to test the checker.
  std::function<void (RaftSim &)> plant_fault;

private:
  int
  random_slot ()
  {
    return (int)rng_uniform_int (&sim.rng, sim.member_count ());
  }

  void
  propose_and_read ()
  {
    for (int slot = 0; slot < sim.member_count (); slot++)
      {
        for (uint64_t i = rng_uniform_int (&sim.rng, 4); i > 0; i--)
          sim.propose (slot, "entry " + std::to_string (++proposals_));
        sim.request_read (slot);
      }
  }

  void
  inject_random_fault ()
  {
    int slot = random_slot ();
    SimNode &node = sim.node (slot);
    uint64_t kind = rng_uniform_int (&sim.rng, 22);
    if (kind < 2)
      sim.crash (slot, true);
    else if (kind < 3)
      sim.crash (slot, false);
    else if (kind < 8 && !node.up)
      sim.start (slot);
    else if (kind >= 8 && kind < 10)
      sim.cut_links.insert ({ slot, random_slot () });
    else if (kind >= 10 && kind < 13)
      sim.cut_links.clear ();
    else if (kind == 13)
      node.disk.capacity_bytes = rng_uniform_int (&sim.rng, 3000);
    else if (kind >= 14 && kind < 17)
      node.disk.capacity_bytes = UINT64_MAX;
    else if (kind == 17)
      node.disk.fail_sync_in = 1 + (int)rng_uniform_int (&sim.rng, 4);
    else if (kind == 18 && sim.leader () >= 0)
      raft_transfer_leadership (&sim.node (sim.leader ()).raft, sim.node (sim.leader ()).now (), 0,
                                nullptr);
    else if (kind == 19)
      damage_disk (slot);
    else if (kind >= 20)
      node.disk.power_fails_in = 1 + (int)rng_uniform_int (&sim.rng, 30);
  }

  // Loses the disk of SLOT or flips a bit on it, if the previous loss is repaired and each instance
  // knows all of them as the voters.
  void
  damage_disk (int slot)
  {
    for (int i = 0; i < sim.member_count (); i++)
      {
        if (lost_id_ != 0 || !sim.knows_all_voters (i))
          return;
      }
    lost_id_ = sim.node (slot).id;
    if (rng_uniform_int (&sim.rng, 2) == 0)
      {
        sim.lose_disk (slot);
        return;
      }
    sim.crash (slot, true);
    std::vector<std::string> names = sim.node (slot).disk.names ();
    const std::string &name = names[rng_uniform_int (&sim.rng, names.size ())];
    size_t size = sim.node (slot).disk.content (name).size ();
    if (size > 0)
      sim.node (slot).disk.flip_bit (name, rng_uniform_int (&sim.rng, size), 3);
  }

  void
  replace_lost_instances ()
  {
    for (int i = 0; i < sim.member_count (); i++)
      {
        if (sim.node (i).damaged)
          sim.lose_disk (i);
      }
    if (sim.leader () < 0)
      return;
    // An instance that restarts with its identity was not affected by the damage. A lost identity
    // is removed from the group for good.
    for (int i = 0; i < sim.member_count (); i++)
      {
        if (sim.node (i).up && sim.node (i).id == lost_id_)
          lost_id_ = 0;
      }
    if (lost_id_ != 0 && sim.is_member (lost_id_))
      sim.remove_member (lost_id_);
    if (lost_id_ != 0 && sim.is_removed_everywhere (lost_id_))
      lost_id_ = 0;
    int slot = random_slot ();
    if (sim.node (slot).up && !sim.is_member (sim.node (slot).id))
      sim.add_member (slot);
  }

  int proposals_ = 0;
  uint64_t lost_id_ = 0;
};

static uint64_t
env_number (const char *name, uint64_t fallback)
{
  const char *text = getenv (name);
  return text != nullptr ? strtoull (text, nullptr, 10) : fallback;
}

// Guards against violations of the safety properties that RaftSim checks, and against a group that
// does not recover, under random combinations of faults.
TEST (RaftFaults, RandomFaults)
{
  uint64_t first_seed = env_number ("RAFT_SEED", 1);
  uint64_t run_count = env_number ("RAFT_RUNS", DEFAULT_RUN_COUNT);
  uint64_t acked_count = 0, confirmed_reads_total = 0, elections_won = 0, messages = 0;
  for (uint64_t seed = first_seed; seed < first_seed + run_count; seed++)
    {
      FaultRun run (seed, seed % 3 == 0 ? 5 : 3);
      run.run (150);
      ASSERT_EQ (run.sim.violation, "") << "RAFT_RUNS=1 RAFT_SEED=" << seed;
      acked_count += run.sim.acked_count;
      confirmed_reads_total += run.sim.confirmed_reads;
      elections_won += run.sim.elections_won;
      messages += run.sim.messages;
    }
  printf ("%lu runs: %lu acknowledged, %lu reads, %lu leaders, %lu messages\n", run_count,
          acked_count, confirmed_reads_total, elections_won, messages);
  // Without commits and reads the checks would pass without testing anything.
  EXPECT_GT (acked_count, run_count * 10);
  EXPECT_GT (confirmed_reads_total, run_count * 2);
}

// Returns whether a run with a planted fault ends with a violation that contains TEXT.
static bool
is_detected (const std::string &text, const std::function<void (RaftSim &)> &plant_fault)
{
  for (uint64_t seed = 1; seed <= 400; seed++)
    {
      FaultRun run (seed, 3);
      run.plant_fault = plant_fault;
      run.run (150);
      if (run.sim.violation.find (text) != std::string::npos)
        return true;
    }
  return false;
}

// The same for disks on which syncs of files whose name contains NAME have no effect.
static bool
detects_skipped_syncs (const std::string &text, const std::string &name)
{
  return is_detected (text, [&] (RaftSim &sim) {
    for (int i = 0; i < sim.member_count (); i++)
      sim.node (i).disk.skip_sync_substring = name;
  });
}

// The same for CHANGE applied to each message before it is sent.
static bool
detects_tampering (const std::string &text, const std::function<void (raft_message_t &)> &change)
{
  return is_detected (text, [&] (RaftSim &sim) { sim.tamper = change; });
}

// Guards against a checker that misses violations: one planted fault for each safety property.
// test_raft.cc does the same for reads and the pre-vote.
TEST (RaftChecker, PlantedFaultsAreCaught)
{
  // Entries that are acknowledged before they are synced, and votes that are not durable.
  EXPECT_TRUE (detects_skipped_syncs ("which was acknowledged", "-log"));
  EXPECT_TRUE (detects_skipped_syncs ("two votes by one member", "-meta"));
  EXPECT_TRUE (detects_tampering ("two leaders in term", [] (raft_message_t &m) {
    m.ok = m.ok || m.type == RAFT_VOTE_REPLY; // denied votes count as granted
  }));
  EXPECT_TRUE (detects_tampering ("lacks committed entry", [] (raft_message_t &m) {
    m.log_term += m.type == RAFT_VOTE ? 1000 : 0; // candidates with an outdated log are elected
  }));
  EXPECT_TRUE (detects_tampering ("committed entry", [] (raft_message_t &m) {
    if (m.type == RAFT_APPEND)
      m.commit_index = m.index + m.entry_count; // commits without a majority
  }));
  EXPECT_TRUE (detects_tampering ("differs from what was committed", [] (raft_message_t &m) {
    static raft_entry_t entry;
    static const raft_entry_t *entries[] = { &entry };
    if (m.entry_count == 0 || m.entries[0]->type != RAFT_ENTRY_DATA)
      return;
    entry = { m.entries[0]->term, RAFT_ENTRY_DATA, (const uint8_t *)"changed", 7 };
    m.entries = entries;
    m.entry_count = 1;
  }));
}
