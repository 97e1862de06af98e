#include "gateway_policy.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "gateway_policy"
#include "limiter.h"
#include "log.h"

/* Connections to a target beyond one per slot, for connections that are being replaced. */
#define EXTRA_CONNECTIONS 2
/* Retry-After of a 503 response if there is no configuration, or if no attempt can have run the
 * request. */
#define UNAVAILABLE_RETRY_AFTER_US INT64_C (300000)
/* A retry is made only if the time left until the deadline is at least the goal of the route
 * divided by this. */
#define MIN_RETRY_TIME_DIVISOR 4
/* Fields of callers that are removed: the key and the name of the team. */
#define MAX_REMOVED_HEADERS 2
/* Size of the buffer for a quoted request id in a log line. */
#define LOGGED_ID_SIZE 96

typedef enum
{
  GATEWAY_NEW,
  GATEWAY_ADMITTING, /* waits for the verdict about the quota of its team */
  GATEWAY_QUEUED,
  GATEWAY_DISPATCHED,
  GATEWAY_ENDED,
} gateway_state_t;

typedef struct
{
  gateway_waiter_t waiter; /* first member */
  gateway_policy_t *policy;
  proxy_request_t *request;
  config_doc_t *doc; /* reference that keeps route valid */
  const config_route_t *route;
  const config_team_info_t *team; /* team of the key; NULL: none */
  config_team_info_t team_info;   /* storage of team */
  quota_request_t quota;
  const char *removed_headers[MAX_REMOVED_HEADERS + 1];
  gateway_service_t *service;
  balancer_request_t balancer_request;
  gateway_state_t state;
  unsigned attempt_count;
  bool possibly_run;                  /* a target may have run the request */
  bool retry_taken;                   /* take_retry() has permitted the next attempt */
  bool prefer_new_connection;         /* the next attempt prefers a new connection */
  uint64_t target_id;                 /* id in the balancer of the last target */
  char registry_id[REGISTRY_ID_SIZE]; /* id in the registry of the last target */
  int status;                         /* status of the last response of a target */
} gateway_request_t;

static int64_t
now_us (const gateway_request_t *r)
{
  return gateway_core_now (r->policy->core);
}

/* Returns the id that the caller gave the request, quoted for the log. */
static const char *
quote_request_id (const gateway_request_t *r, char buffer[LOGGED_ID_SIZE])
{
  const char *field = r->policy->dialect->request_id_header;
  const char *id = NULL;
  if (field != NULL)
    id = http_headers_get (proxy_request_head (r->request)->headers, field);
  return log_quote (id != NULL ? id : "", buffer, LOGGED_ID_SIZE);
}

/* CHALLENGE is the scheme of a key that is asked for, or NULL. */
static void
respond_with_challenge (gateway_request_t *r, int status, const char *text, int64_t retry_after_us,
                        const char *challenge)
{
  char seconds[G_ASCII_DTOSTR_BUF_SIZE];
  char id[LOGGED_ID_SIZE];
  http_headers_t headers;
  http_headers_init (&headers);
  http_headers_append (&headers, "Content-Type", "text/plain");
  if (retry_after_us > 0)
    {
      /* Rounded up: a request that returns earlier is refused again. */
      g_ascii_formatd (seconds, sizeof (seconds), "%.3f",
                       ceil ((double)retry_after_us / 1000) / 1000);
      http_headers_append (&headers, "Retry-After", seconds);
    }
  if (challenge != NULL)
    http_headers_append (&headers, "WWW-Authenticate", challenge);
  LOG_INFO ("answered id=%s status=%d reason=\"%s\" route=%s attempts=%u possibly_run=%d "
            "age_ms=%" G_GINT64_FORMAT " version=%" G_GUINT64_FORMAT,
            quote_request_id (r, id), status, text, r->route != NULL ? r->route->id : "",
            r->attempt_count, r->possibly_run,
            (now_us (r) - proxy_request_head (r->request)->received_us) / 1000,
            r->policy->core->version);
  request_response_t response = {
    .status = status,
    .headers = &headers,
    .body = text,
    .body_size = strlen (text),
    .reports_outcome = !r->possibly_run,
  };
  r->state = GATEWAY_ENDED;
  if (status == 503 && !r->possibly_run)
    gateway_quota_give_back (&r->policy->core->quota, &r->quota);
  proxy_request_respond (r->request, &response);
  http_headers_destroy (&headers);
}

