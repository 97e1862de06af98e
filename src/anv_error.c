#include "anv_error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static const char *const domain_names[] = {
  [ANV_ERROR_NONE] = "none",       [ANV_ERROR_OPTION] = "option",
  [ANV_ERROR_TASK] = "task",       [ANV_ERROR_FRAME] = "frame",
  [ANV_ERROR_WIRE] = "wire",       [ANV_ERROR_LINK] = "link",
  [ANV_ERROR_HTTP] = "http",       [ANV_ERROR_CONFIG] = "config",
  [ANV_ERROR_STORAGE] = "storage", [ANV_ERROR_RAFT] = "raft",
  [ANV_ERROR_VERSION] = "version", [ANV_ERROR_CLAIM] = "claim",
  [ANV_ERROR_CTL] = "ctl",         [ANV_ERROR_MEMBERSHIP] = "membership",
};

void
anv_error_clear (anv_error_t *err)
{
  if (err == NULL)
    return;
  err->domain = ANV_ERROR_NONE;
  err->code = 0;
  err->text[0] = '\0';
}

bool
anv_error_is_set (const anv_error_t *err)
{
  return err != NULL && err->domain != ANV_ERROR_NONE;
}

void
anv_error_set (anv_error_t *err, anv_error_domain_t domain, int code, const char *fmt, ...)
{
  if (err == NULL)
    return;

  va_list args;
  va_start (args, fmt);
  vsnprintf (err->text, sizeof (err->text), fmt, args);
  va_end (args);
  err->domain = domain;
  err->code = code;
}

void
anv_error_wrap (anv_error_t *err, anv_error_domain_t domain, int code, const char *fmt, ...)
{
  if (err == NULL)
    return;

  char cause_text[ANV_ERROR_TEXT_SIZE];
  memcpy (cause_text, err->text, sizeof (cause_text));

  va_list args;
  va_start (args, fmt);
  int length = vsnprintf (err->text, sizeof (err->text), fmt, args);
  va_end (args);
  if (length >= 0 && (size_t)length < sizeof (err->text) && cause_text[0] != '\0')
    snprintf (err->text + length, sizeof (err->text) - (size_t)length, ": %s", cause_text);
  err->domain = domain;
  err->code = code;
}

const char *
anv_error_domain_name (anv_error_domain_t domain)
{
  if ((size_t)domain >= sizeof (domain_names) / sizeof (domain_names[0]))
    return "unknown";
  return domain_names[domain];
}
