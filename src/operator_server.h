#pragma once

#include <libsoup/soup.h>

#include "counter.h"
#include "operator_api.h"
#include "task.h"

/* operator_server - task that serves the operators' API with libsoup.
 *
 * Each call must carry "Authorization: Bearer TOKEN". Bodies are JSON. A call may be answered
 * later; it is forgotten when the operator's connection is closed before. */

/* Largest request body; a document with 62,000 routes and 440,000 teams fits. */
#define OPERATOR_MAX_BODY_BYTES (32U * 1024 * 1024)

typedef struct operator_call operator_call_t;

typedef struct
{
  const char *listen;
  GTlsCertificate *certificate; /* NULL for no TLS */
  const char *token;
  counter_registry_t *counters;
  /* Must end in one operator_call_respond(), now or later. */
  void (*handle) (void *data, operator_call_t *call, const operator_request_t *request);
  void *data;
} operator_server_options_t;

typedef struct
{
  task_t task; /* first member */
  operator_server_options_t options;
  SoupServer *server;
  counter_t calls;
  counter_t refused; /* without the credential */
} operator_server_t;

void operator_server_init (operator_server_t *server, const operator_server_options_t *options,
                           GMainContext *context);
void operator_server_destroy (operator_server_t *server);

/* Answers with the JSON text BODY and, if it is not NULL, the header Location, and frees the call.
 */
void operator_call_respond (operator_call_t *call, int status, const char *location,
                            const char *body);
