#include "http_dialect.h"

#include <glib.h>
#include <string.h>

const http_dialect_t http_dialect_native = {
  .deadline_header = "Anvillb-Deadline-Ms",
  .attempt_id_header = "Anvillb-Attempt",
  .not_run_header = "Anvillb-Shed",
  .not_run_value = "1",
  .not_run_status = 503,
  .sends_outcome_headers = true,
  .sends_forwarding_headers = true,
};

bool
http_dialect_means_not_run (const http_dialect_t *dialect, int status)
{
  for (const int *known = dialect->not_run_statuses; known != NULL && *known != 0; known++)
    {
      if (*known == status)
        return true;
    }
  return false;
}

int64_t
http_dialect_read_pause_us (const http_dialect_t *dialect, int status,
                            const http_headers_t *headers)
{
  const char *field = dialect->pause_header;
  const char *text = field != NULL ? http_headers_get (headers, field) : NULL;
  char *end = NULL;
  if (status != 503 || text == NULL)
    return 0;
  double seconds = g_ascii_strtod (text, &end);
  /* The comparison is false for NaN. */
  if (end == text || *end != '\0' || !(seconds > 0))
    return 0;
  return (int64_t)(MIN (seconds, HTTP_DIALECT_MAX_PAUSE_S) * G_USEC_PER_SEC);
}

const char *
http_dialect_get_team_key (const http_dialect_t *dialect, const http_headers_t *headers,
                           size_t *size)
{
  const char *field = dialect->team_key_header;
  if (field == NULL || http_headers_count (headers, field) != 1)
    return NULL;
  const char *key = http_headers_get (headers, field);
  size_t scheme_size = strlen (dialect->team_key_scheme);
  if (g_ascii_strncasecmp (key, dialect->team_key_scheme, scheme_size) != 0
      || key[scheme_size] != ' ')
    return NULL;
  key += scheme_size;
  key += strspn (key, " ");
  *size = 0;
  while (g_ascii_isgraph (key[*size]))
    (*size)++;
  return *size > 0 && key[*size] == '\0' ? key : NULL;
}
