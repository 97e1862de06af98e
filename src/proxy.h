#pragma once

#include <stdio.h>

#include "counter.h"
#include "http_dialect.h"
#include "request_policy.h"
#include "rng.h"
#include "span.h"
#include "upstream_pool.h"

/* proxy - carries one request from its head to the end of its response.
 *
 * The proxy stands between a caller connection, which gives it a request through the functions
 * below and writes what caller_exchange_ops_t tells it, the request policy and the upstream pool.
 * Files: proxy.c (life of a request and answers of the policy), proxy_attempt.c (one attempt),
 * proxy_message.c (heads and bodies on the wire). */

typedef struct caller_exchange caller_exchange_t;

typedef struct
{
  void (*write) (caller_exchange_t *caller, const char *bytes, size_t size);
  size_t (*pending) (const caller_exchange_t *caller);
  void (*set_reading) (caller_exchange_t *caller, bool reading);
  /* The response is complete. Without KEEP_ALIVE the connection is closed after it. */
  void (*finished) (caller_exchange_t *caller, bool keep_alive);
  /* The response cannot be completed: close so that the caller does not see a clean end. */
  void (*aborted) (caller_exchange_t *caller);
} caller_exchange_ops_t;

struct caller_exchange
{
  const caller_exchange_ops_t *ops;
  const char *address; /* IP address of the caller, without port */
  bool tls;
};

typedef struct
{
  io_loop_t *loop;
  upstream_pool_t *pool;
  request_policy_t *policy;
  counter_registry_t *counters; /* may be NULL */
  rng_t *rng;
  FILE *trace; /* spans are written here; NULL for none */
  const char *program;
  const char *instance;
  const http_dialect_t *dialect; /* NULL: http_dialect_own */
  int64_t default_timeout_us;    /* until the policy sets a deadline */
  size_t replay_bytes;           /* longest request body that is kept for another attempt */
} proxy_options_t;

typedef struct
{
  counter_t requests;
  counter_t in_flight;
  counter_t statuses[6]; /* by first digit; 0 for requests without a response */
  counter_t attempts[ATTEMPT_END_COUNT];
  counter_t not_run;
  counter_t unknown;
  counter_t aborted;
  counter_t added_latency; /* time outside attempts */
} proxy_counters_t;

typedef struct
{
  proxy_options_t options;
  proxy_counters_t counters;
  list_t requests;
  bool draining; /* answer with Connection: close */
} proxy_t;

void proxy_init (proxy_t *proxy, const proxy_options_t *options);

/* Ends all requests by aborting their callers. */
void proxy_destroy (proxy_t *proxy);

/* Returns the number of requests in progress. */
size_t proxy_in_flight (const proxy_t *proxy);

/* For the caller connection. Takes the content of HEAD. The request lives until finished() or
 * aborted() of CALLER is called, which can happen inside any of these functions. */
proxy_request_t *proxy_request_new (proxy_t *proxy, caller_exchange_t *caller, http_head_t *head);

/* Lets the policy decide; separate from proxy_request_new() so that the caller has the handle. */
void proxy_request_start (proxy_request_t *request);

void proxy_request_receive_body (proxy_request_t *request, const char *bytes, size_t size);
void proxy_request_receive_end (proxy_request_t *request);

/* The rest of the request body is malformed. */
void proxy_request_caller_error (proxy_request_t *request, const char *detail);

/* The caller has closed the connection. */
void proxy_request_caller_gone (proxy_request_t *request);

/* Output was written to the caller. */
void proxy_request_caller_drained (proxy_request_t *request);
