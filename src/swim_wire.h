#pragma once

#include "swim_table.h"
#include "wire.h"

/* swim_wire - messages of the membership protocol: SWIM_PING, SWIM_ACK, SWIM_PING_REQ and
 * SWIM_SYNC.
 *
 * Fields: [from, to, seq, incarnation, known_incarnation, known_status, version, digest, subject,
 * subject_address, sync_stage, sync_data, updates]. An update is [id, status + 4 * flags,
 * incarnation], followed by peer_address, caller_address and domain if the member is alive. */

/* Largest number of updates in one message. */
#define SWIM_MAX_UPDATES 64

/* Largest size of an id, address or failure domain, with the terminating null. */
#define SWIM_TEXT_SIZE 64

typedef enum
{
  SWIM_SYNC_NONE,
  SWIM_SYNC_REQUEST, /* sync_data: a hash of 4 bytes, big-endian, for each bucket */
  SWIM_SYNC_REPLY,   /* sync_data: a bit for each bucket, set if the bucket differs */
  SWIM_SYNC_RECORDS, /* updates: records of buckets that differ */
} swim_sync_stage_t;

#define SWIM_SYNC_HASHES_SIZE ((size_t)SWIM_BUCKET_COUNT * 4)
#define SWIM_SYNC_BITMAP_SIZE ((size_t)SWIM_BUCKET_COUNT / 8)

typedef struct
{
  wire_type_t type;
  const char *from;
  const char *to; /* "" if the id is unknown, for example that of a seed */
  uint32_t seq;
  uint64_t incarnation; /* of FROM */
  /* State of TO that FROM knows; the incarnation is 0 if TO is unknown. */
  uint64_t known_incarnation;
  swim_status_t known_status;
  uint64_t version; /* of the configuration of FROM; 0 for none */
  uint64_t digest;  /* first 8 bytes of the SHA-256 digest of the configuration */
  /* SWIM_PING_REQ: the member to be pinged. SWIM_ACK: the member that answered, if it is not FROM.
   */
  const char *subject;
  const char *subject_address;
  swim_sync_stage_t sync_stage;
  const uint8_t *sync_data;
  size_t sync_size;
  swim_update_t updates[SWIM_MAX_UPDATES];
  size_t update_count;
} swim_message_t;

/* Returns an upper bound of the encoded size of UPDATE in bytes. */
size_t swim_wire_update_size (const swim_update_t *update);

/* Encodes MESSAGE into WRITER, which this function initialises and the caller destroys. */
void swim_wire_encode (const swim_message_t *message, wire_writer_t *writer);

/* Decodes a message of TYPE after wire_reader_init(). Strings are allocated; sync_data points into
 * the input. MESSAGE is to be freed with swim_wire_clear(), also after a failure. On failure,
 * returns false with ANV_ERROR_WIRE. */
bool swim_wire_decode (wire_reader_t *reader, wire_type_t type, swim_message_t *message,
                       anv_error_t *err);
void swim_wire_clear (swim_message_t *message);
