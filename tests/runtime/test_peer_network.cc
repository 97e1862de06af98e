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
  metric_registry_t counters;
  std::vector<received_t> received;
};

void
on_message (void *data, link_t *link, wire_type_t type, wire_reader_t *reader,
            const uint8_t *message, size_t size)
{
  node_t *node = (node_t *)data;
  char text[64];
  wire_read_string_into (reader, text, sizeof (text));
  ASSERT_TRUE (wire_reader_finish (reader, nullptr));
  node->received.push_back ({ link->peer.id, text, link->sequence_number });
}

class PeerNetwork : public ::testing::Test
{
protected:
  io_loop_t *loop = nullptr;
  node_t node_a, node_b;

  void
  SetUp () override
  {
    log_init ("test", LOG_LEVEL_ERROR);
    loop = io_loop_new (nullptr);
    start_node (&node_a, "a", "north");
    start_node (&node_b, "b", "south");
  }

  void
  TearDown () override
  {
    peer_network_destroy (&node_a.network);
    peer_network_destroy (&node_b.network);
    iterate_loop (1);
    io_loop_free (loop);
  }

  void
  start_node (node_t *node, const char *id, const char *domain)
  {
    peer_network_options_t options = {};
    metric_registry_init (&node->counters);
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

  // Iterates the main loop until NODE has received COUNT messages, at most 500 times.
  bool
  wait_for_messages (node_t *node, size_t count)
  {
    for (int i = 0; i < 500 && node->received.size () < count; i++)
      iterate_loop (1);
    return node->received.size () >= count;
  }

  // Each iteration ends after 10 ms at the latest.
  void
  iterate_loop (int iterations)
  {
    for (int i = 0; i < iterations; i++)
      {
        guint timer = g_timeout_add (
            10, [] (gpointer) -> gboolean { return TRUE; }, nullptr);
        g_main_context_iteration (nullptr, TRUE);
        g_source_remove (timer);
      }
  }

  // Connects to NODE, sends BYTES without a handshake and waits for the link to close. Returns the
  // number of links that are still open.
  int
  send_raw_bytes (node_t *node, const std::string &bytes)
  {
    GSocketClient *client = g_socket_client_new ();
    GSocketConnection *connection = g_socket_client_connect_to_host (
        client, peer_network_get_address (&node->network), 0, nullptr, nullptr);
    gsize written = 0;
    g_output_stream_write_all (g_io_stream_get_output_stream (G_IO_STREAM (connection)),
                               bytes.data (), bytes.size (), &written, nullptr, nullptr);
    for (int i = 0; i < 500 && (i < 3 || node->network.link_count.value > 0); i++)
      iterate_loop (1);
    int open_link_count = (int)node->network.link_count.value;
    g_object_unref (connection);
    g_object_unref (client);
    return open_link_count;
  }
};
}

// Guards against messages that are lost or reordered while the link is still being opened.
TEST_F (PeerNetwork, QueuedMessagesArriveInOrder)
{
  const char *address = peer_network_get_address (&node_b.network);
  send (&node_a, address, "one");
  send (&node_a, address, "two");
  send (&node_a, address, "three");
  ASSERT_TRUE (wait_for_messages (&node_b, 3));
  EXPECT_EQ (node_b.received[0].text, "one");
  EXPECT_EQ (node_b.received[2].text, "three");
  EXPECT_EQ (node_b.received[0].from, "a");
  EXPECT_EQ (node_a.network.link_count.value, 1);
}

// Guards against replies that need a connection in the other direction, which a partition may
// block.
TEST_F (PeerNetwork, ReplyUsesTheSameLink)
{
  send (&node_a, peer_network_get_address (&node_b.network), "ask");
  ASSERT_TRUE (wait_for_messages (&node_b, 1));
  wire_writer_t writer;
  wire_writer_init (&writer, WIRE_TARGET_LEASE, 1);
  wire_write_string (&writer, "answer");
  EXPECT_TRUE (peer_network_reply_writer (&node_b.network, node_b.received[0].number, &writer));
  ASSERT_TRUE (wait_for_messages (&node_a, 1));
  send (&node_b, peer_network_get_address (&node_a.network), "news");
  ASSERT_TRUE (wait_for_messages (&node_a, 2));
  EXPECT_EQ (node_b.network.link_count.value, 1);
}

// Guards against a peer that sends invalid bytes, a huge length, or a message before HELLO: the
// link must be closed and the process must keep running.
TEST_F (PeerNetwork, InvalidInputClosesTheLink)
{
  EXPECT_EQ (send_raw_bytes (&node_a, std::string ("GET / HTTP/1.1\r\n\r\n")), 0);
  EXPECT_EQ (send_raw_bytes (&node_a, std::string ("\xff\xff\xff\xff", 4)), 0);
  EXPECT_EQ (send_raw_bytes (&node_a, std::string ("\0\0\0\2\x91\x1e", 6)), 0);
  EXPECT_EQ (send_raw_bytes (&node_a, std::string ("\0\0\0\1\xc1", 5)), 0);
  send (&node_b, peer_network_get_address (&node_a.network), "still here");
  EXPECT_TRUE (wait_for_messages (&node_a, 1));
}

// Guards against traffic between failure domains that is not counted: both ends of a link count it.
TEST_F (PeerNetwork, CountsBytesAcrossDomains)
{
  send (&node_a, peer_network_get_address (&node_b.network), "one");
  ASSERT_TRUE (wait_for_messages (&node_b, 1));
  EXPECT_GT (node_b.network.cross_domain_bytes.value, 0);
  EXPECT_EQ (node_b.network.cross_domain_bytes.value, node_b.network.received_bytes.value);
}

// Guards against a process that opens more links than its limit.
TEST_F (PeerNetwork, LinksAreLimited)
{
  for (int port = 20; port < 40; port++)
    send (&node_a, ("127.0.0.1:" + std::to_string (port)).c_str (), "x");
  EXPECT_LE (node_a.network.link_count.value, 8);
  EXPECT_GE (node_a.network.dropped_messages.value, 12);
}

// Guards against an entry that waits too long for an instance that was without power and did not
// answer: the entry has its configuration one second after the instance is back only if two
// handshake timeouts fit into that second.
TEST (LinkTiming, TwoHandshakesFitIntoASecond)
{
  EXPECT_LE (2 * link_timing_fleet.handshake_timeout_us, G_USEC_PER_SEC);
  EXPECT_LT (link_timing_fleet.handshake_timeout_us, link_timing_fleet.receive_timeout_us);
}
