#include "route_table.h"

#include <string.h>

#include "route_path.h"

#define NO_ROUTE UINT32_MAX
#define HASH_SEED 14695981039346656037ULL
#define HASH_PRIME 1099511628211ULL

struct route_table
{
  config_doc_t *doc;
  GHashTable *hosts; /* host to its number + 1: index of a service, or above for hosts of routes */
  uint32_t *numbers; /* for each route: number of its host */
  uint32_t *slots;   /* open addressing by host and prefix: first route with them */
  uint32_t mask;     /* number of slots - 1 */
  uint32_t *next;    /* for each route: another one with the same host and prefix */
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
hash_host (uint32_t host)
{
  return (HASH_SEED ^ host) * HASH_PRIME;
}

static uint32_t
slot_of (const route_table_t *table, uint64_t hash)
{
  return (uint32_t)((hash ^ (hash >> 32)) & table->mask);
}

static bool
has_key (const route_table_t *table, uint32_t index, uint32_t host, const char *prefix, size_t size)
{
  const config_route_t *route = config_doc_route (table->doc, index);
  return table->numbers[index] == host && strlen (route->prefix) == size
         && g_ascii_strncasecmp (route->prefix, prefix, size) == 0;
}

/* Returns the slot that holds the prefix, or the empty slot where it belongs. */
static uint32_t *
find_slot (const route_table_t *table, uint64_t hash, uint32_t host, const char *prefix,
           size_t size)
{
  for (uint32_t i = slot_of (table, hash);; i = (i + 1) & table->mask)
    {
      uint32_t *slot = &table->slots[i];
      if (*slot == NO_ROUTE || has_key (table, *slot, host, prefix, size))
        return slot;
    }
}

/* Returns the number of the host of ROUTE, which is a new one when the route is the first to name
 * it. */
static uint32_t
number_host (route_table_t *table, const config_route_t *route, uint32_t *next)
{
  if (route->host == NULL)
    return route->service;
  uint32_t number = GPOINTER_TO_UINT (g_hash_table_lookup (table->hosts, route->host));
  if (number != 0)
    return number - 1;
  g_hash_table_insert (table->hosts, (void *)route->host, GUINT_TO_POINTER (*next + 1));
  return (*next)++;
}

static void
add_route (route_table_t *table, uint32_t index, uint32_t *next_host)
{
  const config_route_t *route = config_doc_route (table->doc, index);
  size_t size = strlen (route->prefix);
  uint32_t host = number_host (table, route, next_host);
  uint64_t hash = hash_bytes (hash_host (host), route->prefix, size);
  table->numbers[index] = host;
  uint32_t *slot = find_slot (table, hash, host, route->prefix, size);
  table->next[index] = *slot;
  *slot = index;
}

static void
add_hosts (route_table_t *table, uint32_t index)
{
  const config_service_t *service = config_doc_service (table->doc, index);
  for (size_t i = 0; i < service->host_count; i++)
    g_hash_table_insert (table->hosts, (void *)service->hosts[i], GUINT_TO_POINTER (index + 1));
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
  table->numbers = g_new (uint32_t, count);
  uint32_t next_host = (uint32_t)config_doc_service_count (doc);
  for (uint32_t i = 0; i < config_doc_service_count (doc); i++)
    add_hosts (table, i);
  for (size_t i = 0; i < count; i++)
    add_route (table, (uint32_t)i, &next_host);
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
  g_free (table->numbers);
  config_doc_unref (table->doc);
  g_free (table);
}

/* Stores the number of HOST. Returns false if no service and no route names it. */
static bool
find_host (const route_table_t *table, const char *host, uint32_t *number)
{
  char name[CONFIG_MAX_NAME_SIZE + 1];
  const char *literal_end = host[0] == '[' ? strchr (host, ']') : NULL;
  size_t size = literal_end != NULL ? (size_t)(literal_end - host) + 1 : strcspn (host, ":");
  if (host[size] != '\0' && host[size] != ':')
    return false;
  /* The absolute form of a domain name ends in a dot. */
  if (size > 1 && host[size - 1] == '.')
    size--;
  if (size >= sizeof (name))
    return false;
  for (size_t i = 0; i < size; i++)
    name[i] = g_ascii_tolower (host[i]);
  name[size] = '\0';
  uint32_t found = GPOINTER_TO_UINT (g_hash_table_lookup (table->hosts, name));
  *number = found - 1;
  return found != 0;
}

/* Selects the route with METHOD and a prefix; notes in HAS_PREFIX that the prefix exists. */
static const config_route_t *
find_route (const route_table_t *table, uint64_t hash, uint32_t host, const char *prefix,
            size_t size, config_method_t method, bool *has_prefix)
{
  uint32_t index = *find_slot (table, hash, host, prefix, size);
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
find_longest (const route_table_t *table, uint32_t host, const route_path_t *path,
              config_method_t method, bool *has_prefix)
{
  uint64_t hashes[CONFIG_MAX_PREFIX_SEGMENTS];
  uint64_t hash = hash_host (host);
  size_t start = 0;
  for (size_t i = 0; i < path->count; i++)
    {
      hash = hash_bytes (hash, path->text + start, path->ends[i] - start);
      hashes[i] = hash;
      start = path->ends[i];
    }
  for (size_t i = path->count; i > 0; i--)
    {
      const config_route_t *route = find_route (table, hashes[i - 1], host, path->text,
                                                path->ends[i - 1], method, has_prefix);
      if (route != NULL)
        return route;
    }
  uint64_t root_hash = hash_bytes (hash_host (host), "/", 1);
  return find_route (table, root_hash, host, "/", 1, method, has_prefix);
}

route_result_t
route_table_lookup (const route_table_t *table, const char *method, const char *host,
                    const char *target, route_match_t *match)
{
  route_path_t path;
  bool has_prefix = false;

  *match = (route_match_t){ NULL, NULL };
  uint32_t number = 0;
  if (!find_host (table, host, &number))
    return ROUTE_NO_SERVICE;
  if (number < config_doc_service_count (table->doc))
    match->service = config_doc_service (table->doc, number);
  route_result_t result = route_path_read (&path, target);
  if (result != ROUTE_FOUND)
    return result;

  const config_route_t *route = find_longest (
      table, number, &path, config_method_parse (method, strlen (method)), &has_prefix);
  if (route == NULL)
    return has_prefix ? ROUTE_NO_METHOD : ROUTE_NO_ROUTE;
  if (!route_path_is_literal (target, route->prefix))
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
route_table_memory (const route_table_t *table)
{
  size_t slots = (size_t)table->mask + 1;
  return sizeof (*table) + (slots + 2 * config_doc_route_count (table->doc)) * sizeof (uint32_t);
}
