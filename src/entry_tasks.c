#include "entry_tasks.h"

#include <errno.h>
#include <unistd.h>

#define LOG_MODULE "entry_tasks"
#include "entry_claims.h"
#include "entry_options.h"
#include "entry_peers.h"
#include "log.h"

#define US_PER_MS 1000
/* During shutdown, connections are accepted for the resolve TTL and this time after it. */
#define ACCEPT_GRACE_US 1000000
/* Period of the checks whether the drain is complete. */
#define DRAIN_CHECK_PERIOD_US 50000
/* Time for the outcomes of claims to be recorded, from when connections are no longer accepted. */
#define CLAIMS_GRACE_US (10 * G_USEC_PER_SEC)
/* Time for the last answers to be written, after the drain limit. */
#define LAST_ANSWERS_US 150000
#define MAX_LINKS 4096

static void
check_drained (entry_tasks_t *tasks)
{
  bool claims_done = claim_client_pending_count (&tasks->core.claims) == 0
                     || io_loop_now_us (tasks->loop) >= tasks->claims_grace_end_us;
  if (caller_listener_open_count (&tasks->listener) == 0 && claims_done)
    {
      LOG_NOTICE ("shutdown complete");
      g_main_loop_quit (tasks->main_loop);
      return;
    }
  io_timer_set (tasks->loop, &tasks->drain_timer,
                io_loop_now_us (tasks->loop) + DRAIN_CHECK_PERIOD_US);
}

static void
stop_accepting (entry_tasks_t *tasks)
{
  if (tasks->stopped_accepting)
    return;
  tasks->stopped_accepting = true;
  tasks->proxy.draining = true;
  tasks->claims_grace_end_us = io_loop_now_us (tasks->loop) + CLAIMS_GRACE_US;
  caller_listener_drain (&tasks->listener);
  LOG_NOTICE ("no longer accepting connections=%zu in_flight=%zu",
              caller_listener_open_count (&tasks->listener), proxy_in_flight_count (&tasks->proxy));
}

static void
on_drain_timer (io_timer_t *timer)
{
  entry_tasks_t *tasks = CONTAINER_OF (timer, entry_tasks_t, drain_timer);
  stop_accepting (tasks);
  check_drained (tasks);
}

static void
on_drain_limit_timer (io_timer_t *timer)
{
  entry_tasks_t *tasks = CONTAINER_OF (timer, entry_tasks_t, drain_limit_timer);
  if (tasks->requests_ended)
    {
      g_main_loop_quit (tasks->main_loop);
      return;
    }
  LOG_WARNING ("drain limit reached in_flight=%zu", proxy_in_flight_count (&tasks->proxy));
  tasks->requests_ended = true;
  tasks->proxy.refusing = true;
  stop_accepting (tasks);
  proxy_end_requests (&tasks->proxy);
  io_timer_set (tasks->loop, timer, io_loop_now_us (tasks->loop) + LAST_ANSWERS_US);
}

void
entry_tasks_drain (entry_tasks_t *tasks)
{
  int64_t now_us = io_loop_now_us (tasks->loop);
  if (tasks->leaving)
    return;
  tasks->leaving = true;
  entry_core_leave (&tasks->core);
  LOG_NOTICE ("shutting down");
  io_timer_set (tasks->loop, &tasks->drain_timer,
                now_us + entry_options.resolve_ttl_ms * US_PER_MS + ACCEPT_GRACE_US);
  if (entry_options.drain_limit_ms > 0)
    io_timer_set (tasks->loop, &tasks->drain_limit_timer,
                  now_us + entry_options.drain_limit_ms * US_PER_MS);
}

static bool
is_ready (void *data)
{
  const entry_tasks_t *tasks = data;
  return !tasks->leaving && entry_core_is_ready (&tasks->core);
}

static void
refresh_counters (void *data)
{
  entry_tasks_t *tasks = data;
  metric_set (&tasks->opened, (int64_t)tasks->pool.opened_count);
  metric_set (&tasks->reused, (int64_t)tasks->pool.reuse_count);
  metric_set (&tasks->stalls, (int64_t)tasks->pool.stall_count);
}

