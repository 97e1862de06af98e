#pragma once

#include <stdbool.h>

/* log - syslog-style lines on standard error, or non-blocking on standard output.
 *
 * A line reads "<PRIORITY>TIMESTAMP PROGRAM[PID] MODULE: message key=value ...", where PRIORITY is
 * the number of the level in syslog(3). Define LOG_MODULE before including this header. Pass
 * untrusted values through log_quote(), so that a line break in them cannot forge a second line. */

typedef enum
{
  LOG_LEVEL_ERROR = 3,
  LOG_LEVEL_WARNING = 4,
  LOG_LEVEL_NOTICE = 5,
  LOG_LEVEL_INFO = 6,
  LOG_LEVEL_DEBUG = 7,
} log_level_t;

/* Rate limit for lines of the levels info and debug on standard output. */
#define MAX_LOG_LINES_PER_S 400

typedef enum
{
  LOG_OUTPUT_STDERR, /* unbuffered */
  /* Buffered and non-blocking. Lines above the rate limit, or for which the buffer has no space
   * because the reader is slow, are dropped; a later line reports their number. */
  LOG_OUTPUT_STDOUT,
} log_output_t;

/* Selects the output. LOG_OUTPUT_STDOUT makes standard output non-blocking. */
void log_set_output (log_output_t output);

/* Writes buffered lines, as many as standard output accepts without blocking. */
void log_flush (void);

/* Sets the program name and the least urgent level that is written. */
void log_init (const char *program, log_level_t level);

/* Parses "error", "warning", "notice", "info" or "debug". Returns whether TEXT is one of them. */
bool log_level_parse (const char *text, log_level_t *level);

void log_write (log_level_t level, const char *module, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Copies TEXT to BUFFER in double quotes. Control characters, quotes and backslashes are escaped,
 * and text that does not fit is truncated; a SIZE below 8 gives an empty string. Returns BUFFER. */
const char *log_quote (const char *text, char *buffer, unsigned long size);

#ifdef LOG_MODULE
#define LOG_ERROR(...) log_write (LOG_LEVEL_ERROR, LOG_MODULE, __VA_ARGS__)
#define LOG_WARNING(...) log_write (LOG_LEVEL_WARNING, LOG_MODULE, __VA_ARGS__)
#define LOG_NOTICE(...) log_write (LOG_LEVEL_NOTICE, LOG_MODULE, __VA_ARGS__)
#define LOG_INFO(...) log_write (LOG_LEVEL_INFO, LOG_MODULE, __VA_ARGS__)
#define LOG_DEBUG(...) log_write (LOG_LEVEL_DEBUG, LOG_MODULE, __VA_ARGS__)
#endif
