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
set_member (placement_t *p, int i, int domains, bool configured = true, bool leaving = false)
{
  std::string address = "127.0.0.1:" + std::to_string (10000 + i);
  placement_set (p, member_id (i).c_str (), address.c_str (), domain_of (i, domains).c_str (),
                 configured, leaving);
}

static placement_t *
fleet (int members, int domains)
{
  placement_t *p = placement_new ();
  for (int i = 0; i < members; i++)
    set_member (p, i, domains);
  return p;
}

static members_t
assigned (placement_t *p, const std::string &service, unsigned per_domain = 1)
{
  members_t out (256);
  out.resize (placement_assigned (p, service.c_str (), per_domain, out.data (), out.size ()));
  return out;
}

static std::set<std::string>
ids (const members_t &members)
{
  std::set<std::string> out;
  for (const placement_member_t *member : members)
    out.insert (member->id);
  return out;
}

// Guards against results that depend on the order in which an entry learned of the others; two
// entries would then both own a target for ever.
TEST (Placement, SameViewSameResult)
{
  placement_t *a = fleet (44, 3);
  placement_t *b = placement_new ();
  for (int i = 59; i >= 0; i--)
    set_member (b, i, 3);
  assigned (b, "crew");
  for (int i = 44; i < 60; i++)
    placement_remove (b, member_id (i).c_str ());
  for (const char *service : { "crew", "survey", "x" })
    {
      EXPECT_EQ (ids (assigned (a, service, 4)), ids (assigned (b, service, 4)));
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
  placement_t *p = fleet (9, 3);
  set_member (p, 0, 3, false, false);
  set_member (p, 3, 3, true, true);
  members_t out (16);
  size_t count = placement_resolve (p, "crew", 4, "fd-0", out.data (), out.size ());
  EXPECT_EQ (count, 6u);
  EXPECT_STREQ (out[0]->id, "entry-6");
  std::set<std::string> listed;
  for (size_t i = 0; i < count; i++)
    listed.insert (out[i]->id);
  EXPECT_FALSE (listed.count ("entry-0"));
  EXPECT_FALSE (listed.count ("entry-3"));
  EXPECT_FALSE (placement_is_assigned (p, "crew", 4, "entry-3"));
  EXPECT_TRUE (placement_is_assigned (p, "crew", 4, "entry-6"));
  placement_free (p);
}

// Guards against resolve answers that lead callers across failure domains first.
TEST (Placement, ResolveListsTheCallersDomainFirst)
{
  placement_t *p = fleet (44, 12);
  members_t out (16);
  std::set<std::string> second_choices;
  for (int d = 0; d < 12; d++)
    {
      std::string domain = domain_of (d, 12);
      ASSERT_EQ (placement_resolve (p, "crew", 1, domain.c_str (), out.data (), out.size ()), 6u);
      EXPECT_EQ (out[0]->domain, domain);
      second_choices.insert (out[1]->id);
    }
  EXPECT_GT (second_choices.size (), 3u);
  placement_free (p);
}

// Guards against a target without an owner because its failure domain has no entry.
TEST (Placement, TargetOfADomainWithoutEntriesHasAnOwner)
{
  placement_t *p = fleet (6, 3);
  std::set<std::string> owners;
  for (int i = 0; i < 200; i++)
    {
      std::string address = "10.0.0.1:" + std::to_string (i);
      owners.insert (placement_owner (p, "crew", 1, address.c_str (), "elsewhere")->id);
    }
  EXPECT_EQ (owners.size (), 3u);
  placement_free (p);
  p = placement_new ();
  EXPECT_EQ (placement_owner (p, "crew", 1, "10.0.0.1:80", "fd-0"), nullptr);
  placement_free (p);
}

// Guards against a departure that moves services between the entries that stay, and against cached
// results that outlive a change.
TEST (Placement, OnlyTheServicesOfADepartedMemberMove)
{
  const int services = 500;
  placement_t *p = fleet (120, 12);
  std::map<std::string, std::set<std::string> > before;
  for (int s = 0; s < services; s++)
    before["s" + std::to_string (s)] = ids (assigned (p, "s" + std::to_string (s)));
  placement_remove (p, "entry-17");
  int moved = 0;
  for (auto &[service, old_ids] : before)
    {
      std::set<std::string> now = ids (assigned (p, service));
      EXPECT_EQ (now.size (), 12u);
      EXPECT_FALSE (now.count ("entry-17"));
      bool had = old_ids.erase ("entry-17") > 0;
      for (const std::string &id : old_ids)
        EXPECT_TRUE (now.count (id)) << service;
      moved += had ? 1 : 0;
    }
  // One of 10 members of its failure domain: a tenth of the services on average.
  EXPECT_LT (moved, services / 5);
  EXPECT_GT (moved, 0);
  set_member (p, 17, 12);
  for (auto &[service, old_ids] : before)
    {
      std::set<std::string> now = ids (assigned (p, service));
      for (const std::string &id : old_ids)
        EXPECT_TRUE (now.count (id));
    }
  placement_free (p);
}

// Guards against a hash that gives some entries many times the services of others.
TEST (Placement, ServicesAreSpread)
{
  placement_t *p = fleet (480, 12);
  std::map<std::string, int> load;
  for (int s = 0; s < 2200; s++)
    {
      for (const placement_member_t *member : assigned (p, "service-" + std::to_string (s)))
        load[member->id]++;
    }
  int largest = 0;
  for (auto &[id, count] : load)
    largest = std::max (largest, count);
  // 26,400 roles on 480 members: mean 55, standard deviation 7.4; 5 deviations above the mean.
  EXPECT_LE (largest, 92);
  EXPECT_EQ (load.size (), 480u);
  placement_free (p);
}
