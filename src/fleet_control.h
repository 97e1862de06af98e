#pragma once

#include "config_redact.h"
#include "entry_directory.h"
#include "fleet_machine.h"
#include "fleet_quota.h"
#include "fleet_wire.h"
#include "group_membership.h"
#include "proposal_relay.h"

/* fleet_control - control instance of a fleet: registry of targets, directory of entries,
 * configuration and departures in a replicated group, and the feed for entries.
 *
 * Targets announce themselves to any control instance, which forwards the announcement to the
 * others. Announcements are kept in memory only. The group records a configuration or a departure
 * before it is acknowledged; the instances then send it to the entries.
 *
 * Every entry has a link to every instance, so the directory of each instance knows all entries. An
 * entry takes its feed from one instance, if possible in its own failure domain, so that few
 * changes cross failure domains. */

typedef struct
{
  io_loop_t *loop;
  metric_registry_t *counters;
  file_store_t *store;
  const char *instance;
  const char *domain;
  const char *peer_listen;     /* "IP:PORT", also sent to peers as the own address */
  const char *call_address;    /* "IP:PORT" for calls of operators and targets, used in redirects */
  const GPtrArray *seeds;      /* char *, peer addresses of control instances */
  bool found_group;            /* first start of the whole fleet: the seeds create the group */
  size_t voter_count;          /* desired number of voters of the group */
  unsigned min_active_entries; /* see directory_options_t */
  double slot_rate;            /* see directory_options_t */
  int64_t call_timeout_us;     /* for a command to the group */
} fleet_control_options_t;

typedef struct
{
  fleet_control_options_t options;
  peer_network_t network;
  replica_group_t group;
  fleet_machine_t machine;
  target_registry_t registry;
  entry_directory_t directory;
  proposal_relay_t relay;
  fleet_quota_t quota;
  GHashTable *subscribers; /* entry id -> subscriber_t */
  GHashTable *layouts; /* failure domain -> directory_layout_t; cleared each tick and on changes */
  unsigned next_resolve_start; /* argument START of the next entry_directory_resolve() */
  GArray *renewed_targets;     /* registry_target_t, to be sent to the other instances */
  config_redact_t redacted;    /* configuration in force, as sent to entries */
  list_t config_waiters;       /* config_waiter_t, in the order of their expiry */
  char *member_name;           /* "PEER_ADDRESS/CALL_ADDRESS" */
  group_membership_t membership;
  io_timer_t timer;
  bool stopping;
  bool found_group_done;
  metric_t announcements;
  metric_t departures;
  metric_t targets_known;
  metric_t most_entries_silent; /* 0 or 1 */
} fleet_control_t;

void fleet_control_init (fleet_control_t *control, const fleet_control_options_t *options);
void fleet_control_destroy (fleet_control_t *control);

/* Starts the timer. If found_group is set, first creates the group, unless this instance has data
 * of a group or is not one of the seeds. Call it when the tasks of the network and the group are
 * running. */
void fleet_control_start (fleet_control_t *control);

/* Prepares a planned stop: asks the group to transfer leadership and to replace this instance. From
 * now on each VIEW reports that this instance is not in contact with the group, so that entries
 * take their feed from another one. */
void fleet_control_stop (fleet_control_t *control);

/* After fleet_control_stop(): returns whether the group may still replace this instance, so that
 * the group could lose its majority if the process ended now. */
bool fleet_control_awaits_replacement (const fleet_control_t *control);

/* OK is false if the group did not confirm in time that it recorded a departure; it may still
 * record it. */
typedef void (*fleet_done_t) (void *data, bool ok);

/* Applies an announcement of a target. If the target drains, has the group record that instead.
 * DONE is called exactly once, before the return or from the main loop. */
void fleet_control_announce (fleet_control_t *control, const registry_target_t *target,
                             fleet_done_t done, void *data);

/* Records that the incarnation of ID that started at STARTED_AT_MS has ended. With STARTED_AT_MS 0,
 * this is the incarnation that this instance knows, or, if it knows none, every one that started
 * before now. DONE is called as by fleet_control_announce(). */
void fleet_control_record_departure (fleet_control_t *control, const char *id,
                                     int64_t started_at_ms, fleet_done_t done, void *data);

/* RESULT is NULL if the outcome is unknown. */
typedef void (*fleet_version_done_t) (void *data, const version_result_t *result);

/* Proposes a change of the configuration. */
void fleet_control_submit_config (fleet_control_t *control, const version_command_t *command,
                                  fleet_version_done_t done, void *data);

/* Returns the configuration that this instance has applied, which need not be the newest. It is
 * valid until control returns to the main loop. */
const config_doc_t *fleet_control_get_config (const fleet_control_t *control);

/* Calls DONE when this instance has applied a configuration, or after a second without one. OK
 * tells whether it has. DONE is called exactly once, before the return or from the main loop. */
void fleet_control_await_config (fleet_control_t *control, fleet_done_t done, void *data);

/* DOC is NULL if this instance cannot confirm that its configuration is the newest. */
typedef void (*fleet_read_done_t) (void *data, const config_doc_t *doc);

/* Reads the newest configuration and passes it to DONE. If another instance leads, returns false,
 * copies its call address to LEADER and does not call DONE. */
bool fleet_control_read_config (fleet_control_t *control, fleet_read_done_t done, void *data,
                                char leader[LINK_ADDRESS_SIZE]);

/* Stores in OUT up to MAX entries that callers in DOMAIN are to use, and returns their number. The
 * entries are valid until control returns to the main loop. */
size_t fleet_control_resolve_entries (fleet_control_t *control, const char *domain,
                                      const directory_entry_t **out, size_t max);
