#pragma once

#include <libsoup/soup.h>

#include "counter.h"
#include "task.h"

/* admin_server - task that serves /metrics, /livez and /readyz with libsoup.
 *
 * /livez answers 200 while the main loop runs. /readyz answers 200 or 503. */

typedef struct
{
  const char *listen;           /* "IP:PORT" */
  GTlsCertificate *certificate; /* NULL for no TLS */
  const counter_registry_t *counters;
  /* Updates gauges before they are rendered; may be NULL. */
  void (*refresh) (void *data);
  bool (*is_ready) (void *data);
  void *data;
} admin_server_options_t;

typedef struct
{
  task_t task; /* first member */
  admin_server_options_t options;
  SoupServer *server;
} admin_server_t;

/* Fails to start with ANV_ERROR_HTTP if the address cannot be used. */
void admin_server_init (admin_server_t *admin, const admin_server_options_t *options,
                        GMainContext *context);
void admin_server_destroy (admin_server_t *admin);
