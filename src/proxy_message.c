#include "proxy_request.h"

#include <string.h>

#define VIA_VALUE "1.1 anvillb"

/* Request fields that are not passed on: the proxy handles Expect itself, the policy sets
 * Anvillb-Hop again for each hop, and the others are only valid in responses. */
static const char *const removed_request_fields[]
    = { "Expect", "Anvillb-Hop", "Anvillb-Not-Run", "Anvillb-Outcome" };

/* Response fields that are accepted from other entries but not from a backend server, because it
 * cannot know whether any attempt of a request was run. */
static const char *const reserved_response_fields[]
    = { "Anvillb-Not-Run", "Anvillb-Outcome", "Anvillb-Replayed" };

static void
add_forwarding_fields (proxy_request_t *request, http_headers_t *out)
{
  const char *existing = http_headers_get (out, "X-Forwarded-For");
  if (existing == NULL)
    http_headers_append (out, "X-Forwarded-For", request->caller->address);
  else
    {
      g_autoptr (GString) value = g_string_new (NULL);
      for (size_t i = 0; i < http_headers_length (out); i++)
        {
          if (g_ascii_strcasecmp (http_headers_name (out, i), "X-Forwarded-For") == 0)
            g_string_append_printf (value, "%s, ", http_headers_value (out, i));
        }
      g_string_append (value, request->caller->address);
      http_headers_set (out, "X-Forwarded-For", value->str);
    }
  /* A forwarding entry has already set the field to the protocol of the caller. */
  bool forwarded = http_headers_get (&request->headers, "Anvillb-Hop") != NULL;
  if (!forwarded || http_headers_get (out, "X-Forwarded-Proto") == NULL)
    http_headers_set (out, "X-Forwarded-Proto", request->caller->tls ? "https" : "http");
  http_headers_append (out, "Via", VIA_VALUE);
}

static void
add_attempt_id (const proxy_request_t *request, http_headers_t *out)
{
  const char *field = request->proxy->options.dialect->attempt_id_header;
  if (field != NULL)
    http_headers_set (out, field, request->attempt.id);
}

/* Repeats the attempt id that the caller, another entry, gave the request. */
static void
repeat_attempt_id (const proxy_request_t *request, http_headers_t *out)
{
  const char *field = request->proxy->options.dialect->attempt_id_header;
  if (field == NULL)
    return;
  const char *id = http_headers_get (&request->headers, field);
  http_headers_remove (out, field);
  if (id != NULL)
    http_headers_append (out, field, id);
}

static void
add_trace_and_deadline_fields (proxy_request_t *request, http_headers_t *out)
{
  char text[SPAN_TRACEPARENT_SIZE];
  const http_dialect_t *dialect = request->proxy->options.dialect;
  if (dialect->sends_forwarding_headers)
    {
      span_format_traceparent (&request->attempt.span, text);
      http_headers_set (out, "traceparent", text);
    }
  http_headers_remove (out, dialect->deadline_header);
  if (request->deadline_us == 0)
    return;
  int64_t remaining_ms = MAX (request->deadline_us - proxy_now_us (request), 0) / 1000;
  g_snprintf (text, sizeof (text), "%" G_GINT64_FORMAT, remaining_ms);
  http_headers_append (out, dialect->deadline_header, text);
}

GString *
proxy_build_request_head (proxy_request_t *request)
{
  const http_headers_t *extra = &request->attempt.extra_headers;
  http_headers_t out;

  http_headers_init (&out);
  http_headers_append_all (&out, &request->headers);
  http_headers_remove_hop_by_hop (&out);
  for (size_t i = 0; i < G_N_ELEMENTS (removed_request_fields); i++)
    http_headers_remove (&out, removed_request_fields[i]);
  const char *const *removed = request->attempt.options.removed_headers;
  for (; removed != NULL && *removed != NULL; removed++)
    http_headers_remove_similar (&out, *removed);
  if (http_headers_get (&out, "Host") == NULL)
    http_headers_append (&out, "Host", request->attempt.address);
  if (request->proxy->options.dialect->sends_forwarding_headers)
    add_forwarding_fields (request, &out);
  add_attempt_id (request, &out);
  add_trace_and_deadline_fields (request, &out);
  if (request->chunked)
    http_headers_append (&out, "Transfer-Encoding", "chunked");
  for (size_t i = 0; i < http_headers_length (extra); i++)
    http_headers_set (&out, http_headers_name (extra, i), http_headers_value (extra, i));

  GString *text = g_string_sized_new (1024);
  g_string_append_printf (text, "%s %s HTTP/1.1\r\n", request->head.method, request->target);
  http_headers_write (&out, text);
  g_string_append (text, "\r\n");
  http_headers_destroy (&out);
  return text;
}

