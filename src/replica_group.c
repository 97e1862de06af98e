#include "replica_group.h"

#include <string.h>

#define LOG_MODULE "replica_group"
#include "log.h"
#include "raft_wire.h"

#define TICK_INTERVAL_US INT64_C (20000)
/* Time between two attempts to open the files of a member whose disk fails. */
#define REOPEN_INTERVAL_US INT64_C (500000)
/* A member that has not replied to the leader for this time does not count as a spare voter. */
#define CONTACT_TIMEOUT_US INT64_C (1000000)

/* A proposal or read that has not been completed. */
typedef struct
{
  uint64_t key;  /* in PROPOSALS the index of the entry, in READS the id of the read */
  uint64_t term; /* of a proposal */
  replica_group_done_t done;
  void *data;
} pending_t;

static int64_t
now_us (const replica_group_t *group)
{
  return io_loop_now_us (group->options.loop);
}

void
replica_group_split_member_name (const char *name, char *peer_address, char *operator_address)
{
  const char *slash = strchr (name, '/');
  size_t length = slash != NULL ? (size_t)(slash - name) : strlen (name);
  g_strlcpy (peer_address, name, MIN (length + 1, LINK_ADDRESS_SIZE));
  g_strlcpy (operator_address, slash != NULL ? slash + 1 : "", LINK_ADDRESS_SIZE);
}

static void
send_message (raft_io_t *io, const raft_message_t *message)
{
  replica_group_t *group = CONTAINER_OF (io, replica_group_t, io);
  raft_status_t status;
  wire_writer_t writer;
  char peer_address[LINK_ADDRESS_SIZE];
  char operator_address[LINK_ADDRESS_SIZE];

  raft_get_status (&group->raft, &status);
  const raft_member_t *member = raft_status_find_member (&status, message->to);
  const uint64_t *number = g_hash_table_lookup (group->link_numbers, &message->to);
  raft_wire_encode (message, &writer);
  if (member != NULL)
    {
      replica_group_split_member_name (member->name, peer_address, operator_address);
      peer_network_send_writer (group->options.network, peer_address, &writer);
    }
  else if (number != NULL)
    /* A new member knows no addresses until it has received a configuration entry. */
    peer_network_reply_writer (group->options.network, *number, &writer);
  else
    wire_writer_destroy (&writer);
}

/* Empties *PENDING, which holds proposals or reads, and completes each without a result. */
static void
fail_all (GHashTable **pending)
{
  GHashTable *failed = *pending;
  *pending = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, failed);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      pending_t *item = value;
      item->done (item->data, NULL);
    }
  g_hash_table_unref (failed);
}

static void
on_role_changed (raft_io_t *io, raft_role_t role, uint64_t term, uint64_t leader)
{
  replica_group_t *group = CONTAINER_OF (io, replica_group_t, io);
  bool leading = role == RAFT_LEADER;

  LOG_NOTICE ("role group=%s role=%s term=%" G_GUINT64_FORMAT " leader=%016" G_GINT64_MODIFIER "x",
              group->options.name, raft_role_name (role), term, leader);
  group->term = term;
  if (leading == group->leading)
    return;
  group->leading = leading;
  metric_set (&group->is_leader, leading);
  metric_inc (&group->leader_changes);
  if (!leading)
    fail_all (&group->proposals);
  if (group->options.on_leadership != NULL)
    group->options.on_leadership (group->options.data, leading);
}

static void
on_read_done (raft_io_t *io, uint64_t read_id, bool ok)
{
  static const char confirmed[] = "confirmed";
  replica_group_t *group = CONTAINER_OF (io, replica_group_t, io);
  pending_t *read = g_hash_table_lookup (group->reads, &read_id);
  if (read == NULL)
    return;
  replica_group_done_t done = read->done;
  void *data = read->data;
  g_hash_table_remove (group->reads, &read_id);
  done (data, ok ? confirmed : NULL);
}

