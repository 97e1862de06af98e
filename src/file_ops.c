#include "file_ops.h"

#include <string.h>

#define READ_CHUNK_SIZE (256U * 1024)

bool
file_read_handle (file_store_t *store, int handle, GByteArray *out, anv_error_t *err)
{
  uint64_t offset = 0;
  size_t read_size = 0;
  do
    {
      guint used = out->len;
      g_byte_array_set_size (out, used + READ_CHUNK_SIZE);
      bool ok = store->ops->read (store, handle, offset, out->data + used, READ_CHUNK_SIZE,
                                  &read_size, err);
      g_byte_array_set_size (out, used + (guint)(ok ? read_size : 0));
      if (!ok)
        return false;
      offset += read_size;
    }
  while (read_size == READ_CHUNK_SIZE);
  return true;
}

bool
file_read_all (file_store_t *store, const char *name, GByteArray *out, anv_error_t *err)
{
  int handle = -1;
  if (!store->ops->open (store, name, false, &handle, err))
    return false;
  bool ok = file_read_handle (store, handle, out, err);
  store->ops->close (store, handle);
  return ok;
}

static bool
write_synced (file_store_t *store, const char *name, const uint8_t *data, size_t size,
              anv_error_t *err)
{
  int handle = -1;
  if (!store->ops->open (store, name, true, &handle, err))
    return false;
  bool ok = store->ops->truncate (store, handle, 0, err)
            && store->ops->append (store, handle, data, size, err)
            && store->ops->sync (store, handle, err);
  store->ops->close (store, handle);
  return ok;
}

bool
file_replace (file_store_t *store, const char *name, const uint8_t *data, size_t size,
              anv_error_t *err)
{
  char *temp_name = g_strconcat (name, ".tmp", NULL);
  bool ok = write_synced (store, temp_name, data, size, err);
  if (!ok)
    store->ops->remove (store, temp_name, NULL);
  ok = ok && store->ops->rename (store, temp_name, name, err) && store->ops->sync_dir (store, err);
  g_free (temp_name);
  return ok;
}

bool
file_remove_synced (file_store_t *store, const char *name, anv_error_t *err)
{
  return store->ops->remove (store, name, err) && store->ops->sync_dir (store, err);
}

void
bytes_put_u32 (GByteArray *out, uint32_t value)
{
  uint32_t big_endian = GUINT32_TO_BE (value);
  g_byte_array_append (out, (const guint8 *)&big_endian, sizeof (big_endian));
}

void
bytes_put_u64 (GByteArray *out, uint64_t value)
{
  uint64_t big_endian = GUINT64_TO_BE (value);
  g_byte_array_append (out, (const guint8 *)&big_endian, sizeof (big_endian));
}

uint32_t
bytes_get_u32 (const uint8_t *data)
{
  uint32_t big_endian = 0;
  memcpy (&big_endian, data, sizeof (big_endian));
  return GUINT32_FROM_BE (big_endian);
}

uint64_t
bytes_get_u64 (const uint8_t *data)
{
  uint64_t big_endian = 0;
  memcpy (&big_endian, data, sizeof (big_endian));
  return GUINT64_FROM_BE (big_endian);
}
