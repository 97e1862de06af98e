#include "history_change.h"

#include <string.h>

typedef struct
{
  text_page_t *page;
  size_t indent;
  GString *path;
  size_t change_count;
} change_writer_t;

char *
history_quote (const char *text)
{
  cJSON *string = cJSON_CreateStringReference (text);
  char *quoted = json_print_canonical (string);
  cJSON_Delete (string);
  return quoted;
}

static void
add_value (change_writer_t *writer, char sign, const cJSON *value)
{
  g_autofree char *text = json_print_canonical (value);
  text_page_add_paragraph (writer->page, writer->indent, "%c %s = %s", sign, writer->path->str,
                           text);
  writer->change_count++;
}

static void
add_changed_value (change_writer_t *writer, const cJSON *from, const cJSON *to)
{
  g_autofree char *old = json_print_canonical (from);
  g_autofree char *new_text = json_print_canonical (to);
  if (strcmp (old, new_text) == 0)
    return;
  text_page_add_paragraph (writer->page, writer->indent, "* %s = %s to %s", writer->path->str, old,
                           new_text);
  writer->change_count++;
}

static const char *
get_element_id (const cJSON *element)
{
  return json_get_string (element, "id", NULL);
}

/* Returns the members of an object by key, or the elements of an array by "id". Returns NULL for
 * other values, and if an element has no "id" or shares it with another. */
static GHashTable *
index_members_by_name (const cJSON *value)
{
  const cJSON *child = NULL;
  if (!cJSON_IsObject (value) && !cJSON_IsArray (value))
    return NULL;
  GHashTable *members = g_hash_table_new (g_str_hash, g_str_equal);
  cJSON_ArrayForEach (child, value)
  {
    const char *name = cJSON_IsObject (value) ? child->string : get_element_id (child);
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
collect_sorted_names (GHashTable *left, GHashTable *right)
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

static void add_differences (change_writer_t *writer, const cJSON *from, const cJSON *to);

static void
add_member_difference (change_writer_t *writer, const cJSON *old, const cJSON *new_value)
{
  if (old == NULL)
    add_value (writer, '+', new_value);
  else if (new_value == NULL)
    add_value (writer, '-', old);
  else
    add_differences (writer, old, new_value);
}

static void
add_member_differences (change_writer_t *writer, GHashTable *left, GHashTable *right,
                        const char *separator)
{
  g_autoptr (GPtrArray) names = collect_sorted_names (left, right);
  gsize size = writer->path->len;
  for (guint i = 0; i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);
      g_string_append_printf (writer->path, separator[0] == '.' ? ".%s" : "[%s]", name);
      add_member_difference (writer, g_hash_table_lookup (left, name),
                             g_hash_table_lookup (right, name));
      g_string_truncate (writer->path, size);
    }
}

static void
add_differences (change_writer_t *writer, const cJSON *from, const cJSON *to)
{
  GHashTable *left = index_members_by_name (from);
  GHashTable *right = index_members_by_name (to);
  if (left != NULL && right != NULL && cJSON_IsObject (from) == cJSON_IsObject (to))
    add_member_differences (writer, left, right, cJSON_IsObject (from) ? "." : "[");
  else
    add_changed_value (writer, from, to);
  g_clear_pointer (&left, g_hash_table_destroy);
  g_clear_pointer (&right, g_hash_table_destroy);
}

void
history_add_changes (text_page_t *page, size_t indent, const cJSON *from, const cJSON *to)
{
  change_writer_t writer = { page, indent, g_string_new ("$"), 0 };
  add_differences (&writer, from, to);
  if (writer.change_count == 0)
    {
      g_autofree char *old = json_print_canonical (from);
      g_autofree char *new_text = json_print_canonical (to);
      bool same = strcmp (old, new_text) == 0;
      text_page_add_paragraph (page, indent, "%s",
                               same ? "no change" : "only the order of elements changed");
    }
  g_string_free (writer.path, TRUE);
}
