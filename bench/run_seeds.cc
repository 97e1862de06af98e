#include "tables.h"

#include <atomic>
#include <thread>

namespace
{

constexpr unsigned THREAD_COUNT = 4;

template <typename T>
void
append (std::vector<T> &to, const std::vector<T> &from)
{
  to.insert (to.end (), from.begin (), from.end ());
}

void
add_result (ModelResult &sum, const ModelResult &run)
{
  append (sum.detection_us, run.detection_us);
  append (sum.ejection_us, run.ejection_us);
  append (sum.urgent_us, run.urgent_us);
  append (sum.background_us, run.background_us);
  sum.not_ejected += run.not_ejected;
  sum.missed += run.missed;
  sum.ejections += run.ejections;
  sum.false_ejections += run.false_ejections;
  sum.target_days += run.target_days;
  sum.requests += run.requests;
  sum.failed += run.failed;
  sum.spilled_over += run.spilled_over;
  sum.probes += run.probes;
  sum.peer_probes += run.peer_probes;
  sum.slot_violations += run.slot_violations;
  sum.floor_violations += run.floor_violations;
}

} // namespace

ModelResult
run_seeds (const ModelOptions &options, int runs)
{
  std::vector<ModelResult> results ((size_t)runs);
  std::atomic<int> next_run{ 0 };
  std::vector<std::thread> threads;

  for (unsigned i = 0; i < THREAD_COUNT; i++)
    threads.emplace_back ([&] {
      for (int run = next_run++; run < runs; run = next_run++)
        {
          ModelOptions run_options = options;
          run_options.seed = (uint64_t)run + 1;
          results[(size_t)run] = run_model (run_options);
        }
    });
  for (std::thread &thread : threads)
    thread.join ();

  ModelResult sum;
  for (const ModelResult &result : results)
    add_result (sum, result);
  return sum;
}
