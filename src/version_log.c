#include "version_log.h"

#include <string.h>

#include "config_doc.h"
#include "config_patch.h"
#include "deflate.h"
#include "version_index.h"

/* The tail is compressed when its patches reach this size, even if it has fewer than
 * VERSION_MAX_BLOCK_RECORDS records, so that large patches do not stay uncompressed. */
#define MAX_TAIL_PATCH_BYTES ((size_t)1 << 20)
/* Maximum size of a block after decompression. The last record of a block may hold a patch of any
 * accepted size, in addition to patches of almost MAX_TAIL_PATCH_BYTES. The merge patch
 * that version_store derives for a replaced document can exceed CONFIG_MAX_TEXT_SIZE, because it
 * also names the removed members. */
#define MAX_DECOMPRESSED_BLOCK_BYTES (MAX_TAIL_PATCH_BYTES + 2 * (size_t)CONFIG_MAX_TEXT_SIZE)
/* A checkpoint is stored when the patches since the last one reach the size of the document divided
 * by this. */
#define CHECKPOINT_PATCH_DIVISOR 8
#define LENGTH_PREFIX_BYTES 4

/* The document of a version, or a block of records that starts with that version. */
typedef struct
{
  uint64_t version;
  GBytes *compressed;
} compressed_t;

struct version_log
{
  GArray *blocks;      /* compressed_t, by ascending version */
  GPtrArray *tail;     /* version_record_t, the latest records, uncompressed */
  uint64_t tail_start; /* version of the first record of the tail, or of the next one */
  size_t tail_patch_bytes;
  GPtrArray *cached_block; /* version_record_t of the block that was read last, or NULL */
  uint64_t cached_block_start;
  GArray *checkpoints; /* compressed_t, by ascending version */
  size_t patch_bytes_since_checkpoint;
  version_index_t index;
};

static void
free_record (void *record)
{
  version_record_free (record);
}

static GPtrArray *
new_records (void)
{
  return g_ptr_array_new_with_free_func (free_record);
}

version_log_t *
version_log_new (void)
{
  version_log_t *log = g_new0 (version_log_t, 1);
  log->blocks = g_array_new (FALSE, FALSE, sizeof (compressed_t));
  log->tail = new_records ();
  log->tail_start = 1;
  log->checkpoints = g_array_new (FALSE, FALSE, sizeof (compressed_t));
  version_index_init (&log->index);
  return log;
}

static void
free_compressed (GArray *array)
{
  for (guint i = 0; i < array->len; i++)
    g_bytes_unref (g_array_index (array, compressed_t, i).compressed);
  g_array_free (array, TRUE);
}

void
version_log_free (version_log_t *log)
{
  if (log == NULL)
    return;
  free_compressed (log->blocks);
  g_ptr_array_free (log->tail, TRUE);
  if (log->cached_block != NULL)
    g_ptr_array_free (log->cached_block, TRUE);
  free_compressed (log->checkpoints);
  version_index_destroy (&log->index);
  g_free (log);
}

static GBytes *
compress_records (const GPtrArray *records)
{
  GByteArray *plain = g_byte_array_new ();
  for (guint i = 0; i < records->len; i++)
    {
      GBytes *encoded = version_record_encode (g_ptr_array_index (records, i));
      gsize size = 0;
      const guint8 *data = g_bytes_get_data (encoded, &size);
      guint32 length = GUINT32_TO_BE ((guint32)size);
      g_byte_array_append (plain, (const guint8 *)&length, LENGTH_PREFIX_BYTES);
      g_byte_array_append (plain, data, (guint)size);
      g_bytes_unref (encoded);
    }
  GBytes *compressed = deflate_compress (plain->data, plain->len);
  g_byte_array_free (plain, TRUE);
  return compressed;
}

static bool
decode_records (const uint8_t *data, size_t size, GPtrArray *records, anv_error_t *err)
{
  while (size >= LENGTH_PREFIX_BYTES)
    {
      guint32 length = 0;
      memcpy (&length, data, LENGTH_PREFIX_BYTES);
      length = GUINT32_FROM_BE (length);
      if (length > size - LENGTH_PREFIX_BYTES)
        break;
      version_record_t *record = version_record_decode (data + LENGTH_PREFIX_BYTES, length, err);
      if (record == NULL)
        return false;
      g_ptr_array_add (records, record);
      data += LENGTH_PREFIX_BYTES + length;
      size -= LENGTH_PREFIX_BYTES + length;
    }
  if (size == 0)
    return true;
  anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT, "truncated record");
  return false;
}