static const raft_io_ops_t io_ops = {
  .send = send_message,
  .role_changed = on_role_changed,
  .read_done = on_read_done,
};

static uint64_t
random_id (void)
{
  uint64_t id = 0;
  while (id == 0)
    id = (uint64_t)g_random_int () << 32 | g_random_int ();
  return id;
}

/* Returns whether the disk may work later without a change to the files. */
static bool
is_disk_failure (const anv_error_t *err)
{
  return err->domain == ANV_ERROR_STORAGE
         && (err->code == STORAGE_ERROR_FULL || err->code == STORAGE_ERROR_IO
             || err->code == STORAGE_ERROR_FAILED);
}

/* Loads the files of the member and starts it. The state machine keeps its state if the disk cannot
 * be used. */
static bool
open_member (replica_group_t *group, anv_error_t *err)
{
  raft_options_t options = RAFT_OPTIONS_DEFAULT;
  raft_meta_t meta;
  raft_status_t status;

  options.name = group->options.name;
  options.group = group->options.group_number;
  options.new_id = group->options.initial_id != 0 ? group->options.initial_id : random_id ();
  options.seed = random_id ();
  options.manual_promotion = group->options.manual_promotion;
  /* Also writes the file, which shows whether the disk can be used. */
  if (!raft_meta_load (group->options.store, options.name, options.new_id, &meta, err))
    return false;
  group->options.reset_machine (group->options.data);
  if (!raft_init (&group->raft, &options, &group->io, now_us (group), err))
    return false;
  group->started = true;
  group->waiting_for_disk = false;
  raft_get_status (&group->raft, &status);
  LOG_NOTICE ("member group=%s id=%016" G_GINT64_MODIFIER "x applied=%" G_GUINT64_FORMAT
              " last=%" G_GUINT64_FORMAT,
              group->options.name, status.id, status.applied, status.last_index);
  io_timer_set (group->options.loop, &group->timer, now_us (group));
  return true;
}

static void
close_member (replica_group_t *group)
{
  io_timer_cancel (&group->timer);
  io_deferred_cancel (&group->flush);
  if (!group->started)
    return;
  group->started = false;
  group->leading = false;
  metric_set (&group->is_leader, 0);
  metric_set (&group->voters, 0);
  metric_set (&group->learners, 0);
  metric_set (&group->following_voters, 0);
  metric_set (&group->spare_voters, 0);
  metric_set (&group->disk_usable, 0);
  fail_all (&group->proposals);
  fail_all (&group->reads);
  raft_destroy (&group->raft);
}

static void
wait_for_disk (replica_group_t *group, const anv_error_t *err)
{
  if (!group->waiting_for_disk)
    LOG_ERROR ("disk cannot be used, the member waits group=%s error=\"%s\"", group->options.name,
               err->text);
  group->waiting_for_disk = true;
  io_timer_set (group->options.loop, &group->timer, now_us (group) + REOPEN_INTERVAL_US);
}

/* Returns whether the member still works. If not, closes it, and opens it again when the disk can
 * be used. Fails the task for damaged or inconsistent files. */
static bool
check_failure (replica_group_t *group)
{
  const anv_error_t *failure = raft_failure (&group->raft);
  if (failure == NULL)
    return true;
  if (!is_disk_failure (failure))
    {
      task_fail (&group->task, failure);
      return false;
    }
  anv_error_t err = *failure;
  close_member (group);
  wait_for_disk (group, &err);
  return false;
}

static void
reopen_member (replica_group_t *group)
{
  anv_error_t err = { 0 };
  if (open_member (group, &err))
    return;
  if (is_disk_failure (&err))
    wait_for_disk (group, &err);
  else
    task_fail (&group->task, &err);
}

static void
on_flush (io_deferred_t *deferred)
{
  replica_group_t *group = CONTAINER_OF (deferred, replica_group_t, flush);
  if (!group->started)
    return;
  raft_flush (&group->raft, now_us (group));
  check_failure (group);
}

