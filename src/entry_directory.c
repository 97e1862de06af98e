#include "entry_directory.h"

#include <string.h>

/* The silent entries are left out unless the load of those that report would grow by more than this
 * factor. */
#define MAX_LOAD_FACTOR 4

typedef struct
{
  uint32_t weight;
  const directory_entry_t *entry;
} ranked_entry_t;

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
entry_directory_update (entry_directory_t *directory, const directory_entry_t *entry)
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

/* Returns whether so few of the ready entries have reported since SINCE_US that the silent ones are
 * more likely cut off from this instance than down. */
static bool
are_most_silent_since (const entry_directory_t *directory, int64_t since_us)
{
  unsigned ready = 0;
  unsigned reporting = 0;
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, directory->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const directory_entry_t *entry = value;
      if (entry->state != ENTRY_READY)
        continue;
      ready++;
      reporting += entry->last_report_us >= since_us;
    }
  return reporting * MAX_LOAD_FACTOR < ready;
}

bool
entry_directory_most_are_silent (const entry_directory_t *directory, int64_t now_us)
{
  return are_most_silent_since (directory, now_us - directory->options.report_timeout_us);
}

/* Returns the time since which an entry must have reported to be used at NOW_US. */
static int64_t
compute_since_us (const entry_directory_t *directory, int64_t now_us)
{
  return entry_directory_most_are_silent (directory, now_us)
             ? INT64_MIN
             : now_us - directory->options.report_timeout_us;
}

/* Returns the rendezvous weight of ENTRY. It depends on the id alone, so it is the same in every
 * control instance. */
static uint32_t
rendezvous_weight (const directory_entry_t *entry)
{
  uint32_t hash = 2166136261u;
  for (const char *p = entry->id; *p != '\0'; p++)
    hash = (hash ^ (uint8_t)*p) * 16777619u;
  hash ^= hash >> 16;
  hash *= 0x7feb352du;
  return hash ^ (hash >> 15);
}

static gint
compare_ranked (gconstpointer a, gconstpointer b)
{
  const ranked_entry_t *x = a;
  const ranked_entry_t *y = b;
  if (x->weight != y->weight)
    return x->weight > y->weight ? -1 : 1;
  return strcmp (x->entry->id, y->entry->id);
}

/* Returns the ready entries of DOMAIN (NULL: of all domains) that have reported since SINCE_US,
 * highest weight first. */
static GArray *
rank_entries (const entry_directory_t *directory, int64_t since_us, const char *domain)
{
  GArray *ranked = g_array_new (FALSE, FALSE, sizeof (ranked_entry_t));
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, directory->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const directory_entry_t *entry = value;
      if (entry->state != ENTRY_READY || entry->last_report_us < since_us
          || (domain != NULL && strcmp (entry->domain, domain) != 0))
        continue;
      ranked_entry_t element = { rendezvous_weight (entry), entry };
      g_array_append_val (ranked, element);
    }
  g_array_sort (ranked, compare_ranked);
  return ranked;
}

static uint64_t
mix_bits (uint64_t value)
{
  value ^= value >> 33;
  value *= UINT64_C (0xff51afd7ed558ccd);
  value ^= value >> 33;
  value *= UINT64_C (0xc4ceb9fe1a85ec53);
  return value ^ (value >> 33);
}

unsigned
directory_choose_cell (uint64_t member, unsigned cells, unsigned round)
{
  uint64_t previous = UINT64_MAX;
  unsigned chosen = 0;
  /* Each round finds the cell with the highest hash below that of the round before. No hash is 0,
   * the initial value of BEST. */
  for (unsigned r = 0; r <= round; r++)
    {
      uint64_t best = 0;
      for (unsigned cell = 0; cell < cells; cell++)
        {
          uint64_t hash = mix_bits (member ^ mix_bits (cell + 1)) | 1;
          if (hash < previous && hash > best)
            {
              best = hash;
              chosen = cell;
            }
        }
      previous = best;
    }
  return chosen;
}

/* Returns the number of entries of DOMAIN in any state. */
static unsigned
count_known (const entry_directory_t *directory, const char *domain)
{
  unsigned count = 0;
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, directory->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += strcmp (((const directory_entry_t *)value)->domain, domain) == 0;
  return count;
}

