#include "proxy_fixture.h"

// Guards against a response that is changed on its way, and connections that are not reused.
TEST_F (Proxy, KeepAliveOnBothSides)
{
  peer_ptr caller = connect_caller (GET_A GET_A);
  for (size_t i = 1; i <= 2; i++)
    {
      ASSERT_TRUE (wait_until (
          [&] { return !server.peers.empty () && server.peers[0]->count ("GET /a") == i; }));
      server.peers[0]->send_all (OK_AB);
      ASSERT_TRUE (wait_until ([&] { return caller->count ("\r\n\r\nab") == i; }));
    }
  EXPECT_EQ (server.peers.size (), 1u);
  EXPECT_EQ (policy.join_events (), "begin first_byte response:200 ended:complete finished "
                                    "begin first_byte response:200 ended:complete finished");
  EXPECT_FALSE (caller->ended);
}

// Guards against wrong forwarding fields, and against hop-by-hop fields that are forwarded.
TEST_F (Proxy, RequestHeadIsRewritten)
{
  http_headers_t extra;
  http_headers_init (&extra);
  http_headers_append (&extra, "X-Extra", "1");
  policy.dispatch.extra_headers = &extra;
  connect_caller (
      "GET /a?b HTTP/1.1\r\nHost: crew\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Forwarded-For: "
      "10.0.0.9\r\nX-Forwarded-Proto: https\r\nAnvillb-Deadline-Ms: 15000\r\nAnvillb-Hop: 1\r\n"
      "traceparent: 00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01\r\n\r\n");
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  EXPECT_TRUE (peer->received ("GET /a?b HTTP/1.1\r\nHost: crew\r\n"));
  EXPECT_TRUE (peer->received ("X-Forwarded-For: 10.0.0.9, 127.0.0.1\r\n"));
  EXPECT_EQ (peer->count ("X-Forwarded-For"), 1u);
  EXPECT_TRUE (peer->received ("Via: 1.1 anvillb\r\n"));
  EXPECT_TRUE (peer->received ("X-Extra: 1\r\n"));
  EXPECT_FALSE (peer->received ("X-Hop"));
  EXPECT_FALSE (peer->received ("Anvillb-Hop"));
  EXPECT_FALSE (peer->received ("Connection"));
  EXPECT_TRUE (peer->received ("traceparent: 00-4bf92f3577b34da6a3ce929d0e0e4736-"));
  EXPECT_FALSE (peer->received ("00f067aa0ba902b7"));
  size_t field_start = peer->input.find ("Anvillb-Deadline-Ms: ");
  ASSERT_NE (field_start, std::string::npos);
  int left_ms = atoi (peer->input.c_str () + field_start + strlen ("Anvillb-Deadline-Ms: "));
  EXPECT_LT (left_ms, 15000);
  EXPECT_EQ (peer->count ("Anvillb-Deadline-Ms"), 1u);
  http_headers_destroy (&extra);
}

