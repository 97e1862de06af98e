#include "entry_policy.h"

#include <string.h>

#define LOG_MODULE "entry_policy"
#include "deadline.h"
#include "entry_request.h"
#include "log.h"

#define LOCAL_PATH_PREFIX "/.anvillb/"
#define HOP_HEADER "Anvillb-Hop"
#define TEAM_HEADER "Anvillb-Team"
#define US_PER_MS 1000
#define US_PER_S 1000000
/* Most connections to one other entry, for forwarded requests. */
#define MAX_ENTRY_CONNECTIONS 64

static const struct
{
  route_result_t result;
  int status;
} route_statuses[] = {
  { ROUTE_NO_SERVICE, 404 }, { ROUTE_NO_ROUTE, 404 },       { ROUTE_NO_METHOD, 405 },
  { ROUTE_BAD_PATH, 400 },   { ROUTE_AMBIGUOUS_PATH, 400 }, { ROUTE_PATH_TOO_LONG, 414 },
};

static int
route_status (route_result_t result)
{
  for (size_t i = 0; i < G_N_ELEMENTS (route_statuses); i++)
    {
      if (route_statuses[i].result == result)
        return route_statuses[i].status;
    }
  return 500;
}

/* Stores the team whose limit the request counts against: the one that the caller names, or the
 * caller's address. */
static void
store_team (entry_request_t *r, const request_head_t *head)
{
  const char *team = http_headers_get (head->headers, TEAM_HEADER);
  if (team != NULL)
    g_strlcpy (r->team, team, sizeof (r->team));
  else
    g_snprintf (r->team, sizeof (r->team), "%s%s", ENTRY_ADDRESS_TEAM_PREFIX, head->caller_address);
}

/* Returns another entry that is assigned to the service, or NULL. ENTRY_ID selects an entry. 0
 * selects one in the order of placement_resolve(), this failure domain first, after skipping one
 * entry for each attempt so far. */
static const placement_member_t *
choose_entry (const entry_request_t *r, uint64_t entry_id)
{
  const placement_member_t *members[PLACEMENT_MAX_RESOLVED];
  entry_core_t *core = r->core;
  const char *service = r->match.service->name;
  size_t count
      = placement_resolve (core->placement, service, entry_core_entries_per_domain (core, service),
                           core->options.domain, members, G_N_ELEMENTS (members));
  size_t skip_count = entry_id == 0 ? r->attempts : 0;
  for (size_t i = 0; i < count; i++)
    {
      if (strcmp (members[i]->id, core->options.instance) == 0)
        continue;
      if (entry_id != 0 ? entry_hash_id (members[i]->id) == entry_id : skip_count-- == 0)
        return members[i];
    }
  return NULL;
}

static void
forward (entry_request_t *r, uint64_t entry_id)
{
  const placement_member_t *member = choose_entry (r, entry_id);
  http_headers_t extra;

  if (member == NULL)
    {
      entry_request_refuse (r, 503, "no entry serves this service", 1);
      return;
    }
  http_headers_init (&extra);
  http_headers_append (&extra, HOP_HEADER, r->hops == 0 ? "1" : "2");
  /* The next entry sees the address of this entry instead of the caller's, so it cannot derive the
   * team from the address. */
  http_headers_append (&extra, TEAM_HEADER, r->team);
  request_dispatch_t dispatch = {
    .address = member->address,
    .max_connections = MAX_ENTRY_CONNECTIONS,
    .deadline_us = r->deadline_us,
    .keep_body = true,
    .end_on_stall = true,
    .target_is_entry = true,
    .max_body_bytes = r->match.route->max_body_bytes,
    .extra_headers = &extra,
  };
  r->attempts++;
  r->state = ENTRY_REQUEST_FORWARDED;
  if (r->service != NULL)
    metric_inc (&r->service->forwarded);
  proxy_request_dispatch (r->request, &dispatch);
  http_headers_destroy (&extra);
}

