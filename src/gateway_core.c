#include "gateway_core.h"

#include <string.h>

#define LOG_MODULE "gateway_core"
#include "log.h"

#define TICK_US INT64_C (50000)
/* An active entry that has said nothing for this long has no requests, or is gone. */
#define PEER_LIFE_US INT64_C (3000000)

typedef struct
{
  uint64_t number; /* key */
  gateway_service_t *service;
  char id[REGISTRY_ID_SIZE];
} gateway_target_t;

typedef struct
{
  uint64_t number; /* key */
  int64_t heard_us;
} gateway_peer_t;

/* Requests of a route that each part of its split has got. */
typedef struct
{
  char *route; /* key */
  uint64_t weights_hash;
  double *given;
} split_state_t;

int64_t
gateway_core_now (const gateway_core_t *core)
{
  return io_loop_now_us (core->options.loop);
}

static uint64_t
hash_text (uint64_t hash, const char *text)
{
  for (; *text != '\0'; text++)
    hash = (hash ^ (uint8_t)*text) * UINT64_C (1099511628211);
  return hash;
}

/* The same number in every entry: one for each life of a target. */
static uint64_t
number_target (const registry_target_t *target)
{
  uint64_t hash = hash_text (UINT64_C (14695981039346656037), target->id);
  return (hash ^ (uint64_t)target->born_ms) * UINT64_C (1099511628211);
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

static void
free_split (gpointer data)
{
  split_state_t *state = data;
  g_free (state->route);
  g_free (state->given);
  g_free (state);
}

gateway_service_t *
gateway_core_service (gateway_core_t *core, const char *name)
{
  gateway_service_t *service = g_hash_table_lookup (core->services, name);
  if (service != NULL)
    return service;
  balancer_options_t options = { .default_latency_us = core->options.default_latency_us };
  retry_budget_options_t budget = {
    .share = core->options.retry_share,
    .minimum_rate = core->options.retry_minimum_rate,
  };
  service = g_new0 (gateway_service_t, 1);
  service->name = g_strdup (name);
  service->waiters = g_hash_table_new (g_int64_hash, g_int64_equal);
  balancer_init (&service->balancer, &options, rng_next (core->options.rng));
  retry_budget_init (&service->budget, &budget);
  g_hash_table_insert (core->services, service->name, service);
  return service;
}

static void arm_tick (gateway_core_t *core);

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
      waiter->decided (waiter, &decision, known);
    }
  service->pumping = false;
  io_loop_defer (core->options.loop, &core->share);
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
gateway_core_done (gateway_core_t *core, gateway_service_t *service, uint64_t request_id,
                   balancer_outcome_t outcome, int64_t latency_us)
{
  balancer_done (&service->balancer, gateway_core_now (core), request_id, outcome, latency_us);
  pump (core, service);
}

static void
drop_target (gateway_core_t *core, uint64_t number)
{
  const gateway_target_t *target = g_hash_table_lookup (core->targets, &number);
  if (target == NULL)
    return;
  balancer_remove_target (&target->service->balancer, number);
  io_loop_defer (core->options.loop, &core->recell);
  g_hash_table_remove (core->targets, &number);
}

void
gateway_core_target_replaced (gateway_core_t *core, uint64_t target_id)
{
  const gateway_target_t *target = g_hash_table_lookup (core->targets, &target_id);
  if (target == NULL)
    return;
  LOG_NOTICE ("target replaced id=%s service=%s", target->id, target->service->name);
  target_registry_remove (&core->registry, target->id);
  drop_target (core, target_id);
}

static void
drop_known (void *data, const registry_target_t *target)
{
  drop_target (data, number_target (target));
}

static bool
is_local (const gateway_core_t *core, const registry_target_t *target)
{
  return strcmp (target->domain, core->options.domain) == 0;
}

static gint
compare_numbers (gconstpointer a, gconstpointer b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;
  return x < y ? -1 : x > y;
}

/* Divides the targets of SERVICE in this failure domain among the cells. All entries do it alike:
 * each target goes to its best cell that is not full. */
