// Random faults in virtual time. RAFT_RUNS and RAFT_SEED set the number of runs and the first seed:
//   RAFT_RUNS=100000 RAFT_SEED=1 build/tests/state/test_raft_faults --gtest_filter=*RandomFaults
#include <gtest/gtest.h>

#include <cstdlib>

#include "raft_sim.h"

#if defined(__SANITIZE_ADDRESS__)
#define DEFAULT_RUNS 300
#else
#define DEFAULT_RUNS 4000
#endif

// One run: faults of all kinds at random, proposals and reads, and an operator who replaces
// instances that lost their disk.
class FaultRun
{
public:
  FaultRun (uint64_t seed, int slots) : sim (seed, slots, seed % 2 == 0)
  {
    sim.loss = rng_unit (&sim.rng) * 0.1;
    sim.duplicates = rng_unit (&sim.rng) * 0.1;
    sim.slow = rng_unit (&sim.rng) * 0.05;
    // On slow links candidates compete.
    sim.link_us = seed % 4 == 1 ? 60 * MS : 1 * MS;
    sim.crashes_after_vote = rng_unit (&sim.rng) * 0.2;
    for (int i = 0; i < slots; i++)
      sim.node (i).rate = 0.8 + rng_unit (&sim.rng) * 0.4;
  }

  void
  run (int actions)
  {
    sim.boot (pick () == 0 ? 1 : sim.slots ());
    if (plant)
      plant (sim);
    for (int i = 0; i < actions && sim.violation.empty (); i++)
      {
        sim.run_for ((int64_t)rng_below (&sim.rng, 150 * MS));
        load ();
        fault ();
        operate ();
      }
    if (sim.violation.empty ())
      sim.settle ();
  }

  RaftSim sim;
  std::function<void (RaftSim &)> plant; // breaks a promise, to test the checker

private:
  int
  pick ()
  {
    return (int)rng_below (&sim.rng, sim.slots ());
  }

  void
  load ()
  {
    for (int slot = 0; slot < sim.slots (); slot++)
      {
        for (uint64_t i = rng_below (&sim.rng, 4); i > 0; i--)
          sim.propose (slot, "entry " + std::to_string (++proposals_));
        sim.read (slot);
      }
  }

  void
  fault ()
  {
    int slot = pick ();
    SimNode &node = sim.node (slot);
    uint64_t kind = rng_below (&sim.rng, 22);
    if (kind < 2)
      sim.crash (slot, true);
    else if (kind < 3)
      sim.crash (slot, false);
    else if (kind < 8 && !node.up)
      sim.start (slot);
    else if (kind >= 8 && kind < 10)
      sim.cuts.insert ({ slot, pick () });
    else if (kind >= 10 && kind < 13)
      sim.cuts.clear ();
    else if (kind == 13)
      node.disk.capacity = rng_below (&sim.rng, 3000);
    else if (kind >= 14 && kind < 17)
      node.disk.capacity = UINT64_MAX;
    else if (kind == 17)
      node.disk.fail_sync_in = 1 + (int)rng_below (&sim.rng, 4);
    else if (kind == 18 && sim.leader () >= 0)
      raft_transfer_leadership (&sim.node (sim.leader ()).raft, sim.node (sim.leader ()).now (), 0,
                                nullptr);
    else if (kind == 19)
      damage (slot);
    else if (kind >= 20)
      node.disk.power_fails_in = 1 + (int)rng_below (&sim.rng, 30);
  }

  // Loses a disk or flips a bit on it, if each instance knows all of them as the voters.
  void
  damage (int slot)
  {
    for (int i = 0; i < sim.slots (); i++)
      {
        if (lost_ != 0 || !sim.knows_all_voters (i))
          return;
      }
    lost_ = sim.node (slot).id;
    if (rng_below (&sim.rng, 2) == 0)
      {
        sim.lose_disk (slot);
        return;
      }
    sim.crash (slot, true);
    std::vector<std::string> names = sim.node (slot).disk.names ();
    const std::string &name = names[rng_below (&sim.rng, names.size ())];
    size_t size = sim.node (slot).disk.content (name).size ();
    if (size > 0)
      sim.node (slot).disk.flip_bit (name, rng_below (&sim.rng, size), 3);
  }

