#include "fleet_options.h"

#include <string.h>

#include "listen_check.h"
#include "program.h"

fleet_options_t fleet_options;

#define MS_PER_DAY 86400000.0
/* Average fraction of the link and the processor that requests may use. Bursts need the rest. */
#define CAPACITY_FRACTION 0.35

/* By balancer_overload_policy_t. */
static const char *const overload_policies[] = { "order", "value", NULL };

#define COMMON_OPTIONS                                                                              \
  {                                                                                                 \
    "instance", OPTION_STRING, &fleet_options.instance, NULL, 0, 0, NULL, true, "ID", "Instance id" \
  },                                                                                                \
      { "domain",                                                                                   \
        OPTION_STRING,                                                                              \
        &fleet_options.domain,                                                                      \
        NULL,                                                                                       \
        0,                                                                                          \
        0,                                                                                          \
        NULL,                                                                                       \
        true,                                                                                       \
        "NAME",                                                                                     \
        "Failure domain of this instance" },                                                        \
      { "peer-listen",                                                                              \
        OPTION_ADDRESS,                                                                             \
        &fleet_options.peer_listen,                                                                 \
        NULL,                                                                                       \
        0,                                                                                          \
        0,                                                                                          \
        NULL,                                                                                       \
        true,                                                                                       \
        "ADDRESS",                                                                                  \
        "Address of the port for other processes of the fleet; the port is the same on all "        \
        "instances" },                                                                              \
      { "metrics-listen",                                                                           \
        OPTION_ADDRESS,                                                                             \
        &fleet_options.metrics_listen,                                                              \
        NULL,                                                                                       \
        0,                                                                                          \
        0,                                                                                          \
        NULL,                                                                                       \
        false,                                                                                      \
        "ADDRESS",                                                                                  \
        "Address of the port for metrics; none if not given" },                                     \
      { "seed",                                                                                     \
        OPTION_ADDRESS_LIST,                                                                        \
        &fleet_options.seeds,                                                                       \
        NULL,                                                                                       \
        0,                                                                                          \
        0,                                                                                          \
        NULL,                                                                                       \
        true,                                                                                       \
        "ADDRESS",                                                                                  \
        "Call address of a control instance; may be repeated" },                                    \
      { "insecure-listen",                                                                          \
        OPTION_BOOL,                                                                                \
        &fleet_options.insecure_listen,                                                             \
        "false",                                                                                    \
        0,                                                                                          \
        0,                                                                                          \
        NULL,                                                                                       \
        false,                                                                                      \
        NULL,                                                                                       \
        "Allow listening addresses other than loopback without TLS" },                              \
  {                                                                                                 \
    "log-level", OPTION_ENUM, &fleet_options.log_level, "info", 0, 0, program_log_levels, false,    \
        "LEVEL", "Least urgent level that is logged"                                                \
  }

static const option_t entry_table[] = {
  COMMON_OPTIONS,
  { "listen", OPTION_ADDRESS, &fleet_options.listen, NULL, 0, 0, NULL, true, "ADDRESS",
    "Address of the port for callers, also told to them" },
  { "ready-listen", OPTION_ADDRESS, &fleet_options.ready_listen, NULL, 0, 0, NULL, true, "ADDRESS",
    "Address of the port that tells whether this instance is ready" },
  { "grace-s", OPTION_NUMBER, &fleet_options.grace_s, "10", 0.1, 86400, NULL, false, "SECONDS",
    "Time from SIGTERM to the end of the process" },
  { "max-connections", OPTION_INTEGER, &fleet_options.max_connections, "2048", 1, 1000000, NULL,
    false, "COUNT", "Open connections of callers" },
  { "memory-mb", OPTION_NUMBER, &fleet_options.memory_mb, "0", 0, 1000000, NULL, false, "MB",
    "Memory of this instance; connections may hold a half of it. 0: no bound" },
  { "connect-timeout-ms", OPTION_INTEGER, &fleet_options.connect_timeout_ms, "250", 1, MS_PER_DAY,
    NULL, false, "MS", "Time limit for a connection to a target" },
  { "upstream-idle-ms", OPTION_INTEGER, &fleet_options.upstream_idle_ms, "9000", 1, MS_PER_DAY,
    NULL, false, "MS", "Time for which an idle connection to a target is kept" },
  { "retry-share", OPTION_NUMBER, &fleet_options.retry_share, "0.1", 0, 1, NULL, false, "SHARE",
    "Most retries of a service in parts of its first attempts" },
  { "retry-rate", OPTION_NUMBER, &fleet_options.retry_rate, "0.1", 0, 1000, NULL, false, "RATE",
    "Retries a second that a service may always have, at this instance" },
  { "link-mbps", OPTION_NUMBER, &fleet_options.link_mbps, "1000", 0.1, 1000000, NULL, false,
    "MBITS", "Bandwidth of the link of this instance, each way" },
  { "cpu-share", OPTION_NUMBER, &fleet_options.cpu_share, "1", 0.001, 1024, NULL, false, "CORES",
    "Processor time of this instance" },
  { "request-bytes", OPTION_INTEGER, &fleet_options.request_bytes, "8000", 1, 1e9, NULL, false,
    "BYTES", "Bytes that a request takes of the link each way, to estimate the capacity" },
  { "request-cpu-us", OPTION_INTEGER, &fleet_options.request_cpu_us, "400", 1, 1e9, NULL, false,
    "US", "Processor time that a request takes, to estimate the capacity" },
  { "default-latency-ms", OPTION_INTEGER, &fleet_options.default_latency_ms, "150", 1, MS_PER_DAY,
    NULL, false, "MS", "Expected time of a request of a kind that was never seen" },
  { "overload-policy", OPTION_ENUM, &fleet_options.overload_policy, "order", 0, 0,
    overload_policies, false, "POLICY",
    "What decides who is served if capacity is insufficient: order or value" },
  { 0 },
};