static void
divide_targets (gateway_core_t *core, gateway_service_t *service)
{
  unsigned cells = core->feed.cells;
  bool whole = cells <= 1 || core->feed.cell >= cells;
  g_autoptr (GArray) numbers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_autofree guint *sizes = g_new0 (guint, MAX (cells, 1));
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, core->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gateway_target_t *target = value;
      const registry_target_t *known = target_registry_find (&core->registry, target->id);
      if (target->service == service && known != NULL && is_local (core, known))
        g_array_append_val (numbers, target->number);
    }
  g_array_sort (numbers, compare_numbers);
  guint most = (numbers->len + MAX (cells, 1) - 1) / MAX (cells, 1);
  for (guint i = 0; i < numbers->len; i++)
    {
      uint64_t number = g_array_index (numbers, uint64_t, i);
      unsigned round = 0;
      unsigned cell = directory_cell_choice (number, cells, round);
      while (!whole && sizes[cell] >= most)
        cell = directory_cell_choice (number, cells, ++round);
      sizes[cell]++;
      balancer_set_tier (&service->balancer, number,
                         whole || cell == core->feed.cell ? BALANCER_CELL : BALANCER_DOMAIN);
    }
}

static void
on_recell (io_deferred_t *deferred)
{
  gateway_core_t *core = LIST_ENTRY (deferred, gateway_core_t, recell);
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, core->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      divide_targets (core, value);
      pump (core, value);
    }
}

static void
on_cell (void *data)
{
  gateway_core_t *core = data;
  io_loop_defer (core->options.loop, &core->recell);
}

static void
use_target (gateway_core_t *core, const registry_target_t *target)
{
  gateway_target_t *used = g_new0 (gateway_target_t, 1);
  balancer_target_t setting = {
    .id = number_target (target),
    .slots = MAX (target->slots, 1),
    .tier = is_local (core, target) ? BALANCER_CELL : BALANCER_REMOTE,
    .warm_us = target->warm_us,
  };
  used->number = setting.id;
  used->service = gateway_core_service (core, target->service);
  g_strlcpy (used->id, target->id, sizeof (used->id));
  g_hash_table_replace (core->targets, &used->number, used);
  balancer_set_target (&used->service->balancer, gateway_core_now (core), &setting);
  io_loop_defer (core->options.loop, &core->recell);
}

static void
take_target (gateway_core_t *core, const registry_target_t *target)
{
  const registry_target_t *known = target_registry_find (&core->registry, target->id);
  uint64_t before = known != NULL ? number_target (known) : 0;
  if (target->state != REGISTRY_READY)
    {
      if (known == NULL || known->born_ms != target->born_ms)
        return;
      LOG_INFO ("target dropped id=%s service=%s age_ms=%" G_GINT64_FORMAT, target->id,
                target->service, (gateway_core_now (core) - target->seen_us) / 1000);
      target_registry_remove (&core->registry, target->id);
      drop_target (core, before);
      return;
    }
  registry_result_t result = target_registry_announce (&core->registry, target, drop_known, core);
  if (result != REGISTRY_NEW && result != REGISTRY_CHANGED)
    return;
  LOG_INFO ("target id=%s service=%s address=%s domain=%s slots=%u", target->id, target->service,
            target->address, target->domain, target->slots);
  if (before != 0)
    drop_target (core, before);
  use_target (core, target);
}

static void
on_targets (void *data, const GArray *targets)
{
  gateway_core_t *core = data;
  for (guint i = 0; i < targets->len; i++)
    take_target (core, &g_array_index (targets, registry_target_t, i));
  counter_set (&core->targets_known, g_hash_table_size (core->targets));
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
      if (!target_registry_depart (&core->registry, departure->id, departure->born_ms,
                                   departure->state)
          || target == NULL || target->born_ms > departure->born_ms)
        continue;
      LOG_INFO ("target leaves id=%s service=%s state=%s", target->id, target->service,
                registry_state_name (departure->state));
      drop_target (core, number_target (target));
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
  version_digest_t digest = version_text_digest (bytes, size);

  if (!version_digest_equal (&digest, &seal->document))
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
  core->routes = route_table_new (doc);
  LOG_NOTICE ("configuration in force version=%" G_GUINT64_FORMAT " label=%" G_GUINT64_FORMAT
              " before=%" G_GUINT64_FORMAT,
              seal->version, config_doc_label (doc), core->version);
  core->version = seal->version;
  counter_set (&core->version_in_force, (int64_t)seal->version);
  feed_client_set_version (&core->feed, seal->version);
  if (config_doc_caller_limits (doc) != NULL && core->options.on_limits != NULL)
    core->options.on_limits (core->options.data, config_doc_caller_limits (doc));
  if (gateway_core_is_ready (core))
    feed_client_set_state (&core->feed, ENTRY_READY);
}

