// Backend servers that send bytes without end, where none or fewer are due, until the connection is
// closed. The proxy must close it after a bounded number of bytes, long before the deadline.
#include "proxy_fixture.h"

namespace
{
/* No attempt may read more than this of what it drops. */
constexpr size_t MAX_READ_BYTES = 4 * 1024 * 1024;

class ProxyEndless : public Proxy
{
protected:
  /* Sends HEAD, and then BLOCK until the proxy closes the connection. Returns the number of bytes
   * that were sent, including those in the buffers of the sockets. */
  size_t
  send_endlessly (const peer_ptr &peer, const std::string &head, const std::string &block)
  {
    size_t sent = 0;
    size_t offset = 0;
    peer->send_all (head);
    wait_until ([&] {
      size_t size = peer->send_some (block.data () + offset, block.size () - offset);
      offset = (offset + size) % block.size ();
      sent += size;
      return peer->ended || peer->reset || sent > 4 * MAX_READ_BYTES;
    });
    EXPECT_TRUE (peer->ended || peer->reset) << "the connection stays open";
    return sent;
  }
  /* Expects that the attempt at a server that sends HEAD and then BLOCK without end ends as END,
   * and that the caller gets STATUS. */
  void
  expect_end (const std::string &head, const std::string &block, const char *end,
              const char *status)
  {
    SCOPED_TRACE (head.substr (0, 40) + block.substr (0, 20));
    size_t connection_count = server.peers.size ();
    policy.events.clear ();
    policy.attempt_count = 0;
    peer_ptr caller = connect_caller (
        "GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: one\r\nConnection: close\r\n\r\n");
    peer_ptr peer = wait_for_request (connection_count, "\r\n\r\n");
    EXPECT_LE (send_endlessly (peer, head, block), MAX_READ_BYTES);
    EXPECT_TRUE (wait_until_finished ());
    EXPECT_TRUE (policy.has_event (end)) << policy.join_events ();
    EXPECT_TRUE (wait_until ([&] { return caller->ended || caller->reset; }));
    EXPECT_EQ (caller->input.substr (0, strlen (status)), status);
  }
  /* Returns a header field with a value of 8 KB. */
  static std::string
  field ()
  {
    return "X: " + std::string (8192, 'x') + "\r\n";
  }
};

const std::string BLOCK (65536, 'x');
}

// Guards against a head without end, in one line, in many, or in repeated responses that are not
// final.
TEST_F (ProxyEndless, Head)
{
  expect_end ("", BLOCK, "ended:invalid", "HTTP/1.1 502");
  expect_end ("HTTP/1.1 200 OK\r\n", field (), "ended:invalid", "HTTP/1.1 502");
  expect_end ("HTTP/1.1 200 OK\r\nX: ", BLOCK, "ended:invalid", "HTTP/1.1 502");
  expect_end ("", "HTTP/1.1 100 Continue\r\n\r\n", "ended:invalid", "HTTP/1.1 502");
  expect_end ("", "HTTP/1.1 103 Early Hints\r\n" + field () + "\r\n", "ended:invalid",
              "HTTP/1.1 502");
}

// Guards against a chunked body with a chunk size, trailers or an end that never ends. Its response
// has started, so the caller's connection is closed.
TEST_F (ProxyEndless, Chunks)
{
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  expect_end (chunked, "0000000000000000", "ended:invalid", "HTTP/1.1 200");
  expect_end (chunked + "1;", "x=y;", "ended:invalid", "HTTP/1.1 200");
  expect_end (chunked + "0\r\n", field (), "ended:invalid", "HTTP/1.1 200");
}

// Guards against a refused request, or one whose response was rejected, that waits for the end of a
// body that is dropped.
TEST_F (ProxyEndless, DroppedBody)
{
  const std::string chunk = "10000\r\n" + BLOCK + "\r\n";
  const std::string shed = "HTTP/1.1 503 Full\r\nAnvillb-Shed: 1\r\n";
  expect_end (shed + "\r\n", BLOCK, "ended:shed", "HTTP/1.1 503");
  expect_end (shed + "Content-Length: 100000000000\r\n\r\n", BLOCK, "ended:shed", "HTTP/1.1 503");
  expect_end (shed + "Transfer-Encoding: chunked\r\n\r\n", chunk, "ended:shed", "HTTP/1.1 503");
  policy.reject_response = true;
  expect_end ("HTTP/1.1 500 Error\r\n\r\n", BLOCK, "ended:discarded", "HTTP/1.1 502");
  expect_end ("HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, "ended:discarded",
              "HTTP/1.1 502");
}

// Guards against a response to another request that has no end, or is followed by further ones.
TEST_F (ProxyEndless, ResponseToAnotherRequest)
{
  http_dialect_t dialect = http_dialect_native;
  dialect.request_id_header = "Request-Id";
  proxy.options.dialect = &dialect;
  const std::string other = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n";
  expect_end (other + "\r\n", BLOCK, "ended:invalid", "HTTP/1.1 502");
  expect_end (other + "Content-Length: 100000000000\r\n\r\n", BLOCK, "ended:invalid",
              "HTTP/1.1 502");
  expect_end ("", other + "Content-Length: 1\r\n\r\nx", "ended:invalid", "HTTP/1.1 502");
}

// Guards against bytes after a complete response, which could be read as the next one.
TEST_F (ProxyEndless, BytesAfterTheResponse)
{
  peer_ptr caller = connect_caller (GET_A);
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  EXPECT_LE (send_endlessly (peer, OK_AB, BLOCK), MAX_READ_BYTES);
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
  caller->send_all (GET_A);
  wait_for_request (1, "\r\n\r\n")->send_all ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ncd");
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\ncd"));
  EXPECT_FALSE (caller->received ("xx"));
}

// Guards against a body without end that outlives the deadline of its request.
TEST_F (ProxyEndless, BodyEndsAtTheDeadline)
{
  proxy.options.default_timeout_us = 300000;
  for (const char *framing : { "", "Content-Length: 100000000000\r\n" })
    {
      size_t connection_count = server.peers.size ();
      policy.events.clear ();
      peer_ptr caller = connect_caller (GET_A);
      peer_ptr peer = wait_for_request (connection_count, "\r\n\r\n");
      peer->send_all (std::string ("HTTP/1.1 200 OK\r\n") + framing + "\r\n");
      EXPECT_TRUE (wait_until ([&] {
        peer->send_some (BLOCK.data (), BLOCK.size ());
        caller->input.resize (std::min (caller->input.size (), (size_t)64));
        return peer->ended || peer->reset;
      }));
      EXPECT_TRUE (wait_until ([&] { return caller->ended || caller->reset; }));
      EXPECT_TRUE (policy.has_event ("ended:timed_out")) << policy.join_events ();
    }
}
