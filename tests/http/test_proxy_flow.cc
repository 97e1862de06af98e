#include "proxy_fixture.h"

namespace
{
/* Returns the head of a POST request with a body of SIZE bytes. */
std::string
post_head (size_t size, const char *fields = "")
{
  return "POST /a HTTP/1.1\r\nHost: crew\r\nContent-Length: " + std::to_string (size) + "\r\n"
         + fields + "\r\n";
}

const char *const LARGE_RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n";
/* One read can exceed the high-water mark; 1024 bytes cover the framing of its chunk. */
constexpr size_t MAX_QUEUED_BYTES = PROXY_HIGH_WATER_BYTES + UPSTREAM_READ_BUFFER_BYTES + 1024;
/* Main loop iterations without progress after which a sender counts as blocked. */
constexpr int BLOCKED_ITERATION_COUNT = 2000;
}

class ProxyStalls : public Proxy
{
protected:
  /* Responds on all connections except SILENT, and sends the next request of CALLER after it has
   * received a response. */
  void
  exchange_on_other_connections (const peer_ptr &silent, const peer_ptr &caller)
  {
    for (const peer_ptr &peer : server.peers)
      {
        if (peer == silent || peer->ended || !peer->received ("\r\n\r\n"))
          continue;
        peer->input.clear ();
        peer->send_all (OK_AB);
      }
    if (!caller->received ("\r\n\r\nab"))
      return;
    caller->input.clear ();
    caller->send_all (GET_A);
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
    start_proxy ();
  }
};

// Guards against unlimited memory for a response that the caller does not read.
TEST_F (Proxy, ResponseBackpressure)
{
  peer_ptr caller = connect_caller (GET_A);
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  peer->send_all (LARGE_RESPONSE_HEAD);
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\n"));
  callers.clear (); /* the caller stops reading */
  std::string block (65536, 'x');
  int blocked_count = 0;
  size_t max_pending = 0;
  while (blocked_count < BLOCKED_ITERATION_COUNT)
    {
      blocked_count = peer->send_some (block.data (), block.size ()) > 0 ? 0 : blocked_count + 1;
      run_iteration ();
      caller_conn_t *conn = CONTAINER_OF (list_first (&listener.conns), caller_conn_t, node);
      max_pending = std::max (max_pending, byte_stream_pending (&conn->stream));
    }
  EXPECT_GT (max_pending, 0u);
  EXPECT_LE (max_pending, MAX_QUEUED_BYTES);
  size_t bytes_before = caller->input.size ();
  callers.push_back (caller);
  EXPECT_TRUE (wait_until ([&] {
    peer->send_some (block.data (), block.size ());
    return caller->input.size () > bytes_before + 4 * MAX_QUEUED_BYTES;
  })) << "the transfer does not resume";
}

// Guards against unlimited memory for a request that the backend server does not read.
TEST_F (Proxy, RequestBackpressure)
{
  peer_ptr caller = connect_caller (post_head (1000000000));
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  size_t head_bytes = peer->input.size ();
  server.peers.clear (); /* the backend server stops reading */
  std::string block (65536, 'x');
  int blocked_count = 0;
  size_t max_pending = 0;
  while (blocked_count < BLOCKED_ITERATION_COUNT)
    {
      blocked_count = caller->send_some (block.data (), block.size ()) > 0 ? 0 : blocked_count + 1;
      run_iteration ();
      proxy_request_t *request = CONTAINER_OF (list_first (&proxy.requests), proxy_request_t, node);
      max_pending = std::max (max_pending, upstream_exchange_pending (&request->exchange));
    }
  EXPECT_GT (max_pending, 0u);
  EXPECT_LE (max_pending, MAX_QUEUED_BYTES);
  server.peers.push_back (peer);
  EXPECT_TRUE (wait_until ([&] {
    caller->send_some (block.data (), block.size ());
    return peer->input.size () > head_bytes + 4 * MAX_QUEUED_BYTES;
  })) << "the transfer does not resume";
}

