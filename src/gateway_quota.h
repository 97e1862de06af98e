#pragma once

#include "feed_client.h"
#include "quota_client.h"

/* gateway_quota - admission of requests to the quotas of their teams, at an entry (quota_client).
 *
 * Sends at most one question per iteration of the main loop to the owner of the quotas. Looks for
 * the owner among the control instances that the feed client knows. */

typedef struct
{
  io_loop_t *loop;
  peer_network_t *network;
  metric_registry_t *counters;
  const feed_client_t *feed;
} gateway_quota_options_t;

typedef struct
{
  gateway_quota_options_t options;
  quota_client_t client;
  io_deferred_t deferred_flush;
  io_timer_t timer;
  int64_t timer_due_us; /* INT64_MAX: the timer is not armed */
  bool lost;            /* the owner was lost when this was last logged */
  metric_t asked;
  metric_t allowance_admitted;
  metric_t fallback_admitted;
  metric_t fallback_refused;
  metric_t refused;
  metric_t owner_changes;
  metric_t owner_losses;
  metric_t answer_time;
} gateway_quota_t;

void gateway_quota_init (gateway_quota_t *quota, const gateway_quota_options_t *options);
void gateway_quota_destroy (gateway_quota_t *quota);

/* Decides about a request of the team with the id TEAM_ID, see limiter_team_id(), which has LIMIT.
 * Reports the verdict through WAITER->on_verdict(), possibly before this function returns. WAITER
 * was set to zero, except for on_verdict; it stays valid until the verdict or
 * gateway_quota_cancel(). */
void gateway_quota_admit (gateway_quota_t *quota, uint64_t team_id, const quota_limit_t *limit,
                          quota_request_t *waiter);

/* Forgets a request whose caller leaves. Does nothing if it was decided. */
void gateway_quota_cancel (gateway_quota_t *quota, quota_request_t *waiter);

/* Gives back the credit of an admitted request that is refused with the assurance that it has not
 * run. A second call for WAITER does nothing. */
void gateway_quota_give_back (gateway_quota_t *quota, quota_request_t *waiter);

/* Handles a message. Returns whether TYPE is known. */
bool gateway_quota_receive (gateway_quota_t *quota, const link_t *link, wire_type_t type,
                            wire_reader_t *reader);
