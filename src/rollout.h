#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "json_util.h"

/* rollout - which version is in force on which instance, as announced in membership.
 *
 * Each process keeps its own view; it is not replicated. The table is bounded: at the limit the
 * instance that was heard of least recently is dropped. */

/* Default limit: more than the 4,600 nodes of the design scale, with room for restarts. */
#define ROLLOUT_MAX_INSTANCES 8192

typedef struct
{
  GHashTable *instances; /* id to the entry */
  size_t max_instances;
} rollout_t;

typedef struct
{
  size_t in_force; /* instances with the version or a higher one */
  size_t behind;   /* instances with a lower version */
  uint64_t lowest; /* lowest version of any instance, 0 if there is none */
} rollout_summary_t;

/* MAX_INSTANCES 0 selects ROLLOUT_MAX_INSTANCES. */
void rollout_init (rollout_t *rollout, size_t max_instances);
void rollout_destroy (rollout_t *rollout);

/* Notes that instance ID had VERSION at WALL_MS. An older version than the known one is kept as
 * well, because a restarted instance starts anew. */
void rollout_note (rollout_t *rollout, const char *id, uint64_t version, int64_t wall_ms);

/* Drops an instance that left. */
void rollout_remove (rollout_t *rollout, const char *id);

rollout_summary_t rollout_summarize (const rollout_t *rollout, uint64_t version);

/* Returns an array of {"instance", "version", "since_ms", "seen_ms"} in the order of the ids. Free
 * with cJSON_Delete(). */
cJSON *rollout_to_json (const rollout_t *rollout);
