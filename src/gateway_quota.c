#include "gateway_quota.h"

#define LOG_MODULE "gateway_quota"
#include "log.h"
#include "quota_wire.h"

#define US_PER_MS 1000

static int64_t
now_us (const gateway_quota_t *quota)
{
  return io_loop_now_us (quota->options.loop);
}

static void
send_ask (void *data, const char *address, const quota_ask_t *ask)
{
  gateway_quota_t *quota = data;
  wire_writer_t writer;
  quota_ask_encode (ask, &writer);
  peer_network_send_writer (quota->options.network, address, &writer);
}

static void
observe_answer (void *data, int64_t duration_us)
{
  gateway_quota_t *quota = data;
  metric_observe_ms (&quota->answer_time, (double)duration_us / US_PER_MS);
}

static const quota_client_ops_t client_ops = {
  .send = send_ask,
  .answered = observe_answer,
};

static void
update_instances (gateway_quota_t *quota)
{
  g_autoptr (GPtrArray) addresses = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer address = NULL;
  g_hash_table_iter_init (&iter, quota->options.feed->members);
  while (g_hash_table_iter_next (&iter, &address, NULL))
    g_ptr_array_add (addresses, address);
  quota_client_set_instances (&quota->client, addresses);
}

static void
update_metrics (gateway_quota_t *quota)
{
  const quota_client_stats_t *stats = &quota->client.stats;
  metric_set (&quota->asked, (int64_t)stats->asked_count);
  metric_set (&quota->allowance_admitted, (int64_t)stats->allowance_count);
  metric_set (&quota->fallback_admitted, (int64_t)stats->fallback_admitted_count);
  metric_set (&quota->fallback_refused, (int64_t)stats->fallback_refused_count);
  metric_set (&quota->refused, (int64_t)stats->refused_count);
  metric_set (&quota->owner_changes, (int64_t)stats->owner_change_count);
  metric_set (&quota->owner_losses, (int64_t)stats->lost_count);
}

static void
log_changes (gateway_quota_t *quota)
{
  const quota_client_t *client = &quota->client;
  bool lost = client->lost_us != 0;
  if (client->stats.owner_change_count != (uint64_t)quota->owner_changes.value)
    LOG_NOTICE ("owner of the quotas address=%s entries=%u", client->owner, client->entry_count);
  if (lost == quota->lost)
    return;
  quota->lost = lost;
  if (lost)
    LOG_WARNING ("no answer of the owner of the quotas address=%s, deciding locally",
                 client->owner);
  else
    LOG_NOTICE ("owner of the quotas answers again address=%s", client->owner);
}

/* Arms the timer and schedules the next question. */
static void
schedule (gateway_quota_t *quota)
{
  int64_t due_us = quota_client_next_due_us (&quota->client);
  if (quota_client_needs_flush (&quota->client, now_us (quota)))
    io_loop_defer (quota->options.loop, &quota->deferred_flush);
  if (due_us >= quota->timer_due_us)
    return;
  quota->timer_due_us = due_us;
  io_timer_set (quota->options.loop, &quota->timer, due_us);
}

static void
finish_step (gateway_quota_t *quota)
{
  log_changes (quota);
  update_metrics (quota);
  schedule (quota);
}

static void
flush (io_deferred_t *deferred)
{
  gateway_quota_t *quota = CONTAINER_OF (deferred, gateway_quota_t, deferred_flush);
  if (quota->client.target[0] == '\0')
    update_instances (quota);
  quota_client_flush (&quota->client, now_us (quota));
  finish_step (quota);
}

static void
on_timer (io_timer_t *timer)
{
  gateway_quota_t *quota = CONTAINER_OF (timer, gateway_quota_t, timer);
  quota->timer_due_us = INT64_MAX;
  update_instances (quota);
  quota_client_tick (&quota->client, now_us (quota));
  finish_step (quota);
}

void
gateway_quota_admit (gateway_quota_t *quota, uint64_t team_id, const quota_limit_t *limit,
                     quota_request_t *waiter)
{
  quota_client_admit (&quota->client, now_us (quota), team_id, limit, waiter);
  schedule (quota);
}

