#pragma once

#include "config_doc.h"
#include "version_codec.h"

/* config_cache - the installed configuration of an instance, and the messages that transfer it.
 *
 * A version is installed whole or not at all, and only if it is higher than the installed one and
 * its text matches its digest. A fetch is answered with the edits since the version of the
 * requester, if they are still held and small, and otherwise with the whole document.
 *
 *   WIRE_CONFIG_FETCH  version, digest (32 bytes)       installed version of the sender
 *   WIRE_CONFIG_FULL   seal, compressed text (module deflate)
 *   WIRE_CONFIG_DELTA  base version, base digest (32 bytes), seal, array of edits (config_edit)
 *
 * A seal is schema, version, the digests of the previous version, the record and the document, and
 * the digest of the version. */

typedef struct config_cache config_cache_t;

typedef struct
{
  /* Maximum total size of the edits that are kept for peers. 0 selects 1 MiB. */
  size_t max_edit_bytes;
} config_cache_options_t;

/* Installed version that a peer announces, and its digest. */
typedef struct
{
  uint64_t version;
  version_digest_t digest;
} config_announcement_t;

typedef enum
{
  CONFIG_PEER_NOT_NEWER, /* same document, or an older version */
  CONFIG_PEER_NEWER,     /* higher version than the installed one: fetch it */
  CONFIG_PEER_CONFLICTS, /* same version with another digest: histories diverged */
} config_peer_state_t;

config_cache_t *config_cache_new (const config_cache_options_t *options);
void config_cache_free (config_cache_t *cache);

/* Returns the installed version, 0 if there is none. */
uint64_t config_cache_version (const config_cache_t *cache);

/* Returns the digest of the installed version, all zero if there is none. */
version_digest_t config_cache_digest (const config_cache_t *cache);

/* Returns the installed document, or NULL. It stays valid until the next install; call
 * config_doc_ref() to keep it for longer. */
config_doc_t *config_cache_doc (const config_cache_t *cache);

/* Installs DOC, which this process has checked and which matches SEAL, e.g. from the version store.
 * Returns false with ANV_ERROR_VERSION if the version is not higher (VERSION_ERROR_NOT_NEWER), or
 * if it does not follow from the installed version or has another digest than announced
 * (VERSION_ERROR_DIGEST). */
bool config_cache_install (config_cache_t *cache, const version_seal_t *seal, config_doc_t *doc,
                           anv_error_t *err);

/* Installs the version in a WIRE_CONFIG_FULL or WIRE_CONFIG_DELTA message. Returns false with
 * ANV_ERROR_VERSION and keeps the installed version if the message is malformed, the version is not
 * higher (VERSION_ERROR_NOT_NEWER), the base of the delta is not the installed version
 * (VERSION_ERROR_BASE; fetch again), a digest does not match, or the document breaks a rule. */
bool config_cache_receive (config_cache_t *cache, const uint8_t *data, size_t size,
                           anv_error_t *err);

/* Compares an announcement with the installed version. Also stores the latest announcement of the
 * highest version; a document of that version with another digest is not installed later. */
config_peer_state_t config_cache_check_announcement (config_cache_t *cache,
                                                     const config_announcement_t *announcement);

/* Returns the index in LIST of the first announcement of the highest version, or COUNT if none is
 * above the installed version. */
size_t config_cache_choose_newest (const config_cache_t *cache, const config_announcement_t *list,
                                   size_t count);

/* Returns the WIRE_CONFIG_FETCH message for the installed version. */
GBytes *config_cache_build_fetch (const config_cache_t *cache);

/* Returns the answer to a WIRE_CONFIG_FETCH message. Returns NULL without an error if no version
 * above that of the sender is installed, and NULL with ANV_ERROR_VERSION if the message is
 * malformed. */
GBytes *config_cache_answer_fetch (config_cache_t *cache, const uint8_t *data, size_t size,
                                   anv_error_t *err);

/* Returns the memory in use, in bytes: text, view, edits and compressed text. */
size_t config_cache_memory_bytes (const config_cache_t *cache);
