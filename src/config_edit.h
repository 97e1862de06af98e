#pragma once

#include <glib.h>
#include <stdint.h>

#include "anv_error.h"
#include "json_slice.h"

/* config_edit - text edits between two canonical documents.
 *
 * Processes exchange edits instead of merge patches: applying them only copies bytes, needs no
 * parsed document, and a changed element of an array does not resend the array. An edit is the
 * offset in the old text, the number of bytes removed there, the number of bytes inserted (4 bytes
 * each, big endian) and the inserted bytes. Offsets ascend and edits do not overlap. */

/* Appends to EDITS the edits that turn FROM into TO. Both are canonical JSON text. */
void config_edit_diff (json_slice_t from, json_slice_t to, GByteArray *edits);

/* Returns FROM with EDITS applied, or NULL with ANV_ERROR_CONFIG if they do not fit. The result has
 * at most CONFIG_MAX_TEXT_SIZE bytes. */
GBytes *config_edit_apply (GBytes *from, const uint8_t *edits, size_t size, anv_error_t *err);
