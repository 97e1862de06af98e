#pragma once

#include "swim.h"

/* swim_internal - functions that the modules of swim share; not for others. */

/* Suspicions that a comparison of tables may start while others are open. After a partition the
 * tables differ in thousands of deaths that are about to be refuted. */
#define SWIM_SYNC_SUSPECT_LIMIT 16

typedef enum
{
  SWIM_VIA_GOSSIP,
  SWIM_VIA_SYNC,
} swim_via_t;

/* swim_update: states of members */

void swim_apply_update (swim_t *swim, int64_t now_us, const swim_update_t *update, swim_via_t via);
void swim_suspect (swim_t *swim, int64_t now_us, swim_member_t *member, uint64_t incarnation);
void swim_expire_timers (swim_t *swim, int64_t now_us);

/* Gives all suspicions a full timeout from NOW_US. */
void swim_extend_suspicions (swim_t *swim, int64_t now_us);

/* Answers a claim about this instance with a higher incarnation if the claim is wrong. */
void swim_refute (swim_t *swim, swim_status_t status, uint64_t incarnation);

/* Changes the own record: FLAGS are added, the incarnation becomes at least INCARNATION. */
void swim_change_self (swim_t *swim, uint8_t flags, uint64_t incarnation);

/* swim_probe: pings and acks */

/* Starts MESSAGE to the instance ID, "" if unknown. */
void swim_message_start (swim_t *swim, swim_message_t *message, wire_type_t type, const char *id);

/* Adds updates within the budgets and sends. INTRODUCE adds the own record in any case. */
void swim_message_send (swim_t *swim, swim_message_t *message, const char *address, bool introduce);

/* Pings outside of the round, without a verdict. ID is "" if it is unknown. */
void swim_contact (swim_t *swim, const char *id, const char *address, bool introduce);

/* Contacts SWIM_EAGER_PINGS random members. */
void swim_contact_some (swim_t *swim, bool introduce);

void swim_probe_tick (swim_t *swim, int64_t now_us);
void swim_probe_abandon (swim_t *swim);
void swim_receive_ping (swim_t *swim, const char *source, const swim_message_t *message);
void swim_receive_ack (swim_t *swim, const swim_message_t *message);
void swim_receive_ping_req (swim_t *swim, int64_t now_us, const char *source,
                            const swim_message_t *message);
void swim_relay_free (void *relay);

/* swim_sync: comparison of tables */

void swim_sync_tick (swim_t *swim, int64_t now_us);

/* Compares tables soon, COUNT times at short intervals. */
void swim_sync_soon (swim_t *swim, int64_t now_us, unsigned count);

void swim_receive_sync (swim_t *swim, int64_t now_us, const char *source,
                        const swim_message_t *message);
void swim_transfer_free (void *transfer);