static void
on_restart_limit (void *data, const anv_error_t *err)
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
load_peer_tls (entry_tasks_t *tasks, anv_error_t *err)
{
  return entry_options.tls_ca == NULL
         || tls_config_load (&tasks->peer_tls, entry_options.tls_cert, entry_options.tls_key,
                             entry_options.tls_ca, err);
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
    .on_silent = entry_core_on_silent_connection,
    .data = &tasks->core,
  };
  upstream_pool_init (&tasks->pool, &options);
  metric_register (&tasks->counters, &tasks->opened, METRIC_KIND_COUNTER,
                   "anvillb_upstream_connections_total", NULL,
                   "Connections opened to backend servers.");
  metric_register (&tasks->counters, &tasks->reused, METRIC_KIND_COUNTER,
                   "anvillb_upstream_reuses_total", NULL, "Attempts on a reused connection.");
  metric_register (&tasks->counters, &tasks->stalls, METRIC_KIND_COUNTER,
                   "anvillb_upstream_stalls_total", NULL, "Silent connections retired.");
}

static void
on_message (void *data, link_t *link, wire_type_t type, wire_reader_t *reader,
            const uint8_t *message, size_t size)
{
  entry_tasks_t *tasks = data;
  bool handled = entry_peers_receive (&tasks->core, link, type, reader)
                 || entry_claims_receive (&tasks->core, link, type, reader)
                 || config_sync_receive (&tasks->sync, link, type, message, size)
                 || membership_task_receive (&tasks->membership, link, type, reader);
  if (!handled)
    LOG_DEBUG ("unexpected message peer=%s type=%d", link->peer.id, (int)type);
}

static void
on_version (void *data, const swim_member_t *member, uint64_t version, uint64_t digest)
{
  entry_tasks_t *tasks = data;
  config_sync_on_announcement (&tasks->sync, member, version, digest);
}

static void
on_member (void *data, swim_event_t event, const swim_member_t *member)
{
  entry_tasks_t *tasks = data;
  entry_core_on_member (&tasks->core, event, member);
}

static void
init_network (entry_tasks_t *tasks)
{
  peer_network_options_t options = {
    .loop = tasks->loop,
    .listen = entry_options.peer_listen,
    .tls = entry_options.tls_ca != NULL ? &tasks->peer_tls : NULL,
    .max_links = MAX_LINKS,
    .counters = &tasks->counters,
    .handler = { .received = on_message, .data = tasks },
  };
  const char *address = entry_options.peer_advertise != NULL ? entry_options.peer_advertise
                                                             : entry_options.peer_listen;
  g_strlcpy (options.self.id, entry_options.instance, sizeof (options.self.id));
  g_strlcpy (options.self.domain, entry_options.domain, sizeof (options.self.domain));
  g_strlcpy (options.self.address, address, sizeof (options.self.address));
  options.self.incarnation = (uint64_t)(g_get_real_time () / 1000);
  peer_network_init (&tasks->network, &options, NULL);

  tasks->caller_address
      = g_strdup (entry_options.advertise != NULL ? entry_options.advertise : entry_options.listen);
  membership_options_t membership_options = {
    .loop = tasks->loop,
    .network = &tasks->network,
    .id = entry_options.instance,
    .domain = entry_options.domain,
    .caller_address = tasks->caller_address,
    .seeds = entry_options.seeds,
    .counters = &tasks->counters,
    .on_member = on_member,
    .on_version = on_version,
    .data = tasks,
  };
  membership_task_init (&tasks->membership, &membership_options, NULL);
  config_sync_options_t sync_options = {
    .loop = tasks->loop,
    .network = &tasks->network,
    .membership = &tasks->membership,
    .counters = &tasks->counters,
    .on_install = entry_core_on_install,
    .data = &tasks->core,
  };
  config_sync_init (&tasks->sync, &sync_options);
}

