#pragma once

#include "claim_wire.h"
#include "entry_policy.h"
#include "entry_service.h"

/* entry_request - one request on its way through entry_policy; shared by the files of the policy.
 *
 * entry_policy.c holds the life of a request, entry_request_claim.c the claim and its outcome,
 * entry_request_answer.c the answers that the entry gives itself. */

#define ENTRY_MAX_ATTEMPTS 3
/* A request that was forwarded to an entry without targets, because it is leaving or has just lost
 * them, is forwarded once more. */
#define ENTRY_MAX_HOPS 2
#define ENTRY_MAX_TEAM_SIZE 128
/* Callers without a team have the default limit each, by address. */
#define ENTRY_UNNAMED_TEAM_PREFIX "address:"

typedef enum
{
  ENTRY_REQUEST_NEW,
  ENTRY_REQUEST_OWN,        /* a path of the entry itself */
  ENTRY_REQUEST_READING,    /* waits for the body, to claim it */
  ENTRY_REQUEST_CLAIMING,   /* waits for the right to dispatch */
  ENTRY_REQUEST_QUEUED,     /* waits in the scheduler */
  ENTRY_REQUEST_DISPATCHED, /* at a target */
  ENTRY_REQUEST_FORWARDED,  /* at another entry */
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
  unsigned hops; /* entries that have forwarded it */
  char team[ENTRY_MAX_TEAM_SIZE + 1];
  unsigned attempts;
  uint64_t tried[ENTRY_MAX_ATTEMPTS];
  bool retry_taken; /* the budget has granted the next attempt */
  bool wrong;       /* the response breaks the service's rule */
  bool limited;     /* the limit of the team was checked */
  bool holds_claim;
  bool sent; /* bytes of the request may have reached a backend server */
  uint64_t claim_call;
  uint8_t key[CLAIM_KEY_SIZE];
  uint8_t nonce[CLAIM_NONCE_SIZE];
  uint32_t status; /* of the response, for the record of the claim */
  GString *record_headers;
} entry_request_t;

/* entry_policy: puts a request that may be dispatched into the queue of its service. */
void entry_request_enqueue (entry_request_t *r);

/* entry_request_answer: answers the request; NOT_RUN marks it as not run. */
void entry_request_refuse (entry_request_t *r, int status, const char *text, int64_t retry_after_s);
void entry_request_reply_json (entry_request_t *r, int status, cJSON *json);
void entry_request_replay (entry_request_t *r, const claim_result_t *result);
void entry_request_conflict (entry_request_t *r, const char *outcome, const char *text);
void entry_request_own_path (entry_request_t *r, const request_head_t *head);
void entry_request_own_body (entry_request_t *r, const char *body, size_t size);

/* entry_request_claim: asks for the right to dispatch, with the complete body; the request is
 * queued when the right is granted and answered otherwise. */
void entry_request_claim (entry_request_t *r, const char *body, size_t size);

/* Notes the response head for the record. */
void entry_request_claim_response (entry_request_t *r, int status, const http_headers_t *headers);

/* Records the answer of the backend server. BODY is NULL if it was too large to keep. */
void entry_request_claim_complete (entry_request_t *r, const char *body, size_t size);

/* Gives the right back if no byte of the request was sent. */
void entry_request_claim_end (entry_request_t *r);

/* Returns whether the route needs a claim. */
bool entry_request_needs_claim (const entry_request_t *r);
