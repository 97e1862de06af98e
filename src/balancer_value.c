#include "balancer_internal.h"

#include <math.h>

#include "request_value.h"

/* A request is refused while it waits for a slot if its chance of an answer by the goal, in parts
 * of what it was on arrival, falls below MIN_ARRIVAL_CHANCE (new requests) or MIN_WAITING_CHANCE.
 * The second is lower, so that estimates that vary refuse on arrival rather than after a wait. */
#define MIN_ARRIVAL_CHANCE 0.75
#define MIN_WAITING_CHANCE 0.25
/* A request that will miss its goal stays if it is answered by its deadline with this probability,
 * from capacity that new requests of its rank and of more urgent ones leave. */
#define MIN_DEADLINE_CHANCE 0.8
/* Least part of the capacity that must be left to them. */
#define MIN_SPARE_SHARE 0.1
/* Less than this probability of an answer by the deadline is a refusal for lack of time. */
#define MIN_POSSIBLE_CHANCE 0.5
/* A team is above its share if its debt exceeds this many mean requests. */
#define MAX_DEBT_REQUESTS 2.0
/* A kind keeps its place if it is not served more often than a less urgent kind by this share. */
#define ORDER_MARGIN 0.03
/* Period in which the entries of the cell are counted, and in which waiting requests are checked
 * for a refusal; new requests are checked at once. */
#define FAIR_SLOTS_PERIOD_US 50000
#define REFUSAL_PERIOD_US 10000
/* Longest time after which a caller is told to retry. */
#define MAX_RETRY_AFTER_US INT64_C (2000000)
/* Time constants of the counts of requests by kind and by team. A team sends few requests to an
 * entry, so its share is counted for longer. */
#define KIND_DECAY_US 2000000.0
#define TEAM_DECAY_US 8000000.0
/* The order counts what refusing a request costs now, minus 1 - LATER_SHARE of what it costs this
 * many mean requests later. */
#define LATER_REQUESTS 2.0
#define LATER_SHARE 0.5
/* Time constant of the work that was dispatched while requests waited, and time for which the
 * estimate of an entry without such work counts. */
#define DRAIN_DECAY_US 1000000.0
#define EXPECTED_WEIGHT_US 50000.0
/* A retry takes as much as a first attempt, but a failed one ends the request. */
#define FIRST_FAILURE_LOSS 0.6

typedef struct
{
  tracked_request_t *tracked;
  request_value_t value; /* if it is dispatched now */
  double best_in_goal;   /* chance of an answer by the goal on arrival */
  double work_us;
  bool starved;     /* its kind or team is not served as often as guaranteed */
  bool late;        /* unlikely to meet the goal */
  bool above_share; /* its team was given more than its share */
  double index;     /* cost of serving it later, per microsecond of work; larger goes first */
  guint position;   /* in the queue */
} candidate_t;

/* What this entry can serve while requests wait. */
typedef struct
{
  double slots;        /* that work for this entry */
  double mean_work_us; /* of a request */
} own_capacity_t;

void
balancer_value_init (balancer_t *b)
{
  b->fair_slots_updated_us = -FAIR_SLOTS_PERIOD_US;
  fair_share_init (&b->kind_shares, KIND_DECAY_US);
  fair_share_init (&b->team_shares, TEAM_DECAY_US);
}

void
balancer_value_destroy (balancer_t *b)
{
  fair_share_destroy (&b->kind_shares);
  fair_share_destroy (&b->team_shares);
}

/* Returns the slots of the cell, divided by the entries that use them. */
static double
compute_fair_slots (const balancer_t *b, int64_t now_us)
{
  uint64_t peers[MAX_CELL_PEERS] = { 0 };
  size_t peer_count = 0;
  double slots = 0;
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const tracked_target_t *target = value;
      if (target->setting.locality != BALANCER_LOCALITY_CELL
          || !balancer_is_available (target, now_us))
        continue;
      slots += target->setting.slots;
      for (size_t i = 0; i < MAX_CELL_PEERS; i++)
        {
          const peer_load_t *load = &target->peers[i];
          size_t j = 0;
          while (j < peer_count && peers[j] != load->peer)
            j++;
          if (load->in_flight > 0 && j == peer_count && peer_count < MAX_CELL_PEERS)
            peers[peer_count++] = load->peer;
        }
    }
  return slots / (double)(peer_count + 1);
}

