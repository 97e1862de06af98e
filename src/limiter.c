#include "limiter.h"

#include <string.h>

#define US_PER_S 1e6

/* Most teams that one tick checks for eviction. */
#define MAX_EVICTION_STEPS 256

typedef struct
{
  uint64_t id;   /* must be the first member: it is the key in limiter_t.teams */
  double tokens; /* can be negative after reports of peers */
  int64_t updated_us;
  int64_t last_used_us; /* time of the last request or report of a peer */
  uint32_t unreported;  /* admitted requests that are in no batch yet */
  list_node_t lru_node;
  list_node_t pending_node;
} limiter_team_t;

uint64_t
limiter_team_id (const char *name)
{
  guint8 digest[32];
  gsize size = sizeof (digest);
  uint64_t id = 0;
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (checksum, (const guchar *)name, -1);
  g_checksum_get_digest (checksum, digest, &size);
  g_checksum_free (checksum);
  memcpy (&id, digest, sizeof (id));
  return GUINT64_FROM_BE (id);
}

static void
peer_free (void *data)
{
  limiter_peer_t *peer = data;
  g_free (peer->id);
  g_free (peer);
}

void
limiter_init (limiter_t *limiter, const limiter_options_t *options)
{
  memset (limiter, 0, sizeof (*limiter));
  limiter->options = *options;
  limiter->teams = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  limiter->peers = g_ptr_array_new_with_free_func (peer_free);
  list_init (&limiter->lru);
  list_init (&limiter->pending);
}

void
limiter_destroy (limiter_t *limiter)
{
  for (int i = 0; i < LIMITER_MAX_BATCHES; i++)
    g_free (limiter->batches[i].usage);
  g_hash_table_unref (limiter->teams);
  g_ptr_array_unref (limiter->peers);
}

size_t
limiter_team_count (const limiter_t *limiter)
{
  return g_hash_table_size (limiter->teams);
}

static limiter_peer_t *
find_peer (const GPtrArray *peers, const char *id)
{
  for (guint i = 0; i < peers->len; i++)
    {
      limiter_peer_t *peer = g_ptr_array_index (peers, i);
      if (strcmp (peer->id, id) == 0)
        return peer;
    }
  return NULL;
}

/* A new peer counts as heard from now, and does not get batches from before it was assigned. */
static limiter_peer_t *
peer_new (const limiter_t *limiter, int64_t now_us, const char *id)
{
  limiter_peer_t *peer = g_new0 (limiter_peer_t, 1);
  peer->id = g_strdup (id);
  peer->last_contact_us = now_us;
  peer->acked_batch = limiter->batch_number;
  return peer;
}

/* Removes the peer ID from the current list, or creates it, and returns it to the caller. */
static limiter_peer_t *
steal_or_add_peer (limiter_t *limiter, int64_t now_us, const char *id)
{
  for (guint i = 0; i < limiter->peers->len; i++)
    {
      limiter_peer_t *peer = g_ptr_array_index (limiter->peers, i);
      if (strcmp (peer->id, id) == 0)
        return g_ptr_array_steal_index_fast (limiter->peers, i);
    }
  return peer_new (limiter, now_us, id);
}

void
limiter_set_peers (limiter_t *limiter, int64_t now_us, const char *const *ids, size_t count)
{
  GPtrArray *peers = g_ptr_array_new_with_free_func (peer_free);
  for (size_t i = 0; i < MIN (count, LIMITER_MAX_PEERS); i++)
    {
      g_ptr_array_add (peers, steal_or_add_peer (limiter, now_us, ids[i]));
    }
  g_ptr_array_unref (limiter->peers);
  limiter->peers = peers;
}

/* Returns the limit that applies at this entry: an equal share of it while a peer is unreachable.
 * The burst is at least one request, because a smaller one would admit nothing. */
static limiter_limit_t
current_limit (const limiter_t *limiter, uint64_t team)
{
  limiter_limit_t limit = limiter->options.limit (limiter->options.data, team);
  if (limiter->partitioned)
    {
      limit.rate /= limiter->peers->len + 1;
      limit.burst = MAX (1, limit.burst / (limiter->peers->len + 1));
    }
  return limit;
}

static bool
is_unlimited (const limiter_limit_t *limit)
{
  return limit->rate <= 0;
}

