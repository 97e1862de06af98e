#pragma once

#include <stdio.h>

#include "ctl_client.h"

/* ctl_members - the command "members" of anvillbctl, which shows and changes the members of the
 * replicated groups.
 *
 *   members                     status of the groups at each server of the client
 *   members found GROUP URL...  the instances at the URLs become the first members of GROUP
 *   members add GROUP URL       the instance at URL becomes a learner of GROUP, and a voter once it
 *                               has caught up
 *   members remove GROUP ID     the member with the identity ID (hexadecimal) leaves GROUP
 *
 * "found" reads the identities of all instances before it changes anything, and refuses if one of
 * them has other members than those of the list. It skips instances that have exactly these
 * members, so after a partial failure the same command can be repeated to complete the group.
 *
 * "add" and "remove" return when the leader has accepted the change; "members" shows whether it is
 * in force. If a response is lost, the call is repeated and refused, because the change exists. */

/* Runs the COUNT arguments after "members" and prints to OUT. Returns false with ANV_ERROR_CTL:
 * CTL_ERROR_REFUSED if the group does not accept the change, CTL_ERROR_CALL if an instance does not
 * respond. */
bool ctl_members_run (ctl_client_t *client, int count, char **arguments, FILE *out,
                      anv_error_t *err);
