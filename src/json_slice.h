#pragma once

#include <stdbool.h>
#include <stddef.h>

/* json_slice - walks the members of canonical JSON text without parsing or allocating.
 *
 * A document of the design scale has 25 MB of text and about ten times as much in parsed form, so
 * large documents are read, merged and compared member by member on their canonical text. The text
 * need not be trusted: a cursor never reads outside its slice, and reports text that it cannot
 * follow. Values are delimited, not checked. */

typedef struct
{
  const char *data;
  size_t size;
} json_slice_t;

typedef struct
{
  const char *next;
  const char *end;
  char close; /* ']' or '}' */
  bool started;
  bool failed;
} json_cursor_t;

/* Starts a walk over VALUE, an object if KIND is '{' or an array if it is '['. Returns false if
 * VALUE is of another kind. */
bool json_cursor_open (json_cursor_t *cursor, json_slice_t value, char kind);

/* Stores the next member: the key as it is in the text, without quotes (empty in an array), and the
 * value. Returns false after the last one and at an error. */
bool json_cursor_next (json_cursor_t *cursor, json_slice_t *key, json_slice_t *value);

/* Returns whether the walk ended at the end of the slice without an error. */
bool json_cursor_done (const json_cursor_t *cursor);

/* Returns whether two slices hold the same bytes. */
bool json_slice_equal (json_slice_t a, json_slice_t b);

/* Compares two keys in the order of canonical text, which is that of the unescaped bytes. */
int json_key_compare (json_slice_t a, json_slice_t b);
