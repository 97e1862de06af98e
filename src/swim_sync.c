#include "swim_internal.h"

#include <string.h>

#define QUICK_INTERVAL_US INT64_C (2000000)
#define TRANSFER_LIMIT 4

/* Random members that a member that joins is told of at once, so that it can ask others than the
 * seeds, which would otherwise send the table to every instance that starts. */
#define JOIN_SAMPLES 8

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

void
swim_transfer_free (void *data)
{
  swim_transfer_t *transfer = data;
  g_free (transfer->id);
  g_free (transfer->address);
  g_free (transfer);
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
  swim_message_t message;
  swim_message_start (swim, &message, WIRE_SWIM_SYNC, member->id);
  message.sync_stage = SWIM_SYNC_REQUEST;
  message.sync_data = data;
  message.sync_size = sizeof (data);
  swim->sync_tokens -= (double)(MESSAGE_SIZE + sizeof (data));
  swim_message_send (swim, &message, member->peer_address, true);
}

void
swim_sync_soon (swim_t *swim, int64_t now_us, unsigned count)
{
  swim->quick_syncs = MAX (swim->quick_syncs, count);
  swim->next_sync_us = MIN (swim->next_sync_us, now_us + QUICK_INTERVAL_US);
}

static void
send_records (swim_t *swim, const swim_transfer_t *transfer, swim_message_t *message, size_t size)
{
  swim->sync_tokens -= (double)size;
  if (!transfer->joins)
    swim->update_tokens -= (double)size;
  swim_message_send (swim, message, transfer->address, false);
}

/* Adds the records of the next buckets that fit to MESSAGE and returns their size. A bucket that
 * does not fit is continued in the next message. */
static size_t
fill_message (swim_t *swim, swim_transfer_t *transfer, swim_message_t *message)
{
  size_t size = MESSAGE_SIZE;
  while (transfer->bucket < SWIM_BUCKETS)
    {
      const list_t *bucket = &swim->table.buckets[transfer->bucket];
      unsigned position = 0;
      LIST_FOREACH (bucket, node)
      {
        if (!bit_is_set (transfer->bits, transfer->bucket) || position++ < transfer->position)
          continue;
        swim_update_t *update = &message->updates[message->update_count];
        swim_table_get (LIST_ENTRY (node, swim_member_t, bucket_node), update);
        size_t needed = swim_wire_update_size (update);
        if (size + needed > MESSAGE_SIZE + SWIM_UPDATE_BYTES)
          return size;
        size += needed;
        message->update_count++;
        transfer->position++;
        if (message->update_count == SWIM_MAX_UPDATES)
          return size;
      }
      transfer->bucket++;
      transfer->position = 0;
    }
  return size;
}

/* Sends the next message of TRANSFER; returns false if there was nothing left. */
static bool
continue_transfer (swim_t *swim, swim_transfer_t *transfer)
{
  swim_message_t message;
  swim_message_start (swim, &message, WIRE_SWIM_SYNC, transfer->id);
  message.sync_stage = SWIM_SYNC_RECORDS;
  size_t size = fill_message (swim, transfer, &message);
  if (message.update_count > 0)
    send_records (swim, transfer, &message, size);
  return message.update_count > 0;
}

/* A member that joins gets its table from the saved up budget at once. Other transfers also keep to
 * the rate of the updates. */
static bool
may_continue (const swim_t *swim, const swim_transfer_t *transfer)
{
  return swim->sync_tokens > 0 && (transfer->joins || swim->update_tokens > 0);
}

