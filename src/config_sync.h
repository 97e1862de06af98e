#pragma once

#include "config_cache.h"
#include "membership_task.h"

/* config_sync - keeps the installed configuration of a process at the highest version that any
 * member announces, and serves it to other members.
 *
 * A member of the config group calls config_sync_install() for the versions that its replicated log
 * applies. Other instances fetch a version from a member that announces it. A version is installed
 * whole and only if it is higher, so a running process never returns to an older one. */

/* Time to wait for the answer to a fetch before another fetch may be sent. */
#define CONFIG_FETCH_TIMEOUT_US INT64_C (500000)

typedef struct
{
  io_loop_t *loop;
  peer_network_t *network;
  membership_task_t *membership;
  metric_registry_t *counters;
  /* Called after a version was installed. DOC is valid until the next install. May be NULL. */
  void (*on_install) (void *data, uint64_t version, config_doc_t *doc);
  void *data;
} config_sync_options_t;

typedef struct
{
  config_sync_options_t options;
  config_cache_t *cache;
  int64_t fetch_expiry_us; /* no other fetch is sent before this time; 0: no fetch is pending */
  metric_t version_gauge;
  metric_t fetches;
  metric_t installs;
  metric_t rejected;
} config_sync_t;

void config_sync_init (config_sync_t *sync, const config_sync_options_t *options);
void config_sync_destroy (config_sync_t *sync);

/* Handles a WIRE_CONFIG_* message from LINK. Returns false if TYPE is another type. */
bool config_sync_receive (config_sync_t *sync, const link_t *link, wire_type_t type,
                          const uint8_t *data, size_t size);

/* For use in a handler of membership_options_t.on_version: MEMBER announces VERSION. If that is
 * above the installed version and no fetch is pending, sends MEMBER a fetch, which is answered with
 * the version installed there. DIGEST is the first 8 bytes of the digest, as a big-endian number;
 * an error is logged if VERSION is the installed one and DIGEST differs. */
void config_sync_on_announcement (config_sync_t *sync, const swim_member_t *member,
                                  uint64_t version, uint64_t digest);

/* Installs DOC, which this process has checked itself, unless the installed version is the same or
 * higher. */
void config_sync_install (config_sync_t *sync, const version_seal_t *seal, config_doc_t *doc);

uint64_t config_sync_version (const config_sync_t *sync);
config_doc_t *config_sync_doc (const config_sync_t *sync);
