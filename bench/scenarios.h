#pragma once

#include <string>
#include <vector>

#include "model.h"

/* Users and failures of the tables in docs/measurements/decisions.md. A user is one service with
 * its targets, load and settings. */

struct Installation
{
  std::string name;
  ModelOptions options;
};

struct Scenario
{
  std::string name;
  std::vector<Fault> faults;
};

ModelOptions gleisgruen_options ();
ModelOptions latta_nord_options ();
std::vector<Installation> bench_installations ();
std::vector<Scenario> bench_scenarios ();
