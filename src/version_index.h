#pragma once

#include <stddef.h>
#include <stdint.h>

/* version_index - finds candidate versions by a hash of their patch_id.
 *
 * Open addressing with 12 bytes a slot, because a table of strings would outgrow the compressed
 * records. A candidate has to be compared with its record. */

typedef struct
{
  uint32_t *hashes;
  uint64_t *versions; /* 0: empty slot */
  size_t mask;
  size_t count;
} version_index_t;

/* Called for each candidate; returns whether it is the wanted one. */
typedef int (*version_index_match_t) (void *data, uint64_t version);

void version_index_init (version_index_t *index);
void version_index_destroy (version_index_t *index);
void version_index_add (version_index_t *index, const char *patch_id, uint64_t version);

/* Returns the first candidate for PATCH_ID that MATCH accepts, or 0. */
uint64_t version_index_find (const version_index_t *index, const char *patch_id,
                             version_index_match_t match, void *data);

size_t version_index_memory (const version_index_t *index);