static GPtrArray *
decompress_records (GBytes *compressed, anv_error_t *err)
{
  gsize size = 0;
  const void *data = g_bytes_get_data (compressed, &size);
  GBytes *plain = deflate_decompress (data, size, MAX_DECOMPRESSED_BLOCK_BYTES);
  if (plain == NULL)
    {
      anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT,
                     "the block cannot be decompressed");
      return NULL;
    }
  GPtrArray *records = new_records ();
  data = g_bytes_get_data (plain, &size);
  bool ok = decode_records (data, size, records, err);
  g_bytes_unref (plain);
  if (ok)
    return records;
  g_ptr_array_free (records, TRUE);
  return NULL;
}

static void
compress_tail_if_full (version_log_t *log)
{
  if (log->tail->len < VERSION_MAX_BLOCK_RECORDS && log->tail_patch_bytes < MAX_TAIL_PATCH_BYTES)
    return;
  compressed_t block = { log->tail_start, compress_records (log->tail) };
  g_array_append_val (log->blocks, block);
  log->tail_start += log->tail->len;
  log->tail_patch_bytes = 0;
  g_ptr_array_set_size (log->tail, 0);
}

static void
add_checkpoint_if_due (version_log_t *log, uint64_t version, GBytes *text)
{
  gsize size = 0;
  const void *data = g_bytes_get_data (text, &size);
  uint64_t last_checkpoint = 0;
  if (log->checkpoints->len > 0)
    last_checkpoint
        = g_array_index (log->checkpoints, compressed_t, log->checkpoints->len - 1).version;
  if (version - last_checkpoint < VERSION_MAX_BLOCK_RECORDS
      || log->patch_bytes_since_checkpoint < size / CHECKPOINT_PATCH_DIVISOR)
    return;
  compressed_t checkpoint = { version, deflate_compress (data, size) };
  g_array_append_val (log->checkpoints, checkpoint);
  log->patch_bytes_since_checkpoint = 0;
}

void
version_log_append (version_log_t *log, version_record_t *record, GBytes *text)
{
  g_assert (record->version == version_log_count (log) + 1);
  version_index_add (&log->index, record->patch_id, record->version);
  log->patch_bytes_since_checkpoint += strlen (record->patch);
  log->tail_patch_bytes += strlen (record->patch);
  g_ptr_array_add (log->tail, record);
  add_checkpoint_if_due (log, record->version, text);
  compress_tail_if_full (log);
}

uint64_t
version_log_count (const version_log_t *log)
{
  return log->tail_start - 1 + log->tail->len;
}

/* Returns the block that holds VERSION, which must be before the tail. */
static const compressed_t *
find_block (const version_log_t *log, uint64_t version)
{
  guint low = 0;
  guint high = log->blocks->len;
  while (high - low > 1)
    {
      guint middle = low + (high - low) / 2;
      if (g_array_index (log->blocks, compressed_t, middle).version <= version)
        low = middle;
      else
        high = middle;
    }
  return &g_array_index (log->blocks, compressed_t, low);
}

const version_record_t *
version_log_get (version_log_t *log, uint64_t version)
{
  if (version == 0 || version > version_log_count (log))
    return NULL;
  if (version >= log->tail_start)
    return g_ptr_array_index (log->tail, version - log->tail_start);

  const compressed_t *block = find_block (log, version);
  if (log->cached_block == NULL || log->cached_block_start != block->version)
    {
      if (log->cached_block != NULL)
        g_ptr_array_free (log->cached_block, TRUE);
      log->cached_block = decompress_records (block->compressed, NULL);
      log->cached_block_start = block->version;
      /* Cannot fail: this module compressed the block, or checked it when it was read. */
      g_assert (log->cached_block != NULL);
    }
  return g_ptr_array_index (log->cached_block, version - block->version);
}

typedef struct
{
  version_log_t *log;
  const char *patch_id;
} find_context_t;

static int
has_patch_id (void *data, uint64_t version)
{
  const find_context_t *find = data;
  return strcmp (version_log_get (find->log, version)->patch_id, find->patch_id) == 0;
}

uint64_t
version_log_find (version_log_t *log, const char *patch_id)
{
  find_context_t find = { log, patch_id };
  return version_index_find (&log->index, patch_id, has_patch_id, &find);
}

/* Returns the text of the latest checkpoint that is not after VERSION, or the empty document if
 * there is none. Stores its version, or 0, in FOUND_VERSION. */
