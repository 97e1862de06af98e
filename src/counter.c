#include "counter.h"

#include <string.h>

static const double bucket_bounds_ms[COUNTER_BUCKET_COUNT]
    = { 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000 };

void
counter_registry_init (counter_registry_t *registry)
{
  list_init (&registry->metrics);
}

void
counter_register (counter_registry_t *registry, counter_t *counter, counter_kind_t kind,
                  const char *name, const char *labels, const char *help)
{
  *counter = (counter_t){ .kind = kind, .name = name, .labels = labels, .help = help };

  list_node_t *position = &registry->metrics.head;
  LIST_FOREACH (&registry->metrics, node)
  {
    if (strcmp (LIST_ENTRY (node, counter_t, node)->name, name) == 0)
      position = node->next;
  }
  list_insert_before (position, &counter->node);
}

void
counter_unregister (counter_t *counter)
{
  list_remove (&counter->node);
}

void
counter_inc (counter_t *counter)
{
  counter->value++;
}

void
counter_add (counter_t *counter, int64_t amount)
{
  counter->value += amount;
}

void
counter_set (counter_t *counter, int64_t value)
{
  counter->value = value;
}

void
counter_observe_ms (counter_t *counter, double value_ms)
{
  size_t bucket = 0;
  while (bucket < COUNTER_BUCKET_COUNT && value_ms > bucket_bounds_ms[bucket])
    bucket++;
  counter->buckets[bucket]++;
  counter->sum_ms += value_ms;
  counter->value++;
}

double
counter_quantile_ms (const counter_t *counter, double quantile)
{
  double rank = quantile * (double)counter->value;
  double cumulative_count = 0;

  if (counter->value == 0)
    return 0;
  for (size_t i = 0; i < COUNTER_BUCKET_COUNT; i++)
    {
      cumulative_count += (double)counter->buckets[i];
      if (cumulative_count >= rank)
        return bucket_bounds_ms[i];
    }
  return bucket_bounds_ms[COUNTER_BUCKET_COUNT - 1];
}

static void
render_histogram (const counter_t *counter, GString *out)
{
  const char *labels = counter->labels != NULL ? counter->labels : "";
  const char *comma = counter->labels != NULL ? "," : "";
  uint64_t cumulative = 0;

  for (size_t i = 0; i < COUNTER_BUCKET_COUNT; i++)
    {
      cumulative += counter->buckets[i];
      g_string_append_printf (out, "%s_bucket{%s%sle=\"%g\"} %" G_GUINT64_FORMAT "\n",
                              counter->name, labels, comma, bucket_bounds_ms[i], cumulative);
    }
  g_string_append_printf (out, "%s_bucket{%s%sle=\"+Inf\"} %" G_GINT64_FORMAT "\n", counter->name,
                          labels, comma, counter->value);
  g_string_append_printf (out, "%s_sum{%s} %g\n", counter->name, labels, counter->sum_ms);
  g_string_append_printf (out, "%s_count{%s} %" G_GINT64_FORMAT "\n", counter->name, labels,
                          counter->value);
}

static void
render_value (const counter_t *counter, GString *out)
{
  if (counter->labels != NULL)
    g_string_append_printf (out, "%s{%s} %" G_GINT64_FORMAT "\n", counter->name, counter->labels,
                            counter->value);
  else
    g_string_append_printf (out, "%s %" G_GINT64_FORMAT "\n", counter->name, counter->value);
}

void
counter_registry_render (const counter_registry_t *registry, GString *out)
{
  static const char *const kind_names[] = { "counter", "gauge", "histogram" };
  const char *family = "";

  LIST_FOREACH (&registry->metrics, node)
  {
    const counter_t *counter = LIST_ENTRY (node, counter_t, node);
    if (strcmp (family, counter->name) != 0)
      {
        family = counter->name;
        g_string_append_printf (out, "# HELP %s %s\n# TYPE %s %s\n", counter->name, counter->help,
                                counter->name, kind_names[counter->kind]);
      }
    if (counter->kind == COUNTER_KIND_HISTOGRAM)
      render_histogram (counter, out);
    else
      render_value (counter, out);
  }
}
