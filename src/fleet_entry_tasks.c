#include "fleet_entry_tasks.h"

#include <malloc.h>

#define LOG_MODULE "fleet_entry"
#include "fleet_options.h"
#include "gateway_policy.h"
#include "log.h"
#include "metrics_page.h"
#include "program.h"
#include "supervisor.h"

#define US_PER_MS 1000
#define BYTES_PER_MB 1e6
/* Buffers of this size go back to the system when they are freed. */
#define LARGE_BUFFER_BYTES (128 * 1024)
#define MAX_LINKS 1024
#define MAX_SERVER_CONNECTIONS 64
#define MAX_CALL_BODY_BYTES 4096
#define CALL_TIMEOUT_US INT64_C (1000000)
/* Applies to a request until its policy sets a deadline. */
#define DEFAULT_REQUEST_TIMEOUT_US INT64_C (30000000)
/* The next two apply until the configuration gives limits. */
#define HEADER_TIMEOUT_US INT64_C (10000000)
#define IDLE_TIMEOUT_US INT64_C (60000000)
#define MAX_KEPT_BODY_BYTES (256 * 1024)
/* Fraction of the allowed share of retries that this entry uses. The rest is for the minimum rates
 * of all entries and for retries at the edges of the sliding window of retry_budget. */
#define RETRY_SHARE_FRACTION 0.85
#define DRAIN_CHECK_PERIOD_US INT64_C (50000)

typedef struct
{
  const call_adapter_t *adapter;
  GMainLoop *main_loop;
  io_loop_t *loop;
  metric_registry_t counters;
  rng_t rng;
  GPtrArray *seeds; /* peer addresses */
  peer_network_t network;
  upstream_pool_t pool;
  gateway_core_t core;
  gateway_policy_t policy;
  proxy_t proxy;
  caller_listener_t listener;
  caller_memory_t memory; /* with a bound, see memory-mb */
  call_server_t ready;
  call_server_t metrics;
  supervisor_t supervisor;
  io_timer_t drain_timer;
  stop_plan_t stop;     /* active since SIGTERM */
  bool listener_closed; /* no longer accepts connections */
  bool requests_ended;  /* the rest of the requests was answered at the end of the grace period */
  bool initialised;
  bool failed;
  metric_t upstream_connections;
  metric_t upstream_reuses;
} tasks_t;

static tasks_t tasks;

static int64_t
now_us (void)
{
  return io_loop_now_us (tasks.loop);
}

static void
on_message (void *data, link_t *link, wire_type_t type, wire_reader_t *reader,
            const uint8_t *message, size_t size)
{
  if (!gateway_core_receive (&tasks.core, link, type, reader))
    LOG_DEBUG ("unexpected message peer=%s type=%d", link->peer.id, (int)type);
}

static void
on_caller_limits (void *data, const config_caller_limits_t *limits)
{
  tasks.listener.options.conn.header_timeout_us = (int64_t)limits->header_timeout_ms * US_PER_MS;
  tasks.listener.options.conn.idle_timeout_us = (int64_t)limits->idle_timeout_ms * US_PER_MS;
}

static void
handle_ready (void *data, call_t *call, const call_request_t *request)
{
  tasks.adapter->handle_ready_call (gateway_core_is_ready (&tasks.core), call, request);
}

static void
handle_metrics (void *data, call_t *call, const call_request_t *request)
{
  metric_set (&tasks.upstream_connections, (int64_t)tasks.pool.opened_count);
  metric_set (&tasks.upstream_reuses, (int64_t)tasks.pool.reuse_count);
  metrics_page_handle_call (&tasks.counters, call, request);
}

static void
init_network (void)
{
  peer_network_options_t options = {
    .loop = tasks.loop,
    .listen = fleet_options.peer_listen,
    .max_links = MAX_LINKS,
    .timing = &link_timing_fleet,
    .counters = &tasks.counters,
    .handler = { .received = on_message },
  };
  g_strlcpy (options.self.id, fleet_options.instance, sizeof (options.self.id));
  g_strlcpy (options.self.domain, fleet_options.domain, sizeof (options.self.domain));
  g_strlcpy (options.self.address, fleet_options.peer_listen, sizeof (options.self.address));
  options.self.incarnation = (uint64_t)(g_get_real_time () / 1000);
  peer_network_init (&tasks.network, &options, NULL);
}

static bool
has_memory_bound (void)
{
  return fleet_options.memory_mb > 0;
}

static void
init_memory (void)
{
  if (!has_memory_bound ())
    return;
  caller_memory_options_t options = {
    .loop = tasks.loop,
    .process_bytes = (size_t)(fleet_options.memory_mb * BYTES_PER_MB),
    .counters = &tasks.counters,
  };
  caller_memory_init (&tasks.memory, &options);
  /* The allocator otherwise raises this threshold, and keeps what long answers took. */
  mallopt (M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES);
}

