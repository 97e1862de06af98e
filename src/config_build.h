#pragma once

#include "config_doc.h"
#include "config_field.h"
#include "json_slice.h"
#include "team_keys.h"

/* config_build - internal header of config_doc: the structure of a view and its construction.
 *
 * Each config_build_MEMBER() function checks one top-level member, whose text is VALUE, and fills
 * its part of DOC. Returns false with ANV_ERROR_CONFIG if a rule is broken. Services are built
 * first, because routes refer to them. */

/* One listed team. Its name is not copied, to save memory for each team. */
typedef struct
{
  uint32_t name_offset;    /* start of the name in the text of the document, in bytes */
  uint32_t settings_index; /* index in config_doc.team_settings */
} config_team_t;

/* Settings that teams share. */
typedef struct
{
  config_limit_t limit;
  uint32_t priority; /* CONFIG_NO_PRIORITY: that of the route applies */
} config_team_settings_t;

struct config_doc
{
  gint ref_count;
  GBytes *text;     /* canonical text */
  const char *data; /* contents of text */
  GStringChunk *strings;
  size_t allocated_bytes; /* total size of the contents of strings and arrays */
  GPtrArray *arrays;      /* arrays that services and routes point to */
  GArray *services;       /* config_service_t, sorted by name */
  GArray *routes;         /* config_route_t, in the order of the document */
  GArray *teams;          /* config_team_t, sorted by name */
  GArray *team_settings;  /* config_team_settings_t; the first is that of unlisted teams */
  GArray *team_keys;      /* team_key_t with the index of its team, sorted by digest */
  bool team_keys_required;
  uint64_t label;
  uint64_t label_base;
  config_caller_limits_t caller_limits;
  bool has_caller_limits;
  uint32_t schema;
  json_slice_t routes_text;     /* text of the value of "routes" */
  json_slice_t teams_text;      /* text of the value of "teams" */
  const config_doc_t *previous; /* document to copy unchanged parts from; NULL after construction */
};

bool config_build_services (config_doc_t *doc, json_slice_t value, anv_error_t *err);
bool config_build_routes (config_doc_t *doc, json_slice_t value, anv_error_t *err);
bool config_build_team_default (config_doc_t *doc, json_slice_t value, anv_error_t *err);
bool config_build_teams (config_doc_t *doc, json_slice_t value, anv_error_t *err);
bool config_build_team_keys_required (config_doc_t *doc, json_slice_t value, anv_error_t *err);
bool config_build_caller_limits (config_doc_t *doc, json_slice_t value, anv_error_t *err);
bool config_build_label (config_doc_t *doc, json_slice_t value, anv_error_t *err);
bool config_build_label_base (config_doc_t *doc, json_slice_t value, anv_error_t *err);
bool config_build_annotations (config_doc_t *doc, json_slice_t value, anv_error_t *err);

/* Checks that the member "annotations" of OBJECT, if present, is a string. */
bool config_check_annotations (const field_context_t *context, const cJSON *object);

/* Checks the rules between routes: two routes must not share a prefix and a method on the same host
 * or service, and prefixes must not differ only in case. With CHECK_IDS, ids must be unique as
 * well; this is not needed if they are the keys of an object. */
bool config_check_routes (const config_doc_t *doc, bool check_ids, anv_error_t *err);

/* Allocates SIZE_BYTES zeroed bytes that live as long as the view. */
void *config_build_alloc (config_doc_t *doc, size_t size_bytes);

/* Returns a copy of TEXT that lives as long as the view. */
const char *config_build_copy_string (config_doc_t *doc, const char *text);

/* Checks that KEY is a valid name and sorts after PREVIOUS, and stores it in PREVIOUS. Ascending
 * order also rules out duplicate keys. PREVIOUS is empty before the first key. */
bool config_build_check_key (const field_context_t *context, json_slice_t key,
                             json_slice_t *previous);
