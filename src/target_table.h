#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "link_clock.h"

/* target_table - leases of the targets that this entry owns (design 2.3).
 *
 * An announcement grants a lease that counts from when the target sent it, not from its arrival:
 * the age of the message is subtracted. The age comes from a round trip: the answer to an
 * announcement carries an echo (a time stamp of the entry that answers), and the target returns the
 * echo with its next announcement. Until a target has returned one, the age of its messages is
 * unknown and it gets no lease, because a first announcement that waited in a socket buffer cannot
 * be told from a fresh one. An entry that does not own the target stores nothing; its program
 * forwards the announcement.
 *
 * No work goes to a target later than TARGET_LEASE_US after it sent its last `up`, whatever is
 * lost, delayed or reordered. */

#define TARGET_LEASE_US INT64_C (2500000)
#define TARGET_RENEWAL_US INT64_C (800000)

/* How long a target is remembered after its lease, so that a message from before it left is not
 * taken for a new target. Also the window of link_clock. */
#define TARGET_RETENTION_US INT64_C (60000000)

/* An entry opens at most max(1, announced connections / TARGET_CONNECTION_DIVISOR) connections. */
#define TARGET_CONNECTION_DIVISOR 48

typedef enum
{
  TARGET_UP,
  TARGET_DRAINING,
  TARGET_LEAVING,
} target_state_t;

/* An announcement as received; the strings are copied where needed. */
typedef struct
{
  const char *service;
  const char *address; /* "IP:PORT" */
  const char *domain;
  uint32_t slots;
  uint32_t connections;
  double load; /* 0..1 */
  target_state_t state;
  uint64_t incarnation;
  uint64_t seq;
  int64_t sent_us; /* the target's monotonic clock */
  /* Upper bound of the time since the target sent it, from its echo and the links on the way;
   * LINK_CLOCK_AGE_UNKNOWN without an echo. */
  int64_t age_us;
} target_announcement_t;

typedef struct
{
  char *service;
  char *address;
  char *domain;
  uint32_t slots;
  uint32_t connection_cap; /* for this entry */
  double load;
  target_state_t state;
  uint64_t incarnation;
  uint64_t seq;
  int64_t lease_end_us; /* no new work from this time on */
  bool present;         /* reported as added and not yet as gone */
  link_clock_t clock;
  int64_t forget_us;
} target_t;

typedef enum
{
  TARGET_ACCEPTED,
  TARGET_FORWARD,      /* not owned here: pass the announcement to the owner */
  TARGET_OUTDATED,     /* a later announcement is already known */
  TARGET_EXPIRED,      /* older than its lease, or stopped: no work, but remembered */
  TARGET_UNCALIBRATED, /* no echo yet: answer with one */
  TARGET_LIMIT,        /* too many targets of this service or in this table */
  TARGET_INVALID,
} target_result_t;

typedef enum
{
  TARGET_EVENT_ADDED,   /* may get work */
  TARGET_EVENT_CHANGED, /* slots, connections, load or failure domain are different */
  TARGET_EVENT_GONE,    /* no new work: lease expired, draining, leaving or owned elsewhere */
} target_event_t;

typedef void (*target_event_fn_t) (void *data, target_event_t event, const target_t *target);

typedef struct
{
  size_t max_targets; /* in the table */
  size_t max_per_service;
  /* Refuse leases of unknown age. False falls back to the excess delay, which trusts the first
   * announcement of a target; for backend servers that return no echo. */
  bool require_echo;
  target_event_fn_t on_event;
  void *data;
} target_table_options_t;

typedef struct
{
  target_table_options_t options;
  GHashTable *targets;  /* of target_t, by service and address */
  GHashTable *services; /* service -> number of targets */
} target_table_t;

/* Returns the age bound for target_announcement_t from the echo that a target returned to the entry
 * that issued it: ECHO_US is the time stamp, HELD_US how long the target had it when it sent the
 * announcement. An impossible pair gives LINK_CLOCK_AGE_UNKNOWN. */
int64_t target_echo_age_us (int64_t now_us, int64_t echo_us, int64_t held_us);

void target_table_init (target_table_t *table, const target_table_options_t *options);
void target_table_destroy (target_table_t *table);

/* Takes an announcement. OWNED tells whether this entry is the owner by placement_owner(). */
target_result_t target_table_announce (target_table_t *table, int64_t now_us,
                                       const target_announcement_t *announcement, bool owned);

/* Ends leases and forgets old targets; call at least every 100 ms. */
void target_table_tick (target_table_t *table, int64_t now_us);

/* Returns whether TARGET may get new work at NOW_US; check it for each dispatch. */
bool target_is_usable (const target_t *target, int64_t now_us);

/* Returns the target, or NULL if it is unknown. */
const target_t *target_table_find (const target_table_t *table, const char *service,
                                   const char *address);

/* Drops the targets for which IS_OWNED returns false, after a membership change. Their leases are
 * not handed over; the next renewals reach the new owner. */
void target_table_review (target_table_t *table, int64_t now_us,
                          bool (*is_owned) (void *data, const target_t *target), void *data);

size_t target_table_size (const target_table_t *table);
