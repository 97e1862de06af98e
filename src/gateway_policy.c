#include "gateway_request.h"

#include <math.h>
#include <string.h>

#define LOG_MODULE "gateway_policy"
#include "limiter.h"
#include "log.h"

/* Connections to a target beyond one per slot, for connections that are being replaced. */
#define EXTRA_CONNECTIONS 2

int64_t
gateway_request_now_us (const gateway_request_t *r)
{
  return gateway_core_now (r->policy->core);
}

const char *
gateway_request_quote_id (const gateway_request_t *r, char buffer[GATEWAY_LOGGED_ID_SIZE])
{
  const char *field = r->policy->dialect->request_id_header;
  const char *id = NULL;
  if (field != NULL)
    id = http_headers_get (proxy_request_head (r->request)->headers, field);
  return log_quote (id != NULL ? id : "", buffer, GATEWAY_LOGGED_ID_SIZE);
}

/* CHALLENGE is the scheme of a key that is asked for, or NULL. */
static void
respond_with_challenge (gateway_request_t *r, int status, const char *text, int64_t retry_after_us,
                        const char *challenge)
{
  char seconds[G_ASCII_DTOSTR_BUF_SIZE];
  char id[GATEWAY_LOGGED_ID_SIZE];
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
            gateway_request_quote_id (r, id), status, text, r->route != NULL ? r->route->id : "",
            r->attempt_count, r->possibly_run,
            (gateway_request_now_us (r) - proxy_request_head (r->request)->received_us) / 1000,
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

void
gateway_request_respond (gateway_request_t *r, int status, const char *text, int64_t retry_after_us)
{
  respond_with_challenge (r, status, text, retry_after_us, NULL);
}

static void
dispatch (gateway_request_t *r, const balancer_decision_t *decision,
          const registry_target_t *target)
{
  const http_dialect_t *dialect = r->policy->dialect;
  const config_service_t *service = config_doc_find_service (r->doc, r->service->name);
  char id[GATEWAY_LOGGED_ID_SIZE];
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
            gateway_request_quote_id (r, id), r->route->id, r->service->name, target->id,
            r->attempt_count, decision->waited_us / 1000, decision->suspicion,
            r->policy->core->version);
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
    gateway_request_respond (r, 502, "no answer of the target", 0);
  else
    gateway_request_respond (r, 503, balancer_verdict_name (decision->verdict),
                             decision->retry_after_us);
}

void
gateway_request_enqueue (gateway_request_t *r)
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
  retry_budget_record_first_attempt (&r->service->budget, gateway_request_now_us (r));
  gateway_request_enqueue (r);
}

static void
on_quota_verdict (quota_request_t *quota, bool admitted, int64_t retry_after_us)
{
  gateway_request_t *r = CONTAINER_OF (quota, gateway_request_t, quota);
  if (admitted)
    start (r);
  else
    gateway_request_respond (r, 429, "over the limit of the team", retry_after_us);
}

/* Queues the request, after the verdict about the quota of its team if that has a limit. */
static void
admit_request (gateway_request_t *r)
{
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
      gateway_request_respond (r, 503, "no configuration", GATEWAY_UNAVAILABLE_RETRY_AFTER_US);
      return;
    }
  route_result_t result
      = route_table_lookup (core->routes, head->method, head->host != NULL ? head->host : "",
                            head->request_target, &match);
  if (result != ROUTE_FOUND)
    {
      gateway_request_respond (r, 404, route_result_text (result), 0);
      return;
    }
  r->doc = config_doc_ref (core->doc);
  r->route = match.route;
  if (!identify_team (r, head))
    return;
  const config_caller_limits_t *limits = config_doc_caller_limits (core->doc);
  if (limits != NULL && head->content_length > (int64_t)limits->max_body_bytes)
    {
      gateway_request_respond (r, 413, "request body too large", 0);
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
  char id[GATEWAY_LOGGED_ID_SIZE];
  if (r->state == GATEWAY_ADMITTING)
    gateway_quota_cancel (&r->policy->core->quota, &r->quota);
  if (r->state == GATEWAY_QUEUED)
    {
      gateway_core_cancel (r->policy->core, r->service, r->balancer_request.id);
      if (!r->possibly_run)
        gateway_quota_give_back (&r->policy->core->quota, &r->quota);
    }
  r->state = GATEWAY_ENDED;
  LOG_INFO ("cancelled id=%s reason=%s attempts=%u", gateway_request_quote_id (r, id),
            cancel_reason_name (reason), r->attempt_count);
}

static void
first_byte_written (request_policy_t *policy, proxy_request_t *request)
{
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
  .accept_response = gateway_attempt_accept_response,
  .ended = gateway_attempt_ended,
  .finished = finished,
  .attempt_timed_out = gateway_attempt_timed_out,
  .response_head = gateway_attempt_response_head,
  .may_send = gateway_attempt_may_send,
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
