#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http_headers.h"

/* http_dialect - header fields and statuses that the proxy interprets, and fields that it adds.
 *
 * A dialect lets the same proxy code serve the product's own interface and that of a platform.
 * Strings are static. The name of a header field that a dialect does not have is NULL. */

typedef struct
{
  /* Request: milliseconds until the caller stops waiting. Reduced at each hop. */
  const char *deadline_header;
  /* Request and response: id of the request. If a request has one, each response to it repeats it;
   * a response without the id or with another one belongs to another request and is dropped. */
  const char *request_id_header;
  /* Request and response: id that the proxy gives each attempt. A target repeats it in all its
   * responses, or does not support it. A response with another id is dropped, and so is one without
   * an id on a connection on which the target has sent ids. Used without request_id_header. */
  const char *attempt_id_header;
  /* Request: id of the only target that may run the request. */
  const char *expected_target_header;
  /* Response: header field that says that the target did not run the request, with the value and
   * the status that it must have. NULL matches any value, 0 any status. */
  const char *not_run_header;
  const char *not_run_value;
  int not_run_status;
  /* Status of a response from a target that is not the expected one and did not run the request; 0
   * if the dialect has no such status. */
  int wrong_target_status;
  /* Response: header field that every successful response of a target must carry. If the dialect
   * has it, a successful response must not have a Content-Encoding. */
  const char *required_success_header;
  /* Response: header field with the load of the target, "RUNNING,WAITING,SLOTS". */
  const char *load_header;
  /* Response: header field that says, with the value 1, that the target is leaving: its answers go
   * on, and it gets no new requests in this incarnation. */
  const char *leaving_header;
  /* Response with status 503: header field with the time in seconds for which the target wants no
   * requests from this process. */
  const char *pause_header;
  /* Request: field with the key of the caller's team, and the scheme in front of the key. Only read
   * if the configuration requires keys; targets do not get the field then. */
  const char *team_key_header;
  const char *team_key_scheme;
  /* Request to targets: name of the team that holds the key. Fields of that name from callers are
   * removed if the configuration requires keys. */
  const char *team_header;
  /* Statuses that tell callers that the request was not run and will not be, ending with 0; NULL if
   * no status alone does. */
  const int *not_run_statuses;
  /* Responses that the proxy generates carry Anvillb-Not-Run or Anvillb-Outcome to tell whether the
   * request ran. Without these fields the status tells: 503 means not run, 502 and 504 mean that
   * the outcome is unknown. */
  bool sends_outcome_headers;
  /* X-Forwarded-For, X-Forwarded-Proto, Via and traceparent are added to requests to targets. */
  bool sends_forwarding_headers;
} http_dialect_t;

/* Returns whether callers take STATUS as the assurance that the request was not run. */
bool http_dialect_means_not_run (const http_dialect_t *dialect, int status);

/* Longest pause that is understood; a longer one means this. */
#define HTTP_DIALECT_MAX_PAUSE_S 3600

/* Returns the pause that a target asks for with a 503 response, in microseconds; 0 for none. */
int64_t http_dialect_read_pause_us (const http_dialect_t *dialect, int status,
                                    const http_headers_t *headers);

/* Returns the key of a team in HEADERS and stores its size in SIZE. Returns NULL unless there is
 * exactly one field of the dialect for it, with the scheme and one word of visible ASCII. */
const char *http_dialect_get_team_key (const http_dialect_t *dialect, const http_headers_t *headers,
                                       size_t *size);

/* Dialect of the product's own interface. */
extern const http_dialect_t http_dialect_native;
