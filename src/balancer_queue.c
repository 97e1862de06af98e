#include "balancer_internal.h"

#include <math.h>

/* A rank without an idempotent request within this time is ignored when the least urgent rank is
 * determined. */
#define RANK_WINDOW_US INT64_C (2000000)

/* Part of the time from goal to deadline by which a new request may miss its goal. A retry and a
 * waiting request only have to meet the deadline. */
#define MAX_ADMISSION_LATENESS 0.25

/* Mean deviations above the mean latency of its kind that a request is not expected to exceed when
 * this entry stops. Being cut off at its target is worse for a caller than a refusal. */
#define STOP_MARGIN_DEVIATIONS 3

/* Time constant of the exponential decay of arrival rates. */
#define ARRIVAL_DECAY_US 1000000.0

/* Time after which a caller is told to retry when no target is reachable; a pause that a target
 * asked for tells it exactly. */
#define NO_TARGET_RETRY_AFTER_US (G_USEC_PER_SEC / 2)

/* Returns the arrival rate at NOW_US, per second. */
static double
arrival_rate (const rank_arrivals_t *arrival, int64_t now_us)
{
  return arrival->per_second
         * exp (-(double)(now_us - arrival->last_arrival_us) / ARRIVAL_DECAY_US);
}

static void
record_arrival (balancer_t *b, int64_t now_us, uint32_t rank, bool idempotent)
{
  rank_arrivals_t *found = NULL;
  for (guint i = 0; i < b->arrivals->len && found == NULL; i++)
    {
      rank_arrivals_t *arrival = &g_array_index (b->arrivals, rank_arrivals_t, i);
      found = arrival->rank == rank ? arrival : NULL;
    }
  if (found == NULL)
    {
      rank_arrivals_t added = { rank, 0, now_us, now_us - RANK_WINDOW_US };
      g_array_append_val (b->arrivals, added);
      found = &g_array_index (b->arrivals, rank_arrivals_t, b->arrivals->len - 1);
    }
  found->per_second = arrival_rate (found, now_us) + G_USEC_PER_SEC / ARRIVAL_DECAY_US;
  found->last_arrival_us = now_us;
  if (idempotent)
    found->last_idempotent_us = now_us;
}

double
balancer_kind_rate (const kind_latency_t *kind, int64_t now_us)
{
  return kind->per_second * exp (-(double)(now_us - kind->last_arrival_us) / ARRIVAL_DECAY_US);
}

static void
record_kind_arrival (balancer_t *b, int64_t now_us, const balancer_request_t *request)
{
  kind_latency_t *kind = balancer_latency (b, request->kind);
  kind->per_second = balancer_kind_rate (kind, now_us) + G_USEC_PER_SEC / ARRIVAL_DECAY_US;
  kind->last_arrival_us = now_us;
  kind->rank = request->rank;
}

bool
balancer_has_idempotent_requests (const balancer_t *b, int64_t now_us)
{
  for (guint i = 0; i < b->arrivals->len; i++)
    {
      const rank_arrivals_t *arrival = &g_array_index (b->arrivals, rank_arrivals_t, i);
      if (now_us - arrival->last_idempotent_us < RANK_WINDOW_US)
        return true;
    }
  return false;
}

bool
balancer_is_least_urgent (const balancer_t *b, int64_t now_us, uint32_t rank)
{
  for (guint i = 0; i < b->arrivals->len; i++)
    {
      const rank_arrivals_t *arrival = &g_array_index (b->arrivals, rank_arrivals_t, i);
      if (arrival->rank > rank && now_us - arrival->last_idempotent_us < RANK_WINDOW_US)
        return false;
    }
  return true;
}

/* Returns the arrival rate of requests that are more urgent than RANK, per second. */
static double
urgent_rate (const balancer_t *b, int64_t now_us, uint32_t rank)
{
  double rate = 0;
  for (guint i = 0; i < b->arrivals->len; i++)
    {
      const rank_arrivals_t *arrival = &g_array_index (b->arrivals, rank_arrivals_t, i);
      if (arrival->rank < rank)
        rate += arrival_rate (arrival, now_us);
    }
  return rate;
}

