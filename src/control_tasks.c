#include "control_tasks.h"

#include <string.h>

#define LOG_MODULE "control_tasks"
#include "config_api.h"
#include "control_options.h"
#include "group_api.h"
#include "log.h"
#include "raft_wire.h"

#define MAX_LINKS 1024
#define MIN_TOKEN_BYTES 16
/* Longest time that a graceful shutdown waits for other members to become leader. */
#define LEADERSHIP_TRANSFER_TIMEOUT_US INT64_C (1000000)
#define LEADERSHIP_TRANSFER_POLL_US INT64_C (20000)
/* Interval at which the versions that members announce are copied for the operators' status. */
#define ROLLOUT_INTERVAL_US INT64_C (500000)

static void
receive_raft (control_tasks_t *tasks, link_t *link, const uint8_t *data, size_t size)
{
  raft_wire_message_t decoded;
  anv_error_t err = { 0 };
  if (!raft_wire_decode (&decoded, data, size, &err))
    {
      LOG_WARNING ("malformed message peer=%s error=\"%s\"", link->peer.id, err.text);
      return;
    }
  for (replica_group_t **group = tasks->groups; *group != NULL; group++)
    {
      if ((*group)->options.group_number == decoded.message.group)
        replica_group_receive (*group, link, &decoded.message);
    }
  raft_wire_destroy (&decoded);
}

static void
on_message (void *data, link_t *link, wire_type_t type, wire_reader_t *reader,
            const uint8_t *message, size_t size)
{
  control_tasks_t *tasks = data;
  if (raft_wire_is_type (type))
    receive_raft (tasks, link, message, size);
  else if (type == WIRE_CLAIM_REQUEST && control_options_hosts_group ("claims"))
    claim_machine_receive (&tasks->claim_machine, link, reader);
  else if (!config_sync_receive (&tasks->sync, link, type, message, size))
    membership_task_receive (&tasks->membership, link, type, reader);
}

static void
on_version (void *data, const swim_member_t *member, uint64_t version, uint64_t digest)
{
  control_tasks_t *tasks = data;
  /* A member of the config group installs the versions that its own log applies. */
  if (!control_options_hosts_group ("config"))
    config_sync_on_announcement (&tasks->sync, member, version, digest);
}

static void
handle_call (void *data, operator_call_t *call, const operator_request_t *request)
{
  control_tasks_t *tasks = data;
  bool tls = tasks->tls.certificate != NULL;
  if (group_api_handle (tasks->groups, tls, call, request))
    return;
  if (!control_options_hosts_group ("config"))
    {
      operator_call_respond (call, 404, NULL, "{\"error\":\"no config group here\"}\n");
      return;
    }
  config_api_t api = {
    .machine = &tasks->config_machine,
    .rollout = &tasks->rollout,
    .token = tasks->token,
    .tls = tls,
  };
  config_api_handle (&api, call, request);
}

/* Removes a dead or removed member from the versions in the operators' status. */
static void
on_member (void *data, swim_event_t event, const swim_member_t *member)
{
  control_tasks_t *tasks = data;
  if (member->status == SWIM_DEAD || event == SWIM_EVENT_REMOVED)
    rollout_remove (&tasks->rollout, member->id);
}

static void
record_version (void *data, const swim_member_t *member)
{
  control_tasks_t *tasks = data;
  if (member->status != SWIM_DEAD && member->version > 0)
    rollout_record_version (&tasks->rollout, member->id, member->version,
                            g_get_real_time () / 1000);
}

static void
on_rollout_timer (io_timer_t *timer)
{
  control_tasks_t *tasks = CONTAINER_OF (timer, control_tasks_t, rollout_timer);
  if (tasks->membership.started)
    swim_foreach (&tasks->membership.swim, record_version, tasks);
  io_timer_set (tasks->loop, timer, io_loop_now_us (tasks->loop) + ROLLOUT_INTERVAL_US);
}

static void
on_stop_timer (io_timer_t *timer)
{
  control_tasks_t *tasks = CONTAINER_OF (timer, control_tasks_t, stop_timer);
  int64_t now_us = io_loop_now_us (tasks->loop);
  bool leading = false;
  for (replica_group_t **group = tasks->groups; *group != NULL; group++)
    leading = leading || (*group)->leading;
  if (leading && now_us < tasks->shutdown_deadline_us)
    io_timer_set (tasks->loop, timer, now_us + LEADERSHIP_TRANSFER_POLL_US);
  else
    g_main_loop_quit (tasks->main_loop);
}

