#pragma once

#include <glib.h>
#include <stdint.h>

#include "list.h"

/* counter - counters, gauges and histograms, rendered in the Prometheus text format.
 *
 * A metric is embedded in the struct that updates it; the registry only links it. The strings
 * passed to counter_register() must outlive the metric. */

typedef enum
{
  COUNTER_KIND_COUNTER,
  COUNTER_KIND_GAUGE,
  COUNTER_KIND_HISTOGRAM,
} counter_kind_t;

/* Number of histogram buckets with an upper bound. */
#define COUNTER_BUCKET_COUNT 16

typedef struct
{
  list_node_t node;
  counter_kind_t kind;
  const char *name;
  const char *help;
  const char *labels;                         /* NULL for none */
  int64_t value;                              /* for a histogram: number of observations */
  uint64_t buckets[COUNTER_BUCKET_COUNT + 1]; /* not cumulative; the last is +Inf */
  double sum_ms;
} counter_t;

typedef struct
{
  list_t metrics;
} counter_registry_t;

void counter_registry_init (counter_registry_t *registry);

/* Initialises COUNTER and adds it to REGISTRY. LABELS is the text between the braces, e.g.
 * `class="urgent"`, or NULL. A metric is placed after those of the same name, because the text
 * format requires that a family is contiguous. */
void counter_register (counter_registry_t *registry, counter_t *counter, counter_kind_t kind,
                       const char *name, const char *labels, const char *help);

/* Unlinks COUNTER from its registry. */
void counter_unregister (counter_t *counter);

void counter_inc (counter_t *counter);
void counter_add (counter_t *counter, int64_t amount);
void counter_set (counter_t *counter, int64_t value);

/* Adds an observation in milliseconds to a histogram. */
void counter_observe_ms (counter_t *counter, double value_ms);

/* Returns the upper bound in milliseconds of the bucket that holds QUANTILE (0 to 1): 0 without
 * observations, and the largest bound if the quantile is above all bounds. */
double counter_quantile_ms (const counter_t *counter, double quantile);

/* Appends all metrics to OUT in the Prometheus text format 0.0.4. */
void counter_registry_render (const counter_registry_t *registry, GString *out);
