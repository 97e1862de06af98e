#include "config_redact.h"

#include <string.h>

#include "json_slice.h"

static bool
has_name (json_slice_t key, const char *name)
{
  return json_slice_equal (key, (json_slice_t){ name, strlen (name) });
}

static void
append_member (GString *out, json_slice_t key)
{
  if (out->str[out->len - 1] != '{')
    g_string_append_c (out, ',');
  g_string_append_c (out, '"');
  g_string_append_len (out, key.data, (gssize)key.size);
  g_string_append (out, "\":");
}

/* Appends the object VALUE without "annotations". Returns whether it had them. */
static bool
append_without_annotations (json_slice_t value, GString *out)
{
  json_cursor_t cursor;
  json_slice_t key;
  json_slice_t member;
  bool removed = false;
  json_cursor_open (&cursor, value, '{');
  g_string_append_c (out, '{');
  while (json_cursor_next (&cursor, &key, &member))
    {
      if (has_name (key, "annotations"))
        {
          removed = true;
          continue;
        }
      append_member (out, key);
      g_string_append_len (out, member.data, (gssize)member.size);
    }
  g_string_append_c (out, '}');
  return removed;
}

static bool
append_teams (json_slice_t teams, GString *out)
{
  json_cursor_t cursor;
  json_slice_t key;
  json_slice_t team;
  bool removed = false;
  json_cursor_open (&cursor, teams, '{');
  g_string_append_c (out, '{');
  while (json_cursor_next (&cursor, &key, &team))
    {
      append_member (out, key);
      removed = append_without_annotations (team, out) || removed;
    }
  g_string_append_c (out, '}');
  return removed;
}

GBytes *
config_redact_text (GBytes *text)
{
  json_slice_t root = { .data = NULL };
  json_cursor_t cursor;
  json_slice_t key;
  json_slice_t member;
  bool removed = false;
  root.data = g_bytes_get_data (text, &root.size);
  GString *out = g_string_sized_new (root.size + 1);
  json_cursor_open (&cursor, root, '{');
  g_string_append_c (out, '{');
  while (json_cursor_next (&cursor, &key, &member))
    {
      if (has_name (key, "annotations"))
        continue;
      append_member (out, key);
      if (has_name (key, "teams"))
        removed = append_teams (member, out);
      else
        g_string_append_len (out, member.data, (gssize)member.size);
    }
  g_string_append_c (out, '}');
  if (removed)
    return g_string_free_to_bytes (out);
  g_string_free (out, TRUE);
  return g_bytes_ref (text);
}

GBytes *
config_redact_version (config_redact_t *redact, GBytes *text, version_seal_t *seal)
{
  if (redact->text == NULL
      || !version_digest_equal (&redact->source_digest, &seal->document_digest))
    {
      gsize size = 0;
      g_clear_pointer (&redact->text, g_bytes_unref);
      redact->source_digest = seal->document_digest;
      redact->text = config_redact_text (text);
      const char *data = g_bytes_get_data (redact->text, &size);
      redact->digest = version_compute_text_digest (data, size);
    }
  seal->document_digest = redact->digest;
  return redact->text;
}

void
config_redact_clear (config_redact_t *redact)
{
  g_clear_pointer (&redact->text, g_bytes_unref);
}
