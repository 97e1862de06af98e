#include "config_machine.h"

#include <string.h>

#define LOG_MODULE "config_machine"
#include "log.h"

static void
install_current (io_deferred_t *deferred)
{
  config_machine_t *machine = CONTAINER_OF (deferred, config_machine_t, install);
  version_seal_t seal = version_store_seal (machine->store);
  if (seal.version > 0)
    config_sync_install (machine->sync, &seal, version_store_doc (machine->store));
}

static void
apply (state_machine_t *base, uint64_t index, uint64_t term, const uint8_t *data, size_t size)
{
  config_machine_t *machine = (config_machine_t *)base;
  version_command_reader_t reader = { 0 };
  version_result_t result;
  anv_error_t err = { 0 };

  if (version_command_decode (&reader, data, size, &err))
    {
      version_store_apply (machine->store, &reader.command, &result);
      replica_group_on_applied (machine->group, index, term, &result);
      /* After a restart many versions are applied in one iteration of the loop. Deferring installs
       * only the last one. */
      if (result.outcome == VERSION_ACCEPTED)
        io_loop_defer (machine->loop, &machine->install);
    }
  else
    LOG_ERROR ("unreadable entry index=%" G_GUINT64_FORMAT " error=\"%s\"", index, err.text);
  version_command_release (&reader);
}

static void
snapshot (state_machine_t *base, GByteArray *out)
{
  config_machine_t *machine = (config_machine_t *)base;
  g_autoptr (GBytes) bytes = version_store_save (machine->store);
  gsize size = 0;
  const guint8 *data = g_bytes_get_data (bytes, &size);
  g_byte_array_append (out, data, (guint)size);
}

static bool
restore (state_machine_t *base, const uint8_t *data, size_t size, anv_error_t *err)
{
  config_machine_t *machine = (config_machine_t *)base;
  version_store_t *store = version_store_restore (data, size, err);
  if (store == NULL)
    return false;
  version_store_free (machine->store);
  machine->store = store;
  io_loop_defer (machine->loop, &machine->install);
  return true;
}

static const state_machine_ops_t machine_ops = {
  .apply = apply,
  .snapshot = snapshot,
  .restore = restore,
};

void
config_machine_init (config_machine_t *machine, replica_group_t *group, config_sync_t *sync,
                     io_loop_t *loop)
{
  *machine = (config_machine_t){
    .machine.ops = &machine_ops, .group = group, .sync = sync, .loop = loop
  };
  machine->store = version_store_new ();
  io_deferred_init (&machine->install, install_current);
}

void
config_machine_destroy (config_machine_t *machine)
{
  io_deferred_cancel (&machine->install);
  g_clear_pointer (&machine->store, version_store_free);
}

void
config_machine_reset (void *data)
{
  config_machine_t *machine = data;
  version_store_free (machine->store);
  machine->store = version_store_new ();
}
