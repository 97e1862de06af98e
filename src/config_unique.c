#include "config_build.h"

#include <string.h>

/* Bucket of a hash table of routes with open addressing. */
typedef struct
{
  uint32_t route;  /* index + 1; 0: the bucket is empty */
  uint8_t methods; /* union over all routes with the same host or service, and prefix */
} bucket_t;

typedef struct
{
  const config_doc_t *doc;
  bucket_t *buckets;
  uint32_t mask;
} route_set_t;

static void
route_set_init (route_set_t *set, const config_doc_t *doc)
{
  uint32_t count = 16;
  while (count < 2 * doc->routes->len)
    count *= 2;
  set->doc = doc;
  set->buckets = g_new0 (bucket_t, count);
  set->mask = count - 1;
}

static uint32_t
hash_text (uint32_t hash, const char *text)
{
  for (; *text != '\0'; text++)
    hash = (hash ^ (uint8_t)g_ascii_tolower (*text)) * 16777619u;
  return hash ^ (hash >> 15);
}

/* Returns the bucket of a route that is equal to ROUTE, or the empty bucket for ROUTE. */
static bucket_t *
find_bucket (const route_set_t *set, uint32_t hash, const config_route_t *route,
             bool (*equal) (const config_route_t *a, const config_route_t *b))
{
  uint32_t i = hash & set->mask;
  while (set->buckets[i].route != 0
         && !equal (config_doc_route (set->doc, set->buckets[i].route - 1), route))
    i = (i + 1) & set->mask;
  return &set->buckets[i];
}

static bool
equal_ids (const config_route_t *a, const config_route_t *b)
{
  return strcmp (a->id, b->id) == 0;
}

static bool
equal_prefixes (const config_route_t *a, const config_route_t *b)
{
  bool same_host = a->host == NULL || b->host == NULL
                       ? a->host == b->host && a->service == b->service
                       : strcmp (a->host, b->host) == 0;
  return same_host && g_ascii_strcasecmp (a->prefix, b->prefix) == 0;
}

static bool
add_id (const field_context_t *context, const route_set_t *set, uint32_t index)
{
  const config_route_t *route = config_doc_route (set->doc, index);
  bucket_t *bucket = find_bucket (set, hash_text (0, route->id), route, equal_ids);
  if (bucket->route != 0)
    return field_set_error (context, NULL, "id \"%s\" is used twice", route->id);
  bucket->route = index + 1;
  return true;
}

/* Prefixes that differ only in case are rejected, because a backend server that ignores case could
 * not tell their routes apart. */
static bool
add_prefix (const field_context_t *context, const route_set_t *set, uint32_t index)
{
  const config_route_t *route = config_doc_route (set->doc, index);
  uint32_t host_hash = route->host != NULL ? hash_text (0, route->host) : route->service;
  bucket_t *bucket = find_bucket (set, hash_text (host_hash, route->prefix), route, equal_prefixes);
  if (bucket->route != 0)
    {
      const config_route_t *other = config_doc_route (set->doc, bucket->route - 1);
      if (strcmp (other->prefix, route->prefix) != 0)
        return field_set_error (context, NULL, "prefixes of \"%s\" and \"%s\" differ only in case",
                                other->id, route->id);
      if ((bucket->methods & route->methods) != 0)
        return field_set_error (context, NULL,
                                "\"%s\" has the service, prefix and a method of another route",
                                route->id);
    }
  bucket->route = index + 1;
  bucket->methods |= route->methods;
  return true;
}

static bool
check_all (const config_doc_t *doc, anv_error_t *err,
           bool (*add) (const field_context_t *context, const route_set_t *set, uint32_t index))
{
  field_context_t context = { .err = err, .path = "$.routes" };
  route_set_t set;
  bool ok = true;
  route_set_init (&set, doc);
  for (uint32_t i = 0; ok && i < doc->routes->len; i++)
    ok = add (&context, &set, i);
  g_free (set.buckets);
  return ok;
}

bool
config_check_routes (const config_doc_t *doc, bool check_ids, anv_error_t *err)
{
  if (check_ids && !check_all (doc, err, add_id))
    return false;
  return check_all (doc, err, add_prefix);
}
