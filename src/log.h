#pragma once

#include <stdbool.h>

/* log - syslog-style lines on standard error, or on standard output without blocking.
 *
 * A line reads "<PRIORITY>TIMESTAMP PROGRAM[PID] MODULE: message key=value ...", where PRIORITY is
 * the number that syslog(3) gives the level. Define LOG_MODULE before including this header. Values
 * that come from outside go through log_quote(), so that one event stays one line. */

typedef enum
{
  LOG_LEVEL_ERROR = 3,
  LOG_LEVEL_WARNING = 4,
  LOG_LEVEL_NOTICE = 5,
  LOG_LEVEL_INFO = 6,
  LOG_LEVEL_DEBUG = 7,
} log_level_t;

/* Lines of the levels info and debug that are written in a second to standard output. */
#define LOG_LINES_PER_S 400

typedef enum
{
  LOG_OUTPUT_STDERR, /* each line at once */
  /* Collected, and never blocking: lines that are above the rate, or that the reader does not take,
   * are counted, and the count is written later. */
  LOG_OUTPUT_STDOUT,
} log_output_t;

void log_set_output (log_output_t output);

/* Writes what was collected, as far as the reader takes it. */
void log_flush (void);

/* Sets the program name and the least urgent level that is written. */
void log_init (const char *program, log_level_t level);

/* Parses "error", "warning", "notice", "info" or "debug". Returns whether TEXT is one of them. */
bool log_level_parse (const char *text, log_level_t *level);

void log_write (log_level_t level, const char *module, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Copies TEXT to BUFFER in double quotes; control characters, quotes and backslashes are escaped
 * and text that does not fit is cut. Returns BUFFER. */
const char *log_quote (const char *text, char *buffer, unsigned long size);

#ifdef LOG_MODULE
#define LOG_ERROR(...) log_write (LOG_LEVEL_ERROR, LOG_MODULE, __VA_ARGS__)
#define LOG_WARNING(...) log_write (LOG_LEVEL_WARNING, LOG_MODULE, __VA_ARGS__)
#define LOG_NOTICE(...) log_write (LOG_LEVEL_NOTICE, LOG_MODULE, __VA_ARGS__)
#define LOG_INFO(...) log_write (LOG_LEVEL_INFO, LOG_MODULE, __VA_ARGS__)
#define LOG_DEBUG(...) log_write (LOG_LEVEL_DEBUG, LOG_MODULE, __VA_ARGS__)
#endif
