#pragma once

#include <libsoup/soup.h>

#include "metric.h"
#include "operator_api.h"
#include "task.h"

/* operator_server - task that serves the operators' API with libsoup.
 *
 * Each call must carry "Authorization: Bearer TOKEN". Bodies are JSON. The handler may respond
 * later; the response is dropped if the operator closed the connection before. */

/* Largest request body. A document with 62,000 routes and 440,000 teams fits. */
#define OPERATOR_MAX_BODY_BYTES (32U * 1024 * 1024)

typedef struct operator_call operator_call_t;

typedef struct
{
  const char *listen;
  GTlsCertificate *certificate; /* NULL for no TLS */
  const char *token;
  metric_registry_t *counters;
  /* Called for each authorized call. Must lead to exactly one operator_call_respond(), which may be
   * made after this function returned. */
  void (*handle_call) (void *data, operator_call_t *call, const operator_request_t *request);
  void *data;
} operator_server_options_t;

typedef struct
{
  task_t task; /* first member */
  operator_server_options_t options;
  SoupServer *soup_server;
  metric_t calls;
  metric_t unauthorized_calls; /* without the token, or with a wrong one */
} operator_server_t;

void operator_server_init (operator_server_t *server, const operator_server_options_t *options,
                           GMainContext *context);
void operator_server_destroy (operator_server_t *server);

/* Responds with STATUS and the JSON text BODY, and with the header Location unless LOCATION is
 * NULL. Frees CALL. */
void operator_call_respond (operator_call_t *call, int status, const char *location,
                            const char *body);
