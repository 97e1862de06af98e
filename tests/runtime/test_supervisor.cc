#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "log.h"
#include "supervisor.h"
}

namespace
{
// Starts (+), stops (-) and received messages (m) in their order.
std::string event_log;

struct worker_t
{
  task_t task;
  const char *name;
  bool fail_start;
};

bool
worker_start (task_t *task, anv_error_t *err)
{
  worker_t *worker = (worker_t *)task;
  event_log += std::string ("+") + worker->name;
  if (worker->fail_start)
    anv_error_set (err, ANV_ERROR_LINK, 1, "address in use");
  return !worker->fail_start;
}

void
worker_receive (task_t *task, const message_t *message)
{
  event_log += "m" + std::to_string (message->type);
}

void
worker_stop (task_t *task)
{
  event_log += std::string ("-") + ((worker_t *)task)->name;
}

const task_ops_t worker_ops = { "worker", worker_start, worker_receive, worker_stop };

void
free_message (message_t *message)
{
  g_free (message);
}

void
post_message (task_t *task, int type)
{
  message_t *message = g_new0 (message_t, 1);
  message->type = type;
  message->destroy = free_message;
  task_post (task, message);
}

void
count_restart_limit (void *data, const anv_error_t *err)
{
  ++*(int *)data;
}

class Supervisor : public ::testing::Test
{
protected:
  supervisor_t supervisor;
  worker_t worker_a = { {}, "a", false };
  worker_t worker_b = { {}, "b", false };
  int restart_limit_count = 0;

  void
  SetUp () override
  {
    event_log.clear ();
    log_init ("test", LOG_LEVEL_ERROR);
    supervisor_options_t options = {};
    options.max_restarts = 2;
    options.restart_window_us = 3600LL * 1000 * 1000;
    options.on_restart_limit = count_restart_limit;
    options.data = &restart_limit_count;
    supervisor_init (&supervisor, &options);
    task_init (&worker_a.task, &worker_ops, nullptr);
    task_init (&worker_b.task, &worker_ops, nullptr);
    supervisor_add (&supervisor, &worker_a.task);
    supervisor_add (&supervisor, &worker_b.task);
  }

  void
  TearDown () override
  {
    supervisor_destroy (&supervisor);
    task_destroy (&worker_a.task);
    task_destroy (&worker_b.task);
  }

  void
  run_main_loop ()
  {
    while (g_main_context_iteration (nullptr, FALSE))
      ;
  }

  void
  fail_worker (worker_t *worker)
  {
    anv_error_t err = {};
    anv_error_set (&err, ANV_ERROR_LINK, 2, "socket closed");
    task_fail (&worker->task, &err);
    run_main_loop ();
  }
};
}

// Guards against a wrong order of start and stop: later tasks use earlier ones.
TEST_F (Supervisor, StopsInReverseOrder)
{
  ASSERT_TRUE (supervisor_start (&supervisor, nullptr));
  supervisor_stop (&supervisor);
  EXPECT_EQ (event_log, "+a+b-b-a");
}

// Guards against tasks that are left running after a later one could not start.
TEST_F (Supervisor, FailedStartStopsTheOtherTasks)
{
  anv_error_t err = {};
  worker_b.fail_start = true;
  EXPECT_FALSE (supervisor_start (&supervisor, &err));
  EXPECT_STREQ (err.text, "cannot start worker: address in use");
  EXPECT_EQ (event_log, "+a+b-b-a");
}

// Guards against a failure of one task that restarts others or is never restarted.
TEST_F (Supervisor, RestartsOnlyTheFailedTask)
{
  ASSERT_TRUE (supervisor_start (&supervisor, nullptr));
  fail_worker (&worker_a);
  EXPECT_EQ (event_log, "+a+b-a+a");
  EXPECT_EQ (supervisor_restart_count (&supervisor, &worker_a.task), 1);
  EXPECT_EQ (supervisor_restart_count (&supervisor, &worker_b.task), 0);
}

// Guards against an endless restart loop.
TEST_F (Supervisor, GivesUpAfterTooManyRestarts)
{
  ASSERT_TRUE (supervisor_start (&supervisor, nullptr));
  for (int i = 0; i < 3; i++)
    fail_worker (&worker_a);
  EXPECT_EQ (supervisor_restart_count (&supervisor, &worker_a.task), 2);
  EXPECT_EQ (restart_limit_count, 1);
}

// Guards against lost or reordered messages across a restart.
TEST_F (Supervisor, MessagesSurviveRestart)
{
  ASSERT_TRUE (supervisor_start (&supervisor, nullptr));
  post_message (&worker_a.task, 1);
  post_message (&worker_a.task, 2);
  run_main_loop ();
  task_stop (&worker_a.task);
  post_message (&worker_a.task, 3);
  run_main_loop ();
  ASSERT_TRUE (task_start (&worker_a.task, nullptr));
  run_main_loop ();
  EXPECT_EQ (event_log, "+a+bm1m2-a+am3");
}
