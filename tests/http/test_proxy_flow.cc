#include "proxy_fixture.h"

namespace
{
std::string
post (size_t size, const char *fields = "")
{
  return "POST /a HTTP/1.1\r\nHost: crew\r\nContent-Length: " + std::to_string (size) + "\r\n"
         + fields + "\r\n";
}

const char *const ENDLESS = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n";
/* One read beyond the mark can be queued, with the framing of its chunk. */
constexpr size_t QUEUE_LIMIT = PROXY_HIGH_WATER_BYTES + UPSTREAM_READ_BUFFER_BYTES + 1024;
/* Turns without progress after which a sender counts as blocked. */
constexpr int BLOCKED_TURNS = 2000;
}

/* Answers on all connections but SILENT and sends the next request of CALLER. */
class ProxyStalls : public Proxy
{
protected:
  void
  exchange_with_others (const peer_ptr &silent, const peer_ptr &caller)
  {
    for (const peer_ptr &peer : server.peers)
      {
        if (peer == silent || peer->ended || !peer->has ("\r\n\r\n"))
          continue;
        peer->in.clear ();
        peer->say (OK_AB);
      }
    if (!caller->has ("\r\n\r\nab"))
      return;
    caller->in.clear ();
    caller->say (GET_A);
  }
};

class ProxyTimeouts : public Proxy
{
protected:
  void
  SetUp () override
  {
    header_timeout_us = 50000;
    idle_timeout_us = 50000;
    start ();
  }
};

// Guards against unlimited memory for a response that the caller does not read.
TEST_F (Proxy, ResponseBackpressure)
{
  peer_ptr caller = call (GET_A);
  peer_ptr peer = served (0, "\r\n\r\n");
  peer->say (ENDLESS);
  ASSERT_TRUE (until_received (caller, "\r\n\r\n"));
  callers.clear (); /* the caller stops reading */
  std::string block (65536, 'x');
  int blocked = 0;
  size_t max_pending = 0;
  while (blocked < BLOCKED_TURNS)
    {
      blocked = peer->send_some (block.data (), block.size ()) > 0 ? 0 : blocked + 1;
      turn ();
      caller_conn_t *conn = LIST_ENTRY (list_first (&listener.conns), caller_conn_t, node);
      max_pending = std::max (max_pending, byte_stream_pending (&conn->stream));
    }
  EXPECT_GT (max_pending, 0u);
  EXPECT_LE (max_pending, QUEUE_LIMIT);
  size_t before = caller->in.size ();
  callers.push_back (caller);
  EXPECT_TRUE (until ([&] {
    peer->send_some (block.data (), block.size ());
    return caller->in.size () > before + 4 * QUEUE_LIMIT;
  })) << "the flow does not resume";
}

// Guards against unlimited memory for a request that the backend server does not read.
TEST_F (Proxy, RequestBackpressure)
{
  peer_ptr caller = call (post (1000000000));
  peer_ptr peer = served (0, "\r\n\r\n");
  size_t head_bytes = peer->in.size ();
  server.peers.clear (); /* the backend server stops reading */
  std::string block (65536, 'x');
  int blocked = 0;
  size_t max_pending = 0;
  while (blocked < BLOCKED_TURNS)
    {
      blocked = caller->send_some (block.data (), block.size ()) > 0 ? 0 : blocked + 1;
      turn ();
      proxy_request_t *request = LIST_ENTRY (list_first (&proxy.requests), proxy_request_t, node);
      max_pending = std::max (max_pending, upstream_exchange_pending (&request->exchange));
    }
  EXPECT_GT (max_pending, 0u);
  EXPECT_LE (max_pending, QUEUE_LIMIT);
  server.peers.push_back (peer);
  EXPECT_TRUE (until ([&] {
    caller->send_some (block.data (), block.size ());
    return peer->in.size () > head_bytes + 4 * QUEUE_LIMIT;
  })) << "the flow does not resume";
}

