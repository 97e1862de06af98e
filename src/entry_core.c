#include "entry_core.h"

#include <string.h>

#define LOG_MODULE "entry_core"
#include "entry_announce.h"
#include "entry_claims.h"
#include "entry_peers.h"
#include "entry_service.h"
#include "log.h"

/* Period of on_tick(). */
#define TICK_US INT64_C (50000)
/* Delay from the first configuration until callers are sent to this entry. If the member that
 * served the configuration has an old version, the entry learns of the higher one in this time. */
#define READY_DELAY_US INT64_C (2000000)
#define MAX_TARGETS 20000
#define MAX_TARGETS_PER_SERVICE 5000
/* Parameters of the 64-bit FNV-1a hash. */
#define FNV_OFFSET UINT64_C (0xcbf29ce484222325)
#define FNV_PRIME UINT64_C (0x100000001b3)

uint64_t
entry_hash_id (const char *name)
{
  uint64_t hash = FNV_OFFSET;
  for (const unsigned char *p = (const unsigned char *)name; *p != '\0'; p++)
    hash = (hash ^ *p) * FNV_PRIME;
  return hash;
}

int64_t
entry_core_now (const entry_core_t *core)
{
  return io_loop_now_us (core->options.loop);
}

static void
on_target (void *data, target_event_t event, const target_t *target)
{
  entry_core_t *core = data;
  entry_service_t *service = entry_core_get_service (core, target->service);
  if (service != NULL)
    entry_service_on_target_event (service, event, target);
}

static bool
is_configured (const entry_core_t *core, const char *service)
{
  return core->doc != NULL && config_doc_find_service (core->doc, service) != NULL;
}

/* A target of a service that is not configured counts as not owned, so that it is reported as added
 * when the service is configured later. */
static bool
owns_target (void *data, const target_t *target)
{
  entry_core_t *core = data;
  if (!is_configured (core, target->service))
    return false;
  const placement_member_t *owner = placement_owner (
      core->placement, target->service, entry_core_entries_per_domain (core, target->service),
      target->address, target->domain);
  return owner != NULL && strcmp (owner->id, core->options.instance) == 0;
}

static void
count_successor (void *data, const swim_member_t *member)
{
  bool is_entry = member->caller_address != NULL && member->caller_address[0] != '\0';
  bool is_serving = (member->flags & SWIM_FLAG_CONFIGURED) != 0
                    && (member->flags & SWIM_FLAG_LEAVING) == 0 && member->status == SWIM_ALIVE;
  if (is_entry && is_serving)
    ++*(size_t *)data;
}

/* Returns whether another entry can take the targets of this one. A leaving entry without one keeps
 * its targets, because callers use its address for a while and must be served until then. */
static bool
has_successor (const entry_core_t *core)
{
  size_t count = 0;
  swim_foreach (&core->options.membership->swim, count_successor, &count);
  return count > 0;
}

static void
update_own_placement (entry_core_t *core)
{
  placement_set (core->placement, core->options.instance, core->options.caller_address,
                 core->options.domain, core->doc != NULL, core->leaving && has_successor (core));
}

static void
drop_unowned_targets (entry_core_t *core)
{
  target_table_end_unowned_leases (&core->targets, entry_core_now (core), owns_target, core);
}

void
entry_core_on_member (void *data, swim_event_t event, const swim_member_t *member)
{
  entry_core_t *core = data;
  uint64_t version = placement_version (core->placement);

  if (core->leaving)
    update_own_placement (core);
  if (strcmp (member->id, core->options.instance) == 0)
    return;
  if (member->status == SWIM_DEAD || event == SWIM_EVENT_REMOVED)
    placement_remove (core->placement, member->id);
  else if (member->caller_address != NULL && member->caller_address[0] != '\0')
    placement_set (core->placement, member->id, member->caller_address, member->domain,
                   (member->flags & SWIM_FLAG_CONFIGURED) != 0,
                   (member->flags & SWIM_FLAG_LEAVING) != 0);
  if (placement_version (core->placement) != version)
    drop_unowned_targets (core);
}

static gboolean
reconfigure_service (gpointer key, gpointer value, gpointer data)
{
  entry_core_t *core = data;
  entry_service_t *service = value;
  const config_service_t *config = config_doc_find_service (core->doc, service->name);
  if (config != NULL)
    entry_service_configure (service, config);
  return config == NULL && service->user_count == 0;
}

void
entry_core_release_service (entry_core_t *core, entry_service_t *service)
{
  service->user_count--;
  if (service->user_count == 0 && !is_configured (core, service->name))
    g_hash_table_remove (core->services, service->name);
}

void
entry_core_on_install (void *data, uint64_t version, config_doc_t *doc)
{
  entry_core_t *core = data;
  config_doc_t *old = core->doc;

  core->doc = config_doc_ref (doc);
  if (core->routes != NULL)
    route_table_free (core->routes);
  core->routes = route_table_new (core->doc, NULL);
  if (old != NULL)
    config_doc_unref (old);
  else
    core->ready_after_us = entry_core_now (core) + READY_DELAY_US;
  update_own_placement (core);
  drop_unowned_targets (core);
  g_hash_table_foreach_remove (core->services, reconfigure_service, core);
}

void
entry_core_on_silent_connection (void *data, const char *address)
{
  entry_core_t *core = data;
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, core->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    entry_service_probe_connectivity (value, address);
}

