#include "proxy_fixture.h"

namespace
{
/* The bound is a half of it. */
constexpr size_t PROCESS_BYTES = 1024 * 1024;
constexpr size_t LARGE_BYTES = 200000;

std::string
post_of (size_t size)
{
  return "POST /a HTTP/1.1\r\nHost: crew\r\nContent-Length: " + std::to_string (size) + "\r\n\r\n";
}
}

class ProxyMemory : public Proxy
{
protected:
  void
  SetUp () override
  {
    process_bytes = PROCESS_BYTES;
    start_proxy ();
    policy.dispatch.max_connections = 20;
  }
};

class ProxyTargetBound : public Proxy
{
protected:
  void
  SetUp () override
  {
    max_target_request_bytes = LARGE_BYTES;
    start_proxy ();
  }
};

// Guards against a request that is accepted, or of which a target sees something, although there is
// no memory for it, and against a refusal without a time to come back.
TEST_F (ProxyMemory, RequestsAreRefusedAtTheBound)
{
  memory.budget.held_bytes += PROCESS_BYTES / 2;
  peer_ptr caller = connect_caller (GET_A);
  ASSERT_TRUE (wait_until_received (caller, "HTTP/1.1 503"));
  EXPECT_TRUE (caller->received ("Retry-After: "));
  EXPECT_TRUE (caller->received ("Anvillb-Not-Run: 1"));
  EXPECT_TRUE (server.peers.empty ());
  EXPECT_EQ (proxy.counters.refused_for_memory.value, 1);
  memory.budget.held_bytes -= PROCESS_BYTES / 2;
  connect_caller (GET_A);
  EXPECT_NE (wait_for_request (0, "\r\n\r\n"), nullptr);
}

// Guards against callers that do not read and take the memory of one that does.
TEST_F (ProxyMemory, SlowReadersCloseFirst)
{
  peer_ptr reading = connect_caller (GET_A);
  peer_ptr source = wait_for_request (0, "\r\n\r\n");
  source->send_all ("HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n");
  std::string block (4096, 'x');
  pollers.push_back ([&] { source->send_some (block.data (), block.size ()); });
  std::string head
      = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string (LARGE_BYTES) + "\r\n\r\n";
  std::vector<peer_ptr> slow;
  for (size_t i = 1; i < 4; i++)
    {
      slow.push_back (connect_caller (GET_A));
      callers.pop_back (); /* it does not read */
      wait_for_request (i, "\r\n\r\n");
    }
  for (size_t i = 1; i < 4; i++)
    server.peers[i]->send_all (head + std::string (LARGE_BYTES, 'x'));
  EXPECT_TRUE (wait_until ([&] { return memory.closed_unread.value > 0; }));
  EXPECT_TRUE (wait_until ([&] { return memory_budget_level (&memory.budget) < MEMORY_FULL; }));
  EXPECT_FALSE (reading->reset);
  size_t received = reading->input.size ();
  EXPECT_TRUE (wait_until ([&] { return reading->input.size () > received; }));
}

// Guards against a request that may have run and is answered as if it had not.
TEST_F (ProxyMemory, UnreadUploadIsAnswered502)
{
  peer_ptr caller = connect_caller (post_of (1000000000));
  peer_ptr target = wait_for_request (0, "\r\n\r\n");
  server.peers.clear (); /* the target stops reading */
  std::string block (4096, 'x');
  ASSERT_TRUE (wait_until ([&] {
    caller->send_some (block.data (), block.size ());
    return caller->received ("HTTP/1.1 502");
  }));
  EXPECT_TRUE (policy.has_event ("ended:memory"));
}

// Guards against 502 for a request of which nothing was sent.
TEST_F (ProxyMemory, WaitingRequestIsAnswered503)
{
  policy.postpone_decision = true;
  peer_ptr caller = connect_caller (GET_A);
  ASSERT_TRUE (wait_until ([&] { return proxy_in_flight_count (&proxy) == 1; }));
  caller_conn_close_for_memory (CONTAINER_OF (list_first (&listener.conns), caller_conn_t, node));
  ASSERT_TRUE (wait_until_received (caller, "HTTP/1.1 503"));
  EXPECT_TRUE (caller->received ("Retry-After: "));
}

// Guards against a target that holds more request bytes than its bound, and against uploads that
// wait for each other for ever: the oldest goes on, and the next one after its end.
TEST_F (ProxyTargetBound, RequestBytesAtOneTargetAreBounded)
{
  peer_ptr first = connect_caller (post_of (LARGE_BYTES * 2));
  peer_ptr first_target = wait_for_request (0, "\r\n\r\n");
  peer_ptr second = connect_caller (post_of (LARGE_BYTES * 2));
  peer_ptr second_target = wait_for_request (1, "\r\n\r\n");
  size_t sent = 0;
  std::string body (LARGE_BYTES * 2, 'x');
  ASSERT_TRUE (wait_until ([&] {
    sent += first->send_some (body.data (), body.size () - sent);
    return first_target->input.size () > body.size ();
  }));
  for (int blocked_count = 0; blocked_count < 1000; blocked_count++)
    {
      if (second->send_some (body.data (), 4096) > 0)
        blocked_count = 0;
      run_iteration ();
    }
  EXPECT_LT (second_target->input.size (), LARGE_BYTES);
  first_target->send_all (OK_AB);
  ASSERT_TRUE (wait_until ([&] {
    second->send_some (body.data (), 4096);
    return second_target->input.size () > body.size ();
  }));
}
