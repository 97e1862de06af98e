#include "group_membership.h"

#include <string.h>

#define LOG_MODULE "group_membership"
#include "log.h"

#define US_PER_MS 1000
#define REQUEST_FIELD_COUNT 2
#define MAY_STOP_FIELD_COUNT 1
/* A change that cannot be started is tried again several times a second. */
#define REFUSAL_LOG_INTERVAL_US INT64_C (1000000)

static int64_t
now_us (const group_membership_t *membership)
{
  return io_loop_now_us (membership->options.loop);
}

/* Returns this instance as a member with the identity ID. */
static raft_member_t
make_self (const group_membership_t *membership, uint64_t id)
{
  raft_member_t self = { .id = id };
  g_strlcpy (self.name, membership->options.member_name, sizeof (self.name));
  return self;
}

static void
encode_request (group_repair_request_t request, const raft_member_t *member, wire_writer_t *writer)
{
  wire_type_t type = request == GROUP_REPAIR_REQUEST_JOIN ? WIRE_FLEET_JOIN : WIRE_FLEET_LEAVE;
  wire_writer_init (writer, type, REQUEST_FIELD_COUNT);
  wire_write_uint (writer, member->id);
  wire_write_string (writer, member->name);
}

/* Sends an encoded message to MEMBER, and destroys WRITER. */
static void
send_to_member (group_membership_t *membership, const raft_member_t *member, wire_writer_t *writer)
{
  char peer_address[LINK_ADDRESS_SIZE];
  char call_address[LINK_ADDRESS_SIZE];
  replica_group_split_member_name (member->name, peer_address, call_address);
  peer_network_send_writer (membership->options.network, peer_address, writer);
}

/* Sends a request of this instance, whose identity is ID, to all members and seeds. */
static void
send_request (group_membership_t *membership, group_repair_request_t request, uint64_t id,
              const GPtrArray *seeds)
{
  const group_membership_options_t *options = &membership->options;
  raft_member_t self = make_self (membership, id);
  wire_writer_t writer;
  encode_request (request, &self, &writer);
  replica_group_send_to_peers (options->group, &writer);
  for (guint i = 0; i < seeds->len; i++)
    {
      const char *seed = g_ptr_array_index (seeds, i);
      if (seed != NULL && strcmp (seed, options->peer_address) != 0)
        peer_network_send (options->network, seed, (const uint8_t *)writer.buffer.data,
                           writer.buffer.size);
    }
  wire_writer_destroy (&writer);
}

static void
request_to_leave (group_membership_t *membership, const raft_status_t *status,
                  const GPtrArray *seeds)
{
  if (status->role != RAFT_LEADER)
    {
      send_request (membership, GROUP_REPAIR_REQUEST_LEAVE, status->id, seeds);
      return;
    }
  raft_member_t self = make_self (membership, status->id);
  group_repair_receive_request (&membership->repair, status, now_us (membership),
                                GROUP_REPAIR_REQUEST_LEAVE, &self,
                                membership->options.peer_address);
}

/* Starts the change that DECISION selects. */
static bool
start_change (group_membership_t *membership, const group_repair_decision_t *decision,
              anv_error_t *err)
{
  replica_group_t *group = membership->options.group;
  switch (decision->action)
    {
    case GROUP_REPAIR_ACTION_ADD:
      return replica_group_add_member (group, &membership->repair.joining, err);
    case GROUP_REPAIR_ACTION_PROMOTE:
      return replica_group_promote_member (group, decision->id, err);
    case GROUP_REPAIR_ACTION_REMOVE:
      return replica_group_remove_member (group, decision->id, err);
    case GROUP_REPAIR_ACTION_TRANSFER:
      return replica_group_transfer_leadership (group, decision->id, err);
    case GROUP_REPAIR_ACTION_NONE:
      break;
    }
  return true;
}

/* Logs the change of MEMBER that DECISION selects. ERR tells why it was not STARTED. */
static void
log_change (group_membership_t *membership, const group_repair_decision_t *decision,
            const raft_member_t *member, bool started, const anv_error_t *err)
{
  static const char *const action_names[] = { "none", "add", "promote", "remove", "transfer" };
  int64_t now = now_us (membership);
  if (!started && now - membership->last_refusal_log_us < REFUSAL_LOG_INTERVAL_US)
    return;
  if (!started)
    membership->last_refusal_log_us = now;
  LOG_NOTICE ("member action=%s id=%016" G_GINT64_MODIFIER "x name=%s voter=%d reason=\"%s\" "
              "silent_ms=%" G_GINT64_FORMAT " result=\"%s\"",
              action_names[decision->action], member->id, member->name, member->voter,
              decision->reason, decision->silent_us / US_PER_MS, started ? "started" : err->text);
}

