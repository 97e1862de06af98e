#include "config_cache.h"

#include <string.h>

#include "config_edit.h"
#include "deflate.h"

#define DEFAULT_MAX_EDIT_BYTES ((size_t)1 << 20)
#define FETCH_FIELD_COUNT 2
#define FULL_FIELD_COUNT (VERSION_SEAL_FIELD_COUNT + 1)
#define DELTA_FIELD_COUNT (2 + VERSION_SEAL_FIELD_COUNT + 1)
/* Approximate compression ratio of canonical documents of routes and teams. Edits larger than the
 * text divided by this are no smaller than the compressed document. */
#define COMPRESSION_RATIO 8

/* The edits from one installed version to the next. */
typedef struct
{
  uint64_t from;
  version_digest_t from_digest;
  uint64_t to;
  GBytes *edits;
} step_t;

struct config_cache
{
  size_t max_edit_bytes;
  config_doc_t *doc; /* NULL before the first install */
  version_seal_t seal;
  version_digest_t digest;
  config_announcement_t highest_announced; /* latest announcement of the highest version */
  GArray *steps;           /* step_t, consecutive; the last one leads to the installed version */
  size_t step_bytes;       /* total size of the edits in steps */
  GBytes *compressed_text; /* of doc; NULL until the first full answer */
};

config_cache_t *
config_cache_new (const config_cache_options_t *options)
{
  config_cache_t *cache = g_new0 (config_cache_t, 1);
  cache->max_edit_bytes
      = options->max_edit_bytes > 0 ? options->max_edit_bytes : DEFAULT_MAX_EDIT_BYTES;
  cache->steps = g_array_new (FALSE, FALSE, sizeof (step_t));
  return cache;
}

/* Drops the COUNT oldest steps. */
static void
drop_steps (config_cache_t *cache, guint count)
{
  for (guint i = 0; i < count; i++)
    {
      step_t *step = &g_array_index (cache->steps, step_t, i);
      cache->step_bytes -= g_bytes_get_size (step->edits);
      g_bytes_unref (step->edits);
    }
  if (count > 0)
    g_array_remove_range (cache->steps, 0, count);
}

void
config_cache_free (config_cache_t *cache)
{
  if (cache == NULL)
    return;
  drop_steps (cache, cache->steps->len);
  g_array_free (cache->steps, TRUE);
  g_clear_pointer (&cache->compressed_text, g_bytes_unref);
  config_doc_unref (cache->doc);
  g_free (cache);
}

uint64_t
config_cache_version (const config_cache_t *cache)
{
  return cache->seal.version;
}

version_digest_t
config_cache_digest (const config_cache_t *cache)
{
  return cache->digest;
}

config_doc_t *
config_cache_doc (const config_cache_t *cache)
{
  return cache->doc;
}

static json_slice_t
bytes_slice (GBytes *bytes)
{
  json_slice_t slice = { .data = NULL };
  slice.data = g_bytes_get_data (bytes, &slice.size);
  return slice;
}

/* Stores the edits from the installed document to DOC, to answer fetches with. Drops the oldest
 * steps until the others fit in max_edit_bytes. */
static void
add_step (config_cache_t *cache, uint64_t version, const config_doc_t *doc)
{
  GByteArray *edits = g_byte_array_new ();
  config_edit_diff (bytes_slice (config_doc_text (cache->doc)), bytes_slice (config_doc_text (doc)),
                    edits);
  step_t step = { cache->seal.version, cache->digest, version, g_byte_array_free_to_bytes (edits) };
  g_array_append_val (cache->steps, step);
  cache->step_bytes += g_bytes_get_size (step.edits);

  guint drop_count = 0;
  size_t kept_bytes = cache->step_bytes;
  while (drop_count < cache->steps->len && kept_bytes > cache->max_edit_bytes)
    kept_bytes -= g_bytes_get_size (g_array_index (cache->steps, step_t, drop_count++).edits);
  drop_steps (cache, drop_count);
}

/* Returns whether the version with SEAL and DIGEST may replace the installed one: it must be
 * higher, name the installed digest as the previous one if it is the next version, and have the
 * announced digest. */
static bool
check_successor (const config_cache_t *cache, const version_seal_t *seal,
                 const version_digest_t *digest, anv_error_t *err)
{
  if (seal->version <= cache->seal.version)
    {
      anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_NOT_NEWER,
                     "version %" G_GUINT64_FORMAT
                     " is not above the installed version %" G_GUINT64_FORMAT,
                     seal->version, cache->seal.version);
      return false;
    }
  bool follows = seal->version != cache->seal.version + 1
                 || version_digest_equal (&seal->previous_digest, &cache->digest);
  bool matches_announcement = seal->version != cache->highest_announced.version
                              || version_digest_equal (digest, &cache->highest_announced.digest);
  if (follows && matches_announcement)
    return true;
  anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_DIGEST, "version %" G_GUINT64_FORMAT " %s",
                 seal->version,
                 follows ? "has another digest than announced"
                         : "does not follow from the installed version");
  return false;
}

