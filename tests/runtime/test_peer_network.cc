#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "log.h"
#include "peer_network.h"
}

namespace
{
struct received_t
{
  std::string from;
  std::string text;
  uint64_t number;
};

struct node_t
{
  peer_network_t network;
  counter_registry_t counters;
  std::vector<received_t> received;
};

void
on_message (void *data, link_t *link, wire_type_t type, wire_reader_t *reader,
            const uint8_t *message, size_t size)
{
  node_t *node = (node_t *)data;
  char text[64];
  wire_read_string_to (reader, text, sizeof (text));
  ASSERT_TRUE (wire_reader_finish (reader, nullptr));
  node->received.push_back ({ link->peer.id, text, link->number });
}

class PeerNetwork : public ::testing::Test
{
protected:
  io_loop_t *loop = nullptr;
  node_t a, b;

  void
  SetUp () override
  {
    log_init ("test", LOG_LEVEL_ERROR);
    loop = io_loop_new (nullptr);
    start (&a, "a", "north");
    start (&b, "b", "south");
  }

  void
  TearDown () override
  {
    peer_network_destroy (&a.network);
    peer_network_destroy (&b.network);
    spin (1);
    io_loop_free (loop);
  }

  void
  start (node_t *node, const char *id, const char *domain)
  {
    peer_network_options_t options = {};
    counter_registry_init (&node->counters);
    options.loop = loop;
    options.listen = "127.0.0.1:0";
    options.max_links = 8;
    options.counters = &node->counters;
    options.handler.received = on_message;
    options.handler.data = node;
    g_strlcpy (options.self.id, id, sizeof (options.self.id));
    g_strlcpy (options.self.domain, domain, sizeof (options.self.domain));
    anv_error_t err = {};
    peer_network_init (&node->network, &options, nullptr);
    ASSERT_TRUE (task_start (&node->network.task, &err)) << err.text;
  }

  void
  send (node_t *from, const char *address, const char *text)
  {
    wire_writer_t writer;
    wire_writer_init (&writer, WIRE_TARGET_LEASE, 1);
    wire_write_string (&writer, text);
    peer_network_send_writer (&from->network, address, &writer);
  }

  // Runs the main loop until NODE has COUNT messages; bounded by turns.
  bool
  wait (node_t *node, size_t count)
  {
    for (int i = 0; i < 500 && node->received.size () < count; i++)
      spin (1);
    return node->received.size () >= count;
  }

  void
  spin (int turns)
  {
    for (int i = 0; i < turns; i++)
      {
        guint timer = g_timeout_add (
            10, [] (gpointer) -> gboolean { return TRUE; }, nullptr);
        g_main_context_iteration (nullptr, TRUE);
        g_source_remove (timer);
      }
  }

  int
  connect_raw (node_t *node, const std::string &bytes)
  {
    GSocketClient *client = g_socket_client_new ();
    GSocketConnection *connection = g_socket_client_connect_to_host (
        client, peer_network_get_address (&node->network), 0, nullptr, nullptr);
    gsize written = 0;
    g_output_stream_write_all (g_io_stream_get_output_stream (G_IO_STREAM (connection)),
                               bytes.data (), bytes.size (), &written, nullptr, nullptr);
    for (int i = 0; i < 500 && (i < 3 || node->network.link_count.value > 0); i++)
      spin (1);
    int open = (int)node->network.link_count.value;
    g_object_unref (connection);
    g_object_unref (client);
    return open;
  }
};
}

// Guards against messages that are lost or reordered while the link is still being opened.
TEST_F (PeerNetwork, QueuedMessagesArriveInOrder)
{
  const char *address = peer_network_get_address (&b.network);
  send (&a, address, "one");
  send (&a, address, "two");
  send (&a, address, "three");
  ASSERT_TRUE (wait (&b, 3));
  EXPECT_EQ (b.received[0].text, "one");
  EXPECT_EQ (b.received[2].text, "three");
  EXPECT_EQ (b.received[0].from, "a");
  EXPECT_EQ (a.network.link_count.value, 1);
}

// Guards against replies that need a connection in the other direction, which a partition may
// block.
TEST_F (PeerNetwork, ReplyUsesTheSameLink)
{
  send (&a, peer_network_get_address (&b.network), "ask");
  ASSERT_TRUE (wait (&b, 1));
  wire_writer_t writer;
  wire_writer_init (&writer, WIRE_TARGET_LEASE, 1);
  wire_write_string (&writer, "answer");
  EXPECT_TRUE (peer_network_reply_writer (&b.network, b.received[0].number, &writer));
  ASSERT_TRUE (wait (&a, 1));
  send (&b, peer_network_get_address (&a.network), "news");
  ASSERT_TRUE (wait (&a, 2));
  EXPECT_EQ (b.network.link_count.value, 1);
}

// Guards against a peer that sends garbage, a huge length, or a message before HELLO: the link must
// be closed and the process must go on.
TEST_F (PeerNetwork, InvalidInputClosesTheLink)
{
  EXPECT_EQ (connect_raw (&a, std::string ("GET / HTTP/1.1\r\n\r\n")), 0);
  EXPECT_EQ (connect_raw (&a, std::string ("\xff\xff\xff\xff", 4)), 0);
  EXPECT_EQ (connect_raw (&a, std::string ("\0\0\0\2\x91\x1e", 6)), 0);
  EXPECT_EQ (connect_raw (&a, std::string ("\0\0\0\1\xc1", 5)), 0);
  send (&b, peer_network_get_address (&a.network), "still here");
  EXPECT_TRUE (wait (&a, 1));
}

// Guards against costs that go unseen: bytes between failure domains are counted on both sides.
TEST_F (PeerNetwork, CountsBytesAcrossDomains)
{
  send (&a, peer_network_get_address (&b.network), "one");
  ASSERT_TRUE (wait (&b, 1));
  EXPECT_GT (b.network.cross_domain_bytes.value, 0);
  EXPECT_EQ (b.network.cross_domain_bytes.value, b.network.received_bytes.value);
}

// Guards against a process that opens links without limit.
TEST_F (PeerNetwork, LinksAreLimited)
{
  for (int port = 20; port < 40; port++)
    send (&a, ("127.0.0.1:" + std::to_string (port)).c_str (), "x");
  EXPECT_LE (a.network.link_count.value, 8);
  EXPECT_GE (a.network.dropped_messages.value, 12);
}

// Guards against an entry that waits for an instance without power: it has its configuration a
// second after the instance is back only if two tries fit into that second.
TEST (LinkTiming, TwoTriesFitIntoASecond)
{
  EXPECT_LE (2 * link_timing_fleet.handshake_timeout_us, G_USEC_PER_SEC);
  EXPECT_LT (link_timing_fleet.handshake_timeout_us, link_timing_fleet.receive_timeout_us);
}
