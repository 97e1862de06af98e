#include "version_record.h"

#include <string.h>

static version_digest_t
sha256 (const char *data, size_t size)
{
  version_digest_t digest;
  gsize length = sizeof (digest.bytes);
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (checksum, (const guchar *)data, (gssize)size);
  g_checksum_get_digest (checksum, digest.bytes, &length);
  g_checksum_free (checksum);
  return digest;
}

version_digest_t
version_compute_text_digest (const char *text, size_t size)
{
  return sha256 (text, size);
}

version_digest_t
version_seal_compute_digest (const version_seal_t *seal)
{
  char previous[VERSION_HEX_SIZE];
  char record[VERSION_HEX_SIZE];
  char document[VERSION_HEX_SIZE];
  g_autofree char *text
      = g_strdup_printf ("anvillb-version\n%u %" G_GUINT64_FORMAT "\n%s\n%s\n%s\n", seal->schema,
                         seal->version, version_digest_hex (&seal->previous_digest, previous),
                         version_digest_hex (&seal->record_digest, record),
                         version_digest_hex (&seal->document_digest, document));
  return sha256 (text, strlen (text));
}

static void
append_text (GString *out, const char *name, const char *text)
{
  g_string_append_printf (out, "%s %zu:", name, strlen (text));
  g_string_append (out, text);
  g_string_append_c (out, '\n');
}

version_seal_t
version_record_make_seal (const version_record_t *record, const version_digest_t *previous)
{
  version_seal_t seal = { .schema = record->schema, .version = record->version };
  GString *text = g_string_new (NULL);
  g_string_printf (text, "schema %u\nversion %" G_GUINT64_FORMAT "\nwall_ms %" G_GINT64_FORMAT "\n",
                   record->schema, record->version, record->wall_ms);
  append_text (text, "patch_id", record->patch_id);
  append_text (text, "operator", record->operator_name);
  append_text (text, "reason", record->reason);
  append_text (text, "patch", record->patch);
  seal.record_digest = sha256 (text->str, text->len);
  seal.previous_digest = *previous;
  seal.document_digest = record->document_digest;
  g_string_free (text, TRUE);
  return seal;
}

bool
version_record_verify (const version_record_t *record, uint64_t number,
                       const version_digest_t *previous, anv_error_t *err)
{
  if (record->version != number)
    {
      anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_DIGEST,
                     "version %" G_GUINT64_FORMAT " is in the place of version %" G_GUINT64_FORMAT,
                     record->version, number);
      return false;
    }
  version_seal_t seal = version_record_make_seal (record, previous);
  version_digest_t digest = version_seal_compute_digest (&seal);
  if (version_digest_equal (&digest, &record->digest))
    return true;
  anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_DIGEST,
                 "version %" G_GUINT64_FORMAT ": the digest does not match the record", number);
  return false;
}

bool
version_digest_equal (const version_digest_t *a, const version_digest_t *b)
{
  return memcmp (a->bytes, b->bytes, sizeof (a->bytes)) == 0;
}

const char *
version_digest_hex (const version_digest_t *digest, char hex[VERSION_HEX_SIZE])
{
  static const char digits[] = "0123456789abcdef";
  for (size_t i = 0; i < VERSION_DIGEST_SIZE; i++)
    {
      hex[2 * i] = digits[digest->bytes[i] >> 4];
      hex[2 * i + 1] = digits[digest->bytes[i] & 0x0f];
    }
  hex[VERSION_HEX_SIZE - 1] = '\0';
  return hex;
}

bool
version_digest_parse (version_digest_t *digest, const char *hex)
{
  if (strlen (hex) != VERSION_HEX_SIZE - 1)
    return false;
  for (size_t i = 0; i < VERSION_DIGEST_SIZE; i++)
    {
      int high = g_ascii_xdigit_value (hex[2 * i]);
      int low = g_ascii_xdigit_value (hex[2 * i + 1]);
      if (high < 0 || low < 0)
        return false;
      digest->bytes[i] = (uint8_t)(high * 16 + low);
    }
  return true;
}

void
version_record_free (version_record_t *record)
{
  if (record == NULL)
    return;
  g_free (record->patch_id);
  g_free (record->operator_name);
  g_free (record->reason);
  g_free (record->patch);
  g_free (record);
}

version_record_t *
version_record_copy (const version_record_t *record)
{
  version_record_t *copy = g_new0 (version_record_t, 1);
  *copy = *record;
  copy->patch_id = g_strdup (record->patch_id);
  copy->operator_name = g_strdup (record->operator_name);
  copy->reason = g_strdup (record->reason);
  copy->patch = g_strdup (record->patch);
  return copy;
}
