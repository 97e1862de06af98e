#include "config_build.h"

#include <string.h>

/* "class", "idempotent" and "methods" have no default: a route that is wrongly taken for idempotent
 * could be run twice. */
static const field_t route_fields[] = {
  { "id", FIELD_OTHER, false },
  { "service", FIELD_OTHER, true },
  { "methods", FIELD_OTHER, true },
  { "prefix", FIELD_OTHER, true },
  { "class", FIELD_OTHER, true },
  { "idempotent", FIELD_BOOL, true, offsetof (config_route_t, idempotent) },
  { "timeout_ms", FIELD_UINT32, false, offsetof (config_route_t, timeout_ms), 1, 3600000, 10000 },
  { "max_body_bytes", FIELD_UINT32, false, offsetof (config_route_t, max_body_bytes), 0, UINT32_MAX,
    1048576 },
  { NULL, FIELD_END },
};

/* The routes in another order, to find equal ones next to each other. */
typedef struct
{
  const config_doc_t *doc;
  uint32_t *order;
} route_order_t;

static const char *
member_string (const cJSON *object, const char *key)
{
  return json_string (object, key, "");
}

static bool
read_id (const field_context_t *context, config_doc_t *doc, const cJSON *object, json_slice_t key,
         config_route_t *route)
{
  const cJSON *id = cJSON_GetObjectItemCaseSensitive (object, "id");
  if (key.data == NULL && id == NULL)
    return field_error (context, "id", "is required");
  if (id != NULL
      && (!cJSON_IsString (id) || !field_is_name (id->valuestring, strlen (id->valuestring))))
    return field_error (context, "id", "must have 1 to %d letters, digits or characters of ._-:@",
                        CONFIG_MAX_NAME_SIZE);
  g_autofree char *name
      = key.data != NULL ? g_strndup (key.data, key.size) : g_strdup (id->valuestring);
  if (id != NULL && strcmp (id->valuestring, name) != 0)
    return field_error (context, "id", "must be equal to the key of the route");
  route->id = config_build_string (doc, name);
  return true;
}

static bool
read_service_name (const field_context_t *context, config_doc_t *doc, const cJSON *object,
                   config_route_t *route)
{
  const config_service_t *service
      = config_doc_find_service (doc, member_string (object, "service"));
  if (service == NULL)
    return field_error (context, "service", "names no service");
  route->service = (uint32_t)(service - config_doc_service (doc, 0));
  return true;
}

static bool
read_methods (const field_context_t *context, const cJSON *object, config_route_t *route)
{
  const cJSON *array = cJSON_GetObjectItemCaseSensitive (object, "methods");
  const cJSON *item = NULL;
  if (!cJSON_IsArray (array) || cJSON_GetArraySize (array) == 0)
    return field_error (context, "methods", "must be a list of at least one method");
  cJSON_ArrayForEach (item, array)
  {
    const char *name = cJSON_IsString (item) ? item->valuestring : "";
    config_method_t method = config_method_parse (name, strlen (name));
    if (method == 0)
      return field_error (context, "methods",
                          "must be of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS");
    if ((route->methods & method) != 0)
      return field_error (context, "methods", "lists %s twice", name);
    route->methods |= (uint8_t)method;
  }
  return true;
}

static bool
read_prefix (const field_context_t *context, config_doc_t *doc, const cJSON *object,
             config_route_t *route)
{
  const char *prefix = member_string (object, "prefix");
  const char *rule = field_prefix_rule (prefix);
  if (rule != NULL)
    return field_error (context, "prefix", "%s", rule);
  route->prefix = config_build_string (doc, prefix);
  return true;
}

static bool
read_class (const field_context_t *context, const cJSON *object, config_route_t *route)
{
  const char *name = member_string (object, "class");
  if (strcmp (name, "urgent") != 0 && strcmp (name, "background") != 0)
    return field_error (context, "class", "must be \"urgent\" or \"background\"");
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
  bool ok = field_read (context, object, route_fields, &route)
            && read_id (context, doc, object, key, &route)
            && read_service_name (context, doc, object, &route)
            && read_methods (context, object, &route) && read_prefix (context, doc, object, &route)
            && read_class (context, object, &route);
  cJSON_Delete (object);
  if (ok)
    g_array_append_val (doc->routes, route);
  return ok;
}

