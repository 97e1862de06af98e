#include "proposal_relay.h"

#define LOG_MODULE "proposal_relay"
#include "log.h"

/* Interval at which commands are checked for a known leader and an expired deadline. */
#define CHECK_INTERVAL_US INT64_C (40000)
/* Time without a reply of the leader after which a command is sent again; several round trips and
 * syncs. */
#define RESEND_TIMEOUT_US INT64_C (300000)

#define PROPOSE_FIELD_COUNT 2
#define PROPOSED_FIELD_COUNT 3

typedef enum
{
  PENDING_WAITING, /* waits for a leader */
  PENDING_LOCAL,   /* proposed by this member */
  PENDING_REMOTE,  /* sent to the leader */
} pending_state_t;

typedef struct
{
  uint64_t id; /* of the command; key in proposal_relay_t.pending */
  GBytes *command;
  int64_t deadline_us;
  int64_t sent_us; /* last WIRE_FLEET_PROPOSE to the leader */
  pending_state_t state;
  proposal_relay_done_t done;
  void *data;
} pending_t;

/* A command that this member has proposed, for itself or for another member. */
typedef struct
{
  proposal_relay_t *relay;
  uint64_t id;          /* of the command, at the member that submitted it */
  uint64_t link_number; /* link to that member, or 0 for this member itself */
} proposal_context_t;

static int64_t
now_us (const proposal_relay_t *relay)
{
  return io_loop_now_us (relay->options.loop);
}

static void
free_pending (gpointer data)
{
  pending_t *pending = data;
  g_bytes_unref (pending->command);
  g_free (pending);
}

static void
finish (proposal_relay_t *relay, pending_t *pending, GBytes *result)
{
  proposal_relay_done_t done = pending->done;
  void *data = pending->data;
  g_hash_table_remove (relay->pending, &pending->id);
  done (data, result);
}

static void
send_result (proposal_relay_t *relay, uint64_t link_number, uint64_t id, GBytes *result)
{
  wire_writer_t writer;
  wire_writer_init (&writer, WIRE_FLEET_PROPOSED, PROPOSED_FIELD_COUNT);
  wire_write_uint (&writer, id);
  wire_write_bool (&writer, result != NULL);
  wire_write_blob (&writer, result);
  peer_network_reply_writer (relay->options.network, link_number, &writer);
}

static void
on_applied (void *data, const void *result)
{
  proposal_context_t *context = data;
  proposal_relay_t *relay = context->relay;
  GBytes *bytes = (GBytes *)result;
  if (context->link_number != 0)
    send_result (relay, context->link_number, context->id, bytes);
  else
    {
      pending_t *pending = g_hash_table_lookup (relay->pending, &context->id);
      if (pending != NULL && bytes != NULL)
        finish (relay, pending, bytes);
      else if (pending != NULL)
        pending->state = PENDING_WAITING;
    }
  g_free (context);
}

static bool
propose (proposal_relay_t *relay, GBytes *command, uint64_t link_number, uint64_t id)
{
  anv_error_t err = { 0 };
  gsize size = 0;
  const uint8_t *data = g_bytes_get_data (command, &size);
  proposal_context_t *context = g_new (proposal_context_t, 1);
  *context = (proposal_context_t){ relay, id, link_number };
  if (replica_group_propose (relay->options.group, data, size, on_applied, context, &err))
    return true;
  LOG_DEBUG ("cannot propose id=%" G_GUINT64_FORMAT " error=\"%s\"", id, err.text);
  g_free (context);
  return false;
}

/* Proposes the command of PENDING or sends it to the leader, if one is known. */
static void
try_propose (proposal_relay_t *relay, pending_t *pending)
{
  char leader[RAFT_NAME_SIZE];
  char peer_address[LINK_ADDRESS_SIZE];
  char operator_address[LINK_ADDRESS_SIZE];

  if (relay->options.group->leading)
    {
      if (propose (relay, pending->command, 0, pending->id))
        pending->state = PENDING_LOCAL;
      return;
    }
  replica_group_get_leader_name (relay->options.group, leader);
  if (leader[0] == '\0')
    return;
  wire_writer_t writer;
  replica_group_split_member_name (leader, peer_address, operator_address);
  wire_writer_init (&writer, WIRE_FLEET_PROPOSE, PROPOSE_FIELD_COUNT);
  wire_write_uint (&writer, pending->id);
  wire_write_blob (&writer, pending->command);
  peer_network_send_writer (relay->options.network, peer_address, &writer);
  pending->state = PENDING_REMOTE;
  pending->sent_us = now_us (relay);
}

