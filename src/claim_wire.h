#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "anv_error.h"
#include "wire.h"

/* claim_wire - commands of the claims group and messages between entries and the group.
 *
 * A claim is the right to dispatch one request of a route that is not idempotent. The key is the
 * SHA-256 digest of the request's scope (service, route, team) and its Idempotency-Key; the nonce
 * names one attempt of one entry and is never used again. */

#define CLAIM_KEY_SIZE 32
#define CLAIM_DIGEST_SIZE 32
#define CLAIM_NONCE_SIZE 16
/* Largest recorded answer, headers and body together, in bytes. */
#define CLAIM_MAX_ANSWER_SIZE (256U * 1024)
#define CLAIM_MAX_ADDRESS_SIZE 64

typedef enum
{
  CLAIM_COMMAND_GRANT = 1, /* ask for the right to dispatch */
  CLAIM_COMMAND_OUTCOME,   /* record the answer of the backend server */
  CLAIM_COMMAND_RELEASE,   /* give the right back: no byte was sent */
} claim_command_type_t;

typedef struct
{
  claim_command_type_t type;
  uint8_t key[CLAIM_KEY_SIZE];
  uint8_t nonce[CLAIM_NONCE_SIZE];
  uint8_t body_digest[CLAIM_DIGEST_SIZE]; /* GRANT: digest of method, path and body */
  uint32_t generation;   /* GRANT: number of releases of the key that the sender knows of */
  uint64_t deadline_ms;  /* GRANT: after this time in progress, the outcome counts as unknown */
  uint64_t retention_ms; /* how long the record is kept after its last change */
  uint64_t advance_ms;   /* set by the leader: its monotonic time since its previous command */
  uint32_t status;       /* OUTCOME: HTTP status */
  GBytes *headers;       /* OUTCOME: header lines "Name: value\r\n"; may be NULL */
  GBytes *body;          /* OUTCOME: may be NULL */
} claim_command_t;

typedef enum
{
  CLAIM_RESULT_GRANTED = 1, /* the nonce holds the right */
  CLAIM_RESULT_IN_PROGRESS, /* another attempt holds it, within its deadline */
  CLAIM_RESULT_UNKNOWN,     /* another attempt holds it, deadline past; never granted again */
  CLAIM_RESULT_COMPLETED,   /* the answer is recorded */
  CLAIM_RESULT_MISMATCH,    /* same key, other body digest */
  CLAIM_RESULT_STALE,    /* sent before the last release; ask again with the result's generation */
  CLAIM_RESULT_RECORDED, /* OUTCOME or RELEASE was applied, or had been before */
  CLAIM_RESULT_REFUSED,  /* OUTCOME or RELEASE of a nonce that does not hold the right */
  CLAIM_RESULT_NOT_LEADER,  /* not applied; ask the member at leader_address if set */
  CLAIM_RESULT_UNAVAILABLE, /* not applied: no majority, or the record is full */
} claim_result_type_t;

typedef struct
{
  claim_result_type_t type;
  uint32_t generation; /* STALE */
  uint32_t status;     /* COMPLETED */
  GBytes *headers;
  GBytes *body;
  char leader_address[CLAIM_MAX_ADDRESS_SIZE];
} claim_result_t;

/* Releases the byte strings. */
void claim_command_clear (claim_command_t *command);
void claim_result_clear (claim_result_t *result);

/* Copies the answer of FROM into TO; the byte strings are shared. */
void claim_result_copy (claim_result_t *to, const claim_result_t *from);

/* Encodes COMMAND as a request with REQUEST_ID and the number of relays it may still pass. The
 * caller destroys WRITER. */
void claim_request_encode (wire_writer_t *writer, uint64_t request_id, uint32_t relays_left,
                           const claim_command_t *command);

/* Decodes after wire_reader_init() returned WIRE_CLAIM_REQUEST. Returns false with ANV_ERROR_CLAIM.
 */
bool claim_request_decode (wire_reader_t *reader, uint64_t *request_id, uint32_t *relays_left,
                           claim_command_t *command, anv_error_t *err);

void claim_reply_encode (wire_writer_t *writer, uint64_t request_id, const claim_result_t *result);
bool claim_reply_decode (wire_reader_t *reader, uint64_t *request_id, claim_result_t *result,
                         anv_error_t *err);
