#include "rollout.h"

#include <string.h>

typedef struct
{
  char *id;
  uint64_t version;
  int64_t version_since_ms; /* wall clock of the first report of this version */
  int64_t last_report_ms;   /* wall clock of the last report */
} rollout_entry_t;

static void
free_entry (void *data)
{
  rollout_entry_t *entry = data;
  g_free (entry->id);
  g_free (entry);
}

void
rollout_init (rollout_t *rollout, size_t max_instances)
{
  rollout->instances = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_entry);
  rollout->max_instances = max_instances > 0 ? max_instances : ROLLOUT_MAX_INSTANCES;
}

void
rollout_destroy (rollout_t *rollout)
{
  g_hash_table_destroy (rollout->instances);
}

static void
drop_least_recently_reported (rollout_t *rollout)
{
  GHashTableIter iter;
  void *value = NULL;
  const rollout_entry_t *oldest = NULL;
  g_hash_table_iter_init (&iter, rollout->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const rollout_entry_t *entry = value;
      if (oldest == NULL || entry->last_report_ms < oldest->last_report_ms
          || (entry->last_report_ms == oldest->last_report_ms
              && strcmp (entry->id, oldest->id) < 0))
        oldest = entry;
    }
  if (oldest != NULL)
    g_hash_table_remove (rollout->instances, oldest->id);
}

static rollout_entry_t *
add_entry (rollout_t *rollout, const char *id)
{
  if (g_hash_table_size (rollout->instances) >= rollout->max_instances)
    drop_least_recently_reported (rollout);
  rollout_entry_t *entry = g_new0 (rollout_entry_t, 1);
  entry->id = g_strdup (id);
  g_hash_table_insert (rollout->instances, entry->id, entry);
  return entry;
}

void
rollout_record_version (rollout_t *rollout, const char *id, uint64_t version, int64_t wall_ms)
{
  rollout_entry_t *entry = g_hash_table_lookup (rollout->instances, id);
  bool is_new = entry == NULL;
  if (is_new)
    entry = add_entry (rollout, id);
  if (is_new || entry->version != version)
    {
      entry->version = version;
      entry->version_since_ms = wall_ms;
    }
  entry->last_report_ms = wall_ms;
}

void
rollout_remove (rollout_t *rollout, const char *id)
{
  g_hash_table_remove (rollout->instances, id);
}

rollout_summary_t
rollout_summarize (const rollout_t *rollout, uint64_t version)
{
  rollout_summary_t summary = { 0, 0, 0 };
  GHashTableIter iter;
  void *value = NULL;
  g_hash_table_iter_init (&iter, rollout->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const rollout_entry_t *entry = value;
      if (summary.in_force + summary.behind == 0 || entry->version < summary.lowest)
        summary.lowest = entry->version;
      if (entry->version >= version)
        summary.in_force++;
      else
        summary.behind++;
    }
  return summary;
}

static int
compare_entries (const void *a, const void *b)
{
  const rollout_entry_t *const *left = a;
  const rollout_entry_t *const *right = b;
  return strcmp ((*left)->id, (*right)->id);
}

cJSON *
rollout_to_json (const rollout_t *rollout)
{
  cJSON *list = cJSON_CreateArray ();
  g_autoptr (GPtrArray) entries = g_ptr_array_new ();
  GHashTableIter iter;
  void *value = NULL;
  g_hash_table_iter_init (&iter, rollout->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (entries, value);
  g_ptr_array_sort (entries, compare_entries);
  for (guint i = 0; i < entries->len; i++)
    {
      const rollout_entry_t *entry = g_ptr_array_index (entries, i);
      cJSON *object = cJSON_CreateObject ();
      cJSON_AddStringToObject (object, "instance", entry->id);
      cJSON_AddNumberToObject (object, "version", (double)entry->version);
      cJSON_AddNumberToObject (object, "since_ms", (double)entry->version_since_ms);
      cJSON_AddNumberToObject (object, "seen_ms", (double)entry->last_report_ms);
      cJSON_AddItemToArray (list, object);
    }
  return list;
}
