#pragma once

#include "limiter.h"
#include "wire.h"

/* limiter_wire - encodes and decodes TEAM_USAGE messages:
 * [service, epoch, ack_epoch, ack_number, [[number, [team, count, ...]], ...]]. */

/* Initialises WRITER and writes MESSAGE for SERVICE to it. */
void limiter_wire_encode (const limiter_message_t *message, const char *service,
                          wire_writer_t *writer);

/* Reads the fields of a TEAM_USAGE message. Allocates the name SERVICE and the batches of MESSAGE;
 * free both with limiter_wire_clear(), even after an error. Returns false and sets ANV_ERROR_WIRE
 * if the message is malformed. */
bool limiter_wire_decode (wire_reader_t *reader, char **service, limiter_message_t *message,
                          anv_error_t *err);

/* Frees what limiter_wire_decode() allocated. */
void limiter_wire_clear (char **service, limiter_message_t *message);