static void
respond (gateway_request_t *r, int status, const char *text, int64_t retry_after_us)
{
  respond_with_challenge (r, status, text, retry_after_us, NULL);
}

static void
dispatch (gateway_request_t *r, const balancer_decision_t *decision,
          const registry_target_t *target)
{
  const http_dialect_t *dialect = r->policy->dialect;
  const config_service_t *service = config_doc_find_service (r->doc, r->service->name);
  char id[LOGGED_ID_SIZE];
  http_headers_t extra;

  bool is_last = r->attempt_count + 1 >= r->route->max_attempts;
  bool may_retry = r->route->idempotent && !is_last;
  int max_connections = (int)target->slots + EXTRA_CONNECTIONS;
  if (service != NULL && service->max_connections > 0)
    max_connections = MIN (max_connections, (int)service->max_connections);
  http_headers_init (&extra);
  if (dialect->expected_target_header != NULL)
    http_headers_append (&extra, dialect->expected_target_header, target->id);
  if (r->team != NULL && dialect->team_header != NULL)
    http_headers_append (&extra, dialect->team_header, r->team->name);
  request_dispatch_t options = {
    .address = target->address,
    .max_connections = max_connections,
    .deadline_us = r->balancer_request.deadline_us,
    .attempt_timeout_us = may_retry ? decision->late_after_us : 0,
    /* A target that shed the request did not run it, so even a request that is run at most once may
     * go to another target. */
    .keep_body = !is_last,
    .end_on_stall = may_retry,
    .prefer_new_connection = r->prefer_new_connection,
    .avoid_stale_connection = !r->route->idempotent,
    .removed_headers = r->removed_headers,
    .extra_headers = &extra,
  };
  r->attempt_count++;
  r->retry_taken = false;
  r->target_id = decision->target_id;
  r->state = GATEWAY_DISPATCHED;
  g_strlcpy (r->registry_id, target->id, sizeof (r->registry_id));
  if (r->balancer_request.tried_count < BALANCER_MAX_TRIED)
    r->balancer_request.tried[r->balancer_request.tried_count++] = decision->target_id;
  metric_observe_ms (&r->policy->queue_wait, (double)decision->waited_us / 1000);
  LOG_INFO ("dispatch id=%s route=%s service=%s target=%s attempt=%u waited_ms=%" G_GINT64_FORMAT
            " suspicion=%.2f version=%" G_GUINT64_FORMAT,
            quote_request_id (r, id), r->route->id, r->service->name, target->id, r->attempt_count,
            decision->waited_us / 1000, decision->suspicion, r->policy->core->version);
  proxy_request_dispatch (r->request, &options);
  http_headers_destroy (&extra);
}

static void
on_decision (gateway_waiter_t *waiter, const balancer_decision_t *decision,
             const registry_target_t *target)
{
  gateway_request_t *r = (gateway_request_t *)waiter;
  if (decision->verdict == BALANCER_DISPATCH && target != NULL)
    {
      dispatch (r, decision, target);
      return;
    }
  metric_inc (&r->policy->refused[decision->verdict]);
  if (r->possibly_run)
    respond (r, 502, "no answer of the target", 0);
  else
    respond (r, 503, balancer_verdict_name (decision->verdict), decision->retry_after_us);
}

static void
enqueue (gateway_request_t *r)
{
  r->state = GATEWAY_QUEUED;
  r->balancer_request.id = ++r->policy->core->last_request_id;
  gateway_core_submit (r->policy->core, r->service, &r->waiter, &r->balancer_request);
}

