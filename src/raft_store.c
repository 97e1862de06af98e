#include "raft_store.h"

#include <stdio.h>
#include <string.h>
#include <zlib.h>

#define FILE_NAME_SIZE 128
#define CHECKSUM_SIZE 4

static const uint8_t meta_magic[8] = { 'A', 'N', 'V', 'M', 'E', 'T', 'A', '1' };
static const uint8_t snapshot_magic[8] = { 'A', 'N', 'V', 'S', 'N', 'A', 'P', '1' };

static const uint8_t commit_magic[8] = { 'A', 'N', 'V', 'C', 'O', 'M', 'M', '1' };

#define COMMIT_SIZE (sizeof (commit_magic) + sizeof (uint64_t) + CHECKSUM_SIZE)
#define META_SIZE (sizeof (meta_magic) + 3 * sizeof (uint64_t) + CHECKSUM_SIZE)
#define SNAPSHOT_HEADER_SIZE (sizeof (snapshot_magic) + 2 * sizeof (uint64_t))
#define CONFIG_HEADER_SIZE 12 /* founder id, number of members */
#define MEMBER_HEADER_SIZE 10 /* id, voter, length of the name */

static void
append_checksum (GByteArray *file)
{
  bytes_put_u32 (file, (uint32_t)crc32 (0, file->data, file->len));
}

/* Returns whether FILE has MAGIC, at least MIN_SIZE bytes and a correct checksum. */
static bool
is_intact (const uint8_t *file, size_t size, const uint8_t *magic, size_t min_size)
{
  if (size < min_size || memcmp (file, magic, sizeof (meta_magic)) != 0)
    return false;
  size_t content_size = size - CHECKSUM_SIZE;
  return bytes_get_u32 (file + content_size) == (uint32_t)crc32 (0, file, (uInt)content_size);
}

static void
format_file_name (const char *group, const char *kind, char *buffer)
{
  snprintf (buffer, FILE_NAME_SIZE, "%s-%s", group, kind);
}

static bool
set_corrupt_error (const char *name, const char *what, anv_error_t *err)
{
  anv_error_set (err, ANV_ERROR_STORAGE, STORAGE_ERROR_CORRUPT, "%s: %s at byte 0", name, what);
  return false;
}

bool
raft_meta_save (file_store_t *store, const char *name, const raft_meta_t *meta, anv_error_t *err)
{
  char file_name[FILE_NAME_SIZE];
  GByteArray *file = g_byte_array_new ();
  format_file_name (name, "meta", file_name);
  g_byte_array_append (file, meta_magic, sizeof (meta_magic));
  bytes_put_u64 (file, meta->id);
  bytes_put_u64 (file, meta->term);
  bytes_put_u64 (file, meta->vote);
  append_checksum (file);
  bool ok = file_replace (store, file_name, file->data, file->len, err);
  g_byte_array_free (file, TRUE);
  return ok;
}

/* Stores in *FOUND whether the directory has a file of the group other than temporary ones. */
static bool
has_group_files (file_store_t *store, const char *name, bool *found, anv_error_t *err)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  size_t length = strlen (name);
  bool ok = store->ops->list (store, names, err);
  *found = false;
  for (guint i = 0; ok && i < names->len; i++)
    {
      const char *file_name = g_ptr_array_index (names, i);
      bool temporary = g_str_has_suffix (file_name, ".tmp");
      *found
          = *found
            || (!temporary && strncmp (file_name, name, length) == 0 && file_name[length] == '-');
    }
  g_ptr_array_free (names, TRUE);
  return ok;
}

static bool
create_meta (file_store_t *store, const char *name, uint64_t new_id, raft_meta_t *meta,
             anv_error_t *err)
{
  bool found = false;
  if (!has_group_files (store, name, &found, err))
    return false;
  if (found)
    return set_corrupt_error (name, "files of the group without its meta file", err);
  *meta = (raft_meta_t){ .id = new_id };
  return raft_meta_save (store, name, meta, err);
}

bool
raft_meta_load (file_store_t *store, const char *name, uint64_t new_id, raft_meta_t *meta,
                anv_error_t *err)
{
  char file_name[FILE_NAME_SIZE];
  anv_error_t local = { 0 };
  GByteArray *file = g_byte_array_new ();
  format_file_name (name, "meta", file_name);

  bool ok = file_read_all (store, file_name, file, &local);
  if (!ok && local.code == STORAGE_ERROR_NOT_FOUND)
    ok = create_meta (store, name, new_id, meta, &local);
  else if (ok && (file->len != META_SIZE || !is_intact (file->data, file->len, meta_magic, 0)))
    ok = set_corrupt_error (file_name, "damaged file", &local);
  else if (ok)
    {
      const uint8_t *fields = file->data + sizeof (meta_magic);
      meta->id = bytes_get_u64 (fields);
      meta->term = bytes_get_u64 (fields + sizeof (uint64_t));
      meta->vote = bytes_get_u64 (fields + 2 * sizeof (uint64_t));
      ok = raft_meta_save (store, name, meta, &local);
    }
  g_byte_array_free (file, TRUE);
  if (!ok && err != NULL)
    *err = local;
  return ok;
}

