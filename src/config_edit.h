#pragma once

#include <glib.h>
#include <stdint.h>

#include "anv_error.h"
#include "json_slice.h"

/* config_edit - text edits between two canonical documents.
 *
 * Processes exchange edits instead of merge patches: edits are applied by copying bytes, without a
 * parsed document, and a change inside an array does not resend the whole array.
 *
 * An edit consists of the offset in the old text, the number of bytes to remove there, the number
 * of bytes to insert (4 bytes each, big endian), and the bytes to insert. Offsets ascend and edits
 * do not overlap. */

/* Appends to EDITS the edits that turn FROM into TO. Both are canonical JSON text. */
void config_edit_diff (json_slice_t from, json_slice_t to, GByteArray *edits);

/* Returns FROM with EDITS applied, or NULL with ANV_ERROR_CONFIG (CONFIG_ERROR_EDIT) if they do not
 * fit FROM or the result is larger than CONFIG_MAX_TEXT_SIZE. */
GBytes *config_edit_apply (GBytes *from, const uint8_t *edits, size_t size, anv_error_t *err);
