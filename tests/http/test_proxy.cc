#include "proxy_fixture.h"

// Guards against a response that is not passed on unchanged, and connections that are not reused.
TEST_F (Proxy, KeepAliveOnBothSides)
{
  peer_ptr caller = call (GET_A GET_A);
  for (size_t i = 1; i <= 2; i++)
    {
      ASSERT_TRUE (
          until ([&] { return !server.peers.empty () && server.peers[0]->count ("GET /a") == i; }));
      server.peers[0]->say (OK_AB);
      ASSERT_TRUE (until ([&] { return caller->count ("\r\n\r\nab") == i; }));
    }
  EXPECT_EQ (server.peers.size (), 1u);
  EXPECT_EQ (policy.story (), "begin first_byte response:200 ended:complete finished "
                              "begin first_byte response:200 ended:complete finished");
  EXPECT_FALSE (caller->ended);
}

// Guards against wrong forwarding fields, and against hop-by-hop fields that are passed on.
TEST_F (Proxy, RequestHeadIsRewritten)
{
  http_headers_t extra;
  http_headers_init (&extra);
  http_headers_append (&extra, "X-Extra", "1");
  policy.dispatch.extra_headers = &extra;
  call ("GET /a?b HTTP/1.1\r\nHost: crew\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Forwarded-For: "
        "10.0.0.9\r\nX-Forwarded-Proto: https\r\nAnvillb-Deadline-Ms: 15000\r\nAnvillb-Hop: 1\r\n"
        "traceparent: 00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01\r\n\r\n");
  peer_ptr peer = served (0, "\r\n\r\n");
  EXPECT_TRUE (peer->has ("GET /a?b HTTP/1.1\r\nHost: crew\r\n"));
  EXPECT_TRUE (peer->has ("X-Forwarded-For: 10.0.0.9, 127.0.0.1\r\n"));
  EXPECT_EQ (peer->count ("X-Forwarded-For"), 1u);
  EXPECT_TRUE (peer->has ("Via: 1.1 anvillb\r\n"));
  EXPECT_TRUE (peer->has ("X-Extra: 1\r\n"));
  EXPECT_FALSE (peer->has ("X-Hop"));
  EXPECT_FALSE (peer->has ("Anvillb-Hop"));
  EXPECT_FALSE (peer->has ("Connection"));
  EXPECT_TRUE (peer->has ("traceparent: 00-4bf92f3577b34da6a3ce929d0e0e4736-"));
  EXPECT_FALSE (peer->has ("00f067aa0ba902b7"));
  size_t at = peer->in.find ("Anvillb-Deadline-Ms: ");
  ASSERT_NE (at, std::string::npos);
  int left_ms = atoi (peer->in.c_str () + at + strlen ("Anvillb-Deadline-Ms: "));
  EXPECT_LT (left_ms, 15000);
  EXPECT_EQ (peer->count ("Anvillb-Deadline-Ms"), 1u);
  http_headers_destroy (&extra);
}

// Guards against a response whose end the caller misjudges after the framing was changed.
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
      peer_ptr caller = call (item.request);
      ASSERT_TRUE (until ([&] {
        for (const peer_ptr &peer : server.peers)
          if (peer->fd >= 0 && peer->has ("/a HTTP"))
            return true;
        return false;
      }));
      for (const peer_ptr &peer : server.peers)
        {
          if (peer->fd < 0 || !peer->has ("/a HTTP"))
            continue;
          peer->in.clear ();
          peer->say (item.response);
          if (item.close)
            peer->shut ();
        }
      EXPECT_TRUE (until_received (caller, item.expected)) << item.response << caller->in;
      EXPECT_TRUE (until_finished (++finished));
      EXPECT_TRUE (until ([&] { return caller->ended || !item.ends; })) << item.response;
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
      peer_ptr caller = call (GET_A);
      peer_ptr peer = served (index++, "\r\n\r\n");
      peer->say (response[0]);
      ASSERT_TRUE (until_received (caller, "ab"));
      peer->say (response[1]);
      peer->shut ();
      EXPECT_TRUE (until ([&] { return caller->reset || caller->ended; }));
      EXPECT_TRUE (caller->reset) << response[0] << response[1];
      EXPECT_FALSE (caller->has ("0\r\n\r\n"));
    }
}

// Guards against a response without a length that is cut by a reset and ends cleanly.
TEST_F (Proxy, ResetBeforeCloseDelimitedEnd)
{
  peer_ptr caller = call ("GET /a HTTP/1.0\r\nHost: crew\r\n\r\n");
  peer_ptr peer = served (0, "\r\n\r\n");
  peer->say ("HTTP/1.1 200 OK\r\n\r\nab");
  ASSERT_TRUE (until_received (caller, "ab"));
  peer->abort ();
  EXPECT_TRUE (until ([&] { return caller->reset || caller->ended; }));
  EXPECT_TRUE (caller->reset);
}