// Guards against a response whose end the caller cannot find after the proxy changed its framing.
TEST_F (Proxy, ResponseFramingForTheCaller)
{
  struct
  {
    const char *request;
    const char *response;
    bool close; /* the backend server closes after the response */
    const char *expected;
    bool ends; /* the caller's connection ends */
  } cases[] = {
    { GET_A, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", false,
      "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", false },
    { GET_A, "HTTP/1.1 200 OK\r\n\r\nab", true, "chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", false },
    { "GET /a HTTP/1.0\r\nHost: crew\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nab", true,
      "Connection: close\r\n\r\nab", true },
    { "HEAD /a HTTP/1.1\r\nHost: crew\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
      false, "Content-Length: 9\r\nVia: 1.1 anvillb\r\n\r\n", false },
    { GET_A, "HTTP/1.1 204 No Content\r\nContent-Length: 9\r\n\r\n", false,
      "204 No Content\r\nVia: 1.1 anvillb\r\n\r\n", false },
    { GET_A, "HTTP/1.1 304 Not Modified\r\nETag: x\r\n\r\n", false, "ETag: x\r\n", false },
    { GET_A, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" OK_AB, false,
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", false },
  };
  size_t finished = 0;
  for (const auto &item : cases)
    {
      peer_ptr caller = connect_caller (item.request);
      ASSERT_TRUE (wait_until ([&] {
        for (const peer_ptr &peer : server.peers)
          if (peer->fd >= 0 && peer->received ("/a HTTP"))
            return true;
        return false;
      }));
      for (const peer_ptr &peer : server.peers)
        {
          if (peer->fd < 0 || !peer->received ("/a HTTP"))
            continue;
          peer->input.clear ();
          peer->send_all (item.response);
          if (item.close)
            peer->close_socket ();
        }
      EXPECT_TRUE (wait_until_received (caller, item.expected)) << item.response << caller->input;
      EXPECT_TRUE (wait_until_finished (++finished));
      EXPECT_TRUE (wait_until ([&] { return caller->ended || !item.ends; })) << item.response;
      EXPECT_FALSE (caller->reset);
    }
}

// Guards against a truncated response that looks complete to the caller.
TEST_F (Proxy, TruncatedResponseIsAborted)
{
  const char *chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
  const char *responses[][2] = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", "" },
    { chunked, "" },
    { chunked, "0\r\n" },
    { chunked, "zz\r\n" },
  };
  size_t index = 0;
  for (const auto &response : responses)
    {
      peer_ptr caller = connect_caller (GET_A);
      peer_ptr peer = wait_for_request (index++, "\r\n\r\n");
      peer->send_all (response[0]);
      ASSERT_TRUE (wait_until_received (caller, "ab"));
      peer->send_all (response[1]);
      peer->close_socket ();
      EXPECT_TRUE (wait_until ([&] { return caller->reset || caller->ended; }));
      /* The end comes after what was passed on, without a reset that could destroy it. */
      EXPECT_TRUE (caller->ended) << response[0] << response[1];
      std::string body = caller->input.substr (caller->input.find ("\r\n\r\n") + 4);
      EXPECT_EQ (body, response[0] == chunked ? "2\r\nab\r\n" : "ab");
      EXPECT_EQ (caller->received ("Content-Length: 5\r\n"), response[0] != chunked);
    }
}

// Guards against a response whose head broke off and that reaches the caller as a whole one.
TEST_F (Proxy, HeadThatBreaksOffBecomes502)
{
  const std::string heads[] = {
    "HTTP/1.1 200 OK\r\nX: 1\r\nContent-Length: 25\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.0 200 OK\n\n",
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
  };
  size_t index = 0;
  for (const std::string &head : heads)
    {
      for (size_t size = 1; size < head.size (); size++)
        {
          if (size % 7 != 0 && size + 6 < head.size ())
            continue;
          peer_ptr caller = connect_caller ("POST /a HTTP/1.1\r\nHost: crew\r\n"
                                            "Content-Length: 1\r\n\r\nx");
          peer_ptr peer = wait_for_request (index++, "\r\n\r\nx");
          peer->send_all (head.substr (0, size));
          peer->close_socket ();
          ASSERT_TRUE (wait_until_received (caller, "\r\n\r\n")) << head.substr (0, size);
          EXPECT_TRUE (caller->received ("HTTP/1.1 502 ")) << head.substr (0, size);
        }
    }
}

// Guards against a response without a length that ends cleanly although a reset truncated it.
TEST_F (Proxy, ResetTruncatesCloseDelimitedResponse)
{
  peer_ptr caller = connect_caller ("GET /a HTTP/1.0\r\nHost: crew\r\n\r\n");
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  peer->send_all ("HTTP/1.1 200 OK\r\n\r\nab");
  ASSERT_TRUE (wait_until_received (caller, "ab"));
  peer->abort_connection ();
  EXPECT_TRUE (wait_until ([&] { return caller->reset || caller->ended; }));
  EXPECT_TRUE (caller->reset);
}

// Guards against invalid responses that are forwarded, and against Anvillb-Not-Run after bytes of
// the request were sent.
TEST_F (Proxy, InvalidResponseBecomes502)
{
  const char *responses[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX: 1\r\n",
    "nonsense\r\n\r\n",
  };
  size_t index = 0;
  for (const char *response : responses)
    {
      policy.false_not_run = index % 2 == 1;
      peer_ptr caller = connect_caller (GET_A);
      peer_ptr peer = wait_for_request (index++, "\r\n\r\n");
      peer->send_all (response);
      peer->close_socket ();
      EXPECT_TRUE (wait_until_received (caller, "Anvillb-Outcome: unknown\r\n")) << response;
      EXPECT_TRUE (caller->received (policy.false_not_run ? "HTTP/1.1 503" : "HTTP/1.1 502"));
      EXPECT_FALSE (caller->received ("Anvillb-Not-Run")) << response;
    }
}

