#pragma once

#include "balancer.h"
#include "feed_client.h"
#include "gateway_quota.h"
#include "http_dialect.h"
#include "retry_budget.h"
#include "route_table.h"
#include "route_split.h"
#include "upstream_pool.h"

/* gateway_core - state of an entry in a fleet with control instances: configuration, targets and
 * services.
 *
 * Configuration and targets come from the feed of a control instance. The active entries of a cell
 * send each other load reports: for each target the requests in flight and the evidence for a
 * fault. Reports go out at the end of each iteration of the main loop that changed either for a
 * target. */

typedef struct gateway_service gateway_service_t;
typedef struct gateway_waiter gateway_waiter_t;

/* A request in the queue of a service. gateway_policy implements it. */
struct gateway_waiter
{
  uint64_t id; /* set by gateway_core_submit() */
  /* Reports a dispatch or a refusal. TARGET is NULL for a refusal, and if the target has been
   * removed since the decision. */
  void (*on_decision) (gateway_waiter_t *waiter, const balancer_decision_t *decision,
                       const registry_target_t *target);
};

struct gateway_service
{
  char *name; /* key in gateway_core_t.services */
  balancer_t balancer;
  retry_budget_t budget;
  GHashTable *waiters; /* request id -> gateway_waiter_t */
  /* Decisions are being delivered. A nested delivery leaves new ones to the outer one. */
  bool pumping;
};

typedef struct
{
  io_loop_t *loop;
  peer_network_t *network;
  metric_registry_t *counters;
  rng_t *rng;
  const char *domain;         /* failure domain of this entry */
  const char *caller_address; /* address for callers, as reported to the control instances */
  double capacity;            /* requests per second that this entry can carry */
  const GPtrArray *seeds;     /* char *, peer addresses of control instances */
  double retry_share;         /* retries per first attempt at this entry, 0 to 1 */
  double min_retry_rate;      /* retries per second that are always allowed */
  int64_t default_latency_us; /* expected latency of a kind of request without a sample */
  balancer_overload_policy_t overload_policy;
  route_table_options_t routes;
  /* Called when a configuration that has limits for callers comes into force. The callback may be
   * NULL, LIMITS is not. */
  void (*on_caller_limits) (void *data, const config_caller_limits_t *limits);
  void *data;
} gateway_core_options_t;

typedef struct
{
  gateway_core_options_t options;
  feed_client_t feed;
  gateway_quota_t quota;
  target_registry_t registry;
  GHashTable *services; /* name -> gateway_service_t */
  GHashTable *targets;  /* hash of the target -> gateway_target_t */
  route_split_t split;
  GHashTable *peers;     /* hash of the instance id -> gateway_peer_t */
  config_doc_t *doc;     /* configuration in force; NULL before the first one */
  route_table_t *routes; /* routing table of doc */
  uint64_t version;      /* version of doc */
  uint64_t last_request_id;
  bool leaving;
  stop_plan_t stop; /* of this entry */
  bool tick_armed;
  io_timer_t tick;
  io_deferred_t deferred_load_reports; /* sends the load reports */
  metric_t version_in_force;
  metric_t targets_known;
  io_deferred_t deferred_locality_update; /* divides the targets among the cells */
  metric_t load_reports_sent;
} gateway_core_t;

void gateway_core_init (gateway_core_t *core, const gateway_core_options_t *options);
void gateway_core_destroy (gateway_core_t *core);
void gateway_core_start (gateway_core_t *core);

/* Returns whether the entry has a configuration, has received all targets and is not leaving. */
bool gateway_core_is_ready (const gateway_core_t *core);

/* Tells the control instances that this entry is leaving; it is not ready from then on. It stops by
 * PLAN; see balancer_set_stop(). */
void gateway_core_leave (gateway_core_t *core, const stop_plan_t *plan);

/* Handles a message from another process. Returns whether TYPE is known. */
bool gateway_core_receive (gateway_core_t *core, link_t *link, wire_type_t type,
                           wire_reader_t *reader);

/* Returns the service NAME and creates it on first use. */
gateway_service_t *gateway_core_get_service (gateway_core_t *core, const char *name);

/* Returns the service for the next request of ROUTE, which is part of DOC. A traffic split
 * distributes the requests by its weights. */
const config_service_t *gateway_core_choose_service (gateway_core_t *core, const config_doc_t *doc,
                                                     const config_route_t *route);

/* Adds REQUEST to the queue of SERVICE. The decision is reported through WAITER, possibly before
 * this function returns. WAITER must stay valid until then, or until it is cancelled. */
void gateway_core_submit (gateway_core_t *core, gateway_service_t *service,
                          gateway_waiter_t *waiter, const balancer_request_t *request);

/* Removes a waiting request from the queue. Its decision is not reported. */
void gateway_core_cancel (gateway_core_t *core, gateway_service_t *service, uint64_t request_id);

/* Ends the attempt of a dispatched request with OUTCOME and frees its slot. LATENCY_US is the
 * duration of the attempt. */
void gateway_core_finish_attempt (gateway_core_t *core, gateway_service_t *service,
                                  uint64_t request_id, balancer_outcome_t outcome,
                                  int64_t latency_us);

/* Removes a target because another one now has its address. TARGET_ID is its id in the balancer. */
void gateway_core_remove_replaced_target (gateway_core_t *core, uint64_t target_id);

/* Records that a target announced in an answer that it is leaving: this incarnation gets no new
 * requests from this entry, nor from the other entries of the cell, which are told. It is not
 * reported to the control group, whose records rest on calls of the target itself. TARGET_ID is its
 * id in the balancer. */
void gateway_core_record_leaving_target (gateway_core_t *core, uint64_t target_id);

/* Pauses a target that asked for it, see balancer_pause_target(). TARGET_ID is its id in the
 * balancer. */
void gateway_core_pause_target (gateway_core_t *core, uint64_t target_id, int64_t pause_us);

/* Returns the time of the main loop in microseconds. */
int64_t gateway_core_now (const gateway_core_t *core);
