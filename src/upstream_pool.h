#pragma once

#include "idle_limit.h"
#include "upstream_conn.h"

/* upstream_pool - pool of connections to backend servers, with a limit for each target.
 *
 * Exchanges wait in order of arrival while their target has no free connection. */

/* Most bytes that are read from a socket at once. */
#define UPSTREAM_READ_BUFFER_BYTES (64 * 1024)

typedef struct
{
  io_loop_t *loop;
  int64_t connect_timeout_us;
  int64_t idle_timeout_us; /* idle connections are closed after this time */
  /* Bound for the bytes of unanswered requests at one target; 0 for none. */
  size_t max_target_request_bytes;
  int kernel_buffer_bytes; /* size of the kernel's buffers of a connection; 0: its own choice */
  /* A connection to ADDRESS has made no progress for the stall timeout, and no other connection to
   * the target shows whether the target is alive; a probe on another connection can tell. May be
   * NULL. */
  void (*on_silent) (void *data, const char *address);
  void *data;
} upstream_pool_options_t;

struct upstream_target
{
  upstream_pool_t *pool;
  char *address;
  GSocketAddress *socket_address;
  int max_connections;
  int connection_count;     /* open or connecting */
  int64_t last_progress_us; /* last progress of any connection */
  size_t request_bytes;     /* written to it by exchanges that have not ended */
  list_t active;            /* connecting and busy connections */
  list_t idle;              /* idle connections, most recently used first */
  list_t waiting;           /* upstream_exchange_t without a connection, oldest first */
};

struct upstream_pool
{
  upstream_pool_options_t options;
  GHashTable *targets;   /* upstream_target_t by address */
  uint64_t opened_count; /* connections opened since the start of the process */
  uint64_t reuse_count;  /* exchanges on a connection that had carried an earlier one */
  uint64_t stall_count;  /* connections that have stalled since the start of the process */
  idle_limit_t idle_limit;
  char buffer[UPSTREAM_READ_BUFFER_BYTES];
};

void upstream_pool_init (upstream_pool_t *pool, const upstream_pool_options_t *options);

/* Closes all connections. No exchange may be in progress or waiting. */
void upstream_pool_destroy (upstream_pool_t *pool);

/* Assigns a connection to ADDRESS ("IP:PORT") to EXCHANGE, which waits if there is none. ready() is
 * called immediately or from the main loop, failed() only from the main loop. MAX_CONNECTIONS
 * becomes the limit of the target; values below 1 count as 1. */
void upstream_pool_acquire (upstream_pool_t *pool, const char *address, int max_connections,
                            upstream_exchange_t *exchange);

/* Ends EXCHANGE without a callback and closes its connection, if any. */
void upstream_pool_cancel (upstream_exchange_t *exchange);

/* Returns the number of connections to ADDRESS that are open or connecting. */
int upstream_pool_connection_count (const upstream_pool_t *pool, const char *address);

/* Called by upstream_conn when a connection has become idle, and when one was closed. */
void upstream_pool_conn_idle (upstream_conn_t *conn);
void upstream_pool_conn_closed (upstream_target_t *target);

/* Called by upstream_conn when CONN has stalled. Closes the idle connections to its target that
 * were created no later than CONN. */
void upstream_pool_close_older_idle (upstream_conn_t *conn);
