#include "metric.h"

#include <string.h>

static const double bucket_bounds_ms[METRIC_BUCKET_COUNT]
    = { 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000 };

void
metric_registry_init (metric_registry_t *registry)
{
  list_init (&registry->metrics);
}

void
metric_register (metric_registry_t *registry, metric_t *metric, metric_kind_t kind,
                 const char *name, const char *labels, const char *help)
{
  *metric = (metric_t){ .kind = kind, .name = name, .labels = labels, .help = help };

  list_node_t *position = &registry->metrics.head;
  LIST_FOREACH (&registry->metrics, node)
  {
    if (strcmp (CONTAINER_OF (node, metric_t, node)->name, name) == 0)
      position = node->next;
  }
  list_insert_before (position, &metric->node);
}

void
metric_unregister (metric_t *metric)
{
  list_remove (&metric->node);
}

void
metric_inc (metric_t *metric)
{
  metric->value++;
}

void
metric_add (metric_t *metric, int64_t amount)
{
  metric->value += amount;
}

void
metric_set (metric_t *metric, int64_t value)
{
  metric->value = value;
}

void
metric_observe_ms (metric_t *metric, double value_ms)
{
  size_t bucket = 0;
  while (bucket < METRIC_BUCKET_COUNT && value_ms > bucket_bounds_ms[bucket])
    bucket++;
  metric->buckets[bucket]++;
  metric->sum_ms += value_ms;
  metric->value++;
}

double
metric_quantile_ms (const metric_t *metric, double quantile)
{
  double rank = quantile * (double)metric->value;
  double cumulative_count = 0;

  if (metric->value == 0)
    return 0;
  for (size_t i = 0; i < METRIC_BUCKET_COUNT; i++)
    {
      cumulative_count += (double)metric->buckets[i];
      if (cumulative_count >= rank)
        return bucket_bounds_ms[i];
    }
  return bucket_bounds_ms[METRIC_BUCKET_COUNT - 1];
}

static void
render_histogram (const metric_t *metric, GString *out)
{
  const char *labels = metric->labels != NULL ? metric->labels : "";
  const char *comma = metric->labels != NULL ? "," : "";
  uint64_t cumulative = 0;

  for (size_t i = 0; i < METRIC_BUCKET_COUNT; i++)
    {
      cumulative += metric->buckets[i];
      g_string_append_printf (out, "%s_bucket{%s%sle=\"%g\"} %" G_GUINT64_FORMAT "\n", metric->name,
                              labels, comma, bucket_bounds_ms[i], cumulative);
    }
  g_string_append_printf (out, "%s_bucket{%s%sle=\"+Inf\"} %" G_GINT64_FORMAT "\n", metric->name,
                          labels, comma, metric->value);
  g_string_append_printf (out, "%s_sum{%s} %g\n", metric->name, labels, metric->sum_ms);
  g_string_append_printf (out, "%s_count{%s} %" G_GINT64_FORMAT "\n", metric->name, labels,
                          metric->value);
}

static void
render_value (const metric_t *metric, GString *out)
{
  if (metric->labels != NULL)
    g_string_append_printf (out, "%s{%s} %" G_GINT64_FORMAT "\n", metric->name, metric->labels,
                            metric->value);
  else
    g_string_append_printf (out, "%s %" G_GINT64_FORMAT "\n", metric->name, metric->value);
}

void
metric_registry_render (const metric_registry_t *registry, GString *out)
{
  static const char *const kind_names[] = { "counter", "gauge", "histogram" };
  const char *family = "";

  LIST_FOREACH (&registry->metrics, node)
  {
    const metric_t *metric = CONTAINER_OF (node, metric_t, node);
    if (strcmp (family, metric->name) != 0)
      {
        family = metric->name;
        g_string_append_printf (out, "# HELP %s %s\n# TYPE %s %s\n", metric->name, metric->help,
                                metric->name, kind_names[metric->kind]);
      }
    if (metric->kind == METRIC_KIND_HISTOGRAM)
      render_histogram (metric, out);
    else
      render_value (metric, out);
  }
}
