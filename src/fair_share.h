#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* fair_share - how often each member of a set, such as the teams or the kinds of requests at a
 * queue, is served, compared with all of them. It does no I/O.
 *
 * Answers two load patterns: one team sends many times its usual rate, and demand exceeds the
 * capacity for seconds, so that strict priority would not serve the least urgent at all.
 *
 * Starved. Requests offered and served are counted with exponential decay. A member is starved if
 * its served share is below FAIR_SHARE_FLOOR of that of all members.
 *
 * Above its share. Each member has a debt: work that it was given beyond its share of all work. The
 * share of a member is its part of the requests over a longer time, and at least one part in the
 * number of members. So a member that sends at its usual rate has no debt, whatever its size. The
 * debt shrinks as others are served.
 *
 * Times are in microseconds, except for work, whose unit is the caller's. A member that has not
 * been seen for FAIR_SHARE_IDLE_US is forgotten. */

/* Members are guaranteed a quarter of the share of all; the rest is a margin, since the guarantee
 * takes effect after the loss. */
#define FAIR_SHARE_FLOOR 0.35
#define FAIR_SHARE_IDLE_US INT64_C (120000000)

typedef struct
{
  double offered;
  double served;
  int64_t updated_us;
} share_count_t;

typedef struct
{
  double decay_us; /* time constant of the counts of offered and served requests */
  share_count_t all;
  double usual; /* requests of all members, decayed over the longer time */
  int64_t usual_updated_us;
  double work;         /* of all members, since the start */
  GHashTable *members; /* id -> member */
  int64_t last_expiry_us;
} fair_share_t;

void fair_share_init (fair_share_t *share, double decay_us);
void fair_share_destroy (fair_share_t *share);

/* Record a request of the member ID, and that it is served with WORK. */
void fair_share_record_offered (fair_share_t *share, int64_t now_us, uint64_t id);
void fair_share_record_served (fair_share_t *share, int64_t now_us, uint64_t id, double work);

/* Returns whether the member ID is served less than FAIR_SHARE_FLOOR as often as all. */
bool fair_share_is_starved (const fair_share_t *share, int64_t now_us, uint64_t id);

/* Returns the served share of the requests of the member ID, 0 to 1; 1 without a request. */
double fair_share_served (const fair_share_t *share, int64_t now_us, uint64_t id);

/* Returns the work that the member ID was given beyond its share. */
double fair_share_debt (const fair_share_t *share, int64_t now_us, uint64_t id);
