#pragma once

#include "admin_server.h"
#include "caller_listener.h"
#include "entry_policy.h"
#include "supervisor.h"

/* entry_tasks - the tasks of anvillb-entry and the order in which they start, drain and stop. */

typedef struct
{
  GMainLoop *main_loop;
  io_loop_t *loop;
  metric_registry_t counters;
  /* opened, reused and stalls are copies of the counts in pool. */
  metric_t opened;
  metric_t reused;
  metric_t stalls;
  rng_t rng;
  GTlsCertificate *certificate;
  FILE *trace;          /* spans are written here; NULL for none */
  char *caller_address; /* address for callers, as listed by /.anvillb/v1/resolve */
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
  io_timer_t drain_limit_timer;
  int64_t claims_grace_end_us; /* shutdown does not wait for claims after this time */
  bool leaving;
  bool stopped_accepting;
  bool requests_ended; /* the rest of the requests was answered at the drain limit */
  bool failed;         /* the supervisor has given up on a task */
} entry_tasks_t;

/* Starts all tasks with the settings in entry_options. Returns false and sets ERR on failure. */
bool entry_tasks_start (entry_tasks_t *tasks, anv_error_t *err);

/* Starts the graceful shutdown. The main loop quits when it is complete, or at the drain limit. */
void entry_tasks_drain (entry_tasks_t *tasks);

/* Stops and frees all tasks. Must be called after a failed start too. */
void entry_tasks_stop (entry_tasks_t *tasks);