// Guards against Anvillb-Not-Run of a backend server that reaches the caller: only the proxy knows
// whether any attempt may have run.
TEST_F (Proxy, OutcomeFieldsOfBackendServersAreRemoved)
{
  peer_ptr caller = connect_caller (GET_A);
  wait_for_request (0, "\r\n\r\n")
      ->send_all ("HTTP/1.1 500 Error\r\nAnvillb-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\n"));
  EXPECT_FALSE (caller->received ("Anvillb-Not-Run"));
}

// Guards against a missing Anvillb-Not-Run when no connection could be made.
TEST_F (Proxy, ConnectFailureWasNotRun)
{
  close (server.fd);
  server.fd = -1;
  peer_ptr caller = connect_caller (GET_A);
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\n"));
  EXPECT_TRUE (caller->received ("HTTP/1.1 502"));
  EXPECT_TRUE (caller->received ("Anvillb-Not-Run: 1\r\n"));
  EXPECT_EQ (policy.join_events (), "begin ended:connect_failed finished");
}

// Guards against a request that is sent twice when a reused connection is closed by its peer.
TEST_F (Proxy, ReusedConnectionIsNotResent)
{
  peer_ptr caller = connect_caller (GET_A);
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  peer->send_all (OK_AB);
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
  policy.events.clear ();
  caller->input.clear ();
  caller->send_all ("POST /b HTTP/1.1\r\nHost: crew\r\nContent-Length: 1\r\n\r\nx");
  ASSERT_TRUE (wait_until_received (peer, "POST /b"));
  peer->abort_connection ();
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\n"));
  EXPECT_TRUE (caller->received ("Anvillb-Outcome: unknown"));
  EXPECT_TRUE (policy.has_event ("ended:closed_reused"));
  EXPECT_EQ (server.peers.size (), 1u);
}

// Guards against a late response of an abandoned attempt that reaches another request.
TEST_F (Proxy, LateResponseIsDropped)
{
  server_t other;
  pollers.push_back ([&] { other.poll (); });
  policy.targets = { server.address, other.address };
  policy.max_attempts = 2;
  policy.dispatch.attempt_timeout_us = 30000;
  policy.dispatch.keep_body = true;
  policy.dispatch.end_on_stall = true;
  policy.dispatch.max_connections = 1;
  peer_ptr caller = connect_caller (GET_A);
  peer_ptr late = wait_for_request (0, "\r\n\r\n");
  ASSERT_TRUE (
      wait_until ([&] { return !other.peers.empty () && other.peers[0]->received ("\r\n\r\n"); }));
  policy.dispatch.attempt_timeout_us = 0;
  other.peers[0]->send_all (OK_AB);
  late->send_some ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate", 43);
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
  EXPECT_TRUE (wait_until ([&] { return late->ended || late->reset; }));
  policy.attempt_count = 0;
  caller->send_all (GET_A);
  peer_ptr second = wait_for_request (1, "\r\n\r\n");
  second->send_all ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ncd");
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\ncd"));
  EXPECT_FALSE (caller->received ("late"));
}

// Guards against a request that is ended at a working target although no retry is possible.
TEST_F (Proxy, LateAttemptContinuesWithoutARetry)
{
  policy.dispatch.attempt_timeout_us = 20000;
  policy.continue_late_attempt = true;
  peer_ptr caller = connect_caller (GET_A);
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  ASSERT_TRUE (wait_until ([&] { return policy.has_event ("late"); }));
  peer->send_all (OK_AB);
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
  EXPECT_EQ (policy.join_events (), "begin first_byte late response:200 ended:complete finished");
}

// Guards against a late response to another request on the same connection that is taken for the
// response to this one.
TEST_F (Proxy, ResponseToAnotherRequestIsSkipped)
{
  http_dialect_t dialect = http_dialect_native;
  dialect.request_id_header = "Request-Id";
  proxy.options.dialect = &dialect;
  peer_ptr caller = connect_caller ("GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: one\r\n\r\n");
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  peer->send_all ("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 5\r\n\r\nwrong"
                  "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 2\r\n\r\nab");
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
  EXPECT_FALSE (caller->received ("wrong"));
}

