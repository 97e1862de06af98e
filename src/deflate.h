#pragma once

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* deflate - zlib streams of known size.
 *
 * The format is the size of the content (4 bytes, big endian) followed by a zlib stream. The level
 * is fixed, so that equal content has equal bytes with the same zlib. */

GBytes *deflate_pack (const void *data, size_t size);

/* Returns NULL if DATA is damaged or the content is larger than LIMIT. Memory is bounded by LIMIT
 * and by what a zlib stream of SIZE bytes can hold. */
GBytes *deflate_unpack (const void *data, size_t size, size_t limit);
