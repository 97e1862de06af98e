#define LOG_MODULE "program"
#include "program.h"

#include <glib-unix.h>
#include <signal.h>
#include <sys/stat.h>

#define EXIT_STATUS_FAILURE 1
#define EXIT_STATUS_SETTINGS 2

/* Interval at which the log buffer is flushed. */
#define LOG_FLUSH_INTERVAL_MS 500

/* Interval at which the settings file is checked for changes that come without a SIGHUP. */
#define SETTINGS_POLL_INTERVAL_S 2

const char *const program_log_levels[] = { "error", "warning", "notice", "info", "debug", NULL };

static gboolean
on_terminate (gpointer data)
{
  const program_t *program = data;
  program->terminate ();
  return G_SOURCE_CONTINUE;
}

/* Metadata of the settings file when it was last checked. */
static struct stat settings_stat;

/* Updates settings_stat. Returns whether the settings file has changed since the last update. */
static bool
update_settings_stat (void)
{
  struct stat current;
  const char *path = option_get_settings_path ();
  if (path == NULL || stat (path, &current) != 0)
    return false;
  bool changed = current.st_ino != settings_stat.st_ino || current.st_size != settings_stat.st_size
                 || current.st_mtim.tv_sec != settings_stat.st_mtim.tv_sec
                 || current.st_mtim.tv_nsec != settings_stat.st_mtim.tv_nsec;
  settings_stat = current;
  return changed;
}

static void
reload (const program_t *program, const char *cause)
{
  LOG_NOTICE ("reload cause=%s", cause);
  program->reload ();
}

static gboolean
on_hangup (gpointer data)
{
  update_settings_stat ();
  reload (data, "signal");
  return G_SOURCE_CONTINUE;
}

static gboolean
on_settings_timer (gpointer data)
{
  if (update_settings_stat ())
    reload (data, "file");
  return G_SOURCE_CONTINUE;
}

static gboolean
on_log_timer (gpointer data)
{
  log_flush ();
  return G_SOURCE_CONTINUE;
}

/* The handlers are called by the main loop, so a signal that arrives during the start takes effect
 * after it. */
static void
handle_signals (const program_t *program)
{
  signal (SIGPIPE, SIG_IGN);
  g_unix_signal_add (SIGTERM, on_terminate, (gpointer)program);
  g_unix_signal_add (SIGINT, on_terminate, (gpointer)program);
  if (program->reload != NULL)
    g_unix_signal_add (SIGHUP, on_hangup, (gpointer)program);
}

static void
watch_settings (const program_t *program)
{
  if (program->reload == NULL)
    return;
  update_settings_stat ();
  if (option_get_settings_path () != NULL)
    g_timeout_add_seconds (SETTINGS_POLL_INTERVAL_S, on_settings_timer, (gpointer)program);
}

static int
run (const program_t *program)
{
  anv_error_t err = { 0 };
  GMainLoop *main_loop = NULL;
  int status = EXIT_STATUS_FAILURE;

  if (!program->start (&main_loop, &err))
    LOG_ERROR ("cannot start error=\"%s\"", err.text);
  else
    {
      watch_settings (program);
      if (program->log_output == LOG_OUTPUT_STDOUT)
        g_timeout_add (LOG_FLUSH_INTERVAL_MS, on_log_timer, NULL);
      g_main_loop_run (main_loop);
      status = program->has_failed () ? EXIT_STATUS_FAILURE : 0;
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

  handle_signals (program);
  log_init (name, LOG_LEVEL_INFO);
  if (!option_parse (program->table, argc, argv, &result, &err) || !program->check_options (&err))
    {
      LOG_ERROR ("%s", err.text);
      return EXIT_STATUS_SETTINGS;
    }
  log_init (name, LOG_LEVEL_ERROR + (log_level_t)*program->log_level);
  log_set_output (program->log_output);
  int status = result.check_only ? 0 : run (program);
  log_flush ();
  option_free (program->table);
  return status;
}
