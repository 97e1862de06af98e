#pragma once

#include "version_codec.h"

/* version_log - compact storage of the records of all versions.
 *
 * Records are stored in compressed blocks of up to VERSION_MAX_BLOCK_RECORDS; the latest ones (the
 * tail) stay uncompressed. A full document (checkpoint) is stored when the patches since the last
 * one reach an eighth of its size, but at most once in VERSION_MAX_BLOCK_RECORDS versions. This
 * bounds the size of the patches that are applied to rebuild a past document. Checkpoints are
 * derived from the records and are checked against them. The stored bytes depend on the records
 * only, not on whether the log was restored from a snapshot. Nothing is ever removed. */

#define VERSION_MAX_BLOCK_RECORDS 64

typedef struct version_log version_log_t;

version_log_t *version_log_new (void);
void version_log_free (version_log_t *log);

/* Appends RECORD, which must be the next version. TEXT is the canonical text of its document. Takes
 * ownership of RECORD. */
void version_log_append (version_log_t *log, version_record_t *record, GBytes *text);

/* Returns the highest version, 0 if there is none. */
uint64_t version_log_count (const version_log_t *log);

/* Returns the record of VERSION, or NULL. It is valid until the next call with LOG. */
const version_record_t *version_log_get (version_log_t *log, uint64_t version);

/* Returns the version with PATCH_ID, or 0. */
uint64_t version_log_find (version_log_t *log, const char *patch_id);

/* Rebuilds the document of VERSION and checks its digest. Returns its canonical text, free with
 * g_bytes_unref(), or NULL with ANV_ERROR_VERSION. */
GBytes *version_log_document (version_log_t *log, uint64_t version, anv_error_t *err);

/* Writes the log as two fields of a message: the blocks and the checkpoints. */
#define VERSION_LOG_FIELD_COUNT 2
void version_log_write (version_log_t *log, wire_writer_t *writer);

/* Reads a log, and checks the digest chain over all records and the digests of the stored
 * documents. Returns NULL with ANV_ERROR_VERSION, which names the block that cannot be decoded,
 * or the first version that failed a check. A field that is missing or has the wrong type may only
 * set the error flag of READER, so the caller must also call wire_reader_finish(). */
version_log_t *version_log_read (wire_reader_t *reader, anv_error_t *err);

/* Returns the memory of the log in bytes, without the block that was read last and without the
 * overhead of the allocator. */
size_t version_log_memory_bytes (const version_log_t *log);