typedef struct
{
  int64_t voters;
  int64_t learners;
  int64_t following_voters; /* have synced all that is committed, including this member */
  int64_t spare_voters;     /* that follow and reply, beyond a majority */
} member_counts_t;

/* Counts the members at the leader. */
static member_counts_t
count_members (const raft_status_t *status, int64_t now)
{
  member_counts_t counts = { 0 };
  int64_t replying_voters = 0;
  for (size_t i = 0; i < status->peer_count; i++)
    {
      const raft_peer_t *peer = &status->peers[i];
      bool self = peer->member.id == status->id;
      uint64_t synced = self ? status->synced_index : peer->match_index;
      bool follows = peer->member.voter && synced >= status->commit_index;
      counts.voters += peer->member.voter;
      counts.learners += !peer->member.voter;
      counts.following_voters += follows;
      replying_voters += follows && (self || now - peer->last_reply_us < CONTACT_TIMEOUT_US);
    }
  counts.spare_voters = MAX (replying_voters - (counts.voters / 2 + 1), 0);
  return counts;
}

static void
update_metrics (replica_group_t *group)
{
  raft_status_t status;
  member_counts_t counts = { 0 };
  raft_get_status (&group->raft, &status);
  if (status.role == RAFT_LEADER)
    counts = count_members (&status, now_us (group));
  metric_set (&group->disk_usable, !status.disk_full);
  metric_set (&group->voters, counts.voters);
  metric_set (&group->learners, counts.learners);
  metric_set (&group->following_voters, counts.following_voters);
  metric_set (&group->spare_voters, counts.spare_voters);
}

static void
on_timer (io_timer_t *timer)
{
  replica_group_t *group = CONTAINER_OF (timer, replica_group_t, timer);
  if (!group->started)
    {
      reopen_member (group);
      return;
    }
  raft_tick (&group->raft, now_us (group));
  if (!check_failure (group))
    return;
  update_metrics (group);
  io_timer_set (group->options.loop, timer, now_us (group) + TICK_INTERVAL_US);
}

static bool
start (task_t *task, anv_error_t *err)
{
  replica_group_t *group = (replica_group_t *)task;
  anv_error_t local = { 0 };
  if (open_member (group, &local))
    return true;
  if (is_disk_failure (&local))
    {
      wait_for_disk (group, &local);
      return true;
    }
  if (err != NULL)
    *err = local;
  return false;
}

static void
receive (task_t *task, const message_t *message)
{
}

static void
stop (task_t *task)
{
  close_member ((replica_group_t *)task);
}

static const task_ops_t group_ops = {
  .name = "replica_group",
  .start = start,
  .receive = receive,
  .stop = stop,
};

void
replica_group_init (replica_group_t *group, const replica_group_options_t *options,
                    GMainContext *context)
{
  *group = (replica_group_t){ .options = *options };
  group->io = (raft_io_t){ .ops = &io_ops, .store = options->store, .machine = options->machine };
  group->proposals = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  group->reads = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  group->link_numbers = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  io_timer_init (&group->timer, on_timer);
  io_deferred_init (&group->flush, on_flush);
  task_init (&group->task, &group_ops, context);
  g_snprintf (group->labels, sizeof (group->labels), "group=\"%s\"", options->name);
  metric_register (options->counters, &group->is_leader, METRIC_KIND_GAUGE,
                   "anvillb_group_is_leader", group->labels, "Whether this member leads.");
  metric_register (options->counters, &group->leader_changes, METRIC_KIND_COUNTER,
                   "anvillb_group_leader_changes_total", group->labels,
                   "Times this member became or ceased to be leader.");
  metric_register (options->counters, &group->following_voters, METRIC_KIND_GAUGE,
                   "anvillb_group_following_voters", group->labels,
                   "Voters that have synced all that is committed, at the leader; 0 at others.");
  metric_register (options->counters, &group->voters, METRIC_KIND_GAUGE, "anvillb_group_voters",
                   group->labels, "Voters of the group, at the leader; 0 at others.");
  metric_register (options->counters, &group->learners, METRIC_KIND_GAUGE, "anvillb_group_learners",
                   group->labels, "Members that are not voters, at the leader; 0 at others.");
  metric_register (options->counters, &group->spare_voters, METRIC_KIND_GAUGE,
                   "anvillb_group_spare_voters", group->labels,
                   "Voters that the group may lose and keep a majority, at the leader; 0 at "
                   "others.");
  metric_register (options->counters, &group->disk_usable, METRIC_KIND_GAUGE,
                   "anvillb_group_disk_usable", group->labels,
                   "Whether this member runs and its last write to the disk succeeded.");
  metric_register (options->counters, &group->proposal_counter, METRIC_KIND_COUNTER,
                   "anvillb_group_proposals_total", group->labels, "Entries proposed here.");
  metric_register (options->counters, &group->applied_counter, METRIC_KIND_COUNTER,
                   "anvillb_group_applied_total", group->labels, "Entries applied.");
}

