#pragma once

#include "call_adapter.h"

/* fleet_entry_tasks - the program anvillb-fleet-entry: creates its parts, and starts and stops them
 * in order.
 *
 * After SIGTERM the entry reports to the control instances that it leaves, answers that it is not
 * ready, and closes each connection after the response in progress. For the first half of the grace
 * period it still accepts connections, because callers may keep its address for a while, and passes
 * on the requests that the stop will not cut off, see stop_plan.h. In the second half it finishes
 * the requests that it has read. */

/* Runs the program and returns its exit status. */
int fleet_entry_run (const call_adapter_t *adapter, int argc, char **argv);
