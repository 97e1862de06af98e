#pragma once

#include "balancer.h"

/* balancer_internal - what the parts of balancer share: balancer (targets, evidence, requests in
 * flight), balancer_queue (arrivals, order, refusal) and balancer_place (choice of a target). */

/* Entries of a cell that tell each other their loads. */
#define MAX_PEERS 24

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
} tracked_target_t;

typedef struct
{
  uint64_t kind; /* key */
  double mean_us;
  double deviation_us;
  bool sampled;
} kind_latency_t;

typedef struct
{
  uint32_t rank;
  double per_second; /* at time_us */
  int64_t time_us;
  int64_t repeatable_us; /* last request that may be repeated */
} rank_arrivals_t;

/* A request that waits or is in flight. */
typedef struct
{
  list_node_t node; /* in the queue */
  balancer_request_t request;
  int64_t since_us;         /* arrival in the queue, or dispatch */
  tracked_target_t *target; /* NULL while it waits */
  double patience;          /* mean deviations after which it counts as late */
  double overdue;           /* evidence given so far for having no answer */
  bool counted_late;
  bool selective; /* waits although there is a free slot */
} tracked_request_t;

/* balancer */

kind_latency_t *balancer_latency (balancer_t *b, uint64_t kind);

/* Probability that TARGET has a fault. */
double balancer_target_fault (const balancer_t *b, const tracked_target_t *target, int64_t now_us);

/* Requests that all entries have at TARGET, as far as this one knows. */
uint32_t balancer_busy_slots (const tracked_target_t *target, int64_t now_us);
bool balancer_has_room (const tracked_target_t *target, int64_t now_us);

/* balancer_queue */

/* Returns whether no request of a lower rank may be repeated instead of one of RANK. */
bool balancer_is_most_patient (const balancer_t *b, int64_t now_us, uint32_t rank);

/* Takes FLIGHT out of the queue. */
void balancer_unqueue (balancer_t *b, tracked_request_t *flight);

/* Returns the request to dispatch next, or NULL. URGENT tells whether one of a lower rank waits
 * behind it. */
tracked_request_t *balancer_choose_request (balancer_t *b, int64_t now_us, bool *urgent);

/* Refuses the first request in the queue that the ones before it leave no time. Returns whether
 * there is one. */
bool balancer_refuse_one (balancer_t *b, int64_t now_us, balancer_decision_t *out);

/* balancer_place */

bool balancer_was_tried (const balancer_request_t *request, uint64_t id);

/* Returns the best target with a free slot for REQUEST, or NULL. */
tracked_target_t *balancer_choose_target (balancer_t *b, const balancer_request_t *request,
                                          int64_t now_us);

/* Returns the target that FLIGHT goes to now, or NULL if it waits. */
tracked_target_t *balancer_place (balancer_t *b, tracked_request_t *flight, int64_t now_us);

/* Finds a request in the queue that is less particular than FIRST, which waits, and its TARGET;
 * NULL without one. */
tracked_request_t *balancer_pass_over (balancer_t *b, const tracked_request_t *first,
                                       int64_t now_us, tracked_target_t **target);
