#include "balancer.h"

#include <math.h>
#include <string.h>

#define LATE_LEAST_US 60000
#define LATENCY_GAIN 0.1
#define DEVIATION_SHARE 0.4

/* Targets that have just started take about twice the time. */
#define COLD_FACTOR 2.0

/* What another entry or the target says of its load is forgotten after this time. */
#define REPORT_LIFE_US 400000
#define MAX_PEERS 24

/* A target that nobody has used for this long is tried: what is known of it has aged, and its slots
 * are needed when others fail. At most one request in EXPLORE_EVERY of those that may be repeated
 * and are the most patient goes there, and none while the target very likely has a fault. The floor
 * of the platform asks for requests at 0.7 of the sound targets within 2 s, and a target counts as
 * sound 2 s after a failure of its own. */
#define EXPLORE_IDLE_US INT64_C (1500000)
#define EXPLORE_EVERY 2
#define EXPLORE_MOST_FAULT 0.8
/* A rank without a request for this long does not count as the most patient one. */
#define RANK_MEMORY_US INT64_C (2000000)

/* Part of a request's worth that is lost if its first target fails and it is sent again. */
#define REPEAT_LOSS 0.6

/* Weight of a refusal as evidence, in parts of that of a failure: nothing was lost by it. */
#define REFUSAL_SHARE 0.6

/* A request in flight is evidence from this many mean deviations above the mean on, and again each
 * time when the evidence has grown by EVIDENCE_STEP. */
#define OVERDUE_DEVIATIONS 0.5
#define EVIDENCE_STEP 0.7
/* Part of the evidence of a late request that its answer takes back. */
#define LATE_ANSWER_SHARE 0.5

/* A request waits for a proven target whose slots are busy, rather than to go to a free one at
 * which more than this part of its worth is at risk. The proven one must risk a third of that at
 * most. */
#define RISK_WORTH_WAITING 0.03
#define PROVEN_SHARE 0.33
/* Longest such wait, in mean times of its kind; its objective must stay in reach with twice that
 * time to spare for the answer. */
#define RISK_WAIT_SHARE 0.75
#define RISK_SPARE 2.0
/* Requests that are tried in place of those that wait for a proven target. */
#define MOST_PASSED_OVER 8

/* Change of the share that may leave the cell, when a target outside is busy or is not. */
#define SPILL_BACKOFF 0.6
#define SPILL_STEP 0.1
#define SPILL_LEAST 0.05

/* Pause after a failed connection, which doubles with each one in a row. */
#define DOWN_US INT64_C (250000)
#define DOWN_DOUBLINGS 3

/* Part of the time between objective and limit that a request may take by the estimate of its
 * arrival. */
#define PATIENCE 0.25

/* Time over which the rate of arrivals is taken. */
#define ARRIVAL_MEMORY_US 1000000.0

/* Shortest wait that a refused caller is told. */
#define LEAST_RETRY_US 50000

typedef struct
{
  uint64_t peer; /* 0: not used */
  uint32_t in_flight;
} peer_flight_t;

typedef struct
{
  balancer_target_t setting;
  uint64_t id; /* key */
  bool removed;
  target_belief_t belief;
  uint32_t in_flight;           /* of this entry */
  int64_t down_until_us;        /* took no connection */
  unsigned refused_connections; /* in a row */
  int64_t used_us;              /* last dispatch by this entry, or news of one by another */
  peer_flight_t peers[MAX_PEERS];
  uint32_t reported; /* requests of all entries, by the target itself */
  int64_t reported_us;
  double unshared; /* evidence that the other entries do not have */
  uint32_t shared_flight;
  bool share_due;
} target_t;

typedef struct
{
  uint64_t kind; /* key */
  double mean_us;
  double deviation_us;
  bool sampled;
} latency_t;

typedef struct
{
  uint32_t rank;
  double per_second; /* at time_us */
  int64_t time_us;
  int64_t repeatable_us; /* last request that may be repeated */
} arrival_t;

/* A request that waits or is in flight. */
typedef struct
{
  list_node_t node; /* in the queue */
  balancer_request_t request;
  int64_t since_us; /* arrival in the queue, or dispatch */
  target_t *target; /* NULL while it waits */
  double patience;  /* mean deviations after which it counts as late */
  double overdue;   /* evidence given so far for having no answer */
  bool counted_late;
  bool selective; /* waits although there is a free slot */
} flight_t;

