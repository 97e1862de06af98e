#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* target_registry - targets of all services and their departures; does no I/O and reads no clock.
 * It serves the programs of a fleet with control instances; anvillb-entry has target_table instead.
 *
 * A target announces itself to any control instance. An incarnation is one run of the target,
 * identified by its start time. Announcements are ordered by incarnation and then by sequence
 * number, so a delayed message never restores an older state. A departure records that an
 * incarnation drains or has ended. The control group records it durably before it is acknowledged,
 * and it takes precedence over all announcements of that incarnation, also over later ones.
 *
 * Addresses are reused: an address belongs to the target that started last, and older targets with
 * that address are dropped. */

#define REGISTRY_ID_SIZE 64
#define REGISTRY_NAME_SIZE 129
#define REGISTRY_ADDRESS_SIZE 64

/* Limit on the departures that are kept; the oldest are removed first. */
#define REGISTRY_MAX_DEPARTURES 20000

/* In order: the recorded state of an incarnation changes only to a later state. */
typedef enum
{
  REGISTRY_READY,
  REGISTRY_DRAINING, /* finishes the requests in flight and gets no new ones */
  REGISTRY_GONE,
} registry_state_t;

typedef struct
{
  char id[REGISTRY_ID_SIZE];
  char service[REGISTRY_NAME_SIZE];
  char address[REGISTRY_ADDRESS_SIZE]; /* "IP:PORT" */
  char domain[REGISTRY_NAME_SIZE];
  char software_version[REGISTRY_NAME_SIZE];
  uint32_t slots;
  int64_t started_at_ms; /* start of the incarnation on the target's wall clock; 0: unknown */
  uint64_t sequence;
  registry_state_t state;
  int64_t warmup_end_us; /* end of the warm-up after the start, on this process's monotonic clock */
  int64_t last_announcement_us;
} registry_target_t;

/* Recorded departure of a target. */
typedef struct
{
  char id[REGISTRY_ID_SIZE];
  int64_t started_at_ms;  /* incarnation that departed; earlier ones have ended */
  registry_state_t state; /* REGISTRY_DRAINING or REGISTRY_GONE */
  uint64_t order;         /* departures are numbered in the order of their recording */
} registry_departure_t;

typedef enum
{
  REGISTRY_NEW,      /* a new target, or a new incarnation of a known one */
  REGISTRY_CHANGED,  /* state, slots, address, service or failure domain has changed */
  REGISTRY_RENEWED,  /* none of these; only sequence and last_announcement_us are updated */
  REGISTRY_OUTDATED, /* ignored: a later announcement or a later target at the address is known */
  REGISTRY_DEPARTED, /* ignored: the incarnation drains or has ended */
} registry_result_t;

typedef struct
{
  GHashTable *targets;    /* id -> registry_target_t */
  GHashTable *departures; /* id -> registry_departure_t */
  uint64_t next_order;
} target_registry_t;

/* Receives a listed target, or one that is dropped because its announcements ceased or another
 * target announced its address. TARGET is valid during the call only. */
typedef void (*registry_visit_t) (void *data, const registry_target_t *target);

void target_registry_init (target_registry_t *registry);
void target_registry_destroy (target_registry_t *registry);

/* Applies an announcement. Older targets with the same address are dropped and passed to DROPPED
 * (may be NULL) with state REGISTRY_GONE. */
registry_result_t target_registry_announce (target_registry_t *registry,
                                            const registry_target_t *target,
                                            registry_visit_t dropped, void *data);

/* Records that the incarnation of ID that started at STARTED_AT_MS is in STATE and that earlier
 * ones have ended. Returns false if the registry has this or a later departure already. */
bool target_registry_record_departure (target_registry_t *registry, const char *id,
                                       int64_t started_at_ms, registry_state_t state);

/* Returns the recorded state of the incarnation of ID that started at STARTED_AT_MS, or
 * REGISTRY_READY if no departure is recorded for it or a later one. */
registry_state_t target_registry_get_recorded_state (const target_registry_t *registry,
                                                     const char *id, int64_t started_at_ms);

/* Returns the target ID, or NULL if it is unknown. */
const registry_target_t *target_registry_find (const target_registry_t *registry, const char *id);

/* Removes the target ID, if it is known. Its departure is kept. */
void target_registry_remove (target_registry_t *registry, const char *id);

/* Drops the targets whose last announcement came before BEFORE_US and passes them to DROPPED (may
 * be NULL) with state REGISTRY_GONE. */
void target_registry_expire (target_registry_t *registry, int64_t before_us,
                             registry_visit_t dropped, void *data);

void target_registry_foreach (const target_registry_t *registry, registry_visit_t visit,
                              void *data);
void target_registry_foreach_departure (const target_registry_t *registry,
                                        void (*visit) (void *data,
                                                       const registry_departure_t *departure),
                                        void *data);

/* Removes all departures, before a snapshot is restored or the log is applied again. */
void target_registry_clear_departures (target_registry_t *registry);

/* Returns "ready", "draining" or "gone". */
const char *registry_state_name (registry_state_t state);
