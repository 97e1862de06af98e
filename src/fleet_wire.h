#pragma once

#include "entry_directory.h"
#include "version_record.h"
#include "wire.h"

/* fleet_wire - messages between entries and control instances, encoded as described in wire.h.
 *
 * STATUS    entry to control: its address for callers, its state, the version in force, and whether
 *           it takes its feed from this instance
 * VIEW      control to entry: whether the instance is in contact with the group, the addresses of
 *           the control instances, and the active entries of the entry's cell
 * CONFIG    control to entry: a complete configuration version
 * TARGETS   control to entry and to control: announcements with their ages
 * DEPARTED  control to entry: departures of targets. fleet_machine stores this message in the log
 *           and in snapshots
 * JOIN      control to control: asks the leader for membership in the group
 * PROPOSE   control to the leader: a command; PROPOSED returns its result
 * LOAD      entry to entry of one cell: a load report, with requests in flight and evidence of
 *           faults for each target
 */

/* Content of STATUS. The id, domain, peer address and incarnation of the entry are in the HELLO of
 * the link. */
typedef struct
{
  char caller_address[REGISTRY_ADDRESS_SIZE];
  entry_state_t state;
  uint64_t version; /* configuration in force; 0: none */
  bool wants_feed;  /* asks for configurations and targets from this instance */
  bool wants_sync;  /* asks for all targets and departures, as this feed has sent none yet */
  bool wants_view;  /* asks for a VIEW */
  double capacity;  /* requests per second; see directory_entry_t */
} fleet_status_t;

/* Content of VIEW. */
typedef struct
{
  bool in_contact;         /* reaches the leader, or as leader a majority; false while it stops */
  GPtrArray *members;      /* char *, peer addresses of the members of the group */
  GPtrArray *peers;        /* char *, peer addresses of the active entries of the cell */
  unsigned cell_count;     /* cells of the failure domain, at least 1 */
  unsigned own_cell_index; /* index of the entry's cell; cell_count if the entry is not active */
} fleet_view_t;

/* One target in a LOAD message. */
typedef struct
{
  uint64_t target_id;
  uint32_t in_flight;
  double evidence; /* log-likelihood ratio for a fault, from the outcomes since the last message */
} fleet_load_report_t;

/* An encode function initialises WRITER, which the caller destroys. A decode function returns false
 * if the message is malformed. */
void fleet_status_encode (const fleet_status_t *status, wire_writer_t *writer);
bool fleet_status_decode (fleet_status_t *status, wire_reader_t *reader);

void fleet_view_encode (const fleet_view_t *view, wire_writer_t *writer);
/* Allocates the arrays of VIEW, also on failure. Free them with fleet_view_clear(). */
bool fleet_view_decode (fleet_view_t *view, wire_reader_t *reader);
void fleet_view_clear (fleet_view_t *view);

void fleet_config_encode (const version_seal_t *seal, GBytes *text, wire_writer_t *writer);
/* Returns the text of the document, or NULL if it is malformed. Free with g_bytes_unref(). */
GBytes *fleet_config_decode (version_seal_t *seal, wire_reader_t *reader);

/* TARGETS is an array of registry_target_t. Times on the monotonic clock are sent relative to
 * NOW_US, because the clocks of two processes differ. */
void fleet_targets_encode (const GArray *targets, int64_t now_us, wire_writer_t *writer);
bool fleet_targets_decode (GArray *targets, int64_t now_us, wire_reader_t *reader);

/* DEPARTURES is an array of registry_departure_t. */
void fleet_departed_encode (const GArray *departures, wire_writer_t *writer);
bool fleet_departed_decode (GArray *departures, wire_reader_t *reader);

/* LOADS is an array of fleet_load_report_t. */
void fleet_load_encode (const GArray *loads, wire_writer_t *writer);
bool fleet_load_decode (GArray *loads, wire_reader_t *reader);