void
balancer_submit (balancer_t *b, int64_t now_us, const balancer_request_t *request)
{
  tracked_request_t *tracked = g_new0 (tracked_request_t, 1);
  tracked->request = *request;
  tracked->state_since_us = now_us;
  record_arrival (b, now_us, request->rank, request->idempotent);
  if (b->options.overload_policy == BALANCER_OVERLOAD_VALUE)
    {
      record_kind_arrival (b, now_us, request);
      balancer_value_record_offered (b, now_us, request);
    }
  g_hash_table_insert (b->requests, &tracked->request.id, tracked);
  list_node_t *node = b->queue.head.prev;
  while (node != &b->queue.head
         && CONTAINER_OF (node, tracked_request_t, node)->request.rank > request->rank)
    node = node->prev;
  list_insert_before (node->next, &tracked->node);
  b->queued_count++;
}

typedef struct
{
  uint32_t target_count; /* available targets */
  uint32_t slots;        /* of the cell, minus one for each late request; at least 1 */
} capacity_t;

static capacity_t
compute_capacity (balancer_t *b, int64_t now_us)
{
  capacity_t capacity = { 0, 0 };
  uint32_t late_count = 0;
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const tracked_target_t *target = value;
      if (!balancer_is_available (target, now_us))
        continue;
      capacity.target_count++;
      if (target->setting.locality == BALANCER_LOCALITY_CELL)
        capacity.slots += target->setting.slots;
    }
  g_hash_table_iter_init (&iter, b->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    late_count += ((const tracked_request_t *)value)->counted_late;
  capacity.slots = capacity.slots > late_count ? capacity.slots - late_count : 1;
  return capacity;
}

int64_t
balancer_available_after_us (const balancer_t *b, int64_t now_us)
{
  int64_t first_us = INT64_MAX;
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const tracked_target_t *target = value;
      if (target->removed)
        continue;
      if (balancer_is_available (target, now_us))
        return 0;
      int64_t after_us = now_us < target->paused_until_us ? target->paused_until_us - now_us
                                                          : NO_TARGET_RETRY_AFTER_US;
      first_us = MIN (first_us, after_us);
    }
  return first_us < INT64_MAX ? first_us : NO_TARGET_RETRY_AFTER_US;
}

/* Returns the mean of the latency estimates of all kinds. */
static double
mean_service_time_us (balancer_t *b)
{
  GHashTableIter iter;
  gpointer value = NULL;
  double sum_us = 0;
  guint count = 0;
  g_hash_table_iter_init (&iter, b->kinds);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      sum_us += ((const kind_latency_t *)value)->mean_us;
      count++;
    }
  return count > 0 ? sum_us / count : (double)b->options.default_latency_us;
}

void
balancer_dequeue (balancer_t *b, tracked_request_t *tracked)
{
  list_remove (&tracked->node);
  b->queued_count--;
  b->deferred_count -= tracked->deferred;
  tracked->deferred = false;
}

bool
balancer_refuse (balancer_t *b, tracked_request_t *tracked, int64_t now_us,
                 balancer_verdict_t verdict, int64_t retry_after_us, balancer_decision_t *out)
{
  *out = (balancer_decision_t){
    .verdict = verdict,
    .request_id = tracked->request.id,
    .waited_us = now_us - tracked->state_since_us,
    .retry_after_us = MAX (retry_after_us, BALANCER_MIN_RETRY_AFTER_US),
  };
  balancer_dequeue (b, tracked);
  g_hash_table_remove (b->requests, &tracked->request.id);
  return true;
}

bool
balancer_ends_before_stop (balancer_t *b, const balancer_request_t *request, int64_t start_us)
{
  const kind_latency_t *latency = balancer_latency (b, request->kind);
  double latest_us = latency->mean_us + STOP_MARGIN_DEVIATIONS * latency->mean_deviation_us;
  const stop_plan_request_t planned = {
    .received_us = request->received_us,
    .deadline_us = request->deadline_us,
    .max_duration_us = latency->has_sample ? (int64_t)latest_us : STOP_PLAN_UNKNOWN_DURATION,
  };
  return stop_plan_may_send (&b->stop, &planned, start_us);
}

