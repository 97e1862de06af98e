#include "entry_request.h"

#include <string.h>

#define LOG_MODULE "entry_request"
#include "entry_claims.h"
#include "log.h"

#define KEY_HEADER "Idempotency-Key"
#define MAX_KEY_SIZE 256
#define US_PER_MS 1000
/* Part of a request's time that may pass until it has its claim. */
#define CLAIM_SHARE_PERCENT 60

bool
entry_request_needs_claim (const entry_request_t *r)
{
  return !r->match.route->idempotent;
}

/* Adds TEXT with its length, so that two different lists of texts never give the same digest. */
static void
add_text (GChecksum *checksum, const char *text, size_t size)
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
make_key (const entry_request_t *r, const char *name, uint8_t key[CLAIM_KEY_SIZE])
{
  const request_head_t *head = proxy_request_head (r->request);
  const char *team = http_headers_get (head->headers, "Anvillb-Team");
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
  /* The address of an unnamed caller depends on the way that the request took, and the key must
   * not. */
  if (team == NULL || g_str_has_prefix (team, ENTRY_UNNAMED_TEAM_PREFIX))
    team = "";
  add_text (checksum, r->match.service->name, strlen (r->match.service->name));
  add_text (checksum, r->match.route->id, strlen (r->match.route->id));
  add_text (checksum, team, strlen (team));
  add_text (checksum, name, strlen (name));
  finish_digest (checksum, key);
}

static void
make_body_digest (const entry_request_t *r, const char *body, size_t size,
                  uint8_t digest[CLAIM_DIGEST_SIZE])
{
  const request_head_t *head = proxy_request_head (r->request);
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
  add_text (checksum, head->method, strlen (head->method));
  add_text (checksum, head->target, strlen (head->target));
  add_text (checksum, body, size);
  finish_digest (checksum, digest);
}

static void
on_claim (void *data, const claim_result_t *result)
{
  entry_request_t *r = data;
  r->claim_call = 0;
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

/* Returns the name under which the request is claimed, or NULL if it has been refused. */
static char *
claim_name (entry_request_t *r)
{
  const request_head_t *head = proxy_request_head (r->request);
  const char *name = http_headers_get (head->headers, KEY_HEADER);

  if (name == NULL && r->core->options.single_unnamed)
    return g_strdup_printf ("anvillb-generated-%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER
                            "x%016" G_GINT64_MODIFIER "x",
                            r->core->entry_id, r->core->nonce_prefix, r->waiter.id);
  if (name == NULL)
    entry_request_refuse (r, 400, "the route needs an Idempotency-Key", 0);
  else if (*name == '\0' || strlen (name) > MAX_KEY_SIZE
           || http_headers_count (head->headers, KEY_HEADER) > 1)
    entry_request_refuse (r, 400, "malformed Idempotency-Key", 0);
  else
    return g_strdup (name);
  return NULL;
}

void
entry_request_claim (entry_request_t *r, const char *body, size_t size)
{
  entry_core_t *core = r->core;
  uint8_t digest[CLAIM_DIGEST_SIZE];
  int64_t now_us = entry_core_now (core);
  g_autofree char *name = claim_name (r);

  if (name == NULL)
    return;
  if (!entry_claims_available (core))
    {
      entry_request_refuse (r, 503, "no claims group is configured", 0);
      return;
    }
  make_key (r, name, r->key);
  make_body_digest (r, body, size, digest);
  entry_claims_nonce (core, r->nonce);
  r->state = ENTRY_REQUEST_CLAIMING;
  /* The rest of the time is for the dispatch, or for an answer that says that nothing was run. */
  int64_t claim_deadline_us = now_us + (r->deadline_us - now_us) * CLAIM_SHARE_PERCENT / 100;
  r->claim_call
      = claim_client_grant (&core->claims, now_us, r->key, r->nonce, digest, claim_deadline_us,
                            (uint64_t)(MAX (r->deadline_us - now_us, 0) / US_PER_MS), on_claim, r);
  if (r->claim_call == 0)
    entry_request_refuse (r, 503, "too many claims are pending", 1);
  entry_claims_update (core);
}

void
entry_request_claim_response (entry_request_t *r, int status, const http_headers_t *headers)
{
  http_headers_t kept;
  if (!r->holds_claim)
    return;
  http_headers_init (&kept);
  http_headers_append_all (&kept, headers);
  http_headers_remove_hop_by_hop (&kept);
  http_headers_remove (&kept, "Content-Length");
  http_headers_remove (&kept, "Date");
  if (r->record_headers == NULL)
    r->record_headers = g_string_new (NULL);
  g_string_truncate (r->record_headers, 0);
  http_headers_write (&kept, r->record_headers);
  http_headers_destroy (&kept);
  r->status = (uint32_t)status;
}

void
entry_request_claim_complete (entry_request_t *r, const char *body, size_t size)
{
  entry_core_t *core = r->core;
  if (!r->holds_claim)
    return;
  r->holds_claim = false;

  size_t header_size = r->record_headers != NULL ? r->record_headers->len : 0;
  bool kept
      = body != NULL && r->record_headers != NULL && header_size + size <= CLAIM_MAX_ANSWER_SIZE;
  /* Status 0 records that the request was run although its answer cannot be replayed. */
  g_autoptr (GBytes) headers = kept ? g_bytes_new (r->record_headers->str, header_size) : NULL;
  g_autoptr (GBytes) content = kept ? g_bytes_new (body, size) : NULL;
  claim_client_outcome (&core->claims, entry_core_now (core), r->key, r->nonce,
                        kept ? r->status : 0, headers, content, NULL, NULL);
  entry_claims_update (core);
}

void
entry_request_claim_end (entry_request_t *r)
{
  entry_core_t *core = r->core;
  int64_t now_us = entry_core_now (core);
  if (r->claim_call != 0)
    claim_client_cancel (&core->claims, now_us, r->claim_call);
  r->claim_call = 0;
  if (r->holds_claim && !r->sent)
    claim_client_release (&core->claims, now_us, r->key, r->nonce);
  else if (r->holds_claim)
    LOG_WARNING ("outcome of a claimed request is unknown service=%s route=%s",
                 r->match.service->name, r->match.route->id);
  r->holds_claim = false;
  entry_claims_update (core);
}
