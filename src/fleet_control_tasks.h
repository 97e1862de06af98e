#pragma once

#include "call_adapter.h"

/* fleet_control_tasks - the program anvillb-fleet-control: its parts and their order of start and
 * stop. */

/* Runs the program and returns its exit status. */
int fleet_control_run (const call_adapter_t *adapter, int argc, char **argv);
