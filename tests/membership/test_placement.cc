#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "placement.h"
}

using members_t = std::vector<const placement_member_t *>;

static std::string
member_id (int i)
{
  return "entry-" + std::to_string (i);
}

static std::string
domain_of (int i, int domains)
{
  return "fd-" + std::to_string (i % domains);
}

static void
set_member (placement_t *placement, int i, int domains, bool configured = true,
            bool leaving = false)
{
  std::string address = "127.0.0.1:" + std::to_string (10000 + i);
  placement_set (placement, member_id (i).c_str (), address.c_str (),
                 domain_of (i, domains).c_str (), configured, leaving);
}

static placement_t *
new_placement_with_members (int members, int domains)
{
  placement_t *placement = placement_new ();
  for (int i = 0; i < members; i++)
    set_member (placement, i, domains);
  return placement;
}

static members_t
find_assigned (placement_t *placement, const std::string &service, unsigned per_domain = 1)
{
  members_t result (256);
  result.resize (
      placement_assigned (placement, service.c_str (), per_domain, result.data (), result.size ()));
  return result;
}

static std::set<std::string>
member_ids (const members_t &members)
{
  std::set<std::string> result;
  for (const placement_member_t *member : members)
    result.insert (member->id);
  return result;
}

// Guards against results that depend on the order in which an entry learned of the others: two
// entries would then own the same target permanently.
TEST (Placement, SameMembersGiveTheSameResult)
{
  placement_t *a = new_placement_with_members (44, 3);
  placement_t *b = placement_new ();
  for (int i = 59; i >= 0; i--)
    set_member (b, i, 3);
  find_assigned (b, "crew");
  for (int i = 44; i < 60; i++)
    placement_remove (b, member_id (i).c_str ());
  for (const char *service : { "crew", "survey", "x" })
    {
      EXPECT_EQ (member_ids (find_assigned (a, service, 4)),
                 member_ids (find_assigned (b, service, 4)));
      const placement_member_t *owner = placement_owner (a, service, 2, "10.0.0.1:80", "fd-1");
      EXPECT_STREQ (owner->id, placement_owner (b, service, 2, "10.0.0.1:80", "fd-1")->id);
      EXPECT_STREQ (owner->domain, "fd-1");
    }
  placement_free (a);
  placement_free (b);
}

// Guards against callers that are sent to an entry that stops or cannot route.
TEST (Placement, LeavingAndUnconfiguredAreNotListed)
{
  placement_t *placement = new_placement_with_members (9, 3);
  set_member (placement, 0, 3, false, false);
  set_member (placement, 3, 3, true, true);
  members_t result (16);
  size_t count = placement_resolve (placement, "crew", 4, "fd-0", result.data (), result.size ());
  EXPECT_EQ (count, 6u);
  EXPECT_STREQ (result[0]->id, "entry-6");
  std::set<std::string> listed;
  for (size_t i = 0; i < count; i++)
    listed.insert (result[i]->id);
  EXPECT_FALSE (listed.count ("entry-0"));
  EXPECT_FALSE (listed.count ("entry-3"));
  EXPECT_FALSE (placement_is_assigned (placement, "crew", 4, "entry-3"));
  EXPECT_TRUE (placement_is_assigned (placement, "crew", 4, "entry-6"));
  placement_free (placement);
}

// Guards against resolve answers that list another failure domain before the caller's own, and
// against callers of all failure domains that have the same second choice.
TEST (Placement, ResolveListsTheCallersDomainFirst)
{
  placement_t *placement = new_placement_with_members (44, 12);
  members_t result (16);
  std::set<std::string> second_choices;
  for (int d = 0; d < 12; d++)
    {
      std::string domain = domain_of (d, 12);
      ASSERT_EQ (
          placement_resolve (placement, "crew", 1, domain.c_str (), result.data (), result.size ()),
          6u);
      EXPECT_EQ (result[0]->domain, domain);
      second_choices.insert (result[1]->id);
    }
  EXPECT_GT (second_choices.size (), 3u);
  placement_free (placement);
}

// Guards against a target without an owner because its failure domain has no entry.
TEST (Placement, TargetOfADomainWithoutEntriesHasAnOwner)
{
  placement_t *placement = new_placement_with_members (6, 3);
  std::set<std::string> owners;
  for (int i = 0; i < 200; i++)
    {
      std::string address = "10.0.0.1:" + std::to_string (i);
      owners.insert (placement_owner (placement, "crew", 1, address.c_str (), "elsewhere")->id);
    }
  EXPECT_EQ (owners.size (), 3u);
  placement_free (placement);
  placement = placement_new ();
  EXPECT_EQ (placement_owner (placement, "crew", 1, "10.0.0.1:80", "fd-0"), nullptr);
  placement_free (placement);
}

// Guards against a departure that moves services between the remaining entries, and against cached
// results that are still returned after the members have changed.
TEST (Placement, OnlyTheServicesOfADepartedMemberMove)
{
  const int services = 500;
  placement_t *placement = new_placement_with_members (120, 12);
  std::map<std::string, std::set<std::string> > before;
  for (int s = 0; s < services; s++)
    before["s" + std::to_string (s)]
        = member_ids (find_assigned (placement, "s" + std::to_string (s)));
  placement_remove (placement, "entry-17");
  int moved = 0;
  for (auto &[service, old_ids] : before)
    {
      std::set<std::string> new_ids = member_ids (find_assigned (placement, service));
      EXPECT_EQ (new_ids.size (), 12u);
      EXPECT_FALSE (new_ids.count ("entry-17"));
      bool was_assigned = old_ids.erase ("entry-17") > 0;
      for (const std::string &id : old_ids)
        EXPECT_TRUE (new_ids.count (id)) << service;
      moved += was_assigned ? 1 : 0;
    }
  // One of 10 members of its failure domain: a tenth of the services on average.
  EXPECT_LT (moved, services / 5);
  EXPECT_GT (moved, 0);
  set_member (placement, 17, 12);
  for (auto &[service, old_ids] : before)
    {
      std::set<std::string> new_ids = member_ids (find_assigned (placement, service));
      for (const std::string &id : old_ids)
        EXPECT_TRUE (new_ids.count (id));
    }
  placement_free (placement);
}

// Guards against a hash that gives some entries many times the services of others.
TEST (Placement, ServicesAreSpreadEvenly)
{
  placement_t *placement = new_placement_with_members (480, 12);
  std::map<std::string, int> services_per_member;
  for (int s = 0; s < 2200; s++)
    {
      for (const placement_member_t *member :
           find_assigned (placement, "service-" + std::to_string (s)))
        services_per_member[member->id]++;
    }
  int largest = 0;
  for (auto &[id, count] : services_per_member)
    largest = std::max (largest, count);
  // 26,400 assignments to 480 members: mean 55, standard deviation 7.4; 5 deviations above the
  // mean.
  EXPECT_LE (largest, 92);
  EXPECT_EQ (services_per_member.size (), 480u);
  placement_free (placement);
}
