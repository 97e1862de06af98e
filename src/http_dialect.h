#pragma once

#include <stdbool.h>

/* http_dialect - names of the header fields with a meaning on the data path.
 *
 * The proxy is written against this table, so that the product's own interface and that of a
 * platform run on the same code. Strings are static. A field that a dialect does not have is NULL.
 */

typedef struct
{
  /* Request: milliseconds for which the caller still waits; reduced at each hop. */
  const char *deadline;
  /* Request and response: id of the request. A response with another id belongs to another request
   * and is dropped. */
  const char *request_id;
  /* Request: id of the only target that may run it. */
  const char *expected_target;
  /* Response: the target did not run the request. A status of 0 and a value of NULL stand for any.
   */
  const char *refused;
  const char *refused_value;
  int refused_status;
  /* Status of a target that is not the expected one; it did not run the request. 0: none. */
  int wrong_target_status;
  /* Response: field that every success of a target has. */
  const char *proof;
  /* Response: load of the target, "RUNNING,WAITING,SLOTS". */
  const char *load;
  /* Own responses say with Anvillb-Not-Run or Anvillb-Outcome whether the request ran. Without
   * these fields the status says so: 503 means not run, 502 and 504 mean unknown. */
  bool outcome_fields;
  /* Requests to targets get X-Forwarded-For, X-Forwarded-Proto, Via and traceparent. */
  bool forwarding_fields;
} http_dialect_t;

/* The product's own interface. */
extern const http_dialect_t http_dialect_own;
