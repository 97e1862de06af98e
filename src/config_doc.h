#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "anv_error.h"

/* config_doc - one configuration document: schema check and typed read-only view.
 *
 * A document is checked as a whole; an error names the JSON path and the rule, for example
 * "$.routes[3].service: names no service". The view is immutable, so it may be shared by reference
 * and read while a newer one is built.
 *
 * Top-level keys, all optional: "services", "routes", "teams", "team_default", "caller_limits",
 * "label",
 * "label_base", "annotations". "routes" is either an array of objects with "id", or an object keyed
 * by route id, whose members need no "id". A JSON Merge Patch replaces an array as a whole, so only
 * the second form lets a patch name a single route.
 *
 * "label" is the number that an operator gives a version besides the one that the history counts,
 * and "label_base" the label that the version was made from (see version_store). "annotations", in
 * the document, a service or a route, is text that the system keeps and does not read.
 *
 * Memory: the view keeps a reference to the canonical text and points into it for the names of
 * teams. A team takes about 10 bytes besides the text and a route 80 (docs/measurements/config.md).
 * Elements are parsed one at a time, so a check never holds the parsed form of the whole text. */

/* Schema of documents that this version writes. The schema fixes the rules and the default values;
 * a record names the schema it was made with, so its meaning does not depend on the program. */
#define CONFIG_SCHEMA 1

/* Largest accepted canonical text, in bytes. It fits in a frame (32 MiB). */
#define CONFIG_MAX_TEXT_SIZE (31u << 20)

/* Longest name of a service, route, team or host, and longest prefix, in bytes. */
#define CONFIG_MAX_NAME_SIZE 128
#define CONFIG_MAX_PREFIX_SIZE 255
/* Most segments in a prefix. */
#define CONFIG_MAX_PREFIX_SEGMENTS 32

typedef enum
{
  CONFIG_ERROR_JSON = 1, /* not JSON, too deep, duplicate key */
  CONFIG_ERROR_RULE,     /* a rule of the schema is broken */
  CONFIG_ERROR_SCHEMA,   /* unknown schema number */
  CONFIG_ERROR_TOO_LARGE,
  CONFIG_ERROR_PATCH, /* the patch is not a JSON object */
  CONFIG_ERROR_EDIT,  /* a text edit does not fit its base */
} config_error_t;

typedef enum
{
  CONFIG_CLASS_URGENT,
  CONFIG_CLASS_BACKGROUND,
} config_class_t;

/* Methods are bits, so that a route holds a set of them. Names are case-sensitive. */
typedef enum
{
  CONFIG_METHOD_GET = 1 << 0,
  CONFIG_METHOD_HEAD = 1 << 1,
  CONFIG_METHOD_POST = 1 << 2,
  CONFIG_METHOD_PUT = 1 << 3,
  CONFIG_METHOD_PATCH = 1 << 4,
  CONFIG_METHOD_DELETE = 1 << 5,
  CONFIG_METHOD_OPTIONS = 1 << 6,
} config_method_t;

/* Token bucket of a team. */
typedef struct
{
  double rate;  /* requests per second, above 0 */
  double burst; /* requests, at least 1 */
} config_limit_t;

typedef struct
{
  const char *name;
  const char *const *hosts; /* lower case, without port */
  size_t host_count;
  double sensitivity;          /* 0..1 */
  double retry_share;          /* 0..1, share of first attempts */
  uint32_t min_healthy_slots;  /* floor in slots */
  uint32_t entries_per_domain; /* 1..4 */
  uint32_t stall_ms;
  uint32_t slow_start_ms;
  uint32_t max_queue;               /* requests waiting for a slot at one assigned entry */
  uint32_t max_connections;         /* of all entries to one target; 0: as the target announces */
  const char *health_path;          /* NULL: none */
  const uint16_t *wrong_statuses;   /* statuses that count as a wrong response */
  size_t wrong_status_count;        /* 0: none */
  const char *wrong_require_header; /* header that a right response has; NULL: no such rule */
} config_service_t;

/* Part of the requests of a route that goes to one service. */
typedef struct
{
  uint32_t service; /* index for config_doc_service() */
  uint32_t weight;
} config_split_t;

