#include "assigned_service.h"

typedef struct
{
  uint64_t id;
  uint32_t slots;
  double load;
  int64_t owned_since_us;
  bool ejected;
  health_attempt_t probe;
} service_target_t;

typedef struct
{
  uint64_t request_id;
  health_attempt_t attempt;
} service_attempt_t;

static health_options_t
health_options (const assigned_service_options_t *options)
{
  return (health_options_t){
    .sensitivity = options->sensitivity,
    .slow_start_us = options->slow_start_us,
  };
}

void
assigned_service_init (assigned_service_t *a, const assigned_service_options_t *options)
{
  *a = (assigned_service_t){ .options = *options };
  health_options_t health = health_options (options);
  scheduler_options_t scheduler = { .seed = options->seed };
  for (size_t i = 0; i < SCHEDULER_CLASS_COUNT; i++)
    scheduler.max_queued[i] = options->max_queued[i];

  health_init (&a->health, &health);
  ejector_init (&a->ejector);
  scheduler_init (&a->scheduler, &scheduler);
  a->targets = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  a->attempts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  a->peers = g_array_new (FALSE, TRUE, sizeof (ejector_peer_t));
  a->verdicts = g_array_new (FALSE, TRUE, sizeof (health_verdict_t));
  a->ejector_targets = g_array_new (FALSE, TRUE, sizeof (ejector_target_t));
  g_queue_init (&a->actions);
}

void
assigned_service_destroy (assigned_service_t *a)
{
  health_destroy (&a->health);
  scheduler_destroy (&a->scheduler);
  g_hash_table_destroy (a->attempts);
  g_hash_table_destroy (a->targets);
  g_array_free (a->peers, TRUE);
  g_array_free (a->verdicts, TRUE);
  g_array_free (a->ejector_targets, TRUE);
  g_queue_clear_full (&a->actions, g_free);
}

static service_target_t *
find_target (const assigned_service_t *a, uint64_t target_id)
{
  return g_hash_table_lookup (a->targets, &target_id);
}

static void
add_action (assigned_service_t *a, service_action_kind_t kind, uint64_t target_id, double badness)
{
  service_action_t *action = g_new0 (service_action_t, 1);
  *action = (service_action_t){ .kind = kind, .target_id = target_id, .badness = badness };
  g_queue_push_tail (&a->actions, action);
}

bool
assigned_service_next_action (assigned_service_t *a, service_action_t *out)
{
  service_action_t *action = g_queue_pop_head (&a->actions);
  if (action == NULL)
    return false;
  *out = *action;
  g_free (action);
  return true;
}

static void
set_tier (assigned_service_t *a, const service_target_t *target, target_tier_t tier, double weight)
{
  target_setting_t setting = {
    .id = target->id,
    .slots = target->slots,
    .tier = tier,
    .weight = weight,
    .load = target->load,
  };
  scheduler_set_target (&a->scheduler, &setting);
}

static target_tier_t
tier_of (const health_verdict_t *verdict, bool ejected)
{
  if (ejected)
    return TARGET_OUT_OF_SERVICE;
  bool normal = verdict->state == HEALTH_STATE_SERVING
                || (verdict->state == HEALTH_STATE_EJECTED && !verdict->wants_ejection);
  return normal ? TARGET_NORMAL : TARGET_LAST_RESORT;
}

static void
collect_ejector_targets (assigned_service_t *a, size_t count)
{
  g_array_set_size (a->ejector_targets, 0);
  for (size_t i = 0; i < count; i++)
    {
      const health_verdict_t *verdict = &g_array_index (a->verdicts, health_verdict_t, i);
      const service_target_t *target = find_target (a, verdict->target_id);
      ejector_target_t ejector_target = {
        .id = target->id,
        .slots = target->slots,
        .owned_since_us = target->owned_since_us,
        .wants_ejection = verdict->wants_ejection,
        .badness = verdict->badness,
        .ejected = target->ejected,
      };
      g_array_append_val (a->ejector_targets, ejector_target);
    }
}

static void
apply_ejections (assigned_service_t *a, int64_t now_us)
{
  for (guint i = 0; i < a->ejector_targets->len; i++)
    {
      const ejector_target_t *target = &g_array_index (a->ejector_targets, ejector_target_t, i);
      if (target->action == EJECTOR_NO_CHANGE)
        continue;
      find_target (a, target->id)->ejected = target->ejected;
      health_set_ejected (&a->health, now_us, target->id, target->ejected);
      add_action (a, target->ejected ? SERVICE_ACTION_EJECTED : SERVICE_ACTION_READMITTED,
                  target->id, target->badness);
    }
}