static int64_t
stall_timeout_us (const entry_request_t *r)
{
  return (int64_t)r->match.service->stall_ms * US_PER_MS;
}

/* Returns whether the next attempt is ended when it stalls: only if the request may be run again,
 * another attempt is left, and the requests of its route usually do not take so long. */
static bool
ends_on_stall (const entry_request_t *r)
{
  const config_route_t *route = r->match.route;
  return route->idempotent && r->attempts + 1 < ENTRY_MAX_ATTEMPTS
         && stall_history_is_quick (&r->service->stall_history, route->id);
}

static void
on_dispatch (service_waiter_t *waiter, uint64_t target_id, const char *address, int max_connections)
{
  entry_request_t *r = (entry_request_t *)waiter;
  bool claimed = r->holds_claim;
  request_dispatch_t dispatch = {
    .address = address,
    .max_connections = max_connections,
    .deadline_us = r->deadline_us,
    .stall_timeout_us = stall_timeout_us (r),
    .keep_body = true,
    .end_on_stall = ends_on_stall (r),
    .max_body_bytes = r->match.route->max_body_bytes,
    .max_capture_bytes = claimed ? MAX_CLAIM_RESPONSE_BYTES : 0,
  };
  r->tried[r->attempts++] = target_id;
  r->state = ENTRY_REQUEST_DISPATCHED;
  r->wrong_response = false;
  proxy_request_dispatch (r->request, &dispatch);
}

static const char *
reason_text (scheduler_reason_t reason)
{
  switch (reason)
    {
    case SCHEDULER_REASON_DEADLINE:
      return "the deadline cannot be met";
    case SCHEDULER_REASON_OVERLOAD:
    case SCHEDULER_REASON_QUEUE_FULL:
      return "overloaded";
    default:
      return "no backend server is available";
    }
}

static void
on_refuse (service_waiter_t *waiter, scheduler_reason_t reason, int64_t retry_after_s)
{
  entry_request_t *r = (entry_request_t *)waiter;
  bool may_forward = r->attempts == 0 && r->hops < ENTRY_MAX_HOPS && !r->holds_claim;
  /* No target is in service here; the targets may have moved to another entry. */
  if (reason == SCHEDULER_REASON_NO_TARGET && may_forward && choose_entry (r, 0) != NULL)
    {
      forward (r, 0);
      return;
    }
  LOG_DEBUG ("refused service=%s route=%s reason=\"%s\" attempts=%u hops=%u", r->service->name,
             r->match.route->id, reason_text (reason), r->attempts, r->hops);
  entry_request_end_claim (r);
  if (r->attempts > 0)
    {
      r->state = ENTRY_REQUEST_ENDED;
      proxy_request_fail (r->request);
      return;
    }
  entry_request_refuse (r, 503, reason_text (reason), MAX (retry_after_s, 1));
}

/* Returns whether the team is within its limit; otherwise the request is refused with 429. A
 * request counts only once, however often it is queued. */
static bool
check_team_limit (entry_request_t *r)
{
  int64_t retry_after_us = 0;
  if (r->limit_checked)
    return true;
  r->limit_checked = true;
  if (entry_service_admit (r->service, r->team, &retry_after_us))
    return true;
  entry_service_cancel (r->service, r->waiter.id);
  entry_request_end_claim (r);
  entry_request_refuse (r, 429, "over the limit of the team",
                        (retry_after_us + US_PER_S - 1) / US_PER_S);
  return false;
}

/* Puts the request into the queue of its service. Returns false if it was forwarded or answered
 * instead. */
