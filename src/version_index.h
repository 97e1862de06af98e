#pragma once

#include <stddef.h>
#include <stdint.h>

/* version_index - hash table from patch_id to version.
 *
 * Open addressing with 12 bytes a slot. The table stores hashes only, because the strings would
 * take more memory than the compressed records. The caller therefore compares each candidate with
 * its record. */

typedef struct
{
  uint32_t *hashes;
  uint64_t *versions; /* 0 in an empty slot */
  size_t mask;        /* number of slots, a power of two, minus 1 */
  size_t count;
} version_index_t;

/* Called for each version with a matching hash. Returns whether it has the wanted patch_id. */
typedef int (*version_index_match_t) (void *data, uint64_t version);

void version_index_init (version_index_t *index);
void version_index_destroy (version_index_t *index);
void version_index_add (version_index_t *index, const char *patch_id, uint64_t version);

/* Returns the first candidate for PATCH_ID that MATCH accepts, or 0. */
uint64_t version_index_find (const version_index_t *index, const char *patch_id,
                             version_index_match_t match, void *data);

/* Returns the memory of the table in bytes. */
size_t version_index_memory_bytes (const version_index_t *index);
