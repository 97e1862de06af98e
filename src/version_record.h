#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "anv_error.h"

/* version_record - an accepted configuration version, and the digest chain over all versions.
 *
 * Version 0 is the empty document "{}"; version N is made by applying the patch of record N to the
 * document of version N - 1. Each digest is the SHA-256 of a text:
 *
 *   document   the canonical text of the resulting document
 *   record     the lines "schema S", "version N", "wall_ms T", then for "patch_id", "operator",
 *              "reason" and "patch" the line "NAME BYTES:TEXT"; each line ends in a line feed
 *   digest     the lines "anvillb-version", "S N", and the previous digest, the record
 *              digest and the document digest in hexadecimal; each line ends in a line feed
 *
 * The previous digest of version 1 is 64 zeros. A printed digest therefore authenticates every
 * record and document up to its version, and can be recomputed with standard tools. */

#define VERSION_DIGEST_SIZE 32
#define VERSION_HEX_SIZE (2 * VERSION_DIGEST_SIZE + 1)

/* Longest operator name and longest reason, without the terminating NUL. */
#define VERSION_MAX_OPERATOR_BYTES 128
#define VERSION_MAX_REASON_BYTES 1000

typedef enum
{
  VERSION_ERROR_DIGEST = 1, /* wrong digest or version number, or undecodable block */
  VERSION_ERROR_FORMAT,     /* malformed data */
  VERSION_ERROR_BASE,       /* a delta does not apply to the installed version */
  VERSION_ERROR_NOT_NEWER,  /* not higher than the installed version */
  VERSION_ERROR_MISSING,    /* no such version */
} version_error_t;

typedef struct
{
  uint8_t bytes[VERSION_DIGEST_SIZE];
} version_digest_t;

typedef struct
{
  uint32_t schema;
  uint64_t version;
  int64_t wall_ms; /* Unix time, set by the leader */
  char *patch_id;
  char *operator_name;
  char *reason;
  char *patch;                      /* JSON merge patch, canonical text */
  version_digest_t document_digest; /* of the resulting document */
  version_digest_t digest;
} version_record_t;

/* The inputs of the digest of a version. They authenticate a document without its record, for an
 * instance that holds the document but not the history. */
typedef struct
{
  uint32_t schema;
  uint64_t version;
  version_digest_t previous_digest;
  version_digest_t record_digest;
  version_digest_t document_digest;
} version_seal_t;

/* Returns the digest of the version of SEAL. */
version_digest_t version_seal_compute_digest (const version_seal_t *seal);

/* Returns the seal of RECORD. PREVIOUS is the digest of the version before. */
version_seal_t version_record_make_seal (const version_record_t *record,
                                         const version_digest_t *previous);

/* Returns the digest of a document text. */
version_digest_t version_compute_text_digest (const char *text, size_t size);

/* Returns whether RECORD is version NUMBER and its digest matches its fields and PREVIOUS; sets
 * ANV_ERROR_VERSION if not. Does not check the document itself. */
bool version_record_verify (const version_record_t *record, uint64_t number,
                            const version_digest_t *previous, anv_error_t *err);

bool version_digest_equal (const version_digest_t *a, const version_digest_t *b);

/* Writes the digest in hexadecimal to HEX and returns it. */
const char *version_digest_hex (const version_digest_t *digest, char hex[VERSION_HEX_SIZE]);

/* Parses 64 hexadecimal digits. Returns false for any other text. */
bool version_digest_parse (version_digest_t *digest, const char *hex);

/* Frees a record that was allocated with g_new0(). */
void version_record_free (version_record_t *record);

/* Returns a deep copy. Free with version_record_free(). */
version_record_t *version_record_copy (const version_record_t *record);
