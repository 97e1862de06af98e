#pragma once

#include "caller_conn.h"
#include "metric.h"
#include "task.h"

/* caller_listener - task that accepts and owns the connections of callers.
 *
 * It stops accepting while max_connections are open. */

typedef struct
{
  const char *listen;           /* address as "IP:PORT"; port 0 selects a free port */
  GTlsCertificate *certificate; /* certificate of the server; NULL disables TLS */
  size_t max_connections;
  metric_registry_t *counters;
  const char *labels;         /* labels of the counters; NULL for none */
  caller_conn_options_t conn; /* the listener sets closed and data */
} caller_listener_options_t;

typedef struct
{
  task_t task; /* must be the first member */
  caller_listener_options_t options;
  GSocket *socket;
  io_watch_t watch;
  list_t conns;       /* open connections */
  metric_t open;      /* number of open connections */
  metric_t accepted;  /* connections accepted since the start of the process */
  uint16_t port;      /* port of the listening socket */
  bool accepting;     /* false before the start and after a drain or stop */
  bool accept_failed; /* no accept until accept_retry expires */
  io_timer_t accept_retry;
} caller_listener_t;

/* Initializes the listener with a task on CONTEXT (NULL for the default one). The task fails to
 * start with ANV_ERROR_HTTP if it cannot listen on the address. */
void caller_listener_init (caller_listener_t *listener, const caller_listener_options_t *options,
                           GMainContext *context);
void caller_listener_destroy (caller_listener_t *listener);

/* Stops accepting and closes idle connections. Other connections may finish their request. */
void caller_listener_drain (caller_listener_t *listener);

/* Returns the number of open connections. */
size_t caller_listener_open_count (const caller_listener_t *listener);