static GBytes *
load_nearest_document (const version_log_t *log, uint64_t version, uint64_t *found_version)
{
  *found_version = 0;
  for (guint i = log->checkpoints->len; i > 0; i--)
    {
      const compressed_t *checkpoint = &g_array_index (log->checkpoints, compressed_t, i - 1);
      if (checkpoint->version > version)
        continue;
      gsize size = 0;
      const void *data = g_bytes_get_data (checkpoint->compressed, &size);
      *found_version = checkpoint->version;
      return deflate_decompress (data, size, CONFIG_MAX_TEXT_SIZE);
    }
  return g_bytes_new_static ("{}", 2);
}

static cJSON *
apply_record (cJSON *document, const version_record_t *record)
{
  cJSON *patch = json_parse (record->patch, strlen (record->patch), NULL);
  document = config_patch_apply (document, patch);
  cJSON_Delete (patch);
  return document;
}

/* Returns TEXT if it matches the digest of VERSION. Otherwise releases it and returns NULL. Does
 * not check the text of version 0, which has no record. */
static GBytes *
check_document (version_log_t *log, uint64_t version, GBytes *text, anv_error_t *err)
{
  gsize size = 0;
  const char *data = g_bytes_get_data (text, &size);
  version_digest_t digest = version_compute_text_digest (data, size);
  const version_record_t *record = version_log_get (log, version);
  if (record == NULL || version_digest_equal (&digest, &record->document_digest))
    return text;
  g_bytes_unref (text);
  anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_DIGEST,
                 "version %" G_GUINT64_FORMAT ": the document does not match its digest", version);
  return NULL;
}

GBytes *
version_log_document (version_log_t *log, uint64_t version, anv_error_t *err)
{
  if (version > version_log_count (log))
    {
      anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_MISSING,
                     "there is no version %" G_GUINT64_FORMAT, version);
      return NULL;
    }
  uint64_t found_version = 0;
  GBytes *text = load_nearest_document (log, version, &found_version);
  if (found_version < version)
    {
      gsize size = 0;
      const char *data = g_bytes_get_data (text, &size);
      cJSON *document = json_parse (data, size, NULL);
      g_bytes_unref (text);
      for (uint64_t next = found_version + 1; next <= version; next++)
        document = apply_record (document, version_log_get (log, next));
      char *canonical = json_print_canonical (document);
      cJSON_Delete (document);
      text = g_bytes_new_take (canonical, strlen (canonical));
    }
  return check_document (log, version, text, err);
}

static void
write_bytes (wire_writer_t *writer, GBytes *bytes)
{
  gsize size = 0;
  const void *data = g_bytes_get_data (bytes, &size);
  wire_write_bytes (writer, data, size);
}

void
version_log_write (version_log_t *log, wire_writer_t *writer)
{
  wire_write_array (writer, log->blocks->len + 1);
  for (guint i = 0; i < log->blocks->len; i++)
    write_bytes (writer, g_array_index (log->blocks, compressed_t, i).compressed);
  GBytes *tail = compress_records (log->tail);
  write_bytes (writer, tail);
  g_bytes_unref (tail);

  wire_write_array (writer, 2 * (size_t)log->checkpoints->len);
  for (guint i = 0; i < log->checkpoints->len; i++)
    {
      const compressed_t *checkpoint = &g_array_index (log->checkpoints, compressed_t, i);
      wire_write_uint (writer, checkpoint->version);
      write_bytes (writer, checkpoint->compressed);
    }
}

/* Checks the digest chain over RECORDS, the first of which must be version log->tail_start, and
 * adds them to the index. PREVIOUS is the digest of the version before, and then of the last
 * record. */
static bool
check_records (version_log_t *log, const GPtrArray *records, version_digest_t *previous,
               anv_error_t *err)
{
  uint64_t number = log->tail_start;
  for (guint i = 0; i < records->len; i++, number++)
    {
      const version_record_t *record = g_ptr_array_index (records, i);
      if (!version_record_verify (record, number, previous, err))
        return false;
      *previous = record->digest;
      version_index_add (&log->index, record->patch_id, record->version);
    }
  return true;
}

static void
set_tail (version_log_t *log, GPtrArray *records)
{
  g_ptr_array_free (log->tail, TRUE);
  log->tail = records;
  for (guint i = 0; i < records->len; i++)
    log->tail_patch_bytes
        += strlen (((const version_record_t *)g_ptr_array_index (records, i))->patch);
}

