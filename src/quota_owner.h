#pragma once

#include "quota_bucket.h"
#include "quota_message.h"

/* quota_owner - token buckets of all teams, at the leader of the control group. It does no I/O.
 *
 * Load pattern: callers of a team move between entries, and a team at times sends many times its
 * limit. Shares of a limit by entry refuse calm teams, whose share at an entry is below one
 * request, and a periodic exchange of counts admits demand x interval too much. The owner decides
 * each request instead, in batches (quota_client).
 *
 * A bucket holds at most `burst` tokens and gains `rate` tokens per second. Requests that an entry
 * admitted by itself are subtracted when it reports them; this may make a bucket negative, down to
 * -burst. While a bucket is more than half full, entries get an allowance of burst / (4 x entries),
 * so that what they have not reported yet is at most a quarter of the bucket.
 *
 * Entries that don't reach the owner admit up to rate / entries each. The owner therefore reserves
 * that share of the rate and the burst for the silent entries, beyond a small tolerance.
 *
 * Memory is bounded by the teams that were active within the time that a bucket takes to fill: a
 * full bucket is evicted, as a new one starts full. Only after quota_owner_reset(), when the
 * consumption before is unknown, buckets start half full. */

typedef struct
{
  /* Stores the limit of a team in LIMIT. Returns false if the team has none: its requests are
   * admitted. */
  bool (*find_limit) (void *data, uint64_t team_id, quota_limit_t *limit);
  void *data;
} quota_owner_options_t;

typedef struct
{
  quota_owner_options_t options;
  GHashTable *buckets; /* team id -> owner_bucket_t */
  int64_t reset_us;
  int64_t last_eviction_us;
  uint32_t entry_count;  /* entries that share the quotas; 0: unknown */
  uint32_t silent_count; /* of these, the ones that have not been heard from */
} quota_owner_t;

/* Use of a team since the last quota_owner_take_usage(). */
typedef struct
{
  uint64_t team_id;
  uint64_t admitted_count;
  uint64_t refused_count;
} quota_usage_t;

void quota_owner_init (quota_owner_t *owner, const quota_owner_options_t *options);
void quota_owner_destroy (quota_owner_t *owner);

/* Starts ownership at NOW_US: forgets all buckets. New ones start half full, with at least one
 * token. */
void quota_owner_reset (quota_owner_t *owner, int64_t now_us);

/* Sets the number of entries, and of those that have not been heard from for QUOTA_SILENCE_US.
 * Until the first call the number is unknown, and there are no allowances. */
void quota_owner_set_entries (quota_owner_t *owner, uint32_t entry_count, uint32_t silent_count);

/* Answers ASK. GRANT->teams is an empty array of quota_grant_team_t to fill. */
void quota_owner_answer (quota_owner_t *owner, int64_t now_us, const quota_ask_t *ask,
                         quota_grant_t *grant);

/* Appends the use of each team with a bucket to USAGES (quota_usage_t) and sets it to 0. */
void quota_owner_take_usage (quota_owner_t *owner, GArray *usages);

size_t quota_owner_bucket_count (const quota_owner_t *owner);
