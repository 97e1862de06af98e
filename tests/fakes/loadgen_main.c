#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <cjson/cJSON.h>

#include "loadgen.h"

#define LOG_MODULE "loadgen"
#include "log.h"
#include "option.h"

static loadgen_t load;

static const option_t options[] = {
  { "entry", OPTION_ADDRESS_LIST, &load.options.entries, NULL, 0, 0, NULL, false, "ADDRESS",
    "Entry that is asked for addresses" },
  { "direct", OPTION_ADDRESS_LIST, &load.options.direct, NULL, 0, 0, NULL, false, "ADDRESS",
    "Address that gets requests without resolve, e.g. a backend server" },
  { "mix", OPTION_LIST, &load.options.mix, "sheet:GET:/sheets/1:1:0", 0, 0, NULL, false,
    "CLASS:METHOD:PATH:WEIGHT:BODY_BYTES", "Kind of request; can be repeated" },
  { "service", OPTION_STRING, &load.options.service, "crew", 0, 0, NULL, false, "NAME",
    "Service, also sent as Host" },
  { "domain", OPTION_STRING, &load.options.domain, "default", 0, 0, NULL, false, "NAME",
    "Failure domain of the caller" },
  { "team", OPTION_STRING, &load.options.team, NULL, 0, 0, NULL, false, "NAME", "Team" },
  { "rate", OPTION_NUMBER, &load.options.rate, "50", 0.001, 1e6, NULL, false, "RATE",
    "Requests per second, with random intervals" },
  { "duration-s", OPTION_NUMBER, &load.options.duration_s, "5", 0.001, 1e6, NULL, false, "SECONDS",
    "Time in which requests are started" },
  { "closed", OPTION_INTEGER, &load.options.closed, "0", 0, 100000, NULL, false, "COUNT",
    "Instead of a rate, keep this number of requests in flight" },
  { "connections", OPTION_INTEGER, &load.options.connections, "256", 1, 100000, NULL, false,
    "COUNT", "Open connections to one address" },
  { "timeout-ms", OPTION_INTEGER, &load.options.timeout_ms, "30000", 1, 1e9, NULL, false, "MS",
    "Time limit of a request" },
  { "deadline-ms", OPTION_INTEGER, &load.options.deadline_ms, "0", 0, 1e9, NULL, false, "MS",
    "Value of Anvillb-Deadline-Ms; 0 for none" },
  { "seed", OPTION_INTEGER, &load.options.seed, "1", 0, 1e9, NULL, false, "NUMBER",
    "Seed of the intervals and the mix" },
  { 0 },
};

static const option_table_t table = {
  .program = "loadgen",
  .summary = "Load generator for tests.",
  .options = options,
};

static bool
parse_mix (void)
{
  load.classes = g_array_new (FALSE, TRUE, sizeof (load_class_t));
  for (guint i = 0; i < load.options.mix->len; i++)
    {
      const char *text = g_ptr_array_index (load.options.mix, i);
      g_auto (GStrv) parts = g_strsplit (text, ":", -1);
      if (g_strv_length (parts) != 5)
        {
          LOG_ERROR (
              "--mix: value '%s' is not allowed: expected CLASS:METHOD:PATH:WEIGHT:BODY_BYTES",
              text);
          return false;
        }
      load_class_t class = {
        .name = g_strdup (parts[0]),
        .method = g_strdup (parts[1]),
        .path = g_strdup (parts[2]),
        .weight = strtod (parts[3], NULL),
        .body_bytes = strtoul (parts[4], NULL, 10),
        .latencies_ms = g_array_new (FALSE, FALSE, sizeof (double)),
      };
      g_array_append_val (load.classes, class);
    }
  return true;
}

static guint
choose_class (void)
{
  double total = 0;
  for (guint i = 0; i < load.classes->len; i++)
    total += g_array_index (load.classes, load_class_t, i).weight;
  double remaining = rng_uniform_double (&load.rng) * total;
  for (guint i = 0; i + 1 < load.classes->len; i++)
    {
      remaining -= g_array_index (load.classes, load_class_t, i).weight;
      if (remaining < 0)
        return i;
    }
  return load.classes->len - 1;
}

static void
quit_if_finished (void)
{
  if (load.stopped && load.in_flight == 0)
    g_main_loop_quit (load.main_loop);
}

static bool
is_time_up (void)
{
  if (g_get_monotonic_time () >= load.end_us)
    load.stopped = true;
  return load.stopped;
}

static void
start_request (void)
{
  bool expired = io_loop_now_us (load.loop) >= load.addresses_expire_us;
  if (load.options.direct->len == 0 && expired)
    load_resolve (&load);
  load_request_start (&load, choose_class ());
}

/* Starts requests until the number in flight is that of the closed loop. */
static gboolean
refill_closed_loop (gpointer data)
{
  while (!is_time_up () && load.in_flight < load.options.closed)
    start_request ();
  quit_if_finished ();
  return G_SOURCE_REMOVE;
}

static gboolean
start_due_requests (gpointer data)
{
  static int64_t next_start_us;
  int64_t now_us = g_get_monotonic_time ();

  if (next_start_us == 0)
    next_start_us = now_us;
  while (next_start_us <= now_us && !is_time_up ())
    {
      start_request ();
      next_start_us += (int64_t)rng_exponential (&load.rng, 1e6 / load.options.rate);
    }
  if (is_time_up ())
    {
      quit_if_finished ();
      return G_SOURCE_REMOVE;
    }
  g_source_set_ready_time (g_main_current_source (), next_start_us);
  return G_SOURCE_CONTINUE;
}

