#pragma once

#include <stdio.h>

#include "http_dialect.h"
#include "memory_budget.h"
#include "metric.h"
#include "request_policy.h"
#include "rng.h"
#include "span.h"
#include "upstream_pool.h"

/* proxy - forwards HTTP requests from caller connections to backend servers.
 *
 * A caller connection passes a request in through the functions below and gets the response through
 * caller_exchange_ops_t. The request policy decides what happens to the request, and the upstream
 * pool provides the connections to backend servers.
 *
 * proxy.c handles the lifecycle of a request and the decisions of the policy, proxy_attempt.c one
 * attempt, proxy_stop.c the requests of a process that stops, and proxy_message.c the message heads
 * and chunks. */

/* One request and its response on a caller connection; caller_conn implements it. */
typedef struct caller_exchange caller_exchange_t;

typedef struct
{
  /* Queues output to the caller. */
  void (*write) (caller_exchange_t *caller, const char *bytes, size_t size);
  /* Returns the number of queued bytes that are not written yet. */
  size_t (*pending) (const caller_exchange_t *caller);
  /* Starts or stops reading the request body. */
  void (*set_reading) (caller_exchange_t *caller, bool reading);
  /* The target has taken SIZE bytes of the request. */
  void (*request_written) (caller_exchange_t *caller, size_t size);
  /* The response is complete. Without KEEP_ALIVE, closes the connection after writing it. */
  void (*finished) (caller_exchange_t *caller, bool keep_alive);
  /* The response cannot be completed. Writes what is queued, then closes the connection so that the
   * caller does not take the response for complete: with a reset if END_DELIMITS, i.e. if the end
   * of the connection delimits the response. */
  void (*aborted) (caller_exchange_t *caller, bool end_delimits);
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
  metric_registry_t *counters;   /* NULL if the counters are not exported */
  rng_t *rng;                    /* for trace and span ids */
  FILE *trace_file;              /* file that spans are written to; NULL to disable tracing */
  const char *program;           /* program name in spans */
  const char *instance;          /* instance id in spans */
  const http_dialect_t *dialect; /* NULL selects http_dialect_native */
  int64_t default_timeout_us;    /* time limit of a request until the policy sets a deadline */
  size_t max_kept_body_bytes;    /* longest request body that is kept for another attempt */
  const memory_budget_t *memory; /* refuses new requests at its bound; NULL for no bound */
} proxy_options_t;

typedef struct
{
  metric_t requests;
  metric_t in_flight;
  metric_t responses[6]; /* by first digit of the status; 0 counts requests without a response */
  metric_t attempts[ATTEMPT_END_COUNT]; /* by attempt_end_t */
  metric_t not_run;                     /* responses that tell that the request was not run */
  metric_t outcome_unknown;             /* responses that tell that the request may have been run */
  metric_t aborted;                     /* incomplete responses */
  metric_t refused_for_memory;          /* registered only with a bound */
  metric_t added_latency;               /* time of a request that was not spent in attempts */
} proxy_counters_t;

typedef struct
{
  proxy_options_t options;
  proxy_counters_t counters;
  list_t requests; /* proxy_request_t that have not ended */
  bool draining;   /* responses carry Connection: close */
  bool refusing;   /* new requests are answered 503, as the process is about to stop */
} proxy_t;

void proxy_init (proxy_t *proxy, const proxy_options_t *options);

/* Ends all requests and aborts their caller connections. */
void proxy_destroy (proxy_t *proxy);

/* Ends the attempts that wait for a connection to their target and that the policy no longer lets
 * be sent, see may_send() in request_policy.h. */
void proxy_recall_requests (proxy_t *proxy);

/* Answers all requests whose response has not started, shortly before the process ends: 503 if no
 * target can have run the request, otherwise 504. */
void proxy_end_requests (proxy_t *proxy);

/* Returns the number of requests in progress. */
size_t proxy_in_flight_count (const proxy_t *proxy);

/* Memory that a request holds besides the output to its caller. */
typedef struct
{
  size_t unread_bytes; /* of the request, which the target has not read */
  size_t kept_bytes;   /* body kept for another attempt, and what of the response is not read yet */
  size_t moved_bytes;  /* taken by the target since the kernel was read before */
  /* The target takes no more of the body, so what was kept and received of it is unread as well. */
  bool waits_for_target;
} proxy_held_t;

/* The functions below are called by the caller connection. */

/* Creates a request and moves the request target and the header fields out of HEAD. The returned
 * pointer is valid until finished() or aborted() of CALLER is called, which can happen inside any
 * of the functions below, or until proxy_request_caller_gone() is called. */
proxy_request_t *proxy_request_new (proxy_t *proxy, caller_exchange_t *caller, http_head_t *head);

/* Validates the request and passes it to the policy. This is separate from proxy_request_new()
 * because it can call finished(), when the caller connection must already have the request. */
void proxy_request_start (proxy_request_t *request);

/* Passes on a part of the request body. */
void proxy_request_receive_body (proxy_request_t *request, const char *bytes, size_t size);
/* The request body is complete. */
void proxy_request_receive_end (proxy_request_t *request);

/* The request body is malformed. DETAIL is the text of the 400 response. */
void proxy_request_caller_error (proxy_request_t *request, const char *detail);

/* The caller has closed the connection. Calls neither finished() nor aborted() of CALLER. */
void proxy_request_caller_gone (proxy_request_t *request);

/* Returns what REQUEST holds; reads the kernel buffers of its connection again if READ_KERNEL. */
proxy_held_t proxy_request_read_held (proxy_request_t *request, bool read_kernel);

/* Frees the body that is kept for another attempt, if it was sent; no other attempt is possible
 * then.
 */
void proxy_request_drop_kept_body (proxy_request_t *request);

/* Ends the request to free memory: aborts a response that has started, answers 503 if no target can
 * have run the request, and 502 otherwise. */
void proxy_request_end_for_memory (proxy_request_t *request);

/* Queued output was written to the caller. Resumes reading the response if little is left. */
void proxy_request_output_written (proxy_request_t *request);
