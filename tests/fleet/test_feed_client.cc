#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C"
{
#include "feed_client.h"
}

namespace
{
/* Overall limit of one wait; only a hang reaches it. */
constexpr int64_t WAIT_LIMIT_US = 20 * G_USEC_PER_SEC;

class FeedClient;

/* A control instance that answers reports. */
struct instance_t
{
  FeedClient *test;
  std::string domain;
  bool current = true;
  bool silent = false;
  peer_network_t network = {};
  std::string address;
  std::string id;
};

class FeedClient : public ::testing::Test
{
protected:
  io_loop_t *loop = io_loop_new (nullptr);
  counter_registry_t counters = {};
  std::vector<instance_t *> instances;
  peer_network_t network = {};
  feed_client_t client = {};
  GPtrArray *seeds = g_ptr_array_new_with_free_func (g_free);
  std::string feed;
  int switches = 0;

  static void
  answer (void *data, link_t *link, wire_type_t type, wire_reader_t *reader, const uint8_t *message,
          size_t size)
  {
    instance_t *instance = (instance_t *)data;
    fleet_status_t status;
    if (type != WIRE_FLEET_STATUS || !fleet_status_decode (&status, reader) || instance->silent)
      return;
    if (status.wants_feed && status.wants_sync)
      {
        g_autoptr (GArray) none = g_array_new (FALSE, FALSE, sizeof (registry_target_t));
        wire_writer_t targets;
        fleet_targets_encode (none, 0, &targets);
        peer_network_reply_writer (&instance->network, link->number, &targets);
      }
    if (!status.wants_view)
      return;
    wire_writer_t writer;
    fleet_view_t view = { instance->current, g_ptr_array_new (), g_ptr_array_new (), 1, 1 };
    fleet_view_encode (&view, &writer);
    fleet_view_clear (&view);
    peer_network_reply_writer (&instance->network, link->number, &writer);
  }
  static void
  receive (void *data, link_t *link, wire_type_t type, wire_reader_t *reader,
           const uint8_t *message, size_t size)
  {
    feed_client_receive (&((FeedClient *)data)->client, link, type, reader);
  }
  void
  open (peer_network_t *opened, const std::string &id, const std::string &domain,
        decltype (answer) * received, void *data)
  {
    peer_network_options_t options = {};
    anv_error_t err = {};
    options.loop = loop;
    options.listen = "127.0.0.1:0";
    options.timing = &link_timing_fleet;
    options.max_links = 64;
    options.counters = &counters;
    options.handler = { received, data };
    g_strlcpy (options.self.id, id.c_str (), sizeof (options.self.id));
    g_strlcpy (options.self.domain, domain.c_str (), sizeof (options.self.domain));
    peer_network_init (opened, &options, nullptr);
    ASSERT_TRUE (task_start (&opened->task, &err)) << err.text;
  }
  void
  add (const std::string &domain)
  {
    instance_t *instance = new instance_t{ this, domain };
    instance->id = "c" + std::to_string (instances.size ());
    instances.push_back (instance);
    open (&instance->network, instance->id, domain, answer, instance);
    instance->address = peer_network_get_address (&instance->network);
    g_ptr_array_add (seeds, g_strdup (instance->address.c_str ()));
  }
  void
  start ()
  {
    open (&network, "entry", "a", receive, this);
    feed_client_options_t options = {};
    options.loop = loop;
    options.network = &network;
    options.domain = "a";
    options.caller_address = "127.0.0.1:1";
    options.seeds = seeds;
    options.on_config = [] (void *, const version_seal_t *, GBytes *) {};
    options.on_targets = [] (void *, const GArray *) {};
    options.on_departures = [] (void *, const GArray *) {};
    options.on_cell_changed = [] (void *) {};
    feed_client_init (&client, &options);
    feed_client_start (&client);
  }
  bool
  until (const std::string &address)
  {
    int64_t end = g_get_monotonic_time () + WAIT_LIMIT_US;
    while (g_get_monotonic_time () < end && !(client.feed == address && client.synced))
      {
        g_main_context_iteration (nullptr, TRUE);
        if (feed != client.feed)
          switches++;
        feed = client.feed;
      }
    return client.feed == address;
  }
  void
  SetUp () override
  {
    counter_registry_init (&counters);
  }
  void
  TearDown () override
  {
    feed_client_destroy (&client);
    peer_network_destroy (&network);
    for (instance_t *instance : instances)
      {
        peer_network_destroy (&instance->network);
        delete instance;
      }
    g_ptr_array_unref (seeds);
    io_loop_free (loop);
  }
};
}

// Guards against a feed that crosses a failure domain although there is one in the own.
TEST_F (FeedClient, OwnFailureDomainComesFirst)
{
  for (const char *domain : { "b", "c", "a" })
    add (domain);
  start ();
  EXPECT_TRUE (until (instances[2]->address));
}

// Guards against an entry that tries one instance after the other when the group is cut in two:
// what those on the wrong side said before the cut is no reason to go there.
TEST_F (FeedClient, GoesStraightToAnInstanceInContact)
{
  for (const char *domain : { "a", "a", "a", "b", "b" })
    add (domain);
  start ();
  auto settled = [&] {
    for (int i = 0; i < 3; i++)
      if (client.feed == instances[i]->address)
        return client.synced;
    return false;
  };
  while (!settled ())
    g_main_context_iteration (nullptr, TRUE);
  for (instance_t *instance : instances)
    instance->current = instance == instances[4];
  switches = 0;
  feed = client.feed;
  EXPECT_TRUE (until (instances[4]->address));
  EXPECT_EQ (switches, 1);
}

// Guards against an entry that stays with an instance that does not answer any more.
TEST_F (FeedClient, SilentFeedIsExchanged)
{
  for (const char *domain : { "a", "b" })
    add (domain);
  start ();
  ASSERT_TRUE (until (instances[0]->address));
  instances[0]->silent = true;
  EXPECT_TRUE (until (instances[1]->address));
}
