#pragma once

#include "config_doc.h"
#include "version_codec.h"

/* config_cache - the configuration that an instance has installed.
 *
 * A version is installed whole or not at all, and only if it is higher than the installed one and
 * its text matches its digest. A process passes on what it has: the edits since the version that
 * the other side has, if it still holds them and they are small, or the whole document.
 *
 *   WIRE_CONFIG_FETCH  version, digest (32 bytes)       what the sender has
 *   WIRE_CONFIG_FULL   seal, packed text (module deflate)
 *   WIRE_CONFIG_DELTA  base version, base digest (32 bytes), seal, array of edits (config_edit)
 *
 * A seal is schema, version and the digests of the previous version, the record and the document.
 */

typedef struct config_cache config_cache_t;

typedef struct
{
  /* Edits kept for peers, in bytes. 0: 1 MiB. */
  size_t max_edit_bytes;
} config_cache_options_t;

/* What a peer says that it has. */
typedef struct
{
  uint64_t version;
  version_digest_t digest;
} config_announcement_t;

typedef enum
{
  CONFIG_NEED_NOTHING,
  CONFIG_NEED_FETCH,   /* the peer has a higher version */
  CONFIG_NEED_INQUIRY, /* the peer has the same version with another digest */
} config_need_t;

config_cache_t *config_cache_new (const config_cache_options_t *options);
void config_cache_free (config_cache_t *cache);

/* Returns the installed version, 0 if there is none. */
uint64_t config_cache_version (const config_cache_t *cache);

/* Returns the digest of the installed version, all zero if there is none. */
version_digest_t config_cache_digest (const config_cache_t *cache);

/* Returns the installed document, or NULL. It stays valid until the next install; a longer use
 * takes a reference. */
config_doc_t *config_cache_doc (const config_cache_t *cache);

/* Installs DOC, which was checked in this process and matches SEAL, e.g. from the version store.
 * Returns false with ANV_ERROR_VERSION if the version is not higher. */
bool config_cache_install (config_cache_t *cache, const version_seal_t *seal, config_doc_t *doc,
                           anv_error_t *err);

/* Installs the version in a WIRE_CONFIG_FULL or WIRE_CONFIG_DELTA message. Returns false with
 * ANV_ERROR_VERSION and leaves the installed version as it is, if the message is malformed, the
 * version is not higher (VERSION_ERROR_OLD), the delta has another base (VERSION_ERROR_BASE; fetch
 * again), a digest does not match, or the document breaks a rule. */
bool config_cache_receive (config_cache_t *cache, const uint8_t *data, size_t size,
                           anv_error_t *err);

/* Returns what to do about an announcement. The latest announcement of the highest version is
 * remembered; a document of that version with another digest is refused. */
config_need_t config_cache_need (config_cache_t *cache, const config_announcement_t *announcement);

/* Returns the index of the announcement with the highest version above the installed one, or COUNT
 * if there is none. */
size_t config_cache_choose (const config_cache_t *cache, const config_announcement_t *list,
                            size_t count);

/* Returns the WIRE_CONFIG_FETCH message for the installed version. */
GBytes *config_cache_fetch (const config_cache_t *cache);

/* Returns the answer to a WIRE_CONFIG_FETCH message, or NULL: without an error if the sender has
 * nothing to gain, with ANV_ERROR_VERSION if the message is malformed. */
GBytes *config_cache_answer (config_cache_t *cache, const uint8_t *data, size_t size,
                             anv_error_t *err);

/* Returns the memory in bytes: text, view, edits and the packed text. */
size_t config_cache_memory (const config_cache_t *cache);
