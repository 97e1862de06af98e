#include "claim_store.h"

#include <string.h>

/* Records that one command may remove; bounds the cost of a command. */
#define MAX_EXPIRED_PER_COMMAND 64
#define SNAPSHOT_RECORD_FIELD_COUNT 10

typedef struct
{
  uint8_t key[CLAIM_KEY_SIZE];
  uint8_t nonce[CLAIM_NONCE_SIZE];
  uint8_t body_digest[CLAIM_DIGEST_SIZE];
  list_node_t node;
  claim_state_t state;
  uint32_t status;
  uint32_t generation;           /* number of releases */
  uint64_t in_progress_until_ms; /* store time from which the outcome counts as unknown */
  uint64_t expires_at_ms;        /* store time */
  GBytes *headers;
  GBytes *body;
} claim_record_t;

static guint
key_hash (gconstpointer key)
{
  guint hash = 0;
  memcpy (&hash, key, sizeof (hash));
  return hash;
}

static gboolean
key_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, CLAIM_KEY_SIZE) == 0;
}

static size_t
recorded_answer_bytes (const claim_record_t *record)
{
  size_t size = record->headers != NULL ? g_bytes_get_size (record->headers) : 0;
  return size + (record->body != NULL ? g_bytes_get_size (record->body) : 0);
}

static void
free_record (gpointer data)
{
  claim_record_t *record = data;
  list_remove (&record->node);
  g_clear_pointer (&record->headers, g_bytes_unref);
  g_clear_pointer (&record->body, g_bytes_unref);
  g_free (record);
}

static claim_record_t *
add_record (claim_store_t *store, const uint8_t *key)
{
  claim_record_t *record = g_new0 (claim_record_t, 1);
  memcpy (record->key, key, CLAIM_KEY_SIZE);
  list_node_init (&record->node);
  list_push_back (&store->by_last_change, &record->node);
  g_hash_table_insert (store->records, record->key, record);
  return record;
}

static void
refresh_expiry (claim_store_t *store, claim_record_t *record, const claim_command_t *command)
{
  record->expires_at_ms = store->now_ms + command->retention_ms;
  list_remove (&record->node);
  list_push_back (&store->by_last_change, &record->node);
}

static void
expire_records (claim_store_t *store)
{
  for (int i = 0; i < MAX_EXPIRED_PER_COMMAND; i++)
    {
      list_node_t *node = list_first (&store->by_last_change);
      if (node == NULL)
        return;
      claim_record_t *record = CONTAINER_OF (node, claim_record_t, node);
      if (record->expires_at_ms > store->now_ms)
        return;
      store->answer_bytes -= recorded_answer_bytes (record);
      g_hash_table_remove (store->records, record->key);
    }
}

static bool
nonce_matches (const claim_record_t *record, const claim_command_t *command)
{
  return memcmp (record->nonce, command->nonce, CLAIM_NONCE_SIZE) == 0;
}

static void
set_granted (claim_store_t *store, claim_record_t *record, const claim_command_t *command)
{
  memcpy (record->nonce, command->nonce, CLAIM_NONCE_SIZE);
  memcpy (record->body_digest, command->body_digest, CLAIM_DIGEST_SIZE);
  record->state = CLAIM_STATE_GRANTED;
  record->in_progress_until_ms = store->now_ms + command->in_progress_timeout_ms;
  refresh_expiry (store, record, command);
}

static void
copy_answer (const claim_record_t *record, claim_result_t *result)
{
  result->type = CLAIM_RESULT_COMPLETED;
  result->status = record->status;
  result->headers = record->headers != NULL ? g_bytes_ref (record->headers) : NULL;
  result->body = record->body != NULL ? g_bytes_ref (record->body) : NULL;
}

