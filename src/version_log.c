#include "version_log.h"

#include <string.h>

#include "config_doc.h"
#include "config_patch.h"
#include "deflate.h"
#include "version_index.h"

/* The latest records are packed into a block at this size at the latest, so that large patches do
 * not stay uncompressed. */
#define BLOCK_SIZE ((size_t)1 << 20)
/* Largest block that a restore unpacks: the last record of a block may hold a patch of any size. */
#define MAX_BLOCK_SIZE (BLOCK_SIZE + 2 * (size_t)CONFIG_MAX_TEXT_SIZE)
/* A full document is stored when the patches since the last one have this share of its size. */
#define PATCH_SHARE 8
#define LENGTH_SIZE 4

/* A full document, or a block of records that starts with VERSION. */
typedef struct
{
  uint64_t version;
  GBytes *packed;
} packed_t;

struct version_log
{
  GArray *blocks;      /* packed_t, ascending */
  GPtrArray *tail;     /* version_record_t, the latest ones */
  uint64_t tail_start; /* version of the first one */
  size_t tail_bytes;
  GPtrArray *unpacked; /* version_record_t of a block that was read last, or NULL */
  uint64_t unpacked_start;
  GArray *checkpoints; /* packed_t, ascending */
  size_t patch_bytes;  /* since the last checkpoint */
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
  log->blocks = g_array_new (FALSE, FALSE, sizeof (packed_t));
  log->tail = new_records ();
  log->tail_start = 1;
  log->checkpoints = g_array_new (FALSE, FALSE, sizeof (packed_t));
  version_index_init (&log->index);
  return log;
}

static void
free_packed (GArray *array)
{
  for (guint i = 0; i < array->len; i++)
    g_bytes_unref (g_array_index (array, packed_t, i).packed);
  g_array_free (array, TRUE);
}

void
version_log_free (version_log_t *log)
{
  if (log == NULL)
    return;
  free_packed (log->blocks);
  g_ptr_array_free (log->tail, TRUE);
  if (log->unpacked != NULL)
    g_ptr_array_free (log->unpacked, TRUE);
  free_packed (log->checkpoints);
  version_index_destroy (&log->index);
  g_free (log);
}

static GBytes *
pack_records (const GPtrArray *records)
{
  GByteArray *plain = g_byte_array_new ();
  for (guint i = 0; i < records->len; i++)
    {
      GBytes *encoded = version_record_encode (g_ptr_array_index (records, i));
      gsize size = 0;
      const guint8 *data = g_bytes_get_data (encoded, &size);
      guint32 length = GUINT32_TO_BE ((guint32)size);
      g_byte_array_append (plain, (const guint8 *)&length, LENGTH_SIZE);
      g_byte_array_append (plain, data, (guint)size);
      g_bytes_unref (encoded);
    }
  GBytes *packed = deflate_pack (plain->data, plain->len);
  g_byte_array_free (plain, TRUE);
  return packed;
}

static bool
decode_records (const uint8_t *data, size_t size, GPtrArray *records, anv_error_t *err)
{
  while (size >= LENGTH_SIZE)
    {
      guint32 length = 0;
      memcpy (&length, data, LENGTH_SIZE);
      length = GUINT32_FROM_BE (length);
      if (length > size - LENGTH_SIZE)
        break;
      version_record_t *record = version_record_decode (data + LENGTH_SIZE, length, err);
      if (record == NULL)
        return false;
      g_ptr_array_add (records, record);
      data += LENGTH_SIZE + length;
      size -= LENGTH_SIZE + length;
    }
  if (size == 0)
    return true;
  anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT, "truncated record");
  return false;
}