// Guards against a body that is lost or doubled when the request is sent again.
TEST_F (Proxy, BodyIsRepeatedForAnotherAttempt)
{
  server_t other;
  pollers.push_back ([&] { other.poll (); });
  policy.targets = { server.address, other.address };
  policy.max_attempts = 2;
  policy.dispatch.keep_body = true;
  policy.dispatch.end_on_stall = true;
  peer_ptr caller = call (post (6) + "abc");
  served (0, "\r\n\r\nabc")->abort ();
  ASSERT_TRUE (
      until ([&] { return !other.peers.empty () && other.peers[0]->has ("\r\n\r\nabc"); }));
  caller->say ("def");
  ASSERT_TRUE (until_received (other.peers[0], "\r\n\r\nabcdef"));
  other.peers[0]->say (OK_AB);
  ASSERT_TRUE (until_received (caller, "\r\n\r\nab"));
}

// Guards against another attempt with a body that is no longer complete.
TEST_F (Proxy, LargeBodyIsNotRepeated)
{
  policy.max_attempts = 2;
  policy.dispatch.keep_body = true;
  policy.dispatch.end_on_stall = true;
  peer_ptr caller = call (post (200000));
  std::string body (200000, 'x');
  size_t sent = 0;
  ASSERT_TRUE (until ([&] {
    sent += caller->send_some (body.data () + sent, body.size () - sent);
    return !server.peers.empty () && server.peers[0]->in.size () > body.size ();
  }));
  server.peers[0]->abort ();
  ASSERT_TRUE (until_received (caller, "Anvillb-Outcome: unknown"));
  EXPECT_EQ (server.peers.size (), 1u);
}

// Guards against a chunked request body that is framed wrongly for the backend server.
TEST_F (Proxy, ChunkedRequest)
{
  peer_ptr caller = call ("POST /a HTTP/1.1\r\nHost: crew\r\nTransfer-Encoding: chunked\r\n\r\n");
  peer_ptr peer = served (0, "Transfer-Encoding: chunked\r\n");
  caller->say ("3;x=1\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n");
  ASSERT_TRUE (until_received (peer, "\r\n\r\n3\r\nabc\r\n0\r\n\r\n"));
  EXPECT_FALSE (peer->has ("X-Trailer"));
  peer->say (OK_AB);
  EXPECT_TRUE (until_received (caller, "\r\n\r\nab"));
}

// Guards against a caller that waits for 100 Continue for ever, or is invited to a refused request.
TEST_F (Proxy, ExpectContinue)
{
  peer_ptr caller = call (post (3, "Expect: 100-continue\r\n"));
  ASSERT_TRUE (until_received (caller, "HTTP/1.1 100 Continue\r\n\r\n"));
  caller->say ("abc");
  peer_ptr peer = served (0, "\r\n\r\nabc");
  EXPECT_FALSE (peer->has ("Expect"));
  peer->say (OK_AB);
  ASSERT_TRUE (until_received (caller, "\r\n\r\nab"));

  policy.dispatch.max_body_bytes = 2;
  peer_ptr refused = call (post (3, "Expect: 100-continue\r\n"));
  ASSERT_TRUE (until_received (refused, "HTTP/1.1 413"));
  EXPECT_FALSE (refused->has ("100 Continue"));
  EXPECT_TRUE (refused->has ("Anvillb-Not-Run: 1"));
  EXPECT_TRUE (until ([&] { return refused->ended; }));
  peer_ptr unknown = call (post (3, "Expect: more\r\n"));
  ASSERT_TRUE (until_received (unknown, "HTTP/1.1 417"));
  EXPECT_EQ (server.peers.size (), 1u);
}

