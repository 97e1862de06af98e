#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "metric.h"
}

static std::string
render (const metric_registry_t *registry)
{
  GString *text = g_string_new (nullptr);
  metric_registry_render (registry, text);
  std::string result (text->str);
  g_string_free (text, TRUE);
  return result;
}

// Guards against lines of one metric family that are not adjacent in the output, which Prometheus
// parsers reject.
TEST (Counter, FamilyIsContiguous)
{
  metric_registry_t registry;
  metric_t urgent, slots, background;
  metric_registry_init (&registry);
  metric_register (&registry, &urgent, METRIC_KIND_COUNTER, "requests", "class=\"urgent\"",
                   "Requests.");
  metric_register (&registry, &slots, METRIC_KIND_GAUGE, "slots", nullptr, "Slots.");
  metric_register (&registry, &background, METRIC_KIND_COUNTER, "requests", "class=\"background\"",
                   "Requests.");
  metric_inc (&urgent);
  metric_add (&background, 2);
  metric_set (&slots, 4);
  EXPECT_EQ (render (&registry), "# HELP requests Requests.\n# TYPE requests counter\n"
                                 "requests{class=\"urgent\"} 1\nrequests{class=\"background\"} 2\n"
                                 "# HELP slots Slots.\n# TYPE slots gauge\nslots 4\n");
}

// Guards against histogram buckets that are not cumulative or that miss large observations.
TEST (Counter, HistogramCountsEveryObservation)
{
  metric_registry_t registry;
  metric_t latency;
  metric_registry_init (&registry);
  metric_register (&registry, &latency, METRIC_KIND_HISTOGRAM, "latency", nullptr, "Latency.");
  metric_observe_ms (&latency, 3);
  metric_observe_ms (&latency, 40);
  metric_observe_ms (&latency, 60000);
  std::string text = render (&registry);
  EXPECT_NE (text.find ("le=\"5\"} 1\n"), std::string::npos);
  EXPECT_NE (text.find ("le=\"50\"} 2\n"), std::string::npos);
  EXPECT_NE (text.find ("le=\"+Inf\"} 3\n"), std::string::npos);
  EXPECT_EQ (metric_quantile_ms (&latency, 0.5), 50);
}
