#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ejector.h"
#include "health.h"
#include "scheduler.h"

/* assigned_service - decisions of an assigned entry for one service.
 *
 * Connects health, ejector and scheduler. The caller passes in announcements, requests, outcomes
 * and summaries, and calls assigned_service_tick() every ASSIGNED_SERVICE_TICK_US. After each call
 * it must fetch all dispatches with assigned_service_next(), and all actions with
 * assigned_service_next_action(). */

#define ASSIGNED_SERVICE_TICK_US 50000

typedef struct
{
  uint64_t seed;
  uint32_t floor_slots;                       /* min_healthy_slots of the service; 0 counts as 1 */
  double sensitivity;                         /* 0..1, see health_options_t */
  int64_t slow_start_us;                      /* 0: default, see health_options_t */
  uint32_t max_queued[SCHEDULER_CLASS_COUNT]; /* see scheduler_options_t */
} assigned_service_options_t;

/* SERVICE_SUMMARY, sent to the other assigned entries every 500 ms. */
typedef struct
{
  uint64_t entry_id;
  int64_t summary_sent_us; /* send time on this entry's clock; if received, see ejector_peer_t */
  uint32_t own_slots;
  uint32_t settled_slots;
  uint32_t ejected_slots;
  uint32_t slots; /* of targets that are in service and not suspect */
  uint32_t free_slots;
  int64_t wait_us[SCHEDULER_CLASS_COUNT]; /* see scheduler_summary_t */
  uint32_t measured_target_count;         /* targets with a known latency */
  double median_latency_us;
  double failure_rate; /* 0..1, see health_peer_t */
} service_summary_t;

typedef enum
{
  SERVICE_ACTION_PROBE,              /* probe the target, then call assigned_service_probe_done() */
  SERVICE_ACTION_REQUEST_PEER_PROBE, /* ask another entry to probe it, then call
                                      * assigned_service_peer_probe_done()
                                      */
  SERVICE_ACTION_EJECTED,            /* for the log and the metrics */
  SERVICE_ACTION_READMITTED,
} service_action_kind_t;

typedef struct
{
  service_action_kind_t kind;
  uint64_t target_id;
  double badness;
} service_action_t;

typedef struct
{
  assigned_service_options_t options;
  health_t health;
  ejector_t ejector;
  scheduler_t scheduler;
  ejector_result_t last_ejector_result; /* result of the last ejector_update() */
  GHashTable *targets;                  /* id -> service_target_t */
  GHashTable *attempts;                 /* request id -> service_attempt_t */
  GArray *peers;                        /* ejector_peer_t */
  GArray *verdicts;                     /* health_verdict_t, buffer of a tick */
  GArray *ejector_targets;              /* ejector_target_t, buffer of a tick */
  GQueue actions;                       /* service_action_t */
} assigned_service_t;

void assigned_service_init (assigned_service_t *a, const assigned_service_options_t *options);
void assigned_service_destroy (assigned_service_t *a);

/* Installs new settings of the service. The seed and max_queued stay as they were. */
void assigned_service_configure (assigned_service_t *a, int64_t now_us,
                                 const assigned_service_options_t *options);

/* Applies an announcement with the state "up" of a target that this entry owns. LOAD is 0..1, as
 * announced. */
void assigned_service_set_target (assigned_service_t *a, int64_t now_us, uint64_t target_id,
                                  uint32_t slots, double load);

/* Removes a target that drains, leaves, lost its lease or has another owner: it gets no further
 * requests. */
void assigned_service_remove_target (assigned_service_t *a, int64_t now_us, uint64_t target_id);

/* Applies a summary of another assigned entry. DISTANCE_US is the one-way latency to the failure
 * domain of the sender. */
void assigned_service_set_peer (assigned_service_t *a, int64_t now_us,
                                const service_summary_t *summary, int64_t distance_us);
void assigned_service_remove_peer (assigned_service_t *a, int64_t now_us, uint64_t entry_id);

/* Fills OUT, except for entry_id, for the summary to the other assigned entries. */
void assigned_service_summary (assigned_service_t *a, int64_t now_us, service_summary_t *out);

scheduler_submit_result_t assigned_service_submit (assigned_service_t *a, int64_t now_us,
                                                   const scheduler_request_t *request);

/* Stores the next dispatch or refusal, see scheduler_next(). Returns false if there is none. */
bool assigned_service_next (assigned_service_t *a, int64_t now_us, scheduler_next_result_t *out);

/* Ends the attempt of a dispatched request. */
void assigned_service_done (assigned_service_t *a, int64_t now_us, uint64_t request_id,
                            health_result_t result);
scheduler_cancel_t assigned_service_cancel (assigned_service_t *a, uint64_t request_id);

void assigned_service_probe_done (assigned_service_t *a, int64_t now_us, uint64_t target_id,
                                  health_result_t result);

/* Applies the result of a probe by another assigned entry. */
void assigned_service_peer_probe_done (assigned_service_t *a, int64_t now_us, uint64_t target_id,
                                       const health_peer_probe_t *result);

/* Computes the verdicts on all targets, and applies ejections, readmissions and weights. */
void assigned_service_tick (assigned_service_t *a, int64_t now_us);

/* Stores the next action. Returns false if there is none. */
bool assigned_service_next_action (assigned_service_t *a, service_action_t *out);