void
balancer_value_begin (balancer_t *b, int64_t now_us)
{
  if (b->backlog_since_us == 0)
    return;
  double factor = exp (-(double)(now_us - b->drain_updated_us) / DRAIN_DECAY_US);
  b->drain_updated_us = now_us;
  b->drained_work_us *= factor;
  b->backlog_us = b->backlog_us * factor + (double)(now_us - b->backlog_since_us);
  b->backlog_since_us = 0;
}

void
balancer_value_end (balancer_t *b, int64_t now_us)
{
  b->backlog_since_us = b->queued_count > b->deferred_count ? now_us : 0;
}

static own_capacity_t
estimate_capacity (balancer_t *b, int64_t now_us)
{
  own_capacity_t capacity = { 0, 0 };
  double late_count = 0;
  double in_flight = 0;
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const tracked_request_t *tracked = value;
      late_count += tracked->target != NULL && tracked->counted_late;
      in_flight += tracked->target != NULL && !tracked->counted_late;
      capacity.mean_work_us += balancer_latency (b, tracked->request.kind)->mean_us;
    }
  capacity.mean_work_us /= MAX (g_hash_table_size (b->requests), 1);
  if (now_us - b->fair_slots_updated_us >= FAIR_SLOTS_PERIOD_US)
    {
      b->fair_slots = compute_fair_slots (b, now_us);
      b->fair_slots_updated_us = now_us;
    }
  double expected = MAX (MAX (in_flight, b->fair_slots - late_count), 1);
  double factor = exp (-(double)(now_us - b->drain_updated_us) / DRAIN_DECAY_US);
  capacity.slots = (b->drained_work_us * factor + EXPECTED_WEIGHT_US * expected)
                   / (b->backlog_us * factor + EXPECTED_WEIGHT_US);
  return capacity;
}

/* Returns the slots that arriving requests of the ranks below RANK keep busy, and with INCLUSIVE
 * those of RANK as well. */
static double
offered_load (const balancer_t *b, int64_t now_us, uint32_t rank, bool inclusive)
{
  double slots = 0;
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->kinds);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const kind_latency_t *kind = value;
      if (kind->rank < rank || (inclusive && kind->rank == rank))
        slots += balancer_kind_rate (kind, now_us) * kind->mean_us / G_USEC_PER_SEC;
    }
  return slots;
}

static request_value_input_t
value_input (balancer_t *b, const balancer_request_t *request)
{
  const kind_latency_t *kind = balancer_latency (b, request->kind);
  double loss = request->idempotent && request->tried_count == 0 ? FIRST_FAILURE_LOSS : 1.0;
  return (request_value_input_t){
    .rank = request->rank,
    .received_us = request->received_us,
    .goal_us = request->goal_us,
    .deadline_us = request->deadline_us,
    .work_us = kind->mean_us,
    .work_deviation_us = kind->mean_deviation_us,
    .failure = b->prior.faulty_share * FAULTY_FAILURE_RATE * loss,
    .attempt_count = request->tried_count,
  };
}

/* Returns whether a less urgent kind is served nearly as often as the kind of REQUEST. */
static bool
is_order_at_risk (balancer_t *b, int64_t now_us, const balancer_request_t *request)
{
  double served = fair_share_served (&b->kind_shares, now_us, request->kind);
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->kinds);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const kind_latency_t *kind = value;
      if (kind->rank > request->rank
          && fair_share_served (&b->kind_shares, now_us, kind->kind) + ORDER_MARGIN > served)
        return true;
    }
  return false;
}

