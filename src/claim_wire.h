#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "anv_error.h"
#include "wire.h"

/* claim_wire - commands of the claims group, and messages between entries and the group.
 *
 * A claim is the right to dispatch one request of a route that is not idempotent. Its key is the
 * SHA-256 digest of the scope of the request (service, route, team) and its Idempotency-Key. Its
 * nonce identifies one attempt of one entry and is never reused. */

#define CLAIM_KEY_SIZE 32
#define CLAIM_DIGEST_SIZE 32
#define CLAIM_NONCE_SIZE 16
/* Largest recorded answer: headers and body together, in bytes. */
#define MAX_CLAIM_RESPONSE_BYTES (256U * 1024)
#define CLAIM_ADDRESS_SIZE 64 /* with the terminating null */

typedef enum
{
  CLAIM_COMMAND_GRANT = 1, /* requests the claim */
  CLAIM_COMMAND_OUTCOME,   /* records the answer of the backend server */
  CLAIM_COMMAND_RELEASE,   /* releases the claim; no byte of the request was sent */
} claim_command_type_t;

typedef struct
{
  claim_command_type_t type;
  uint8_t key[CLAIM_KEY_SIZE];
  uint8_t nonce[CLAIM_NONCE_SIZE];
  uint8_t body_digest[CLAIM_DIGEST_SIZE]; /* GRANT: digest of method, path and body */
  uint32_t generation;             /* GRANT: number of releases of the key that the sender knows */
  uint64_t in_progress_timeout_ms; /* GRANT: time after which the outcome counts as unknown */
  uint64_t retention_ms;           /* time for which the record is kept after its last change */
  uint64_t advance_ms; /* set by the leader: monotonic time since its previous command, or since it
                          became the leader */
  uint32_t status;     /* OUTCOME: HTTP status */
  GBytes *headers;     /* OUTCOME: header lines "Name: value\r\n"; may be NULL */
  GBytes *body;        /* OUTCOME: may be NULL */
} claim_command_t;

typedef enum
{
  CLAIM_RESULT_GRANTED = 1, /* the nonce holds the claim */
  CLAIM_RESULT_IN_PROGRESS, /* another attempt holds the claim and has not timed out */
  CLAIM_RESULT_UNKNOWN,   /* another attempt holds the claim past its timeout; not granted again */
  CLAIM_RESULT_COMPLETED, /* the answer is recorded */
  CLAIM_RESULT_MISMATCH,  /* the key is in use with another body digest */
  CLAIM_RESULT_STALE, /* the key was released, and the generation of the command is not that of the
                         record; resend with the generation of the result */
  CLAIM_RESULT_RECORDED,    /* OUTCOME or RELEASE: applied, or nothing to change */
  CLAIM_RESULT_REJECTED,    /* OUTCOME: nonce does not hold the claim; RELEASE: already completed */
  CLAIM_RESULT_NOT_LEADER,  /* not applied; ask the member at leader_address, unless it is empty */
  CLAIM_RESULT_UNAVAILABLE, /* not applied, or unknown whether it was: no majority, a lost proposal
                               or a full store */
} claim_result_type_t;

typedef struct
{
  claim_result_type_t type;
  uint32_t generation;                     /* STALE */
  uint32_t status;                         /* COMPLETED */
  GBytes *headers;                         /* COMPLETED: may be NULL */
  GBytes *body;                            /* COMPLETED: may be NULL */
  char leader_address[CLAIM_ADDRESS_SIZE]; /* NOT_LEADER: may be empty */
} claim_result_t;

/* Free the headers and the body. */
void claim_command_clear (claim_command_t *command);
void claim_result_clear (claim_result_t *result);

/* Copies FROM to TO, which gets its own references to the headers and the body. */
void claim_result_copy (claim_result_t *to, const claim_result_t *from);

/* Encodes COMMAND as a request into WRITER, which this function initialises and the caller
 * destroys. RELAYS_LEFT is the number of entries that may still relay the request. */
void claim_request_encode (wire_writer_t *writer, uint64_t request_id, uint32_t relays_left,
                           const claim_command_t *command);

/* Decodes a request, for which wire_reader_init() returned the type WIRE_CLAIM_REQUEST. COMMAND is
 * to be freed with claim_command_clear(). On failure, returns false with ANV_ERROR_CLAIM, and
 * COMMAND needs no clearing. */
bool claim_request_decode (wire_reader_t *reader, uint64_t *request_id, uint32_t *relays_left,
                           claim_command_t *command, anv_error_t *err);

/* The same for a reply, which has the type WIRE_CLAIM_REPLY. RESULT is to be freed with
 * claim_result_clear(). */
void claim_reply_encode (wire_writer_t *writer, uint64_t request_id, const claim_result_t *result);
bool claim_reply_decode (wire_reader_t *reader, uint64_t *request_id, claim_result_t *result,
                         anv_error_t *err);
