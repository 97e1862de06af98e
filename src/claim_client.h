#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "claim_wire.h"
#include "list.h"

/* claim_client - an entry's side of the claims group.
 *
 * Pure: time comes in as now_us, messages go out through claim_client_io_t. Each call asks members
 * of the group one after the other, follows leader hints, and after each member has been tried in
 * vain relays through peer entries. A claim that was given up is released in the background,
 * because its grant may have been recorded although the reply never arrived; until then a resend of
 * the caller would find the key in progress. */

typedef struct claim_client_io claim_client_io_t;

/* Members are numbered as in options.members; relays as in what relay_count() returns. */
typedef struct
{
  /* Sends an encoded message to the member with ADDRESS. */
  void (*send_member) (claim_client_io_t *io, const char *address, const uint8_t *data,
                       size_t size);
  /* Sends an encoded message to the peer entry number RELAY, which passes it on. */
  void (*send_relay) (claim_client_io_t *io, size_t relay, const uint8_t *data, size_t size);
  /* Returns the number of peer entries that can relay now. */
  size_t (*relay_count) (claim_client_io_t *io);
} claim_client_io_ops_t;

struct claim_client_io
{
  const claim_client_io_ops_t *ops;
};

/* Called once for each call. RESULT type is UNAVAILABLE if the deadline passed without an answer. A
 * grant is only reported within its validity. */
typedef void (*claim_done_t) (void *data, const claim_result_t *result);

typedef struct
{
  const char *const *members; /* addresses of the group's members; ends with NULL */
  int64_t attempt_timeout_us; /* time for one member to answer */
  int64_t grant_validity_us;  /* from sending a claim to the start of its dispatch */
  int64_t max_interval_us;    /* longest pause between two messages of a background call */
  size_t max_background;      /* releases and outcomes pending, above which claims are refused */
  uint64_t retention_ms;
  claim_client_io_t *io;
} claim_client_options_t;

typedef struct
{
  claim_client_options_t options;
  size_t member_count;
  list_t calls;
  GHashTable *by_id;
  uint64_t next_id;
  size_t preferred;  /* member that answered last or was named as leader */
  size_t background; /* pending releases and outcomes */
} claim_client_t;

void claim_client_init (claim_client_t *client, const claim_client_options_t *options);
void claim_client_destroy (claim_client_t *client);

/* Asks for the right to dispatch. Returns the call's identifier, or 0 if too many background calls
 * are pending; the callback is not called then. DEADLINE_US is the latest time to answer;
 * IN_PROGRESS_MS is how long the request may run. */
uint64_t claim_client_grant (claim_client_t *client, int64_t now_us, const uint8_t *key,
                             const uint8_t *nonce, const uint8_t *body_digest, int64_t deadline_us,
                             uint64_t in_progress_ms, claim_done_t done, void *data);

/* Records an answer, retried in the background until it is recorded or background_us has passed.
 * DONE may be NULL. */
void claim_client_outcome (claim_client_t *client, int64_t now_us, const uint8_t *key,
                           const uint8_t *nonce, uint32_t status, GBytes *headers, GBytes *body,
                           claim_done_t done, void *data);

/* Gives the right back. Retried in the background until the group has answered. Only for a request
 * of which no byte was sent. */
void claim_client_release (claim_client_t *client, int64_t now_us, const uint8_t *key,
                           const uint8_t *nonce);

/* Gives up a grant call whose caller has gone; the callback is not called. Releases the claim. */
void claim_client_cancel (claim_client_t *client, int64_t now_us, uint64_t call_id);

/* Handles a reply. Unknown request identifiers are ignored: they belong to calls that have ended.
 */
void claim_client_reply (claim_client_t *client, int64_t now_us, uint64_t request_id,
                         const claim_result_t *result);

/* Sends what is due and ends calls past their deadline. Returns the time of the next event, or
 * INT64_MAX if there is none. */
int64_t claim_client_tick (claim_client_t *client, int64_t now_us);

/* Returns the number of calls that have not ended, background ones included. */
size_t claim_client_pending (const claim_client_t *client);
