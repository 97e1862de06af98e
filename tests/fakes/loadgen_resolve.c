#include <string.h>

#include "json_util.h"
#include "loadgen.h"

#define RESOLVE_TIMEOUT_US 1000000

typedef struct
{
  upstream_exchange_t exchange; /* first member */
  loadgen_t *load;
  io_timer_t timer;
  guint entry; /* index into options.entries */
  int status;
  GString *body;
} resolve_t;

static void query_entry (resolve_t *resolve);

static void
read_addresses (resolve_t *resolve)
{
  loadgen_t *load = resolve->load;
  cJSON *json = json_parse (resolve->body->str, resolve->body->len, NULL);
  const cJSON *addresses = cJSON_GetObjectItemCaseSensitive (json, "addresses");
  const cJSON *item = NULL;

  g_ptr_array_set_size (load->addresses, 0);
  cJSON_ArrayForEach (item, addresses)
  {
    const char *address = json_get_string (item, "address", NULL);
    if (address != NULL)
      g_ptr_array_add (load->addresses, g_strdup (address));
  }
  int64_t ttl_us = (int64_t)(json_get_number (json, "ttl_ms", 0) * 1000);
  load->addresses_expire_us = io_loop_now_us (load->loop) + MAX (ttl_us, 10000);
  cJSON_Delete (json);
}

static void
finish (resolve_t *resolve)
{
  loadgen_t *load = resolve->load;
  io_timer_cancel (&resolve->timer);
  g_string_free (resolve->body, TRUE);
  g_free (resolve);
  load_resolved (load);
}

/* Also called for a response without addresses: its entry is leaving or not ready. */
static void
try_next_entry (resolve_t *resolve)
{
  if (++resolve->entry < resolve->load->options.entries->len)
    query_entry (resolve);
  else
    finish (resolve);
}

static void
on_timeout (io_timer_t *timer)
{
  resolve_t *resolve = CONTAINER_OF (timer, resolve_t, timer);
  upstream_pool_cancel (&resolve->exchange);
  try_next_entry (resolve);
}

static void
on_ready (upstream_exchange_t *exchange)
{
  resolve_t *resolve = (resolve_t *)exchange;
  const load_options_t *options = &resolve->load->options;
  g_autofree char *text
      = g_strdup_printf ("GET /.anvillb/v1/resolve?service=%s&domain=%s HTTP/1.1\r\nHost: "
                         "entry\r\n\r\n",
                         options->service, options->domain);
  upstream_exchange_write (exchange, text, strlen (text));
  exchange->request_sent = true;
}

static void
on_written (upstream_exchange_t *exchange, size_t size)
{
}

static void
on_head (upstream_exchange_t *exchange, http_head_t *head)
{
  ((resolve_t *)exchange)->status = head->status;
}

static void
on_body (upstream_exchange_t *exchange, const char *bytes, size_t size)
{
  g_string_append_len (((resolve_t *)exchange)->body, bytes, (gssize)size);
}

static void
on_complete (upstream_exchange_t *exchange)
{
  resolve_t *resolve = (resolve_t *)exchange;
  if (resolve->status == 200)
    read_addresses (resolve);
  if (resolve->status == 200 && resolve->load->addresses->len > 0)
    finish (resolve);
  else
    try_next_entry (resolve);
}

static void
on_failed (upstream_exchange_t *exchange, upstream_failure_t failure, const char *detail)
{
  try_next_entry ((resolve_t *)exchange);
}

static const upstream_exchange_ops_t exchange_ops = {
  .ready = on_ready,
  .written = on_written,
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .failed = on_failed,
};

static void
query_entry (resolve_t *resolve)
{
  loadgen_t *load = resolve->load;
  const char *entry = g_ptr_array_index (load->options.entries, resolve->entry);
  resolve->status = 0;
  g_string_truncate (resolve->body, 0);
  io_timer_set (load->loop, &resolve->timer, io_loop_now_us (load->loop) + RESOLVE_TIMEOUT_US);
  upstream_pool_acquire (&load->pool, entry, (int)load->options.connections, &resolve->exchange);
}

void
load_resolve (loadgen_t *load)
{
  if (load->resolving || load->options.entries->len == 0)
    return;
  load->resolving = true;
  resolve_t *resolve = g_new0 (resolve_t, 1);
  resolve->load = load;
  resolve->body = g_string_new (NULL);
  resolve->exchange.ops = &exchange_ops;
  list_node_init (&resolve->exchange.node);
  io_timer_init (&resolve->timer, on_timeout);
  query_entry (resolve);
}
