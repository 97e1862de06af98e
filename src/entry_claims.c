#include "entry_claims.h"

#include <string.h>

#define LOG_MODULE "entry_claims"
#include "log.h"

/* Options of claim_client; see claim_client_options_t. */
#define REPLY_TIMEOUT_US INT64_C (250000)
#define GRANT_VALIDITY_US INT64_C (5000000)
#define MAX_RETRY_INTERVAL_US INT64_C (5000000)
#define MAX_BACKGROUND_CALLS 10000

/* Limits of the claims that are relayed for other entries. */
#define RELAY_TIMEOUT_US INT64_C (5000000)
#define MAX_RELAYED_CLAIMS 1000
/* Set in the request ids of relayed claims to distinguish them from those of this entry's own
 * calls. */
#define RELAYED_CLAIM_ID_BIT (UINT64_C (1) << 63)

/* A claim of another entry that waits for its reply. */
typedef struct
{
  uint64_t id;          /* request id in messages to the claims group */
  uint64_t link_number; /* link that the request came from */
  uint64_t request_id;  /* request id in the message of the entry that asked */
  int64_t expires_us;
  bool hint_followed; /* the claim was sent to the member that a leader hint named */
  claim_command_t command;
} relayed_claim_t;

static void
free_relayed_claim (gpointer data)
{
  relayed_claim_t *relayed = data;
  claim_command_clear (&relayed->command);
  g_free (relayed);
}

static void
send_to_member (claim_client_io_t *io, const char *address, const uint8_t *data, size_t size)
{
  entry_core_t *core = CONTAINER_OF (io, entry_core_t, claim_io);
  peer_network_send (core->options.network, address, data, size);
}

/* Search for a live entry other than this one. */
typedef struct
{
  const entry_core_t *core;
  size_t index;        /* position of the entry to find; SIZE_MAX to only count */
  size_t count;        /* entries seen so far */
  const char *address; /* peer address of the entry; NULL if not found */
} entry_search_t;

static void
visit_entry (void *data, const swim_member_t *member)
{
  entry_search_t *search = data;
  bool is_entry = member->caller_address != NULL && member->caller_address[0] != '\0';
  if (!is_entry || member->status != SWIM_ALIVE
      || strcmp (member->id, search->core->options.instance) == 0)
    return;
  if (search->count++ == search->index)
    search->address = member->peer_address;
}

static size_t
count_relays (claim_client_io_t *io)
{
  entry_core_t *core = CONTAINER_OF (io, entry_core_t, claim_io);
  entry_search_t search = { .core = core, .index = SIZE_MAX };
  swim_foreach (&core->options.membership->swim, visit_entry, &search);
  return search.count;
}

static void
send_to_relay (claim_client_io_t *io, size_t index, const uint8_t *data, size_t size)
{
  entry_core_t *core = CONTAINER_OF (io, entry_core_t, claim_io);
  entry_search_t search = { .core = core, .index = index };
  swim_foreach (&core->options.membership->swim, visit_entry, &search);
  if (search.address != NULL)
    peer_network_send (core->options.network, search.address, data, size);
}

static const claim_client_io_ops_t io_ops = {
  .send_to_member = send_to_member,
  .send_to_relay = send_to_relay,
  .count_relays = count_relays,
};

static gboolean
relayed_claim_is_expired (gpointer key, gpointer value, gpointer data)
{
  return ((const relayed_claim_t *)value)->expires_us <= *(const int64_t *)data;
}

static void
on_timer (io_timer_t *timer)
{
  entry_claims_update (CONTAINER_OF (timer, entry_core_t, claim_timer));
}

void
entry_claims_init (entry_core_t *core)
{
  core->claim_io.ops = &io_ops;
  core->relayed_claims
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_relayed_claim);
  claim_client_options_t options = {
    .members = (const char *const *)core->options.claim_members->pdata,
    .reply_timeout_us = REPLY_TIMEOUT_US,
    .grant_validity_us = GRANT_VALIDITY_US,
    .max_retry_interval_us = MAX_RETRY_INTERVAL_US,
    .max_background_calls = MAX_BACKGROUND_CALLS,
    .retention_ms = core->options.claim_retention_ms,
    .io = &core->claim_io,
  };
  claim_client_init (&core->claims, &options);
  io_timer_init (&core->claim_timer, on_timer);
}

void
entry_claims_destroy (entry_core_t *core)
{
  io_timer_cancel (&core->claim_timer);
  claim_client_destroy (&core->claims);
  g_clear_pointer (&core->relayed_claims, g_hash_table_unref);
}