void
control_tasks_drain (control_tasks_t *tasks)
{
  int64_t now_us = io_loop_now_us (tasks->loop);
  bool waiting = false;
  if (tasks->shutdown_deadline_us != 0)
    return;
  LOG_NOTICE ("shutting down");
  for (replica_group_t **group = tasks->groups; *group != NULL; group++)
    waiting = replica_group_transfer_leadership (*group, 0, NULL) || waiting;
  tasks->shutdown_deadline_us = waiting ? now_us + LEADERSHIP_TRANSFER_TIMEOUT_US : now_us;
  io_timer_set (tasks->loop, &tasks->stop_timer, now_us);
}

static void
on_restart_limit (void *data, const anv_error_t *err)
{
  control_tasks_t *tasks = data;
  tasks->failed = true;
  g_main_loop_quit (tasks->main_loop);
}

static bool
load_token (control_tasks_t *tasks, anv_error_t *err)
{
  g_autoptr (GError) error = NULL;
  if (!g_file_get_contents (control_options.token_file, &tasks->token, NULL, &error))
    {
      anv_error_set (err, ANV_ERROR_OPTION, OPTION_ERROR_VALUE, "--token-file: %s", error->message);
      return false;
    }
  g_strstrip (tasks->token);
  if (strlen (tasks->token) >= MIN_TOKEN_BYTES)
    return true;
  anv_error_set (err, ANV_ERROR_OPTION, OPTION_ERROR_VALUE,
                 "--token-file: the credential must have at least %d characters", MIN_TOKEN_BYTES);
  return false;
}

static bool
load_files (control_tasks_t *tasks, anv_error_t *err)
{
  if (!load_token (tasks, err))
    return false;
  if (control_options.tls_cert != NULL
      && !tls_config_load (&tasks->tls, control_options.tls_cert, control_options.tls_key,
                           control_options.tls_ca, err))
    return false;
  tasks->files_open = file_posix_init (&tasks->files, control_options.data_dir, err);
  return tasks->files_open;
}

static void
init_network (control_tasks_t *tasks)
{
  peer_network_options_t options = {
    .loop = tasks->loop,
    .listen = control_options.peer_listen,
    .tls = tasks->tls.certificate != NULL ? &tasks->tls : NULL,
    .max_links = MAX_LINKS,
    .counters = &tasks->counters,
    .handler = { .received = on_message, .data = tasks },
  };
  const char *address = control_options.peer_advertise != NULL ? control_options.peer_advertise
                                                               : control_options.peer_listen;
  g_strlcpy (options.self.id, control_options.instance, sizeof (options.self.id));
  g_strlcpy (options.self.domain, control_options.domain, sizeof (options.self.domain));
  g_strlcpy (options.self.address, address, sizeof (options.self.address));
  options.self.incarnation = (uint64_t)(g_get_real_time () / 1000);
  peer_network_init (&tasks->network, &options, NULL);

  const char *operator_address = control_options.operator_advertise != NULL
                                     ? control_options.operator_advertise
                                     : control_options.operator_listen;
  tasks->member_name = g_strdup_printf ("%s/%s", address, operator_address);
}

static void
init_membership (control_tasks_t *tasks)
{
  membership_options_t options = {
    .loop = tasks->loop,
    .network = &tasks->network,
    .id = control_options.instance,
    .domain = control_options.domain,
    .caller_address = "",
    .seeds = control_options.seeds,
    .counters = &tasks->counters,
    .on_member = on_member,
    .on_version = on_version,
    .data = tasks,
  };
  membership_task_init (&tasks->membership, &options, NULL);
  config_sync_options_t sync_options = {
    .loop = tasks->loop,
    .network = &tasks->network,
    .membership = &tasks->membership,
    .counters = &tasks->counters,
  };
  config_sync_init (&tasks->sync, &sync_options);
}

static replica_group_options_t
group_options (control_tasks_t *tasks, const char *name, uint32_t number, state_machine_t *machine)
{
  return (replica_group_options_t){
    .loop = tasks->loop,
    .network = &tasks->network,
    .store = &tasks->files.store,
    .machine = machine,
    .name = name,
    .group_number = number,
    .member_name = tasks->member_name,
    .counters = &tasks->counters,
    .data = machine,
  };
}