// Guards against a late copy of a rejection that is taken for the answer to the next attempt of the
// same request, which then runs twice or is refused although it runs.
TEST_F (Proxy, LateCopyOfARejectionDoesNotEndTheNextAttempt)
{
  http_dialect_t dialect = http_dialect_native;
  dialect.request_id_header = "Request-Id";
  proxy.options.dialect = &dialect;
  policy.max_attempts = 3;
  policy.dispatch.keep_body = true;
  policy.dispatch.max_connections = 1;
  const std::string shed
      = "HTTP/1.1 503 Full\r\nRequest-Id: one\r\nAnvillb-Shed: 1\r\nContent-Length: 0\r\n\r\n";
  peer_ptr caller = connect_caller (
      "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: one\r\nContent-Length: 3\r\n\r\nabc");
  peer_ptr first = wait_for_request (0, "\r\n\r\nabc");
  ASSERT_NE (first, nullptr);
  first->send_all (shed);
  ASSERT_TRUE (wait_until ([&] { return policy.attempt_count == 2; }));
  first->send_some (shed.data (), shed.size ());
  peer_ptr second = wait_for_request (1, "\r\n\r\nabc");
  ASSERT_NE (second, nullptr);
  second->send_all ("HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 2\r\n\r\nab");
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
  EXPECT_EQ (policy.attempt_count, 2u);
  EXPECT_EQ (first->count ("POST /a"), 1u);
}

