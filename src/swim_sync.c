#include "swim_internal.h"

#include <string.h>

#define QUICK_INTERVAL_US INT64_C (2000000)
#define TRANSFER_LIMIT 4

/* Messages with records in one tick at most, so that a transfer does not fill the socket buffer. */
#define MESSAGES_PER_TICK 16

/* Fixed part of a message with records, for the budget. */
#define MESSAGE_SIZE 80

static bool
bit_is_set (const uint8_t *bits, unsigned index)
{
  return (bits[index / 8] >> (index % 8) & 1) != 0;
}

static void
set_bit (uint8_t *bits, unsigned index)
{
  bits[index / 8] |= (uint8_t)(1U << (index % 8));
}

static void
clear_bit (uint8_t *bits, unsigned index)
{
  bits[index / 8] &= (uint8_t) ~(1U << (index % 8));
}

void
swim_transfer_free (void *data)
{
  swim_transfer_t *transfer = data;
  g_free (transfer->id);
  g_free (transfer->address);
  g_free (transfer);
}

static void
send_sync (swim_t *swim, const char *id, const char *address, swim_sync_stage_t stage,
           const uint8_t *data, size_t size, bool introduce)
{
  swim_message_t message;
  swim_message_start (swim, &message, WIRE_SWIM_SYNC, id);
  message.sync_stage = stage;
  message.sync_data = data;
  message.sync_size = size;
  swim->sync_tokens -= (double)(MESSAGE_SIZE + size);
  swim_message_send (swim, &message, address, introduce);
}

static void
send_request (swim_t *swim, const swim_member_t *member)
{
  uint8_t data[SWIM_SYNC_HASHES_SIZE];
  for (int i = 0; i < SWIM_BUCKETS; i++)
    {
      uint32_t hash = GUINT32_TO_BE (swim->table.hashes[i]);
      memcpy (data + (size_t)i * sizeof (hash), &hash, sizeof (hash));
    }
  send_sync (swim, member->id, member->peer_address, SWIM_SYNC_REQUEST, data, sizeof (data), true);
}

void
swim_sync_soon (swim_t *swim, int64_t now_us, unsigned count)
{
  swim->quick_syncs = MAX (swim->quick_syncs, count);
  swim->next_sync_us = MIN (swim->next_sync_us, now_us + QUICK_INTERVAL_US);
}

static void
send_records (swim_t *swim, const swim_transfer_t *transfer, swim_message_t *message)
{
  if (message->update_count == 0)
    return;
  size_t size = MESSAGE_SIZE;
  for (size_t i = 0; i < message->update_count; i++)
    size += swim_wire_update_size (&message->updates[i]);
  swim->sync_tokens -= (double)size;
  swim_message_send (swim, message, transfer->address, false);
  message->update_count = 0;
}

/* Sends the records of one bucket and returns the number of messages. */
static unsigned
send_bucket (swim_t *swim, const swim_transfer_t *transfer, unsigned bucket)
{
  swim_message_t message;
  swim_message_start (swim, &message, WIRE_SWIM_SYNC, transfer->id);
  message.sync_stage = SWIM_SYNC_RECORDS;
  size_t room = SWIM_UPDATE_BYTES;
  unsigned count = 1;
  LIST_FOREACH (&swim->table.buckets[bucket], node)
  {
    swim_update_t update;
    swim_table_get (LIST_ENTRY (node, swim_member_t, bucket_node), &update);
    size_t size = swim_wire_update_size (&update);
    if (size > room || message.update_count == SWIM_MAX_UPDATES)
      {
        send_records (swim, transfer, &message);
        room = SWIM_UPDATE_BYTES;
        count++;
      }
    message.updates[message.update_count++] = update;
    room -= size;
  }
  send_records (swim, transfer, &message);
  return count;
}

/* Sends the next bucket of TRANSFER; returns false if there is none left. */
static bool
continue_transfer (swim_t *swim, swim_transfer_t *transfer, unsigned *messages)
{
  for (unsigned i = 0; i < SWIM_BUCKETS; i++)
    {
      if (!bit_is_set (transfer->bits, i))
        continue;
      clear_bit (transfer->bits, i);
      *messages += send_bucket (swim, transfer, i);
      return true;
    }
  return false;
}

static void
run_transfers (swim_t *swim)
{
  unsigned messages = 0;
  while (swim->transfers->len > 0 && swim->sync_tokens > 0 && messages < MESSAGES_PER_TICK)
    {
      if (!continue_transfer (swim, g_ptr_array_index (swim->transfers, 0), &messages))
        g_ptr_array_remove_index (swim->transfers, 0);
    }
}

void
swim_sync_tick (swim_t *swim, int64_t now_us)
{
  run_transfers (swim);
  if (now_us < swim->next_sync_us || swim->sync_tokens <= 0)
    return;
  const swim_member_t *member = swim_table_random (&swim->table);
  if (member == NULL)
    return;
  int64_t interval_us = swim->quick_syncs > 0 ? QUICK_INTERVAL_US : SWIM_SYNC_INTERVAL_US;
  swim->next_sync_us = now_us + interval_us / 2 + (int64_t)rng_below (&swim->rng, interval_us);
  send_request (swim, member);
}

static void
start_transfer (swim_t *swim, const char *id, const char *address, const uint8_t *bits)
{
  if (swim->transfers->len >= TRANSFER_LIMIT)
    return;
  swim_transfer_t *transfer = g_new0 (swim_transfer_t, 1);
  transfer->id = g_strdup (id);
  transfer->address = g_strdup (address);
  memcpy (transfer->bits, bits, sizeof (transfer->bits));
  g_ptr_array_add (swim->transfers, transfer);
}

static bool
compare_hashes (const swim_t *swim, const uint8_t *data, uint8_t *bits)
{
  bool equal = true;
  memset (bits, 0, SWIM_SYNC_BITS_SIZE);
  for (unsigned i = 0; i < SWIM_BUCKETS; i++)
    {
      uint32_t hash = 0;
      memcpy (&hash, data + (size_t)i * sizeof (hash), sizeof (hash));
      if (GUINT32_FROM_BE (hash) == swim->table.hashes[i])
        continue;
      set_bit (bits, i);
      equal = false;
    }
  return equal;
}

static void
receive_request (swim_t *swim, const char *source, const swim_message_t *message)
{
  uint8_t bits[SWIM_SYNC_BITS_SIZE];
  bool equal = compare_hashes (swim, message->sync_data, bits);
  bool introduce = message->known_incarnation != swim->table.self->incarnation;
  send_sync (swim, message->from, source, SWIM_SYNC_REPLY, bits, sizeof (bits), introduce);
  if (!equal)
    start_transfer (swim, message->from, source, bits);
}

static void
receive_reply (swim_t *swim, const char *source, const swim_message_t *message)
{
  static const uint8_t none[SWIM_SYNC_BITS_SIZE] = { 0 };
  bool equal = memcmp (message->sync_data, none, sizeof (none)) == 0;
  if (swim->quick_syncs > 0)
    swim->quick_syncs = equal ? 0 : swim->quick_syncs - 1;
  if (!equal)
    start_transfer (swim, message->from, source, message->sync_data);
}

void
swim_receive_sync (swim_t *swim, int64_t now_us, const char *source, const swim_message_t *message)
{
  if (message->sync_stage == SWIM_SYNC_REQUEST)
    receive_request (swim, source, message);
  else if (message->sync_stage == SWIM_SYNC_REPLY)
    receive_reply (swim, source, message);
}
