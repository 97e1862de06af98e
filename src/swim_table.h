#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "list.h"
#include "rng.h"

/* swim_table - the members that one instance knows, for the modules of swim.
 *
 * Keeps the members by id, the probe order, the updates that are still to be passed on, the
 * suspected and dead members in order of their timers, and one hash per bucket of ids, with which
 * two instances find out where their tables differ. */

/* Buckets of the comparison; with 4,600 members one bucket is about 36 records. */
#define SWIM_BUCKETS 128

/* Updates are passed on at most SWIM_SPREAD_FACTOR x log2(members) times. */
#define SWIM_SPREAD_FACTOR 3
#define SWIM_MAX_TRANSMITS 64

typedef enum
{
  SWIM_ALIVE,
  SWIM_SUSPECT,
  SWIM_DEAD,
} swim_status_t;

enum
{
  SWIM_FLAG_LEAVING = 1,    /* drains; gets no new callers */
  SWIM_FLAG_CONFIGURED = 2, /* has a configuration */
  SWIM_FLAG_LEFT = 4,       /* with SWIM_DEAD: announced by the member itself */
};

/* One statement about a member. The addresses and the failure domain are set for SWIM_ALIVE only.
 */
typedef struct
{
  const char *id;
  swim_status_t status;
  uint8_t flags;
  uint64_t incarnation;
  const char *peer_address;   /* for the project's own processes */
  const char *caller_address; /* for callers; "" if it is no entry */
  const char *domain;
} swim_update_t;

typedef struct
{
  char *id; /* the texts are interned */
  char *peer_address;
  char *caller_address;
  char *domain;
  uint64_t incarnation;
  uint64_t version; /* of its configuration, from its last direct message */
  uint64_t digest;
  int64_t timer_us; /* suspected: declared dead then; dead: removed then */
  uint32_t id_hash;
  uint32_t ring_index;
  uint8_t status; /* swim_status_t */
  uint8_t flags;
  uint8_t transmits;
  bool in_own_ring;
  bool checked; /* suspected: pinged a last time before it is declared dead */
  list_node_t bucket_node;
  list_node_t queue_node; /* updates to pass on */
  list_node_t timer_node; /* suspected or dead */
} swim_member_t;

/* Members in shuffled order; each is taken once per round. */
typedef struct
{
  GPtrArray *members;
  guint next;
} swim_ring_t;

typedef struct
{
  rng_t *rng;
  swim_member_t *self;
  GHashTable *members;
  swim_ring_t own_ring;   /* not dead, in the failure domain of SELF, without SELF */
  swim_ring_t other_ring; /* not dead, in other failure domains */
  list_t buckets[SWIM_BUCKETS];
  uint32_t hashes[SWIM_BUCKETS];        /* over the members that are not dead */
  list_t queue[SWIM_MAX_TRANSMITS + 1]; /* by number of transmissions */
  list_t suspects;                      /* by timer */
  list_t dead;                          /* by timer */
  size_t suspect_count;
  size_t dead_count;
} swim_table_t;

/* Creates a table that holds only SELF. */
void swim_table_init (swim_table_t *table, const swim_update_t *self, rng_t *rng);
void swim_table_destroy (swim_table_t *table);

swim_member_t *swim_table_find (const swim_table_t *table, const char *id);

/* Adds a member that is unknown so far. */
swim_member_t *swim_table_add (swim_table_t *table, const swim_update_t *update);

/* Removes a member that is not SELF. */
void swim_table_remove (swim_table_t *table, swim_member_t *member);

/* Sets status, flags and incarnation of MEMBER and, for SWIM_ALIVE, its texts. TIMER_US is ignored
 * for SWIM_ALIVE. */
void swim_table_set (swim_table_t *table, swim_member_t *member, const swim_update_t *update,
                     int64_t timer_us);

/* Fills UPDATE with what is known of MEMBER; it points into MEMBER. */
void swim_table_get (const swim_member_t *member, swim_update_t *update);

/* Number of members that are not dead, with SELF. */
size_t swim_table_live (const swim_table_t *table);

/* Passes the state of MEMBER on with the next messages. */
void swim_table_spread (swim_table_t *table, swim_member_t *member);

/* Moves the least often sent update to SENT and returns it; NULL if there is none or if it takes
 * more than SIZE bytes by SIZE_OF. */
swim_member_t *swim_table_next_update (swim_table_t *table, size_t size,
                                       size_t (*size_of) (const swim_update_t *update),
                                       list_t *sent);

/* Ends a message: puts the updates in SENT back, counted once more. */
void swim_table_end_message (swim_table_t *table, list_t *sent);

/* Returns the next member of the probe order, from the own failure domain if OWN, or NULL. */
swim_member_t *swim_table_next_probe (swim_table_t *table, bool own);

/* Returns a random member that is not dead and not SELF, or NULL. */
swim_member_t *swim_table_random (swim_table_t *table);

/* Returns a random dead member, or NULL. */
swim_member_t *swim_table_random_dead (swim_table_t *table);
