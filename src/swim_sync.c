#include "swim_internal.h"

#include <string.h>

#define QUICK_SYNC_INTERVAL_US INT64_C (2000000)
#define MAX_TRANSFERS 4

/* Number of random members in a sync reply to a joining member. It can then sync with members other
 * than the seeds, which would otherwise send the whole table to every instance that starts. */
#define JOIN_SAMPLE_COUNT 8

/* Limits the messages of transfers so that they do not fill the socket buffer. */
#define MAX_MESSAGES_PER_TICK 16

/* Estimated size of a message without its records and its sync data. */
#define FIXED_MESSAGE_BYTES 80

static bool
bit_is_set (const uint8_t *bitmap, unsigned index)
{
  return (bitmap[index / 8] >> (index % 8) & 1) != 0;
}

static void
set_bit (uint8_t *bitmap, unsigned index)
{
  bitmap[index / 8] |= (uint8_t)(1U << (index % 8));
}

void
swim_transfer_free (void *data)
{
  swim_transfer_t *transfer = data;
  g_free (transfer->id);
  g_free (transfer->address);
  g_free (transfer);
}

/* Sends the hashes of all buckets to MEMBER, for comparison. */
static void
send_sync_request (swim_t *swim, const swim_member_t *member)
{
  uint8_t data[SWIM_SYNC_HASHES_SIZE];
  for (int i = 0; i < SWIM_BUCKET_COUNT; i++)
    {
      uint32_t hash = GUINT32_TO_BE (swim->table.hashes[i]);
      memcpy (data + (size_t)i * sizeof (hash), &hash, sizeof (hash));
    }
  swim_message_t message;
  swim_message_init (swim, &message, WIRE_SWIM_SYNC, member->id);
  message.sync_stage = SWIM_SYNC_REQUEST;
  message.sync_data = data;
  message.sync_size = sizeof (data);
  swim->sync_tokens -= (double)(FIXED_MESSAGE_BYTES + sizeof (data));
  swim_message_send (swim, &message, member->peer_address, true);
}

void
swim_schedule_sync (swim_t *swim, int64_t now_us, unsigned count)
{
  swim->quick_syncs_left = MAX (swim->quick_syncs_left, count);
  swim->next_sync_us = MIN (swim->next_sync_us, now_us + QUICK_SYNC_INTERVAL_US);
}

static void
send_transfer_message (swim_t *swim, const swim_transfer_t *transfer, swim_message_t *message,
                       size_t size)
{
  swim->sync_tokens -= (double)size;
  if (!transfer->peer_is_joining)
    swim->update_tokens -= (double)size;
  swim_message_send (swim, message, transfer->address, false);
}

/* Fills MESSAGE with the next records of TRANSFER and returns its estimated size. A bucket that
 * does not fit is continued in the next message. */
static size_t
fill_message (swim_t *swim, swim_transfer_t *transfer, swim_message_t *message)
{
  size_t size = FIXED_MESSAGE_BYTES;
  while (transfer->next_bucket < SWIM_BUCKET_COUNT)
    {
      const list_t *bucket = &swim->table.buckets[transfer->next_bucket];
      unsigned position = 0;
      LIST_FOREACH (bucket, node)
      {
        if (!bit_is_set (transfer->bucket_bitmap, transfer->next_bucket)
            || position++ < transfer->sent_in_bucket)
          continue;
        swim_update_t *update = &message->updates[message->update_count];
        swim_table_get_update (CONTAINER_OF (node, swim_member_t, bucket_node), update);
        size_t needed = swim_wire_update_size (update);
        if (size + needed > FIXED_MESSAGE_BYTES + SWIM_MAX_UPDATE_BYTES)
          return size;
        size += needed;
        message->update_count++;
        transfer->sent_in_bucket++;
        if (message->update_count == SWIM_MAX_UPDATES)
          return size;
      }
      transfer->next_bucket++;
      transfer->sent_in_bucket = 0;
    }
  return size;
}

/* Sends the next message of TRANSFER. Returns false if no records were left to send. */
static bool
continue_transfer (swim_t *swim, swim_transfer_t *transfer)
{
  swim_message_t message;
  swim_message_init (swim, &message, WIRE_SWIM_SYNC, transfer->id);
  message.sync_stage = SWIM_SYNC_RECORDS;
  size_t size = fill_message (swim, transfer, &message);
  if (message.update_count > 0)
    send_transfer_message (swim, transfer, &message, size);
  return message.update_count > 0;
}

/* A joining member gets the table from the burst of the sync budget, without delay. Other transfers
 * are also limited by the update budget. */
static bool
has_budget (const swim_t *swim, const swim_transfer_t *transfer)
{
  return swim->sync_tokens > 0 && (transfer->peer_is_joining || swim->update_tokens > 0);
}

