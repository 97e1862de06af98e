#include <glib-unix.h>
#include <signal.h>
#include <sys/resource.h>

#define LOG_MODULE "entry"
#include "entry_options.h"
#include "entry_tasks.h"
#include "log.h"

#define EXIT_SETTINGS 2

static entry_tasks_t tasks;

static gboolean
on_terminate (gpointer data)
{
  entry_tasks_drain (data);
  return G_SOURCE_CONTINUE;
}

/* Every connection takes a descriptor; the soft limit is often 1024. */
static void
raise_descriptor_limit (void)
{
  struct rlimit limit;
  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  if (setrlimit (RLIMIT_NOFILE, &limit) != 0)
    LOG_WARNING ("cannot raise the limit of file descriptors");
}

static int
run (void)
{
  anv_error_t err = { 0 };
  int status = 1;

  if (!entry_tasks_start (&tasks, &err))
    LOG_ERROR ("cannot start error=\"%s\"", err.text);
  else
    {
      g_unix_signal_add (SIGTERM, on_terminate, &tasks);
      g_unix_signal_add (SIGINT, on_terminate, &tasks);
      g_main_loop_run (tasks.main_loop);
      status = tasks.failed ? 1 : 0;
    }
  entry_tasks_stop (&tasks);
  return status;
}

int
main (int argc, char **argv)
{
  option_result_t result;
  anv_error_t err = { 0 };

  log_init (entry_option_table.program, LOG_LEVEL_INFO);
  if (!option_parse (&entry_option_table, argc, argv, &result, &err) || !entry_options_check (&err))
    {
      LOG_ERROR ("%s", err.text);
      return EXIT_SETTINGS;
    }
  log_init (entry_option_table.program, LOG_LEVEL_ERROR + (log_level_t)entry_options.log_level);
  signal (SIGPIPE, SIG_IGN);
  raise_descriptor_limit ();
  int status = result.check_only ? 0 : run ();
  option_free (&entry_option_table);
  return status;
}
