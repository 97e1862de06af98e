#include <string.h>

#include "loadgen.h"

typedef struct
{
  upstream_exchange_t exchange; /* first member */
  loadgen_t *load;
  load_class_t *class;
  io_timer_t timer;
  int64_t id;
  int64_t start_us;
  guint address_index;
  int status;
  bool not_run;
  bool unknown;
  bool mismatched;
} load_request_t;

static void
finish (load_request_t *request)
{
  loadgen_t *load = request->load;
  io_timer_cancel (&request->timer);
  g_free (request);
  load_request_ended (load);
}

static void
on_timeout (io_timer_t *timer)
{
  load_request_t *request = CONTAINER_OF (timer, load_request_t, timer);
  upstream_pool_cancel (&request->exchange);
  request->load->counts.timed_out++;
  finish (request);
}

static void
on_ready (upstream_exchange_t *exchange)
{
  load_request_t *request = (load_request_t *)exchange;
  const load_class_t *class = request->class;
  const load_options_t *options = &request->load->options;
  GString *text = g_string_sized_new (512);

  g_string_append_printf (text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Loadgen-Id: %" G_GINT64_FORMAT,
                          class->method, class->path, options->service, request->id);
  g_string_append_printf (text,
                          "\r\nIdempotency-Key: load-%" G_GINT64_FORMAT "-%" G_GINT64_FORMAT "\r\n",
                          options->seed, request->id);
  if (options->team != NULL)
    g_string_append_printf (text, "Anvillb-Team: %s\r\n", options->team);
  if (options->deadline_ms > 0)
    g_string_append_printf (text, "Anvillb-Deadline-Ms: %" G_GINT64_FORMAT "\r\n",
                            options->deadline_ms);
  if (class->body_bytes > 0 || strcmp (class->method, "POST") == 0)
    g_string_append_printf (text, "Content-Length: %zu\r\n", class->body_bytes);
  g_string_append (text, "\r\n");
  g_autofree char *body = g_strnfill (class->body_bytes, 'b');
  g_string_append_len (text, body, (gssize) class->body_bytes);
  upstream_exchange_write (exchange, text->str, text->len);
  exchange->request_sent = true;
  g_string_free (text, TRUE);
}

static void
on_written (upstream_exchange_t *exchange, size_t size)
{
}

static void
on_head (upstream_exchange_t *exchange, http_head_t *head)
{
  load_request_t *request = (load_request_t *)exchange;
  const char *echo = http_headers_get (&head->headers, "X-Echo");
  const char *outcome = http_headers_get (&head->headers, "Anvillb-Outcome");
  char id[24];

  g_snprintf (id, sizeof (id), "%" G_GINT64_FORMAT, request->id);
  request->status = head->status;
  request->not_run = http_headers_get (&head->headers, "Anvillb-Not-Run") != NULL;
  request->unknown = outcome != NULL && strcmp (outcome, "unknown") == 0;
  request->mismatched = echo != NULL && strcmp (echo, id) != 0;
}

static void
on_body (upstream_exchange_t *exchange, const char *bytes, size_t size)
{
}

static void
on_complete (upstream_exchange_t *exchange)
{
  load_request_t *request = (load_request_t *)exchange;
  load_counts_t *counts = &request->load->counts;

  counts->statuses[request->status]++;
  counts->not_run += request->not_run;
  counts->unknown += request->unknown;
  counts->mismatched += request->mismatched;
  if (request->status < 400)
    {
      double latency_ms = (double)(g_get_monotonic_time () - request->start_us) / 1000;
      counts->ok++;
      request->class->ok++;
      g_array_append_val (request->class->latencies_ms, latency_ms);
    }
  finish (request);
}

static void
acquire_connection (load_request_t *request)
{
  loadgen_t *load = request->load;
  const char *address = g_ptr_array_index (load->addresses, request->address_index);
  upstream_pool_acquire (&load->pool, address, (int)load->options.connections, &request->exchange);
}

static void
on_failed (upstream_exchange_t *exchange, upstream_failure_t failure, const char *detail)
{
  load_request_t *request = (load_request_t *)exchange;
  loadgen_t *load = request->load;

  if (failure != UPSTREAM_CONNECT_FAILED)
    load->counts.cut++;
  else if (++request->address_index < load->addresses->len)
    {
      acquire_connection (request);
      return;
    }
  else
    load->counts.refused++;
  finish (request);
}

static const upstream_exchange_ops_t exchange_ops = {
  .ready = on_ready,
  .written = on_written,
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .failed = on_failed,
};

void
load_request_start (loadgen_t *load, guint class_index)
{
  load_request_t *request = g_new0 (load_request_t, 1);
  request->load = load;
  request->class = &g_array_index (load->classes, load_class_t, class_index);
  request->id = load->next_id++;
  request->start_us = g_get_monotonic_time ();
  request->exchange.ops = &exchange_ops;
  request->exchange.is_head_request = strcmp (request->class->method, "HEAD") == 0;
  list_node_init (&request->exchange.node);
  io_timer_init (&request->timer, on_timeout);
  load->in_flight++;
  load->counts.sent++;
  request->class->sent++;
  if (load->addresses->len == 0)
    {
      load->counts.refused++;
      finish (request);
      return;
    }
  /* Requests rotate over direct addresses. Resolved ones are tried in the order of the entry. */
  if (load->options.direct->len > 0)
    request->address_index = (guint)(request->id % load->addresses->len);
  io_timer_set (load->loop, &request->timer, request->start_us + load->options.timeout_ms * 1000);
  acquire_connection (request);
}
