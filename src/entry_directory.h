#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "target_registry.h"

/* entry_directory - decides which entries callers are sent to. It does no I/O.
 *
 * Each entry reports its state to all control instances. In each failure domain some of the ready
 * entries, chosen by rendezvous hashing, are active: callers of that domain are sent to these
 * alone. There are only as many as are needed to keep the targets of the domain busy, because fewer
 * entries mean fewer places where requests queue. There are at least MIN_ACTIVE_ENTRIES (by default
 * two) if so many are ready, so that callers have another entry when one fails.
 *
 * The active entries and the targets of a large domain are divided into cells. The entries of a
 * cell exchange load reports for the targets of the cell, so the messages and the state of an entry
 * do not grow with the fleet. The number of cells follows from the numbers of slots, of known
 * entries and of entries needed for the slots, which change slowly. It can also fall when fewer
 * entries are ready than are needed. A member that joins or leaves moves few others to another
 * cell.
 *
 * An entry that ceases to report is not used. But if fewer than a quarter of all ready entries
 * report, the network between them and this instance has likely failed, not the entries: callers
 * still reach them, and the few that report could not carry the load of all. Then silent entries
 * count as if they reported, so that active entries and cells stay as they were. */

/* Factor of the time for which a silent entry is kept while most entries are silent. */
#define DIRECTORY_SILENT_RETENTIONS 10

/* Maximum number of entries in one answer to a caller. */
#define DIRECTORY_MAX_ENTRIES 64

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
  uint64_t incarnation; /* of the process; a higher one is newer */
  double capacity;      /* requests per second that it serves at half load */
  entry_state_t state;
  int64_t last_report_us;
} directory_entry_t;

/* Least mean number of known entries per cell when a domain is divided: enough that the cell
 * survives the loss of one, few enough that each can send its load reports to all others. */
#define DIRECTORY_CELL_ENTRIES 8
/* Least mean number of slots per cell when a domain is divided: enough that at half load one is
 * nearly always free. */
#define DIRECTORY_CELL_SLOTS 48

typedef struct
{
  unsigned min_active_entries; /* fewest active entries of a failure domain */
  double slot_rate;            /* requests per second of a slot that is busy half of the time */
  int64_t report_timeout_us;   /* an entry without a report for this long is not used */
} directory_options_t;

typedef struct
{
  directory_options_t options;
  GHashTable *entries; /* id -> directory_entry_t */
} entry_directory_t;

void entry_directory_init (entry_directory_t *directory, const directory_options_t *options);
void entry_directory_destroy (entry_directory_t *directory);

/* Stores the report of an entry; one of an older incarnation is ignored. Returns whether the entry,
 * its incarnation or its state is new. */
bool entry_directory_update (entry_directory_t *directory, const directory_entry_t *entry);

/* Returns whether fewer than a quarter of the ready entries report, so that the silent ones are
 * used as well. */
bool entry_directory_most_are_silent (const entry_directory_t *directory, int64_t now_us);

/* Active entries and cells of a failure domain. */
typedef struct
{
  GPtrArray *active;    /* const directory_entry_t *, highest rendezvous weight first */
  GArray *cell_indexes; /* guint, cell of each active entry, in the same order */
  unsigned cell_count;  /* number of cells, 1 or more */
} directory_layout_t;

/* Computes the active entries and the cells of DOMAIN, whose targets have SLOTS slots in total. The
 * entries in LAYOUT are valid until the next report or prune. */
void entry_directory_compute_layout (const entry_directory_t *directory, int64_t now_us,
                                     const char *domain, unsigned slots,
                                     directory_layout_t *layout);
void directory_layout_clear (directory_layout_t *layout);

/* Returns the cell, 0 to CELLS - 1, that MEMBER prefers by rendezvous hashing, regardless of the
 * size of the cells. ROUND 0 gives the first preference, 1 the second, and so on. */
unsigned directory_choose_cell (uint64_t member, unsigned cells, unsigned round);

/* Stores up to MAX entries for callers in DOMAIN and returns their number: the active ones of
 * LAYOUT, or the ready ones of all domains if there are none. Of more than MAX active entries,
 * stores those from index START on, with wrap-around. */
size_t entry_directory_resolve (const entry_directory_t *directory, int64_t now_us,
                                const char *domain, const directory_layout_t *layout,
                                unsigned start, const directory_entry_t **out, size_t max);

/* Removes entries that have not reported for RETENTION_US; while most entries are silent, for
 * DIRECTORY_SILENT_RETENTIONS times as long. */
void entry_directory_prune (entry_directory_t *directory, int64_t now_us, int64_t retention_us);
