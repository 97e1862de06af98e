#pragma once

#include "swim_wire.h"

/* swim - membership with failure detection (docs/design.md, 2.12), after the SWIM and Lifeguard
 * papers.
 *
 * Each period, one member is probed with a ping, in random order. Without an ack, other members
 * ping it (indirect pings). If these fail too, the member is suspected, and declared dead if it
 * does not refute the suspicion in time. Updates are piggybacked on the messages. An anti-entropy
 * sync with one member at a time, at a low rate, compares hashes of the tables and repairs the
 * remaining differences. Deviations from the papers:
 *
 * - A reported death counts as a suspicion only, unless the member left. Each instance therefore
 *   waits for its own timeout, and the outdated view of a partitioned instance does not spread when
 *   it returns.
 * - Each message contains what the sender knows of the receiver, so that a receiver that is
 *   suspected, dead or unknown at the sender can react immediately.
 * - Dead members are pinged periodically, which heals partitions.
 *
 * Sends at most SWIM_UPDATE_BYTES_PER_S + SWIM_SYNC_BYTES_PER_S on average, not counting the fixed
 * part of pings and acks, and the records that are added regardless of the budgets: the own record
 * and the random members in a reply to a joining instance. A burst of SWIM_SYNC_BURST_BYTES
 * transfers the table to a joining instance. */

#define SWIM_PERIOD_US INT64_C (1000000) /* one probe per period */
#define SWIM_ACK_TIMEOUT_US INT64_C (300000)
#define SWIM_TICK_US INT64_C (100000)
#define SWIM_INDIRECT_PING_COUNT 3
#define SWIM_DEAD_RETENTION_US (3600 * INT64_C (1000000))
#define SWIM_SYNC_INTERVAL_US (30 * INT64_C (1000000))

/* Largest size of the updates in one message. Unless ids and addresses are very long, the message
 * fits in a datagram of 1,232 bytes, although the peer network sends it over TCP. */
#define SWIM_MAX_UPDATE_BYTES 1000

/* Token buckets that limit the bytes sent for updates and for syncs. */
#define SWIM_UPDATE_BYTES_PER_S 4000
#define SWIM_UPDATE_BURST_BYTES 1500
#define SWIM_SYNC_BYTES_PER_S 1500
#define SWIM_SYNC_BURST_BYTES (512 * 1024)

/* Random members that are pinged immediately after a change, such as a new configuration version or
 * a departure. */
#define SWIM_EAGER_PING_COUNT 3

typedef enum
{
  SWIM_EVENT_JOINED,  /* new, or alive or suspected after it was dead */
  SWIM_EVENT_UPDATED, /* new address, domain, flags or incarnation; also a refuted suspicion */
  SWIM_EVENT_SUSPECTED,
  SWIM_EVENT_DEAD,    /* failed, or left if SWIM_FLAG_LEFT is set */
  SWIM_EVENT_REMOVED, /* was dead for SWIM_DEAD_RETENTION_US */
} swim_event_t;

typedef struct swim_io swim_io_t;

struct swim_io
{
  /* Sends MESSAGE to a peer address. The message may be lost. */
  void (*send) (swim_io_t *io, const char *address, const swim_message_t *message);
  /* Reports EVENT. MEMBER is valid during the call only. May be NULL. */
  void (*on_member) (swim_io_t *io, swim_event_t event, const swim_member_t *member);
  /* Reports that MEMBER has a higher configuration version than this instance, or the same version
   * with another digest. May be NULL. */
  void (*on_version) (swim_io_t *io, const swim_member_t *member, uint64_t version,
                      uint64_t digest);
};

typedef struct
{
  const char *id;
  const char *peer_address;
  const char *caller_address; /* "" if the instance is not an entry */
  const char *domain;
  uint64_t incarnation;     /* start time in wall-clock milliseconds */
  const char *const *seeds; /* peer addresses; may contain peer_address */
  size_t seed_count;
  uint64_t random_seed;
  double own_domain_share;       /* part of the probes that go to DOMAIN, 0 to 1 */
  unsigned max_health_score;     /* bound of swim_t.health_score; 0 disables it */
  bool suspects_reported_deaths; /* a reported death counts as a suspicion only, unless the
                                    member left */
} swim_options_t;

