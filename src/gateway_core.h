#pragma once

#include "balancer.h"
#include "feed_client.h"
#include "http_dialect.h"
#include "retry_budget.h"
#include "route_table.h"
#include "upstream_pool.h"

/* gateway_core - what an entry of a fleet with control instances knows, and its services.
 *
 * Configuration and targets come from the feed. Entries of one failure domain that are active tell
 * each other the load and the evidence of their targets, at the end of each turn of the main loop
 * that changed it. */

typedef struct gateway_service gateway_service_t;
typedef struct gateway_waiter gateway_waiter_t;

/* A request in the queue of a service; implemented by gateway_policy. */
struct gateway_waiter
{
  uint64_t id;
  void (*decided) (gateway_waiter_t *waiter, const balancer_decision_t *decision,
                   const registry_target_t *target);
};

struct gateway_service
{
  char *name; /* key */
  balancer_t balancer;
  retry_budget_t budget;
  GHashTable *waiters; /* request id -> gateway_waiter_t */
  bool pumping;
};

typedef struct
{
  io_loop_t *loop;
  peer_network_t *network;
  counter_registry_t *counters;
  rng_t *rng;
  const char *domain;
  const char *caller_address;
  double capacity; /* requests per second that this entry can carry */
  const GPtrArray *seeds;
  double retry_share;        /* of the first attempts, for this entry */
  double retry_minimum_rate; /* retries per second that are always allowed */
  int64_t default_latency_us;
  /* The limits for callers have changed. */
  void (*on_limits) (void *data, const config_caller_limits_t *limits);
  void *data;
} gateway_core_options_t;

typedef struct
{
  gateway_core_options_t options;
  feed_client_t feed;
  target_registry_t registry;
  GHashTable *services; /* name -> gateway_service_t */
  GHashTable *targets;  /* target id (number) -> gateway_target_t */
  GHashTable *splits;   /* route id -> split_state_t */
  GHashTable *peers;    /* entry (number) -> gateway_peer_t */
  config_doc_t *doc;    /* in force; NULL before the first one */
  route_table_t *routes;
  uint64_t version;
  uint64_t next_request;
  bool leaving;
  bool ticking;
  io_timer_t tick;
  io_deferred_t share;
  counter_t version_in_force;
  counter_t targets_known;
  io_deferred_t recell;
  counter_t loads_sent;
} gateway_core_t;

void gateway_core_init (gateway_core_t *core, const gateway_core_options_t *options);
void gateway_core_destroy (gateway_core_t *core);
void gateway_core_start (gateway_core_t *core);

/* Has a configuration and targets, and is not leaving. */
bool gateway_core_is_ready (const gateway_core_t *core);

/* Tells the control instances that this entry leaves. */
void gateway_core_leave (gateway_core_t *core);

/* Handles the messages of other processes. Returns whether the message was known. */
bool gateway_core_receive (gateway_core_t *core, link_t *link, wire_type_t type,
                           wire_reader_t *reader);

/* Returns the service NAME, created when it is first needed. */
gateway_service_t *gateway_core_service (gateway_core_t *core, const char *name);

/* Returns the service for the next request of ROUTE; parts of a split get their weights' shares. */
const config_service_t *gateway_core_choose_service (gateway_core_t *core,
                                                     const config_route_t *route);

/* Puts a request into the queue; the decision is reported through WAITER, possibly at once. */
void gateway_core_submit (gateway_core_t *core, gateway_service_t *service,
                          gateway_waiter_t *waiter, const balancer_request_t *request);
void gateway_core_cancel (gateway_core_t *core, gateway_service_t *service, uint64_t request_id);

/* Ends an attempt. */
void gateway_core_done (gateway_core_t *core, gateway_service_t *service, uint64_t request_id,
                        balancer_outcome_t outcome, int64_t latency_us);

/* The address of the target belongs to another one now. */
void gateway_core_target_replaced (gateway_core_t *core, uint64_t target_id);

int64_t gateway_core_now (const gateway_core_t *core);
