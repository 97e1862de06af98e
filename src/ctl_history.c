#include "ctl_history.h"

#include <string.h>

/* Arguments of a command. Its function returns the text, and run_and_print() prints it. */
typedef struct
{
  history_t history;
  uint64_t version; /* selected with --at-version or --at */
  const ctl_history_options_t *options;
  char **arguments;
} command_context_t;

static bool
read_number (const char *text, uint64_t *value, anv_error_t *err)
{
  guint64 number = 0;
  if (g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT64, &number, NULL))
    {
      *value = number;
      return true;
    }
  anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_USAGE, "\"%s\" is not a version number", text);
  return false;
}

static char *
run_show (const command_context_t *context, anv_error_t *err)
{
  return history_show (&context->history, context->version, err);
}

static char *
run_diff (const command_context_t *context, anv_error_t *err)
{
  uint64_t from = 0;
  uint64_t to = 0;
  if (!read_number (context->arguments[0], &from, err)
      || !read_number (context->arguments[1], &to, err))
    return NULL;
  return history_diff (&context->history, from, to, err);
}

static char *
run_history (const command_context_t *context, anv_error_t *err)
{
  return history_list (&context->history, 1, context->history.count, err);
}

static char *
run_explain (const command_context_t *context, anv_error_t *err)
{
  history_query_t query = {
    .method = context->arguments[0],
    .host = context->arguments[1],
    .request_target = context->arguments[2],
    .team = context->options->team,
  };
  return history_explain (&context->history, context->version, &query, err);
}

static char *
run_verify (const command_context_t *context, anv_error_t *err)
{
  version_digest_t digest;
  const char *printed = context->options->digest;
  if (printed != NULL && !version_digest_parse (&digest, printed))
    {
      anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_USAGE,
                     "--digest must have 64 hexadecimal digits");
      return NULL;
    }
  history_verify_result_t result
      = history_verify (&context->history, context->version, printed != NULL ? &digest : NULL);
  if (result.first_bad_version == 0)
    return result.text;
  anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_REFUSED, "%s", g_strchomp (result.text));
  g_free (result.text);
  return NULL;
}

static char *
run_report (const command_context_t *context, anv_error_t *err)
{
  int year = 0;
  int month = 0;
  int used = 0;
  const char *text = context->arguments[0];
  if (sscanf (text, "%4d-%2d%n", &year, &month, &used) == 2 && text[used] == '\0')
    return history_report (&context->history, year, month, err);
  anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_USAGE, "\"%s\" is not a month YYYY-MM", text);
  return NULL;
}

static const struct
{
  const char *name;
  int argument_count;
  const char *usage;
  char *(*run) (const command_context_t *context, anv_error_t *err);
} commands[] = {
  { "show", 0, "", run_show },       { "diff", 2, "FROM TO", run_diff },
  { "history", 0, "", run_history }, { "explain", 3, "METHOD HOST PATH", run_explain },
  { "verify", 0, "", run_verify },   { "report", 1, "YYYY-MM", run_report },
};

bool
ctl_history_has_command (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      if (strcmp (commands[i].name, name) == 0)
        return true;
    }
  return false;
}

static bool
select_version (command_context_t *context, anv_error_t *err)
{
  int64_t wall_ms = 0;
  context->version = context->history.count;
  if (context->options->at != NULL)
    {
      if (!history_parse_time (context->options->at, &wall_ms))
        {
          anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_USAGE,
                         "--at must be YYYY-MM-DD or YYYY-MM-DDTHH:MM:SSZ");
          return false;
        }
      context->version = history_version_at (&context->history, wall_ms);
    }
  else if (context->options->version >= 0)
    context->version = (uint64_t)context->options->version;
  return true;
}

static bool
run_and_print (command_context_t *context, size_t command, FILE *out, anv_error_t *err)
{
  if (!select_version (context, err))
    return false;
  char *text = commands[command].run (context, err);
  if (text != NULL)
    {
      fputs (text, out);
      g_free (text);
      return true;
    }
  if (err != NULL && err->domain != ANV_ERROR_CTL)
    anv_error_wrap (err, ANV_ERROR_CTL, CTL_ERROR_RESPONSE, "%s", commands[command].name);
  return false;
}

bool
ctl_history_run (ctl_client_t *client, const ctl_history_options_t *options, int count,
                 char **arguments, FILE *out, anv_error_t *err)
{
  size_t command = 0;
  while (command + 1 < G_N_ELEMENTS (commands)
         && strcmp (commands[command].name, arguments[0]) != 0)
    command++;
  if (count - 1 != commands[command].argument_count)
    {
      anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_USAGE, "usage: %s %s", commands[command].name,
                     commands[command].usage);
      return false;
    }
  GPtrArray *records = ctl_client_fetch_records (client, err);
  if (records == NULL)
    return false;
  command_context_t context = {
    .history = { (const version_record_t *const *)records->pdata, records->len },
    .options = options,
    .arguments = arguments + 1,
  };
  bool ok = run_and_print (&context, command, out, err);
  g_ptr_array_free (records, TRUE);
  return ok;
}
