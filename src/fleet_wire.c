#include "fleet_wire.h"

#include <math.h>

#include "deflate.h"
#include "version_codec.h"

#define STATUS_FIELD_COUNT 7
#define VIEW_FIELD_COUNT 5
#define CONFIG_FIELD_COUNT (VERSION_SEAL_FIELD_COUNT + 1)
#define TARGET_FIELD_COUNT 11
#define DEPARTURE_FIELD_COUNT 3
/* Evidence is sent as an integer number of hundredths. */
#define EVIDENCE_SCALE 100.0
#define LOAD_FIELD_COUNT 3
/* Limits on what a message may say. */
#define MAX_CELLS 65536
#define MAX_DURATION_US INT64_C (1000000000000000)
/* Largest text of a configuration after decompression. */
#define MAX_TEXT_BYTES (31U << 20)

void
fleet_status_encode (const fleet_status_t *status, wire_writer_t *writer)
{
  wire_writer_init (writer, WIRE_FLEET_STATUS, STATUS_FIELD_COUNT);
  wire_write_string (writer, status->caller_address);
  wire_write_uint (writer, status->state);
  wire_write_uint (writer, status->version);
  wire_write_bool (writer, status->wants_feed);
  wire_write_bool (writer, status->wants_sync);
  wire_write_bool (writer, status->wants_view);
  wire_write_double (writer, status->capacity);
}

bool
fleet_status_decode (fleet_status_t *status, wire_reader_t *reader)
{
  wire_read_string_into (reader, status->caller_address, sizeof (status->caller_address));
  uint64_t state = wire_read_uint (reader);
  status->version = wire_read_uint (reader);
  status->wants_feed = wire_read_bool (reader);
  status->wants_sync = wire_read_bool (reader);
  status->wants_view = wire_read_bool (reader);
  status->capacity = wire_read_double (reader);
  status->state = (entry_state_t)MIN (state, (uint64_t)ENTRY_LEAVING);
  return isfinite (status->capacity) && wire_reader_finish (reader, NULL);
}

static void
write_strings (wire_writer_t *writer, const GPtrArray *strings)
{
  wire_write_array (writer, strings->len);
  for (guint i = 0; i < strings->len; i++)
    wire_write_string (writer, g_ptr_array_index (strings, i));
}

static GPtrArray *
read_strings (wire_reader_t *reader)
{
  GPtrArray *strings = g_ptr_array_new_with_free_func (g_free);
  uint32_t count = wire_read_array (reader);
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    g_ptr_array_add (strings, wire_read_string (reader));
  wire_read_array_end (reader);
  return strings;
}

void
fleet_view_encode (const fleet_view_t *view, wire_writer_t *writer)
{
  wire_writer_init (writer, WIRE_FLEET_VIEW, VIEW_FIELD_COUNT);
  wire_write_bool (writer, view->in_contact);
  write_strings (writer, view->members);
  write_strings (writer, view->peers);
  wire_write_uint (writer, view->cell_count);
  wire_write_uint (writer, view->own_cell_index);
}

bool
fleet_view_decode (fleet_view_t *view, wire_reader_t *reader)
{
  view->in_contact = wire_read_bool (reader);
  view->members = read_strings (reader);
  view->peers = read_strings (reader);
  uint64_t cell_count = wire_read_uint (reader);
  view->own_cell_index = (unsigned)wire_read_uint (reader);
  view->cell_count = (unsigned)CLAMP (cell_count, 1, MAX_CELLS);
  return cell_count <= MAX_CELLS && wire_reader_finish (reader, NULL);
}

void
fleet_view_clear (fleet_view_t *view)
{
  g_clear_pointer (&view->members, g_ptr_array_unref);
  g_clear_pointer (&view->peers, g_ptr_array_unref);
}

void
fleet_config_encode (const version_seal_t *seal, GBytes *text, wire_writer_t *writer)
{
  gsize size = 0;
  const void *data = g_bytes_get_data (text, &size);
  GBytes *compressed = deflate_compress (data, size);
  data = g_bytes_get_data (compressed, &size);
  wire_writer_init (writer, WIRE_FLEET_CONFIG, CONFIG_FIELD_COUNT);
  version_seal_write (writer, seal);
  wire_write_bytes (writer, data, size);
  g_bytes_unref (compressed);
}

GBytes *
fleet_config_decode (version_seal_t *seal, wire_reader_t *reader)
{
  size_t size = 0;
  version_seal_read (reader, seal);
  const uint8_t *data = wire_read_bytes (reader, &size);
  if (!wire_reader_finish (reader, NULL))
    return NULL;
  return deflate_decompress (data, size, MAX_TEXT_BYTES);
}

/* Reads a duration, limited so that sums with a time don't overflow. */
static int64_t
read_duration_us (wire_reader_t *reader)
{
  int64_t duration_us = wire_read_int (reader);
  return CLAMP (duration_us, -MAX_DURATION_US, MAX_DURATION_US);
}

