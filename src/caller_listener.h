#pragma once

#include "caller_conn.h"
#include "counter.h"
#include "task.h"

/* caller_listener - task that accepts connections of callers and owns them.
 *
 * At max_connections open connections it stops accepting until one closes. */

typedef struct
{
  const char *listen;           /* "IP:PORT"; port 0 chooses a free one */
  GTlsCertificate *certificate; /* NULL for no TLS */
  size_t max_connections;
  counter_registry_t *counters;
  const char *labels;         /* of the counters; NULL for none */
  caller_conn_options_t conn; /* closed and data are set by the listener */
} caller_listener_options_t;

typedef struct
{
  task_t task; /* first member */
  caller_listener_options_t options;
  GSocket *socket;
  io_watch_t watch;
  list_t conns;
  counter_t open;
  counter_t accepted;
  uint16_t port; /* that is listened on */
  bool accepting;
  bool paused; /* after a failed accept */
  io_timer_t retry;
} caller_listener_t;

/* Fails to start with ANV_ERROR_HTTP if the address cannot be used. */
void caller_listener_init (caller_listener_t *listener, const caller_listener_options_t *options,
                           GMainContext *context);
void caller_listener_destroy (caller_listener_t *listener);

/* Stops accepting, closes idle connections and lets the others finish their request. */
void caller_listener_drain (caller_listener_t *listener);

/* Returns the number of open connections. */
size_t caller_listener_open (const caller_listener_t *listener);
