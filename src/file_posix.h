#pragma once

#include "file_ops.h"

/* file_posix - file_ops for a directory of the file system.
 *
 * The directory is locked with flock() while it is open, so that no other process can use it. */

typedef struct
{
  file_store_t store;
  int dir_fd;
} file_posix_t;

/* Opens and locks the directory PATH. Creates it with mode 0700 if it is missing; its parent must
 * exist. Returns false with ANV_ERROR_STORAGE on failure. */
bool file_posix_init (file_posix_t *posix, const char *path, anv_error_t *err);
void file_posix_destroy (file_posix_t *posix);
