#pragma once

#include "admin_server.h"
#include "caller_listener.h"
#include "entry_policy.h"
#include "supervisor.h"

/* entry_tasks - the parts of anvillb-entry and their order of start, drain and stop. */

typedef struct
{
  GMainLoop *main_loop;
  io_loop_t *loop;
  counter_registry_t counters;
  counter_t opened; /* copies of the numbers of the pool */
  counter_t reused;
  counter_t stalls;
  rng_t rng;
  GTlsCertificate *certificate;
  FILE *trace;
  char *advertise;
  tls_config_t peer_tls;
  peer_network_t network;
  membership_task_t membership;
  config_sync_t sync;
  entry_core_t core;
  upstream_pool_t pool;
  entry_policy_t policy;
  proxy_t proxy;
  caller_listener_t listener;
  admin_server_t admin;
  supervisor_t supervisor;
  io_timer_t drain_timer;
  io_timer_t limit_timer;
  int64_t claims_until_us;
  bool leaving;
  bool stopped_accepting;
  bool failed;
} entry_tasks_t;

/* Starts everything that entry_options describes. Returns false with an error. */
bool entry_tasks_start (entry_tasks_t *tasks, anv_error_t *err);

/* Starts the graceful shutdown; the main loop is left when it is complete. */
void entry_tasks_drain (entry_tasks_t *tasks);

/* Stops and frees everything; also after a failed start. */
void entry_tasks_stop (entry_tasks_t *tasks);
