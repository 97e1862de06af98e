// A control group that loses disks and repairs itself, in virtual time. REPAIR_RUNS and REPAIR_SEED
// set the number of runs and the first seed of the random faults, REPAIR_STEP selects every Nth of
// all sequences of three faults:
//   REPAIR_RUNS=20000 REPAIR_SEED=1 REPAIR_STEP=1 build/tests/state/test_group_repair_faults
#include <gtest/gtest.h>

#include <cstdlib>

#include "repair_sim.h"

#if defined(__SANITIZE_ADDRESS__)
#define DEFAULT_RUN_COUNT 40
#define DEFAULT_STEP 397
#else
#define DEFAULT_RUN_COUNT 400
#define DEFAULT_STEP 23
#endif

namespace
{
constexpr int INSTANCES = 5;
constexpr int SEEDS = 3;
constexpr int TOLERATED = 2;

enum fault_t
{
  POWER_FAILURE,
  POWER_FAILURE_OF_ALL,
  CUT_OUTWARDS,
  CUT_INWARDS,
  LOST_DISK,
};
constexpr int FAULT_COUNT = LOST_DISK + 1;
constexpr int SEQUENCE_LENGTH = 3;

// Five instances, of which the first three are the seeds and found the group. At most TOLERATED
// disks are lost at a time. Each disk is lost right after a power failure, which may also hit all
// other instances at the same moment.
class RepairRun : public RepairSim
{
public:
  explicit RepairRun (uint64_t seed)
      : RepairSim ({ .seed = seed,
                     .slots = INSTANCES,
                     .seeds = SEEDS,
                     .initial_instances = INSTANCES,
                     .wanted_voter_count = INSTANCES })
  {
  }

  void
  run ()
  {
    start ();
    for (int i = 0; i < 6 && sim.violation.empty (); i++)
      {
        int leader = sim.leader ();
        int slot = leader >= 0 && rng_uniform_int (&sim.rng, 2) == 0 ? leader : random_slot ();
        // Lost disks are twice as frequent as each other fault.
        uint64_t kind = rng_uniform_int (&sim.rng, FAULT_COUNT + 1);
        inject_fault ((fault_t)std::min<uint64_t> (kind, LOST_DISK), slot,
                      SECOND + (int64_t)rng_uniform_int (&sim.rng, 3 * SECOND));
        run_for ((int64_t)rng_uniform_int (&sim.rng, 9 * SECOND));
      }
    final_fault ();
    check_recovery ();
  }

  // Runs the faults that the digits of NUMBER select: each a kind of fault and a slot.
  void
  run_sequence (uint64_t number)
  {
    start ();
    for (int i = 0; i < SEQUENCE_LENGTH && sim.violation.empty (); i++)
      {
        uint64_t digit = number % (FAULT_COUNT * INSTANCES);
        number /= FAULT_COUNT * INSTANCES;
        inject_fault ((fault_t)(digit / INSTANCES), (int)(digit % INSTANCES), 2500 * MS);
        run_for (4 * SECOND);
      }
    final_fault ();
    check_recovery ();
  }

private:
  int
  random_slot ()
  {
    return (int)rng_uniform_int (&sim.rng, INSTANCES);
  }

  void
  fail_power (int slot, int64_t down_us)
  {
    lose_power (slot, down_us);
    extend_loss (slot, sim.time_us + down_us);
  }

  // A lost disk of SLOT counts from BACK_US on, when the instance is up and connected again.
  void
  extend_loss (int slot, int64_t back_us)
  {
    if (sim.time_us < lost_until_us_[slot])
      lost_until_us_[slot] = back_us + CATCH_UP_US;
  }

  int
  count_lost_disks ()
  {
    int count = 0;
    for (int64_t until_us : lost_until_us_)
      count += sim.time_us < until_us;
    return count;
  }

  void
  fail_disk (int slot, int64_t down_us)
  {
    if (sim.time_us >= lost_until_us_[slot] && count_lost_disks () >= TOLERATED)
      return;
    lose_disk (slot, down_us);
    lost_until_us_[slot] = sim.time_us + down_us + CATCH_UP_US;
  }

  void
  cut_one_way (int slot, bool outwards)
  {
    cut (slot, outwards);
    extend_loss (slot, sim.time_us + 4 * SECOND);
    run_for (4 * SECOND);
    sim.cut_links.clear ();
  }

  void
  start ()
  {
    run_for (4 * SECOND);
    check_voters ("after the start");
  }

  void
  inject_fault (fault_t fault, int slot, int64_t down_us)
  {
    switch (fault)
      {
      case POWER_FAILURE:
        fail_power (slot, down_us);
        break;
      case CUT_OUTWARDS:
      case CUT_INWARDS:
        cut_one_way (slot, fault == CUT_OUTWARDS);
        break;
      case POWER_FAILURE_OF_ALL:
        for (int i = 0; i < INSTANCES; i++)
          fail_power (i, down_us);
        break;
      case LOST_DISK:
        await_acknowledgement ();
        fail_disk (slot, down_us);
        break;
      }
  }

  void
  final_fault ()
  {
    await_acknowledgement ();
    run_for ((int64_t)rng_uniform_int (&sim.rng, 400 * MS));
    int64_t down_us = 1500 * MS;
    for (int i = 0; i < INSTANCES; i++)
      fail_power (i, down_us);
    for (int i = 0; i < 2 * TOLERATED; i++)
      fail_disk (random_slot (), down_us);
  }

  void
  check_recovery ()
  {
    run_for (RECOVERY_US);
    check_service ("after the last fault");
    check_voters ("at the end");
  }

  int64_t lost_until_us_[INSTANCES] = {};
};

uint64_t
env_number (const char *name, uint64_t fallback)
{
  const char *text = getenv (name);
  return text != nullptr ? strtoull (text, nullptr, 10) : fallback;
}
}

// Guards against an instance that lost its disk and does not become a voter again, for example
// because none of the seeds leads, and against acknowledged entries that are lost with the next
// disks.
TEST (GroupRepairFaults, LostDisksAreReplaced)
{
  uint64_t first_seed = env_number ("REPAIR_SEED", 1);
  uint64_t run_count = env_number ("REPAIR_RUNS", DEFAULT_RUN_COUNT);
  uint64_t acked_count = 0;
  for (uint64_t seed = first_seed; seed < first_seed + run_count; seed++)
    {
      RepairRun run (seed);
      run.run ();
      ASSERT_EQ (run.sim.violation, "") << "REPAIR_RUNS=1 REPAIR_SEED=" << seed;
      acked_count += run.sim.acked_count;
    }
  EXPECT_GT (acked_count, run_count * 100);
}

// The same for every sequence of three faults, or each REPAIR_STEP-th of them.
TEST (GroupRepairFaults, SequencesOfThreeFaults)
{
  uint64_t count = 1;
  uint64_t step = env_number ("REPAIR_STEP", DEFAULT_STEP);
  for (int i = 0; i < SEQUENCE_LENGTH; i++)
    count *= FAULT_COUNT * INSTANCES;
  for (uint64_t number = 0; number < count; number += step)
    {
      RepairRun run (number + 1);
      run.run_sequence (number);
      ASSERT_EQ (run.sim.violation, "") << "sequence " << number;
    }
}
