#pragma once

#include "quota_message.h"
#include "wire.h"

/* quota_wire - encoding of the messages about quotas, as described in wire.h.
 *
 * QUOTA_ASK    entry to control: requests that wait for a verdict, reports and credits by team
 * QUOTA_GRANT  owner to entry: the verdicts and allowances
 * QUOTA_MOVED  control to entry: this instance is not the owner; the address of the owner
 *
 * An encode function initialises WRITER, which the caller destroys. A decode function returns false
 * if the message is malformed or has more than QUOTA_MAX_MESSAGE_TEAMS teams. It appends to the
 * array of teams, which the caller creates with zeroed elements. */

void quota_ask_encode (const quota_ask_t *ask, wire_writer_t *writer);
bool quota_ask_decode (quota_ask_t *ask, wire_reader_t *reader);

void quota_grant_encode (const quota_grant_t *grant, wire_writer_t *writer);
bool quota_grant_decode (quota_grant_t *grant, wire_reader_t *reader);

void quota_moved_encode (const quota_moved_t *moved, wire_writer_t *writer);
bool quota_moved_decode (quota_moved_t *moved, wire_reader_t *reader);