static bool
submit (entry_request_t *r)
{
  bool urgent = r->match.route->request_class == CONFIG_CLASS_URGENT;
  scheduler_request_t request = {
    .id = r->waiter.id,
    .class_index = urgent ? SCHEDULER_URGENT : SCHEDULER_BACKGROUND,
    .deadline_us = r->deadline_us,
    .local_only = r->hops > 0 || r->attempts > 0 || r->holds_claim,
    .tried = r->tried,
    .tried_count = r->attempts,
  };
  entry_service_t *service = r->service;
  scheduler_submit_result_t result = entry_service_submit (service, &r->waiter, &request);

  /* The scheduler learns from summaries, which arrive at intervals, so it can select an entry that
   * has left since. */
  if (result.decision == SCHEDULER_FORWARD && choose_entry (r, result.entry_id) == NULL)
    {
      request.local_only = true;
      result = entry_service_submit (service, &r->waiter, &request);
    }
  switch (result.decision)
    {
    case SCHEDULER_QUEUED:
      metric_inc (&service->requests[request.class_index]);
      r->state = ENTRY_REQUEST_QUEUED;
      return check_team_limit (r);
    case SCHEDULER_FORWARD:
      forward (r, result.entry_id);
      break;
    case SCHEDULER_REFUSED:
      metric_inc (&service->refused_queue);
      on_refuse (&r->waiter, result.reason, result.retry_after_s);
      break;
    }
  return false;
}

void
entry_request_enqueue (entry_request_t *r)
{
  if (r->attempts == 0)
    retry_budget_record_first_attempt (&r->service->budget, entry_core_now (r->core));
  if (submit (r))
    entry_service_pump (r->service);
}

/* Starts a request that needs a claim. It is first submitted to the queue and taken out again, so
 * that it is forwarded or refused, if necessary, before it is claimed. An entry that holds the
 * claim cannot forward the request, and without a usable target it would have to refuse it. */
static void
begin_claim (entry_request_t *r)
{
  if (!submit (r))
    return;
  entry_service_cancel (r->service, r->waiter.id);
  r->state = ENTRY_REQUEST_READING_BODY;
  proxy_request_read_body (r->request, r->match.route->max_body_bytes);
}

/* Selects the route and checks the length of the team name. Returns false if the request was
 * refused. */
static bool
match_route (entry_request_t *r, const request_head_t *head)
{
  entry_core_t *core = r->core;
  if (core->doc == NULL)
    {
      entry_request_refuse (r, 503, "no configuration", 1);
      return false;
    }
  route_result_t result
      = route_table_lookup (core->routes, head->method, head->host != NULL ? head->host : "",
                            head->request_target, &r->match);
  if (result != ROUTE_FOUND)
    {
      entry_request_refuse (r, route_status (result), route_result_text (result), 0);
      return false;
    }
  r->doc = config_doc_ref (core->doc);
  const char *team = http_headers_get (head->headers, TEAM_HEADER);
  if (team == NULL || strlen (team) <= ENTRY_MAX_TEAM_SIZE)
    return true;
  entry_request_refuse (r, 400, "Anvillb-Team is too long", 0);
  return false;
}

/* Returns the number of entries that have forwarded the request. A value that no entry sends counts
 * as the last hop, so that a caller cannot cause a forwarding loop. */
static unsigned
count_hops (const request_head_t *head)
{
  const char *value = http_headers_get (head->headers, HOP_HEADER);
  if (value == NULL)
    return 0;
  return strcmp (value, "1") == 0 ? 1 : ENTRY_MAX_HOPS;
}

static void
begin_route (entry_request_t *r, const request_head_t *head)
{
  entry_core_t *core = r->core;
  const char *service = r->match.service->name;
  const char *deadline = http_headers_get (head->headers, "Anvillb-Deadline-Ms");

  r->deadline_us = deadline_compute (head->received_us, r->match.route->timeout_ms, deadline);
  r->hops = count_hops (head);
  store_team (r, head);
  proxy_request_set_deadline (r->request, r->deadline_us);
  if (r->hops == 0 && !entry_core_is_assigned (core, service))
    {
      forward (r, 0);
      return;
    }
  r->service = entry_core_get_service (core, service);
  r->service->user_count++;
  if (entry_request_needs_claim (r))
    begin_claim (r);
  else
    entry_request_enqueue (r);
}

