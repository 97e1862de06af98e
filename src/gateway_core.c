#include "gateway_core.h"

#include <string.h>

#define LOG_MODULE "gateway_core"
#include "log.h"

/* Period of on_tick(). */
#define TICK_US INT64_C (50000)
/* A peer without a load report for this time is taken to be idle or gone. The requests in flight
 * that it reported no longer count as load of the targets. */
#define PEER_TIMEOUT_US INT64_C (3000000)
/* Parameters of the 64-bit FNV-1a hash. */
#define FNV_OFFSET UINT64_C (0xcbf29ce484222325)
#define FNV_PRIME UINT64_C (0x100000001b3)

typedef struct
{
  uint64_t hash; /* key, and the id of the target in the balancer */
  gateway_service_t *service;
  char id[REGISTRY_ID_SIZE]; /* id of the target in the registry */
} gateway_target_t;

typedef struct
{
  uint64_t hash; /* key; hash of the instance id */
  int64_t last_load_report_us;
} gateway_peer_t;

int64_t
gateway_core_now (const gateway_core_t *core)
{
  return io_loop_now_us (core->options.loop);
}

static uint64_t
hash_text (uint64_t hash, const char *text)
{
  for (; *text != '\0'; text++)
    hash = (hash ^ (uint8_t)*text) * FNV_PRIME;
  return hash;
}

/* Hashes the id and the start time of TARGET. All entries compute the same hash, and a restarted
 * target gets another one. */
static uint64_t
hash_target (const registry_target_t *target)
{
  uint64_t hash = hash_text (FNV_OFFSET, target->id);
  return (hash ^ (uint64_t)target->started_at_ms) * FNV_PRIME;
}

static void
free_service (gpointer data)
{
  gateway_service_t *service = data;
  balancer_destroy (&service->balancer);
  g_hash_table_unref (service->waiters);
  g_free (service->name);
  g_free (service);
}

gateway_service_t *
gateway_core_get_service (gateway_core_t *core, const char *name)
{
  gateway_service_t *service = g_hash_table_lookup (core->services, name);
  if (service != NULL)
    return service;
  balancer_options_t options = {
    .default_latency_us = core->options.default_latency_us,
    .overload_policy = core->options.overload_policy,
  };
  retry_budget_options_t budget = {
    .share = core->options.retry_share,
    .min_retry_rate = core->options.min_retry_rate,
  };
  service = g_new0 (gateway_service_t, 1);
  service->name = g_strdup (name);
  service->waiters = g_hash_table_new (g_int64_hash, g_int64_equal);
  balancer_init (&service->balancer, &options, rng_next (core->options.rng));
  balancer_set_stop (&service->balancer, &core->stop);
  retry_budget_init (&service->budget, &budget);
  g_hash_table_insert (core->services, service->name, service);
  return service;
}

static void arm_tick (gateway_core_t *core);

/* Delivers all decisions of the balancer that are due, and schedules the load reports. */
static void
pump (gateway_core_t *core, gateway_service_t *service)
{
  balancer_decision_t decision;
  if (service->pumping)
    return;
  service->pumping = true;
  while (balancer_next (&service->balancer, gateway_core_now (core), &decision))
    {
      gateway_waiter_t *waiter = g_hash_table_lookup (service->waiters, &decision.request_id);
      const gateway_target_t *target = g_hash_table_lookup (core->targets, &decision.target_id);
      const registry_target_t *known
          = target != NULL ? target_registry_find (&core->registry, target->id) : NULL;
      g_hash_table_remove (service->waiters, &decision.request_id);
      waiter->on_decision (waiter, &decision, known);
    }
  service->pumping = false;
  io_loop_defer (core->options.loop, &core->deferred_load_reports);
}

void
gateway_core_submit (gateway_core_t *core, gateway_service_t *service, gateway_waiter_t *waiter,
                     const balancer_request_t *request)
{
  waiter->id = request->id;
  g_hash_table_insert (service->waiters, &waiter->id, waiter);
  balancer_submit (&service->balancer, gateway_core_now (core), request);
  arm_tick (core);
  pump (core, service);
}

void
gateway_core_cancel (gateway_core_t *core, gateway_service_t *service, uint64_t request_id)
{
  g_hash_table_remove (service->waiters, &request_id);
  balancer_cancel (&service->balancer, request_id);
}

