#include "deflate.h"

#include <string.h>
#include <zlib.h>

#define HEADER_BYTES 4
#define COMPRESSION_LEVEL 6
/* Deflate encodes up to 258 bytes in 2 bits: 258 * 8 / 2. */
#define MAX_COMPRESSION_RATIO 1032

GBytes *
deflate_compress (const void *data, size_t size)
{
  uLongf stream_size = compressBound (size);
  uint8_t *compressed = g_malloc (HEADER_BYTES + stream_size);
  guint32 header = GUINT32_TO_BE ((guint32)size);
  memcpy (compressed, &header, HEADER_BYTES);
  if (compress2 (compressed + HEADER_BYTES, &stream_size, data, size, COMPRESSION_LEVEL) != Z_OK)
    g_error ("out of memory");
  return g_bytes_new_take (g_realloc (compressed, HEADER_BYTES + stream_size),
                           HEADER_BYTES + stream_size);
}

GBytes *
deflate_decompress (const void *data, size_t size, size_t limit)
{
  if (size < HEADER_BYTES)
    return NULL;
  guint32 header = 0;
  memcpy (&header, data, HEADER_BYTES);
  uLongf content_size = GUINT32_FROM_BE (header);
  uLong stream_size = size - HEADER_BYTES;
  if (content_size > limit || content_size / MAX_COMPRESSION_RATIO > stream_size)
    return NULL;

  uint8_t *content = g_malloc (content_size + 1);
  uLongf written = content_size;
  int status = uncompress2 (content, &written, (const uint8_t *)data + HEADER_BYTES, &stream_size);
  if (status != Z_OK || written != content_size || stream_size != size - HEADER_BYTES)
    {
      g_free (content);
      return NULL;
    }
  return g_bytes_new_take (content, content_size);
}
