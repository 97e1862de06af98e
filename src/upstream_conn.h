#pragma once

#include "byte_stream.h"
#include "http_codec.h"

/* upstream_conn - connection to a backend server and the exchange that uses it.
 *
 * An exchange is one request and its response. A connection carries one exchange at a time and is
 * reused only if the request was sent and the response received completely. It never resends a
 * request. Connections are created by upstream_pool. */

typedef struct upstream_conn upstream_conn_t;
typedef struct upstream_exchange upstream_exchange_t;
typedef struct upstream_target upstream_target_t;
typedef struct upstream_pool upstream_pool_t;

typedef enum
{
  UPSTREAM_CONNECT_FAILED, /* not connected; nothing was written */
  /* Closed before the first byte of a response, or inside a response that is dropped because it
   * belongs to another request. */
  UPSTREAM_CLOSED,
  /* Closed later, but before the end of the response; also if only a 1xx response or a completely
   * dropped response has been received. */
  UPSTREAM_TRUNCATED,
  UPSTREAM_INVALID, /* the response is not valid HTTP */
  UPSTREAM_STALLED, /* no progress while another connection to the target makes progress */
} upstream_failure_t;

/* To which request a response belongs, by the ids in both. */
typedef enum
{
  RESPONSE_OWN,
  RESPONSE_OF_ANOTHER,
  RESPONSE_WITHOUT_ID, /* of a peer that may not support ids */
} response_owner_t;

typedef struct
{
  /* The exchange has a connection; write the request with upstream_exchange_write(). */
  void (*ready) (upstream_exchange_t *exchange);
  /* SIZE bytes of the request were written to the socket. */
  void (*written) (upstream_exchange_t *exchange, size_t size);
  /* The target may be sent more again; see upstream_exchange_may_send(). May be NULL. */
  void (*relieved) (upstream_exchange_t *exchange);
  /* Tells to which request the response belongs. If it is another one, the response is read and
   * dropped, and the exchange waits for the next one; likewise without an id, if the peer has sent
   * ids on this connection. NULL accepts every response. */
  response_owner_t (*response_owner) (upstream_exchange_t *exchange, const http_head_t *head);
  /* The head of the final response was received; 1xx responses are dropped. */
  void (*head) (upstream_exchange_t *exchange, http_head_t *head);
  /* SIZE bytes of the response body were received. */
  void (*body) (upstream_exchange_t *exchange, const char *bytes, size_t size);
  /* The response is complete. The exchange no longer has a connection. */
  void (*complete) (upstream_exchange_t *exchange);
  /* The exchange has failed; DETAIL describes why. Its connection is closed. */
  void (*failed) (upstream_exchange_t *exchange, upstream_failure_t failure, const char *detail);
} upstream_exchange_ops_t;

/* Most connections that an exchange remembers. */
#define UPSTREAM_MAX_USED_CONNECTIONS 8

/* The owner sets OPS and the options from STALL_TIMEOUT_US to AVOID_STALE_CONNECTION before it
 * calls upstream_pool_acquire(). To send the same request again, it passes the same struct: the
 * request is sent at most once on each connection, since a repeated response to the first attempt
 * cannot be told from the response to the next one. */
struct upstream_exchange
{
  const upstream_exchange_ops_t *ops;
  list_node_t node; /* on the waiting list of the target */
  upstream_target_t *target;
  upstream_conn_t *conn;      /* NULL while the exchange waits and after its end */
  int64_t stall_timeout_us;   /* longest time without progress; 0 disables the check */
  bool end_on_stall;          /* a stall fails the exchange; otherwise it only sets STALLED */
  bool is_head_request;       /* the method is HEAD, so the response has no body */
  bool prefer_new_connection; /* use an idle connection only if no new one can be opened */
  /* The request must not be lost: use a connection that was idle for longer than idle_limit allows
   * only if no new one can be opened. */
  bool avoid_stale_connection;
  size_t request_bytes;      /* written with upstream_exchange_write() on this connection */
  bool request_sent;         /* set by the owner after the last write of the request */
  bool stalled;              /* the connection has stalled; see UPSTREAM_STALLED */
  bool on_reused_connection; /* the connection has carried an earlier exchange */
  /* Numbers of the connections on which the request was sent. Beyond the limit the count goes on,
   * and the request is sent on new connections only. */
  uint64_t used_connections[UPSTREAM_MAX_USED_CONNECTIONS];
  unsigned used_connection_count;
};

typedef enum
{
  UPSTREAM_CONN_CONNECTING,
  UPSTREAM_CONN_IDLE,
  UPSTREAM_CONN_BUSY,
  UPSTREAM_CONN_CLOSED,
} upstream_conn_state_t;

struct upstream_conn
{
  upstream_conn_state_t state;
  upstream_pool_t *pool;
  upstream_target_t *target;
  uint64_t number;  /* counts the connections of the pool, from 1 */
  list_node_t node; /* on the active or the idle list of the target */
  byte_stream_t stream;
  http_codec_t codec;
  upstream_exchange_t *exchange;
  io_timer_t timer; /* connect timeout, stall check or idle timeout */
  io_deferred_t free;
  int64_t created_us;
  int64_t exchange_ended_us;   /* end of the last exchange */
  int64_t exchange_started_us; /* start of the current exchange */
  int64_t last_progress_us;    /* last progress, or last time when none was expected */
  bool got_response_bytes;     /* bytes were received, even if only of a dropped response */
  bool paused;                 /* upstream_exchange_pause() has stopped reading */
  size_t preceding_bytes;      /* received since the request, before the head of its response */
  bool got_response_head;
  bool skipping_response; /* the response being read belongs to another request */
  bool peer_sends_ids;    /* an earlier response carried the id of its request */
  bool retired;           /* must not be reused for another exchange */
};

/* Starts to connect to ADDRESS for EXCHANGE. If ADDRESS is NULL, the exchange fails. Failures are
 * reported from the main loop. */
upstream_conn_t *upstream_conn_new (upstream_pool_t *pool, upstream_target_t *target,
                                    GSocketAddress *address, upstream_exchange_t *exchange);

/* Assigns the idle connection CONN to EXCHANGE, and calls ready(). */
void upstream_conn_assign (upstream_conn_t *conn, upstream_exchange_t *exchange);

/* Returns whether the request of EXCHANGE may be sent on CONN: it was not sent there before. */
bool upstream_conn_suits (const upstream_conn_t *conn, const upstream_exchange_t *exchange);

/* Closes the connection without calling back its exchange. */
void upstream_conn_close (upstream_conn_t *conn);

/* Queues SIZE bytes of the request; does nothing if the exchange has no connection. */
void upstream_exchange_write (upstream_exchange_t *exchange, const char *bytes, size_t size);

/* Returns the number of queued bytes that are not written to the socket yet. */
size_t upstream_exchange_pending (const upstream_exchange_t *exchange);

/* Returns whether more of the request body may be written. It may not while the unanswered requests
 * at the target exceed the bound of the pool; but the oldest of them goes on. */
bool upstream_exchange_may_send (const upstream_exchange_t *exchange);

/* Stops or resumes reading the response. */
void upstream_exchange_pause (upstream_exchange_t *exchange, bool paused);
