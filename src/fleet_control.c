#include "fleet_control.h"

#include <string.h>

#define LOG_MODULE "fleet_control"
#include "log.h"
#include "raft_wire.h"

#define US_PER_MS 1000
#define MAX_LINKS 8192
#define TICK_US INT64_C (100000)
/* Announcements without changes are forwarded to the other instances in batches. */
#define RENEWAL_PERIOD_US INT64_C (1000000)
/* A target is dropped only after several lost announcements: during a partition all of them are
 * lost, while requests of callers may still reach the target. */
#define TARGET_TIMEOUT_US INT64_C (30000000)
/* Entries report every 500 ms to their feed and every second to the other instances. */
#define ENTRY_REPORT_TIMEOUT_US INT64_C (2200000)
#define ENTRY_RETENTION_US INT64_C (60000000)
/* A configuration is sent again if the entry has not reported its version after this time. */
#define CONFIG_RESEND_US INT64_C (400000)
/* An instance that starts applies the log that it has within this time. */
#define CONFIG_WAIT_US INT64_C (1000000)

/* Entry that takes its feed from this instance. */
typedef struct
{
  char id[REGISTRY_NAME_SIZE];
  char domain[REGISTRY_NAME_SIZE];
  uint64_t link_number;
  uint64_t reported_version;
  uint64_t sent_version; /* version that was sent last */
  int64_t last_config_sent_us;
} subscriber_t;

/* A call of fleet_control_await_config(). */
typedef struct
{
  list_node_t node;
  int64_t expiry_us;
  fleet_done_t done;
  void *data;
} config_waiter_t;

static int64_t
now_us (const fleet_control_t *control)
{
  return io_loop_now_us (control->options.loop);
}

static void
send_config (fleet_control_t *control, subscriber_t *subscriber)
{
  version_seal_t seal = version_store_seal (control->machine.store);
  bool due = subscriber->sent_version != seal.version
             || now_us (control) - subscriber->last_config_sent_us >= CONFIG_RESEND_US;
  wire_writer_t writer;

  if (seal.version == 0 || subscriber->reported_version >= seal.version || !due)
    return;
  GBytes *text = config_doc_text (version_store_doc (control->machine.store));
  text = config_redact_version (&control->redacted, text, &seal);
  fleet_config_encode (&seal, text, &writer);
  subscriber->sent_version = seal.version;
  subscriber->last_config_sent_us = now_us (control);
  peer_network_reply_writer (&control->network, subscriber->link_number, &writer);
}

static void
send_to_subscribers (fleet_control_t *control, const wire_writer_t *writer)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, control->subscribers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const subscriber_t *subscriber = value;
      if (!peer_network_reply (&control->network, subscriber->link_number,
                               (const uint8_t *)writer->buffer.data, writer->buffer.size))
        g_hash_table_iter_remove (&iter);
    }
}

static void
send_targets_to_subscribers (fleet_control_t *control, const GArray *targets)
{
  wire_writer_t writer;
  if (g_hash_table_size (control->subscribers) == 0)
    return;
  fleet_targets_encode (targets, now_us (control), &writer);
  send_to_subscribers (control, &writer);
  wire_writer_destroy (&writer);
}

static void
send_target_to_subscribers (void *data, const registry_target_t *target)
{
  g_autoptr (GArray) targets = g_array_new (FALSE, FALSE, sizeof (registry_target_t));
  LOG_INFO ("target id=%s service=%s address=%s domain=%s state=%s born_ms=%" G_GINT64_FORMAT,
            target->id, target->service, target->address, target->domain,
            registry_state_name (target->state), target->started_at_ms);
  g_array_append_vals (targets, target, 1);
  send_targets_to_subscribers (data, targets);
}

static bool
has_config (const fleet_control_t *control)
{
  return version_store_current_version (control->machine.store) > 0;
}

/* Ends the waits that expire up to UNTIL_US. */
static void
end_config_waits (fleet_control_t *control, int64_t until_us)
{
  LIST_FOREACH_SAFE (&control->config_waiters, node)
  {
    config_waiter_t *waiter = CONTAINER_OF (node, config_waiter_t, node);
    if (waiter->expiry_us > until_us)
      break;
    list_remove (node);
    waiter->done (waiter->data, has_config (control));
    g_free (waiter);
  }
}

