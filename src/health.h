#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "latency_model.h"
#include "list.h"
#include "readmission.h"

/* health - detects faulty targets among the owned targets of one service, from requests and probes.
 *
 * Each response, and each request in flight that is already late, adds a log-likelihood ratio to a
 * CUSUM score of its target. Latency is compared with the median of the other targets, both own and
 * those of other assigned entries, so that a service that is slow as a whole gives no evidence.
 * Failures are compared with the failure rate of the other targets. The threshold of the score
 * follows from "sensitivity".
 *
 * A suspect target is probed and gets requests only as a last resort. The verdict on an unhealthy
 * target asks for its ejection, which the ejector grants within the floor. If the only own target,
 * or several own targets and more than a third of them, are suspect at once, or if fewer than half
 * of the others answer as usual, the cause may be the network of this entry; the verdict then asks
 * for a probe by another assigned entry. */

typedef enum
{
  HEALTH_OK,                /* a correct response */
  HEALTH_WRONG_ANSWER,      /* wrong by the wrong_answer rule of the service */
  HEALTH_ERROR,             /* connection reset, or truncated, malformed or error response */
  HEALTH_CONNECT_FAILED,    /* no connection was established */
  HEALTH_STALLED,           /* no response to a probe before its timeout */
  HEALTH_SHED,              /* shed by the target because of load; no evidence */
  HEALTH_SILENT_CONNECTION, /* a connection stalled, or a reused one was closed; no evidence */
  HEALTH_ABANDONED,         /* ended by caller or deadline; evidence only of a long wait */
} health_result_t;

typedef struct
{
  double sensitivity;    /* 0 (few false ejections) to 1 (fast detection) */
  int64_t slow_start_us; /* duration of slow start; 0 or less: 10 s */
} health_options_t;

typedef struct health_target health_target_t;

/* A request or probe in flight. The memory is the caller's. */
typedef struct
{
  list_node_t node;
  health_target_t *target; /* NULL: unknown or removed, or the attempt has ended */
  int64_t started_us;
  bool is_probe;
} health_attempt_t;

/* What another assigned entry reports of the targets of the service that it owns. */
typedef struct
{
  uint64_t entry_id;
  int64_t summary_sent_us;        /* send time of its summary on the clock of this entry */
  uint32_t measured_target_count; /* targets with a known latency; 0: nothing to compare with */
  double median_latency_us;       /* median of the mean latencies of its targets */
  double failure_rate;            /* 0..1, of its targets and its peers, without its worst target */
} health_peer_t;

/* Result of a probe by another assigned entry. */
typedef struct
{
  bool answered; /* the target gave a correct response */
  int64_t latency_us;
  int64_t expected_probe_latency_us; /* of the peer's probes of healthy targets; 0: unknown */
  bool peer_is_normal; /* health_is_normal() of the peer; if not, a faulty result is ignored */
} health_peer_probe_t;

typedef enum
{
  HEALTH_STATE_SERVING,
  HEALTH_STATE_SUSPECT,
  HEALTH_STATE_UNHEALTHY, /* the verdict asks for its ejection */
  HEALTH_STATE_EJECTED,
} health_state_t;

typedef struct
{
  uint64_t target_id;
  health_state_t state;
  bool wants_ejection; /* asks to eject the target, or to keep it ejected */
  double badness;      /* 0..1: the larger one of the recent failure rate and
                          1 - expected latency / recent latency */
  double weight;       /* 0..1: below 1 during slow start and after readmission */
  bool probe_due;      /* action: start a probe and register it with health_begin() */
  bool peer_probe_due; /* action: ask another assigned entry to probe the target */
} health_verdict_t;

typedef struct
{
  health_options_t options;
  GHashTable *targets;      /* id -> health_target_t */
  GPtrArray *targets_by_id; /* the same targets, sorted by id */
  GArray *peers;            /* health_peer_t */
  GArray *reference;        /* health_reference_t, latencies of own targets and peers, sorted */
  int64_t reference_computed_us; /* -1: the reference must be computed again */
  struct
  {
    double requests; /* decayed counts of own targets that are not ejected, and of peers */
    double failures;
    const health_target_t *worst;        /* own target with the highest failure rate, or NULL */
    const health_target_t *second_worst; /* own target with the next highest rate, or NULL */
  } failure_totals;                      /* computed with the reference */
  latency_model_t model;                 /* distribution of latencies around the median */
  double probe_latency_log; /* running median of the logarithm of the latency of healthy probes */
  double usual_latency_log; /* slow moving average of the logarithm of the median; 0: unknown */
  double threshold;         /* score at which a target is unhealthy */
  double suspect_threshold; /* score at which a target is suspect */
  int64_t network_suspect_until_us; /* until then the network of this entry may cause faults */
  int64_t comparison_start_us; /* targets without a normal answer since then are probed; 0: none */
  int64_t last_request_us;     /* start of the last request to any own target */
  bool changed;                /* result of health_changed() */
} health_t;

void health_init (health_t *h, const health_options_t *options);
void health_destroy (health_t *h);

/* Changes the sensitivity and slow start of a running service. */
void health_configure (health_t *h, const health_options_t *options);

/* Adds a target that is new to this entry. The target begins in slow start, and its latency is no
 * evidence until that ends. The caller removes and adds a target that has restarted. */
void health_add_target (health_t *h, int64_t now_us, uint64_t target_id);
void health_remove_target (health_t *h, uint64_t target_id);

/* Stores the summary of another assigned entry, unless a newer one of that entry is known. */
void health_set_peer (health_t *h, const health_peer_t *peer);
void health_remove_peer (health_t *h, uint64_t entry_id);

/* Initialises and registers ATTEMPT, a request or, if IS_PROBE, a probe of the target. ATTEMPT must
 * stay valid until health_finish(). */
void health_begin (health_t *h, int64_t now_us, uint64_t target_id, health_attempt_t *attempt,
                   bool is_probe);

/* Ends ATTEMPT and scores its result. Does nothing if the target was removed or unknown. */
void health_finish (health_t *h, int64_t now_us, health_attempt_t *attempt, health_result_t result);

/* Applies a decision of the ejector. */
void health_set_ejected (health_t *h, int64_t now_us, uint64_t target_id, bool ejected);

/* Applies the result of a probe that a verdict with peer_probe_due asked for. */
void health_peer_probe_done (health_t *h, int64_t now_us, uint64_t target_id,
                             const health_peer_probe_t *result);

/* Returns whether a score crossed a threshold or an ejected target became ready to return since the
 * last health_verdicts(), so that verdicts are due at once. They are also due every 50 ms, for
 * requests in flight that become late. */
bool health_changed (const health_t *h);

/* Stores the verdicts of at most MAX targets, sorted by target id, and returns their number.
 * Storing a due action marks it as done: it is due again after its interval, one second for a probe
 * by another entry. */
size_t health_verdicts (health_t *h, int64_t now_us, health_verdict_t *out, size_t max);

/* Fills OUT, except for entry_id, for the summary to the other assigned entries. */
void health_summary (health_t *h, int64_t now_us, health_peer_t *out);

/* Returns whether at least half of the own targets, without ejected ones, are not suspect and gave
 * a usual answer to a request or probe that started within the last second. Returns false if all
 * own targets are ejected or there are none. Sent in PROBE_RESULT. */
bool health_is_normal (const health_t *h, int64_t now_us);

/* Returns the latency that is expected now of a probe of a healthy target. It is raised while the
 * whole service is slow. Sent in PROBE_RESULT. */
int64_t health_expected_probe_latency_us (health_t *h, int64_t now_us);
