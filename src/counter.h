#pragma once

#include <glib.h>
#include <stdint.h>

#include "list.h"

/* counter - counters, gauges and histograms, rendered in the Prometheus text format.
 *
 * A metric is a member of the struct that counts; the registry only links it. NAME and LABELS must
 * live as long as the metric. LABELS is the text between the braces, e.g. `class="urgent"`, or
 * NULL. Metrics of the same name are registered one after the other, so that they form one family.
 */

typedef enum
{
  COUNTER_KIND_COUNTER,
  COUNTER_KIND_GAUGE,
  COUNTER_KIND_HISTOGRAM,
} counter_kind_t;

/* Upper bounds of the histogram buckets in milliseconds. */
#define COUNTER_BUCKETS 16

typedef struct
{
  list_node_t node;
  counter_kind_t kind;
  const char *name;
  const char *help;
  const char *labels;
  int64_t value;
  uint64_t buckets[COUNTER_BUCKETS + 1]; /* not cumulative; the last one is above all bounds */
  double sum_ms;
} counter_t;

typedef struct
{
  list_t metrics;
} counter_registry_t;

void counter_registry_init (counter_registry_t *registry);

void counter_register (counter_registry_t *registry, counter_t *counter, counter_kind_t kind,
                       const char *name, const char *labels, const char *help);

/* Unlinks COUNTER from its registry. */
void counter_unregister (counter_t *counter);

void counter_inc (counter_t *counter);
void counter_add (counter_t *counter, int64_t amount);
void counter_set (counter_t *counter, int64_t value);

/* Adds an observation in milliseconds to a histogram. */
void counter_observe_ms (counter_t *counter, double value_ms);

/* Returns the upper bound in milliseconds of the bucket that holds the given QUANTILE (0 to 1), or
 * 0 without observations. */
double counter_quantile_ms (const counter_t *counter, double quantile);

/* Appends all metrics to OUT in the Prometheus text format 0.0.4. */
void counter_registry_render (const counter_registry_t *registry, GString *out);
