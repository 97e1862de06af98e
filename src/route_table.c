#include "route_table.h"

#include <string.h>

#include "route_path.h"

#define NO_ROUTE UINT32_MAX
/* Parameters of the 64-bit FNV-1a hash. */
#define FNV_OFFSET 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL

struct route_table
{
  route_table_options_t options;
  config_doc_t *doc;
  /* Host name -> host id + 1. The id of a host of a service is the index of the service. Hosts that
   * only routes have get the next ids. */
  GHashTable *hosts;
  uint32_t *host_ids; /* by route: id of its host */
  /* Hash table by host and segments of the prefix, with open addressing. A bucket holds the index
   * of the first route with them, or NO_ROUTE. */
  uint32_t *buckets;
  uint32_t mask;  /* number of buckets - 1; the number is a power of two */
  uint32_t *next; /* by route: next route with the same host and segments, or NO_ROUTE */
};

/* Continues the FNV-1a hash HASH with the bytes of DATA in lower case. */
static uint64_t
hash_bytes (uint64_t hash, const char *data, size_t size)
{
  for (size_t i = 0; i < size; i++)
    hash = (hash ^ (uint8_t)g_ascii_tolower (data[i])) * FNV_PRIME;
  return hash;
}

static uint64_t
hash_host (uint32_t host_id)
{
  return (FNV_OFFSET ^ host_id) * FNV_PRIME;
}

static uint32_t
bucket_index (const route_table_t *table, uint64_t hash)
{
  return (uint32_t)((hash ^ (hash >> 32)) & table->mask);
}

/* Returns whether the path must go on with a '/' after the segments of the prefix. */
static bool
ends_in_separator (const route_table_t *table, const config_route_t *route)
{
  return table->options.adds_final_slash || route->prefix[strlen (route->prefix) - 1] == '/';
}

/* Returns the size of the segments of the prefix: without a '/' at its end, unless it is "/". */
static size_t
segments_size (const config_route_t *route)
{
  size_t size = strlen (route->prefix);
  return size > 1 && route->prefix[size - 1] == '/' ? size - 1 : size;
}

static bool
has_host_and_segments (const route_table_t *table, uint32_t index, uint32_t host_id,
                       const char *segments, size_t size)
{
  const config_route_t *route = config_doc_route (table->doc, index);
  return table->host_ids[index] == host_id && segments_size (route) == size
         && g_ascii_strncasecmp (route->prefix, segments, size) == 0;
}

/* Returns the bucket of the host and segments, or the empty bucket where they belong. */
static uint32_t *
find_bucket (const route_table_t *table, uint64_t hash, uint32_t host_id, const char *segments,
             size_t size)
{
  for (uint32_t i = bucket_index (table, hash);; i = (i + 1) & table->mask)
    {
      uint32_t *bucket = &table->buckets[i];
      if (*bucket == NO_ROUTE || has_host_and_segments (table, *bucket, host_id, segments, size))
        return bucket;
    }
}

/* Returns the id of the host of ROUTE. A host that a route names for the first time gets the id
 * NEXT_HOST_ID, which is incremented. */
static uint32_t
assign_host_id (route_table_t *table, const config_route_t *route, uint32_t *next_host_id)
{
  if (route->host == NULL)
    return route->service;
  uint32_t found = GPOINTER_TO_UINT (g_hash_table_lookup (table->hosts, route->host));
  if (found != 0)
    return found - 1;
  g_hash_table_insert (table->hosts, (void *)route->host, GUINT_TO_POINTER (*next_host_id + 1));
  return (*next_host_id)++;
}

static void
add_route (route_table_t *table, uint32_t index, uint32_t *next_host_id)
{
  const config_route_t *route = config_doc_route (table->doc, index);
  size_t size = segments_size (route);
  uint32_t host_id = assign_host_id (table, route, next_host_id);
  uint64_t hash = hash_bytes (hash_host (host_id), route->prefix, size);
  table->host_ids[index] = host_id;
  uint32_t *bucket = find_bucket (table, hash, host_id, route->prefix, size);
  table->next[index] = *bucket;
  *bucket = index;
}

static void
add_hosts (route_table_t *table, uint32_t index)
{
  const config_service_t *service = config_doc_service (table->doc, index);
  for (size_t i = 0; i < service->host_count; i++)
    g_hash_table_insert (table->hosts, (void *)service->hosts[i], GUINT_TO_POINTER (index + 1));
}

route_table_t *
route_table_new (config_doc_t *doc, const route_table_options_t *options)
{
  route_table_t *table = g_new0 (route_table_t, 1);
  size_t count = config_doc_route_count (doc);
  uint32_t bucket_count = 16;
  /* At most half of the buckets are used, which keeps probe sequences short. */
  while (bucket_count < 2 * count)
    bucket_count *= 2;

  if (options != NULL)
    table->options = *options;
  table->doc = config_doc_ref (doc);
  table->hosts = g_hash_table_new (g_str_hash, g_str_equal);
  table->mask = bucket_count - 1;
  table->buckets = g_new (uint32_t, bucket_count);
  memset (table->buckets, 0xff, bucket_count * sizeof (uint32_t));
  table->next = g_new (uint32_t, count);
  table->host_ids = g_new (uint32_t, count);
  uint32_t next_host_id = (uint32_t)config_doc_service_count (doc);
  for (uint32_t i = 0; i < config_doc_service_count (doc); i++)
    add_hosts (table, i);
  for (size_t i = 0; i < count; i++)
    add_route (table, (uint32_t)i, &next_host_id);
  return table;
}

