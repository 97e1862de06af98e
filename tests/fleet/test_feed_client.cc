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
/* Time limit of one wait, reached only if the client hangs. */
constexpr int64_t WAIT_LIMIT_US = 20 * G_USEC_PER_SEC;

class FeedClient;

/* Fake control instance that answers the reports of the entry. */
struct control_instance_t
{
  FeedClient *fixture;
  std::string domain;
  bool in_contact = true;
  bool ignores_reports = false;
  peer_network_t network = {};
  std::string address;
  std::string id;
};

class FeedClient : public ::testing::Test
{
protected:
  io_loop_t *loop = io_loop_new (nullptr);
  metric_registry_t counters = {};
  std::vector<control_instance_t *> instances;
  peer_network_t network = {};
  feed_client_t client = {};
  GPtrArray *seeds = g_ptr_array_new_with_free_func (g_free);
  std::string feed;     // seen last by wait_for_feed()
  int switch_count = 0; // changes of the feed during wait_for_feed()

  static void
  answer_status (void *data, link_t *link, wire_type_t type, wire_reader_t *reader,
                 const uint8_t *message, size_t size)
  {
    control_instance_t *instance = (control_instance_t *)data;
    fleet_status_t status;
    if (type != WIRE_FLEET_STATUS || !fleet_status_decode (&status, reader)
        || instance->ignores_reports)
      return;
    if (status.wants_feed && status.wants_sync)
      {
        g_autoptr (GArray) no_targets = g_array_new (FALSE, FALSE, sizeof (registry_target_t));
        wire_writer_t targets;
        fleet_targets_encode (no_targets, 0, &targets);
        peer_network_reply_writer (&instance->network, link->sequence_number, &targets);
      }
    if (!status.wants_view)
      return;
    wire_writer_t writer;
    fleet_view_t view = { instance->in_contact, g_ptr_array_new (), g_ptr_array_new (), 1, 1 };
    fleet_view_encode (&view, &writer);
    fleet_view_clear (&view);
    peer_network_reply_writer (&instance->network, link->sequence_number, &writer);
  }
  static void
  receive (void *data, link_t *link, wire_type_t type, wire_reader_t *reader,
           const uint8_t *message, size_t size)
  {
    feed_client_receive (&((FeedClient *)data)->client, link, type, reader);
  }
  void
  open_network (peer_network_t *opened_network, const std::string &id, const std::string &domain,
                decltype (answer_status) * on_message, void *data)
  {
    peer_network_options_t options = {};
    anv_error_t err = {};
    options.loop = loop;
    options.listen = "127.0.0.1:0";
    options.timing = &link_timing_fleet;
    options.max_links = 64;
    options.counters = &counters;
    options.handler = { on_message, data };
    g_strlcpy (options.self.id, id.c_str (), sizeof (options.self.id));
    g_strlcpy (options.self.domain, domain.c_str (), sizeof (options.self.domain));
    peer_network_init (opened_network, &options, nullptr);
    ASSERT_TRUE (task_start (&opened_network->task, &err)) << err.text;
  }
  void
  add_instance (const std::string &domain)
  {
    control_instance_t *instance = new control_instance_t{ this, domain };
    instance->id = "c" + std::to_string (instances.size ());
    instances.push_back (instance);
    open_network (&instance->network, instance->id, domain, answer_status, instance);
    instance->address = peer_network_get_address (&instance->network);
    g_ptr_array_add (seeds, g_strdup (instance->address.c_str ()));
  }
  void
  start_client ()
  {
    open_network (&network, "entry", "a", receive, this);
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
  // Runs the loop until the client is synced with the feed ADDRESS or the time limit has passed.
  // Returns whether ADDRESS is the feed.
  bool
  wait_for_feed (const std::string &address)
  {
    int64_t end = g_get_monotonic_time () + WAIT_LIMIT_US;
    while (g_get_monotonic_time () < end && !(client.feed == address && client.synced))
      {
        g_main_context_iteration (nullptr, TRUE);
        if (feed != client.feed)
          switch_count++;
        feed = client.feed;
      }
    return client.feed == address;
  }
  void
  SetUp () override
  {
    metric_registry_init (&counters);
  }
  void
  TearDown () override
  {
    feed_client_destroy (&client);
    peer_network_destroy (&network);
    for (control_instance_t *instance : instances)
      {
        peer_network_destroy (&instance->network);
        delete instance;
      }
    g_ptr_array_unref (seeds);
    io_loop_free (loop);
  }
};
}

// Guards against a feed from another failure domain although the own one has a control instance.
TEST_F (FeedClient, OwnFailureDomainComesFirst)
{
  for (const char *domain : { "b", "c", "a" })
    add_instance (domain);
  start_client ();
  EXPECT_TRUE (wait_for_feed (instances[2]->address));
}

// Guards against an entry that tries one instance after the other when the group is partitioned: it
// must not rely on views from before the partition, which showed all instances in contact.
TEST_F (FeedClient, SwitchesOnceToAnInstanceInContact)
{
  for (const char *domain : { "a", "a", "a", "b", "b" })
    add_instance (domain);
  start_client ();
  auto is_synced_in_own_domain = [&] {
    for (int i = 0; i < 3; i++)
      if (client.feed == instances[i]->address)
        return client.synced;
    return false;
  };
  while (!is_synced_in_own_domain ())
    g_main_context_iteration (nullptr, TRUE);
  for (control_instance_t *instance : instances)
    instance->in_contact = instance == instances[4];
  switch_count = 0;
  feed = client.feed;
  EXPECT_TRUE (wait_for_feed (instances[4]->address));
  EXPECT_EQ (switch_count, 1);
}

// Guards against an entry that keeps a feed that no longer answers.
TEST_F (FeedClient, SilentFeedIsReplaced)
{
  for (const char *domain : { "a", "b" })
    add_instance (domain);
  start_client ();
  ASSERT_TRUE (wait_for_feed (instances[0]->address));
  instances[0]->ignores_reports = true;
  EXPECT_TRUE (wait_for_feed (instances[1]->address));
}
