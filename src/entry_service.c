#include "entry_service.h"

#include <string.h>

#define LOG_MODULE "entry_service"
#include "entry_peers.h"
#include "entry_probe.h"
#include "log.h"

/* Retries per second that the retry budget of a service always allows. */
#define MIN_RETRY_RATE 1.0
/* Most teams in the limiter of a service, and most stored team limits. At that number all stored
 * limits are dropped; the limit of a team is stored again at its next request. */
#define MAX_TEAMS 100000
/* Most teams in one batch of usage. 200 teams take 2 KB to 3 KB every 250 ms. */
#define MAX_REPORTED_TEAMS 200
#define US_PER_MS 1000

typedef struct
{
  uint64_t id;
  char *address;
  int max_connections;
} dispatch_target_t;

static void
free_target (gpointer data)
{
  dispatch_target_t *target = data;
  g_free (target->address);
  g_free (target);
}

static limiter_limit_t
to_limiter_limit (const config_limit_t *limit)
{
  return (limiter_limit_t){ .rate = limit->rate, .burst = limit->burst };
}

/* Returns the limit of TEAM. The limiter knows teams by id only, so the limit of a team is stored
 * at each of its requests. A team known only from the usage of another entry gets the default
 * limit. */
static limiter_limit_t
team_limit (void *data, uint64_t team)
{
  const entry_service_t *service = data;
  const limiter_limit_t *limit = g_hash_table_lookup (service->team_limits, &team);
  return limit != NULL ? *limit : to_limiter_limit (config_doc_team_default (service->core->doc));
}

static void
store_team_limit (entry_service_t *service, uint64_t team, const config_limit_t *config)
{
  limiter_limit_t limit = to_limiter_limit (config);
  if (g_hash_table_size (service->team_limits) >= MAX_TEAMS)
    g_hash_table_remove_all (service->team_limits);
  g_hash_table_replace (service->team_limits, g_memdup2 (&team, sizeof (team)),
                        g_memdup2 (&limit, sizeof (limit)));
}

bool
entry_service_admit (entry_service_t *service, const char *team_name, int64_t *retry_after_us)
{
  uint64_t team = limiter_team_id (team_name);
  store_team_limit (service, team, config_doc_find_team_limit (service->core->doc, team_name));
  bool admitted
      = limiter_admit (&service->limiter, entry_core_now (service->core), team, retry_after_us);
  if (!admitted)
    metric_inc (&service->refused_limit);
  return admitted;
}

static void
register_counters (entry_service_t *service)
{
  metric_registry_t *registry = service->core->options.counters;
  const struct
  {
    metric_t *counter;
    metric_kind_t kind;
    const char *name;
    const char *labels;
    const char *help;
  } table[] = {
    { &service->requests[SCHEDULER_URGENT], METRIC_KIND_COUNTER, "anvillb_service_requests_total",
      service->urgent_labels, "Requests submitted to the queue of a service." },
    { &service->requests[SCHEDULER_BACKGROUND], METRIC_KIND_COUNTER,
      "anvillb_service_requests_total", service->background_labels,
      "Requests submitted to the queue of a service." },
    { &service->refused_limit, METRIC_KIND_COUNTER, "anvillb_service_limited_total",
      service->labels, "Requests over the limit of their team." },
    { &service->refused_queue, METRIC_KIND_COUNTER, "anvillb_service_refused_total",
      service->labels, "Requests refused by the scheduler." },
    { &service->forwarded, METRIC_KIND_COUNTER, "anvillb_service_forwarded_total", service->labels,
      "Requests sent on to another entry." },
    { &service->retries, METRIC_KIND_COUNTER, "anvillb_service_retries_total", service->labels,
      "Further attempts." },
    { &service->retries_denied, METRIC_KIND_COUNTER, "anvillb_service_retries_denied_total",
      service->labels, "Further attempts that the retry budget did not allow." },
    { &service->ejections, METRIC_KIND_COUNTER, "anvillb_service_ejections_total", service->labels,
      "Targets ejected." },
    { &service->readmissions, METRIC_KIND_COUNTER, "anvillb_service_readmissions_total",
      service->labels, "Targets readmitted." },
    { &service->ejected_slots, METRIC_KIND_GAUGE, "anvillb_service_ejected_slots", service->labels,
      "Slots of ejected targets." },
    { &service->own_slots, METRIC_KIND_GAUGE, "anvillb_service_own_slots", service->labels,
      "Slots of the targets this entry owns." },
    { &service->held_slots, METRIC_KIND_GAUGE, "anvillb_service_held_slots", service->labels,
      "Slots of unhealthy targets kept in service by the floor." },
    { &service->queue_wait, METRIC_KIND_HISTOGRAM, "anvillb_service_queue_wait_ms", service->labels,
      "Time in the queue of dispatched requests." },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (table); i++)
    metric_register (registry, table[i].counter, table[i].kind, table[i].name, table[i].labels,
                     table[i].help);
}

