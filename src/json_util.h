#pragma once

#include <cjson/cJSON.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* json_util - helpers on top of cJSON for untrusted documents. */

/* Deepest nesting that json_parse() accepts. */
#define JSON_MAX_DEPTH 32
/* Most values in a document that json_parse_strict() accepts, which bounds its memory. */
#define JSON_MAX_VALUES 300000

/* Parses SIZE bytes of TEXT, which must hold exactly one JSON value, nested at most JSON_MAX_DEPTH
 * deep and without duplicate keys in an object. On an error, returns NULL and stores a static
 * string in REASON, which may be NULL. Free the result with cJSON_Delete(). */
cJSON *json_parse (const char *text, size_t size, const char **reason);

/* The same for input from outside: also refuses documents with more than about JSON_MAX_VALUES
 * values, and strings with NUL or unescaped control characters. What the replicated log holds is
 * read with json_parse(), whose result must be the same at all members, also of other versions. */
cJSON *json_parse_strict (const char *text, size_t size, const char **reason);

/* Returns the string member KEY of OBJECT, or FALLBACK if it is absent or of another type. */
const char *json_get_string (const cJSON *object, const char *key, const char *fallback);

/* Returns the number member KEY of OBJECT, or FALLBACK if it is absent or of another type. */
double json_get_number (const cJSON *object, const char *key, double fallback);

/* As json_get_number(), converted to an integer, with the value limited to +/- 2^53. */
int64_t json_get_integer (const cJSON *object, const char *key, int64_t fallback);

/* If NUMBER is a number with an integer value that a double represents exactly, stores it in VALUE
 * and returns true. NUMBER may be NULL. */
bool json_read_exact_integer (const cJSON *number, int64_t *value);

/* Returns VALUE as text without white space and with the keys of every object in byte order, so
 * that equal documents have equal text. Free the result with g_free(). */
char *json_print_canonical (const cJSON *value);
