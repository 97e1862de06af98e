#include <math.h>

#include "health_target.h"

/* Hysteresis: parts of the thresholds below which a target leaves the state. */
#define SUSPECT_END_SHARE 0.5
#define UNHEALTHY_END_SHARE 0.25

#define READMITTED_US 20000000

#define SMALLEST_WEIGHT 0.1

/* Interval of probes of a suspect target: for sensitivity 1, and what sensitivity 0 adds. */
#define SUSPECT_PROBE_GAP_US 50000.0
#define SUSPECT_PROBE_GAP_INSENSITIVE_US 450000.0

/* A target without any response for this long is probed: for sensitivity 1, and what sensitivity 0
 * adds, with the square of what is missing to sensitivity 1. At 3 requests/s to a target, one gap
 * in 30 is longer than a second. */
#define THIN_TRAFFIC_US 250000.0
#define THIN_TRAFFIC_INSENSITIVE_US 5000000.0

/* A service without a request for IDLE_SERVICE_US is probed at this interval. */
#define IDLE_SERVICE_US 5000000
#define IDLE_PROBE_GAP_US 5000000

/* Part of the suspect threshold from which a target is probed as if it were suspect. */
#define WATCH_SHARE 0.5

#define OPINION_REPEAT_US 1000000

/* Without an answer for this long, the entry decides alone. */
#define OPINION_WAIT_US 3000000

/* How long a confirmation by another entry counts, and how long the own link stays suspect. */
#define CONFIRMED_US 5000000
#define LINK_SUSPECT_US 10000000

/* A suspect target is compared with the others: each is probed, unless it answers requests as
 * usual. When after CONTROL_WAIT_US less than half of them have answered as usual, the service or
 * the link is slow as a whole. The other entry may not have noticed yet, so its confirmation is
 * needed again after OPINION_REPEAT_US. */
#define CONTROL_PROBE_GAP_US 100000
#define CONTROL_WAIT_US 300000
#define CONTROL_MAX_AGE_US 500000
#define WIDE_CONFIRMATIONS 2

/* The own link stays suspect while all own targets are slower than others by this factor. */
#define LINK_SLOWER_FACTOR 1.5

/* A probe by another entry confirms a fault from this multiple of its usual latency. */
#define CONFIRMING_FACTOR 2.0

typedef struct
{
  uint32_t serving;
  uint32_t suspect;
  bool peers;
} group_t;

static double
ejection_threshold (const health_t *h, int64_t now_us, const health_target_t *target)
{
  const readmission_t *readmission = &target->readmission;
  bool recent = readmission->ejections > 0 && now_us - readmission->readmitted_us < READMITTED_US;
  return recent ? HEALTH_READMITTED_SHARE * h->threshold : h->threshold;
}

static bool
has_fresh_peer (const health_t *h, int64_t now_us)
{
  for (guint i = 0; i < h->peers->len; i++)
    {
      const health_peer_t *peer = &g_array_index (h->peers, health_peer_t, i);
      if (now_us - peer->taken_us <= OPINION_WAIT_US)
        return true;
    }
  return false;
}

static void
update_suspicion (health_t *h, int64_t now_us, health_target_t *target, double score)
{
  if (score >= h->suspect_threshold)
    {
      if (!target->suspect)
        target->suspect_since_us = now_us;
      target->suspect = true;
    }
  else if (score < SUSPECT_END_SHARE * h->suspect_threshold && !target->unhealthy)
    target->suspect = false;
}

/* Returns the time since which the other targets must have answered as usual. */
static int64_t
control_since (int64_t now_us, const health_target_t *target)
{
  return MAX (target->suspect_since_us, now_us - CONTROL_MAX_AGE_US);
}

static void
note_control (health_t *h, int64_t now_us, const health_target_t *target)
{
  if (!target->suspect || target->unhealthy)
    return;
  int64_t since_us = control_since (now_us, target);
  if (h->control_since_us == 0 || since_us < h->control_since_us)
    h->control_since_us = since_us;
}

/* Returns whether the fault may not be the target's, so that another view is needed. */
static bool
needs_opinion (const health_t *h, int64_t now_us, const group_t *group, bool wide)
{
  if (wide || now_us < h->link_suspect_until_us)
    return true;
  bool many = 3 * group->suspect > group->serving;
  return many && (group->suspect > 1 || group->serving == 1);
}

/* Decides without an answer of another entry. When at most half of the targets are suspect, the
 * others prove that the link works. */
static bool
may_decide_alone (int64_t now_us, const health_target_t *target, const group_t *group)
{
  bool waited
      = target->opinion_first_us > 0 && now_us - target->opinion_first_us >= OPINION_WAIT_US;
  return (waited || !group->peers) && 2 * group->suspect <= group->serving;
}

static bool
opinion_is_due (health_target_t *target, int64_t now_us, const group_t *group)
{
  if (!group->peers)
    return false;
  if (target->opinion_asked_us > 0 && now_us - target->opinion_asked_us < OPINION_REPEAT_US)
    return false;
  target->opinion_asked_us = now_us;
  if (target->opinion_first_us == 0)
    target->opinion_first_us = now_us;
  return true;
}

static void
update_unhealthy (health_t *h, int64_t now_us, health_target_t *target, double score,
                  const group_t *group, health_verdict_t *verdict)
{
  double threshold = ejection_threshold (h, now_us, target);

  if (target->unhealthy)
    {
      target->unhealthy = score >= UNHEALTHY_END_SHARE * threshold;
      return;
    }
  if (score < threshold)
    {
      target->opinion_first_us = 0;
      return;
    }
  bool wide = !health_others_are_normal (h, target, control_since (now_us, target));
  if (wide && now_us - target->suspect_since_us < CONTROL_WAIT_US)
    return;
  bool confirmed = now_us < target->confirmed_until_us
                   && target->confirmations >= (wide ? WIDE_CONFIRMATIONS : 1);
  if (!needs_opinion (h, now_us, group, wide) || confirmed
      || (!wide && may_decide_alone (now_us, target, group)))
    target->unhealthy = true;
  else
    verdict->opinion_due = opinion_is_due (target, now_us, group);
}

