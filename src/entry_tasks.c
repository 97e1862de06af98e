#include "entry_tasks.h"

#include <errno.h>
#include <unistd.h>

#define LOG_MODULE "entry_tasks"
#include "entry_options.h"
#include "log.h"

#define US_PER_MS 1000
/* Time beyond the resolve TTL for which connections are still accepted. */
#define ACCEPT_GRACE_US 1000000
#define DRAIN_CHECK_US 50000

static void
check_drained (entry_tasks_t *tasks)
{
  if (caller_listener_open (&tasks->listener) == 0)
    {
      LOG_NOTICE ("shutdown complete");
      g_main_loop_quit (tasks->main_loop);
      return;
    }
  io_timer_set (tasks->loop, &tasks->drain_timer, io_loop_now_us (tasks->loop) + DRAIN_CHECK_US);
}

static void
on_drain_timer (io_timer_t *timer)
{
  entry_tasks_t *tasks = LIST_ENTRY (timer, entry_tasks_t, drain_timer);
  if (!tasks->stopped_accepting)
    {
      tasks->stopped_accepting = true;
      tasks->proxy.draining = true;
      caller_listener_drain (&tasks->listener);
      LOG_NOTICE ("no longer accepting connections=%zu in_flight=%zu",
                  caller_listener_open (&tasks->listener), proxy_in_flight (&tasks->proxy));
    }
  check_drained (tasks);
}

static void
on_limit_timer (io_timer_t *timer)
{
  entry_tasks_t *tasks = LIST_ENTRY (timer, entry_tasks_t, limit_timer);
  LOG_WARNING ("drain limit reached in_flight=%zu", proxy_in_flight (&tasks->proxy));
  g_main_loop_quit (tasks->main_loop);
}

void
entry_tasks_drain (entry_tasks_t *tasks)
{
  int64_t now_us = io_loop_now_us (tasks->loop);
  if (tasks->leaving)
    return;
  tasks->leaving = true;
  tasks->policy.draining = true;
  LOG_NOTICE ("shutting down");
  io_timer_set (tasks->loop, &tasks->drain_timer,
                now_us + entry_options.resolve_ttl_ms * US_PER_MS + ACCEPT_GRACE_US);
  if (entry_options.drain_limit_ms > 0)
    io_timer_set (tasks->loop, &tasks->limit_timer,
                  now_us + entry_options.drain_limit_ms * US_PER_MS);
}

static bool
is_ready (void *data)
{
  const entry_tasks_t *tasks = data;
  return !tasks->leaving;
}

static void
refresh_counters (void *data)
{
  entry_tasks_t *tasks = data;
  counter_set (&tasks->opened, (int64_t)tasks->pool.opened);
  counter_set (&tasks->reused, (int64_t)tasks->pool.reused);
  counter_set (&tasks->stalls, (int64_t)tasks->pool.stalls);
}

static void
on_give_up (void *data, const anv_error_t *err)
{
  entry_tasks_t *tasks = data;
  tasks->failed = true;
  g_main_loop_quit (tasks->main_loop);
}

static bool
load_certificate (entry_tasks_t *tasks, anv_error_t *err)
{
  g_autoptr (GError) error = NULL;
  if (entry_options.tls_cert == NULL)
    return true;
  tasks->certificate
      = g_tls_certificate_new_from_files (entry_options.tls_cert, entry_options.tls_key, &error);
  if (tasks->certificate == NULL)
    anv_error_set (err, ANV_ERROR_OPTION, OPTION_ERROR_VALUE, "--tls-cert: %s", error->message);
  return tasks->certificate != NULL;
}

static bool
open_trace (entry_tasks_t *tasks, anv_error_t *err)
{
  if (entry_options.trace_file == NULL)
    return true;
  tasks->trace = fopen (entry_options.trace_file, "ae");
  if (tasks->trace == NULL)
    anv_error_set (err, ANV_ERROR_OPTION, OPTION_ERROR_VALUE, "--trace-file: cannot open '%s': %s",
                   entry_options.trace_file, g_strerror (errno));
  else
    setvbuf (tasks->trace, NULL, _IOLBF, 0);
  return tasks->trace != NULL;
}

static void
init_pool (entry_tasks_t *tasks)
{
  upstream_pool_options_t options = {
    .loop = tasks->loop,
    .connect_timeout_us = entry_options.connect_timeout_ms * US_PER_MS,
    .idle_timeout_us = entry_options.upstream_idle_ms * US_PER_MS,
  };
  upstream_pool_init (&tasks->pool, &options);
  counter_register (&tasks->counters, &tasks->opened, COUNTER_KIND_COUNTER,
                    "anvillb_upstream_connections_total", NULL,
                    "Connections opened to backend servers.");
  counter_register (&tasks->counters, &tasks->reused, COUNTER_KIND_COUNTER,
                    "anvillb_upstream_reuses_total", NULL, "Attempts on a reused connection.");
  counter_register (&tasks->counters, &tasks->stalls, COUNTER_KIND_COUNTER,
                    "anvillb_upstream_stalls_total", NULL, "Silent connections retired.");
}

