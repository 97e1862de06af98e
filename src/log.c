#include "log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_SIZE 2048
/* Collected output that is written at once, and the most that is kept for a slow reader. */
#define COLLECT_SIZE 4096
#define MAX_COLLECT_SIZE 65536

static const char *program_name = "anvillb";
static log_level_t max_level = LOG_LEVEL_INFO;
static log_output_t output = LOG_OUTPUT_STDERR;
static char collected[MAX_COLLECT_SIZE];
static size_t collected_size;
static unsigned long dropped; /* lines since the last one that was written */

static const struct
{
  const char *name;
  log_level_t level;
} level_names[] = {
  { "error", LOG_LEVEL_ERROR }, { "warning", LOG_LEVEL_WARNING }, { "notice", LOG_LEVEL_NOTICE },
  { "info", LOG_LEVEL_INFO },   { "debug", LOG_LEVEL_DEBUG },
};

void
log_init (const char *program, log_level_t level)
{
  program_name = program;
  max_level = level;
}

bool
log_level_parse (const char *text, log_level_t *level)
{
  for (size_t i = 0; i < sizeof (level_names) / sizeof (level_names[0]); i++)
    {
      if (strcmp (text, level_names[i].name) == 0)
        {
          *level = level_names[i].level;
          return true;
        }
    }
  return false;
}

/* Returns the time of day with one-second resolution; formatting it is most of the cost of a line.
 */
static const char *
format_second (time_t second)
{
  static time_t last = -1;
  static char stamp[32];
  struct tm utc;
  if (second == last)
    return stamp;
  last = second;
  gmtime_r (&second, &utc);
  strftime (stamp, sizeof (stamp), "%Y-%m-%dT%H:%M:%S", &utc);
  return stamp;
}

void
log_set_output (log_output_t chosen)
{
  output = chosen;
  if (chosen == LOG_OUTPUT_STDOUT)
    fcntl (STDOUT_FILENO, F_SETFL, fcntl (STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

void
log_flush (void)
{
  size_t start = 0;
  while (start < collected_size)
    {
      ssize_t written = write (STDOUT_FILENO, collected + start, collected_size - start);
      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        break;
      start += (size_t)written;
    }
  memmove (collected, collected + start, collected_size - start);
  collected_size -= start;
}

/* Returns whether a line of LEVEL is within the rate. */
static bool
is_admitted (log_level_t level, time_t second)
{
  static time_t current = -1;
  static unsigned lines;
  if (level <= LOG_LEVEL_NOTICE)
    return true;
  if (second != current)
    {
      current = second;
      lines = 0;
    }
  return ++lines <= LOG_LINES_PER_S;
}

static void
collect (log_level_t level, const char *line, size_t size)
{
  if (collected_size + size > sizeof (collected))
    log_flush ();
  if (collected_size + size > sizeof (collected))
    {
      dropped++;
      return;
    }
  memcpy (collected + collected_size, line, size);
  collected_size += size;
  if (level <= LOG_LEVEL_NOTICE || collected_size > COLLECT_SIZE)
    log_flush ();
}

void
log_write (log_level_t level, const char *module, const char *fmt, ...)
{
  if (level > max_level)
    return;

  struct timespec now;
  char message[LINE_SIZE];
  char line[LINE_SIZE + 128];
  clock_gettime (CLOCK_REALTIME, &now);
  if (output == LOG_OUTPUT_STDOUT && !is_admitted (level, now.tv_sec))
    {
      dropped++;
      return;
    }
  va_list args;
  va_start (args, fmt);
  vsnprintf (message, sizeof (message), fmt, args);
  va_end (args);
  if (dropped > 0)
    {
      unsigned long count = dropped;
      dropped = 0;
      log_write (LOG_LEVEL_WARNING, "log", "lines dropped count=%lu", count);
    }
  int size = snprintf (line, sizeof (line), "<%d>%s.%03ldZ %s[%d] %s: %s\n", (int)level,
                       format_second (now.tv_sec), now.tv_nsec / 1000000, program_name,
                       (int)getpid (), module, message);
  size_t length = (size_t)size < sizeof (line) ? (size_t)size : sizeof (line) - 1;
  if (output == LOG_OUTPUT_STDOUT)
    collect (level, line, length);
  else
    fwrite (line, 1, length, stderr);
}

const char *
log_quote (const char *text, char *buffer, unsigned long size)
{
  static const char hex[] = "0123456789abcdef";
  size_t used = 0;

  if (size < 8)
    {
      if (size > 0)
        buffer[0] = '\0';
      return buffer;
    }
  buffer[used++] = '"';
  for (const unsigned char *p = (const unsigned char *)text; *p != '\0' && used + 6 < size; p++)
    {
      if (*p < 0x20 || *p == 0x7f)
        {
          buffer[used++] = '\\';
          buffer[used++] = 'x';
          buffer[used++] = hex[*p >> 4];
          buffer[used++] = hex[*p & 15];
          continue;
        }
      if (*p == '"' || *p == '\\')
        buffer[used++] = '\\';
      buffer[used++] = (char)*p;
    }
  buffer[used++] = '"';
  buffer[used] = '\0';
  return buffer;
}