static void
begin (request_policy_t *base, proxy_request_t *request, const request_head_t *head)
{
  entry_policy_t *policy = (entry_policy_t *)base;
  entry_request_t *r = g_new0 (entry_request_t, 1);

  r->waiter.id = ++policy->last_request_id;
  r->waiter.dispatch = on_dispatch;
  r->waiter.refuse = on_refuse;
  r->core = policy->core;
  r->request = request;
  proxy_request_set_data (request, r);
  if (g_str_has_prefix (head->request_target, LOCAL_PATH_PREFIX))
    entry_request_begin_local (r, head);
  else if (match_route (r, head))
    begin_route (r, head);
}

static void
on_body (request_policy_t *base, proxy_request_t *request, const char *body, size_t size)
{
  entry_request_t *r = proxy_request_data (request);
  if (r->state == ENTRY_REQUEST_LOCAL)
    entry_request_handle_local_body (r, body, size);
  else
    entry_request_claim (r, body, size);
}

/* Ends the request: takes it out of the queue or frees its slot, and ends its claim. */
static void
end_request (entry_request_t *r)
{
  if (r->state == ENTRY_REQUEST_QUEUED || r->state == ENTRY_REQUEST_DISPATCHED)
    entry_service_cancel (r->service, r->waiter.id);
  r->state = ENTRY_REQUEST_ENDED;
  entry_request_end_claim (r);
}

static void
cancelled (request_policy_t *base, proxy_request_t *request, cancel_reason_t reason)
{
  end_request (proxy_request_data (request));
}

static void
first_byte_written (request_policy_t *base, proxy_request_t *request)
{
  entry_request_t *r = proxy_request_data (request);
  r->possibly_run = true;
}

/* Returns whether the response, which is valid HTTP, is wrong by the wrong_answer rule of the
 * service. */
static bool
is_wrong_response (const entry_request_t *r, int status, const http_headers_t *headers)
{
  const config_service_t *service = r->match.service;
  for (size_t i = 0; i < service->wrong_status_count; i++)
    {
      if (service->wrong_statuses[i] == status)
        return true;
    }
  return service->wrong_required_header != NULL && status / 100 == 2
         && http_headers_get (headers, service->wrong_required_header) == NULL;
}

/* Takes one retry from the budget. Returns false if attempts, time or the budget are used up. */
static bool
take_retry (entry_request_t *r)
{
  int64_t now_us = entry_core_now (r->core);
  if (r->attempts >= ENTRY_MAX_ATTEMPTS || deadline_left_us (r->deadline_us, now_us) == 0)
    return false;
  if (!retry_budget_take (&r->service->budget, now_us))
    {
      metric_inc (&r->service->retries_denied);
      return false;
    }
  metric_inc (&r->service->retries);
  return true;
}

static bool
on_response (request_policy_t *base, proxy_request_t *request, int status,
             const http_headers_t *headers)
{
  entry_request_t *r = proxy_request_data (request);
  if (r->state != ENTRY_REQUEST_DISPATCHED)
    return true;
  r->status = (uint32_t)status;
  r->wrong_response = is_wrong_response (r, status, headers);
  entry_request_record_head (r, status, headers);
  if (r->wrong_response && r->match.route->idempotent && take_retry (r))
    {
      r->retry_taken = true;
      return false;
    }
  return true;
}

