#include "http_headers.h"

#include <string.h>

typedef struct
{
  guint32 name_offset; /* into the text of the list */
  guint32 value_offset;
} http_field_t;

/* Fields that are never forwarded, whether or not Connection lists them. */
static const char *const hop_by_hop_names[] = {
  "Connection",
  "Keep-Alive",
  "Proxy-Connection",
  "Proxy-Authenticate",
  "Proxy-Authorization",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
};

/* Fields that are forwarded even if Connection lists them. Otherwise a caller could have them
 * removed to change the meaning of the message or to evade a limit. */
static const char *const end_to_end_names[] = {
  "Host",
  "Content-Length",
  "Authorization",
  "Anvillb-Deadline-Ms",
  "Anvillb-Team",
  "Anvillb-Hop",
  "Idempotency-Key",
  "Anvillb-Shed",
  "Cookie",
  "X-Forwarded-For",
  "Via",
  "traceparent",
};

void
http_headers_init (http_headers_t *headers)
{
  *headers = (http_headers_t){ 0 };
}

void
http_headers_destroy (http_headers_t *headers)
{
  http_headers_clear (headers);
}

void
http_headers_clear (http_headers_t *headers)
{
  if (headers->text == NULL)
    return;
  g_string_free (headers->text, TRUE);
  g_array_unref (headers->fields);
  *headers = (http_headers_t){ 0 };
}

void
http_headers_append_len (http_headers_t *headers, const char *name, size_t name_size,
                         const char *value, size_t value_size)
{
  if (headers->text == NULL)
    {
      headers->text = g_string_sized_new (512);
      headers->fields = g_array_sized_new (FALSE, FALSE, sizeof (http_field_t), 16);
    }
  http_field_t field;
  field.name_offset = (guint32)headers->text->len;
  g_string_append_len (headers->text, name, (gssize)name_size);
  g_string_append_c (headers->text, '\0');
  field.value_offset = (guint32)headers->text->len;
  g_string_append_len (headers->text, value, (gssize)value_size);
  g_string_append_c (headers->text, '\0');
  g_array_append_val (headers->fields, field);
}

void
http_headers_append (http_headers_t *headers, const char *name, const char *value)
{
  http_headers_append_len (headers, name, strlen (name), value, strlen (value));
}

size_t
http_headers_length (const http_headers_t *headers)
{
  return headers->fields == NULL ? 0 : headers->fields->len;
}

static const http_field_t *
field_at (const http_headers_t *headers, size_t index)
{
  return &g_array_index (headers->fields, http_field_t, index);
}

const char *
http_headers_name (const http_headers_t *headers, size_t index)
{
  return headers->text->str + field_at (headers, index)->name_offset;
}

const char *
http_headers_value (const http_headers_t *headers, size_t index)
{
  return headers->text->str + field_at (headers, index)->value_offset;
}

void
http_headers_remove (http_headers_t *headers, const char *name)
{
  /* The text of removed fields is freed with the whole list. */
  for (size_t i = http_headers_length (headers); i > 0; i--)
    {
      if (g_ascii_strcasecmp (http_headers_name (headers, i - 1), name) == 0)
        g_array_remove_index (headers->fields, (guint)(i - 1));
    }
}

static bool
is_similar_name (const char *a, const char *b)
{
  for (; *a != '\0' && *b != '\0'; a++, b++)
    {
      char left = *a == '_' ? '-' : g_ascii_tolower (*a);
      char right = *b == '_' ? '-' : g_ascii_tolower (*b);
      if (left != right)
        return false;
    }
  return *a == *b;
}

void
http_headers_remove_similar (http_headers_t *headers, const char *name)
{
  for (size_t i = http_headers_length (headers); i > 0; i--)
    {
      if (is_similar_name (http_headers_name (headers, i - 1), name))
        g_array_remove_index (headers->fields, (guint)(i - 1));
    }
}

void
http_headers_set (http_headers_t *headers, const char *name, const char *value)
{
  http_headers_remove (headers, name);
  http_headers_append (headers, name, value);
}

void
http_headers_append_all (http_headers_t *headers, const http_headers_t *source)
{
  if (source == NULL)
    return;
  for (size_t i = 0; i < http_headers_length (source); i++)
    http_headers_append (headers, http_headers_name (source, i), http_headers_value (source, i));
}

const char *
http_headers_get (const http_headers_t *headers, const char *name)
{
  for (size_t i = 0; i < http_headers_length (headers); i++)
    {
      if (g_ascii_strcasecmp (http_headers_name (headers, i), name) == 0)
        return http_headers_value (headers, i);
    }
  return NULL;
}

size_t
http_headers_count (const http_headers_t *headers, const char *name)
{
  size_t count = 0;
  for (size_t i = 0; i < http_headers_length (headers); i++)
    count += g_ascii_strcasecmp (http_headers_name (headers, i), name) == 0;
  return count;
}

static bool
list_has_token (const char *list, const char *token)
{
  size_t size = strlen (token);
  const char *p = list;

  while (*p != '\0')
    {
      p += strspn (p, " \t,");
      size_t length = strcspn (p, ",");
      size_t trimmed = length;
      while (trimmed > 0 && (p[trimmed - 1] == ' ' || p[trimmed - 1] == '\t'))
        trimmed--;
      if (trimmed == size && g_ascii_strncasecmp (p, token, size) == 0)
        return true;
      p += length;
    }
  return false;
}

bool
http_headers_has_token (const http_headers_t *headers, const char *name, const char *token)
{
  for (size_t i = 0; i < http_headers_length (headers); i++)
    {
      if (g_ascii_strcasecmp (http_headers_name (headers, i), name) == 0
          && list_has_token (http_headers_value (headers, i), token))
        return true;
    }
  return false;
}

static bool
is_one_of (const char *name, const char *const *names, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      if (g_ascii_strcasecmp (name, names[i]) == 0)
        return true;
    }
  return false;
}

void
http_headers_remove_hop_by_hop (http_headers_t *headers)
{
  bool has_connection = http_headers_get (headers, "Connection") != NULL;

  for (size_t i = http_headers_length (headers); has_connection && i > 0; i--)
    {
      const char *name = http_headers_name (headers, i - 1);
      if (g_ascii_strcasecmp (name, "Connection") != 0
          && !is_one_of (name, end_to_end_names, G_N_ELEMENTS (end_to_end_names))
          && http_headers_has_token (headers, "Connection", name))
        g_array_remove_index (headers->fields, (guint)(i - 1));
    }
  for (size_t i = http_headers_length (headers); i > 0; i--)
    {
      const char *name = http_headers_name (headers, i - 1);
      if (is_one_of (name, hop_by_hop_names, G_N_ELEMENTS (hop_by_hop_names)))
        g_array_remove_index (headers->fields, (guint)(i - 1));
    }
}

void
http_headers_write (const http_headers_t *headers, GString *out)
{
  for (size_t i = 0; i < http_headers_length (headers); i++)
    {
      g_string_append (out, http_headers_name (headers, i));
      g_string_append_len (out, ": ", 2);
      g_string_append (out, http_headers_value (headers, i));
      g_string_append_len (out, "\r\n", 2);
    }
}
