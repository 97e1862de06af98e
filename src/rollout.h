#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "json_util.h"

/* rollout - table of the version in force on each instance, as announced in membership.
 *
 * Each process keeps its own table; it is not replicated. When the table is full, the instance
 * whose last report is the oldest is dropped. */

/* Default of max_instances: above the 4,600 members that the product is designed for, with room for
 * instances that restart. */
#define ROLLOUT_DEFAULT_MAX_INSTANCES 8192

typedef struct
{
  GHashTable *instances; /* id to rollout_instance_t */
  size_t max_instances;
} rollout_t;

typedef struct
{
  size_t in_force; /* instances with the version or a higher one */
  size_t behind;   /* instances with a lower version */
  uint64_t lowest; /* lowest version of any instance, 0 if there is none */
} rollout_summary_t;

/* MAX_INSTANCES 0 selects ROLLOUT_DEFAULT_MAX_INSTANCES. */
void rollout_init (rollout_t *rollout, size_t max_instances);
void rollout_destroy (rollout_t *rollout);

/* Records that instance ID had VERSION at WALL_MS (wall clock). VERSION replaces the known version
 * even if it is lower, because an instance can have a lower version after a restart. */
void rollout_record_version (rollout_t *rollout, const char *id, uint64_t version, int64_t wall_ms);

/* Removes instance ID, which is dead or no longer a member. */
void rollout_remove (rollout_t *rollout, const char *id);

/* Counts the instances that have VERSION or a higher one in force, and those that are behind. */
rollout_summary_t rollout_summarize (const rollout_t *rollout, uint64_t version);

/* Returns an array of {"instance", "version", "since_ms", "seen_ms"} sorted by id. Free with
 * cJSON_Delete(). */
cJSON *rollout_to_json (const rollout_t *rollout);
