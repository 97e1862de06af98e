#include "config_build.h"

#include <string.h>

/* Bounds of the cache of parsed limits, in elements (powers of two). Many teams share a few limits:
 * the cache avoids parsing them again and lets equal limits share one element of config_doc.limits.
 */
#define MIN_LIMIT_CACHE_SIZE 64
#define MAX_LIMIT_CACHE_SIZE 16384
/* Size of the text of "teams" per element of the cache. */
#define TEXT_BYTES_PER_CACHED_LIMIT 64

/* Maximum rate in requests per second, and maximum burst in requests. */
#define MAX_TEAM_LIMIT 1000000

typedef struct
{
  json_slice_t text;
  uint32_t limit_index;
} cached_limit_t;

typedef struct
{
  cached_limit_t *elements;
  uint32_t mask;
} limit_cache_t;

static void
limit_cache_init (limit_cache_t *cache, size_t text_size)
{
  uint32_t size = MIN_LIMIT_CACHE_SIZE;
  while (size < MAX_LIMIT_CACHE_SIZE && size < text_size / TEXT_BYTES_PER_CACHED_LIMIT)
    size *= 2;
  cache->elements = g_new0 (cached_limit_t, size);
  cache->mask = size - 1;
}

static const field_t limit_fields[] = {
  { "rate", FIELD_DOUBLE, true, offsetof (config_limit_t, rate), 0.001, MAX_TEAM_LIMIT, 0 },
  { "burst", FIELD_DOUBLE, true, offsetof (config_limit_t, burst), 1, MAX_TEAM_LIMIT, 0 },
  { NULL, FIELD_END },
};

static bool
read_limit (const field_context_t *context, json_slice_t value, config_limit_t *limit)
{
  cJSON *object = field_parse_object (context, value);
  if (object == NULL)
    return false;
  bool ok = field_read_object (context, object, limit_fields, limit);
  cJSON_Delete (object);
  return ok;
}

static uint32_t
hash_slice (json_slice_t slice)
{
  uint32_t hash = 2166136261u;
  for (size_t i = 0; i < slice.size; i++)
    hash = (hash ^ (uint8_t)slice.data[i]) * 16777619u;
  return hash;
}

bool
config_build_team_default (config_doc_t *doc, json_slice_t value, anv_error_t *err)
{
  field_context_t context = { .err = err, .path = "$.team_default" };
  return read_limit (&context, value, &g_array_index (doc->limits, config_limit_t, 0));
}

static bool
read_team (field_context_t *context, config_doc_t *doc, json_slice_t key, json_slice_t value,
           const limit_cache_t *cache)
{
  cached_limit_t *cached = &cache->elements[hash_slice (value) & cache->mask];
  if (cached->text.data == NULL || !json_slice_equal (cached->text, value))
    {
      config_limit_t limit = { 0, 0 };
      g_snprintf (context->path, sizeof (context->path), "$.teams.%.*s", (int)key.size, key.data);
      if (!read_limit (context, value, &limit))
        return false;
      cached->text = value;
      cached->limit_index = doc->limits->len;
      g_array_append_val (doc->limits, limit);
    }
  config_team_t team = { (uint32_t)(key.data - doc->data), cached->limit_index };
  g_array_append_val (doc->teams, team);
  return true;
}

static bool
read_teams (config_doc_t *doc, json_cursor_t *cursor, const limit_cache_t *cache, anv_error_t *err)
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
  g_array_append_vals (doc->limits, &g_array_index (previous->limits, config_limit_t, 1),
                       previous->limits->len - 1);
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

  limit_cache_t cache;
  limit_cache_init (&cache, value.size);
  bool ok = read_teams (doc, &cursor, &cache, err);
  g_free (cache.elements);
  return ok;
}
