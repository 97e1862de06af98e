#pragma once

#include "fleet_wire.h"
#include "peer_network.h"

/* feed_client - the side of an entry towards the control instances.
 *
 * It reports the entry to all of them and takes the feed of one, if possible in its own failure
 * domain. A feed that is silent, or that has lost contact with the group, is exchanged for another
 * one, which then sends everything again. Whether the others are in contact is asked when the feed
 * is lost, because what they said seconds ago may have been before the same partition. Without any
 * the entry goes on with what it has. */

typedef struct
{
  io_loop_t *loop;
  peer_network_t *network;
  const char *domain;
  const char *caller_address;
  double capacity;        /* see directory_entry_t */
  const GPtrArray *seeds; /* char *, peer addresses of control instances */
  void (*on_config) (void *data, const version_seal_t *seal, GBytes *text);
  void (*on_targets) (void *data, const GArray *targets);       /* registry_target_t */
  void (*on_departures) (void *data, const GArray *departures); /* registry_departure_t */
  void (*on_cell) (void *data); /* the cell, or the number of cells, has changed */
  void *data;
} feed_client_options_t;

typedef struct
{
  feed_client_options_t options;
  GHashTable *members; /* peer address -> feed_member_t */
  GPtrArray *peers;    /* char *, peer addresses of the active entries of the cell */
  unsigned cells;      /* of the failure domain */
  unsigned cell;       /* of this entry; CELLS if it is not active */
  char feed[LINK_ADDRESS_SIZE];
  int64_t feed_since_us;
  int64_t lost_us;  /* when the feed was found to be lost; 0: it is not */
  bool synced;      /* the feed has sent all targets */
  bool synced_once; /* some feed has */
  entry_state_t state;
  uint64_t version;
  int64_t report_us; /* next report to the feed */
  uint64_t reports;
  io_timer_t timer;
} feed_client_t;

void feed_client_init (feed_client_t *client, const feed_client_options_t *options);
void feed_client_destroy (feed_client_t *client);
void feed_client_start (feed_client_t *client);

/* Tells the control instances a new state or version at once. */
void feed_client_set_state (feed_client_t *client, entry_state_t state);
void feed_client_set_version (feed_client_t *client, uint64_t version);

/* Adds instances that the settings name now. */
void feed_client_add_seeds (feed_client_t *client, const GPtrArray *seeds);

/* Returns whether all targets were received once in the life of this process. */
bool feed_client_was_synced (const feed_client_t *client);

/* Handles the messages of control instances. Returns whether the message was one. */
bool feed_client_receive (feed_client_t *client, const link_t *link, wire_type_t type,
                          wire_reader_t *reader);
