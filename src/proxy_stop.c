#include "proxy_request.h"

#define LOG_MODULE "proxy"
#include "log.h"

/* Retry-After, in seconds, of requests that this process refuses because it stops. Another one may
 * take them at once. */
#define STOPPING_RETRY_AFTER "0"
#define STOPPING_TEXT "instance is stopping"
/* Size of the buffer for a quoted request id in a log line. */
#define LOGGED_ID_SIZE 96

static void
set_stopping_retry_after (proxy_request_t *request)
{
  g_free (request->retry_after);
  request->retry_after = g_strdup (STOPPING_RETRY_AFTER);
}

void
proxy_request_refuse_for_stop (proxy_request_t *request)
{
  char buffer[LOGGED_ID_SIZE];
  const char *field = request->proxy->options.dialect->request_id_header;
  const char *id = field != NULL ? http_headers_get (&request->headers, field) : NULL;
  LOG_INFO ("refused id=%s reason=stopping",
            log_quote (id != NULL ? id : "", buffer, sizeof (buffer)));
  set_stopping_retry_after (request);
  proxy_request_send_error (request, 503, STOPPING_TEXT);
}

/* Returns a request whose attempt waits for a connection and may not be sent any more, or NULL. */
static proxy_request_t *
find_unsendable (const proxy_t *proxy)
{
  request_policy_t *policy = proxy->options.policy;
  LIST_FOREACH (&proxy->requests, node)
  {
    proxy_request_t *request = CONTAINER_OF (node, proxy_request_t, node);
    if (request->state == REQUEST_ATTEMPT && !request->attempt.head_written
        && !policy->ops->may_send (policy, request))
      return request;
  }
  return NULL;
}

void
proxy_recall_requests (proxy_t *proxy)
{
  proxy_request_t *request = NULL;
  if (proxy->options.policy->ops->may_send == NULL)
    return;
  /* The policy may answer others when one ends, so each search begins anew. */
  while ((request = find_unsendable (proxy)) != NULL)
    proxy_attempt_recall (request);
}

/* Returns a request whose response has not started, or NULL. */
static proxy_request_t *
find_unanswered (const proxy_t *proxy)
{
  LIST_FOREACH (&proxy->requests, node)
  {
    proxy_request_t *request = CONTAINER_OF (node, proxy_request_t, node);
    if (!request->response_started)
      return request;
  }
  return NULL;
}

void
proxy_end_requests (proxy_t *proxy)
{
  proxy_request_t *request = NULL;
  /* The policy may answer others when one ends, so each search begins anew. */
  while ((request = find_unanswered (proxy)) != NULL)
    {
      bool not_run = !request->possibly_run && !request->attempt.wrote_bytes;
      set_stopping_retry_after (request);
      proxy_request_end_with_error (request, CANCEL_STOPPING, ATTEMPT_STOPPING, not_run ? 503 : 504,
                                    STOPPING_TEXT);
    }
}