static void
init_proxy (entry_tasks_t *tasks)
{
  tasks->advertise
      = g_strdup (entry_options.advertise != NULL ? entry_options.advertise : entry_options.listen);
  entry_policy_options_t policy_options = {
    .loop = tasks->loop,
    .address = tasks->advertise,
    .domain = entry_options.domain,
    .resolve_ttl_ms = entry_options.resolve_ttl_ms,
    .request_timeout_us = entry_options.request_timeout_ms * US_PER_MS,
    .stall_us = entry_options.stall_ms * US_PER_MS,
    .max_body_bytes = (size_t)entry_options.max_body_bytes,
  };
  entry_policy_init (&tasks->policy, &policy_options);
  proxy_options_t options = {
    .loop = tasks->loop,
    .pool = &tasks->pool,
    .policy = &tasks->policy.policy,
    .counters = &tasks->counters,
    .rng = &tasks->rng,
    .trace = tasks->trace,
    .program = entry_option_table.program,
    .instance = entry_options.instance,
    .default_timeout_us = entry_options.request_timeout_ms * US_PER_MS,
    .replay_bytes = (size_t)entry_options.replay_bytes,
  };
  proxy_init (&tasks->proxy, &options);
}

static void
init_servers (entry_tasks_t *tasks)
{
  caller_listener_options_t options = {
    .listen = entry_options.listen,
    .certificate = tasks->certificate,
    .max_connections = (size_t)entry_options.max_connections,
    .counters = &tasks->counters,
    .conn = {
      .loop = tasks->loop,
      .proxy = &tasks->proxy,
      .header_timeout_us = entry_options.header_timeout_ms * US_PER_MS,
      .idle_timeout_us = entry_options.idle_timeout_ms * US_PER_MS,
    },
  };
  caller_listener_init (&tasks->listener, &options, NULL);
  admin_server_options_t admin_options = {
    .listen = entry_options.admin_listen,
    .certificate = tasks->certificate,
    .counters = &tasks->counters,
    .refresh = refresh_counters,
    .is_ready = is_ready,
    .data = tasks,
  };
  admin_server_init (&tasks->admin, &admin_options, NULL);
}

static void
init_supervisor (entry_tasks_t *tasks)
{
  supervisor_options_t options = {
    .max_restarts = 5,
    .window_us = 60 * G_USEC_PER_SEC,
    .min_delay_us = 100 * US_PER_MS,
    .max_delay_us = 5 * G_USEC_PER_SEC,
    .on_give_up = on_give_up,
    .data = tasks,
  };
  supervisor_init (&tasks->supervisor, &options);
  supervisor_add (&tasks->supervisor, &tasks->listener.task);
  supervisor_add (&tasks->supervisor, &tasks->admin.task);
}

bool
entry_tasks_start (entry_tasks_t *tasks, anv_error_t *err)
{
  *tasks = (entry_tasks_t){ .main_loop = g_main_loop_new (NULL, FALSE) };
  tasks->loop = io_loop_new (NULL);
  counter_registry_init (&tasks->counters);
  rng_init (&tasks->rng, (uint64_t)g_get_real_time () ^ (uint64_t)getpid () << 48);
  io_timer_init (&tasks->drain_timer, on_drain_timer);
  io_timer_init (&tasks->limit_timer, on_limit_timer);
  bool loaded = load_certificate (tasks, err) && open_trace (tasks, err);
  init_pool (tasks);
  init_proxy (tasks);
  init_servers (tasks);
  init_supervisor (tasks);
  return loaded && supervisor_start (&tasks->supervisor, err);
}

void
entry_tasks_stop (entry_tasks_t *tasks)
{
  supervisor_destroy (&tasks->supervisor);
  admin_server_destroy (&tasks->admin);
  caller_listener_destroy (&tasks->listener);
  proxy_destroy (&tasks->proxy);
  upstream_pool_destroy (&tasks->pool);
  io_timer_cancel (&tasks->drain_timer);
  io_timer_cancel (&tasks->limit_timer);
  io_loop_free (tasks->loop);
  entry_policy_destroy (&tasks->policy);
  g_clear_object (&tasks->certificate);
  g_free (tasks->advertise);
  if (tasks->trace != NULL)
    fclose (tasks->trace);
  g_main_loop_unref (tasks->main_loop);
}
