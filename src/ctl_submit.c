#include "ctl_submit.h"

#include <string.h>

static cJSON *
read_patch (const char *file, anv_error_t *err)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  gsize size = 0;
  const char *reason = NULL;
  if (!g_file_get_contents (file, &text, &size, &error))
    {
      anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_USAGE, "cannot read the patch: %s",
                     error->message);
      return NULL;
    }
  cJSON *patch = json_parse (text, size, &reason);
  if (patch == NULL)
    anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_USAGE, "%s: %s", file, reason);
  return patch;
}

static char *
make_body (const ctl_submit_options_t *options, const char *patch_id, cJSON *patch)
{
  cJSON *body = cJSON_CreateObject ();
  cJSON_AddNumberToObject (body, "base", (double)options->base);
  cJSON_AddStringToObject (body, "patch_id", patch_id);
  cJSON_AddStringToObject (body, "operator", options->operator_name);
  cJSON_AddStringToObject (body, "reason", options->reason);
  cJSON_AddItemToObject (body, "patch", patch);
  char *text = json_print_canonical (body);
  cJSON_Delete (body);
  return text;
}

static bool
print_outcome (const cJSON *response, unsigned status, FILE *out, anv_error_t *err)
{
  const char *outcome = json_get_string (response, "outcome", NULL);
  if (outcome == NULL)
    {
      anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_RESPONSE, "status %u: %s", status,
                     json_get_string (response, "error", "no outcome"));
      return false;
    }
  double version = json_get_number (response, "version", 0);
  double current = json_get_number (response, "current", 0);
  if (status == SOUP_STATUS_OK || status == SOUP_STATUS_CREATED)
    {
      fprintf (out, "%s: version %.0f, digest %s\n", outcome, version,
               json_get_string (response, "digest", ""));
      return true;
    }
  const char *text = json_get_string (response, "text", "");
  anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_REFUSED, "%s: %s%scurrent version is %.0f", outcome,
                 text, text[0] != '\0' ? "; " : "", current);
  return false;
}

bool
ctl_submit (ctl_client_t *client, const ctl_submit_options_t *options, const char *file,
            bool dry_run, FILE *out, anv_error_t *err)
{
  cJSON *patch = read_patch (file, err);
  if (patch == NULL)
    return false;
  g_autofree char *patch_id
      = options->patch_id != NULL ? g_strdup (options->patch_id) : g_uuid_string_random ();
  g_autofree char *body = make_body (options, patch_id, patch);
  if (!dry_run)
    {
      fprintf (out, "patch id %s\n", patch_id);
      fflush (out);
    }
  unsigned status = 0;
  cJSON *response = ctl_client_call (
      client, "POST", dry_run ? "/v1/patches?dry_run=1" : "/v1/patches", body, &status, err);
  if (response == NULL)
    return false;
  bool ok = print_outcome (response, status, out, err);
  cJSON_Delete (response);
  return ok;
}
