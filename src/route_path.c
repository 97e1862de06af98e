#include "route_path.h"

#include <glib.h>
#include <string.h>

/* Most passes that may change a path. Each removes one level of percent-encoding, and legitimate
 * callers send at most two levels. */
#define MAX_DECODE_PASSES 4

/* Decodes one level of percent-encoding in place. Returns whether anything was decoded. */
static bool
decode_pass (char *text, size_t *size)
{
  size_t out = 0;
  bool changed = false;
  for (size_t in = 0; in < *size; in++)
    {
      char c = text[in];
      if (c == '%' && in + 2 < *size && g_ascii_isxdigit (text[in + 1])
          && g_ascii_isxdigit (text[in + 2]))
        {
          c = (char)(g_ascii_xdigit_value (text[in + 1]) * 16
                     + g_ascii_xdigit_value (text[in + 2]));
          in += 2;
          changed = true;
        }
      text[out++] = c;
    }
  *size = out;
  return changed;
}

/* Returns whether each '%' starts an escape. This must hold for the path as sent; a '%' that
 * results from decoding may be literal. */
static bool
has_valid_escapes (const char *text, size_t size)
{
  for (size_t i = 0; i < size; i++)
    {
      if (text[i] != '%')
        continue;
      if (i + 2 >= size || !g_ascii_isxdigit (text[i + 1]) || !g_ascii_isxdigit (text[i + 2]))
        return false;
    }
  return true;
}

static bool
has_control_character (const char *text, size_t size)
{
  for (size_t i = 0; i < size; i++)
    {
      if (g_ascii_iscntrl (text[i]))
        return true;
    }
  return false;
}

static bool
is_ascii (const char *text, size_t size)
{
  for (size_t i = 0; i < size; i++)
    {
      if ((signed char)text[i] < 0)
        return false;
    }
  return true;
}

/* Replaces compatibility characters (a full-width 'p', a two-dot leader) by their plain form and
 * folds letter case, as some backend servers do. Sets CHANGED if the text changed. Returns false if
 * the result is too long. */
static bool
fold_unicode (char *text, size_t *size, bool *changed)
{
  g_autofree char *plain = g_utf8_normalize (text, (gssize)*size, G_NORMALIZE_ALL);
  g_autofree char *folded = g_utf8_casefold (plain, -1);
  size_t length = strlen (folded);
  if (length > ROUTE_MAX_PATH_SIZE)
    return false;
  *changed = *changed || length != *size || memcmp (text, folded, length) != 0;
  memcpy (text, folded, length);
  *size = length;
  return true;
}

/* Decodes and folds TEXT, a buffer of ROUTE_MAX_PATH_SIZE bytes, until nothing changes. */
static route_result_t
decode_fully (char *text, size_t *size)
{
  bool changed = true;
  for (unsigned passes = 0; changed; passes++)
    {
      if (passes > MAX_DECODE_PASSES)
        return ROUTE_BAD_PATH;
      changed = decode_pass (text, size);
      if (has_control_character (text, *size) || !g_utf8_validate (text, (gssize)*size, NULL))
        return ROUTE_BAD_PATH;
      if (!is_ascii (text, *size) && !fold_unicode (text, size, &changed))
        return ROUTE_PATH_TOO_LONG;
    }
  return ROUTE_FOUND;
}

static bool
is_separator (char c)
{
  return c == '/' || c == '\\';
}

/* Returns the size of a segment without its parameters, which start at ';'. A decoded '?' or '#'
 * also ends the segment, because some backend servers split the request target after decoding. */
static size_t
segment_size (const char *data, size_t size)
{
  size_t i = 0;
  while (i < size && strchr (";?#", data[i]) == NULL)
    i++;
  return i;
}

/* Removes dots and spaces at the end of a segment, as the file systems of some backend servers do.
 * Returns the number of dots that were removed. */
static size_t
trim_segment (const char *data, size_t *size)
{
  size_t dots = 0;
  while (*size > 0 && (data[*size - 1] == '.' || data[*size - 1] == ' '))
    dots += data[--*size] == '.';
  return dots;
}

/* Appends the segment at DATA to PATH, whose text has USED bytes. Returns false for ".." and for
 * longer segments of dots. */
static bool
add_segment (route_path_t *path, size_t *used, const char *data, size_t size)
{
  size = segment_size (data, size);
  size_t dots = trim_segment (data, &size);
  if (size == 0)
    return dots < 2;
  if (path->segment_count == CONFIG_MAX_PREFIX_SEGMENTS)
    return true;

  path->text[(*used)++] = '/';
  for (size_t i = 0; i < size; i++)
    path->text[(*used)++] = g_ascii_tolower (data[i]);
  path->segment_ends[path->segment_count++] = *used;
  return true;
}

/* Stores the segments of TEXT in PATH. Returns false if add_segment() does for one of them. */
static bool
split_segments (route_path_t *path, const char *text, size_t size)
{
  size_t used = 0;
  size_t start = 0;
  for (size_t i = 0; i <= size; i++)
    {
      if (i < size && !is_separator (text[i]))
        continue;
      size_t count_before = path->segment_count;
      if (!add_segment (path, &used, text + start, i - start))
        return false;
      if (path->segment_count > count_before)
        path->continues = i < size;
      start = i + 1;
    }
  if (used == 0)
    path->text[used++] = '/';
  path->text[used] = '\0';
  return true;
}

route_result_t
route_path_normalize (route_path_t *path, const char *target)
{
  char text[ROUTE_MAX_PATH_SIZE];
  size_t size = strcspn (target, "?");
  path->segment_count = 0;
  path->continues = false;
  if (target[0] != '/' || memchr (target, '#', size) != NULL)
    return ROUTE_BAD_PATH;
  if (size > sizeof (text))
    return ROUTE_PATH_TOO_LONG;
  if (!has_valid_escapes (target, size))
    return ROUTE_BAD_PATH;

  memcpy (text, target, size);
  route_result_t result = decode_fully (text, &size);
  if (result != ROUTE_FOUND)
    return result;
  return split_segments (path, text, size) ? ROUTE_FOUND : ROUTE_BAD_PATH;
}

bool
route_path_has_literal_prefix (const char *target, const char *prefix, bool must_continue)
{
  size_t size = strlen (prefix);
  if (strncmp (target, prefix, size) != 0)
    return false;
  if (prefix[size - 1] == '/')
    return true;
  return target[size] == '/' || (!must_continue && (target[size] == '\0' || target[size] == '?'));
}
