#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "config_doc.h"
#include "route_table.h"

/* route_path - normalizes a request path and compares prefixes; see route_table. */

typedef struct
{
  /* Path in lower case without empty segments; "/" for the root. Truncated after
   * CONFIG_MAX_PREFIX_SEGMENTS segments, because no prefix is longer. */
  char text[ROUTE_MAX_PATH_SIZE + 1];
  /* Offset in text after each segment. */
  size_t segment_ends[CONFIG_MAX_PREFIX_SEGMENTS];
  size_t segment_count;
  bool continues; /* a separator follows the last of these segments */
} route_path_t;

/* Stores the normalized path of the request target TARGET, up to its '?'. Returns ROUTE_FOUND for
 * success, ROUTE_BAD_PATH or ROUTE_PATH_TOO_LONG. */
route_result_t route_path_normalize (route_path_t *path, const char *target);

/* Returns whether the path of TARGET, as sent, starts with PREFIX and, if PREFIX does not end in
 * '/', goes on with '/' or ends there. With MUST_CONTINUE, it must not end there. */
bool route_path_has_literal_prefix (const char *target, const char *prefix, bool must_continue);
