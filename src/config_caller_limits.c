#include "config_build.h"

#define MAX_TIMEOUT_MS 3600000
/* 2^53 - 1. Every integer up to it is exact as a double, the number type of JSON. */
#define MAX_LABEL 9007199254740991.0

static const field_t limit_fields[] = {
  { "max_header_bytes", FIELD_UINT32, false, offsetof (config_caller_limits_t, max_header_bytes),
    256, UINT32_MAX, 32768 },
  { "max_body_bytes", FIELD_UINT32, false, offsetof (config_caller_limits_t, max_body_bytes), 1,
    UINT32_MAX, 1048576 },
  { "header_timeout_ms", FIELD_UINT32, false, offsetof (config_caller_limits_t, header_timeout_ms),
    1, MAX_TIMEOUT_MS, 10000 },
  { "idle_timeout_ms", FIELD_UINT32, false, offsetof (config_caller_limits_t, idle_timeout_ms), 1,
    MAX_TIMEOUT_MS, 60000 },
  { NULL, FIELD_END },
};

bool
config_build_caller_limits (config_doc_t *doc, json_slice_t value, anv_error_t *err)
{
  field_context_t context = { .err = err, .path = "$.caller_limits" };
  cJSON *object = field_parse_object (&context, value);
  if (object == NULL)
    return false;
  doc->has_caller_limits = field_read_object (&context, object, limit_fields, &doc->caller_limits);
  cJSON_Delete (object);
  return doc->has_caller_limits;
}

static bool
read_label (const char *path, json_slice_t value, uint64_t *label, anv_error_t *err)
{
  field_context_t context = { .err = err };
  int64_t number = 0;
  cJSON *item = cJSON_ParseWithLength (value.data, value.size);
  bool valid
      = json_read_exact_integer (item, &number) && number >= 0 && (double)number <= MAX_LABEL;
  cJSON_Delete (item);
  *label = (uint64_t)number;
  g_strlcpy (context.path, path, sizeof (context.path));
  return valid || field_set_error (&context, NULL, "must be an integer from 0 to %.0f", MAX_LABEL);
}

bool
config_build_label (config_doc_t *doc, json_slice_t value, anv_error_t *err)
{
  return read_label ("$.label", value, &doc->label, err);
}

bool
config_build_label_base (config_doc_t *doc, json_slice_t value, anv_error_t *err)
{
  return read_label ("$.label_base", value, &doc->label_base, err);
}

bool
config_build_annotations (config_doc_t *doc, json_slice_t value, anv_error_t *err)
{
  field_context_t context = { .err = err, .path = "$.annotations" };
  return (value.size > 0 && value.data[0] == '"')
         || field_set_error (&context, NULL, "must be text");
}

bool
config_check_annotations (const field_context_t *context, const cJSON *object)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (object, "annotations");
  return item == NULL || cJSON_IsString (item)
         || field_set_error (context, "annotations", "must be text");
}