static gboolean
dispatch_source (GSource *source, GSourceFunc callback, gpointer data)
{
  return callback (data);
}

static GSourceFuncs source_funcs = { .dispatch = dispatch_source };

static void
start_load (void)
{
  load.start_us = g_get_monotonic_time ();
  load.end_us = load.start_us + (int64_t)(load.options.duration_s * 1e6);
  if (load.options.closed > 0)
    {
      g_idle_add (refill_closed_loop, NULL);
      return;
    }
  GSource *source = g_source_new (&source_funcs, sizeof (GSource));
  g_source_set_callback (source, start_due_requests, NULL, NULL);
  g_source_set_ready_time (source, 0);
  g_source_attach (source, NULL);
  g_source_unref (source);
}

void
load_resolved (loadgen_t *unused)
{
  load.resolving = false;
  if (load.start_us == 0)
    start_load ();
}

void
load_request_ended (loadgen_t *unused)
{
  load.in_flight--;
  if (load.options.closed > 0)
    g_idle_add (refill_closed_loop, NULL);
  else
    quit_if_finished ();
}

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

static void
add_percentiles (cJSON *object, GArray *latencies_ms)
{
  guint count = latencies_ms->len;
  g_array_sort (latencies_ms, compare_doubles);
  double p50 = count == 0 ? 0 : g_array_index (latencies_ms, double, count / 2);
  double p99 = count == 0 ? 0 : g_array_index (latencies_ms, double, (count - 1) * 99 / 100);
  cJSON_AddNumberToObject (object, "p50_ms", p50);
  cJSON_AddNumberToObject (object, "p99_ms", p99);
}

static void
add_classes (cJSON *root, GArray *all_latencies_ms)
{
  cJSON *classes = cJSON_AddObjectToObject (root, "classes");
  for (guint i = 0; i < load.classes->len; i++)
    {
      load_class_t *class = &g_array_index (load.classes, load_class_t, i);
      cJSON *object = cJSON_AddObjectToObject (classes, class->name);
      cJSON_AddNumberToObject (object, "sent", (double)class->sent);
      cJSON_AddNumberToObject (object, "ok", (double)class->ok);
      add_percentiles (object, class->latencies_ms);
      g_array_append_vals (all_latencies_ms, class->latencies_ms->data, class->latencies_ms->len);
    }
}

static void
print_summary (void)
{
  const load_counts_t *counts = &load.counts;
  double seconds = (double)(g_get_monotonic_time () - load.start_us) / 1e6;
  cJSON *root = cJSON_CreateObject ();
  g_autoptr (GArray) all_latencies_ms = g_array_new (FALSE, FALSE, sizeof (double));

  cJSON_AddNumberToObject (root, "sent", (double)counts->sent);
  cJSON_AddNumberToObject (root, "ok", (double)counts->ok);
  cJSON *statuses = cJSON_AddObjectToObject (root, "statuses");
  for (int i = 0; i < 600; i++)
    {
      char name[8];
      g_snprintf (name, sizeof (name), "%d", i);
      if (counts->statuses[i] > 0)
        cJSON_AddNumberToObject (statuses, name, (double)counts->statuses[i]);
    }
  cJSON_AddNumberToObject (root, "not_run", (double)counts->not_run);
  cJSON_AddNumberToObject (root, "unknown", (double)counts->unknown);
  cJSON_AddNumberToObject (root, "cut", (double)counts->cut);
  cJSON_AddNumberToObject (root, "refused", (double)counts->refused);
  cJSON_AddNumberToObject (root, "timed_out", (double)counts->timed_out);
  cJSON_AddNumberToObject (root, "mismatched", (double)counts->mismatched);
  cJSON_AddNumberToObject (root, "connections", (double)load.pool.opened_count);
  cJSON_AddNumberToObject (root, "ok_per_s", (double)counts->ok / seconds);
  add_classes (root, all_latencies_ms);
  add_percentiles (root, all_latencies_ms);
  char *text = cJSON_PrintUnformatted (root);
  printf ("%s\n", text);
  cJSON_free (text);
  cJSON_Delete (root);
}

int
main (int argc, char **argv)
{
  option_result_t result;
  anv_error_t err = { 0 };

  log_init (table.program, LOG_LEVEL_INFO);
  if (!option_parse (&table, argc, argv, &result, &err) || !parse_mix ())
    {
      LOG_ERROR ("%s", err.text);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  load.loop = io_loop_new (NULL);
  load.main_loop = g_main_loop_new (NULL, FALSE);
  rng_init (&load.rng, (uint64_t)load.options.seed);
  upstream_pool_options_t pool_options = {
    .loop = load.loop,
    .connect_timeout_us = 1000000,
    .idle_timeout_us = 4000000,
  };
  upstream_pool_init (&load.pool, &pool_options);
  load.addresses = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < load.options.direct->len; i++)
    g_ptr_array_add (load.addresses, g_strdup (g_ptr_array_index (load.options.direct, i)));
  if (load.options.direct->len > 0)
    start_load ();
  else
    load_resolve (&load);
  g_main_loop_run (load.main_loop);
  print_summary ();
  return 0;
}