typedef struct
{
  const char *id;
  const char *host;            /* lower case; NULL: the hosts of the service */
  const char *prefix;          /* normalised, see route_table */
  const config_split_t *split; /* NULL: all requests go to service */
  uint32_t split_count;
  uint32_t service; /* index for config_doc_service(); of the first part of a split */
  uint32_t timeout_ms;
  uint32_t goal_ms; /* latency objective; 0: none */
  uint32_t max_body_bytes;
  uint32_t max_attempts; /* targets that one request may be sent to */
  uint32_t priority;     /* 0 is the most urgent */
  uint8_t methods;       /* set of config_method_t */
  uint8_t request_class; /* config_class_t */
  bool idempotent;
} config_route_t;

/* Bounds on what a caller may send, and how long it may take. */
typedef struct
{
  uint32_t max_header_bytes;
  uint32_t max_body_bytes;
  uint32_t header_timeout_ms;
  uint32_t idle_timeout_ms;
} config_caller_limits_t;

typedef struct config_doc config_doc_t;

/* Checks canonical text (json_canonical()) against SCHEMA and builds the view, which keeps a
 * reference to TEXT. Returns NULL with ANV_ERROR_CONFIG. Text that is valid but not canonical is an
 * error. */
config_doc_t *config_doc_new (GBytes *text, uint32_t schema, anv_error_t *err);

/* The same, and takes over the parts that are unchanged since PREVIOUS (may be NULL), which was
 * checked. The result does not depend on PREVIOUS. */
config_doc_t *config_doc_new_after (const config_doc_t *previous, GBytes *text, uint32_t schema,
                                    anv_error_t *err);

/* The same as config_doc_new() for any JSON text; the text is brought to canonical form first, for
 * which the whole document is parsed. */
config_doc_t *config_doc_parse (const char *text, size_t size, uint32_t schema, anv_error_t *err);

config_doc_t *config_doc_ref (config_doc_t *doc);
void config_doc_unref (config_doc_t *doc);

/* Returns the canonical text. */
GBytes *config_doc_text (const config_doc_t *doc);

/* Returns the label, 0 without one, and the label that the document was made from. */
uint64_t config_doc_label (const config_doc_t *doc);
uint64_t config_doc_label_base (const config_doc_t *doc);

/* Returns the limits, or NULL if the document has none. */
const config_caller_limits_t *config_doc_caller_limits (const config_doc_t *doc);

/* Services are in the order of their names. */
size_t config_doc_service_count (const config_doc_t *doc);
const config_service_t *config_doc_service (const config_doc_t *doc, size_t index);

/* Returns the service NAME, or NULL. */
const config_service_t *config_doc_find_service (const config_doc_t *doc, const char *name);

/* Routes are in the order of the document. */
size_t config_doc_route_count (const config_doc_t *doc);
const config_route_t *config_doc_route (const config_doc_t *doc, size_t index);

/* Returns the route with ID, or NULL. Linear in the number of routes: for the operator's tool. */
const config_route_t *config_doc_find_route (const config_doc_t *doc, const char *id);

size_t config_doc_team_count (const config_doc_t *doc);

/* Returns the limit of team INDEX in the order of names; the name is SIZE bytes at NAME, without a
 * terminating null. */
const config_limit_t *config_doc_team (const config_doc_t *doc, size_t index, const char **name,
                                       size_t *size);

/* Returns the limit of team NAME; a team that is not listed, or NULL, has the limit of
 * "team_default". Logarithmic in the number of teams. */
const config_limit_t *config_doc_team_limit (const config_doc_t *doc, const char *name);
const config_limit_t *config_doc_team_default (const config_doc_t *doc);

/* Returns whether team NAME is listed in "teams". */
bool config_doc_has_team (const config_doc_t *doc, const char *name);

/* Returns the method named by SIZE bytes, or 0 for another name. */
config_method_t config_method_parse (const char *name, size_t size);

/* Returns "urgent" or "background". */
const char *config_class_name (uint8_t request_class);

/* Returns the names of a set of methods, separated by commas. Free with g_free(). */
char *config_methods_text (uint8_t methods);

/* Returns the size of the view in bytes, without the text. */
size_t config_doc_memory (const config_doc_t *doc);