const config_service_t *
gateway_core_choose_service (gateway_core_t *core, const config_route_t *route)
{
  uint64_t weights_hash = 1;
  double sum = 0;
  double total = 1;
  if (route->split == NULL)
    return config_doc_service (core->doc, route->service);
  for (uint32_t i = 0; i < route->split_count; i++)
    {
      const config_split_t *part = &route->split[i];
      weights_hash = (weights_hash ^ part->weight) * UINT64_C (1099511628211);
      weights_hash = hash_text (weights_hash, config_doc_service (core->doc, part->service)->name);
      sum += part->weight;
    }
  split_state_t *state = g_hash_table_lookup (core->splits, route->id);
  if (state == NULL || state->weights_hash != weights_hash)
    {
      state = g_new0 (split_state_t, 1);
      state->route = g_strdup (route->id);
      state->weights_hash = weights_hash;
      state->given = g_new0 (double, route->split_count);
      g_hash_table_replace (core->splits, state->route, state);
      /* Entries begin at different points, so that few requests at each still add up. */
      double offset = rng_unit (core->options.rng);
      for (uint32_t i = 0; i < route->split_count; i++)
        state->given[i] = i == 0 ? offset : offset * route->split[i].weight / sum;
    }
  for (uint32_t i = 0; i < route->split_count; i++)
    total += state->given[i];
  uint32_t chosen = 0;
  double most = -G_MAXDOUBLE;
  for (uint32_t i = 0; i < route->split_count; i++)
    {
      double owed = total * route->split[i].weight / sum - state->given[i];
      if (route->split[i].weight > 0 && owed > most)
        {
          most = owed;
          chosen = i;
        }
    }
  state->given[chosen] += 1;
  return config_doc_service (core->doc, route->split[chosen].service);
}

