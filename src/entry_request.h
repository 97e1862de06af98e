#pragma once

#include "claim_wire.h"
#include "entry_policy.h"
#include "entry_service.h"

/* entry_request - state of one request in entry_policy. Private to the source files of the policy.
 *
 * entry_policy.c handles the lifecycle of a request, entry_request_claim.c its claim and outcome,
 * entry_request_answer.c the responses that the entry itself sends. */

/* Most dispatches and forwards of one request by one entry. */
#define ENTRY_MAX_ATTEMPTS 3
/* Most entries that forward one request. The second forwards it if it has no targets, because it is
 * leaving or has just lost them. */
#define ENTRY_MAX_HOPS 2
/* Longest name of a team in bytes. */
#define ENTRY_MAX_TEAM_SIZE 128
/* Callers without a team are limited by address: each address is a team with the default limit. */
#define ENTRY_ADDRESS_TEAM_PREFIX "address:"

typedef enum
{
  ENTRY_REQUEST_NEW,
  ENTRY_REQUEST_LOCAL,        /* is answered by this entry */
  ENTRY_REQUEST_READING_BODY, /* waits for the body, which the claim needs */
  ENTRY_REQUEST_CLAIMING,     /* waits for the claim to be granted */
  ENTRY_REQUEST_QUEUED,       /* waits in the scheduler */
  ENTRY_REQUEST_DISPATCHED,   /* is at a target */
  ENTRY_REQUEST_FORWARDED,    /* is at another entry */
  ENTRY_REQUEST_ENDED,
} entry_request_state_t;

typedef struct
{
  service_waiter_t waiter; /* first member */
  entry_core_t *core;
  proxy_request_t *request;
  entry_request_state_t state;
  config_doc_t *doc; /* keeps the match valid */
  route_match_t match;
  entry_service_t *service;
  int64_t deadline_us;
  unsigned hops; /* number of entries that have forwarded it before this one */
  char team[ENTRY_MAX_TEAM_SIZE + 1];
  unsigned attempts;                  /* dispatches and forwards so far */
  uint64_t tried[ENTRY_MAX_ATTEMPTS]; /* by attempt: id of its target; 0 for a forward */
  bool retry_taken;                   /* the next attempt was already taken from the retry budget */
  bool wrong_response;    /* the response is wrong by the wrong_answer rule of the service */
  bool limit_checked;     /* the request was admitted or refused by the limit of the team */
  bool holds_claim;       /* the claim was granted and has no outcome yet */
  bool possibly_run;      /* the target may have run it, so a claim must not be released */
  uint64_t claim_call_id; /* pending grant call; 0 if none */
  uint8_t key[CLAIM_KEY_SIZE];
  uint8_t nonce[CLAIM_NONCE_SIZE];
  uint32_t status;         /* response status, for the record of the claim */
  GString *record_headers; /* response header lines, for the record of the claim; may be NULL */
} entry_request_t;

/* Puts the request into the queue of its service; called when it may be dispatched. In
 * entry_policy.c. */
void entry_request_enqueue (entry_request_t *r);

/* The functions below, in entry_request_answer.c, send a response. */

/* Refuses the request and marks it as not run. RETRY_AFTER_S is the value of Retry-After; 0 omits
 * the field. */
void entry_request_refuse (entry_request_t *r, int status, const char *text, int64_t retry_after_s);

/* Sends JSON and frees it. */
void entry_request_reply_json (entry_request_t *r, int status, cJSON *json);

/* Sends the recorded response of RESULT again, or 409 if it was too large to be recorded. */
void entry_request_replay (entry_request_t *r, const claim_result_t *result);

/* Sends 409 with OUTCOME as the value of Anvillb-Outcome. */
void entry_request_conflict (entry_request_t *r, const char *outcome, const char *text);

/* Handle a request for a path of the entry itself. The first function gets the head; the second
 * gets the body, for a path that takes one. */
void entry_request_begin_local (entry_request_t *r, const request_head_t *head);
void entry_request_handle_local_body (entry_request_t *r, const char *body, size_t size);

/* The functions below are in entry_request_claim.c. */

/* Asks the claims group for the right to dispatch the request, whose complete body is BODY. The
 * request is queued when the claim is granted and answered otherwise. */
void entry_request_claim (entry_request_t *r, const char *body, size_t size);

/* Stores the response head for the record of the claim. */
void entry_request_record_head (entry_request_t *r, int status, const http_headers_t *headers);

/* Records the response of the backend server with the claims group. BODY is NULL if it was too
 * large to keep. */
void entry_request_record_outcome (entry_request_t *r, const char *body, size_t size);

/* Ends the claim: cancels a pending call and releases a granted claim, unless the request may have
 * run. In that case its outcome stays unknown. */
void entry_request_end_claim (entry_request_t *r);

/* Returns whether the route needs a claim. */
bool entry_request_needs_claim (const entry_request_t *r);
