// Replicated log: throughput, size and restart time on real files; messages and time without a
// leader in virtual time. Run it on an optimised build; it makes the data directories in TMPDIR.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <unistd.h>

#include "raft_sim.h"
extern "C"
{
#include "file_posix.h"
}

// About the size of a claim.
constexpr size_t ENTRY_SIZE = 200;
// The state machine on real files keeps this many last entries, like one with a bounded number of
// keys.
constexpr size_t STATE_ENTRIES = 1000;

// A group of one member on real files.
class FileGroup
{
public:
  explicit FileGroup (uint64_t snapshot_interval_entries)
  {
    path_ = g_dir_make_tmp ("anvillb-bench-XXXXXX", nullptr);
    options_.name = "bench";
    options_.snapshot_interval_entries = snapshot_interval_entries;
    options_.new_id = 1;
    machine_.machine.ops = &machine_ops_;
    io_ = { &io_ops_, nullptr, &machine_.machine };
    open ();
    raft_member_t self = { 1, true, "" };
    raft_bootstrap (&raft, now_, &self, 1, nullptr);
    raft_tick (&raft, now_);
  }

  ~FileGroup ()
  {
    GPtrArray *file_names = g_ptr_array_new_with_free_func (g_free);
    posix_.store.ops->list (&posix_.store, file_names, nullptr);
    for (guint i = 0; i < file_names->len; i++)
      posix_.store.ops->remove (&posix_.store, (const char *)file_names->pdata[i], nullptr);
    g_ptr_array_free (file_names, TRUE);
    close ();
    rmdir (path_);
    g_free (path_);
  }

  void
  open ()
  {
    anv_error_t err = {};
    machine_.state.clear ();
    applied = 0;
    if (!file_posix_init (&posix_, path_, &err))
      g_error ("%s", err.text);
    io_.store = &posix_.store;
    if (!raft_init (&raft, &options_, &io_, now_, &err))
      g_error ("%s", err.text);
  }

  void
  close ()
  {
    raft_destroy (&raft);
    file_posix_destroy (&posix_);
  }

  void
  commit (size_t count)
  {
    uint8_t data[ENTRY_SIZE] = { 1 };
    uint64_t index = 0;
    for (size_t i = 0; i < count; i++)
      raft_propose (&raft, now_, data, sizeof (data), &index, nullptr);
    raft_flush (&raft, now_);
  }

  // Starts the member again and fails unless it applies every entry of the log.
  void
  restart ()
  {
    open ();
    raft_tick (&raft, now_ += SECOND);
    if (raft.applied != raft_log_last_index (&raft.log))
      g_error ("restart did not apply all entries");
  }

  raft_t raft = {};
  uint64_t applied = 0;

private:
  struct Machine
  {
    state_machine_t machine;
    std::vector<std::string> state;
    size_t next;
  };
  static Machine *
  to_machine (state_machine_t *machine)
  {
    return reinterpret_cast<Machine *> (machine);
  }
  static const raft_io_ops_t io_ops_;
  static const state_machine_ops_t machine_ops_;

  char *path_;
  raft_options_t options_ = RAFT_OPTIONS_DEFAULT;
  int64_t now_ = SECOND;
  file_posix_t posix_ = {};
  Machine machine_ = {};
  raft_io_t io_ = {};
};

const raft_io_ops_t FileGroup::io_ops_
    = { [] (raft_io_t *, const raft_message_t *) {}, nullptr, nullptr };

const state_machine_ops_t FileGroup::machine_ops_ = {
  [] (state_machine_t *machine, uint64_t, uint64_t, const uint8_t *data, size_t size) {
    Machine *self = to_machine (machine);
    if (self->state.size () < STATE_ENTRIES)
      self->state.resize (STATE_ENTRIES);
    self->state[self->next++ % STATE_ENTRIES].assign ((const char *)data, size);
  },
  [] (state_machine_t *machine, GByteArray *out) {
    for (const std::string &entry_data : to_machine (machine)->state)
      g_byte_array_append (out, (const guint8 *)entry_data.data (), entry_data.size ());
  },
  [] (state_machine_t *machine, const uint8_t *data, size_t size, anv_error_t *) {
    to_machine (machine)->state.clear ();
    for (size_t i = 0; i + ENTRY_SIZE <= size; i += ENTRY_SIZE)
      to_machine (machine)->state.emplace_back ((const char *)data + i, ENTRY_SIZE);
    return true;
  },
};

// Argument: entries per sync.
static void
commit_on_files (benchmark::State &state)
{
  FileGroup group (UINT64_MAX);
  uint64_t syncs = group.raft.log.record_log.sync_count;
  uint64_t bytes = group.raft.log.record_log.bytes_written;
  for (auto _ : state)
    group.commit (state.range (0));
  double entries = (double)(state.iterations () * state.range (0));
  state.counters["entries_per_s"] = benchmark::Counter (entries, benchmark::Counter::kIsRate);
  state.counters["bytes_per_entry"] = (group.raft.log.record_log.bytes_written - bytes) / entries;
  state.counters["syncs_per_entry"] = (group.raft.log.record_log.sync_count - syncs) / entries;
}
BENCHMARK (commit_on_files)->Arg (1)->Arg (16)->Arg (256)->UseRealTime ();

