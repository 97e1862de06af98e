#pragma once

#include "replica_group.h"
#include "target_registry.h"
#include "version_store.h"

/* fleet_machine - state machine of the control group of a fleet: configuration versions and
 * departures of targets in one log.
 *
 * Both must be durable before they are acknowledged, and one log needs one sync and one election.
 * The departures live in the registry of the process, which the machine fills. */

typedef struct
{
  replica_group_t *group;
  target_registry_t *registry;
  io_loop_t *loop;
  /* Another version is current. Called at the end of the turn, once for several versions. */
  void (*on_version) (void *data);
  void (*on_departure) (void *data, const char *id, int64_t born_ms, registry_state_t state);
  void *data;
} fleet_machine_options_t;

typedef struct
{
  state_machine_t machine; /* first member */
  fleet_machine_options_t options;
  version_store_t *store;
  io_deferred_t changed;
} fleet_machine_t;

void fleet_machine_init (fleet_machine_t *machine, const fleet_machine_options_t *options);
void fleet_machine_destroy (fleet_machine_t *machine);

/* Handler for replica_group_options_t; DATA is the fleet_machine_t. */
void fleet_machine_reset (void *data);

/* Commands for the log. Free with g_bytes_unref(). The result of a proposal is a GBytes: of a
 * version command for version_result_decode(), of a departure empty. */
GBytes *fleet_machine_version_command (const version_command_t *command);
GBytes *fleet_machine_departure (const char *id, int64_t born_ms, registry_state_t state);
