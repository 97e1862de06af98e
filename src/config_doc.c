#include "config_doc.h"

#include <string.h>

#include "config_build.h"
#include "json_util.h"

static const struct
{
  config_method_t method;
  const char *name;
} method_names[] = {
  { CONFIG_METHOD_GET, "GET" },         { CONFIG_METHOD_HEAD, "HEAD" },
  { CONFIG_METHOD_POST, "POST" },       { CONFIG_METHOD_PUT, "PUT" },
  { CONFIG_METHOD_PATCH, "PATCH" },     { CONFIG_METHOD_DELETE, "DELETE" },
  { CONFIG_METHOD_OPTIONS, "OPTIONS" },
};

/* Top-level members in the order in which they are built. */
static const struct
{
  const char *key;
  bool (*build) (config_doc_t *doc, json_slice_t value, anv_error_t *err);
} sections[] = {
  { "services", config_build_services },
  { "team_default", config_build_team_default },
  { "team_keys_required", config_build_team_keys_required },
  { "routes", config_build_routes },
  { "teams", config_build_teams },
  { "caller_limits", config_build_caller_limits },
  { "label", config_build_label },
  { "label_base", config_build_label_base },
  { "annotations", config_build_annotations },
};

/* Settings of unlisted teams if the document has no "team_default". */
static const config_team_settings_t default_settings
    = { .limit = { .rate = 50, .burst = 100 }, .priority = CONFIG_NO_PRIORITY };

const char *
config_build_copy_string (config_doc_t *doc, const char *text)
{
  doc->allocated_bytes += strlen (text) + 1;
  return g_string_chunk_insert (doc->strings, text);
}

void *
config_build_alloc (config_doc_t *doc, size_t size_bytes)
{
  void *array = g_malloc0 (size_bytes);
  g_ptr_array_add (doc->arrays, array);
  doc->allocated_bytes += size_bytes;
  return array;
}

bool
config_build_check_key (const field_context_t *context, json_slice_t key, json_slice_t *previous)
{
  if (!field_is_name (key.data, key.size))
    return field_set_error (context, NULL,
                            "key \"%.*s\" must have 1 to %d letters, digits or characters of ._-:@",
                            (int)MIN (key.size, 100), key.data, CONFIG_MAX_NAME_SIZE);
  if (previous->data != NULL && json_key_compare (*previous, key) >= 0)
    return field_set_error (context, NULL, "key \"%.*s\" is repeated or not in canonical order",
                            (int)key.size, key.data);
  *previous = key;
  return true;
}

static config_doc_t *
doc_alloc (GBytes *text)
{
  config_doc_t *doc = g_new0 (config_doc_t, 1);
  doc->ref_count = 1;
  doc->text = g_bytes_ref (text);
  doc->data = g_bytes_get_data (text, NULL);
  doc->strings = g_string_chunk_new (4096);
  doc->arrays = g_ptr_array_new_with_free_func (g_free);
  doc->services = g_array_new (FALSE, TRUE, sizeof (config_service_t));
  doc->routes = g_array_new (FALSE, TRUE, sizeof (config_route_t));
  doc->teams = g_array_new (FALSE, TRUE, sizeof (config_team_t));
  doc->team_settings = g_array_new (FALSE, TRUE, sizeof (config_team_settings_t));
  doc->team_keys = g_array_new (FALSE, TRUE, sizeof (team_key_t));
  g_array_append_val (doc->team_settings, default_settings);
  return doc;
}

/* Stores the text of each top-level member of TEXT in VALUES, in the order of sections[]. */
static bool
split_sections (json_slice_t text, json_slice_t values[], anv_error_t *err)
{
  field_context_t context = { .err = err, .path = "$" };
  json_cursor_t cursor;
  json_slice_t key;
  json_slice_t value;
  json_slice_t previous = { NULL, 0 };

  if (!json_cursor_open (&cursor, text, '{'))
    return field_set_error (&context, NULL, "must be an object");
  while (json_cursor_next (&cursor, &key, &value))
    {
      size_t i = 0;
      while (
          i < G_N_ELEMENTS (sections)
          && !json_slice_equal (key, (json_slice_t){ sections[i].key, strlen (sections[i].key) }))
        i++;
      if (i == G_N_ELEMENTS (sections))
        return field_set_error (&context, NULL, "unknown key \"%.*s\"", (int)MIN (key.size, 100),
                                key.data);
      if (!config_build_check_key (&context, key, &previous))
        return false;
      values[i] = value;
    }
  if (json_cursor_at_end (&cursor))
    return true;
  anv_error_set (err, ANV_ERROR_CONFIG, CONFIG_ERROR_JSON, "$: not canonical JSON");
  return false;
}