void
gateway_core_finish_attempt (gateway_core_t *core, gateway_service_t *service, uint64_t request_id,
                             balancer_outcome_t outcome, int64_t latency_us)
{
  balancer_finish (&service->balancer, gateway_core_now (core), request_id, outcome, latency_us);
  pump (core, service);
}

static void
drop_target (gateway_core_t *core, uint64_t hash)
{
  const gateway_target_t *target = g_hash_table_lookup (core->targets, &hash);
  if (target == NULL)
    return;
  balancer_remove_target (&target->service->balancer, hash);
  io_loop_defer (core->options.loop, &core->deferred_locality_update);
  g_hash_table_remove (core->targets, &hash);
}

void
gateway_core_remove_replaced_target (gateway_core_t *core, uint64_t target_id)
{
  const gateway_target_t *target = g_hash_table_lookup (core->targets, &target_id);
  if (target == NULL)
    return;
  LOG_NOTICE ("target replaced id=%s service=%s", target->id, target->service->name);
  target_registry_remove (&core->registry, target->id);
  drop_target (core, target_id);
}

/* Sends a message to the other entries of the cell. Returns their number. */
static int64_t
send_to_cell (gateway_core_t *core, const wire_writer_t *writer)
{
  int64_t count = 0;
  for (guint i = 0; i < core->feed.peers->len; i++)
    {
      const char *peer = g_ptr_array_index (core->feed.peers, i);
      if (strcmp (peer, peer_network_get_address (core->options.network)) == 0)
        continue;
      peer_network_send (core->options.network, peer, (const uint8_t *)writer->buffer.data,
                         writer->buffer.size);
      count++;
    }
  return count;
}

void
gateway_core_record_leaving_target (gateway_core_t *core, uint64_t target_id)
{
  g_autoptr (GArray) departures = g_array_new (FALSE, FALSE, sizeof (registry_departure_t));
  const gateway_target_t *target = g_hash_table_lookup (core->targets, &target_id);
  const registry_target_t *known
      = target != NULL ? target_registry_find (&core->registry, target->id) : NULL;
  wire_writer_t writer;
  if (known == NULL)
    return;
  registry_departure_t departure
      = { .started_at_ms = known->started_at_ms, .state = REGISTRY_DRAINING };
  g_strlcpy (departure.id, known->id, sizeof (departure.id));
  LOG_INFO ("target leaves id=%s service=%s state=draining source=answer", known->id,
            known->service);
  target_registry_record_departure (&core->registry, departure.id, departure.started_at_ms,
                                    departure.state);
  target_registry_remove (&core->registry, departure.id);
  drop_target (core, target_id);
  g_array_append_val (departures, departure);
  fleet_departed_encode (departures, &writer);
  send_to_cell (core, &writer);
  wire_writer_destroy (&writer);
}

void
gateway_core_pause_target (gateway_core_t *core, uint64_t target_id, int64_t pause_us)
{
  const gateway_target_t *target = g_hash_table_lookup (core->targets, &target_id);
  if (target == NULL)
    return;
  LOG_INFO ("target paused id=%s service=%s pause_ms=%" G_GINT64_FORMAT, target->id,
            target->service->name, pause_us / 1000);
  balancer_pause_target (&target->service->balancer, gateway_core_now (core), target_id, pause_us);
}

static void
on_target_dropped (void *data, const registry_target_t *target)
{
  drop_target (data, hash_target (target));
}

static bool
is_local (const gateway_core_t *core, const registry_target_t *target)
{
  return strcmp (target->domain, core->options.domain) == 0;
}

static gint
compare_hashes (gconstpointer a, gconstpointer b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;
  return x < y ? -1 : x > y;
}

/* Divides the targets of SERVICE in this failure domain evenly among its cells and sets their
 * locality. Each target goes to its best cell by rendezvous hash that is not full, in the order of
 * the target hashes, so all entries compute the same division. An entry that is not active has no
 * cell and treats all of them as targets of its own cell. */