void
balancer_init (balancer_t *b, const balancer_options_t *options, uint64_t seed)
{
  *b = (balancer_t){ .options = *options };
  rng_init (&b->rng, seed);
  b->targets = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  b->kinds = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  b->flights = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  b->arrivals = g_array_new (FALSE, FALSE, sizeof (arrival_t));
  list_init (&b->queue);
  fault_prior_init (&b->prior);
  b->spill = 1;
}

void
balancer_destroy (balancer_t *b)
{
  g_clear_pointer (&b->targets, g_hash_table_unref);
  g_clear_pointer (&b->kinds, g_hash_table_unref);
  g_clear_pointer (&b->flights, g_hash_table_unref);
  g_clear_pointer (&b->arrivals, g_array_unref);
}

const char *
balancer_verdict_name (balancer_verdict_t verdict)
{
  static const char *const names[] = { "dispatch", "no_time", "no_target" };
  return names[verdict];
}

static latency_t *
find_latency (balancer_t *b, uint64_t kind)
{
  latency_t *latency = g_hash_table_lookup (b->kinds, &kind);
  if (latency != NULL)
    return latency;
  latency = g_new0 (latency_t, 1);
  latency->kind = kind;
  latency->mean_us = (double)b->options.default_latency_us;
  latency->deviation_us = latency->mean_us * DEVIATION_SHARE;
  g_hash_table_insert (b->kinds, &latency->kind, latency);
  return latency;
}

static void
sample_latency (balancer_t *b, uint64_t kind, int64_t latency_us)
{
  latency_t *latency = find_latency (b, kind);
  double value = (double)latency_us;
  if (!latency->sampled)
    {
      latency->sampled = true;
      latency->mean_us = value;
      latency->deviation_us = value * DEVIATION_SHARE;
      return;
    }
  double error = value - latency->mean_us;
  latency->mean_us += LATENCY_GAIN * error;
  latency->deviation_us += LATENCY_GAIN * (fabs (error) - latency->deviation_us);
}

static int64_t
late_after_us (balancer_t *b, const flight_t *flight, const target_t *target, int64_t now_us)
{
  const latency_t *latency = find_latency (b, flight->request.kind);
  double late_us = latency->mean_us + flight->patience * latency->deviation_us;
  if (now_us < target->setting.warm_us)
    late_us *= COLD_FACTOR;
  return MAX ((int64_t)late_us, LATE_LEAST_US);
}

static double
suspicion_of (const balancer_t *b, const target_t *target, int64_t now_us)
{
  return target_belief_fault (&target->belief, &b->prior, now_us);
}

/* Takes over an outcome that this entry has seen. */
static void
add_evidence (balancer_t *b, target_t *target, int64_t now_us, double ratio)
{
  target_belief_add (&target->belief, &b->prior, now_us, ratio, true);
  target->unshared += ratio;
  target->share_due = true;
}

void
balancer_set_target (balancer_t *b, int64_t now_us, const balancer_target_t *setting)
{
  target_t *target = g_hash_table_lookup (b->targets, &setting->id);
  if (target == NULL)
    {
      target = g_new0 (target_t, 1);
      target->id = setting->id;
      target_belief_init (&target->belief, &b->prior, now_us);
      target->used_us = now_us;
      g_hash_table_insert (b->targets, &target->id, target);
    }
  target->setting = *setting;
  target->removed = false;
}

static void
free_if_unused (balancer_t *b, target_t *target)
{
  if (target->removed && target->in_flight == 0)
    g_hash_table_remove (b->targets, &target->id);
}

void
balancer_remove_target (balancer_t *b, uint64_t id)
{
  target_t *target = g_hash_table_lookup (b->targets, &id);
  if (target == NULL)
    return;
  target->removed = true;
  free_if_unused (b, target);
}

void
balancer_peer_share (balancer_t *b, int64_t now_us, uint64_t peer, const balancer_share_t *share)
{
  target_t *target = g_hash_table_lookup (b->targets, &share->target_id);
  peer_flight_t *free_place = NULL;
  if (target == NULL)
    return;
  if (share->in_flight > 0)
    target->used_us = now_us;
  if (share->evidence != 0)
    target_belief_add (&target->belief, &b->prior, now_us, share->evidence, false);
  for (size_t i = 0; i < MAX_PEERS; i++)
    {
      peer_flight_t *place = &target->peers[i];
      if (place->peer == peer)
        {
          place->in_flight = share->in_flight;
          return;
        }
      if (place->peer == 0 && free_place == NULL)
        free_place = place;
    }
  if (free_place != NULL)
    *free_place = (peer_flight_t){ peer, share->in_flight };
}

