#include <stdlib.h>
#include <string.h>

#include "fake_backend.h"

#include <cjson/cJSON.h>

static const struct
{
  const char *name;
  size_t offset;
} fault_fields[] = {
  { "slow", offsetof (fake_faults_t, slow) },
  { "wrong", offsetof (fake_faults_t, wrong) },
  { "error", offsetof (fake_faults_t, error) },
  { "truncate", offsetof (fake_faults_t, truncate) },
  { "two_lengths", offsetof (fake_faults_t, two_lengths) },
  { "shed", offsetof (fake_faults_t, shed) },
  { "shed_full", offsetof (fake_faults_t, shed_full) },
  { "flap_ms", offsetof (fake_faults_t, flap_ms) },
  { "cold_ms", offsetof (fake_faults_t, cold_ms) },
  { "echo_wrong", offsetof (fake_faults_t, echo_wrong) },
  { "false_not_run", offsetof (fake_faults_t, false_not_run) },
  { "silence", offsetof (fake_faults_t, silence) },
};

static void
send_text (fake_conn_t *conn, int status, const char *body)
{
  g_autofree char *text = g_strdup_printf ("HTTP/1.1 %d Fake\r\nContent-Length: %zu\r\n\r\n%s",
                                           status, strlen (body), body);
  fake_conn_send (conn, text, strlen (text));
}

static int
count_repeated_keys (GHashTable *keys)
{
  int repeated = 0;
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, keys);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    repeated += GPOINTER_TO_INT (value) > 1;
  return repeated;
}

static void
send_stats (fake_conn_t *conn)
{
  fake_backend_t *backend = conn->backend;
  const fake_stats_t *stats = &backend->stats;
  cJSON *root = cJSON_CreateObject ();

  cJSON_AddNumberToObject (root, "requests", (double)stats->requests);
  cJSON_AddNumberToObject (root, "executed", (double)stats->executed);
  cJSON_AddNumberToObject (root, "completed", (double)stats->completed);
  cJSON_AddNumberToObject (root, "cancelled", (double)stats->cancelled);
  cJSON_AddNumberToObject (root, "shed", (double)stats->shed);
  cJSON_AddNumberToObject (root, "accepted", (double)stats->accepted);
  cJSON_AddNumberToObject (root, "max_open", (double)stats->max_open);
  cJSON_AddNumberToObject (root, "max_running", (double)stats->max_running);
  cJSON_AddNumberToObject (root, "announced", (double)stats->announced);
  cJSON_AddNumberToObject (root, "keys", g_hash_table_size (backend->keys));
  cJSON_AddNumberToObject (root, "keys_repeated", count_repeated_keys (backend->keys));
  cJSON *counts = cJSON_AddObjectToObject (root, "executions");
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, backend->keys);
  while (g_hash_table_iter_next (&iter, &key, &value))
    cJSON_AddNumberToObject (counts, key, GPOINTER_TO_INT (value));
  char *text = cJSON_PrintUnformatted (root);
  send_text (conn, 200, text);
  cJSON_free (text);
  cJSON_Delete (root);
}

static bool
set_state (fake_backend_t *backend, const char *value)
{
  static const char *const state_names[] = { "up", "draining", "leaving" };
  for (size_t i = 0; i < G_N_ELEMENTS (state_names); i++)
    {
      if (strcmp (value, state_names[i]) != 0)
        continue;
      backend->state = (fake_state_t)i;
      fake_announce_send (backend);
      return true;
    }
  return false;
}

static bool
set_field (fake_backend_t *backend, const char *name, const char *value)
{
  char *end = NULL;
  double number = strtod (value, &end);

  if (strcmp (name, "state") == 0)
    return set_state (backend, value);
  if (strcmp (name, "service_ms") == 0)
    {
      backend->options.service_ms = (int64_t)number;
      return *end == '\0';
    }
  for (size_t i = 0; i < G_N_ELEMENTS (fault_fields); i++)
    {
      if (strcmp (name, fault_fields[i].name) != 0)
        continue;
      *(double *)(void *)((char *)&backend->faults + fault_fields[i].offset) = number;
      return *end == '\0';
    }
  return false;
}

static void
silence_connections (fake_conn_t *except)
{
  LIST_FOREACH (&except->backend->conns, node)
  {
    fake_conn_t *conn = CONTAINER_OF (node, fake_conn_t, node);
    if (conn == except)
      continue;
    conn->silent = true;
    if (conn->timer != 0)
      g_source_remove (conn->timer);
    conn->timer = 0;
  }
  except->backend->faults.silence = 0;
}

static void
apply_control (fake_conn_t *conn, const char *query)
{
  fake_backend_t *backend = conn->backend;
  bool ok = true;
  g_auto (GStrv) pairs = g_strsplit (query, "&", -1);

  for (char **pair = pairs; *pair != NULL; pair++)
    {
      char *equals = strchr (*pair, '=');
      if (equals == NULL)
        {
          ok = false;
          continue;
        }
      *equals = '\0';
      ok = set_field (backend, *pair, equals + 1) && ok;
    }
  backend->faults_changed_us = io_loop_now_us (backend->loop);
  if (backend->faults.silence != 0)
    silence_connections (conn);
  send_text (conn, ok ? 200 : 400, ok ? "ok" : "unknown field or value");
}

void
fake_control_respond (fake_conn_t *conn, const char *request_target)
{
  const char *control_prefix = "/.fake/control?";
  if (strcmp (request_target, "/.fake/stats") == 0)
    send_stats (conn);
  else if (g_str_has_prefix (request_target, control_prefix))
    apply_control (conn, request_target + strlen (control_prefix));
  else
    send_text (conn, 404, "not found");
}
