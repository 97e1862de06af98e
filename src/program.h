#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "log.h"
#include "option.h"

/* program - life of a daemon: settings, start, main loop, SIGTERM, stop. */

typedef struct
{
  const option_table_t *table;
  /* Checks what concerns several settings. Returns false with an error. */
  bool (*check) (anv_error_t *err);
  log_output_t log_output;
  const int64_t *log_level; /* index in PROGRAM_LOG_LEVELS, set by the table */
  /* Starts everything and stores the main loop. */
  bool (*start) (GMainLoop **main_loop, anv_error_t *err);
  void (*terminate) (void); /* SIGTERM or SIGINT arrived */
  /* SIGHUP arrived, or the settings file has changed; NULL if the program does not reload. */
  void (*reload) (void);
  bool (*failed) (void); /* whether the main loop ended because of a failure */
  void (*stop) (void);   /* stops and frees everything, also after a failed start */
} program_t;

/* Choices of the setting for the least urgent level that is logged. */
extern const char *const program_log_levels[];

/* Returns the exit status: 0, 1 after a failure, 2 for wrong settings. */
int program_run (const program_t *program, int argc, char **argv);
