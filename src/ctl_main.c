#include <stdio.h>
#include <string.h>

#include "ctl_history.h"
#include "ctl_members.h"
#include "ctl_submit.h"
#include "option.h"

/* Exit status. */
enum
{
  EXIT_OK = 0,
  EXIT_ERROR = 1,
  EXIT_USAGE = 2,
  EXIT_REFUSED = 3,
};

#define RETRY_DELAY_MS 500

static GPtrArray *servers;
static char *token_file;
static char *tls_ca;
static int64_t timeout_s;
static int64_t base;
static char *operator_name;
static char *reason;
static char *patch_id;
static int64_t version;
static char *at;
static char *team;
static char *digest;

static const option_t options[] = {
  { "server", OPTION_LIST, &servers, NULL, .required = true, .argument = "URL",
    .help = "Control instance, e.g. http://127.0.0.1:7200; may be repeated" },
  { "token-file", OPTION_STRING, &token_file, NULL, .required = true, .argument = "FILE",
    .help = "File with the bearer token" },
  { "tls-ca", OPTION_STRING, &tls_ca, NULL, .argument = "FILE",
    .help = "Trusted certificates instead of those of the system" },
  { "timeout-s", OPTION_INTEGER, &timeout_s, "10", .min = 1, .max = 600, .argument = "SECONDS",
    .help = "Time limit of a call" },
  { "base", OPTION_INTEGER, &base, "-1", .min = -1, .max = 9e15, .argument = "N",
    .help = "submit, dry-run: version that the patch is made for" },
  { "operator", OPTION_STRING, &operator_name, NULL, .argument = "NAME",
    .help = "submit, dry-run: who makes the change" },
  { "reason", OPTION_STRING, &reason, NULL, .argument = "TEXT",
    .help = "submit, dry-run: why the change is made" },
  { "patch-id", OPTION_STRING, &patch_id, NULL, .argument = "ID",
    .help = "submit: id of an earlier call whose answer was lost" },
  { "at-version", OPTION_INTEGER, &version, "-1", .min = -1, .max = 9e15, .argument = "N",
    .help = "show, explain, verify: version; -1 is the current one" },
  { "at", OPTION_STRING, &at, NULL, .argument = "TIME",
    .help = "show, explain: version in force at YYYY-MM-DD or YYYY-MM-DDTHH:MM:SSZ" },
  { "team", OPTION_STRING, &team, NULL, .argument = "NAME", .help = "explain: team of the caller" },
  { "digest", OPTION_STRING, &digest, NULL, .argument = "HEX",
    .help = "verify: printed digest of the version" },
  { NULL },
};

static const option_table_t table = {
  .program = "anvillbctl",
  .summary = "Changes and explains the configuration of an anvillb fleet, and the members of its "
             "replicated logs.\v"
             "Commands: submit FILE, dry-run FILE, show, diff FROM TO, history, "
             "explain METHOD HOST PATH, verify, report YYYY-MM, members, "
             "members found GROUP URL..., members add GROUP URL, members remove GROUP ID. "
             "Options come before the command.",
  .positional = "COMMAND [ARGUMENT...]",
  .options = options,
};

static bool
usage_error (anv_error_t *err, const char *text)
{
  anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_USAGE, "%s", text);
  return false;
}

static bool
run_submit (ctl_client_t *client, int count, char **arguments, anv_error_t *err)
{
  ctl_submit_options_t submit = { base, operator_name, reason, patch_id };
  bool dry_run = strcmp (arguments[0], "dry-run") == 0;
  if (count != 2)
    return usage_error (err, "one file with a patch is required");
  if (base < 0 || operator_name == NULL || reason == NULL)
    return usage_error (err, "--base, --operator and --reason are required");
  return ctl_submit (client, &submit, arguments[1], dry_run, stdout, err);
}

static bool
run_command (ctl_client_t *client, int count, char **arguments, anv_error_t *err)
{
  ctl_history_options_t history = { version, at, team, digest };
  if (strcmp (arguments[0], "submit") == 0 || strcmp (arguments[0], "dry-run") == 0)
    return run_submit (client, count, arguments, err);
  if (ctl_history_has_command (arguments[0]))
    return ctl_history_run (client, &history, count, arguments, stdout, err);
  if (strcmp (arguments[0], "members") == 0)
    return ctl_members_run (client, count - 1, arguments + 1, stdout, err);
  return usage_error (err, "unknown command; see --help");
}

static int
exit_status (const anv_error_t *err)
{
  if (err->code == CTL_ERROR_USAGE)
    return EXIT_USAGE;
  return err->code == CTL_ERROR_REFUSED ? EXIT_REFUSED : EXIT_ERROR;
}

int
main (int argc, char **argv)
{
  anv_error_t err = { .domain = ANV_ERROR_NONE };
  option_result_t result;
  ctl_client_t client;
  if (!option_parse (&table, argc, argv, &result, &err))
    {
      fprintf (stderr, "anvillbctl: %s\n", err.text);
      return EXIT_USAGE;
    }
  if (result.check_only)
    return EXIT_OK;
  if (result.first_argument >= argc)
    {
      fputs ("anvillbctl: a command is required; see --help\n", stderr);
      return EXIT_USAGE;
    }
  ctl_client_options_t client_options = { servers, token_file, tls_ca, timeout_s, RETRY_DELAY_MS };
  int status = EXIT_OK;
  if (!ctl_client_init (&client, &client_options, &err))
    status = EXIT_ERROR;
  else
    {
      if (!run_command (&client, argc - result.first_argument, argv + result.first_argument, &err))
        status = exit_status (&err);
      ctl_client_destroy (&client);
    }
  if (status != EXIT_OK)
    fprintf (stderr, "anvillbctl: %s\n", err.text);
  option_free (&table);
  return status;
}
