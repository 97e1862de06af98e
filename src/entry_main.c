#include "entry_options.h"
#include "entry_tasks.h"
#include "program.h"

static entry_tasks_t tasks;

static bool
start (GMainLoop **main_loop, anv_error_t *err)
{
  bool started = entry_tasks_start (&tasks, err);
  *main_loop = tasks.main_loop;
  return started;
}

static void
terminate (void)
{
  entry_tasks_drain (&tasks);
}

static bool
has_failed (void)
{
  return tasks.failed;
}

static void
stop (void)
{
  entry_tasks_stop (&tasks);
}

int
main (int argc, char **argv)
{
  const program_t program = {
    .table = &entry_option_table,
    .check_options = entry_options_check,
    .log_level = &entry_options.log_level,
    .start = start,
    .terminate = terminate,
    .has_failed = has_failed,
    .stop = stop,
  };
  return program_run (&program, argc, argv);
}
