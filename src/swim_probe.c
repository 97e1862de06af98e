#include "swim_internal.h"

#include <string.h>

#define RELAY_LIMIT 64

/* Tries to find distinct helpers for the indirect pings; fewer helpers do no harm. */
#define HELPER_TRIES 12

void
swim_message_start (swim_t *swim, swim_message_t *message, wire_type_t type, const char *id)
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

static void
add_updates (swim_t *swim, swim_message_t *message, size_t size)
{
  list_t sent;
  list_init (&sent);
  size = MIN (size, (size_t)MAX (swim->update_tokens, 0));
  while (message->update_count < SWIM_MAX_UPDATES)
    {
      swim_member_t *member
          = swim_table_next_update (&swim->table, size, swim_wire_update_size, &sent);
      if (member == NULL)
        break;
      swim_update_t *update = &message->updates[message->update_count++];
      swim_table_get (member, update);
      size -= swim_wire_update_size (update);
      swim->update_tokens -= (double)swim_wire_update_size (update);
    }
  swim_table_end_message (&swim->table, &sent);
}

void
swim_message_send (swim_t *swim, swim_message_t *message, const char *address, bool introduce)
{
  size_t size = SWIM_UPDATE_BYTES;
  if (introduce)
    {
      swim_update_t *own = &message->updates[message->update_count++];
      swim_table_get (swim->table.self, own);
      size -= swim_wire_update_size (own);
    }
  if (message->type != WIRE_SWIM_SYNC)
    add_updates (swim, message, size);
  swim->io->send (swim->io, address, message);
}

static uint32_t
send_ping (swim_t *swim, const char *id, const char *address, bool introduce)
{
  swim_message_t message;
  swim_message_start (swim, &message, WIRE_SWIM_PING, id);
  message.seq = ++swim->next_seq;
  swim_message_send (swim, &message, address, introduce);
  return message.seq;
}

void
swim_contact (swim_t *swim, const char *id, const char *address, bool introduce)
{
  send_ping (swim, id, address, introduce);
}

void
swim_contact_some (swim_t *swim, bool introduce)
{
  for (int i = 0; i < SWIM_EAGER_PINGS; i++)
    {
      const swim_member_t *member = swim_table_random (&swim->table);
      if (member != NULL)
        swim_contact (swim, member->id, member->peer_address, introduce);
    }
}

void
swim_probe_abandon (swim_t *swim)
{
  g_clear_pointer (&swim->probe.id, g_free);
}

/* Lifeguard's local health: an instance whose probes fail probes more slowly and waits longer,
 * because the fault may be its own. */
static void
probe_succeeded (swim_t *swim)
{
  swim_probe_abandon (swim);
  if (swim->health > 0)
    swim->health--;
}

static void
probe_failed (swim_t *swim, int64_t now_us)
{
  swim_member_t *member = swim_table_find (&swim->table, swim->probe.id);
  swim_probe_abandon (swim);
  swim->health = MIN (swim->health + 1, swim->options.health_limit);
  if (member != NULL && member->status == SWIM_ALIVE)
    swim_suspect (swim, now_us, member, member->incarnation);
}

/* Alternates between the two rounds in proportion to the share of the own failure domain. */
static swim_member_t *
next_target (swim_t *swim)
{
  swim->own_credit += swim->options.own_domain_share;
  bool own = swim->own_credit >= 1;
  if (own)
    swim->own_credit -= 1;
  return swim_table_next_probe (&swim->table, own);
}

static void
start_probe (swim_t *swim, int64_t now_us)
{
  int64_t scale = 1 + (int64_t)swim->health;
  swim->next_period_us = now_us + SWIM_PERIOD_US * scale;
  const swim_member_t *target = next_target (swim);
  if (target == NULL)
    return;
  swim->probe.id = g_strdup (target->id);
  swim->probe.indirect_us = now_us + SWIM_ACK_TIMEOUT_US * scale;
  swim->probe.end_us = swim->next_period_us;
  swim->probe.seq = send_ping (swim, target->id, target->peer_address, false);
}