void
balancer_peer_gone (balancer_t *b, uint64_t peer)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      target_t *target = value;
      for (size_t i = 0; i < MAX_PEERS; i++)
        {
          if (target->peers[i].peer == peer)
            target->peers[i] = (peer_flight_t){ 0, 0 };
        }
    }
}

void
balancer_reported (balancer_t *b, int64_t now_us, uint64_t id, uint32_t busy)
{
  target_t *target = g_hash_table_lookup (b->targets, &id);
  if (target == NULL)
    return;
  target->reported = busy;
  target->reported_us = now_us;
  if (target->setting.tier == BALANCER_CELL)
    return;
  if (busy >= target->setting.slots)
    b->spill = MAX (b->spill * SPILL_BACKOFF, SPILL_LEAST);
  else
    b->spill = MIN (b->spill + SPILL_STEP, 1);
}

void
balancer_set_tier (balancer_t *b, uint64_t id, balancer_tier_t tier)
{
  target_t *target = g_hash_table_lookup (b->targets, &id);
  if (target != NULL)
    target->setting.tier = tier;
}

/* Requests that all entries have at the target, as far as this one knows. */
static uint32_t
busy_slots (const target_t *target, int64_t now_us)
{
  uint32_t busy = target->in_flight;
  for (size_t i = 0; i < MAX_PEERS; i++)
    busy += target->peers[i].in_flight;
  /* Entries of other cells are known from the target's own reports alone. */
  if (target->setting.tier != BALANCER_CELL && now_us - target->reported_us < REPORT_LIFE_US)
    busy = MAX (busy, target->reported);
  return busy;
}

static double
arrival_rate (const arrival_t *arrival, int64_t now_us)
{
  return arrival->per_second * exp (-(double)(now_us - arrival->time_us) / ARRIVAL_MEMORY_US);
}

static void
note_arrival (balancer_t *b, int64_t now_us, uint32_t rank, bool repeatable)
{
  arrival_t *known = NULL;
  for (guint i = 0; i < b->arrivals->len && known == NULL; i++)
    {
      arrival_t *arrival = &g_array_index (b->arrivals, arrival_t, i);
      known = arrival->rank == rank ? arrival : NULL;
    }
  if (known == NULL)
    {
      arrival_t fresh = { rank, 0, now_us, now_us - RANK_MEMORY_US };
      g_array_append_val (b->arrivals, fresh);
      known = &g_array_index (b->arrivals, arrival_t, b->arrivals->len - 1);
    }
  known->per_second = arrival_rate (known, now_us) + G_USEC_PER_SEC / ARRIVAL_MEMORY_US;
  known->time_us = now_us;
  if (repeatable)
    known->repeatable_us = now_us;
}

/* Returns whether no request of a lower rank may be repeated instead of one of RANK. */
static bool
is_most_patient (const balancer_t *b, int64_t now_us, uint32_t rank)
{
  for (guint i = 0; i < b->arrivals->len; i++)
    {
      const arrival_t *arrival = &g_array_index (b->arrivals, arrival_t, i);
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
      const arrival_t *arrival = &g_array_index (b->arrivals, arrival_t, i);
      if (arrival->rank < rank)
        rate += arrival_rate (arrival, now_us);
    }
  return rate;
}

void
balancer_submit (balancer_t *b, int64_t now_us, const balancer_request_t *request)
{
  flight_t *flight = g_new0 (flight_t, 1);
  flight->request = *request;
  flight->since_us = now_us;
  note_arrival (b, now_us, request->rank, request->idempotent);
  g_hash_table_insert (b->flights, &flight->request.id, flight);
  list_node_t *node = b->queue.head.prev;
  while (node != &b->queue.head && LIST_ENTRY (node, flight_t, node)->request.rank > request->rank)
    node = node->prev;
  list_insert_before (node->next, &flight->node);
  b->queued++;
}

static bool
was_tried (const balancer_request_t *request, uint64_t id)
{
  for (unsigned i = 0; i < MIN (request->tried_count, BALANCER_MAX_TRIED); i++)
    {
      if (request->tried[i] == id)
        return true;
    }
  return false;
}

/* Parts of a request's worth: the transfer to another domain, and the unknown load of a target that
 * other entries use. */
static const double tier_costs[] = {
  [BALANCER_CELL] = 0,
  [BALANCER_DOMAIN] = 0.06,
  [BALANCER_REMOTE] = 0.15,
};

