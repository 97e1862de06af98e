#include "team_keys.h"

#include <stdlib.h>
#include <string.h>

team_key_digest_t
team_key_compute_digest (const char *key, size_t size)
{
  guint8 bytes[32];
  gsize byte_count = sizeof (bytes);
  team_key_digest_t digest;
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (checksum, (const guchar *)key, (gssize)size);
  g_checksum_get_digest (checksum, bytes, &byte_count);
  g_checksum_free (checksum);
  memcpy (digest.bytes, bytes, sizeof (digest.bytes));
  return digest;
}

void
team_key_format_digest (const team_key_digest_t *digest, char hex[TEAM_KEY_HEX_SIZE + 1])
{
  for (size_t i = 0; i < TEAM_KEY_DIGEST_SIZE; i++)
    g_snprintf (hex + 2 * i, 3, "%02x", digest->bytes[i]);
}

bool
team_key_parse_digest (team_key_digest_t *digest, const char *hex, size_t size)
{
  if (size != TEAM_KEY_HEX_SIZE)
    return false;
  for (size_t i = 0; i < size; i++)
    {
      if (!g_ascii_isxdigit (hex[i]) || g_ascii_isupper (hex[i]))
        return false;
    }
  for (size_t i = 0; i < TEAM_KEY_DIGEST_SIZE; i++)
    {
      int high = g_ascii_xdigit_value (hex[2 * i]);
      digest->bytes[i] = (uint8_t)(16 * high + g_ascii_xdigit_value (hex[2 * i + 1]));
    }
  return true;
}

static int
compare_keys (const void *a, const void *b)
{
  const team_key_t *left = a;
  const team_key_t *right = b;
  return memcmp (left->digest.bytes, right->digest.bytes, TEAM_KEY_DIGEST_SIZE);
}

size_t
team_keys_sort (GArray *keys)
{
  g_array_sort (keys, compare_keys);
  for (guint i = 1; i < keys->len; i++)
    {
      if (compare_keys (&g_array_index (keys, team_key_t, i - 1),
                        &g_array_index (keys, team_key_t, i))
          == 0)
        return i;
    }
  return 0;
}

const team_key_t *
team_keys_find (const GArray *keys, const team_key_digest_t *digest)
{
  team_key_t wanted = { .digest = *digest };
  if (keys->len == 0)
    return NULL;
  return bsearch (&wanted, keys->data, keys->len, sizeof (team_key_t), compare_keys);
}
