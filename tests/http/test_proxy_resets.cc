// Backend servers that reset the connection while a request is still being written, and malformed
// responses. The proxy does not run between the steps of one moment, as if it had been stopped.
#include "proxy_fixture.h"

namespace
{
const std::string UPLOAD_HEAD = "POST /a HTTP/1.1\r\nHost: crew\r\nContent-Length: 4000000\r\n\r\n";
const std::string PART (65536, 'x');

class ProxyResets : public Proxy
{
protected:
  /* Sends the start of an upload, and lets the backend server send RESPONSE and reset the
   * connection while the next bytes arrive. */
  peer_ptr
  reset_during_upload (const std::string &response, const std::string &head = UPLOAD_HEAD)
  {
    size_t index = server.peers.size ();
    peer_ptr caller = connect_caller (head + "start");
    peer_ptr peer = wait_for_request (index, "start");
    caller->send_all (PART);
    peer->send_all (response);
    peer->abort_connection ();
    return caller;
  }
  /* Sends the rest of the upload, one part every PAUSE_US, without reading. Then reads until the
   * connection ends. Returns false if sending failed. */
  bool
  finish_upload (const peer_ptr &caller, size_t size, int64_t pause_us = 0)
  {
    callers.clear ();
    size_t sent = PART.size () + 5;
    int64_t next_us = 0;
    bool failed = false;
    wait_until ([&] {
      if (sent == size || failed || g_get_monotonic_time () < next_us)
        return sent == size || failed;
      next_us = g_get_monotonic_time () + pause_us;
      ssize_t got
          = send (caller->fd, PART.data (), std::min (PART.size (), size - sent), MSG_NOSIGNAL);
      sent += got > 0 ? (size_t)got : 0;
      failed = got < 0 && errno != EAGAIN;
      return false;
    });
    callers.push_back (caller);
    EXPECT_TRUE (wait_until ([&] { return caller->ended || caller->reset; }));
    return sent == size;
  }
};

/* Heads of responses that no reader may accept. */
std::vector<std::string>
malformed_heads ()
{
  std::vector<std::string> heads;
  for (const char *status : { "000",
                              "099",
                              "600",
                              "999",
                              "0200",
                              "2000",
                              "20",
                              "2",
                              "",
                              "+200",
                              "-200",
                              "2 0",
                              " 200",
                              "\t200",
                              "200\t",
                              "20\x01",
                              "2\x7f"
                              "0",
                              "2O0",
                              "0x8",
                              "200.",
                              "200,",
                              "20\xff" })
    heads.push_back (std::string ("HTTP/1.1 ") + status + " Status\r\n");
  heads.push_back (std::string ("HTTP/1.1 2\0"
                                "0 Status\r\n",
                                21));
  heads.push_back ("HTTP/1.1\t200 Status\r\n");
  heads.push_back ("HTTP/1.1200 Status\r\n");
  for (const std::string &field :
       { std::string ("X Y: 1"), std::string ("X\tY: 1"), std::string ("X\0Y: 1", 6),
         std::string ("X\x01Y: 1"), std::string ("X\x7fY: 1"), std::string ("X\xffY: 1"),
         std::string ("X : 1"), std::string (": 1"), std::string ("X"), std::string (" X: 1"),
         std::string ("X: 1\rY: 2") })
    heads.push_back ("HTTP/1.1 200 Status\r\n" + field + "\r\n");
  return heads;
}

/* An exchange as probes and calls of the project have it: without ids. */
struct plain_exchange_t
{
  upstream_exchange_t exchange = {};
  std::string end;
};

const upstream_exchange_ops_t plain_ops = {
  /* ready */
  [] (upstream_exchange_t *exchange) {
    upstream_exchange_write (exchange, GET_A, strlen (GET_A));
    exchange->request_sent = true;
  },
  /* written */
  [] (upstream_exchange_t *, size_t) {},
  /* relieved */
  nullptr,
  /* response_owner */
  nullptr,
  /* head */
  [] (upstream_exchange_t *, http_head_t *) {},
  /* body */
  [] (upstream_exchange_t *, const char *, size_t) {},
  /* complete */
  [] (upstream_exchange_t *exchange) { ((plain_exchange_t *)exchange)->end = "complete"; },
  /* failed */
  [] (upstream_exchange_t *exchange, upstream_failure_t failure, const char *) {
    ((plain_exchange_t *)exchange)->end = "failed:" + std::to_string (failure);
  },
};
}

// Guards against a part of a response that looks like the whole: the write of the upload takes the
// error of the socket, and the next read finds the end.
TEST_F (ProxyResets, PartOfAResponseDoesNotLookComplete)
{
  peer_ptr caller = reset_during_upload ("HTTP/1.1 200 OK\r\n\r\n12345678901234567890");
  EXPECT_TRUE (finish_upload (caller, 4000000));
  EXPECT_TRUE (caller->received ("12345678901234567890"));
  EXPECT_FALSE (caller->received ("0\r\n\r\n"));
  EXPECT_TRUE (policy.has_event ("ended:truncated")) << policy.join_events ();
}

