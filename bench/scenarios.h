#pragma once

#include <string>
#include <vector>

#include "model.h"

/* Users and failures of the tables in docs/measurements/decisions.md. A user is one service with
 * its targets, load and settings. */

struct User
{
  std::string name;
  ModelOptions options;
};

struct Scenario
{
  std::string name;
  std::vector<Fault> faults;
};

ModelOptions gleisgruen ();
ModelOptions latta_nord ();
std::vector<User> bench_users ();
std::vector<Scenario> bench_scenarios ();