/* Returns what the end of the attempt says about the health of the target. */
static health_result_t
health_result (const entry_request_t *r, const attempt_result_t *result)
{
  switch (result->end)
    {
    case ATTEMPT_COMPLETE:
    case ATTEMPT_DISCARDED:
      if (r->wrong_response)
        return HEALTH_WRONG_ANSWER;
      return result->status >= 500 ? HEALTH_ERROR : HEALTH_OK;
    case ATTEMPT_SHED:
      return HEALTH_SHED;
    case ATTEMPT_CONNECT_FAILED:
      return HEALTH_CONNECT_FAILED;
    case ATTEMPT_CLOSED_REUSED:
    case ATTEMPT_STALLED:
      return HEALTH_SILENT_CONNECTION;
    case ATTEMPT_TIMED_OUT:
    case ATTEMPT_CALLER_GONE:
    case ATTEMPT_CALLER_ERROR:
    case ATTEMPT_STOPPING:
    case ATTEMPT_MEMORY:
      return HEALTH_ABANDONED;
    default:
      return HEALTH_ERROR;
    }
}

/* Decides whether the request is retried. A request that may have run is retried only on an
 * idempotent route. Takes a retry from the budget unless on_response() has already done so. */
static bool
decide_retry (entry_request_t *r, const attempt_result_t *result)
{
  bool not_run = !result->wrote_bytes || result->end == ATTEMPT_SHED;
  if (!result->can_repeat || !(not_run || r->match.route->idempotent))
    return false;
  bool granted = r->retry_taken || take_retry (r);
  r->retry_taken = false;
  return granted;
}

static void
record_stall_history (entry_request_t *r, const attempt_result_t *result)
{
  stall_history_t *history = &r->service->stall_history;
  if (result->end == ATTEMPT_STALLED)
    stall_history_record_stall (history, r->match.route->id);
  else if (result->end == ATTEMPT_COMPLETE)
    stall_history_record_answer (history, r->match.route->id,
                                 result->time_to_head_us < stall_timeout_us (r));
}

static void
end_dispatched (entry_request_t *r, const attempt_result_t *result)
{
  record_stall_history (r, result);
  if (!result->wrote_bytes || result->end == ATTEMPT_SHED)
    r->possibly_run = false;
  entry_service_done (r->service, r->waiter.id, health_result (r, result));
  if (result->end == ATTEMPT_COMPLETE)
    entry_request_record_outcome (r, result->body, result->body_size);
  if (!result->final && decide_retry (r, result))
    {
      entry_request_enqueue (r);
      return;
    }
  r->state = ENTRY_REQUEST_ENDED;
  entry_service_pump (r->service);
  if (result->final)
    return;
  entry_request_end_claim (r);
  proxy_request_fail (r->request);
}

static void
end_forwarded (entry_request_t *r, const attempt_result_t *result)
{
  if (result->final)
    {
      r->state = ENTRY_REQUEST_ENDED;
      return;
    }
  bool may_repeat = !result->wrote_bytes || r->match.route->idempotent;
  if (may_repeat && result->can_repeat && r->attempts < ENTRY_MAX_ATTEMPTS
      && choose_entry (r, 0) != NULL)
    {
      forward (r, 0);
      return;
    }
  r->state = ENTRY_REQUEST_ENDED;
  proxy_request_fail (r->request);
}

static void
ended (request_policy_t *base, proxy_request_t *request, const attempt_result_t *result)
{
  entry_request_t *r = proxy_request_data (request);
  if (r->state == ENTRY_REQUEST_FORWARDED)
    end_forwarded (r, result);
  else
    end_dispatched (r, result);
}

static void
finished (request_policy_t *base, proxy_request_t *request)
{
  entry_request_t *r = proxy_request_data (request);
  end_request (r);
  if (r->service != NULL)
    entry_core_release_service (r->core, r->service);
  if (r->record_headers != NULL)
    g_string_free (r->record_headers, TRUE);
  if (r->doc != NULL)
    config_doc_unref (r->doc);
  g_free (r);
}

static const request_policy_ops_t policy_ops = {
  .begin = begin,
  .body = on_body,
  .cancelled = cancelled,
  .first_byte_written = first_byte_written,
  .accept_response = on_response,
  .ended = ended,
  .finished = finished,
};

void
entry_policy_init (entry_policy_t *policy, entry_core_t *core)
{
  *policy = (entry_policy_t){ .policy.ops = &policy_ops, .core = core };
}
