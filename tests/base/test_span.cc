#include <gtest/gtest.h>

#include <string>

#include <cjson/cJSON.h>

extern "C"
{
#include "span.h"
}

// Guards against a broken trace: a hop that does not continue the caller's trace id.
TEST (Span, ContinuesTraceOfCaller)
{
  rng_t rng;
  span_t span;
  char header[SPAN_TRACEPARENT_SIZE];
  rng_init (&rng, 1);
  span_start (&span, "proxy", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", &rng, 1);
  span_format_traceparent (&span, header);
  EXPECT_EQ (std::string (header).substr (0, 36), "00-4bf92f3577b34da6a3ce929d0e0e4736-");
  EXPECT_NE (std::string (header).substr (36, 16), "00f067aa0ba902b7");
}

// Guards against continuing the trace of a malformed header. W3C Trace Context requires a new
// trace.
TEST (Span, MalformedHeaderStartsNewTrace)
{
  const char *malformed_headers[] = {
    "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
    "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-extra",
    "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
    "",
  };
  for (const char *text : malformed_headers)
    {
      rng_t rng;
      span_t span;
      char header[SPAN_TRACEPARENT_SIZE];
      rng_init (&rng, 2);
      span_start (&span, "proxy", text, &rng, 1);
      span_format_traceparent (&span, header);
      EXPECT_EQ (std::string (header).find ("4bf92f35"), std::string::npos) << text;
    }
}

// Guards against a line that OTLP JSON consumers cannot read: they need one object per line and
// times as strings.
TEST (Span, WritesOneOtlpLine)
{
  rng_t rng;
  span_t span;
  char *text = nullptr;
  size_t size = 0;
  rng_init (&rng, 3);
  span_start (&span, "proxy", nullptr, &rng, 1700000000000000000);
  span.end_ns = 1700000000000000500;
  span_set_attribute (&span, "service", "a \"quoted\"\nname");
  FILE *file = open_memstream (&text, &size);
  span_write (&span, "anvillb-entry", "e1", file);
  fclose (file);

  std::string line (text);
  free (text);
  EXPECT_EQ (line.find ('\n'), line.size () - 1);
  cJSON *root = cJSON_Parse (line.c_str ());
  ASSERT_NE (root, nullptr);
  const cJSON *resource = cJSON_GetArrayItem (cJSON_GetObjectItem (root, "resourceSpans"), 0);
  const cJSON *scope = cJSON_GetArrayItem (cJSON_GetObjectItem (resource, "scopeSpans"), 0);
  const cJSON *json = cJSON_GetArrayItem (cJSON_GetObjectItem (scope, "spans"), 0);
  EXPECT_STREQ (cJSON_GetObjectItem (json, "endTimeUnixNano")->valuestring, "1700000000000000500");
  EXPECT_EQ (cJSON_GetObjectItem (json, "parentSpanId"), nullptr);
  cJSON_Delete (root);
}
