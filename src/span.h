#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "rng.h"

/* span - trace spans, one for each request that an entry receives and one for each attempt.
 *
 * The W3C traceparent header propagates the trace context. A finished span is written as one line
 * of OTLP JSON (an ExportTraceServiceRequest with a single span). */

#define SPAN_TRACE_ID_SIZE 16
#define SPAN_ID_SIZE 8
/* "00-" + 32 + "-" + 16 + "-" + 2 characters and the terminating null. */
#define SPAN_TRACEPARENT_SIZE 56
#define MAX_SPAN_ATTRIBUTES 12
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
  uint8_t parent_id[SPAN_ID_SIZE]; /* all zero for a root span */
  uint8_t flags;                   /* trace-flags of traceparent; bit 0 is "sampled" */
  const char *name;
  int64_t start_ns; /* wall clock, nanoseconds since the epoch */
  int64_t end_ns;
  bool failed; /* written as status code ERROR */
  unsigned attribute_count;
  span_attribute_t attributes[MAX_SPAN_ATTRIBUTES];
} span_t;

/* Starts a span as a child of TRACEPARENT, or as a root if that is NULL or malformed. */
void span_start (span_t *span, const char *name, const char *traceparent, rng_t *rng,
                 int64_t start_ns);

/* Starts a span as a child of PARENT. */
void span_start_child (span_t *span, const char *name, const span_t *parent, rng_t *rng,
                       int64_t start_ns);

/* Adds an attribute. KEY must outlive the span. A value that does not fit is truncated, and
 * attributes beyond MAX_SPAN_ATTRIBUTES are dropped. */
void span_set_attribute (span_t *span, const char *key, const char *value);
void span_set_int_attribute (span_t *span, const char *key, int64_t value);

/* Writes the traceparent header for children of SPAN to BUFFER of SPAN_TRACEPARENT_SIZE bytes. */
void span_format_traceparent (const span_t *span, char *buffer);

/* Writes the finished span to FILE as one line. PROGRAM and INSTANCE are the resource attributes
 * service.name and service.instance.id. */
void span_write (const span_t *span, const char *program, const char *instance, FILE *file);