static const option_t control_table[] = {
  COMMON_OPTIONS,
  { "call-listen", OPTION_ADDRESS, &fleet_options.call_listen, NULL, 0, 0, NULL, true, "ADDRESS",
    "Address of the port for operators and targets" },
  { "directory-listen", OPTION_ADDRESS, &fleet_options.directory_listen, NULL, 0, 0, NULL, true,
    "ADDRESS", "Address of the port that tells callers which entries to use" },
  { "data-dir", OPTION_STRING, &fleet_options.data_dir, NULL, 0, 0, NULL, true, "DIR",
    "Directory for the state that must survive" },
  { "found-group", OPTION_BOOL, &fleet_options.found_group, "false", 0, 0, NULL, false, NULL,
    "First start of the whole fleet: the seeds found the control group. A lost disk is no first "
    "start" },
  { "tolerated-failures", OPTION_INTEGER, &fleet_options.tolerated_failures, "1", 0, 4, NULL, false,
    "COUNT", "Control instances that may be lost at once; the group has twice that and one" },
  { "grace-s", OPTION_NUMBER, &fleet_options.grace_s, "5", 0.1, 86400, NULL, false, "SECONDS",
    "Time from SIGTERM to the end of the process" },
  { "least-active", OPTION_INTEGER, &fleet_options.min_active_entries, "2", 1, 64, NULL, false,
    "COUNT", "Fewest entries of a failure domain that callers are sent to" },
  { "slot-rate", OPTION_NUMBER, &fleet_options.slot_rate, "2.5", 0.001, 100000, NULL, false, "RATE",
    "Requests a second that a slot of a target serves when it is busy half of the time" },
  { "resolve-ttl-ms", OPTION_INTEGER, &fleet_options.resolve_ttl_ms, "2000", 100, MS_PER_DAY, NULL,
    false, "MS", "Time for which callers may keep the addresses of entries" },
  { "call-timeout-ms", OPTION_INTEGER, &fleet_options.call_timeout_ms, "900", 1, MS_PER_DAY, NULL,
    false, "MS", "Time for the control group to record what a call asks for" },
  { 0 },
};

const option_table_t fleet_entry_option_table = {
  .program = "anvillb-fleet-entry",
  .summary = "Proxy between callers and targets, with control instances.",
  .options = entry_table,
};

const option_table_t fleet_control_option_table = {
  .program = "anvillb-fleet-control",
  .summary = "Control instance: configuration, targets and the directory of entries.",
  .options = control_table,
};

static bool
check_address (const char *name, const char *address, anv_error_t *err)
{
  return address == NULL
         || listen_check_address (name, address, false, fleet_options.insecure_listen, err);
}

static bool
check_common (anv_error_t *err)
{
  return check_address ("peer-listen", fleet_options.peer_listen, err)
         && check_address ("metrics-listen", fleet_options.metrics_listen, err);
}

bool
fleet_entry_options_check (anv_error_t *err)
{
  return check_common (err) && check_address ("listen", fleet_options.listen, err)
         && check_address ("ready-listen", fleet_options.ready_listen, err);
}

bool
fleet_control_options_check (anv_error_t *err)
{
  return check_common (err) && check_address ("call-listen", fleet_options.call_listen, err)
         && check_address ("directory-listen", fleet_options.directory_listen, err);
}

int64_t
fleet_options_grace_us (void)
{
  return (int64_t)(fleet_options.grace_s * G_USEC_PER_SEC);
}

double
fleet_options_capacity (void)
{
  double link_capacity = fleet_options.link_mbps * 1e6 / 8 / (double)fleet_options.request_bytes;
  double cpu_capacity = fleet_options.cpu_share * 1e6 / (double)fleet_options.request_cpu_us;
  return CAPACITY_FRACTION * MIN (link_capacity, cpu_capacity);
}

GPtrArray *
fleet_options_peer_addresses (const GPtrArray *call_addresses)
{
  GPtrArray *peer_addresses = g_ptr_array_new_with_free_func (g_free);
  const char *port = strrchr (fleet_options.peer_listen, ':');
  for (guint i = 0; call_addresses != NULL && i < call_addresses->len; i++)
    {
      const char *call_address = g_ptr_array_index (call_addresses, i);
      const char *colon = call_address != NULL ? strrchr (call_address, ':') : NULL;
      if (colon != NULL)
        g_ptr_array_add (peer_addresses, g_strdup_printf ("%.*s%s", (int)(colon - call_address),
                                                          call_address, port));
    }
  return peer_addresses;
}
