#include "gateway_request.h"

#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "gateway_policy"
#include "log.h"

/* A retry is made only if the time left until the deadline is at least the goal of the route
 * divided by this. */
#define MIN_RETRY_TIME_DIVISOR 4

bool
gateway_attempt_may_send (request_policy_t *policy, proxy_request_t *request)
{
  gateway_request_t *r = proxy_request_data (request);
  return balancer_ends_before_stop (&r->service->balancer, &r->balancer_request,
                                    gateway_request_now_us (r));
}

/* Returns whether another attempt may be made now. REACHED_TARGET tells that the last attempt
 * reached its target; the next one then counts against the retry budget. */
static bool
take_retry (gateway_request_t *r, bool reached_target)
{
  int64_t remaining_us = r->balancer_request.deadline_us - gateway_request_now_us (r);
  int64_t goal_us = (int64_t)r->route->goal_ms * 1000;
  if (r->retry_taken)
    return true;
  if (r->attempt_count >= r->route->max_attempts || remaining_us < goal_us / MIN_RETRY_TIME_DIVISOR)
    return false;
  /* The queue would refuse the retry, and the caller would lose the answer of this attempt. */
  if (!balancer_ends_before_stop (&r->service->balancer, &r->balancer_request,
                                  gateway_request_now_us (r)))
    return false;
  if (reached_target && !retry_budget_take (&r->service->budget, gateway_request_now_us (r)))
    {
      metric_inc (&r->policy->retries_denied);
      return false;
    }
  r->retry_taken = true;
  return true;
}

/* Passes the load in the response of a target, "RUNNING,WAITING,SLOTS", to the balancer. */
static void
record_target_load (gateway_request_t *r, const http_headers_t *headers)
{
  const char *field = r->policy->dialect->load_header;
  const char *text = field != NULL ? http_headers_get (headers, field) : NULL;
  char *end = NULL;
  if (text == NULL)
    return;
  unsigned long running = strtoul (text, &end, 10);
  if (*end != ',')
    return;
  unsigned long waiting = strtoul (end + 1, &end, 10);
  if (*end != ',' || running > UINT16_MAX || waiting > UINT16_MAX)
    return;
  /* The target counts the answered request as running. */
  unsigned long busy = running + waiting;
  balancer_set_reported_load (&r->service->balancer, gateway_request_now_us (r), r->target_id,
                              (uint32_t)(busy > 0 ? busy - 1 : 0));
}

/* Returns whether a successful response can come from a target: it must have the required header
 * field of the dialect and no content coding. A dialect without such a field accepts all. */
static bool
is_valid_success (const gateway_request_t *r, const http_headers_t *headers)
{
  const char *field = r->policy->dialect->required_success_header;
  return field == NULL
         || (http_headers_get (headers, field) != NULL
             && http_headers_get (headers, "Content-Encoding") == NULL);
}

/* Returns whether a response carries the id of the request. The proxy also accepts one without an
 * id, but that may be damaged. */
static bool
is_identified (const gateway_request_t *r, const http_headers_t *headers)
{
  const char *field = r->policy->dialect->request_id_header;
  const char *request_id
      = field != NULL ? http_headers_get (proxy_request_head (r->request)->headers, field) : NULL;
  const char *response_id = field != NULL ? http_headers_get (headers, field) : NULL;
  return request_id != NULL && response_id != NULL && strcmp (request_id, response_id) == 0;
}

/* Applies what a target says about itself: that it is leaving, or that it wants no requests for
 * some time. A response of another target at the address says nothing about the expected one, and
 * a success that cannot come from a target says nothing at all. */
void
gateway_attempt_response_head (request_policy_t *policy, proxy_request_t *request, int status,
                               const http_headers_t *headers)
{
  gateway_request_t *r = proxy_request_data (request);
  const http_dialect_t *dialect = r->policy->dialect;
  const char *leaving = dialect->leaving_header != NULL
                            ? http_headers_get (headers, dialect->leaving_header)
                            : NULL;
  int64_t pause_us
      = MIN (http_dialect_read_pause_us (dialect, status, headers), BALANCER_MAX_PAUSE_US);
  bool is_wrong_target
      = dialect->wrong_target_status != 0 && status == dialect->wrong_target_status;
  bool is_success = status >= 200 && status < 300;

  if (is_wrong_target || (is_success && !is_valid_success (r, headers)))
    return;
  if (pause_us > 0)
    gateway_core_pause_target (r->policy->core, r->target_id, pause_us);
  if (leaving != NULL && strcmp (leaving, "1") == 0 && is_identified (r, headers))
    gateway_core_record_leaving_target (r->policy->core, r->target_id);
}

bool
gateway_attempt_accept_response (request_policy_t *policy, proxy_request_t *request, int status,
                                 const http_headers_t *headers)
{
  gateway_request_t *r = proxy_request_data (request);
  r->status = status;
  record_target_load (r, headers);
  if (status >= 200 && status < 300)
    return is_valid_success (r, headers);
  /* Passed on, the status would tell the caller that the request was not run, without proof. */
  if (!r->route->idempotent && http_dialect_means_not_run (r->policy->dialect, status))
    return false;
  return status < 500 || !r->route->idempotent || !take_retry (r, true);
}

