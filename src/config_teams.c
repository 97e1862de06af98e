#include "config_build.h"

#include <string.h>

/* Bounds of the cache of parsed settings, in elements (powers of two). Many teams share a few
 * limits: the cache avoids parsing them again and lets equal settings share one element of
 * config_doc.team_settings. */
#define MIN_CACHE_SIZE 64
#define MAX_CACHE_SIZE 16384
/* Size of the text of "teams" per element of the cache. */
#define TEXT_BYTES_PER_CACHED_ELEMENT 64
/* Longest text of settings that is cached, in bytes. */
#define MAX_CACHED_TEXT_SIZE 58

/* Maximum rate in requests per second, and maximum burst in requests. */
#define MAX_TEAM_LIMIT 1000000
#define MAX_TEAM_PRIORITY 1000

typedef struct
{
  uint32_t settings_index; /* 0: the element is empty */
  uint16_t text_size;
  char text[MAX_CACHED_TEXT_SIZE];
} cached_settings_t;

typedef struct
{
  cached_settings_t *elements;
  uint32_t mask;
  GString *text; /* buffer for the settings of a team */
} settings_cache_t;

static void
settings_cache_init (settings_cache_t *cache, size_t text_size)
{
  uint32_t size = MIN_CACHE_SIZE;
  while (size < MAX_CACHE_SIZE && size < text_size / TEXT_BYTES_PER_CACHED_ELEMENT)
    size *= 2;
  cache->elements = g_new0 (cached_settings_t, size);
  cache->mask = size - 1;
  cache->text = g_string_new (NULL);
}

static void
settings_cache_destroy (settings_cache_t *cache)
{
  g_free (cache->elements);
  g_string_free (cache->text, TRUE);
}

static const field_t limit_fields[] = {
  { "rate", FIELD_DOUBLE, true, offsetof (config_limit_t, rate), 0.001, MAX_TEAM_LIMIT, 0 },
  { "burst", FIELD_DOUBLE, true, offsetof (config_limit_t, burst), 1, MAX_TEAM_LIMIT, 0 },
  { NULL, FIELD_END },
};

static const field_t team_fields[] = {
  { "rate", FIELD_DOUBLE, false, offsetof (config_team_settings_t, limit.rate), 0.001,
    MAX_TEAM_LIMIT, 0 },
  { "burst", FIELD_DOUBLE, false, offsetof (config_team_settings_t, limit.burst), 1, MAX_TEAM_LIMIT,
    0 },
  { "priority", FIELD_UINT32, false, offsetof (config_team_settings_t, priority), 0,
    MAX_TEAM_PRIORITY, CONFIG_NO_PRIORITY },
  { NULL, FIELD_END },
};

static uint32_t
hash_text (const GString *text)
{
  uint32_t hash = 2166136261u;
  for (size_t i = 0; i < text->len; i++)
    hash = (hash ^ (uint8_t)text->str[i]) * 16777619u;
  return hash;
}

bool
config_build_team_default (config_doc_t *doc, json_slice_t value, anv_error_t *err)
{
  field_context_t context = { .err = err, .path = "$.team_default" };
  cJSON *object = field_parse_object (&context, value);
  if (object == NULL)
    return false;
  config_team_settings_t *settings = &g_array_index (doc->team_settings, config_team_settings_t, 0);
  bool ok = field_read_object (&context, object, limit_fields, &settings->limit);
  cJSON_Delete (object);
  return ok;
}

bool
config_build_team_keys_required (config_doc_t *doc, json_slice_t value, anv_error_t *err)
{
  field_context_t context = { .err = err, .path = "$.team_keys_required" };
  doc->team_keys_required = json_slice_equal (value, (json_slice_t){ "true", 4 });
  return doc->team_keys_required || json_slice_equal (value, (json_slice_t){ "false", 5 })
         || field_set_error (&context, NULL, "must be true or false");
}