static void
on_share (io_deferred_t *deferred)
{
  gateway_core_t *core = LIST_ENTRY (deferred, gateway_core_t, share);
  g_autoptr (GArray) shares = g_array_new (FALSE, FALSE, sizeof (balancer_share_t));
  g_autoptr (GArray) loads = g_array_new (FALSE, FALSE, sizeof (fleet_load_t));
  GHashTableIter iter;
  gpointer value = NULL;
  wire_writer_t writer;

  g_hash_table_iter_init (&iter, core->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    balancer_take_shares (&((gateway_service_t *)value)->balancer, shares);
  if (shares->len == 0)
    return;
  for (guint i = 0; i < shares->len; i++)
    {
      const balancer_share_t *share = &g_array_index (shares, balancer_share_t, i);
      fleet_load_t load = { share->target_id, share->in_flight, share->evidence };
      g_array_append_val (loads, load);
    }
  fleet_load_encode (loads, &writer);
  for (guint i = 0; i < core->feed.peers->len; i++)
    {
      const char *peer = g_ptr_array_index (core->feed.peers, i);
      if (strcmp (peer, peer_network_address (core->options.network)) == 0)
        continue;
      peer_network_send (core->options.network, peer, (const uint8_t *)writer.buffer.data,
                         writer.buffer.size);
      counter_inc (&core->loads_sent);
    }
  wire_writer_destroy (&writer);
}

static void
receive_load (gateway_core_t *core, const link_t *link, wire_reader_t *reader)
{
  g_autoptr (GArray) loads = g_array_new (FALSE, FALSE, sizeof (fleet_load_t));
  uint64_t number = hash_text (UINT64_C (14695981039346656037), link->peer.id);
  int64_t now_us = gateway_core_now (core);
  if (!fleet_load_decode (loads, reader))
    return;
  gateway_peer_t *peer = g_hash_table_lookup (core->peers, &number);
  if (peer == NULL)
    {
      peer = g_new0 (gateway_peer_t, 1);
      peer->number = number;
      g_hash_table_insert (core->peers, &peer->number, peer);
    }
  peer->heard_us = now_us;
  arm_tick (core);
  for (guint i = 0; i < loads->len; i++)
    {
      const fleet_load_t *load = &g_array_index (loads, fleet_load_t, i);
      const gateway_target_t *target = g_hash_table_lookup (core->targets, &load->target_id);
      balancer_share_t share = { load->target_id, load->in_flight, load->evidence };
      if (target == NULL)
        continue;
      balancer_peer_share (&target->service->balancer, now_us, number, &share);
      pump (core, target->service);
    }
}

static gboolean
is_peer_gone (gpointer key, gpointer value, gpointer data)
{
  gateway_core_t *core = data;
  const gateway_peer_t *peer = value;
  GHashTableIter iter;
  gpointer service = NULL;
  if (gateway_core_now (core) - peer->heard_us < PEER_LIFE_US)
    return FALSE;
  g_hash_table_iter_init (&iter, core->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    balancer_peer_gone (&((gateway_service_t *)service)->balancer, peer->number);
  return TRUE;
}

static void
arm_tick (gateway_core_t *core)
{
  if (core->ticking)
    return;
  core->ticking = true;
  io_timer_set (core->options.loop, &core->tick, gateway_core_now (core) + TICK_US);
}

/* Runs while requests are in flight, here or at other entries. */
static void
on_tick (io_timer_t *timer)
{
  gateway_core_t *core = LIST_ENTRY (timer, gateway_core_t, tick);
  bool busy = false;
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_foreach_remove (core->peers, is_peer_gone, core);
  g_hash_table_iter_init (&iter, core->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gateway_service_t *service = value;
      if (balancer_busy (&service->balancer) == 0)
        continue;
      busy = true;
      balancer_tick (&service->balancer, gateway_core_now (core));
      pump (core, service);
    }
  core->ticking = false;
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
    .on_cell = on_cell,
    .data = core,
  };
  feed_client_init (&core->feed, &feed_options);
  target_registry_init (&core->registry);
  core->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_service);
  core->targets = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  core->splits = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_split);
  core->peers = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  io_timer_init (&core->tick, on_tick);
  io_deferred_init (&core->share, on_share);
  io_deferred_init (&core->recell, on_recell);
  counter_register (options->counters, &core->version_in_force, COUNTER_KIND_GAUGE,
                    "anvillb_config_version", NULL, "Configuration version in force.");
  counter_register (options->counters, &core->targets_known, COUNTER_KIND_GAUGE, "anvillb_targets",
                    NULL, "Targets that get requests.");
  counter_register (options->counters, &core->loads_sent, COUNTER_KIND_COUNTER,
                    "anvillb_loads_sent_total", NULL, "Messages about the load of targets.");
}

void
gateway_core_destroy (gateway_core_t *core)
{
  io_timer_cancel (&core->tick);
  io_deferred_cancel (&core->share);
  io_deferred_cancel (&core->recell);
  feed_client_destroy (&core->feed);
  g_clear_pointer (&core->targets, g_hash_table_unref);
  g_clear_pointer (&core->services, g_hash_table_unref);
  g_clear_pointer (&core->splits, g_hash_table_unref);
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
gateway_core_leave (gateway_core_t *core)
{
  core->leaving = true;
  feed_client_set_state (&core->feed, ENTRY_LEAVING);
}

bool
gateway_core_receive (gateway_core_t *core, link_t *link, wire_type_t type, wire_reader_t *reader)
{
  if (type != WIRE_FLEET_LOAD)
    return feed_client_receive (&core->feed, link, type, reader);
  receive_load (core, link, reader);
  return true;
}
