#pragma once

#include <libsoup/soup.h>

#include "metric.h"
#include "task.h"

/* admin_server - task that serves /metrics, /livez and /readyz with libsoup.
 *
 * /livez returns 200 while the main loop runs. /readyz returns 200 if is_ready() returns true,
 * otherwise 503. */

typedef struct
{
  const char *listen;           /* "IP:PORT" */
  GTlsCertificate *certificate; /* NULL for no TLS */
  const metric_registry_t *counters;
  /* Updates gauges before each rendering of /metrics; NULL if there are none to update. */
  void (*refresh) (void *data);
  bool (*is_ready) (void *data); /* result of /readyz */
  void *data;
} admin_server_options_t;

typedef struct
{
  task_t task; /* first member */
  admin_server_options_t options;
  SoupServer *server;
} admin_server_t;

/* Prepares the task; CONTEXT is NULL for the default one. task_start() fails with ANV_ERROR_HTTP if
 * the address is malformed or the server cannot listen on it. */
void admin_server_init (admin_server_t *admin, const admin_server_options_t *options,
                        GMainContext *context);
void admin_server_destroy (admin_server_t *admin);
