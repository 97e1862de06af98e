#pragma once

#include "entry_directory.h"
#include "version_record.h"
#include "wire.h"

/* fleet_wire - messages between entries and control instances, in the form of wire.h.
 *
 * STATUS    entry to control: what it is, its state, the version in force, and whether it takes
 *           the feed of this instance
 * VIEW      control to entry: whether the instance is in contact with the group, the other
 *           control instances, and the active entries of the entry's cell
 * CONFIG    control to entry: a version in full
 * TARGETS   control to entry and to control: announcements, with their age
 * DEPARTED  control to entry: lives of targets that drain or have ended
 * JOIN      control to control: asks the leader for membership in the group
 * PROPOSE   control to the leader: a command; PROPOSED is its result
 * LOAD      entry to entry of one failure domain: requests in flight and evidence for each target
 */

/* What an entry reports. Id, domain and peer address are in the HELLO of the link. */
typedef struct
{
  char caller_address[REGISTRY_ADDRESS_SIZE];
  entry_state_t state;
  uint64_t version; /* in force; 0: none */
  bool feed;        /* wants configurations and targets from this instance */
  bool resync;      /* has nothing of this instance's feed yet */
  bool want_view;   /* VIEW is to be sent */
  double capacity;  /* see directory_entry_t */
} fleet_status_t;

typedef struct
{
  bool current;       /* in contact with the leader of the group, or with a majority as leader */
  GPtrArray *control; /* char *, peer addresses of the members of the group */
  GPtrArray *peers;   /* char *, peer addresses of the active entries of the cell */
  unsigned cells;     /* of the failure domain */
  unsigned cell;      /* of the entry; CELLS if it is not active */
} fleet_view_t;

/* One target in a LOAD message. */
typedef struct
{
  uint64_t target_id;
  uint32_t in_flight;
  double evidence; /* log-likelihood ratio for a fault, since the last message */
} fleet_load_t;

void fleet_status_encode (const fleet_status_t *status, wire_writer_t *writer);
bool fleet_status_decode (fleet_status_t *status, wire_reader_t *reader);

void fleet_view_encode (const fleet_view_t *view, wire_writer_t *writer);
bool fleet_view_decode (fleet_view_t *view, wire_reader_t *reader);
void fleet_view_clear (fleet_view_t *view);

void fleet_config_encode (const version_seal_t *seal, GBytes *text, wire_writer_t *writer);
/* Returns the document text, or NULL. Free with g_bytes_unref(). */
GBytes *fleet_config_decode (version_seal_t *seal, wire_reader_t *reader);

/* TARGETS is an array of registry_target_t; their times become ages at NOW_US. */
void fleet_targets_encode (const GArray *targets, int64_t now_us, wire_writer_t *writer);
bool fleet_targets_decode (GArray *targets, int64_t now_us, wire_reader_t *reader);

/* DEPARTURES is an array of registry_departure_t. */
void fleet_departed_encode (const GArray *departures, wire_writer_t *writer);
bool fleet_departed_decode (GArray *departures, wire_reader_t *reader);

void fleet_load_encode (const GArray *loads, wire_writer_t *writer);
bool fleet_load_decode (GArray *loads, wire_reader_t *reader);