static void
send_indirect (swim_t *swim)
{
  const swim_member_t *target = swim_table_find (&swim->table, swim->probe.id);
  const swim_member_t *helpers[SWIM_INDIRECT_PINGS];
  int count = 0;
  swim->probe.indirect_us = INT64_MAX;
  for (int tries = 0; target != NULL && tries < HELPER_TRIES && count < SWIM_INDIRECT_PINGS;
       tries++)
    {
      const swim_member_t *helper = swim_table_random (&swim->table);
      bool usable = helper != NULL && helper != target && helper->status == SWIM_ALIVE;
      for (int i = 0; i < count; i++)
        usable = usable && helpers[i] != helper;
      if (!usable)
        continue;
      helpers[count++] = helper;
      swim_message_t message;
      swim_message_start (swim, &message, WIRE_SWIM_PING_REQ, helper->id);
      message.seq = swim->probe.seq;
      message.subject = target->id;
      message.subject_address = target->peer_address;
      swim_message_send (swim, &message, helper->peer_address, false);
    }
}

static void
expire_relays (swim_t *swim, int64_t now_us)
{
  for (guint i = swim->relays->len; i > 0; i--)
    {
      const swim_relay_t *relay = g_ptr_array_index (swim->relays, i - 1);
      if (relay->end_us <= now_us)
        g_ptr_array_remove_index_fast (swim->relays, i - 1);
    }
}

void
swim_probe_tick (swim_t *swim, int64_t now_us)
{
  expire_relays (swim, now_us);
  if (swim->probe.id != NULL && now_us >= swim->probe.end_us)
    probe_failed (swim, now_us);
  if (swim->probe.id != NULL && now_us >= swim->probe.indirect_us)
    send_indirect (swim);
  if (swim->probe.id == NULL && now_us >= swim->next_period_us)
    start_probe (swim, now_us);
}

void
swim_receive_ping (swim_t *swim, const char *source, const swim_message_t *message)
{
  swim_message_t ack;
  swim_message_start (swim, &ack, WIRE_SWIM_ACK, message->from);
  ack.seq = message->seq;
  bool introduce = message->known_incarnation != swim->table.self->incarnation;
  swim_message_send (swim, &ack, source, introduce);
}

void
swim_relay_free (void *data)
{
  swim_relay_t *relay = data;
  g_free (relay->origin);
  g_free (relay->origin_address);
  g_free (relay->subject);
  g_free (relay);
}

void
swim_receive_ping_req (swim_t *swim, int64_t now_us, const char *source,
                       const swim_message_t *message)
{
  if (swim->relays->len >= RELAY_LIMIT || message->subject_address[0] == '\0')
    return;
  swim_relay_t *relay = g_new0 (swim_relay_t, 1);
  relay->origin_seq = message->seq;
  relay->origin = g_strdup (message->from);
  relay->origin_address = g_strdup (source);
  relay->subject = g_strdup (message->subject);
  relay->end_us = now_us + SWIM_PERIOD_US * (1 + (int64_t)swim->options.health_limit);
  relay->seq = send_ping (swim, message->subject, message->subject_address, false);
  g_ptr_array_add (swim->relays, relay);
}

static void
answer_relay (swim_t *swim, const swim_relay_t *relay)
{
  swim_message_t ack;
  swim_message_start (swim, &ack, WIRE_SWIM_ACK, relay->origin);
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
  for (guint i = 0; i < swim->relays->len; i++)
    {
      const swim_relay_t *relay = g_ptr_array_index (swim->relays, i);
      if (relay->seq != message->seq || strcmp (relay->subject, message->from) != 0)
        continue;
      answer_relay (swim, relay);
      g_ptr_array_remove_index_fast (swim->relays, i);
      return;
    }
}
