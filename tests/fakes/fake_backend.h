#pragma once

#include "byte_stream.h"
#include "http_codec.h"
#include "rng.h"
#include "upstream_pool.h"

/* fake_backend - stand-in for a backend server, with faults that are switched at run time.
 *
 * GET /.fake/stats returns counts as JSON. POST /.fake/control?NAME=VALUE&... sets fields of
 * fake_faults_t. All other requests are executed: each takes a slot for the service time, waits if
 * all slots are taken, and is answered with the header X-Echo, a copy of X-Loadgen-Id. */

typedef struct
{
  double slow;          /* factor on the service time */
  double wrong;         /* share of answers without X-Sheet-Id and with another body */
  double error;         /* share of answers with status 500 */
  double truncate;      /* share of answers that are cut inside a chunked body */
  double two_lengths;   /* share of answers with two different Content-Length fields */
  double shed;          /* share of requests refused with 503 and Anvillb-Shed */
  double shed_full;     /* not 0: refuse instead of waiting for a slot */
  double flap_ms;       /* period of alternating health: every second period answers 500 */
  double cold_ms;       /* the service time is 10 times longer for this time after the switch */
  double echo_wrong;    /* share of answers that look like another request's */
  double false_not_run; /* share of executed requests that claim not to have run */
  double silence;       /* not 0: connections that are open now become silent for good */
} fake_faults_t;

typedef enum
{
  FAKE_UP,
  FAKE_DRAINING,
  FAKE_LEAVING,
} fake_state_t;

typedef struct
{
  char *listen;
  char *service;
  char *domain;
  GPtrArray *entries;
  int64_t slots;
  int64_t connections;
  int64_t service_ms;
  int64_t announce_ms;
  int64_t body_bytes;
  int64_t seed;
} fake_options_t;

typedef struct
{
  int64_t requests;  /* read completely */
  int64_t executed;  /* took a slot */
  int64_t completed; /* answered after execution */
  int64_t cancelled; /* the connection was closed before the answer */
  int64_t shed;
  int64_t accepted; /* connections */
  int64_t open;
  int64_t max_open;
  int64_t max_running;
  int64_t announced; /* accepted announcements */
} fake_stats_t;

typedef struct
{
  fake_options_t options;
  fake_faults_t faults;
  fake_state_t state;
  fake_stats_t stats;
  io_loop_t *loop;
  upstream_pool_t pool;
  GSocket *socket;
  io_watch_t watch;
  list_t conns;
  list_t waiting; /* fake_conn_t in order of arrival */
  int64_t running;
  int64_t switched_us; /* last change of the faults */
  GHashTable *keys;    /* Idempotency-Key to number of executions */
  rng_t rng;
  uint16_t port;
  int64_t incarnation;
  int64_t seq;
  guint next_entry;
  char *echo; /* of the last answer to an announcement */
  int64_t echo_us;
} fake_backend_t;

typedef struct
{
  fake_backend_t *backend;
  list_node_t node;
  list_node_t queue;
  byte_stream_t stream;
  http_codec_t codec;
  io_deferred_t free;
  guint timer;
  bool running;
  bool probe; /* the current request is one of the entry's probes */
  bool waiting;
  bool silent;
  bool head_only;
  char *echo;
  char *key;
} fake_conn_t;

/* fake_backend.c */
void fake_backend_accept (io_watch_t *watch, uint32_t events);
void fake_conn_send (fake_conn_t *conn, const char *text, size_t size);

/* fake_control.c: answers paths below /.fake/. */
void fake_control_answer (fake_conn_t *conn, const char *target);

/* fake_announce.c */
void fake_announce (fake_backend_t *backend);
