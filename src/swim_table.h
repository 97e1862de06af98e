#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "list.h"
#include "rng.h"

/* swim_table - members known to one instance, for the source files of swim.
 *
 * Contains the members by id, their probe order, the queues of updates to send, the suspected and
 * dead members ordered by timer, and a hash per bucket of members. Two instances compare these
 * hashes to find the buckets in which their tables differ. */

/* Buckets of the table. With 4,600 members a bucket holds about 36 records. */
#define SWIM_BUCKET_COUNT 128

/* An update is sent at most SWIM_TRANSMIT_FACTOR * ceil(log2(live members + 1)) times, and at most
 * SWIM_MAX_TRANSMITS times. */
#define SWIM_TRANSMIT_FACTOR 3
#define SWIM_MAX_TRANSMITS 64

typedef enum
{
  SWIM_ALIVE,
  SWIM_SUSPECT,
  SWIM_DEAD,
} swim_status_t;

enum
{
  SWIM_FLAG_LEAVING = 1,    /* is about to leave; gets no new callers */
  SWIM_FLAG_CONFIGURED = 2, /* has a configuration */
  SWIM_FLAG_LEFT = 4,       /* with SWIM_DEAD: the member announced that it leaves */
};

/* State of a member, as sent in messages. The addresses and the failure domain are sent and applied
 * for SWIM_ALIVE only. */
typedef struct
{
  const char *id;
  swim_status_t status;
  uint8_t flags;
  uint64_t incarnation;
  const char *peer_address;   /* for other instances of the fleet */
  const char *caller_address; /* for callers; "" if the member is not an entry */
  const char *domain;
} swim_update_t;

typedef struct
{
  char *id; /* this and the next three are interned strings */
  char *peer_address;
  char *caller_address;
  char *domain;
  uint64_t incarnation;
  uint64_t version;        /* of its configuration, from its last message to this instance */
  uint64_t digest;         /* of its configuration, see swim_message_t */
  int64_t timer_expiry_us; /* when a suspected member is declared dead, a dead one removed */
  uint32_t id_hash;
  uint32_t probe_index; /* position in its probe list */
  uint8_t status;       /* swim_status_t */
  uint8_t flags;
  uint8_t transmit_count;    /* of the current update */
  bool in_own_domain_probes; /* else in other_domain_probes */
  bool last_ping_sent;       /* suspected: the ping shortly before its timer expires was sent */
  list_node_t bucket_node;
  list_node_t queue_node; /* in update_queues */
  list_node_t timer_node; /* in suspects or dead */
} swim_member_t;

/* Members in random order. Each is probed once per round; then the list is shuffled again. */
typedef struct
{
  GPtrArray *members;
  guint next; /* index of the next member to probe */
} swim_probe_list_t;

typedef struct
{
  rng_t *rng;
  swim_member_t *self;                   /* this instance */
  GHashTable *members;                   /* id -> member */
  swim_probe_list_t own_domain_probes;   /* not dead, in the failure domain of SELF; without SELF */
  swim_probe_list_t other_domain_probes; /* not dead, in other failure domains */
  list_t buckets[SWIM_BUCKET_COUNT];
  uint32_t hashes[SWIM_BUCKET_COUNT];           /* of the members that are not dead */
  list_t update_queues[SWIM_MAX_TRANSMITS + 1]; /* by transmit_count */
  list_t suspects;                              /* by timer_expiry_us */
  list_t dead;                                  /* by timer_expiry_us */
  size_t suspect_count;
  size_t dead_count;
} swim_table_t;

/* Creates a table that holds only SELF. */
void swim_table_init (swim_table_t *table, const swim_update_t *self, rng_t *rng);
void swim_table_destroy (swim_table_t *table);

/* Returns the member with ID, or NULL. */
swim_member_t *swim_table_find (const swim_table_t *table, const char *id);

/* Adds a member. UPDATE must be SWIM_ALIVE, and its id must be unknown. */
swim_member_t *swim_table_add (swim_table_t *table, const swim_update_t *update);

/* Removes MEMBER, which must not be SELF. */
void swim_table_remove (swim_table_t *table, swim_member_t *member);

/* Sets the status, flags and incarnation of MEMBER and, for SWIM_ALIVE, its addresses and failure
 * domain. TIMER_EXPIRY_US has no effect for SWIM_ALIVE. */
void swim_table_update_member (swim_table_t *table, swim_member_t *member,
                               const swim_update_t *update, int64_t timer_expiry_us);

/* Sets UPDATE to the state of MEMBER. Its strings are those of MEMBER. */
void swim_table_get_update (const swim_member_t *member, swim_update_t *update);

/* Returns the number of members that are not dead, including SELF. */
size_t swim_table_live_count (const swim_table_t *table);

/* Queues the state of MEMBER as an update to send. Replaces an earlier update of MEMBER. */
void swim_table_enqueue_update (swim_table_t *table, swim_member_t *member);

/* Moves the update with the fewest transmissions to SENT and returns its member. Returns NULL if no
 * update is queued, or if its size by SIZE_OF is above SIZE bytes. */
swim_member_t *swim_table_dequeue_update (swim_table_t *table, size_t size,
                                          size_t (*size_of) (const swim_update_t *update),
                                          list_t *sent);

/* Counts a transmission of the updates in SENT and queues them again, unless they reached the
 * limit. */
void swim_table_requeue_sent (swim_table_t *table, list_t *sent);

/* Returns the next member to probe: one of the own failure domain if OWN_DOMAIN, else one of
 * another. If there is none, returns one of the other kind, or NULL. */
swim_member_t *swim_table_next_probe (swim_table_t *table, bool own_domain);

/* Returns a random member that is not dead and not SELF, or NULL if there is none. */
swim_member_t *swim_table_pick_random (swim_table_t *table);

/* Returns a random dead member, or NULL if there is none. */
swim_member_t *swim_table_pick_random_dead (swim_table_t *table);
