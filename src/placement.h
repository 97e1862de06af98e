#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* placement - assigned entries of a service, owner of a target and resolve answers
 * (design 2.1, 2.4) by rendezvous hashing.
 *
 * The assigned entries of a service are, in each failure domain, the entries_per_domain eligible
 * members with the highest hash of (service, member). A member is eligible if it is alive, has a
 * configuration and is not leaving, so a leaving entry hands its targets over while it drains.
 * Results are computed per service and failure domain on demand and kept until the eligible members
 * of that failure domain change. The hash is the same on every machine and in every version. */

#define PLACEMENT_MAX_PER_DOMAIN 4
#define PLACEMENT_RESOLVE_MAX 6
#define PLACEMENT_RESOLVE_TTL_MS 5000

typedef struct
{
  char *id;
  char *address; /* caller address, "IP:PORT" */
  char *domain;
  uint64_t hash;
  bool configured;
  bool leaving;
} placement_member_t;

typedef struct placement placement_t;

placement_t *placement_new (void);
void placement_free (placement_t *placement);

/* Adds a live entry or updates it; unchanged values cost nothing. */
void placement_set (placement_t *placement, const char *id, const char *address, const char *domain,
                    bool configured, bool leaving);

/* Removes an entry that is no longer alive. */
void placement_remove (placement_t *placement, const char *id);

/* Number of changes of eligible members so far; equal values mean equal results. */
uint64_t placement_version (const placement_t *placement);

/* Stores up to MAX assigned entries of SERVICE, failure domains in alphabetical order and within
 * one the highest hash first, and returns their number. PER_DOMAIN is 1 to
 * PLACEMENT_MAX_PER_DOMAIN. The pointers are valid until the next change. */
size_t placement_assigned (placement_t *placement, const char *service, unsigned per_domain,
                           const placement_member_t **out, size_t max);

/* Returns whether the member ID is an assigned entry of SERVICE. */
bool placement_is_assigned (placement_t *placement, const char *service, unsigned per_domain,
                            const char *id);

/* Returns the owner of the target ADDRESS of SERVICE in TARGET_DOMAIN, NULL without any entry. */
const placement_member_t *placement_owner (placement_t *placement, const char *service,
                                           unsigned per_domain, const char *address,
                                           const char *target_domain);

/* Stores up to MAX entries for a caller in CALLER_DOMAIN, at most PLACEMENT_RESOLVE_MAX: assigned
 * entries in that failure domain first, then the others in an order that depends on the failure
 * domain, so that callers elsewhere do not all have the same second choice. */
size_t placement_resolve (placement_t *placement, const char *service, unsigned per_domain,
                          const char *caller_domain, const placement_member_t **out, size_t max);
