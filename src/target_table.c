#include "target_table.h"

#include <string.h>

static guint
target_hash (gconstpointer key)
{
  const target_t *target = key;
  return g_str_hash (target->service) * 31 + g_str_hash (target->address);
}

static gboolean
target_equal (gconstpointer a, gconstpointer b)
{
  const target_t *left = a;
  const target_t *right = b;
  return strcmp (left->address, right->address) == 0 && strcmp (left->service, right->service) == 0;
}

static void
target_free (void *data)
{
  target_t *target = data;
  g_free (target->service);
  g_free (target->address);
  g_free (target->domain);
  g_free (target);
}

int64_t
target_compute_max_age_us (int64_t now_us, int64_t echo_us, int64_t held_us)
{
  if (held_us < 0 || echo_us > now_us || held_us > now_us - echo_us)
    return LINK_CLOCK_AGE_UNKNOWN;
  return now_us - echo_us - held_us;
}

void
target_table_init (target_table_t *table, const target_table_options_t *options)
{
  table->options = *options;
  table->targets = g_hash_table_new_full (target_hash, target_equal, target_free, NULL);
  table->service_target_counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
target_table_destroy (target_table_t *table)
{
  g_hash_table_unref (table->targets);
  g_hash_table_unref (table->service_target_counts);
}

size_t
target_table_size (const target_table_t *table)
{
  return g_hash_table_size (table->targets);
}

const target_t *
target_table_find (const target_table_t *table, const char *service, const char *address)
{
  const target_t key = { .service = (char *)service, .address = (char *)address };
  return g_hash_table_lookup (table->targets, &key);
}

bool
target_is_usable (const target_t *target, int64_t now_us)
{
  return target->state == TARGET_UP && now_us < target->lease_end_us;
}

static void
report_event (const target_table_t *table, target_event_t event, const target_t *target)
{
  if (table->options.on_event != NULL)
    table->options.on_event (table->options.data, event, target);
}

static void
add_to_service_count (target_table_t *table, const char *service, int change)
{
  int count
      = GPOINTER_TO_INT (g_hash_table_lookup (table->service_target_counts, service)) + change;
  if (count == 0)
    g_hash_table_remove (table->service_target_counts, service);
  else
    g_hash_table_replace (table->service_target_counts, g_strdup (service),
                          GINT_TO_POINTER (count));
}

static bool
has_capacity (const target_table_t *table, const char *service)
{
  int count = GPOINTER_TO_INT (g_hash_table_lookup (table->service_target_counts, service));
  return target_table_size (table) < table->options.max_targets
         && (size_t)count < table->options.max_per_service;
}

static target_t *
find_or_add (target_table_t *table, const target_announcement_t *announcement)
{
  const target_t *known = target_table_find (table, announcement->service, announcement->address);
  if (known != NULL || !has_capacity (table, announcement->service))
    return (target_t *)known;

  target_t *target = g_new0 (target_t, 1);
  target->service = g_strdup (announcement->service);
  target->address = g_strdup (announcement->address);
  target->domain = g_strdup (announcement->domain);
  target->incarnation = announcement->incarnation;
  link_clock_init (&target->clock);
  g_hash_table_add (table->targets, target);
  add_to_service_count (table, target->service, 1);
  return target;
}

static bool
is_valid (const target_announcement_t *announcement)
{
  return announcement->service[0] != '\0' && announcement->address[0] != '\0'
         && announcement->slots > 0 && announcement->connections > 0 && announcement->load >= 0
         && announcement->load <= 1;
}

/* Returns whether ANNOUNCEMENT was sent after the last one that was applied. Sequence numbers start
 * at 1, so a new target, which has 0, accepts any. */
static bool
is_later (const target_t *target, const target_announcement_t *announcement)
{
  if (announcement->incarnation != target->incarnation)
    return announcement->incarnation > target->incarnation;
  return announcement->seq > target->seq;
}

/* Copies the properties and the state. Returns whether a property has changed. */
static bool
update_properties (target_t *target, const target_announcement_t *announcement)
{
  uint32_t connection_cap = MAX (1, announcement->connections / TARGET_CONNECTION_DIVISOR);
  bool domain_changed = strcmp (target->domain, announcement->domain) != 0;
  bool changed = domain_changed || target->slots != announcement->slots
                 || target->connection_cap != connection_cap || target->load != announcement->load;
  if (domain_changed)
    {
      g_free (target->domain);
      target->domain = g_strdup (announcement->domain);
    }
  target->slots = announcement->slots;
  target->connection_cap = connection_cap;
  target->load = announcement->load;
  target->state = announcement->state;
  return changed;
}

static void
report_gone (const target_table_t *table, target_t *target)
{
  if (!target->reported_added)
    return;
  target->reported_added = false;
  report_event (table, TARGET_EVENT_GONE, target);
}

/* Returns the age of ANNOUNCEMENT. If it is unknown, returns LINK_CLOCK_AGE_UNKNOWN, or the excess
 * delay if require_echo is not set. A new incarnation resets the clock estimates, because the
 * monotonic clock of a target starts again with its process. */
static int64_t
compute_age (const target_table_t *table, target_t *target, int64_t now_us,
             const target_announcement_t *announcement)
{
  int64_t sent_us = announcement->sent_us;
  if (announcement->incarnation > target->incarnation)
    link_clock_init (&target->clock);
  if (announcement->max_age_us != LINK_CLOCK_AGE_UNKNOWN)
    link_clock_record_round_trip (&target->clock, now_us, sent_us,
                                  now_us - announcement->max_age_us);

  int64_t excess_us = link_clock_record_message (&target->clock, now_us, sent_us);
  int64_t age_us = link_clock_age_us (&target->clock, now_us, sent_us);
  if (age_us == LINK_CLOCK_AGE_UNKNOWN && !table->options.require_echo)
    return excess_us;
  return age_us;
}

static void
report_change (const target_table_t *table, target_t *target, int64_t now_us, bool changed)
{
  if (!target_is_usable (target, now_us))
    {
      report_gone (table, target);
      return;
    }
  if (!target->reported_added)
    {
      target->reported_added = true;
      report_event (table, TARGET_EVENT_ADDED, target);
      return;
    }
  if (changed)
    report_event (table, TARGET_EVENT_CHANGED, target);
}

target_result_t
target_table_announce (target_table_t *table, int64_t now_us,
                       const target_announcement_t *announcement, bool owned)
{
  if (!is_valid (announcement))
    return TARGET_INVALID;
  if (!owned)
    return TARGET_NOT_OWNED;
  target_t *target = find_or_add (table, announcement);
  if (target == NULL)
    return TARGET_TABLE_FULL;
  if (!is_later (target, announcement))
    return TARGET_OUTDATED;

  int64_t age_us = compute_age (table, target, now_us, announcement);
  bool changed = update_properties (target, announcement);
  target->incarnation = announcement->incarnation;
  target->seq = announcement->seq;
  target->retention_end_us = now_us + TARGET_LEASE_US + TARGET_RETENTION_US;
  target->lease_end_us
      = age_us == LINK_CLOCK_AGE_UNKNOWN ? now_us : now_us + TARGET_LEASE_US - age_us;
  report_change (table, target, now_us, changed);
  if (age_us == LINK_CLOCK_AGE_UNKNOWN)
    return TARGET_AGE_UNKNOWN;
  return target_is_usable (target, now_us) ? TARGET_ACCEPTED : TARGET_NOT_USABLE;
}

void
target_table_tick (target_table_t *table, int64_t now_us)
{
  GHashTableIter iter;
  gpointer key = NULL;
  g_hash_table_iter_init (&iter, table->targets);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      target_t *target = key;
      if (!target_is_usable (target, now_us))
        report_gone (table, target);
      if (now_us < target->retention_end_us)
        continue;
      add_to_service_count (table, target->service, -1);
      g_hash_table_iter_remove (&iter);
    }
}

void
target_table_end_unowned_leases (target_table_t *table, int64_t now_us,
                                 bool (*is_owned) (void *data, const target_t *target), void *data)
{
  GHashTableIter iter;
  gpointer key = NULL;
  g_hash_table_iter_init (&iter, table->targets);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      target_t *target = key;
      if (is_owned (data, target))
        continue;
      target->lease_end_us = MIN (target->lease_end_us, now_us);
      report_gone (table, target);
    }
}
