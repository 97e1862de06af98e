#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "claim_wire.h"
#include "list.h"

/* claim_client - client of the claims group, for an entry.
 *
 * Does no I/O and reads no clock: the time is passed as now_us and messages are sent through
 * claim_client_io_t. A call sends one command to the members of the group in turn, and follows
 * leader hints, until a final reply arrives. After one message to each member, every second message
 * goes through a peer entry. A reply is final unless its type is CLAIM_RESULT_NOT_LEADER,
 * CLAIM_RESULT_STALE or CLAIM_RESULT_UNAVAILABLE.
 *
 * An abandoned claim is released in the background, because the group may have recorded its grant
 * although no reply arrived. Until the release, a retry of the caller would be answered with
 * CLAIM_RESULT_IN_PROGRESS. */

typedef struct claim_client_io claim_client_io_t;

typedef struct
{
  /* Sends an encoded message to the member at ADDRESS. */
  void (*send_to_member) (claim_client_io_t *io, const char *address, const uint8_t *data,
                          size_t size);
  /* Sends an encoded message to a peer entry, which forwards it to the group. RELAY is less than
   * the result of count_relays(). */
  void (*send_to_relay) (claim_client_io_t *io, size_t relay, const uint8_t *data, size_t size);
  /* Returns the number of peer entries that can forward a message now. */
  size_t (*count_relays) (claim_client_io_t *io);
} claim_client_io_ops_t;

struct claim_client_io
{
  const claim_client_io_ops_t *ops;
};

/* Called once when a call ends. The type of RESULT is CLAIM_RESULT_UNAVAILABLE if the deadline
 * passed without a final reply. A grant that arrives after its validity is also reported as
 * CLAIM_RESULT_UNAVAILABLE. */
typedef void (*claim_done_t) (void *data, const claim_result_t *result);

typedef struct
{
  const char *const *members;    /* addresses of the members of the group, NULL-terminated */
  int64_t reply_timeout_us;      /* until the next member is asked */
  int64_t grant_validity_us;     /* from sending a claim to the start of the dispatch */
  int64_t max_retry_interval_us; /* between two messages of a background call */
  size_t max_background_calls;   /* pending releases and outcomes at which new claims are refused */
  uint64_t retention_ms;         /* for which the group keeps a record after its last change */
  claim_client_io_t *io;
} claim_client_options_t;

typedef struct
{
  claim_client_options_t options;
  size_t member_count;
  list_t calls;
  GHashTable *by_id;       /* call id -> call */
  uint64_t last_id;        /* of a call */
  size_t preferred_member; /* index of the member that sent the last final reply or was named as
                              leader */
  size_t background_count; /* pending releases and outcomes */
} claim_client_t;

void claim_client_init (claim_client_t *client, const claim_client_options_t *options);
void claim_client_destroy (claim_client_t *client);

/* Requests the claim KEY for the attempt that NONCE identifies. Returns the id of the call, or 0 if
 * max_background_calls background calls are pending; DONE is not called then. The call ends at
 * DEADLINE_US or after grant_validity_us, whichever is earlier. IN_PROGRESS_TIMEOUT_MS is the time
 * after which the outcome of a granted claim counts as unknown. */
uint64_t claim_client_request_grant (claim_client_t *client, int64_t now_us, const uint8_t *key,
                                     const uint8_t *nonce, const uint8_t *body_digest,
                                     int64_t deadline_us, uint64_t in_progress_timeout_ms,
                                     claim_done_t done, void *data);

/* Records the answer of a claimed request. Retried in the background, without a time limit, until
 * the group replies with a final result. HEADERS, BODY and DONE may be NULL. */
void claim_client_record_outcome (claim_client_t *client, int64_t now_us, const uint8_t *key,
                                  const uint8_t *nonce, uint32_t status, GBytes *headers,
                                  GBytes *body, claim_done_t done, void *data);

/* Releases a claim. Only for a request of which no byte was sent to a backend server, because
 * another attempt may then get the claim. Retried in the background, without a time limit, until
 * the group replies with a final result. */
void claim_client_release (claim_client_t *client, int64_t now_us, const uint8_t *key,
                           const uint8_t *nonce);

/* Cancels a claim and releases it, for a caller that has disconnected. The callback is not called.
 * An unknown CALL_ID is ignored. */
void claim_client_cancel (claim_client_t *client, int64_t now_us, uint64_t call_id);

/* Handles a reply of the group. A REQUEST_ID of a call that has ended is ignored. */
void claim_client_handle_reply (claim_client_t *client, int64_t now_us, uint64_t request_id,
                                const claim_result_t *result);

/* Sends the messages that are due and ends the calls whose deadline has passed. Returns the time at
 * which to call it again, or INT64_MAX if no call is pending. */
int64_t claim_client_tick (claim_client_t *client, int64_t now_us);

/* Returns the number of pending calls, including background calls. */
size_t claim_client_pending_count (const claim_client_t *client);
