#pragma once

#include "entry_directory.h"
#include "fleet_machine.h"
#include "fleet_wire.h"
#include "proposal_relay.h"

/* fleet_control - a control instance of a fleet: registry of targets, directory of entries,
 * configuration and departures in a replicated group, and the feed of the entries.
 *
 * Targets announce themselves to any control instance; the instances tell each other. An
 * announcement is kept in memory only. A configuration, and that a target drains or has gone, is
 * recorded by the group before it is acknowledged, and then sent to the entries.
 *
 * Every entry has a link to every instance and takes its feed from one of them, so that a change
 * crosses a failure domain only where it must. The directory of each instance hears from all
 * entries. */

typedef struct
{
  io_loop_t *loop;
  counter_registry_t *counters;
  file_store_t *store;
  const char *instance;
  const char *domain;
  const char *peer_listen;  /* "IP:PORT", also told to others */
  const char *call_address; /* of the operators' and targets' calls, for redirects */
  const GPtrArray *seeds;   /* char *, peer addresses of instances */
  bool found_group;         /* first start of the whole fleet: the seeds found the group */
  size_t voters;            /* that the group should have */
  unsigned least_active;    /* see entry_directory */
  double slot_rate;
  int64_t call_timeout_us; /* for a command of the group */
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
  GHashTable *subscribers; /* entry id -> subscriber_t */
  GHashTable *layouts;     /* failure domain -> directory_layout_t, of this tick */
  unsigned next_start;     /* see entry_directory_resolve() */
  GArray *renewed;         /* registry_target_t, to tell the other instances */
  char *member_name;
  raft_member_t joining; /* instance that asks to join; id 0: none */
  int64_t joining_us;
  int64_t leader_us; /* when a leader was known last */
  io_timer_t timer;
  bool stopping;
  counter_t announcements;
  counter_t departures;
  counter_t targets_known;
  counter_t entries_ready;
} fleet_control_t;

void fleet_control_init (fleet_control_t *control, const fleet_control_options_t *options);
void fleet_control_destroy (fleet_control_t *control);

/* To be called when the tasks of the network and the group run. */
void fleet_control_start (fleet_control_t *control);
void fleet_control_stop (fleet_control_t *control);

typedef void (*fleet_done_t) (void *data, bool done);

/* Takes over an announcement. DONE is called once, at once or from the main loop: with false if the
 * target drains and that could not be recorded. */
void fleet_control_announce (fleet_control_t *control, const registry_target_t *target,
                             fleet_done_t done, void *data);

/* Records that the life of ID that started at BORN_MS has ended. 0: the one that is known here, or
 * every life up to now if none is. */
void fleet_control_depart (fleet_control_t *control, const char *id, int64_t born_ms,
                           fleet_done_t done, void *data);

/* Proposes a change of the configuration. DONE gets NULL if the outcome is not known. */
typedef void (*fleet_version_done_t) (void *data, const version_result_t *result);
void fleet_control_submit (fleet_control_t *control, const version_command_t *command,
                           fleet_version_done_t done, void *data);

/* Reads the newest configuration; DONE gets NULL if this instance cannot be sure of it. Returns
 * false if another instance leads; its call address is written to LEADER. */
typedef void (*fleet_read_done_t) (void *data, const config_doc_t *doc);
bool fleet_control_read (fleet_control_t *control, fleet_read_done_t done, void *data,
                         char leader[LINK_ADDRESS_SIZE]);

/* Stores the entries that callers in DOMAIN use and returns their number. */
size_t fleet_control_resolve (fleet_control_t *control, const char *domain,
                              const directory_entry_t **out, size_t max);
