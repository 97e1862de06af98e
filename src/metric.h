#pragma once

#include <glib.h>
#include <stdint.h>

#include "list.h"

/* metric - counters, gauges and histograms, rendered in the Prometheus text format.
 *
 * A metric is embedded in the struct that updates it; the registry only links it. The strings
 * passed to metric_register() must outlive the metric. */

typedef enum
{
  METRIC_KIND_COUNTER,
  METRIC_KIND_GAUGE,
  METRIC_KIND_HISTOGRAM,
} metric_kind_t;

/* Number of histogram buckets with an upper bound. */
#define METRIC_BUCKET_COUNT 16

typedef struct
{
  list_node_t node;
  metric_kind_t kind;
  const char *name;
  const char *help;
  const char *labels;                        /* NULL for none */
  int64_t value;                             /* for a histogram: number of observations */
  uint64_t buckets[METRIC_BUCKET_COUNT + 1]; /* not cumulative; the last is +Inf */
  double sum_ms;
} metric_t;

typedef struct
{
  list_t metrics;
} metric_registry_t;

void metric_registry_init (metric_registry_t *registry);

/* Initialises METRIC and adds it to REGISTRY. LABELS is the text between the braces, e.g.
 * `class="urgent"`, or NULL. A metric is placed after those of the same name, because the text
 * format requires that a family is contiguous. */
void metric_register (metric_registry_t *registry, metric_t *metric, metric_kind_t kind,
                      const char *name, const char *labels, const char *help);

/* Unlinks METRIC from its registry. */
void metric_unregister (metric_t *metric);

void metric_inc (metric_t *metric);
void metric_add (metric_t *metric, int64_t amount);
void metric_set (metric_t *metric, int64_t value);

/* Adds an observation in milliseconds to a histogram. */
void metric_observe_ms (metric_t *metric, double value_ms);

/* Returns the upper bound in milliseconds of the bucket that holds QUANTILE (0 to 1): 0 without
 * observations, and the largest bound if the quantile is above all bounds. */
double metric_quantile_ms (const metric_t *metric, double quantile);

/* Appends all metrics to OUT in the Prometheus text format 0.0.4. */
void metric_registry_render (const metric_registry_t *registry, GString *out);
