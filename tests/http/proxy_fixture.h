#pragma once

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

extern "C"
{
#include "caller_listener.h"
#include "proxy_request.h"
}

/* Overall limit of one wait; only a hang reaches it. */
constexpr int64_t WAIT_LIMIT_US = 20 * G_USEC_PER_SEC;

/* Scripted end of a TCP connection. */
struct peer_t
{
  int fd = -1;
  std::string in;
  bool ended = false; /* clean end of data */
  bool reset = false;

  explicit peer_t (int socket_fd) : fd (socket_fd)
  {
    fcntl (fd, F_SETFL, O_NONBLOCK);
  }
  ~peer_t ()
  {
    shut ();
  }
  void
  shut ()
  {
    if (fd >= 0)
      close (fd);
    fd = -1;
  }
  void
  abort ()
  {
    struct linger linger = { 1, 0 };
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof (linger));
    shut ();
  }
  size_t
  send_some (const char *bytes, size_t size)
  {
    ssize_t sent = send (fd, bytes, size, MSG_NOSIGNAL);
    return sent < 0 ? 0 : (size_t)sent;
  }
  void
  say (const std::string &text)
  {
    ASSERT_EQ (send_some (text.data (), text.size ()), text.size ());
  }
  void
  poll ()
  {
    char buffer[65536];
    while (fd >= 0 && !ended && !reset)
      {
        ssize_t size = recv (fd, buffer, sizeof (buffer), 0);
        if (size > 0)
          in.append (buffer, (size_t)size);
        else if (size == 0)
          ended = true;
        else if (errno == ECONNRESET)
          reset = true;
        else
          break;
      }
  }
  bool
  has (const char *text) const
  {
    return in.find (text) != std::string::npos;
  }
  size_t
  count (const char *text) const
  {
    size_t found = 0;
    for (size_t at = in.find (text); at != std::string::npos; at = in.find (text, at + 1))
      found++;
    return found;
  }
};

using peer_ptr = std::shared_ptr<peer_t>;

/* Listening socket of a scripted backend server. */
struct server_t
{
  int fd = -1;
  std::string address;
  std::vector<peer_ptr> peers;

  server_t ()
  {
    fd = socket (AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in name = {};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    socklen_t size = sizeof (name);
    EXPECT_EQ (bind (fd, (struct sockaddr *)&name, size), 0);
    EXPECT_EQ (listen (fd, 64), 0);
    getsockname (fd, (struct sockaddr *)&name, &size);
    fcntl (fd, F_SETFL, O_NONBLOCK);
    address = "127.0.0.1:" + std::to_string (ntohs (name.sin_port));
  }
  ~server_t ()
  {
    if (fd >= 0)
      close (fd);
  }
  void
  poll ()
  {
    int accepted = fd < 0 ? -1 : accept (fd, nullptr, nullptr);
    if (accepted >= 0)
      peers.push_back (std::make_shared<peer_t> (accepted));
    for (const peer_ptr &peer : peers)
      peer->poll ();
  }
};

/* Policy that plays a list of targets, one for each attempt, and records what it is told. */
struct test_policy_t
{
  request_policy_t base;
  std::vector<std::string> events;
  std::vector<std::string> targets; /* of the next attempts; the last one is kept */
  request_dispatch_t dispatch = {};
  bool hold = false;    /* do not answer in begin() */
  size_t read_body = 0; /* not 0: collect the body and answer with its size */
  bool refuse_response = false;
  bool lie_not_run = false; /* answer a failed attempt with not_run */
  size_t attempt = 0;
  size_t max_attempts = 1;
  bool keep_late = false; /* let an attempt go on after its time limit */
  std::string captured;
  proxy_request_t *held = nullptr;

