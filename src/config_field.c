#include "config_field.h"

#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Characters allowed in a prefix besides letters, digits and '/'. ';' and '%' are not allowed,
 * because backend servers interpret them differently. */
static const char prefix_punctuation[] = "-._~!$&'()*+,=:@";

bool
field_set_error (const field_context_t *context, const char *key, const char *rule, ...)
{
  char text[ANV_ERROR_TEXT_SIZE];
  va_list args;
  va_start (args, rule);
  vsnprintf (text, sizeof (text), rule, args);
  va_end (args);
  anv_error_set (context->err, ANV_ERROR_CONFIG, CONFIG_ERROR_RULE, "%s%s%.100s: %s", context->path,
                 key != NULL ? "." : "", key != NULL ? key : "", text);
  return false;
}

static const field_t *
find_field (const field_t *fields, const char *key)
{
  for (const field_t *field = fields; field->kind != FIELD_END; field++)
    {
      if (strcmp (field->key, key) == 0)
        return field;
    }
  return NULL;
}

static void
store_number (const field_t *field, double value, void *out)
{
  void *member = (char *)out + field->offset;
  if (field->kind == FIELD_UINT32)
    *(uint32_t *)member = (uint32_t)value;
  else if (field->kind == FIELD_DOUBLE)
    *(double *)member = value;
  else if (field->kind == FIELD_BOOL)
    *(bool *)member = value != 0;
}

static bool
read_number (const field_context_t *context, const cJSON *item, const field_t *field, void *out)
{
  double value = item->valuedouble;
  if (!cJSON_IsNumber (item))
    return field_set_error (context, field->key, "must be a number");
  if (field->kind == FIELD_UINT32 && floor (value) != value)
    return field_set_error (context, field->key, "must be an integer");
  /* Negative zero passes the range check, but has another text and so another digest than zero. */
  if (!isfinite (value) || value < field->min || value > field->max
      || (value == 0 && signbit (value)))
    return field_set_error (context, field->key, "must be from %.10g to %.10g", field->min,
                            field->max);
  store_number (field, value, out);
  return true;
}

static bool
read_field (const field_context_t *context, const cJSON *item, const field_t *field, void *out)
{
  if (field->kind == FIELD_CUSTOM)
    return true;
  if (field->kind != FIELD_BOOL)
    return read_number (context, item, field, out);
  if (!cJSON_IsBool (item))
    return field_set_error (context, field->key, "must be true or false");
  store_number (field, cJSON_IsTrue (item), out);
  return true;
}

bool
field_read_object (const field_context_t *context, const cJSON *object, const field_t *fields,
                   void *out)
{
  const cJSON *item = NULL;

  cJSON_ArrayForEach (item, object)
  {
    const field_t *field = find_field (fields, item->string);
    if (field == NULL)
      return field_set_error (context, item->string, "unknown key");
    if (!read_field (context, item, field, out))
      return false;
  }
  for (const field_t *field = fields; field->kind != FIELD_END; field++)
    {
      if (cJSON_GetObjectItemCaseSensitive (object, field->key) != NULL)
        continue;
      if (field->required)
        return field_set_error (context, field->key, "is required");
      store_number (field, field->default_value, out);
    }
  return true;
}

/* Returns whether the keys of all objects in VALUE ascend, as in canonical text. Rules out
 * duplicate keys as well. */
static bool
has_ascending_keys (const cJSON *value)
{
  const cJSON *child = NULL;
  const char *previous = NULL;
  cJSON_ArrayForEach (child, value)
  {
    if (child->string != NULL && previous != NULL && strcmp (previous, child->string) >= 0)
      return false;
    if (child->child != NULL && !has_ascending_keys (child))
      return false;
    previous = child->string;
  }
  return true;
}

/* Does not use json_parse(), which finds duplicate keys with a hash table for each object. That
 * takes longer than parsing a short element. */
cJSON *
field_parse_object (const field_context_t *context, json_slice_t value)
{
  const char *end = NULL;
  const char *rule = NULL;
  cJSON *object = cJSON_ParseWithLengthOpts (value.data, value.size, &end, false);
  if (object == NULL || end != value.data + value.size)
    rule = "not valid JSON";
  else if (!cJSON_IsObject (object))
    rule = "must be an object";
  else if (!has_ascending_keys (object))
    rule = "a key is repeated or not in canonical order";
  if (rule == NULL)
    return object;
  field_set_error (context, NULL, "%s", rule);
  cJSON_Delete (object);
  return NULL;
}

bool
field_is_name (const char *text, size_t size)
{
  if (size == 0 || size > CONFIG_MAX_NAME_SIZE)
    return false;
  for (size_t i = 0; i < size; i++)
    {
      if (!g_ascii_isalnum (text[i]) && (text[i] == '\0' || strchr ("._-:@", text[i]) == NULL))
        return false;
    }
  return true;
}

bool
field_is_host (const char *text)
{
  size_t size = strlen (text);
  bool bracketed = size > 2 && text[0] == '[' && text[size - 1] == ']';
  const char *punctuation = bracketed ? ":." : ".-_";
  size_t start = bracketed ? 1 : 0;
  size_t end = bracketed ? size - 1 : size;

  if (size == 0 || size > CONFIG_MAX_NAME_SIZE)
    return false;
  for (size_t i = start; i < end; i++)
    {
      if (!g_ascii_isalnum (text[i]) && strchr (punctuation, text[i]) == NULL)
        return false;
    }
  return true;
}

const char *
field_check_prefix (const char *prefix)
{
  if (prefix[0] != '/')
    return "must start with '/'";
  if (strlen (prefix) > CONFIG_MAX_PREFIX_SIZE)
    return "is longer than 255 bytes";
  if (prefix[1] == '\0')
    return NULL;

  size_t segments = 0;
  for (const char *p = prefix; *p == '/'; segments++)
    {
      const char *segment = ++p;
      while (g_ascii_isalnum (*p) || (*p != '\0' && strchr (prefix_punctuation, *p) != NULL))
        p++;
      if (*p != '\0' && *p != '/')
        return "has a character other than letters, digits, '/' and -._~!$&'()*+,=:@";
      /* The '/' before the end of the prefix begins no segment. */
      if (*p == '\0' && p == segment)
        break;
      if (p == segment)
        return "must not have an empty segment";
      if (p[-1] == '.')
        return "has a segment that ends in a dot";
    }
  return segments <= CONFIG_MAX_PREFIX_SEGMENTS ? NULL : "has more than 32 segments";
}