static void
run_transfers (swim_t *swim)
{
  unsigned messages = 0;
  guint index = 0;
  while (index < swim->transfers->len && messages < MESSAGES_PER_TICK)
    {
      swim_transfer_t *transfer = g_ptr_array_index (swim->transfers, index);
      if (!may_continue (swim, transfer))
        index++;
      else if (continue_transfer (swim, transfer))
        messages++;
      else
        g_ptr_array_remove_index (swim->transfers, index);
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
start_transfer (swim_t *swim, const char *id, const char *address, const uint8_t *bits, bool joins)
{
  if (swim->transfers->len >= TRANSFER_LIMIT)
    return;
  swim_transfer_t *transfer = g_new0 (swim_transfer_t, 1);
  transfer->id = g_strdup (id);
  transfer->address = g_strdup (address);
  transfer->joins = joins;
  /* Buckets that are empty now are left out. They may be filled from the other side by the time of
   * their turn, and a member that joins would send the whole table back. */
  for (unsigned i = 0; i < SWIM_BUCKETS; i++)
    {
      if (bit_is_set (bits, i) && !list_is_empty (&swim->table.buckets[i]))
        set_bit (transfer->bits, i);
    }
  g_ptr_array_add (swim->transfers, transfer);
}

typedef struct
{
  uint8_t bits[SWIM_SYNC_BITS_SIZE]; /* buckets that differ */
  bool equal;
  bool joins; /* most buckets are empty there and not here */
} comparison_t;

static void
compare_hashes (const swim_t *swim, const uint8_t *data, comparison_t *result)
{
  unsigned missing = 0;
  unsigned filled = 0;
  memset (result, 0, sizeof (*result));
  result->equal = true;
  for (unsigned i = 0; i < SWIM_BUCKETS; i++)
    {
      uint32_t hash = 0;
      memcpy (&hash, data + (size_t)i * sizeof (hash), sizeof (hash));
      filled += swim->table.hashes[i] != 0 ? 1 : 0;
      missing += swim->table.hashes[i] != 0 && hash == 0 ? 1 : 0;
      if (GUINT32_FROM_BE (hash) == swim->table.hashes[i])
        continue;
      set_bit (result->bits, i);
      result->equal = false;
    }
  result->joins = missing * 2 > filled;
}

static void
send_reply (swim_t *swim, const char *source, const swim_message_t *request,
            const comparison_t *result)
{
  swim_message_t reply;
  swim_message_start (swim, &reply, WIRE_SWIM_SYNC, request->from);
  reply.sync_stage = SWIM_SYNC_REPLY;
  reply.sync_data = result->bits;
  reply.sync_size = sizeof (result->bits);
  for (int i = 0; result->joins && i < JOIN_SAMPLES; i++)
    {
      const swim_member_t *member = swim_table_random (&swim->table);
      if (member != NULL)
        swim_table_get (member, &reply.updates[reply.update_count++]);
    }
  swim->sync_tokens -= (double)(MESSAGE_SIZE + sizeof (result->bits));
  bool introduce = request->known_incarnation != swim->table.self->incarnation;
  swim_message_send (swim, &reply, source, introduce);
}

static void
receive_request (swim_t *swim, const char *source, const swim_message_t *message)
{
  comparison_t result;
  compare_hashes (swim, message->sync_data, &result);
  send_reply (swim, source, message, &result);
  /* Without budget now, the member has its table from another one by the time there is some. */
  if (!result.equal && swim->sync_tokens > 0)
    start_transfer (swim, message->from, source, result.bits, result.joins);
}

static void
receive_reply (swim_t *swim, const char *source, const swim_message_t *message)
{
  static const uint8_t none[SWIM_SYNC_BITS_SIZE] = { 0 };
  if (swim->quick_syncs > 0)
    swim->quick_syncs--;
  if (memcmp (message->sync_data, none, sizeof (none)) != 0)
    start_transfer (swim, message->from, source, message->sync_data, false);
}

void
swim_receive_sync (swim_t *swim, int64_t now_us, const char *source, const swim_message_t *message)
{
  if (message->sync_stage == SWIM_SYNC_REQUEST)
    receive_request (swim, source, message);
  else if (message->sync_stage == SWIM_SYNC_REPLY)
    receive_reply (swim, source, message);
}
