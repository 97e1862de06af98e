#pragma once

#include "claim_client.h"
#include "config_sync.h"
#include "membership_task.h"
#include "placement.h"
#include "route_table.h"
#include "target_table.h"
#include "upstream_pool.h"

/* entry_core - state that the modules of anvillb-entry share.
 *
 * Owns the placement, the leases of targets, the services in use and the claim client. entry_policy
 * handles requests with it; entry_peers exchanges messages with other entries. */

typedef struct entry_service entry_service_t;

typedef struct
{
  io_loop_t *loop;
  peer_network_t *network;
  membership_task_t *membership;
  config_sync_t *sync;
  upstream_pool_t *pool;
  metric_registry_t *counters;
  rng_t *rng;
  const char *instance;
  const char *domain;
  const char *caller_address; /* address of this entry in resolve responses */
  int64_t domain_distance_us; /* one-way latency between failure domains */
  bool require_echo;          /* see target_table_options_t */
  const char *probe_path;
  const GPtrArray *claim_members; /* peer addresses of the claims group; NULL-terminated */
  uint64_t claim_retention_ms;
  /* A request without Idempotency-Key gets a generated key, so it runs at most once; false refuses
   * it. */
  bool generate_missing_keys;
  int64_t resolve_ttl_ms; /* time for which callers may use a resolve response */
} entry_core_options_t;

typedef struct
{
  entry_core_options_t options;
  uint64_t entry_id; /* hash of the instance id */
  placement_t *placement;
  target_table_t targets;
  GHashTable *services;  /* name -> entry_service_t */
  config_doc_t *doc;     /* configuration in force; NULL before the first one */
  route_table_t *routes; /* routing table of doc */
  claim_client_t claims;
  claim_client_io_t claim_io;
  GHashTable *relayed_claims;     /* request id -> relayed_claim_t, a claim of another entry */
  uint64_t last_relayed_claim_id; /* without RELAYED_CLAIM_ID_BIT of entry_claims.c */
  uint64_t process_epoch;         /* identifies this process; higher after each restart */
  uint64_t last_claim_nonce;
  io_timer_t tick_timer;
  io_timer_t claim_timer;
  int64_t next_summary_us; /* when the next summaries are due */
  int64_t ready_after_us;  /* callers may be sent here from then on; 0 without a configuration */
  bool leaving;
  metric_t announcements;
  metric_t announcements_forwarded;
  metric_t targets_known;
} entry_core_t;

void entry_core_init (entry_core_t *core, const entry_core_options_t *options);
void entry_core_destroy (entry_core_t *core);

/* Starts the periodic work. The peer network and the membership must be running. */
void entry_core_start (entry_core_t *core);
void entry_core_stop (entry_core_t *core);

/* Returns the time of the main loop in microseconds. */
int64_t entry_core_now (const entry_core_t *core);

/* Handlers for membership_options_t and config_sync_options_t; DATA is the entry_core_t. */
void entry_core_on_member (void *data, swim_event_t event, const swim_member_t *member);
void entry_core_on_install (void *data, uint64_t version, config_doc_t *doc);

/* Handler for upstream_pool_options_t: a connection to ADDRESS is silent. Probes the target on
 * another connection. */
void entry_core_on_silent_connection (void *data, const char *address);

/* Returns whether callers may be sent to this entry. */
bool entry_core_is_ready (const entry_core_t *core);

/* Starts the drain: resolve no longer returns this entry, and its targets go to other entries, if
 * any can take them. */
void entry_core_leave (entry_core_t *core);

/* Returns the service NAME and creates it on first use. Returns NULL if it is not in the
 * configuration in force, unless requests still hold references to it. */
entry_service_t *entry_core_get_service (entry_core_t *core, const char *name);

/* Drops the reference of one request to SERVICE. A service that is no longer configured is freed
 * with its last reference. */
void entry_core_release_service (entry_core_t *core, entry_service_t *service);

/* Returns whether this entry is assigned to the service. */
bool entry_core_is_assigned (entry_core_t *core, const char *service);

/* Returns the number of entries per failure domain that are assigned to SERVICE; 1 if there is no
 * such service. */
unsigned entry_core_entries_per_domain (const entry_core_t *core, const char *service);

/* Returns the peer address of the member ID, or NULL if it is unknown or dead. */
const char *entry_core_peer_address (const entry_core_t *core, const char *id);

/* Applies an announcement if this entry owns the target; otherwise forwards it to the owner.
 * FORWARDED tells that it came from another entry; it is then not forwarded again. */
target_result_t entry_core_handle_announcement (entry_core_t *core,
                                                const target_announcement_t *announcement,
                                                bool forwarded);

/* Returns the 64-bit FNV-1a hash of NAME, the same in every process. */
uint64_t entry_hash_id (const char *name);
