#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* team_keys - digests of the keys of teams, and the table that finds a team by one.
 *
 * A key is a secret. Documents and entries hold its digest only: the first TEAM_KEY_DIGEST_SIZE
 * bytes of its SHA-256, as TEAM_KEY_HEX_SIZE lower-case hexadecimal digits in a document. Keys are
 * drawn at random by the operator, so that a digest needs no salt and the time of a comparison
 * gives no part of a key away. */

#define TEAM_KEY_DIGEST_SIZE 16
#define TEAM_KEY_HEX_SIZE (2 * TEAM_KEY_DIGEST_SIZE)

typedef struct
{
  uint8_t bytes[TEAM_KEY_DIGEST_SIZE];
} team_key_digest_t;

/* One key in a table. */
typedef struct
{
  team_key_digest_t digest;
  uint32_t team; /* index of the team, chosen by the owner of the table */
} team_key_t;

/* Returns the digest of the key of SIZE bytes at KEY. */
team_key_digest_t team_key_compute_digest (const char *key, size_t size);

/* Writes DIGEST in hexadecimal to HEX, with a terminating NUL. */
void team_key_format_digest (const team_key_digest_t *digest, char hex[TEAM_KEY_HEX_SIZE + 1]);

/* Parses the SIZE bytes at HEX. Returns false for all but TEAM_KEY_HEX_SIZE lower-case digits. */
bool team_key_parse_digest (team_key_digest_t *digest, const char *hex, size_t size);

/* Sorts KEYS, an array of team_key_t, by digest. Returns the index of a key whose digest is also
 * that of the key before it, or 0 if all differ. */
size_t team_keys_sort (GArray *keys);

/* Returns the key with DIGEST of KEYS, which are sorted, or NULL. Logarithmic in the number of
 * keys. */
const team_key_t *team_keys_find (const GArray *keys, const team_key_digest_t *digest);