static void
apply_verdict (assigned_service_t *a, int64_t now_us, const health_verdict_t *verdict)
{
  service_target_t *target = find_target (a, verdict->target_id);

  set_tier (a, target, tier_of (verdict, target->ejected), verdict->weight);
  if (verdict->probe_due)
    {
      health_begin (&a->health, now_us, target->id, &target->probe, true);
      add_action (a, SERVICE_ACTION_PROBE, target->id, verdict->badness);
    }
  if (verdict->peer_probe_due)
    add_action (a, SERVICE_ACTION_REQUEST_PEER_PROBE, target->id, verdict->badness);
}

void
assigned_service_tick (assigned_service_t *a, int64_t now_us)
{
  guint max = g_hash_table_size (a->targets);

  g_array_set_size (a->verdicts, max);
  health_verdict_t *verdicts = (health_verdict_t *)(void *)a->verdicts->data;
  size_t count = health_verdicts (&a->health, now_us, verdicts, max);
  collect_ejector_targets (a, count);
  ejector_input_t input = {
    .floor_slots = a->options.floor_slots,
    .targets = (ejector_target_t *)(void *)a->ejector_targets->data,
    .target_count = a->ejector_targets->len,
    .peers = (ejector_peer_t *)(void *)a->peers->data,
    .peer_count = a->peers->len,
  };
  a->last_ejector_result = ejector_update (&a->ejector, now_us, &input);
  apply_ejections (a, now_us);
  for (size_t i = 0; i < count; i++)
    apply_verdict (a, now_us, &verdicts[i]);
}

void
assigned_service_configure (assigned_service_t *a, int64_t now_us,
                            const assigned_service_options_t *options)
{
  health_options_t health = health_options (options);

  a->options = *options;
  health_configure (&a->health, &health);
  assigned_service_tick (a, now_us);
}

void
assigned_service_set_target (assigned_service_t *a, int64_t now_us, uint64_t target_id,
                             uint32_t slots, double load)
{
  service_target_t *target = find_target (a, target_id);

  if (target != NULL && target->slots == slots && target->load == load)
    return;
  if (target == NULL)
    {
      target = g_new0 (service_target_t, 1);
      target->id = target_id;
      target->owned_since_us = now_us;
      g_hash_table_insert (a->targets, &target->id, target);
      health_add_target (&a->health, now_us, target_id);
    }
  target->slots = slots;
  target->load = load;
  assigned_service_tick (a, now_us);
}

void
assigned_service_remove_target (assigned_service_t *a, int64_t now_us, uint64_t target_id)
{
  if (find_target (a, target_id) == NULL)
    return;
  health_remove_target (&a->health, target_id);
  scheduler_remove_target (&a->scheduler, target_id);
  g_hash_table_remove (a->targets, &target_id);
  assigned_service_tick (a, now_us);
}

static void
set_ejector_peer (assigned_service_t *a, const ejector_peer_t *peer)
{
  for (guint i = 0; i < a->peers->len; i++)
    {
      ejector_peer_t *known = &g_array_index (a->peers, ejector_peer_t, i);
      if (known->entry_id != peer->entry_id)
        continue;
      if (peer->summary_sent_us >= known->summary_sent_us)
        *known = *peer;
      return;
    }
  g_array_append_val (a->peers, *peer);
}

void
assigned_service_set_peer (assigned_service_t *a, int64_t now_us, const service_summary_t *summary,
                           int64_t distance_us)
{
  ejector_peer_t ejector_peer = {
    .entry_id = summary->entry_id,
    .summary_sent_us = summary->summary_sent_us,
    .settled_slots = summary->settled_slots,
  };
  health_peer_t health_peer = {
    .entry_id = summary->entry_id,
    .summary_sent_us = summary->summary_sent_us,
    .measured_target_count = summary->measured_target_count,
    .median_latency_us = summary->median_latency_us,
    .failure_rate = summary->failure_rate,
  };
  spillover_peer_t spillover_peer = {
    .entry_id = summary->entry_id,
    .summary_sent_us = summary->summary_sent_us,
    .distance_us = distance_us,
    .slots = summary->slots,
    .free_slots = summary->free_slots,
  };
  for (size_t i = 0; i < SCHEDULER_CLASS_COUNT; i++)
    spillover_peer.wait_us[i] = summary->wait_us[i];

  set_ejector_peer (a, &ejector_peer);
  health_set_peer (&a->health, &health_peer);
  scheduler_set_peer (&a->scheduler, &spillover_peer);
  assigned_service_tick (a, now_us);
}

