#pragma once

#include "admin_server.h"
#include "claim_machine.h"
#include "config_machine.h"
#include "file_posix.h"
#include "operator_server.h"
#include "supervisor.h"

/* control_tasks - tasks of anvillb-control, started and stopped in order by one supervisor. */

/* Group numbers in Raft messages. */
#define CONTROL_GROUP_CONFIG 1
#define CONTROL_GROUP_CLAIMS 2

typedef struct
{
  GMainLoop *main_loop;
  io_loop_t *loop;
  metric_registry_t counters;
  tls_config_t tls;
  char *token;       /* credential that operators' calls must carry */
  char *member_name; /* "PEER_ADDRESS/OPERATOR_ADDRESS", as other members use them */
  file_posix_t files;
  peer_network_t network;
  membership_task_t membership;
  config_sync_t sync;
  replica_group_t config_group;
  config_machine_t config_machine;
  replica_group_t claims_group;
  claim_machine_t claim_machine;
  replica_group_t *groups[3]; /* groups of this instance; NULL-terminated */
  rollout_t rollout;          /* configuration version that each member announces */
  io_timer_t rollout_timer;
  operator_server_t operators;
  admin_server_t admin;
  supervisor_t supervisor;
  io_timer_t stop_timer;
  int64_t shutdown_deadline_us; /* latest end of a graceful shutdown; 0 if none has started */
  bool files_open;
  bool initialised;
  bool failed; /* a task failed too often, so the supervisor called on_restart_limit() */
} control_tasks_t;

/* Starts all tasks according to control_options. Returns false with an error. */
bool control_tasks_start (control_tasks_t *tasks, anv_error_t *err);

/* Starts a graceful shutdown: transfers the leadership of the groups to other members. The main
 * loop quits when no group is led here or after a timeout; at once if no transfer could be started.
 * Later calls do nothing. */
void control_tasks_drain (control_tasks_t *tasks);

/* Stops all tasks and frees their resources; also called after a failed start. */
void control_tasks_stop (control_tasks_t *tasks);
