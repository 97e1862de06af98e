#pragma once

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* deflate - compression with zlib.
 *
 * The format is the size of the uncompressed data (4 bytes, big endian) followed by a zlib stream.
 * The compression level is fixed, so that the same version of zlib compresses equal data to equal
 * bytes. */

/* Returns SIZE bytes of DATA in compressed form. */
GBytes *deflate_compress (const void *data, size_t size);

/* Returns the uncompressed data, or NULL if DATA is damaged or the result would exceed LIMIT bytes.
 * The memory used is bounded by LIMIT and by what a zlib stream of SIZE bytes can expand to. */
GBytes *deflate_decompress (const void *data, size_t size, size_t limit);
