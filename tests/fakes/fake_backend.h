#pragma once

#include "byte_stream.h"
#include "http_codec.h"
#include "rng.h"
#include "upstream_pool.h"

/* fake_backend - stand-in for a backend server, with faults that can be changed at run time.
 *
 * GET /.fake/stats returns counts as JSON. POST /.fake/control?NAME=VALUE&... sets fields of
 * fake_faults_t. Any other request is executed: it waits for a free slot and takes it for the
 * service time. The X-Echo field of the response is a copy of X-Loadgen-Id. */

typedef struct
{
  double slow;          /* factor on the service time */
  double wrong;         /* share of responses without X-Sheet-Id and with another body */
  double error;         /* share of responses with status 500 */
  double truncate;      /* share of responses that end inside a chunked body */
  double two_lengths;   /* share of responses with two different Content-Length fields */
  double shed;          /* share of requests refused with 503 and Anvillb-Shed */
  double shed_full;     /* not 0: refuse instead of waiting for a slot */
  double flap_ms;       /* not 0: status 500 in every second period of this length */
  double cold_ms;       /* service times are 10 times longer for this time after a change */
  double echo_wrong;    /* share of responses with another id in X-Echo */
  double false_not_run; /* share of executed requests whose response has Anvillb-Not-Run */
  double silence; /* not 0: all other open connections send nothing more; reset to 0 at once */
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
  GPtrArray *entries; /* addresses that get announcements */
  int64_t slots;
  int64_t connections;
  int64_t service_ms;
  int64_t announce_ms;
  int64_t body_bytes;
  int64_t seed;
} fake_options_t;

typedef struct
{
  int64_t requests;  /* received completely */
  int64_t executed;  /* took a slot */
  int64_t completed; /* got a response after execution */
  int64_t cancelled; /* the connection was closed before the response */
  int64_t shed;
  int64_t accepted; /* connections */
  int64_t open;     /* connections */
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
  list_t waiting;            /* fake_conn_t without a slot, in order of arrival */
  int64_t running;           /* requests that have a slot */
  int64_t faults_changed_us; /* last request to /.fake/control */
  GHashTable *keys;          /* Idempotency-Key to number of executions */
  rng_t rng;
  uint16_t port;
  int64_t incarnation;
  int64_t seq;
  guint next_entry; /* index into entries, modulo their number */
  char *echo;       /* from the last accepted announcement; the next one returns it */
  int64_t echo_received_us;
} fake_backend_t;

typedef struct
{
  fake_backend_t *backend;
  list_node_t node; /* on conns */
  list_node_t waiting_node;
  byte_stream_t stream;
  http_codec_t codec;
  io_deferred_t deferred_free;
  guint timer; /* source id of the service time; 0 if none */
  bool running;
  bool probe; /* the current request is one of the entry's probes */
  bool waiting;
  bool silent; /* sends nothing more */
  bool is_head_request;
  char *echo;       /* X-Loadgen-Id of the request; NULL if absent */
  char *attempt_id; /* Anvillb-Attempt of the request; NULL if absent */
  char *key;        /* Idempotency-Key of the request; NULL if absent */
} fake_conn_t;

/* fake_backend.c */
void fake_backend_accept (io_watch_t *watch, uint32_t events);
void fake_conn_send (fake_conn_t *conn, const char *text, size_t size);

/* fake_control.c: handles a request to a path below /.fake/. */
void fake_control_respond (fake_conn_t *conn, const char *request_target);

/* fake_announce.c: sends an announcement to one of the entries. */
void fake_announce_send (fake_backend_t *backend);