bool
balancer_refuse_for_stop (balancer_t *b, int64_t now_us, balancer_decision_t *out)
{
  if (!stop_plan_is_active (&b->stop))
    return false;
  LIST_FOREACH (&b->queue, node)
  {
    tracked_request_t *tracked = CONTAINER_OF (node, tracked_request_t, node);
    if (!balancer_ends_before_stop (b, &tracked->request, now_us))
      return balancer_refuse (b, tracked, now_us, BALANCER_REFUSE_STOPPING, 0, out);
  }
  return false;
}

bool
balancer_refuse_one (balancer_t *b, int64_t now_us, balancer_decision_t *out)
{
  capacity_t capacity = compute_capacity (b, now_us);
  double service_time_us = mean_service_time_us (b);
  double per_request_us = service_time_us / capacity.slots;
  /* The first request is estimated to wait half of the mean time between two freed slots. */
  double requests_ahead = 0.5;
  LIST_FOREACH_SAFE (&b->queue, node)
  {
    tracked_request_t *tracked = CONTAINER_OF (node, tracked_request_t, node);
    double mean_latency_us = balancer_latency (b, tracked->request.kind)->mean_us;
    double urgent_share
        = urgent_rate (b, now_us, tracked->request.rank) * per_request_us / G_USEC_PER_SEC;
    double capacity_share = MAX (1 - urgent_share, 1.0 / BALANCER_LESS_URGENT_INTERVAL);
    int64_t wait_us = (int64_t)(requests_ahead * per_request_us / capacity_share);
    int64_t latest_end_us = tracked->request.deadline_us;
    if (tracked->state_since_us == now_us && tracked->request.tried_count == 0
        && latest_end_us > tracked->request.goal_us)
      latest_end_us = tracked->request.goal_us
                      + (int64_t)(MAX_ADMISSION_LATENESS
                                  * (double)(latest_end_us - tracked->request.goal_us));
    requests_ahead += 1;
    if (capacity.target_count == 0)
      return balancer_refuse (b, tracked, now_us, BALANCER_REFUSE_NO_TARGET,
                              balancer_available_after_us (b, now_us), out);
    if (!balancer_ends_before_stop (b, &tracked->request, now_us + wait_us))
      return balancer_refuse (b, tracked, now_us, BALANCER_REFUSE_STOPPING, 0, out);
    if (now_us + wait_us + (int64_t)mean_latency_us > latest_end_us)
      return balancer_refuse (b, tracked, now_us, BALANCER_REFUSE_NO_TIME, wait_us, out);
  }
  return false;
}

tracked_request_t *
balancer_choose_request (balancer_t *b, int64_t now_us, bool *passes_less_urgent)
{
  list_node_t *first = list_first (&b->queue);
  if (first == NULL)
    return NULL;
  uint32_t rank = CONTAINER_OF (first, tracked_request_t, node)->request.rank;
  *passes_less_urgent = false;
  tracked_request_t *fallback = NULL;
  tracked_request_t *less_urgent = NULL;
  tracked_request_t *chosen = NULL;
  LIST_FOREACH_SAFE (&b->queue, node)
  {
    tracked_request_t *tracked = CONTAINER_OF (node, tracked_request_t, node);
    int64_t latency_us = (int64_t)balancer_latency (b, tracked->request.kind)->mean_us;
    if (tracked->request.rank != rank)
      {
        less_urgent = tracked;
        break;
      }
    if (chosen == NULL && now_us + latency_us <= tracked->request.goal_us)
      chosen = tracked;
    if (fallback == NULL)
      fallback = tracked;
  }
  if (less_urgent != NULL && b->consecutive_urgent_count + 1 >= BALANCER_LESS_URGENT_INTERVAL)
    return less_urgent;
  *passes_less_urgent = less_urgent != NULL;
  return chosen != NULL ? chosen : fallback;
}

void
balancer_cancel (balancer_t *b, uint64_t request_id)
{
  tracked_request_t *tracked = g_hash_table_lookup (b->requests, &request_id);
  if (tracked == NULL || tracked->target != NULL)
    return;
  balancer_dequeue (b, tracked);
  g_hash_table_remove (b->requests, &request_id);
}
