#pragma once

#include "config_doc.h"
#include "config_field.h"
#include "json_slice.h"

/* config_build - the parts of a view and their construction; only for config_doc.
 *
 * Each function checks one top-level member and fills its part of DOC. Services come first, because
 * routes refer to them. VALUE is the text of the member. */

/* Position of a team's name in the text, and its limit. */
typedef struct
{
  uint32_t name_offset;
  uint32_t limit; /* index in limits */
} config_team_t;

struct config_doc
{
  gint refs;
  GBytes *text;
  const char *data; /* of text */
  GStringChunk *strings;
  size_t string_bytes;
  GPtrArray *lists; /* arrays that belong to services */
  GArray *services; /* config_service_t, by name */
  GArray *routes;   /* config_route_t, in the order of the document */
  GArray *teams;    /* config_team_t, by name */
  GArray *limits;   /* config_limit_t; the first is the default */
  uint64_t label;
  uint64_t label_base;
  config_caller_limits_t caller_limits;
  bool has_caller_limits;
  uint32_t schema;
  json_slice_t routes_text; /* values of the top-level members */
  json_slice_t teams_text;
  const config_doc_t *previous; /* during construction: document to copy unchanged parts from */
};

bool config_build_services (config_doc_t *doc, json_slice_t value, anv_error_t *err);
bool config_build_routes (config_doc_t *doc, json_slice_t value, anv_error_t *err);
bool config_build_team_default (config_doc_t *doc, json_slice_t value, anv_error_t *err);
bool config_build_teams (config_doc_t *doc, json_slice_t value, anv_error_t *err);
bool config_build_caller_limits (config_doc_t *doc, json_slice_t value, anv_error_t *err);
bool config_build_label (config_doc_t *doc, json_slice_t value, anv_error_t *err);
bool config_build_label_base (config_doc_t *doc, json_slice_t value, anv_error_t *err);
bool config_build_annotations (config_doc_t *doc, json_slice_t value, anv_error_t *err);

/* Checks the member "annotations" of OBJECT, which may be absent. */
bool config_check_annotations (const field_context_t *context, const cJSON *object);

/* Checks what concerns several routes: equal ids, unless they are keys of an object, and equal
 * prefixes and methods. */
bool config_check_routes (const config_doc_t *doc, bool check_ids, anv_error_t *err);

/* Returns SIZE zeroed bytes that live as long as the view. */
void *config_build_list (config_doc_t *doc, size_t size);

/* Copies TEXT into the view. */
const char *config_build_string (config_doc_t *doc, const char *text);

/* Checks that KEY is a name and comes after PREVIOUS, which it replaces. The order shows that no
 * key occurs twice. */
bool config_build_key (const field_context_t *context, json_slice_t key, json_slice_t *previous);