static double
ramp_weight (const health_t *h, int64_t now_us, const health_target_t *target)
{
  double elapsed = (double)(now_us - target->slow_start_us) / (double)h->options.slow_start_us;
  return fmin (1, SMALLEST_WEIGHT + (1 - SMALLEST_WEIGHT) * elapsed);
}

static double
thin_traffic_gap (const health_t *h, int64_t now_us)
{
  double missing = 1 - h->options.sensitivity;

  if (now_us - h->last_request_us >= IDLE_SERVICE_US)
    return IDLE_PROBE_GAP_US;
  return THIN_TRAFFIC_US + missing * missing * THIN_TRAFFIC_INSENSITIVE_US;
}

static bool
probe_is_due (const health_t *h, int64_t now_us, const health_target_t *target, double score)
{
  double missing = 1 - h->options.sensitivity;

  if (!list_is_empty (&target->probes))
    return false;
  if (target->readmission.ejected)
    return readmission_wants_probe (&target->readmission, now_us, target->last_probe_us);
  if (target->suspect || score >= WATCH_SHARE * h->suspect_threshold)
    return (double)(now_us - target->last_probe_us)
           >= SUSPECT_PROBE_GAP_US + missing * SUSPECT_PROBE_GAP_INSENSITIVE_US;
  if (h->control_since_us > 0 && target->last_normal_start_us < h->control_since_us)
    return now_us - target->last_probe_us >= CONTROL_PROBE_GAP_US;
  return list_is_empty (&target->attempts)
         && (double)(now_us - target->last_sample_us) >= thin_traffic_gap (h, now_us);
}

static health_state_t
state_of (const health_target_t *target)
{
  if (target->readmission.ejected)
    return HEALTH_STATE_EJECTED;
  if (target->unhealthy)
    return HEALTH_STATE_UNHEALTHY;
  return target->suspect ? HEALTH_STATE_SUSPECT : HEALTH_STATE_SERVING;
}

static void
judge (health_t *h, int64_t now_us, health_target_t *target, const group_t *group,
       health_verdict_t *verdict)
{
  double score = health_total_score (h, now_us, target);

  *verdict = (health_verdict_t){ .target_id = target->id };
  if (target->readmission.ejected)
    verdict->wants_ejection = !readmission_is_ready (&target->readmission, now_us);
  else
    {
      update_unhealthy (h, now_us, target, score, group, verdict);
      verdict->wants_ejection = target->unhealthy;
    }
  verdict->state = state_of (target);
  verdict->badness = health_badness (h, now_us, target);
  verdict->weight = target->readmission.ejected ? SMALLEST_WEIGHT : ramp_weight (h, now_us, target);
  verdict->probe_due = probe_is_due (h, now_us, target, score);
  if (verdict->probe_due)
    target->last_probe_us = now_us;
}

size_t
health_verdicts (health_t *h, int64_t now_us, health_verdict_t *out, size_t max)
{
  group_t group = { .peers = has_fresh_peer (h, now_us) };

  h->control_since_us = 0;
  for (guint i = 0; i < h->ordered->len; i++)
    {
      health_target_t *target = g_ptr_array_index (h->ordered, i);
      if (target->readmission.ejected)
        continue;
      update_suspicion (h, now_us, target, health_total_score (h, now_us, target));
      note_control (h, now_us, target);
      group.serving++;
      group.suspect += target->suspect;
    }
  if (now_us < h->link_suspect_until_us
      && health_is_slower_than_peers (h, now_us, LINK_SLOWER_FACTOR))
    h->link_suspect_until_us = now_us + LINK_SUSPECT_US;
  size_t stored = MIN (h->ordered->len, max);
  for (size_t i = 0; i < stored; i++)
    judge (h, now_us, g_ptr_array_index (h->ordered, i), &group, &out[i]);
  h->changed = false;
  return stored;
}

/* The link of this entry is slower than the latencies that it knows: it learns them anew. */
static void
suspect_link (health_t *h, int64_t now_us)
{
  if (now_us >= h->link_suspect_until_us)
    {
      for (guint i = 0; i < h->ordered->len; i++)
        {
          health_target_t *target = g_ptr_array_index (h->ordered, i);
          target->samples = 0;
          health_reset_scores (target);
        }
    }
  h->link_suspect_until_us = now_us + LINK_SUSPECT_US;
  h->reference_us = -1;
}

void
health_set_opinion (health_t *h, int64_t now_us, uint64_t target_id,
                    const health_opinion_t *opinion)
{
  health_target_t *target = g_hash_table_lookup (h->targets, &target_id);

  if (target == NULL)
    return;
  double usual_us = opinion->reference_us > 0 ? (double)opinion->reference_us : exp (h->probe_log);
  bool slow = (double)opinion->latency_us > CONFIRMING_FACTOR * usual_us;
  bool bad = !opinion->answered || slow;
  if (bad && !opinion->normal)
    return;
  target->opinion_first_us = 0;
  if (bad)
    {
      bool again = now_us < target->confirmed_until_us;
      target->confirmations = again ? target->confirmations + 1 : 1;
      target->confirmed_until_us = now_us + CONFIRMED_US;
      return;
    }
  target->confirmed_until_us = 0;
  target->suspect = false;
  health_reset_scores (target);
  suspect_link (h, now_us);
}
