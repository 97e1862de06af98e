#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "anv_error.h"

/* frame - splits a byte stream into frames: a 4-byte big-endian length, then the payload.
 *
 * The buffer of the reader grows only with the bytes that have arrived, not with an announced
 * length. If all complete frames are taken after each read, a peer can make the reader hold at most
 * one frame of FRAME_MAX_SIZE bytes, and the bytes of one read. */

/* Largest payload in bytes. The largest messages are configurations; one with 62,000 routes
 * fits. */
#define FRAME_MAX_SIZE (32U * 1024 * 1024)
#define FRAME_HEADER_SIZE 4

typedef enum
{
  FRAME_ERROR_TOO_LARGE = 1,
  FRAME_ERROR_EMPTY,
} frame_error_t;

typedef struct
{
  GByteArray *buffer; /* received bytes that are not yet returned */
  size_t max_size;    /* largest accepted payload, in bytes */
} frame_reader_t;

/* MAX_SIZE is the largest accepted payload in bytes; values above FRAME_MAX_SIZE are reduced to
 * it. */
void frame_reader_init (frame_reader_t *reader, size_t max_size);
void frame_reader_destroy (frame_reader_t *reader);

/* Adds received bytes. Returns false with ANV_ERROR_FRAME if the stream is invalid; the connection
 * must then be closed. */
bool frame_reader_feed (frame_reader_t *reader, const uint8_t *data, size_t size, anv_error_t *err);

/* Returns the next complete payload, or NULL if it has not arrived yet. An invalid stream also
 * returns NULL and sets ERR to ANV_ERROR_FRAME. Free with g_bytes_unref(). */
GBytes *frame_reader_next (frame_reader_t *reader, anv_error_t *err);

/* Appends a frame with PAYLOAD to OUT. SIZE must be from 1 to FRAME_MAX_SIZE. */
void frame_append (GByteArray *out, const uint8_t *payload, size_t size);
