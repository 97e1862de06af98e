#include "config_build.h"

#include <string.h>

#define MAX_WRONG_STATUSES 64
#define MAX_SERVICE_DURATION_MS 3600000

static const field_t service_fields[] = {
  { "hosts", FIELD_CUSTOM, true },
  { "wrong_answer", FIELD_CUSTOM, false },
  { "min_healthy_slots", FIELD_UINT32, false, offsetof (config_service_t, min_healthy_slots), 0,
    1000000, 1 },
  { "sensitivity", FIELD_DOUBLE, false, offsetof (config_service_t, sensitivity), 0, 1, 0.5 },
  { "retry_share", FIELD_DOUBLE, false, offsetof (config_service_t, retry_share), 0, 1, 0.1 },
  { "entries_per_domain", FIELD_UINT32, false, offsetof (config_service_t, entries_per_domain), 1,
    4, 1 },
  { "stall_ms", FIELD_UINT32, false, offsetof (config_service_t, stall_ms), 10,
    MAX_SERVICE_DURATION_MS, 1000 },
  { "slow_start_ms", FIELD_UINT32, false, offsetof (config_service_t, slow_start_ms), 0,
    MAX_SERVICE_DURATION_MS, 10000 },
  { "max_queue", FIELD_UINT32, false, offsetof (config_service_t, max_queue), 1, 1000000, 1000 },
  { "max_connections", FIELD_UINT32, false, offsetof (config_service_t, max_connections), 0,
    1000000, 0 },
  { "health_path", FIELD_CUSTOM, false },
  { "annotations", FIELD_CUSTOM, false },
  { NULL, FIELD_END },
};

static const field_t wrong_answer_fields[] = {
  { "statuses", FIELD_CUSTOM, false },
  { "require_header", FIELD_CUSTOM, false },
  { NULL, FIELD_END },
};

static bool
read_hosts (const field_context_t *context, config_doc_t *doc, const cJSON *array,
            GHashTable *seen_hosts, config_service_t *service)
{
  if (!cJSON_IsArray (array))
    return field_set_error (context, "hosts", "must be a list of hosts");

  const char **list
      = config_build_alloc (doc, (size_t)cJSON_GetArraySize (array) * sizeof (char *));
  const cJSON *item = NULL;
  cJSON_ArrayForEach (item, array)
  {
    if (!cJSON_IsString (item) || !field_is_host (item->valuestring))
      return field_set_error (context, "hosts", "element %zu must be a host name without port",
                              service->host_count);
    g_autofree char *lower = g_ascii_strdown (item->valuestring, -1);
    const char *host = config_build_copy_string (doc, lower);
    if (!g_hash_table_add (seen_hosts, (void *)host))
      return field_set_error (context, "hosts", "host \"%s\" is listed twice", host);
    list[service->host_count++] = host;
  }
  service->hosts = list;
  return true;
}

static bool
read_statuses (const field_context_t *context, config_doc_t *doc, const cJSON *array,
               config_service_t *service)
{
  if (array == NULL)
    return true;
  int count = cJSON_GetArraySize (array);
  if (!cJSON_IsArray (array) || count == 0 || count > MAX_WRONG_STATUSES)
    return field_set_error (context, "wrong_answer.statuses", "must be a list of 1 to %d statuses",
                            MAX_WRONG_STATUSES);

  uint16_t *list = config_build_alloc (doc, (size_t)count * sizeof (uint16_t));
  const cJSON *item = NULL;
  cJSON_ArrayForEach (item, array)
  {
    int64_t status = 0;
    if (!json_read_exact_integer (item, &status) || status < 100 || status > 599)
      return field_set_error (context, "wrong_answer.statuses",
                              "element %zu must be from 100 to 599", service->wrong_status_count);
    list[service->wrong_status_count++] = (uint16_t)status;
  }
  service->wrong_statuses = list;
  return true;
}

static bool
read_wrong_answer (const field_context_t *context, config_doc_t *doc, const cJSON *object,
                   config_service_t *service)
{
  if (object == NULL)
    return true;
  if (!cJSON_IsObject (object))
    return field_set_error (context, "wrong_answer", "must be an object");
  field_context_t nested = *context;
  g_strlcat (nested.path, ".wrong_answer", sizeof (nested.path));
  if (!field_read_object (&nested, object, wrong_answer_fields, service)
      || !read_statuses (context, doc, cJSON_GetObjectItemCaseSensitive (object, "statuses"),
                         service))
    return false;

  const cJSON *header = cJSON_GetObjectItemCaseSensitive (object, "require_header");
  if (header == NULL)
    return true;
  if (!cJSON_IsString (header) || !field_is_name (header->valuestring, strlen (header->valuestring))
      || strpbrk (header->valuestring, ":@") != NULL)
    return field_set_error (&nested, "require_header", "must be a header name");
  service->wrong_required_header = config_build_copy_string (doc, header->valuestring);
  return true;
}

static bool
read_health_path (const field_context_t *context, config_doc_t *doc, const cJSON *object,
                  config_service_t *service)
{
  const cJSON *path = cJSON_GetObjectItemCaseSensitive (object, "health_path");
  if (path == NULL)
    return true;
  if (!cJSON_IsString (path) || path->valuestring[0] != '/'
      || strlen (path->valuestring) > CONFIG_MAX_PREFIX_SIZE)
    return field_set_error (context, "health_path", "must be a path that starts with '/'");
  service->health_path = config_build_copy_string (doc, path->valuestring);
  return true;
}

static bool
read_service (const field_context_t *context, config_doc_t *doc, json_slice_t value,
              GHashTable *seen_hosts, config_service_t *service)
{
  cJSON *object = field_parse_object (context, value);
  if (object == NULL)
    return false;
  bool ok = field_read_object (context, object, service_fields, service)
            && read_hosts (context, doc, cJSON_GetObjectItemCaseSensitive (object, "hosts"),
                           seen_hosts, service)
            && read_wrong_answer (
                context, doc, cJSON_GetObjectItemCaseSensitive (object, "wrong_answer"), service)
            && read_health_path (context, doc, object, service)
            && config_check_annotations (context, object);
  cJSON_Delete (object);
  return ok;
}

bool
config_build_services (config_doc_t *doc, json_slice_t value, anv_error_t *err)
{
  field_context_t context = { .err = err, .path = "$.services" };
  g_autoptr (GHashTable) seen_hosts = g_hash_table_new (g_str_hash, g_str_equal);
  json_cursor_t cursor;
  json_slice_t key;
  json_slice_t element;
  json_slice_t previous = { NULL, 0 };

  if (!json_cursor_open (&cursor, value, '{'))
    return field_set_error (&context, NULL, "must be an object");
  while (json_cursor_next (&cursor, &key, &element))
    {
      config_service_t service = { .name = NULL };
      g_strlcpy (context.path, "$.services", sizeof (context.path));
      if (!config_build_check_key (&context, key, &previous))
        return false;
      g_autofree char *name = g_strndup (key.data, key.size);
      service.name = config_build_copy_string (doc, name);
      g_snprintf (context.path, sizeof (context.path), "$.services.%s", service.name);
      if (!read_service (&context, doc, element, seen_hosts, &service))
        return false;
      g_array_append_val (doc->services, service);
    }
  return json_cursor_at_end (&cursor) || field_set_error (&context, NULL, "not canonical JSON");
}
