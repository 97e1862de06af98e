#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "counter.h"
}

static std::string
render (const counter_registry_t *registry)
{
  GString *text = g_string_new (nullptr);
  counter_registry_render (registry, text);
  std::string result (text->str);
  g_string_free (text, TRUE);
  return result;
}

// Guards against lines of one metric family that are not adjacent in the output, which Prometheus
// parsers reject.
TEST (Counter, FamilyIsContiguous)
{
  counter_registry_t registry;
  counter_t urgent, slots, background;
  counter_registry_init (&registry);
  counter_register (&registry, &urgent, COUNTER_KIND_COUNTER, "requests", "class=\"urgent\"",
                    "Requests.");
  counter_register (&registry, &slots, COUNTER_KIND_GAUGE, "slots", nullptr, "Slots.");
  counter_register (&registry, &background, COUNTER_KIND_COUNTER, "requests",
                    "class=\"background\"", "Requests.");
  counter_inc (&urgent);
  counter_add (&background, 2);
  counter_set (&slots, 4);
  EXPECT_EQ (render (&registry), "# HELP requests Requests.\n# TYPE requests counter\n"
                                 "requests{class=\"urgent\"} 1\nrequests{class=\"background\"} 2\n"
                                 "# HELP slots Slots.\n# TYPE slots gauge\nslots 4\n");
}

// Guards against histogram buckets that are not cumulative or that miss large observations.
TEST (Counter, HistogramCountsEveryObservation)
{
  counter_registry_t registry;
  counter_t latency;
  counter_registry_init (&registry);
  counter_register (&registry, &latency, COUNTER_KIND_HISTOGRAM, "latency", nullptr, "Latency.");
  counter_observe_ms (&latency, 3);
  counter_observe_ms (&latency, 40);
  counter_observe_ms (&latency, 60000);
  std::string text = render (&registry);
  EXPECT_NE (text.find ("le=\"5\"} 1\n"), std::string::npos);
  EXPECT_NE (text.find ("le=\"50\"} 2\n"), std::string::npos);
  EXPECT_NE (text.find ("le=\"+Inf\"} 3\n"), std::string::npos);
  EXPECT_EQ (counter_quantile_ms (&latency, 0.5), 50);
}