bool
entry_core_is_ready (const entry_core_t *core)
{
  return core->doc != NULL && !core->leaving && entry_core_now (core) >= core->ready_after_us;
}

void
entry_core_leave (entry_core_t *core)
{
  core->leaving = true;
  membership_task_set_leaving (core->options.membership);
  update_own_placement (core);
  drop_unowned_targets (core);
}

entry_service_t *
entry_core_get_service (entry_core_t *core, const char *name)
{
  entry_service_t *service = g_hash_table_lookup (core->services, name);
  if (service != NULL || core->doc == NULL)
    return service;
  const config_service_t *config = config_doc_find_service (core->doc, name);
  if (config == NULL)
    return NULL;
  service = entry_service_new (core, name);
  g_hash_table_insert (core->services, service->name, service);
  entry_service_configure (service, config);
  return service;
}

unsigned
entry_core_entries_per_domain (const entry_core_t *core, const char *service)
{
  const config_service_t *config
      = core->doc != NULL ? config_doc_find_service (core->doc, service) : NULL;
  return config != NULL ? config->entries_per_domain : 1;
}

bool
entry_core_is_assigned (entry_core_t *core, const char *service)
{
  return placement_is_assigned (core->placement, service,
                                entry_core_entries_per_domain (core, service),
                                core->options.instance);
}

const char *
entry_core_peer_address (const entry_core_t *core, const char *id)
{
  const swim_member_t *member = swim_find (&core->options.membership->swim, id);
  return member != NULL && member->status != SWIM_DEAD ? member->peer_address : NULL;
}

target_result_t
entry_core_handle_announcement (entry_core_t *core, const target_announcement_t *announcement,
                                bool forwarded)
{
  int64_t now_us = entry_core_now (core);
  const placement_member_t *owner
      = placement_owner (core->placement, announcement->service,
                         entry_core_entries_per_domain (core, announcement->service),
                         announcement->address, announcement->domain);
  bool owned = owner != NULL && strcmp (owner->id, core->options.instance) == 0;
  target_result_t result = target_table_announce (
      &core->targets, now_us, announcement, owned && is_configured (core, announcement->service));

  if (result == TARGET_NOT_OWNED && owner != NULL && !owned && !forwarded)
    {
      const char *address = entry_core_peer_address (core, owner->id);
      if (address != NULL)
        entry_announce_forward (core, announcement, address);
    }
  metric_set (&core->targets_known, (int64_t)target_table_size (&core->targets));
  return result;
}

static void
on_tick (io_timer_t *timer)
{
  entry_core_t *core = CONTAINER_OF (timer, entry_core_t, tick_timer);
  int64_t now_us = entry_core_now (core);
  bool summaries_due = now_us >= core->next_summary_us;
  GHashTableIter iter;
  gpointer value = NULL;

  target_table_tick (&core->targets, now_us);
  g_hash_table_iter_init (&iter, core->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      entry_service_tick (value);
      if (summaries_due)
        entry_peers_send_summary (value);
    }
  if (summaries_due)
    core->next_summary_us = now_us + ENTRY_SUMMARY_PERIOD_US;
  io_timer_set (core->options.loop, timer, now_us + TICK_US);
}

static void
free_service (gpointer data)
{
  entry_service_free (data);
}

void
entry_core_init (entry_core_t *core, const entry_core_options_t *options)
{
  *core = (entry_core_t){ .options = *options };
  core->entry_id = entry_hash_id (options->instance);
  core->placement = placement_new ();
  core->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_service);
  /* Rises with each restart, as the epoch of the limiter requires. The random low bits distinguish
   * processes that start in the same microsecond. */
  core->process_epoch = (uint64_t)g_get_real_time () << 8 | (rng_next (options->rng) & 0xff);
  target_table_options_t target_options = {
    .max_targets = MAX_TARGETS,
    .max_per_service = MAX_TARGETS_PER_SERVICE,
    .require_echo = options->require_echo,
    .on_event = on_target,
    .data = core,
  };
  target_table_init (&core->targets, &target_options);
  entry_claims_init (core);
  io_timer_init (&core->tick_timer, on_tick);
  update_own_placement (core);
  metric_register (options->counters, &core->announcements, METRIC_KIND_COUNTER,
                   "anvillb_announcements_total", NULL, "Announcements of backend servers.");
  metric_register (options->counters, &core->announcements_forwarded, METRIC_KIND_COUNTER,
                   "anvillb_announcements_forwarded_total", NULL,
                   "Announcements passed on to the owner.");
  metric_register (options->counters, &core->targets_known, METRIC_KIND_GAUGE, "anvillb_targets",
                   NULL, "Targets in the table of this entry.");
}

void
entry_core_start (entry_core_t *core)
{
  io_timer_set (core->options.loop, &core->tick_timer, entry_core_now (core));
}

void
entry_core_stop (entry_core_t *core)
{
  io_timer_cancel (&core->tick_timer);
  io_timer_cancel (&core->claim_timer);
}

void
entry_core_destroy (entry_core_t *core)
{
  entry_core_stop (core);
  entry_claims_destroy (core);
  g_clear_pointer (&core->services, g_hash_table_unref);
  target_table_destroy (&core->targets);
  g_clear_pointer (&core->routes, route_table_free);
  g_clear_pointer (&core->doc, config_doc_unref);
  g_clear_pointer (&core->placement, placement_free);
}
