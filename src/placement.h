#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* placement - computes the assigned entries of a service, the owner of a target and the answers of
 * resolve by rendezvous hashing (design 2.1, 2.4).
 *
 * The assigned entries of a service are, in each failure domain, the entries_per_domain eligible
 * members with the highest hash of (service, member). A member is eligible if it is alive, has a
 * configuration and is not leaving, so the targets of a leaving entry get another owner while it
 * drains. Results are computed on demand and cached per service and failure domain until the
 * eligible members of that domain change. The hash is the same on every machine and in every
 * version. */

/* Most assigned entries of a service in one failure domain. */
#define PLACEMENT_MAX_PER_DOMAIN 4

/* Most entries in one answer of resolve. */
#define PLACEMENT_MAX_RESOLVED 6
#define PLACEMENT_RESOLVE_TTL_MS 5000

typedef struct
{
  char *id;
  char *address; /* caller address, "IP:PORT" */
  char *domain;
  uint64_t hash;   /* of the id */
  bool configured; /* has a configuration */
  bool leaving;
} placement_member_t;

typedef struct placement placement_t;

placement_t *placement_new (void);
void placement_free (placement_t *placement);

/* Adds a live entry or updates it. Does nothing if no value has changed. */
void placement_set (placement_t *placement, const char *id, const char *address, const char *domain,
                    bool configured, bool leaving);

/* Removes an entry that is no longer alive. */
void placement_remove (placement_t *placement, const char *id);

/* Returns the number of changes of eligible members so far. Results do not change while this number
 * does not. */
uint64_t placement_version (const placement_t *placement);

/* Stores up to MAX assigned entries of SERVICE, failure domains in alphabetical order and within
 * one the highest hash first, and returns their number. PER_DOMAIN is 1 to
 * PLACEMENT_MAX_PER_DOMAIN. The pointers are valid until the next change. */
size_t placement_assigned (placement_t *placement, const char *service, unsigned per_domain,
                           const placement_member_t **out, size_t max);

/* Returns whether the member ID is an assigned entry of SERVICE. */
bool placement_is_assigned (placement_t *placement, const char *service, unsigned per_domain,
                            const char *id);

/* Returns the owner of the target ADDRESS of SERVICE in TARGET_DOMAIN, or NULL if no entry is
 * assigned. Assigned entries in TARGET_DOMAIN are preferred. */
const placement_member_t *placement_owner (placement_t *placement, const char *service,
                                           unsigned per_domain, const char *address,
                                           const char *target_domain);

/* Stores up to MAX entries for a caller in CALLER_DOMAIN, at most PLACEMENT_MAX_RESOLVED: assigned
 * entries in that failure domain first, then the others by failure domain, in a rotation of the
 * alphabetical order that depends on SERVICE and CALLER_DOMAIN, so that callers in different
 * failure domains do not all have the same second choice. */
size_t placement_resolve (placement_t *placement, const char *service, unsigned per_domain,
                          const char *caller_domain, const placement_member_t **out, size_t max);