static void
update_localities (gateway_core_t *core, gateway_service_t *service)
{
  unsigned cells = core->feed.cell_count;
  bool undivided = cells <= 1 || core->feed.cell_index >= cells;
  g_autoptr (GArray) hashes = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_autofree guint *sizes = g_new0 (guint, MAX (cells, 1));
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, core->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gateway_target_t *target = value;
      const registry_target_t *known = target_registry_find (&core->registry, target->id);
      if (target->service == service && known != NULL && is_local (core, known))
        g_array_append_val (hashes, target->hash);
    }
  g_array_sort (hashes, compare_hashes);
  guint max_size = (hashes->len + MAX (cells, 1) - 1) / MAX (cells, 1);
  for (guint i = 0; i < hashes->len; i++)
    {
      uint64_t hash = g_array_index (hashes, uint64_t, i);
      unsigned round = 0;
      unsigned cell = directory_choose_cell (hash, cells, round);
      while (!undivided && sizes[cell] >= max_size)
        cell = directory_choose_cell (hash, cells, ++round);
      sizes[cell]++;
      balancer_set_locality (&service->balancer, hash,
                             undivided || cell == core->feed.cell_index ? BALANCER_LOCALITY_CELL
                                                                        : BALANCER_LOCALITY_DOMAIN);
    }
}

static void
update_all_localities (io_deferred_t *deferred)
{
  gateway_core_t *core = CONTAINER_OF (deferred, gateway_core_t, deferred_locality_update);
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, core->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      update_localities (core, value);
      pump (core, value);
    }
}

static void
on_cell_changed (void *data)
{
  gateway_core_t *core = data;
  io_loop_defer (core->options.loop, &core->deferred_locality_update);
}

static void
add_target (gateway_core_t *core, const registry_target_t *target)
{
  gateway_target_t *added = g_new0 (gateway_target_t, 1);
  balancer_target_t setting = {
    .id = hash_target (target),
    .slots = MAX (target->slots, 1),
    .locality = is_local (core, target) ? BALANCER_LOCALITY_CELL : BALANCER_LOCALITY_REMOTE,
    .warmup_end_us = target->warmup_end_us,
  };
  added->hash = setting.id;
  added->service = gateway_core_get_service (core, target->service);
  g_strlcpy (added->id, target->id, sizeof (added->id));
  g_hash_table_replace (core->targets, &added->hash, added);
  balancer_set_target (&added->service->balancer, gateway_core_now (core), &setting);
  io_loop_defer (core->options.loop, &core->deferred_locality_update);
}

static void
update_target (gateway_core_t *core, const registry_target_t *target)
{
  const registry_target_t *known = target_registry_find (&core->registry, target->id);
  uint64_t known_hash = known != NULL ? hash_target (known) : 0;
  if (target->state != REGISTRY_READY)
    {
      if (known == NULL || known->started_at_ms != target->started_at_ms)
        return;
      LOG_INFO ("target dropped id=%s service=%s age_ms=%" G_GINT64_FORMAT, target->id,
                target->service, (gateway_core_now (core) - target->last_announcement_us) / 1000);
      target_registry_remove (&core->registry, target->id);
      drop_target (core, known_hash);
      return;
    }
  registry_result_t result
      = target_registry_announce (&core->registry, target, on_target_dropped, core);
  if (result != REGISTRY_NEW && result != REGISTRY_CHANGED)
    return;
  LOG_INFO ("target id=%s service=%s address=%s domain=%s slots=%u", target->id, target->service,
            target->address, target->domain, target->slots);
  if (known_hash != 0)
    drop_target (core, known_hash);
  add_target (core, target);
}

static void
on_targets (void *data, const GArray *targets)
{
  gateway_core_t *core = data;
  for (guint i = 0; i < targets->len; i++)
    update_target (core, &g_array_index (targets, registry_target_t, i));
  metric_set (&core->targets_known, g_hash_table_size (core->targets));
  feed_client_set_state (&core->feed, core->leaving                  ? ENTRY_LEAVING
                                      : gateway_core_is_ready (core) ? ENTRY_READY
                                                                     : ENTRY_STARTING);
}

static void
on_departures (void *data, const GArray *departures)
{
  gateway_core_t *core = data;
  for (guint i = 0; i < departures->len; i++)
    {
      const registry_departure_t *departure = &g_array_index (departures, registry_departure_t, i);
      const registry_target_t *target = target_registry_find (&core->registry, departure->id);
      if (!target_registry_record_departure (&core->registry, departure->id,
                                             departure->started_at_ms, departure->state)
          || target == NULL || target->started_at_ms > departure->started_at_ms)
        continue;
      LOG_INFO ("target leaves id=%s service=%s state=%s", target->id, target->service,
                registry_state_name (departure->state));
      drop_target (core, hash_target (target));
      target_registry_remove (&core->registry, departure->id);
    }
}

