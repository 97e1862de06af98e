#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ejector.h"
#include "health.h"
#include "scheduler.h"

/* assigned_service - the decisions of an assigned entry for one service: health, ejector and
 * scheduler, connected.
 *
 * The caller passes announcements, requests, outcomes and summaries, and calls
 * assigned_service_tick() every ASSIGNED_SERVICE_TICK_US. After each call it takes all dispatches
 * with assigned_service_next() and all actions with assigned_service_next_action(). */

#define ASSIGNED_SERVICE_TICK_US 50000

typedef struct
{
  uint64_t seed;
  uint32_t floor_slots; /* min_healthy_slots */
  double sensitivity;
  int64_t slow_start_us; /* 0: the default of health */
  uint32_t max_queued[SCHEDULER_CLASSES];
} assigned_service_options_t;

/* SERVICE_SUMMARY, sent to the other assigned entries every 500 ms. */
typedef struct
{
  uint64_t entry_id;
  int64_t taken_us; /* the receiver sets it to the receive time minus the excess delay */
  uint32_t own_slots;
  uint32_t settled_slots;
  uint32_t ejected_slots;
  uint32_t slots; /* in service and not suspect */
  uint32_t free_slots;
  int64_t wait_us[SCHEDULER_CLASSES];
  uint32_t targets; /* with a known latency */
  double median_latency_us;
  double failure_rate;
} service_summary_t;

typedef enum
{
  SERVICE_ACTION_PROBE,       /* probe the target; report with assigned_service_probe_done() */
  SERVICE_ACTION_ASK_OPINION, /* ask another assigned entry for a probe */
  SERVICE_ACTION_EJECTED,     /* for the log and the audit record */
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
  ejector_result_t last; /* of the last update */
  GHashTable *targets;   /* id -> service_target_t */
  GHashTable *attempts;  /* request id -> health_attempt_t */
  GArray *peers;         /* ejector_peer_t */
  GArray *verdicts;      /* health_verdict_t, scratch */
  GArray *view;          /* ejector_target_t, scratch */
  GQueue actions;        /* service_action_t */
} assigned_service_t;

void assigned_service_init (assigned_service_t *a, const assigned_service_options_t *options);
void assigned_service_destroy (assigned_service_t *a);

/* Installs new settings of the service; the seed is ignored. */
void assigned_service_configure (assigned_service_t *a, int64_t now_us,
                                 const assigned_service_options_t *options);

/* Takes over an announcement with the state "up" of a target that this entry owns. */
void assigned_service_set_target (assigned_service_t *a, int64_t now_us, uint64_t target_id,
                                  uint32_t slots, double load);

/* Ends all new work of a target that drains, leaves, lost its lease or has another owner. */
void assigned_service_remove_target (assigned_service_t *a, int64_t now_us, uint64_t target_id);

/* DISTANCE_US is the latency to the failure domain of the sender. */
void assigned_service_set_peer (assigned_service_t *a, int64_t now_us,
                                const service_summary_t *summary, int64_t distance_us);
void assigned_service_remove_peer (assigned_service_t *a, int64_t now_us, uint64_t entry_id);
void assigned_service_summary (assigned_service_t *a, int64_t now_us, service_summary_t *out);

scheduler_result_t assigned_service_submit (assigned_service_t *a, int64_t now_us,
                                            const scheduler_request_t *request);
bool assigned_service_next (assigned_service_t *a, int64_t now_us, scheduler_dispatch_t *out);
void assigned_service_done (assigned_service_t *a, int64_t now_us, uint64_t request_id,
                            health_result_t result);
scheduler_cancel_t assigned_service_cancel (assigned_service_t *a, uint64_t request_id);

void assigned_service_probe_done (assigned_service_t *a, int64_t now_us, uint64_t target_id,
                                  health_result_t result);
void assigned_service_opinion (assigned_service_t *a, int64_t now_us, uint64_t target_id,
                               const health_opinion_t *opinion);

/* Judges all targets and applies the result. */
void assigned_service_tick (assigned_service_t *a, int64_t now_us);

/* Returns false if there is no further action. */
bool assigned_service_next_action (assigned_service_t *a, service_action_t *out);
