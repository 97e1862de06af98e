#include "control_options.h"

#include <string.h>

#include "listen_check.h"
#include "program.h"

control_options_t control_options;

static const option_t options[] = {
  { "data-dir", OPTION_STRING, &control_options.data_dir, NULL, 0, 0, NULL, true, "DIR",
    "Directory for the durable state" },
  { "peer-listen", OPTION_ADDRESS, &control_options.peer_listen, "127.0.0.1:8090", 0, 0, NULL,
    false, "ADDRESS", "Address of the port for other processes of the fleet" },
  { "peer-advertise", OPTION_ADDRESS, &control_options.peer_advertise, NULL, 0, 0, NULL, false,
    "ADDRESS", "Address that other processes use; the listening address if not given" },
  { "operator-listen", OPTION_ADDRESS, &control_options.operator_listen, "127.0.0.1:8091", 0, 0,
    NULL, false, "ADDRESS", "Address of the port for operators" },
  { "operator-advertise", OPTION_ADDRESS, &control_options.operator_advertise, NULL, 0, 0, NULL,
    false, "ADDRESS", "Address that operators are redirected to; the listening one if not given" },
  { "admin-listen", OPTION_ADDRESS, &control_options.admin_listen, "127.0.0.1:8092", 0, 0, NULL,
    false, "ADDRESS", "Address of the port for metrics and health" },
  { "token-file", OPTION_STRING, &control_options.token_file, NULL, 0, 0, NULL, true, "FILE",
    "File with the credential that operators' calls must carry" },
  { "instance", OPTION_STRING, &control_options.instance, "control", 0, 0, NULL, false, "ID",
    "Instance id" },
  { "domain", OPTION_STRING, &control_options.domain, "default", 0, 0, NULL, false, "NAME",
    "Failure domain of this instance" },
  { "groups", OPTION_LIST, &control_options.groups, "config,claims", 0, 0, NULL, false, "NAMES",
    "Replicated groups that this instance hosts: config, claims or both" },
  { "seed", OPTION_ADDRESS_LIST, &control_options.seeds, NULL, 0, 0, NULL, false, "ADDRESS",
    "Peer address of another process of the fleet; may be repeated" },
  { "tls-cert", OPTION_STRING, &control_options.tls_cert, NULL, 0, 0, NULL, false, "FILE",
    "Certificate in PEM format, for operators and links" },
  { "tls-key", OPTION_STRING, &control_options.tls_key, NULL, 0, 0, NULL, false, "FILE",
    "Private key in PEM format" },
  { "tls-ca", OPTION_STRING, &control_options.tls_ca, NULL, 0, 0, NULL, false, "FILE",
    "Authority that signs the certificates of the fleet, in PEM format" },
  { "insecure-listen", OPTION_BOOL, &control_options.insecure_listen, "false", 0, 0, NULL, false,
    NULL, "Allow listening addresses other than loopback without TLS" },
  { "max-claims", OPTION_INTEGER, &control_options.max_claims, "2000000", 1, 1e9, NULL, false,
    "COUNT", "Claims on record above which new ones are refused" },
  { "max-answer-bytes", OPTION_INTEGER, &control_options.max_total_response_bytes, "536870912", 0,
    1e12, NULL, false, "BYTES", "Recorded answers above which new claims are refused" },
  { "log-level", OPTION_ENUM, &control_options.log_level, "info", 0, 0, program_log_levels, false,
    "LEVEL", "Least urgent level that is logged" },
  { 0 },
};

const option_table_t control_option_table = {
  .program = "anvillb-control",
  .summary = "Replicated configuration and claims of an anvillb fleet.",
  .options = options,
};

static bool
check_groups (anv_error_t *err)
{
  for (guint i = 0; i < control_options.groups->len; i++)
    {
      const char *name = g_ptr_array_index (control_options.groups, i);
      if (strcmp (name, "config") == 0 || strcmp (name, "claims") == 0)
        continue;
      anv_error_set (err, ANV_ERROR_OPTION, OPTION_ERROR_VALUE,
                     "--groups: value '%s' is not allowed: expected config or claims", name);
      return false;
    }
  if (control_options.groups->len > 0)
    return true;
  anv_error_set (err, ANV_ERROR_OPTION, OPTION_ERROR_MISSING,
                 "--groups: at least one of config and claims is required");
  return false;
}

static bool
check_tls (anv_error_t *err)
{
  bool all_given = control_options.tls_cert != NULL && control_options.tls_key != NULL
                   && control_options.tls_ca != NULL;
  bool none_given = control_options.tls_cert == NULL && control_options.tls_key == NULL
                    && control_options.tls_ca == NULL;
  if (all_given || none_given)
    return true;
  anv_error_set (err, ANV_ERROR_OPTION, OPTION_ERROR_MISSING,
                 "--tls-cert, --tls-key and --tls-ca belong together");
  return false;
}

bool
control_options_check (anv_error_t *err)
{
  bool has_tls = control_options.tls_cert != NULL;
  bool allow_insecure = control_options.insecure_listen;
  return check_groups (err) && check_tls (err)
         && listen_check_address ("peer-listen", control_options.peer_listen, has_tls,
                                  allow_insecure, err)
         && listen_check_address ("admin-listen", control_options.admin_listen, has_tls,
                                  allow_insecure, err)
         && listen_check_address ("operator-listen", control_options.operator_listen, has_tls,
                                  allow_insecure, err);
}

bool
control_options_hosts_group (const char *name)
{
  for (guint i = 0; i < control_options.groups->len; i++)
    {
      if (strcmp (g_ptr_array_index (control_options.groups, i), name) == 0)
        return true;
    }
  return false;
}