  void
  send (proxy_request_t *request)
  {
    request_dispatch_t options = dispatch;
    std::string target = targets[std::min (attempt, targets.size () - 1)];
    attempt++;
    options.address = target.c_str ();
    proxy_request_dispatch (request, &options);
  }
  bool
  saw (const char *event) const
  {
    for (const std::string &seen : events)
      {
        if (seen == event)
          return true;
      }
    return false;
  }
  std::string
  story () const
  {
    std::string text;
    for (const std::string &event : events)
      text += (text.empty () ? "" : " ") + event;
    return text;
  }
};

inline test_policy_t *
self (request_policy_t *policy)
{
  return (test_policy_t *)policy;
}

inline const request_policy_ops_t test_policy_ops = {
  [] (request_policy_t *policy, proxy_request_t *request, const request_head_t *head) {
    self (policy)->events.push_back ("begin");
    self (policy)->held = request;
    if (self (policy)->read_body > 0)
      proxy_request_read_body (request, self (policy)->read_body);
    else if (!self (policy)->hold)
      self (policy)->send (request);
  },
  [] (request_policy_t *policy, proxy_request_t *request, const char *body, size_t size) {
    std::string text = "got " + std::to_string (size);
    request_response_t response = { 200, nullptr, text.data (), text.size (), false };
    self (policy)->events.push_back ("body");
    proxy_request_respond (request, &response);
  },
  [] (request_policy_t *policy, proxy_request_t *request, cancel_reason_t reason) {
    self (policy)->events.push_back ("cancelled:" + std::to_string (reason));
  },
  [] (request_policy_t *policy, proxy_request_t *request) {
    self (policy)->events.push_back ("first_byte");
  },
  [] (request_policy_t *policy, proxy_request_t *request, int status,
      const http_headers_t *headers) {
    self (policy)->events.push_back ("response:" + std::to_string (status));
    return !self (policy)->refuse_response;
  },
  [] (request_policy_t *policy, proxy_request_t *request, const attempt_result_t *result) {
    test_policy_t *test = self (policy);
    test->events.push_back (std::string ("ended:") + attempt_end_name (result->end));
    if (result->body != nullptr)
      test->captured.assign (result->body, result->body_size);
    if (result->final)
      return;
    request_response_t response = { 503, nullptr, "no", 2, true };
    if (result->can_repeat && test->attempt < test->max_attempts)
      test->send (request);
    else if (test->lie_not_run)
      proxy_request_respond (request, &response);
    else
      proxy_request_fail (request);
  },
  [] (request_policy_t *policy, proxy_request_t *request) {
    self (policy)->events.push_back ("finished");
  },
  [] (request_policy_t *policy, proxy_request_t *request) {
    self (policy)->events.push_back ("late");
    return !self (policy)->keep_late;
  },
};

class Proxy : public ::testing::Test
{
protected:
  io_loop_t *loop = nullptr;
  std::unique_ptr<upstream_pool_t> pool = std::make_unique<upstream_pool_t> ();
  counter_registry_t counters = {};
  rng_t rng = {};
  proxy_t proxy = {};
  caller_listener_t listener = {};
  test_policy_t policy;
  server_t server;
  std::vector<peer_ptr> callers;
  std::vector<std::function<void ()> > pollers;
  int64_t header_timeout_us = WAIT_LIMIT_US;
  int64_t idle_timeout_us = WAIT_LIMIT_US;

  void
  SetUp () override
  {
    start ();
  }

  void
  start ()
  {
    loop = io_loop_new (nullptr);
    counter_registry_init (&counters);
    rng_init (&rng, 1);
    upstream_pool_options_t pool_options = { loop, G_USEC_PER_SEC * 5, WAIT_LIMIT_US };
    upstream_pool_init (pool.get (), &pool_options);
    policy.base.ops = &test_policy_ops;
    policy.dispatch.max_connections = 4;
    policy.targets = { server.address };
    proxy_options_t options = {};
    options.loop = loop;
    options.pool = pool.get ();
    options.policy = &policy.base;
    options.counters = &counters;
    options.rng = &rng;
    options.default_timeout_us = WAIT_LIMIT_US;
    options.max_kept_body_bytes = 65536;
    proxy_init (&proxy, &options);
    caller_listener_options_t listen = {};
    listen.listen = "127.0.0.1:0";
    listen.max_connections = 100;
    listen.counters = &counters;
    listen.conn.loop = loop;
    listen.conn.proxy = &proxy;
    listen.conn.header_timeout_us = header_timeout_us;
    listen.conn.idle_timeout_us = idle_timeout_us;
    caller_listener_init (&listener, &listen, nullptr);
    anv_error_t err = {};
    ASSERT_TRUE (task_start (&listener.task, &err)) << err.text;
  }

  void
  TearDown () override
  {
    caller_listener_destroy (&listener);
    proxy_destroy (&proxy);
    upstream_pool_destroy (pool.get ());
    io_loop_free (loop);
  }

  peer_ptr
  call (const std::string &text)
  {
    int fd = socket (AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in name = {};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    name.sin_port = htons (listener.port);
    EXPECT_EQ (connect (fd, (struct sockaddr *)&name, sizeof (name)), 0);
    peer_ptr caller = std::make_shared<peer_t> (fd);
    callers.push_back (caller);
    caller->say (text);
    return caller;
  }

  void
  turn ()
  {
    g_main_context_iteration (nullptr, FALSE);
    server.poll ();
    for (const peer_ptr &caller : callers)
      caller->poll ();
    for (const auto &poller : pollers)
      poller ();
  }

  /* Runs the main loop until CONDITION holds. */
  bool
  until (const std::function<bool ()> &condition)
  {
    int64_t limit_us = g_get_monotonic_time () + WAIT_LIMIT_US;
    while (!condition () && g_get_monotonic_time () < limit_us)
      turn ();
    return condition ();
  }

  bool
  until_received (const peer_ptr &peer, const char *text)
  {
    return until ([&] { return peer->has (text); });
  }

  /* Returns the backend server's connection number INDEX after it received TEXT. */
  peer_ptr
  served (size_t index, const char *text)
  {
    EXPECT_TRUE (until ([&] {
      return server.peers.size () > index && server.peers[index]->has (text);
    })) << text;
    return index < server.peers.size () ? server.peers[index] : nullptr;
  }

  bool
  until_finished (size_t count = 1)
  {
    return until ([&] {
      size_t finished = 0;
      for (const std::string &event : policy.events)
        finished += event == "finished";
      return finished >= count;
    });
  }
};

#define GET_A "GET /a HTTP/1.1\r\nHost: crew\r\n\r\n"
#define OK_AB "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
