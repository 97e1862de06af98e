#include "config_build.h"

#include <string.h>

/* "class", "idempotent" and "methods" have no default: requests of a route that is wrongly treated
 * as idempotent could run twice. */
static const field_t route_fields[] = {
  { "id", FIELD_CUSTOM, false },
  { "host", FIELD_CUSTOM, false },
  { "service", FIELD_CUSTOM, false },
  { "split", FIELD_CUSTOM, false },
  { "annotations", FIELD_CUSTOM, false },
  { "methods", FIELD_CUSTOM, true },
  { "prefix", FIELD_CUSTOM, true },
  { "class", FIELD_CUSTOM, true },
  { "idempotent", FIELD_BOOL, true, offsetof (config_route_t, idempotent) },
  { "public", FIELD_BOOL, false, offsetof (config_route_t, is_public) },
  { "timeout_ms", FIELD_UINT32, false, offsetof (config_route_t, timeout_ms), 1, 3600000, 10000 },
  { "max_body_bytes", FIELD_UINT32, false, offsetof (config_route_t, max_body_bytes), 1, UINT32_MAX,
    1048576 },
  { "goal_ms", FIELD_UINT32, false, offsetof (config_route_t, goal_ms), 0, 3600000, 0 },
  { "max_attempts", FIELD_UINT32, false, offsetof (config_route_t, max_attempts), 1, 100, 3 },
  { "priority", FIELD_UINT32, false, offsetof (config_route_t, priority), 0, 1000, 0 },
  { NULL, FIELD_END },
};

#define MAX_SPLIT_PARTS 64
#define MAX_SPLIT_WEIGHT 1000000

/* A goal this far above the timeout of the route must be a mistake of the operator. */
#define MAX_GOAL_EXCESS_MS 60000

static const field_t split_fields[] = {
  { "service", FIELD_CUSTOM, true },
  { "weight", FIELD_UINT32, true, offsetof (config_split_t, weight), 0, MAX_SPLIT_WEIGHT, 0 },
  { NULL, FIELD_END },
};

/* Position in the routes of the previous document. A route whose text is unchanged has already
 * passed all checks except those against other elements, so its settings are copied. */
typedef struct
{
  const config_doc_t *doc;
  json_cursor_t cursor;
  json_slice_t key;
  json_slice_t value;
  size_t index;
  bool has_member;
} previous_walk_t;

static const char *
string_or_empty (const cJSON *object, const char *key)
{
  return json_get_string (object, key, "");
}

static bool
read_id (const field_context_t *context, config_doc_t *doc, const cJSON *object, json_slice_t key,
         config_route_t *route)
{
  const cJSON *id = cJSON_GetObjectItemCaseSensitive (object, "id");
  if (key.data == NULL && id == NULL)
    return field_set_error (context, "id", "is required");
  if (id != NULL
      && (!cJSON_IsString (id) || !field_is_name (id->valuestring, strlen (id->valuestring))))
    return field_set_error (context, "id",
                            "must have 1 to %d letters, digits or characters of ._-:@",
                            CONFIG_MAX_NAME_SIZE);
  g_autofree char *name
      = key.data != NULL ? g_strndup (key.data, key.size) : g_strdup (id->valuestring);
  if (id != NULL && strcmp (id->valuestring, name) != 0)
    return field_set_error (context, "id", "must be equal to the key of the route");
  route->id = config_build_copy_string (doc, name);
  return true;
}

static bool
read_service_name (const field_context_t *context, config_doc_t *doc, const cJSON *object,
                   uint32_t *index)
{
  const config_service_t *service
      = config_doc_find_service (doc, string_or_empty (object, "service"));
  if (service == NULL)
    return field_set_error (context, "service", "names no service");
  *index = (uint32_t)(service - config_doc_service (doc, 0));
  return true;
}