// Guards against invalid responses that are passed on, and against "not run" after bytes were sent.
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
      policy.lie_not_run = index % 2 == 1;
      peer_ptr caller = call (GET_A);
      peer_ptr peer = served (index++, "\r\n\r\n");
      peer->say (response);
      peer->shut ();
      EXPECT_TRUE (until_received (caller, "Anvillb-Outcome: unknown\r\n")) << response;
      EXPECT_TRUE (caller->has (policy.lie_not_run ? "HTTP/1.1 503" : "HTTP/1.1 502"));
      EXPECT_FALSE (caller->has ("Anvillb-Not-Run")) << response;
    }
}

// Guards against a backend server whose fields claim what only the system can know.
TEST_F (Proxy, MarkersOfBackendServersAreRemoved)
{
  peer_ptr caller = call (GET_A);
  served (0, "\r\n\r\n")
      ->say ("HTTP/1.1 500 Error\r\nAnvillb-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE (until_received (caller, "\r\n\r\n"));
  EXPECT_FALSE (caller->has ("Anvillb-Not-Run"));
}

// Guards against a missing "not run" when no connection was made.
TEST_F (Proxy, ConnectFailureWasNotRun)
{
  close (server.fd);
  server.fd = -1;
  peer_ptr caller = call (GET_A);
  ASSERT_TRUE (until_received (caller, "\r\n\r\n"));
  EXPECT_TRUE (caller->has ("HTTP/1.1 502"));
  EXPECT_TRUE (caller->has ("Anvillb-Not-Run: 1\r\n"));
  EXPECT_EQ (policy.story (), "begin ended:connect_failed finished");
}

// Guards against a request that is sent twice when a reused connection is closed by its peer.
TEST_F (Proxy, ReusedConnectionIsNotResent)
{
  peer_ptr caller = call (GET_A);
  peer_ptr peer = served (0, "\r\n\r\n");
  peer->say (OK_AB);
  ASSERT_TRUE (until_received (caller, "\r\n\r\nab"));
  policy.events.clear ();
  caller->in.clear ();
  caller->say ("POST /b HTTP/1.1\r\nHost: crew\r\nContent-Length: 1\r\n\r\nx");
  ASSERT_TRUE (until_received (peer, "POST /b"));
  peer->abort ();
  ASSERT_TRUE (until_received (caller, "\r\n\r\n"));
  EXPECT_TRUE (caller->has ("Anvillb-Outcome: unknown"));
  EXPECT_TRUE (policy.saw ("ended:closed_reused"));
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
  peer_ptr caller = call (GET_A);
  peer_ptr late = served (0, "\r\n\r\n");
  ASSERT_TRUE (until ([&] { return !other.peers.empty () && other.peers[0]->has ("\r\n\r\n"); }));
  policy.dispatch.attempt_timeout_us = 0;
  other.peers[0]->say (OK_AB);
  late->send_some ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate", 43);
  ASSERT_TRUE (until_received (caller, "\r\n\r\nab"));
  EXPECT_TRUE (until ([&] { return late->ended || late->reset; }));
  policy.attempt = 0;
  caller->say (GET_A);
  peer_ptr second = served (1, "\r\n\r\n");
  second->say ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ncd");
  ASSERT_TRUE (until_received (caller, "\r\n\r\ncd"));
  EXPECT_FALSE (caller->has ("late"));
}

// Guards against a request that is broken off at a working target when there is no retry for it.
TEST_F (Proxy, LateAttemptGoesOnWithoutARetry)
{
  policy.dispatch.attempt_timeout_us = 20000;
  policy.keep_late = true;
  peer_ptr caller = call (GET_A);
  peer_ptr peer = served (0, "\r\n\r\n");
  ASSERT_TRUE (until ([&] { return policy.saw ("late"); }));
  peer->say (OK_AB);
  ASSERT_TRUE (until_received (caller, "\r\n\r\nab"));
  EXPECT_EQ (policy.story (), "begin first_byte late response:200 ended:complete finished");
}

// Guards against a response of another request, which came late on the connection, taken for the
// response to this one.
TEST_F (Proxy, ResponseToAnotherRequestIsSkipped)
{
  http_dialect_t dialect = http_dialect_native;
  dialect.request_id_header = "Request-Id";
  proxy.options.dialect = &dialect;
  peer_ptr caller = call ("GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: one\r\n\r\n");
  peer_ptr peer = served (0, "\r\n\r\n");
  peer->say ("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 5\r\n\r\nwrong"
             "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 2\r\n\r\nab");
  ASSERT_TRUE (until_received (caller, "\r\n\r\nab"));
  EXPECT_FALSE (caller->has ("wrong"));
}

// Guards against work that goes on at the backend server after the caller has gone.
TEST_F (Proxy, CallerDisconnectClosesUpstream)
{
  peer_ptr caller = call (GET_A);
  peer_ptr peer = served (0, "\r\n\r\n");
  caller->shut ();
  EXPECT_TRUE (until ([&] { return peer->ended || peer->reset; }));
  EXPECT_EQ (policy.story (), "begin first_byte ended:caller_gone finished");
}

// Guards against a queued request that is dispatched after its caller has gone.
TEST_F (Proxy, CallerDisconnectCancelsPending)
{
  policy.hold = true;
  peer_ptr caller = call (GET_A GET_A);
  ASSERT_TRUE (until ([&] { return policy.saw ("begin"); }));
  caller->shut ();
  ASSERT_TRUE (until_finished ());
  EXPECT_EQ (policy.story (), "begin cancelled:0 finished");
}

// Guards against a deadline that is not enforced while the request waits or runs.
TEST_F (Proxy, DeadlineIsEnforced)
{
  const char *request = "GET /a HTTP/1.1\r\nHost: crew\r\nAnvillb-Deadline-Ms: 40\r\n\r\n";
  policy.hold = true;
  peer_ptr waiting = call (request);
  ASSERT_TRUE (until_received (waiting, "\r\n\r\n"));
  EXPECT_TRUE (waiting->has ("HTTP/1.1 504"));
  EXPECT_TRUE (waiting->has ("Anvillb-Not-Run: 1"));
  EXPECT_EQ (policy.story (), "begin cancelled:1 finished");

  policy.hold = false;
  peer_ptr running = call (request);
  peer_ptr peer = served (0, "\r\n\r\n");
  ASSERT_TRUE (until_received (running, "\r\n\r\n"));
  EXPECT_TRUE (running->has ("HTTP/1.1 504"));
  EXPECT_TRUE (running->has ("Anvillb-Outcome: unknown"));
  EXPECT_TRUE (until ([&] { return peer->ended || peer->reset; }));

  peer_ptr expired = call ("GET /a HTTP/1.1\r\nHost: crew\r\nAnvillb-Deadline-Ms: 0\r\n\r\n");
  ASSERT_TRUE (until_received (expired, "Anvillb-Not-Run: 1"));
  EXPECT_EQ (server.peers.size (), 1u);
}

// Guards against a refusal by the backend server that is reported as an unknown outcome.
TEST_F (Proxy, ShedRequestGoesElsewhere)
{
  server_t other;
  pollers.push_back ([&] { other.poll (); });
  policy.targets = { server.address, other.address };
  policy.max_attempts = 2;
  const char *shed = "HTTP/1.1 503 Busy\r\nAnvillb-Shed: 1\r\nRetry-After: 7\r\nContent-Length: "
                     "2\r\n\r\nno";
  peer_ptr caller = call ("POST /a HTTP/1.1\r\nHost: crew\r\nContent-Length: 3\r\n\r\nabc");
  served (0, "\r\n\r\nabc")->say (shed);
  ASSERT_TRUE (
      until ([&] { return !other.peers.empty () && other.peers[0]->has ("\r\n\r\nabc"); }));
  other.peers[0]->say (shed);
  ASSERT_TRUE (until_received (caller, "\r\n\r\n"));
  EXPECT_TRUE (caller->has ("HTTP/1.1 503"));
  EXPECT_TRUE (caller->has ("Retry-After: 7\r\n"));
  EXPECT_TRUE (caller->has ("Anvillb-Not-Run: 1"));
  EXPECT_EQ (policy.story (), "begin first_byte ended:shed first_byte ended:shed finished");
}

// Guards against a response that the policy refused but the caller gets.
TEST_F (Proxy, RefusedResponseIsRepeated)
{
  policy.refuse_response = true;
  policy.max_attempts = 2;
  peer_ptr caller = call (GET_A);
  peer_ptr peer = served (0, "\r\n\r\n");
  peer->say (OK_AB);
  ASSERT_TRUE (until ([&] { return peer->count ("GET /a") == 2; }));
  policy.refuse_response = false;
  peer->say ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ncd");
  ASSERT_TRUE (until_received (caller, "\r\n\r\ncd"));
  EXPECT_FALSE (caller->has ("\r\n\r\nab"));
}

// Guards against a captured response that is incomplete or larger than allowed.
TEST_F (Proxy, ResponseIsCapturedUpToTheLimit)
{
  policy.dispatch.max_capture_bytes = 2;
  peer_ptr caller = call (GET_A);
  peer_ptr peer = served (0, "\r\n\r\n");
  peer->say (OK_AB);
  ASSERT_TRUE (until_finished (1));
  EXPECT_EQ (policy.captured, "ab");
  policy.captured.clear ();
  caller->say (GET_A);
  ASSERT_TRUE (until ([&] { return peer->count ("GET /a") == 2; }));
  peer->say ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
  ASSERT_TRUE (until_finished (2));
  EXPECT_EQ (policy.captured, "");
}

// Guards against more connections to a target than allowed, and against requests that wait for
// ever.
TEST_F (Proxy, ConnectionLimitOfATarget)
{
  policy.dispatch.max_connections = 2;
  for (int i = 0; i < 5; i++)
    call (GET_A);
  size_t answered = 0;
  ASSERT_TRUE (until ([&] {
    for (const peer_ptr &peer : server.peers)
      {
        if (!peer->has ("\r\n\r\n"))
          continue;
        peer->in.clear ();
        peer->say (OK_AB);
        answered++;
      }
    return answered == 5;
  }));
  EXPECT_TRUE (until_finished (5));
  EXPECT_EQ (server.peers.size (), 2u);
}
