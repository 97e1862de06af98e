#include "target_registry.h"

#include <string.h>

void
target_registry_init (target_registry_t *registry)
{
  *registry = (target_registry_t){ .next_order = 1 };
  registry->targets = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  registry->departures = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
}

void
target_registry_destroy (target_registry_t *registry)
{
  g_clear_pointer (&registry->targets, g_hash_table_unref);
  g_clear_pointer (&registry->departures, g_hash_table_unref);
}

const char *
registry_state_name (registry_state_t state)
{
  static const char *const names[] = { "ready", "draining", "gone" };
  return names[state];
}

const registry_target_t *
target_registry_find (const target_registry_t *registry, const char *id)
{
  return g_hash_table_lookup (registry->targets, id);
}

registry_state_t
target_registry_get_recorded_state (const target_registry_t *registry, const char *id,
                                    int64_t started_at_ms)
{
  const registry_departure_t *departure = g_hash_table_lookup (registry->departures, id);
  if (departure == NULL || started_at_ms > departure->started_at_ms)
    return REGISTRY_READY;
  /* A target has one incarnation at a time, so those before the recorded one have ended. */
  return started_at_ms < departure->started_at_ms ? REGISTRY_GONE : departure->state;
}

static bool
is_outdated (const registry_target_t *target, const registry_target_t *known)
{
  return target->started_at_ms != known->started_at_ms
             ? target->started_at_ms < known->started_at_ms
             : target->sequence <= known->sequence;
}

static bool
has_changed (const registry_target_t *a, const registry_target_t *b)
{
  return a->state != b->state || a->slots != b->slots || strcmp (a->address, b->address) != 0
         || strcmp (a->service, b->service) != 0 || strcmp (a->domain, b->domain) != 0;
}

/* Drops older targets with the address of TARGET. Returns false if the address belongs to a target
 * that started later. */
static bool
drop_previous_targets (target_registry_t *registry, const registry_target_t *target,
                       registry_visit_t dropped, void *data)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, registry->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      registry_target_t *other = value;
      if (strcmp (other->address, target->address) != 0 || strcmp (other->id, target->id) == 0)
        continue;
      if (other->started_at_ms > target->started_at_ms)
        return false;
      other->state = REGISTRY_GONE;
      if (dropped != NULL)
        dropped (data, other);
      g_hash_table_iter_remove (&iter);
    }
  return true;
}

registry_result_t
target_registry_announce (target_registry_t *registry, const registry_target_t *target,
                          registry_visit_t dropped, void *data)
{
  registry_target_t *known = g_hash_table_lookup (registry->targets, target->id);
  if (target_registry_get_recorded_state (registry, target->id, target->started_at_ms)
      != REGISTRY_READY)
    return REGISTRY_DEPARTED;
  if (known != NULL && is_outdated (target, known))
    return REGISTRY_OUTDATED;
  bool same_incarnation = known != NULL && known->started_at_ms == target->started_at_ms;
  if (same_incarnation && !has_changed (known, target))
    {
      known->sequence = target->sequence;
      known->last_announcement_us = MAX (known->last_announcement_us, target->last_announcement_us);
      return REGISTRY_RENEWED;
    }
  if (!drop_previous_targets (registry, target, dropped, data))
    return REGISTRY_OUTDATED;
  if (known == NULL)
    {
      known = g_new (registry_target_t, 1);
      *known = *target;
      g_hash_table_insert (registry->targets, known->id, known);
      return REGISTRY_NEW;
    }
  *known = *target;
  return same_incarnation ? REGISTRY_CHANGED : REGISTRY_NEW;
}

static void
remove_oldest_departure (target_registry_t *registry)
{
  const registry_departure_t *oldest = NULL;
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, registry->departures);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const registry_departure_t *departure = value;
      if (oldest == NULL || departure->order < oldest->order)
        oldest = departure;
    }
  g_hash_table_remove (registry->departures, oldest->id);
}

bool
target_registry_record_departure (target_registry_t *registry, const char *id,
                                  int64_t started_at_ms, registry_state_t state)
{
  registry_departure_t *departure = g_hash_table_lookup (registry->departures, id);
  registry_target_t *target = g_hash_table_lookup (registry->targets, id);

  if (departure != NULL
      && (started_at_ms < departure->started_at_ms
          || (started_at_ms == departure->started_at_ms && state <= departure->state)))
    return false;
  if (departure == NULL)
    {
      if (g_hash_table_size (registry->departures) >= REGISTRY_MAX_DEPARTURES)
        remove_oldest_departure (registry);
      departure = g_new0 (registry_departure_t, 1);
      g_strlcpy (departure->id, id, sizeof (departure->id));
      g_hash_table_insert (registry->departures, departure->id, departure);
    }
  departure->started_at_ms = started_at_ms;
  departure->state = state;
  departure->order = registry->next_order++;
  if (target != NULL && target->started_at_ms <= started_at_ms)
    target->state = state;
  return true;
}

void
target_registry_remove (target_registry_t *registry, const char *id)
{
  g_hash_table_remove (registry->targets, id);
}

void
target_registry_expire (target_registry_t *registry, int64_t before_us, registry_visit_t dropped,
                        void *data)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, registry->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      registry_target_t *target = value;
      if (target->last_announcement_us >= before_us)
        continue;
      target->state = REGISTRY_GONE;
      if (dropped != NULL)
        dropped (data, target);
      g_hash_table_iter_remove (&iter);
    }
}

void
target_registry_foreach (const target_registry_t *registry, registry_visit_t visit, void *data)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, registry->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (data, value);
}

void
target_registry_foreach_departure (const target_registry_t *registry,
                                   void (*visit) (void *data,
                                                  const registry_departure_t *departure),
                                   void *data)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, registry->departures);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (data, value);
}

void
target_registry_clear_departures (target_registry_t *registry)
{
  g_hash_table_remove_all (registry->departures);
  registry->next_order = 1;
}
