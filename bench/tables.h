#pragma once

#include "model.h"

/* Runs the seeds 1 to RUNS and adds the results up, except good_by_second. */
ModelResult run_seeds (const ModelOptions &options, int runs);

/* Print Markdown to standard output. */
void print_failure_tables (int runs, const char *only_user, const char *only_scenario);
void print_objective_tables (int runs);
void print_scaling_tables ();