static void
write_target (wire_writer_t *writer, const registry_target_t *target, int64_t now_us)
{
  wire_write_array (writer, TARGET_FIELD_COUNT);
  wire_write_string (writer, target->id);
  wire_write_string (writer, target->service);
  wire_write_string (writer, target->address);
  wire_write_string (writer, target->domain);
  wire_write_string (writer, target->software_version);
  wire_write_uint (writer, target->slots);
  wire_write_int (writer, target->started_at_ms);
  wire_write_uint (writer, target->sequence);
  wire_write_uint (writer, target->state);
  wire_write_int (writer, MAX (target->warmup_end_us - now_us, 0));
  wire_write_int (writer, now_us - target->last_announcement_us);
}

static void
read_target (wire_reader_t *reader, registry_target_t *target, int64_t now_us)
{
  wire_read_array (reader);
  wire_read_string_into (reader, target->id, sizeof (target->id));
  wire_read_string_into (reader, target->service, sizeof (target->service));
  wire_read_string_into (reader, target->address, sizeof (target->address));
  wire_read_string_into (reader, target->domain, sizeof (target->domain));
  wire_read_string_into (reader, target->software_version, sizeof (target->software_version));
  target->slots = (uint32_t)wire_read_uint (reader);
  target->started_at_ms = wire_read_int (reader);
  target->sequence = wire_read_uint (reader);
  uint64_t state = wire_read_uint (reader);
  target->state = (registry_state_t)MIN (state, (uint64_t)REGISTRY_GONE);
  target->warmup_end_us = now_us + read_duration_us (reader);
  target->last_announcement_us = now_us - read_duration_us (reader);
  wire_read_array_end (reader);
}

void
fleet_targets_encode (const GArray *targets, int64_t now_us, wire_writer_t *writer)
{
  wire_writer_init (writer, WIRE_FLEET_TARGETS, 1);
  wire_write_array (writer, targets->len);
  for (guint i = 0; i < targets->len; i++)
    write_target (writer, &g_array_index (targets, registry_target_t, i), now_us);
}

bool
fleet_targets_decode (GArray *targets, int64_t now_us, wire_reader_t *reader)
{
  uint32_t count = wire_read_array (reader);
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    {
      registry_target_t target = { .slots = 0 };
      read_target (reader, &target, now_us);
      g_array_append_val (targets, target);
    }
  wire_read_array_end (reader);
  return wire_reader_finish (reader, NULL);
}

void
fleet_departed_encode (const GArray *departures, wire_writer_t *writer)
{
  wire_writer_init (writer, WIRE_FLEET_DEPARTED, 1);
  wire_write_array (writer, departures->len);
  for (guint i = 0; i < departures->len; i++)
    {
      const registry_departure_t *departure = &g_array_index (departures, registry_departure_t, i);
      wire_write_array (writer, DEPARTURE_FIELD_COUNT);
      wire_write_string (writer, departure->id);
      wire_write_int (writer, departure->started_at_ms);
      wire_write_uint (writer, departure->state);
    }
}

bool
fleet_departed_decode (GArray *departures, wire_reader_t *reader)
{
  uint32_t count = wire_read_array (reader);
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    {
      registry_departure_t departure = { .order = 0 };
      wire_read_array (reader);
      wire_read_string_into (reader, departure.id, sizeof (departure.id));
      departure.started_at_ms = wire_read_int (reader);
      uint64_t state = wire_read_uint (reader);
      departure.state = (registry_state_t)MIN (state, (uint64_t)REGISTRY_GONE);
      wire_read_array_end (reader);
      g_array_append_val (departures, departure);
    }
  wire_read_array_end (reader);
  return wire_reader_finish (reader, NULL);
}

void
fleet_load_encode (const GArray *loads, wire_writer_t *writer)
{
  wire_writer_init (writer, WIRE_FLEET_LOAD, 1);
  wire_write_array (writer, loads->len);
  for (guint i = 0; i < loads->len; i++)
    {
      const fleet_load_report_t *load = &g_array_index (loads, fleet_load_report_t, i);
      wire_write_array (writer, LOAD_FIELD_COUNT);
      wire_write_uint (writer, load->target_id);
      wire_write_uint (writer, load->in_flight);
      wire_write_int (writer, llround (load->evidence * EVIDENCE_SCALE));
    }
}

bool
fleet_load_decode (GArray *loads, wire_reader_t *reader)
{
  uint32_t count = wire_read_array (reader);
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    {
      fleet_load_report_t load;
      wire_read_array (reader);
      load.target_id = wire_read_uint (reader);
      load.in_flight = (uint32_t)wire_read_uint (reader);
      load.evidence = (double)wire_read_int (reader) / EVIDENCE_SCALE;
      wire_read_array_end (reader);
      g_array_append_val (loads, load);
    }
  wire_read_array_end (reader);
  return wire_reader_finish (reader, NULL);
}
