#include "stall_history.h"

/* Maximum number of routes. At that number all are dropped and learned again; routes that no longer
 * exist are not dropped otherwise. */
#define MAX_ROUTES 10000

void
stall_history_init (stall_history_t *history)
{
  history->quick_routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
stall_history_destroy (stall_history_t *history)
{
  g_clear_pointer (&history->quick_routes, g_hash_table_unref);
}

static void
store_stalls (stall_history_t *history, const char *route, guint stalls)
{
  g_hash_table_replace (history->quick_routes, g_strdup (route), GUINT_TO_POINTER (stalls));
}

void
stall_history_record_answer (stall_history_t *history, const char *route, bool quick)
{
  gpointer stalls = NULL;
  bool known = g_hash_table_lookup_extended (history->quick_routes, route, NULL, &stalls);
  if (!quick)
    {
      g_hash_table_remove (history->quick_routes, route);
      return;
    }
  if (known && stalls == NULL)
    return;
  if (!known && g_hash_table_size (history->quick_routes) >= MAX_ROUTES)
    g_hash_table_remove_all (history->quick_routes);
  store_stalls (history, route, 0);
}

void
stall_history_record_stall (stall_history_t *history, const char *route)
{
  gpointer stalls = NULL;
  if (!g_hash_table_lookup_extended (history->quick_routes, route, NULL, &stalls))
    return;
  if (GPOINTER_TO_UINT (stalls) + 1 >= STALL_HISTORY_MAX_STALLS)
    g_hash_table_remove (history->quick_routes, route);
  else
    store_stalls (history, route, GPOINTER_TO_UINT (stalls) + 1);
}

bool
stall_history_is_quick (const stall_history_t *history, const char *route)
{
  return g_hash_table_contains (history->quick_routes, route);
}
