#include "deflate.h"

#include <string.h>
#include <zlib.h>

#define HEADER_SIZE 4
#define LEVEL 6
/* Deflate encodes at most 258 bytes in 2 bits. */
#define MAX_RATIO 1032

GBytes *
deflate_pack (const void *data, size_t size)
{
  uLongf packed_size = compressBound (size);
  uint8_t *packed = g_malloc (HEADER_SIZE + packed_size);
  guint32 header = GUINT32_TO_BE ((guint32)size);
  memcpy (packed, &header, HEADER_SIZE);
  if (compress2 (packed + HEADER_SIZE, &packed_size, data, size, LEVEL) != Z_OK)
    g_error ("out of memory");
  return g_bytes_new_take (g_realloc (packed, HEADER_SIZE + packed_size),
                           HEADER_SIZE + packed_size);
}

GBytes *
deflate_unpack (const void *data, size_t size, size_t limit)
{
  if (size < HEADER_SIZE)
    return NULL;
  guint32 header = 0;
  memcpy (&header, data, HEADER_SIZE);
  uLongf content_size = GUINT32_FROM_BE (header);
  uLong stream_size = size - HEADER_SIZE;
  if (content_size > limit || content_size / MAX_RATIO > stream_size)
    return NULL;

  uint8_t *content = g_malloc (content_size + 1);
  uLongf written = content_size;
  int status = uncompress2 (content, &written, (const uint8_t *)data + HEADER_SIZE, &stream_size);
  if (status != Z_OK || written != content_size || stream_size != size - HEADER_SIZE)
    {
      g_free (content);
      return NULL;
    }
  return g_bytes_new_take (content, content_size);
}
