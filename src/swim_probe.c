#include "swim_internal.h"

#include <string.h>

/* Largest number of pings for other members that wait for an ack at a time. Further requests are
 * ignored. */
#define MAX_RELAYED_PINGS 64

/* Random picks to find distinct members that send the indirect pings. If they find fewer than
 * SWIM_INDIRECT_PING_COUNT, the probe continues with those. */
#define MAX_HELPER_TRIES 12

void
swim_message_init (swim_t *swim, swim_message_t *message, wire_type_t type, const char *id)
{
  const swim_member_t *to = swim_table_find (&swim->table, id);
  message->type = type;
  message->from = swim->table.self->id;
  message->to = id;
  message->seq = 0;
  message->incarnation = swim->table.self->incarnation;
  message->known_incarnation = to != NULL ? to->incarnation : 0;
  message->known_status = to != NULL ? (swim_status_t)to->status : SWIM_ALIVE;
  message->version = swim->version;
  message->digest = swim->digest;
  message->subject = "";
  message->subject_address = "";
  message->sync_stage = SWIM_SYNC_NONE;
  message->sync_data = NULL;
  message->sync_size = 0;
  message->update_count = 0;
}

/* Adds pending updates of up to SIZE bytes. */
static void
add_updates (swim_t *swim, swim_message_t *message, size_t size)
{
  list_t sent;
  list_init (&sent);
  size = MIN (size, (size_t)MAX (swim->update_tokens, 0));
  while (message->update_count < SWIM_MAX_UPDATES)
    {
      swim_member_t *member
          = swim_table_dequeue_update (&swim->table, size, swim_wire_update_size, &sent);
      if (member == NULL)
        break;
      swim_update_t *update = &message->updates[message->update_count++];
      swim_table_get_update (member, update);
      size -= swim_wire_update_size (update);
      swim->update_tokens -= (double)swim_wire_update_size (update);
    }
  swim_table_requeue_sent (&swim->table, &sent);
}

void
swim_message_send (swim_t *swim, swim_message_t *message, const char *address, bool include_self)
{
  size_t size = SWIM_MAX_UPDATE_BYTES;
  if (include_self)
    {
      swim_update_t *own_record = &message->updates[message->update_count++];
      swim_table_get_update (swim->table.self, own_record);
      size -= swim_wire_update_size (own_record);
    }
  if (message->type != WIRE_SWIM_SYNC)
    add_updates (swim, message, size);
  swim->io->send (swim->io, address, message);
}

static uint32_t
send_ping (swim_t *swim, const char *id, const char *address, bool include_self)
{
  swim_message_t message;
  swim_message_init (swim, &message, WIRE_SWIM_PING, id);
  message.seq = ++swim->last_seq;
  swim_message_send (swim, &message, address, include_self);
  return message.seq;
}

void
swim_ping_untracked (swim_t *swim, const char *id, const char *address, bool include_self)
{
  send_ping (swim, id, address, include_self);
}

void
swim_ping_random_members (swim_t *swim, bool include_self)
{
  for (int i = 0; i < SWIM_EAGER_PING_COUNT; i++)
    {
      const swim_member_t *member = swim_table_pick_random (&swim->table);
      if (member != NULL)
        swim_ping_untracked (swim, member->id, member->peer_address, include_self);
    }
}

void
swim_probe_cancel (swim_t *swim)
{
  g_clear_pointer (&swim->probe.id, g_free);
}

/* Lifeguard's local health: an instance whose probes fail may be faulty itself, so it probes less
 * often and waits longer for acks. */
static void
probe_succeeded (swim_t *swim)
{
  swim_probe_cancel (swim);
  if (swim->health_score > 0)
    swim->health_score--;
}

static void
probe_failed (swim_t *swim, int64_t now_us)
{
  swim_member_t *member = swim_table_find (&swim->table, swim->probe.id);
  swim_probe_cancel (swim);
  swim->health_score = MIN (swim->health_score + 1, swim->options.max_health_score);
  if (member != NULL && member->status == SWIM_ALIVE)
    swim_suspect (swim, now_us, member, member->incarnation);
}

/* Takes own_domain_share of the probed members from the own failure domain, the others from other
 * domains. */
static swim_member_t *
next_probed_member (swim_t *swim)
{
  swim->own_domain_credit += swim->options.own_domain_share;
  bool own_domain = swim->own_domain_credit >= 1;
  if (own_domain)
    swim->own_domain_credit -= 1;
  return swim_table_next_probe (&swim->table, own_domain);
}