static void
unregister_counters (entry_service_t *service)
{
  metric_t *const counters[] = {
    &service->requests[0],    &service->requests[1], &service->refused_limit,
    &service->refused_queue,  &service->forwarded,   &service->retries,
    &service->retries_denied, &service->ejections,   &service->readmissions,
    &service->ejected_slots,  &service->own_slots,   &service->held_slots,
    &service->queue_wait,
  };
  for (size_t i = 0; i < G_N_ELEMENTS (counters); i++)
    metric_unregister (counters[i]);
}

entry_service_t *
entry_service_new (entry_core_t *core, const char *name)
{
  entry_service_t *service = g_new0 (entry_service_t, 1);
  service->core = core;
  service->name = g_strdup (name);
  service->id = entry_hash_id (name);
  list_init (&service->probes);
  service->targets = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_target);
  service->waiters = g_hash_table_new (g_int64_hash, g_int64_equal);
  service->peers = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  service->team_limits = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  g_snprintf (service->labels, sizeof (service->labels), "service=\"%s\"", name);
  g_snprintf (service->urgent_labels, sizeof (service->urgent_labels),
              "service=\"%s\",class=\"urgent\"", name);
  g_snprintf (service->background_labels, sizeof (service->background_labels),
              "service=\"%s\",class=\"background\"", name);

  assigned_service_options_t options = { .seed = rng_next (core->options.rng) };
  assigned_service_init (&service->assigned_service, &options);
  limiter_options_t limiter_options = {
    .limit = team_limit,
    .data = service,
    .max_teams = MAX_TEAMS,
    .max_reported = MAX_REPORTED_TEAMS,
    .epoch = core->process_epoch,
  };
  limiter_init (&service->limiter, &limiter_options);
  stall_history_init (&service->stall_history);
  register_counters (service);
  return service;
}

void
entry_service_free (entry_service_t *service)
{
  unregister_counters (service);
  entry_probe_cancel_all (service);
  assigned_service_destroy (&service->assigned_service);
  limiter_destroy (&service->limiter);
  stall_history_destroy (&service->stall_history);
  g_hash_table_unref (service->targets);
  g_hash_table_unref (service->waiters);
  g_hash_table_unref (service->peers);
  g_hash_table_unref (service->team_limits);
  g_free (service->name);
  g_free (service);
}

void
entry_service_configure (entry_service_t *service, const config_service_t *config)
{
  assigned_service_options_t options = {
    .floor_slots = config->min_healthy_slots,
    .sensitivity = config->sensitivity,
    .slow_start_us = (int64_t)config->slow_start_ms * US_PER_MS,
    .max_queued = { config->max_queue, config->max_queue },
  };
  retry_budget_options_t budget = {
    .share = config->retry_share,
    .min_retry_rate = MIN_RETRY_RATE,
  };
  service->entries_per_domain = config->entries_per_domain;
  assigned_service_configure (&service->assigned_service, entry_core_now (service->core), &options);
  retry_budget_init (&service->budget, &budget);
  service->placement_version = 0;
  entry_service_update_peers (service);
}

void
entry_service_on_target_event (entry_service_t *service, target_event_t event,
                               const target_t *target)
{
  int64_t now_us = entry_core_now (service->core);
  uint64_t id = entry_hash_id (target->address);
  dispatch_target_t *known = g_hash_table_lookup (service->targets, &id);

  if (event == TARGET_EVENT_GONE)
    {
      LOG_INFO ("target gone service=%s address=%s", service->name, target->address);
      assigned_service_remove_target (&service->assigned_service, now_us, id);
      g_hash_table_remove (service->targets, &id);
      return;
    }
  if (known == NULL)
    {
      LOG_INFO ("target added service=%s address=%s domain=%s slots=%u", service->name,
                target->address, target->domain, target->slots);
      known = g_new0 (dispatch_target_t, 1);
      known->id = id;
      known->address = g_strdup (target->address);
      g_hash_table_insert (service->targets, &known->id, known);
    }
  known->max_connections = (int)target->connection_cap;
  assigned_service_set_target (&service->assigned_service, now_us, id, target->slots, target->load);
}

scheduler_submit_result_t
entry_service_submit (entry_service_t *service, service_waiter_t *waiter,
                      const scheduler_request_t *request)
{
  scheduler_submit_result_t result = assigned_service_submit (
      &service->assigned_service, entry_core_now (service->core), request);
  if (result.decision == SCHEDULER_QUEUED)
    g_hash_table_insert (service->waiters, &waiter->id, waiter);
  return result;
}

void
entry_service_done (entry_service_t *service, uint64_t request_id, health_result_t result)
{
  assigned_service_done (&service->assigned_service, entry_core_now (service->core), request_id,
                         result);
}

void
entry_service_cancel (entry_service_t *service, uint64_t request_id)
{
  g_hash_table_remove (service->waiters, &request_id);
  if (assigned_service_cancel (&service->assigned_service, request_id) == SCHEDULER_IN_FLIGHT)
    entry_service_done (service, request_id, HEALTH_ABANDONED);
}

