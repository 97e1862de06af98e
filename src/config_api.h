#pragma once

#include "config_machine.h"
#include "operator_server.h"

/* config_api - connects operator_api with the config group and with the server of the calls. */

typedef struct
{
  config_machine_t *machine;
  const rollout_t *rollout;
  const char *token;
  bool tls;
} config_api_t;

/* Answers CALL, at once or when its command is applied. */
void config_api_handle (const config_api_t *api, operator_call_t *call,
                        const operator_request_t *request);
