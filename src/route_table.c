#include "route_table.h"

#include <string.h>

#include "route_path.h"

#define NO_ROUTE UINT32_MAX
#define HASH_SEED 14695981039346656037ULL
#define HASH_PRIME 1099511628211ULL

struct route_table
{
  config_doc_t *doc;
  GHashTable *hosts; /* host to config_service_t */
  uint32_t *slots;   /* open addressing by service and prefix: first route with them */
  uint32_t mask;     /* number of slots - 1 */
  uint32_t *next;    /* for each route: another one with the same service and prefix */
};

/* Hashes lower-case bytes on top of HASH. */
static uint64_t
hash_bytes (uint64_t hash, const char *data, size_t size)
{
  for (size_t i = 0; i < size; i++)
    hash = (hash ^ (uint8_t)g_ascii_tolower (data[i])) * HASH_PRIME;
  return hash;
}

static uint64_t
hash_service (uint32_t service)
{
  return (HASH_SEED ^ service) * HASH_PRIME;
}

static uint32_t
slot_of (const route_table_t *table, uint64_t hash)
{
  return (uint32_t)((hash ^ (hash >> 32)) & table->mask);
}

static bool
has_key (const config_route_t *route, uint32_t service, const char *prefix, size_t size)
{
  return route->service == service && strlen (route->prefix) == size
         && g_ascii_strncasecmp (route->prefix, prefix, size) == 0;
}

/* Returns the slot that holds the prefix, or the empty slot where it belongs. */
static uint32_t *
find_slot (const route_table_t *table, uint64_t hash, uint32_t service, const char *prefix,
           size_t size)
{
  for (uint32_t i = slot_of (table, hash);; i = (i + 1) & table->mask)
    {
      uint32_t *slot = &table->slots[i];
      if (*slot == NO_ROUTE
          || has_key (config_doc_route (table->doc, *slot), service, prefix, size))
        return slot;
    }
}

static void
add_route (route_table_t *table, uint32_t index)
{
  const config_route_t *route = config_doc_route (table->doc, index);
  size_t size = strlen (route->prefix);
  uint64_t hash = hash_bytes (hash_service (route->service), route->prefix, size);
  uint32_t *slot = find_slot (table, hash, route->service, route->prefix, size);
  table->next[index] = *slot;
  *slot = index;
}

static void
add_hosts (route_table_t *table, const config_service_t *service)
{
  for (size_t i = 0; i < service->host_count; i++)
    g_hash_table_insert (table->hosts, (void *)service->hosts[i], (void *)service);
}

route_table_t *
route_table_new (config_doc_t *doc)
{
  route_table_t *table = g_new0 (route_table_t, 1);
  size_t count = config_doc_route_count (doc);
  uint32_t slots = 16;
  /* At most half of the slots are used, so a probe ends soon. */
  while (slots < 2 * count)
    slots *= 2;

  table->doc = config_doc_ref (doc);
  table->hosts = g_hash_table_new (g_str_hash, g_str_equal);
  table->mask = slots - 1;
  table->slots = g_new (uint32_t, slots);
  memset (table->slots, 0xff, slots * sizeof (uint32_t));
  table->next = g_new (uint32_t, count);
  for (size_t i = 0; i < config_doc_service_count (doc); i++)
    add_hosts (table, config_doc_service (doc, i));
  for (size_t i = 0; i < count; i++)
    add_route (table, (uint32_t)i);
  return table;
}

void
route_table_free (route_table_t *table)
{
  if (table == NULL)
    return;
  g_hash_table_destroy (table->hosts);
  g_free (table->slots);
  g_free (table->next);
  config_doc_unref (table->doc);
  g_free (table);
}

static const config_service_t *
find_service (const route_table_t *table, const char *host)
{
  char name[CONFIG_MAX_NAME_SIZE + 1];
  const char *literal_end = host[0] == '[' ? strchr (host, ']') : NULL;
  size_t size = literal_end != NULL ? (size_t)(literal_end - host) + 1 : strcspn (host, ":");
  if (host[size] != '\0' && host[size] != ':')
    return NULL;
  /* The absolute form of a domain name ends in a dot. */
  if (size > 1 && host[size - 1] == '.')
    size--;
  if (size >= sizeof (name))
    return NULL;
  for (size_t i = 0; i < size; i++)
    name[i] = g_ascii_tolower (host[i]);
  name[size] = '\0';
  return g_hash_table_lookup (table->hosts, name);
}

/* Selects the route with METHOD and a prefix; notes in HAS_PREFIX that the prefix exists. */
static const config_route_t *
find_route (const route_table_t *table, uint64_t hash, uint32_t service, const char *prefix,
            size_t size, config_method_t method, bool *has_prefix)
{
  uint32_t index = *find_slot (table, hash, service, prefix, size);
  *has_prefix = *has_prefix || index != NO_ROUTE;
  for (; index != NO_ROUTE; index = table->next[index])
    {
      const config_route_t *route = config_doc_route (table->doc, index);
      if ((route->methods & method) != 0)
        return route;
    }
  return NULL;
}

static const config_route_t *
find_longest (const route_table_t *table, uint32_t service, const route_path_t *path,
              config_method_t method, bool *has_prefix)
{
  uint64_t hashes[CONFIG_MAX_PREFIX_SEGMENTS];
  uint64_t hash = hash_service (service);
  size_t start = 0;
  for (size_t i = 0; i < path->count; i++)
    {
      hash = hash_bytes (hash, path->text + start, path->ends[i] - start);
      hashes[i] = hash;
      start = path->ends[i];
    }
  for (size_t i = path->count; i > 0; i--)
    {
      const config_route_t *route = find_route (table, hashes[i - 1], service, path->text,
                                                path->ends[i - 1], method, has_prefix);
      if (route != NULL)
        return route;
    }
  uint64_t root_hash = hash_bytes (hash_service (service), "/", 1);
  return find_route (table, root_hash, service, "/", 1, method, has_prefix);
}

route_result_t
route_table_lookup (const route_table_t *table, const char *method, const char *host,
                    const char *target, route_match_t *match)
{
  route_path_t path;
  bool has_prefix = false;

  *match = (route_match_t){ NULL, NULL };
  match->service = find_service (table, host);
  if (match->service == NULL)
    return ROUTE_NO_SERVICE;
  route_result_t result = route_path_read (&path, target);
  if (result != ROUTE_FOUND)
    return result;

  uint32_t service = (uint32_t)(match->service - config_doc_service (table->doc, 0));
  const config_route_t *route = find_longest (
      table, service, &path, config_method_parse (method, strlen (method)), &has_prefix);
  if (route == NULL)
    return has_prefix ? ROUTE_NO_METHOD : ROUTE_NO_ROUTE;
  if (!route_path_is_literal (target, route->prefix))
    return ROUTE_AMBIGUOUS_PATH;
  match->route = route;
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
route_table_memory (const route_table_t *table)
{
  size_t slots = (size_t)table->mask + 1;
  return sizeof (*table) + (slots + config_doc_route_count (table->doc)) * sizeof (uint32_t);
}
