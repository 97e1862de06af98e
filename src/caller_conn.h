#pragma once

#include "byte_stream.h"
#include "caller_memory.h"
#include "http_codec.h"
#include "proxy.h"

/* caller_conn - connection from a caller.
 *
 * The requests of a connection are handled one at a time. A request in progress is cancelled when
 * the caller closes the connection, even if it closes only its sending side. */

typedef struct
{
  io_loop_t *loop;
  proxy_t *proxy;
  caller_memory_t *memory;   /* NULL: connections may hold what they need */
  int64_t header_timeout_us; /* time limit of a request head, and of the rest of a discarded body */
  int64_t idle_timeout_us;   /* longest time between two requests */
  /* Called once, when the connection is closed. */
  void (*closed) (caller_conn_t *conn, void *data);
  void *data; /* passed to closed() */
} caller_conn_options_t;

typedef enum
{
  CALLER_IDLE,       /* waiting for a request or reading its head */
  CALLER_REQUEST,    /* a request is in progress */
  CALLER_DISCARDING, /* the response is written; the rest of the request body is read and dropped */
  CALLER_LINGERING,  /* output is being flushed; input is dropped until the caller closes */
  CALLER_CLOSED,
} caller_state_t;

struct caller_conn
{
  caller_exchange_t exchange; /* must be the first member */
  const caller_conn_options_t *options;
  list_node_t node; /* on the list of the owner */
  byte_stream_t stream;
  http_codec_t codec;
  caller_state_t state;
  proxy_request_t *request;
  bool message_complete; /* the current request has been read completely */
  bool paused;           /* the proxy has stopped reading the request body */
  bool output_shut_down;
  bool input_ended;
  bool aborted;             /* the last response is incomplete */
  bool ends_with_reset;     /* without a reset, the last response would look complete */
  bool draining;            /* closes as soon as no request has arrived */
  size_t discarded_bytes;   /* of the body of the current request, and after the last response */
  int64_t linger_end_us;    /* when input is no longer dropped; set when the output is shut down */
  GString *pipelined_input; /* unparsed input after the current request; NULL if empty */
  io_timer_t timer;
  io_deferred_t resume; /* goes on after a request, see on_resume() */
  io_deferred_t free;
  memory_holder_t holder;      /* see caller_memory */
  byte_stream_kernel_t kernel; /* as it was read last */
  char address[64];            /* IP address of the caller, without port */
};

/* Starts to serve the connected SOCKET, through TLS if that is not NULL. Takes a reference to both.
 * OPTIONS must outlive the connection. The connection frees itself after it is closed. */
caller_conn_t *caller_conn_new (const caller_conn_options_t *options, GSocket *socket,
                                GIOStream *tls);

/* Closes the connection as soon as it waits for a request of which no byte has arrived: at once, or
 * after the requests that have arrived. A response that starts while proxy_t.draining is set is the
 * last one on its connection. */
void caller_conn_drain (caller_conn_t *conn);

/* Closes the connection immediately and cancels its request, if any. */
void caller_conn_close (caller_conn_t *conn);

/* Closes the connection to free memory. A request whose response has not started is answered if
 * the caller has taken the earlier responses: 503 if it has not run, otherwise 502. */
void caller_conn_close_for_memory (caller_conn_t *conn);