// Guards against a body that is lost or duplicated when the request is sent again.
TEST_F (Proxy, BodyIsRepeatedForAnotherAttempt)
{
  server_t other;
  pollers.push_back ([&] { other.poll (); });
  policy.targets = { server.address, other.address };
  policy.max_attempts = 2;
  policy.dispatch.keep_body = true;
  policy.dispatch.end_on_stall = true;
  peer_ptr caller = connect_caller (post_head (6) + "abc");
  wait_for_request (0, "\r\n\r\nabc")->abort_connection ();
  ASSERT_TRUE (wait_until (
      [&] { return !other.peers.empty () && other.peers[0]->received ("\r\n\r\nabc"); }));
  caller->send_all ("def");
  ASSERT_TRUE (wait_until_received (other.peers[0], "\r\n\r\nabcdef"));
  other.peers[0]->send_all (OK_AB);
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
}

// Guards against another attempt with a body whose start is no longer buffered.
TEST_F (Proxy, LargeBodyIsNotRepeated)
{
  policy.max_attempts = 2;
  policy.dispatch.keep_body = true;
  policy.dispatch.end_on_stall = true;
  peer_ptr caller = connect_caller (post_head (200000));
  std::string body (200000, 'x');
  size_t sent = 0;
  ASSERT_TRUE (wait_until ([&] {
    sent += caller->send_some (body.data () + sent, body.size () - sent);
    return !server.peers.empty () && server.peers[0]->input.size () > body.size ();
  }));
  server.peers[0]->abort_connection ();
  ASSERT_TRUE (wait_until_received (caller, "Anvillb-Outcome: unknown"));
  EXPECT_EQ (server.peers.size (), 1u);
}

// Guards against a chunked request body that is framed wrongly for the backend server.
TEST_F (Proxy, ChunkedRequest)
{
  peer_ptr caller
      = connect_caller ("POST /a HTTP/1.1\r\nHost: crew\r\nTransfer-Encoding: chunked\r\n\r\n");
  peer_ptr peer = wait_for_request (0, "Transfer-Encoding: chunked\r\n");
  caller->send_all ("3;x=1\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n");
  ASSERT_TRUE (wait_until_received (peer, "\r\n\r\n3\r\nabc\r\n0\r\n\r\n"));
  EXPECT_FALSE (peer->received ("X-Trailer"));
  peer->send_all (OK_AB);
  EXPECT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
}

// Guards against a caller that never gets the 100 Continue it waits for, or gets one for a request
// that is then refused.
TEST_F (Proxy, ExpectContinue)
{
  peer_ptr caller = connect_caller (post_head (3, "Expect: 100-continue\r\n"));
  ASSERT_TRUE (wait_until_received (caller, "HTTP/1.1 100 Continue\r\n\r\n"));
  caller->send_all ("abc");
  peer_ptr peer = wait_for_request (0, "\r\n\r\nabc");
  EXPECT_FALSE (peer->received ("Expect"));
  peer->send_all (OK_AB);
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nab"));

  policy.dispatch.max_body_bytes = 2;
  peer_ptr refused = connect_caller (post_head (3, "Expect: 100-continue\r\n"));
  ASSERT_TRUE (wait_until_received (refused, "HTTP/1.1 413"));
  EXPECT_FALSE (refused->received ("100 Continue"));
  EXPECT_TRUE (refused->received ("Anvillb-Not-Run: 1"));
  EXPECT_TRUE (wait_until ([&] { return refused->ended; }));
  peer_ptr unknown = connect_caller (post_head (3, "Expect: more\r\n"));
  ASSERT_TRUE (wait_until_received (unknown, "HTTP/1.1 417"));
  EXPECT_EQ (server.peers.size (), 1u);
}