void
replica_group_destroy (replica_group_t *group)
{
  task_destroy (&group->task);
  g_clear_pointer (&group->proposals, g_hash_table_unref);
  g_clear_pointer (&group->reads, g_hash_table_unref);
  g_clear_pointer (&group->link_numbers, g_hash_table_unref);
}

/* Stores the link of the last message from FROM, for replies to members without a known address. */
static void
store_link_number (replica_group_t *group, uint64_t from, uint64_t number)
{
  uint64_t *stored = g_hash_table_lookup (group->link_numbers, &from);
  if (stored != NULL)
    {
      *stored = number;
      return;
    }
  if (g_hash_table_size (group->link_numbers) >= RAFT_MAX_MEMBERS)
    g_hash_table_remove_all (group->link_numbers);
  g_hash_table_insert (group->link_numbers, g_memdup2 (&from, sizeof (from)),
                       g_memdup2 (&number, sizeof (number)));
}

void
replica_group_receive (replica_group_t *group, const link_t *link, const raft_message_t *message)
{
  if (!group->started)
    return;
  store_link_number (group, message->from, link->sequence_number);
  raft_receive (&group->raft, now_us (group), message);
  io_loop_defer (group->options.loop, &group->flush);
}

bool
replica_group_propose (replica_group_t *group, const uint8_t *data, size_t size,
                       replica_group_done_t done, void *done_data, anv_error_t *err)
{
  uint64_t index = 0;
  if (!group->started)
    {
      anv_error_set (err, ANV_ERROR_RAFT, RAFT_ERROR_NOT_LEADER, "the group is stopped");
      return false;
    }
  if (!raft_propose (&group->raft, now_us (group), data, size, &index, err))
    return false;

  pending_t *proposal = g_new0 (pending_t, 1);
  proposal->key = index;
  proposal->term = group->term;
  proposal->done = done;
  proposal->data = done_data;
  g_hash_table_insert (group->proposals, &proposal->key, proposal);
  metric_inc (&group->proposal_counter);
  io_loop_defer (group->options.loop, &group->flush);
  return true;
}

bool
replica_group_read (replica_group_t *group, replica_group_done_t done, void *done_data,
                    anv_error_t *err)
{
  uint64_t id = ++group->last_read_id;
  if (!group->started)
    {
      anv_error_set (err, ANV_ERROR_RAFT, RAFT_ERROR_NOT_LEADER, "the group is stopped");
      return false;
    }
  if (!raft_request_read (&group->raft, now_us (group), id, err))
    return false;
  pending_t *read = g_new0 (pending_t, 1);
  read->key = id;
  read->done = done;
  read->data = done_data;
  g_hash_table_insert (group->reads, &read->key, read);
  io_loop_defer (group->options.loop, &group->flush);
  return true;
}

bool
replica_group_in_contact (const replica_group_t *group)
{
  return group->started && raft_in_contact (&group->raft, now_us (group));
}