/* Expected loss of sending a request there, in parts of its worth: a failure costs all of it unless
 * it can be repeated, another domain costs the transfer, a nearly full target some time. */
static double
cost_of (balancer_t *b, const target_t *target, const balancer_request_t *request, int64_t now_us,
         uint32_t busy)
{
  bool first = request->idempotent && request->tried_count == 0;
  double cost = suspicion_of (b, target, now_us) * (first ? REPEAT_LOSS : 1.0);
  cost += tier_costs[target->setting.tier];
  if (was_tried (request, target->id))
    cost += 1.0;
  if (now_us < target->setting.warm_us)
    cost += 0.08;
  cost += 0.05 * busy / MAX (target->setting.slots, 1);
  return cost + 0.02 * rng_unit (&b->rng);
}

static bool
has_room (const target_t *target, int64_t now_us)
{
  return !target->removed && now_us >= target->down_until_us
         && busy_slots (target, now_us) < target->setting.slots;
}

/* Returns the target with a free slot that has been idle for longest, if it is to be tried. */
static target_t *
find_idle_target (const balancer_t *b, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value = NULL;
  target_t *longest = NULL;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      target_t *target = value;
      if (target->setting.tier != BALANCER_CELL || now_us - target->used_us < EXPLORE_IDLE_US
          || !has_room (target, now_us) || suspicion_of (b, target, now_us) > EXPLORE_MOST_FAULT)
        continue;
      if (longest == NULL || target->used_us < longest->used_us)
        longest = target;
    }
  return longest;
}

/* Returns the target that REQUEST tries because it is idle, or NULL. */
static target_t *
explore (balancer_t *b, const balancer_request_t *request, int64_t now_us)
{
  if (!request->idempotent || request->tried_count > 0
      || !is_most_patient (b, now_us, request->rank))
    return NULL;
  if (++b->unexplored < EXPLORE_EVERY)
    return NULL;
  target_t *target = find_idle_target (b, now_us);
  if (target != NULL)
    b->unexplored = 0;
  return target;
}

/* Returns the best target with a free slot for REQUEST, or NULL. */
static target_t *
choose_target (balancer_t *b, const balancer_request_t *request, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value = NULL;
  target_t *best = NULL;
  double best_cost = 0;
  bool may_leave = b->spill >= 1 || rng_unit (&b->rng) < b->spill;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      target_t *target = value;
      if (!has_room (target, now_us) || (!may_leave && target->setting.tier != BALANCER_CELL))
        continue;
      double cost = cost_of (b, target, request, now_us, busy_slots (target, now_us));
      if (best == NULL || cost < best_cost)
        {
          best = target;
          best_cost = cost;
        }
    }
  return best;
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
      const target_t *target = value;
      if (target->removed || now_us < target->down_until_us)
        continue;
      capacity.targets++;
      if (target->setting.tier == BALANCER_CELL)
        capacity.slots += target->setting.slots;
    }
  g_hash_table_iter_init (&iter, b->flights);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    held += ((const flight_t *)value)->counted_late;
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
      sum_us += ((const latency_t *)value)->mean_us;
      count++;
    }
  return count > 0 ? sum_us / count : (double)b->options.default_latency_us;
}

static void
unqueue (balancer_t *b, flight_t *flight)
{
  list_remove (&flight->node);
  b->queued--;
  b->selective -= flight->selective;
  flight->selective = false;
}

static bool
refuse (balancer_t *b, flight_t *flight, int64_t now_us, balancer_verdict_t verdict,
        int64_t wait_us, balancer_decision_t *out)
{
  *out = (balancer_decision_t){
    .verdict = verdict,
    .request_id = flight->request.id,
    .waited_us = now_us - flight->since_us,
    .retry_after_us = MAX (wait_us, LEAST_RETRY_US),
  };
  unqueue (b, flight);
  g_hash_table_remove (b->flights, &flight->request.id);
  return true;
}

