#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "target_registry.h"

/* entry_directory - which entries callers are sent to; pure.
 *
 * Each entry reports its state to all control instances. In each failure domain some of the ready
 * entries, chosen by rendezvous hash, are active: callers of that domain are sent to them alone.
 * There are as many as the targets of the domain can keep busy, because few entries keep the queue
 * of the targets in few places, and at least two, so that a caller goes on when one fails.
 *
 * The active entries of a large domain are divided into cells, and its targets as well. The entries
 * of a cell tell each other the load of the cell's targets, so what an entry sends and knows does
 * not grow with the fleet. The number of cells follows from the number of slots and of known
 * entries, which change slowly, and a member that comes or goes moves few others. */

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
  double capacity;      /* requests per second that it can carry at half load */
  entry_state_t state;
  int64_t seen_us; /* last report */
} directory_entry_t;

/* Entries of a cell: enough to go on when one is lost, few enough to tell all of them everything.
 */
#define DIRECTORY_CELL_ENTRIES 8
/* Slots of a cell: enough that one is free nearly always at half load. */
#define DIRECTORY_CELL_SLOTS 48

typedef struct
{
  unsigned least_active; /* in a failure domain */
  double slot_rate;   /* requests per second that a slot serves when it is busy half of the time */
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

/* Active entries and cells of a failure domain. */
typedef struct
{
  GPtrArray *active; /* const directory_entry_t *, best first */
  GArray *cell_of;   /* guint, index of the cell of each of them */
  unsigned cells;
} directory_layout_t;

/* Lays out DOMAIN, whose targets have SLOTS slots in total. The entries in LAYOUT are valid until
 * the next report. */
void entry_directory_layout (const entry_directory_t *directory, int64_t now_us, const char *domain,
                             unsigned slots, directory_layout_t *layout);
void directory_layout_clear (directory_layout_t *layout);

/* Returns the cell of the member NAME out of CELLS, as a rendezvous hash without bounds. ROUND
 * (from 0) gives the next best ones. */
unsigned directory_cell_choice (uint64_t member, unsigned cells, unsigned round);

/* Stores the entries that callers in DOMAIN use: the active ones of LAYOUT, or those of all domains
 * if there are none. If no entry has reported in time, the ones that were ready last are better
 * than nothing. Of more than MAX entries, those from the position START on are stored. */
size_t entry_directory_resolve (const entry_directory_t *directory, int64_t now_us,
                                const char *domain, const directory_layout_t *layout,
                                unsigned start, const directory_entry_t **out, size_t max);

/* Forgets entries that have been silent for long. */
void entry_directory_prune (entry_directory_t *directory, int64_t before_us);