// Arguments: entries, and 1 if the last one causes a snapshot.
static void
restart_on_files (benchmark::State &state)
{
  size_t entries = state.range (0);
  FileGroup group (state.range (1) != 0 ? entries : UINT64_MAX);
  for (size_t done = 0; done < entries; done += 100)
    group.commit (100);
  for (auto _ : state)
    {
      state.PauseTiming ();
      group.close ();
      state.ResumeTiming ();
      group.restart ();
    }
  state.counters["entries_loaded"] = (double)group.raft.log.entries->len;
}
BENCHMARK (restart_on_files)
    ->ArgsProduct ({ { 500, 100000 }, { 0, 1 } })
    ->Unit (benchmark::kMillisecond)
    ->Iterations (5)
    ->UseRealTime ();

// Arguments: members, and entries that are proposed together every 10 ms. Virtual time, 10 s.
static void
messages_per_entry (benchmark::State &state)
{
  for (auto _ : state)
    {
      RaftSim sim (1, (int)state.range (0), false);
      sim.bootstrap (sim.member_count ());
      sim.run_until ([&] { return sim.leader () >= 0; }, 5 * SECOND);
      sim.run_for (SECOND);
      uint64_t messages = sim.messages;
      uint64_t bytes = sim.bytes;
      uint64_t acked_count = sim.acked_count;
      for (int round = 0; round < 1000; round++)
        {
          for (int64_t i = 0; i < state.range (1); i++)
            sim.propose (sim.leader (), std::string (ENTRY_SIZE, 'x'));
          raft_flush (&sim.node (sim.leader ()).raft, sim.node (sim.leader ()).now ());
          sim.run_for (10 * MS);
        }
      double entries = (double)(sim.acked_count - acked_count);
      state.counters["messages_per_entry"] = (sim.messages - messages) / entries;
      state.counters["bytes_per_entry"] = (sim.bytes - bytes) / entries;
    }
}
BENCHMARK (messages_per_entry)->ArgsProduct ({ { 3, 5 }, { 1, 16, 256 } })->Iterations (1);

// Argument: members. Messages of a group without proposals, per second of virtual time.
static void
idle_messages (benchmark::State &state)
{
  for (auto _ : state)
    {
      RaftSim sim (1, (int)state.range (0), false);
      sim.bootstrap (sim.member_count ());
      sim.run_for (5 * SECOND);
      uint64_t messages = sim.messages;
      uint64_t bytes = sim.bytes;
      sim.run_for (100 * SECOND);
      state.counters["messages_per_s"] = (sim.messages - messages) / 100.0;
      state.counters["bytes_per_s"] = (sim.bytes - bytes) / 100.0;
    }
}
BENCHMARK (idle_messages)->Arg (3)->Arg (5)->Iterations (1);

static double
percentile_ms (std::vector<int64_t> &values, double share)
{
  std::sort (values.begin (), values.end ());
  return values[(size_t)(share * (double)(values.size () - 1))] / (double)MS;
}

// Arguments: members, and 0 for a crash of the leader or 1 for a planned stop. Virtual time, seeds
// 1 to 1000, links of 0.2 ms and an exponential part of 2.3 ms, 1% loss. The gap ends when a new
// leader has committed an entry.
static void
time_without_leader (benchmark::State &state)
{
  std::vector<int64_t> leader_gaps_us, commit_gaps_us;
  for (auto _ : state)
    {
      for (uint64_t seed = 1; seed <= 1000; seed++)
        {
          RaftSim sim (seed, (int)state.range (0), false);
          sim.mean_link_delay_us = 2300;
          sim.loss_probability = 0.01;
          sim.bootstrap (sim.member_count ());
          sim.run_until ([&] { return sim.leader () >= 0; }, 5 * SECOND);
          sim.run_for (SECOND + (int64_t)rng_uniform_int (&sim.rng, SECOND));
          int old_leader = sim.leader ();
          int64_t begin = sim.time_us;
          if (state.range (1) == 0)
            sim.crash (old_leader, true);
          raft_t *old_raft = &sim.node (old_leader).raft;
          auto has_new_leader = [&] {
            if (sim.leader () == old_leader && old_raft->transferee == 0)
              raft_transfer_leadership (old_raft, sim.node (old_leader).now (), 0, nullptr);
            return sim.leader () >= 0 && sim.leader () != old_leader;
          };
          bool ok = sim.run_until (has_new_leader, 60 * SECOND);
          leader_gaps_us.push_back (sim.time_us - begin);
          uint64_t acked_count = sim.acked_count;
          sim.propose (sim.leader (), "next");
          raft_flush (&sim.node (sim.leader ()).raft, sim.node (sim.leader ()).now ());
          ok = ok && sim.run_until ([&] { return sim.acked_count > acked_count; }, 60 * SECOND);
          commit_gaps_us.push_back (sim.time_us - begin);
          if (!ok)
            g_error ("no leader with seed %lu", seed);
        }
    }
  state.counters["leader_p50_ms"] = percentile_ms (leader_gaps_us, 0.5);
  state.counters["leader_p99_ms"] = percentile_ms (leader_gaps_us, 0.99);
  state.counters["leader_max_ms"] = percentile_ms (leader_gaps_us, 1);
  state.counters["commit_p50_ms"] = percentile_ms (commit_gaps_us, 0.5);
  state.counters["commit_p99_ms"] = percentile_ms (commit_gaps_us, 0.99);
}
BENCHMARK (time_without_leader)->ArgsProduct ({ { 3, 5 }, { 0, 1 } })->Iterations (1);

BENCHMARK_MAIN ();