static GPtrArray *
unpack_records (GBytes *packed, anv_error_t *err)
{
  gsize size = 0;
  const void *data = g_bytes_get_data (packed, &size);
  GBytes *plain = deflate_unpack (data, size, MAX_BLOCK_SIZE);
  if (plain == NULL)
    {
      anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT, "damaged block");
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
seal_block (version_log_t *log)
{
  if (log->tail->len < VERSION_BLOCK_RECORDS && log->tail_bytes < BLOCK_SIZE)
    return;
  packed_t block = { log->tail_start, pack_records (log->tail) };
  g_array_append_val (log->blocks, block);
  log->tail_start += log->tail->len;
  log->tail_bytes = 0;
  g_ptr_array_set_size (log->tail, 0);
}

static void
add_checkpoint (version_log_t *log, uint64_t version, GBytes *text)
{
  gsize size = 0;
  const void *data = g_bytes_get_data (text, &size);
  uint64_t last = 0;
  if (log->checkpoints->len > 0)
    last = g_array_index (log->checkpoints, packed_t, log->checkpoints->len - 1).version;
  if (version - last < VERSION_BLOCK_RECORDS || log->patch_bytes < size / PATCH_SHARE)
    return;
  packed_t checkpoint = { version, deflate_pack (data, size) };
  g_array_append_val (log->checkpoints, checkpoint);
  log->patch_bytes = 0;
}

void
version_log_append (version_log_t *log, version_record_t *record, GBytes *text)
{
  g_assert (record->version == version_log_count (log) + 1);
  version_index_add (&log->index, record->patch_id, record->version);
  log->patch_bytes += strlen (record->patch);
  log->tail_bytes += strlen (record->patch);
  g_ptr_array_add (log->tail, record);
  add_checkpoint (log, record->version, text);
  seal_block (log);
}

uint64_t
version_log_count (const version_log_t *log)
{
  return log->tail_start - 1 + log->tail->len;
}

/* Returns the block that holds VERSION, which is before the tail. */
static const packed_t *
find_block (const version_log_t *log, uint64_t version)
{
  guint low = 0;
  guint high = log->blocks->len;
  while (high - low > 1)
    {
      guint middle = low + (high - low) / 2;
      if (g_array_index (log->blocks, packed_t, middle).version <= version)
        low = middle;
      else
        high = middle;
    }
  return &g_array_index (log->blocks, packed_t, low);
}

const version_record_t *
version_log_get (version_log_t *log, uint64_t version)
{
  if (version == 0 || version > version_log_count (log))
    return NULL;
  if (version >= log->tail_start)
    return g_ptr_array_index (log->tail, version - log->tail_start);

  const packed_t *block = find_block (log, version);
  if (log->unpacked == NULL || log->unpacked_start != block->version)
    {
      if (log->unpacked != NULL)
        g_ptr_array_free (log->unpacked, TRUE);
      log->unpacked = unpack_records (block->packed, NULL);
      log->unpacked_start = block->version;
      /* Blocks are packed here or were checked when they were read. */
      g_assert (log->unpacked != NULL);
    }
  return g_ptr_array_index (log->unpacked, version - block->version);
}

typedef struct
{
  version_log_t *log;
  const char *patch_id;
} find_t;

static int
has_patch_id (void *data, uint64_t version)
{
  const find_t *find = data;
  return strcmp (version_log_get (find->log, version)->patch_id, find->patch_id) == 0;
}

uint64_t
version_log_find (version_log_t *log, const char *patch_id)
{
  find_t find = { log, patch_id };
  return version_index_find (&log->index, patch_id, has_patch_id, &find);
}

/* Returns the stored document with the highest version that is not above VERSION, or the empty one.
 */
static GBytes *
nearest_document (const version_log_t *log, uint64_t version, uint64_t *found)
{
  *found = 0;
  for (guint i = log->checkpoints->len; i > 0; i--)
    {
      const packed_t *checkpoint = &g_array_index (log->checkpoints, packed_t, i - 1);
      if (checkpoint->version > version)
        continue;
      gsize size = 0;
      const void *data = g_bytes_get_data (checkpoint->packed, &size);
      *found = checkpoint->version;
      return deflate_unpack (data, size, CONFIG_MAX_TEXT_SIZE);
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

static GBytes *
check_document (version_log_t *log, uint64_t version, GBytes *text, anv_error_t *err)
{
  gsize size = 0;
  const char *data = g_bytes_get_data (text, &size);
  version_digest_t digest = version_text_digest (data, size);
  const version_record_t *record = version_log_get (log, version);
  if (record == NULL || version_digest_equal (&digest, &record->document))
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
  uint64_t found = 0;
  GBytes *text = nearest_document (log, version, &found);
  if (found < version)
    {
      gsize size = 0;
      const char *data = g_bytes_get_data (text, &size);
      cJSON *document = json_parse (data, size, NULL);
      g_bytes_unref (text);
      for (uint64_t next = found + 1; next <= version; next++)
        document = apply_record (document, version_log_get (log, next));
      char *canonical = json_canonical (document);
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
    write_bytes (writer, g_array_index (log->blocks, packed_t, i).packed);
  GBytes *tail = pack_records (log->tail);
  write_bytes (writer, tail);
  g_bytes_unref (tail);

  wire_write_array (writer, 2 * (size_t)log->checkpoints->len);
  for (guint i = 0; i < log->checkpoints->len; i++)
    {
      const packed_t *checkpoint = &g_array_index (log->checkpoints, packed_t, i);
      wire_write_uint (writer, checkpoint->version);
      write_bytes (writer, checkpoint->packed);
    }
}

/* Checks the chain over RECORDS, which follow the versions read so far. */
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
take_tail (version_log_t *log, GPtrArray *records)
{
  g_ptr_array_free (log->tail, TRUE);
  log->tail = records;
  for (guint i = 0; i < records->len; i++)
    log->tail_bytes += strlen (((const version_record_t *)g_ptr_array_index (records, i))->patch);
}

static bool
read_block (version_log_t *log, GBytes *packed, bool is_tail, version_digest_t *previous,
            anv_error_t *err)
{
  GPtrArray *records = unpack_records (packed, err);
  if (records == NULL)
    return false;
  if (!check_records (log, records, previous, err))
    {
      g_ptr_array_free (records, TRUE);
      return false;
    }
  if (is_tail)
    {
      take_tail (log, records);
      return true;
    }
  packed_t block = { log->tail_start, g_bytes_ref (packed) };
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
      GBytes *packed = g_bytes_new (data, size);
      bool ok = read_block (log, packed, i + 1 == count, &previous, err);
      g_bytes_unref (packed);
      if (!ok)
        {
          anv_error_convert (err, ANV_ERROR_VERSION, VERSION_ERROR_DIGEST,
                             "block %u of the history", i + 1);
          return false;
        }
    }
  wire_read_array_end (reader);
  return true;
}

/* The patches after the last full document decide when the next one is stored. */
static void
count_patch_bytes (version_log_t *log)
{
  uint64_t from = 0;
  if (log->checkpoints->len > 0)
    from = g_array_index (log->checkpoints, packed_t, log->checkpoints->len - 1).version;
  log->patch_bytes = 0;
  for (uint64_t version = from + 1; version <= version_log_count (log); version++)
    log->patch_bytes += strlen (version_log_get (log, version)->patch);
}

static bool
read_checkpoint (version_log_t *log, wire_reader_t *reader, anv_error_t *err)
{
  packed_t checkpoint = { wire_read_uint (reader), NULL };
  size_t size = 0;
  const uint8_t *data = wire_read_bytes (reader, &size);
  checkpoint.packed = g_bytes_new (data, size);
  g_array_append_val (log->checkpoints, checkpoint);

  GBytes *text = deflate_unpack (data, size, CONFIG_MAX_TEXT_SIZE);
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
  count_patch_bytes (log);
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
version_log_memory (const version_log_t *log)
{
  size_t size = sizeof (*log) + version_index_memory (&log->index);
  for (guint i = 0; i < log->blocks->len; i++)
    size += g_bytes_get_size (g_array_index (log->blocks, packed_t, i).packed);
  for (guint i = 0; i < log->checkpoints->len; i++)
    size += g_bytes_get_size (g_array_index (log->checkpoints, packed_t, i).packed);
  for (guint i = 0; i < log->tail->len; i++)
    {
      const version_record_t *record = g_ptr_array_index (log->tail, i);
      size += sizeof (*record) + strlen (record->patch) + strlen (record->reason);
      size += strlen (record->patch_id) + strlen (record->operator_name);
    }
  return size;
}
