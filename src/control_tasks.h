#pragma once

#include "admin_server.h"
#include "claim_machine.h"
#include "config_machine.h"
#include "file_posix.h"
#include "operator_server.h"
#include "supervisor.h"

/* control_tasks - the parts of anvillb-control and their order of start and stop. */

#define CONTROL_GROUP_CONFIG 1
#define CONTROL_GROUP_CLAIMS 2

typedef struct
{
  GMainLoop *main_loop;
  io_loop_t *loop;
  counter_registry_t counters;
  tls_config_t tls;
  char *token;
  char *member_name;
  file_posix_t files;
  peer_network_t network;
  membership_task_t membership;
  config_sync_t sync;
  replica_group_t config_group;
  config_machine_t config_machine;
  replica_group_t claims_group;
  claim_machine_t claim_machine;
  replica_group_t *groups[3]; /* hosted here; ends with NULL */
  rollout_t rollout;          /* versions that members announce */
  io_timer_t rollout_timer;
  operator_server_t operators;
  admin_server_t admin;
  supervisor_t supervisor;
  io_timer_t stop_timer;
  int64_t stop_at_us; /* 0 until the planned stop */
  bool files_open;
  bool initialised;
  bool failed;
} control_tasks_t;

/* Starts everything that control_options describes. Returns false with an error. */
bool control_tasks_start (control_tasks_t *tasks, anv_error_t *err);

/* Starts a planned stop: hands over the leadership of the groups; the main loop is left when that
 * is done or has taken too long. */
void control_tasks_drain (control_tasks_t *tasks);

/* Stops and frees everything; also after a failed start. */
void control_tasks_stop (control_tasks_t *tasks);