static bool
read_split (const field_context_t *context, config_doc_t *doc, const cJSON *array,
            config_route_t *route)
{
  int count = cJSON_GetArraySize (array);
  uint64_t weight_sum = 0;
  if (!cJSON_IsArray (array) || count == 0 || count > MAX_SPLIT_PARTS)
    return field_set_error (context, "split", "must be a list of 1 to %d parts", MAX_SPLIT_PARTS);
  config_split_t *parts = config_build_alloc (doc, (size_t)count * sizeof (config_split_t));
  const cJSON *item = NULL;
  cJSON_ArrayForEach (item, array)
  {
    field_context_t part = *context;
    g_strlcat (part.path, ".split", sizeof (part.path));
    config_split_t *split = &parts[route->split_count++];
    if (!cJSON_IsObject (item))
      return field_set_error (&part, NULL, "each part must be an object");
    if (!field_read_object (&part, item, split_fields, split)
        || !read_service_name (&part, doc, item, &split->service))
      return false;
    weight_sum += split->weight;
  }
  if (weight_sum == 0)
    return field_set_error (context, "split", "must have a weight above 0");
  route->split = parts;
  route->service = parts[0].service;
  return true;
}

static bool
read_services (const field_context_t *context, config_doc_t *doc, const cJSON *object,
               config_route_t *route)
{
  const cJSON *split = cJSON_GetObjectItemCaseSensitive (object, "split");
  const cJSON *service = cJSON_GetObjectItemCaseSensitive (object, "service");
  if (split != NULL && service != NULL)
    return field_set_error (context, "split", "excludes \"service\"");
  if (split != NULL)
    return read_split (context, doc, split, route);
  if (service == NULL)
    return field_set_error (context, "service", "is required");
  return read_service_name (context, doc, object, &route->service);
}

static bool
read_host (const field_context_t *context, config_doc_t *doc, const cJSON *object,
           config_route_t *route)
{
  const cJSON *host = cJSON_GetObjectItemCaseSensitive (object, "host");
  if (host == NULL)
    return true;
  if (!cJSON_IsString (host) || !field_is_host (host->valuestring))
    return field_set_error (context, "host", "must be a host name without port");
  g_autofree char *lower = g_ascii_strdown (host->valuestring, -1);
  route->host = config_build_copy_string (doc, lower);
  return true;
}

static bool
check_goal (const field_context_t *context, const config_route_t *route)
{
  if (route->goal_ms < route->timeout_ms + MAX_GOAL_EXCESS_MS)
    return true;
  return field_set_error (context, "goal_ms", "must be less than %d above timeout_ms",
                          MAX_GOAL_EXCESS_MS);
}

static bool
read_methods (const field_context_t *context, const cJSON *object, config_route_t *route)
{
  const cJSON *array = cJSON_GetObjectItemCaseSensitive (object, "methods");
  const cJSON *item = NULL;
  if (!cJSON_IsArray (array) || cJSON_GetArraySize (array) == 0)
    return field_set_error (context, "methods", "must be a list of at least one method");
  cJSON_ArrayForEach (item, array)
  {
    const char *name = cJSON_IsString (item) ? item->valuestring : "";
    config_method_t method = config_method_parse (name, strlen (name));
    if (method == 0)
      return field_set_error (context, "methods",
                              "must be of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS");
    if ((route->methods & method) != 0)
      return field_set_error (context, "methods", "lists %s twice", name);
    route->methods |= (uint8_t)method;
  }
  return true;
}

static bool
read_prefix (const field_context_t *context, config_doc_t *doc, const cJSON *object,
             config_route_t *route)
{
  const char *prefix = string_or_empty (object, "prefix");
  const char *rule = field_check_prefix (prefix);
  if (rule != NULL)
    return field_set_error (context, "prefix", "%s", rule);
  route->prefix = config_build_copy_string (doc, prefix);
  return true;
}

static bool
read_class (const field_context_t *context, const cJSON *object, config_route_t *route)
{
  const char *name = string_or_empty (object, "class");
  if (strcmp (name, "urgent") != 0 && strcmp (name, "background") != 0)
    return field_set_error (context, "class", "must be \"urgent\" or \"background\"");
  route->request_class
      = strcmp (name, "urgent") == 0 ? CONFIG_CLASS_URGENT : CONFIG_CLASS_BACKGROUND;
  return true;
}

