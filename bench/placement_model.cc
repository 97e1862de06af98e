// Counts of placement. Usage: placement_model
//
// Prints the load of the members (services per assigned entry), the share of services that move
// when a member leaves, and the time to recompute after a change. Times are rough.

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "placement.h"
}

static void
add_members (placement_t *placement, int members, int domains)
{
  for (int i = 0; i < members; i++)
    placement_set (placement, ("entry-" + std::to_string (i)).c_str (), "127.0.0.1:1",
                   ("fd-" + std::to_string (i % domains)).c_str (), true, false);
}

static double
seconds_of_all (placement_t *placement, int services)
{
  const placement_member_t *out[256];
  clock_t start = clock ();
  for (int s = 0; s < services; s++)
    placement_assigned (placement, ("service-" + std::to_string (s)).c_str (), 1, out, 256);
  return (double)(clock () - start) / CLOCKS_PER_SEC;
}

static void
measure (int members, int domains, int services)
{
  placement_t *placement = placement_new ();
  add_members (placement, members, domains);
  std::map<std::string, int> load;
  std::vector<std::set<std::string> > before;
  const placement_member_t *out[256];
  double first = seconds_of_all (placement, services);
  double cached = seconds_of_all (placement, services);
  for (int s = 0; s < services; s++)
    {
      std::string name = "service-" + std::to_string (s);
      size_t count = placement_assigned (placement, name.c_str (), 1, out, 256);
      std::set<std::string> ids;
      for (size_t i = 0; i < count; i++)
        ids.insert (out[i]->id);
      for (const std::string &id : ids)
        load[id]++;
      before.push_back (ids);
    }
  int largest = 0;
  for (auto &[id, count] : load)
    largest = std::max (largest, count);
  double mean = (double)services * domains / members;

  placement_remove (placement, "entry-5");
  double changed = seconds_of_all (placement, services);
  int moved = 0;
  for (int s = 0; s < services; s++)
    {
      std::string name = "service-" + std::to_string (s);
      size_t count = placement_assigned (placement, name.c_str (), 1, out, 256);
      for (size_t i = 0; i < count; i++)
        moved += before[s].count (out[i]->id) == 0;
    }
  printf ("placement members=%d domains=%d services=%d mean=%.2f max=%d max/mean=%.2f idle=%d "
          "moved_roles=%d of %d compute_all_ms=%.2f cached_ms=%.2f after_one_change_ms=%.2f\n",
          members, domains, services, mean, largest, largest / mean, members - (int)load.size (),
          moved, services * domains, first * 1e3, cached * 1e3, changed * 1e3);
  placement_free (placement);
}

int
main ()
{
  measure (44, 3, 2);
  measure (44, 3, 20);
  measure (460, 12, 220);
  measure (4600, 12, 2200);
  return 0;
}
