#pragma once

#include "operator_server.h"
#include "replica_group.h"

/* group_api - operator API for the members of a replicated group.
 *
 *   GET  /v1/groups                     status of the groups of this instance
 *   POST /v1/groups/NAME/found          {"members": [{"id": HEX, "name": "PEER/OPERATOR"}, ...]}
 *   POST /v1/groups/NAME/add            {"id": HEX, "name": "PEER/OPERATOR"}
 *   POST /v1/groups/NAME/remove         {"id": HEX}
 *
 * "found" creates the group with the listed members. "add" and "remove" run on the leader; other
 * members redirect to it. PEER and OPERATOR are the peer address and the operator address. */

/* Answers CALL if its path is one of this API, and returns whether it is. GROUPS ends with NULL.
 * TLS is whether redirects use https. */
bool group_api_handle (replica_group_t *const *groups, bool tls, operator_call_t *call,
                       const operator_request_t *request);
