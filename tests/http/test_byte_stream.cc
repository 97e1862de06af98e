// Connections that fail. What their input lacks is unknown, so its end must never be reported as
// the regular one, whichever call met the error of the socket first.
#include "proxy_fixture.h"

#include <thread>

namespace
{
class ByteStream : public ::testing::Test
{
protected:
  io_loop_t *loop = io_loop_new (nullptr);
  server_t server;
  byte_stream_t stream = {};
  peer_ptr peer;
  static bool failed;

  void
  TearDown () override
  {
    byte_stream_close (&stream, false);
    io_loop_free (loop);
  }

  /* Connects the stream with a new connection of the peer. */
  void
  connect_stream ()
  {
    static const byte_stream_ops_t ops = {
      [] (byte_stream_t *) {},
      [] (byte_stream_t *) {},
      [] (byte_stream_t *, size_t) {},
      [] (byte_stream_t *, const anv_error_t *) { failed = true; },
    };
    std::string port = server.address.substr (server.address.find (':') + 1);
    g_autoptr (GSocketAddress) address
        = g_inet_socket_address_new_from_string ("127.0.0.1", (guint)std::stoi (port));
    failed = false;
    server.peers.clear ();
    ASSERT_TRUE (byte_stream_connect (&stream, &ops, loop, address, nullptr));
    while (stream.connecting || server.peers.empty ())
      {
        g_main_context_iteration (nullptr, FALSE);
        server.poll ();
      }
    peer = server.peers[0];
    server.peers.clear ();
  }

  ssize_t
  read_stream ()
  {
    char buffer[64];
    ssize_t size = BYTE_STREAM_WOULD_BLOCK;
    while (size == BYTE_STREAM_WOULD_BLOCK)
      size = byte_stream_read (&stream, buffer, sizeof (buffer));
    return size;
  }

  /* Runs the main loop until a write has failed. */
  void
  wait_for_failure ()
  {
    int64_t wait_end_us = g_get_monotonic_time () + WAIT_LIMIT_US;
    while (!failed && g_get_monotonic_time () < wait_end_us)
      g_main_context_iteration (nullptr, FALSE);
    ASSERT_TRUE (failed);
  }
};

bool ByteStream::failed = false;
}

// Guards against a regular end that no longer is one.
TEST_F (ByteStream, RegularEnd)
{
  connect_stream ();
  peer->send_all ("ab");
  peer->close_socket ();
  EXPECT_EQ (read_stream (), 2);
  EXPECT_EQ (read_stream (), BYTE_STREAM_EOF);
}

// Guards against a reset that looks like a regular end, because a write took the error.
TEST_F (ByteStream, WriteTakesTheError)
{
  connect_stream ();
  peer->send_all ("ab");
  peer->abort_connection ();
  byte_stream_write (&stream, "x", 1);
  wait_for_failure ();
  EXPECT_EQ (read_stream (), 2);
  EXPECT_EQ (read_stream (), BYTE_STREAM_FAILED);
  EXPECT_STRNE (stream.read_error, "");
}

// Guards against a reset that looks like a regular end, because an earlier read took the error.
TEST_F (ByteStream, ReadTakesTheError)
{
  connect_stream ();
  peer->send_all ("ab");
  peer->abort_connection ();
  EXPECT_EQ (read_stream (), 2);
  EXPECT_EQ (read_stream (), BYTE_STREAM_FAILED);
  EXPECT_EQ (read_stream (), BYTE_STREAM_FAILED);
}

// Guards against a reset that looks like a regular end, because the write that took the error had
// written a part before. The peer resets during the write, so that this happens in some rounds; the
// result must be the same in all.
TEST_F (ByteStream, PartialWriteTakesTheError)
{
  const std::string block (4 << 20, 'x');
  for (int round = 0; round < 40; round++)
    {
      connect_stream ();
      peer->send_all ("ab");
      std::thread resetter ([&] {
        char byte = 0;
        while (recv (peer->fd, &byte, 1, MSG_PEEK) <= 0)
          {
          }
        peer->abort_connection ();
      });
      byte_stream_write (&stream, block.data (), block.size ());
      wait_for_failure ();
      resetter.join ();
      EXPECT_EQ (read_stream (), 2);
      EXPECT_EQ (read_stream (), BYTE_STREAM_FAILED) << round;
      byte_stream_close (&stream, false);
    }
}

// Guards against input of a stream that its owner has closed and that looks like a complete one.
TEST_F (ByteStream, ClosedStreamHasNoRegularEnd)
{
  connect_stream ();
  byte_stream_close (&stream, false);
  EXPECT_EQ (read_stream (), BYTE_STREAM_FAILED);
}
