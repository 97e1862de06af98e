#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "anv_error.h"

/* config_doc - schema check and typed, read-only view of a configuration document.
 *
 * A document is checked as a whole; an error names the JSON path and the rule, for example
 * "$.routes[3].service: names no service". The view is immutable, so it can be shared by reference
 * and read while a newer one is built.
 *
 * Top-level keys, all optional: "services", "routes", "teams", "team_default",
 * "team_keys_required", "caller_limits", "label", "label_base", "annotations". "routes" is either
 * an array of objects with "id", or an object keyed by route id, whose members need no "id". A JSON
 * Merge Patch replaces an array as a whole, so only the object form lets a patch change a single
 * route.
 *
 * "label" is a version number that the operator chooses, in addition to the one that the history
 * assigns. "label_base" is the label of the version that the document was made from (see
 * version_store). "annotations", in the document, a service, a route or a team, is text that is
 * stored but not interpreted.
 *
 * A team has "rate" and "burst", or neither if it has no limit. It may have "priority", which takes
 * precedence over that of the route, and "keys", a list of digests (see team_keys). No two teams
 * have a key in common. If "team_keys_required" is true, a fleet with control instances serves a
 * route that is not "public" only with the key of a team. Errors name the place of a key, never its
 * digest.
 *
 * Memory: the view keeps a reference to the canonical text and reads the names of teams from it. In
 * addition to the text, a team takes about 10 bytes, a key of a team 20 and a route about 80
 * (docs/measurements/config.md). Elements are parsed one at a time, so that the parsed form of the
 * whole text is never held. */

/* Schema number of documents that this program writes. A schema defines the rules and the default
 * values. Each record states its schema, so that its meaning does not depend on the version of the
 * program. */
#define CONFIG_SCHEMA 1

/* Largest accepted canonical text, in bytes. Must fit in a frame of 32 MiB. */
#define CONFIG_MAX_TEXT_SIZE (31u << 20)

/* Maximum length of the name of a service, route, team or host, and of a prefix, in bytes. */
#define CONFIG_MAX_NAME_SIZE 128
#define CONFIG_MAX_PREFIX_SIZE 255
/* Maximum number of segments in a prefix. */
#define CONFIG_MAX_PREFIX_SEGMENTS 32

typedef enum
{
  CONFIG_ERROR_JSON = 1, /* not UTF-8 or JSON, too deep, duplicate key */
  CONFIG_ERROR_RULE,     /* breaks a rule of the schema, or canonical text has a malformed member */
  CONFIG_ERROR_SCHEMA,   /* unknown schema number */
  CONFIG_ERROR_TOO_LARGE,
  CONFIG_ERROR_PATCH, /* the patch is not a JSON object */
  CONFIG_ERROR_EDIT,  /* text edits do not fit the text, or the result is too large */
} config_error_t;

typedef enum
{
  CONFIG_CLASS_URGENT,
  CONFIG_CLASS_BACKGROUND,
} config_class_t;

/* Methods are bits, so that a uint8_t can hold a set of them. Names are case-sensitive. */
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

/* Rate limit of a team, a token bucket. */
typedef struct
{
  double rate;  /* requests per second; 0: no limit */
  double burst; /* requests, at least 1; 0 without a limit */
} config_limit_t;

/* Priority of a team that has none of its own. */
#define CONFIG_NO_PRIORITY UINT32_MAX

/* What a request is served by once its team is known. */
typedef struct
{
  char name[CONFIG_MAX_NAME_SIZE + 1];
  config_limit_t limit;
  uint32_t priority; /* CONFIG_NO_PRIORITY: that of the route applies */
} config_team_info_t;

typedef struct
{
  const char *name;
  const char *const *hosts; /* lower case, without port */
  size_t host_count;
  double sensitivity;             /* 0..1; 0: fewest false ejections, 1: fastest detection */
  double retry_share;             /* 0..1, retries as a share of first attempts */
  uint32_t min_healthy_slots;     /* healthy slots that ejections leave in service */
  uint32_t entries_per_domain;    /* assigned entries in each failure domain, 1..4 */
  uint32_t stall_ms;              /* a connection without progress for this time is stalled */
  uint32_t slow_start_ms;         /* duration of the slow start of a new target */
  uint32_t max_queue;             /* requests of a class that wait at one assigned entry */
  uint32_t max_connections;       /* from all entries to one target; 0: as the target announces */
  const char *health_path;        /* path of health probes; NULL: none */
  const uint16_t *wrong_statuses; /* statuses that count as a wrong response */
  size_t wrong_status_count;      /* 0: no status counts as wrong */
  const char *wrong_required_header; /* a 2xx response without it is wrong; NULL: no rule */
} config_service_t;

/* One part of a traffic split: the service gets WEIGHT / sum of weights of the route's requests. */
typedef struct
{
  uint32_t service; /* index for config_doc_service() */
  uint32_t weight;
} config_split_t;

