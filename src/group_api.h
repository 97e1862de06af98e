#pragma once

#include "operator_server.h"
#include "replica_group.h"

/* group_api - operators' calls about the members of a replicated group.
 *
 *   GET  /v1/groups                     status of the groups of this instance
 *   POST /v1/groups/NAME/found          {"members": [{"id": HEX, "name": "PEER/OPERATOR"}, ...]}
 *   POST /v1/groups/NAME/add            {"id": HEX, "name": "PEER/OPERATOR"}
 *   POST /v1/groups/NAME/remove         {"id": HEX}
 *
 * add and remove go to the leader; others redirect. */

/* Answers CALL if it concerns groups. GROUPS ends with NULL; TLS tells how operators reach the
 * members. Returns whether it did. */
bool group_api_handle (replica_group_t *const *groups, bool tls, operator_call_t *call,
                       const operator_request_t *request);