// Guards against a chunked body that grows beyond the limit of its route.
TEST_F (Proxy, ChunkedBodyAboveTheLimit)
{
  policy.dispatch.max_body_bytes = 4;
  peer_ptr caller
      = call ("POST /a HTTP/1.1\r\nHost: crew\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  peer_ptr peer = served (0, "abc");
  caller->say ("3\r\ndef\r\n");
  ASSERT_TRUE (until_received (caller, "HTTP/1.1 413"));
  EXPECT_TRUE (caller->has ("Anvillb-Outcome: unknown"));
  EXPECT_TRUE (until ([&] { return peer->ended || peer->reset; }));
  EXPECT_FALSE (peer->has ("0\r\n\r\n"));
  EXPECT_TRUE (policy.saw ("ended:caller_error"));
}

// Guards against a malformed body that reaches the backend server as a complete request.
TEST_F (Proxy, MalformedBodyIsNotCompleted)
{
  peer_ptr caller
      = call ("POST /a HTTP/1.1\r\nHost: crew\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  peer_ptr peer = served (0, "abc");
  caller->say ("0\n\n");
  ASSERT_TRUE (until_received (caller, "HTTP/1.1 400"));
  EXPECT_TRUE (until ([&] { return peer->ended || peer->reset; }));
  EXPECT_FALSE (peer->has ("0\r\n\r\n"));
}

// Guards against smuggled requests: after a refusal nothing else of the connection is executed.
TEST_F (Proxy, RefusedRequestEndsTheConnection)
{
  peer_ptr caller = call ("POST /a HTTP/1.1\r\nHost: crew\r\nContent-Length: 5\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" GET_A);
  ASSERT_TRUE (until ([&] { return caller->ended; }));
  EXPECT_EQ (caller->count ("HTTP/1.1"), 1u);
  EXPECT_TRUE (caller->has ("HTTP/1.1 400"));
  EXPECT_TRUE (caller->has ("Anvillb-Not-Run: 1"));
  EXPECT_EQ (policy.story (), "");
  EXPECT_EQ (server.peers.size (), 0u);
}

// Guards against a response that is lost because the rest of the request body is still unread.
TEST_F (Proxy, EarlyResponse)
{
  peer_ptr caller = call (post (100000));
  peer_ptr peer = served (0, "\r\n\r\n");
  peer->say ("HTTP/1.1 403 Forbidden\r\nContent-Length: 2\r\n\r\nno");
  ASSERT_TRUE (until_received (caller, "\r\n\r\nno"));
  EXPECT_TRUE (until ([&] { return peer->ended || peer->reset; }));
  std::string rest (100000, 'x');
  size_t sent = 0;
  ASSERT_TRUE (until ([&] {
    sent += caller->send_some (rest.data () + sent, rest.size () - sent);
    return sent == rest.size ();
  }));
  caller->say (GET_A);
  served (1, "GET /a")->say (OK_AB);
  EXPECT_TRUE (until_received (caller, "\r\n\r\nab"));
}

// Guards against a response that is lost because the backend server closed before it read all.
TEST_F (Proxy, EarlyResponseAndReset)
{
  peer_ptr caller = call (post (50000000));
  peer_ptr peer = served (0, "\r\n\r\n");
  std::string block (65536, 'x');
  peer->say ("HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno");
  shutdown (peer->fd, SHUT_WR);
  EXPECT_TRUE (until ([&] {
    caller->send_some (block.data (), block.size ());
    return caller->has ("\r\n\r\nno");
  }));
  EXPECT_TRUE (caller->has ("HTTP/1.1 413"));
}

// Guards against a response that is cut because the caller ended its output after the request.
TEST_F (Proxy, ResponseIsFlushedAfterTheCallerEnded)
{
  peer_ptr caller = call (GET_A);
  peer_ptr peer = served (0, "\r\n\r\n");
  std::string body (16000000, 'x');
  std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n" + body;
  callers.clear (); /* the caller does not read, so that output stays queued */
  size_t sent = 0;
  size_t queued_from = 0;
  ASSERT_TRUE (until ([&] {
    sent += peer->send_some (text.data () + sent, text.size () - sent);
    caller_conn_t *conn = LIST_ENTRY (list_first (&listener.conns), caller_conn_t, node);
    /* Reads in small steps once the queue is full, until the proxy has the whole response. */
    char buffer[4096];
    if (byte_stream_pending (&conn->stream) > 0 && !policy.saw ("finished"))
      {
        ssize_t size = recv (caller->fd, buffer, sizeof (buffer), 0);
        caller->in.append (buffer, size > 0 ? (size_t)size : 0);
        queued_from = byte_stream_pending (&conn->stream);
      }
    return policy.saw ("finished");
  }));
  ASSERT_GT (queued_from, 0u);
  shutdown (caller->fd, SHUT_WR);
  for (int i = 0; i < 20; i++)
    turn ();
  callers.push_back (caller);
  EXPECT_TRUE (until ([&] { return caller->ended || caller->reset; }));
  EXPECT_FALSE (caller->reset);
  EXPECT_EQ (caller->in.size () - caller->in.find ("\r\n\r\n") - 4, body.size ());
}

// Guards against a request body that the policy gets incomplete or larger than it allows.
TEST_F (Proxy, PolicyReadsTheBody)
{
  policy.read_body = 10;
  peer_ptr caller = call (post (6) + "abc");
  caller->say ("def" + post (11) + "abcdefghijk");
  ASSERT_TRUE (until_received (caller, "HTTP/1.1 413"));
  EXPECT_TRUE (caller->has ("\r\n\r\ngot 6HTTP/1.1 413"));
  EXPECT_EQ (policy.story (), "begin body finished begin cancelled:2 finished");
}

// Guards against a silent connection that keeps its request while new connections work.
TEST_F (ProxyStalls, SilentConnectionIsRetired)
{
  policy.dispatch.stall_timeout_us = 60000;
  policy.dispatch.keep_body = true;
  policy.dispatch.end_on_stall = true;
  policy.max_attempts = 1000000;
  peer_ptr silent_caller = call (GET_A);
  peer_ptr silent = served (0, "\r\n\r\n");
  peer_ptr caller = call (GET_A);
  served (1, "\r\n\r\n");
  EXPECT_TRUE (until ([&] {
    exchange_with_others (silent, caller);
    return silent_caller->has ("\r\n\r\nab");
  }));
  EXPECT_TRUE (policy.saw ("ended:stalled"));
  EXPECT_TRUE (until ([&] { return silent->ended || silent->reset; }));
  EXPECT_EQ (pool->stall_count, 1u);
}

// Guards against idle siblings of a silent connection that are used again.
TEST_F (Proxy, IdleSiblingsOfASilentConnectionAreClosed)
{
  peer_ptr first = call (GET_A);
  peer_ptr second = call (GET_A);
  peer_ptr old_idle = served (0, "\r\n\r\n");
  peer_ptr silent = served (1, "\r\n\r\n");
  old_idle->say (OK_AB);
  ASSERT_TRUE (until_finished (1));
  proxy_request_t *request = LIST_ENTRY (list_first (&proxy.requests), proxy_request_t, node);
  upstream_conn_t *conn = request->exchange.conn;
  upstream_pool_close_older_idle (conn);
  EXPECT_TRUE (until ([&] { return old_idle->ended; }));
  EXPECT_FALSE (silent->ended);
  EXPECT_EQ (upstream_pool_connection_count (pool.get (), server.address.c_str ()), 1);
}

// Guards against a slow answer that is taken for a silent connection although nothing else moves.
TEST_F (Proxy, SlowAnswerWithoutSiblingIsNotAStall)
{
  policy.dispatch.stall_timeout_us = 20000;
  policy.dispatch.keep_body = true;
  policy.dispatch.end_on_stall = true;
  peer_ptr caller = call (GET_A);
  peer_ptr peer = served (0, "\r\n\r\n");
  int64_t later_us = g_get_monotonic_time () + 200000;
  ASSERT_TRUE (until ([&] { return g_get_monotonic_time () > later_us; }));
  peer->say (OK_AB);
  ASSERT_TRUE (until_received (caller, "\r\n\r\nab"));
  EXPECT_FALSE (policy.saw ("ended:stalled"));
}

// Guards against a booking that is given up on a stall although it cannot be repeated.
TEST_F (ProxyStalls, StallDoesNotEndWhatCannotBeRepeated)
{
  policy.dispatch.stall_timeout_us = 20000;
  peer_ptr caller = call (post (1) + "x");
  peer_ptr silent = served (0, "\r\n\r\nx");
  peer_ptr other = call (GET_A);
  served (1, "\r\n\r\n");
  ASSERT_TRUE (until ([&] {
    exchange_with_others (silent, other);
    return pool->stall_count == 1;
  }));
  silent->say ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ASSERT_TRUE (until_received (caller, "\r\n\r\nok"));
  EXPECT_FALSE (policy.saw ("ended:stalled"));
  EXPECT_TRUE (until ([&] { return silent->ended || silent->reset; })) << "reused after a stall";
}

// Guards against connections that are held open with an incomplete head.
TEST_F (ProxyTimeouts, IncompleteHead)
{
  peer_ptr caller = call ("GET /a HTTP/1.1\r\nHost:");
  EXPECT_TRUE (until ([&] { return caller->ended; }));
  EXPECT_TRUE (caller->has ("HTTP/1.1 408"));
}

// Guards against connections that are held open without a request.
TEST_F (ProxyTimeouts, IdleConnection)
{
  peer_ptr caller = call ("");
  EXPECT_TRUE (until ([&] { return caller->ended; }));
  EXPECT_EQ (caller->in, "");
}

// Guards against a shutdown that cuts a request, keeps idle connections or accepts new ones.
TEST_F (Proxy, DrainFinishesRequests)
{
  peer_ptr idle = call ("");
  peer_ptr busy = call (GET_A);
  peer_ptr peer = served (0, "\r\n\r\n");
  ASSERT_TRUE (until ([&] { return caller_listener_open_count (&listener) == 2; }));
  proxy.draining = true;
  caller_listener_drain (&listener);
  ASSERT_TRUE (until ([&] { return idle->ended; }));
  EXPECT_FALSE (busy->ended);
  peer->say (OK_AB);
  ASSERT_TRUE (until ([&] { return busy->ended; }));
  EXPECT_TRUE (busy->has ("Connection: close\r\n\r\nab"));
  idle->shut ();
  busy->shut ();
  EXPECT_TRUE (until ([&] { return caller_listener_open_count (&listener) == 0; }));
}

// Guards against a request that may run only once and is lost on a connection that its peer has
// dropped while it was idle. Others may use it: they are sent again.
TEST_F (Proxy, RequestThatRunsOnceAvoidsIdleConnections)
{
  auto idle = [&] {
    int64_t later_us = g_get_monotonic_time () + 100000;
    ASSERT_TRUE (until ([&] { return g_get_monotonic_time () > later_us; }));
  };
  peer_ptr caller = call (GET_A);
  served (0, "\r\n\r\n")->say (OK_AB);
  ASSERT_TRUE (until_received (caller, "\r\n\r\nab"));
  idle_limit_record_reset (&pool->idle_limit, g_get_monotonic_time (), 50000, 0);
  idle ();
  caller->in.clear ();
  caller->say (GET_A);
  ASSERT_TRUE (until ([&] { return server.peers[0]->count ("\r\n\r\n") == 2; }));
  server.peers[0]->say (OK_AB);
  ASSERT_TRUE (until_received (caller, "\r\n\r\nab"));
  idle ();
  policy.dispatch.avoid_stale_connection = true;
  caller->in.clear ();
  caller->say (GET_A);
  served (1, "\r\n\r\n")->say (OK_AB);
  ASSERT_TRUE (until_received (caller, "\r\n\r\nab"));
  EXPECT_EQ (server.peers[0]->count ("\r\n\r\n"), 2u);
}
