#include "entry_options.h"

#include "log.h"

entry_options_t entry_options;

static const char *const log_levels[] = { "error", "warning", "notice", "info", "debug", NULL };

#define MS_PER_DAY 86400000.0
#define MAX_BYTES 1e12

static const option_t options[] = {
  { "listen", OPTION_ADDRESS, &entry_options.listen, "127.0.0.1:8080", 0, 0, NULL, false, "ADDRESS",
    "Address of the port for callers and backend servers" },
  { "advertise", OPTION_ADDRESS, &entry_options.advertise, NULL, 0, 0, NULL, false, "ADDRESS",
    "Address that resolve tells callers; the listening address if not given" },
  { "admin-listen", OPTION_ADDRESS, &entry_options.admin_listen, "127.0.0.1:8081", 0, 0, NULL,
    false, "ADDRESS", "Address of the port for metrics and health" },
  { "instance", OPTION_STRING, &entry_options.instance, "entry", 0, 0, NULL, false, "ID",
    "Instance id" },
  { "domain", OPTION_STRING, &entry_options.domain, "default", 0, 0, NULL, false, "NAME",
    "Failure domain of this instance" },
  { "tls-cert", OPTION_STRING, &entry_options.tls_cert, NULL, 0, 0, NULL, false, "FILE",
    "Certificate in PEM format" },
  { "tls-key", OPTION_STRING, &entry_options.tls_key, NULL, 0, 0, NULL, false, "FILE",
    "Private key in PEM format" },
  { "insecure-listen", OPTION_BOOL, &entry_options.insecure_listen, "false", 0, 0, NULL, false,
    NULL, "Allow listening addresses other than loopback without TLS" },
  { "max-connections", OPTION_INTEGER, &entry_options.max_connections, "16384", 1, 1000000, NULL,
    false, "COUNT", "Open connections of callers" },
  { "header-timeout-ms", OPTION_INTEGER, &entry_options.header_timeout_ms, "10000", 1, MS_PER_DAY,
    NULL, false, "MS", "Time limit for a request head" },
  { "idle-timeout-ms", OPTION_INTEGER, &entry_options.idle_timeout_ms, "60000", 1, MS_PER_DAY, NULL,
    false, "MS", "Time limit for a connection between two requests" },
  { "connect-timeout-ms", OPTION_INTEGER, &entry_options.connect_timeout_ms, "1000", 1, MS_PER_DAY,
    NULL, false, "MS", "Time limit for a connection to a backend server" },
  { "upstream-idle-ms", OPTION_INTEGER, &entry_options.upstream_idle_ms, "4000", 1, MS_PER_DAY,
    NULL, false, "MS", "Time for which an idle connection to a backend server is kept" },
  { "request-timeout-ms", OPTION_INTEGER, &entry_options.request_timeout_ms, "30000", 1, MS_PER_DAY,
    NULL, false, "MS", "Time limit of a request" },
  { "stall-ms", OPTION_INTEGER, &entry_options.stall_ms, "1000", 0, MS_PER_DAY, NULL, false, "MS",
    "Longest time without progress on a connection while another one makes progress" },
  { "max-body-bytes", OPTION_INTEGER, &entry_options.max_body_bytes, "16777216", 1, MAX_BYTES, NULL,
    false, "BYTES", "Longest request body" },
  { "replay-bytes", OPTION_INTEGER, &entry_options.replay_bytes, "65536", 0, MAX_BYTES, NULL, false,
    "BYTES", "Longest request body that is kept for another attempt" },
  { "resolve-ttl-ms", OPTION_INTEGER, &entry_options.resolve_ttl_ms, "5000", 1, MS_PER_DAY, NULL,
    false, "MS", "Time for which callers may keep an answer of resolve" },
  { "drain-limit-ms", OPTION_INTEGER, &entry_options.drain_limit_ms, "0", 0, MS_PER_DAY, NULL,
    false, "MS", "Hard limit of a graceful shutdown; 0 for none" },
  { "trace-file", OPTION_STRING, &entry_options.trace_file, NULL, 0, 0, NULL, false, "FILE",
    "File for trace spans, as OTLP JSON lines" },
  { "log-level", OPTION_ENUM, &entry_options.log_level, "info", 0, 0, log_levels, false, "LEVEL",
    "Least urgent level that is logged" },
  { 0 },
};

const option_table_t entry_option_table = {
  .program = "anvillb-entry",
  .summary = "Proxy between callers and backend servers.",
  .options = options,
};

static bool
check_listen (const char *name, const char *address, anv_error_t *err)
{
  bool tls = entry_options.tls_cert != NULL;
  if (tls || entry_options.insecure_listen || option_address_is_loopback (address))
    return true;
  anv_error_set (err, ANV_ERROR_OPTION, OPTION_ERROR_VALUE,
                 "--%s: value '%s' is not allowed: an address other than loopback needs --tls-cert "
                 "or --insecure-listen",
                 name, address);
  return false;
}

bool
entry_options_check (anv_error_t *err)
{
  if ((entry_options.tls_cert == NULL) != (entry_options.tls_key == NULL))
    {
      anv_error_set (err, ANV_ERROR_OPTION, OPTION_ERROR_MISSING,
                     "--tls-cert and --tls-key belong together");
      return false;
    }
  return check_listen ("listen", entry_options.listen, err)
         && check_listen ("admin-listen", entry_options.admin_listen, err);
}
