#pragma once

#include "config_sync.h"
#include "replica_group.h"
#include "version_store.h"

/* config_machine - connects the config group with the version store and with config_sync, which
 * installs the current version in this process and passes it on to the entries. */

typedef struct
{
  state_machine_t machine; /* first member */
  version_store_t *store;
  replica_group_t *group;
  config_sync_t *sync;
  io_loop_t *loop;
  io_deferred_t install;
} config_machine_t;

void config_machine_init (config_machine_t *machine, replica_group_t *group, config_sync_t *sync,
                          io_loop_t *loop);
void config_machine_destroy (config_machine_t *machine);

/* Handler for replica_group_options_t; DATA is the config_machine_t. */
void config_machine_reset (void *data);