static void
on_version (void *data)
{
  fleet_control_t *control = data;
  GHashTableIter iter;
  gpointer value = NULL;
  end_config_waits (control, INT64_MAX);
  fleet_quota_set_config (&control->quota, version_store_doc (control->machine.store));
  g_hash_table_iter_init (&iter, control->subscribers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    send_config (control, value);
}

static void
send_departure_to_subscribers (fleet_control_t *control, const registry_departure_t *departure)
{
  g_autoptr (GArray) departures = g_array_new (FALSE, FALSE, sizeof (registry_departure_t));
  wire_writer_t writer;
  g_array_append_vals (departures, departure, 1);
  fleet_departed_encode (departures, &writer);
  send_to_subscribers (control, &writer);
  wire_writer_destroy (&writer);
}

static void
on_departure (void *data, const char *id, int64_t started_at_ms, registry_state_t state)
{
  fleet_control_t *control = data;
  registry_departure_t departure = { .started_at_ms = started_at_ms, .state = state };
  const registry_target_t *target = target_registry_find (&control->registry, id);

  g_strlcpy (departure.id, id, sizeof (departure.id));
  LOG_INFO ("departure id=%s born_ms=%" G_GINT64_FORMAT " state=%s", id, started_at_ms,
            registry_state_name (state));
  metric_inc (&control->departures);
  send_departure_to_subscribers (control, &departure);
  if (state == REGISTRY_GONE && target != NULL && target->started_at_ms <= started_at_ms)
    target_registry_remove (&control->registry, id);
}

static void
send_targets_to_members (fleet_control_t *control, const GArray *targets)
{
  wire_writer_t writer;
  fleet_targets_encode (targets, now_us (control), &writer);
  replica_group_send_to_peers (&control->group, &writer);
  wire_writer_destroy (&writer);
}

/* Applies an announcement from the target or from another instance. */
static registry_result_t
apply_announcement (fleet_control_t *control, const registry_target_t *target)
{
  registry_result_t result
      = target_registry_announce (&control->registry, target, send_target_to_subscribers, control);
  if (result == REGISTRY_NEW || result == REGISTRY_CHANGED)
    send_target_to_subscribers (control, target);
  return result;
}

typedef struct
{
  fleet_done_t done;
  void *data;
} departure_call_t;

static void
on_departure_recorded (void *data, GBytes *result)
{
  departure_call_t *call = data;
  call->done (call->data, result != NULL);
  g_free (call);
}

static void
record_departure (fleet_control_t *control, const char *id, int64_t started_at_ms,
                  registry_state_t state, fleet_done_t done, void *data)
{
  registry_state_t recorded
      = target_registry_get_recorded_state (&control->registry, id, started_at_ms);
  if (recorded >= state)
    {
      done (data, true);
      return;
    }
  departure_call_t *call = g_new (departure_call_t, 1);
  *call = (departure_call_t){ done, data };
  g_autoptr (GBytes) command = fleet_machine_encode_departure_command (id, started_at_ms, state);
  proposal_relay_submit (&control->relay, command,
                         now_us (control) + control->options.call_timeout_us, on_departure_recorded,
                         call);
}

void
fleet_control_announce (fleet_control_t *control, const registry_target_t *target,
                        fleet_done_t done, void *data)
{
  metric_inc (&control->announcements);
  if (target->state != REGISTRY_READY)
    {
      record_departure (control, target->id, target->started_at_ms, REGISTRY_DRAINING, done, data);
      return;
    }
  registry_result_t result = apply_announcement (control, target);
  if (result == REGISTRY_NEW || result == REGISTRY_CHANGED)
    {
      g_autoptr (GArray) targets = g_array_new (FALSE, FALSE, sizeof (registry_target_t));
      g_array_append_vals (targets, target, 1);
      send_targets_to_members (control, targets);
    }
  else if (result == REGISTRY_RENEWED)
    g_array_append_vals (control->renewed_targets, target, 1);
  done (data, true);
}

/* Returns the start time of the newest incarnation of ID that can have ended. After a partition,
 * this instance may not know the target. It then returns the current time, which covers every
 * earlier incarnation, so that a delayed announcement does not add the target again. */
static int64_t
find_newest_start (const fleet_control_t *control, const char *id)
{
  const registry_target_t *target = target_registry_find (&control->registry, id);
  return target != NULL ? target->started_at_ms : g_get_real_time () / US_PER_MS;
}

void
fleet_control_record_departure (fleet_control_t *control, const char *id, int64_t started_at_ms,
                                fleet_done_t done, void *data)
{
  if (started_at_ms == 0)
    started_at_ms = find_newest_start (control, id);
  record_departure (control, id, started_at_ms, REGISTRY_GONE, done, data);
}

typedef struct
{
  fleet_version_done_t done;
  void *data;
} version_call_t;

static void
on_version_result (void *data, GBytes *bytes)
{
  version_call_t *call = data;
  version_result_t result;
  gsize size = 0;
  const uint8_t *encoded = bytes != NULL ? g_bytes_get_data (bytes, &size) : NULL;
  anv_error_t err = { 0 };
  bool known = encoded != NULL && version_result_decode (&result, encoded, size, &err);
  call->done (call->data, known ? &result : NULL);
  g_free (call);
}

void
fleet_control_submit_config (fleet_control_t *control, const version_command_t *command,
                             fleet_version_done_t done, void *data)
{
  version_call_t *call = g_new (version_call_t, 1);
  *call = (version_call_t){ done, data };
  g_autoptr (GBytes) bytes = fleet_machine_encode_version_command (command);
  proposal_relay_submit (&control->relay, bytes,
                         now_us (control) + control->options.call_timeout_us, on_version_result,
                         call);
}

typedef struct
{
  fleet_control_t *control;
  fleet_read_done_t done;
  void *data;
} read_call_t;

static void
on_read (void *data, const void *result)
{
  read_call_t *call = data;
  call->done (call->data, result != NULL ? version_store_doc (call->control->machine.store) : NULL);
  g_free (call);
}

const config_doc_t *
fleet_control_get_config (const fleet_control_t *control)
{
  return version_store_doc (control->machine.store);
}

void
fleet_control_await_config (fleet_control_t *control, fleet_done_t done, void *data)
{
  if (has_config (control))
    {
      done (data, true);
      return;
    }
  config_waiter_t *waiter = g_new0 (config_waiter_t, 1);
  list_node_init (&waiter->node);
  waiter->expiry_us = now_us (control) + CONFIG_WAIT_US;
  waiter->done = done;
  waiter->data = data;
  list_push_back (&control->config_waiters, &waiter->node);
}

bool
fleet_control_read_config (fleet_control_t *control, fleet_read_done_t done, void *data,
                           char leader[LINK_ADDRESS_SIZE])
{
  char name[RAFT_NAME_SIZE];
  char peer_address[LINK_ADDRESS_SIZE];
  read_call_t *call = g_new (read_call_t, 1);
  *call = (read_call_t){ control, done, data };
  if (replica_group_read (&control->group, on_read, call, NULL))
    return true;
  g_free (call);
  replica_group_get_leader_name (&control->group, name);
  replica_group_split_member_name (name, peer_address, leader);
  if (leader[0] != '\0' && strcmp (leader, control->options.call_address) != 0)
    return false;
  done (data, NULL);
  return true;
}

typedef struct
{
  const char *domain;
  unsigned slots;
} slot_count_t;

static void
count_slots (void *data, const registry_target_t *target)
{
  slot_count_t *count = data;
  if (target->state == REGISTRY_READY && strcmp (target->domain, count->domain) == 0)
    count->slots += target->slots;
}

static void
free_layout (gpointer data)
{
  directory_layout_clear (data);
  g_free (data);
}

/* Returns the layout of DOMAIN. It is computed on the first use in a tick or after a change of an
 * entry. */
static const directory_layout_t *
get_layout (fleet_control_t *control, const char *domain)
{
  directory_layout_t *layout = g_hash_table_lookup (control->layouts, domain);
  slot_count_t count = { domain, 0 };
  if (layout != NULL)
    return layout;
  target_registry_foreach (&control->registry, count_slots, &count);
  layout = g_new0 (directory_layout_t, 1);
  entry_directory_compute_layout (&control->directory, now_us (control), domain, count.slots,
                                  layout);
  g_hash_table_insert (control->layouts, g_strdup (domain), layout);
  return layout;
}

size_t
fleet_control_resolve_entries (fleet_control_t *control, const char *domain,
                               const directory_entry_t **out, size_t max)
{
  return entry_directory_resolve (&control->directory, now_us (control), domain,
                                  get_layout (control, domain), control->next_resolve_start++, out,
                                  max);
}

/* Stores in VIEW the cell of the entry ID and the peer addresses of that cell's entries. An entry
 * that is not active gets no addresses, or those of all active entries if there is one cell. */
static void
set_view_cell (const directory_layout_t *layout, const char *id, fleet_view_t *view)
{
  view->cell_count = layout->cell_count;
  view->own_cell_index = layout->cell_count;
  for (guint i = 0; i < layout->active->len; i++)
    {
      const directory_entry_t *entry = g_ptr_array_index (layout->active, i);
      if (strcmp (entry->id, id) == 0)
        view->own_cell_index = g_array_index (layout->cell_indexes, guint, i);
    }
  for (guint i = 0; i < layout->active->len; i++)
    {
      const directory_entry_t *entry = g_ptr_array_index (layout->active, i);
      if (g_array_index (layout->cell_indexes, guint, i) == view->own_cell_index
          || layout->cell_count == 1)
        g_ptr_array_add (view->peers, g_strdup (entry->peer_address));
    }
}

static void
add_address (void *data, const char *address)
{
  g_ptr_array_add (data, g_strdup (address));
}

static void
send_view (fleet_control_t *control, const link_t *link)
{
  wire_writer_t writer;
  fleet_view_t view = {
    .in_contact = replica_group_in_contact (&control->group) && !control->stopping,
    .members = g_ptr_array_new_with_free_func (g_free),
    .peers = g_ptr_array_new_with_free_func (g_free),
  };
  set_view_cell (get_layout (control, link->peer.domain), link->peer.id, &view);
  replica_group_foreach_peer (&control->group, add_address, view.members);
  g_ptr_array_add (view.members, g_strdup (control->options.peer_listen));
  fleet_view_encode (&view, &writer);
  peer_network_reply_writer (&control->network, link->sequence_number, &writer);
  fleet_view_clear (&view);
}

static void
collect_target (void *data, const registry_target_t *target)
{
  g_array_append_vals (data, target, 1);
}

static void
collect_departure (void *data, const registry_departure_t *departure)
{
  g_array_append_vals (data, departure, 1);
}

/* Sends all targets and departures to a new subscriber. */
static void
send_all (fleet_control_t *control, const subscriber_t *subscriber)
{
  g_autoptr (GArray) targets = g_array_new (FALSE, FALSE, sizeof (registry_target_t));
  g_autoptr (GArray) departures = g_array_new (FALSE, FALSE, sizeof (registry_departure_t));
  wire_writer_t writer;

  target_registry_foreach_departure (&control->registry, collect_departure, departures);
  fleet_departed_encode (departures, &writer);
  peer_network_reply_writer (&control->network, subscriber->link_number, &writer);
  target_registry_foreach (&control->registry, collect_target, targets);
  fleet_targets_encode (targets, now_us (control), &writer);
  peer_network_reply_writer (&control->network, subscriber->link_number, &writer);
}

static void
subscribe (fleet_control_t *control, const link_t *link, const fleet_status_t *status)
{
  subscriber_t *subscriber = g_hash_table_lookup (control->subscribers, link->peer.id);
  bool needs_sync = subscriber == NULL || subscriber->link_number != link->sequence_number
                    || status->wants_sync;
  if (subscriber == NULL)
    {
      subscriber = g_new0 (subscriber_t, 1);
      g_strlcpy (subscriber->id, link->peer.id, sizeof (subscriber->id));
      g_strlcpy (subscriber->domain, link->peer.domain, sizeof (subscriber->domain));
      g_hash_table_insert (control->subscribers, subscriber->id, subscriber);
    }
  subscriber->link_number = link->sequence_number;
  subscriber->reported_version = status->version;
  if (needs_sync)
    {
      subscriber->sent_version = 0;
      send_all (control, subscriber);
    }
  send_config (control, subscriber);
}

static void
receive_status (fleet_control_t *control, const link_t *link, wire_reader_t *reader)
{
  fleet_status_t status;
  directory_entry_t entry = { .incarnation = link->peer.incarnation };
  if (!fleet_status_decode (&status, reader))
    {
      LOG_WARNING ("malformed status peer=%s", link->peer.id);
      return;
    }
  g_strlcpy (entry.id, link->peer.id, sizeof (entry.id));
  g_strlcpy (entry.domain, link->peer.domain, sizeof (entry.domain));
  g_strlcpy (entry.peer_address, link->peer.address, sizeof (entry.peer_address));
  g_strlcpy (entry.caller_address, status.caller_address, sizeof (entry.caller_address));
  entry.state = status.state;
  entry.last_report_us = now_us (control);
  entry.capacity = status.capacity;
  fleet_quota_record_entry (&control->quota, entry.id, entry.state);
  bool changed = entry_directory_update (&control->directory, &entry);
  if (changed)
    g_hash_table_remove_all (control->layouts);
  if (changed)
    LOG_INFO ("entry id=%s domain=%s address=%s state=%d incarnation=%" G_GUINT64_FORMAT, entry.id,
              entry.domain, entry.caller_address, (int)entry.state, entry.incarnation);
  if (status.wants_feed)
    subscribe (control, link, &status);
  else
    g_hash_table_remove (control->subscribers, link->peer.id);
  if (status.wants_view)
    send_view (control, link);
}

static void
receive_targets (fleet_control_t *control, wire_reader_t *reader)
{
  g_autoptr (GArray) targets = g_array_new (FALSE, TRUE, sizeof (registry_target_t));
  if (!fleet_targets_decode (targets, now_us (control), reader))
    {
      LOG_WARNING ("malformed targets");
      return;
    }
  for (guint i = 0; i < targets->len; i++)
    apply_announcement (control, &g_array_index (targets, registry_target_t, i));
}

static void
on_message (void *data, link_t *link, wire_type_t type, wire_reader_t *reader,
            const uint8_t *message, size_t size)
{
  fleet_control_t *control = data;
  raft_wire_message_t decoded;
  anv_error_t err = { 0 };

  if (raft_wire_is_type (type))
    {
      if (raft_wire_decode (&decoded, message, size, &err))
        {
          group_membership_on_raft_message (&control->membership, link, &decoded.message);
          replica_group_receive (&control->group, link, &decoded.message);
        }
      else
        LOG_WARNING ("malformed message peer=%s error=\"%s\"", link->peer.id, err.text);
      raft_wire_destroy (&decoded);
    }
  else if (type == WIRE_FLEET_STATUS)
    receive_status (control, link, reader);
  else if (type == WIRE_FLEET_TARGETS)
    receive_targets (control, reader);
  else if (!group_membership_receive (&control->membership, link, type, reader)
           && !proposal_relay_receive (&control->relay, link, type, reader)
           && !fleet_quota_receive (&control->quota, link, type, reader))
    LOG_DEBUG ("unexpected message peer=%s type=%d", link->peer.id, (int)type);
}

/* Creates the group, unless this instance has data of a group or is not one of the seeds. Each seed
 * creates it from the same list of members, so they may start in any order. The list gives all
 * seeds the call port of this instance, so that port must be the same on all of them. */
static void
found_group (fleet_control_t *control)
{
  raft_member_t members[RAFT_MAX_MEMBERS] = { 0 };
  raft_status_t status;
  anv_error_t err = { 0 };
  size_t count = 0;
  bool included = false;

  raft_get_status (&control->group.raft, &status);
  if (status.last_index > 0 || status.term > 1)
    return;
  for (guint i = 0; i < control->options.seeds->len && count < RAFT_MAX_MEMBERS; i++)
    {
      const char *seed = g_ptr_array_index (control->options.seeds, i);
      if (seed == NULL)
        continue;
      const char *port = strrchr (control->options.call_address, ':');
      const char *end = strrchr (seed, ':');
      raft_member_t *member = &members[count++];
      member->id = group_repair_compute_initial_id (seed);
      g_snprintf (member->name, sizeof (member->name), "%s/%.*s%s", seed, (int)(end - seed), seed,
                  port);
      included = included || strcmp (seed, control->options.peer_listen) == 0;
    }
  if (!included)
    return;
  bool founded = replica_group_bootstrap (&control->group, members, count, &err);
  LOG_NOTICE ("creation of the group members=%zu result=\"%s\"", count,
              founded ? "done" : err.text);
}

/* Creates the group on the first start of the fleet, as soon as the member of this instance runs.
 */
static void
found_group_if_due (fleet_control_t *control)
{
  if (!control->options.found_group || control->found_group_done || !control->group.started)
    return;
  control->found_group_done = true;
  found_group (control);
}

/* Reports when callers begin or cease to be sent to entries that are silent. */
static void
report_silence (fleet_control_t *control, int64_t now)
{
  bool silent = entry_directory_most_are_silent (&control->directory, now);
  if (silent == (control->most_entries_silent.value != 0))
    return;
  metric_set (&control->most_entries_silent, silent);
  if (silent)
    LOG_WARNING ("most entries are silent, callers are still sent to them");
  else
    LOG_NOTICE ("enough entries report again, callers are sent to these alone");
}

static void
on_timer (io_timer_t *timer)
{
  fleet_control_t *control = CONTAINER_OF (timer, fleet_control_t, timer);
  int64_t now = now_us (control);
  int64_t ticks = now / TICK_US;
  end_config_waits (control, now);

  g_hash_table_remove_all (control->layouts);
  report_silence (control, now);
  fleet_quota_set_config (&control->quota, version_store_doc (control->machine.store));
  fleet_quota_tick (&control->quota);
  found_group_if_due (control);
  group_membership_tick (&control->membership, control->options.seeds);
  if (ticks % (RENEWAL_PERIOD_US / TICK_US) == 0)
    {
      if (control->renewed_targets->len > 0)
        send_targets_to_members (control, control->renewed_targets);
      g_array_set_size (control->renewed_targets, 0);
      target_registry_expire (&control->registry, now - TARGET_TIMEOUT_US,
                              send_target_to_subscribers, control);
      entry_directory_prune (&control->directory, now, ENTRY_RETENTION_US);
      metric_set (&control->targets_known, g_hash_table_size (control->registry.targets));
    }
  io_timer_set (control->options.loop, timer, now + TICK_US);
}

static void
init_network (fleet_control_t *control)
{
  peer_network_options_t options = {
    .loop = control->options.loop,
    .listen = control->options.peer_listen,
    .max_links = MAX_LINKS,
    .timing = &link_timing_fleet,
    .counters = control->options.counters,
    .handler = { .received = on_message, .data = control },
  };
  g_strlcpy (options.self.id, control->options.instance, sizeof (options.self.id));
  g_strlcpy (options.self.domain, control->options.domain, sizeof (options.self.domain));
  g_strlcpy (options.self.address, control->options.peer_listen, sizeof (options.self.address));
  options.self.incarnation = (uint64_t)(g_get_real_time () / 1000);
  peer_network_init (&control->network, &options, NULL);
}

static void
init_group (fleet_control_t *control)
{
  replica_group_options_t options = {
    .loop = control->options.loop,
    .network = &control->network,
    .store = control->options.store,
    .machine = &control->machine.machine,
    .name = "fleet",
    .group_number = 1,
    .member_name = control->member_name,
    .counters = control->options.counters,
    .initial_id = control->options.found_group
                      ? group_repair_compute_initial_id (control->options.peer_listen)
                      : 0,
    .manual_promotion = true,
    .reset_machine = fleet_machine_reset,
    .data = &control->machine,
  };
  replica_group_init (&control->group, &options, NULL);
  fleet_machine_options_t machine_options = {
    .group = &control->group,
    .registry = &control->registry,
    .loop = control->options.loop,
    .on_version = on_version,
    .on_departure = on_departure,
    .data = control,
  };
  fleet_machine_init (&control->machine, &machine_options);
  proposal_relay_options_t relay_options = {
    .loop = control->options.loop,
    .network = &control->network,
    .group = &control->group,
  };
  proposal_relay_init (&control->relay, &relay_options);
  fleet_quota_options_t quota_options = {
    .loop = control->options.loop,
    .network = &control->network,
    .group = &control->group,
    .counters = control->options.counters,
  };
  fleet_quota_init (&control->quota, &quota_options);
  group_membership_options_t membership_options = {
    .loop = control->options.loop,
    .network = &control->network,
    .group = &control->group,
    .peer_address = control->options.peer_listen,
    .member_name = control->member_name,
    .wanted_voter_count = control->options.voter_count,
  };
  group_membership_init (&control->membership, &membership_options);
}

static void
register_counters (fleet_control_t *control)
{
  metric_registry_t *registry = control->options.counters;
  metric_register (registry, &control->announcements, METRIC_KIND_COUNTER,
                   "anvillb_announcements_total", NULL, "Announcements of targets.");
  metric_register (registry, &control->departures, METRIC_KIND_COUNTER, "anvillb_departures_total",
                   NULL, "Recorded departures of targets.");
  metric_register (registry, &control->targets_known, METRIC_KIND_GAUGE, "anvillb_targets", NULL,
                   "Targets in the registry.");
  metric_register (registry, &control->most_entries_silent, METRIC_KIND_GAUGE,
                   "anvillb_directory_most_silent", NULL,
                   "Whether callers are sent to silent entries too, as most are silent.");
}

void
fleet_control_init (fleet_control_t *control, const fleet_control_options_t *options)
{
  directory_options_t directory_options = {
    .min_active_entries = options->min_active_entries,
    .slot_rate = options->slot_rate,
    .report_timeout_us = ENTRY_REPORT_TIMEOUT_US,
  };
  *control = (fleet_control_t){ .options = *options };
  control->member_name = g_strdup_printf ("%s/%s", options->peer_listen, options->call_address);
  control->subscribers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  control->layouts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_layout);
  control->renewed_targets = g_array_new (FALSE, FALSE, sizeof (registry_target_t));
  list_init (&control->config_waiters);
  target_registry_init (&control->registry);
  entry_directory_init (&control->directory, &directory_options);
  init_network (control);
  init_group (control);
  register_counters (control);
  io_timer_init (&control->timer, on_timer);
}

