#include <string.h>

#include "fake_backend.h"
#include "json_util.h"

#define ANNOUNCE_TIMEOUT_US 2000000

typedef struct
{
  upstream_exchange_t exchange; /* first member */
  fake_backend_t *backend;
  io_timer_t timer;
  char *request_text;
  GString *response_body;
  int status; /* of the response; 0 if it did not arrive */
} announcement_t;

/* Stores the echo that the next announcement returns; see src/entry_announce.h. */
static void
store_echo (fake_backend_t *backend, const GString *response_body)
{
  cJSON *json = json_parse (response_body->str, response_body->len, NULL);
  g_free (backend->echo);
  backend->echo = g_strdup (json_get_string (json, "echo", ""));
  backend->echo_received_us = g_get_monotonic_time ();
  cJSON_Delete (json);
}

static void
finish_announcement (announcement_t *announcement)
{
  fake_backend_t *backend = announcement->backend;
  if (announcement->status / 100 == 2)
    {
      backend->stats.announced++;
      store_echo (backend, announcement->response_body);
    }
  else
    backend->next_entry++;
  io_timer_cancel (&announcement->timer);
  g_string_free (announcement->response_body, TRUE);
  g_free (announcement->request_text);
  g_free (announcement);
}

static void
on_timeout (io_timer_t *timer)
{
  announcement_t *announcement = CONTAINER_OF (timer, announcement_t, timer);
  upstream_pool_cancel (&announcement->exchange);
  announcement->status = 0;
  finish_announcement (announcement);
}

static void
on_ready (upstream_exchange_t *exchange)
{
  announcement_t *announcement = (announcement_t *)exchange;
  upstream_exchange_write (exchange, announcement->request_text,
                           strlen (announcement->request_text));
  exchange->request_sent = true;
}

static void
on_written (upstream_exchange_t *exchange, size_t size)
{
}

static void
on_head (upstream_exchange_t *exchange, http_head_t *head)
{
  ((announcement_t *)exchange)->status = head->status;
}

static void
on_body (upstream_exchange_t *exchange, const char *bytes, size_t size)
{
  g_string_append_len (((announcement_t *)exchange)->response_body, bytes, (gssize)size);
}

static void
on_complete (upstream_exchange_t *exchange)
{
  finish_announcement ((announcement_t *)exchange);
}

static void
on_failed (upstream_exchange_t *exchange, upstream_failure_t failure, const char *detail)
{
  ((announcement_t *)exchange)->status = 0;
  finish_announcement ((announcement_t *)exchange);
}

static const upstream_exchange_ops_t exchange_ops = {
  .ready = on_ready,
  .written = on_written,
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .failed = on_failed,
};

static char *
build_announcement (fake_backend_t *backend, const char *entry)
{
  static const char *const states[] = { "up", "draining", "leaving" };
  const fake_options_t *options = &backend->options;
  double load = (double)backend->running / (double)options->slots;
  g_autofree char *body = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"domain\":\"%s\",\"slots\":%d,"
      "\"connections\":%d,\"load\":%.2f,\"state\":\"%s\",\"incarnation\":%" G_GINT64_FORMAT
      ",\"seq\":%" G_GINT64_FORMAT ",\"sent_ms\":%" G_GINT64_FORMAT
      ",\"echo\":\"%s\",\"echo_held_ms\":%" G_GINT64_FORMAT "}",
      options->service, backend->port, options->domain, (int)options->slots,
      (int)options->connections, MIN (load, 1), states[backend->state], backend->incarnation,
      ++backend->seq, g_get_monotonic_time () / 1000, backend->echo != NULL ? backend->echo : "",
      (g_get_monotonic_time () - backend->echo_received_us) / 1000);
  return g_strdup_printf ("POST /.anvillb/v1/announce HTTP/1.1\r\nHost: %s\r\n"
                          "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
                          entry, strlen (body), body);
}

void
fake_announce_send (fake_backend_t *backend)
{
  const GPtrArray *entries = backend->options.entries;
  if (entries->len == 0)
    return;
  const char *entry = g_ptr_array_index (entries, backend->next_entry % entries->len);
  announcement_t *announcement = g_new0 (announcement_t, 1);
  announcement->backend = backend;
  announcement->response_body = g_string_new (NULL);
  announcement->request_text = build_announcement (backend, entry);
  announcement->exchange.ops = &exchange_ops;
  list_node_init (&announcement->exchange.node);
  io_timer_init (&announcement->timer, on_timeout);
  io_timer_set (backend->loop, &announcement->timer,
                io_loop_now_us (backend->loop) + ANNOUNCE_TIMEOUT_US);
  upstream_pool_acquire (&backend->pool, entry, 2, &announcement->exchange);
}