/* Starts the change that is due if this instance leads. */
static void
change_members (group_membership_t *membership)
{
  raft_status_t status;
  anv_error_t err = { 0 };

  raft_get_status (&membership->options.group->raft, &status);
  group_repair_decision_t decision
      = group_repair_next_change (&membership->repair, &status, now_us (membership));
  if (decision.action == GROUP_REPAIR_ACTION_NONE)
    return;
  const raft_member_t *found = decision.action == GROUP_REPAIR_ACTION_ADD
                                   ? &membership->repair.joining
                                   : raft_status_find_member (&status, decision.id);
  raft_member_t member = *found; /* STATUS is not valid after the change */
  bool started = start_change (membership, &decision, &err);
  log_change (membership, &decision, &member, started, &err);
}

void
group_membership_tick (group_membership_t *membership, const GPtrArray *seeds)
{
  raft_status_t status;
  if (!membership->options.group->started)
    return;
  raft_get_status (&membership->options.group->raft, &status);
  if (membership->stopping && !membership->may_stop)
    request_to_leave (membership, &status, seeds);
  else if (!membership->stopping
           && group_repair_needs_request (&membership->repair, &status, now_us (membership)))
    send_request (membership, GROUP_REPAIR_REQUEST_JOIN, status.id, seeds);
  change_members (membership);
}

void
group_membership_stop (group_membership_t *membership)
{
  membership->stopping = true;
}

bool
group_membership_awaits_replacement (const group_membership_t *membership)
{
  raft_status_t status;
  if (!membership->options.group->started || membership->may_stop)
    return false;
  raft_get_status (&membership->options.group->raft, &status);
  return group_repair_must_ask_to_leave (&membership->repair, &status);
}

/* Tells MEMBER, which asks to leave, that it may stop, if this instance leads and that is so. */
static void
answer_leaver (group_membership_t *membership, const raft_member_t *member)
{
  raft_status_t status;
  wire_writer_t writer;
  raft_get_status (&membership->options.group->raft, &status);
  if (!group_repair_may_stop (&membership->repair, &status, now_us (membership), member->id))
    return;
  wire_writer_init (&writer, WIRE_FLEET_MAY_STOP, MAY_STOP_FIELD_COUNT);
  wire_write_uint (&writer, member->id);
  send_to_member (membership, member, &writer);
}

static void
receive_request (group_membership_t *membership, const link_t *link, group_repair_request_t request,
                 wire_reader_t *reader)
{
  raft_member_t member = { .id = wire_read_uint (reader) };
  raft_status_t status;
  wire_writer_t writer;
  wire_read_string_into (reader, member.name, sizeof (member.name));
  if (!wire_reader_finish (reader, NULL) || !membership->options.group->started)
    return;
  raft_get_status (&membership->options.group->raft, &status);
  const raft_member_t *leader = group_repair_receive_request (
      &membership->repair, &status, now_us (membership), request, &member, link->peer.address);
  if (leader != NULL)
    {
      encode_request (request, &member, &writer);
      send_to_member (membership, leader, &writer);
    }
  change_members (membership);
  if (request == GROUP_REPAIR_REQUEST_LEAVE)
    answer_leaver (membership, &member);
}

static void
receive_may_stop (group_membership_t *membership, const link_t *link, wire_reader_t *reader)
{
  uint64_t id = wire_read_uint (reader);
  raft_status_t status;
  if (!wire_reader_finish (reader, NULL) || !membership->options.group->started
      || !membership->stopping || membership->may_stop)
    return;
  raft_get_status (&membership->options.group->raft, &status);
  if (id != status.id)
    return;
  membership->may_stop = true;
  LOG_NOTICE ("this instance may stop leader=%s", link->peer.id);
}

bool
group_membership_receive (group_membership_t *membership, const link_t *link, wire_type_t type,
                          wire_reader_t *reader)
{
  if (type == WIRE_FLEET_JOIN)
    receive_request (membership, link, GROUP_REPAIR_REQUEST_JOIN, reader);
  else if (type == WIRE_FLEET_LEAVE)
    receive_request (membership, link, GROUP_REPAIR_REQUEST_LEAVE, reader);
  else if (type == WIRE_FLEET_MAY_STOP)
    receive_may_stop (membership, link, reader);
  else
    return false;
  return true;
}

void
group_membership_on_raft_message (group_membership_t *membership, const link_t *link,
                                  const raft_message_t *message)
{
  raft_status_t status;
  wire_writer_t writer;
  if (!membership->options.group->started || membership->stopping)
    return;
  raft_get_status (&membership->options.group->raft, &status);
  if (message->to == status.id || raft_status_find_member (&status, status.id) != NULL)
    return;
  /* The message is for an earlier identity of this instance, which has lost its disk. The sender is
   * a member, while the seeds may all have been replaced. */
  raft_member_t self = make_self (membership, status.id);
  encode_request (GROUP_REPAIR_REQUEST_JOIN, &self, &writer);
  peer_network_reply_writer (membership->options.network, link->sequence_number, &writer);
}

void
group_membership_init (group_membership_t *membership, const group_membership_options_t *options)
{
  *membership = (group_membership_t){ .options = *options };
  group_repair_init (&membership->repair, options->wanted_voter_count, now_us (membership));
}
