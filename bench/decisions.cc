#include <cstdio>
#include <cstdlib>

#include "tables.h"

/* Prints the tables of docs/measurements/decisions.md.
 * Usage: bench_decisions [RUNS [USER [SCENARIO]]]; seeds are 1 to RUNS. With a user or a scenario
 * only the matching rows of the failure tables are printed. */

int
main (int argc, char **argv)
{
  int runs = argc > 1 ? atoi (argv[1]) : 100;
  const char *only_user = argc > 2 ? argv[2] : "";
  const char *only_scenario = argc > 3 ? argv[3] : nullptr;

  print_failure_tables (runs, only_user, only_scenario);
  if (argc > 2)
    return 0;
  print_goal_tables (runs);
  print_scaling_tables ();
  return 0;
}
