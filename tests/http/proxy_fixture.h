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

/* Time limit of one wait; only a hang reaches it. */
constexpr int64_t WAIT_LIMIT_US = 20 * G_USEC_PER_SEC;

/* End of a TCP connection that the test controls. */
struct peer_t
{
  int fd = -1;
  std::string input;  /* received bytes */
  bool ended = false; /* clean end of data */
  bool reset = false;

  explicit peer_t (int socket_fd) : fd (socket_fd)
  {
    fcntl (fd, F_SETFL, O_NONBLOCK);
  }
  ~peer_t ()
  {
    close_socket ();
  }
  void
  close_socket ()
  {
    if (fd >= 0)
      close (fd);
    fd = -1;
  }
  /* Closes with a reset. */
  void
  abort_connection ()
  {
    struct linger linger = { 1, 0 };
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof (linger));
    close_socket ();
  }
  /* Sends what the socket takes without blocking; returns the number of bytes. */
  size_t
  send_some (const char *bytes, size_t size)
  {
    ssize_t sent = send (fd, bytes, size, MSG_NOSIGNAL);
    return sent < 0 ? 0 : (size_t)sent;
  }
  void
  send_all (const std::string &text)
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
          input.append (buffer, (size_t)size);
        else if (size == 0)
          ended = true;
        else if (errno == ECONNRESET)
          reset = true;
        else
          break;
      }
  }
  bool
  received (const char *text) const
  {
    return input.find (text) != std::string::npos;
  }
  size_t
  count (const char *text) const
  {
    size_t found = 0;
    for (size_t position = input.find (text); position != std::string::npos;
         position = input.find (text, position + 1))
      found++;
    return found;
  }
};

using peer_ptr = std::shared_ptr<peer_t>;

/* Listening socket of a backend server whose connections the test controls. */
struct server_t
{
  int fd = -1;
  std::string address;
  std::vector<peer_ptr> peers;

