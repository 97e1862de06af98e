#include "claim_client.h"

#include <string.h>

#define MAX_RELAY_HOPS 1

/* Messages that a call sends immediately after replies, between two timed messages. Without a
 * bound, members with outdated hints that name each other would cause an endless exchange. */
#define MAX_IMMEDIATE_SENDS 2

typedef struct
{
  list_node_t node;
  uint64_t id;
  claim_command_t command;
  int64_t next_send_us;
  int64_t deadline_us; /* INT64_MAX for a background call. With a time limit, a release would be
                          lost when the process is paused for longer than the limit. */
  size_t sent_count;   /* messages sent by this call */
  int immediate_send_count; /* since the last message sent by the timer */
  size_t asked_member;      /* index of the member asked last; member_count if a relay or a hinted
                               address was used */
  char leader_hint[CLAIM_ADDRESS_SIZE];
  claim_done_t done;
  void *data;
} claim_call_t;

static void
free_call (gpointer data)
{
  claim_call_t *call = data;
  list_remove (&call->node);
  claim_command_clear (&call->command);
  g_free (call);
}

static bool
should_relay (const claim_client_t *client, const claim_call_t *call)
{
  /* After each member was asked once, every second message goes through a peer entry, because the
   * link of this entry to the group may work in one direction only. */
  return call->sent_count >= client->member_count && call->sent_count % 2 == 0;
}

static bool
is_background (const claim_call_t *call)
{
  return call->command.type != CLAIM_COMMAND_GRANT;
}

/* Returns the time until the next message. A background call may go on for hours, so its interval
 * doubles with each message after all members were asked. */
static int64_t
retry_interval_us (const claim_client_t *client, const claim_call_t *call)
{
  int64_t interval_us = client->options.reply_timeout_us;
  if (!is_background (call))
    return interval_us;
  for (size_t i = client->member_count; i < call->sent_count; i++)
    {
      interval_us *= 2;
      if (interval_us >= client->options.max_retry_interval_us)
        return client->options.max_retry_interval_us;
    }
  return interval_us;
}

static void
send_call (claim_client_t *client, int64_t now_us, claim_call_t *call)
{
  claim_client_io_t *io = client->options.io;
  size_t relay_entry_count = should_relay (client, call) ? io->ops->count_relays (io) : 0;
  wire_writer_t writer;
  claim_request_encode (&writer, call->id, relay_entry_count > 0 ? MAX_RELAY_HOPS : 0,
                        &call->command);
  const uint8_t *data = (const uint8_t *)writer.buffer.data;
  call->asked_member = client->member_count;

  if (relay_entry_count > 0)
    {
      io->ops->send_to_relay (io, (call->id + call->sent_count) % relay_entry_count, data,
                              writer.buffer.size);
    }
  else if (call->leader_hint[0] != '\0')
    {
      io->ops->send_to_member (io, call->leader_hint, data, writer.buffer.size);
      call->leader_hint[0] = '\0';
    }
  else
    {
      call->asked_member = (client->preferred_member + call->sent_count) % client->member_count;
      io->ops->send_to_member (io, client->options.members[call->asked_member], data,
                               writer.buffer.size);
    }
  wire_writer_destroy (&writer);
  call->sent_count++;
  call->next_send_us = now_us + retry_interval_us (client, call);
}

static claim_call_t *
add_call (claim_client_t *client, claim_command_type_t type, const uint8_t *key,
          const uint8_t *nonce)
{
  claim_call_t *call = g_new0 (claim_call_t, 1);
  call->id = ++client->last_id;
  call->command.type = type;
  call->command.retention_ms = client->options.retention_ms;
  memcpy (call->command.key, key, CLAIM_KEY_SIZE);
  memcpy (call->command.nonce, nonce, CLAIM_NONCE_SIZE);
  call->deadline_us = INT64_MAX;
  if (is_background (call))
    client->background_count++;
  list_node_init (&call->node);
  list_push_back (&client->calls, &call->node);
  g_hash_table_insert (client->by_id, &call->id, call);
  return call;
}

static void
end_call (claim_client_t *client, claim_call_t *call, const claim_result_t *result)
{
  claim_done_t done = call->done;
  void *data = call->data;
  claim_result_t copy;

  if (is_background (call))
    client->background_count--;
  claim_result_copy (&copy, result);
  g_hash_table_remove (client->by_id, &call->id);
  if (done != NULL)
    done (data, &copy);
  claim_result_clear (&copy);
}

/* Ends a request for a claim with CLAIM_RESULT_UNAVAILABLE. Releases the claim, because the group
 * may have recorded the grant. */
static void
give_up (claim_client_t *client, int64_t now_us, claim_call_t *call)
{
  claim_result_t result = { .type = CLAIM_RESULT_UNAVAILABLE };
  claim_client_release (client, now_us, call->command.key, call->command.nonce);
  end_call (client, call, &result);
}

void
claim_client_init (claim_client_t *client, const claim_client_options_t *options)
{
  memset (client, 0, sizeof (*client));
  client->options = *options;
  while (options->members[client->member_count] != NULL)
    client->member_count++;
  list_init (&client->calls);
  client->by_id = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_call);
}

void
claim_client_destroy (claim_client_t *client)
{
  g_clear_pointer (&client->by_id, g_hash_table_unref);
}