static int
compare_ids (const void *a, const void *b, void *data)
{
  const route_order_t *routes = data;
  return strcmp (config_doc_route (routes->doc, *(const uint32_t *)a)->id,
                 config_doc_route (routes->doc, *(const uint32_t *)b)->id);
}

static int
compare_prefixes (const void *a, const void *b, void *data)
{
  const route_order_t *routes = data;
  const config_route_t *left = config_doc_route (routes->doc, *(const uint32_t *)a);
  const config_route_t *right = config_doc_route (routes->doc, *(const uint32_t *)b);
  if (left->service != right->service)
    return left->service < right->service ? -1 : 1;
  return g_ascii_strcasecmp (left->prefix, right->prefix);
}

static void
sort_routes (route_order_t *routes, GCompareDataFunc compare)
{
  guint count = routes->doc->routes->len;
  for (guint i = 0; i < count; i++)
    routes->order[i] = i;
  g_qsort_with_data (routes->order, (gint)count, sizeof (uint32_t), compare, routes);
}

static bool
check_ids (const field_context_t *context, route_order_t *routes)
{
  sort_routes (routes, compare_ids);
  for (guint i = 1; i < routes->doc->routes->len; i++)
    {
      if (compare_ids (&routes->order[i - 1], &routes->order[i], routes) == 0)
        return field_error (context, NULL, "id \"%s\" is used twice",
                            config_doc_route (routes->doc, routes->order[i])->id);
    }
  return true;
}

/* Two spellings of one prefix are refused because backend servers that ignore case would mix their
 * routes up. */
static bool
check_prefixes (const field_context_t *context, route_order_t *routes)
{
  uint8_t methods = 0;
  sort_routes (routes, compare_prefixes);
  for (guint i = 0; i < routes->doc->routes->len; i++)
    {
      const config_route_t *route = config_doc_route (routes->doc, routes->order[i]);
      const config_route_t *other
          = i > 0 ? config_doc_route (routes->doc, routes->order[i - 1]) : NULL;
      if (i == 0 || compare_prefixes (&routes->order[i - 1], &routes->order[i], routes) != 0)
        methods = 0;
      else if (strcmp (route->prefix, other->prefix) != 0)
        return field_error (context, NULL, "prefixes of \"%s\" and \"%s\" differ only in case",
                            other->id, route->id);
      if ((methods & route->methods) != 0)
        return field_error (context, NULL,
                            "\"%s\" has the service, prefix and a method of another route",
                            route->id);
      methods |= route->methods;
    }
  return true;
}

static bool
check_unique (config_doc_t *doc, anv_error_t *err)
{
  field_context_t context = { .err = err, .path = "$.routes" };
  g_autofree uint32_t *order = g_new (uint32_t, doc->routes->len);
  route_order_t routes = { .doc = doc, .order = order };
  return check_ids (&context, &routes) && check_prefixes (&context, &routes);
}

bool
config_build_routes (config_doc_t *doc, json_slice_t value, anv_error_t *err)
{
  field_context_t context = { .err = err, .path = "$.routes" };
  json_cursor_t cursor;
  json_slice_t key;
  json_slice_t element;
  json_slice_t previous = { NULL, 0 };
  bool keyed = json_cursor_open (&cursor, value, '{');

  if (!keyed && !json_cursor_open (&cursor, value, '['))
    return field_error (&context, NULL, "must be an array or an object");
  while (json_cursor_next (&cursor, &key, &element))
    {
      g_strlcpy (context.path, "$.routes", sizeof (context.path));
      if (keyed && !config_build_key (&context, key, &previous))
        return false;
      if (keyed)
        g_snprintf (context.path, sizeof (context.path), "$.routes.%.*s", (int)key.size, key.data);
      else
        g_snprintf (context.path, sizeof (context.path), "$.routes[%u]", doc->routes->len);
      if (!read_route (&context, doc, keyed ? key : (json_slice_t){ NULL, 0 }, element))
        return false;
    }
  if (!json_cursor_done (&cursor))
    return field_error (&context, NULL, "not canonical JSON");
  return check_unique (doc, err);
}
