#pragma once

#include "swim.h"

/* swim_internal - functions shared by the source files of swim, not for other modules. */

/* Number of suspected members at which a death reported by a sync starts no further suspicion.
 * After a partition the tables differ in thousands of deaths that are about to be refuted. */
#define SWIM_MAX_SYNC_SUSPECTS 16

/* How an update arrived. */
typedef enum
{
  SWIM_CHANNEL_GOSSIP, /* piggybacked on another message */
  SWIM_CHANNEL_SYNC,   /* by an anti-entropy sync */
} swim_channel_t;

/* swim_update.c: states of members */

/* Merges UPDATE into the table and reports the events. */
void swim_apply_update (swim_t *swim, int64_t now_us, const swim_update_t *update,
                        swim_channel_t channel);

/* Sets MEMBER to suspected and starts its suspicion timeout. */
void swim_suspect (swim_t *swim, int64_t now_us, swim_member_t *member, uint64_t incarnation);

/* Pings suspected members a last time, declares them dead when their timers expire, and removes
 * members that have been dead for SWIM_DEAD_RETENTION_US. */
void swim_expire_timers (swim_t *swim, int64_t now_us);

/* Extends all suspicions to at least a full timeout from NOW_US. */
void swim_extend_suspicions (swim_t *swim, int64_t now_us);

/* Handles a state of this instance that another member reported. Announces a higher incarnation if
 * the state is wrong. */
void swim_refute (swim_t *swim, swim_status_t status, uint64_t incarnation);

/* Adds FLAGS to the record of this instance, raises its incarnation, to at least INCARNATION, and
 * announces the record. */
void swim_update_self (swim_t *swim, uint8_t flags, uint64_t incarnation);

/* swim_probe.c: pings and acks */

/* Initialises MESSAGE, which is to be sent to the member ID. ID is "" if it is unknown. */
void swim_message_init (swim_t *swim, swim_message_t *message, wire_type_t type, const char *id);

/* Sends MESSAGE. Adds the record of this instance if INCLUDE_SELF. Except for WIRE_SWIM_SYNC, also
 * adds as many pending updates as its size and update_tokens allow. */
void swim_message_send (swim_t *swim, swim_message_t *message, const char *address,
                        bool include_self);

/* Sends a ping that is no probe: without an ack, the member is not suspected. ID is "" if it is
 * unknown. */
void swim_ping_untracked (swim_t *swim, const char *id, const char *address, bool include_self);

/* Pings SWIM_EAGER_PING_COUNT random members, which also spreads pending updates. */
void swim_ping_random_members (swim_t *swim, bool include_self);

/* Starts a probe when a period begins, requests indirect pings if no ack arrived in time, and ends
 * the probe as failed if there is no ack by the end of the period. */
void swim_probe_tick (swim_t *swim, int64_t now_us);

/* Ends the current probe, if any, without a result. */
void swim_probe_cancel (swim_t *swim);
void swim_receive_ping (swim_t *swim, const char *source, const swim_message_t *message);
void swim_receive_ack (swim_t *swim, const swim_message_t *message);
void swim_receive_ping_req (swim_t *swim, int64_t now_us, const char *source,
                            const swim_message_t *message);
void swim_relayed_ping_free (void *relay);

/* swim_sync.c: anti-entropy sync of the tables */

/* Continues the transfers and starts a sync with a random member when one is due. */
void swim_sync_tick (swim_t *swim, int64_t now_us);

/* Schedules at least COUNT syncs at short intervals. */
void swim_schedule_sync (swim_t *swim, int64_t now_us, unsigned count);

void swim_receive_sync (swim_t *swim, int64_t now_us, const char *source,
                        const swim_message_t *message);
void swim_transfer_free (void *transfer);
