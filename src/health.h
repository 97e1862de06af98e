#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "latency_model.h"
#include "list.h"
#include "readmission.h"

/* health - evidence about the owned targets of one service from live traffic and probes.
 *
 * Each response and each request in flight that is already late adds a log-likelihood ratio to a
 * CUSUM score of its target. Latency is compared with the median of the other targets, own and of
 * other assigned entries, so that a service that is slow as a whole gives no evidence. Failures are
 * compared with the failure rate of the others. The threshold follows from "sensitivity".
 *
 * A suspect target gets no normal work and is probed; it stays capacity of last resort. An
 * unhealthy target asks for its ejection, which the ejector grants within the floor. When more than
 * a third of the own targets are suspect at the same time, the fault may be the link of this entry:
 * the verdict then asks for a probe by another assigned entry. */

typedef enum
{
  HEALTH_OK,
  HEALTH_WRONG,             /* wrong by the rule of the service */
  HEALTH_ERROR,             /* reset, truncated, malformed or error status */
  HEALTH_CONNECT_FAILED,    /* no connection */
  HEALTH_STALLED,           /* no progress for stall_ms, also on other connections */
  HEALTH_SHED,              /* refused because of load: no evidence */
  HEALTH_SILENT_CONNECTION, /* no progress while others progress: no evidence */
  HEALTH_ABANDONED,         /* caller or deadline ended it: evidence only of a long wait */
} health_result_t;

typedef struct
{
  double sensitivity;    /* 0 (few false ejections) to 1 (fast detection) */
  int64_t slow_start_us; /* 0: 10 s */
} health_options_t;

typedef struct health_target health_target_t;

/* One request or probe in flight, a member of the caller's struct. */
typedef struct
{
  list_node_t node;
  health_target_t *target; /* NULL after the target was removed */
  int64_t started_us;
  bool probe;
} health_attempt_t;

/* What other assigned entries report of their own targets of the service. */
typedef struct
{
  uint64_t entry_id;
  int64_t taken_us;
  uint32_t targets;         /* 0: nothing to compare with */
  double median_latency_us; /* of the targets' mean latencies */
  double failure_rate;      /* 0..1 */
} health_peer_t;

/* Result of a probe by another assigned entry. */
typedef struct
{
  bool answered; /* with a correct response */
  int64_t latency_us;
  int64_t reference_us; /* latency of that entry's probes to its own healthy targets; 0: unknown */
  bool normal;          /* that entry's own targets answer as usual; otherwise nothing is proven */
} health_opinion_t;

typedef enum
{
  HEALTH_STATE_SERVING,
  HEALTH_STATE_SUSPECT,
  HEALTH_STATE_UNHEALTHY, /* asks for its ejection */
  HEALTH_STATE_EJECTED,
} health_state_t;

typedef struct
{
  uint64_t target_id;
  health_state_t state;
  bool wants_ejection; /* or its continuation */
  double badness;   /* 0..1: share of requests that fail, or share of the time lost by slowness */
  double weight;    /* 0..1, slow start and gradual readmission */
  bool probe_due;   /* action: start a probe with health_begin() */
  bool opinion_due; /* action: ask another assigned entry for a probe; asked once a second */
} health_verdict_t;

typedef struct
{
  health_options_t options;
  GHashTable *targets;  /* id -> health_target_t */
  GPtrArray *ordered;   /* the same targets in the order of their ids */
  GArray *peers;        /* health_peer_t */
  GArray *reference;    /* sorted latencies of own targets and peers */
  int64_t reference_us; /* time of the reference; -1: none */
  struct
  {
    double requests; /* of all own targets in service, and of peers */
    double failures;
    const health_target_t *worst; /* own targets with the highest failure rates */
    const health_target_t *second;
  } failures;            /* as old as the reference */
  latency_model_t model; /* scatter of responses around the median */
  double probe_log;      /* running median of the logarithm of healthy probe latencies */
  double usual_log;      /* slow mean of the service median, to tell a slow service */
  double threshold;
  double suspect_threshold;
  int64_t link_suspect_until_us;
  int64_t control_since_us; /* others are probed to compare with a suspect target; 0: not */
  int64_t last_request_us;  /* start of the last request to any target */
  bool changed;
} health_t;

void health_init (health_t *h, const health_options_t *options);
void health_destroy (health_t *h);

/* Changes the sensitivity and slow start of a running service. */
void health_configure (health_t *h, const health_options_t *options);

/* Adds a target that is new to this entry: it starts in slow start, and its latency is no evidence
 * until that ends. A restarted target is removed and added. */
void health_add_target (health_t *h, int64_t now_us, uint64_t target_id);
void health_remove_target (health_t *h, uint64_t target_id);

/* Takes over a summary of another assigned entry; an older one than the known is ignored. */
void health_set_peer (health_t *h, const health_peer_t *peer);
void health_remove_peer (health_t *h, uint64_t entry_id);

/* Registers ATTEMPT, which lives until health_finish(). */
void health_begin (health_t *h, int64_t now_us, uint64_t target_id, health_attempt_t *attempt,
                   bool probe);
void health_finish (health_t *h, int64_t now_us, health_attempt_t *attempt, health_result_t result);

/* Reports what the ejector decided. */
void health_set_ejected (health_t *h, int64_t now_us, uint64_t target_id, bool ejected);

/* Reports the answer to a verdict with opinion_due. */
void health_set_opinion (health_t *h, int64_t now_us, uint64_t target_id,
                         const health_opinion_t *opinion);

/* Returns whether a score crossed a threshold since the last health_verdicts(). Verdicts are also
 * due every 50 ms, for requests in flight that become late. */
bool health_changed (const health_t *h);

/* Stores the verdicts of at most MAX targets, in the order of their ids, and returns their number.
 * An action that is stored is due again only after its interval. */
size_t health_verdicts (health_t *h, int64_t now_us, health_verdict_t *out, size_t max);

/* Fills all but entry_id, for the summary to the other assigned entries. */
void health_summary (health_t *h, int64_t now_us, health_peer_t *out);

/* Returns whether half of the own targets have answered as usual within the last second, for a
 * PROBE_RESULT. */
bool health_is_normal (const health_t *h, int64_t now_us);

/* Returns the latency that a probe of a healthy target has now, for a PROBE_RESULT. It is larger
 * than usual while the whole service is slow. */
int64_t health_probe_reference_us (health_t *h, int64_t now_us);
