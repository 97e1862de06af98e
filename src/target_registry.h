#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* target_registry - what is known of the targets of all services; pure.
 *
 * A target announces itself to any control instance. What it says is ordered by the time of its
 * start and, within one life, by a sequence number, so that a message that was held up never brings
 * back an older state. That a life of a target drains or has ended is a departure: it is recorded
 * durably by the control group before it is acknowledged, and it outranks every announcement of
 * that life, whenever that arrives.
 *
 * An address belongs to the target that started last there: older ones are dropped, because
 * addresses are used again. */

#define REGISTRY_ID_SIZE 64
#define REGISTRY_NAME_SIZE 129
#define REGISTRY_ADDRESS_SIZE 64

/* Most departures that are remembered; the oldest are forgotten first. */
#define REGISTRY_MAX_DEPARTURES 20000

typedef enum
{
  REGISTRY_READY,
  REGISTRY_DRAINING, /* finishes its requests and gets no new ones */
  REGISTRY_GONE,
} registry_state_t;

typedef struct
{
  char id[REGISTRY_ID_SIZE];
  char service[REGISTRY_NAME_SIZE];
  char address[REGISTRY_ADDRESS_SIZE]; /* "IP:PORT" */
  char domain[REGISTRY_NAME_SIZE];
  char software[REGISTRY_NAME_SIZE]; /* version of the target's software */
  uint32_t slots;
  int64_t born_ms; /* wall clock of the target at its start; 0 if it did not say */
  uint64_t sequence;
  registry_state_t state;
  int64_t warm_us; /* until when the target is slow after its start */
  int64_t seen_us; /* last announcement */
} registry_target_t;

/* End of one life of a target. */
typedef struct
{
  char id[REGISTRY_ID_SIZE];
  int64_t born_ms; /* of the last life that has ended */
  registry_state_t state;
  uint64_t order; /* of its recording */
} registry_departure_t;

typedef enum
{
  REGISTRY_NEW,      /* a target, or another life of a known one */
  REGISTRY_CHANGED,  /* something that placement depends on */
  REGISTRY_RENEWED,  /* nothing new but the time */
  REGISTRY_OUTDATED, /* older than what is known; ignored */
  REGISTRY_DEPARTED, /* of a life that drains or has ended; ignored */
} registry_result_t;

typedef struct
{
  GHashTable *targets;    /* id -> registry_target_t */
  GHashTable *departures; /* id -> registry_departure_t */
  uint64_t next_order;
} target_registry_t;

/* Called for each target that is dropped or changed by something else than its own announcement. */
typedef void (*registry_visit_t) (void *data, const registry_target_t *target);

void target_registry_init (target_registry_t *registry);
void target_registry_destroy (target_registry_t *registry);

/* Takes over an announcement. Targets that lose their address to this one are dropped and passed to
 * DROPPED (may be NULL) with the state REGISTRY_GONE. */
registry_result_t target_registry_announce (target_registry_t *registry,
                                            const registry_target_t *target,
                                            registry_visit_t dropped, void *data);

/* Records that the lives of ID up to BORN_MS drain or have ended. Returns whether that is new. */
bool target_registry_depart (target_registry_t *registry, const char *id, int64_t born_ms,
                             registry_state_t state);

/* Returns the recorded state of the life of ID that started at BORN_MS; REGISTRY_READY without a
 * record. */
registry_state_t target_registry_departed (const target_registry_t *registry, const char *id,
                                           int64_t born_ms);

const registry_target_t *target_registry_find (const target_registry_t *registry, const char *id);

/* Drops the target ID, of which nothing is known any more. */
void target_registry_remove (target_registry_t *registry, const char *id);

/* Drops the targets that have not announced themselves since BEFORE_US. */
void target_registry_expire (target_registry_t *registry, int64_t before_us,
                             registry_visit_t dropped, void *data);

void target_registry_foreach (const target_registry_t *registry, registry_visit_t visit,
                              void *data);
void target_registry_foreach_departure (const target_registry_t *registry,
                                        void (*visit) (void *data,
                                                       const registry_departure_t *departure),
                                        void *data);

/* Forgets all departures, before they are read from a snapshot. */
void target_registry_clear_departures (target_registry_t *registry);

/* Returns "ready", "draining" or "gone". */
const char *registry_state_name (registry_state_t state);
