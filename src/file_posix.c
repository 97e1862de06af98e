#include "file_posix.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "list.h"

#define DIRECTORY_MODE 0700
#define FILE_MODE 0600

static file_posix_t *
from_store (file_store_t *store)
{
  return CONTAINER_OF (store, file_posix_t, store);
}

static bool
set_errno_error (anv_error_t *err, const char *action, const char *name)
{
  int error_number = errno;
  storage_error_t code = STORAGE_ERROR_IO;
  if (error_number == ENOSPC || error_number == EDQUOT)
    code = STORAGE_ERROR_FULL;
  if (error_number == ENOENT)
    code = STORAGE_ERROR_NOT_FOUND;
  anv_error_set (err, ANV_ERROR_STORAGE, code, "cannot %s %s: %s", action, name,
                 strerror (error_number));
  return false;
}

static bool
posix_open (file_store_t *store, const char *name, bool create, int *handle, anv_error_t *err)
{
  int flags = O_RDWR | O_APPEND | O_CLOEXEC | (create ? O_CREAT : 0);
  *handle = openat (from_store (store)->dir_fd, name, flags, FILE_MODE);
  return *handle >= 0 || set_errno_error (err, "open", name);
}

static void
posix_close (file_store_t *store, int handle)
{
  close (handle);
}

static bool
posix_append (file_store_t *store, int handle, const uint8_t *data, size_t size, anv_error_t *err)
{
  while (size > 0)
    {
      ssize_t written = write (handle, data, size);
      if (written < 0 && errno == EINTR)
        continue;
      if (written < 0)
        return set_errno_error (err, "append to", "file");
      data += written;
      size -= (size_t)written;
    }
  return true;
}

static bool
posix_sync (file_store_t *store, int handle, anv_error_t *err)
{
  return fdatasync (handle) == 0 || set_errno_error (err, "sync", "file");
}

static bool
posix_read (file_store_t *store, int handle, uint64_t offset, uint8_t *buffer, size_t size,
            size_t *read_size, anv_error_t *err)
{
  *read_size = 0;
  while (*read_size < size)
    {
      ssize_t read_count
          = pread (handle, buffer + *read_size, size - *read_size, (off_t)(offset + *read_size));
      if (read_count < 0 && errno == EINTR)
        continue;
      if (read_count < 0)
        return set_errno_error (err, "read", "file");
      if (read_count == 0)
        break;
      *read_size += (size_t)read_count;
    }
  return true;
}

static bool
posix_truncate (file_store_t *store, int handle, uint64_t size, anv_error_t *err)
{
  return ftruncate (handle, (off_t)size) == 0 || set_errno_error (err, "truncate", "file");
}

static bool
posix_rename (file_store_t *store, const char *from, const char *to, anv_error_t *err)
{
  int dir_fd = from_store (store)->dir_fd;
  return renameat (dir_fd, from, dir_fd, to) == 0 || set_errno_error (err, "rename", from);
}

static bool
posix_remove (file_store_t *store, const char *name, anv_error_t *err)
{
  return unlinkat (from_store (store)->dir_fd, name, 0) == 0
         || set_errno_error (err, "remove", name);
}

static bool
posix_list (file_store_t *store, GPtrArray *names, anv_error_t *err)
{
  int fd = openat (from_store (store)->dir_fd, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  DIR *dir = fd >= 0 ? fdopendir (fd) : NULL;
  if (dir == NULL)
    {
      set_errno_error (err, "list", "directory");
      if (fd >= 0)
        close (fd);
      return false;
    }
  errno = 0;
  for (struct dirent *entry = readdir (dir); entry != NULL; entry = readdir (dir))
    {
      if (entry->d_name[0] != '.')
        g_ptr_array_add (names, g_strdup (entry->d_name));
    }
  bool ok = errno == 0 || set_errno_error (err, "list", "directory");
  closedir (dir);
  return ok;
}

static bool
posix_sync_dir (file_store_t *store, anv_error_t *err)
{
  return fsync (from_store (store)->dir_fd) == 0 || set_errno_error (err, "sync", "directory");
}

static const file_ops_t posix_ops = {
  .open = posix_open,
  .close = posix_close,
  .append = posix_append,
  .sync = posix_sync,
  .read = posix_read,
  .truncate = posix_truncate,
  .rename = posix_rename,
  .remove = posix_remove,
  .list = posix_list,
  .sync_dir = posix_sync_dir,
};

bool
file_posix_init (file_posix_t *posix, const char *path, anv_error_t *err)
{
  posix->store.ops = &posix_ops;
  if (mkdir (path, DIRECTORY_MODE) != 0 && errno != EEXIST)
    return set_errno_error (err, "create", path);
  posix->dir_fd = open (path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (posix->dir_fd < 0)
    return set_errno_error (err, "open", path);
  if (flock (posix->dir_fd, LOCK_EX | LOCK_NB) == 0)
    return true;
  close (posix->dir_fd);
  anv_error_set (err, ANV_ERROR_STORAGE, STORAGE_ERROR_LOCKED,
                 "data directory %s is in use by another process", path);
  return false;
}

void
file_posix_destroy (file_posix_t *posix)
{
  close (posix->dir_fd);
}