static void
init_groups (control_tasks_t *tasks)
{
  size_t count = 0;
  config_machine_init (&tasks->config_machine, &tasks->config_group, &tasks->sync, tasks->loop);
  claim_machine_options_t claim_options = {
    .group = &tasks->claims_group,
    .network = &tasks->network,
    .loop = tasks->loop,
    .max_records = (size_t)control_options.max_claims,
    .max_total_response_bytes = (size_t)control_options.max_total_response_bytes,
    .counters = &tasks->counters,
  };
  claim_machine_init (&tasks->claim_machine, &claim_options);
  if (control_options_hosts_group ("config"))
    {
      replica_group_options_t options
          = group_options (tasks, "config", CONTROL_GROUP_CONFIG, &tasks->config_machine.machine);
      options.reset_machine = config_machine_reset;
      replica_group_init (&tasks->config_group, &options, NULL);
      tasks->groups[count++] = &tasks->config_group;
    }
  if (control_options_hosts_group ("claims"))
    {
      replica_group_options_t options
          = group_options (tasks, "claims", CONTROL_GROUP_CLAIMS, &tasks->claim_machine.machine);
      options.reset_machine = claim_machine_reset;
      options.on_leadership = claim_machine_leadership_changed;
      replica_group_init (&tasks->claims_group, &options, NULL);
      tasks->groups[count++] = &tasks->claims_group;
    }
}

/* Returns whether this instance knows the leader of each of its groups and is not shutting down. */
static bool
is_ready (void *data)
{
  const control_tasks_t *tasks = data;
  char leader[RAFT_NAME_SIZE];
  for (replica_group_t *const *group = tasks->groups; *group != NULL; group++)
    {
      replica_group_get_leader_name (*group, leader);
      if (leader[0] == '\0')
        return false;
    }
  return tasks->shutdown_deadline_us == 0;
}

static void
init_supervisor (control_tasks_t *tasks)
{
  supervisor_options_t options = {
    .max_restarts = 5,
    .restart_window_us = 60 * G_USEC_PER_SEC,
    .min_restart_delay_us = G_USEC_PER_SEC / 10,
    .max_restart_delay_us = 5 * G_USEC_PER_SEC,
    .on_restart_limit = on_restart_limit,
    .data = tasks,
  };
  operator_server_options_t operator_options = {
    .listen = control_options.operator_listen,
    .certificate = tasks->tls.certificate,
    .token = tasks->token,
    .counters = &tasks->counters,
    .handle_call = handle_call,
    .data = tasks,
  };
  operator_server_init (&tasks->operators, &operator_options, NULL);
  admin_server_options_t admin_options = {
    .listen = control_options.admin_listen,
    .certificate = tasks->tls.certificate,
    .counters = &tasks->counters,
    .is_ready = is_ready,
    .data = tasks,
  };
  admin_server_init (&tasks->admin, &admin_options, NULL);
  supervisor_init (&tasks->supervisor, &options);
  supervisor_add (&tasks->supervisor, &tasks->network.task);
  supervisor_add (&tasks->supervisor, &tasks->membership.task);
  for (replica_group_t **group = tasks->groups; *group != NULL; group++)
    supervisor_add (&tasks->supervisor, &(*group)->task);
  supervisor_add (&tasks->supervisor, &tasks->operators.task);
  supervisor_add (&tasks->supervisor, &tasks->admin.task);
}

bool
control_tasks_start (control_tasks_t *tasks, anv_error_t *err)
{
  *tasks = (control_tasks_t){ 0 };
  tasks->main_loop = g_main_loop_new (NULL, FALSE);
  tasks->loop = io_loop_new (NULL);
  metric_registry_init (&tasks->counters);
  if (!load_files (tasks, err))
    return false;
  init_network (tasks);
  init_membership (tasks);
  init_groups (tasks);
  init_supervisor (tasks);
  rollout_init (&tasks->rollout, 0);
  io_timer_init (&tasks->stop_timer, on_stop_timer);
  io_timer_init (&tasks->rollout_timer, on_rollout_timer);
  io_timer_set (tasks->loop, &tasks->rollout_timer, io_loop_now_us (tasks->loop));
  tasks->initialised = true;
  return supervisor_start (&tasks->supervisor, err);
}

static void
destroy_tasks (control_tasks_t *tasks)
{
  io_timer_cancel (&tasks->stop_timer);
  io_timer_cancel (&tasks->rollout_timer);
  supervisor_destroy (&tasks->supervisor);
  rollout_destroy (&tasks->rollout);
  operator_server_destroy (&tasks->operators);
  admin_server_destroy (&tasks->admin);
  for (replica_group_t **group = tasks->groups; *group != NULL; group++)
    replica_group_destroy (*group);
  config_machine_destroy (&tasks->config_machine);
  claim_machine_destroy (&tasks->claim_machine);
  config_sync_destroy (&tasks->sync);
  membership_task_destroy (&tasks->membership);
  peer_network_destroy (&tasks->network);
}

void
control_tasks_stop (control_tasks_t *tasks)
{
  if (tasks->initialised)
    destroy_tasks (tasks);
  if (tasks->files_open)
    file_posix_destroy (&tasks->files);
  tls_config_destroy (&tasks->tls);
  g_free (tasks->token);
  g_free (tasks->member_name);
  io_loop_free (tasks->loop);
  g_main_loop_unref (tasks->main_loop);
}
