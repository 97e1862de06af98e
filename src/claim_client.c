#include "claim_client.h"

#include <string.h>

#define MAX_RELAYS 1
/* Messages sent at once, after a leader hint or a stale generation, between two timed attempts.
 * Members with stale hints may name each other, which would send messages without a pause. */
#define MAX_IMMEDIATE_PER_ATTEMPT 2

typedef struct
{
  list_node_t node;
  uint64_t id;
  claim_command_t command;
  int64_t retry_at_us;
  int64_t deadline_us; /* INT64_MAX for a background call: it ends with an answer only, because a
                        * time limit lost releases of a process that was stopped for longer */
  size_t attempts;     /* messages sent so far */
  int sent_at_once;    /* since the last timed attempt */
  size_t asked;        /* number of the member asked last; the member count for a relay or a hint */
  char hint[CLAIM_MAX_ADDRESS_SIZE];
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
relays_now (const claim_client_t *client, const claim_call_t *call)
{
  /* Every second message after one round of all members goes through a peer entry: the entry's own
   * link to the group may work in one direction only. */
  return call->attempts >= client->member_count && call->attempts % 2 == 0;
}

static bool
is_background (const claim_call_t *call)
{
  return call->command.type != CLAIM_COMMAND_GRANT;
}

/* A background call slows down after each member was tried, as it may go on for hours. */
static int64_t
retry_interval (const claim_client_t *client, const claim_call_t *call)
{
  int64_t interval_us = client->options.attempt_timeout_us;
  if (!is_background (call))
    return interval_us;
  for (size_t i = client->member_count; i < call->attempts; i++)
    {
      interval_us *= 2;
      if (interval_us >= client->options.max_interval_us)
        return client->options.max_interval_us;
    }
  return interval_us;
}

static void
send_call (claim_client_t *client, int64_t now_us, claim_call_t *call)
{
  claim_client_io_t *io = client->options.io;
  size_t relays = relays_now (client, call) ? io->ops->relay_count (io) : 0;
  wire_writer_t writer;
  claim_request_encode (&writer, call->id, relays > 0 ? MAX_RELAYS : 0, &call->command);
  const uint8_t *data = (const uint8_t *)writer.buffer.data;
  call->asked = client->member_count;

  if (relays > 0)
    {
      io->ops->send_relay (io, (call->id + call->attempts) % relays, data, writer.buffer.size);
    }
  else if (call->hint[0] != '\0')
    {
      io->ops->send_member (io, call->hint, data, writer.buffer.size);
      call->hint[0] = '\0';
    }
  else
    {
      call->asked = (client->preferred + call->attempts) % client->member_count;
      io->ops->send_member (io, client->options.members[call->asked], data, writer.buffer.size);
    }
  wire_writer_destroy (&writer);
  call->attempts++;
  call->retry_at_us = now_us + retry_interval (client, call);
}

static claim_call_t *
add_call (claim_client_t *client, claim_command_type_t type, const uint8_t *key,
          const uint8_t *nonce)
{
  claim_call_t *call = g_new0 (claim_call_t, 1);
  call->id = ++client->next_id;
  call->command.type = type;
  call->command.retention_ms = client->options.retention_ms;
  memcpy (call->command.key, key, CLAIM_KEY_SIZE);
  memcpy (call->command.nonce, nonce, CLAIM_NONCE_SIZE);
  call->deadline_us = INT64_MAX;
  if (is_background (call))
    client->background++;
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
    client->background--;
  claim_result_copy (&copy, result);
  g_hash_table_remove (client->by_id, &call->id);
  if (done != NULL)
    done (data, &copy);
  claim_result_clear (&copy);
}

/* Ends a call without a final answer. The group may have recorded the grant all the same. */
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
claim_client_grant (claim_client_t *client, int64_t now_us, const uint8_t *key,
                    const uint8_t *nonce, const uint8_t *body_digest, int64_t deadline_us,
                    uint64_t in_progress_ms, claim_done_t done, void *data)
{
  if (client->background >= client->options.max_background)
    return 0;
  claim_call_t *call = add_call (client, CLAIM_COMMAND_GRANT, key, nonce);
  memcpy (call->command.body_digest, body_digest, CLAIM_DIGEST_SIZE);
  call->command.deadline_ms = in_progress_ms;
  call->deadline_us = MIN (deadline_us, now_us + client->options.grant_validity_us);
  call->done = done;
  call->data = data;
  uint64_t id = call->id;
  send_call (client, now_us, call);
  return id;
}

void
claim_client_outcome (claim_client_t *client, int64_t now_us, const uint8_t *key,
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
send_at_once (claim_client_t *client, int64_t now_us, claim_call_t *call)
{
  if (call->sent_at_once >= MAX_IMMEDIATE_PER_ATTEMPT)
    return;
  call->sent_at_once++;
  send_call (client, now_us, call);
}

static void
follow_hint (claim_client_t *client, int64_t now_us, claim_call_t *call, const char *leader_address)
{
  g_strlcpy (call->hint, leader_address, sizeof (call->hint));
  for (size_t i = 0; i < client->member_count; i++)
    {
      if (strcmp (client->options.members[i], leader_address) == 0)
        client->preferred = i;
    }
  /* Without a hint the group is electing; the retry timer paces the next attempt. */
  if (leader_address[0] != '\0')
    send_at_once (client, now_us, call);
}

void
claim_client_reply (claim_client_t *client, int64_t now_us, uint64_t request_id,
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
      send_at_once (client, now_us, call);
      return;
    }
  /* Later calls start with the member that answers; otherwise each would wait for a dead one first.
   */
  if (call->asked < client->member_count)
    client->preferred = call->asked;
  bool other_holds
      = result->type == CLAIM_RESULT_IN_PROGRESS || result->type == CLAIM_RESULT_UNKNOWN;
  if (call->command.type == CLAIM_COMMAND_GRANT && other_holds && call->attempts > 1)
    {
      /* A later copy of this claim may have been granted since this reply was sent. */
      claim_client_release (client, now_us, call->command.key, call->command.nonce);
    }
  /* The dispatch must start within the validity of the grant, counted from before the claim was
   * sent: a process that was stopped in between must not act on an old grant. */
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
    claim_call_t *call = LIST_ENTRY (node, claim_call_t, node);
    if (now_us >= call->deadline_us)
      {
        g_array_append_val (expired, call->id);
        continue;
      }
    if (now_us >= call->retry_at_us)
      {
        call->sent_at_once = 0;
        send_call (client, now_us, call);
      }
    next_us = MIN (next_us, MIN (call->retry_at_us, call->deadline_us));
  }
  /* Callbacks may add or cancel calls, so they run after the loop and look up each call again. */
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
claim_client_pending (const claim_client_t *client)
{
  return g_hash_table_size (client->by_id);
}
