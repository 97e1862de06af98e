#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "target_registry.h"

/* entry_directory - which entries callers are sent to; pure.
 *
 * Each entry reports its state to all control instances. In each failure domain a few of the ready
 * entries, chosen by rendezvous hash, are active: callers of that domain are sent to them alone.
 * Few entries keep the queue of a domain's targets in one place, and two or more of them let a
 * caller go on when one fails. The other entries stand by. */

#define DIRECTORY_MAX_ADDRESSES 64

typedef enum
{
  ENTRY_STARTING,
  ENTRY_READY,
  ENTRY_LEAVING,
} entry_state_t;

typedef struct
{
  char id[REGISTRY_NAME_SIZE];
  char domain[REGISTRY_NAME_SIZE];
  char caller_address[REGISTRY_ADDRESS_SIZE];
  char peer_address[REGISTRY_ADDRESS_SIZE];
  uint64_t incarnation; /* of its process */
  entry_state_t state;
  int64_t seen_us; /* last report */
} directory_entry_t;

typedef struct
{
  unsigned active_per_domain;
  int64_t silence_us; /* an entry that has not reported for this long is not used */
} directory_options_t;

typedef struct
{
  directory_options_t options;
  GHashTable *entries; /* id -> directory_entry_t */
} entry_directory_t;

void entry_directory_init (entry_directory_t *directory, const directory_options_t *options);
void entry_directory_destroy (entry_directory_t *directory);

/* Takes over a report. Returns whether the entry or its state is new. */
bool entry_directory_report (entry_directory_t *directory, const directory_entry_t *entry);

/* Stores the active entries of DOMAIN, best first, and returns their number. */
size_t entry_directory_active (const entry_directory_t *directory, int64_t now_us,
                               const char *domain, const directory_entry_t **out, size_t max);

/* Stores the entries that callers in DOMAIN use: the active ones there, or those of all domains if
 * it has none. If no entry has reported in time, the ones that were ready last are better than
 * nothing. */
size_t entry_directory_resolve (const entry_directory_t *directory, int64_t now_us,
                                const char *domain, const directory_entry_t **out, size_t max);

/* Forgets entries that have been silent for long. */
void entry_directory_prune (entry_directory_t *directory, int64_t before_us);
