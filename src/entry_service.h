#pragma once

#include "assigned_service.h"
#include "entry_core.h"
#include "limiter.h"
#include "retry_budget.h"

/* entry_service - one service on an entry that is assigned to it: decisions, limits, retry budget,
 * and the requests that wait for a dispatch. */

/* A request that waits in the scheduler; implemented by entry_policy. */
typedef struct service_waiter service_waiter_t;

struct service_waiter
{
  uint64_t id;
  /* Send the request to the target ADDRESS. */
  void (*dispatch) (service_waiter_t *waiter, uint64_t target_id, const char *address,
                    int max_connections);
  void (*refuse) (service_waiter_t *waiter, scheduler_reason_t reason, int64_t retry_after_s);
};

struct entry_service
{
  entry_core_t *core;
  char *name;
  uint64_t id;
  unsigned entries_per_domain;
  unsigned users; /* requests that refer to it */
  assigned_service_t decisions;
  limiter_t limiter;
  retry_budget_t budget;
  GHashTable *targets;        /* target id -> service_target_t */
  GHashTable *waiters;        /* request id -> service_waiter_t */
  GHashTable *peers;          /* entry id -> id of another assigned entry */
  GHashTable *team_limits;    /* team id -> limiter_limit_t */
  uint64_t placement_version; /* that peers was made for */
  list_t probes;              /* under way; see entry_probe */
  bool pumping;
  char labels[160];
  char urgent_labels[160];
  char background_labels[160];
  counter_t requests[SCHEDULER_CLASSES];
  counter_t refused_limit;
  counter_t refused_queue;
  counter_t forwarded;
  counter_t retries;
  counter_t retries_denied;
  counter_t ejections;
  counter_t readmissions;
  counter_t ejected_slots;
  counter_t own_slots;
  counter_t held_slots;
  counter_t queue_wait;
};

entry_service_t *entry_service_new (entry_core_t *core, const char *name);
void entry_service_free (entry_service_t *service);

/* Takes over the settings of the configuration in force. */
void entry_service_configure (entry_service_t *service, const config_service_t *config);

/* Takes one request of TEAM_NAME from its limit. Returns false and the time for Retry-After if the
 * team is over it. */
bool entry_service_admit (entry_service_t *service, const char *team_name, int64_t *retry_after_us);

/* Handles an event of the target table. */
void entry_service_target (entry_service_t *service, target_event_t event, const target_t *target);

/* Submits WAITER; refused and dispatched ones are reported through its functions, from
 * entry_service_pump(). */
scheduler_result_t entry_service_submit (entry_service_t *service, service_waiter_t *waiter,
                                         const scheduler_request_t *request);

/* Ends a dispatched request. */
void entry_service_done (entry_service_t *service, uint64_t request_id, health_result_t result);

/* Forgets a request that waits or is dispatched; the target is free again. */
void entry_service_cancel (entry_service_t *service, uint64_t request_id);

/* Dispatches what can be dispatched. */
void entry_service_pump (entry_service_t *service);

/* Periodic work: health, floor, limiter exchange, actions. */
void entry_service_tick (entry_service_t *service);

/* Probes the target ADDRESS, if it is one of this service and no probe of it is under way. */
void entry_service_probe (entry_service_t *service, const char *address);

/* Updates the set of other assigned entries after a change of members. */
void entry_service_update_peers (entry_service_t *service);

/* Returns the id of the assigned entry ENTRY_ID, or NULL. */
const char *entry_service_peer (const entry_service_t *service, uint64_t entry_id);