static void
init_balancer_request (gateway_request_t *r, const request_head_t *head)
{
  const config_route_t *route = r->route;
  bool has_priority = r->team != NULL && r->team->priority != CONFIG_NO_PRIORITY;
  int64_t deadline_us = head->received_us + (int64_t)route->timeout_ms * 1000;
  int64_t goal_ms = route->goal_ms > 0 ? route->goal_ms : route->timeout_ms;
  if (head->deadline_us != 0)
    deadline_us = MIN (deadline_us, head->deadline_us);
  r->balancer_request = (balancer_request_t){
    .kind = g_str_hash (route->id),
    .team = r->team != NULL ? limiter_team_id (r->team->name) : 0,
    .rank = has_priority ? r->team->priority : route->priority,
    .received_us = head->received_us,
    .goal_us = head->received_us + goal_ms * 1000,
    .deadline_us = deadline_us,
    .idempotent = route->idempotent,
  };
  proxy_request_set_deadline (r->request, deadline_us);
}

/* Finds the team of the request if the configuration requires keys. Returns false if the request is
 * refused, as it has no key of a team and its route is not public. */
static bool
identify_team (gateway_request_t *r, const request_head_t *head)
{
  const http_dialect_t *dialect = r->policy->dialect;
  size_t size = 0;
  size_t removed_count = 0;
  if (!config_doc_requires_team_key (r->doc))
    return true;
  if (dialect->team_key_header != NULL)
    r->removed_headers[removed_count++] = dialect->team_key_header;
  if (dialect->team_header != NULL)
    r->removed_headers[removed_count++] = dialect->team_header;
  const char *key = http_dialect_get_team_key (dialect, head->headers, &size);
  if (key != NULL && config_doc_find_team_by_key (r->doc, key, size, &r->team_info))
    r->team = &r->team_info;
  if (r->team != NULL || r->route->is_public)
    return true;
  metric_inc (&r->policy->refused_key);
  respond_with_challenge (r, 401, "unknown key", 0, dialect->team_key_scheme);
  return false;
}

static void
start (gateway_request_t *r)
{
  gateway_core_t *core = r->policy->core;
  const config_service_t *service = gateway_core_choose_service (core, r->doc, r->route);
  r->service = gateway_core_get_service (core, service->name);
  retry_budget_record_first_attempt (&r->service->budget, now_us (r));
  enqueue (r);
}

static void
on_quota_verdict (quota_request_t *quota, bool admitted, int64_t retry_after_us)
{
  gateway_request_t *r = CONTAINER_OF (quota, gateway_request_t, quota);
  if (admitted)
    start (r);
  else
    respond (r, 429, "over the limit of the team", retry_after_us);
}

/* Returns whether the queue is certain to refuse the request because this entry stops. */
static bool
is_too_late_before_stop (const gateway_request_t *r)
{
  const stop_plan_request_t planned = {
    .received_us = r->balancer_request.received_us,
    .deadline_us = r->balancer_request.deadline_us,
  };
  return !stop_plan_may_send (&r->policy->core->stop, &planned, now_us (r));
}

/* Queues the request, after the verdict about the quota of its team if that has a limit. */
static void
admit_request (gateway_request_t *r)
{
  if (is_too_late_before_stop (r))
    {
      metric_inc (&r->policy->refused[BALANCER_REFUSE_STOPPING]);
      respond (r, 503, balancer_verdict_name (BALANCER_REFUSE_STOPPING),
               BALANCER_MIN_RETRY_AFTER_US);
      return;
    }
  if (r->team == NULL || r->team->limit.rate <= 0)
    {
      start (r);
      return;
    }
  quota_limit_t limit = { r->team->limit.rate, r->team->limit.burst };
  r->state = GATEWAY_ADMITTING;
  r->quota.on_verdict = on_quota_verdict;
  gateway_quota_admit (&r->policy->core->quota, r->balancer_request.team, &limit, &r->quota);
}

