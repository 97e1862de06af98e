#include "entry_probe.h"

#include <string.h>

#include "entry_peers.h"
#include "option.h"

/* Most connections to a target that another entry owns. */
#define MAX_PEER_PROBE_CONNECTIONS 1
#define MIN_ERROR_STATUS 500

typedef enum
{
  PROBE_HEALTH,       /* evidence for the health of an own target */
  PROBE_FOR_PEER,     /* requested by another entry */
  PROBE_CONNECTIVITY, /* only shows whether other connections to the target work */
} probe_kind_t;

typedef struct
{
  upstream_exchange_t exchange; /* first member */
  list_node_t node;
  entry_service_t *service;
  uint64_t target_id;
  probe_kind_t kind;
  uint64_t link_number; /* PROBE_FOR_PEER: link for the result */
  int64_t started_us;
  io_timer_t timer;
  char *request_text;
  int status;
} probe_t;

static void
free_probe (probe_t *probe)
{
  list_remove (&probe->node);
  io_timer_cancel (&probe->timer);
  g_free (probe->request_text);
  g_free (probe);
}

static void
finish_probe (probe_t *probe, health_result_t result)
{
  entry_service_t *service = probe->service;
  int64_t now_us = entry_core_now (service->core);

  if (probe->kind == PROBE_HEALTH)
    assigned_service_probe_done (&service->assigned_service, now_us, probe->target_id, result);
  else if (probe->kind == PROBE_FOR_PEER)
    {
      health_peer_probe_t peer_probe = {
        .answered = result == HEALTH_OK,
        .latency_us = now_us - probe->started_us,
        .expected_probe_latency_us
        = health_expected_probe_latency_us (&service->assigned_service.health, now_us),
        .peer_is_normal = health_is_normal (&service->assigned_service.health, now_us),
      };
      entry_peers_send_probe_result (service, probe->link_number, probe->target_id, &peer_probe);
    }
  free_probe (probe);
}

static void
on_timeout (io_timer_t *timer)
{
  probe_t *probe = CONTAINER_OF (timer, probe_t, timer);
  upstream_pool_cancel (&probe->exchange);
  finish_probe (probe, HEALTH_STALLED);
}

static void
on_ready (upstream_exchange_t *exchange)
{
  probe_t *probe = (probe_t *)exchange;
  upstream_exchange_write (exchange, probe->request_text, strlen (probe->request_text));
  exchange->request_sent = true;
}

static void
on_written (upstream_exchange_t *exchange, size_t size)
{
}

static void
on_head (upstream_exchange_t *exchange, http_head_t *head)
{
  ((probe_t *)exchange)->status = head->status;
}

static void
on_body (upstream_exchange_t *exchange, const char *bytes, size_t size)
{
}

static void
on_complete (upstream_exchange_t *exchange)
{
  probe_t *probe = (probe_t *)exchange;
  finish_probe (probe, probe->status < MIN_ERROR_STATUS ? HEALTH_OK : HEALTH_ERROR);
}

static void
on_failed (upstream_exchange_t *exchange, upstream_failure_t failure, const char *detail)
{
  bool no_connection = failure == UPSTREAM_CONNECT_FAILED;
  finish_probe ((probe_t *)exchange, no_connection ? HEALTH_CONNECT_FAILED : HEALTH_ERROR);
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
start_probe (entry_service_t *service, probe_kind_t kind, uint64_t target_id, const char *address,
             int max_connections, uint64_t link_number)
{
  entry_core_t *core = service->core;
  probe_t *probe = g_new0 (probe_t, 1);
  probe->exchange.ops = &exchange_ops;
  probe->service = service;
  probe->target_id = target_id;
  probe->kind = kind;
  probe->exchange.prefer_new_connection = kind == PROBE_CONNECTIVITY;
  probe->link_number = link_number;
  probe->started_us = entry_core_now (core);
  probe->request_text
      = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: %s\r\nUser-Agent: anvillb-probe\r\n\r\n",
                         core->options.probe_path, address);
  list_node_init (&probe->exchange.node);
  list_node_init (&probe->node);
  list_push_back (&service->probes, &probe->node);
  io_timer_init (&probe->timer, on_timeout);
  io_timer_set (core->options.loop, &probe->timer, probe->started_us + ENTRY_PROBE_TIMEOUT_US);
  upstream_pool_acquire (core->options.pool, address, max_connections, &probe->exchange);
}

void
entry_probe_start (entry_service_t *service, uint64_t target_id, const char *address,
                   int max_connections)
{
  start_probe (service, PROBE_HEALTH, target_id, address, max_connections, 0);
}

void
entry_probe_connectivity (entry_service_t *service, uint64_t target_id, const char *address,
                          int max_connections)
{
  LIST_FOREACH (&service->probes, node)
  {
    if (CONTAINER_OF (node, probe_t, node)->target_id == target_id)
      return;
  }
  start_probe (service, PROBE_CONNECTIVITY, target_id, address, max_connections, 0);
}

void
entry_probe_for_peer (entry_service_t *service, uint64_t target_id, const char *address,
                      uint64_t link_number)
{
  char host[64];
  uint16_t port = 0;
  if (option_parse_address (address, host, sizeof (host), &port) && port != 0)
    start_probe (service, PROBE_FOR_PEER, target_id, address, MAX_PEER_PROBE_CONNECTIONS,
                 link_number);
}

void
entry_probe_cancel_all (entry_service_t *service)
{
  LIST_FOREACH_SAFE (&service->probes, node)
  {
    probe_t *probe = CONTAINER_OF (node, probe_t, node);
    upstream_pool_cancel (&probe->exchange);
    free_probe (probe);
  }
}
