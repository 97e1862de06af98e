#pragma once

#include <stdio.h>

#include "ctl_client.h"

/* ctl_submit - the commands "submit" and "dry-run" of anvillbctl. */

typedef struct
{
  int64_t base; /* version that the patch is made for */
  const char *operator_name;
  const char *reason;
  const char *patch_id; /* NULL: a new one; printed before the call, unless it is a dry run */
} ctl_submit_options_t;

/* Sends the patch in FILE and prints the outcome to OUT. Returns false with ANV_ERROR_CTL if the
 * patch is refused (CTL_ERROR_REFUSED) or there is no response. Without a response the patch may or
 * may not be in force: send it again with the same patch_id. */
bool ctl_submit (ctl_client_t *client, const ctl_submit_options_t *options, const char *file,
                 bool dry_run, FILE *out, anv_error_t *err);