  server_t ()
  {
    fd = socket (AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in socket_address = {};
    socket_address.sin_family = AF_INET;
    socket_address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    socklen_t size = sizeof (socket_address);
    EXPECT_EQ (bind (fd, (struct sockaddr *)&socket_address, size), 0);
    EXPECT_EQ (listen (fd, 64), 0);
    getsockname (fd, (struct sockaddr *)&socket_address, &size);
    fcntl (fd, F_SETFL, O_NONBLOCK);
    address = "127.0.0.1:" + std::to_string (ntohs (socket_address.sin_port));
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

/* Policy that takes the targets of successive attempts from a list and records the calls of its
 * operations. */
struct test_policy_t
{
  request_policy_t base;
  std::vector<std::string> events;
  std::vector<std::string> targets; /* address of each attempt; the last one is repeated */
  request_dispatch_t dispatch = {};
  bool postpone_decision = false; /* begin() makes no decision, so the request waits */
  /* If not 0, a request body of at most this size is read, and the response tells its size. */
  size_t max_read_bytes = 0;
  bool reject_response = false; /* accept_response() returns false */
  bool false_not_run = false;   /* respond to a failed attempt with reports_outcome set */
  size_t attempt_count = 0;     /* attempts so far */
  size_t max_attempts = 1;
  bool continue_late_attempt = false; /* an attempt continues after its time limit */
  bool hold_back = false;             /* may_send() returns false */
  std::string captured_body;
  proxy_request_t *last_request = nullptr;

  /* Dispatches the next attempt. */
  void
  send (proxy_request_t *request)
  {
    request_dispatch_t options = dispatch;
    std::string target = targets[std::min (attempt_count, targets.size () - 1)];
    attempt_count++;
    options.address = target.c_str ();
    proxy_request_dispatch (request, &options);
  }
  bool
  has_event (const char *event) const
  {
    for (const std::string &recorded : events)
      {
        if (recorded == event)
          return true;
      }
    return false;
  }
  std::string
  join_events () const
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
  /* begin */
  [] (request_policy_t *policy, proxy_request_t *request, const request_head_t *head) {
    self (policy)->events.push_back ("begin");
    self (policy)->last_request = request;
    if (self (policy)->max_read_bytes > 0)
      proxy_request_read_body (request, self (policy)->max_read_bytes);
    else if (!self (policy)->postpone_decision)
      self (policy)->send (request);
  },
  /* body */
  [] (request_policy_t *policy, proxy_request_t *request, const char *body, size_t size) {
    std::string text = "got " + std::to_string (size);
    request_response_t response = { 200, nullptr, text.data (), text.size (), false };
    self (policy)->events.push_back ("body");
    proxy_request_respond (request, &response);
  },
  /* cancelled */
  [] (request_policy_t *policy, proxy_request_t *request, cancel_reason_t reason) {
    self (policy)->events.push_back ("cancelled:" + std::to_string (reason));
  },
  /* first_byte_written */
  [] (request_policy_t *policy, proxy_request_t *request) {
    self (policy)->events.push_back ("first_byte");
  },
  /* accept_response */
  [] (request_policy_t *policy, proxy_request_t *request, int status,
      const http_headers_t *headers) {
    self (policy)->events.push_back ("response:" + std::to_string (status));
    return !self (policy)->reject_response;
  },
  /* ended */
  [] (request_policy_t *policy, proxy_request_t *request, const attempt_result_t *result) {
    test_policy_t *test = self (policy);
    test->events.push_back (std::string ("ended:") + attempt_end_name (result->end));
    if (result->body != nullptr)
      test->captured_body.assign (result->body, result->body_size);
    if (result->final)
      return;
    request_response_t response = { 503, nullptr, "no", 2, true };
    if (result->can_repeat && test->attempt_count < test->max_attempts)
      test->send (request);
    else if (test->false_not_run)
      proxy_request_respond (request, &response);
    else
      proxy_request_fail (request);
  },
  /* finished */
  [] (request_policy_t *policy, proxy_request_t *request) {
    self (policy)->events.push_back ("finished");
  },
  /* attempt_timed_out */
  [] (request_policy_t *policy, proxy_request_t *request) {
    self (policy)->events.push_back ("late");
    return !self (policy)->continue_late_attempt;
  },
  /* response_head */
  nullptr,
  /* may_send */
  [] (request_policy_t *policy, proxy_request_t *request) { return !self (policy)->hold_back; },
};

class Proxy : public ::testing::Test
{
protected:
  io_loop_t *loop = nullptr;
  std::unique_ptr<upstream_pool_t> pool = std::make_unique<upstream_pool_t> ();
  metric_registry_t counters = {};
  rng_t rng = {};
  proxy_t proxy = {};
  caller_listener_t listener = {};
  size_t process_bytes = 0;            /* bound for memory_budget; 0 for none */
  size_t max_target_request_bytes = 0; /* see upstream_pool_options_t */
  caller_memory_t memory = {};
  test_policy_t policy;
  server_t server;
  std::vector<peer_ptr> callers;
  std::vector<std::function<void ()> > pollers;
  int64_t header_timeout_us = WAIT_LIMIT_US;
  int64_t idle_timeout_us = WAIT_LIMIT_US;

  void
  SetUp () override
  {
    start_proxy ();
  }

  void
  start_proxy ()
  {
    loop = io_loop_new (nullptr);
    metric_registry_init (&counters);
    rng_init (&rng, 1);
    upstream_pool_options_t pool_options = { loop, G_USEC_PER_SEC * 5, WAIT_LIMIT_US };
    pool_options.max_target_request_bytes = max_target_request_bytes;
    upstream_pool_init (pool.get (), &pool_options);
    caller_memory_options_t memory_options = { loop, process_bytes, &counters };
    if (process_bytes > 0)
      caller_memory_init (&memory, &memory_options);
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
    options.memory = process_bytes > 0 ? &memory.budget : nullptr;
    proxy_init (&proxy, &options);
    caller_listener_options_t listen = {};
    listen.listen = "127.0.0.1:0";
    listen.max_connections = 100;
    listen.counters = &counters;
    listen.conn.loop = loop;
    listen.conn.proxy = &proxy;
    listen.conn.memory = process_bytes > 0 ? &memory : nullptr;
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
    if (process_bytes > 0)
      caller_memory_destroy (&memory);
    proxy_destroy (&proxy);
    upstream_pool_destroy (pool.get ());
    io_loop_free (loop);
  }

  /* Opens a connection to the proxy and sends TEXT. */
  peer_ptr
  connect_caller (const std::string &text)
  {
    int fd = socket (AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in socket_address = {};
    socket_address.sin_family = AF_INET;
    socket_address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    socket_address.sin_port = htons (listener.port);
    EXPECT_EQ (connect (fd, (struct sockaddr *)&socket_address, sizeof (socket_address)), 0);
    peer_ptr caller = std::make_shared<peer_t> (fd);
    callers.push_back (caller);
    caller->send_all (text);
    return caller;
  }

  void
  run_iteration ()
  {
    g_main_context_iteration (nullptr, FALSE);
    server.poll ();
    for (const peer_ptr &caller : callers)
      caller->poll ();
    for (const auto &poller : pollers)
      poller ();
  }

  /* Runs the main loop until CONDITION holds. Returns false at the time limit. */
  bool
  wait_until (const std::function<bool ()> &condition)
  {
    int64_t wait_end_us = g_get_monotonic_time () + WAIT_LIMIT_US;
    while (!condition () && g_get_monotonic_time () < wait_end_us)
      run_iteration ();
    return condition ();
  }

  bool
  wait_until_received (const peer_ptr &peer, const char *text)
  {
    return wait_until ([&] { return peer->received (text); });
  }

  /* Waits until connection INDEX of the backend server has received TEXT, and returns it. */
  peer_ptr
  wait_for_request (size_t index, const char *text)
  {
    EXPECT_TRUE (wait_until ([&] {
      return server.peers.size () > index && server.peers[index]->received (text);
    })) << text;
    return index < server.peers.size () ? server.peers[index] : nullptr;
  }

  bool
  wait_until_finished (size_t count = 1)
  {
    return wait_until ([&] {
      size_t finished = 0;
      for (const std::string &event : policy.events)
        finished += event == "finished";
      return finished >= count;
    });
  }
};

#define GET_A "GET /a HTTP/1.1\r\nHost: crew\r\n\r\n"
#define OK_AB "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
