#pragma once

#include "config_sync.h"
#include "replica_group.h"
#include "version_store.h"

/* config_machine - state machine of the config group. It applies the replicated commands to the
 * version store and hands the current version to config_sync, which installs it in this process and
 * serves it to the entries. */

typedef struct
{
  state_machine_t machine; /* first member */
  version_store_t *store;
  replica_group_t *group;
  config_sync_t *sync;
  io_loop_t *loop;
  io_deferred_t install; /* installs the current version of the store */
} config_machine_t;

void config_machine_init (config_machine_t *machine, replica_group_t *group, config_sync_t *sync,
                          io_loop_t *loop);
void config_machine_destroy (config_machine_t *machine);

/* Empties the version store. Handler for replica_group_options_t.reset_machine; DATA is the
 * config_machine_t. */
void config_machine_reset (void *data);
