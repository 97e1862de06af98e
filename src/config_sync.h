#pragma once

#include "config_cache.h"
#include "membership_task.h"

/* config_sync - keeps the installed configuration of a process at the highest version that any
 * member announces, by fetching from the member that has it, and serves it to others.
 *
 * Control installs what its replicated log has applied with config_sync_install(); entries fetch. A
 * version is installed whole and only if it is higher, so an instance never goes back. */

/* Time for a member to answer before another one is asked. */
#define CONFIG_SYNC_TIMEOUT_US INT64_C (500000)

typedef struct
{
  io_loop_t *loop;
  peer_network_t *network;
  membership_task_t *membership;
  counter_registry_t *counters;
  /* A new version is installed. */
  void (*on_install) (void *data, uint64_t version, config_doc_t *doc);
  void *data;
} config_sync_options_t;

typedef struct
{
  config_sync_options_t options;
  config_cache_t *cache;
  int64_t fetch_until_us; /* an answer is awaited until then */
  counter_t version;
  counter_t fetches;
  counter_t installs;
  counter_t rejected;
} config_sync_t;

void config_sync_init (config_sync_t *sync, const config_sync_options_t *options);
void config_sync_destroy (config_sync_t *sync);

/* Takes a message of the types CONFIG_*. Returns whether TYPE is one of them. */
bool config_sync_receive (config_sync_t *sync, const link_t *link, wire_type_t type,
                          const uint8_t *data, size_t size);

/* Handler for membership_options_t.on_version. */
void config_sync_announced (config_sync_t *sync, const swim_member_t *member, uint64_t version,
                            uint64_t digest);

/* Installs a version that this process has checked itself. An older one is ignored. */
void config_sync_install (config_sync_t *sync, const version_seal_t *seal, config_doc_t *doc);

uint64_t config_sync_version (const config_sync_t *sync);
config_doc_t *config_sync_doc (const config_sync_t *sync);