static candidate_t
make_candidate (balancer_t *b, tracked_request_t *tracked, int64_t now_us, double mean_work_us)
{
  const balancer_request_t *request = &tracked->request;
  request_value_input_t input = value_input (b, request);
  candidate_t candidate = { .tracked = tracked, .work_us = input.work_us };
  candidate.value = request_value_estimate (&input, now_us);
  candidate.best_in_goal = request_value_estimate (&input, tracked->state_since_us).in_goal;
  candidate.late = candidate.value.in_goal < MIN_WAITING_CHANCE * candidate.best_in_goal;
  if (request->team != 0)
    candidate.above_share = fair_share_debt (&b->team_shares, now_us, request->team)
                            > MAX_DEBT_REQUESTS * mean_work_us;
  if (candidate.late)
    candidate.late = !is_order_at_risk (b, now_us, request);
  double later_us = LATER_REQUESTS * mean_work_us;
  double later = request_value_estimate (&input, now_us + (int64_t)later_us).refusal_cost;
  candidate.index
      = (candidate.value.refusal_cost - (1 - LATER_SHARE) * later) / MAX (input.work_us, 1);
  return candidate;
}

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const candidate_t *x = a;
  const candidate_t *y = b;
  uint32_t x_rank = x->tracked->request.rank;
  uint32_t y_rank = y->tracked->request.rank;
  if (x->starved != y->starved)
    return x->starved ? -1 : 1;
  if (x->late != y->late)
    return x->late ? 1 : -1;
  if (x_rank != y_rank)
    return x_rank < y_rank ? -1 : 1;
  if (x->above_share != y->above_share)
    return x->above_share ? 1 : -1;
  if (x->index != y->index)
    return x->index > y->index ? -1 : 1;
  return x->position < y->position ? -1 : 1;
}

/* Marks the first request of the most starved kind or team. One at a time goes ahead of its turn,
 * so urgent requests wait for one dispatch at most. */
static void
mark_starved (balancer_t *b, GArray *candidates, int64_t now_us)
{
  candidate_t *most = NULL;
  double least_served = 1;
  for (guint i = 0; i < candidates->len; i++)
    {
      candidate_t *candidate = &g_array_index (candidates, candidate_t, i);
      const balancer_request_t *request = &candidate->tracked->request;
      double served = 1;
      if (candidate->late)
        continue;
      if (fair_share_is_starved (&b->kind_shares, now_us, request->kind))
        served = fair_share_served (&b->kind_shares, now_us, request->kind);
      if (request->team != 0 && fair_share_is_starved (&b->team_shares, now_us, request->team))
        served = MIN (served, fair_share_served (&b->team_shares, now_us, request->team));
      if (served >= least_served)
        continue;
      least_served = served;
      most = candidate;
    }
  if (most != NULL)
    most->starved = true;
}

/* Returns the waiting requests (candidate_t) in the order of dispatch. */
static GArray *
order_queue (balancer_t *b, int64_t now_us, const own_capacity_t *capacity)
{
  GArray *candidates = g_array_sized_new (FALSE, FALSE, sizeof (candidate_t), b->queued_count);
  LIST_FOREACH (&b->queue, node)
  {
    tracked_request_t *tracked = CONTAINER_OF (node, tracked_request_t, node);
    candidate_t candidate = make_candidate (b, tracked, now_us, capacity->mean_work_us);
    candidate.position = candidates->len;
    g_array_append_val (candidates, candidate);
  }
  mark_starved (b, candidates, now_us);
  g_array_sort (candidates, compare_candidates);
  return candidates;
}

static bool
is_any_slot_free (const balancer_t *b, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, b->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (balancer_has_free_slot (value, now_us))
        return true;
    }
  return false;
}

tracked_request_t *
balancer_value_choose_request (balancer_t *b, int64_t now_us)
{
  if (list_is_empty (&b->queue) || !is_any_slot_free (b, now_us))
    return NULL;
  own_capacity_t capacity = estimate_capacity (b, now_us);
  g_autoptr (GArray) candidates = order_queue (b, now_us, &capacity);
  return g_array_index (candidates, candidate_t, 0).tracked;
}

void
balancer_value_record_offered (balancer_t *b, int64_t now_us, const balancer_request_t *request)
{
  b->refusal_check_due = true;
  if (request->tried_count > 0)
    return;
  fair_share_record_offered (&b->kind_shares, now_us, request->kind);
  if (request->team != 0)
    fair_share_record_offered (&b->team_shares, now_us, request->team);
}

void
balancer_value_record_dispatch (balancer_t *b, int64_t now_us, const tracked_request_t *tracked)
{
  const balancer_request_t *request = &tracked->request;
  double work_us = balancer_latency (b, request->kind)->mean_us;
  if (now_us > tracked->state_since_us)
    b->drained_work_us += work_us;
  if (request->tried_count > 0)
    return;
  fair_share_record_served (&b->kind_shares, now_us, request->kind, work_us);
  if (request->team != 0)
    fair_share_record_served (&b->team_shares, now_us, request->team, work_us);
}

