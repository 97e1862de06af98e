#pragma once

#include <cjson/cJSON.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* json_util - helpers over cJSON for documents that come from outside. */

/* Deepest nesting that json_parse() accepts. */
#define JSON_MAX_DEPTH 32

/* Parses SIZE bytes that hold exactly one JSON value, nested at most JSON_MAX_DEPTH deep and
 * without duplicate keys in an object. Returns NULL with a reason in REASON (may be NULL), which is
 * static. */
cJSON *json_parse (const char *text, size_t size, const char **reason);

/* Returns the string member KEY of OBJECT, or FALLBACK if it is absent or of another type. */
const char *json_string (const cJSON *object, const char *key, const char *fallback);

/* Returns the number member KEY of OBJECT, or FALLBACK if it is absent or of another type. */
double json_number (const cJSON *object, const char *key, double fallback);

/* Returns whether NUMBER is an integer that a double holds exactly, and stores it. */
bool json_exact_integer (const cJSON *number, int64_t *value);

/* Renders VALUE without white space and with the keys of every object sorted by byte value, so that
 * equal documents have equal text. Free with g_free(). */
char *json_canonical (const cJSON *value);