static balancer_outcome_t
to_balancer_outcome (const gateway_request_t *r, const attempt_result_t *result)
{
  switch (result->end)
    {
    case ATTEMPT_COMPLETE:
      return result->status >= 500 ? BALANCER_FAILED : BALANCER_OK;
    case ATTEMPT_SHED:
      return BALANCER_SHED;
    case ATTEMPT_CONNECT_FAILED:
      return BALANCER_UNREACHABLE;
    case ATTEMPT_CALLER_GONE:
    case ATTEMPT_CALLER_ERROR:
    case ATTEMPT_STOPPING:
    case ATTEMPT_MEMORY:
    case ATTEMPT_RECALLED:
    case ATTEMPT_CLOSED_REUSED: /* the target may have closed the connection while it was idle */
      return BALANCER_ABANDONED;
    case ATTEMPT_STALLED:
    case ATTEMPT_TIMED_OUT:
      return BALANCER_LATE;
    default:
      return BALANCER_FAILED;
    }
}

static void
give_up (gateway_request_t *r, const attempt_result_t *result)
{
  int64_t available_us
      = balancer_available_after_us (&r->service->balancer, gateway_request_now_us (r));
  switch (result->end)
    {
    case ATTEMPT_SHED:
    case ATTEMPT_CONNECT_FAILED:
      if (!r->possibly_run)
        gateway_request_respond (r, 503, "no target took the request",
                                 MAX (available_us, GATEWAY_UNAVAILABLE_RETRY_AFTER_US));
      else
        gateway_request_respond (r, 502, "no answer of the target", 0);
      break;
    case ATTEMPT_STALLED:
    case ATTEMPT_TIMED_OUT:
      gateway_request_respond (r, 504, "the target did not answer in time", 0);
      break;
    case ATTEMPT_RECALLED:
      gateway_request_respond (r, r->possibly_run ? 502 : 503,
                               balancer_verdict_name (BALANCER_REFUSE_STOPPING),
                               r->possibly_run ? 0 : BALANCER_MIN_RETRY_AFTER_US);
      break;
    default:
      gateway_request_respond (r, r->possibly_run ? 502 : 503, "no valid answer of the target",
                               r->possibly_run ? 0 : GATEWAY_UNAVAILABLE_RETRY_AFTER_US);
      break;
    }
}

void
gateway_attempt_ended (request_policy_t *policy, proxy_request_t *request,
                       const attempt_result_t *result)
{
  gateway_request_t *r = proxy_request_data (request);
  gateway_core_t *core = r->policy->core;
  const http_dialect_t *dialect = r->policy->dialect;
  char id[GATEWAY_LOGGED_ID_SIZE];
  bool shed = result->end == ATTEMPT_SHED;
  uint64_t balancer_id = r->balancer_request.id;

  LOG_INFO ("attempt id=%s target=%s end=%s status=%d latency_ms=%" G_GINT64_FORMAT,
            gateway_request_quote_id (r, id), r->registry_id, attempt_end_name (result->end),
            result->status, result->duration_us / 1000);
  if (result->end == ATTEMPT_COMPLETE)
    metric_observe_ms (&r->policy->latency, (double)result->duration_us / 1000);
  if (result->wrote_bytes && !shed)
    r->possibly_run = true;
  /* Nothing was sent without a connection, so this does not count as an attempt. */
  bool unsent = result->end == ATTEMPT_CONNECT_FAILED || result->end == ATTEMPT_RECALLED;
  if (unsent && r->attempt_count > 0)
    r->attempt_count--;
  r->state = GATEWAY_ENDED;
  balancer_outcome_t outcome = to_balancer_outcome (r, result);
  if (shed && dialect->wrong_target_status != 0 && result->status == dialect->wrong_target_status)
    gateway_core_remove_replaced_target (core, r->target_id);
  gateway_core_finish_attempt (core, r->service, balancer_id, outcome, result->duration_us);
  if (result->final)
    return;
  bool may_retry = r->route->idempotent || !r->possibly_run;
  if (result->can_repeat && may_retry && take_retry (r, result->wrote_bytes))
    {
      metric_inc (&r->policy->retries);
      r->prefer_new_connection = result->end != ATTEMPT_SHED;
      gateway_request_enqueue (r);
      return;
    }
  give_up (r, result);
}

/* Ends a late attempt only if the request can be sent again and another target can take it at once.
 * The other target may still reject it, so an entry that stops leaves a target at work alone. */
bool
gateway_attempt_timed_out (request_policy_t *policy, proxy_request_t *request)
{
  gateway_request_t *r = proxy_request_data (request);
  return !stop_plan_is_active (&r->policy->core->stop) && proxy_request_can_repeat (request)
         && balancer_can_dispatch (&r->service->balancer, gateway_request_now_us (r),
                                   &r->balancer_request)
         && take_retry (r, true);
}
