// Measures placement. Usage: placement_model
//
// Prints the load of the members (services per assigned entry), the share of services that move
// when a member leaves, and the time to recompute after a change. Times vary from run to run.

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
assign_all_cpu_s (placement_t *placement, int services)
{
  const placement_member_t *assigned[256];
  clock_t start = clock ();
  for (int s = 0; s < services; s++)
    placement_assigned (placement, ("service-" + std::to_string (s)).c_str (), 1, assigned, 256);
  return (double)(clock () - start) / CLOCKS_PER_SEC;
}

static void
measure (int members, int domains, int services)
{
  placement_t *placement = placement_new ();
  add_members (placement, members, domains);
  std::map<std::string, int> services_by_member;
  std::vector<std::set<std::string> > entries_before;
  const placement_member_t *assigned[256];
  double first_s = assign_all_cpu_s (placement, services);
  double cached_s = assign_all_cpu_s (placement, services);
  for (int s = 0; s < services; s++)
    {
      std::string name = "service-" + std::to_string (s);
      size_t count = placement_assigned (placement, name.c_str (), 1, assigned, 256);
      std::set<std::string> ids;
      for (size_t i = 0; i < count; i++)
        ids.insert (assigned[i]->id);
      for (const std::string &id : ids)
        services_by_member[id]++;
      entries_before.push_back (ids);
    }
  int max_load = 0;
  for (auto &[id, count] : services_by_member)
    max_load = std::max (max_load, count);
  double mean = (double)services * domains / members;

  placement_remove (placement, "entry-5");
  double changed_s = assign_all_cpu_s (placement, services);
  int moved_count = 0;
  for (int s = 0; s < services; s++)
    {
      std::string name = "service-" + std::to_string (s);
      size_t count = placement_assigned (placement, name.c_str (), 1, assigned, 256);
      for (size_t i = 0; i < count; i++)
        moved_count += entries_before[s].count (assigned[i]->id) == 0;
    }
  printf ("placement members=%d domains=%d services=%d mean=%.2f max=%d max/mean=%.2f idle=%d "
          "moved_roles=%d of %d compute_all_ms=%.2f cached_ms=%.2f after_one_change_ms=%.2f\n",
          members, domains, services, mean, max_load, max_load / mean,
          members - (int)services_by_member.size (), moved_count, services * domains, first_s * 1e3,
          cached_s * 1e3, changed_s * 1e3);
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
