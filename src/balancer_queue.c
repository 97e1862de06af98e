#include "balancer_internal.h"

#include <math.h>

/* A rank without a request for this long does not count as the most patient one. */
#define RANK_MEMORY_US INT64_C (2000000)

/* Part of the time between objective and limit that a request may take by the estimate of its
 * arrival. */
#define PATIENCE 0.25

/* Time over which the rate of arrivals is taken. */
#define ARRIVAL_MEMORY_US 1000000.0

/* Shortest wait that a refused caller is told. */
#define LEAST_RETRY_US 50000

static double
arrival_rate (const rank_arrivals_t *arrival, int64_t now_us)
{
  return arrival->per_second * exp (-(double)(now_us - arrival->time_us) / ARRIVAL_MEMORY_US);
}

static void
note_arrival (balancer_t *b, int64_t now_us, uint32_t rank, bool repeatable)
{
  rank_arrivals_t *known = NULL;
  for (guint i = 0; i < b->arrivals->len && known == NULL; i++)
    {
      rank_arrivals_t *arrival = &g_array_index (b->arrivals, rank_arrivals_t, i);
      known = arrival->rank == rank ? arrival : NULL;
    }
  if (known == NULL)
    {
      rank_arrivals_t fresh = { rank, 0, now_us, now_us - RANK_MEMORY_US };
      g_array_append_val (b->arrivals, fresh);
      known = &g_array_index (b->arrivals, rank_arrivals_t, b->arrivals->len - 1);
    }
  known->per_second = arrival_rate (known, now_us) + G_USEC_PER_SEC / ARRIVAL_MEMORY_US;
  known->time_us = now_us;
  if (repeatable)
    known->repeatable_us = now_us;
}

/* Returns whether no request of a lower rank may be repeated instead of one of RANK. */
bool
balancer_is_most_patient (const balancer_t *b, int64_t now_us, uint32_t rank)
{
  for (guint i = 0; i < b->arrivals->len; i++)
    {
      const rank_arrivals_t *arrival = &g_array_index (b->arrivals, rank_arrivals_t, i);
      if (arrival->rank > rank && now_us - arrival->repeatable_us < RANK_MEMORY_US)
        return false;
    }
  return true;
}

/* Requests per second that are more urgent than RANK. */
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
  tracked_request_t *flight = g_new0 (tracked_request_t, 1);
  flight->request = *request;
  flight->since_us = now_us;
  note_arrival (b, now_us, request->rank, request->idempotent);
  g_hash_table_insert (b->flights, &flight->request.id, flight);
  list_node_t *node = b->queue.head.prev;
  while (node != &b->queue.head
         && LIST_ENTRY (node, tracked_request_t, node)->request.rank > request->rank)
    node = node->prev;
  list_insert_before (node->next, &flight->node);
  b->queued++;
}

typedef struct
{
  uint32_t targets;
  uint32_t slots; /* of the cell, without those that a late request holds */
} capacity_t;

static capacity_t
measure_capacity (balancer_t *b, int64_t now_us)
{
  capacity_t capacity = { 0, 0 };
  uint32_t held = 0;
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const tracked_target_t *target = value;
      if (target->removed || now_us < target->down_until_us)
        continue;
      capacity.targets++;
      if (target->setting.tier == BALANCER_CELL)
        capacity.slots += target->setting.slots;
    }
  g_hash_table_iter_init (&iter, b->flights);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    held += ((const tracked_request_t *)value)->counted_late;
  capacity.slots = capacity.slots > held ? capacity.slots - held : 1;
  return capacity;
}

static double
mean_service_us (balancer_t *b)
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
balancer_unqueue (balancer_t *b, tracked_request_t *flight)
{
  list_remove (&flight->node);
  b->queued--;
  b->selective -= flight->selective;
  flight->selective = false;
}

static bool
refuse (balancer_t *b, tracked_request_t *flight, int64_t now_us, balancer_verdict_t verdict,
        int64_t wait_us, balancer_decision_t *out)
{
  *out = (balancer_decision_t){
    .verdict = verdict,
    .request_id = flight->request.id,
    .waited_us = now_us - flight->since_us,
    .retry_after_us = MAX (wait_us, LEAST_RETRY_US),
  };
  balancer_unqueue (b, flight);
  g_hash_table_remove (b->flights, &flight->request.id);
  return true;
}

/* Refuses the first request in the queue that the ones before it leave no time. */
bool
balancer_refuse_one (balancer_t *b, int64_t now_us, balancer_decision_t *out)
{
  capacity_t capacity = measure_capacity (b, now_us);
  double service_us = mean_service_us (b);
  double per_request_us = service_us / capacity.slots;
  double before = 0.5;
  LIST_FOREACH_SAFE (&b->queue, node)
  {
    tracked_request_t *flight = LIST_ENTRY (node, tracked_request_t, node);
    double own_us = balancer_latency (b, flight->request.kind)->mean_us;
    double urgent = urgent_rate (b, now_us, flight->request.rank) * per_request_us / G_USEC_PER_SEC;
    double share = MAX (1 - urgent, 1.0 / BALANCER_LOW_SHARE);
    int64_t wait_us = (int64_t)(before * per_request_us / share);
    int64_t end_us = flight->request.limit_us;
    if (flight->since_us == now_us && flight->request.tried_count == 0
        && end_us > flight->request.goal_us)
      end_us = flight->request.goal_us
               + (int64_t)(PATIENCE * (double)(end_us - flight->request.goal_us));
    before += 1;
    if (capacity.targets == 0)
      return refuse (b, flight, now_us, BALANCER_REFUSE_NO_TARGET, G_USEC_PER_SEC / 2, out);
    if (now_us + wait_us + (int64_t)own_us > end_us)
      return refuse (b, flight, now_us, BALANCER_REFUSE_NO_TIME, wait_us, out);
  }
  return false;
}

/* Returns the request to dispatch next. URGENT tells whether one of a lower rank waits behind it.
 */
tracked_request_t *
balancer_choose_request (balancer_t *b, int64_t now_us, bool *urgent)
{
  list_node_t *first = list_first (&b->queue);
  if (first == NULL)
    return NULL;
  uint32_t rank = LIST_ENTRY (first, tracked_request_t, node)->request.rank;
  *urgent = false;
  tracked_request_t *late = NULL;
  tracked_request_t *lower = NULL;
  tracked_request_t *chosen = NULL;
  LIST_FOREACH_SAFE (&b->queue, node)
  {
    tracked_request_t *flight = LIST_ENTRY (node, tracked_request_t, node);
    int64_t own_us = (int64_t)balancer_latency (b, flight->request.kind)->mean_us;
    if (flight->request.rank != rank)
      {
        lower = flight;
        break;
      }
    if (chosen == NULL && now_us + own_us <= flight->request.goal_us)
      chosen = flight;
    if (late == NULL)
      late = flight;
  }
  if (lower != NULL && b->urgent_in_a_row + 1 >= BALANCER_LOW_SHARE)
    return lower;
  *urgent = lower != NULL;
  return chosen != NULL ? chosen : late;
}

void
balancer_cancel (balancer_t *b, uint64_t request_id)
{
  tracked_request_t *flight = g_hash_table_lookup (b->flights, &request_id);
  if (flight == NULL || flight->target != NULL)
    return;
  balancer_unqueue (b, flight);
  g_hash_table_remove (b->flights, &request_id);
}