bool
config_cache_install (config_cache_t *cache, const version_seal_t *seal, config_doc_t *doc,
                      anv_error_t *err)
{
  version_digest_t digest = version_seal_compute_digest (seal);
  if (!check_successor (cache, seal, &digest, err))
    return false;
  if (cache->doc != NULL)
    add_step (cache, seal->version, doc);
  config_doc_t *old = cache->doc;
  cache->doc = config_doc_ref (doc);
  cache->seal = *seal;
  cache->digest = digest;
  g_clear_pointer (&cache->compressed_text, g_bytes_unref);
  config_doc_unref (old);
  return true;
}

/* Installs TEXT if it matches the digest in SEAL and follows the rules of the schema. */
static bool
install_text (config_cache_t *cache, const version_seal_t *seal, GBytes *text, anv_error_t *err)
{
  json_slice_t slice = bytes_slice (text);
  version_digest_t document_digest = version_compute_text_digest (slice.data, slice.size);
  if (!version_digest_equal (&document_digest, &seal->document_digest))
    {
      anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_DIGEST,
                     "version %" G_GUINT64_FORMAT ": the document does not match its digest",
                     seal->version);
      return false;
    }
  config_doc_t *doc = config_doc_new_after (cache->doc, text, seal->schema, err);
  if (doc == NULL)
    {
      anv_error_wrap (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT, "version %" G_GUINT64_FORMAT,
                      seal->version);
      return false;
    }
  bool ok = config_cache_install (cache, seal, doc, err);
  config_doc_unref (doc);
  return ok;
}

static bool
read_and_check_seal (const config_cache_t *cache, wire_reader_t *reader, version_seal_t *seal,
                     anv_error_t *err)
{
  version_seal_read (reader, seal);
  version_digest_t digest = version_seal_compute_digest (seal);
  return wire_reader_finish (reader, err) && check_successor (cache, seal, &digest, err);
}

static bool
receive_full (config_cache_t *cache, wire_reader_t *reader, anv_error_t *err)
{
  version_seal_t seal;
  if (!read_and_check_seal (cache, reader, &seal, err))
    return false;
  size_t size = 0;
  const uint8_t *data = wire_read_bytes (reader, &size);
  GBytes *text = deflate_decompress (data, size, CONFIG_MAX_TEXT_SIZE);
  if (text == NULL)
    {
      anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT,
                     "cannot decompress the document");
      return false;
    }
  bool ok = install_text (cache, &seal, text, err);
  g_bytes_unref (text);
  return ok;
}

static bool
check_base (const config_cache_t *cache, wire_reader_t *reader, anv_error_t *err)
{
  version_digest_t digest;
  uint64_t version = wire_read_uint (reader);
  version_digest_read (reader, &digest);
  if (cache->doc != NULL && version == cache->seal.version
      && version_digest_equal (&digest, &cache->digest))
    return true;
  anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_BASE,
                 "the base of the delta, version %" G_GUINT64_FORMAT
                 ", is not the installed version %" G_GUINT64_FORMAT " or has another digest",
                 version, cache->seal.version);
  return false;
}

static bool
receive_delta (config_cache_t *cache, wire_reader_t *reader, anv_error_t *err)
{
  version_seal_t seal;
  if (!check_base (cache, reader, err) || !read_and_check_seal (cache, reader, &seal, err))
    return false;
  GBytes *text = g_bytes_ref (config_doc_text (cache->doc));
  uint32_t count = wire_read_array (reader);
  for (uint32_t i = 0; i < count && text != NULL; i++)
    {
      size_t size = 0;
      const uint8_t *edits = wire_read_bytes (reader, &size);
      GBytes *next = config_edit_apply (text, edits, size, err);
      g_bytes_unref (text);
      text = next;
    }
  if (text == NULL)
    {
      anv_error_wrap (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT, "cannot apply the delta");
      return false;
    }
  bool ok = wire_reader_finish (reader, err) && install_text (cache, &seal, text, err);
  g_bytes_unref (text);
  return ok;
}

bool
config_cache_receive (config_cache_t *cache, const uint8_t *data, size_t size, anv_error_t *err)
{
  wire_reader_t reader;
  wire_type_t type;
  bool ok = wire_reader_init (&reader, data, size, &type, err);
  if (ok)
    {
      if (type == WIRE_CONFIG_FULL)
        ok = receive_full (cache, &reader, err);
      else if (type == WIRE_CONFIG_DELTA)
        ok = receive_delta (cache, &reader, err);
      else
        ok = false;
      wire_reader_destroy (&reader);
    }
  /* The wire module failed with its own error, or the message is of another type. */
  if (!ok && (err == NULL || err->domain != ANV_ERROR_VERSION))
    anv_error_wrap (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT,
                    "malformed configuration message");
  return ok;
}