/* Reads settings without "keys" and "annotations". A rate needs a burst, and a burst a rate. */
static bool
read_settings (const field_context_t *context, json_slice_t value, config_team_settings_t *settings)
{
  cJSON *object = field_parse_object (context, value);
  if (object == NULL)
    return false;
  bool ok = field_read_object (context, object, team_fields, settings);
  cJSON_Delete (object);
  if (!ok || (settings->limit.rate > 0) == (settings->limit.burst > 0))
    return ok;
  return field_set_error (context, settings->limit.rate > 0 ? "burst" : "rate", "is required");
}

/* Stores the index of the settings that the text of CACHE describes in INDEX. */
static bool
find_settings (const field_context_t *context, config_doc_t *doc, const settings_cache_t *cache,
               uint32_t *index)
{
  const GString *text = cache->text;
  cached_settings_t *cached = &cache->elements[hash_text (text) & cache->mask];
  config_team_settings_t settings = { .priority = CONFIG_NO_PRIORITY };
  if (cached->settings_index != 0 && cached->text_size == text->len
      && memcmp (cached->text, text->str, text->len) == 0)
    {
      *index = cached->settings_index;
      return true;
    }
  if (!read_settings (context, (json_slice_t){ text->str, text->len }, &settings))
    return false;
  *index = doc->team_settings->len;
  g_array_append_val (doc->team_settings, settings);
  if (text->len > MAX_CACHED_TEXT_SIZE)
    return true;
  cached->settings_index = *index;
  cached->text_size = (uint16_t)text->len;
  memcpy (cached->text, text->str, text->len);
  return true;
}

/* Adds the digests in VALUE as keys of the next team. */
static bool
read_keys (const field_context_t *context, config_doc_t *doc, json_slice_t value)
{
  json_cursor_t cursor;
  json_slice_t ignored;
  json_slice_t item;
  team_key_t key = { .team = doc->teams->len };
  if (!json_cursor_open (&cursor, value, '['))
    return field_set_error (context, "keys", "must be a list");
  while (json_cursor_next (&cursor, &ignored, &item))
    {
      if (item.size != TEAM_KEY_HEX_SIZE + 2 || item.data[0] != '"'
          || !team_key_parse_digest (&key.digest, item.data + 1, TEAM_KEY_HEX_SIZE))
        return field_set_error (context, "keys", "must be digests of %d lower-case digits",
                                TEAM_KEY_HEX_SIZE);
      g_array_append_val (doc->team_keys, key);
    }
  return json_cursor_at_end (&cursor) || field_set_error (context, "keys", "not canonical JSON");
}

static bool
is_json_string (json_slice_t value)
{
  const char *end = NULL;
  cJSON *item = cJSON_ParseWithLengthOpts (value.data, value.size, &end, false);
  bool ok = cJSON_IsString (item) && end == value.data + value.size;
  cJSON_Delete (item);
  return ok;
}

/* Checks "keys" and "annotations" of a team, and stores the text of its other members, which many
 * teams have in common, in TEXT. */
static bool
split_team (const field_context_t *context, config_doc_t *doc, json_slice_t value, GString *text)
{
  json_cursor_t cursor;
  json_slice_t key;
  json_slice_t member;
  json_slice_t previous = { NULL, 0 };
  bool opened = json_cursor_open (&cursor, value, '{');
  g_string_assign (text, "{");
  while (opened && json_cursor_next (&cursor, &key, &member))
    {
      if (previous.data != NULL && json_key_compare (previous, key) >= 0)
        return field_set_error (context, NULL, "a key is repeated or not in canonical order");
      previous = key;
      if (json_slice_equal (key, (json_slice_t){ "keys", 4 }))
        {
          if (!read_keys (context, doc, member))
            return false;
        }
      else if (json_slice_equal (key, (json_slice_t){ "annotations", 11 }))
        {
          if (!is_json_string (member))
            return field_set_error (context, "annotations", "must be text");
        }
      else
        {
          if (text->len > 1)
            g_string_append_c (text, ',');
          g_string_append_c (text, '"');
          g_string_append_len (text, key.data, (gssize)key.size);
          g_string_append (text, "\":");
          g_string_append_len (text, member.data, (gssize)member.size);
        }
    }
  g_string_append_c (text, '}');
  if (opened && json_cursor_at_end (&cursor))
    return true;
  return field_set_error (context, NULL, opened ? "not canonical JSON" : "must be an object");
}

