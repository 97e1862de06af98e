#include "fair_share.h"

#include <math.h>

/* Time over which the usual rate of a member is measured: much longer than bursts of some seconds.
 */
#define USUAL_DECAY_US 60000000.0
/* Fewer offered requests than this do not tell that a member is starved. */
#define MIN_OFFERED 1.5
/* Period in which idle members are looked for. */
#define EXPIRY_PERIOD_US INT64_C (10000000)

typedef struct
{
  uint64_t id; /* key */
  share_count_t count;
  double usual; /* requests, decayed over USUAL_DECAY_US */
  int64_t usual_updated_us;
  double debt; /* at the time at which all members had the work DEBT_WORK */
  double debt_work;
} member_t;

void
fair_share_init (fair_share_t *share, double decay_us)
{
  *share = (fair_share_t){ .decay_us = decay_us };
  share->members = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
fair_share_destroy (fair_share_t *share)
{
  g_clear_pointer (&share->members, g_hash_table_unref);
}

static double
decay (int64_t since_us, int64_t now_us, double decay_us)
{
  return exp (-(double)(now_us - since_us) / decay_us);
}

static void
add_count (share_count_t *count, int64_t now_us, double decay_us, double offered, double served)
{
  double factor = decay (count->updated_us, now_us, decay_us);
  count->offered = count->offered * factor + offered;
  count->served = count->served * factor + served;
  count->updated_us = now_us;
}

static const member_t *
find (const fair_share_t *share, uint64_t id)
{
  return g_hash_table_lookup (share->members, &id);
}

static gboolean
is_idle (gpointer key, gpointer value, gpointer data)
{
  const member_t *member = value;
  return *(const int64_t *)data - member->usual_updated_us > FAIR_SHARE_IDLE_US;
}

/* Returns the part of all work that MEMBER may have without a debt. */
static double
work_share (const fair_share_t *share, const member_t *member, int64_t now_us)
{
  double all = share->usual * decay (share->usual_updated_us, now_us, USUAL_DECAY_US);
  double own = member->usual * decay (member->usual_updated_us, now_us, USUAL_DECAY_US);
  return MAX (all > 0 ? own / all : 0, 1.0 / MAX (g_hash_table_size (share->members), 1));
}

static double
current_debt (const fair_share_t *share, const member_t *member, int64_t now_us)
{
  double paid = work_share (share, member, now_us) * (share->work - member->debt_work);
  return MAX (member->debt - paid, 0);
}

void
fair_share_record_offered (fair_share_t *share, int64_t now_us, uint64_t id)
{
  member_t *member = g_hash_table_lookup (share->members, &id);
  if (now_us - share->last_expiry_us > EXPIRY_PERIOD_US)
    {
      share->last_expiry_us = now_us;
      g_hash_table_foreach_remove (share->members, is_idle, &now_us);
      member = g_hash_table_lookup (share->members, &id);
    }
  if (member == NULL)
    {
      member = g_new0 (member_t, 1);
      member->id = id;
      member->count.updated_us = now_us;
      member->usual_updated_us = now_us;
      member->debt_work = share->work;
      g_hash_table_insert (share->members, &member->id, member);
    }
  add_count (&member->count, now_us, share->decay_us, 1, 0);
  add_count (&share->all, now_us, share->decay_us, 1, 0);
  member->usual = member->usual * decay (member->usual_updated_us, now_us, USUAL_DECAY_US) + 1;
  member->usual_updated_us = now_us;
  share->usual = share->usual * decay (share->usual_updated_us, now_us, USUAL_DECAY_US) + 1;
  share->usual_updated_us = now_us;
}

void
fair_share_record_served (fair_share_t *share, int64_t now_us, uint64_t id, double work)
{
  member_t *member = g_hash_table_lookup (share->members, &id);
  add_count (&share->all, now_us, share->decay_us, 0, 1);
  share->work += work;
  if (member == NULL)
    return;
  add_count (&member->count, now_us, share->decay_us, 0, 1);
  member->debt = current_debt (share, member, now_us) + work;
  member->debt_work = share->work;
}

static double
served_share (const share_count_t *count)
{
  return count->offered > 0 ? MIN (count->served / count->offered, 1) : 1;
}

bool
fair_share_is_starved (const fair_share_t *share, int64_t now_us, uint64_t id)
{
  const member_t *member = find (share, id);
  if (member == NULL
      || member->count.offered * decay (member->count.updated_us, now_us, share->decay_us)
             < MIN_OFFERED)
    return false;
  return served_share (&member->count) < FAIR_SHARE_FLOOR * served_share (&share->all);
}

double
fair_share_served (const fair_share_t *share, int64_t now_us, uint64_t id)
{
  const member_t *member = find (share, id);
  return member != NULL ? served_share (&member->count) : 1;
}

double
fair_share_debt (const fair_share_t *share, int64_t now_us, uint64_t id)
{
  const member_t *member = find (share, id);
  return member != NULL ? current_debt (share, member, now_us) : 0;
}
