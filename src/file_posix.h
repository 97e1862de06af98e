#pragma once

#include "file_ops.h"

/* file_posix - file_ops on a directory of the file system.
 *
 * The directory is locked (flock) while it is open, so that two processes cannot use it at once. */

typedef struct
{
  file_store_t store;
  int dir_fd;
} file_posix_t;

/* Opens PATH, which is created with mode 0700 if it is missing (its parent must exist). */
bool file_posix_init (file_posix_t *posix, const char *path, anv_error_t *err);
void file_posix_destroy (file_posix_t *posix);