config_peer_state_t
config_cache_check_announcement (config_cache_t *cache, const config_announcement_t *announcement)
{
  if (announcement->version >= cache->highest_announced.version)
    cache->highest_announced = *announcement;
  if (announcement->version > cache->seal.version)
    return CONFIG_PEER_NEWER;
  if (announcement->version == cache->seal.version && cache->doc != NULL
      && !version_digest_equal (&announcement->digest, &cache->digest))
    return CONFIG_PEER_CONFLICTS;
  return CONFIG_PEER_NOT_NEWER;
}

size_t
config_cache_choose_newest (const config_cache_t *cache, const config_announcement_t *list,
                            size_t count)
{
  size_t best = count;
  uint64_t version = cache->seal.version;
  for (size_t i = 0; i < count; i++)
    {
      if (list[i].version <= version)
        continue;
      version = list[i].version;
      best = i;
    }
  return best;
}

GBytes *
config_cache_build_fetch (const config_cache_t *cache)
{
  wire_writer_t writer;
  wire_writer_init (&writer, WIRE_CONFIG_FETCH, FETCH_FIELD_COUNT);
  wire_write_uint (&writer, cache->seal.version);
  version_digest_write (&writer, &cache->digest);
  return version_writer_finish (&writer);
}

static void
write_bytes (wire_writer_t *writer, GBytes *bytes)
{
  json_slice_t slice = bytes_slice (bytes);
  wire_write_bytes (writer, slice.data, slice.size);
}

static GBytes *
answer_full (config_cache_t *cache)
{
  wire_writer_t writer;
  if (cache->compressed_text == NULL)
    {
      json_slice_t text = bytes_slice (config_doc_text (cache->doc));
      cache->compressed_text = deflate_compress (text.data, text.size);
    }
  wire_writer_init (&writer, WIRE_CONFIG_FULL, FULL_FIELD_COUNT);
  version_seal_write (&writer, &cache->seal);
  write_bytes (&writer, cache->compressed_text);
  return version_writer_finish (&writer);
}

/* Returns the index of the first step of a delta from BASE, or the number of steps if BASE is no
 * longer held or the delta would not be smaller than the compressed document. */
static guint
find_delta (const config_cache_t *cache, const config_announcement_t *base)
{
  size_t bytes = 0;
  for (guint i = cache->steps->len; i > 0; i--)
    {
      const step_t *step = &g_array_index (cache->steps, step_t, i - 1);
      bytes += g_bytes_get_size (step->edits);
      if (step->from < base->version
          || bytes > g_bytes_get_size (config_doc_text (cache->doc)) / COMPRESSION_RATIO)
        break;
      if (step->from == base->version && version_digest_equal (&step->from_digest, &base->digest))
        return i - 1;
    }
  return cache->steps->len;
}

static GBytes *
answer_delta (const config_cache_t *cache, guint first)
{
  const step_t *base = &g_array_index (cache->steps, step_t, first);
  wire_writer_t writer;
  wire_writer_init (&writer, WIRE_CONFIG_DELTA, DELTA_FIELD_COUNT);
  wire_write_uint (&writer, base->from);
  version_digest_write (&writer, &base->from_digest);
  version_seal_write (&writer, &cache->seal);
  wire_write_array (&writer, cache->steps->len - first);
  for (guint i = first; i < cache->steps->len; i++)
    write_bytes (&writer, g_array_index (cache->steps, step_t, i).edits);
  return version_writer_finish (&writer);
}

GBytes *
config_cache_answer_fetch (config_cache_t *cache, const uint8_t *data, size_t size,
                           anv_error_t *err)
{
  wire_reader_t reader;
  wire_type_t type = WIRE_HELLO;
  config_announcement_t base = { .version = 0 };
  bool ok = wire_reader_init (&reader, data, size, &type, err);
  if (ok)
    {
      base.version = wire_read_uint (&reader);
      version_digest_read (&reader, &base.digest);
      ok = wire_reader_finish (&reader, err) && type == WIRE_CONFIG_FETCH;
      wire_reader_destroy (&reader);
    }
  if (!ok)
    {
      anv_error_wrap (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT, "malformed fetch");
      return NULL;
    }
  if (cache->doc == NULL || base.version >= cache->seal.version)
    return NULL;
  guint first = find_delta (cache, &base);
  return first < cache->steps->len ? answer_delta (cache, first) : answer_full (cache);
}

size_t
config_cache_memory_bytes (const config_cache_t *cache)
{
  size_t size = sizeof (*cache) + cache->step_bytes + cache->steps->len * sizeof (step_t);
  if (cache->compressed_text != NULL)
    size += g_bytes_get_size (cache->compressed_text);
  if (cache->doc != NULL)
    size += g_bytes_get_size (config_doc_text (cache->doc)) + config_doc_memory_bytes (cache->doc);
  return size;
}
