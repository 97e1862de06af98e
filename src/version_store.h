#pragma once

#include "config_doc.h"
#include "version_codec.h"

/* version_store - state machine of the config group.
 *
 * Commands are applied in the order of the replicated log. The result and the state depend on the
 * commands only, so all members hold the same bytes. A command is accepted as the next version if
 * its base is the current version, its patch_id is new and the resulting document is valid.
 *
 * Commands are idempotent: a patch_id that was accepted before gives the same version again if
 * base, operator, reason and patch are the same. The time is not compared, because another leader
 * may set the time of a command that is sent again.
 *
 * A command with the base VERSION_BASE_BY_LABEL names its base by a label, a version number that
 * the operator chooses. "label_base" of the patch must then be the label of the current document,
 * otherwise the command is stale, and the "label" of the new document must be above it. A command
 * may also replace the whole document; its record then holds the merge patch from the old document
 * to the new one.
 *
 * Rejected commands do not change the state. */

typedef struct version_store version_store_t;

/* Returns a store at version 0, the empty document. */
version_store_t *version_store_new (void);
void version_store_free (version_store_t *store);

/* Applies COMMAND and fills RESULT. */
void version_store_apply (version_store_t *store, const version_command_t *command,
                          version_result_t *result);

/* Fills RESULT as version_store_apply() would, but does not change the state. If the command is
 * acceptable, RESULT has the version and the digest that it would get. */
void version_store_preview (version_store_t *store, const version_command_t *command,
                            version_result_t *result);

/* Returns the current version, 0 at the start. */
uint64_t version_store_current_version (const version_store_t *store);

/* Returns the seal of the current version; all zero for version 0. */
version_seal_t version_store_seal (const version_store_t *store);

/* Returns the digest of the current version; all zero for version 0. */
version_digest_t version_store_digest (const version_store_t *store);

/* Returns the version that was accepted with PATCH_ID, 0 if there is none. */
uint64_t version_store_find (const version_store_t *store, const char *patch_id);

/* Returns the validated document of the current version. It is valid until the next command. */
config_doc_t *version_store_doc (const version_store_t *store);

/* Returns the record of VERSION, or NULL; valid until the next call with STORE. */
const version_record_t *version_store_record (version_store_t *store, uint64_t version);

/* Returns the canonical document of VERSION, which may be the current one. Free with
 * g_bytes_unref(). Returns NULL with ANV_ERROR_VERSION. */
GBytes *version_store_rebuild_document (version_store_t *store, uint64_t version, anv_error_t *err);

/* Returns the serialized state: all records, some full documents and the current one. */
GBytes *version_store_save (version_store_t *store);

/* Restores a serialized state. Verifies the digest chain over all records, the stored documents and
 * the current document, except documents of version 0. Returns NULL with ANV_ERROR_VERSION if the
 * data is malformed or a check fails; the error of a failed check names the version. A missing
 * field or a field of the wrong type may give ANV_ERROR_WIRE instead. */
version_store_t *version_store_restore (const uint8_t *data, size_t size, anv_error_t *err);

/* Returns the memory of the state in bytes: the log, the current document and its parsed form. */
size_t version_store_memory_bytes (const version_store_t *store);
