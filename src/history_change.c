#include "history_change.h"

#include <string.h>

typedef struct
{
  text_page_t *page;
  size_t indent;
  GString *path;
  size_t count;
} change_t;

char *
history_quote (const char *text)
{
  cJSON *string = cJSON_CreateStringReference (text);
  char *quoted = json_canonical (string);
  cJSON_Delete (string);
  return quoted;
}

static void
add_value (change_t *change, char sign, const cJSON *value)
{
  g_autofree char *text = json_canonical (value);
  text_page_add (change->page, change->indent, "%c %s = %s", sign, change->path->str, text);
  change->count++;
}

static void
compare_values (change_t *change, const cJSON *from, const cJSON *to)
{
  g_autofree char *old = json_canonical (from);
  g_autofree char *new_text = json_canonical (to);
  if (strcmp (old, new_text) == 0)
    return;
  text_page_add (change->page, change->indent, "* %s = %s to %s", change->path->str, old, new_text);
  change->count++;
}

static const char *
id_of (const cJSON *element)
{
  return json_string (element, "id", NULL);
}

/* Returns the elements of an object by key, or of an array by "id"; NULL if VALUE is neither an
 * object nor an array of elements with different ids. */
static GHashTable *
members_by_name (const cJSON *value)
{
  const cJSON *child = NULL;
  if (!cJSON_IsObject (value) && !cJSON_IsArray (value))
    return NULL;
  GHashTable *members = g_hash_table_new (g_str_hash, g_str_equal);
  cJSON_ArrayForEach (child, value)
  {
    const char *name = cJSON_IsObject (value) ? child->string : id_of (child);
    if (name == NULL || !g_hash_table_insert (members, (void *)name, (void *)child))
      {
        g_hash_table_destroy (members);
        return NULL;
      }
  }
  return members;
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static GPtrArray *
all_names (GHashTable *left, GHashTable *right)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  void *name = NULL;
  g_hash_table_iter_init (&iter, left);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (names, name);
  g_hash_table_iter_init (&iter, right);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      if (!g_hash_table_contains (left, name))
        g_ptr_array_add (names, name);
    }
  g_ptr_array_sort (names, compare_names);
  return names;
}

static void compare (change_t *change, const cJSON *from, const cJSON *to);

static void
compare_member (change_t *change, const cJSON *old, const cJSON *new_value)
{
  if (old == NULL)
    add_value (change, '+', new_value);
  else if (new_value == NULL)
    add_value (change, '-', old);
  else
    compare (change, old, new_value);
}

static void
compare_members (change_t *change, GHashTable *left, GHashTable *right, const char *format)
{
  g_autoptr (GPtrArray) names = all_names (left, right);
  gsize size = change->path->len;
  for (guint i = 0; i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);
      g_string_append_printf (change->path, format[0] == '.' ? ".%s" : "[%s]", name);
      compare_member (change, g_hash_table_lookup (left, name), g_hash_table_lookup (right, name));
      g_string_truncate (change->path, size);
    }
}

static void
compare (change_t *change, const cJSON *from, const cJSON *to)
{
  GHashTable *left = members_by_name (from);
  GHashTable *right = members_by_name (to);
  if (left != NULL && right != NULL && cJSON_IsObject (from) == cJSON_IsObject (to))
    compare_members (change, left, right, cJSON_IsObject (from) ? "." : "[");
  else
    compare_values (change, from, to);
  g_clear_pointer (&left, g_hash_table_destroy);
  g_clear_pointer (&right, g_hash_table_destroy);
}

void
history_add_changes (text_page_t *page, size_t indent, const cJSON *from, const cJSON *to)
{
  change_t change = { page, indent, g_string_new ("$"), 0 };
  compare (&change, from, to);
  if (change.count == 0)
    {
      g_autofree char *old = json_canonical (from);
      g_autofree char *new_text = json_canonical (to);
      bool same = strcmp (old, new_text) == 0;
      text_page_add (page, indent, "%s", same ? "no change" : "only the order of elements changed");
    }
  g_string_free (change.path, TRUE);
}
