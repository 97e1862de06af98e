#pragma once

#include "limiter.h"
#include "wire.h"

/* limiter_wire - the message TEAM_USAGE: [service, epoch, ack_epoch, ack_number,
 * [[number, [team, count, ...]], ...]]. */

/* Writes MESSAGE for SERVICE to WRITER, which this function initialises. */
void limiter_wire_encode (const limiter_message_t *message, const char *service,
                          wire_writer_t *writer);

/* Reads the fields of a TEAM_USAGE message. SERVICE gets an allocated name. The batches of MESSAGE
 * are allocated; free both with limiter_wire_clear(), also after a failure. Returns false with
 * ANV_ERROR_WIRE. */
bool limiter_wire_decode (wire_reader_t *reader, char **service, limiter_message_t *message,
                          anv_error_t *err);

void limiter_wire_clear (char **service, limiter_message_t *message);
