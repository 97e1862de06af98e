#include "fleet_machine.h"

#define LOG_MODULE "fleet_machine"
#include "fleet_wire.h"
#include "log.h"

/* First byte of a command, which selects its kind. */
#define KIND_VERSION 'V'
#define KIND_DEPARTURE 'D'

static void
on_version_changed (io_deferred_t *deferred)
{
  fleet_machine_t *machine = CONTAINER_OF (deferred, fleet_machine_t, version_changed);
  machine->options.on_version (machine->options.data);
}

static void
apply_version (fleet_machine_t *machine, uint64_t index, uint64_t term, const uint8_t *data,
               size_t size)
{
  version_command_reader_t reader = { 0 };
  version_result_t result;
  anv_error_t err = { 0 };

  if (version_command_decode (&reader, data, size, &err))
    {
      version_store_apply (machine->store, &reader.command, &result);
      GBytes *encoded = version_result_encode (&result);
      LOG_INFO ("command index=%" G_GUINT64_FORMAT " operator=%s patch_id=%.16s outcome=%s "
                "version=%" G_GUINT64_FORMAT " label=%" G_GUINT64_FORMAT " text=\"%s\"",
                index, reader.command.operator_name, reader.command.patch_id,
                version_outcome_name (result.outcome), result.current,
                config_doc_label (version_store_doc (machine->store)), result.text);
      if (result.outcome == VERSION_ACCEPTED)
        io_loop_defer (machine->options.loop, &machine->version_changed);
      replica_group_on_applied (machine->options.group, index, term, encoded);
      g_bytes_unref (encoded);
    }
  else
    LOG_ERROR ("malformed command index=%" G_GUINT64_FORMAT " error=\"%s\"", index, err.text);
  version_command_release (&reader);
}

static void
apply_departure (fleet_machine_t *machine, uint64_t index, uint64_t term, const uint8_t *data,
                 size_t size)
{
  g_autoptr (GArray) departures = g_array_new (FALSE, TRUE, sizeof (registry_departure_t));
  wire_reader_t reader;
  wire_type_t type;
  anv_error_t err = { 0 };

  if (!wire_reader_init (&reader, data, size, &type, &err))
    {
      LOG_ERROR ("malformed departure index=%" G_GUINT64_FORMAT " error=\"%s\"", index, err.text);
      return;
    }
  if (fleet_departed_decode (departures, &reader) && departures->len == 1)
    {
      const registry_departure_t *departure = &g_array_index (departures, registry_departure_t, 0);
      bool changed = target_registry_record_departure (machine->options.registry, departure->id,
                                                       departure->started_at_ms, departure->state);
      if (changed)
        machine->options.on_departure (machine->options.data, departure->id,
                                       departure->started_at_ms, departure->state);
      GBytes *empty = g_bytes_new (NULL, 0);
      replica_group_on_applied (machine->options.group, index, term, empty);
      g_bytes_unref (empty);
    }
  wire_reader_destroy (&reader);
}

static void
apply_command (state_machine_t *base, uint64_t index, uint64_t term, const uint8_t *data,
               size_t size)
{
  fleet_machine_t *machine = (fleet_machine_t *)base;
  if (size > 0 && data[0] == KIND_VERSION)
    apply_version (machine, index, term, data + 1, size - 1);
  else if (size > 0 && data[0] == KIND_DEPARTURE)
    apply_departure (machine, index, term, data + 1, size - 1);
  else
    LOG_ERROR ("unknown kind of command index=%" G_GUINT64_FORMAT, index);
}

static gint
compare_order (gconstpointer a, gconstpointer b)
{
  uint64_t x = ((const registry_departure_t *)a)->order;
  uint64_t y = ((const registry_departure_t *)b)->order;
  return x < y ? -1 : x > y;
}

static void
collect_departure (void *data, const registry_departure_t *departure)
{
  g_array_append_vals (data, departure, 1);
}

/* Format of a snapshot: the size of the version store's part as a big-endian 64-bit integer, that
 * part, and a DEPARTED message. */
static void
write_snapshot (state_machine_t *base, GByteArray *out)
{
  fleet_machine_t *machine = (fleet_machine_t *)base;
  g_autoptr (GBytes) versions = version_store_save (machine->store);
  g_autoptr (GArray) departures = g_array_new (FALSE, FALSE, sizeof (registry_departure_t));
  gsize size = 0;
  const guint8 *data = g_bytes_get_data (versions, &size);
  wire_writer_t writer;

  target_registry_foreach_departure (machine->options.registry, collect_departure, departures);
  /* The snapshots of all members must be equal, and hash tables have no fixed order. */
  g_array_sort (departures, compare_order);
  fleet_departed_encode (departures, &writer);
  bytes_put_u64 (out, size);
  g_byte_array_append (out, data, (guint)size);
  g_byte_array_append (out, (const guint8 *)writer.buffer.data, (guint)writer.buffer.size);
  wire_writer_destroy (&writer);
}

