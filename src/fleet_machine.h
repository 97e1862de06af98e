#pragma once

#include "replica_group.h"
#include "target_registry.h"
#include "version_store.h"

/* fleet_machine - state machine of the control group of a fleet: configuration versions and
 * departures of targets.
 *
 * Both must be durable before they are acknowledged. They share one log, so that one election and
 * one sync to disk serve both. The machine stores the departures in the target registry of the
 * process. */

typedef struct
{
  replica_group_t *group;
  target_registry_t *registry;
  io_loop_t *loop;
  /* The current version has changed. Called at the end of the iteration of the main loop, once for
   * several changes. */
  void (*on_version) (void *data);
  /* A departure was applied or restored from a snapshot. */
  void (*on_departure) (void *data, const char *id, int64_t started_at_ms, registry_state_t state);
  void *data;
} fleet_machine_options_t;

typedef struct
{
  state_machine_t machine; /* first member */
  fleet_machine_options_t options;
  version_store_t *store;
  io_deferred_t version_changed; /* calls on_version() */
} fleet_machine_t;

void fleet_machine_init (fleet_machine_t *machine, const fleet_machine_options_t *options);
void fleet_machine_destroy (fleet_machine_t *machine);

/* Removes all versions and departures. Implements reset_machine() of replica_group_options_t; DATA
 * is the fleet_machine_t. */
void fleet_machine_reset (void *data);

/* Return encoded commands for the log; free with g_bytes_unref(). A version command results in
 * bytes for version_result_decode(), a departure in empty bytes. */
GBytes *fleet_machine_encode_version_command (const version_command_t *command);
GBytes *fleet_machine_encode_departure_command (const char *id, int64_t started_at_ms,
                                                registry_state_t state);
