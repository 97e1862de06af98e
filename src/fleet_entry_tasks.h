#pragma once

#include "call_adapter.h"

/* fleet_entry_tasks - the program anvillb-fleet-entry: its parts and their order of start and stop.
 *
 * After SIGTERM the entry tells the control instances that it leaves, answers that it is not ready,
 * and closes each connection after the answer that is under way. For the first half of the grace
 * period it still accepts connections, because callers may keep its address for a while; requests
 * that it has read are finished in the second half. */

/* Runs the program and returns its exit status. */
int fleet_entry_run (const call_adapter_t *adapter, int argc, char **argv);
