#include "rollout.h"

#include <string.h>

typedef struct
{
  char *id;
  uint64_t version;
  int64_t version_since_ms; /* wall clock of the first report of this version */
  int64_t last_report_ms;   /* wall clock of the last report */
} rollout_instance_t;

static void
free_instance (void *data)
{
  rollout_instance_t *instance = data;
  g_free (instance->id);
  g_free (instance);
}

void
rollout_init (rollout_t *rollout, size_t max_instances)
{
  rollout->instances = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_instance);
  rollout->max_instances = max_instances > 0 ? max_instances : ROLLOUT_DEFAULT_MAX_INSTANCES;
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
  const rollout_instance_t *oldest = NULL;
  g_hash_table_iter_init (&iter, rollout->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const rollout_instance_t *instance = value;
      if (oldest == NULL || instance->last_report_ms < oldest->last_report_ms
          || (instance->last_report_ms == oldest->last_report_ms
              && strcmp (instance->id, oldest->id) < 0))
        oldest = instance;
    }
  if (oldest != NULL)
    g_hash_table_remove (rollout->instances, oldest->id);
}

static rollout_instance_t *
add_instance (rollout_t *rollout, const char *id)
{
  if (g_hash_table_size (rollout->instances) >= rollout->max_instances)
    drop_least_recently_reported (rollout);
  rollout_instance_t *instance = g_new0 (rollout_instance_t, 1);
  instance->id = g_strdup (id);
  g_hash_table_insert (rollout->instances, instance->id, instance);
  return instance;
}

void
rollout_record_version (rollout_t *rollout, const char *id, uint64_t version, int64_t wall_ms)
{
  rollout_instance_t *instance = g_hash_table_lookup (rollout->instances, id);
  bool is_new = instance == NULL;
  if (is_new)
    instance = add_instance (rollout, id);
  if (is_new || instance->version != version)
    {
      instance->version = version;
      instance->version_since_ms = wall_ms;
    }
  instance->last_report_ms = wall_ms;
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
      const rollout_instance_t *instance = value;
      if (summary.in_force + summary.behind == 0 || instance->version < summary.lowest)
        summary.lowest = instance->version;
      if (instance->version >= version)
        summary.in_force++;
      else
        summary.behind++;
    }
  return summary;
}

static int
compare_instances (const void *a, const void *b)
{
  const rollout_instance_t *const *left = a;
  const rollout_instance_t *const *right = b;
  return strcmp ((*left)->id, (*right)->id);
}

cJSON *
rollout_to_json (const rollout_t *rollout)
{
  cJSON *list = cJSON_CreateArray ();
  g_autoptr (GPtrArray) instances = g_ptr_array_new ();
  GHashTableIter iter;
  void *value = NULL;
  g_hash_table_iter_init (&iter, rollout->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (instances, value);
  g_ptr_array_sort (instances, compare_instances);
  for (guint i = 0; i < instances->len; i++)
    {
      const rollout_instance_t *instance = g_ptr_array_index (instances, i);
      cJSON *object = cJSON_CreateObject ();
      cJSON_AddStringToObject (object, "instance", instance->id);
      cJSON_AddNumberToObject (object, "version", (double)instance->version);
      cJSON_AddNumberToObject (object, "since_ms", (double)instance->version_since_ms);
      cJSON_AddNumberToObject (object, "seen_ms", (double)instance->last_report_ms);
      cJSON_AddItemToArray (list, object);
    }
  return list;
}
