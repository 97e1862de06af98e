#pragma once

#include "rng.h"
#include "upstream_pool.h"

/* loadgen - sends a mix of requests to the addresses that an entry resolves the service to, or to
 * given ones, and prints a summary as JSON. */

typedef struct
{
  char *name; /* key in the summary */
  char *method;
  char *path;
  double weight;
  size_t body_bytes;
  GArray *latencies_ms; /* double; of requests that were answered with a status below 400 */
  int64_t sent;
  int64_t ok;
} load_class_t;

typedef struct
{
  GPtrArray *entries;
  GPtrArray *direct; /* addresses that are used instead of resolved ones */
  GPtrArray *mix;    /* "CLASS:METHOD:PATH:WEIGHT:BODY_BYTES" */
  char *service;
  char *domain;
  char *team;
  double rate; /* requests per second of an open loop */
  double duration_s;
  int64_t closed;      /* requests in flight of a closed loop; 0 selects an open loop */
  int64_t connections; /* limit for each address */
  int64_t timeout_ms;
  int64_t deadline_ms; /* value of Anvillb-Deadline-Ms; 0 for none */
  int64_t seed;
} load_options_t;

typedef struct
{
  int64_t sent;
  int64_t ok;      /* status below 400 */
  int64_t not_run; /* with Anvillb-Not-Run */
  int64_t unknown; /* with Anvillb-Outcome: unknown */
  int64_t cut;     /* connection closed before the end of the response */
  int64_t refused; /* no address could be connected to */
  int64_t timed_out;
  int64_t mismatched; /* X-Echo is not the id of the request */
  int64_t statuses[600];
} load_counts_t;

typedef struct
{
  load_options_t options;
  load_counts_t counts;
  GArray *classes; /* load_class_t */
  io_loop_t *loop;
  GMainLoop *main_loop;
  upstream_pool_t pool;
  rng_t rng;
  GPtrArray *addresses; /* from the last resolve, or the direct ones */
  int64_t addresses_expire_us;
  bool resolving;
  int64_t start_us;
  int64_t end_us;
  int64_t next_id;
  int64_t in_flight;
  bool stopped; /* no more requests are started */
} loadgen_t;

/* loadgen_request.c: starts one request; CLASS_INDEX is an index into classes. */
void load_request_start (loadgen_t *load, guint class_index);

/* loadgen_resolve.c: asks the entries in turn until one returns addresses, then calls
 * load_resolved(). Does nothing while a resolve is in progress. */
void load_resolve (loadgen_t *load);

/* loadgen_main.c */
void load_resolved (loadgen_t *load);
void load_request_ended (loadgen_t *load);