// Guards against a response that is lost: the caller still sends when its connection is reset, and
// does not see what was passed on.
TEST_F (ProxyResets, WhatWasPassedOnStaysReadable)
{
  for (const char *response :
       { "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n12345678901234567890",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n28\r\n12345678901234567890" })
    {
      peer_ptr caller = reset_during_upload (response);
      EXPECT_TRUE (finish_upload (caller, 4000000)) << response;
      EXPECT_TRUE (caller->ended) << response;
      EXPECT_TRUE (caller->received ("HTTP/1.1 200"));
      EXPECT_TRUE (caller->received ("12345678901234567890"));
      EXPECT_FALSE (caller->received ("0\r\n\r\n"));
    }
  EXPECT_EQ (server.peers.size (), 2u) << "a request was sent again";
}

// Guards against a reset of the caller's connection while a slow upload goes on after its response.
TEST_F (ProxyResets, SlowUploadGetsA502)
{
  peer_ptr caller = reset_during_upload ("");
  EXPECT_TRUE (finish_upload (caller, 4000000, 50000));
  EXPECT_TRUE (caller->ended);
  EXPECT_TRUE (caller->received ("HTTP/1.1 502"));
  EXPECT_EQ (server.peers.size (), 1u);
}

// Guards against a caller that keeps its connection by sending without end.
TEST_F (ProxyResets, UploadWithoutEndIsCutOff)
{
  peer_ptr caller = reset_during_upload ("", "POST /a HTTP/1.1\r\nHost: crew\r\nContent-Length: "
                                             "100000000000\r\n\r\n");
  size_t sent = 0;
  EXPECT_TRUE (wait_until ([&] {
    sent += caller->send_some (PART.data (), PART.size ());
    return list_first (&listener.conns) == nullptr;
  }));
  EXPECT_TRUE (caller->received ("HTTP/1.1 502"));
  EXPECT_LE (sent, 32u << 20);
}

// Guards against a part that looks complete to a caller for whom the connection ends the response.
TEST_F (ProxyResets, CallerOfVersion10SeesAReset)
{
  peer_ptr caller = reset_during_upload ("HTTP/1.1 200 OK\r\n\r\n12345678901234567890",
                                         "POST /a HTTP/1.0\r\nContent-Length: 70000\r\n\r\n");
  EXPECT_TRUE (wait_until ([&] { return caller->ended || caller->reset; }));
  EXPECT_TRUE (caller->received ("12345678901234567890"));
  EXPECT_TRUE (caller->reset);
}

// Guards against a status or a field that another reader of the response takes for something else.
TEST_F (ProxyResets, MalformedHeadsAreRefused)
{
  policy.dispatch.keep_body = true;
  size_t index = 0;
  for (const std::string &head : malformed_heads ())
    for (size_t attempts : { 1, 2 })
      {
        policy.attempt_count = 0;
        policy.max_attempts = attempts;
        peer_ptr caller = connect_caller (GET_A);
        peer_ptr peer = wait_for_request (index++, "\r\n\r\n");
        ASSERT_NE (peer, nullptr);
        peer->send_all (head + "Content-Length: 0\r\n\r\n");
        if (attempts > 1 && wait_until ([&] { return server.peers.size () > index; }))
          server.peers[index++]->send_all (
              "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab");
        EXPECT_TRUE (wait_until_received (caller, "\r\n\r\n"));
        EXPECT_TRUE (caller->received (attempts > 1 ? "HTTP/1.1 200" : "HTTP/1.1 502")) << head;
      }
}

// Guards against probes and calls of the project that take a malformed or incomplete response for a
// success.
TEST_F (ProxyResets, PlainExchangesFail)
{
  std::vector<std::string> responses = malformed_heads ();
  for (std::string &head : responses)
    head += "Content-Length: 0\r\n\r\n";
  responses.push_back ("HTTP/1.1 200 OK\r\n\r\nab");
  responses.push_back ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab");
  size_t index = 0;
  for (const std::string &response : responses)
    {
      plain_exchange_t plain;
      plain.exchange.ops = &plain_ops;
      list_node_init (&plain.exchange.node);
      upstream_pool_acquire (pool.get (), server.address.c_str (), 4, &plain.exchange);
      peer_ptr peer = wait_for_request (index++, "\r\n\r\n");
      peer->send_all (response);
      peer->abort_connection ();
      if (plain.exchange.conn != nullptr)
        byte_stream_write (&plain.exchange.conn->stream, "x", 1);
      EXPECT_TRUE (wait_until ([&] { return !plain.end.empty (); }));
      EXPECT_EQ (plain.end.substr (0, 7), "failed:") << response;
    }
}
