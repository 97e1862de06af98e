#include <ctime>
#include <cstdio>
#include <functional>
#include <malloc.h>
#include <vector>

#include "tables.h"

extern "C"
{
#include "rng.h"
}

/* Memory and CPU of the decision modules at several sizes. Bytes are heap figures and differ
 * somewhat between runs; times are thread CPU time and vary with the machine and its load. */

namespace
{

constexpr int64_t FAR_DEADLINE_US = 1000000 * MODEL_SECOND;

size_t
heap_bytes ()
{
  return mallinfo2 ().uordblks;
}

double
cpu_ns_per_operation (int count, const std::function<void (int)> &operation)
{
  timespec start;
  timespec end;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &start);
  for (int i = 0; i < count; i++)
    operation (i);
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &end);
  double elapsed_ns
      = (double)(end.tv_sec - start.tv_sec) * 1e9 + (double)(end.tv_nsec - start.tv_nsec);
  return elapsed_ns / count;
}

scheduler_request_t
make_request (uint64_t id, int64_t deadline_us)
{
  scheduler_request_t request = {};
  request.id = id;
  request.class_index = SCHEDULER_BACKGROUND;
  request.deadline_us = deadline_us;
  return request;
}

void
print_queue_row (uint64_t length)
{
  scheduler_options_t options = {};
  options.max_queued[SCHEDULER_BACKGROUND] = (uint32_t)length + 1000;
  scheduler_t scheduler;
  scheduler_init (&scheduler, &options);
  target_setting_t target = { 1, 1, TARGET_NORMAL, 1, 0 };
  scheduler_set_target (&scheduler, &target);

  size_t before = heap_bytes ();
  rng_t rng;
  rng_init (&rng, 1);
  for (uint64_t id = 1; id <= length; id++)
    {
      scheduler_request_t request
          = make_request (id, FAR_DEADLINE_US + (int64_t)rng_uniform_int (&rng, 1000000000));
      scheduler_submit (&scheduler, 0, &request);
    }
  double bytes = (double)(heap_bytes () - before) / (double)length;

  const int count = 100000;
  double submit_cancel_ns = cpu_ns_per_operation (count, [&] (int i) {
    scheduler_request_t request
        = make_request (length + 1, FAR_DEADLINE_US + (int64_t)rng_uniform_int (&rng, 1000000000));
    scheduler_submit (&scheduler, i, &request);
    scheduler_cancel (&scheduler, length + 1);
  });
  int dispatch_count = (int)(length < 20000 ? length / 2 : 10000);
  double next_done_ns = cpu_ns_per_operation (dispatch_count, [&] (int i) {
    scheduler_next_result_t dispatch;
    scheduler_outcome_t outcome = { SCHEDULER_DONE_OK, 50000 };
    if (scheduler_next (&scheduler, i, &dispatch))
      scheduler_done (&scheduler, i, dispatch.request_id, &outcome);
  });
  scheduler_destroy (&scheduler);
  printf ("| %lu | %.0f | %.0f | %.0f |\n", (unsigned long)length, bytes, submit_cancel_ns,
          next_done_ns);
}

void
print_target_row (uint64_t targets)
{
  assigned_service_options_t options = {};
  options.sensitivity = 0.8;
  options.floor_slots = (uint32_t)targets;
  options.slow_start_us = 1;
  size_t before = heap_bytes ();
  assigned_service_t service;
  assigned_service_init (&service, &options);
  size_t with_service_bytes = heap_bytes ();
  for (uint64_t id = 1; id <= targets; id++)
    assigned_service_set_target (&service, 0, id, 2, 0);
  double bytes = (double)(heap_bytes () - with_service_bytes) / (double)targets;

  int64_t now = MODEL_SECOND;
  uint64_t last_id = 0;
  const int requests = 20000 + 20 * (int)targets;
  /* 100 requests/s per target, each answered after 10 ms. */
  double request = cpu_ns_per_operation (requests, [&] (int) {
    now += 10000 / (int64_t)targets + 1;
    scheduler_request_t submitted = make_request (++last_id, now + 10 * MODEL_SECOND);
    scheduler_next_result_t dispatch;
    assigned_service_submit (&service, now, &submitted);
    while (assigned_service_next (&service, now, &dispatch))
      continue;
    if (last_id > targets)
      assigned_service_done (&service, now, last_id - targets, HEALTH_OK);
  });
  double tick_ns = cpu_ns_per_operation (200, [&] (int) {
    now += 1000;
    assigned_service_tick (&service, now);
  });
  printf ("| %lu | %.0f | %zu | %.0f | %.0f |\n", (unsigned long)targets, bytes,
          with_service_bytes - before, request, tick_ns);
  assigned_service_destroy (&service);
}

} // namespace

void
print_scaling_tables ()
{
  printf ("\n# Scaling\n\n## Queue of one service\n\n");
  printf ("| queued requests | bytes per request | submit and cancel (ns) | next and done (ns) |\n"
          "|---|---|---|---|\n");
  for (uint64_t length : { 100, 1000, 10000, 100000 })
    print_queue_row (length);
  printf ("\n## Targets of one service on one entry\n\n");
  printf ("| targets | bytes per target | bytes per service | submit, dispatch and outcome (ns) | "
          "tick (ns) |\n|---|---|---|---|---|\n");
  for (uint64_t targets : { 4, 16, 64, 256, 1024 })
    print_target_row (targets);
}