static void
deliver (entry_service_t *service, const scheduler_next_result_t *decision)
{
  service_waiter_t *waiter = g_hash_table_lookup (service->waiters, &decision->request_id);
  dispatch_target_t *target = g_hash_table_lookup (service->targets, &decision->target_id);

  if (waiter == NULL)
    {
      if (!decision->refused)
        entry_service_done (service, decision->request_id, HEALTH_ABANDONED);
      return;
    }
  g_hash_table_remove (service->waiters, &decision->request_id);
  if (decision->refused)
    {
      metric_inc (&service->refused_queue);
      waiter->refuse (waiter, decision->reason, decision->retry_after_s);
      return;
    }
  metric_observe_ms (&service->queue_wait, (double)decision->waited_us / US_PER_MS);
  g_assert (target != NULL);
  waiter->dispatch (waiter, target->id, target->address, target->max_connections);
}

void
entry_service_pump (entry_service_t *service)
{
  scheduler_next_result_t decision;
  /* A dispatch can end at once and call this function again; the outer loop then continues. */
  if (service->pumping)
    return;
  service->pumping = true;
  while (
      assigned_service_next (&service->assigned_service, entry_core_now (service->core), &decision))
    deliver (service, &decision);
  service->pumping = false;
}

static void
log_target_change (entry_service_t *service, const service_action_t *action, const char *change)
{
  const dispatch_target_t *target = g_hash_table_lookup (service->targets, &action->target_id);
  LOG_NOTICE ("target %s service=%s address=%s badness=%.2f", change, service->name,
              target != NULL ? target->address : "unknown", action->badness);
}

static void
run_action (entry_service_t *service, const service_action_t *action)
{
  const dispatch_target_t *target = g_hash_table_lookup (service->targets, &action->target_id);
  switch (action->kind)
    {
    case SERVICE_ACTION_PROBE:
      if (target != NULL)
        entry_probe_start (service, target->id, target->address, target->max_connections);
      break;
    case SERVICE_ACTION_REQUEST_PEER_PROBE:
      if (target != NULL)
        entry_peers_request_probe (service, target->id, target->address);
      break;
    case SERVICE_ACTION_EJECTED:
      metric_inc (&service->ejections);
      log_target_change (service, action, "ejected");
      break;
    case SERVICE_ACTION_READMITTED:
      metric_inc (&service->readmissions);
      log_target_change (service, action, "readmitted");
      break;
    }
}

void
entry_service_tick (entry_service_t *service)
{
  int64_t now_us = entry_core_now (service->core);
  service_action_t action;

  entry_service_update_peers (service);
  assigned_service_tick (&service->assigned_service, now_us);
  while (assigned_service_next_action (&service->assigned_service, &action))
    run_action (service, &action);
  metric_set (&service->own_slots, service->assigned_service.last_ejector_result.own_slots);
  metric_set (&service->ejected_slots, service->assigned_service.last_ejector_result.ejected_slots);
  metric_set (&service->held_slots, service->assigned_service.last_ejector_result.held_slots);
  if (limiter_tick (&service->limiter, now_us))
    entry_peers_send_usage (service);
  entry_service_pump (service);
}

void
entry_service_probe_connectivity (entry_service_t *service, const char *address)
{
  uint64_t id = entry_hash_id (address);
  const dispatch_target_t *target = g_hash_table_lookup (service->targets, &id);
  if (target != NULL)
    entry_probe_connectivity (service, id, target->address, target->max_connections);
}

static void
remove_old_peers (entry_service_t *service, GHashTable *current)
{
  GHashTableIter iter;
  gpointer key = NULL;
  g_hash_table_iter_init (&iter, service->peers);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      if (!g_hash_table_contains (current, key))
        assigned_service_remove_peer (&service->assigned_service, entry_core_now (service->core),
                                      *(uint64_t *)key);
    }
}

void
entry_service_update_peers (entry_service_t *service)
{
  entry_core_t *core = service->core;
  const placement_member_t *assigned[LIMITER_MAX_PEERS + 1];
  const char *ids[LIMITER_MAX_PEERS];
  size_t id_count = 0;
  uint64_t version = placement_version (core->placement) + 1;

  if (version == service->placement_version)
    return;
  service->placement_version = version;
  GHashTable *current = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  size_t count = placement_assigned (core->placement, service->name, service->entries_per_domain,
                                     assigned, G_N_ELEMENTS (assigned));
  for (size_t i = 0; i < count && id_count < LIMITER_MAX_PEERS; i++)
    {
      if (strcmp (assigned[i]->id, core->options.instance) == 0)
        continue;
      uint64_t id = entry_hash_id (assigned[i]->id);
      g_hash_table_replace (current, g_memdup2 (&id, sizeof (id)), g_strdup (assigned[i]->id));
      ids[id_count++] = assigned[i]->id;
    }
  remove_old_peers (service, current);
  g_hash_table_unref (service->peers);
  service->peers = current;
  limiter_set_peers (&service->limiter, entry_core_now (core), ids, id_count);
}

const char *
entry_service_peer_id (const entry_service_t *service, uint64_t entry_id)
{
  return g_hash_table_lookup (service->peers, &entry_id);
}
