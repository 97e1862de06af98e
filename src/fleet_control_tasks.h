#pragma once

#include "call_adapter.h"

/* fleet_control_tasks - the program anvillb-fleet-control: creates its parts, and starts and stops
 * them in order. */

/* Runs the program and returns its exit status. */
int fleet_control_run (const call_adapter_t *adapter, int argc, char **argv);