static void
on_config (void *data, const version_seal_t *seal, GBytes *text)
{
  gateway_core_t *core = data;
  anv_error_t err = { 0 };
  gsize size = 0;
  const char *bytes = g_bytes_get_data (text, &size);
  version_digest_t digest = version_compute_text_digest (bytes, size);

  if (!version_digest_equal (&digest, &seal->document_digest))
    {
      LOG_ERROR ("configuration does not match its digest version=%" G_GUINT64_FORMAT,
                 seal->version);
      return;
    }
  config_doc_t *doc = config_doc_new_after (core->doc, text, seal->schema, &err);
  if (doc == NULL)
    {
      LOG_ERROR ("configuration not installed version=%" G_GUINT64_FORMAT " error=\"%s\"",
                 seal->version, err.text);
      return;
    }
  route_table_free (core->routes);
  config_doc_unref (core->doc);
  core->doc = doc;
  core->routes = route_table_new (doc, &core->options.routes);
  LOG_NOTICE ("configuration in force version=%" G_GUINT64_FORMAT " label=%" G_GUINT64_FORMAT
              " before=%" G_GUINT64_FORMAT,
              seal->version, config_doc_label (doc), core->version);
  core->version = seal->version;
  metric_set (&core->version_in_force, (int64_t)seal->version);
  feed_client_set_version (&core->feed, seal->version);
  if (config_doc_caller_limits (doc) != NULL && core->options.on_caller_limits != NULL)
    core->options.on_caller_limits (core->options.data, config_doc_caller_limits (doc));
  if (gateway_core_is_ready (core))
    feed_client_set_state (&core->feed, ENTRY_READY);
}

const config_service_t *
gateway_core_choose_service (gateway_core_t *core, const config_doc_t *doc,
                             const config_route_t *route)
{
  return route_split_choose (&core->split, doc, route, core->options.rng);
}

