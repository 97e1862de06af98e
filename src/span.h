#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "rng.h"

/* span - trace spans, one for each hop of a request.
 *
 * Context is carried in the W3C traceparent header. A finished span is written as one line of JSON
 * in the OTLP JSON shape (an ExportTraceServiceRequest with a single span). */

#define SPAN_TRACE_ID_SIZE 16
#define SPAN_ID_SIZE 8
/* "00-" + 32 + "-" + 16 + "-" + 2 characters and the terminating null. */
#define SPAN_TRACEPARENT_SIZE 56
#define SPAN_MAX_ATTRIBUTES 12
#define SPAN_VALUE_SIZE 96

typedef struct
{
  const char *key;
  char value[SPAN_VALUE_SIZE];
} span_attribute_t;

typedef struct
{
  uint8_t trace_id[SPAN_TRACE_ID_SIZE];
  uint8_t span_id[SPAN_ID_SIZE];
  uint8_t parent_id[SPAN_ID_SIZE]; /* zero for a root span */
  uint8_t flags;
  const char *name;
  int64_t start_ns; /* wall clock, nanoseconds since the epoch */
  int64_t end_ns;
  bool failed;
  unsigned attribute_count;
  span_attribute_t attributes[SPAN_MAX_ATTRIBUTES];
} span_t;

/* Starts a span as a child of TRACEPARENT, or as a root if that is NULL or malformed. */
void span_start (span_t *span, const char *name, const char *traceparent, rng_t *rng,
                 int64_t start_ns);

/* Starts a span as a child of PARENT. */
void span_start_child (span_t *span, const char *name, const span_t *parent, rng_t *rng,
                       int64_t start_ns);

/* Adds a text attribute. KEY must live as long as the span; attributes beyond the limit are
 * dropped. */
void span_set (span_t *span, const char *key, const char *value);
void span_set_int (span_t *span, const char *key, int64_t value);

/* Writes the traceparent header for work below SPAN to BUFFER of SPAN_TRACEPARENT_SIZE bytes. */
void span_traceparent (const span_t *span, char *buffer);

/* Writes the finished span as one line. INSTANCE is the resource attribute service.instance.id. */
void span_write (const span_t *span, const char *program, const char *instance, FILE *file);
