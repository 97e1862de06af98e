#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/* http_headers - ordered list of header fields.
 *
 * Field names are compared without regard to case. Returned pointers are valid until the list is
 * changed. A new or cleared list has no memory allocated. */

typedef struct
{
  GString *text;  /* name and value of every field, each NUL-terminated */
  GArray *fields; /* of http_field_t */
} http_headers_t;

void http_headers_init (http_headers_t *headers);
void http_headers_destroy (http_headers_t *headers);

/* Removes all fields and frees the memory of the list. */
void http_headers_clear (http_headers_t *headers);

/* Appends a field; the strings are copied. */
void http_headers_append (http_headers_t *headers, const char *name, const char *value);

/* As http_headers_append(), with strings that need not be NUL-terminated. */
void http_headers_append_len (http_headers_t *headers, const char *name, size_t name_size,
                              const char *value, size_t value_size);

/* Removes all fields named NAME and appends one with VALUE. */
void http_headers_set (http_headers_t *headers, const char *name, const char *value);

/* Removes all fields named NAME. */
void http_headers_remove (http_headers_t *headers, const char *name);

/* Removes all fields whose name is NAME to a reader that takes '_' for '-', as CGI does. */
void http_headers_remove_similar (http_headers_t *headers, const char *name);

/* Appends copies of all fields of SOURCE, which may be NULL. */
void http_headers_append_all (http_headers_t *headers, const http_headers_t *source);

/* Returns the number of fields. */
size_t http_headers_length (const http_headers_t *headers);
const char *http_headers_name (const http_headers_t *headers, size_t index);
const char *http_headers_value (const http_headers_t *headers, size_t index);

/* Returns the value of the first field named NAME, or NULL if there is none. */
const char *http_headers_get (const http_headers_t *headers, const char *name);

/* Returns the number of fields named NAME. */
size_t http_headers_count (const http_headers_t *headers, const char *name);

/* Returns whether the comma-separated list in any field named NAME contains TOKEN, without regard
 * to case. */
bool http_headers_has_token (const http_headers_t *headers, const char *name, const char *token);

/* Removes the fields that apply to a single connection only (RFC 9110, 7.6.1), including those that
 * Connection lists, except end-to-end fields that a caller must not be able to remove. Keeps
 * Content-Length, which describes the message. */
void http_headers_remove_hop_by_hop (http_headers_t *headers);

/* Appends a "Name: value" line for each field to OUT, without the empty line that ends the head. */
void http_headers_write (const http_headers_t *headers, GString *out);