static void
on_timer (io_timer_t *timer)
{
  proposal_relay_t *relay = CONTAINER_OF (timer, proposal_relay_t, timer);
  int64_t now = now_us (relay);
  g_autoptr (GList) all = g_hash_table_get_values (relay->pending);

  for (GList *element = all; element != NULL; element = element->next)
    {
      pending_t *pending = element->data;
      bool resend = pending->state == PENDING_REMOTE && now - pending->sent_us >= RESEND_TIMEOUT_US;
      if (now >= pending->deadline_us)
        {
          LOG_WARNING ("outcome unknown id=%" G_GUINT64_FORMAT " state=%d", pending->id,
                       (int)pending->state);
          finish (relay, pending, NULL);
        }
      else if (pending->state == PENDING_WAITING || resend)
        try_propose (relay, pending);
    }
  if (g_hash_table_size (relay->pending) > 0)
    io_timer_set (relay->options.loop, timer, now + CHECK_INTERVAL_US);
}

void
proposal_relay_init (proposal_relay_t *relay, const proposal_relay_options_t *options)
{
  *relay = (proposal_relay_t){ .options = *options };
  relay->pending = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_pending);
  io_timer_init (&relay->timer, on_timer);
}

void
proposal_relay_destroy (proposal_relay_t *relay)
{
  io_timer_cancel (&relay->timer);
  g_autoptr (GList) all = g_hash_table_get_values (relay->pending);
  for (GList *element = all; element != NULL; element = element->next)
    finish (relay, element->data, NULL);
  g_clear_pointer (&relay->pending, g_hash_table_unref);
}

void
proposal_relay_submit (proposal_relay_t *relay, GBytes *command, int64_t deadline_us,
                       proposal_relay_done_t done, void *data)
{
  pending_t *pending = g_new0 (pending_t, 1);
  pending->id = ++relay->next_id;
  pending->command = g_bytes_ref (command);
  pending->deadline_us = deadline_us;
  pending->done = done;
  pending->data = data;
  g_hash_table_insert (relay->pending, &pending->id, pending);
  try_propose (relay, pending);
  io_timer_set (relay->options.loop, &relay->timer, now_us (relay) + CHECK_INTERVAL_US);
}

static void
receive_propose (proposal_relay_t *relay, const link_t *link, wire_reader_t *reader)
{
  uint64_t id = wire_read_uint (reader);
  GBytes *command = wire_read_blob (reader);
  bool valid = wire_reader_finish (reader, NULL) && command != NULL;
  if (valid && !propose (relay, command, link->sequence_number, id))
    send_result (relay, link->sequence_number, id, NULL);
  if (command != NULL)
    g_bytes_unref (command);
}

static void
receive_proposed (proposal_relay_t *relay, wire_reader_t *reader)
{
  uint64_t id = wire_read_uint (reader);
  bool has_result = wire_read_bool (reader);
  GBytes *result = wire_read_blob (reader);
  bool valid = wire_reader_finish (reader, NULL);
  pending_t *pending = g_hash_table_lookup (relay->pending, &id);
  /* An empty result is decoded as NULL. */
  if (result == NULL)
    result = g_bytes_new (NULL, 0);
  if (valid && pending != NULL && has_result)
    finish (relay, pending, result);
  else if (valid && pending != NULL && pending->state == PENDING_REMOTE)
    pending->state = PENDING_WAITING;
  g_bytes_unref (result);
}

bool
proposal_relay_receive (proposal_relay_t *relay, const link_t *link, wire_type_t type,
                        wire_reader_t *reader)
{
  if (type == WIRE_FLEET_PROPOSE)
    receive_propose (relay, link, reader);
  else if (type == WIRE_FLEET_PROPOSED)
    receive_proposed (relay, reader);
  else
    return false;
  return true;
}
