#pragma once

#include <stdbool.h>
#include <stddef.h>

/* json_slice - iterates over the members of canonical JSON text without parsing or allocating.
 *
 * At the scale that the product is designed for, a document has 25 MB of text and takes about ten
 * times as much memory when parsed. Large documents are therefore read, merged and compared member
 * by member on their canonical text. The text may be untrusted: a cursor never reads outside its
 * slice and fails at text that it cannot follow. It finds the end of a value, but does not
 * validate the value. */

typedef struct
{
  const char *data; /* not NUL-terminated */
  size_t size;      /* bytes */
} json_slice_t;

typedef struct
{
  const char *next; /* first unread byte */
  const char *end;  /* end of the slice */
  char close;       /* closing bracket: ']' or '}' */
  bool started;     /* a member has been read */
  bool failed;      /* the text is malformed */
} json_cursor_t;

/* Starts to iterate over VALUE, which must be an object if KIND is '{' and an array if KIND is '['.
 * Returns false if VALUE is of another kind. */
bool json_cursor_open (json_cursor_t *cursor, json_slice_t value, char kind);

/* Reads the next member. Stores its key as written in the text, still escaped and without quotes
 * (empty in an array), and its value. Returns false after the last member and on an error. */
bool json_cursor_next (json_cursor_t *cursor, json_slice_t *key, json_slice_t *value);

/* Returns whether the iteration has reached the end of the slice without an error. */
bool json_cursor_at_end (const json_cursor_t *cursor);

/* Returns whether two slices hold the same bytes. */
bool json_slice_equal (json_slice_t a, json_slice_t b);

/* Compares two escaped keys in the order of canonical text, the byte order of the unescaped keys.
 * Returns a negative, zero or positive number. */
int json_key_compare (json_slice_t a, json_slice_t b);
