#include "entry_request.h"

#include <string.h>

#define LOG_MODULE "entry_request"
#include "entry_claims.h"
#include "http_dialect.h"
#include "log.h"

#define IDEMPOTENCY_KEY_HEADER "Idempotency-Key"
#define MAX_IDEMPOTENCY_KEY_SIZE 256
#define US_PER_MS 1000
/* Percentage of a request's remaining time that the claim may take. */
#define CLAIM_TIME_PERCENT 60

bool
entry_request_needs_claim (const entry_request_t *r)
{
  return !r->match.route->idempotent;
}

/* Hashes the length of TEXT and then TEXT, so that different lists of texts are never hashed as the
 * same bytes. */
static void
hash_text (GChecksum *checksum, const char *text, size_t size)
{
  char length[24];
  int length_size = g_snprintf (length, sizeof (length), "%zu:", size);
  g_checksum_update (checksum, (const guchar *)length, length_size);
  g_checksum_update (checksum, (const guchar *)text, (gssize)size);
}

static void
finish_digest (GChecksum *checksum, uint8_t *digest)
{
  gsize size = CLAIM_DIGEST_SIZE;
  g_checksum_get_digest (checksum, digest, &size);
  g_checksum_free (checksum);
}

static void
make_claim_key (const entry_request_t *r, const char *idempotency_key, uint8_t key[CLAIM_KEY_SIZE])
{
  const request_head_t *head = proxy_request_head (r->request);
  const char *team = http_headers_get (head->headers, "Anvillb-Team");
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
  /* The key must not depend on the entries that the request passes. For a caller without a team, a
   * forwarding entry puts the address of the caller into Anvillb-Team, which is absent if the
   * caller sends the request to this entry itself. Both count as no team. */
  if (team == NULL || g_str_has_prefix (team, ENTRY_ADDRESS_TEAM_PREFIX))
    team = "";
  hash_text (checksum, r->match.service->name, strlen (r->match.service->name));
  hash_text (checksum, r->match.route->id, strlen (r->match.route->id));
  hash_text (checksum, team, strlen (team));
  hash_text (checksum, idempotency_key, strlen (idempotency_key));
  finish_digest (checksum, key);
}

static void
make_request_digest (const entry_request_t *r, const char *body, size_t size,
                     uint8_t digest[CLAIM_DIGEST_SIZE])
{
  const request_head_t *head = proxy_request_head (r->request);
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
  hash_text (checksum, head->method, strlen (head->method));
  hash_text (checksum, head->request_target, strlen (head->request_target));
  hash_text (checksum, body, size);
  finish_digest (checksum, digest);
}

static void
on_claim (void *data, const claim_result_t *result)
{
  entry_request_t *r = data;
  r->claim_call_id = 0;
  switch (result->type)
    {
    case CLAIM_RESULT_GRANTED:
      r->holds_claim = true;
      entry_request_enqueue (r);
      break;
    case CLAIM_RESULT_COMPLETED:
      entry_request_replay (r, result);
      break;
    case CLAIM_RESULT_IN_PROGRESS:
      entry_request_conflict (r, "in-progress", "a request with this key is in progress");
      break;
    case CLAIM_RESULT_UNKNOWN:
      entry_request_conflict (r, "unknown", "the outcome of the request with this key is unknown");
      break;
    case CLAIM_RESULT_MISMATCH:
      entry_request_refuse (r, 422, "the key belongs to another request", 0);
      break;
    default:
      entry_request_refuse (r, 503, "the record of claims is not available", 1);
      break;
    }
}

/* Returns the Idempotency-Key of the request, or a generated one if the request has none and the
 * settings allow that. Returns NULL if the request was refused. */
