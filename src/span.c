#include "span.h"

#include <cjson/cJSON.h>
#include <glib.h>
#include <string.h>

#define SPAN_KIND_SERVER 2
#define STATUS_CODE_ERROR 2

static void
to_hex (const uint8_t *bytes, size_t size, char *out)
{
  for (size_t i = 0; i < size; i++)
    g_snprintf (out + 2 * i, 3, "%02x", bytes[i]);
}

/* Parses SIZE bytes. Returns false for malformed text and if all bytes are zero, because
 * traceparent forbids all-zero ids. */
static bool
from_hex (const char *text, size_t size, uint8_t *out)
{
  uint8_t nonzero_bits = 0;
  for (size_t i = 0; i < size; i++)
    {
      /* traceparent allows lower-case digits only. */
      if (g_ascii_isupper (text[2 * i]) || g_ascii_isupper (text[2 * i + 1]))
        return false;
      int high = g_ascii_xdigit_value (text[2 * i]);
      int low = g_ascii_xdigit_value (text[2 * i + 1]);
      if (high < 0 || low < 0)
        return false;
      out[i] = (uint8_t)(high << 4 | low);
      nonzero_bits |= out[i];
    }
  return nonzero_bits != 0;
}

/* Fills OUT, a multiple of 8 bytes, with random bits that are never all zero. */
static void
fill_random (uint8_t *out, size_t size, rng_t *rng)
{
  for (size_t i = 0; i < size; i += sizeof (uint64_t))
    {
      uint64_t word = rng_next (rng) | 1;
      memcpy (out + i, &word, sizeof (word));
    }
}

static bool
parse_traceparent (const char *text, span_t *span)
{
  uint8_t flags = 0;
  if (text == NULL || strlen (text) != SPAN_TRACEPARENT_SIZE - 1)
    return false;
  if (strncmp (text, "00-", 3) != 0 || text[35] != '-' || text[52] != '-')
    return false;
  if (!from_hex (text + 3, SPAN_TRACE_ID_SIZE, span->trace_id))
    return false;
  if (!from_hex (text + 36, SPAN_ID_SIZE, span->parent_id))
    return false;
  if (!from_hex (text + 53, 1, &flags) && flags != 0)
    return false;
  span->flags = flags;
  return true;
}

void
span_start (span_t *span, const char *name, const char *traceparent, rng_t *rng, int64_t start_ns)
{
  *span = (span_t){ .name = name, .start_ns = start_ns };
  if (!parse_traceparent (traceparent, span))
    {
      memset (span->parent_id, 0, sizeof (span->parent_id));
      fill_random (span->trace_id, sizeof (span->trace_id), rng);
      span->flags = 1;
    }
  fill_random (span->span_id, sizeof (span->span_id), rng);
}

void
span_start_child (span_t *span, const char *name, const span_t *parent, rng_t *rng,
                  int64_t start_ns)
{
  *span = (span_t){ .name = name, .start_ns = start_ns, .flags = parent->flags };
  memcpy (span->trace_id, parent->trace_id, sizeof (span->trace_id));
  memcpy (span->parent_id, parent->span_id, sizeof (span->parent_id));
  fill_random (span->span_id, sizeof (span->span_id), rng);
}

void
span_set_attribute (span_t *span, const char *key, const char *value)
{
  if (span->attribute_count == MAX_SPAN_ATTRIBUTES)
    return;
  span_attribute_t *attribute = &span->attributes[span->attribute_count++];
  attribute->key = key;
  g_strlcpy (attribute->value, value, sizeof (attribute->value));
}

void
span_set_int_attribute (span_t *span, const char *key, int64_t value)
{
  char text[24];
  g_snprintf (text, sizeof (text), "%" G_GINT64_FORMAT, value);
  span_set_attribute (span, key, text);
}

void
span_format_traceparent (const span_t *span, char *buffer)
{
  char trace_id[2 * SPAN_TRACE_ID_SIZE + 1];
  char span_id[2 * SPAN_ID_SIZE + 1];
  to_hex (span->trace_id, sizeof (span->trace_id), trace_id);
  to_hex (span->span_id, sizeof (span->span_id), span_id);
  g_snprintf (buffer, SPAN_TRACEPARENT_SIZE, "00-%s-%s-%02x", trace_id, span_id, span->flags);
}

static void
add_attribute (cJSON *array, const char *key, const char *value)
{
  cJSON *attribute = cJSON_CreateObject ();
  cJSON_AddStringToObject (attribute, "key", key);
  cJSON *wrapped = cJSON_AddObjectToObject (attribute, "value");
  cJSON_AddStringToObject (wrapped, "stringValue", value);
  cJSON_AddItemToArray (array, attribute);
}

static void
add_time (cJSON *object, const char *key, int64_t time_ns)
{
  /* OTLP JSON encodes 64-bit integers as strings. */
  char text[24];
  g_snprintf (text, sizeof (text), "%" G_GINT64_FORMAT, time_ns);
  cJSON_AddStringToObject (object, key, text);
}

static cJSON *
span_to_json (const span_t *span)
{
  char id[2 * SPAN_TRACE_ID_SIZE + 1];
  static const uint8_t no_parent[SPAN_ID_SIZE];
  cJSON *json = cJSON_CreateObject ();

  to_hex (span->trace_id, sizeof (span->trace_id), id);
  cJSON_AddStringToObject (json, "traceId", id);
  to_hex (span->span_id, sizeof (span->span_id), id);
  cJSON_AddStringToObject (json, "spanId", id);
  if (memcmp (span->parent_id, no_parent, sizeof (no_parent)) != 0)
    {
      to_hex (span->parent_id, sizeof (span->parent_id), id);
      cJSON_AddStringToObject (json, "parentSpanId", id);
    }
  cJSON_AddStringToObject (json, "name", span->name);
  cJSON_AddNumberToObject (json, "kind", SPAN_KIND_SERVER);
  add_time (json, "startTimeUnixNano", span->start_ns);
  add_time (json, "endTimeUnixNano", span->end_ns);
  cJSON *attributes = cJSON_AddArrayToObject (json, "attributes");
  for (unsigned i = 0; i < span->attribute_count; i++)
    add_attribute (attributes, span->attributes[i].key, span->attributes[i].value);
  if (span->failed)
    {
      cJSON *status = cJSON_AddObjectToObject (json, "status");
      cJSON_AddNumberToObject (status, "code", STATUS_CODE_ERROR);
    }
  return json;
}

static cJSON *
add_array_with_object (cJSON *object, const char *key)
{
  cJSON *array = cJSON_AddArrayToObject (object, key);
  cJSON *element = cJSON_CreateObject ();
  cJSON_AddItemToArray (array, element);
  return element;
}

void
span_write (const span_t *span, const char *program, const char *instance, FILE *file)
{
  cJSON *root = cJSON_CreateObject ();
  cJSON *resource_spans = add_array_with_object (root, "resourceSpans");
  cJSON *resource = cJSON_AddObjectToObject (resource_spans, "resource");
  cJSON *attributes = cJSON_AddArrayToObject (resource, "attributes");
  add_attribute (attributes, "service.name", program);
  add_attribute (attributes, "service.instance.id", instance);
  cJSON *scope_spans = add_array_with_object (resource_spans, "scopeSpans");
  cJSON *spans = cJSON_AddArrayToObject (scope_spans, "spans");
  cJSON_AddItemToArray (spans, span_to_json (span));

  char *line = cJSON_PrintUnformatted (root);
  fprintf (file, "%s\n", line);
  cJSON_free (line);
  cJSON_Delete (root);
}
