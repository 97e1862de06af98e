#include "text_page.h"

#include <stdarg.h>
#include <stdbool.h>
#include <string.h>

#define CONTINUATION_INDENT 2
#define HEADER_LINES 3

void
text_page_init (text_page_t *page, size_t width)
{
  page->lines = g_ptr_array_new_with_free_func (g_free);
  page->width = width;
}

void
text_page_destroy (text_page_t *page)
{
  g_ptr_array_free (page->lines, TRUE);
}

/* Returns whether C is a control character, a line separator or a bidirectional control. */
static bool
is_unsafe (gunichar c)
{
  return c < 0x20 || (c >= 0x7f && c <= 0x9f) || (c >= 0x2028 && c <= 0x202e)
         || (c >= 0x2066 && c <= 0x2069);
}

/* Returns TEXT as valid UTF-8 with unsafe characters replaced by '?'. Free with g_free(). */
static char *
replace_unsafe (const char *text)
{
  g_autofree char *valid = g_utf8_make_valid (text, -1);
  GString *out = g_string_new (NULL);
  for (const char *p = valid; *p != '\0'; p = g_utf8_next_char (p))
    {
      gunichar c = g_utf8_get_char (p);
      g_string_append_unichar (out, is_unsafe (c) ? '?' : c);
    }
  return g_string_free (out, FALSE);
}

/* Returns how many bytes of TEXT fit on a line of WIDTH characters, up to a space if possible. */
static size_t
count_line_bytes (const char *text, size_t width)
{
  const char *p = text;
  const char *space = NULL;
  for (size_t i = 0; i < width && *p != '\0'; i++, p = g_utf8_next_char (p))
    {
      if (*p == ' ' && p > text)
        space = p;
    }
  if (*p == '\0' || *p == ' ' || space == NULL)
    return (size_t)(p - text);
  return (size_t)(space - text);
}

static void
add_line (text_page_t *page, size_t indent, const char *text, size_t size)
{
  while (size > 0 && text[size - 1] == ' ')
    size--;
  char *line = g_strdup_printf ("%*s%.*s", (int)(size > 0 ? indent : 0), "", (int)size, text);
  g_ptr_array_add (page->lines, line);
}

void
text_page_add_paragraph (text_page_t *page, size_t indent, const char *fmt, ...)
{
  va_list args;
  va_start (args, fmt);
  g_autofree char *unsafe_text = g_strdup_vprintf (fmt, args);
  va_end (args);
  g_autofree char *text = replace_unsafe (unsafe_text);

  const char *rest = text;
  size_t margin = indent;
  do
    {
      size_t size = count_line_bytes (rest, page->width - margin);
      add_line (page, margin, rest, size);
      rest += size;
      while (*rest == ' ')
        rest++;
      margin = indent + CONTINUATION_INDENT;
    }
  while (*rest != '\0');
}

void
text_page_add_blank_line (text_page_t *page)
{
  guint count = page->lines->len;
  if (count > 0 && strcmp (g_ptr_array_index (page->lines, count - 1), "") != 0)
    g_ptr_array_add (page->lines, g_strdup (""));
}

char *
text_page_to_text (const text_page_t *page)
{
  GString *out = g_string_new (NULL);
  for (guint i = 0; i < page->lines->len; i++)
    g_string_append_printf (out, "%s\n", (const char *)g_ptr_array_index (page->lines, i));
  return g_string_free (out, FALSE);
}

static void
append_header (const text_page_t *page, GString *out, const char *title, const char *subtitle,
               guint number, guint total)
{
  g_autofree char *right = g_strdup_printf ("page %u of %u", number, total);
  size_t used = (size_t)g_utf8_strlen (title, -1) + strlen (right);
  size_t space = used < page->width ? page->width - used : 1;
  g_string_append_printf (out, "%s%*s%s\n%s\n\n", title, (int)space, "", right, subtitle);
}

char *
text_page_paginate (const text_page_t *page, const char *title, const char *subtitle, size_t length)
{
  GString *out = g_string_new (NULL);
  guint body_line_count = (guint)(length - HEADER_LINES);
  guint total = MAX (1, (page->lines->len + body_line_count - 1) / body_line_count);
  for (guint number = 0; number < total; number++)
    {
      guint end = MIN (page->lines->len, (number + 1) * body_line_count);
      append_header (page, out, title, subtitle, number + 1, total);
      for (guint i = number * body_line_count; i < end; i++)
        g_string_append_printf (out, "%s\n", (const char *)g_ptr_array_index (page->lines, i));
      g_string_append_c (out, '\f');
    }
  return g_string_free (out, FALSE);
}
