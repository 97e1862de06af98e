#pragma once

#include "model.h"

/* Runs the seeds 1 to RUNS and returns the sum of the results, without successes_by_second. */
ModelResult run_seeds (const ModelOptions &options, int runs);

/* These print Markdown to standard output. ONLY_USER and ONLY_SCENARIO select the rows whose names
 * contain them; a null ONLY_SCENARIO selects all. */
void print_failure_tables (int runs, const char *only_user, const char *only_scenario);
void print_goal_tables (int runs);
void print_scaling_tables ();
