#include "json_util.h"

#include <math.h>
#include <string.h>

/* 2^53; a double represents every integer up to this one. */
#define MAX_EXACT_INTEGER 9007199254740992.0

/* Scans a string from TEXT on, after its opening quote. Returns the number of bytes up to and
 * including the closing quote, or to the end of TEXT. If STRICT is set, stores in *REASON what is
 * wrong: a NUL would end the string early for its readers, and control characters are not valid
 * JSON. */
static size_t
scan_string (const char *text, size_t size, bool strict, const char **reason)
{
  for (size_t i = 0; i < size; i++)
    {
      if (strict && (unsigned char)text[i] < ' ')
        *reason = "control character in a string";
      if (strict && size - i >= 6 && memcmp (text + i, "\\u0000", 6) == 0)
        *reason = "NUL in a string";
      if (text[i] == '"' || *reason != NULL)
        return i + 1;
      if (text[i] == '\\')
        i++;
    }
  return size;
}

/* Returns why the document cannot be parsed within the limits, or NULL. If STRICT is not set, only
 * its depth is limited. */
static const char *
check_limits (const char *text, size_t size, bool strict)
{
  int depth = 0;
  size_t value_count = 1;
  const char *reason = NULL;

  for (size_t i = 0; i < size && reason == NULL; i++)
    {
      char c = text[i];
      if (c == '"')
        i += scan_string (text + i + 1, size - i - 1, strict, &reason);
      else if (c == '{' || c == '[')
        depth++;
      else if (c == '}' || c == ']')
        depth--;
      value_count += c == ',' || c == '{' || c == '[';
      if (depth > JSON_MAX_DEPTH)
        reason = "nested too deeply";
      else if (strict && value_count > JSON_MAX_VALUES)
        reason = "too many values";
    }
  return reason;
}

static bool
has_duplicate_key (const cJSON *value)
{
  const cJSON *child = NULL;
  g_autoptr (GHashTable) keys = NULL;

  if (cJSON_IsObject (value))
    keys = g_hash_table_new (g_str_hash, g_str_equal);
  cJSON_ArrayForEach (child, value)
  {
    if (keys != NULL && !g_hash_table_add (keys, child->string))
      return true;
    if (has_duplicate_key (child))
      return true;
  }
  return false;
}

static cJSON *
parse (const char *text, size_t size, bool strict, const char **reason)
{
  *reason = check_limits (text, size, strict);
  if (*reason != NULL)
    return NULL;

  const char *end = NULL;
  cJSON *value = cJSON_ParseWithLengthOpts (text, size, &end, false);
  if (value == NULL)
    {
      *reason = "not valid JSON";
      return NULL;
    }
  while (end < text + size && g_ascii_isspace (*end))
    end++;
  if (end != text + size)
    {
      *reason = "text after the JSON value";
      cJSON_Delete (value);
      return NULL;
    }
  if (has_duplicate_key (value))
    {
      *reason = "duplicate key in an object";
      cJSON_Delete (value);
      return NULL;
    }
  return value;
}

cJSON *
json_parse (const char *text, size_t size, const char **reason)
{
  const char *ignored = NULL;
  return parse (text, size, false, reason != NULL ? reason : &ignored);
}

cJSON *
json_parse_strict (const char *text, size_t size, const char **reason)
{
  const char *ignored = NULL;
  return parse (text, size, true, reason != NULL ? reason : &ignored);
}

const char *
json_get_string (const cJSON *object, const char *key, const char *fallback)
{
  const cJSON *member = cJSON_GetObjectItemCaseSensitive (object, key);
  return cJSON_IsString (member) ? member->valuestring : fallback;
}

double
json_get_number (const cJSON *object, const char *key, double fallback)
{
  const cJSON *member = cJSON_GetObjectItemCaseSensitive (object, key);
  return cJSON_IsNumber (member) ? member->valuedouble : fallback;
}

int64_t
json_get_integer (const cJSON *object, const char *key, int64_t fallback)
{
  double number = json_get_number (object, key, (double)fallback);
  return (int64_t)CLAMP (number, -MAX_EXACT_INTEGER, MAX_EXACT_INTEGER);
}

bool
json_read_exact_integer (const cJSON *number, int64_t *value)
{
  if (!cJSON_IsNumber (number) || floor (number->valuedouble) != number->valuedouble)
    return false;
  if (fabs (number->valuedouble) > MAX_EXACT_INTEGER)
    return false;
  *value = (int64_t)number->valuedouble;
  return true;
}

static int
compare_keys (const void *a, const void *b)
{
  const cJSON *const *left = a;
  const cJSON *const *right = b;
  return strcmp ((*left)->string, (*right)->string);
}

static void append_canonical (const cJSON *value, GString *out);

static void
append_string (const char *text, GString *out)
{
  cJSON *string = cJSON_CreateStringReference (text);
  char *quoted = cJSON_PrintUnformatted (string);
  g_string_append (out, quoted);
  cJSON_free (quoted);
  cJSON_Delete (string);
}

static void
append_object (const cJSON *object, GString *out)
{
  g_autoptr (GPtrArray) members = g_ptr_array_new ();
  const cJSON *child = NULL;

  cJSON_ArrayForEach (child, object) g_ptr_array_add (members, (void *)child);
  g_ptr_array_sort (members, compare_keys);
  g_string_append_c (out, '{');
  for (guint i = 0; i < members->len; i++)
    {
      const cJSON *member = g_ptr_array_index (members, i);
      if (i > 0)
        g_string_append_c (out, ',');
      append_string (member->string, out);
      g_string_append_c (out, ':');
      append_canonical (member, out);
    }
  g_string_append_c (out, '}');
}

static void
append_array (const cJSON *array, GString *out)
{
  const cJSON *child = NULL;
  const char *separator = "";

  g_string_append_c (out, '[');
  cJSON_ArrayForEach (child, array)
  {
    g_string_append (out, separator);
    append_canonical (child, out);
    separator = ",";
  }
  g_string_append_c (out, ']');
}

static void
append_canonical (const cJSON *value, GString *out)
{
  if (cJSON_IsObject (value))
    {
      append_object (value, out);
      return;
    }
  if (cJSON_IsArray (value))
    {
      append_array (value, out);
      return;
    }
  char *text = cJSON_PrintUnformatted (value);
  g_string_append (out, text);
  cJSON_free (text);
}

char *
json_print_canonical (const cJSON *value)
{
  GString *out = g_string_new (NULL);
  append_canonical (value, out);
  return g_string_free (out, FALSE);
}
