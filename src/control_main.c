#include <glib-unix.h>
#include <signal.h>

#define LOG_MODULE "control"
#include "control_options.h"
#include "control_tasks.h"
#include "log.h"

#define EXIT_SETTINGS 2

static control_tasks_t tasks;

static gboolean
on_terminate (gpointer data)
{
  control_tasks_t *running = data;
  g_main_loop_quit (running->main_loop);
  return G_SOURCE_CONTINUE;
}

static int
run (void)
{
  anv_error_t err = { 0 };
  int status = 1;

  if (!control_tasks_start (&tasks, &err))
    LOG_ERROR ("cannot start error=\"%s\"", err.text);
  else
    {
      g_unix_signal_add (SIGTERM, on_terminate, &tasks);
      g_unix_signal_add (SIGINT, on_terminate, &tasks);
      g_main_loop_run (tasks.main_loop);
      status = tasks.failed ? 1 : 0;
    }
  control_tasks_stop (&tasks);
  return status;
}

int
main (int argc, char **argv)
{
  option_result_t result;
  anv_error_t err = { 0 };

  log_init (control_option_table.program, LOG_LEVEL_INFO);
  if (!option_parse (&control_option_table, argc, argv, &result, &err)
      || !control_options_check (&err))
    {
      LOG_ERROR ("%s", err.text);
      return EXIT_SETTINGS;
    }
  log_init (control_option_table.program, LOG_LEVEL_ERROR + (log_level_t)control_options.log_level);
  signal (SIGPIPE, SIG_IGN);
  int status = result.check_only ? 0 : run ();
  option_free (&control_option_table);
  return status;
}
