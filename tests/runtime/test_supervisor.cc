#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "log.h"
#include "supervisor.h"
}

namespace
{
std::string events;

struct worker_t
{
  task_t task;
  const char *name;
  bool refuse_start;
};

bool
worker_start (task_t *task, anv_error_t *err)
{
  worker_t *worker = (worker_t *)task;
  events += std::string ("+") + worker->name;
  if (worker->refuse_start)
    anv_error_set (err, ANV_ERROR_LINK, 1, "address in use");
  return !worker->refuse_start;
}

void
worker_receive (task_t *task, const message_t *message)
{
  events += "m" + std::to_string (message->type);
}

void
worker_stop (task_t *task)
{
  events += std::string ("-") + ((worker_t *)task)->name;
}

const task_ops_t worker_ops = { "worker", worker_start, worker_receive, worker_stop };

void
free_message (message_t *message)
{
  g_free (message);
}

void
post (task_t *task, int type)
{
  message_t *message = g_new0 (message_t, 1);
  message->type = type;
  message->destroy = free_message;
  task_post (task, message);
}

void
count_give_up (void *data, const anv_error_t *err)
{
  ++*(int *)data;
}

class Supervisor : public ::testing::Test
{
protected:
  supervisor_t supervisor;
  worker_t a = { {}, "a", false };
  worker_t b = { {}, "b", false };
  int give_ups = 0;

  void
  SetUp () override
  {
    events.clear ();
    log_init ("test", LOG_LEVEL_ERROR);
    supervisor_options_t options = {};
    options.max_restarts = 2;
    options.restart_window_us = 3600LL * 1000 * 1000;
    options.on_give_up = count_give_up;
    options.data = &give_ups;
    supervisor_init (&supervisor, &options);
    task_init (&a.task, &worker_ops, nullptr);
    task_init (&b.task, &worker_ops, nullptr);
    supervisor_add (&supervisor, &a.task);
    supervisor_add (&supervisor, &b.task);
  }

  void
  TearDown () override
  {
    supervisor_destroy (&supervisor);
    task_destroy (&a.task);
    task_destroy (&b.task);
  }

  void
  run ()
  {
    while (g_main_context_iteration (nullptr, FALSE))
      ;
  }

  void
  fail (worker_t *worker)
  {
    anv_error_t err = {};
    anv_error_set (&err, ANV_ERROR_LINK, 2, "socket closed");
    task_fail (&worker->task, &err);
    run ();
  }
};
}

// Guards against a wrong order of start and stop: later tasks use earlier ones.
TEST_F (Supervisor, StopsInReverseOrder)
{
  ASSERT_TRUE (supervisor_start (&supervisor, nullptr));
  supervisor_stop (&supervisor);
  EXPECT_EQ (events, "+a+b-b-a");
}

// Guards against tasks left running after a later one could not start.
TEST_F (Supervisor, FailedStartStopsTheOthers)
{
  anv_error_t err = {};
  b.refuse_start = true;
  EXPECT_FALSE (supervisor_start (&supervisor, &err));
  EXPECT_STREQ (err.text, "cannot start worker: address in use");
  EXPECT_EQ (events, "+a+b-b-a");
}

// Guards against a failure of one task that restarts others or is never restarted.
TEST_F (Supervisor, RestartsOnlyTheFailedTask)
{
  ASSERT_TRUE (supervisor_start (&supervisor, nullptr));
  fail (&a);
  EXPECT_EQ (events, "+a+b-a+a");
  EXPECT_EQ (supervisor_restart_count (&supervisor, &a.task), 1);
  EXPECT_EQ (supervisor_restart_count (&supervisor, &b.task), 0);
}

// Guards against an endless restart loop.
TEST_F (Supervisor, GivesUpAfterTooManyRestarts)
{
  ASSERT_TRUE (supervisor_start (&supervisor, nullptr));
  for (int i = 0; i < 3; i++)
    fail (&a);
  EXPECT_EQ (supervisor_restart_count (&supervisor, &a.task), 2);
  EXPECT_EQ (give_ups, 1);
}

// Guards against lost or reordered messages across a restart.
TEST_F (Supervisor, MessagesSurviveRestart)
{
  ASSERT_TRUE (supervisor_start (&supervisor, nullptr));
  post (&a.task, 1);
  post (&a.task, 2);
  run ();
  task_stop (&a.task);
  post (&a.task, 3);
  run ();
  ASSERT_TRUE (task_start (&a.task, nullptr));
  run ();
  EXPECT_EQ (events, "+a+bm1m2-a+am3");
}