/* Refuses the first request in the queue that the ones before it leave no time. */
static bool
refuse_one (balancer_t *b, int64_t now_us, balancer_decision_t *out)
{
  capacity_t capacity = measure_capacity (b, now_us);
  double service_us = mean_service_us (b);
  double per_request_us = service_us / capacity.slots;
  double before = 0.5;
  LIST_FOREACH_SAFE (&b->queue, node)
  {
    flight_t *flight = LIST_ENTRY (node, flight_t, node);
    double own_us = find_latency (b, flight->request.kind)->mean_us;
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
static flight_t *
choose_request (balancer_t *b, int64_t now_us, bool *urgent)
{
  list_node_t *first = list_first (&b->queue);
  if (first == NULL)
    return NULL;
  uint32_t rank = LIST_ENTRY (first, flight_t, node)->request.rank;
  *urgent = false;
  flight_t *late = NULL;
  flight_t *lower = NULL;
  flight_t *chosen = NULL;
  LIST_FOREACH_SAFE (&b->queue, node)
  {
    flight_t *flight = LIST_ENTRY (node, flight_t, node);
    int64_t own_us = (int64_t)find_latency (b, flight->request.kind)->mean_us;
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

static void
dispatch (balancer_t *b, flight_t *flight, target_t *target, int64_t now_us,
          balancer_decision_t *out)
{
  double suspicion = suspicion_of (b, target, now_us);
  flight->patience = target_belief_patience (suspicion);
  *out = (balancer_decision_t){
    .verdict = BALANCER_DISPATCH,
    .request_id = flight->request.id,
    .target_id = target->id,
    .waited_us = now_us - flight->since_us,
    .expected_us = late_after_us (b, flight, target, now_us),
    .suspicion = suspicion,
  };
  unqueue (b, flight);
  flight->target = target;
  flight->since_us = now_us;
  target->in_flight++;
  target->used_us = now_us;
  target->share_due = true;
}

/* Part of the request's worth that is lost to a fault of the target. */
static double
risk_of (const balancer_t *b, const target_t *target, const balancer_request_t *request,
         int64_t now_us)
{
  bool first = request->idempotent && request->tried_count == 0;
  return suspicion_of (b, target, now_us) * BELIEF_FAULTY_FAILURES * (first ? REPEAT_LOSS : 1.0);
}

/* Returns whether a slot of a target with at most MOST_RISK is likely free soon. */
static bool
is_proven_target_busy (const balancer_t *b, const balancer_request_t *request, double most_risk,
                       int64_t now_us)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const target_t *target = value;
      if (!target->removed && now_us >= target->down_until_us
          && target->setting.tier == BALANCER_CELL && !has_room (target, now_us)
          && !was_tried (request, target->id) && risk_of (b, target, request, now_us) <= most_risk)
        return true;
    }
  return false;
}

/* Returns whether FLIGHT waits for a proven target although TARGET has a free slot. */
static bool
is_worth_waiting (balancer_t *b, const flight_t *flight, const target_t *target, int64_t now_us)
{
  const balancer_request_t *request = &flight->request;
  double own_us = find_latency (b, request->kind)->mean_us;
  double risk = risk_of (b, target, request, now_us);
  return risk > RISK_WORTH_WAITING && (double)(now_us - flight->since_us) < RISK_WAIT_SHARE * own_us
         && (double)(request->goal_us - now_us) > RISK_SPARE * own_us
         && is_proven_target_busy (b, request, PROVEN_SHARE * risk, now_us);
}

/* Returns the target that FLIGHT goes to now, or NULL if it waits. */
static target_t *
place (balancer_t *b, flight_t *flight, int64_t now_us)
{
  target_t *target = explore (b, &flight->request, now_us);
  if (target != NULL)
    return target;
  target = choose_target (b, &flight->request, now_us);
  bool selective = target != NULL && is_worth_waiting (b, flight, target, now_us);
  b->selective += selective - flight->selective;
  flight->selective = selective;
  return selective ? NULL : target;
}

/* Finds a request that is less particular than those before it. */
static flight_t *
pass_over (balancer_t *b, const flight_t *first, int64_t now_us, target_t **target)
{
  unsigned passed = 0;
  LIST_FOREACH_SAFE (&b->queue, node)
  {
    flight_t *flight = LIST_ENTRY (node, flight_t, node);
    if (flight == first)
      continue;
    *target = place (b, flight, now_us);
    if (*target != NULL)
      return flight;
    if (++passed >= MOST_PASSED_OVER)
      break;
  }
  return NULL;
}

bool
balancer_next (balancer_t *b, int64_t now_us, balancer_decision_t *out)
{
  bool urgent = false;
  flight_t *flight = choose_request (b, now_us, &urgent);
  if (flight == NULL)
    return false;
  target_t *target = place (b, flight, now_us);
  if (target == NULL && flight->selective)
    flight = pass_over (b, flight, now_us, &target);
  if (target == NULL)
    return refuse_one (b, now_us, out);
  dispatch (b, flight, target, now_us, out);
  b->urgent_in_a_row = urgent ? b->urgent_in_a_row + 1 : 0;
  return true;
}

static void
note_unreachable (target_t *target, int64_t now_us)
{
  unsigned doublings = MIN (target->refused_connections, DOWN_DOUBLINGS);
  target->refused_connections++;
  target->down_until_us = now_us + (DOWN_US << doublings);
}

bool
balancer_has_place (balancer_t *b, int64_t now_us, const balancer_request_t *request)
{
  const target_t *target = b->queued == b->selective ? choose_target (b, request, now_us) : NULL;
  return target != NULL && !was_tried (request, target->id);
}

void
balancer_done (balancer_t *b, int64_t now_us, uint64_t request_id, balancer_outcome_t outcome,
               int64_t latency_us)
{
  flight_t *flight = g_hash_table_lookup (b->flights, &request_id);
  if (flight == NULL || flight->target == NULL)
    return;
  target_t *target = flight->target;
  target->in_flight--;
  target->share_due = true;
  if (outcome == BALANCER_UNREACHABLE)
    note_unreachable (target, now_us);
  else
    target->refused_connections = 0;
  if (outcome == BALANCER_OK)
    {
      double share = flight->counted_late ? LATE_ANSWER_SHARE : 1;
      add_evidence (b, target, now_us, target_belief_success_ratio () - flight->overdue * share);
      if (now_us >= target->setting.warm_us)
        sample_latency (b, flight->request.kind, latency_us);
    }
  else if (outcome == BALANCER_FAILED || outcome == BALANCER_UNREACHABLE
           || (outcome == BALANCER_LATE && !flight->counted_late))
    add_evidence (b, target, now_us, target_belief_failure_ratio () - flight->overdue);
  else if (outcome == BALANCER_REFUSED)
    {
      /* With a slot that all entries of the cell think free, it is a fault rather than load. */
      if (target->setting.tier == BALANCER_CELL)
        add_evidence (b, target, now_us, REFUSAL_SHARE * target_belief_failure_ratio ());
      balancer_reported (b, now_us, target->id, MAX (target->setting.slots, target->reported));
    }
  g_hash_table_remove (b->flights, &request_id);
  free_if_unused (b, target);
}

void
balancer_cancel (balancer_t *b, uint64_t request_id)
{
  flight_t *flight = g_hash_table_lookup (b->flights, &request_id);
  if (flight == NULL || flight->target != NULL)
    return;
  unqueue (b, flight);
  g_hash_table_remove (b->flights, &request_id);
}

/* Gives what the time without an answer says of the target as evidence. */
static void
note_overdue (balancer_t *b, flight_t *flight, int64_t now_us)
{
  const latency_t *latency = find_latency (b, flight->request.kind);
  target_t *target = flight->target;
  double mean_us = latency->mean_us;
  if (now_us < target->setting.warm_us)
    mean_us *= COLD_FACTOR;
  int64_t age_us = now_us - flight->since_us;
  double deviations = ((double)age_us - mean_us) / MAX (latency->deviation_us, 1);
  bool late = age_us >= late_after_us (b, flight, target, now_us);
  /* A time that was never measured is good for the limit alone. */
  if (!late && (deviations < OVERDUE_DEVIATIONS || !latency->sampled))
    return;
  double evidence = target_belief_late_ratio (late ? flight->patience : deviations);
  if (!late && evidence - flight->overdue < EVIDENCE_STEP)
    return;
  flight->counted_late = late;
  add_evidence (b, target, now_us, evidence - flight->overdue);
  flight->overdue = evidence;
}

void
balancer_tick (balancer_t *b, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->flights);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      flight_t *flight = value;
      if (flight->target != NULL && !flight->counted_late)
        note_overdue (b, flight, now_us);
    }
}

void
balancer_take_shares (balancer_t *b, GArray *out)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      target_t *target = value;
      if (!target->share_due)
        continue;
      target->share_due = false;
      if (target->in_flight == target->shared_flight && target->unshared == 0)
        continue;
      balancer_share_t share = { target->id, target->in_flight, target->unshared };
      target->shared_flight = target->in_flight;
      target->unshared = 0;
      g_array_append_val (out, share);
    }
}

size_t
balancer_busy (const balancer_t *b)
{
  return g_hash_table_size (b->flights);
}

double
balancer_suspicion (const balancer_t *b, int64_t now_us, uint64_t id)
{
  const target_t *target = g_hash_table_lookup (b->targets, &id);
  return target != NULL ? suspicion_of (b, target, now_us) : 1.0;
}
