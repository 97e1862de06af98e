#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "anv_error.h"

/* frame - length framing of a byte stream: a 4-byte big-endian length, then the payload.
 *
 * The reader holds at most one incomplete frame, so a peer can make it keep at most
 * FRAME_MAX_SIZE bytes, and memory grows only with bytes that have arrived. */

/* Largest payload in bytes; a configuration with 62,000 routes is the largest message. */
#define FRAME_MAX_SIZE (32U * 1024 * 1024)
#define FRAME_HEADER_SIZE 4

typedef enum
{
  FRAME_ERROR_TOO_LARGE = 1,
  FRAME_ERROR_EMPTY,
} frame_error_t;

typedef struct
{
  GByteArray *buffer;
  size_t max_size;
} frame_reader_t;

/* MAX_SIZE is the largest accepted payload, at most FRAME_MAX_SIZE. */
void frame_reader_init (frame_reader_t *reader, size_t max_size);
void frame_reader_destroy (frame_reader_t *reader);

/* Adds received bytes. Returns false with ANV_ERROR_FRAME if the stream is invalid; the connection
 * must then be closed. */
bool frame_reader_feed (frame_reader_t *reader, const uint8_t *data, size_t size, anv_error_t *err);

/* Returns the next complete payload, or NULL if there is none yet or the stream is invalid, which
 * sets ERR. Free with g_bytes_unref(). */
GBytes *frame_reader_next (frame_reader_t *reader, anv_error_t *err);

/* Appends a frame with the given payload to OUT. SIZE must be from 1 to FRAME_MAX_SIZE. */
void frame_append (GByteArray *out, const uint8_t *payload, size_t size);
