#pragma once

#include "byte_stream.h"
#include "http_codec.h"

/* upstream_conn - one connection to a backend server and the exchange that uses it.
 *
 * A connection carries one exchange at a time. It is reused only after a complete response to a
 * completely sent request. It never resends anything. Connections are made by upstream_pool. */

typedef struct upstream_conn upstream_conn_t;
typedef struct upstream_exchange upstream_exchange_t;
typedef struct upstream_target upstream_target_t;
typedef struct upstream_pool upstream_pool_t;

typedef enum
{
  UPSTREAM_CONNECT_FAILED, /* no connection; nothing was written */
  UPSTREAM_CLOSED,         /* closed before any byte of the response */
  UPSTREAM_TRUNCATED,      /* closed inside the response */
  UPSTREAM_INVALID,        /* the response is not valid HTTP */
  UPSTREAM_STALLED,        /* no progress while a sibling makes progress */
} upstream_failure_t;

typedef struct
{
  /* A connection is assigned: write the request with upstream_exchange_write(). */
  void (*ready) (upstream_exchange_t *exchange);
  /* SIZE bytes of the request were passed to the socket. */
  void (*written) (upstream_exchange_t *exchange, size_t size);
  /* Returns whether the response is the one to the request; otherwise it is read and dropped, and
   * the next one is awaited. NULL: every response is. */
  bool (*accepts) (upstream_exchange_t *exchange, const http_head_t *head);
  /* The final response head; 1xx heads are dropped. */
  void (*head) (upstream_exchange_t *exchange, http_head_t *head);
  void (*body) (upstream_exchange_t *exchange, const char *bytes, size_t size);
  /* The response is complete and the exchange is detached from its connection. */
  void (*complete) (upstream_exchange_t *exchange);
  /* The exchange is detached; its connection is closed. */
  void (*failed) (upstream_exchange_t *exchange, upstream_failure_t failure, const char *detail);
} upstream_exchange_ops_t;

struct upstream_exchange
{
  const upstream_exchange_ops_t *ops;
  list_node_t node; /* on the waiting list of the target */
  upstream_target_t *target;
  upstream_conn_t *conn; /* NULL while waiting and after the end */
  int64_t stall_us;      /* longest time without progress; 0 disables the check */
  bool ends_on_stall;    /* false: a stall is only noted in stalled */
  bool head_request;
  bool fresh;        /* set by the user: do not reuse an idle connection if a new one is allowed */
  bool once;         /* set by the user: must not be lost; see idle_limit.h */
  bool request_sent; /* set by the user after the last write */
  bool stalled;
  bool reused; /* the connection had carried another exchange */
};

typedef enum
{
  UPSTREAM_CONNECTING,
  UPSTREAM_IDLE,
  UPSTREAM_BUSY,
  UPSTREAM_DEAD,
} upstream_conn_state_t;

struct upstream_conn
{
  upstream_conn_state_t state;
  upstream_pool_t *pool;
  upstream_target_t *target;
  list_node_t node; /* on a list of the target */
  byte_stream_t stream;
  http_codec_t codec;
  upstream_exchange_t *exchange;
  io_timer_t timer; /* connect time limit, stall check or idle time limit */
  io_deferred_t free;
  int64_t created_us;
  int64_t idle_since_us; /* end of the last exchange */
  int64_t started_us;    /* start of the present exchange */
  int64_t last_progress_us;
  bool got_bytes; /* a byte of the current response has arrived */
  bool paused;
  bool skipping; /* the current response belongs to another request */
  bool retired;  /* must not be reused */
};

/* Starts a connection for EXCHANGE. Failures are reported from the main loop. */
upstream_conn_t *upstream_conn_new (upstream_pool_t *pool, upstream_target_t *target,
                                    GSocketAddress *address, upstream_exchange_t *exchange);

/* Assigns an idle connection. */
void upstream_conn_assign (upstream_conn_t *conn, upstream_exchange_t *exchange);

/* Closes the connection without reporting to its exchange. */
void upstream_conn_close (upstream_conn_t *conn);

void upstream_exchange_write (upstream_exchange_t *exchange, const char *bytes, size_t size);

/* Returns the number of bytes written to the exchange that the socket has not taken. */
size_t upstream_exchange_pending (const upstream_exchange_t *exchange);

/* Stops or resumes reading the response. */
void upstream_exchange_pause (upstream_exchange_t *exchange, bool paused);
