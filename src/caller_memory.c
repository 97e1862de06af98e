#include "caller_memory.h"

#include <inttypes.h>

#include "caller_conn.h"

#define LOG_MODULE "memory"
#include "log.h"

#define CHECK_PERIOD_US INT64_C (500000)
/* Shortest times between two checks, each of which passes over all connections. */
#define PRESSURE_CHECK_PERIOD_US INT64_C (20000)
#define FULL_CHECK_PERIOD_US INT64_C (1000)
#define LOG_PERIOD_US INT64_C (1000000)

static void
log_change (caller_memory_t *memory, int64_t now_us)
{
  const memory_budget_t *budget = &memory->budget;
  memory_level_t level = memory_budget_level (budget);
  if ((level == memory->logged_level && memory->closed_since_log == 0)
      || now_us - memory->last_log_us < LOG_PERIOD_US)
    return;
  LOG_NOTICE ("level=%s held_bytes=%zu max_bytes=%zu holders=%zu closed=%" PRId64,
              memory_level_name (level), budget->held_bytes, budget->max_bytes,
              list_length (&budget->holders), memory->closed_since_log);
  memory->logged_level = level;
  memory->last_log_us = now_us;
  memory->closed_since_log = 0;
}

/* Frees the bodies that are kept for another attempt: that costs retries, not requests. */
static void
drop_kept_bodies (caller_memory_t *memory)
{
  LIST_FOREACH (&memory->budget.holders, node)
  {
    memory_holder_t *holder = CONTAINER_OF (node, memory_holder_t, node);
    caller_conn_t *conn = CONTAINER_OF (holder, caller_conn_t, holder);
    if (conn->request == NULL)
      continue;
    proxy_request_drop_kept_body (conn->request);
    caller_memory_update (conn, false);
  }
}

static void
check (caller_memory_t *memory)
{
  int64_t now_us = io_loop_now_us (memory->options.loop);
  memory_holder_t *holder = NULL;
  memory->last_check_us = now_us;
  if (memory_budget_level (&memory->budget) >= MEMORY_FULL)
    drop_kept_bodies (memory);
  while ((holder = memory_budget_choose (&memory->budget, now_us)) != NULL)
    {
      caller_conn_t *conn = CONTAINER_OF (holder, caller_conn_t, holder);
      size_t before = holder->unread_bytes;
      /* The peer may have taken bytes since the kernel was read last. */
      caller_memory_update (conn, true);
      if (holder->unread_bytes < before)
        continue;
      metric_inc (holder->unread_bytes > 0 ? &memory->closed_unread : &memory->closed_other);
      memory->closed_since_log++;
      caller_conn_close_for_memory (conn);
    }
  metric_set (&memory->held, (int64_t)memory->budget.held_bytes);
  log_change (memory, now_us);
}

static void
on_check (io_deferred_t *deferred)
{
  check (CONTAINER_OF (deferred, caller_memory_t, check));
}

static void
on_timer (io_timer_t *timer)
{
  caller_memory_t *memory = CONTAINER_OF (timer, caller_memory_t, timer);
  LIST_FOREACH (&memory->budget.holders, node)
  {
    memory_holder_t *holder = CONTAINER_OF (node, memory_holder_t, node);
    caller_conn_t *conn = CONTAINER_OF (holder, caller_conn_t, holder);
    /* An idle connection needs no system call. */
    if (holder->unread_bytes > 0 || holder->kept_bytes > 0 || conn->request != NULL)
      caller_memory_update (conn, true);
  }
  check (memory);
  io_timer_set (memory->options.loop, timer,
                io_loop_now_us (memory->options.loop) + CHECK_PERIOD_US);
}

void
caller_memory_init (caller_memory_t *memory, const caller_memory_options_t *options)
{
  *memory = (caller_memory_t){ .options = *options };
  memory_budget_init (&memory->budget, options->process_bytes);
  io_timer_init (&memory->timer, on_timer);
  io_deferred_init (&memory->check, on_check);
  metric_register (options->counters, &memory->held, METRIC_KIND_GAUGE, "anvillb_memory_held_bytes",
                   NULL, "Bytes held for connections of callers.");
  metric_register (
      options->counters, &memory->closed_unread, METRIC_KIND_COUNTER, "anvillb_memory_closed_total",
      "unread=\"yes\"",
      "Connections of callers closed for memory, by whether a peer left bytes unread.");
  metric_register (
      options->counters, &memory->closed_other, METRIC_KIND_COUNTER, "anvillb_memory_closed_total",
      "unread=\"no\"",
      "Connections of callers closed for memory, by whether a peer left bytes unread.");
  io_timer_set (options->loop, &memory->timer, io_loop_now_us (options->loop) + CHECK_PERIOD_US);
}

void
caller_memory_destroy (caller_memory_t *memory)
{
  io_timer_cancel (&memory->timer);
  io_deferred_cancel (&memory->check);
}

void
caller_memory_open (caller_conn_t *conn)
{
  caller_memory_t *memory = conn->options->memory;
  if (memory == NULL)
    return;
  byte_stream_limit_kernel_buffers (&conn->stream, MEMORY_KERNEL_BUFFER_BYTES);
  memory_budget_add (&memory->budget, &conn->holder, io_loop_now_us (memory->options.loop));
}

void
caller_memory_close (caller_conn_t *conn)
{
  if (conn->options->memory != NULL)
    memory_budget_remove (&conn->options->memory->budget, &conn->holder);
}

void
caller_memory_update (caller_conn_t *conn, bool read_kernel)
{
  caller_memory_t *memory = conn->options->memory;
  if (memory == NULL || conn->state == CALLER_CLOSED)
    return;
  int64_t now_us = io_loop_now_us (memory->options.loop);
  proxy_held_t held = { 0 };
  if (conn->request != NULL)
    held = proxy_request_read_held (conn->request, read_kernel);
  if (read_kernel)
    {
      size_t before = conn->kernel.output_bytes;
      conn->kernel = byte_stream_kernel_bytes (&conn->stream);
      if (before > conn->kernel.output_bytes)
        held.moved_bytes += before - conn->kernel.output_bytes;
    }
  if (held.moved_bytes > 0)
    memory_budget_record_moved (&conn->holder, held.moved_bytes, now_us);
  size_t pipelined = conn->pipelined_input != NULL ? conn->pipelined_input->allocated_len : 0;
  size_t unread
      = held.unread_bytes + byte_stream_held_bytes (&conn->stream) + conn->kernel.output_bytes;
  size_t kept = held.kept_bytes + pipelined + conn->kernel.input_bytes;
  if (held.waits_for_target)
    {
      unread += kept;
      kept = 0;
    }
  memory_budget_set (&memory->budget, &conn->holder, unread, kept, now_us);
  memory_level_t level = memory_budget_level (&memory->budget);
  int64_t period_us = level >= MEMORY_FULL ? FULL_CHECK_PERIOD_US : PRESSURE_CHECK_PERIOD_US;
  if (level >= MEMORY_PRESSURE && now_us - memory->last_check_us >= period_us)
    io_loop_defer (memory->options.loop, &memory->check);
}

void
caller_memory_record_moved (caller_conn_t *conn, size_t size)
{
  caller_memory_t *memory = conn->options->memory;
  if (memory == NULL || conn->state == CALLER_CLOSED)
    return;
  memory_budget_record_moved (&conn->holder, size, io_loop_now_us (memory->options.loop));
  caller_memory_update (conn, true);
}
