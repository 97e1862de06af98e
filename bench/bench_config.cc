// Sizes and times of the configuration modules. Usage:
//   bench_config document ROUTES TEAMS keyed|array
//   bench_config changes ROUTES TEAMS CHANGES
//   bench_config history CHANGES
//   bench_config keys TEAMS
// Sizes repeat exactly; times are processor time of one run and vary.

#include <malloc.h>
#include <time.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <string>

extern "C"
{
#include "config_cache.h"
#include "config_redact.h"
#include "rng.h"
#include "route_table.h"
#include "team_keys.h"
#include "version_store.h"
}

namespace
{
// Processor time, which depends less on other programs than wall-clock time.
double
cpu_ms ()
{
  struct timespec time;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return time.tv_sec * 1e3 + time.tv_nsec / 1e6;
}

// Returns the bytes of heap in use.
size_t
heap_bytes ()
{
  struct mallinfo2 info = mallinfo2 ();
  return info.uordblks + info.hblkhd;
}

void
reset_peak ()
{
  malloc_trim (0);
  std::ofstream ("/proc/self/clear_refs") << "5";
}

// Highest resident memory since reset_peak(), in MiB.
double
peak_mib ()
{
  std::ifstream file ("/proc/self/status");
  for (std::string line; std::getline (file, line);)
    if (line.rfind ("VmHWM:", 0) == 0)
      return strtod (line.c_str () + 6, nullptr) / 1024;
  return 0;
}

// Returns the JSON of route I. Each service has 28 routes.
std::string
route_json (int i, bool keyed, int timeout_ms)
{
  char text[400];
  int service = i / 28;
  snprintf (text, sizeof (text),
            "%s{\"class\":\"%s\",%s\"idempotent\":%s,\"max_body_bytes\":65536,\"methods\":[\"%s\"],"
            "\"prefix\":\"/area-%d/resource-%d\",\"service\":\"service-%05d\",\"timeout_ms\":%d}",
            keyed ? ("\"route-" + std::to_string (100000 + i) + "\":").c_str () : "",
            i % 3 == 0 ? "background" : "urgent",
            keyed ? "" : ("\"id\":\"route-" + std::to_string (100000 + i) + "\",").c_str (),
            i % 5 == 0 ? "false" : "true", i % 5 == 0 ? "POST" : "GET", i % 7, i, service,
            timeout_ms);
  return text;
}

std::string
routes_json (int routes, bool keyed, int changed)
{
  std::string text = keyed ? "{" : "[";
  for (int i = 0; i < routes; i++)
    text += (i > 0 ? "," : "") + route_json (i, keyed, i == changed ? 4321 : 5000);
  return text + (keyed ? "}" : "]");
}

std::string
document_json (int routes, int teams, bool keyed)
{
  std::string text = "{\"routes\":" + routes_json (routes, keyed, -1) + ",\"services\":{";
  char member_json[300];
  for (int i = 0; i * 28 < routes; i++)
    {
      snprintf (member_json, sizeof (member_json),
                "%s\"service-%05d\":{\"hosts\":[\"service-%05d.example\"],"
                "\"min_healthy_slots\":20,\"sensitivity\":0.8}",
                i > 0 ? "," : "", i, i);
      text += member_json;
    }
  text += "},\"team_default\":{\"burst\":100,\"rate\":50},\"teams\":{";
  for (int i = 0; i < teams; i++)
    {
      snprintf (member_json, sizeof (member_json), "%s\"team-%06d\":{\"burst\":%d,\"rate\":%d}",
                i > 0 ? "," : "", i, 10 + i % 40, 1 + i % 17);
      text += member_json;
    }
  return text + "}}";
}

version_result_t
apply_patch (version_store_t *store, const std::string &patch, const std::string &id)
{
  version_command_t command = { version_store_current_version (store),
                                id.c_str (),
                                "anna",
                                "regular change of limits",
                                1793700000000,
                                patch.data (),
                                patch.size (),
                                CONFIG_SCHEMA };
  version_result_t result;
  version_store_apply (store, &command, &result);
  if (result.outcome != VERSION_ACCEPTED)
    {
      fprintf (stderr, "%s\n", result.text);
      exit (1);
    }
  return result;
}

void
install_current (config_cache_t *cache, version_store_t *store)
{
  version_seal_t seal = version_store_seal (store);
  if (!config_cache_install (cache, &seal, version_store_doc (store), nullptr))
    exit (1);
}

GBytes *
answer_fetch (config_cache_t *source, config_cache_t *receiver)
{
  g_autoptr (GBytes) fetch_request = config_cache_build_fetch (receiver);
  gsize size = 0;
  const uint8_t *data = (const uint8_t *)g_bytes_get_data (fetch_request, &size);
  return config_cache_answer_fetch (source, data, size, nullptr);
}

void
receive (config_cache_t *cache, GBytes *message)
{
  anv_error_t err = {};
  gsize size = 0;
  const uint8_t *data = (const uint8_t *)g_bytes_get_data (message, &size);
  if (!config_cache_receive (cache, data, size, &err))
    {
      fprintf (stderr, "%s\n", err.text);
      exit (1);
    }
}

void
measure_doc_and_routes (GBytes *text, int routes)
{
  malloc_trim (0);
  size_t before = heap_bytes ();
  double start_ms = cpu_ms ();
  anv_error_t err = {};
  config_doc_t *doc = config_doc_new (text, CONFIG_SCHEMA, &err);
  double checked_ms = cpu_ms ();
  if (doc == nullptr)
    {
      fprintf (stderr, "%s\n", err.text);
      exit (1);
    }
  size_t view_bytes = heap_bytes () - before;
  route_table_t *table = route_table_new (doc, nullptr);
  double built_ms = cpu_ms ();
  printf ("check: %.1f ms, view %zu bytes (heap), route table %.1f ms, %zu bytes (heap)\n",
          checked_ms - start_ms, view_bytes, built_ms - checked_ms,
          heap_bytes () - before - view_bytes);

  rng_t rng;
  rng_init (&rng, 1);
  const int lookups = 200000;
  size_t found = 0;
  start_ms = cpu_ms ();
  for (int i = 0; i < lookups; i++)
    {
      int route_index = (int)rng_uniform_int (&rng, (uint64_t)routes);
      char host[64];
      char path[64];
      snprintf (host, sizeof (host), "service-%05d.example:80", route_index / 28);
      snprintf (path, sizeof (path), "/area-%d/resource-%d/item/7?x=1", route_index % 7,
                route_index);
      route_match_t match;
      found += route_table_lookup (table, route_index % 5 == 0 ? "POST" : "GET", host, path, &match)
               == ROUTE_FOUND;
    }
  printf ("lookup: %.0f ns with making the path, %zu of %d found\n",
          (cpu_ms () - start_ms) * 1e6 / lookups, found, lookups);
  route_table_free (table);
  config_doc_unref (doc);
}

void
measure_document (int routes, int teams, bool keyed)
{
  std::string json = document_json (routes, teams, keyed);
  printf ("document: %d routes (%s), %d teams, %zu bytes of text\n", routes,
          keyed ? "keyed" : "array", teams, json.size ());
  g_autoptr (GBytes) text = g_bytes_new (json.data (), json.size ());
  measure_doc_and_routes (text, routes);

  config_cache_options_t options = {};
  config_cache_t *control = config_cache_new (&options);
  config_cache_t *entry = config_cache_new (&options);
  version_store_t *store = version_store_new ();
  double start_ms = cpu_ms ();
  apply_patch (store, json, "p1");
  printf ("store: first version %.1f ms\n", cpu_ms () - start_ms);
  json.clear ();
  json.shrink_to_fit ();
  install_current (control, store);

  std::string patch = "{\"routes\":"
                      + (keyed ? "{" + route_json (routes / 2, true, 4321) + "}"
                               : routes_json (routes, false, routes / 2))
                      + "}";
  start_ms = cpu_ms ();
  GBytes *full = answer_fetch (control, entry);
  printf ("full message: %zu bytes, packed in %.1f ms\n", g_bytes_get_size (full),
          cpu_ms () - start_ms);
  reset_peak ();
  double base_mib = peak_mib ();
  start_ms = cpu_ms ();
  receive (entry, full);
  printf ("install full: %.1f ms, peak %.1f MiB above the start\n", cpu_ms () - start_ms,
          peak_mib () - base_mib);
  g_bytes_unref (full);

  reset_peak ();
  base_mib = peak_mib ();
  start_ms = cpu_ms ();
  apply_patch (store, patch, "p2");
  printf ("store: change of one route %.1f ms, patch %zu bytes, peak %.1f MiB above the start\n",
          cpu_ms () - start_ms, patch.size (), peak_mib () - base_mib);
  install_current (control, store);
  GBytes *delta = answer_fetch (control, entry);
  size_t held_bytes = config_cache_memory_bytes (entry);
  reset_peak ();
  base_mib = peak_mib ();
  start_ms = cpu_ms ();
  receive (entry, delta);
  printf ("delta message: %zu bytes; install delta: %.1f ms, peak %.1f MiB above the start\n",
          g_bytes_get_size (delta), cpu_ms () - start_ms, peak_mib () - base_mib);
  printf ("entry holds %.1f MiB; during an install %.1f MiB\n", held_bytes / 1048576.0,
          held_bytes / 1048576.0 + peak_mib () - base_mib);
  g_bytes_unref (delta);
  config_cache_free (entry);
  config_cache_free (control);
  version_store_free (store);
}

// Measures changes of one route each: mean processor time at the store and at an entry, and the
// share of a core at 3,000 changes a day.
void
measure_changes (int routes, int teams, int changes)
{
  config_cache_options_t options = {};
  config_cache_t *control = config_cache_new (&options);
  config_cache_t *entry = config_cache_new (&options);
  version_store_t *store = version_store_new ();
  apply_patch (store, document_json (routes, teams, true), "p1");
  install_current (control, store);
  GBytes *full = answer_fetch (control, entry);
  receive (entry, full);
  g_bytes_unref (full);

  double store_ms = 0;
  double entry_ms = 0;
  size_t bytes = 0;
  for (int i = 0; i < changes; i++)
    {
      std::string patch = "{\"routes\":{" + route_json (i * 37 % routes, true, 6000 + i) + "}}";
      double start_ms = cpu_ms ();
      apply_patch (store, patch, "c" + std::to_string (i));
      store_ms += cpu_ms () - start_ms;
      install_current (control, store);
      GBytes *delta = answer_fetch (control, entry);
      bytes += g_bytes_get_size (delta);
      start_ms = cpu_ms ();
      receive (entry, delta);
      entry_ms += cpu_ms () - start_ms;
      g_bytes_unref (delta);
    }
  printf (
      "%d changes at %d routes and %d teams: store %.1f ms, entry %.1f ms, delta %zu bytes each; "
      "entry %.2f%% of a core at 3,000 changes a day\n",
      changes, routes, teams, store_ms / changes, entry_ms / changes, bytes / (size_t)changes,
      entry_ms / changes * 3000 / 86400e3 * 100);
  config_cache_free (entry);
  config_cache_free (control);
  version_store_free (store);
}

void
measure_history (int changes)
{
  version_store_t *store = version_store_new ();
  apply_patch (store, document_json (50, 20, true), "first");
  size_t before = version_store_memory_bytes (store);
  rng_t rng;
  rng_init (&rng, 1);
  double start_ms = cpu_ms ();
  for (int i = 0; i < changes; i++)
    {
      char patch[200];
      snprintf (patch, sizeof (patch), "{\"teams\":{\"team-%06d\":{\"burst\":%d,\"rate\":%d}}}",
                (int)rng_uniform_int (&rng, 200), 1 + (int)rng_uniform_int (&rng, 100),
                1 + (int)rng_uniform_int (&rng, 50));
      char id[40];
      snprintf (id, sizeof (id), "%08x-%d", (unsigned)rng_next (&rng), i);
      apply_patch (store, patch, id);
    }
  double applied_ms = cpu_ms ();
  size_t memory_bytes = version_store_memory_bytes (store) - before;
  g_autoptr (GBytes) saved = version_store_save (store);
  double done_ms = cpu_ms ();
  printf ("history: %d changes, %.1f us a change, %.0f bytes of memory per 1,000 changes\n",
          changes, (applied_ms - start_ms) * 1000 / changes, memory_bytes * 1000.0 / changes);
  printf ("snapshot: %zu bytes (%.0f per 1,000 changes), saved in %.1f ms\n",
          g_bytes_get_size (saved), g_bytes_get_size (saved) * 1000.0 / changes,
          done_ms - applied_ms);

  gsize size = 0;
  const uint8_t *data = (const uint8_t *)g_bytes_get_data (saved, &size);
  start_ms = cpu_ms ();
  version_store_t *restored = version_store_restore (data, size, nullptr);
  printf ("restore with verification: %.1f ms, version %lu\n", cpu_ms () - start_ms,
          (unsigned long)(restored != nullptr ? version_store_current_version (restored) : 0));
  start_ms = cpu_ms ();
  g_autoptr (GBytes) old_document
      = version_store_rebuild_document (restored, (uint64_t)changes / 2, nullptr);
  printf ("document of version %d rebuilt in %.1f ms, %zu bytes\n", changes / 2,
          cpu_ms () - start_ms, old_document != nullptr ? g_bytes_get_size (old_document) : 0);
  version_store_free (restored);
  version_store_free (store);
}

std::string
team_key (int team, int number)
{
  return "key" + std::to_string (number) + "of" + std::to_string (team) + "padded";
}

// Returns a document of TEAMS teams with two keys each, as a platform's configuration gives it.
std::string
keys_document_json (int teams)
{
  std::string text = "{\"routes\":{},\"services\":{},\"team_keys_required\":true,\"teams\":{";
  for (int i = 0; i < teams; i++)
    {
      char member[600];
      char hex[2][TEAM_KEY_HEX_SIZE + 1];
      for (int number = 0; number < 2; number++)
        {
          std::string key = team_key (i, number);
          team_key_digest_t digest = team_key_compute_digest (key.data (), key.size ());
          team_key_format_digest (&digest, hex[number]);
        }
      snprintf (
          member, sizeof (member),
          "%s\"team-%06d\":{\"annotations\":\"{\\\"api_keys\\\":[\\\"%s\\\",\\\"%s\\\"],"
          "\\\"burst\\\":%d,\\\"priority\\\":1,\\\"rate_per_s\\\":%d}\",\"burst\":%d,\"keys\":"
          "[\"%s\",\"%s\"],\"priority\":1,\"rate\":%d}",
          i > 0 ? "," : "", i, team_key (i, 0).c_str (), team_key (i, 1).c_str (), 10 + i % 40,
          1 + i % 17, 10 + i % 40, hex[0], hex[1], 1 + i % 17);
      text += member;
    }
  return text + "}}";
}

// Measures teams with keys: the redaction at a control instance, and memory, install and lookup at
// an entry.
void
measure_keys (int teams)
{
  std::string json = keys_document_json (teams);
  g_autoptr (GBytes) text = g_bytes_new (json.data (), json.size ());
  anv_error_t err = {};
  double start_ms = cpu_ms ();
  config_doc_t *stored = config_doc_new (text, CONFIG_SCHEMA, &err);
  double checked_ms = cpu_ms ();
  if (stored == nullptr)
    {
      fprintf (stderr, "%s\n", err.text);
      exit (1);
    }
  version_seal_t seal = {};
  config_redact_t redact = {};
  GBytes *sent = config_redact_version (&redact, text, &seal);
  printf ("control instance: text %zu bytes a team, check %.1f ms, redaction %.1f ms\n",
          json.size () / (size_t)teams, checked_ms - start_ms, cpu_ms () - checked_ms);
  config_doc_unref (stored);

  malloc_trim (0);
  reset_peak ();
  double base_mib = peak_mib ();
  gsize size = 0;
  const char *data = (const char *)g_bytes_get_data (sent, &size);
  start_ms = cpu_ms ();
  version_compute_text_digest (data, size);
  size_t before = heap_bytes ();
  config_doc_t *doc = config_doc_new (sent, CONFIG_SCHEMA, nullptr);
  double installed_ms = cpu_ms ();
  size_t view_bytes = heap_bytes () - before;
  printf ("entry: text %.1f and view %.1f bytes a team, install %.1f ms, peak %.1f MiB besides the "
          "text\n",
          (double)size / teams, (double)view_bytes / teams, installed_ms - start_ms,
          peak_mib () - base_mib);

  rng_t rng;
  rng_init (&rng, 1);
  const int lookups = 200000;
  int found_count = 0;
  start_ms = cpu_ms ();
  for (int i = 0; i < lookups; i++)
    {
      config_team_info_t team;
      std::string key = team_key ((int)rng_uniform_int (&rng, (uint64_t)teams), i % 2);
      found_count += config_doc_find_team_by_key (doc, key.data (), key.size (), &team);
    }
  printf ("lookup: %.2f us, found %d of %d\n", (cpu_ms () - start_ms) * 1000 / lookups, found_count,
          lookups);
  config_doc_unref (doc);
  config_redact_clear (&redact);
}
}

int
main (int argc, char **argv)
{
  if (argc == 5 && strcmp (argv[1], "document") == 0)
    measure_document (atoi (argv[2]), atoi (argv[3]), strcmp (argv[4], "keyed") == 0);
  else if (argc == 5 && strcmp (argv[1], "changes") == 0)
    measure_changes (atoi (argv[2]), atoi (argv[3]), atoi (argv[4]));
  else if (argc == 3 && strcmp (argv[1], "history") == 0)
    measure_history (atoi (argv[2]));
  else if (argc == 3 && strcmp (argv[1], "keys") == 0)
    measure_keys (atoi (argv[2]));
  else
    {
      fprintf (stderr, "usage: bench_config document ROUTES TEAMS keyed|array\n"
                       "       bench_config changes ROUTES TEAMS CHANGES\n"
                       "       bench_config history CHANGES\n"
                       "       bench_config keys TEAMS\n");
      return 2;
    }
  return 0;
}
