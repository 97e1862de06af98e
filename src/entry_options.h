#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "option.h"

/* entry_options - settings of anvillb-entry. The option table documents each field. */

typedef struct
{
  char *listen;
  char *advertise;
  char *admin_listen;
  char *instance;
  char *domain;
  char *peer_listen;
  char *peer_advertise;
  GPtrArray *seeds;
  GPtrArray *claim_members;
  int64_t claim_retention_ms;
  int64_t unnamed_requests;
  int64_t domain_distance_ms;
  bool trust_first_announcement;
  char *probe_path;
  char *tls_ca;
  char *tls_cert;
  char *tls_key;
  bool insecure_listen;
  int64_t max_connections;
  int64_t header_timeout_ms;
  int64_t idle_timeout_ms;
  int64_t connect_timeout_ms;
  int64_t upstream_idle_ms;
  int64_t request_timeout_ms;
  int64_t max_kept_body_bytes;
  int64_t resolve_ttl_ms;
  int64_t drain_limit_ms;
  char *trace_file;
  int64_t log_level;
} entry_options_t;

/* Values of unnamed_requests, the setting for requests without Idempotency-Key on a route that
 * needs one. In the order of the choices in the option table. */
enum
{
  UNNAMED_REQUESTS_REJECT,
  UNNAMED_REQUESTS_SINGLE_ATTEMPT,
};

extern entry_options_t entry_options;
extern const option_table_t entry_option_table;

/* Checks combinations of settings: --tls-cert and --tls-key are given together, --tls-ca needs
 * both, and a listening address other than loopback needs TLS or --insecure-listen. Also checks
 * that probe_path starts with '/'. Returns false with ANV_ERROR_OPTION. */
bool entry_options_check (anv_error_t *err);
