#pragma once

#include <stdio.h>

#include "ctl_client.h"

/* ctl_members - the command "members" of anvillbctl, about the members of the replicated groups.
 *
 *   members                     status of the groups at each server of the client
 *   members found GROUP URL...  the instances at the URLs found GROUP together
 *   members add GROUP URL       the instance at URL becomes a learner of GROUP, and a voter once it
 *                               has caught up
 *   members remove GROUP ID     the member with the identity ID (hexadecimal) leaves GROUP
 *
 * "found" reads the identities of all instances before it changes anything, and refuses if one of
 * them has members other than this list. Instances that have exactly this list are left as they
 * are, so after a partial failure the same command completes the group.
 *
 * "add" and "remove" are accepted by the leader when they return; "members" shows whether they are
 * in force. If an answer is lost, the call is made again and refused, because the change exists. */

/* Runs the COUNT arguments after "members" and prints to OUT. Returns false with ANV_ERROR_CTL:
 * CTL_ERROR_REFUSED if the group does not accept the change, CTL_ERROR_CALL if an instance does not
 * answer. */
bool ctl_members_run (ctl_client_t *client, int count, char **arguments, FILE *out,
                      anv_error_t *err);
