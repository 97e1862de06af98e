#pragma once

#include <glib.h>

#include "json_slice.h"
#include "json_util.h"

/* config_patch - JSON Merge Patch (RFC 7386).
 *
 * A member of the patch replaces the member of the target with the same key, or is merged into it
 * if both are objects. null removes the member. An array is replaced as a whole. */

/* Applies PATCH to TARGET and returns the result. TARGET is modified or freed and must not be used
 * afterwards; NULL stands for an absent value. PATCH is unchanged. Keys are compared byte by byte.
 */
cJSON *config_patch_apply (cJSON *target, const cJSON *patch);

/* Returns the patch that turns FROM into TO, an empty object if they are equal. Neither may have
 * null members, because a merge patch cannot set a member to null; configuration documents have
 * none. */
cJSON *config_patch_diff (const cJSON *from, const cJSON *to);

/* Applies PATCH to the canonical text TARGET and appends the canonical text of the result to OUT.
 * Members that the patch does not name are copied as text, so TARGET is never held in
 * parsed form. Returns false if TARGET is not canonical. */
bool config_patch_apply_text (json_slice_t target, const cJSON *patch, GString *out);
