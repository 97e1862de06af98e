#pragma once

#include "config_doc.h"

/* route_table - selects the service and the route of a request.
 *
 * The host selects the service, or the routes that name the host themselves; letter case and port
 * are ignored. Among the routes of the service or host that have the method, the one with the
 * longest prefix that ends at a '/' boundary of the path is selected. The cost depends on the
 * number of segments of the path, not on the number of routes.
 *
 * The request target is forwarded to the backend server as it came, and backend servers differ in
 * how they read a path. So two readings are matched: the literal one, and a loose one in which
 * percent-encoding is decoded (repeatedly), '\' is '/', compatibility characters of Unicode have
 * their plain form, empty and "." segments, everything from ';' in a segment and dots and spaces at
 * its end are dropped, and letter case is ignored. A prefix that any partial combination
 * of these steps matches is also matched in the loose reading, and a prefix that matches literally
 * is matched in all of them. A request is refused as ambiguous if the two readings select different
 * routes; otherwise every reading selects the same route. ".." segments, control characters, '#',
 * invalid UTF-8 and malformed percent-encoding are refused in any case. */

/* Longest path, without the query, that is matched. */
#define ROUTE_MAX_PATH_SIZE 4096

typedef struct route_table route_table_t;

typedef enum
{
  ROUTE_FOUND,
  ROUTE_NO_SERVICE,     /* no service has the host */
  ROUTE_NO_ROUTE,       /* no prefix matches */
  ROUTE_NO_METHOD,      /* a prefix matches, but not with the method */
  ROUTE_BAD_PATH,       /* malformed, or refused in any reading */
  ROUTE_AMBIGUOUS_PATH, /* readings of the path select different routes */
  ROUTE_PATH_TOO_LONG,
} route_result_t;

typedef struct
{
  /* Also set if only the route is missing, unless the host is named by routes. Of a route with a
   * split it is the first part. */
  const config_service_t *service;
  const config_route_t *route; /* NULL unless found */
} route_match_t;

/* Builds the table for DOC and keeps a reference to it. */
route_table_t *route_table_new (config_doc_t *doc);
void route_table_free (route_table_t *table);

/* Selects the route for a request with the Host header HOST and the request target TARGET, which
 * must be in origin form ("/path?query"). METHOD is case-sensitive. The structs in MATCH belong to
 * the document. */
route_result_t route_table_lookup (const route_table_t *table, const char *method, const char *host,
                                   const char *target, route_match_t *match);

/* Returns a description of RESULT for responses and logs. */
const char *route_result_text (route_result_t result);

/* Returns the size of the table in bytes, without the document. */
size_t route_table_memory (const route_table_t *table);
