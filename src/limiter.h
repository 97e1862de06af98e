#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "list.h"

/* limiter - token buckets per team for one service, shared by its assigned entries (design 2.8).
 *
 * Each assigned entry has a bucket with the full rate, and subtracts the consumption that its
 * peers, the other assigned entries, report. Reports are sent in numbered batches. A batch is sent
 * again until it is acknowledged or older than LIMITER_PEER_TIMEOUT_US, so a lost message delays a
 * report by one exchange. A batch is never applied twice, and is lost only if it reaches that age.
 * While a peer has not been heard from for LIMITER_PEER_TIMEOUT_US, the limiter is partitioned: the
 * bucket gets the rate and burst divided by the number of assigned entries, and reports are not
 * subtracted.
 *
 * With n assigned entries and a delivery time of at most LIMITER_MAX_DELIVERY_US, the requests
 * admitted in excess of one bucket, over any period, are at most
 *
 *   (n - 1) x (burst + rate x 0.5 s)  while reports arrive
 *   (n - 1) x (burst + rate x 2 s)    in the first 2 s of a partition
 *
 * The 0.5 s are the exchange interval, the delivery time and the consumption that is not yet
 * reported because it is below rate x LIMITER_REPORT_THRESHOLD_US. */

#define LIMITER_EXCHANGE_INTERVAL_US INT64_C (250000)

/* Consumption of a team is reported once it reaches its rate times this. */
#define LIMITER_REPORT_THRESHOLD_US INT64_C (200000)

/* Longest delivery time for which the bound above holds. */
#define LIMITER_MAX_DELIVERY_US INT64_C (50000)

/* A peer that was not heard from for this time counts as unreachable. Together with the delivery
 * time, the interval of limiter_tick() and LIMITER_REPORT_THRESHOLD_US it gives the 2 s of the
 * bound above. */
#define LIMITER_PEER_TIMEOUT_US INT64_C (1700000)

/* A team is evicted if its bucket is full and there was neither a request of it nor a report of a
 * peer for this time. Its unreported consumption must be reported first, so with a shorter timeout
 * a team with few requests would cost a report for each of them. */
#define LIMITER_IDLE_TIMEOUT_US INT64_C (120000000)

/* Batches kept for retransmission: enough for LIMITER_PEER_TIMEOUT_US. */
#define LIMITER_MAX_BATCHES 8

/* Most peers, the other assigned entries of a service. */
#define LIMITER_MAX_PEERS 47

typedef struct
{
  double rate;  /* requests per second; 0: no limit, every request is admitted */
  double burst; /* requests, at least 1; not used without a limit */
} limiter_limit_t;

typedef struct
{
  /* Returns the limit of the team with the id TEAM, see limiter_team_id(). */
  limiter_limit_t (*limit) (void *data, uint64_t team);
  void *data;
  size_t max_teams;    /* above this the least recently used team is evicted */
  size_t max_reported; /* most teams in one batch; the rest wait for the next batch */
  uint64_t epoch;      /* higher after each restart of this entry, e.g. its incarnation */
} limiter_options_t;

typedef struct
{
  uint64_t team;           /* limiter_team_id() */
  uint32_t admitted_count; /* requests */
} limiter_usage_t;

typedef struct
{
  uint64_t number;    /* from 1 */
  int64_t created_us; /* valid at the sender only; not part of the message */
  size_t usage_count;
  limiter_usage_t *usage;
} limiter_batch_t;

/* One TEAM_USAGE message. */
typedef struct
{
  uint64_t epoch;      /* of the sender */
  uint64_t ack_epoch;  /* last known epoch of the receiver */
  uint64_t ack_number; /* last batch of the receiver that the sender has applied */
  size_t batch_count;
  limiter_batch_t batches[LIMITER_MAX_BATCHES];
} limiter_message_t;

typedef struct
{
  char *id;
  int64_t last_contact_us; /* time at which the peer was last heard from */
  uint64_t epoch;          /* of the peer; 0 until its first message */
  uint64_t applied_batch;  /* last batch of the peer that was applied here */
  uint64_t acked_batch;    /* last own batch that the peer has acknowledged */
  bool ack_due;            /* a batch was received since the last message to the peer */
} limiter_peer_t;

typedef struct
{
  limiter_options_t options;
  GHashTable *teams; /* limiter_team_t */
  list_t lru;        /* limiter_team_t, least recently used first */
  list_t pending;    /* limiter_team_t with consumption for the next batch */
  GPtrArray *peers;  /* limiter_peer_t */
  limiter_batch_t batches[LIMITER_MAX_BATCHES]; /* ring, by number modulo LIMITER_MAX_BATCHES */
  uint64_t batch_number;                        /* of the newest batch; 0: none yet */
  int64_t next_exchange_us;                     /* earliest time of the next exchange */
  bool partitioned;                             /* a peer is unreachable */
} limiter_t;

/* Returns the id of a team: the first 8 bytes of the SHA-256 digest of its name. The digest is
 * cryptographic because callers choose names, and must not be able to hit the bucket of another
 * team. */
uint64_t limiter_team_id (const char *name);

void limiter_init (limiter_t *limiter, const limiter_options_t *options);
void limiter_destroy (limiter_t *limiter);

/* Sets the other assigned entries of the service. A peer that was set before keeps its state. Ids
 * beyond LIMITER_MAX_PEERS are ignored. */
void limiter_set_peers (limiter_t *limiter, int64_t now_us, const char *const *ids, size_t count);

/* Admits one request of TEAM and returns true. If the team is over its limit, returns false and
 * stores the time until a token is available, for Retry-After. */
bool limiter_admit (limiter_t *limiter, int64_t now_us, uint64_t team, int64_t *retry_after_us);

/* Evicts idle teams, and starts an exchange if one is due. Must be called at least every 50 ms. If
 * it returns true, the caller calls limiter_build_message() for each peer. */
bool limiter_tick (limiter_t *limiter, int64_t now_us);

/* Fills MESSAGE for the peer INDEX, from 0 to the peer count - 1, and returns whether it must be
 * sent. The batches point into the limiter and are valid until the next call of any function. */
bool limiter_build_message (limiter_t *limiter, int64_t now_us, size_t index,
                            limiter_message_t *message);

/* Records that the peer ID was heard from by other means, such as a SERVICE_SUMMARY. The limiter
 * itself sends nothing without consumption. */
void limiter_record_contact (limiter_t *limiter, int64_t now_us, const char *id);

/* Applies a message from the peer ID. Ignored if ID is not a peer or the message is from before the
 * peer's last restart. */
void limiter_receive (limiter_t *limiter, int64_t now_us, const char *id,
                      const limiter_message_t *message);

size_t limiter_team_count (const limiter_t *limiter);