static bool
check_text (GBytes *text, uint32_t schema, anv_error_t *err)
{
  gsize size = 0;
  const char *data = g_bytes_get_data (text, &size);
  if (schema != CONFIG_SCHEMA)
    {
      anv_error_set (err, ANV_ERROR_CONFIG, CONFIG_ERROR_SCHEMA, "unknown schema %u", schema);
      return false;
    }
  if (size > CONFIG_MAX_TEXT_SIZE)
    {
      anv_error_set (err, ANV_ERROR_CONFIG, CONFIG_ERROR_TOO_LARGE,
                     "$: must be at most %u bytes, is %zu", CONFIG_MAX_TEXT_SIZE, size);
      return false;
    }
  if (size == 0 || !g_utf8_validate_len (data, size, NULL))
    {
      anv_error_set (err, ANV_ERROR_CONFIG, CONFIG_ERROR_JSON, "$: not valid UTF-8 text");
      return false;
    }
  return true;
}

config_doc_t *
config_doc_new (GBytes *text, uint32_t schema, anv_error_t *err)
{
  return config_doc_new_after (NULL, text, schema, err);
}

config_doc_t *
config_doc_new_after (const config_doc_t *previous, GBytes *text, uint32_t schema, anv_error_t *err)
{
  json_slice_t values[G_N_ELEMENTS (sections)] = { { NULL, 0 } };
  json_slice_t root = { .data = NULL };
  root.data = g_bytes_get_data (text, &root.size);

  if (!check_text (text, schema, err) || !split_sections (root, values, err))
    return NULL;
  config_doc_t *doc = doc_alloc (text);
  doc->schema = schema;
  if (previous != NULL && previous->schema == schema)
    doc->previous = previous;
  for (size_t i = 0; i < G_N_ELEMENTS (sections); i++)
    {
      if (values[i].data == NULL || sections[i].build (doc, values[i], err))
        continue;
      config_doc_unref (doc);
      return NULL;
    }
  doc->previous = NULL;
  return doc;
}

config_doc_t *
config_doc_parse (const char *text, size_t size, uint32_t schema, anv_error_t *err)
{
  const char *reason = NULL;
  cJSON *root = json_parse (text, size, &reason);
  if (root == NULL)
    {
      anv_error_set (err, ANV_ERROR_CONFIG, CONFIG_ERROR_JSON, "$: %s", reason);
      return NULL;
    }
  char *canonical = json_print_canonical (root);
  cJSON_Delete (root);
  GBytes *bytes = g_bytes_new_take (canonical, strlen (canonical));
  config_doc_t *doc = config_doc_new (bytes, schema, err);
  g_bytes_unref (bytes);
  return doc;
}

config_doc_t *
config_doc_ref (config_doc_t *doc)
{
  g_atomic_int_inc (&doc->ref_count);
  return doc;
}

void
config_doc_unref (config_doc_t *doc)
{
  if (doc == NULL || !g_atomic_int_dec_and_test (&doc->ref_count))
    return;
  g_array_free (doc->services, TRUE);
  g_array_free (doc->routes, TRUE);
  g_array_free (doc->teams, TRUE);
  g_array_free (doc->team_settings, TRUE);
  g_array_free (doc->team_keys, TRUE);
  g_ptr_array_free (doc->arrays, TRUE);
  g_string_chunk_free (doc->strings);
  g_bytes_unref (doc->text);
  g_free (doc);
}

GBytes *
config_doc_text (const config_doc_t *doc)
{
  return doc->text;
}

uint64_t
config_doc_label (const config_doc_t *doc)
{
  return doc->label;
}

uint64_t
config_doc_label_base (const config_doc_t *doc)
{
  return doc->label_base;
}

const config_caller_limits_t *
config_doc_caller_limits (const config_doc_t *doc)
{
  return doc->has_caller_limits ? &doc->caller_limits : NULL;
}

size_t
config_doc_service_count (const config_doc_t *doc)
{
  return doc->services->len;
}

const config_service_t *
config_doc_service (const config_doc_t *doc, size_t index)
{
  return &g_array_index (doc->services, config_service_t, index);
}

static int
compare_service_name (const void *name, const void *service)
{
  return strcmp (name, ((const config_service_t *)service)->name);
}

const config_service_t *
config_doc_find_service (const config_doc_t *doc, const char *name)
{
  return bsearch (name, doc->services->data, doc->services->len, sizeof (config_service_t),
                  compare_service_name);
}

size_t
config_doc_route_count (const config_doc_t *doc)
{
  return doc->routes->len;
}

const config_route_t *
config_doc_route (const config_doc_t *doc, size_t index)
{
  return &g_array_index (doc->routes, config_route_t, index);
}