static void
init_core (void)
{
  upstream_pool_options_t pool_options = {
    .loop = tasks.loop,
    .connect_timeout_us = fleet_options.connect_timeout_ms * US_PER_MS,
    .idle_timeout_us = fleet_options.upstream_idle_ms * US_PER_MS,
  };
  if (has_memory_bound ())
    {
      pool_options.max_target_request_bytes = memory_budget_max_target_bytes (&tasks.memory.budget);
      pool_options.kernel_buffer_bytes = MEMORY_KERNEL_BUFFER_BYTES;
    }
  upstream_pool_init (&tasks.pool, &pool_options);
  metric_register (&tasks.counters, &tasks.upstream_connections, METRIC_KIND_COUNTER,
                   "anvillb_upstream_connections_total", NULL, "Connections opened to targets.");
  metric_register (&tasks.counters, &tasks.upstream_reuses, METRIC_KIND_COUNTER,
                   "anvillb_upstream_reuses_total", NULL, "Attempts on a reused connection.");
  gateway_core_options_t options = {
    .loop = tasks.loop,
    .network = &tasks.network,
    .counters = &tasks.counters,
    .rng = &tasks.rng,
    .domain = fleet_options.domain,
    .caller_address = fleet_options.listen,
    .capacity = fleet_options_capacity (),
    .seeds = tasks.seeds,
    .retry_share = RETRY_SHARE_FRACTION * fleet_options.retry_share,
    .min_retry_rate = fleet_options.retry_rate,
    .default_latency_us = fleet_options.default_latency_ms * US_PER_MS,
    .overload_policy = (balancer_overload_policy_t)fleet_options.overload_policy,
    .routes = tasks.adapter->routes,
    .on_caller_limits = on_caller_limits,
  };
  gateway_core_init (&tasks.core, &options);
  gateway_policy_init (&tasks.policy, &tasks.core, tasks.adapter->dialect, &tasks.counters);
}

static void
init_proxy (void)
{
  proxy_options_t options = {
    .loop = tasks.loop,
    .pool = &tasks.pool,
    .policy = &tasks.policy.policy,
    .counters = &tasks.counters,
    .rng = &tasks.rng,
    .program = "anvillb-fleet-entry",
    .instance = fleet_options.instance,
    .dialect = tasks.adapter->dialect,
    .default_timeout_us = DEFAULT_REQUEST_TIMEOUT_US,
    .max_kept_body_bytes = MAX_KEPT_BODY_BYTES,
    .memory = has_memory_bound () ? &tasks.memory.budget : NULL,
  };
  proxy_init (&tasks.proxy, &options);
  caller_listener_options_t listener_options = {
    .listen = fleet_options.listen,
    .max_connections = (size_t)fleet_options.max_connections,
    .counters = &tasks.counters,
    .conn = {
      .loop = tasks.loop,
      .proxy = &tasks.proxy,
      .memory = has_memory_bound () ? &tasks.memory : NULL,
      .header_timeout_us = HEADER_TIMEOUT_US,
      .idle_timeout_us = IDLE_TIMEOUT_US,
    },
  };
  caller_listener_init (&tasks.listener, &listener_options, NULL);
}

static void
init_server (call_server_t *server, const char *listen, const char *labels,
             void (*handle) (void *data, call_t *call, const call_request_t *request))
{
  call_server_options_t options = {
    .loop = tasks.loop,
    .listen = listen,
    .max_connections = MAX_SERVER_CONNECTIONS,
    .max_body_bytes = MAX_CALL_BODY_BYTES,
    .timeout_us = CALL_TIMEOUT_US,
    .counters = &tasks.counters,
    .labels = labels,
    .rng = &tasks.rng,
    .handle = handle,
  };
  call_server_init (server, &options);
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
    .max_restarts = 5,
    .restart_window_us = 60 * G_USEC_PER_SEC,
    .min_restart_delay_us = G_USEC_PER_SEC / 10,
    .max_restart_delay_us = 5 * G_USEC_PER_SEC,
    .on_restart_limit = on_restart_limit,
  };
  supervisor_init (&tasks.supervisor, &options);
  supervisor_add (&tasks.supervisor, &tasks.network.task);
  supervisor_add (&tasks.supervisor, &tasks.listener.task);
  supervisor_add (&tasks.supervisor, &tasks.ready.listener.task);
  if (fleet_options.metrics_listen != NULL)
    supervisor_add (&tasks.supervisor, &tasks.metrics.listener.task);
}

static void
finish (const char *reason)
{
  LOG_NOTICE ("shutdown complete reason=%s in_flight=%zu connections=%zu", reason,
              proxy_in_flight_count (&tasks.proxy), caller_listener_open_count (&tasks.listener));
  g_main_loop_quit (tasks.main_loop);
}

