#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/* http_headers - ordered list of header fields.
 *
 * Names compare without case. Returned pointers are valid until the list is changed. An empty list
 * holds no memory. */

typedef struct
{
  GString *text;  /* name, null, value, null for every field */
  GArray *fields; /* http_field_t */
} http_headers_t;

void http_headers_init (http_headers_t *headers);
void http_headers_destroy (http_headers_t *headers);

/* Removes all fields and frees their memory. */
void http_headers_clear (http_headers_t *headers);

void http_headers_append (http_headers_t *headers, const char *name, const char *value);

/* As http_headers_append(), with text that is not terminated. */
void http_headers_append_len (http_headers_t *headers, const char *name, size_t name_size,
                              const char *value, size_t value_size);

/* Removes all fields of NAME and appends one. */
void http_headers_set (http_headers_t *headers, const char *name, const char *value);

void http_headers_remove (http_headers_t *headers, const char *name);

/* Appends all fields of SOURCE (may be NULL). */
void http_headers_append_all (http_headers_t *headers, const http_headers_t *source);

size_t http_headers_length (const http_headers_t *headers);
const char *http_headers_name (const http_headers_t *headers, size_t index);
const char *http_headers_value (const http_headers_t *headers, size_t index);

/* Returns the value of the first field of NAME, or NULL. */
const char *http_headers_get (const http_headers_t *headers, const char *name);

/* Returns the number of fields of NAME. */
size_t http_headers_count (const http_headers_t *headers, const char *name);

/* Returns whether a comma-separated field of NAME contains TOKEN. */
bool http_headers_has_token (const http_headers_t *headers, const char *name, const char *token);

/* Removes the fields that concern one connection only (RFC 9110, 7.6.1), including those that
 * Connection names. Content-Length is left, because it describes the message. */
void http_headers_remove_hop_by_hop (http_headers_t *headers);

/* Appends "Name: value" lines to OUT, without the empty line that ends a head. */
void http_headers_write (const http_headers_t *headers, GString *out);
