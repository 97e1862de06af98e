#pragma once

#include <gio/gio.h>
#include <stdbool.h>
#include <sys/types.h>

#include "anv_error.h"
#include "io_loop.h"

/* byte_stream - non-blocking byte stream over a GSocket, optionally through TLS.
 *
 * Output is collected and written at the end of the turn, so that a head and the start of its body
 * leave in one segment. No function calls back; all callbacks come from the main loop. */

typedef struct byte_stream byte_stream_t;

typedef struct
{
  /* The connection attempt of byte_stream_connect() succeeded. */
  void (*connected) (byte_stream_t *stream);
  /* byte_stream_read() will not block. */
  void (*readable) (byte_stream_t *stream);
  /* SIZE bytes were written; byte_stream_pending() tells what is left. */
  void (*written) (byte_stream_t *stream, size_t size);
  /* Writing or connecting failed, or the peer closed while reading was off (see watch_hangup).
   * After a failed write the input can still be read. */
  void (*failed) (byte_stream_t *stream, const anv_error_t *err);
} byte_stream_ops_t;

#define BYTE_STREAM_ERROR_SIZE 128

struct byte_stream
{
  const byte_stream_ops_t *ops;
  io_loop_t *loop;
  GSocket *socket;
  GIOStream *tls; /* NULL without TLS */
  GSource *tls_reader;
  GSource *tls_writer;
  io_watch_t watch;
  io_deferred_t flush;
  GString *out;
  size_t out_start; /* bytes of OUT that are written already */
  bool connecting;
  bool reading;
  bool write_blocked;
  bool watch_hangup; /* report a hang-up of the peer while reading is off */
  bool write_failed; /* further output is dropped */
  bool closed;
  char read_error[BYTE_STREAM_ERROR_SIZE]; /* why byte_stream_read() returned BYTE_STREAM_FAILED */
};

/* Results of byte_stream_read() besides a number of bytes. */
#define BYTE_STREAM_EOF 0
#define BYTE_STREAM_WOULD_BLOCK (-1)
#define BYTE_STREAM_FAILED (-2)

/* Takes over SOCKET, which is connected. TLS (may be NULL) is a connection over it. */
void byte_stream_open (byte_stream_t *stream, const byte_stream_ops_t *ops, io_loop_t *loop,
                       GSocket *socket, GIOStream *tls);

/* Starts a connection to ADDRESS. Returns false with ANV_ERROR_HTTP if it cannot be started; the
 * stream is then closed. */
bool byte_stream_connect (byte_stream_t *stream, const byte_stream_ops_t *ops, io_loop_t *loop,
                          GSocketAddress *address, anv_error_t *err);

/* Continues a connection as the TLS connection TLS over the same socket. Nothing may have been read
 * or written. */
void byte_stream_start_tls (byte_stream_t *stream, GIOStream *tls);

ssize_t byte_stream_read (byte_stream_t *stream, char *buffer, size_t size);

/* Queues SIZE bytes. */
void byte_stream_write (byte_stream_t *stream, const char *bytes, size_t size);

/* Returns the number of bytes that are queued and not written. */
size_t byte_stream_pending (const byte_stream_t *stream);

/* Turns the readable callback on or off. */
void byte_stream_set_reading (byte_stream_t *stream, bool reading);

/* Sends the end of the output to the peer; input goes on. */
void byte_stream_shutdown_output (byte_stream_t *stream);

/* Closes the stream and drops queued output. With RESET the peer sees an aborted connection instead
 * of an end of data. */
void byte_stream_close (byte_stream_t *stream, bool reset);
