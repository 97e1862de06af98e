#include "config_patch.h"

#include <string.h>

static const json_slice_t empty_object = { "{}", 2 };

static void
apply_member (cJSON *target, const cJSON *change)
{
  cJSON *old = cJSON_GetObjectItemCaseSensitive (target, change->string);
  if (cJSON_IsNull (change))
    {
      if (old != NULL)
        cJSON_Delete (cJSON_DetachItemViaPointer (target, old));
      return;
    }
  if (cJSON_IsObject (change) && cJSON_IsObject (old))
    {
      config_patch_apply (old, change);
      return;
    }
  cJSON *value = config_patch_apply (NULL, change);
  if (old != NULL)
    cJSON_ReplaceItemInObjectCaseSensitive (target, change->string, value);
  else
    cJSON_AddItemToObject (target, change->string, value);
}

cJSON *
config_patch_apply (cJSON *target, const cJSON *patch)
{
  const cJSON *change = NULL;
  if (!cJSON_IsObject (patch))
    {
      cJSON_Delete (target);
      return cJSON_Duplicate (patch, true);
    }
  if (!cJSON_IsObject (target))
    {
      cJSON_Delete (target);
      target = cJSON_CreateObject ();
    }
  cJSON_ArrayForEach (change, patch) apply_member (target, change);
  return target;
}

static int
compare_members (const void *a, const void *b)
{
  const cJSON *const *left = a;
  const cJSON *const *right = b;
  return strcmp ((*left)->string, (*right)->string);
}

static GPtrArray *
sorted_members (const cJSON *object)
{
  GPtrArray *members = g_ptr_array_new ();
  const cJSON *child = NULL;
  cJSON_ArrayForEach (child, object) g_ptr_array_add (members, (void *)child);
  g_ptr_array_sort (members, compare_members);
  return members;
}

/* Adds the change of one member to PATCH. Objects are compared by computing their patch, because
 * cJSON_Compare() takes quadratic time for objects. */
static void
diff_member (const cJSON *old, const cJSON *new_value, cJSON *patch)
{
  cJSON *change = NULL;
  if (cJSON_IsObject (old) && cJSON_IsObject (new_value))
    {
      change = config_patch_diff (old, new_value);
      if (change->child == NULL)
        {
          cJSON_Delete (change);
          return;
        }
    }
  else if (!cJSON_Compare (old, new_value, true))
    change = cJSON_Duplicate (new_value, true);
  if (change != NULL)
    cJSON_AddItemToObject (patch, new_value->string, change);
}

static void
add_member (const cJSON *new_value, cJSON *patch)
{
  cJSON_AddItemToObject (patch, new_value->string, cJSON_Duplicate (new_value, true));
}

cJSON *
config_patch_diff (const cJSON *from, const cJSON *to)
{
  if (!cJSON_IsObject (from) || !cJSON_IsObject (to))
    return cJSON_Duplicate (to, true);

  cJSON *patch = cJSON_CreateObject ();
  g_autoptr (GPtrArray) left = sorted_members (from);
  g_autoptr (GPtrArray) right = sorted_members (to);
  guint l = 0;
  guint r = 0;
  while (l < left->len && r < right->len)
    {
      const cJSON *old = g_ptr_array_index (left, l);
      const cJSON *new_value = g_ptr_array_index (right, r);
      int order = strcmp (old->string, new_value->string);
      if (order < 0)
        cJSON_AddNullToObject (patch, old->string);
      else if (order > 0)
        add_member (new_value, patch);
      else
        diff_member (old, new_value, patch);
      l += order <= 0;
      r += order >= 0;
    }
  for (; l < left->len; l++)
    cJSON_AddNullToObject (patch, ((const cJSON *)g_ptr_array_index (left, l))->string);
  for (; r < right->len; r++)
    add_member (g_ptr_array_index (right, r), patch);
  return patch;
}

static void
append_key (GString *out, json_slice_t key)
{
  if (out->str[out->len - 1] != '{')
    g_string_append_c (out, ',');
  g_string_append_c (out, '"');
  g_string_append_len (out, key.data, (gssize)key.size);
  g_string_append (out, "\":");
}

/* Returns the key of MEMBER as in canonical text, without quotes. The slice points into KEY_TEXT,
 * which is freed with g_free(). */
static json_slice_t
escaped_key (const cJSON *member, char **key_text)
{
  cJSON *string = cJSON_CreateStringReference (member->string);
  *key_text = json_print_canonical (string);
  cJSON_Delete (string);
  return (json_slice_t){ *key_text + 1, strlen (*key_text) - 2 };
}

static bool
append_change (GString *out, json_slice_t key, json_slice_t target, const cJSON *change)
{
  if (cJSON_IsNull (change))
    return true;
  append_key (out, key);
  return config_patch_apply_text (target, change, out);
}

/* Position in the members of the target. */
typedef struct
{
  json_cursor_t cursor;
  json_slice_t key;
  json_slice_t value;
  bool has_member;
} member_walk_t;

static void
advance (member_walk_t *walk)
{
  walk->has_member = json_cursor_next (&walk->cursor, &walk->key, &walk->value);
}

/* Copies the members of the target that sort before KEY, or all if KEY is NULL. Returns whether the
 * next member has KEY. */
static bool
copy_until (member_walk_t *walk, const json_slice_t *key, GString *out)
{
  while (walk->has_member)
    {
      int order = key != NULL ? json_key_compare (walk->key, *key) : -1;
      if (order >= 0)
        return order == 0;
      append_key (out, walk->key);
      g_string_append_len (out, walk->value.data, (gssize)walk->value.size);
      advance (walk);
    }
  return false;
}

static bool
merge_object (member_walk_t *walk, const cJSON *patch, GString *out)
{
  g_autoptr (GPtrArray) changes = sorted_members (patch);
  g_string_append_c (out, '{');
  advance (walk);
  for (guint i = 0; i < changes->len; i++)
    {
      const cJSON *change = g_ptr_array_index (changes, i);
      g_autofree char *key_text = NULL;
      json_slice_t key = escaped_key (change, &key_text);
      bool exists = copy_until (walk, &key, out);
      if (!append_change (out, key, exists ? walk->value : empty_object, change))
        return false;
      if (exists)
        advance (walk);
    }
  copy_until (walk, NULL, out);
  g_string_append_c (out, '}');
  return json_cursor_at_end (&walk->cursor);
}

bool
config_patch_apply_text (json_slice_t target, const cJSON *patch, GString *out)
{
  if (!cJSON_IsObject (patch))
    {
      g_autofree char *text = json_print_canonical (patch);
      g_string_append (out, text);
      return true;
    }
  member_walk_t walk = { .has_member = false };
  if (!json_cursor_open (&walk.cursor, target, '{'))
    json_cursor_open (&walk.cursor, empty_object, '{');
  return merge_object (&walk, patch, out);
}
