#pragma once

#include "config_doc.h"

/* route_table - selects the service and the route of a request.
 *
 * The host of a request selects a service, or the routes that have it as their own host; letter
 * case and port are ignored. Among the routes of that service or host that have the method, the one
 * with the longest prefix of the path is selected. A prefix that ends in '/' must begin the path:
 * "/a/" is a prefix of "/a/" and "/a/b", not of "/a". Any other prefix must also end at a '/'
 * boundary of the path: "/a" is a prefix of "/a" and "/a/b", not of "/ab". The cost depends on the
 * number of segments of the path, not on the number of routes.
 *
 * The request target is forwarded unchanged, and backend servers differ in how they interpret a
 * path. Two forms of the path are therefore matched: the literal one and a normalized one.
 * Normalization repeatedly decodes percent-encoding, treats '\' as '/', replaces Unicode
 * compatibility characters by their plain form, and ignores letter case. It drops empty and "."
 * segments, everything from ';' or a decoded '?' or '#' on in a segment, and dots and spaces at the
 * end of a segment. A separator after the last segment stays.
 *
 * A backend server may apply any subset of these steps. A prefix that matches after one of the
 * subsets also matches the normalized form, and a prefix that matches the literal form matches
 * after every subset. A request is refused as ambiguous if the two forms select different routes;
 * otherwise all interpretations select the same route. Segments of two or more dots, control
 * characters, an unencoded '#', invalid UTF-8, and percent-encoding that is malformed or has more
 * than four levels are always refused. */

/* Longest path in bytes, without the query, that is matched. */
#define ROUTE_MAX_PATH_SIZE 4096

typedef struct route_table route_table_t;

typedef enum
{
  ROUTE_FOUND,
  ROUTE_NO_SERVICE,     /* no service or route has the host */
  ROUTE_NO_ROUTE,       /* no prefix matches */
  ROUTE_NO_METHOD,      /* a prefix matches, but no route with it has the method */
  ROUTE_BAD_PATH,       /* the path is malformed or always refused, such as with ".." */
  ROUTE_AMBIGUOUS_PATH, /* the literal and the normalized path select different routes */
  ROUTE_PATH_TOO_LONG,  /* the path is longer than ROUTE_MAX_PATH_SIZE */
} route_result_t;

typedef struct
{
  /* The service of the route. If no route is found, the service that has the host, or NULL if none
   * has. For a route with a traffic split, the service of the first part. */
  const config_service_t *service;
  const config_route_t *route; /* NULL unless the result is ROUTE_FOUND */
} route_match_t;

typedef struct
{
  /* A prefix without a '/' at its end means the same as with one. */
  bool adds_final_slash;
} route_table_options_t;

/* Builds the table of DOC and keeps a reference to DOC. OPTIONS may be NULL, for a table in which
 * each prefix means what it says. */
route_table_t *route_table_new (config_doc_t *doc, const route_table_options_t *options);
void route_table_free (route_table_t *table);

/* Selects the route of a request with the Host header HOST and the request target TARGET in origin
 * form ("/path?query"). METHOD is case-sensitive. The structs that MATCH points to belong to the
 * document. */
route_result_t route_table_lookup (const route_table_t *table, const char *method, const char *host,
                                   const char *target, route_match_t *match);

/* Returns a description of RESULT for responses and log lines. */
const char *route_result_text (route_result_t result);

/* Returns the size of the table in bytes, without the document and the hash table of host names. */
size_t route_table_memory_bytes (const route_table_t *table);