/* Sets the timer to the next time of the plan, or to the next check before that. */
static void
arm_drain_timer (void)
{
  const int64_t planned_us[]
      = { tasks.stop.refuse_from_us, tasks.stop.end_requests_us, tasks.stop.exit_us };
  int64_t next_us = now_us () + DRAIN_CHECK_PERIOD_US;
  for (size_t i = 0; i < G_N_ELEMENTS (planned_us); i++)
    {
      if (planned_us[i] > now_us ())
        next_us = MIN (next_us, planned_us[i]);
    }
  io_timer_set (tasks.loop, &tasks.drain_timer, next_us);
}

static void
on_drain_timer (io_timer_t *timer)
{
  if (!tasks.listener_closed && now_us () >= tasks.stop.refuse_from_us)
    {
      tasks.listener_closed = true;
      caller_listener_drain (&tasks.listener);
      /* A request that is read from now on could be cut off at its target when the process ends. */
      tasks.proxy.refusing = true;
      LOG_NOTICE ("no longer accepting connections=%zu in_flight=%zu",
                  caller_listener_open_count (&tasks.listener),
                  proxy_in_flight_count (&tasks.proxy));
    }
  proxy_recall_requests (&tasks.proxy);
  if (!tasks.requests_ended && now_us () >= tasks.stop.end_requests_us)
    {
      tasks.requests_ended = true;
      LOG_NOTICE ("ending requests in_flight=%zu", proxy_in_flight_count (&tasks.proxy));
      proxy_end_requests (&tasks.proxy);
    }
  if (tasks.listener_closed && caller_listener_open_count (&tasks.listener) == 0)
    finish ("idle");
  else if (now_us () >= tasks.stop.exit_us)
    finish ("grace period");
  else
    arm_drain_timer ();
}

static bool
start (GMainLoop **main_loop, anv_error_t *err)
{
  tasks.main_loop = g_main_loop_new (NULL, FALSE);
  tasks.loop = io_loop_new (NULL);
  *main_loop = tasks.main_loop;
  metric_registry_init (&tasks.counters);
  rng_init (&tasks.rng, (uint64_t)g_get_real_time () ^ g_str_hash (fleet_options.instance));
  tasks.seeds = fleet_options_peer_addresses (fleet_options.seeds);
  init_network ();
  init_memory ();
  init_core ();
  init_proxy ();
  init_server (&tasks.ready, fleet_options.ready_listen, "port=\"ready\"", handle_ready);
  init_server (&tasks.metrics, fleet_options.metrics_listen, "port=\"metrics\"", handle_metrics);
  init_supervisor ();
  io_timer_init (&tasks.drain_timer, on_drain_timer);
  tasks.initialised = true;
  if (!supervisor_start (&tasks.supervisor, err))
    return false;
  gateway_core_start (&tasks.core);
  LOG_NOTICE ("started instance=%s domain=%s listen=%s peer=%s seeds=%u adapter=%s version=%s",
              fleet_options.instance, fleet_options.domain, fleet_options.listen,
              fleet_options.peer_listen, tasks.seeds->len, tasks.adapter->name, ANVILLB_VERSION);
  return true;
}

static void
terminate (void)
{
  if (stop_plan_is_active (&tasks.stop))
    return;
  LOG_NOTICE ("shutting down connections=%zu in_flight=%zu",
              caller_listener_open_count (&tasks.listener), proxy_in_flight_count (&tasks.proxy));
  stop_plan_init (&tasks.stop, now_us (), fleet_options_grace_us ());
  tasks.proxy.draining = true;
  gateway_core_leave (&tasks.core, &tasks.stop);
  proxy_recall_requests (&tasks.proxy);
  arm_drain_timer ();
}

static void
reload (void)
{
  anv_error_t err = { 0 };
  GPtrArray *call_addresses = option_reload_addresses (&fleet_entry_option_table, "seed", &err);
  if (call_addresses == NULL)
    {
      LOG_WARNING ("cannot reload settings error=\"%s\"", err.text);
      return;
    }
  g_ptr_array_unref (tasks.seeds);
  tasks.seeds = fleet_options_peer_addresses (call_addresses);
  feed_client_set_seeds (&tasks.core.feed, tasks.seeds);
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
      io_timer_cancel (&tasks.drain_timer);
      supervisor_destroy (&tasks.supervisor);
      caller_listener_destroy (&tasks.listener);
      call_server_destroy (&tasks.ready);
      call_server_destroy (&tasks.metrics);
      proxy_destroy (&tasks.proxy);
      upstream_pool_destroy (&tasks.pool);
      if (has_memory_bound ())
        caller_memory_destroy (&tasks.memory);
      gateway_core_destroy (&tasks.core);
      peer_network_destroy (&tasks.network);
      g_ptr_array_unref (tasks.seeds);
    }
  io_loop_free (tasks.loop);
  g_main_loop_unref (tasks.main_loop);
  LOG_NOTICE ("stopped instance=%s", fleet_options.instance);
}

int
fleet_entry_run (const call_adapter_t *adapter, int argc, char **argv)
{
  const program_t program = {
    .table = &fleet_entry_option_table,
    .check_options = fleet_entry_options_check,
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