/* Sets the defaults. The caller sets id, addresses, failure domain, incarnation, seeds and random
 * seed. */
void swim_options_init (swim_options_t *options);

typedef struct
{
  char *id;                 /* member that is probed; NULL if no probe is in progress */
  uint32_t seq;             /* of the ping */
  int64_t indirect_ping_us; /* time to send the indirect pings; INT64_MAX after they were sent */
  int64_t expiry_us;        /* time at which the probe fails without an ack */
} swim_probe_t;

/* An indirect ping, sent at the request of another member. */
typedef struct
{
  uint32_t seq;        /* of the ping to SUBJECT */
  uint32_t origin_seq; /* of the request */
  char *origin;        /* id of the member that requested the ping */
  char *origin_address;
  char *subject;     /* id of the member that was pinged */
  int64_t expiry_us; /* time at which the ack is no longer forwarded */
} swim_relayed_ping_t;

/* Transfer of the records of some buckets to a member, after a comparison of the tables. */
typedef struct
{
  char *id;
  char *address;
  uint8_t bucket_bitmap[SWIM_SYNC_BITMAP_SIZE]; /* buckets to send */
  unsigned next_bucket;
  unsigned sent_in_bucket; /* records of next_bucket that were sent */
  bool peer_is_joining;    /* gets the whole table, limited by sync_tokens only */
} swim_transfer_t;

typedef struct
{
  swim_options_t options;
  swim_io_t *io;
  rng_t rng;
  swim_table_t table;
  GPtrArray *seeds; /* peer addresses */
  bool stopped;
  uint32_t last_seq; /* of a ping */
  uint64_t version;  /* of the configuration; 0 for none */
  uint64_t digest;   /* of the configuration */
  int64_t last_tick_us;
  int64_t next_period_us;
  double own_domain_credit; /* grows by own_domain_share with each probe */
  swim_probe_t probe;
  GPtrArray *relayed_pings; /* of swim_relayed_ping_t */
  unsigned health_score;    /* Lifeguard's local health: 0 is healthy; rises if own probes fail or
                               another member reports this instance as suspected or dead */
  double update_tokens;     /* bytes; may become negative */
  double sync_tokens;       /* bytes; may become negative */
  int64_t next_reconnect_us;
  unsigned reconnect_count;
  int64_t next_sync_us;
  unsigned quick_syncs_left; /* syncs to make at short intervals */
  GPtrArray *transfers;      /* of swim_transfer_t */
} swim_t;

void swim_init (swim_t *swim, const swim_options_t *options, swim_io_t *io, int64_t now_us);
void swim_destroy (swim_t *swim);

/* Must be called every SWIM_TICK_US. A much later call means that this process was paused. */
void swim_tick (swim_t *swim, int64_t now_us);

/* Handles MESSAGE from the peer address SOURCE. Replies are sent to SOURCE. */
void swim_receive (swim_t *swim, int64_t now_us, const char *source, const swim_message_t *message);

/* Sets the configuration version and digest that all messages contain, and pings some members
 * immediately. A version above 0 also sets SWIM_FLAG_CONFIGURED. */
void swim_set_version (swim_t *swim, int64_t now_us, uint64_t version, uint64_t digest);

/* Announces that this instance is about to leave. It remains a member until swim_stop(). */
void swim_set_leaving (swim_t *swim, int64_t now_us);

/* Announces that this instance leaves. Afterwards it sends nothing and ignores all messages. */
void swim_stop (swim_t *swim, int64_t now_us);

/* Returns the number of members that are not dead, including this instance. */
size_t swim_live_count (const swim_t *swim);

/* Returns a member, which may be suspected or dead, or NULL if ID is unknown. */
const swim_member_t *swim_find (const swim_t *swim, const char *id);

/* Calls VISIT for each member, including this instance and dead members. */
void swim_foreach (const swim_t *swim, void (*visit) (void *data, const swim_member_t *member),
                   void *data);