static void
append_status_line (GString *text, int status)
{
  /* "<unknown>" for a status that the HTTP parser does not know. */
  const char *reason = http_status_str ((enum http_status)status);
  g_string_append_printf (text, "HTTP/1.1 %d %s\r\n", status,
                          reason[0] == '<' ? "Unassigned" : reason);
}

GString *
proxy_build_response_head (proxy_request_t *request, const http_head_t *head)
{
  http_headers_t out;

  http_headers_init (&out);
  http_headers_append_all (&out, &head->headers);
  http_headers_remove_hop_by_hop (&out);
  bool sends_outcome_headers = request->proxy->options.dialect->sends_outcome_headers;
  bool trusted = request->attempt.options.target_is_entry || !sends_outcome_headers;
  for (size_t i = 0; !trusted && i < G_N_ELEMENTS (reserved_response_fields); i++)
    http_headers_remove (&out, reserved_response_fields[i]);
  if (sends_outcome_headers && request->attempt.not_run && request->possibly_run)
    {
      /* This attempt was not run, but an earlier one may have been. */
      http_headers_remove (&out, "Anvillb-Not-Run");
      http_headers_set (&out, "Anvillb-Outcome", "unknown");
    }
  repeat_attempt_id (request, &out);
  if (head->status == 204)
    http_headers_remove (&out, "Content-Length");
  if (request->proxy->options.dialect->sends_forwarding_headers)
    http_headers_append (&out, "Via", VIA_VALUE);

  bool has_no_length = head->has_body && head->content_length < 0;
  request->response_chunked = has_no_length && request->version_minor > 0;
  request->end_delimits = has_no_length && request->version_minor == 0;
  if (request->response_chunked)
    http_headers_append (&out, "Transfer-Encoding", "chunked");
  if (!request->keep_alive)
    http_headers_append (&out, "Connection", "close");

  GString *text = g_string_sized_new (512);
  append_status_line (text, head->status);
  http_headers_write (&out, text);
  g_string_append (text, "\r\n");
  http_headers_destroy (&out);
  return text;
}

/* Adds the request id and the outcome to a response that did not come from a target. */
static void
add_proxy_fields (const proxy_request_t *request, const request_response_t *response, GString *text)
{
  const http_dialect_t *dialect = request->proxy->options.dialect;
  const char *request_id = NULL;
  if (dialect->request_id_header != NULL)
    request_id = http_headers_get (&request->headers, dialect->request_id_header);
  if (request_id != NULL)
    g_string_append_printf (text, "%s: %s\r\n", dialect->request_id_header, request_id);
  const char *attempt_id = NULL;
  if (dialect->attempt_id_header != NULL)
    attempt_id = http_headers_get (&request->headers, dialect->attempt_id_header);
  if (attempt_id != NULL)
    g_string_append_printf (text, "%s: %s\r\n", dialect->attempt_id_header, attempt_id);
  if (!response->reports_outcome || !dialect->sends_outcome_headers)
    return;
  if (!request->possibly_run)
    g_string_append (text, "Anvillb-Not-Run: 1\r\n");
  else
    g_string_append (text, "Anvillb-Outcome: unknown\r\n");
}

GString *
proxy_build_response (proxy_request_t *request, const request_response_t *response, bool keep_alive)
{
  GString *text = g_string_sized_new (256 + response->body_size);
  append_status_line (text, response->status);
  if (response->headers != NULL)
    http_headers_write (response->headers, text);
  if (response->status != 204 && response->status != 304)
    g_string_append_printf (text, "Content-Length: %zu\r\n", response->body_size);
  add_proxy_fields (request, response, text);
  if (!keep_alive)
    g_string_append (text, "Connection: close\r\n");
  g_string_append (text, "\r\n");
  if (!request->method_is_head)
    g_string_append_len (text, response->body, (gssize)response->body_size);
  return text;
}

void
proxy_write_chunk (GString *out, const char *bytes, size_t size)
{
  g_string_append_printf (out, "%zx\r\n", size);
  g_string_append_len (out, bytes, (gssize)size);
  g_string_append_len (out, "\r\n", 2);
}
