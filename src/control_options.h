#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "option.h"

/* control_options - settings of anvillb-control. The option table documents each field. */

typedef struct
{
  char *data_dir;
  char *peer_listen;
  char *peer_advertise;
  char *operator_listen;
  char *operator_advertise;
  char *admin_listen;
  char *token_file;
  char *instance;
  char *domain;
  GPtrArray *groups;
  GPtrArray *seeds;
  char *tls_cert;
  char *tls_key;
  char *tls_ca;
  bool insecure_listen;
  int64_t max_claims;
  int64_t max_total_response_bytes;
  int64_t log_level;
} control_options_t;

extern control_options_t control_options;
extern const option_table_t control_option_table;

/* Checks the names of the groups and combinations of settings: the TLS files are given together,
 * and a listening address other than loopback needs TLS or --insecure-listen. Returns false with
 * ANV_ERROR_OPTION. */
bool control_options_check (anv_error_t *err);

/* Returns whether this process hosts the replicated group NAME ("config" or "claims"). */
bool control_options_hosts_group (const char *name);