void
replica_group_on_applied (replica_group_t *group, uint64_t index, uint64_t term, const void *result)
{
  metric_inc (&group->applied_counter);
  pending_t *proposal = g_hash_table_lookup (group->proposals, &index);
  if (proposal == NULL)
    return;
  replica_group_done_t done = proposal->done;
  void *data = proposal->data;
  bool same_term = proposal->term == term;
  g_hash_table_remove (group->proposals, &index);
  done (data, same_term ? result : NULL);
}

static bool
check_started (const replica_group_t *group, anv_error_t *err)
{
  if (!group->started)
    anv_error_set (err, ANV_ERROR_RAFT, RAFT_ERROR_STATE, "the group is restarting");
  return group->started;
}

bool
replica_group_bootstrap (replica_group_t *group, const raft_member_t *members, size_t count,
                         anv_error_t *err)
{
  return check_started (group, err)
         && raft_bootstrap (&group->raft, now_us (group), members, count, err);
}

bool
replica_group_add_member (replica_group_t *group, const raft_member_t *member, anv_error_t *err)
{
  if (!check_started (group, err))
    return false;
  bool added = raft_add_member (&group->raft, now_us (group), member, err);
  io_loop_defer (group->options.loop, &group->flush);
  return added;
}

bool
replica_group_promote_member (replica_group_t *group, uint64_t id, anv_error_t *err)
{
  if (!check_started (group, err))
    return false;
  bool promoted = raft_promote_member (&group->raft, now_us (group), id, err);
  io_loop_defer (group->options.loop, &group->flush);
  return promoted;
}

bool
replica_group_remove_member (replica_group_t *group, uint64_t id, anv_error_t *err)
{
  if (!check_started (group, err))
    return false;
  bool removed = raft_remove_member (&group->raft, now_us (group), id, err);
  io_loop_defer (group->options.loop, &group->flush);
  return removed;
}

void
replica_group_foreach_peer (const replica_group_t *group,
                            void (*visit) (void *data, const char *peer_address), void *data)
{
  raft_status_t status;
  char own_address[LINK_ADDRESS_SIZE];
  char peer_address[LINK_ADDRESS_SIZE];
  char operator_address[LINK_ADDRESS_SIZE];
  if (!group->started)
    return;
  replica_group_split_member_name (group->options.member_name, own_address, operator_address);
  raft_get_status (&group->raft, &status);
  for (size_t i = 0; i < status.peer_count; i++)
    {
      replica_group_split_member_name (status.peers[i].member.name, peer_address, operator_address);
      if (strcmp (peer_address, own_address) != 0)
        visit (data, peer_address);
    }
}

typedef struct
{
  peer_network_t *network;
  const wire_writer_t *writer;
} broadcast_t;

static void
send_to_peer (void *data, const char *peer_address)
{
  const broadcast_t *broadcast = data;
  peer_network_send (broadcast->network, peer_address,
                     (const uint8_t *)broadcast->writer->buffer.data,
                     broadcast->writer->buffer.size);
}

void
replica_group_send_to_peers (const replica_group_t *group, const wire_writer_t *writer)
{
  broadcast_t broadcast = { group->options.network, writer };
  replica_group_foreach_peer (group, send_to_peer, &broadcast);
}

bool
replica_group_transfer_leadership (replica_group_t *group, uint64_t id, anv_error_t *err)
{
  if (!check_started (group, err))
    return false;
  bool begun = raft_transfer_leadership (&group->raft, now_us (group), id, err);
  io_loop_defer (group->options.loop, &group->flush);
  return begun;
}

void
replica_group_get_leader_name (const replica_group_t *group, char name[RAFT_NAME_SIZE])
{
  raft_status_t status;
  name[0] = '\0';
  if (!group->started)
    return;
  raft_get_status (&group->raft, &status);
  const raft_member_t *leader = raft_status_find_member (&status, status.leader_id);
  if (leader != NULL)
    g_strlcpy (name, leader->name, RAFT_NAME_SIZE);
}
