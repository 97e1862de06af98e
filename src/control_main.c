#include "control_options.h"
#include "control_tasks.h"
#include "program.h"

static control_tasks_t tasks;

static bool
start (GMainLoop **main_loop, anv_error_t *err)
{
  bool started = control_tasks_start (&tasks, err);
  *main_loop = tasks.main_loop;
  return started;
}

static void
terminate (void)
{
  control_tasks_drain (&tasks);
}

static bool
has_failed (void)
{
  return tasks.failed;
}

static void
stop (void)
{
  control_tasks_stop (&tasks);
}

int
main (int argc, char **argv)
{
  const program_t program = {
    .table = &control_option_table,
    .check_options = control_options_check,
    .log_level = &control_options.log_level,
    .start = start,
    .terminate = terminate,
    .has_failed = has_failed,
    .stop = stop,
  };
  return program_run (&program, argc, argv);
}
