#pragma once

#include "swim_wire.h"

/* swim - membership with failure detection (design 2.12), after the SWIM and Lifeguard papers.
 *
 * Each period one member is pinged, in a shuffled round. Without an ack, other members ping it; if
 * that fails too, it is suspected, and dead when the suspicion is not refuted in time. Updates ride
 * on the messages. Differences that remain are found by comparing hashes of the tables with one
 * member at a low rate. Departures from the papers:
 *
 * - A report that a member is dead counts as a suspicion only, so each instance waits for its own
 *   timeout, and the view of an instance that was cut off does not spread when it returns.
 * - Each message says what its sender knows of the receiver, so that a member that is suspected,
 *   dead or unknown there can react at once.
 * - Dead members are pinged now and then, which heals partitions.
 *
 * Sends at most SWIM_UPDATE_RATE + SWIM_SYNC_RATE bytes per second besides the fixed part of the
 * messages; a short burst of SWIM_SYNC_BURST serves an instance that joins. */

#define SWIM_PERIOD_US INT64_C (1000000)
#define SWIM_ACK_TIMEOUT_US INT64_C (300000)
#define SWIM_TICK_US INT64_C (100000)
#define SWIM_INDIRECT_PINGS 3
#define SWIM_RETENTION_US (3600 * INT64_C (1000000))
#define SWIM_SYNC_INTERVAL_US (30 * INT64_C (1000000))

/* Largest size in bytes of the updates in a message, so that it fits a datagram of 1,232 bytes. */
#define SWIM_UPDATE_BYTES 1000

/* Bytes per second on average for updates and for the comparison of tables. */
#define SWIM_UPDATE_RATE 4000
#define SWIM_UPDATE_BURST 1500
#define SWIM_SYNC_RATE 1500
#define SWIM_SYNC_BURST (512 * 1024)

/* Members that are told at once of a new configuration version or a departure. */
#define SWIM_EAGER_PINGS 3

typedef enum
{
  SWIM_EVENT_JOINED,  /* new, or alive again after its death */
  SWIM_EVENT_UPDATED, /* address, failure domain, flags or incarnation; also a refuted suspicion */
  SWIM_EVENT_SUSPECTED,
  SWIM_EVENT_DEAD, /* failed, or left if SWIM_FLAG_LEFT is set */
  SWIM_EVENT_REMOVED,
} swim_event_t;

typedef struct swim_io swim_io_t;

struct swim_io
{
  /* Sends MESSAGE to a peer address; it may be lost. */
  void (*send) (swim_io_t *io, const char *address, const swim_message_t *message);
  /* MEMBER is valid during the call. NULL if not needed. */
  void (*on_member) (swim_io_t *io, swim_event_t event, const swim_member_t *member);
  /* MEMBER has a higher configuration version than this instance, or the same with another digest.
   * NULL if not needed. */
  void (*on_version) (swim_io_t *io, const swim_member_t *member, uint64_t version,
                      uint64_t digest);
};

typedef struct
{
  const char *id;
  const char *peer_address;
  const char *caller_address; /* "" if the instance is no entry */
  const char *domain;
  uint64_t incarnation;     /* start time in wall-clock milliseconds */
  const char *const *seeds; /* peer addresses; may contain the own one */
  size_t seed_count;
  uint64_t random_seed;
  double own_domain_share; /* part of the probes that go to the own failure domain, 0 to 1 */
  unsigned health_limit;   /* largest slow-down of the own probes; 0 turns it off */
  bool demote_deaths;      /* take reported deaths as suspicions */
} swim_options_t;

/* Sets the defaults; id, addresses, failure domain, incarnation and seeds remain to be set. */
void swim_options_init (swim_options_t *options);

typedef struct
{
  char *id; /* NULL without a probe under way */
  uint32_t seq;
  int64_t indirect_us; /* time of the indirect pings; INT64_MAX once they are sent */
  int64_t end_us;
} swim_probe_t;

/* A ping sent for another instance. */
typedef struct
{
  uint32_t seq;
  uint32_t origin_seq;
  char *origin; /* id */
  char *origin_address;
  char *subject;
  int64_t end_us;
} swim_relay_t;

/* Records that are being sent to a member. */
typedef struct
{
  char *id;
  char *address;
  uint8_t bits[SWIM_SYNC_BITS_SIZE];
  unsigned bucket;   /* next one */
  unsigned position; /* records of it that are sent */
  bool joins;
} swim_transfer_t;

typedef struct
{
  swim_options_t options;
  swim_io_t *io;
  rng_t rng;
  swim_table_t table;
  GPtrArray *seeds;
  bool stopped;
  uint32_t next_seq;
  uint64_t version;
  uint64_t digest;
  int64_t last_tick_us;
  int64_t next_period_us;
  double own_credit;
  swim_probe_t probe;
  GPtrArray *relays;
  unsigned health; /* 0 is good */
  double update_tokens;
  double sync_tokens;
  int64_t next_contact_us;
  unsigned contact_count;
  int64_t next_sync_us;
  unsigned quick_syncs; /* further comparisons at short intervals */
  GPtrArray *transfers;
} swim_t;

void swim_init (swim_t *swim, const swim_options_t *options, swim_io_t *io, int64_t now_us);
void swim_destroy (swim_t *swim);

/* Call every SWIM_TICK_US. A call that comes much later is taken as a pause of this process. */
void swim_tick (swim_t *swim, int64_t now_us);

/* Takes MESSAGE, which came from the peer address SOURCE; answers go there. */
void swim_receive (swim_t *swim, int64_t now_us, const char *source, const swim_message_t *message);

/* Sets the version and digest that all messages carry, and tells some members at once. A version
 * above 0 also makes this instance known as configured. */
void swim_set_version (swim_t *swim, int64_t now_us, uint64_t version, uint64_t digest);

/* Announces that this instance drains; it stays a member. */
void swim_set_leaving (swim_t *swim, int64_t now_us);

/* Announces the end of this instance. After that it neither sends nor reacts. */
void swim_stop (swim_t *swim, int64_t now_us);

/* Number of members that are not dead, with this instance. */
size_t swim_live_count (const swim_t *swim);

/* Returns a member, also if it is suspected or dead, or NULL. */
const swim_member_t *swim_find (const swim_t *swim, const char *id);

/* Calls VISIT for each member, with this instance and the dead ones. */
void swim_foreach (const swim_t *swim, void (*visit) (void *data, const swim_member_t *member),
                   void *data);
