#pragma once

#include <glib.h>

#include "json_slice.h"
#include "json_util.h"

/* config_patch - JSON Merge Patch (RFC 7386).
 *
 * A member of the patch replaces the member of the target, an object is merged into it, and null
 * removes it. An array is replaced as a whole. */

/* Applies PATCH to TARGET and returns the result, which takes the place of TARGET. TARGET may be
 * NULL for an absent value; PATCH is unchanged. Keys are compared byte by byte. */
cJSON *config_patch_apply (cJSON *target, const cJSON *patch);

/* Returns the patch that turns FROM into TO. Both must be free of null members, as configuration
 * documents are, because a merge patch cannot set a member to null. Two equal documents give an
 * empty object. */
cJSON *config_patch_diff (const cJSON *from, const cJSON *to);

/* Appends to OUT the canonical text of PATCH applied to the canonical text TARGET. Members that the
 * patch does not name are copied, so the memory needed is that of the result. Returns false if
 * TARGET is not canonical. */
bool config_patch_apply_text (json_slice_t target, const cJSON *patch, GString *out);
