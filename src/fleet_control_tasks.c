#include "fleet_control_tasks.h"

#define LOG_MODULE "fleet_control_tasks"
#include "fleet_options.h"
#include "log.h"
#include "metrics_page.h"
#include "program.h"
#include "supervisor.h"

#define US_PER_MS 1000
#define MAX_CONNECTIONS 2048
#define MAX_METRICS_CONNECTIONS 64
/* Holds the largest configuration that the version store accepts. */
#define MAX_CALL_BODY_BYTES (32U << 20)
#define CALL_TIMEOUT_US INT64_C (5000000)
/* Longest time that a stop waits for the transfer of leadership and for calls in flight. */
#define STOP_TIMEOUT_US INT64_C (1000000)
/* A stop that waits for a replacement in the group ends this long before the grace period does. */
#define STOP_MARGIN_US INT64_C (500000)
#define STOP_CHECK_PERIOD_US INT64_C (20000)

typedef struct
{
  const call_adapter_t *adapter;
  GMainLoop *main_loop;
  io_loop_t *loop;
  metric_registry_t counters;
  rng_t rng;
  GPtrArray *seeds; /* peer addresses */
  file_posix_t files;
  fleet_control_t control;
  call_server_t calls;
  call_server_t directory;
  call_server_t metrics;
  supervisor_t supervisor;
  io_timer_t stop_timer;
  int64_t stop_started_us; /* time at which SIGTERM arrived; 0: it has not */
  bool files_open;
  bool initialised;
  bool failed;
} tasks_t;

static tasks_t tasks;

static void
handle_call (void *data, call_t *call, const call_request_t *request)
{
  tasks.adapter->handle_control_call (&tasks.control, call, request);
}

static void
handle_directory (void *data, call_t *call, const call_request_t *request)
{
  tasks.adapter->handle_resolve_call (&tasks.control, fleet_options.resolve_ttl_ms, call, request);
}

static void
handle_metrics (void *data, call_t *call, const call_request_t *request)
{
  metrics_page_handle_call (&tasks.counters, call, request);
}

static void
init_server (call_server_t *server, const char *listen, const char *labels, size_t max_connections,
             size_t max_body,
             void (*handle) (void *data, call_t *call, const call_request_t *request))
{
  call_server_options_t options = {
    .loop = tasks.loop,
    .listen = listen,
    .max_connections = max_connections,
    .max_body_bytes = max_body,
    .timeout_us = CALL_TIMEOUT_US,
    .counters = &tasks.counters,
    .labels = labels,
    .rng = &tasks.rng,
    .handle = handle,
  };
  call_server_init (server, &options);
}

static void
init_control (void)
{
  fleet_control_options_t options = {
    .loop = tasks.loop,
    .counters = &tasks.counters,
    .store = &tasks.files.store,
    .instance = fleet_options.instance,
    .domain = fleet_options.domain,
    .peer_listen = fleet_options.peer_listen,
    .call_address = fleet_options.call_listen,
    .seeds = tasks.seeds,
    .found_group = fleet_options.found_group,
    /* The seeds found the group, even if there are more of them than the tolerance needs. */
    .voter_count = MAX (2 * (size_t)fleet_options.tolerated_failures + 1, (size_t)tasks.seeds->len),
    .min_active_entries = (unsigned)fleet_options.min_active_entries,
    .slot_rate = fleet_options.slot_rate,
    .call_timeout_us = fleet_options.call_timeout_ms * US_PER_MS,
  };
  fleet_control_init (&tasks.control, &options);
  init_server (&tasks.calls, fleet_options.call_listen, "port=\"calls\"", MAX_CONNECTIONS,
               MAX_CALL_BODY_BYTES, handle_call);
  init_server (&tasks.directory, fleet_options.directory_listen, "port=\"directory\"",
               MAX_CONNECTIONS, CONFIG_MAX_NAME_SIZE, handle_directory);
  init_server (&tasks.metrics, fleet_options.metrics_listen, "port=\"metrics\"",
               MAX_METRICS_CONNECTIONS, CONFIG_MAX_NAME_SIZE, handle_metrics);
}

static void
on_restart_limit (void *data, const anv_error_t *err)
{
  LOG_ERROR ("giving up error=\"%s\"", err->text);
  tasks.failed = true;
  g_main_loop_quit (tasks.main_loop);
}

static void
init_supervisor (void)
{
  supervisor_options_t options = {
    .max_restarts = 20,
    .restart_window_us = 60 * G_USEC_PER_SEC,
    .min_restart_delay_us = G_USEC_PER_SEC / 10,
    .max_restart_delay_us = G_USEC_PER_SEC / 2,
    .on_restart_limit = on_restart_limit,
  };
  supervisor_init (&tasks.supervisor, &options);
  supervisor_add (&tasks.supervisor, &tasks.control.network.task);
  supervisor_add (&tasks.supervisor, &tasks.control.group.task);
  supervisor_add (&tasks.supervisor, &tasks.calls.listener.task);
  supervisor_add (&tasks.supervisor, &tasks.directory.listener.task);
  if (fleet_options.metrics_listen != NULL)
    supervisor_add (&tasks.supervisor, &tasks.metrics.listener.task);
}

