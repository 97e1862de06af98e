#include "route_split.h"

#define HASH_PRIME UINT64_C (0x100000001b3)

typedef struct
{
  char *route_id; /* key */
  uint64_t weights_hash;
  double *request_counts; /* requests of each part, plus a random start offset */
} split_state_t;

static void
free_state (gpointer data)
{
  split_state_t *state = data;
  g_free (state->route_id);
  g_free (state->request_counts);
  g_free (state);
}

void
route_split_init (route_split_t *split)
{
  split->routes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_state);
}

void
route_split_destroy (route_split_t *split)
{
  g_clear_pointer (&split->routes, g_hash_table_unref);
}

const config_service_t *
route_split_choose (route_split_t *split, const config_doc_t *doc, const config_route_t *route,
                    rng_t *rng)
{
  uint64_t weights_hash = 1;
  double weight_sum = 0;
  double request_total = 1;
  if (route->split == NULL)
    return config_doc_service (doc, route->service);
  for (uint32_t i = 0; i < route->split_count; i++)
    {
      const config_split_t *part = &route->split[i];
      const char *name = config_doc_service (doc, part->service)->name;
      weights_hash = (weights_hash ^ part->weight) * HASH_PRIME;
      weights_hash = (weights_hash ^ g_str_hash (name)) * HASH_PRIME;
      weight_sum += part->weight;
    }
  split_state_t *state = g_hash_table_lookup (split->routes, route->id);
  if (state == NULL || state->weights_hash != weights_hash)
    {
      state = g_new0 (split_state_t, 1);
      state->route_id = g_strdup (route->id);
      state->weights_hash = weights_hash;
      state->request_counts = g_new0 (double, route->split_count);
      g_hash_table_replace (split->routes, state->route_id, state);
      /* The entries start at different offsets, so that the requests of all entries together follow
       * the weights even when each entry has few. */
      double offset = rng_uniform_double (rng);
      for (uint32_t i = 0; i < route->split_count; i++)
        state->request_counts[i] = i == 0 ? offset : offset * route->split[i].weight / weight_sum;
    }
  for (uint32_t i = 0; i < route->split_count; i++)
    request_total += state->request_counts[i];
  uint32_t chosen = 0;
  double max_deficit = -G_MAXDOUBLE;
  for (uint32_t i = 0; i < route->split_count; i++)
    {
      double deficit
          = request_total * route->split[i].weight / weight_sum - state->request_counts[i];
      if (route->split[i].weight > 0 && deficit > max_deficit)
        {
          max_deficit = deficit;
          chosen = i;
        }
    }
  state->request_counts[chosen] += 1;
  return config_doc_service (doc, route->split[chosen].service);
}