static void
apply_grant (claim_store_t *store, claim_record_t *record, const claim_command_t *command,
             claim_result_t *result)
{
  if (record == NULL)
    {
      record = add_record (store, command->key);
      set_granted (store, record, command);
      result->type = CLAIM_RESULT_GRANTED;
      return;
    }
  if (record->state == CLAIM_STATE_RELEASED)
    {
      /* A GRANT command of another generation may be a delayed copy that was sent before the last
       * release and whose attempt has ended. A grant to it would never be released. A new attempt
       * sends its command again, with the returned generation. */
      result->type = CLAIM_RESULT_STALE;
      result->generation = record->generation;
      if (command->generation != record->generation)
        return;
      set_granted (store, record, command);
      result->type = CLAIM_RESULT_GRANTED;
      return;
    }
  if (memcmp (record->body_digest, command->body_digest, CLAIM_DIGEST_SIZE) != 0)
    {
      result->type = CLAIM_RESULT_MISMATCH;
      return;
    }
  if (record->state == CLAIM_STATE_COMPLETED)
    {
      copy_answer (record, result);
      return;
    }
  if (nonce_matches (record, command))
    result->type = CLAIM_RESULT_GRANTED;
  else if (store->now_ms < record->in_progress_until_ms)
    result->type = CLAIM_RESULT_IN_PROGRESS;
  else
    result->type = CLAIM_RESULT_UNKNOWN;
}

static void
apply_outcome (claim_store_t *store, claim_record_t *record, const claim_command_t *command,
               claim_result_t *result)
{
  bool is_holder
      = record != NULL && record->state != CLAIM_STATE_RELEASED && nonce_matches (record, command);
  result->type = is_holder ? CLAIM_RESULT_RECORDED : CLAIM_RESULT_REJECTED;
  if (!is_holder || record->state == CLAIM_STATE_COMPLETED)
    return;

  record->state = CLAIM_STATE_COMPLETED;
  record->status = command->status;
  record->headers = command->headers != NULL ? g_bytes_ref (command->headers) : NULL;
  record->body = command->body != NULL ? g_bytes_ref (command->body) : NULL;
  store->answer_bytes += recorded_answer_bytes (record);
  refresh_expiry (store, record, command);
}

static void
apply_release (claim_store_t *store, claim_record_t *record, const claim_command_t *command,
               claim_result_t *result)
{
  result->type = CLAIM_RESULT_RECORDED;
  /* A RELEASE command may arrive before the GRANT command of its attempt. The record that it adds
   * makes the late GRANT command stale. */
  if (record == NULL)
    record = add_record (store, command->key);
  else if (record->state == CLAIM_STATE_GRANTED && !nonce_matches (record, command))
    return;
  else if (record->state == CLAIM_STATE_COMPLETED)
    {
      result->type = CLAIM_RESULT_REJECTED;
      return;
    }
  record->state = CLAIM_STATE_RELEASED;
  record->generation++;
  refresh_expiry (store, record, command);
}

void
claim_store_init (claim_store_t *store)
{
  memset (store, 0, sizeof (*store));
  list_init (&store->by_last_change);
  store->records = g_hash_table_new_full (key_hash, key_equal, NULL, free_record);
}

void
claim_store_destroy (claim_store_t *store)
{
  g_clear_pointer (&store->records, g_hash_table_unref);
}

void
claim_store_apply (claim_store_t *store, const claim_command_t *command, claim_result_t *result)
{
  memset (result, 0, sizeof (*result));
  store->now_ms += command->advance_ms;
  expire_records (store);

  claim_record_t *record = g_hash_table_lookup (store->records, command->key);
  switch (command->type)
    {
    case CLAIM_COMMAND_GRANT:
      apply_grant (store, record, command, result);
      break;
    case CLAIM_COMMAND_OUTCOME:
      apply_outcome (store, record, command, result);
      break;
    case CLAIM_COMMAND_RELEASE:
      apply_release (store, record, command, result);
      break;
    }
}

size_t
claim_store_count (const claim_store_t *store)
{
  return g_hash_table_size (store->records);
}

bool
claim_store_lookup (const claim_store_t *store, const uint8_t *key, claim_state_t *state)
{
  const claim_record_t *record = g_hash_table_lookup (store->records, key);
  if (record != NULL)
    *state = record->state;
  return record != NULL;
}