static void
send_load_reports (io_deferred_t *deferred)
{
  gateway_core_t *core = CONTAINER_OF (deferred, gateway_core_t, deferred_load_reports);
  g_autoptr (GArray) reports = g_array_new (FALSE, FALSE, sizeof (balancer_load_report_t));
  g_autoptr (GArray) loads = g_array_new (FALSE, FALSE, sizeof (fleet_load_report_t));
  GHashTableIter iter;
  gpointer value = NULL;
  wire_writer_t writer;

  g_hash_table_iter_init (&iter, core->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    balancer_take_load_reports (&((gateway_service_t *)value)->balancer, reports);
  if (reports->len == 0)
    return;
  for (guint i = 0; i < reports->len; i++)
    {
      const balancer_load_report_t *report = &g_array_index (reports, balancer_load_report_t, i);
      fleet_load_report_t load = { report->target_id, report->in_flight, report->evidence };
      g_array_append_val (loads, load);
    }
  fleet_load_encode (loads, &writer);
  metric_add (&core->load_reports_sent, send_to_cell (core, &writer));
  wire_writer_destroy (&writer);
}

static void
receive_load_reports (gateway_core_t *core, const link_t *link, wire_reader_t *reader)
{
  g_autoptr (GArray) loads = g_array_new (FALSE, FALSE, sizeof (fleet_load_report_t));
  uint64_t peer_hash = hash_text (FNV_OFFSET, link->peer.id);
  int64_t now_us = gateway_core_now (core);
  if (!fleet_load_decode (loads, reader))
    return;
  gateway_peer_t *peer = g_hash_table_lookup (core->peers, &peer_hash);
  if (peer == NULL)
    {
      peer = g_new0 (gateway_peer_t, 1);
      peer->hash = peer_hash;
      g_hash_table_insert (core->peers, &peer->hash, peer);
    }
  peer->last_load_report_us = now_us;
  arm_tick (core);
  for (guint i = 0; i < loads->len; i++)
    {
      const fleet_load_report_t *load = &g_array_index (loads, fleet_load_report_t, i);
      const gateway_target_t *target = g_hash_table_lookup (core->targets, &load->target_id);
      balancer_load_report_t report = { load->target_id, load->in_flight, load->evidence };
      if (target == NULL)
        continue;
      balancer_apply_load_report (&target->service->balancer, now_us, peer_hash, &report);
      pump (core, target->service);
    }
}

static gboolean
expire_peer (gpointer key, gpointer value, gpointer data)
{
  gateway_core_t *core = data;
  const gateway_peer_t *peer = value;
  GHashTableIter iter;
  gpointer service = NULL;
  if (gateway_core_now (core) - peer->last_load_report_us < PEER_TIMEOUT_US)
    return FALSE;
  g_hash_table_iter_init (&iter, core->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    balancer_remove_peer (&((gateway_service_t *)service)->balancer, peer->hash);
  return TRUE;
}

static void
arm_tick (gateway_core_t *core)
{
  if (core->tick_armed)
    return;
  core->tick_armed = true;
  io_timer_set (core->options.loop, &core->tick, gateway_core_now (core) + TICK_US);
}

/* Runs while requests wait or are in flight here, and while other entries report load. */
static void
on_tick (io_timer_t *timer)
{
  gateway_core_t *core = CONTAINER_OF (timer, gateway_core_t, tick);
  bool busy = false;
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_foreach_remove (core->peers, expire_peer, core);
  g_hash_table_iter_init (&iter, core->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gateway_service_t *service = value;
      if (balancer_request_count (&service->balancer) == 0)
        continue;
      busy = true;
      balancer_tick (&service->balancer, gateway_core_now (core));
      pump (core, service);
    }
  core->tick_armed = false;
  if (busy || g_hash_table_size (core->peers) > 0)
    arm_tick (core);
}

void
gateway_core_init (gateway_core_t *core, const gateway_core_options_t *options)
{
  *core = (gateway_core_t){ .options = *options };
  feed_client_options_t feed_options = {
    .loop = options->loop,
    .network = options->network,
    .domain = options->domain,
    .caller_address = options->caller_address,
    .capacity = options->capacity,
    .seeds = options->seeds,
    .on_config = on_config,
    .on_targets = on_targets,
    .on_departures = on_departures,
    .on_cell_changed = on_cell_changed,
    .data = core,
  };
  feed_client_init (&core->feed, &feed_options);
  gateway_quota_init (&core->quota, &(gateway_quota_options_t){ options->loop, options->network,
                                                                options->counters, &core->feed });
  target_registry_init (&core->registry);
  core->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_service);
  core->targets = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  route_split_init (&core->split);
  core->peers = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  io_timer_init (&core->tick, on_tick);
  io_deferred_init (&core->deferred_load_reports, send_load_reports);
  io_deferred_init (&core->deferred_locality_update, update_all_localities);
  metric_register (options->counters, &core->version_in_force, METRIC_KIND_GAUGE,
                   "anvillb_config_version", NULL, "Configuration version in force.");
  metric_register (options->counters, &core->targets_known, METRIC_KIND_GAUGE, "anvillb_targets",
                   NULL, "Targets that get requests.");
  metric_register (options->counters, &core->load_reports_sent, METRIC_KIND_COUNTER,
                   "anvillb_loads_sent_total", NULL, "Messages about the load of targets.");
}

void
gateway_core_destroy (gateway_core_t *core)
{
  io_timer_cancel (&core->tick);
  io_deferred_cancel (&core->deferred_load_reports);
  io_deferred_cancel (&core->deferred_locality_update);
  gateway_quota_destroy (&core->quota);
  feed_client_destroy (&core->feed);
  g_clear_pointer (&core->targets, g_hash_table_unref);
  g_clear_pointer (&core->services, g_hash_table_unref);
  route_split_destroy (&core->split);
  g_clear_pointer (&core->peers, g_hash_table_unref);
  target_registry_destroy (&core->registry);
  g_clear_pointer (&core->routes, route_table_free);
  g_clear_pointer (&core->doc, config_doc_unref);
}

void
gateway_core_start (gateway_core_t *core)
{
  feed_client_start (&core->feed);
}

bool
gateway_core_is_ready (const gateway_core_t *core)
{
  return core->doc != NULL && !core->leaving && feed_client_was_synced (&core->feed);
}

void
gateway_core_leave (gateway_core_t *core, const stop_plan_t *plan)
{
  GHashTableIter iter;
  gpointer value = NULL;
  core->leaving = true;
  core->stop = *plan;
  feed_client_set_state (&core->feed, ENTRY_LEAVING);
  g_hash_table_iter_init (&iter, core->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gateway_service_t *service = value;
      balancer_set_stop (&service->balancer, plan);
      pump (core, service);
    }
}

bool
gateway_core_receive (gateway_core_t *core, link_t *link, wire_type_t type, wire_reader_t *reader)
{
  if (type != WIRE_FLEET_LOAD)
    return gateway_quota_receive (&core->quota, link, type, reader)
           || feed_client_receive (&core->feed, link, type, reader);
  receive_load_reports (core, link, reader);
  return true;
}
