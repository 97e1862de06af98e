#include "frame.h"

#include <string.h>

static bool
read_length (const frame_reader_t *reader, size_t *length, anv_error_t *err)
{
  uint32_t raw = 0;
  memcpy (&raw, reader->buffer->data, sizeof (raw));
  *length = GUINT32_FROM_BE (raw);
  if (*length == 0)
    {
      anv_error_set (err, ANV_ERROR_FRAME, FRAME_ERROR_EMPTY, "frame without payload");
      return false;
    }
  if (*length > reader->max_size)
    {
      anv_error_set (err, ANV_ERROR_FRAME, FRAME_ERROR_TOO_LARGE,
                     "frame of %zu bytes is larger than the limit of %zu bytes", *length,
                     reader->max_size);
      return false;
    }
  return true;
}

void
frame_reader_init (frame_reader_t *reader, size_t max_size)
{
  reader->buffer = g_byte_array_new ();
  reader->max_size = MIN (max_size, FRAME_MAX_SIZE);
}

void
frame_reader_destroy (frame_reader_t *reader)
{
  g_clear_pointer (&reader->buffer, g_byte_array_unref);
}

bool
frame_reader_feed (frame_reader_t *reader, const uint8_t *data, size_t size, anv_error_t *err)
{
  size_t length = 0;
  g_byte_array_append (reader->buffer, data, (guint)size);
  if (reader->buffer->len < FRAME_HEADER_SIZE)
    return true;
  return read_length (reader, &length, err);
}

GBytes *
frame_reader_next (frame_reader_t *reader, anv_error_t *err)
{
  size_t length = 0;
  if (reader->buffer->len < FRAME_HEADER_SIZE || !read_length (reader, &length, err))
    return NULL;
  if (reader->buffer->len < FRAME_HEADER_SIZE + length)
    return NULL;

  GBytes *payload = g_bytes_new (reader->buffer->data + FRAME_HEADER_SIZE, length);
  g_byte_array_remove_range (reader->buffer, 0, (guint)(FRAME_HEADER_SIZE + length));
  return payload;
}

void
frame_append (GByteArray *out, const uint8_t *payload, size_t size)
{
  g_assert (size > 0 && size <= FRAME_MAX_SIZE);
  uint32_t length = GUINT32_TO_BE ((uint32_t)size);
  g_byte_array_append (out, (const guint8 *)&length, sizeof (length));
  g_byte_array_append (out, payload, (guint)size);
}