static void
begin (request_policy_t *base, proxy_request_t *request, const request_head_t *head)
{
  gateway_policy_t *policy = (gateway_policy_t *)base;
  gateway_core_t *core = policy->core;
  gateway_request_t *r = g_new0 (gateway_request_t, 1);
  route_match_t match;

  r->waiter.on_decision = on_decision;
  r->policy = policy;
  r->request = request;
  proxy_request_set_data (request, r);
  if (core->doc == NULL)
    {
      respond (r, 503, "no configuration", UNAVAILABLE_RETRY_AFTER_US);
      return;
    }
  route_result_t result
      = route_table_lookup (core->routes, head->method, head->host != NULL ? head->host : "",
                            head->request_target, &match);
  if (result != ROUTE_FOUND)
    {
      respond (r, 404, route_result_text (result), 0);
      return;
    }
  r->doc = config_doc_ref (core->doc);
  r->route = match.route;
  if (!identify_team (r, head))
    return;
  const config_caller_limits_t *limits = config_doc_caller_limits (core->doc);
  if (limits != NULL && head->content_length > (int64_t)limits->max_body_bytes)
    {
      respond (r, 413, "request body too large", 0);
      return;
    }
  init_balancer_request (r, head);
  admit_request (r);
}

static void
body (request_policy_t *policy, proxy_request_t *request, const char *bytes, size_t size)
{
}

static void
cancelled (request_policy_t *policy, proxy_request_t *request, cancel_reason_t reason)
{
  gateway_request_t *r = proxy_request_data (request);
  char id[LOGGED_ID_SIZE];
  if (r->state == GATEWAY_ADMITTING)
    gateway_quota_cancel (&r->policy->core->quota, &r->quota);
  if (r->state == GATEWAY_QUEUED)
    {
      gateway_core_cancel (r->policy->core, r->service, r->balancer_request.id);
      if (!r->possibly_run)
        gateway_quota_give_back (&r->policy->core->quota, &r->quota);
    }
  r->state = GATEWAY_ENDED;
  LOG_INFO ("cancelled id=%s reason=%s attempts=%u", quote_request_id (r, id),
            cancel_reason_name (reason), r->attempt_count);
}

static void
first_byte_written (request_policy_t *policy, proxy_request_t *request)
{
}

static bool
may_send (request_policy_t *policy, proxy_request_t *request)
{
  gateway_request_t *r = proxy_request_data (request);
  return balancer_ends_before_stop (&r->service->balancer, &r->balancer_request, now_us (r));
}

/* Returns whether another attempt may be made now. REACHED_TARGET tells that the last attempt
 * reached its target; the next one then counts against the retry budget. */
