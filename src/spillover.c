#include "spillover.h"

/* Forwarding also needs a clear difference of the waits: when all entries are overloaded, their
 * estimates differ by chance, and each forwarded request crosses a costly link for nothing. */
#define START_FACTOR 2.0
#define CONTINUE_FACTOR 1.25

typedef struct
{
  spillover_peer_t summary;
  uint32_t forwarded; /* since the summary */
  bool active[2];     /* by class */
} spillover_entry_t;

void
spillover_init (spillover_t *s)
{
  s->peers = g_array_new (FALSE, TRUE, sizeof (spillover_entry_t));
}

void
spillover_destroy (spillover_t *s)
{
  g_array_free (s->peers, TRUE);
}

static spillover_entry_t *
find (spillover_t *s, uint64_t entry_id, guint *index)
{
  for (guint i = 0; i < s->peers->len; i++)
    {
      spillover_entry_t *entry = &g_array_index (s->peers, spillover_entry_t, i);
      if (entry->summary.entry_id != entry_id)
        continue;
      if (index != NULL)
        *index = i;
      return entry;
    }
  return NULL;
}

void
spillover_update (spillover_t *s, const spillover_peer_t *peer)
{
  spillover_entry_t *entry = find (s, peer->entry_id, NULL);

  if (entry == NULL)
    {
      spillover_entry_t fresh = { .summary = *peer };
      g_array_append_val (s->peers, fresh);
      return;
    }
  if (peer->taken_us <= entry->summary.taken_us)
    return;
  entry->summary = *peer;
  entry->forwarded = 0;
}

void
spillover_remove (spillover_t *s, uint64_t entry_id)
{
  guint index;

  if (find (s, entry_id, &index) != NULL)
    g_array_remove_index_fast (s->peers, index);
}

/* Returns the wait at the peer, or -1 if the peer takes no requests. */
static int64_t
remote_wait (const spillover_entry_t *entry, int64_t now_us, unsigned class_index,
             double service_us)
{
  const spillover_peer_t *summary = &entry->summary;

  if (summary->slots == 0 || now_us - summary->taken_us > SPILLOVER_SUMMARY_MAX_AGE_US)
    return -1;
  if (entry->forwarded < summary->free_slots)
    return summary->wait_us[class_index];
  uint32_t queued = entry->forwarded - summary->free_slots + 1;
  return summary->wait_us[class_index] + (int64_t)(queued * service_us / summary->slots);
}

bool
spillover_decide (spillover_t *s, int64_t now_us, unsigned class_index, int64_t own_wait_us,
                  double service_us, uint64_t *entry_id)
{
  spillover_entry_t *best = NULL;
  int64_t best_cost_us = INT64_MAX;

  for (guint i = 0; i < s->peers->len; i++)
    {
      spillover_entry_t *entry = &g_array_index (s->peers, spillover_entry_t, i);
      int64_t wait_us = remote_wait (entry, now_us, class_index, service_us);
      int64_t distance_us = entry->summary.distance_us;
      bool active = entry->active[class_index];
      int64_t margin_us = active ? distance_us / 2 : distance_us;
      double factor = active ? CONTINUE_FACTOR : START_FACTOR;

      entry->active[class_index] = wait_us >= 0 && own_wait_us > wait_us + margin_us
                                   && (double)own_wait_us > factor * (double)wait_us;
      if (entry->active[class_index] && wait_us + distance_us < best_cost_us)
        {
          best = entry;
          best_cost_us = wait_us + distance_us;
        }
    }
  if (best == NULL)
    return false;
  best->forwarded++;
  *entry_id = best->summary.entry_id;
  return true;
}