GByteArray *
claim_store_snapshot (const claim_store_t *store)
{
  wire_writer_t writer;
  wire_writer_init (&writer, WIRE_RAFT_SNAPSHOT, 2);
  wire_write_uint (&writer, store->now_ms);
  wire_write_array (&writer, claim_store_count (store));
  LIST_FOREACH (&store->by_last_change, node)
  {
    const claim_record_t *record = CONTAINER_OF (node, claim_record_t, node);
    wire_write_array (&writer, SNAPSHOT_RECORD_FIELD_COUNT);
    wire_write_bytes (&writer, record->key, CLAIM_KEY_SIZE);
    wire_write_bytes (&writer, record->nonce, CLAIM_NONCE_SIZE);
    wire_write_bytes (&writer, record->body_digest, CLAIM_DIGEST_SIZE);
    wire_write_uint (&writer, record->state);
    wire_write_uint (&writer, record->status);
    wire_write_uint (&writer, record->in_progress_until_ms);
    wire_write_uint (&writer, record->expires_at_ms);
    wire_write_blob (&writer, record->headers);
    wire_write_blob (&writer, record->body);
    wire_write_uint (&writer, record->generation);
  }
  GByteArray *bytes = g_byte_array_sized_new ((guint)writer.buffer.size);
  g_byte_array_append (bytes, (const guint8 *)writer.buffer.data, (guint)writer.buffer.size);
  wire_writer_destroy (&writer);
  return bytes;
}

static bool
restore_record (claim_store_t *store, wire_reader_t *reader)
{
  uint8_t key[CLAIM_KEY_SIZE] = { 0 };
  wire_read_array (reader);
  wire_read_fixed_bytes (reader, key, sizeof (key));
  if (reader->failed)
    return false;

  claim_record_t *record = add_record (store, key);
  wire_read_fixed_bytes (reader, record->nonce, CLAIM_NONCE_SIZE);
  wire_read_fixed_bytes (reader, record->body_digest, CLAIM_DIGEST_SIZE);
  record->state = (claim_state_t)wire_read_uint (reader);
  record->status = (uint32_t)wire_read_uint (reader);
  record->in_progress_until_ms = wire_read_uint (reader);
  record->expires_at_ms = wire_read_uint (reader);
  record->headers = wire_read_blob (reader);
  record->body = wire_read_blob (reader);
  record->generation = (uint32_t)wire_read_uint (reader);
  store->answer_bytes += recorded_answer_bytes (record);
  wire_read_array_end (reader);
  return !reader->failed && record->state >= CLAIM_STATE_GRANTED
         && record->state <= CLAIM_STATE_RELEASED;
}

bool
claim_store_restore (claim_store_t *store, const uint8_t *data, size_t size, anv_error_t *err)
{
  wire_reader_t reader;
  wire_type_t type;
  claim_store_t loaded;

  if (!wire_reader_init (&reader, data, size, &type, err))
    {
      anv_error_wrap (err, ANV_ERROR_CLAIM, CLAIM_STORE_ERROR_SNAPSHOT,
                      "unreadable claim snapshot");
      return false;
    }
  claim_store_init (&loaded);
  loaded.now_ms = wire_read_uint (&reader);
  uint32_t count = wire_read_array (&reader);
  bool valid = true;
  for (uint32_t i = 0; valid && i < count; i++)
    valid = restore_record (&loaded, &reader);
  wire_read_array_end (&reader);
  valid = wire_reader_finish (&reader, NULL) && valid && claim_store_count (&loaded) == count;
  wire_reader_destroy (&reader);
  if (!valid)
    {
      claim_store_destroy (&loaded);
      anv_error_set (err, ANV_ERROR_CLAIM, CLAIM_STORE_ERROR_SNAPSHOT, "damaged claim snapshot");
      return false;
    }

  claim_store_destroy (store);
  claim_store_init (store);
  g_clear_pointer (&store->records, g_hash_table_unref);
  store->records = loaded.records;
  store->now_ms = loaded.now_ms;
  store->answer_bytes = loaded.answer_bytes;
  /* The list head is part of the struct and cannot be copied, so the nodes are moved one by one. */
  list_node_t *node = NULL;
  while ((node = list_pop_front (&loaded.by_last_change)) != NULL)
    list_push_back (&store->by_last_change, node);
  return true;
}
