#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "config_doc.h"
#include "route_table.h"

/* route_path - the loose reading of a request path; see route_table. */

typedef struct
{
  /* Lower-case path without empty segments, "/" for the root. Cut after CONFIG_MAX_PREFIX_SEGMENTS
   * segments, because no prefix is longer. */
  char text[ROUTE_MAX_PATH_SIZE + 1];
  /* End of the first, second, ... segment in the text. */
  size_t ends[CONFIG_MAX_PREFIX_SEGMENTS];
  size_t count;
} route_path_t;

/* Reads the path of TARGET, up to '?'. Returns ROUTE_FOUND, ROUTE_BAD_PATH or
 * ROUTE_PATH_TOO_LONG. */
route_result_t route_path_read (route_path_t *path, const char *target);

/* Returns whether the literal path of TARGET has PREFIX up to a boundary. */
bool route_path_is_literal (const char *target, const char *prefix);