void
assigned_service_remove_peer (assigned_service_t *a, int64_t now_us, uint64_t entry_id)
{
  for (guint i = 0; i < a->peers->len; i++)
    {
      if (g_array_index (a->peers, ejector_peer_t, i).entry_id == entry_id)
        g_array_remove_index_fast (a->peers, i--);
    }
  health_remove_peer (&a->health, entry_id);
  scheduler_remove_peer (&a->scheduler, entry_id);
  assigned_service_tick (a, now_us);
}

void
assigned_service_summary (assigned_service_t *a, int64_t now_us, service_summary_t *out)
{
  scheduler_summary_t queue;
  health_peer_t health;

  scheduler_summary (&a->scheduler, now_us, &queue);
  health_summary (&a->health, now_us, &health);
  *out = (service_summary_t){
    .summary_sent_us = now_us,
    .own_slots = a->last_ejector_result.own_slots,
    .settled_slots = a->last_ejector_result.settled_slots,
    .ejected_slots = a->last_ejector_result.ejected_slots,
    .slots = queue.slots,
    .free_slots = queue.free_slots,
    .measured_target_count = health.measured_target_count,
    .median_latency_us = health.median_latency_us,
    .failure_rate = health.failure_rate,
  };
  for (size_t i = 0; i < SCHEDULER_CLASS_COUNT; i++)
    out->wait_us[i] = queue.wait_us[i];
}

scheduler_submit_result_t
assigned_service_submit (assigned_service_t *a, int64_t now_us, const scheduler_request_t *request)
{
  return scheduler_submit (&a->scheduler, now_us, request);
}

bool
assigned_service_next (assigned_service_t *a, int64_t now_us, scheduler_next_result_t *out)
{
  if (!scheduler_next (&a->scheduler, now_us, out))
    return false;
  if (out->refused)
    return true;
  service_attempt_t *attempt = g_new0 (service_attempt_t, 1);
  attempt->request_id = out->request_id;
  health_begin (&a->health, now_us, out->target_id, &attempt->attempt, false);
  g_hash_table_insert (a->attempts, &attempt->request_id, attempt);
  return true;
}

static scheduler_outcome_kind_t
scheduler_outcome_kind (health_result_t result)
{
  switch (result)
    {
    case HEALTH_OK:
      return SCHEDULER_DONE_OK;
    case HEALTH_SHED:
      return SCHEDULER_DONE_SHED;
    case HEALTH_SILENT_CONNECTION:
    case HEALTH_ABANDONED:
      return SCHEDULER_DONE_ABANDONED;
    default:
      return SCHEDULER_DONE_FAILED;
    }
}

void
assigned_service_done (assigned_service_t *a, int64_t now_us, uint64_t request_id,
                       health_result_t result)
{
  service_attempt_t *attempt = g_hash_table_lookup (a->attempts, &request_id);

  if (attempt == NULL)
    return;
  scheduler_outcome_t outcome = {
    .kind = scheduler_outcome_kind (result),
    .latency_us = now_us - attempt->attempt.started_us,
  };
  health_finish (&a->health, now_us, &attempt->attempt, result);
  scheduler_done (&a->scheduler, now_us, request_id, &outcome);
  g_hash_table_remove (a->attempts, &request_id);
  if (health_changed (&a->health))
    assigned_service_tick (a, now_us);
}

scheduler_cancel_t
assigned_service_cancel (assigned_service_t *a, uint64_t request_id)
{
  return scheduler_cancel (&a->scheduler, request_id);
}

void
assigned_service_probe_done (assigned_service_t *a, int64_t now_us, uint64_t target_id,
                             health_result_t result)
{
  service_target_t *target = find_target (a, target_id);

  if (target == NULL)
    return;
  health_finish (&a->health, now_us, &target->probe, result);
  if (health_changed (&a->health))
    assigned_service_tick (a, now_us);
}

void
assigned_service_peer_probe_done (assigned_service_t *a, int64_t now_us, uint64_t target_id,
                                  const health_peer_probe_t *result)
{
  health_peer_probe_done (&a->health, now_us, target_id, result);
  assigned_service_tick (a, now_us);
}
