#include "entry_directory.h"

#include <string.h>

typedef struct
{
  uint32_t weight;
  const directory_entry_t *entry;
} ranked_t;

void
entry_directory_init (entry_directory_t *directory, const directory_options_t *options)
{
  directory->options = *options;
  directory->entries = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
}

void
entry_directory_destroy (entry_directory_t *directory)
{
  g_clear_pointer (&directory->entries, g_hash_table_unref);
}

bool
entry_directory_report (entry_directory_t *directory, const directory_entry_t *entry)
{
  directory_entry_t *known = g_hash_table_lookup (directory->entries, entry->id);
  if (known == NULL)
    {
      known = g_new (directory_entry_t, 1);
      *known = *entry;
      g_hash_table_insert (directory->entries, known->id, known);
      return true;
    }
  if (entry->incarnation < known->incarnation)
    return false;
  bool changed = known->state != entry->state || known->incarnation != entry->incarnation;
  *known = *entry;
  return changed;
}

/* Rendezvous weight: the same in every control instance. */
static uint32_t
weight_of (const directory_entry_t *entry)
{
  uint32_t hash = 2166136261u;
  for (const char *p = entry->id; *p != '\0'; p++)
    hash = (hash ^ (uint8_t)*p) * 16777619u;
  hash ^= hash >> 16;
  hash *= 0x7feb352du;
  return hash ^ (hash >> 15);
}

static gint
compare_rank (gconstpointer a, gconstpointer b)
{
  const ranked_t *x = a;
  const ranked_t *y = b;
  if (x->weight != y->weight)
    return x->weight > y->weight ? -1 : 1;
  return strcmp (x->entry->id, y->entry->id);
}

/* Ranks the ready entries of DOMAIN (NULL: of all domains) that have reported since SINCE_US. */
static GArray *
rank (const entry_directory_t *directory, int64_t since_us, const char *domain)
{
  GArray *ranked = g_array_new (FALSE, FALSE, sizeof (ranked_t));
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, directory->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const directory_entry_t *entry = value;
      if (entry->state != ENTRY_READY || entry->seen_us < since_us
          || (domain != NULL && strcmp (entry->domain, domain) != 0))
        continue;
      ranked_t element = { weight_of (entry), entry };
      g_array_append_val (ranked, element);
    }
  g_array_sort (ranked, compare_rank);
  return ranked;
}

static size_t
take (GArray *ranked, const directory_entry_t **out, size_t max)
{
  size_t count = MIN (ranked->len, max);
  for (size_t i = 0; i < count; i++)
    out[i] = g_array_index (ranked, ranked_t, i).entry;
  g_array_unref (ranked);
  return count;
}

size_t
entry_directory_active (const entry_directory_t *directory, int64_t now_us, const char *domain,
                        const directory_entry_t **out, size_t max)
{
  int64_t since_us = now_us - directory->options.silence_us;
  return take (rank (directory, since_us, domain), out,
               MIN (max, directory->options.active_per_domain));
}

size_t
entry_directory_resolve (const entry_directory_t *directory, int64_t now_us, const char *domain,
                         const directory_entry_t **out, size_t max)
{
  int64_t since_us = now_us - directory->options.silence_us;
  size_t count = entry_directory_active (directory, now_us, domain, out, max);
  max = MIN (max, 2 * (size_t)directory->options.active_per_domain);
  if (count == 0)
    count = take (rank (directory, since_us, NULL), out, max);
  if (count == 0)
    count = take (rank (directory, INT64_MIN, domain), out, max);
  if (count == 0)
    count = take (rank (directory, INT64_MIN, NULL), out, max);
  return count;
}

void
entry_directory_prune (entry_directory_t *directory, int64_t before_us)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, directory->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const directory_entry_t *entry = value;
      if (entry->seen_us < before_us)
        g_hash_table_iter_remove (&iter);
    }
}