static void
on_stop_timer (io_timer_t *timer)
{
  int64_t now_us = io_loop_now_us (tasks.loop);
  int64_t stopping_us = now_us - tasks.stop_started_us;
  bool busy = tasks.control.group.leading || proxy_in_flight_count (&tasks.calls.proxy) > 0;
  bool awaits_replacement = fleet_control_awaits_replacement (&tasks.control);
  if ((busy && stopping_us < STOP_TIMEOUT_US)
      || (awaits_replacement && stopping_us < fleet_options_grace_us () - STOP_MARGIN_US))
    {
      io_timer_set (tasks.loop, timer, now_us + STOP_CHECK_PERIOD_US);
      return;
    }
  if (awaits_replacement)
    LOG_WARNING ("stopping as a member of the group, which has not replaced this instance in time");
  g_main_loop_quit (tasks.main_loop);
}

static bool
start (GMainLoop **main_loop, anv_error_t *err)
{
  tasks.main_loop = g_main_loop_new (NULL, FALSE);
  tasks.loop = io_loop_new (NULL);
  *main_loop = tasks.main_loop;
  metric_registry_init (&tasks.counters);
  rng_init (&tasks.rng, (uint64_t)g_get_real_time ());
  tasks.files_open = file_posix_init (&tasks.files, fleet_options.data_dir, err);
  if (!tasks.files_open)
    return false;
  tasks.seeds = fleet_options_peer_addresses (fleet_options.seeds);
  init_control ();
  init_supervisor ();
  io_timer_init (&tasks.stop_timer, on_stop_timer);
  tasks.initialised = true;
  if (!supervisor_start (&tasks.supervisor, err))
    return false;
  fleet_control_start (&tasks.control);
  LOG_NOTICE ("started instance=%s domain=%s calls=%s directory=%s peer=%s seeds=%u adapter=%s "
              "found_group=%d version=%s",
              fleet_options.instance, fleet_options.domain, fleet_options.call_listen,
              fleet_options.directory_listen, fleet_options.peer_listen, tasks.seeds->len,
              tasks.adapter->name, fleet_options.found_group, ANVILLB_VERSION);
  return true;
}

static void
terminate (void)
{
  if (tasks.stop_started_us != 0)
    return;
  LOG_NOTICE ("shutting down leading=%d", tasks.control.group.leading);
  tasks.stop_started_us = io_loop_now_us (tasks.loop);
  tasks.calls.proxy.draining = true;
  tasks.directory.proxy.draining = true;
  fleet_control_stop (&tasks.control);
  io_timer_set (tasks.loop, &tasks.stop_timer, tasks.stop_started_us + STOP_CHECK_PERIOD_US);
}

static void
reload (void)
{
  anv_error_t err = { 0 };
  GPtrArray *call_addresses = option_reload_addresses (&fleet_control_option_table, "seed", &err);
  if (call_addresses == NULL)
    {
      LOG_WARNING ("cannot reload settings error=\"%s\"", err.text);
      return;
    }
  g_ptr_array_unref (tasks.seeds);
  tasks.seeds = fleet_options_peer_addresses (call_addresses);
  tasks.control.options.seeds = tasks.seeds;
  g_ptr_array_unref (call_addresses);
}

static bool
has_failed (void)
{
  return tasks.failed;
}

static void
stop (void)
{
  if (tasks.initialised)
    {
      io_timer_cancel (&tasks.stop_timer);
      supervisor_destroy (&tasks.supervisor);
      call_server_destroy (&tasks.calls);
      call_server_destroy (&tasks.directory);
      call_server_destroy (&tasks.metrics);
      fleet_control_destroy (&tasks.control);
      g_ptr_array_unref (tasks.seeds);
    }
  if (tasks.files_open)
    file_posix_destroy (&tasks.files);
  io_loop_free (tasks.loop);
  g_main_loop_unref (tasks.main_loop);
  LOG_NOTICE ("stopped instance=%s", fleet_options.instance);
}

int
fleet_control_run (const call_adapter_t *adapter, int argc, char **argv)
{
  const program_t program = {
    .table = &fleet_control_option_table,
    .check_options = fleet_control_options_check,
    .log_output = LOG_OUTPUT_STDOUT,
    .log_level = &fleet_options.log_level,
    .start = start,
    .terminate = terminate,
    .reload = reload,
    .has_failed = has_failed,
    .stop = stop,
  };
  tasks.adapter = adapter;
  return program_run (&program, argc, argv);
}
