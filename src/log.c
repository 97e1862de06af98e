#include "log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define MAX_MESSAGE_BYTES 2048
/* The buffer is flushed above the threshold. The rest of it holds lines for a slow reader. */
#define FLUSH_THRESHOLD_BYTES 4096
#define MAX_BUFFERED_BYTES 65536

static const char *program_name = "anvillb";
static log_level_t max_level = LOG_LEVEL_INFO;
static log_output_t output = LOG_OUTPUT_STDERR;
static char buffered[MAX_BUFFERED_BYTES];
static size_t buffered_size;
static unsigned long dropped_count; /* lines dropped since the last report of their number */

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

/* Formats SECOND as date and time in UTC. The last result is cached, because formatting is most of
 * the cost of a line. */
static const char *
format_second (time_t second)
{
  static time_t cached_second = -1;
  static char cached_text[32];
  struct tm utc;
  if (second == cached_second)
    return cached_text;
  cached_second = second;
  gmtime_r (&second, &utc);
  strftime (cached_text, sizeof (cached_text), "%Y-%m-%dT%H:%M:%S", &utc);
  return cached_text;
}

void
log_set_output (log_output_t new_output)
{
  output = new_output;
  if (new_output == LOG_OUTPUT_STDOUT)
    fcntl (STDOUT_FILENO, F_SETFL, fcntl (STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

void
log_flush (void)
{
  size_t start = 0;
  while (start < buffered_size)
    {
      ssize_t written = write (STDOUT_FILENO, buffered + start, buffered_size - start);
      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        break;
      start += (size_t)written;
    }
  memmove (buffered, buffered + start, buffered_size - start);
  buffered_size -= start;
}

/* Counts a line of LEVEL and returns whether it is within the rate limit, from which the levels
 * error to notice are exempt. */
static bool
is_within_rate (log_level_t level, time_t second)
{
  static time_t counted_second = -1;
  static unsigned line_count;
  if (level <= LOG_LEVEL_NOTICE)
    return true;
  if (second != counted_second)
    {
      counted_second = second;
      line_count = 0;
    }
  return ++line_count <= MAX_LOG_LINES_PER_S;
}

static void
buffer_line (log_level_t level, const char *line, size_t size)
{
  if (buffered_size + size > sizeof (buffered))
    log_flush ();
  if (buffered_size + size > sizeof (buffered))
    {
      dropped_count++;
      return;
    }
  memcpy (buffered + buffered_size, line, size);
  buffered_size += size;
  if (level <= LOG_LEVEL_NOTICE || buffered_size > FLUSH_THRESHOLD_BYTES)
    log_flush ();
}

void
log_write (log_level_t level, const char *module, const char *fmt, ...)
{
  if (level > max_level)
    return;

  struct timespec now;
  char message[MAX_MESSAGE_BYTES];
  char line[MAX_MESSAGE_BYTES + 128];
  clock_gettime (CLOCK_REALTIME, &now);
  if (output == LOG_OUTPUT_STDOUT && !is_within_rate (level, now.tv_sec))
    {
      dropped_count++;
      return;
    }
  va_list args;
  va_start (args, fmt);
  vsnprintf (message, sizeof (message), fmt, args);
  va_end (args);
  if (dropped_count > 0)
    {
      unsigned long count = dropped_count;
      dropped_count = 0;
      log_write (LOG_LEVEL_WARNING, "log", "lines dropped count=%lu", count);
    }
  int size = snprintf (line, sizeof (line), "<%d>%s.%03ldZ %s[%d] %s: %s\n", (int)level,
                       format_second (now.tv_sec), now.tv_nsec / 1000000, program_name,
                       (int)getpid (), module, message);
  size_t length = (size_t)size < sizeof (line) ? (size_t)size : sizeof (line) - 1;
  if (output == LOG_OUTPUT_STDOUT)
    buffer_line (level, line, length);
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
