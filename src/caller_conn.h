#pragma once

#include "byte_stream.h"
#include "http_codec.h"
#include "proxy.h"

/* caller_conn - one connection of a caller.
 *
 * Requests of a connection are handled one after the other. A caller that closes its side, even
 * only for writing, gives up its request. */

typedef struct caller_conn caller_conn_t;

typedef struct
{
  io_loop_t *loop;
  proxy_t *proxy;
  int64_t header_timeout_us; /* from the first byte of a head to its end */
  int64_t idle_timeout_us;   /* between requests */
  /* Called once, when the connection is closed. */
  void (*closed) (caller_conn_t *conn, void *data);
  void *data;
} caller_conn_options_t;

typedef enum
{
  CALLER_IDLE,       /* waits for a request, or reads its head */
  CALLER_REQUEST,    /* a request is in progress */
  CALLER_DISCARDING, /* the request is answered; the rest of its body is dropped */
  CALLER_LINGERING,  /* output is flushed, input is dropped until the caller closes */
  CALLER_CLOSED,
} caller_state_t;

struct caller_conn
{
  caller_exchange_t exchange; /* first member */
  const caller_conn_options_t *options;
  list_node_t node; /* for the owner */
  byte_stream_t stream;
  http_codec_t codec;
  caller_state_t state;
  proxy_request_t *request;
  bool message_complete; /* the current request was read to its end */
  bool paused;           /* the proxy does not want more of the body */
  bool output_ended;
  bool input_ended;
  size_t discarded;
  GString *leftover; /* input that belongs to later requests; NULL if there is none */
  io_timer_t timer;
  io_deferred_t resume;
  io_deferred_t free;
  char address[64];
};

/* Takes over SOCKET and TLS (NULL without TLS). OPTIONS must outlive the connection. The connection
 * frees itself after it is closed. */
caller_conn_t *caller_conn_new (const caller_conn_options_t *options, GSocket *socket,
                                GIOStream *tls);

/* Closes a connection that has no request and no output; others close after their response. */
void caller_conn_drain (caller_conn_t *conn);

/* Closes at once; a request in progress is cancelled. */
void caller_conn_close (caller_conn_t *conn);