void
fleet_control_destroy (fleet_control_t *control)
{
  io_timer_cancel (&control->timer);
  end_config_waits (control, INT64_MAX);
  proposal_relay_destroy (&control->relay);
  fleet_quota_destroy (&control->quota);
  replica_group_destroy (&control->group);
  fleet_machine_destroy (&control->machine);
  peer_network_destroy (&control->network);
  entry_directory_destroy (&control->directory);
  target_registry_destroy (&control->registry);
  config_redact_clear (&control->redacted);
  g_clear_pointer (&control->subscribers, g_hash_table_unref);
  g_clear_pointer (&control->layouts, g_hash_table_unref);
  g_clear_pointer (&control->renewed_targets, g_array_unref);
  g_clear_pointer (&control->member_name, g_free);
}

void
fleet_control_start (fleet_control_t *control)
{
  found_group_if_due (control);
  io_timer_set (control->options.loop, &control->timer, now_us (control) + TICK_US);
}

void
fleet_control_stop (fleet_control_t *control)
{
  control->stopping = true;
  fleet_quota_stop (&control->quota);
  group_membership_stop (&control->membership);
  group_membership_tick (&control->membership, control->options.seeds);
}

bool
fleet_control_awaits_replacement (const fleet_control_t *control)
{
  return group_membership_awaits_replacement (&control->membership);
}
