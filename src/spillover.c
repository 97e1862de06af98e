#include "spillover.h"

/* Least ratio of the own wait to the peer's wait to start and to continue forwarding. When all
 * entries are overloaded, their estimates differ by chance, and each forwarded request would cross
 * a costly link without benefit. */
#define START_WAIT_FACTOR 2.0
#define CONTINUE_WAIT_FACTOR 1.25

typedef struct
{
  spillover_peer_t summary;
  uint32_t forwarded_count; /* requests since the summary */
  bool forwarding[2];       /* by class, whether requests are being forwarded */
} spillover_peer_state_t;

void
spillover_init (spillover_t *s)
{
  s->peers = g_array_new (FALSE, TRUE, sizeof (spillover_peer_state_t));
}

void
spillover_destroy (spillover_t *s)
{
  g_array_free (s->peers, TRUE);
}

static spillover_peer_state_t *
find_peer (spillover_t *s, uint64_t entry_id, guint *index)
{
  for (guint i = 0; i < s->peers->len; i++)
    {
      spillover_peer_state_t *state = &g_array_index (s->peers, spillover_peer_state_t, i);
      if (state->summary.entry_id != entry_id)
        continue;
      if (index != NULL)
        *index = i;
      return state;
    }
  return NULL;
}

void
spillover_update (spillover_t *s, const spillover_peer_t *peer)
{
  spillover_peer_state_t *state = find_peer (s, peer->entry_id, NULL);

  if (state == NULL)
    {
      spillover_peer_state_t added = { .summary = *peer };
      g_array_append_val (s->peers, added);
      return;
    }
  if (peer->summary_sent_us <= state->summary.summary_sent_us)
    return;
  state->summary = *peer;
  state->forwarded_count = 0;
}

void
spillover_remove (spillover_t *s, uint64_t entry_id)
{
  guint index;

  if (find_peer (s, entry_id, &index) != NULL)
    g_array_remove_index_fast (s->peers, index);
}

/* Returns the expected queue wait at the peer; -1 if it has no slots or its summary is too old. */
static int64_t
estimate_peer_wait_us (const spillover_peer_state_t *state, int64_t now_us, unsigned class_index,
                       double service_time_us)
{
  const spillover_peer_t *summary = &state->summary;

  if (summary->slots == 0 || now_us - summary->summary_sent_us > SPILLOVER_MAX_SUMMARY_AGE_US)
    return -1;
  if (state->forwarded_count < summary->free_slots)
    return summary->wait_us[class_index];
  uint32_t queued = state->forwarded_count - summary->free_slots + 1;
  return summary->wait_us[class_index] + (int64_t)(queued * service_time_us / summary->slots);
}

bool
spillover_decide (spillover_t *s, int64_t now_us, unsigned class_index, int64_t own_wait_us,
                  double service_time_us, uint64_t *entry_id)
{
  spillover_peer_state_t *best = NULL;
  int64_t best_cost_us = INT64_MAX;

  for (guint i = 0; i < s->peers->len; i++)
    {
      spillover_peer_state_t *state = &g_array_index (s->peers, spillover_peer_state_t, i);
      int64_t wait_us = estimate_peer_wait_us (state, now_us, class_index, service_time_us);
      int64_t distance_us = state->summary.distance_us;
      bool forwarding = state->forwarding[class_index];
      int64_t margin_us = forwarding ? distance_us / 2 : distance_us;
      double factor = forwarding ? CONTINUE_WAIT_FACTOR : START_WAIT_FACTOR;

      state->forwarding[class_index] = wait_us >= 0 && own_wait_us > wait_us + margin_us
                                       && (double)own_wait_us > factor * (double)wait_us;
      if (state->forwarding[class_index] && wait_us + distance_us < best_cost_us)
        {
          best = state;
          best_cost_us = wait_us + distance_us;
        }
    }
  if (best == NULL)
    return false;
  best->forwarded_count++;
  *entry_id = best->summary.entry_id;
  return true;
}
