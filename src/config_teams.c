#include "config_build.h"

#include <string.h>

/* Many teams share a few limits, so recent texts of limits and their index are remembered. It saves
 * the parsing and makes equal limits share one entry. */
#define MIN_MEMO_SIZE 64
#define MAX_MEMO_SIZE 16384
/* Bytes of text for each remembered limit. */
#define MEMO_SHARE 64

#define MAX_TEAM_RATE 1000000

typedef struct
{
  json_slice_t text;
  uint32_t limit;
} memo_entry_t;

typedef struct
{
  memo_entry_t *entries;
  uint32_t mask;
} memo_t;

static void
memo_init (memo_t *memo, size_t text_size)
{
  uint32_t size = MIN_MEMO_SIZE;
  while (size < MAX_MEMO_SIZE && size < text_size / MEMO_SHARE)
    size *= 2;
  memo->entries = g_new0 (memo_entry_t, size);
  memo->mask = size - 1;
}

static const field_t limit_fields[] = {
  { "rate", FIELD_DOUBLE, true, offsetof (config_limit_t, rate), 0.001, MAX_TEAM_RATE, 0 },
  { "burst", FIELD_DOUBLE, true, offsetof (config_limit_t, burst), 1, MAX_TEAM_RATE, 0 },
  { NULL, FIELD_END },
};

static bool
read_limit (const field_context_t *context, json_slice_t value, config_limit_t *limit)
{
  cJSON *object = field_parse_object (context, value);
  if (object == NULL)
    return false;
  bool ok = field_read (context, object, limit_fields, limit);
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
           const memo_t *memo)
{
  memo_entry_t *known = &memo->entries[hash_slice (value) & memo->mask];
  if (known->text.data == NULL || !json_slice_equal (known->text, value))
    {
      config_limit_t limit = { 0, 0 };
      g_snprintf (context->path, sizeof (context->path), "$.teams.%.*s", (int)key.size, key.data);
      if (!read_limit (context, value, &limit))
        return false;
      known->text = value;
      known->limit = doc->limits->len;
      g_array_append_val (doc->limits, limit);
    }
  config_team_t team = { (uint32_t)(key.data - doc->data), known->limit };
  g_array_append_val (doc->teams, team);
  return true;
}

static bool
read_teams (config_doc_t *doc, json_cursor_t *cursor, const memo_t *memo, anv_error_t *err)
{
  field_context_t context = { .err = err, .path = "$.teams" };
  json_slice_t key;
  json_slice_t value;
  json_slice_t previous = { NULL, 0 };

  while (json_cursor_next (cursor, &key, &value))
    {
      if (!config_build_key (&context, key, &previous)
          || !read_team (&context, doc, key, value, memo))
        return false;
      g_strlcpy (context.path, "$.teams", sizeof (context.path));
    }
  return json_cursor_done (cursor) || field_error (&context, NULL, "not canonical JSON");
}

/* Copies the teams of the previous document, which has the same text for them. */
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
    return field_error (&context, NULL, "must be an object");

  memo_t memo;
  memo_init (&memo, value.size);
  bool ok = read_teams (doc, &cursor, &memo, err);
  g_free (memo.entries);
  return ok;
}
