/* disk_faults - library to preload into a program, which makes its calls to the disk fail.
 *
 * The environment variable DISK_FAULTS names a file that a test writes while the program runs. It
 * holds words such as "write=full sync=io truncate=full"; an empty or missing file injects nothing.
 * Calls: write, sync (of files), syncdir, create (opening with O_CREAT), truncate, rename. Faults:
 * "full" (ENOSPC), "io" (EIO), "part" (of write: half of the bytes are written, then ENOSPC), and
 * "hang" (waits until the word is gone). Only files below the directory DISK_FAULTS_IN are
 * affected. */

#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#define MAX_PATH_SIZE 4096
#define MAX_SCHEDULE_SIZE 512
#define HANG_CHECK_NS 10000000L

/* Returns whether FD, or the directory FD, is below the affected directory. */
static bool
is_affected (int fd)
{
  char link[64];
  char path[MAX_PATH_SIZE];
  const char *directory = getenv ("DISK_FAULTS_IN");
  snprintf (link, sizeof (link), "/proc/self/fd/%d", fd);
  ssize_t size = directory != NULL ? readlink (link, path, sizeof (path) - 1) : -1;
  if (size < 0)
    return false;
  path[size] = '\0';
  return strncmp (path, directory, strlen (directory)) == 0;
}

/* Stores the fault of CALL ("write=") in FAULT. Returns whether there is one. */
static bool
read_fault (const char *call, char fault[16])
{
  char schedule[MAX_SCHEDULE_SIZE];
  const char *path = getenv ("DISK_FAULTS");
  int fd = path != NULL ? open (path, O_RDONLY | O_CLOEXEC) : -1;
  if (fd < 0)
    return false;
  ssize_t size = read (fd, schedule, sizeof (schedule) - 1);
  close (fd);
  schedule[size > 0 ? size : 0] = '\0';
  const char *word = strstr (schedule, call);
  return word != NULL && sscanf (word + strlen (call), "%15[a-z]", fault) == 1;
}

/* Returns whether CALL on FD is to fail, with errno set. IS_PART tells whether a write first writes
 * a part. */
static bool
fails (int fd, const char *call, bool *is_part)
{
  char fault[16];
  *is_part = false;
  int saved_errno = errno;
  while (is_affected (fd) && read_fault (call, fault))
    {
      if (strcmp (fault, "hang") == 0)
        {
          nanosleep (&(struct timespec){ .tv_nsec = HANG_CHECK_NS }, NULL);
          continue;
        }
      *is_part = strcmp (fault, "part") == 0;
      errno = strcmp (fault, "io") == 0 ? EIO : ENOSPC;
      return true;
    }
  errno = saved_errno;
  return false;
}

#define NEXT(name) ((typeof (&name))dlsym (RTLD_NEXT, #name))

ssize_t
write (int fd, const void *data, size_t size)
{
  bool is_part = false;
  if (!fails (fd, "write=", &is_part))
    return NEXT (write) (fd, data, size);
  if (is_part && size > 1)
    return NEXT (write) (fd, data, size / 2);
  return -1;
}

int
fdatasync (int fd)
{
  bool is_part = false;
  return fails (fd, "sync=", &is_part) ? -1 : NEXT (fdatasync) (fd);
}

int
fsync (int fd)
{
  bool is_part = false;
  return fails (fd, "syncdir=", &is_part) ? -1 : NEXT (fsync) (fd);
}

int
ftruncate (int fd, off_t size)
{
  bool is_part = false;
  return fails (fd, "truncate=", &is_part) ? -1 : NEXT (ftruncate) (fd, size);
}

int
renameat (int from_fd, const char *from, int to_fd, const char *to)
{
  bool is_part = false;
  return fails (from_fd, "rename=", &is_part) ? -1 : NEXT (renameat) (from_fd, from, to_fd, to);
}

int
openat (int fd, const char *path, int flags, ...)
{
  bool is_part = false;
  va_list arguments;
  va_start (arguments, flags);
  mode_t mode = (flags & O_CREAT) != 0 ? va_arg (arguments, mode_t) : 0;
  va_end (arguments);
  if ((flags & O_CREAT) != 0 && fails (fd, "create=", &is_part))
    return -1;
  return NEXT (openat) (fd, path, flags, mode);
}
