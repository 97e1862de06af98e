#include "entry_peers.h"

#include <string.h>

#define LOG_MODULE "entry_peers"
#include "entry_announce.h"
#include "entry_probe.h"
#include "limiter_wire.h"
#include "log.h"

#define SUMMARY_FIELD_COUNT 12
#define PROBE_REQUEST_FIELD_COUNT 3
#define PROBE_RESULT_FIELD_COUNT 6
#define SERVICE_NAME_SIZE 160

static void
send_to_peer (entry_service_t *service, const char *id, wire_writer_t *writer)
{
  const char *address = entry_core_peer_address (service->core, id);
  if (address != NULL)
    peer_network_send_writer (service->core->options.network, address, writer);
  else
    wire_writer_destroy (writer);
}

static void
write_summary (const entry_service_t *service, const service_summary_t *summary, int64_t sent_us,
               wire_writer_t *writer)
{
  wire_writer_init (writer, WIRE_SERVICE_SUMMARY, SUMMARY_FIELD_COUNT);
  wire_write_string (writer, service->name);
  wire_write_int (writer, sent_us);
  wire_write_uint (writer, summary->own_slots);
  wire_write_uint (writer, summary->settled_slots);
  wire_write_uint (writer, summary->ejected_slots);
  wire_write_uint (writer, summary->slots);
  wire_write_uint (writer, summary->free_slots);
  wire_write_int (writer, summary->wait_us[SCHEDULER_URGENT]);
  wire_write_int (writer, summary->wait_us[SCHEDULER_BACKGROUND]);
  wire_write_uint (writer, summary->measured_target_count);
  wire_write_double (writer, summary->median_latency_us);
  wire_write_double (writer, summary->failure_rate);
}

void
entry_peers_send_summary (entry_service_t *service)
{
  int64_t now_us = entry_core_now (service->core);
  service_summary_t summary;
  GHashTableIter iter;
  gpointer id = NULL;

  assigned_service_summary (&service->assigned_service, now_us, &summary);
  g_hash_table_iter_init (&iter, service->peers);
  while (g_hash_table_iter_next (&iter, NULL, &id))
    {
      wire_writer_t writer;
      write_summary (service, &summary, now_us, &writer);
      send_to_peer (service, id, &writer);
    }
}

void
entry_peers_send_usage (entry_service_t *service)
{
  int64_t now_us = entry_core_now (service->core);
  limiter_message_t message;
  wire_writer_t writer;

  for (size_t i = 0; i < service->limiter.peers->len; i++)
    {
      const limiter_peer_t *peer = g_ptr_array_index (service->limiter.peers, i);
      if (!limiter_build_message (&service->limiter, now_us, i, &message))
        continue;
      limiter_wire_encode (&message, service->name, &writer);
      send_to_peer (service, peer->id, &writer);
    }
}

void
entry_peers_request_probe (entry_service_t *service, uint64_t target_id, const char *address)
{
  GHashTableIter iter;
  gpointer id = NULL;
  wire_writer_t writer;
  guint size = g_hash_table_size (service->peers);
  if (size == 0)
    return;

  /* A random peer each time: the network path from any one of them to the target may be faulty. */
  guint skip = (guint)rng_uniform_int (service->core->options.rng, size);
  g_hash_table_iter_init (&iter, service->peers);
  while (g_hash_table_iter_next (&iter, NULL, &id) && skip-- > 0)
    ;
  wire_writer_init (&writer, WIRE_PROBE_REQUEST, PROBE_REQUEST_FIELD_COUNT);
  wire_write_string (&writer, service->name);
  wire_write_string (&writer, address);
  wire_write_uint (&writer, target_id);
  send_to_peer (service, id, &writer);
}

void
entry_peers_send_probe_result (entry_service_t *service, uint64_t link_number, uint64_t target_id,
                               const health_peer_probe_t *peer_probe)
{
  wire_writer_t writer;
  wire_writer_init (&writer, WIRE_PROBE_RESULT, PROBE_RESULT_FIELD_COUNT);
  wire_write_string (&writer, service->name);
  wire_write_uint (&writer, target_id);
  wire_write_bool (&writer, peer_probe->answered);
  wire_write_int (&writer, peer_probe->latency_us);
  wire_write_int (&writer, peer_probe->expected_probe_latency_us);
  wire_write_bool (&writer, peer_probe->peer_is_normal);
  peer_network_reply_writer (service->core->options.network, link_number, &writer);
}

/* Returns the service NAME if the peer of LINK is another entry assigned to it, otherwise NULL. */
static entry_service_t *
find_service_of_peer (entry_core_t *core, const link_t *link, const char *name)
{
  entry_service_t *service = entry_core_get_service (core, name);
  if (service == NULL)
    return NULL;
  entry_service_update_peers (service);
  return entry_service_peer_id (service, entry_hash_id (link->peer.id)) != NULL ? service : NULL;
}