static void
refill (limiter_team_t *team, int64_t now_us, const limiter_limit_t *limit)
{
  if (now_us > team->updated_us)
    {
      team->tokens += limit->rate * (double)(now_us - team->updated_us) / US_PER_S;
      team->updated_us = now_us;
    }
  team->tokens = MIN (team->tokens, limit->burst);
}

static void
evict_team (limiter_t *limiter, limiter_team_t *team)
{
  list_remove (&team->lru_node);
  list_remove (&team->pending_node);
  g_hash_table_remove (limiter->teams, &team->id);
}

static limiter_team_t *
find_or_add_team (limiter_t *limiter, int64_t now_us, uint64_t id, const limiter_limit_t *limit)
{
  limiter_team_t *team = g_hash_table_lookup (limiter->teams, &id);
  if (team != NULL)
    return team;
  if (limiter_team_count (limiter) >= limiter->options.max_teams)
    evict_team (limiter, CONTAINER_OF (list_first (&limiter->lru), limiter_team_t, lru_node));

  team = g_new0 (limiter_team_t, 1);
  team->id = id;
  team->tokens = limit->burst;
  team->updated_us = now_us;
  list_node_init (&team->lru_node);
  list_node_init (&team->pending_node);
  g_hash_table_add (limiter->teams, team);
  return team;
}

static void
mark_used (limiter_t *limiter, limiter_team_t *team, int64_t now_us)
{
  team->last_used_us = now_us;
  list_remove (&team->lru_node);
  list_push_back (&limiter->lru, &team->lru_node);
}

static void
queue_report (limiter_t *limiter, limiter_team_t *team)
{
  if (!list_node_is_linked (&team->pending_node))
    list_push_back (&limiter->pending, &team->pending_node);
}

bool
limiter_admit (limiter_t *limiter, int64_t now_us, uint64_t team_id, int64_t *retry_after_us)
{
  limiter_limit_t limit = current_limit (limiter, team_id);
  *retry_after_us = 0;
  if (is_unlimited (&limit))
    return true;
  limiter_team_t *team = find_or_add_team (limiter, now_us, team_id, &limit);
  mark_used (limiter, team, now_us);
  refill (team, now_us, &limit);
  if (team->tokens < 1)
    {
      *retry_after_us = (int64_t)((1 - team->tokens) / limit.rate * US_PER_S) + 1;
      return false;
    }

  team->tokens -= 1;
  if (limiter->peers->len == 0)
    return true;
  team->unreported++;
  if (team->unreported >= limit.rate * (double)LIMITER_REPORT_THRESHOLD_US / US_PER_S)
    queue_report (limiter, team);
  return true;
}

/* Evicts teams whose bucket is full and that were not used, here or at a peer, for
 * LIMITER_IDLE_TIMEOUT_US. Unreported consumption is reported first, because peers have not
 * subtracted it yet. */
static void
evict_idle (limiter_t *limiter, int64_t now_us)
{
  for (int i = 0; i < MAX_EVICTION_STEPS && !list_is_empty (&limiter->lru); i++)
    {
      limiter_team_t *team = CONTAINER_OF (list_first (&limiter->lru), limiter_team_t, lru_node);
      if (now_us - team->last_used_us < LIMITER_IDLE_TIMEOUT_US)
        return;
      limiter_limit_t limit = current_limit (limiter, team->id);
      refill (team, now_us, &limit);
      bool is_full = is_unlimited (&limit) || team->tokens >= limit.burst;
      if (is_full && (team->unreported == 0 || limiter->peers->len == 0))
        {
          evict_team (limiter, team);
          continue;
        }
      if (team->unreported > 0)
        queue_report (limiter, team);
      list_remove (&team->lru_node);
      list_push_back (&limiter->lru, &team->lru_node);
    }
}

