#pragma once

#include "option.h"

/* fleet_options - settings of the programs of a fleet with control instances. */

typedef struct
{
  char *instance;
  char *domain;
  char *peer_listen;
  char *metrics_listen;
  GPtrArray *seeds; /* char *, call addresses of control instances */
  bool insecure_listen;
  int64_t log_level;

  /* entry */
  char *listen;
  char *ready_listen;
  double grace_s;
  int64_t max_connections;
  double memory_mb;
  int64_t connect_timeout_ms;
  int64_t upstream_idle_ms;
  double retry_share;
  double retry_rate;
  double link_mbps;
  double cpu_share;
  int64_t request_bytes;
  int64_t request_cpu_us;
  int64_t default_latency_ms;
  int64_t overload_policy; /* balancer_overload_policy_t */

  /* control */
  char *call_listen;
  char *directory_listen;
  char *data_dir;
  bool found_group;
  int64_t tolerated_failures;
  int64_t min_active_entries;
  double slot_rate;
  int64_t resolve_ttl_ms;
  int64_t call_timeout_ms;
} fleet_options_t;

extern fleet_options_t fleet_options;
extern const option_table_t fleet_entry_option_table;
extern const option_table_t fleet_control_option_table;

/* Return whether all listening addresses are allowed; otherwise set ERR. */
bool fleet_entry_options_check (anv_error_t *err);
bool fleet_control_options_check (anv_error_t *err);

/* Returns the time from SIGTERM to the end of the process. */
int64_t fleet_options_grace_us (void);

/* Returns the number of requests per second that this entry can serve on average, estimated from
 * the settings. */
double fleet_options_capacity (void);

/* Returns the peer addresses (char *) of the instances with CALL_ADDRESSES (char *). The
 * peer port of all instances is that of peer_listen. Free with g_ptr_array_unref(). */
GPtrArray *fleet_options_peer_addresses (const GPtrArray *call_addresses);