static void
receive_summary (entry_core_t *core, const link_t *link, wire_reader_t *reader)
{
  char name[SERVICE_NAME_SIZE];
  service_summary_t summary = { .entry_id = entry_hash_id (link->peer.id) };

  wire_read_string_into (reader, name, sizeof (name));
  int64_t sent_us = wire_read_int (reader);
  summary.own_slots = (uint32_t)wire_read_uint (reader);
  summary.settled_slots = (uint32_t)wire_read_uint (reader);
  summary.ejected_slots = (uint32_t)wire_read_uint (reader);
  summary.slots = (uint32_t)wire_read_uint (reader);
  summary.free_slots = (uint32_t)wire_read_uint (reader);
  summary.wait_us[SCHEDULER_URGENT] = wire_read_int (reader);
  summary.wait_us[SCHEDULER_BACKGROUND] = wire_read_int (reader);
  summary.measured_target_count = (uint32_t)wire_read_uint (reader);
  summary.median_latency_us = wire_read_double (reader);
  summary.failure_rate = wire_read_double (reader);
  if (!wire_reader_finish (reader, NULL))
    return;

  /* The floor must not rely on a summary of unknown age. */
  int64_t age_us = link_compute_message_age_us (link, sent_us);
  entry_service_t *service = find_service_of_peer (core, link, name);
  if (service == NULL || age_us == LINK_CLOCK_AGE_UNKNOWN)
    return;
  int64_t now_us = entry_core_now (core);
  bool same_domain = strcmp (link->peer.domain, core->options.domain) == 0;
  summary.summary_sent_us = now_us - age_us;
  limiter_record_contact (&service->limiter, now_us, link->peer.id);
  assigned_service_set_peer (&service->assigned_service, now_us, &summary,
                             same_domain ? 0 : core->options.domain_distance_us);
}

static void
receive_usage (entry_core_t *core, const link_t *link, wire_reader_t *reader)
{
  char *name = NULL;
  limiter_message_t message;
  anv_error_t err = { 0 };

  if (limiter_wire_decode (reader, &name, &message, &err))
    {
      entry_service_t *service = find_service_of_peer (core, link, name);
      if (service != NULL)
        limiter_receive (&service->limiter, entry_core_now (core), link->peer.id, &message);
    }
  else
    LOG_WARNING ("malformed usage peer=%s error=\"%s\"", link->peer.id, err.text);
  limiter_wire_clear (&name, &message);
}

static void
receive_probe_request (entry_core_t *core, const link_t *link, wire_reader_t *reader)
{
  char name[SERVICE_NAME_SIZE];
  char address[LINK_ADDRESS_SIZE];
  wire_read_string_into (reader, name, sizeof (name));
  wire_read_string_into (reader, address, sizeof (address));
  uint64_t target_id = wire_read_uint (reader);
  entry_service_t *service
      = wire_reader_finish (reader, NULL) ? find_service_of_peer (core, link, name) : NULL;
  if (service != NULL)
    entry_probe_for_peer (service, target_id, address, link->sequence_number);
}

static void
receive_probe_result (entry_core_t *core, const link_t *link, wire_reader_t *reader)
{
  char name[SERVICE_NAME_SIZE];
  health_peer_probe_t peer_probe;
  wire_read_string_into (reader, name, sizeof (name));
  uint64_t target_id = wire_read_uint (reader);
  peer_probe.answered = wire_read_bool (reader);
  peer_probe.latency_us = wire_read_int (reader);
  peer_probe.expected_probe_latency_us = wire_read_int (reader);
  peer_probe.peer_is_normal = wire_read_bool (reader);
  entry_service_t *service
      = wire_reader_finish (reader, NULL) ? find_service_of_peer (core, link, name) : NULL;
  if (service != NULL)
    assigned_service_peer_probe_done (&service->assigned_service, entry_core_now (core), target_id,
                                      &peer_probe);
}

bool
entry_peers_receive (entry_core_t *core, link_t *link, wire_type_t type, wire_reader_t *reader)
{
  if (type == WIRE_SERVICE_SUMMARY)
    receive_summary (core, link, reader);
  else if (type == WIRE_TEAM_USAGE)
    receive_usage (core, link, reader);
  else if (type == WIRE_PROBE_REQUEST)
    receive_probe_request (core, link, reader);
  else if (type == WIRE_PROBE_RESULT)
    receive_probe_result (core, link, reader);
  else if (type == WIRE_TARGET_LEASE)
    entry_announce_receive (core, link, reader);
  else
    return false;
  return true;
}