static void
run_transfers (swim_t *swim)
{
  unsigned message_count = 0;
  guint index = 0;
  while (index < swim->transfers->len && message_count < MAX_MESSAGES_PER_TICK)
    {
      swim_transfer_t *transfer = g_ptr_array_index (swim->transfers, index);
      if (!has_budget (swim, transfer))
        index++;
      else if (continue_transfer (swim, transfer))
        message_count++;
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
  const swim_member_t *member = swim_table_pick_random (&swim->table);
  if (member == NULL)
    return;
  int64_t interval_us = swim->quick_syncs_left > 0 ? QUICK_SYNC_INTERVAL_US : SWIM_SYNC_INTERVAL_US;
  swim->next_sync_us
      = now_us + interval_us / 2 + (int64_t)rng_uniform_int (&swim->rng, interval_us);
  send_sync_request (swim, member);
}

static void
start_transfer (swim_t *swim, const char *id, const char *address, const uint8_t *bucket_bitmap,
                bool peer_is_joining)
{
  if (swim->transfers->len >= MAX_TRANSFERS)
    return;
  swim_transfer_t *transfer = g_new0 (swim_transfer_t, 1);
  transfer->id = g_strdup (id);
  transfer->address = g_strdup (address);
  transfer->peer_is_joining = peer_is_joining;
  /* Skips buckets that are empty now. By the time they would be sent, they may hold records that
   * this peer sent, so that a joining member would send the whole table back. */
  for (unsigned i = 0; i < SWIM_BUCKET_COUNT; i++)
    {
      if (bit_is_set (bucket_bitmap, i) && !list_is_empty (&swim->table.buckets[i]))
        set_bit (transfer->bucket_bitmap, i);
    }
  g_ptr_array_add (swim->transfers, transfer);
}

typedef struct
{
  uint8_t bucket_bitmap[SWIM_SYNC_BITMAP_SIZE]; /* buckets that differ */
  bool equal;
  bool peer_is_joining; /* most of the buckets with records here are empty there */
} comparison_t;

static void
compare_hashes (const swim_t *swim, const uint8_t *data, comparison_t *result)
{
  unsigned missing_count = 0;
  unsigned filled_count = 0;
  memset (result, 0, sizeof (*result));
  result->equal = true;
  for (unsigned i = 0; i < SWIM_BUCKET_COUNT; i++)
    {
      uint32_t hash = 0;
      memcpy (&hash, data + (size_t)i * sizeof (hash), sizeof (hash));
      filled_count += swim->table.hashes[i] != 0 ? 1 : 0;
      missing_count += swim->table.hashes[i] != 0 && hash == 0 ? 1 : 0;
      if (GUINT32_FROM_BE (hash) == swim->table.hashes[i])
        continue;
      set_bit (result->bucket_bitmap, i);
      result->equal = false;
    }
  result->peer_is_joining = missing_count * 2 > filled_count;
}

static void
send_sync_reply (swim_t *swim, const char *source, const swim_message_t *request,
                 const comparison_t *result)
{
  swim_message_t reply;
  swim_message_init (swim, &reply, WIRE_SWIM_SYNC, request->from);
  reply.sync_stage = SWIM_SYNC_REPLY;
  reply.sync_data = result->bucket_bitmap;
  reply.sync_size = sizeof (result->bucket_bitmap);
  for (int i = 0; result->peer_is_joining && i < JOIN_SAMPLE_COUNT; i++)
    {
      const swim_member_t *member = swim_table_pick_random (&swim->table);
      if (member != NULL)
        swim_table_get_update (member, &reply.updates[reply.update_count++]);
    }
  swim->sync_tokens -= (double)(FIXED_MESSAGE_BYTES + sizeof (result->bucket_bitmap));
  bool include_self = request->known_incarnation != swim->table.self->incarnation;
  swim_message_send (swim, &reply, source, include_self);
}

static void
receive_request (swim_t *swim, const char *source, const swim_message_t *message)
{
  comparison_t result;
  compare_hashes (swim, message->sync_data, &result);
  send_sync_reply (swim, source, message, &result);
  /* Without budget no transfer is started: by the time there is some again, the peer has synced
   * with another member. */
  if (!result.equal && swim->sync_tokens > 0)
    start_transfer (swim, message->from, source, result.bucket_bitmap, result.peer_is_joining);
}

static void
receive_reply (swim_t *swim, const char *source, const swim_message_t *message)
{
  static const uint8_t no_buckets[SWIM_SYNC_BITMAP_SIZE] = { 0 };
  if (swim->quick_syncs_left > 0)
    swim->quick_syncs_left--;
  if (memcmp (message->sync_data, no_buckets, sizeof (no_buckets)) != 0)
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
