#pragma once

#include "balancer.h"

/* balancer_internal - types and functions that are shared by balancer.c (targets, evidence,
 * requests in flight), balancer_queue.c (arrivals, order, refusal), balancer_value.c (order and
 * refusal with BALANCER_OVERLOAD_VALUE) and balancer_place.c (choice of a target). */

/* Maximum number of other entries of the cell whose load is kept for a target. */
#define MAX_CELL_PEERS 24

typedef struct
{
  uint64_t peer; /* 0: unused element */
  uint32_t in_flight;
} peer_load_t;

typedef struct
{
  balancer_target_t setting;
  uint64_t id; /* key */
  bool removed;
  target_suspicion_t suspicion_estimate;
  uint32_t in_flight;             /* requests of this entry */
  int64_t unreachable_until_us;   /* end of the pause after a failed connection */
  unsigned connect_failure_count; /* consecutive */
  int64_t paused_until_us;        /* end of the pause that the target asked for */
  int64_t last_use_us; /* last dispatch, or report of another entry with requests in flight */
  peer_load_t peers[MAX_CELL_PEERS]; /* from the load reports of the other entries */
  uint32_t reported_load; /* requests of all entries, running and queued, as the target reports */
  int64_t reported_load_received_us;
  double unreported_evidence;       /* log-likelihood ratio since the last load report */
  uint32_t last_reported_in_flight; /* in the last load report of this entry */
  bool load_report_due;
} tracked_target_t;

typedef struct
{
  uint64_t kind; /* key */
  double mean_us;
  double mean_deviation_us;
  bool has_sample;
  uint32_t rank;     /* of its last request */
  double per_second; /* arrival rate at LAST_ARRIVAL_US, decays; for BALANCER_OVERLOAD_VALUE */
  int64_t last_arrival_us;
} kind_latency_t;

typedef struct
{
  uint32_t rank;
  double per_second; /* arrival rate at LAST_ARRIVAL_US, decays */
  int64_t last_arrival_us;
  int64_t last_idempotent_us; /* last arrival of an idempotent request */
} rank_arrivals_t;

/* A request, waiting or in flight. */
typedef struct
{
  list_node_t node; /* element of the queue while it waits */
  balancer_request_t request;
  int64_t state_since_us;   /* time of its arrival while it waits, of its dispatch afterwards */
  tracked_target_t *target; /* NULL while it waits */
  double late_deviations;   /* mean deviations above the mean latency after which it is late */
  double pending_evidence;  /* log-likelihood ratio added so far for the missing answer */
  bool counted_late;
  bool deferred; /* waits for a busy target although another has a free slot */
} tracked_request_t;

/* balancer */

/* Returns the latency estimate of KIND, which is created if necessary. */
kind_latency_t *balancer_latency (balancer_t *b, uint64_t kind);

/* Returns the suspicion of TARGET, 0 to 1. */
double balancer_target_suspicion (const balancer_t *b, const tracked_target_t *target,
                                  int64_t now_us);

/* Returns the number of requests of all entries at TARGET that this entry knows of. */
uint32_t balancer_busy_slots (const tracked_target_t *target, int64_t now_us);

/* Returns whether TARGET takes requests at all: not removed, reachable and not paused. */
bool balancer_is_available (const tracked_target_t *target, int64_t now_us);

/* Returns whether TARGET can take a request: available, and with a free slot. */
bool balancer_has_free_slot (const tracked_target_t *target, int64_t now_us);

/* balancer_queue */

/* Returns whether an idempotent request has arrived recently. */
bool balancer_has_idempotent_requests (const balancer_t *b, int64_t now_us);

/* Returns whether no idempotent request of a less urgent rank than RANK has arrived recently. */
bool balancer_is_least_urgent (const balancer_t *b, int64_t now_us, uint32_t rank);

/* Returns the arrival rate of KIND at NOW_US, per second. */
double balancer_kind_rate (const kind_latency_t *kind, int64_t now_us);

/* Removes TRACKED and stores its refusal in OUT. The caller is told to retry after RETRY_AFTER_US,
 * but not sooner than a lower bound. Always returns true. */
bool balancer_refuse (balancer_t *b, tracked_request_t *tracked, int64_t now_us,
                      balancer_verdict_t verdict, int64_t retry_after_us, balancer_decision_t *out);

/* Removes TRACKED from the queue. */
void balancer_dequeue (balancer_t *b, tracked_request_t *tracked);

/* Returns the request to dispatch next, or NULL for an empty queue. Stores in PASSES_LESS_URGENT
 * whether it is of the most urgent rank and a less urgent request waits. */
tracked_request_t *balancer_choose_request (balancer_t *b, int64_t now_us,
                                            bool *passes_less_urgent);

/* Refuses the first request in the queue that cannot be answered before this entry stops, even if
 * it is dispatched now, and stores the refusal in OUT. Returns whether there is one. */
bool balancer_refuse_for_stop (balancer_t *b, int64_t now_us, balancer_decision_t *out);

/* Refuses the first request in the queue that cannot be answered in time behind those ahead of it,
 * or the first of all if no target is reachable, and stores the refusal in OUT. Returns whether
 * there is one. */
bool balancer_refuse_one (balancer_t *b, int64_t now_us, balancer_decision_t *out);

/* balancer_value: like the functions of balancer_queue, by what requests are expected to earn */

void balancer_value_init (balancer_t *b);
void balancer_value_destroy (balancer_t *b);

/* Record that REQUEST arrives, and that TRACKED is dispatched. */
void balancer_value_record_offered (balancer_t *b, int64_t now_us,
                                    const balancer_request_t *request);
void balancer_value_record_dispatch (balancer_t *b, int64_t now_us,
                                     const tracked_request_t *tracked);

/* Are called at the begin of balancer_next(), and at its end if it makes no decision. They measure
 * how fast requests leave the queue. */
void balancer_value_begin (balancer_t *b, int64_t now_us);
void balancer_value_end (balancer_t *b, int64_t now_us);

/* Returns the request to dispatch next, or NULL if none waits or no slot is free. */
tracked_request_t *balancer_value_choose_request (balancer_t *b, int64_t now_us);

/* Refuses the first request, in the order of dispatch, that waits too long, and stores the refusal
 * in OUT. Returns whether there is one. */
bool balancer_value_refuse_one (balancer_t *b, int64_t now_us, balancer_decision_t *out);

/* balancer_place */

/* Returns whether REQUEST has already tried the target ID. */
bool balancer_was_tried (const balancer_request_t *request, uint64_t id);

/* Returns the target with a free slot and the lowest expected loss for REQUEST, or NULL. Targets
 * outside the cell are considered with the probability OUTSIDE_SHARE. */
tracked_target_t *balancer_choose_target (balancer_t *b, const balancer_request_t *request,
                                          int64_t now_us);

/* Returns the target to dispatch TRACKED to now, or NULL if it has to wait. Stores in TRACKED
 * whether it is deferred. */
tracked_target_t *balancer_place_request (balancer_t *b, tracked_request_t *tracked,
                                          int64_t now_us);

/* Returns a request that can be dispatched while FIRST is deferred, and stores its target in
 * TARGET; NULL if there is none. */
tracked_request_t *balancer_choose_other_request (balancer_t *b, const tracked_request_t *first,
                                                  int64_t now_us, tracked_target_t **target);
