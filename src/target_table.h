#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "link_clock.h"

/* target_table - leases of the targets that this entry owns (design 2.3).
 *
 * An announcement grants a lease that starts when the target sent it: the age of the message is
 * subtracted. The age comes from a round trip. The answer to an announcement carries an echo, a
 * time stamp of the answering entry, and the target returns it with its next announcement. Until
 * then the age is unknown and the target gets no lease, because a first announcement that waited in
 * a socket buffer looks like a new one. An entry that does not own the target stores nothing; its
 * program forwards the announcement. The programs of a fleet with control instances have
 * target_registry instead.
 *
 * With require_echo, a target gets no request later than TARGET_LEASE_US after it sent its last
 * announcement with state `up`, whatever messages are lost, delayed or reordered. */

#define TARGET_LEASE_US INT64_C (2500000)
#define TARGET_RENEWAL_PERIOD_US INT64_C (800000)

/* Time for which a target is kept after its lease, so that a delayed announcement that it sent
 * before it left does not add it again. Equal to the window of link_clock. */
#define TARGET_RETENTION_US INT64_C (60000000)

/* An entry opens at most max(1, announced connections / TARGET_CONNECTION_DIVISOR) connections to a
 * target. */
#define TARGET_CONNECTION_DIVISOR 48

typedef enum
{
  TARGET_UP,
  TARGET_DRAINING,
  TARGET_LEAVING,
} target_state_t;

/* A received announcement. The strings are borrowed; the table copies them. */
typedef struct
{
  const char *service;
  const char *address; /* "IP:PORT" */
  const char *domain;
  uint32_t slots;
  uint32_t connections; /* announced limit of open connections */
  double load;          /* 0..1 */
  target_state_t state;
  uint64_t incarnation;
  uint64_t seq;
  int64_t sent_us; /* on the target's monotonic clock */
  /* Upper bound of the time since the target sent the announcement, from its echo and the links
   * that forwarded it. LINK_CLOCK_AGE_UNKNOWN without an echo. */
  int64_t max_age_us;
} target_announcement_t;

typedef struct
{
  char *service;
  char *address;
  char *domain;
  uint32_t slots;
  uint32_t connection_cap; /* connections that this entry may open */
  double load;
  target_state_t state;
  uint64_t incarnation;
  uint64_t seq;
  int64_t lease_end_us; /* no new requests from this time on */
  bool reported_added;  /* TARGET_EVENT_ADDED was sent, and no TARGET_EVENT_GONE since */
  link_clock_t clock;
  int64_t retention_end_us; /* removed from the table at this time */
} target_t;

typedef enum
{
  TARGET_ACCEPTED,
  TARGET_NOT_OWNED,   /* not owned by this entry: forward the announcement to the owner */
  TARGET_OUTDATED,    /* a later announcement is already known */
  TARGET_NOT_USABLE,  /* stored, but gets no requests: older than the lease, draining or leaving */
  TARGET_AGE_UNKNOWN, /* stored without a lease: no valid echo in the window of link_clock */
  TARGET_TABLE_FULL,  /* max_targets or max_per_service is reached */
  TARGET_INVALID,
} target_result_t;

typedef enum
{
  TARGET_EVENT_ADDED,   /* may get requests */
  TARGET_EVENT_CHANGED, /* slots, connections, load or failure domain have changed */
  TARGET_EVENT_GONE,    /* no new requests: lease expired, draining, leaving or not owned */
} target_event_t;

typedef void (*target_event_fn_t) (void *data, target_event_t event, const target_t *target);

typedef struct
{
  size_t max_targets; /* in the table */
  size_t max_per_service;
  /* Grants no lease to announcements of unknown age. If false, the excess delay is the age:
   * this trusts the first announcement of a target, but needs no echo from the backend server. */
  bool require_echo;
  target_event_fn_t on_event;
  void *data;
} target_table_options_t;

typedef struct
{
  target_table_options_t options;
  GHashTable *targets;               /* set of target_t, by service and address */
  GHashTable *service_target_counts; /* service -> number of targets */
} target_table_t;

/* Returns max_age_us of target_announcement_t for an echo that this entry issued: ECHO_US is its
 * time stamp, HELD_US the time for which the target held it before it sent the announcement.
 * Returns LINK_CLOCK_AGE_UNKNOWN if the two cannot both be true at NOW_US. */
int64_t target_compute_max_age_us (int64_t now_us, int64_t echo_us, int64_t held_us);

void target_table_init (target_table_t *table, const target_table_options_t *options);
void target_table_destroy (target_table_t *table);

/* Applies an announcement. OWNED is whether placement_owner() selects this entry. */
target_result_t target_table_announce (target_table_t *table, int64_t now_us,
                                       const target_announcement_t *announcement, bool owned);

/* Ends expired leases and removes targets whose retention has ended. Call at least every 100 ms. */
void target_table_tick (target_table_t *table, int64_t now_us);

/* Returns whether TARGET may get new requests at NOW_US. Check it before each dispatch. */
bool target_is_usable (const target_t *target, int64_t now_us);

/* Returns the target, or NULL if it is unknown. */
const target_t *target_table_find (const target_table_t *table, const char *service,
                                   const char *address);

/* Ends the leases of targets for which IS_OWNED returns false. Call it after a membership change.
 * Leases are not transferred; the next renewal reaches the new owner. */
void target_table_end_unowned_leases (target_table_t *table, int64_t now_us,
                                      bool (*is_owned) (void *data, const target_t *target),
                                      void *data);

size_t target_table_size (const target_table_t *table);