static char *
choose_idempotency_key (entry_request_t *r)
{
  const request_head_t *head = proxy_request_head (r->request);
  const char *key = http_headers_get (head->headers, IDEMPOTENCY_KEY_HEADER);

  if (key == NULL && r->core->options.generate_missing_keys)
    return g_strdup_printf ("anvillb-generated-%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER
                            "x%016" G_GINT64_MODIFIER "x",
                            r->core->entry_id, r->core->process_epoch, r->waiter.id);
  if (key == NULL)
    entry_request_refuse (r, 400, "the route needs an Idempotency-Key", 0);
  else if (*key == '\0' || strlen (key) > MAX_IDEMPOTENCY_KEY_SIZE
           || http_headers_count (head->headers, IDEMPOTENCY_KEY_HEADER) > 1)
    entry_request_refuse (r, 400, "malformed Idempotency-Key", 0);
  else
    return g_strdup (key);
  return NULL;
}

void
entry_request_claim (entry_request_t *r, const char *body, size_t size)
{
  entry_core_t *core = r->core;
  uint8_t digest[CLAIM_DIGEST_SIZE];
  int64_t now_us = entry_core_now (core);
  g_autofree char *key = choose_idempotency_key (r);

  if (key == NULL)
    return;
  if (!entry_claims_available (core))
    {
      entry_request_refuse (r, 503, "no claims group is configured", 0);
      return;
    }
  make_claim_key (r, key, r->key);
  make_request_digest (r, body, size, digest);
  entry_claims_make_nonce (core, r->nonce);
  r->state = ENTRY_REQUEST_CLAIMING;
  /* The rest of the time is left for the dispatch, or for a response that says that the request was
   * not run. */
  int64_t claim_deadline_us = now_us + (r->deadline_us - now_us) * CLAIM_TIME_PERCENT / 100;
  r->claim_call_id = claim_client_request_grant (
      &core->claims, now_us, r->key, r->nonce, digest, claim_deadline_us,
      (uint64_t)(MAX (r->deadline_us - now_us, 0) / US_PER_MS), on_claim, r);
  if (r->claim_call_id == 0)
    entry_request_refuse (r, 503, "too many claims are pending", 1);
  entry_claims_update (core);
}

void
entry_request_record_head (entry_request_t *r, int status, const http_headers_t *headers)
{
  http_headers_t recorded;
  if (!r->holds_claim)
    return;
  http_headers_init (&recorded);
  http_headers_append_all (&recorded, headers);
  http_headers_remove_hop_by_hop (&recorded);
  http_headers_remove (&recorded, "Content-Length");
  http_headers_remove (&recorded, "Date");
  /* A replayed response belongs to another attempt. */
  http_headers_remove (&recorded, http_dialect_native.attempt_id_header);
  if (r->record_headers == NULL)
    r->record_headers = g_string_new (NULL);
  g_string_truncate (r->record_headers, 0);
  http_headers_write (&recorded, r->record_headers);
  http_headers_destroy (&recorded);
  r->status = (uint32_t)status;
}

void
entry_request_record_outcome (entry_request_t *r, const char *body, size_t size)
{
  entry_core_t *core = r->core;
  if (!r->holds_claim)
    return;
  r->holds_claim = false;

  size_t header_size = r->record_headers != NULL ? r->record_headers->len : 0;
  bool replayable
      = body != NULL && r->record_headers != NULL && header_size + size <= MAX_CLAIM_RESPONSE_BYTES;
  /* Status 0 records that the request was run but its response cannot be replayed. */
  g_autoptr (GBytes) headers
      = replayable ? g_bytes_new (r->record_headers->str, header_size) : NULL;
  g_autoptr (GBytes) content = replayable ? g_bytes_new (body, size) : NULL;
  claim_client_record_outcome (&core->claims, entry_core_now (core), r->key, r->nonce,
                               replayable ? r->status : 0, headers, content, NULL, NULL);
  entry_claims_update (core);
}

void
entry_request_end_claim (entry_request_t *r)
{
  entry_core_t *core = r->core;
  int64_t now_us = entry_core_now (core);
  if (r->claim_call_id != 0)
    claim_client_cancel (&core->claims, now_us, r->claim_call_id);
  r->claim_call_id = 0;
  if (r->holds_claim && !r->possibly_run)
    claim_client_release (&core->claims, now_us, r->key, r->nonce);
  else if (r->holds_claim)
    LOG_WARNING ("outcome of a claimed request is unknown service=%s route=%s",
                 r->match.service->name, r->match.route->id);
  r->holds_claim = false;
  entry_claims_update (core);
}