static bool
read_team (field_context_t *context, config_doc_t *doc, json_slice_t key, json_slice_t value,
           const settings_cache_t *cache)
{
  config_team_t team = { .name_offset = (uint32_t)(key.data - doc->data) };
  g_snprintf (context->path, sizeof (context->path), "$.teams.%.*s", (int)key.size, key.data);
  if (!split_team (context, doc, value, cache->text)
      || !find_settings (context, doc, cache, &team.settings_index))
    return false;
  g_array_append_val (doc->teams, team);
  return true;
}

static json_slice_t
name_of_team (const config_doc_t *doc, uint32_t index)
{
  const char *name = doc->data + g_array_index (doc->teams, config_team_t, index).name_offset;
  return (json_slice_t){ name, strcspn (name, "\"") };
}

/* Sorts the keys for the lookup. With a key in two places, callers of one team could pass as the
 * other. */
static bool
check_keys (config_doc_t *doc, anv_error_t *err)
{
  field_context_t context = { .err = err };
  size_t repeated = team_keys_sort (doc->team_keys);
  if (repeated == 0)
    return true;
  uint32_t first = g_array_index (doc->team_keys, team_key_t, repeated - 1).team;
  uint32_t second = g_array_index (doc->team_keys, team_key_t, repeated).team;
  json_slice_t place = name_of_team (doc, MAX (first, second));
  json_slice_t other = name_of_team (doc, MIN (first, second));
  g_snprintf (context.path, sizeof (context.path), "$.teams.%.*s", (int)place.size, place.data);
  if (first == second)
    return field_set_error (&context, "keys", "has a key twice");
  return field_set_error (&context, "keys", "has a key of team \"%.*s\"", (int)other.size,
                          other.data);
}

static bool
read_teams (config_doc_t *doc, json_cursor_t *cursor, const settings_cache_t *cache,
            anv_error_t *err)
{
  field_context_t context = { .err = err, .path = "$.teams" };
  json_slice_t key;
  json_slice_t value;
  json_slice_t previous = { NULL, 0 };

  while (json_cursor_next (cursor, &key, &value))
    {
      if (!config_build_check_key (&context, key, &previous)
          || !read_team (&context, doc, key, value, cache))
        return false;
      g_strlcpy (context.path, "$.teams", sizeof (context.path));
    }
  return json_cursor_at_end (cursor) || field_set_error (&context, NULL, "not canonical JSON");
}

/* Copies the teams of PREVIOUS, whose text of "teams" is equal to VALUE. */
static void
reuse_teams (config_doc_t *doc, const config_doc_t *previous, json_slice_t value)
{
  uint32_t old_start = (uint32_t)(previous->teams_text.data - previous->data);
  uint32_t new_start = (uint32_t)(value.data - doc->data);
  g_array_append_vals (doc->team_settings,
                       &g_array_index (previous->team_settings, config_team_settings_t, 1),
                       previous->team_settings->len - 1);
  g_array_append_vals (doc->team_keys, previous->team_keys->data, previous->team_keys->len);
  g_array_append_vals (doc->teams, previous->teams->data, previous->teams->len);
  for (guint i = 0; i < doc->teams->len; i++)
    {
      config_team_t *team = &g_array_index (doc->teams, config_team_t, i);
      team->name_offset = team->name_offset - old_start + new_start;
    }
}

bool
config_build_teams (config_doc_t *doc, json_slice_t value, anv_error_t *err)
{
  const config_doc_t *previous = doc->previous;
  doc->teams_text = value;
  if (previous != NULL && previous->teams->len > 0
      && json_slice_equal (previous->teams_text, value))
    {
      reuse_teams (doc, previous, value);
      return true;
    }

  field_context_t context = { .err = err, .path = "$.teams" };
  json_cursor_t cursor;
  if (!json_cursor_open (&cursor, value, '{'))
    return field_set_error (&context, NULL, "must be an object");

  settings_cache_t cache;
  settings_cache_init (&cache, value.size);
  bool ok = read_teams (doc, &cursor, &cache, err) && check_keys (doc, err);
  settings_cache_destroy (&cache);
  return ok;
}
