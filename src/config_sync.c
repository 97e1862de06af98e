#include "config_sync.h"

#include <string.h>

#define LOG_MODULE "config_sync"
#include "log.h"

static uint64_t
digest_prefix (const version_digest_t *digest)
{
  uint64_t value = 0;
  memcpy (&value, digest->bytes, sizeof (value));
  return GUINT64_FROM_BE (value);
}

static void
announce_install (config_sync_t *sync)
{
  uint64_t version = config_cache_version (sync->cache);
  version_digest_t digest = config_cache_digest (sync->cache);
  char hex[VERSION_HEX_SIZE];

  LOG_NOTICE ("configuration in force version=%" G_GUINT64_FORMAT " digest=%.16s", version,
              version_digest_hex (&digest, hex));
  metric_inc (&sync->installs);
  metric_set (&sync->version_gauge, (int64_t)version);
  membership_task_set_version (sync->options.membership, version, digest_prefix (&digest));
  if (sync->options.on_install != NULL)
    sync->options.on_install (sync->options.data, version, config_cache_doc (sync->cache));
}

void
config_sync_init (config_sync_t *sync, const config_sync_options_t *options)
{
  config_cache_options_t cache_options = { 0 };
  *sync = (config_sync_t){ .options = *options };
  sync->cache = config_cache_new (&cache_options);
  metric_register (options->counters, &sync->version_gauge, METRIC_KIND_GAUGE,
                   "anvillb_config_version", NULL, "Configuration version in force.");
  metric_register (options->counters, &sync->fetches, METRIC_KIND_COUNTER,
                   "anvillb_config_fetches_total", NULL, "Requests for a configuration.");
  metric_register (options->counters, &sync->installs, METRIC_KIND_COUNTER,
                   "anvillb_config_installs_total", NULL, "Configurations installed.");
  metric_register (options->counters, &sync->rejected, METRIC_KIND_COUNTER,
                   "anvillb_config_rejected_total", NULL, "Received configurations not installed.");
}

void
config_sync_destroy (config_sync_t *sync)
{
  g_clear_pointer (&sync->cache, config_cache_free);
}

static void
send_fetch (config_sync_t *sync, const char *address)
{
  g_autoptr (GBytes) message = config_cache_build_fetch (sync->cache);
  gsize size = 0;
  const uint8_t *data = g_bytes_get_data (message, &size);
  metric_inc (&sync->fetches);
  sync->fetch_expiry_us = io_loop_now_us (sync->options.loop) + CONFIG_FETCH_TIMEOUT_US;
  peer_network_send (sync->options.network, address, data, size);
}

void
config_sync_on_announcement (config_sync_t *sync, const swim_member_t *member, uint64_t version,
                             uint64_t digest)
{
  uint64_t own_version = config_cache_version (sync->cache);
  version_digest_t own_digest = config_cache_digest (sync->cache);

  if (version == own_version && own_version > 0 && digest != digest_prefix (&own_digest))
    LOG_ERROR (
        "member announces another document for the installed version version=%" G_GUINT64_FORMAT
        " member=%s",
        own_version, member->id);
  if (version <= own_version || io_loop_now_us (sync->options.loop) < sync->fetch_expiry_us)
    return;
  send_fetch (sync, member->peer_address);
}

static void
answer_fetch (config_sync_t *sync, const link_t *link, const uint8_t *data, size_t size)
{
  anv_error_t err = { 0 };
  g_autoptr (GBytes) answer = config_cache_answer_fetch (sync->cache, data, size, &err);
  if (answer == NULL)
    {
      if (anv_error_is_set (&err))
        LOG_WARNING ("malformed fetch peer=%s error=\"%s\"", link->peer.id, err.text);
      return;
    }
  gsize answer_size = 0;
  const uint8_t *bytes = g_bytes_get_data (answer, &answer_size);
  peer_network_reply (sync->options.network, link->sequence_number, bytes, answer_size);
}

static void
receive_answer (config_sync_t *sync, const link_t *link, const uint8_t *data, size_t size)
{
  anv_error_t err = { 0 };
  sync->fetch_expiry_us = 0;
  if (config_cache_receive (sync->cache, data, size, &err))
    {
      announce_install (sync);
      return;
    }
  metric_inc (&sync->rejected);
  if (err.code != VERSION_ERROR_NOT_NEWER)
    LOG_WARNING ("configuration rejected peer=%s error=\"%s\"", link->peer.id, err.text);
}

bool
config_sync_receive (config_sync_t *sync, const link_t *link, wire_type_t type, const uint8_t *data,
                     size_t size)
{
  if (type == WIRE_CONFIG_FETCH)
    answer_fetch (sync, link, data, size);
  else if (type == WIRE_CONFIG_DELTA || type == WIRE_CONFIG_FULL)
    receive_answer (sync, link, data, size);
  else
    return false;
  return true;
}

void
config_sync_install (config_sync_t *sync, const version_seal_t *seal, config_doc_t *doc)
{
  anv_error_t err = { 0 };
  if (seal->version <= config_cache_version (sync->cache))
    return;
  if (config_cache_install (sync->cache, seal, doc, &err))
    announce_install (sync);
  else
    LOG_ERROR ("cannot install a version from the version store error=\"%s\"", err.text);
}

uint64_t
config_sync_version (const config_sync_t *sync)
{
  return config_cache_version (sync->cache);
}

config_doc_t *
config_sync_doc (const config_sync_t *sync)
{
  return config_cache_doc (sync->cache);
}
