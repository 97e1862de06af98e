#pragma once

#include <gio/gio.h>
#include <stdbool.h>
#include <sys/types.h>

#include "anv_error.h"
#include "io_loop.h"

/* byte_stream - non-blocking byte stream over a GSocket, with optional TLS.
 *
 * Output is buffered and written at the end of the main loop iteration, so that a message head and
 * the start of its body leave in one segment. Callbacks come only from the main loop, never from
 * within a function of this module. */

typedef struct byte_stream byte_stream_t;

typedef struct
{
  /* The connection that byte_stream_connect() started is established. */
  void (*connected) (byte_stream_t *stream);
  /* byte_stream_read() may return data, the end of the input or an error. */
  void (*readable) (byte_stream_t *stream);
  /* SIZE bytes were written to the socket. */
  void (*written) (byte_stream_t *stream, size_t size);
  /* A write or the connection attempt failed, or the peer closed while reading was off (see
   * watch_hangup). After a failed write, the input that has arrived can still be read. */
  void (*failed) (byte_stream_t *stream, const anv_error_t *err);
} byte_stream_ops_t;

#define BYTE_STREAM_ERROR_SIZE 128

struct byte_stream
{
  const byte_stream_ops_t *ops;
  io_loop_t *loop;
  GSocket *socket;
  GIOStream *tls;      /* NULL without TLS */
  GSource *tls_reader; /* NULL while reading is off */
  GSource *tls_writer; /* NULL unless a write is blocked */
  io_watch_t watch;
  io_deferred_t flush;
  GString *output;     /* queued output; NULL if empty */
  size_t output_start; /* bytes of OUTPUT that are already written */
  bool connecting;
  bool reading;       /* the readable callback is on */
  bool write_blocked; /* waiting until the socket is writable */
  bool watch_hangup;  /* set by the owner: report that the peer closed while reading is off */
  bool write_failed;  /* a write has failed; further output is dropped */
  bool failed;        /* the connection has failed: its input may lack bytes */
  bool closed;
  char read_error[BYTE_STREAM_ERROR_SIZE]; /* reason of the last BYTE_STREAM_FAILED */
};

typedef struct
{
  size_t input_bytes;  /* received and not read yet */
  size_t output_bytes; /* written and not acknowledged by the peer */
} byte_stream_kernel_t;

/* Results of byte_stream_read() other than a number of bytes. */
#define BYTE_STREAM_EOF 0
#define BYTE_STREAM_WOULD_BLOCK (-1)
#define BYTE_STREAM_FAILED (-2)

/* Opens a stream over the connected SOCKET, through the TLS connection TLS over it if that is not
 * NULL. Takes a reference to both. */
void byte_stream_open (byte_stream_t *stream, const byte_stream_ops_t *ops, io_loop_t *loop,
                       GSocket *socket, GIOStream *tls);

/* Starts to connect to ADDRESS. If that fails immediately, returns false with ANV_ERROR_HTTP and
 * HTTP_ERROR_SOCKET; the stream is then closed. */
bool byte_stream_connect (byte_stream_t *stream, const byte_stream_ops_t *ops, io_loop_t *loop,
                          GSocketAddress *address, anv_error_t *err);

/* Switches a connected stream to TLS, a TLS connection over the same socket, and takes a reference
 * to it. Reading must be off and no output queued; nothing may have been read or written. */
void byte_stream_start_tls (byte_stream_t *stream, GIOStream *tls);

/* Reads up to SIZE bytes. Returns the number of bytes read, or BYTE_STREAM_EOF at the regular end
 * of the input, BYTE_STREAM_WOULD_BLOCK or BYTE_STREAM_FAILED. The end is regular only if nothing
 * on the connection has failed: a socket reports an error once, to whichever call comes first, and
 * then an end of the input. */
ssize_t byte_stream_read (byte_stream_t *stream, char *buffer, size_t size);

/* Queues a copy of SIZE bytes. Does nothing if the stream is closed or a write has failed. */
void byte_stream_write (byte_stream_t *stream, const char *bytes, size_t size);

/* Returns the number of queued bytes that are not written yet. */
size_t byte_stream_pending (const byte_stream_t *stream);

/* Returns the memory that queued output takes. */
size_t byte_stream_held_bytes (const byte_stream_t *stream);

/* Returns the memory that the kernel holds for the socket; 0 if it does not tell. */
byte_stream_kernel_t byte_stream_kernel_bytes (const byte_stream_t *stream);

/* Limits the kernel buffers of the socket to SIZE bytes each way. */
void byte_stream_limit_kernel_buffers (byte_stream_t *stream, int size);

/* Turns the readable callback on or off. */
void byte_stream_set_reading (byte_stream_t *stream, bool reading);

/* Shuts down the sending side of the socket. Input can still be read. */
void byte_stream_shutdown_output (byte_stream_t *stream);

/* Closes the stream and drops queued output. With RESET the peer sees a connection reset instead of
 * the end of the input. */
void byte_stream_close (byte_stream_t *stream, bool reset);
