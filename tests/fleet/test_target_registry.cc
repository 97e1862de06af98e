#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "rng.h"
#include "target_registry.h"
}

namespace
{
class TargetRegistry : public ::testing::Test
{
protected:
  target_registry_t registry;
  std::vector<std::string> dropped_ids;

  void
  SetUp () override
  {
    target_registry_init (&registry);
  }
  void
  TearDown () override
  {
    target_registry_destroy (&registry);
  }
  static void
  record_dropped (void *data, const registry_target_t *target)
  {
    EXPECT_EQ (target->state, REGISTRY_GONE);
    ((TargetRegistry *)data)->dropped_ids.push_back (target->id);
  }
  registry_result_t
  announce (const std::string &id, int64_t started_at_ms, uint64_t sequence,
            const std::string &address = "10.0.0.1:80", const std::string &service = "s",
            int64_t last_announcement_us = 0)
  {
    registry_target_t target = {};
    g_strlcpy (target.id, id.c_str (), sizeof (target.id));
    g_strlcpy (target.address, address.c_str (), sizeof (target.address));
    g_strlcpy (target.service, service.c_str (), sizeof (target.service));
    target.slots = 2;
    target.started_at_ms = started_at_ms;
    target.sequence = sequence;
    target.last_announcement_us = last_announcement_us;
    return target_registry_announce (&registry, &target, record_dropped, this);
  }
};
}

// Guards against a delayed announcement that restores an older address or state.
TEST_F (TargetRegistry, OlderAnnouncementsAreIgnored)
{
  EXPECT_EQ (announce ("a", 100, 5), REGISTRY_NEW);
  EXPECT_EQ (announce ("a", 100, 4, "10.0.0.9:80"), REGISTRY_OUTDATED);
  EXPECT_EQ (announce ("a", 100, 5, "10.0.0.9:80"), REGISTRY_OUTDATED);
  EXPECT_EQ (announce ("a", 90, 99, "10.0.0.9:80"), REGISTRY_OUTDATED);
  EXPECT_STREQ (target_registry_find (&registry, "a")->address, "10.0.0.1:80");
  EXPECT_EQ (announce ("a", 100, 6), REGISTRY_RENEWED);
  EXPECT_EQ (announce ("a", 100, 7, "10.0.0.2:80"), REGISTRY_CHANGED);
}

// Guards against a restarted target whose announcements are ignored because its sequence numbers
// start again at 1.
TEST_F (TargetRegistry, LaterStartTakesPrecedenceOverSequence)
{
  EXPECT_EQ (announce ("a", 100, 50), REGISTRY_NEW);
  EXPECT_EQ (announce ("a", 200, 1), REGISTRY_NEW);
  EXPECT_EQ (target_registry_find (&registry, "a")->started_at_ms, 200);
}

// Guards against new requests to a target after its departure was acknowledged, because of an
// announcement or departure that arrives late.
TEST_F (TargetRegistry, DepartureTakesPrecedenceOverItsIncarnation)
{
  announce ("a", 100, 1);
  EXPECT_TRUE (target_registry_record_departure (&registry, "a", 100, REGISTRY_DRAINING));
  EXPECT_EQ (announce ("a", 100, 2), REGISTRY_DEPARTED);
  EXPECT_EQ (announce ("a", 99, 9), REGISTRY_DEPARTED);
  EXPECT_EQ (target_registry_get_recorded_state (&registry, "a", 99), REGISTRY_GONE);
  EXPECT_TRUE (target_registry_record_departure (&registry, "a", 100, REGISTRY_GONE));
  EXPECT_FALSE (target_registry_record_departure (&registry, "a", 100, REGISTRY_DRAINING));
  EXPECT_FALSE (target_registry_record_departure (&registry, "a", 100, REGISTRY_GONE));
  EXPECT_EQ (announce ("a", 300, 1), REGISTRY_NEW);
  EXPECT_FALSE (target_registry_record_departure (&registry, "a", 100, REGISTRY_GONE));
  EXPECT_EQ (target_registry_find (&registry, "a")->state, REGISTRY_READY);
}

// Guards against requests that reach a target of another service at a reused address.
TEST_F (TargetRegistry, AddressBelongsToTheTargetStartedLast)
{
  announce ("old", 100, 1);
  EXPECT_EQ (announce ("new", 200, 1, "10.0.0.1:80", "t"), REGISTRY_NEW);
  EXPECT_EQ (dropped_ids, (std::vector<std::string>{ "old" }));
  EXPECT_EQ (target_registry_find (&registry, "old"), nullptr);
  EXPECT_EQ (announce ("old", 100, 2), REGISTRY_OUTDATED);
  EXPECT_EQ (target_registry_find (&registry, "old"), nullptr);
}

// Guards against targets that crashed and are kept for ever.
TEST_F (TargetRegistry, SilentTargetsExpire)
{
  announce ("a", 100, 1, "10.0.0.1:80", "s", 1000);
  announce ("b", 100, 1, "10.0.0.2:80", "s", 2000);
  target_registry_expire (&registry, 2000, record_dropped, this);
  EXPECT_EQ (dropped_ids, (std::vector<std::string>{ "a" }));
}

// Guards against memory that grows with each restart of a target, which records a departure.
TEST_F (TargetRegistry, OldestDeparturesAreRemoved)
{
  for (int i = 0; i < REGISTRY_MAX_DEPARTURES + 10; i++)
    target_registry_record_departure (&registry, ("t" + std::to_string (i)).c_str (), 1,
                                      REGISTRY_GONE);
  EXPECT_EQ (g_hash_table_size (registry.departures), (guint)REGISTRY_MAX_DEPARTURES);
  EXPECT_EQ (target_registry_get_recorded_state (&registry, "t0", 1), REGISTRY_READY);
  EXPECT_EQ (target_registry_get_recorded_state (&registry, "t20", 1), REGISTRY_GONE);
}

// Guards against a state that depends on the order in which messages arrive: two registries that
// get the same announcements and departures in different orders end with the same ready targets.
TEST_F (TargetRegistry, StateDoesNotDependOnTheOrderOfMessages)
{
  for (uint64_t seed = 1; seed <= 300; seed++)
    {
      rng_t rng;
      rng_init (&rng, seed);
      std::vector<std::string> results;
      std::vector<int> events;
      for (int i = 0; i < 24; i++)
        events.push_back ((int)rng_uniform_int (&rng, 3 * 3 * 4));
      for (int copy = 0; copy < 2; copy++)
        {
          target_registry_destroy (&registry);
          target_registry_init (&registry);
          for (size_t i = events.size (); i > 1; i--)
            std::swap (events[i - 1], events[rng_uniform_int (&rng, i)]);
          for (int event : events)
            {
              std::string id = std::string (1, (char)('a' + event % 3));
              int64_t started_at_ms = 1 + event / 3 % 3;
              int sequence = event / 9;
              std::string address = "10.0.0." + id + std::to_string (started_at_ms);
              if (sequence == 0)
                target_registry_record_departure (&registry, id.c_str (), started_at_ms,
                                                  REGISTRY_GONE);
              else
                announce (id, started_at_ms, (uint64_t)sequence, address);
            }
          std::string result;
          for (const char *id : { "a", "b", "c" })
            {
              const registry_target_t *target = target_registry_find (&registry, id);
              if (target != nullptr && target->state == REGISTRY_READY)
                result += std::string (id) + std::to_string (target->started_at_ms) + "/"
                          + std::to_string (target->sequence) + " ";
            }
          results.push_back (result);
        }
      EXPECT_EQ (results[0], results[1]) << "seed " << seed;
    }
}
