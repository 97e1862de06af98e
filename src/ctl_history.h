#pragma once

#include <stdio.h>

#include "ctl_client.h"

/* ctl_history - the commands of anvillbctl that read the history: "show", "diff", "history",
 * "explain", "verify" and "report". The module history makes the texts from the fetched
 * records, so they do not depend on the program version of the server. */

typedef struct
{
  int64_t version;    /* -1: the current version */
  const char *at;     /* time that selects the version; NULL: use version */
  const char *team;   /* for "explain"; NULL: none */
  const char *digest; /* for "verify": printed digest of the version; NULL: none */
} ctl_history_options_t;

/* Returns whether NAME is one of the commands. */
bool ctl_history_has_command (const char *name);

/* Runs command ARGUMENTS[0] with the COUNT - 1 arguments after it and prints to OUT. Returns false
 * with ANV_ERROR_CTL; CTL_ERROR_REFUSED if "verify" fails. */
bool ctl_history_run (ctl_client_t *client, const ctl_history_options_t *options, int count,
                      char **arguments, FILE *out, anv_error_t *err);
