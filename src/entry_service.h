#pragma once

#include "assigned_service.h"
#include "entry_core.h"
#include "limiter.h"
#include "retry_budget.h"
#include "stall_history.h"

/* entry_service - one service at one entry, as a rule an assigned one: scheduling, target health,
 * team limits, retry budget, and the requests that wait for dispatch. */

/* A request that waits in the scheduler. entry_policy implements it. */
typedef struct service_waiter service_waiter_t;

struct service_waiter
{
  uint64_t id;
  /* Sends the request to the target at ADDRESS. */
  void (*dispatch) (service_waiter_t *waiter, uint64_t target_id, const char *address,
                    int max_connections);
  /* Refuses the request. */
  void (*refuse) (service_waiter_t *waiter, scheduler_reason_t reason, int64_t retry_after_s);
};

struct entry_service
{
  entry_core_t *core;
  char *name;
  uint64_t id; /* hash of name */
  unsigned entries_per_domain;
  unsigned user_count; /* requests that hold a reference */
  assigned_service_t assigned_service;
  limiter_t limiter;
  retry_budget_t budget;
  stall_history_t stall_history;
  GHashTable *targets;     /* target id -> dispatch_target_t */
  GHashTable *waiters;     /* request id -> service_waiter_t */
  GHashTable *peers;       /* hash of an instance id -> instance id; the other assigned entries */
  GHashTable *team_limits; /* team id -> limiter_limit_t */
  /* placement_version() at the last update of peers, plus 1; 0 forces an update. */
  uint64_t placement_version;
  list_t probes; /* probes in progress; see entry_probe */
  bool pumping;  /* entry_service_pump() is running */
  char labels[160];
  char urgent_labels[160];
  char background_labels[160];
  metric_t requests[SCHEDULER_CLASS_COUNT];
  metric_t refused_limit; /* over the limit of the team */
  metric_t refused_queue; /* by the scheduler */
  metric_t forwarded;
  metric_t retries;
  metric_t retries_denied;
  metric_t ejections;
  metric_t readmissions;
  metric_t ejected_slots;
  metric_t own_slots;
  metric_t held_slots; /* of unhealthy targets that the floor keeps in service */
  metric_t queue_wait;
};

entry_service_t *entry_service_new (entry_core_t *core, const char *name);
void entry_service_free (entry_service_t *service);

/* Applies the settings of CONFIG. */
void entry_service_configure (entry_service_t *service, const config_service_t *config);

/* Counts one request against the limit of TEAM_NAME. If the team is over it, returns false and
 * stores the time for Retry-After in microseconds. */
bool entry_service_admit (entry_service_t *service, const char *team_name, int64_t *retry_after_us);

/* Handles EVENT of the target table. */
void entry_service_on_target_event (entry_service_t *service, target_event_t event,
                                    const target_t *target);

/* Submits REQUEST of WAITER. If it is queued, entry_service_pump() reports its dispatch or refusal
 * through WAITER; another decision is only returned. */
scheduler_submit_result_t entry_service_submit (entry_service_t *service, service_waiter_t *waiter,
                                                const scheduler_request_t *request);

/* Ends a dispatched request. RESULT is scored for the health of its target. */
void entry_service_done (entry_service_t *service, uint64_t request_id, health_result_t result);

/* Cancels a request that waits or is dispatched, and releases its slot. */
void entry_service_cancel (entry_service_t *service, uint64_t request_id);

/* Delivers all decisions of the scheduler that are due: dispatches and refusals. */
void entry_service_pump (entry_service_t *service);

/* Does the periodic work: health, floor, probes, ejections, readmissions, limiter messages and
 * dispatches. */
void entry_service_tick (entry_service_t *service);

/* Checks the connectivity to the target at ADDRESS; see entry_probe_connectivity(). Does nothing if
 * this service has no such target. */
void entry_service_probe_connectivity (entry_service_t *service, const char *address);

/* Updates the set of other assigned entries if the placement has changed. */
void entry_service_update_peers (entry_service_t *service);

/* Returns the instance id of the other assigned entry with the hash ENTRY_ID, or NULL. */
const char *entry_service_peer_id (const entry_service_t *service, uint64_t entry_id);