// Guards against a chunked body that grows beyond the limit of its route.
TEST_F (Proxy, ChunkedBodyAboveTheLimit)
{
  policy.dispatch.max_body_bytes = 4;
  peer_ptr caller = connect_caller (
      "POST /a HTTP/1.1\r\nHost: crew\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  peer_ptr peer = wait_for_request (0, "abc");
  caller->send_all ("3\r\ndef\r\n");
  ASSERT_TRUE (wait_until_received (caller, "HTTP/1.1 413"));
  EXPECT_TRUE (caller->received ("Anvillb-Outcome: unknown"));
  EXPECT_TRUE (wait_until ([&] { return peer->ended || peer->reset; }));
  EXPECT_FALSE (peer->received ("0\r\n\r\n"));
  EXPECT_TRUE (policy.has_event ("ended:caller_error"));
}

// Guards against a malformed body that reaches the backend server as a complete request.
TEST_F (Proxy, MalformedBodyIsNotCompleted)
{
  peer_ptr caller = connect_caller (
      "POST /a HTTP/1.1\r\nHost: crew\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  peer_ptr peer = wait_for_request (0, "abc");
  caller->send_all ("0\n\n");
  ASSERT_TRUE (wait_until_received (caller, "HTTP/1.1 400"));
  EXPECT_TRUE (wait_until ([&] { return peer->ended || peer->reset; }));
  EXPECT_FALSE (peer->received ("0\r\n\r\n"));
}

// Guards against request smuggling: no request that follows a refused one on the same connection is
// executed.
TEST_F (Proxy, RefusedRequestEndsTheConnection)
{
  peer_ptr caller = connect_caller ("POST /a HTTP/1.1\r\nHost: crew\r\nContent-Length: 5\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" GET_A);
  ASSERT_TRUE (wait_until ([&] { return caller->ended; }));
  EXPECT_EQ (caller->count ("HTTP/1.1"), 1u);
  EXPECT_TRUE (caller->received ("HTTP/1.1 400"));
  EXPECT_TRUE (caller->received ("Anvillb-Not-Run: 1"));
  EXPECT_EQ (policy.join_events (), "");
  EXPECT_EQ (server.peers.size (), 0u);
}

// Guards against a response that is lost because the rest of the request body is still unread.
TEST_F (Proxy, EarlyResponse)
{
  peer_ptr caller = connect_caller (post_head (100000));
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  peer->send_all ("HTTP/1.1 403 Forbidden\r\nContent-Length: 2\r\n\r\nno");
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nno"));
  EXPECT_TRUE (wait_until ([&] { return peer->ended || peer->reset; }));
  std::string rest (100000, 'x');
  size_t sent = 0;
  ASSERT_TRUE (wait_until ([&] {
    sent += caller->send_some (rest.data () + sent, rest.size () - sent);
    return sent == rest.size ();
  }));
  caller->send_all (GET_A);
  wait_for_request (1, "GET /a")->send_all (OK_AB);
  EXPECT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
}

// Guards against a response that is lost because the backend server closed its side before it read
// the whole request.
TEST_F (Proxy, EarlyResponseAndClose)
{
  peer_ptr caller = connect_caller (post_head (50000000));
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  std::string block (65536, 'x');
  peer->send_all ("HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno");
  shutdown (peer->fd, SHUT_WR);
  EXPECT_TRUE (wait_until ([&] {
    caller->send_some (block.data (), block.size ());
    return caller->received ("\r\n\r\nno");
  }));
  EXPECT_TRUE (caller->received ("HTTP/1.1 413"));
}

// Guards against a response that is truncated because the caller closed its sending side after the
// request.
TEST_F (Proxy, ResponseIsFlushedAfterTheCallerEnded)
{
  peer_ptr caller = connect_caller (GET_A);
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  std::string body (16000000, 'x');
  std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n" + body;
  callers.clear (); /* the caller does not read, so that output stays queued */
  size_t sent = 0;
  size_t queued_bytes = 0;
  ASSERT_TRUE (wait_until ([&] {
    sent += peer->send_some (text.data () + sent, text.size () - sent);
    caller_conn_t *conn = CONTAINER_OF (list_first (&listener.conns), caller_conn_t, node);
    /* Reads in small steps once the queue is full, until the proxy has the whole response. */
    char buffer[4096];
    if (byte_stream_pending (&conn->stream) > 0 && !policy.has_event ("finished"))
      {
        ssize_t size = recv (caller->fd, buffer, sizeof (buffer), 0);
        caller->input.append (buffer, size > 0 ? (size_t)size : 0);
        queued_bytes = byte_stream_pending (&conn->stream);
      }
    return policy.has_event ("finished");
  }));
  ASSERT_GT (queued_bytes, 0u);
  shutdown (caller->fd, SHUT_WR);
  for (int i = 0; i < 20; i++)
    run_iteration ();
  callers.push_back (caller);
  EXPECT_TRUE (wait_until ([&] { return caller->ended || caller->reset; }));
  EXPECT_FALSE (caller->reset);
  EXPECT_EQ (caller->input.size () - caller->input.find ("\r\n\r\n") - 4, body.size ());
}

// Guards against a request body that reaches the policy incomplete or above its size limit.
TEST_F (Proxy, PolicyReadsTheBody)
{
  policy.max_read_bytes = 10;
  peer_ptr caller = connect_caller (post_head (6) + "abc");
  caller->send_all ("def" + post_head (11) + "abcdefghijk");
  ASSERT_TRUE (wait_until_received (caller, "HTTP/1.1 413"));
  EXPECT_TRUE (caller->received ("\r\n\r\ngot 6HTTP/1.1 413"));
  EXPECT_EQ (policy.join_events (), "begin body finished begin cancelled:2 finished");
}

// Guards against a request that stays on a silent connection while new connections work.
TEST_F (ProxyStalls, StalledConnectionIsClosed)
{
  policy.dispatch.stall_timeout_us = 60000;
  policy.dispatch.keep_body = true;
  policy.dispatch.end_on_stall = true;
  policy.max_attempts = 1000000;
  peer_ptr silent_caller = connect_caller (GET_A);
  peer_ptr silent = wait_for_request (0, "\r\n\r\n");
  peer_ptr caller = connect_caller (GET_A);
  wait_for_request (1, "\r\n\r\n");
  EXPECT_TRUE (wait_until ([&] {
    exchange_on_other_connections (silent, caller);
    return silent_caller->received ("\r\n\r\nab");
  }));
  EXPECT_TRUE (policy.has_event ("ended:stalled"));
  EXPECT_TRUE (wait_until ([&] { return silent->ended || silent->reset; }));
  EXPECT_EQ (pool->stall_count, 1u);
}

// Guards against the reuse of idle connections that are no newer than a silent one to the same
// target.
TEST_F (Proxy, StallClosesOlderIdleConnections)
{
  peer_ptr first = connect_caller (GET_A);
  peer_ptr second = connect_caller (GET_A);
  peer_ptr old_idle = wait_for_request (0, "\r\n\r\n");
  peer_ptr silent = wait_for_request (1, "\r\n\r\n");
  old_idle->send_all (OK_AB);
  ASSERT_TRUE (wait_until_finished (1));
  proxy_request_t *request = CONTAINER_OF (list_first (&proxy.requests), proxy_request_t, node);
  upstream_conn_t *conn = request->exchange.conn;
  upstream_pool_close_older_idle (conn);
  EXPECT_TRUE (wait_until ([&] { return old_idle->ended; }));
  EXPECT_FALSE (silent->ended);
  EXPECT_EQ (upstream_pool_connection_count (pool.get (), server.address.c_str ()), 1);
}

// Guards against a slow response that is taken for a stall although no other connection to the
// target made progress, which would show that the target is alive.
TEST_F (Proxy, SlowResponseWithoutOtherProgressIsNotAStall)
{
  policy.dispatch.stall_timeout_us = 20000;
  policy.dispatch.keep_body = true;
  policy.dispatch.end_on_stall = true;
  peer_ptr caller = connect_caller (GET_A);
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  int64_t wait_end_us = g_get_monotonic_time () + 200000;
  ASSERT_TRUE (wait_until ([&] { return g_get_monotonic_time () > wait_end_us; }));
  peer->send_all (OK_AB);
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
  EXPECT_FALSE (policy.has_event ("ended:stalled"));
}

// Guards against a stall that ends a request which cannot be repeated.
TEST_F (ProxyStalls, StallDoesNotEndWhatCannotBeRepeated)
{
  policy.dispatch.stall_timeout_us = 20000;
  peer_ptr caller = connect_caller (post_head (1) + "x");
  peer_ptr silent = wait_for_request (0, "\r\n\r\nx");
  peer_ptr other = connect_caller (GET_A);
  wait_for_request (1, "\r\n\r\n");
  ASSERT_TRUE (wait_until ([&] {
    exchange_on_other_connections (silent, other);
    return pool->stall_count == 1;
  }));
  silent->send_all ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nok"));
  EXPECT_FALSE (policy.has_event ("ended:stalled"));
  EXPECT_TRUE (wait_until ([&] { return silent->ended || silent->reset; }))
      << "a stalled connection is kept for reuse";
}

// Guards against connections that are held open with an incomplete head.
TEST_F (ProxyTimeouts, IncompleteHead)
{
  peer_ptr caller = connect_caller ("GET /a HTTP/1.1\r\nHost:");
  EXPECT_TRUE (wait_until ([&] { return caller->ended; }));
  EXPECT_TRUE (caller->received ("HTTP/1.1 408"));
}

// Guards against connections that are held open without a request.
TEST_F (ProxyTimeouts, IdleConnection)
{
  peer_ptr caller = connect_caller ("");
  EXPECT_TRUE (wait_until ([&] { return caller->ended; }));
  EXPECT_EQ (caller->input, "");
}

// Guards against a shutdown that cuts a request, keeps idle connections or accepts new ones.
TEST_F (Proxy, DrainFinishesRequests)
{
  peer_ptr idle = connect_caller ("");
  peer_ptr busy = connect_caller (GET_A);
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  ASSERT_TRUE (wait_until ([&] { return caller_listener_open_count (&listener) == 2; }));
  proxy.draining = true;
  caller_listener_drain (&listener);
  ASSERT_TRUE (wait_until ([&] { return idle->ended; }));
  EXPECT_FALSE (busy->ended);
  peer->send_all (OK_AB);
  ASSERT_TRUE (wait_until ([&] { return busy->ended; }));
  EXPECT_TRUE (busy->received ("Connection: close\r\n\r\nab"));
  idle->close_socket ();
  busy->close_socket ();
  EXPECT_TRUE (wait_until ([&] { return caller_listener_open_count (&listener) == 0; }));
}

// Guards against a shutdown that cuts off what has just arrived: a request that waits in the buffer
// of an accepted connection, and one on a connection that waits to be accepted.
TEST_F (Proxy, DrainAnswersWhatHasArrived)
{
  peer_ptr accepted = connect_caller ("");
  ASSERT_TRUE (wait_until ([&] { return caller_listener_open_count (&listener) == 1; }));
  accepted->send_all (GET_A);
  peer_ptr waiting = connect_caller (GET_A);
  proxy.draining = true;
  caller_listener_drain (&listener);
  for (size_t i = 0; i < 2; i++)
    {
      peer_ptr peer = wait_for_request (i, "\r\n\r\n");
      ASSERT_NE (peer, nullptr);
      peer->send_all (OK_AB);
    }
  for (const peer_ptr &caller : { accepted, waiting })
    {
      EXPECT_TRUE (wait_until ([&] { return caller->ended || caller->reset; }));
      EXPECT_TRUE (caller->received ("Connection: close\r\n\r\nab"));
    }
}

// Guards against a connection that is busy when the idle ones are closed and stays open for further
// requests, although nothing in its response asked the caller to leave.
TEST_F (Proxy, DrainClosesWhatBecomesIdle)
{
  peer_ptr caller = connect_caller (GET_A);
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  peer->send_all ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
  proxy.draining = true;
  caller_listener_drain (&listener);
  peer->send_all ("cd");
  ASSERT_TRUE (wait_until ([&] { return caller->ended || caller->reset; }));
  EXPECT_TRUE (caller->received ("\r\n\r\nabcd"));
  EXPECT_FALSE (caller->received ("Connection: close"));
  caller->close_socket ();
  EXPECT_TRUE (wait_until ([&] { return caller_listener_open_count (&listener) == 0; }));
}

// Guards against requests that arrive after the drain, behind another one or after the first part
// of their head, and are passed on although the process may end before their answer.
TEST_F (Proxy, RequestsAfterTheDrainAreRefused)
{
  peer_ptr pipelining = connect_caller (GET_A);
  peer_ptr incomplete = connect_caller ("GET /a HTTP/1.1\r\n");
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  peer->send_all ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
  ASSERT_TRUE (wait_until_received (pipelining, "\r\n\r\nab"));
  proxy.draining = true;
  caller_listener_drain (&listener);
  proxy.refusing = true;
  pipelining->send_all (GET_A);
  incomplete->send_all ("Host: crew\r\n\r\n");
  peer->send_all ("cd");
  for (const peer_ptr &caller : { pipelining, incomplete })
    {
      ASSERT_TRUE (wait_until ([&] { return caller->ended || caller->reset; }));
      EXPECT_TRUE (caller->received ("HTTP/1.1 503"));
      EXPECT_TRUE (caller->received ("Anvillb-Not-Run: 1"));
      EXPECT_TRUE (caller->received ("Connection: close"));
    }
  EXPECT_TRUE (pipelining->received ("\r\n\r\nabcd"));
  EXPECT_EQ (peer->count ("GET /a"), 1u);
  EXPECT_EQ (server.peers.size (), 1u);
}

// Guards against requests that get no answer when the process stops: one without a target, one that
// waits for a connection, and one whose target is at work. Only the last may have run.
TEST_F (Proxy, EndOfTheProcessAnswersAllRequests)
{
  policy.dispatch.max_connections = 1;
  peer_ptr running = connect_caller (GET_A);
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  peer_ptr unsent = connect_caller (GET_A);
  ASSERT_TRUE (wait_until ([&] { return policy.attempt_count == 2; }));
  policy.postpone_decision = true;
  peer_ptr waiting = connect_caller (GET_A);
  ASSERT_TRUE (wait_until ([&] { return proxy_in_flight_count (&proxy) == 3; }));
  proxy.draining = true;
  proxy_end_requests (&proxy);
  for (const peer_ptr &caller : { running, unsent, waiting })
    {
      ASSERT_TRUE (wait_until ([&] { return caller->ended || caller->reset; }));
      EXPECT_TRUE (caller->received ("Connection: close"));
    }
  EXPECT_TRUE (running->received ("HTTP/1.1 504"));
  EXPECT_TRUE (running->received ("Anvillb-Outcome: unknown"));
  for (const peer_ptr &caller : { unsent, waiting })
    {
      EXPECT_TRUE (caller->received ("HTTP/1.1 503"));
      EXPECT_TRUE (caller->received ("Retry-After: 0\r\n"));
      EXPECT_TRUE (caller->received ("Anvillb-Not-Run: 1"));
    }
  EXPECT_TRUE (wait_until ([&] { return peer->ended; }));
  EXPECT_EQ (peer->count ("GET /a"), 1u);
}

// Guards against a request that waits for a connection until a stop leaves no time for it, and is
// sent then. One that a target is at work on is left alone.
TEST_F (Proxy, RequestsThatWaitForAConnectionAreRecalled)
{
  policy.dispatch.max_connections = 1;
  peer_ptr running = connect_caller (GET_A);
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  peer_ptr unsent = connect_caller (GET_A);
  ASSERT_TRUE (wait_until ([&] { return policy.attempt_count == 2; }));
  proxy_recall_requests (&proxy);
  EXPECT_EQ (proxy_in_flight_count (&proxy), 2u);
  policy.hold_back = true;
  proxy_recall_requests (&proxy);
  ASSERT_TRUE (wait_until_received (unsent, "Anvillb-Not-Run: 1"));
  EXPECT_TRUE (policy.has_event ("ended:recalled"));
  peer->send_all (OK_AB);
  ASSERT_TRUE (wait_until_received (running, "\r\n\r\nab"));
  EXPECT_EQ (peer->count ("GET /a"), 1u);
}

// Guards against a response that is cut when the process answers the other requests.
TEST_F (Proxy, EndOfTheProcessLeavesStartedResponses)
{
  peer_ptr caller = connect_caller (GET_A);
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  peer->send_all ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
  proxy_end_requests (&proxy);
  peer->send_all ("cd");
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nabcd"));
}

// Guards against a request that may run only once and is lost on a connection that its peer dropped
// while it was idle. Requests that can be sent again may use such a connection.
TEST_F (Proxy, NonRepeatableRequestAvoidsIdleConnections)
{
  auto idle = [&] {
    int64_t wait_end_us = g_get_monotonic_time () + 100000;
    ASSERT_TRUE (wait_until ([&] { return g_get_monotonic_time () > wait_end_us; }));
  };
  peer_ptr caller = connect_caller (GET_A);
  wait_for_request (0, "\r\n\r\n")->send_all (OK_AB);
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
  idle_limit_record_reset (&pool->idle_limit, g_get_monotonic_time (), 50000, 0);
  idle ();
  caller->input.clear ();
  caller->send_all (GET_A);
  ASSERT_TRUE (wait_until ([&] { return server.peers[0]->count ("\r\n\r\n") == 2; }));
  server.peers[0]->send_all (OK_AB);
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
  idle ();
  policy.dispatch.avoid_stale_connection = true;
  caller->input.clear ();
  caller->send_all (GET_A);
  wait_for_request (1, "\r\n\r\n")->send_all (OK_AB);
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
  EXPECT_EQ (server.peers[0]->count ("\r\n\r\n"), 2u);
}
