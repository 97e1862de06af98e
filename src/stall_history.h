#pragma once

#include <glib.h>
#include <stdbool.h>

/* stall_history - tells for each route whether a silent attempt is worth a retry. It does no I/O
 * and reads no clock.
 *
 * An attempt stalls when its connection is silent for the stall time of the service while another
 * connection shows that the target works. That is a fault of the connection only if the requests of
 * the route are usually answered sooner. If they simply take longer, each retry would run the
 * request again and be given up as well, so that none is ever answered.
 *
 * A route is quick once an answer has come within the stall time, and no longer after an answer
 * that took longer or after STALL_HISTORY_MAX_STALLS stalls without an answer. A route without an
 * answer so far is not quick, because giving up work that runs is worse than waiting for a lost
 * answer. */

/* Stalls in a row after which a route is not quick any more. */
#define STALL_HISTORY_MAX_STALLS 3

typedef struct
{
  GHashTable *quick_routes; /* route id -> number of stalls since the last quick answer */
} stall_history_t;

void stall_history_init (stall_history_t *history);
void stall_history_destroy (stall_history_t *history);

/* Records a complete answer to a request of ROUTE, which came within the stall time if QUICK. */
void stall_history_record_answer (stall_history_t *history, const char *route, bool quick);

/* Records an attempt of ROUTE that stalled and got no answer. */
void stall_history_record_stall (stall_history_t *history, const char *route);

/* Returns whether ROUTE is quick. */
bool stall_history_is_quick (const stall_history_t *history, const char *route);