bool
entry_claims_available (const entry_core_t *core)
{
  return core->claims.member_count > 0;
}

void
entry_claims_make_nonce (entry_core_t *core, uint8_t nonce[CLAIM_NONCE_SIZE])
{
  uint64_t parts[2] = { core->process_epoch ^ core->entry_id, ++core->last_claim_nonce };
  memcpy (nonce, parts, CLAIM_NONCE_SIZE);
}

void
entry_claims_update (entry_core_t *core)
{
  int64_t now_us = entry_core_now (core);
  int64_t next_us = claim_client_tick (&core->claims, now_us);
  g_hash_table_foreach_remove (core->relayed_claims, relayed_claim_is_expired, &now_us);
  if (g_hash_table_size (core->relayed_claims) > 0)
    next_us = MIN (next_us, now_us + RELAY_TIMEOUT_US);
  if (next_us != INT64_MAX)
    io_timer_set (core->options.loop, &core->claim_timer, next_us);
}

static void
send_relayed_claim (entry_core_t *core, const relayed_claim_t *relayed, const char *address)
{
  wire_writer_t writer;
  claim_request_encode (&writer, relayed->id, 0, &relayed->command);
  peer_network_send_writer (core->options.network, address, &writer);
}

static void
handle_claim_request (entry_core_t *core, const link_t *link, wire_reader_t *reader)
{
  uint64_t request_id = 0;
  uint32_t relays_left = 0;
  claim_command_t command;
  anv_error_t err = { 0 };

  if (!claim_request_decode (reader, &request_id, &relays_left, &command, &err))
    {
      LOG_WARNING ("malformed claim peer=%s error=\"%s\"", link->peer.id, err.text);
      return;
    }
  if (relays_left == 0 || !entry_claims_available (core)
      || g_hash_table_size (core->relayed_claims) >= MAX_RELAYED_CLAIMS)
    {
      /* Without a reply, the other entry sends the claim elsewhere after its reply timeout. */
      claim_command_clear (&command);
      return;
    }
  relayed_claim_t *relayed = g_new0 (relayed_claim_t, 1);
  relayed->id = ++core->last_relayed_claim_id | RELAYED_CLAIM_ID_BIT;
  relayed->link_number = link->sequence_number;
  relayed->request_id = request_id;
  relayed->expires_us = entry_core_now (core) + RELAY_TIMEOUT_US;
  relayed->command = command;
  g_hash_table_insert (core->relayed_claims, &relayed->id, relayed);
  send_relayed_claim (core, relayed, core->claims.options.members[core->claims.preferred_member]);
  entry_claims_update (core);
}

/* Follows one leader hint; otherwise sends RESULT to the entry that asked and removes RELAYED. */
static void
handle_relayed_reply (entry_core_t *core, relayed_claim_t *relayed, const claim_result_t *result)
{
  wire_writer_t writer;
  bool has_hint = result->type == CLAIM_RESULT_NOT_LEADER && result->leader_address[0] != '\0';
  if (has_hint && !relayed->hint_followed)
    {
      relayed->hint_followed = true;
      send_relayed_claim (core, relayed, result->leader_address);
      return;
    }
  claim_reply_encode (&writer, relayed->request_id, result);
  peer_network_reply_writer (core->options.network, relayed->link_number, &writer);
  g_hash_table_remove (core->relayed_claims, &relayed->id);
}

static void
handle_claim_reply (entry_core_t *core, const link_t *link, wire_reader_t *reader)
{
  uint64_t request_id = 0;
  claim_result_t result;
  anv_error_t err = { 0 };

  if (!claim_reply_decode (reader, &request_id, &result, &err))
    {
      LOG_WARNING ("malformed claim reply peer=%s error=\"%s\"", link->peer.id, err.text);
      return;
    }
  relayed_claim_t *relayed = g_hash_table_lookup (core->relayed_claims, &request_id);
  if (relayed != NULL)
    handle_relayed_reply (core, relayed, &result);
  else
    {
      claim_client_handle_reply (&core->claims, entry_core_now (core), request_id, &result);
      entry_claims_update (core);
    }
  claim_result_clear (&result);
}

bool
entry_claims_receive (entry_core_t *core, const link_t *link, wire_type_t type,
                      wire_reader_t *reader)
{
  if (type == WIRE_CLAIM_REQUEST)
    handle_claim_request (core, link, reader);
  else if (type == WIRE_CLAIM_REPLY)
    handle_claim_reply (core, link, reader);
  else
    return false;
  return true;
}
