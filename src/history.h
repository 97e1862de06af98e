#pragma once

#include "json_util.h"
#include "version_record.h"

/* history - the records of all versions, as the operator's tool and the auditor read them.
 *
 * All functions are pure: the text depends on the records and the arguments only, and times are in
 * UTC. A record states the schema of its document, so records of older programs keep their meaning.
 * Functions that return text return allocated UTF-8 with line feeds, free with g_free(), or NULL
 * with ANV_ERROR_VERSION (no such version, damaged record) or ANV_ERROR_CONFIG. */

/* The records of version 1, 2, ... COUNT. */
typedef struct
{
  const version_record_t *const *records;
  size_t count;
} history_t;

/* Width of all text, in characters. */
#define HISTORY_WIDTH 78

/* Returns the record of VERSION, or NULL. */
const version_record_t *history_record (const history_t *history, uint64_t version);

/* Returns the version that was in force at WALL_MS: the highest one that was made until then, 0 if
 * there is none. */
uint64_t history_at (const history_t *history, int64_t wall_ms);

/* Rebuilds the document of VERSION from the patches and checks its digest. Version 0 is "{}". */
cJSON *history_document (const history_t *history, uint64_t version, anv_error_t *err);

/* Reads "YYYY-MM-DD" or "YYYY-MM-DDTHH:MM:SSZ" as UTC. Returns whether TEXT is one of them. */
bool history_parse_time (const char *text, int64_t *wall_ms);

/* Returns "YYYY-MM-DD HH:MM:SS UTC". Free with g_free(). */
char *history_format_time (int64_t wall_ms);

/* One line for each version from FROM to TO: number, time, operator, patch id and reason. */
char *history_list (const history_t *history, uint64_t from, uint64_t to, anv_error_t *err);

/* The record of VERSION, its patch and the whole document. */
char *history_show (const history_t *history, uint64_t version, anv_error_t *err);

/* The settings that differ between two versions, one for each line. */
char *history_diff (const history_t *history, uint64_t from, uint64_t to, anv_error_t *err);

/* What history_verify() found. */
typedef struct
{
  uint64_t first_bad; /* 0: none */
  char *text;         /* free with g_free() */
} history_verdict_t;

/* Recomputes all digests and documents from the records, and checks every document against its
 * schema. PRINTED, which may be NULL, is a digest of version PRINTED_VERSION from another source,
 * such as the paper, and must be equal. Stops at the first bad version. */
history_verdict_t history_verify (const history_t *history, uint64_t printed_version,
                                  const version_digest_t *printed);

typedef struct
{
  const char *method;
  const char *host;
  const char *target; /* path, with or without query */
  const char *team;   /* NULL: no Anvillb-Team header */
} history_query_t;

/* Says in words which service, route, limits and settings a request got at VERSION. */
char *history_explain (const history_t *history, uint64_t version, const history_query_t *query,
                       anv_error_t *err);

/* The record of a month (1 to 12) on pages for paper: the changes and the configuration at the end
 * of the month. Each page names the digest of the last version of the month. Later versions do not
 * change the text, unless their time is before the end of the month; the report of a month says so
 * where the time of a version is before that of the previous one. */
char *history_report (const history_t *history, int year, int month, anv_error_t *err);