void
gateway_quota_cancel (gateway_quota_t *quota, quota_request_t *waiter)
{
  quota_client_cancel (&quota->client, now_us (quota), waiter);
  schedule (quota);
}

void
gateway_quota_give_back (gateway_quota_t *quota, quota_request_t *waiter)
{
  quota_client_give_back (&quota->client, now_us (quota), waiter);
  schedule (quota);
}

static void
receive_grant (gateway_quota_t *quota, const link_t *link, wire_reader_t *reader)
{
  g_autoptr (GArray) teams = g_array_new (FALSE, TRUE, sizeof (quota_grant_team_t));
  quota_grant_t grant = { .teams = teams };
  if (quota_grant_decode (&grant, reader))
    quota_client_receive_grant (&quota->client, now_us (quota), link->peer.address, &grant);
  else
    LOG_WARNING ("malformed grant of quotas peer=%s", link->peer.id);
}

static void
receive_moved (gateway_quota_t *quota, const link_t *link, wire_reader_t *reader)
{
  quota_moved_t moved;
  if (quota_moved_decode (&moved, reader))
    quota_client_receive_moved (&quota->client, now_us (quota), link->peer.address, &moved);
  else
    LOG_WARNING ("malformed redirection of quotas peer=%s", link->peer.id);
}

bool
gateway_quota_receive (gateway_quota_t *quota, const link_t *link, wire_type_t type,
                       wire_reader_t *reader)
{
  if (type == WIRE_FLEET_QUOTA_GRANT)
    receive_grant (quota, link, reader);
  else if (type == WIRE_FLEET_QUOTA_MOVED)
    receive_moved (quota, link, reader);
  else
    return false;
  finish_step (quota);
  return true;
}

void
gateway_quota_init (gateway_quota_t *quota, const gateway_quota_options_t *options)
{
  metric_registry_t *registry = options->counters;
  *quota = (gateway_quota_t){ .options = *options, .timer_due_us = INT64_MAX };
  quota_client_options_t client_options = { .ops = &client_ops, .data = quota };
  quota_client_init (&quota->client, &client_options);
  io_deferred_init (&quota->deferred_flush, flush);
  io_timer_init (&quota->timer, on_timer);
  metric_register (registry, &quota->asked, METRIC_KIND_COUNTER, "anvillb_quota_asked_total", NULL,
                   "Requests that the owner of the quotas was asked about.");
  metric_register (registry, &quota->allowance_admitted, METRIC_KIND_COUNTER,
                   "anvillb_quota_allowance_total", NULL, "Requests admitted on an allowance.");
  metric_register (registry, &quota->fallback_admitted, METRIC_KIND_COUNTER,
                   "anvillb_quota_fallback_total", "verdict=\"admitted\"",
                   "Requests decided without the owner of the quotas.");
  metric_register (registry, &quota->fallback_refused, METRIC_KIND_COUNTER,
                   "anvillb_quota_fallback_total", "verdict=\"refused\"",
                   "Requests decided without the owner of the quotas.");
  metric_register (registry, &quota->refused, METRIC_KIND_COUNTER, "anvillb_quota_refused_total",
                   NULL, "Requests that the owner of the quotas refused.");
  metric_register (registry, &quota->owner_changes, METRIC_KIND_COUNTER,
                   "anvillb_quota_owner_changes_total", NULL,
                   "Changes of the owner of the quotas, with the first one.");
  metric_register (registry, &quota->owner_losses, METRIC_KIND_COUNTER,
                   "anvillb_quota_owner_losses_total", NULL,
                   "Times that the owner of the quotas did not answer in time.");
  metric_register (registry, &quota->answer_time, METRIC_KIND_HISTOGRAM, "anvillb_quota_answer_ms",
                   NULL, "Time to the answer of the owner of the quotas.");
}

void
gateway_quota_destroy (gateway_quota_t *quota)
{
  io_deferred_cancel (&quota->deferred_flush);
  io_timer_cancel (&quota->timer);
  quota_client_destroy (&quota->client);
}