void
route_table_free (route_table_t *table)
{
  if (table == NULL)
    return;
  g_hash_table_destroy (table->hosts);
  g_free (table->buckets);
  g_free (table->next);
  g_free (table->host_ids);
  config_doc_unref (table->doc);
  g_free (table);
}

/* Stores the id of the host in HOST, which may have a port. Returns false if neither a service nor
 * a route names it. */
static bool
find_host (const route_table_t *table, const char *host, uint32_t *host_id)
{
  char name[CONFIG_MAX_NAME_SIZE + 1];
  const char *address_end = host[0] == '[' ? strchr (host, ']') : NULL;
  size_t size = address_end != NULL ? (size_t)(address_end - host) + 1 : strcspn (host, ":");
  if (host[size] != '\0' && host[size] != ':')
    return false;
  /* A fully qualified domain name may end in a dot. */
  if (size > 1 && host[size - 1] == '.')
    size--;
  if (size >= sizeof (name))
    return false;
  for (size_t i = 0; i < size; i++)
    name[i] = g_ascii_tolower (host[i]);
  name[size] = '\0';
  uint32_t found = GPOINTER_TO_UINT (g_hash_table_lookup (table->hosts, name));
  *host_id = found - 1;
  return found != 0;
}

/* Returns the route of the host with METHOD whose prefix has exactly SEGMENTS, or NULL. If the path
 * CONTINUES with a separator, a prefix that ends in one comes first, otherwise it does not match.
 * Sets HAS_PREFIX if the prefix of any route of the host matches. */
static const config_route_t *
find_route (const route_table_t *table, uint64_t hash, uint32_t host_id, const char *segments,
            size_t size, bool continues, config_method_t method, bool *has_prefix)
{
  const config_route_t *found = NULL;
  uint32_t index = *find_bucket (table, hash, host_id, segments, size);
  for (; index != NO_ROUTE; index = table->next[index])
    {
      const config_route_t *route = config_doc_route (table->doc, index);
      if (ends_in_separator (table, route) && !continues)
        continue;
      *has_prefix = true;
      if ((route->methods & method) != 0 && (found == NULL || ends_in_separator (table, route)))
        found = route;
    }
  return found;
}

/* Among the routes of the host with METHOD, returns the one with the longest prefix of PATH, or
 * NULL. Sets HAS_PREFIX if any route of the host has a prefix of PATH. */
static const config_route_t *
find_longest_prefix (const route_table_t *table, uint32_t host_id, const route_path_t *path,
                     config_method_t method, bool *has_prefix)
{
  uint64_t hashes[CONFIG_MAX_PREFIX_SEGMENTS];
  uint64_t hash = hash_host (host_id);
  size_t start = 0;
  for (size_t i = 0; i < path->segment_count; i++)
    {
      hash = hash_bytes (hash, path->text + start, path->segment_ends[i] - start);
      hashes[i] = hash;
      start = path->segment_ends[i];
    }
  for (size_t i = path->segment_count; i > 0; i--)
    {
      bool continues = i < path->segment_count || path->continues;
      const config_route_t *route
          = find_route (table, hashes[i - 1], host_id, path->text, path->segment_ends[i - 1],
                        continues, method, has_prefix);
      if (route != NULL)
        return route;
    }
  uint64_t root_hash = hash_bytes (hash_host (host_id), "/", 1);
  return find_route (table, root_hash, host_id, "/", 1, true, method, has_prefix);
}

route_result_t
route_table_lookup (const route_table_t *table, const char *method, const char *host,
                    const char *target, route_match_t *match)
{
  route_path_t path;
  bool has_prefix = false;

  *match = (route_match_t){ NULL, NULL };
  uint32_t host_id = 0;
  if (!find_host (table, host, &host_id))
    return ROUTE_NO_SERVICE;
  if (host_id < config_doc_service_count (table->doc))
    match->service = config_doc_service (table->doc, host_id);
  route_result_t result = route_path_normalize (&path, target);
  if (result != ROUTE_FOUND)
    return result;

  const config_route_t *route = find_longest_prefix (
      table, host_id, &path, config_method_parse (method, strlen (method)), &has_prefix);
  if (route == NULL)
    return has_prefix ? ROUTE_NO_METHOD : ROUTE_NO_ROUTE;
  if (!route_path_has_literal_prefix (target, route->prefix, ends_in_separator (table, route)))
    return ROUTE_AMBIGUOUS_PATH;
  match->route = route;
  match->service = config_doc_service (table->doc, route->service);
  return ROUTE_FOUND;
}

const char *
route_result_text (route_result_t result)
{
  static const char *const texts[] = {
    [ROUTE_FOUND] = "found",
    [ROUTE_NO_SERVICE] = "no service has this host",
    [ROUTE_NO_ROUTE] = "no route has a prefix of this path",
    [ROUTE_NO_METHOD] = "no route for this path has this method",
    [ROUTE_BAD_PATH] = "the path is malformed or has a \"..\" segment",
    [ROUTE_AMBIGUOUS_PATH] = "the path can be read as paths of different routes",
    [ROUTE_PATH_TOO_LONG] = "the path is too long",
  };
  return texts[result];
}

size_t
route_table_memory_bytes (const route_table_t *table)
{
  size_t bucket_count = (size_t)table->mask + 1;
  return sizeof (*table)
         + (bucket_count + 2 * config_doc_route_count (table->doc)) * sizeof (uint32_t);
}