const config_route_t *
config_doc_find_route (const config_doc_t *doc, const char *id)
{
  for (guint i = 0; i < doc->routes->len; i++)
    {
      const config_route_t *route = &g_array_index (doc->routes, config_route_t, i);
      if (strcmp (route->id, id) == 0)
        return route;
    }
  return NULL;
}

size_t
config_doc_team_count (const config_doc_t *doc)
{
  return doc->teams->len;
}

static const config_team_settings_t *
team_settings (const config_doc_t *doc, const config_team_t *team)
{
  return &g_array_index (doc->team_settings, config_team_settings_t, team->settings_index);
}

static const config_limit_t *
team_limit (const config_doc_t *doc, const config_team_t *team)
{
  return &team_settings (doc, team)->limit;
}

static json_slice_t
team_name (const config_doc_t *doc, const config_team_t *team)
{
  const char *name = doc->data + team->name_offset;
  /* Names contain no escapes, so the next quote ends the name. */
  return (json_slice_t){ name, (size_t)(strchr (name, '"') - name) };
}

const config_limit_t *
config_doc_team_limit_at (const config_doc_t *doc, size_t index, const char **name, size_t *size)
{
  const config_team_t *team = &g_array_index (doc->teams, config_team_t, index);
  json_slice_t slice = team_name (doc, team);
  *name = slice.data;
  *size = slice.size;
  return team_limit (doc, team);
}

static const config_team_t *
find_team (const config_doc_t *doc, const char *name)
{
  /* json_key_compare() decodes escapes, so a NAME with a backslash could match a listed name. */
  if (name == NULL || !field_is_name (name, strlen (name)))
    return NULL;
  json_slice_t wanted = { name, strlen (name) };
  guint low = 0;
  guint high = doc->teams->len;
  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      const config_team_t *team = &g_array_index (doc->teams, config_team_t, middle);
      int order = json_key_compare (wanted, team_name (doc, team));
      if (order == 0)
        return team;
      if (order < 0)
        high = middle;
      else
        low = middle + 1;
    }
  return NULL;
}

const config_limit_t *
config_doc_find_team_limit (const config_doc_t *doc, const char *name)
{
  const config_team_t *team = find_team (doc, name);
  return team != NULL ? team_limit (doc, team) : config_doc_team_default (doc);
}

const config_limit_t *
config_doc_team_default (const config_doc_t *doc)
{
  return &g_array_index (doc->team_settings, config_team_settings_t, 0).limit;
}

bool
config_doc_has_team (const config_doc_t *doc, const char *name)
{
  return find_team (doc, name) != NULL;
}

bool
config_doc_requires_team_key (const config_doc_t *doc)
{
  return doc->team_keys_required;
}

bool
config_doc_find_team_by_key (const config_doc_t *doc, const char *key, size_t size,
                             config_team_info_t *info)
{
  if (doc->team_keys->len == 0)
    return false;
  team_key_digest_t digest = team_key_compute_digest (key, size);
  const team_key_t *found = team_keys_find (doc->team_keys, &digest);
  if (found == NULL)
    return false;
  const config_team_t *team = &g_array_index (doc->teams, config_team_t, found->team);
  json_slice_t name = team_name (doc, team);
  memcpy (info->name, name.data, name.size);
  info->name[name.size] = '\0';
  info->limit = *team_limit (doc, team);
  info->priority = team_settings (doc, team)->priority;
  return true;
}

config_method_t
config_method_parse (const char *name, size_t size)
{
  for (size_t i = 0; i < G_N_ELEMENTS (method_names); i++)
    {
      if (strlen (method_names[i].name) == size && memcmp (method_names[i].name, name, size) == 0)
        return method_names[i].method;
    }
  return (config_method_t)0;
}

const char *
config_class_name (uint8_t request_class)
{
  return request_class == CONFIG_CLASS_URGENT ? "urgent" : "background";
}

char *
config_methods_to_text (uint8_t methods)
{
  GString *text = g_string_new (NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (method_names); i++)
    {
      if ((methods & method_names[i].method) == 0)
        continue;
      g_string_append_printf (text, "%s%s", text->len > 0 ? "," : "", method_names[i].name);
    }
  return g_string_free (text, FALSE);
}

size_t
config_doc_memory_bytes (const config_doc_t *doc)
{
  size_t size = sizeof (*doc) + doc->allocated_bytes;
  size += doc->services->len * sizeof (config_service_t);
  size += doc->routes->len * sizeof (config_route_t);
  size += doc->teams->len * sizeof (config_team_t);
  size += doc->team_settings->len * sizeof (config_team_settings_t);
  size += doc->team_keys->len * sizeof (team_key_t);
  return size;
}
