#pragma once

#include <glib.h>
#include <stddef.h>

/* text_page - wraps plain text to lines of a fixed width and paginates them for printing.
 *
 * Width is counted in characters. Characters that could break a line or change the direction of
 * text are replaced by '?'. The output is deterministic. */

typedef struct
{
  GPtrArray *lines; /* char *, all lines of the text, before pagination */
  size_t width;     /* of a line, in characters */
} text_page_t;

void text_page_init (text_page_t *page, size_t width);
void text_page_destroy (text_page_t *page);

/* Adds a paragraph, indented by INDENT characters, at most the width minus 3. Lines are wrapped at
 * spaces, or inside a word that is longer than a line. Continuation lines are indented by two more
 * characters. */
void text_page_add_paragraph (text_page_t *page, size_t indent, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Adds an empty line, unless the last line is empty or there is none. */
void text_page_add_blank_line (text_page_t *page);

/* Returns all lines, each with a line feed. Free with g_free(). */
char *text_page_to_text (const text_page_t *page);

/* Returns the lines as pages of at most LENGTH lines, which must be above 3. Each page starts with
 * TITLE and "page N of M", then SUBTITLE and an empty line, and ends with a form feed. Free with
 * g_free(). */
char *text_page_paginate (const text_page_t *page, const char *title, const char *subtitle,
                          size_t length);