/* Moves the pending consumption into a new batch, which replaces the oldest one. */
static void
create_batch (limiter_t *limiter, int64_t now_us)
{
  if (list_is_empty (&limiter->pending))
    return;
  limiter->batch_number++;
  limiter_batch_t *batch = &limiter->batches[limiter->batch_number % LIMITER_MAX_BATCHES];
  if (batch->usage == NULL)
    batch->usage = g_new0 (limiter_usage_t, limiter->options.max_reported);
  batch->number = limiter->batch_number;
  batch->created_us = now_us;
  batch->usage_count = 0;
  while (batch->usage_count < limiter->options.max_reported && !list_is_empty (&limiter->pending))
    {
      limiter_team_t *team
          = CONTAINER_OF (list_pop_front (&limiter->pending), limiter_team_t, pending_node);
      batch->usage[batch->usage_count++] = (limiter_usage_t){ team->id, team->unreported };
      team->unreported = 0;
    }
}

static bool
is_partitioned (const limiter_t *limiter, int64_t now_us)
{
  for (guint i = 0; i < limiter->peers->len; i++)
    {
      const limiter_peer_t *peer = g_ptr_array_index (limiter->peers, i);
      if (now_us - peer->last_contact_us >= LIMITER_PEER_TIMEOUT_US)
        return true;
    }
  return false;
}

bool
limiter_tick (limiter_t *limiter, int64_t now_us)
{
  limiter->partitioned = is_partitioned (limiter, now_us);
  evict_idle (limiter, now_us);
  if (limiter->peers->len == 0 || now_us < limiter->next_exchange_us)
    return false;
  limiter->next_exchange_us = now_us + LIMITER_EXCHANGE_INTERVAL_US;
  create_batch (limiter, now_us);
  return true;
}

static uint64_t
oldest_batch (const limiter_t *limiter)
{
  return limiter->batch_number >= LIMITER_MAX_BATCHES
             ? limiter->batch_number - LIMITER_MAX_BATCHES + 1
             : 1;
}

bool
limiter_build_message (limiter_t *limiter, int64_t now_us, size_t index, limiter_message_t *message)
{
  limiter_peer_t *peer = g_ptr_array_index (limiter->peers, index);
  *message = (limiter_message_t){ .epoch = limiter->options.epoch,
                                  .ack_epoch = peer->epoch,
                                  .ack_number = peer->applied_batch };
  uint64_t first = MAX (peer->acked_batch + 1, oldest_batch (limiter));
  for (uint64_t number = first; number <= limiter->batch_number; number++)
    {
      const limiter_batch_t *batch = &limiter->batches[number % LIMITER_MAX_BATCHES];
      if (now_us - batch->created_us < LIMITER_PEER_TIMEOUT_US)
        message->batches[message->batch_count++] = *batch;
    }
  bool due = message->batch_count > 0 || peer->ack_due;
  peer->ack_due = false;
  return due;
}

static void
apply_usage (limiter_t *limiter, int64_t now_us, const limiter_usage_t *usage)
{
  limiter_limit_t limit = current_limit (limiter, usage->team);
  if (is_unlimited (&limit))
    return;
  limiter_team_t *team = find_or_add_team (limiter, now_us, usage->team, &limit);
  mark_used (limiter, team, now_us);
  refill (team, now_us, &limit);
  if (!limiter->partitioned)
    team->tokens -= usage->admitted_count;
}

void
limiter_record_contact (limiter_t *limiter, int64_t now_us, const char *id)
{
  limiter_peer_t *peer = find_peer (limiter->peers, id);
  if (peer != NULL)
    peer->last_contact_us = now_us;
}

void
limiter_receive (limiter_t *limiter, int64_t now_us, const char *id,
                 const limiter_message_t *message)
{
  limiter_peer_t *peer = find_peer (limiter->peers, id);
  if (peer == NULL || message->epoch < peer->epoch)
    return;
  if (message->epoch > peer->epoch)
    {
      peer->epoch = message->epoch;
      peer->applied_batch = 0;
    }
  peer->last_contact_us = now_us;
  if (message->ack_epoch == limiter->options.epoch)
    peer->acked_batch = MAX (peer->acked_batch, MIN (message->ack_number, limiter->batch_number));

  for (size_t i = 0; i < message->batch_count; i++)
    {
      const limiter_batch_t *batch = &message->batches[i];
      peer->ack_due = true;
      if (batch->number <= peer->applied_batch)
        continue;
      peer->applied_batch = batch->number;
      for (size_t j = 0; j < batch->usage_count; j++)
        apply_usage (limiter, now_us, &batch->usage[j]);
    }
}
