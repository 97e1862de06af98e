#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "list.h"

/* limiter - token buckets per team for one service, shared by its assigned entries (design 2.8).
 *
 * Each assigned entry has a bucket with the full rate and subtracts what the others report. The
 * reports are numbered batches; a batch is repeated until it is acknowledged or older than
 * LIMITER_SILENCE_US, so a lost message costs one more exchange and no count is lost or taken
 * twice. While an assigned entry has not been heard for LIMITER_SILENCE_US, the bucket gets the
 * rate and burst divided by the number of assigned entries, and reports are not subtracted.
 *
 * Admitted in excess of one bucket, over any time, with n assigned entries and a delivery time of
 * at most LIMITER_DELIVERY_US: (n - 1) x (burst + rate x 0.5 s) while reports arrive, and (n - 1) x
 * (burst + rate x 2 s) during the first 2 s of a partition. The 0.5 s are the exchange period, the
 * delivery and consumption below LIMITER_REPORT_US x rate that is not reported yet. */

#define LIMITER_EXCHANGE_US INT64_C (250000)
#define LIMITER_REPORT_US INT64_C (200000)
#define LIMITER_DELIVERY_US INT64_C (50000)

/* An assigned entry that was not heard for this time counts as cut off. With the delivery, the
 * period of limiter_tick() and LIMITER_REPORT_US this makes the 2 s of the stated bound. */
#define LIMITER_SILENCE_US INT64_C (1700000)

/* A team is forgotten when its bucket is full and it had no request for this time. Its consumption
 * is reported then, so a shorter time costs a report for each of few requests. */
#define LIMITER_IDLE_US INT64_C (120000000)

/* Batches that are kept for repetition: those of LIMITER_SILENCE_US. */
#define LIMITER_BATCHES 8

#define LIMITER_MAX_PEERS 47

typedef struct
{
  double rate;  /* requests per second, more than 0 */
  double burst; /* requests, at least 1 */
} limiter_limit_t;

typedef struct
{
  /* Returns the limit of a team, by limiter_team_id(). */
  limiter_limit_t (*limit) (void *data, uint64_t team);
  void *data;
  size_t max_teams;    /* the team with the oldest request makes room for another one */
  size_t max_reported; /* teams in one batch; the others wait for the next one */
  uint64_t epoch;      /* higher after each restart of this entry, e.g. its incarnation */
} limiter_options_t;

typedef struct
{
  uint64_t team;
  uint32_t count;
} limiter_usage_t;

typedef struct
{
  uint64_t number; /* from 1 */
  int64_t made_us; /* at the sender; not part of the message */
  size_t count;
  limiter_usage_t *usage;
} limiter_batch_t;

/* One TEAM_USAGE message. */
typedef struct
{
  uint64_t epoch;
  uint64_t ack_epoch; /* of the receiver, as last heard */
  uint64_t ack_number;
  size_t batch_count;
  limiter_batch_t batches[LIMITER_BATCHES];
} limiter_message_t;

typedef struct
{
  char *id;
  int64_t heard_us;
  uint64_t epoch;     /* of the peer */
  uint64_t taken;     /* its last batch that was subtracted */
  uint64_t confirmed; /* our last batch that it has taken */
  bool ack_due;
} limiter_peer_t;

typedef struct
{
  limiter_options_t options;
  GHashTable *teams; /* of limiter_team_t */
  list_t recent;     /* oldest request first */
  list_t pending;    /* enough consumption for a report */
  GPtrArray *peers;  /* of limiter_peer_t */
  limiter_batch_t batches[LIMITER_BATCHES];
  uint64_t batch_number; /* of the newest batch */
  int64_t exchange_us;   /* time of the next exchange */
  bool partitioned;
} limiter_t;

/* Returns the identity of a team: the first 8 bytes of the SHA-256 of its name. A cryptographic
 * digest, because callers choose names and must not hit the bucket of another team. */
uint64_t limiter_team_id (const char *name);

void limiter_init (limiter_t *limiter, const limiter_options_t *options);
void limiter_destroy (limiter_t *limiter);

/* Sets the other assigned entries of the service. A peer that stays keeps its state. */
void limiter_set_peers (limiter_t *limiter, int64_t now_us, const char *const *ids, size_t count);

/* Takes one request of TEAM. Returns false and the time until a token is there, for Retry-After, if
 * the team is over its limit. */
bool limiter_admit (limiter_t *limiter, int64_t now_us, uint64_t team, int64_t *retry_after_us);

/* Starts an exchange if one is due and evicts idle teams; call at least every 50 ms. Returns
 * whether messages are to be sent: then call limiter_message() for each peer. */
bool limiter_tick (limiter_t *limiter, int64_t now_us);

/* Fills the message for the peer INDEX (0 to peer count - 1) and returns whether it must be sent.
 * The batches point into the limiter and are valid until the next call. */
bool limiter_message (limiter_t *limiter, int64_t now_us, size_t index, limiter_message_t *message);

/* Records any sign of life of the peer ID, such as a heartbeat of its link; without consumption the
 * limiter itself sends nothing. */
void limiter_heard (limiter_t *limiter, int64_t now_us, const char *id);

/* Takes a message from the peer ID; messages of others are ignored. */
void limiter_receive (limiter_t *limiter, int64_t now_us, const char *id,
                      const limiter_message_t *message);

size_t limiter_team_count (const limiter_t *limiter);