static bool
read_block (version_log_t *log, GBytes *compressed, bool is_tail, version_digest_t *previous,
            anv_error_t *err)
{
  GPtrArray *records = decompress_records (compressed, err);
  if (records == NULL)
    return false;
  if (!check_records (log, records, previous, err))
    {
      g_ptr_array_free (records, TRUE);
      return false;
    }
  if (is_tail)
    {
      set_tail (log, records);
      return true;
    }
  compressed_t block = { log->tail_start, g_bytes_ref (compressed) };
  g_array_append_val (log->blocks, block);
  log->tail_start += records->len;
  g_ptr_array_free (records, TRUE);
  return true;
}

static bool
read_blocks (version_log_t *log, wire_reader_t *reader, anv_error_t *err)
{
  version_digest_t previous = { { 0 } };
  uint32_t count = wire_read_array (reader);
  for (uint32_t i = 0; i < count; i++)
    {
      size_t size = 0;
      const uint8_t *data = wire_read_bytes (reader, &size);
      GBytes *compressed = g_bytes_new (data, size);
      bool ok = read_block (log, compressed, i + 1 == count, &previous, err);
      g_bytes_unref (compressed);
      if (!ok)
        {
          anv_error_wrap (err, ANV_ERROR_VERSION, VERSION_ERROR_DIGEST, "block %u of the history",
                          i + 1);
          return false;
        }
    }
  wire_read_array_end (reader);
  return true;
}

/* Recomputes patch_bytes_since_checkpoint, which is not stored, so that the next checkpoint is
 * stored at the same version as without a restore. */
static void
recompute_patch_bytes (version_log_t *log)
{
  uint64_t last_checkpoint = 0;
  if (log->checkpoints->len > 0)
    last_checkpoint
        = g_array_index (log->checkpoints, compressed_t, log->checkpoints->len - 1).version;
  log->patch_bytes_since_checkpoint = 0;
  for (uint64_t version = last_checkpoint + 1; version <= version_log_count (log); version++)
    log->patch_bytes_since_checkpoint += strlen (version_log_get (log, version)->patch);
}

static bool
read_checkpoint (version_log_t *log, wire_reader_t *reader, anv_error_t *err)
{
  compressed_t checkpoint = { wire_read_uint (reader), NULL };
  size_t size = 0;
  const uint8_t *data = wire_read_bytes (reader, &size);
  checkpoint.compressed = g_bytes_new (data, size);
  g_array_append_val (log->checkpoints, checkpoint);

  GBytes *text = deflate_decompress (data, size, CONFIG_MAX_TEXT_SIZE);
  if (text == NULL || checkpoint.version > version_log_count (log))
    {
      g_clear_pointer (&text, g_bytes_unref);
      anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT,
                     "version %" G_GUINT64_FORMAT ": damaged full document", checkpoint.version);
      return false;
    }
  text = check_document (log, checkpoint.version, text, err);
  if (text == NULL)
    return false;
  g_bytes_unref (text);
  return true;
}

static bool
read_checkpoints (version_log_t *log, wire_reader_t *reader, anv_error_t *err)
{
  uint32_t count = wire_read_array (reader);
  for (uint32_t i = 0; i + 1 < count; i += 2)
    {
      if (!read_checkpoint (log, reader, err))
        return false;
    }
  wire_read_array_end (reader);
  recompute_patch_bytes (log);
  return true;
}

version_log_t *
version_log_read (wire_reader_t *reader, anv_error_t *err)
{
  version_log_t *log = version_log_new ();
  if (read_blocks (log, reader, err) && read_checkpoints (log, reader, err))
    return log;
  version_log_free (log);
  return NULL;
}

size_t
version_log_memory_bytes (const version_log_t *log)
{
  size_t size = sizeof (*log) + version_index_memory_bytes (&log->index);
  for (guint i = 0; i < log->blocks->len; i++)
    size += g_bytes_get_size (g_array_index (log->blocks, compressed_t, i).compressed);
  for (guint i = 0; i < log->checkpoints->len; i++)
    size += g_bytes_get_size (g_array_index (log->checkpoints, compressed_t, i).compressed);
  for (guint i = 0; i < log->tail->len; i++)
    {
      const version_record_t *record = g_ptr_array_index (log->tail, i);
      size += sizeof (*record) + strlen (record->patch) + strlen (record->reason);
      size += strlen (record->patch_id) + strlen (record->operator_name);
    }
  return size;
}
