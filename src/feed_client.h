#pragma once

#include "fleet_wire.h"
#include "peer_network.h"

/* feed_client - client of an entry for the control instances.
 *
 * The client reports the state of the entry to all control instances. It receives configurations,
 * targets and departures (the feed) from one of them, preferably in its own failure domain. If that
 * instance is silent or has lost contact with the group, the client switches to another one, which
 * sends everything again. When the feed is lost, the client asks all instances for new views,
 * because an earlier view may predate the partition that cut off the feed. If no instance is
 * usable, the entry keeps the data that it has. */

typedef struct
{
  io_loop_t *loop;
  peer_network_t *network;
  const char *domain;
  const char *caller_address;
  double capacity;        /* requests per second; see directory_entry_t */
  const GPtrArray *seeds; /* char *, peer addresses of control instances */
  void (*on_config) (void *data, const version_seal_t *seal, GBytes *text);
  void (*on_targets) (void *data, const GArray *targets);       /* registry_target_t */
  void (*on_departures) (void *data, const GArray *departures); /* registry_departure_t */
  void (*on_cell_changed) (void *data); /* cell_index or cell_count has another value */
  void *data;
} feed_client_options_t;

typedef struct
{
  feed_client_options_t options;
  GHashTable *members; /* peer address -> feed_member_t */
  GPtrArray *peers;    /* char *, peer addresses of the active entries of the cell */
  unsigned cell_count; /* number of cells of the failure domain */
  unsigned cell_index; /* index of this entry's cell; CELL_COUNT if the entry is not active */
  char feed[LINK_ADDRESS_SIZE]; /* peer address of the instance that sends the feed; "" for none */
  int64_t last_switch_us;
  int64_t feed_lost_us; /* time at which the feed was lost; 0: it is not lost */
  bool synced;          /* the present feed has sent all targets */
  bool was_synced;      /* some feed has sent all targets */
  entry_state_t state;
  uint64_t version; /* configuration in force; 0: none */
  int64_t next_report_us;
  uint64_t report_count;
  io_timer_t timer;
} feed_client_t;

void feed_client_init (feed_client_t *client, const feed_client_options_t *options);
void feed_client_destroy (feed_client_t *client);
void feed_client_start (feed_client_t *client);

/* Sets the state of the entry. A changed state is reported to all control instances at once. */
void feed_client_set_state (feed_client_t *client, entry_state_t state);

/* Sets the version in force, for the next reports. */
void feed_client_set_version (feed_client_t *client, uint64_t version);

/* Replaces the seeds by SEEDS (char *, peer addresses). Earlier seeds are dropped after a while
 * unless they still send views or a view lists them. */
void feed_client_set_seeds (feed_client_t *client, const GPtrArray *seeds);

/* Returns whether this process has received all targets from some instance. */
bool feed_client_was_synced (const feed_client_t *client);

/* Handles a message from a control instance. Returns false if TYPE is not one of those messages. */
bool feed_client_receive (feed_client_t *client, const link_t *link, wire_type_t type,
                          wire_reader_t *reader);
