#pragma once

#include "json_util.h"
#include "version_record.h"

/* history - lists, explains and verifies the records of all versions, for operators and auditors.
 *
 * All functions are pure: the text depends on the records and the arguments only. Times are in UTC.
 * Each record names the schema of its document, so records of older programs keep their meaning.
 * Functions that return text return UTF-8 lines that are freed with g_free(), or NULL with
 * ANV_ERROR_VERSION (no such version, damaged record) or ANV_ERROR_CONFIG. */

/* The records of versions 1 to count, in order. Not owned. */
typedef struct
{
  const version_record_t *const *records;
  size_t count;
} history_t;

/* Line width of all text, in characters. */
#define HISTORY_WIDTH 78

/* Returns the record of VERSION, or NULL. */
const version_record_t *history_get_record (const history_t *history, uint64_t version);

/* Returns the version that was in force at WALL_MS: the highest version with a time
 * not after it, or 0. */
uint64_t history_version_at (const history_t *history, int64_t wall_ms);

/* Rebuilds the document of VERSION from the patches and checks its digest. Version 0 is "{}". */
cJSON *history_rebuild_document (const history_t *history, uint64_t version, anv_error_t *err);

/* Parses "YYYY-MM-DD" or "YYYY-MM-DDTHH:MM:SSZ" as UTC. Returns whether TEXT is one of them. */
bool history_parse_time (const char *text, int64_t *wall_ms);

/* Returns "YYYY-MM-DD HH:MM:SS UTC", or "N ms" if no date can represent WALL_MS. Free with
 * g_free(). */
char *history_format_time (int64_t wall_ms);

/* Returns one paragraph for each version from FROM to TO: number, time, operator, patch_id and
 * reason. */
char *history_list (const history_t *history, uint64_t from, uint64_t to, anv_error_t *err);

/* Returns the record of VERSION, its patch and the whole document. */
char *history_show (const history_t *history, uint64_t version, anv_error_t *err);

/* Returns the settings that differ between two versions, one paragraph each. */
char *history_diff (const history_t *history, uint64_t from, uint64_t to, anv_error_t *err);

/* Result of history_verify(). */
typedef struct
{
  /* 0: all versions are valid. One above the last version if PRINTED_VERSION does not exist. */
  uint64_t first_bad_version;
  char *text; /* free with g_free() */
} history_verify_result_t;

/* Recomputes all digests and documents from the records, and validates every document against its
 * schema. Unless PRINTED_DIGEST is NULL, it must be equal to the digest of PRINTED_VERSION; it
 * comes from another source, such as a printed report. Version 0 has no digest and is not compared.
 * Stops at the first version that fails. */
history_verify_result_t history_verify (const history_t *history, uint64_t printed_version,
                                        const version_digest_t *printed_digest);

typedef struct
{
  const char *method;
  const char *host;
  const char *request_target; /* path, with or without query */
  const char *team;           /* NULL: no Anvillb-Team header */
} history_query_t;

/* Describes the service, route, limits and settings that apply to a request at VERSION. */
char *history_explain (const history_t *history, uint64_t version, const history_query_t *query,
                       anv_error_t *err);

/* Returns the report of a month (1 to 12), in pages for printing: the changes, and the
 * configuration at the end of the month. Each page names the digest of the version in force
 * at that time. Versions that are added later do not change the text, unless their time is before
 * the end of the month. The report marks each version whose time is before that of the previous
 * one. */
char *history_report (const history_t *history, int year, int month, anv_error_t *err);
