#include "deadline.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define US_PER_MS INT64_C (1000)
#define US_PER_S INT64_C (1000000)
#define MS_PER_S INT64_C (1000)

/* Longer numbers are malformed, so that a product with US_PER_S cannot overflow. */
#define MAX_DIGITS 10

static bool
parse_number (const char *text, int64_t *value)
{
  size_t length = strspn (text, "0123456789");
  if (length == 0 || length > MAX_DIGITS || text[length] != '\0')
    return false;
  *value = g_ascii_strtoll (text, NULL, 10);
  return true;
}

/* Parses the preferred format of HTTP dates, "Sun, 06 Nov 1994 08:49:37 GMT", in any locale. */
static bool
parse_http_date (const char *text, int64_t *seconds)
{
  static const char months[] = "JanFebMarAprMayJunJulAugSepOctNovDec";
  struct tm parts = { 0 };
  char month[4];
  int end = 0;
  int count = sscanf (text, "%*3[A-Za-z], %2d %3[A-Za-z] %4d %2d:%2d:%2d GMT%n", &parts.tm_mday,
                      month, &parts.tm_year, &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &end);
  if (count != 6 || end == 0 || text[end] != '\0' || strlen (month) != 3)
    return false;
  const char *found = strstr (months, month);
  if (found == NULL || (found - months) % 3 != 0)
    return false;
  parts.tm_mon = (int)(found - months) / 3;
  parts.tm_year -= 1900;
  *seconds = timegm (&parts);
  return true;
}

int64_t
deadline_compute (int64_t now_us, int64_t timeout_ms, const char *header)
{
  int64_t remaining_ms = timeout_ms;
  int64_t header_ms = 0;
  if (header != NULL && parse_number (header, &header_ms))
    remaining_ms = MIN (remaining_ms, header_ms);
  return now_us + remaining_ms * US_PER_MS;
}

int64_t
deadline_left_us (int64_t deadline_us, int64_t now_us)
{
  if (deadline_us == DEADLINE_NONE)
    return DEADLINE_NONE;
  return MAX (0, deadline_us - now_us);
}

int64_t
deadline_next_hop_ms (int64_t deadline_us, int64_t now_us, int64_t distance_us)
{
  int64_t left_us = deadline_left_us (deadline_us, now_us);
  return MAX (0, left_us - distance_us) / US_PER_MS;
}

bool
deadline_allows (int64_t deadline_us, int64_t now_us, int64_t wait_us, int64_t expected_us)
{
  return wait_us + expected_us <= deadline_left_us (deadline_us, now_us);
}

int64_t
deadline_retry_after_us (const char *retry_after, const char *date, int64_t wall_ms)
{
  int64_t seconds = 0;
  if (retry_after == NULL)
    return DEADLINE_RETRY_UNKNOWN;
  if (parse_number (retry_after, &seconds))
    return seconds * US_PER_S;

  int64_t until_s = 0;
  if (!parse_http_date (retry_after, &until_s))
    return DEADLINE_RETRY_UNKNOWN;
  int64_t answered_s = 0;
  if (date == NULL || !parse_http_date (date, &answered_s))
    answered_s = wall_ms / MS_PER_S;
  return MAX (0, until_s - answered_s) * US_PER_S;
}
