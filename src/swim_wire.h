#pragma once

#include "swim_table.h"
#include "wire.h"

/* swim_wire - messages of the membership protocol: SWIM_PING, SWIM_ACK, SWIM_PING_REQ, SWIM_SYNC.
 *
 * Fields: [from, to, seq, incarnation, known_incarnation, known_status, version, digest, subject,
 * subject_address, sync_stage, sync_data, updates]. An update is [id, status + 4 x flags,
 * incarnation], followed by peer_address, caller_address and domain if the member is alive. */

/* Updates in one message at most. */
#define SWIM_MAX_UPDATES 64

/* Largest text of an id, address or failure domain, with the terminating null. */
#define SWIM_TEXT_SIZE 64

typedef enum
{
  SWIM_SYNC_NONE,
  SWIM_SYNC_REQUEST, /* data: SWIM_BUCKETS hashes of 4 bytes, big-endian */
  SWIM_SYNC_REPLY,   /* data: SWIM_BUCKETS bits, set for buckets that differ */
  SWIM_SYNC_RECORDS, /* updates: the records of some of those buckets */
} swim_sync_stage_t;

#define SWIM_SYNC_HASHES_SIZE ((size_t)SWIM_BUCKETS * 4)
#define SWIM_SYNC_BITS_SIZE ((size_t)SWIM_BUCKETS / 8)

typedef struct
{
  wire_type_t type;
  const char *from;
  const char *to; /* "" for a seed whose id is unknown */
  uint32_t seq;
  uint64_t incarnation; /* of FROM */
  /* What FROM knows of TO; incarnation 0 if it does not know it. */
  uint64_t known_incarnation;
  swim_status_t known_status;
  uint64_t version; /* configuration of FROM, 0 for none */
  uint64_t digest;  /* first 8 bytes of its SHA-256 */
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

/* Upper bound of the bytes that UPDATE takes in a message. */
size_t swim_wire_update_size (const swim_update_t *update);

/* Writes MESSAGE to WRITER, which this function initialises. */
void swim_wire_encode (const swim_message_t *message, wire_writer_t *writer);

/* Reads the fields of a message of TYPE. Texts are allocated, sync_data points into the input; free
 * with swim_wire_clear(), also after a failure. Returns false with ANV_ERROR_WIRE. */
bool swim_wire_decode (wire_reader_t *reader, wire_type_t type, swim_message_t *message,
                       anv_error_t *err);
void swim_wire_clear (swim_message_t *message);