void
raft_config_encode (const raft_config_t *config, GByteArray *out)
{
  bytes_put_u64 (out, config->founder_id);
  bytes_put_u32 (out, (uint32_t)config->count);
  for (size_t i = 0; i < config->count; i++)
    {
      const raft_member_t *member = &config->members[i];
      uint8_t voter_and_length[2] = { member->voter, (uint8_t)strlen (member->name) };
      bytes_put_u64 (out, member->id);
      g_byte_array_append (out, voter_and_length, sizeof (voter_and_length));
      g_byte_array_append (out, (const guint8 *)member->name, voter_and_length[1]);
    }
}

bool
raft_config_decode (const uint8_t *data, size_t size, raft_config_t *config, size_t *used)
{
  memset (config, 0, sizeof (*config));
  if (size < CONFIG_HEADER_SIZE)
    return false;
  uint32_t count = bytes_get_u32 (data + sizeof (uint64_t));
  size_t offset = CONFIG_HEADER_SIZE;
  if (count > RAFT_MAX_MEMBERS)
    return false;
  config->founder_id = bytes_get_u64 (data);
  for (config->count = 0; config->count < count; config->count++)
    {
      raft_member_t *member = &config->members[config->count];
      if (size - offset < MEMBER_HEADER_SIZE)
        return false;
      size_t length = data[offset + MEMBER_HEADER_SIZE - 1];
      member->id = bytes_get_u64 (data + offset);
      member->voter = data[offset + sizeof (uint64_t)] != 0;
      offset += MEMBER_HEADER_SIZE;
      if (length >= RAFT_NAME_SIZE || size - offset < length)
        return false;
      memcpy (member->name, data + offset, length);
      offset += length;
    }
  *used = offset;
  return true;
}

void
raft_snapshot_encode (const raft_snapshot_t *snapshot, const uint8_t *data, size_t size,
                      GByteArray *out)
{
  g_byte_array_append (out, snapshot_magic, sizeof (snapshot_magic));
  bytes_put_u64 (out, snapshot->index);
  bytes_put_u64 (out, snapshot->term);
  raft_config_encode (&snapshot->config, out);
  if (size > 0)
    g_byte_array_append (out, data, (guint)size);
  append_checksum (out);
}

bool
raft_snapshot_decode (const uint8_t *file, size_t file_size, raft_snapshot_t *snapshot,
                      const uint8_t **data, size_t *size)
{
  size_t used = 0;
  if (!is_intact (file, file_size, snapshot_magic, SNAPSHOT_HEADER_SIZE + CHECKSUM_SIZE))
    return false;
  snapshot->index = bytes_get_u64 (file + sizeof (snapshot_magic));
  snapshot->term = bytes_get_u64 (file + sizeof (snapshot_magic) + sizeof (uint64_t));
  const uint8_t *rest = file + SNAPSHOT_HEADER_SIZE;
  size_t rest_size = file_size - SNAPSHOT_HEADER_SIZE - CHECKSUM_SIZE;
  if (!raft_config_decode (rest, rest_size, &snapshot->config, &used))
    return false;
  *data = rest + used;
  *size = rest_size - used;
  return true;
}

bool
raft_snapshot_write (file_store_t *store, const char *name, const GByteArray *file,
                     anv_error_t *err)
{
  char file_name[FILE_NAME_SIZE];
  format_file_name (name, "snapshot", file_name);
  return file_replace (store, file_name, file->data, file->len, err);
}

bool
raft_snapshot_read (file_store_t *store, const char *name, GByteArray *file, anv_error_t *err)
{
  char file_name[FILE_NAME_SIZE];
  anv_error_t local = { 0 };
  format_file_name (name, "snapshot", file_name);
  if (file_read_all (store, file_name, file, &local) || local.code == STORAGE_ERROR_NOT_FOUND)
    return true;
  if (err != NULL)
    *err = local;
  return false;
}

bool
raft_commit_save (file_store_t *store, const char *name, uint64_t index, anv_error_t *err)
{
  char file_name[FILE_NAME_SIZE];
  GByteArray *file = g_byte_array_new ();
  format_file_name (name, "commit", file_name);
  g_byte_array_append (file, commit_magic, sizeof (commit_magic));
  bytes_put_u64 (file, index);
  append_checksum (file);
  bool ok = file_replace (store, file_name, file->data, file->len, err);
  g_byte_array_free (file, TRUE);
  return ok;
}

bool
raft_commit_load (file_store_t *store, const char *name, uint64_t *index, anv_error_t *err)
{
  char file_name[FILE_NAME_SIZE];
  anv_error_t local = { 0 };
  GByteArray *file = g_byte_array_new ();
  format_file_name (name, "commit", file_name);

  *index = 0;
  bool ok = file_read_all (store, file_name, file, &local);
  if (ok && (file->len != COMMIT_SIZE || !is_intact (file->data, file->len, commit_magic, 0)))
    ok = set_corrupt_error (file_name, "damaged file", &local);
  else if (ok)
    *index = bytes_get_u64 (file->data + sizeof (commit_magic));
  g_byte_array_free (file, TRUE);
  if (ok || local.code == STORAGE_ERROR_NOT_FOUND)
    return true;
  if (err != NULL)
    *err = local;
  return false;
}