/* Returns the number of entries that are needed for the requests that SLOTS slots serve: at most
 * all of RANKED, but at least min_active_entries. */
static unsigned
count_needed (const entry_directory_t *directory, const GArray *ranked, unsigned slots)
{
  double needed = slots * directory->options.slot_rate;
  double capacity = 0;
  unsigned count = 0;
  while (count < ranked->len && capacity < needed)
    {
      const directory_entry_t *entry = g_array_index (ranked, ranked_entry_t, count).entry;
      capacity += MAX (entry->capacity, 1);
      count++;
    }
  return MAX (count, directory->options.min_active_entries);
}

/* Assigns each active entry to the cell that it prefers among those that are not full. */
static void
assign_cells (directory_layout_t *layout)
{
  guint max_cell_size = (layout->active->len + layout->cell_count - 1) / layout->cell_count;
  g_autofree guint *sizes = g_new0 (guint, layout->cell_count);
  for (guint i = 0; i < layout->active->len; i++)
    {
      uint64_t member = rendezvous_weight (g_ptr_array_index (layout->active, i));
      unsigned round = 0;
      guint cell = directory_choose_cell (member, layout->cell_count, round);
      while (sizes[cell] >= max_cell_size)
        cell = directory_choose_cell (member, layout->cell_count, ++round);
      sizes[cell]++;
      g_array_append_val (layout->cell_indexes, cell);
    }
}

void
entry_directory_compute_layout (const entry_directory_t *directory, int64_t now_us,
                                const char *domain, unsigned slots, directory_layout_t *layout)
{
  GArray *ranked = rank_entries (directory, compute_since_us (directory, now_us), domain);
  unsigned needed = count_needed (directory, ranked, slots);
  unsigned cells = MIN (slots / DIRECTORY_CELL_SLOTS,
                        MIN (needed, count_known (directory, domain)) / DIRECTORY_CELL_ENTRIES);

  layout->active = g_ptr_array_new ();
  layout->cell_indexes = g_array_new (FALSE, FALSE, sizeof (guint));
  layout->cell_count = MAX (cells, 1);
  for (guint i = 0; i < MIN (ranked->len, needed); i++)
    g_ptr_array_add (layout->active, (gpointer)g_array_index (ranked, ranked_entry_t, i).entry);
  g_array_unref (ranked);
  assign_cells (layout);
}

void
directory_layout_clear (directory_layout_t *layout)
{
  g_clear_pointer (&layout->active, g_ptr_array_unref);
  g_clear_pointer (&layout->cell_indexes, g_array_unref);
}

/* Stores up to MAX elements of RANKED in OUT, returns their number and frees RANKED. */
static size_t
store_ranked (GArray *ranked, const directory_entry_t **out, size_t max)
{
  size_t count = MIN (ranked->len, max);
  for (size_t i = 0; i < count; i++)
    out[i] = g_array_index (ranked, ranked_entry_t, i).entry;
  g_array_unref (ranked);
  return count;
}

size_t
entry_directory_resolve (const entry_directory_t *directory, int64_t now_us, const char *domain,
                         const directory_layout_t *layout, unsigned start,
                         const directory_entry_t **out, size_t max)
{
  guint active = layout->active->len;
  size_t count = MIN (active, max);
  for (size_t i = 0; i < count; i++)
    out[i] = g_ptr_array_index (layout->active, active > max ? (start + i) % active : i);
  if (count == 0)
    count = store_ranked (rank_entries (directory, compute_since_us (directory, now_us), NULL), out,
                          max);
  return count;
}

void
entry_directory_prune (entry_directory_t *directory, int64_t now_us, int64_t retention_us)
{
  int64_t before_us = now_us - retention_us;
  GHashTableIter iter;
  gpointer value = NULL;
  if (are_most_silent_since (directory, before_us))
    before_us = now_us - DIRECTORY_SILENT_RETENTIONS * retention_us;
  g_hash_table_iter_init (&iter, directory->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const directory_entry_t *entry = value;
      if (entry->last_report_us < before_us)
        g_hash_table_iter_remove (&iter);
    }
}
