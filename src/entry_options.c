#include "entry_options.h"

#include "listen_check.h"
#include "program.h"

entry_options_t entry_options;

static const char *const unnamed_choices[] = { "reject", "single", NULL };

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
  { "peer-listen", OPTION_ADDRESS, &entry_options.peer_listen, "127.0.0.1:8082", 0, 0, NULL, false,
    "ADDRESS", "Address of the port for other processes of the fleet" },
  { "peer-advertise", OPTION_ADDRESS, &entry_options.peer_advertise, NULL, 0, 0, NULL, false,
    "ADDRESS", "Address that other processes use; the listening address if not given" },
  { "seed", OPTION_ADDRESS_LIST, &entry_options.seeds, NULL, 0, 0, NULL, false, "ADDRESS",
    "Peer address of another process of the fleet; may be repeated" },
  { "claim-member", OPTION_ADDRESS_LIST, &entry_options.claim_members, NULL, 0, 0, NULL, false,
    "ADDRESS", "Peer address of a member of the claims group; may be repeated" },
  { "claim-retention-ms", OPTION_INTEGER, &entry_options.claim_retention_ms, "2592000000", 60000,
    3650 * MS_PER_DAY, NULL, false, "MS", "Time for which claims and their answers are kept" },
  { "unnamed-requests", OPTION_ENUM, &entry_options.unnamed_requests, "reject", 0, 0,
    unnamed_choices, false, "ACTION",
    "Requests without Idempotency-Key on a route that needs one: reject, or single attempt" },
  { "domain-distance-ms", OPTION_INTEGER, &entry_options.domain_distance_ms, "5", 0, 10000, NULL,
    false, "MS", "Latency between two failure domains, one way" },
  { "trust-first-announcement", OPTION_BOOL, &entry_options.trust_first_announcement, "false", 0, 0,
    NULL, false, NULL,
    "Accept announcements without an echo; a delayed one can then prolong a lease" },
  { "probe-path", OPTION_STRING, &entry_options.probe_path, "/health", 0, 0, NULL, false, "PATH",
    "Path of probes to backend servers" },
  { "tls-ca", OPTION_STRING, &entry_options.tls_ca, NULL, 0, 0, NULL, false, "FILE",
    "Authority that signs the certificates of the fleet, in PEM format, for links" },
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
  { "replay-bytes", OPTION_INTEGER, &entry_options.max_kept_body_bytes, "65536", 0, MAX_BYTES, NULL,
    false, "BYTES", "Longest request body that is kept for another attempt" },
  { "resolve-ttl-ms", OPTION_INTEGER, &entry_options.resolve_ttl_ms, "5000", 1, MS_PER_DAY, NULL,
    false, "MS", "Time for which callers may keep an answer of resolve" },
  { "drain-limit-ms", OPTION_INTEGER, &entry_options.drain_limit_ms, "0", 0, MS_PER_DAY, NULL,
    false, "MS", "Hard limit of a graceful shutdown; 0 for none" },
  { "trace-file", OPTION_STRING, &entry_options.trace_file, NULL, 0, 0, NULL, false, "FILE",
    "File for trace spans, as OTLP JSON lines" },
  { "log-level", OPTION_ENUM, &entry_options.log_level, "info", 0, 0, program_log_levels, false,
    "LEVEL", "Least urgent level that is logged" },
  { 0 },
};

const option_table_t entry_option_table = {
  .program = "anvillb-entry",
  .summary = "Proxy between callers and backend servers.",
  .options = options,
};

bool
entry_options_check (anv_error_t *err)
{
  bool has_tls = entry_options.tls_cert != NULL;
  bool allow_insecure = entry_options.insecure_listen;
  bool links_have_tls = entry_options.tls_ca != NULL;
  if (has_tls != (entry_options.tls_key != NULL) || (links_have_tls && !has_tls))
    {
      anv_error_set (err, ANV_ERROR_OPTION, OPTION_ERROR_MISSING,
                     "--tls-cert and --tls-key belong together, and --tls-ca needs both");
      return false;
    }
  if (entry_options.probe_path[0] != '/')
    {
      anv_error_set (err, ANV_ERROR_OPTION, OPTION_ERROR_VALUE,
                     "--probe-path: value '%s' is not allowed: expected a path that starts with /",
                     entry_options.probe_path);
      return false;
    }
  return listen_check_address ("listen", entry_options.listen, has_tls, allow_insecure, err)
         && listen_check_address ("admin-listen", entry_options.admin_listen, has_tls,
                                  allow_insecure, err)
         && listen_check_address ("peer-listen", entry_options.peer_listen, links_have_tls,
                                  allow_insecure, err);
}