// Guards against a connection on which the request was rejected and that another request was using
// at the time of the next attempt: it must not carry that attempt when it becomes idle.
TEST_F (Proxy, WaitingAttemptDoesNotReturnToItsConnection)
{
  policy.max_attempts = 2;
  policy.dispatch.max_connections = 1;
  connect_caller ("GET /rejected HTTP/1.1\r\nHost: h\r\n\r\n");
  peer_ptr first = wait_for_request (0, "\r\n\r\n");
  ASSERT_NE (first, nullptr);
  connect_caller ("GET /other HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE (wait_until ([&] { return policy.attempt_count == 2; }));
  policy.attempt_count = 1;
  first->send_all ("HTTP/1.1 503 Full\r\nAnvillb-Shed: 1\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE (wait_until ([&] { return first->received ("/other"); }));
  first->send_all (OK_AB);
  ASSERT_NE (wait_for_request (1, "/rejected"), nullptr);
  EXPECT_EQ (first->count ("/rejected"), 1u);
}

// Guards against bytes after a complete response that look like a response without an id and are
// taken for the response to the next request.
TEST_F (Proxy, ResponseWithoutTheIdIsSkipped)
{
  http_dialect_t dialect = http_dialect_native;
  dialect.request_id_header = "Request-Id";
  proxy.options.dialect = &dialect;
  peer_ptr caller = connect_caller ("GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: one\r\n\r\n");
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  peer->send_all ("HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 2\r\n\r\nab");
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
  caller->input.clear ();
  caller->send_all ("GET /b HTTP/1.1\r\nHost: h\r\nRequest-Id: two\r\n\r\n");
  ASSERT_TRUE (wait_until ([&] { return peer->received ("GET /b"); }));
  peer->send_all ("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
                  "HTTP/1.1 200 OK\r\nRequest-Id: two\r\nContent-Length: 2\r\n\r\ncd");
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\n"));
  EXPECT_TRUE (caller->received ("\r\n\r\ncd"));
  EXPECT_FALSE (caller->received ("503"));
}

// Guards against a second copy of a response that arrives while the next request uses the
// connection and becomes its answer. The backend server repeats the ids of attempts.
TEST_F (Proxy, SecondCopyOfAResponseIsDropped)
{
  auto attempt_id = [] (const peer_ptr &peer) {
    size_t start = peer->input.rfind ("Anvillb-Attempt: ");
    return start == std::string::npos ? "" : peer->input.substr (start + 17, 16);
  };
  auto respond = [] (const std::string &id, const char *body) {
    return "HTTP/1.1 200 OK\r\nAnvillb-Attempt: " + id + "\r\nContent-Length: 2\r\n\r\n" + body;
  };
  peer_ptr caller = connect_caller (GET_A);
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  const std::string first_id = attempt_id (peer);
  peer->send_all (respond (first_id, "ab"));
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
  EXPECT_FALSE (caller->received ("Anvillb-Attempt"));
  caller->input.clear ();
  caller->send_all (GET_A);
  ASSERT_TRUE (wait_until ([&] { return peer->count ("GET /a") == 2; }));
  EXPECT_NE (attempt_id (peer), first_id);
  peer->send_all (respond (first_id, "ab") + OK_AB + respond (attempt_id (peer), "cd"));
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\n"));
  EXPECT_TRUE (caller->received ("\r\n\r\ncd"));
  EXPECT_FALSE (caller->received ("\r\n\r\nab"));
}

// Guards against a response without an attempt id for an entry that forwarded the request with one.
TEST_F (Proxy, AttemptIdOfAnotherEntryIsRepeated)
{
  const char *request
      = "GET /a HTTP/1.1\r\nHost: crew\r\nAnvillb-Attempt: 00000000000000aa\r\n\r\n";
  peer_ptr caller = connect_caller (request);
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  EXPECT_EQ (peer->count ("Anvillb-Attempt: "), 1u);
  EXPECT_FALSE (peer->received ("00000000000000aa"));
  peer->send_all (OK_AB);
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
  EXPECT_TRUE (caller->received ("Anvillb-Attempt: 00000000000000aa\r\n"));
  policy.targets = { "127.0.0.1:1" };
  caller->input.clear ();
  caller->send_all (request);
  ASSERT_TRUE (wait_until_received (caller, "HTTP/1.1 502"));
  EXPECT_TRUE (caller->received ("Anvillb-Attempt: 00000000000000aa\r\n"));
}

// Guards against work that continues at the backend server after the caller has disconnected.
TEST_F (Proxy, CallerDisconnectClosesUpstream)
{
  peer_ptr caller = connect_caller (GET_A);
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  caller->close_socket ();
  EXPECT_TRUE (wait_until ([&] { return peer->ended || peer->reset; }));
  EXPECT_EQ (policy.join_events (), "begin first_byte ended:caller_gone finished");
}

// Guards against a queued request that is dispatched after its caller has disconnected.
TEST_F (Proxy, CallerDisconnectCancelsPending)
{
  policy.postpone_decision = true;
  peer_ptr caller = connect_caller (GET_A GET_A);
  ASSERT_TRUE (wait_until ([&] { return policy.has_event ("begin"); }));
  caller->close_socket ();
  ASSERT_TRUE (wait_until_finished ());
  EXPECT_EQ (policy.join_events (), "begin cancelled:0 finished");
}

// Guards against a deadline that is not enforced while the request waits or runs.
TEST_F (Proxy, DeadlineIsEnforced)
{
  const char *request = "GET /a HTTP/1.1\r\nHost: crew\r\nAnvillb-Deadline-Ms: 40\r\n\r\n";
  policy.postpone_decision = true;
  peer_ptr waiting = connect_caller (request);
  ASSERT_TRUE (wait_until_received (waiting, "\r\n\r\n"));
  EXPECT_TRUE (waiting->received ("HTTP/1.1 504"));
  EXPECT_TRUE (waiting->received ("Anvillb-Not-Run: 1"));
  EXPECT_EQ (policy.join_events (), "begin cancelled:1 finished");

  policy.postpone_decision = false;
  peer_ptr running = connect_caller (request);
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  ASSERT_TRUE (wait_until_received (running, "\r\n\r\n"));
  EXPECT_TRUE (running->received ("HTTP/1.1 504"));
  EXPECT_TRUE (running->received ("Anvillb-Outcome: unknown"));
  EXPECT_TRUE (wait_until ([&] { return peer->ended || peer->reset; }));

  peer_ptr expired
      = connect_caller ("GET /a HTTP/1.1\r\nHost: crew\r\nAnvillb-Deadline-Ms: 0\r\n\r\n");
  ASSERT_TRUE (wait_until_received (expired, "Anvillb-Not-Run: 1"));
  EXPECT_EQ (server.peers.size (), 1u);
}

// Guards against a request that was shed, and so not run, but is reported as an unknown outcome.
TEST_F (Proxy, ShedRequestIsRetriedOnAnotherTarget)
{
  server_t other;
  pollers.push_back ([&] { other.poll (); });
  policy.targets = { server.address, other.address };
  policy.max_attempts = 2;
  const char *shed = "HTTP/1.1 503 Busy\r\nAnvillb-Shed: 1\r\nRetry-After: 7\r\nContent-Length: "
                     "2\r\n\r\nno";
  peer_ptr caller
      = connect_caller ("POST /a HTTP/1.1\r\nHost: crew\r\nContent-Length: 3\r\n\r\nabc");
  wait_for_request (0, "\r\n\r\nabc")->send_all (shed);
  ASSERT_TRUE (wait_until (
      [&] { return !other.peers.empty () && other.peers[0]->received ("\r\n\r\nabc"); }));
  other.peers[0]->send_all (shed);
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\n"));
  EXPECT_TRUE (caller->received ("HTTP/1.1 503"));
  EXPECT_TRUE (caller->received ("Retry-After: 7\r\n"));
  EXPECT_TRUE (caller->received ("Anvillb-Not-Run: 1"));
  EXPECT_EQ (policy.join_events (), "begin first_byte ended:shed first_byte ended:shed finished");
}

// Guards against a response that reaches the caller although the policy rejected it.
TEST_F (Proxy, RejectedResponseIsRetried)
{
  policy.reject_response = true;
  policy.max_attempts = 2;
  peer_ptr caller = connect_caller (GET_A);
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  peer->send_all (OK_AB);
  peer_ptr other = wait_for_request (1, "GET /a");
  ASSERT_NE (other, nullptr);
  EXPECT_EQ (peer->count ("GET /a"), 1u);
  policy.reject_response = false;
  other->send_all ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ncd");
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\ncd"));
  EXPECT_FALSE (caller->received ("\r\n\r\nab"));
}

// Guards against a captured response that is incomplete or larger than allowed.
TEST_F (Proxy, ResponseIsCapturedUpToTheLimit)
{
  policy.dispatch.max_capture_bytes = 2;
  peer_ptr caller = connect_caller (GET_A);
  peer_ptr peer = wait_for_request (0, "\r\n\r\n");
  peer->send_all (OK_AB);
  ASSERT_TRUE (wait_until_finished (1));
  EXPECT_EQ (policy.captured_body, "ab");
  policy.captured_body.clear ();
  caller->send_all (GET_A);
  ASSERT_TRUE (wait_until ([&] { return peer->count ("GET /a") == 2; }));
  peer->send_all ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
  ASSERT_TRUE (wait_until_finished (2));
  EXPECT_EQ (policy.captured_body, "");
}

// Guards against the use of a freed target: at a limit of one connection, the only one is closed to
// make room for the new one that a retry prefers.
TEST_F (Proxy, OnlyConnectionIsReplaced)
{
  policy.max_attempts = 2;
  policy.dispatch.max_connections = 1;
  policy.dispatch.prefer_new_connection = true;
  policy.reject_response = true;
  peer_ptr caller = connect_caller (GET_A);
  peer_ptr first = wait_for_request (0, "\r\n\r\n");
  first->send_all ("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
  peer_ptr second = wait_for_request (1, "\r\n\r\n");
  ASSERT_NE (second, nullptr);
  EXPECT_EQ (upstream_pool_connection_count (pool.get (), server.address.c_str ()), 1);
  EXPECT_TRUE (wait_until ([&] { return first->ended; }));
  policy.reject_response = false;
  second->send_all (OK_AB);
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
  caller->input.clear ();
  caller->send_all (GET_A);
  wait_for_request (2, "\r\n\r\n")->send_all (OK_AB);
  ASSERT_TRUE (wait_until_received (caller, "\r\n\r\nab"));
  EXPECT_EQ (upstream_pool_connection_count (pool.get (), server.address.c_str ()), 1);
}

// Guards against more connections to a target than allowed, and against requests that are never
// sent.
TEST_F (Proxy, ConnectionLimitOfATarget)
{
  policy.dispatch.max_connections = 2;
  for (int i = 0; i < 5; i++)
    connect_caller (GET_A);
  size_t answered = 0;
  ASSERT_TRUE (wait_until ([&] {
    for (const peer_ptr &peer : server.peers)
      {
        if (!peer->received ("\r\n\r\n"))
          continue;
        peer->input.clear ();
        peer->send_all (OK_AB);
        answered++;
      }
    return answered == 5;
  }));
  EXPECT_TRUE (wait_until_finished (5));
  EXPECT_EQ (server.peers.size (), 2u);
}
