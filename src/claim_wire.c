#include "claim_wire.h"

#include <string.h>

#define REQUEST_FIELD_COUNT 13
#define REPLY_FIELD_COUNT 7

static size_t
bytes_size (GBytes *bytes)
{
  return bytes != NULL ? g_bytes_get_size (bytes) : 0;
}

static bool
answer_fits (GBytes *headers, GBytes *body)
{
  return bytes_size (headers) + bytes_size (body) <= MAX_CLAIM_RESPONSE_BYTES;
}

static bool
finish_decode (wire_reader_t *reader, bool valid, const char *what, anv_error_t *err)
{
  if (!wire_reader_finish (reader, err))
    {
      anv_error_wrap (err, ANV_ERROR_CLAIM, 1, "malformed %s", what);
      return false;
    }
  if (!valid)
    anv_error_set (err, ANV_ERROR_CLAIM, 1, "%s with a value out of range", what);
  return valid;
}

void
claim_command_clear (claim_command_t *command)
{
  g_clear_pointer (&command->headers, g_bytes_unref);
  g_clear_pointer (&command->body, g_bytes_unref);
}

void
claim_result_clear (claim_result_t *result)
{
  g_clear_pointer (&result->headers, g_bytes_unref);
  g_clear_pointer (&result->body, g_bytes_unref);
}

void
claim_result_copy (claim_result_t *to, const claim_result_t *from)
{
  *to = *from;
  if (to->headers != NULL)
    g_bytes_ref (to->headers);
  if (to->body != NULL)
    g_bytes_ref (to->body);
}

void
claim_request_encode (wire_writer_t *writer, uint64_t request_id, uint32_t relays_left,
                      const claim_command_t *command)
{
  wire_writer_init (writer, WIRE_CLAIM_REQUEST, REQUEST_FIELD_COUNT);
  wire_write_uint (writer, request_id);
  wire_write_uint (writer, relays_left);
  wire_write_uint (writer, command->type);
  wire_write_bytes (writer, command->key, CLAIM_KEY_SIZE);
  wire_write_bytes (writer, command->nonce, CLAIM_NONCE_SIZE);
  wire_write_bytes (writer, command->body_digest, CLAIM_DIGEST_SIZE);
  wire_write_uint (writer, command->generation);
  wire_write_uint (writer, command->in_progress_timeout_ms);
  wire_write_uint (writer, command->retention_ms);
  wire_write_uint (writer, command->advance_ms);
  wire_write_uint (writer, command->status);
  wire_write_blob (writer, command->headers);
  wire_write_blob (writer, command->body);
}

bool
claim_request_decode (wire_reader_t *reader, uint64_t *request_id, uint32_t *relays_left,
                      claim_command_t *command, anv_error_t *err)
{
  memset (command, 0, sizeof (*command));
  *request_id = wire_read_uint (reader);
  *relays_left = (uint32_t)wire_read_uint (reader);
  command->type = (claim_command_type_t)wire_read_uint (reader);
  wire_read_fixed_bytes (reader, command->key, CLAIM_KEY_SIZE);
  wire_read_fixed_bytes (reader, command->nonce, CLAIM_NONCE_SIZE);
  wire_read_fixed_bytes (reader, command->body_digest, CLAIM_DIGEST_SIZE);
  command->generation = (uint32_t)wire_read_uint (reader);
  command->in_progress_timeout_ms = wire_read_uint (reader);
  command->retention_ms = wire_read_uint (reader);
  command->advance_ms = wire_read_uint (reader);
  command->status = (uint32_t)wire_read_uint (reader);
  command->headers = wire_read_blob (reader);
  command->body = wire_read_blob (reader);

  bool valid = command->type >= CLAIM_COMMAND_GRANT && command->type <= CLAIM_COMMAND_RELEASE
               && answer_fits (command->headers, command->body);
  if (finish_decode (reader, valid, "claim request", err))
    return true;
  claim_command_clear (command);
  return false;
}

void
claim_reply_encode (wire_writer_t *writer, uint64_t request_id, const claim_result_t *result)
{
  wire_writer_init (writer, WIRE_CLAIM_REPLY, REPLY_FIELD_COUNT);
  wire_write_uint (writer, request_id);
  wire_write_uint (writer, result->type);
  wire_write_uint (writer, result->generation);
  wire_write_uint (writer, result->status);
  wire_write_blob (writer, result->headers);
  wire_write_blob (writer, result->body);
  wire_write_string (writer, result->leader_address);
}

bool
claim_reply_decode (wire_reader_t *reader, uint64_t *request_id, claim_result_t *result,
                    anv_error_t *err)
{
  memset (result, 0, sizeof (*result));
  *request_id = wire_read_uint (reader);
  result->type = (claim_result_type_t)wire_read_uint (reader);
  result->generation = (uint32_t)wire_read_uint (reader);
  result->status = (uint32_t)wire_read_uint (reader);
  result->headers = wire_read_blob (reader);
  result->body = wire_read_blob (reader);
  wire_read_string_into (reader, result->leader_address, sizeof (result->leader_address));

  bool valid = result->type >= CLAIM_RESULT_GRANTED && result->type <= CLAIM_RESULT_UNAVAILABLE
               && answer_fits (result->headers, result->body);
  if (finish_decode (reader, valid, "claim reply", err))
    return true;
  claim_result_clear (result);
  return false;
}
