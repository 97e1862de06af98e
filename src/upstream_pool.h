#pragma once

#include "idle_limit.h"
#include "upstream_conn.h"

/* upstream_pool - connections to backend servers, at most a given number for each target.
 *
 * An exchange waits in order of arrival when its target has no free connection. */

/* Bytes read from a socket at once. */
#define UPSTREAM_READ_SIZE (64 * 1024)

typedef struct
{
  io_loop_t *loop;
  int64_t connect_timeout_us;
  int64_t idle_timeout_us; /* an idle connection is closed after this time */
  /* A connection to ADDRESS is silent and no sibling shows whether the target is: a probe on
   * another connection tells. May be NULL. */
  void (*on_silent) (void *data, const char *address);
  void *data;
} upstream_pool_options_t;

struct upstream_target
{
  upstream_pool_t *pool;
  char *address;
  GSocketAddress *socket_address;
  int max_connections;
  int connections;
  int64_t last_progress_us; /* of any connection */
  list_t active;            /* connecting and busy */
  list_t idle;              /* the last used first */
  list_t waiting;           /* upstream_exchange_t */
};

struct upstream_pool
{
  upstream_pool_options_t options;
  GHashTable *targets; /* address to upstream_target_t */
  uint64_t opened;     /* connections started since the start of the process */
  uint64_t reused;     /* exchanges on a connection that had carried another one */
  uint64_t stalls;
  idle_limit_t idle_limit;
  char buffer[UPSTREAM_READ_SIZE];
};

void upstream_pool_init (upstream_pool_t *pool, const upstream_pool_options_t *options);

/* Closes all connections; no exchange may be in progress. */
void upstream_pool_destroy (upstream_pool_t *pool);

/* Assigns a connection to ADDRESS ("IP:PORT") to EXCHANGE. ready() is called at once or from the
 * main loop, failed() only from the main loop. MAX_CONNECTIONS replaces the limit of the target. */
void upstream_pool_acquire (upstream_pool_t *pool, const char *address, int max_connections,
                            upstream_exchange_t *exchange);

/* Ends EXCHANGE without a callback. Its connection, if any, is closed. */
void upstream_pool_cancel (upstream_exchange_t *exchange);

/* Returns the number of open connections to ADDRESS. */
int upstream_pool_connections (const upstream_pool_t *pool, const char *address);

/* For upstream_conn: a connection became idle, or was closed. */
void upstream_pool_conn_idle (upstream_conn_t *conn);
void upstream_pool_conn_closed (upstream_target_t *target);

/* For upstream_conn: closes the idle siblings that are not younger than CONN. */
void upstream_pool_retire_siblings (upstream_conn_t *conn);