static void
init_core (entry_tasks_t *tasks)
{
  /* The claim client needs a NULL-terminated list. */
  g_ptr_array_add (entry_options.claim_members, NULL);
  entry_core_options_t options = {
    .loop = tasks->loop,
    .network = &tasks->network,
    .membership = &tasks->membership,
    .sync = &tasks->sync,
    .pool = &tasks->pool,
    .counters = &tasks->counters,
    .rng = &tasks->rng,
    .instance = entry_options.instance,
    .domain = entry_options.domain,
    .caller_address = tasks->caller_address,
    .domain_distance_us = entry_options.domain_distance_ms * US_PER_MS,
    .require_echo = !entry_options.trust_first_announcement,
    .probe_path = entry_options.probe_path,
    .claim_members = entry_options.claim_members,
    .claim_retention_ms = (uint64_t)entry_options.claim_retention_ms,
    .generate_missing_keys = entry_options.unnamed_requests == UNNAMED_REQUESTS_SINGLE_ATTEMPT,
    .resolve_ttl_ms = entry_options.resolve_ttl_ms,
  };
  entry_core_init (&tasks->core, &options);
}

static void
init_proxy (entry_tasks_t *tasks)
{
  entry_policy_init (&tasks->policy, &tasks->core);
  proxy_options_t options = {
    .loop = tasks->loop,
    .pool = &tasks->pool,
    .policy = &tasks->policy.policy,
    .counters = &tasks->counters,
    .rng = &tasks->rng,
    .trace_file = tasks->trace,
    .program = entry_option_table.program,
    .instance = entry_options.instance,
    .default_timeout_us = entry_options.request_timeout_ms * US_PER_MS,
    .max_kept_body_bytes = (size_t)entry_options.max_kept_body_bytes,
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
    .restart_window_us = 60 * G_USEC_PER_SEC,
    .min_restart_delay_us = 100 * US_PER_MS,
    .max_restart_delay_us = 5 * G_USEC_PER_SEC,
    .on_restart_limit = on_restart_limit,
    .data = tasks,
  };
  supervisor_init (&tasks->supervisor, &options);
  supervisor_add (&tasks->supervisor, &tasks->network.task);
  supervisor_add (&tasks->supervisor, &tasks->membership.task);
  supervisor_add (&tasks->supervisor, &tasks->listener.task);
  supervisor_add (&tasks->supervisor, &tasks->admin.task);
}

bool
entry_tasks_start (entry_tasks_t *tasks, anv_error_t *err)
{
  *tasks = (entry_tasks_t){ .main_loop = g_main_loop_new (NULL, FALSE) };
  tasks->loop = io_loop_new (NULL);
  metric_registry_init (&tasks->counters);
  rng_init (&tasks->rng, (uint64_t)g_get_real_time () ^ (uint64_t)getpid () << 48);
  io_timer_init (&tasks->drain_timer, on_drain_timer);
  io_timer_init (&tasks->drain_limit_timer, on_drain_limit_timer);
  bool loaded
      = load_certificate (tasks, err) && load_peer_tls (tasks, err) && open_trace (tasks, err);
  /* These are initialized after an error as well, because entry_tasks_stop() destroys them all. */
  init_network (tasks);
  init_pool (tasks);
  init_core (tasks);
  init_proxy (tasks);
  init_servers (tasks);
  init_supervisor (tasks);
  if (!loaded || !supervisor_start (&tasks->supervisor, err))
    return false;
  entry_core_start (&tasks->core);
  return true;
}

void
entry_tasks_stop (entry_tasks_t *tasks)
{
  supervisor_destroy (&tasks->supervisor);
  admin_server_destroy (&tasks->admin);
  caller_listener_destroy (&tasks->listener);
  proxy_destroy (&tasks->proxy);
  entry_core_destroy (&tasks->core);
  config_sync_destroy (&tasks->sync);
  membership_task_destroy (&tasks->membership);
  peer_network_destroy (&tasks->network);
  upstream_pool_destroy (&tasks->pool);
  io_timer_cancel (&tasks->drain_timer);
  io_timer_cancel (&tasks->drain_limit_timer);
  io_loop_free (tasks->loop);
  g_clear_object (&tasks->certificate);
  tls_config_destroy (&tasks->peer_tls);
  g_free (tasks->caller_address);
  if (tasks->trace != NULL)
    fclose (tasks->trace);
  g_main_loop_unref (tasks->main_loop);
}
