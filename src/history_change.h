#pragma once

#include "json_util.h"
#include "text_page.h"
#include "version_record.h"

/* history_change - lists the settings that differ between two documents. Internal to history. */

/* Adds one paragraph for each change: "+ PATH = VALUE", "- PATH = VALUE" or "* PATH = OLD to NEW".
 * If there is none, adds a paragraph that says whether the order of elements changed. If all
 * elements of an array have an "id" and no two share it, elements are matched by "id" and named
 * "PATH[ID]"; any other array is compared as one value. */
void history_add_changes (text_page_t *page, size_t indent, const cJSON *from, const cJSON *to);

/* Adds the fields of RECORD, without its patch. */
void history_add_record (text_page_t *page, size_t indent, const version_record_t *record);

/* Returns TEXT as a JSON string. Free with g_free(). */
char *history_quote (const char *text);
