#include "quota_owner.h"

#include <math.h>

#define EVICTION_PERIOD_US INT64_C (1000000)
/* An entry gets an allowance only of teams whose burst is at least this multiple of the entries. */
#define MIN_BURST_PER_ENTRY 2
/* All allowances together are the burst divided by this. */
#define ALLOWANCE_DIVISOR 4
#define US_PER_S 1e6
/* A tenth above the limit is within the rule that the quotas keep. Most of it is used so that the
 * loss of a few entries costs the teams nothing. */
#define TOLERANCE 0.08

typedef struct
{
  uint64_t team_id; /* first member: the key in quota_owner_t.buckets */
  quota_limit_t limit;
  quota_bucket_t bucket;
  uint64_t admitted_count;
  uint64_t refused_count;
} owner_bucket_t;

void
quota_owner_init (quota_owner_t *owner, const quota_owner_options_t *options)
{
  *owner = (quota_owner_t){ .options = *options };
  owner->buckets = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
quota_owner_destroy (quota_owner_t *owner)
{
  g_clear_pointer (&owner->buckets, g_hash_table_unref);
}

void
quota_owner_reset (quota_owner_t *owner, int64_t now_us)
{
  g_hash_table_remove_all (owner->buckets);
  owner->reset_us = now_us;
  owner->last_eviction_us = now_us;
}

void
quota_owner_set_entries (quota_owner_t *owner, uint32_t entry_count, uint32_t silent_count)
{
  owner->entry_count = MAX (entry_count, 1);
  owner->silent_count = MIN (silent_count, owner->entry_count - 1);
}

/* Reduces LIMIT by the shares of the silent entries, beyond what the tolerance covers. */
static quota_limit_t
reserve_silent (const quota_owner_t *owner, quota_limit_t limit)
{
  double reserved = (double)owner->silent_count / MAX (owner->entry_count, 1);
  double share = MIN (1, 1 + TOLERANCE - reserved);
  return (quota_limit_t){ limit.rate * share, MAX (1, limit.burst * share) };
}

static owner_bucket_t *
find_or_add_bucket (quota_owner_t *owner, int64_t now_us, uint64_t team_id,
                    const quota_limit_t *limit)
{
  owner_bucket_t *bucket = g_hash_table_lookup (owner->buckets, &team_id);
  if (bucket == NULL)
    {
      bucket = g_new0 (owner_bucket_t, 1);
      bucket->team_id = team_id;
      bucket->limit = *limit;
      bucket->bucket.tokens = MAX (1, limit->burst / 2);
      bucket->bucket.updated_us = owner->reset_us;
      g_hash_table_insert (owner->buckets, &bucket->team_id, bucket);
    }
  /* Refilled by the limit before the change, then cut to the new one. */
  quota_bucket_refill (&bucket->bucket, now_us, &bucket->limit);
  bucket->limit = *limit;
  bucket->bucket.tokens = MIN (bucket->bucket.tokens, limit->burst);
  return bucket;
}

static uint32_t
compute_allowance (const quota_owner_t *owner, const owner_bucket_t *bucket)
{
  double entries = owner->entry_count;
  if (owner->entry_count == 0 || bucket->bucket.tokens <= bucket->limit.burst / 2
      || bucket->limit.burst < MIN_BURST_PER_ENTRY * entries)
    return 0;
  return (uint32_t)(bucket->limit.burst / (ALLOWANCE_DIVISOR * entries));
}

static quota_grant_team_t
answer_team (quota_owner_t *owner, int64_t now_us, const quota_ask_team_t *ask)
{
  quota_grant_team_t grant = { .team_id = ask->team_id, .admitted_count = ask->waiting_count };
  quota_limit_t limit;
  if (!owner->options.find_limit (owner->options.data, ask->team_id, &limit))
    return grant;
  limit = reserve_silent (owner, limit);
  owner_bucket_t *bucket = find_or_add_bucket (owner, now_us, ask->team_id, &limit);
  double tokens = bucket->bucket.tokens + ask->returned_count - (double)ask->used_count;
  bucket->bucket.tokens = CLAMP (tokens, -limit.burst, limit.burst);
  double available = floor (MAX (bucket->bucket.tokens, 0));
  grant.admitted_count = (uint32_t)MIN (available, ask->waiting_count);
  grant.refused_count = ask->waiting_count - grant.admitted_count;
  bucket->bucket.tokens -= grant.admitted_count;
  grant.allowance = compute_allowance (owner, bucket);
  grant.retry_step_us = (int64_t)ceil (US_PER_S / limit.rate);
  grant.retry_after_us = quota_bucket_wait_us (&bucket->bucket, &limit);
  bucket->admitted_count += grant.admitted_count + ask->used_count;
  bucket->refused_count += grant.refused_count;
  return grant;
}

static gboolean
is_full (gpointer key, gpointer value, gpointer data)
{
  const int64_t *now_us = data;
  owner_bucket_t *bucket = value;
  quota_bucket_refill (&bucket->bucket, *now_us, &bucket->limit);
  return bucket->bucket.tokens >= bucket->limit.burst;
}

/* Evicts full buckets. A bucket that is added again counts from the reset as well: by then it has
 * gained at least as many tokens as the evicted one, so it starts full. */
static void
evict (quota_owner_t *owner, int64_t now_us)
{
  if (now_us - owner->last_eviction_us < EVICTION_PERIOD_US)
    return;
  owner->last_eviction_us = now_us;
  g_hash_table_foreach_remove (owner->buckets, is_full, &now_us);
}

void
quota_owner_answer (quota_owner_t *owner, int64_t now_us, const quota_ask_t *ask,
                    quota_grant_t *grant)
{
  grant->number = ask->number;
  grant->entry_count = owner->entry_count;
  for (guint i = 0; i < ask->teams->len; i++)
    {
      quota_grant_team_t team
          = answer_team (owner, now_us, &g_array_index (ask->teams, quota_ask_team_t, i));
      g_array_append_val (grant->teams, team);
    }
  evict (owner, now_us);
}

void
quota_owner_take_usage (quota_owner_t *owner, GArray *usages)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, owner->buckets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      owner_bucket_t *bucket = value;
      quota_usage_t usage = { bucket->team_id, bucket->admitted_count, bucket->refused_count };
      g_array_append_val (usages, usage);
      bucket->admitted_count = 0;
      bucket->refused_count = 0;
    }
}

size_t
quota_owner_bucket_count (const quota_owner_t *owner)
{
  return g_hash_table_size (owner->buckets);
}