/* Returns the time after which a refused caller is told to retry. Each refusal books the next time
 * at which capacity is expected to be left, so callers return one after the other. */
static int64_t
book_return (balancer_t *b, int64_t now_us, int64_t wait_us, const own_capacity_t *capacity)
{
  double load = offered_load (b, now_us, UINT32_MAX, true) / capacity->slots;
  double interval_us = capacity->mean_work_us / capacity->slots / MAX (1 - load, MIN_SPARE_SHARE);
  int64_t return_us = MAX (now_us + wait_us, b->next_return_us);
  double spread = 0.75 + 0.5 * rng_uniform_double (&b->rng);
  if (return_us - now_us > MAX_RETRY_AFTER_US)
    return (int64_t)(0.5 * (1 + rng_uniform_double (&b->rng)) * (double)MAX_RETRY_AFTER_US);
  b->next_return_us = return_us + (int64_t)interval_us;
  return (int64_t)(spread * (double)(return_us - now_us));
}

/* Returns whether CANDIDATE, which misses its goal, is answered from the capacity that new requests
 * leave. AHEAD_US is the work ahead of it. */
static bool
fits_spare_capacity (balancer_t *b, const candidate_t *candidate, int64_t now_us, double ahead_us,
                     const own_capacity_t *capacity)
{
  const balancer_request_t *request = &candidate->tracked->request;
  double spare = 1 - offered_load (b, now_us, request->rank, true) / capacity->slots;
  request_value_input_t input = value_input (b, request);
  if (spare < MIN_SPARE_SHARE)
    return false;
  int64_t start_us = now_us + (int64_t)(ahead_us / capacity->slots / spare);
  return request_value_estimate (&input, start_us).in_deadline >= MIN_DEADLINE_CHANCE;
}

bool
balancer_value_refuse_one (balancer_t *b, int64_t now_us, balancer_decision_t *out)
{
  if (list_is_empty (&b->queue)
      || (!b->refusal_check_due && now_us - b->refusal_checked_us < REFUSAL_PERIOD_US))
    return false;
  own_capacity_t capacity = estimate_capacity (b, now_us);
  g_autoptr (GArray) candidates = order_queue (b, now_us, &capacity);
  int64_t available_us = balancer_available_after_us (b, now_us);
  double ahead_us = 0.5 * capacity.mean_work_us;
  for (guint i = 0; i < candidates->len; i++)
    {
      const candidate_t *candidate = &g_array_index (candidates, candidate_t, i);
      tracked_request_t *tracked = candidate->tracked;
      const balancer_request_t *request = &tracked->request;
      request_value_input_t input = value_input (b, request);
      double urgent = candidate->starved ? 0 : offered_load (b, now_us, request->rank, false);
      double share = MAX (1 - urgent / capacity.slots, 1.0 / BALANCER_LESS_URGENT_INTERVAL);
      int64_t wait_us = (int64_t)(ahead_us / capacity.slots / share);
      request_value_t value = request_value_estimate (&input, now_us + wait_us);
      bool is_new = tracked->state_since_us == now_us && request->tried_count == 0;
      double least = (is_new ? MIN_ARRIVAL_CHANCE : MIN_WAITING_CHANCE) * candidate->best_in_goal;
      if (available_us > 0)
        return balancer_refuse (b, tracked, now_us, BALANCER_REFUSE_NO_TARGET, available_us, out);
      if (!balancer_ends_before_stop (b, &tracked->request, now_us + wait_us))
        return balancer_refuse (b, tracked, now_us, BALANCER_REFUSE_STOPPING, 0, out);
      bool is_possible = value.in_deadline >= MIN_POSSIBLE_CHANCE;
      if (!(is_possible && value.in_goal >= least)
          && !fits_spare_capacity (b, candidate, now_us, ahead_us, &capacity))
        {
          balancer_verdict_t verdict = !is_possible ? BALANCER_REFUSE_NO_TIME
                                       : is_new     ? BALANCER_REFUSE_LOW_VALUE
                                                    : BALANCER_REFUSE_EVICTED;
          return balancer_refuse (b, tracked, now_us, verdict,
                                  book_return (b, now_us, wait_us, &capacity), out);
        }
      ahead_us += candidate->work_us;
    }
  b->refusal_check_due = false;
  b->refusal_checked_us = now_us;
  return false;
}
