#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "log.h"
#include "option.h"

/* program - life cycle of a daemon: settings, start, main loop, signals, stop. */

typedef struct
{
  const option_table_t *table;
  /* Checks combinations of settings. Returns false with an error. */
  bool (*check_options) (anv_error_t *err);
  log_output_t log_output;
  const int64_t *log_level; /* index in program_log_levels; option_parse() sets it */
  /* Starts all tasks and stores the main loop. Returns false with an error. */
  bool (*start) (GMainLoop **main_loop, anv_error_t *err);
  void (*terminate) (void); /* called on SIGTERM and SIGINT; starts a graceful shutdown */
  /* Called on SIGHUP and when the settings file has changed; NULL if the program cannot reload. */
  void (*reload) (void);
  bool (*has_failed) (void); /* returns whether the main loop ended because of a failure */
  void (*stop) (void);       /* stops all tasks and frees them, also after a failed start */
} program_t;

/* Choices of the setting log-level, most urgent first; ends with NULL. */
extern const char *const program_log_levels[];

/* Runs PROGRAM. Returns the exit status: 0, 1 after a failure, 2 for invalid settings.
 * option_parse() exits the process itself in some cases. */
int program_run (const program_t *program, int argc, char **argv);