  void
  operate ()
  {
    for (int i = 0; i < sim.slots (); i++)
      {
        if (sim.node (i).damaged)
          sim.lose_disk (i);
      }
    if (sim.leader () < 0)
      return;
    // A disk that was damaged without effect is back; a lost identity goes for good.
    for (int i = 0; i < sim.slots (); i++)
      {
        if (sim.node (i).up && sim.node (i).id == lost_)
          lost_ = 0;
      }
    if (lost_ != 0 && sim.is_member (lost_))
      sim.remove (lost_);
    if (lost_ != 0 && sim.is_gone (lost_))
      lost_ = 0;
    int slot = pick ();
    if (sim.node (slot).up && !sim.is_member (sim.node (slot).id))
      sim.add (slot);
  }

  int proposals_ = 0;
  uint64_t lost_ = 0;
};

static uint64_t
setting (const char *name, uint64_t fallback)
{
  const char *text = getenv (name);
  return text != nullptr ? strtoull (text, nullptr, 10) : fallback;
}

// Guards against any broken promise under any mix of faults; see RaftSim for what is checked.
TEST (RaftFaults, RandomFaults)
{
  uint64_t first = setting ("RAFT_SEED", 1);
  uint64_t runs = setting ("RAFT_RUNS", DEFAULT_RUNS);
  uint64_t acked = 0, reads = 0, leaders = 0, messages = 0;
  for (uint64_t seed = first; seed < first + runs; seed++)
    {
      FaultRun run (seed, seed % 3 == 0 ? 5 : 3);
      run.run (150);
      ASSERT_EQ (run.sim.violation, "") << "RAFT_RUNS=1 RAFT_SEED=" << seed;
      acked += run.sim.acked;
      reads += run.sim.reads_ok;
      leaders += run.sim.leaders;
      messages += run.sim.messages;
    }
  printf ("%lu runs: %lu acknowledged, %lu reads, %lu leaders, %lu messages\n", runs, acked, reads,
          leaders, messages);
  // A run that commits nothing checks nothing.
  EXPECT_GT (acked, runs * 10);
  EXPECT_GT (reads, runs * 2);
}

// Returns whether a run with a planted fault ends with a violation that contains TEXT.
static bool
is_caught (const std::string &text, const std::function<void (RaftSim &)> &plant)
{
  for (uint64_t seed = 1; seed <= 400; seed++)
    {
      FaultRun run (seed, 3);
      run.plant = plant;
      run.run (150);
      if (run.sim.violation.find (text) != std::string::npos)
        return true;
    }
  return false;
}

static bool
lying_disks (const std::string &text, const std::string &name)
{
  return is_caught (text, [&] (RaftSim &sim) {
    for (int i = 0; i < sim.slots (); i++)
      sim.node (i).disk.lying = name;
  });
}

static bool
tampering (const std::string &text, const std::function<void (raft_message_t &)> &change)
{
  return is_caught (text, [&] (RaftSim &sim) { sim.tamper = change; });
}

// Guards against a checker that cannot see a promise being broken, one planted fault for each.
// Reads and the pre-vote are tested in the same way in test_raft.cc.
TEST (RaftChecker, PlantedFaultsAreCaught)
{
  // Acknowledgement before the sync, and votes that are not durable.
  EXPECT_TRUE (lying_disks ("which was acknowledged", "-log"));
  EXPECT_TRUE (lying_disks ("two votes by one member", "-meta"));
  EXPECT_TRUE (tampering ("two leaders in term", [] (raft_message_t &m) {
    m.ok = m.ok || m.type == RAFT_VOTE_REPLY; // refused votes count
  }));
  EXPECT_TRUE (tampering ("lacks committed entry", [] (raft_message_t &m) {
    m.log_term += m.type == RAFT_VOTE ? 1000 : 0; // candidates with an old log
  }));
  EXPECT_TRUE (tampering ("committed entry", [] (raft_message_t &m) {
    if (m.type == RAFT_APPEND)
      m.commit = m.index + m.entry_count; // commit without a majority
  }));
  EXPECT_TRUE (tampering ("differs from what was committed", [] (raft_message_t &m) {
    static raft_entry_t entry;
    static const raft_entry_t *entries[] = { &entry };
    if (m.entry_count == 0 || m.entries[0]->type != RAFT_ENTRY_DATA)
      return;
    entry = { m.entries[0]->term, RAFT_ENTRY_DATA, (const uint8_t *)"changed", 7 };
    m.entries = entries;
    m.entry_count = 1;
  }));
}
