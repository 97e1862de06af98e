#include "program.h"

#include <glib-unix.h>
#include <signal.h>

#define LOG_MODULE "program"
#include "log.h"

#define EXIT_FAILED 1
#define EXIT_SETTINGS 2

const char *const program_log_levels[] = { "error", "warning", "notice", "info", "debug", NULL };

static gboolean
on_terminate (gpointer data)
{
  const program_t *program = data;
  program->terminate ();
  return G_SOURCE_CONTINUE;
}

static int
run (const program_t *program)
{
  anv_error_t err = { 0 };
  GMainLoop *main_loop = NULL;
  int status = EXIT_FAILED;

  if (!program->start (&main_loop, &err))
    LOG_ERROR ("cannot start error=\"%s\"", err.text);
  else
    {
      g_unix_signal_add (SIGTERM, on_terminate, (gpointer)program);
      g_unix_signal_add (SIGINT, on_terminate, (gpointer)program);
      g_main_loop_run (main_loop);
      status = program->failed () ? EXIT_FAILED : 0;
    }
  program->stop ();
  return status;
}

int
program_run (const program_t *program, int argc, char **argv)
{
  option_result_t result;
  anv_error_t err = { 0 };
  const char *name = program->table->program;

  log_init (name, LOG_LEVEL_INFO);
  if (!option_parse (program->table, argc, argv, &result, &err) || !program->check (&err))
    {
      LOG_ERROR ("%s", err.text);
      return EXIT_SETTINGS;
    }
  log_init (name, LOG_LEVEL_ERROR + (log_level_t)*program->log_level);
  signal (SIGPIPE, SIG_IGN);
  int status = result.check_only ? 0 : run (program);
  option_free (program->table);
  return status;
}
