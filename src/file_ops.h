#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "anv_error.h"

/* file_ops - interface to the files of one data directory.
 *
 * Names are plain file names without a slash. Data is durable after sync(); a created, renamed or
 * removed name is durable after sync_dir(). After a failed sync() the content on disk is unknown,
 * and a later successful sync() of the same file does not prove the earlier writes durable. */

typedef enum
{
  STORAGE_ERROR_IO = 1,
  STORAGE_ERROR_FULL,      /* no space left; the file may contain a part of the data */
  STORAGE_ERROR_NOT_FOUND, /* no file of that name */
  STORAGE_ERROR_LOCKED,    /* another process uses the directory */
  STORAGE_ERROR_CORRUPT,   /* stored data is damaged or inconsistent */
  STORAGE_ERROR_FAILED,    /* rejected because of an earlier failure */
  STORAGE_ERROR_TOO_LARGE,
} storage_error_t;

typedef struct file_ops file_ops_t;

/* A data directory. Implementations embed it as their first field. */
typedef struct
{
  const file_ops_t *ops;
} file_store_t;

/* All functions except close() return false with ANV_ERROR_STORAGE on failure. */
struct file_ops
{
  /* Opens NAME for reading and appending. Creates a missing file if CREATE, else fails. */
  bool (*open) (file_store_t *store, const char *name, bool create, int *handle, anv_error_t *err);
  void (*close) (file_store_t *store, int handle);

  bool (*append) (file_store_t *store, int handle, const uint8_t *data, size_t size,
                  anv_error_t *err);
  bool (*sync) (file_store_t *store, int handle, anv_error_t *err);

  /* Reads up to SIZE bytes at OFFSET; *READ_SIZE is less than SIZE only at the end of the file. */
  bool (*read) (file_store_t *store, int handle, uint64_t offset, uint8_t *buffer, size_t size,
                size_t *read_size, anv_error_t *err);
  bool (*truncate) (file_store_t *store, int handle, uint64_t size, anv_error_t *err);

  bool (*rename) (file_store_t *store, const char *from, const char *to, anv_error_t *err);
  bool (*remove) (file_store_t *store, const char *name, anv_error_t *err);

  /* Adds the names of all files to NAMES (allocated strings), in any order. */
  bool (*list) (file_store_t *store, GPtrArray *names, anv_error_t *err);
  bool (*sync_dir) (file_store_t *store, anv_error_t *err);
};

/* Appends the whole content of the open file HANDLE to OUT. */
bool file_read_handle (file_store_t *store, int handle, GByteArray *out, anv_error_t *err);

/* Appends the whole content of NAME to OUT. */
bool file_read_all (file_store_t *store, const char *name, GByteArray *out, anv_error_t *err);

/* Replaces the content of NAME by DATA: writes and syncs "NAME.tmp", renames it and syncs the
 * directory. After a failure NAME has either the old or the new content, and neither is known to be
 * durable. */
bool file_replace (file_store_t *store, const char *name, const uint8_t *data, size_t size,
                   anv_error_t *err);

/* Removes NAME and syncs the directory. */
bool file_remove_synced (file_store_t *store, const char *name, anv_error_t *err);

/* Append a big-endian integer to OUT, or read one from DATA. */
void bytes_put_u32 (GByteArray *out, uint32_t value);
void bytes_put_u64 (GByteArray *out, uint64_t value);
uint32_t bytes_get_u32 (const uint8_t *data);
uint64_t bytes_get_u64 (const uint8_t *data);