static bool
restore_departures (fleet_machine_t *machine, const uint8_t *data, size_t size, anv_error_t *err)
{
  g_autoptr (GArray) departures = g_array_new (FALSE, TRUE, sizeof (registry_departure_t));
  wire_reader_t reader;
  wire_type_t type;
  if (!wire_reader_init (&reader, data, size, &type, err))
    return false;
  bool ok = type == WIRE_FLEET_DEPARTED && fleet_departed_decode (departures, &reader);
  wire_reader_destroy (&reader);
  if (!ok)
    {
      anv_error_set (err, ANV_ERROR_WIRE, WIRE_ERROR_FIELD, "malformed departures in the snapshot");
      return false;
    }
  target_registry_clear_departures (machine->options.registry);
  for (guint i = 0; i < departures->len; i++)
    {
      const registry_departure_t *departure = &g_array_index (departures, registry_departure_t, i);
      target_registry_record_departure (machine->options.registry, departure->id,
                                        departure->started_at_ms, departure->state);
      machine->options.on_departure (machine->options.data, departure->id, departure->started_at_ms,
                                     departure->state);
    }
  return true;
}

static bool
restore_snapshot (state_machine_t *base, const uint8_t *data, size_t size, anv_error_t *err)
{
  fleet_machine_t *machine = (fleet_machine_t *)base;
  uint64_t versions_size = size >= 8 ? bytes_get_u64 (data) : UINT64_MAX;
  if (versions_size > size - MIN (size, 8))
    {
      anv_error_set (err, ANV_ERROR_WIRE, WIRE_ERROR_MALFORMED, "truncated snapshot");
      return false;
    }
  version_store_t *store = version_store_restore (data + 8, versions_size, err);
  if (store == NULL
      || !restore_departures (machine, data + 8 + versions_size, size - 8 - versions_size, err))
    {
      version_store_free (store);
      return false;
    }
  version_store_free (machine->store);
  machine->store = store;
  io_loop_defer (machine->options.loop, &machine->version_changed);
  return true;
}

static const state_machine_ops_t machine_ops = {
  .apply = apply_command,
  .snapshot = write_snapshot,
  .restore = restore_snapshot,
};

void
fleet_machine_init (fleet_machine_t *machine, const fleet_machine_options_t *options)
{
  *machine = (fleet_machine_t){ .machine.ops = &machine_ops, .options = *options };
  machine->store = version_store_new ();
  io_deferred_init (&machine->version_changed, on_version_changed);
}

void
fleet_machine_destroy (fleet_machine_t *machine)
{
  io_deferred_cancel (&machine->version_changed);
  g_clear_pointer (&machine->store, version_store_free);
}

void
fleet_machine_reset (void *data)
{
  fleet_machine_t *machine = data;
  version_store_free (machine->store);
  machine->store = version_store_new ();
  target_registry_clear_departures (machine->options.registry);
}

static GBytes *
create_command (char kind, const void *data, size_t size)
{
  guint8 *bytes = g_malloc (size + 1);
  bytes[0] = (guint8)kind;
  memcpy (bytes + 1, data, size);
  return g_bytes_new_take (bytes, size + 1);
}

GBytes *
fleet_machine_encode_version_command (const version_command_t *command)
{
  g_autoptr (GBytes) encoded = version_command_encode (command);
  gsize size = 0;
  const void *data = g_bytes_get_data (encoded, &size);
  return create_command (KIND_VERSION, data, size);
}

GBytes *
fleet_machine_encode_departure_command (const char *id, int64_t started_at_ms,
                                        registry_state_t state)
{
  g_autoptr (GArray) departures = g_array_new (FALSE, TRUE, sizeof (registry_departure_t));
  registry_departure_t departure = { .started_at_ms = started_at_ms, .state = state };
  wire_writer_t writer;
  g_strlcpy (departure.id, id, sizeof (departure.id));
  g_array_append_val (departures, departure);
  fleet_departed_encode (departures, &writer);
  GBytes *command = create_command (KIND_DEPARTURE, writer.buffer.data, writer.buffer.size);
  wire_writer_destroy (&writer);
  return command;
}