static bool
read_route (const field_context_t *context, config_doc_t *doc, json_slice_t key, json_slice_t value)
{
  config_route_t route = { .id = NULL };
  cJSON *object = field_parse_object (context, value);
  if (object == NULL)
    return false;
  bool ok = field_read_object (context, object, route_fields, &route)
            && read_id (context, doc, object, key, &route)
            && read_services (context, doc, object, &route)
            && read_host (context, doc, object, &route) && check_goal (context, &route)
            && config_check_annotations (context, object) && read_methods (context, object, &route)
            && read_prefix (context, doc, object, &route) && read_class (context, object, &route);
  cJSON_Delete (object);
  if (ok)
    g_array_append_val (doc->routes, route);
  return ok;
}

static void
previous_advance (previous_walk_t *previous)
{
  previous->index++;
  previous->has_member = json_cursor_next (&previous->cursor, &previous->key, &previous->value);
}

static void
previous_open (previous_walk_t *previous, const config_doc_t *doc, char kind)
{
  memset (previous, 0, sizeof (*previous));
  if (doc == NULL || doc->routes->len == 0
      || !json_cursor_open (&previous->cursor, doc->routes_text, kind))
    return;
  previous->doc = doc;
  previous_advance (previous);
  previous->index = 0;
}

/* Returns whether the previous document has the same route, which is then the current route of
 * PREVIOUS. If "routes" is an object (KEYED), the route is searched by its key, otherwise only the
 * current route is compared. */
static bool
previous_find (previous_walk_t *previous, bool keyed, json_slice_t key, json_slice_t value)
{
  if (!keyed)
    return previous->has_member && json_slice_equal (previous->value, value);
  int order = -1;
  while (previous->has_member && (order = json_key_compare (previous->key, key)) < 0)
    previous_advance (previous);
  return previous->has_member && order == 0 && json_slice_equal (previous->value, value);
}

/* Copies the current route of the previous document. Returns false if it must be read again,
 * because its service no longer exists or it has a split. */
static bool
reuse_route (config_doc_t *doc, const previous_walk_t *previous)
{
  config_route_t route = *config_doc_route (previous->doc, previous->index);
  const config_service_t *service
      = config_doc_find_service (doc, config_doc_service (previous->doc, route.service)->name);
  if (service == NULL || route.split != NULL)
    return false;
  if (route.host != NULL)
    route.host = config_build_copy_string (doc, route.host);
  route.service = (uint32_t)(service - config_doc_service (doc, 0));
  route.id = config_build_copy_string (doc, route.id);
  route.prefix = config_build_copy_string (doc, route.prefix);
  g_array_append_val (doc->routes, route);
  return true;
}

static bool
build_route (field_context_t *context, config_doc_t *doc, previous_walk_t *previous, bool keyed,
             json_slice_t key, json_slice_t element)
{
  bool reused = previous_find (previous, keyed, key, element) && reuse_route (doc, previous);
  if (!keyed && previous->has_member)
    previous_advance (previous);
  if (reused)
    return true;
  if (keyed)
    g_snprintf (context->path, sizeof (context->path), "$.routes.%.*s", (int)key.size, key.data);
  else
    g_snprintf (context->path, sizeof (context->path), "$.routes[%u]", doc->routes->len);
  return read_route (context, doc, keyed ? key : (json_slice_t){ NULL, 0 }, element);
}

bool
config_build_routes (config_doc_t *doc, json_slice_t value, anv_error_t *err)
{
  field_context_t context = { .err = err, .path = "$.routes" };
  json_cursor_t cursor;
  json_slice_t key;
  json_slice_t element;
  json_slice_t previous_key = { NULL, 0 };
  previous_walk_t previous;
  bool keyed = json_cursor_open (&cursor, value, '{');

  if (!keyed && !json_cursor_open (&cursor, value, '['))
    return field_set_error (&context, NULL, "must be an array or an object");
  previous_open (&previous, doc->previous, keyed ? '{' : '[');
  while (json_cursor_next (&cursor, &key, &element))
    {
      g_strlcpy (context.path, "$.routes", sizeof (context.path));
      if ((keyed && !config_build_check_key (&context, key, &previous_key))
          || !build_route (&context, doc, &previous, keyed, key, element))
        return false;
    }
  if (!json_cursor_at_end (&cursor))
    return field_set_error (&context, NULL, "not canonical JSON");
  doc->routes_text = value;
  return config_check_routes (doc, !keyed, err);
}
