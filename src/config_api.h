#pragma once

#include "config_machine.h"
#include "operator_server.h"

/* config_api - serves the operators' API on a control instance: operator_api interprets a call, the
 * config group replicates its command, and operator_server sends the answer. */

typedef struct
{
  config_machine_t *machine;
  const rollout_t *rollout;
  const char *token; /* credential that operators' calls must carry */
  bool tls;          /* redirects use https */
} config_api_t;

/* Answers CALL, either at once or after the group has applied its command. On a follower that knows
 * the leader, reads of the history are redirected to the leader. */
void config_api_handle (const config_api_t *api, operator_call_t *call,
                        const operator_request_t *request);