typedef struct
{
  const char *id;
  const char *host;   /* lower case; NULL: the hosts of the service */
  const char *prefix; /* normalized as in route_table, except for letter case; may end in '/' */
  const config_split_t *split; /* NULL: all requests go to SERVICE */
  uint32_t split_count;
  uint32_t service; /* index for config_doc_service(); with a split, that of its first part */
  uint32_t timeout_ms;
  uint32_t goal_ms; /* latency goal; requests that can meet it go before late ones; 0: none */
  uint32_t max_body_bytes;
  uint32_t max_attempts; /* maximum number of targets that a request is sent to */
  uint32_t priority;     /* requests with lower values are dispatched first */
  uint8_t methods;       /* set of config_method_t */
  uint8_t request_class; /* config_class_t */
  bool idempotent;
  bool is_public; /* served without the key of a team */
} config_route_t;

/* Limits on the size of requests, the time that a caller takes to send a request head, and the idle
 * time between two requests of a connection. */
typedef struct
{
  uint32_t max_header_bytes;
  uint32_t max_body_bytes;
  uint32_t header_timeout_ms;
  uint32_t idle_timeout_ms;
} config_caller_limits_t;

typedef struct config_doc config_doc_t;

/* Checks canonical text (json_print_canonical()) against SCHEMA and builds the view, which keeps a
 * reference to TEXT. Returns NULL with ANV_ERROR_CONFIG. Keys must be in canonical order;
 * other differences from canonical text, such as white space, are not always detected. */
config_doc_t *config_doc_new (GBytes *text, uint32_t schema, anv_error_t *err);

/* Like config_doc_new(), but copies the parts that are unchanged since PREVIOUS instead of checking
 * them again. PREVIOUS may be NULL. The result does not depend on it. */
config_doc_t *config_doc_new_after (const config_doc_t *previous, GBytes *text, uint32_t schema,
                                    anv_error_t *err);

/* Like config_doc_new(), for any JSON text. Converts the text to canonical form first, which parses
 * the whole document. */
config_doc_t *config_doc_parse (const char *text, size_t size, uint32_t schema, anv_error_t *err);

config_doc_t *config_doc_ref (config_doc_t *doc);
void config_doc_unref (config_doc_t *doc);

/* Returns the canonical text. */
GBytes *config_doc_text (const config_doc_t *doc);

/* Return the label of the document, and the label of the version that it was made from. 0: none. */
uint64_t config_doc_label (const config_doc_t *doc);
uint64_t config_doc_label_base (const config_doc_t *doc);

/* Returns the limits of callers, or NULL if the document has none. */
const config_caller_limits_t *config_doc_caller_limits (const config_doc_t *doc);

/* Services are sorted by name. INDEX is below the count. */
size_t config_doc_service_count (const config_doc_t *doc);
const config_service_t *config_doc_service (const config_doc_t *doc, size_t index);

/* Returns the service NAME, or NULL. */
const config_service_t *config_doc_find_service (const config_doc_t *doc, const char *name);

/* Routes are in the order of the document. INDEX is below the count. */
size_t config_doc_route_count (const config_doc_t *doc);
const config_route_t *config_doc_route (const config_doc_t *doc, size_t index);

/* Returns the route with ID, or NULL. Linear in the number of routes; meant for the operators' tool
 * only. */
const config_route_t *config_doc_find_route (const config_doc_t *doc, const char *id);

size_t config_doc_team_count (const config_doc_t *doc);

/* Returns the limit of team INDEX; teams are sorted by name. Stores the name in NAME and its size
 * in bytes in SIZE. The name is not null-terminated. */
const config_limit_t *config_doc_team_limit_at (const config_doc_t *doc, size_t index,
                                                const char **name, size_t *size);

/* Returns the limit of team NAME, or that of "team_default" if NAME is not listed or NULL.
 * Logarithmic in the number of teams. */
const config_limit_t *config_doc_find_team_limit (const config_doc_t *doc, const char *name);
const config_limit_t *config_doc_team_default (const config_doc_t *doc);

/* Returns whether a request needs the key of a team, unless its route is public. */
bool config_doc_requires_team_key (const config_doc_t *doc);

/* Stores the team that has the key of SIZE bytes at KEY in INFO. Returns false if there is none.
 * Logarithmic in the number of keys. */
bool config_doc_find_team_by_key (const config_doc_t *doc, const char *key, size_t size,
                                  config_team_info_t *info);

/* Returns whether team NAME is listed in "teams". */
bool config_doc_has_team (const config_doc_t *doc, const char *name);

/* Returns the method with the name of SIZE bytes at NAME, or 0 if it is unknown. */
config_method_t config_method_parse (const char *name, size_t size);

/* Returns "urgent" or "background". */
const char *config_class_name (uint8_t request_class);

/* Returns the names of a set of methods, separated by commas. Free with g_free(). */
char *config_methods_to_text (uint8_t methods);

/* Returns the memory of the view in bytes, without the text. */
size_t config_doc_memory_bytes (const config_doc_t *doc);