static bool
take_retry (gateway_request_t *r, bool reached_target)
{
  int64_t remaining_us = r->balancer_request.deadline_us - now_us (r);
  int64_t goal_us = (int64_t)r->route->goal_ms * 1000;
  if (r->retry_taken)
    return true;
  if (r->attempt_count >= r->route->max_attempts || remaining_us < goal_us / MIN_RETRY_TIME_DIVISOR)
    return false;
  /* The queue would refuse the retry, and the caller would lose the answer of this attempt. */
  if (!balancer_ends_before_stop (&r->service->balancer, &r->balancer_request, now_us (r)))
    return false;
  if (reached_target && !retry_budget_take (&r->service->budget, now_us (r)))
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
  balancer_set_reported_load (&r->service->balancer, now_us (r), r->target_id,
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
static void
response_head (request_policy_t *policy, proxy_request_t *request, int status,
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

static bool
accept_response (request_policy_t *policy, proxy_request_t *request, int status,
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
  int64_t available_us = balancer_available_after_us (&r->service->balancer, now_us (r));
  switch (result->end)
    {
    case ATTEMPT_SHED:
    case ATTEMPT_CONNECT_FAILED:
      if (!r->possibly_run)
        respond (r, 503, "no target took the request",
                 MAX (available_us, UNAVAILABLE_RETRY_AFTER_US));
      else
        respond (r, 502, "no answer of the target", 0);
      break;
    case ATTEMPT_STALLED:
    case ATTEMPT_TIMED_OUT:
      respond (r, 504, "the target did not answer in time", 0);
      break;
    case ATTEMPT_RECALLED:
      respond (r, r->possibly_run ? 502 : 503, balancer_verdict_name (BALANCER_REFUSE_STOPPING),
               r->possibly_run ? 0 : BALANCER_MIN_RETRY_AFTER_US);
      break;
    default:
      respond (r, r->possibly_run ? 502 : 503, "no valid answer of the target",
               r->possibly_run ? 0 : UNAVAILABLE_RETRY_AFTER_US);
      break;
    }
}

static void
ended (request_policy_t *policy, proxy_request_t *request, const attempt_result_t *result)
{
  gateway_request_t *r = proxy_request_data (request);
  gateway_core_t *core = r->policy->core;
  const http_dialect_t *dialect = r->policy->dialect;
  char id[LOGGED_ID_SIZE];
  bool shed = result->end == ATTEMPT_SHED;
  uint64_t balancer_id = r->balancer_request.id;

  LOG_INFO ("attempt id=%s target=%s end=%s status=%d latency_ms=%" G_GINT64_FORMAT,
            quote_request_id (r, id), r->registry_id, attempt_end_name (result->end),
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
      enqueue (r);
      return;
    }
  give_up (r, result);
}

/* Ends a late attempt only if the request can be sent again and another target can take it at once.
 * The other target may still reject it, so an entry that stops leaves a target at work alone. */
static bool
attempt_timed_out (request_policy_t *policy, proxy_request_t *request)
{
  gateway_request_t *r = proxy_request_data (request);
  return !stop_plan_is_active (&r->policy->core->stop) && proxy_request_can_repeat (request)
         && balancer_can_dispatch (&r->service->balancer, now_us (r), &r->balancer_request)
         && take_retry (r, true);
}

static void
finished (request_policy_t *policy, proxy_request_t *request)
{
  gateway_request_t *r = proxy_request_data (request);
  proxy_request_set_data (request, NULL);
  if (r == NULL)
    return;
  config_doc_unref (r->doc);
  g_free (r);
}

static const request_policy_ops_t policy_ops = {
  .begin = begin,
  .body = body,
  .cancelled = cancelled,
  .first_byte_written = first_byte_written,
  .accept_response = accept_response,
  .ended = ended,
  .finished = finished,
  .attempt_timed_out = attempt_timed_out,
  .response_head = response_head,
  .may_send = may_send,
};

void
gateway_policy_init (gateway_policy_t *policy, gateway_core_t *core, const http_dialect_t *dialect,
                     metric_registry_t *counters)
{
  static const char *const reasons[BALANCER_VERDICT_COUNT] = { NULL,
                                                               "reason=\"no_time\"",
                                                               "reason=\"no_target\"",
                                                               "reason=\"stopping\"",
                                                               "reason=\"low_value\"",
                                                               "reason=\"evicted\"" };
  *policy = (gateway_policy_t){ .policy.ops = &policy_ops, .core = core, .dialect = dialect };
  for (size_t i = 1; i < G_N_ELEMENTS (reasons); i++)
    metric_register (counters, &policy->refused[i], METRIC_KIND_COUNTER, "anvillb_refused_total",
                     reasons[i], "Requests refused without an attempt.");
  metric_register (counters, &policy->refused_key, METRIC_KIND_COUNTER, "anvillb_refused_total",
                   "reason=\"key\"", "Requests refused without an attempt.");
  metric_register (counters, &policy->retries, METRIC_KIND_COUNTER, "anvillb_retries_total", NULL,
                   "Attempts after a failed one.");
  metric_register (counters, &policy->retries_denied, METRIC_KIND_COUNTER,
                   "anvillb_retries_denied_total", NULL, "Retries that the budget did not allow.");
  metric_register (counters, &policy->queue_wait, METRIC_KIND_HISTOGRAM, "anvillb_queue_wait_ms",
                   NULL, "Time in the queue before a dispatch.");
  metric_register (counters, &policy->latency, METRIC_KIND_HISTOGRAM, "anvillb_target_latency_ms",
                   NULL, "Time of complete answers of targets.");
}
