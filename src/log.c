#include "log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_SIZE 2048

static const char *program_name = "anvillb";
static log_level_t max_level = LOG_LEVEL_INFO;

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

void
log_write (log_level_t level, const char *module, const char *fmt, ...)
{
  if (level > max_level)
    return;

  struct timespec now;
  struct tm utc;
  char stamp[32];
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (stamp, sizeof (stamp), "%Y-%m-%dT%H:%M:%S", &utc);

  char message[LINE_SIZE];
  va_list args;
  va_start (args, fmt);
  vsnprintf (message, sizeof (message), fmt, args);
  va_end (args);

  fprintf (stderr, "<%d>%s.%03ldZ %s[%d] %s: %s\n", (int)level, stamp, now.tv_nsec / 1000000,
           program_name, (int)getpid (), module, message);
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
