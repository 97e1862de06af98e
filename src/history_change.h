#pragma once

#include "json_util.h"
#include "text_page.h"
#include "version_record.h"

/* history_change - lists the settings that differ between two documents; only for history. */

/* Adds one paragraph for each change: "+ PATH = VALUE", "- PATH = VALUE" or "* PATH = OLD to NEW",
 * or that nothing but the order
 * of elements or nothing at all changed. Elements of an array that all have an "id" are matched by
 * it and named "PATH[ID]"; another array is one value. */
void history_add_changes (text_page_t *page, size_t indent, const cJSON *from, const cJSON *to);

/* Adds the fields of RECORD. */
void history_add_record (text_page_t *page, size_t indent, const version_record_t *record);

/* Returns TEXT as a JSON string. Free with g_free(). */
char *history_quote (const char *text);