static void
start_probe (swim_t *swim, int64_t now_us)
{
  int64_t scale = 1 + (int64_t)swim->health_score;
  swim->next_period_us = now_us + SWIM_PERIOD_US * scale;
  const swim_member_t *probed = next_probed_member (swim);
  if (probed == NULL)
    return;
  swim->probe.id = g_strdup (probed->id);
  swim->probe.indirect_ping_us = now_us + SWIM_ACK_TIMEOUT_US * scale;
  swim->probe.expiry_us = swim->next_period_us;
  swim->probe.seq = send_ping (swim, probed->id, probed->peer_address, false);
}

static void
send_ping_requests (swim_t *swim)
{
  const swim_member_t *probed = swim_table_find (&swim->table, swim->probe.id);
  const swim_member_t *helpers[SWIM_INDIRECT_PING_COUNT];
  int count = 0;
  swim->probe.indirect_ping_us = INT64_MAX;
  for (int tries = 0;
       probed != NULL && tries < MAX_HELPER_TRIES && count < SWIM_INDIRECT_PING_COUNT; tries++)
    {
      const swim_member_t *helper = swim_table_pick_random (&swim->table);
      bool usable = helper != NULL && helper != probed && helper->status == SWIM_ALIVE;
      for (int i = 0; i < count; i++)
        usable = usable && helpers[i] != helper;
      if (!usable)
        continue;
      helpers[count++] = helper;
      swim_message_t message;
      swim_message_init (swim, &message, WIRE_SWIM_PING_REQ, helper->id);
      message.seq = swim->probe.seq;
      message.subject = probed->id;
      message.subject_address = probed->peer_address;
      swim_message_send (swim, &message, helper->peer_address, false);
    }
}

static void
expire_relayed_pings (swim_t *swim, int64_t now_us)
{
  for (guint i = swim->relayed_pings->len; i > 0; i--)
    {
      const swim_relayed_ping_t *relay = g_ptr_array_index (swim->relayed_pings, i - 1);
      if (relay->expiry_us <= now_us)
        g_ptr_array_remove_index_fast (swim->relayed_pings, i - 1);
    }
}

void
swim_probe_tick (swim_t *swim, int64_t now_us)
{
  expire_relayed_pings (swim, now_us);
  if (swim->probe.id != NULL && now_us >= swim->probe.expiry_us)
    probe_failed (swim, now_us);
  if (swim->probe.id != NULL && now_us >= swim->probe.indirect_ping_us)
    send_ping_requests (swim);
  if (swim->probe.id == NULL && now_us >= swim->next_period_us)
    start_probe (swim, now_us);
}

void
swim_receive_ping (swim_t *swim, const char *source, const swim_message_t *message)
{
  swim_message_t ack;
  swim_message_init (swim, &ack, WIRE_SWIM_ACK, message->from);
  ack.seq = message->seq;
  bool include_self = message->known_incarnation != swim->table.self->incarnation;
  swim_message_send (swim, &ack, source, include_self);
}

void
swim_relayed_ping_free (void *data)
{
  swim_relayed_ping_t *relay = data;
  g_free (relay->origin);
  g_free (relay->origin_address);
  g_free (relay->subject);
  g_free (relay);
}

void
swim_receive_ping_req (swim_t *swim, int64_t now_us, const char *source,
                       const swim_message_t *message)
{
  if (swim->relayed_pings->len >= MAX_RELAYED_PINGS || message->subject_address[0] == '\0')
    return;
  swim_relayed_ping_t *relay = g_new0 (swim_relayed_ping_t, 1);
  relay->origin_seq = message->seq;
  relay->origin = g_strdup (message->from);
  relay->origin_address = g_strdup (source);
  relay->subject = g_strdup (message->subject);
  relay->expiry_us = now_us + SWIM_PERIOD_US * (1 + (int64_t)swim->options.max_health_score);
  relay->seq = send_ping (swim, message->subject, message->subject_address, false);
  g_ptr_array_add (swim->relayed_pings, relay);
}

static void
forward_ack (swim_t *swim, const swim_relayed_ping_t *relay)
{
  swim_message_t ack;
  swim_message_init (swim, &ack, WIRE_SWIM_ACK, relay->origin);
  ack.seq = relay->origin_seq;
  ack.subject = relay->subject;
  swim_message_send (swim, &ack, relay->origin_address, false);
}

void
swim_receive_ack (swim_t *swim, const swim_message_t *message)
{
  const char *subject = message->subject[0] != '\0' ? message->subject : message->from;
  if (swim->probe.id != NULL && message->seq == swim->probe.seq
      && strcmp (subject, swim->probe.id) == 0)
    {
      probe_succeeded (swim);
      return;
    }
  for (guint i = 0; i < swim->relayed_pings->len; i++)
    {
      const swim_relayed_ping_t *relay = g_ptr_array_index (swim->relayed_pings, i);
      if (relay->seq != message->seq || strcmp (relay->subject, message->from) != 0)
        continue;
      forward_ack (swim, relay);
      g_ptr_array_remove_index_fast (swim->relayed_pings, i);
      return;
    }
}
