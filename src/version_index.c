#include "version_index.h"

#include <glib.h>

#define INITIAL_SLOT_COUNT 64

static void
allocate (version_index_t *index, size_t slot_count)
{
  index->hashes = g_new0 (uint32_t, slot_count);
  index->versions = g_new0 (uint64_t, slot_count);
  index->mask = slot_count - 1;
}

void
version_index_init (version_index_t *index)
{
  allocate (index, INITIAL_SLOT_COUNT);
  index->count = 0;
}

void
version_index_destroy (version_index_t *index)
{
  g_free (index->hashes);
  g_free (index->versions);
}

static void
insert (version_index_t *index, uint32_t hash, uint64_t version)
{
  size_t slot = hash & index->mask;
  while (index->versions[slot] != 0)
    slot = (slot + 1) & index->mask;
  index->hashes[slot] = hash;
  index->versions[slot] = version;
}

static void
grow (version_index_t *index)
{
  version_index_t old = *index;
  allocate (index, 2 * (old.mask + 1));
  for (size_t slot = 0; slot <= old.mask; slot++)
    {
      if (old.versions[slot] != 0)
        insert (index, old.hashes[slot], old.versions[slot]);
    }
  version_index_destroy (&old);
}

void
version_index_add (version_index_t *index, const char *patch_id, uint64_t version)
{
  if (4 * (index->count + 1) > 3 * (index->mask + 1))
    grow (index);
  insert (index, g_str_hash (patch_id), version);
  index->count++;
}

uint64_t
version_index_find (const version_index_t *index, const char *patch_id, version_index_match_t match,
                    void *data)
{
  uint32_t hash = g_str_hash (patch_id);
  for (size_t slot = hash & index->mask; index->versions[slot] != 0;
       slot = (slot + 1) & index->mask)
    {
      if (index->hashes[slot] == hash && match (data, index->versions[slot]))
        return index->versions[slot];
    }
  return 0;
}

size_t
version_index_memory_bytes (const version_index_t *index)
{
  return (index->mask + 1) * (sizeof (uint32_t) + sizeof (uint64_t));
}