uint64_t
claim_client_request_grant (claim_client_t *client, int64_t now_us, const uint8_t *key,
                            const uint8_t *nonce, const uint8_t *body_digest, int64_t deadline_us,
                            uint64_t in_progress_timeout_ms, claim_done_t done, void *data)
{
  if (client->background_count >= client->options.max_background_calls)
    return 0;
  claim_call_t *call = add_call (client, CLAIM_COMMAND_GRANT, key, nonce);
  memcpy (call->command.body_digest, body_digest, CLAIM_DIGEST_SIZE);
  call->command.in_progress_timeout_ms = in_progress_timeout_ms;
  call->deadline_us = MIN (deadline_us, now_us + client->options.grant_validity_us);
  call->done = done;
  call->data = data;
  uint64_t id = call->id;
  send_call (client, now_us, call);
  return id;
}

void
claim_client_record_outcome (claim_client_t *client, int64_t now_us, const uint8_t *key,
                             const uint8_t *nonce, uint32_t status, GBytes *headers, GBytes *body,
                             claim_done_t done, void *data)
{
  claim_call_t *call = add_call (client, CLAIM_COMMAND_OUTCOME, key, nonce);
  call->command.status = status;
  call->command.headers = headers != NULL ? g_bytes_ref (headers) : NULL;
  call->command.body = body != NULL ? g_bytes_ref (body) : NULL;
  call->done = done;
  call->data = data;
  send_call (client, now_us, call);
}

void
claim_client_release (claim_client_t *client, int64_t now_us, const uint8_t *key,
                      const uint8_t *nonce)
{
  claim_call_t *call = add_call (client, CLAIM_COMMAND_RELEASE, key, nonce);
  send_call (client, now_us, call);
}

void
claim_client_cancel (claim_client_t *client, int64_t now_us, uint64_t call_id)
{
  claim_call_t *call = g_hash_table_lookup (client->by_id, &call_id);
  if (call == NULL)
    return;
  call->done = NULL;
  give_up (client, now_us, call);
}

static void
send_immediately (claim_client_t *client, int64_t now_us, claim_call_t *call)
{
  if (call->immediate_send_count >= MAX_IMMEDIATE_SENDS)
    return;
  call->immediate_send_count++;
  send_call (client, now_us, call);
}

static void
follow_hint (claim_client_t *client, int64_t now_us, claim_call_t *call, const char *leader_address)
{
  g_strlcpy (call->leader_hint, leader_address, sizeof (call->leader_hint));
  for (size_t i = 0; i < client->member_count; i++)
    {
      if (strcmp (client->options.members[i], leader_address) == 0)
        client->preferred_member = i;
    }
  /* A reply without an address means that the group has no leader yet. The call then waits for its
   * timer. */
  if (leader_address[0] != '\0')
    send_immediately (client, now_us, call);
}

void
claim_client_handle_reply (claim_client_t *client, int64_t now_us, uint64_t request_id,
                           const claim_result_t *result)
{
  claim_call_t *call = g_hash_table_lookup (client->by_id, &request_id);
  if (call == NULL || result->type == CLAIM_RESULT_UNAVAILABLE)
    return;
  if (result->type == CLAIM_RESULT_NOT_LEADER)
    {
      follow_hint (client, now_us, call, result->leader_address);
      return;
    }
  if (result->type == CLAIM_RESULT_STALE)
    {
      call->command.generation = MAX (call->command.generation, result->generation);
      send_immediately (client, now_us, call);
      return;
    }
  /* Later calls ask this member first. Otherwise each call might first wait for a dead member. */
  if (call->asked_member < client->member_count)
    client->preferred_member = call->asked_member;
  bool held_by_other
      = result->type == CLAIM_RESULT_IN_PROGRESS || result->type == CLAIM_RESULT_UNKNOWN;
  if (call->command.type == CLAIM_COMMAND_GRANT && held_by_other && call->sent_count > 1)
    {
      /* Another copy of this GRANT command may have been granted after this reply was sent. */
      claim_client_release (client, now_us, call->command.key, call->command.nonce);
    }
  /* The dispatch must start within the validity of the grant, which counts from the time when the
   * GRANT command was first sent. A process that was paused in between must not use an expired
   * grant. */
  if (now_us >= call->deadline_us)
    {
      give_up (client, now_us, call);
      return;
    }
  end_call (client, call, result);
}

int64_t
claim_client_tick (claim_client_t *client, int64_t now_us)
{
  int64_t next_us = INT64_MAX;
  g_autoptr (GArray) expired = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  LIST_FOREACH (&client->calls, node)
  {
    claim_call_t *call = CONTAINER_OF (node, claim_call_t, node);
    if (now_us >= call->deadline_us)
      {
        g_array_append_val (expired, call->id);
        continue;
      }
    if (now_us >= call->next_send_us)
      {
        call->immediate_send_count = 0;
        send_call (client, now_us, call);
      }
    next_us = MIN (next_us, MIN (call->next_send_us, call->deadline_us));
  }
  /* Callbacks may add or cancel calls, so they run after the loop, and each call is looked up
   * again. */
  for (guint i = 0; i < expired->len; i++)
    {
      claim_call_t *call
          = g_hash_table_lookup (client->by_id, &g_array_index (expired, uint64_t, i));
      if (call != NULL)
        give_up (client, now_us, call);
      next_us = now_us;
    }
  return next_us;
}

size_t
claim_client_pending_count (const claim_client_t *client)
{
  return g_hash_table_size (client->by_id);
}
