#include "claim_machine.h"

#include <string.h>

#define LOG_MODULE "claim_machine"
#include "log.h"

#define US_PER_MS 1000

typedef struct
{
  claim_machine_t *machine;
  uint64_t link_number;
  uint64_t request_id;
} pending_reply_t;

static void
apply (state_machine_t *base, uint64_t index, uint64_t term, const uint8_t *data, size_t size)
{
  claim_machine_t *machine = (claim_machine_t *)base;
  wire_reader_t reader;
  wire_type_t type;
  uint64_t request_id = 0;
  uint32_t relays_left = 0;
  claim_command_t command;
  claim_result_t result = { 0 };
  anv_error_t err = { 0 };

  if (!wire_reader_init (&reader, data, size, &type, &err))
    {
      LOG_ERROR ("unreadable entry index=%" G_GUINT64_FORMAT " error=\"%s\"", index, err.text);
      return;
    }
  if (claim_request_decode (&reader, &request_id, &relays_left, &command, &err))
    {
      claim_store_apply (&machine->store, &command, &result);
      replica_group_on_applied (machine->group, index, term, &result);
      claim_result_clear (&result);
      claim_command_clear (&command);
    }
  else
    LOG_ERROR ("unreadable entry index=%" G_GUINT64_FORMAT " error=\"%s\"", index, err.text);
  wire_reader_destroy (&reader);
  metric_set (&machine->records, (int64_t)claim_store_count (&machine->store));
}

static void
snapshot (state_machine_t *base, GByteArray *out)
{
  claim_machine_t *machine = (claim_machine_t *)base;
  GByteArray *bytes = claim_store_snapshot (&machine->store);
  g_byte_array_append (out, bytes->data, bytes->len);
  g_byte_array_unref (bytes);
}

static bool
restore (state_machine_t *base, const uint8_t *data, size_t size, anv_error_t *err)
{
  claim_machine_t *machine = (claim_machine_t *)base;
  return claim_store_restore (&machine->store, data, size, err);
}

static const state_machine_ops_t machine_ops = {
  .apply = apply,
  .snapshot = snapshot,
  .restore = restore,
};

void
claim_machine_init (claim_machine_t *machine, const claim_machine_options_t *options)
{
  static const char *const labels[]
      = { NULL, "command=\"grant\"", "command=\"outcome\"", "command=\"release\"" };
  *machine = (claim_machine_t){ .machine.ops = &machine_ops,
                                .group = options->group,
                                .network = options->network,
                                .loop = options->loop,
                                .max_records = options->max_records,
                                .max_total_response_bytes = options->max_total_response_bytes };
  claim_store_init (&machine->store);
  for (int type = CLAIM_COMMAND_GRANT; type <= CLAIM_COMMAND_RELEASE; type++)
    metric_register (options->counters, &machine->requests[type], METRIC_KIND_COUNTER,
                     "anvillb_claim_requests_total", labels[type], "Requests for claims.");
  metric_register (options->counters, &machine->records, METRIC_KIND_GAUGE, "anvillb_claim_records",
                   NULL, "Claims on record.");
  metric_register (options->counters, &machine->refused_full, METRIC_KIND_COUNTER,
                   "anvillb_claims_refused_full_total", NULL,
                   "Claims refused because the record is full.");
}

void
claim_machine_destroy (claim_machine_t *machine)
{
  claim_store_destroy (&machine->store);
}

void
claim_machine_reset (void *data)
{
  claim_machine_t *machine = data;
  claim_store_destroy (&machine->store);
  claim_store_init (&machine->store);
}

void
claim_machine_leadership_changed (void *data, bool leading)
{
  claim_machine_t *machine = data;
  if (leading)
    machine->last_proposal_us = io_loop_now_us (machine->loop);
}

static void
send_reply (claim_machine_t *machine, uint64_t link_number, uint64_t request_id,
            const claim_result_t *result)
{
  wire_writer_t writer;
  claim_reply_encode (&writer, request_id, result);
  peer_network_reply_writer (machine->network, link_number, &writer);
}

static void
on_applied (void *data, const void *applied)
{
  pending_reply_t *pending = data;
  claim_result_t unavailable = { .type = CLAIM_RESULT_UNAVAILABLE };
  const claim_result_t *result = applied != NULL ? applied : &unavailable;
  send_reply (pending->machine, pending->link_number, pending->request_id, result);
  g_free (pending);
}

/* Returns whether COMMAND requests a claim that has no record yet although the store is full. */
static bool
exceeds_capacity (const claim_machine_t *machine, const claim_command_t *command)
{
  claim_state_t state;
  if (command->type != CLAIM_COMMAND_GRANT)
    return false;
  bool full = claim_store_count (&machine->store) >= machine->max_records
              || machine->store.answer_bytes >= machine->max_total_response_bytes;
  return full && !claim_store_lookup (&machine->store, command->key, &state);
}

/* Returns the milliseconds since the previous proposal. The fraction that is left counts towards
 * the next one. */
static uint64_t
update_proposal_time (claim_machine_t *machine)
{
  int64_t now_us = io_loop_now_us (machine->loop);
  int64_t advance_ms = (now_us - machine->last_proposal_us) / US_PER_MS;
  machine->last_proposal_us += advance_ms * US_PER_MS;
  return (uint64_t)MAX (advance_ms, 0);
}

static void
reply_not_leader (claim_machine_t *machine, uint64_t link_number, uint64_t request_id)
{
  claim_result_t result = { .type = CLAIM_RESULT_NOT_LEADER };
  char name[RAFT_NAME_SIZE];
  char operator_address[LINK_ADDRESS_SIZE];
  replica_group_get_leader_name (machine->group, name);
  replica_group_split_member_name (name, result.leader_address, operator_address);
  send_reply (machine, link_number, request_id, &result);
}

static void
propose (claim_machine_t *machine, uint64_t link_number, uint64_t request_id,
         claim_command_t *command)
{
  wire_writer_t writer;
  anv_error_t err = { 0 };
  pending_reply_t *pending = g_new0 (pending_reply_t, 1);
  pending->machine = machine;
  pending->link_number = link_number;
  pending->request_id = request_id;

  command->advance_ms = update_proposal_time (machine);
  claim_request_encode (&writer, 0, 0, command);
  bool proposed = replica_group_propose (machine->group, (const uint8_t *)writer.buffer.data,
                                         writer.buffer.size, on_applied, pending, &err);
  wire_writer_destroy (&writer);
  if (proposed)
    return;
  g_free (pending);
  claim_result_t result = { .type = CLAIM_RESULT_UNAVAILABLE };
  if (err.code == RAFT_ERROR_NOT_LEADER)
    reply_not_leader (machine, link_number, request_id);
  else
    send_reply (machine, link_number, request_id, &result);
}

void
claim_machine_receive (claim_machine_t *machine, const link_t *link, wire_reader_t *reader)
{
  uint64_t request_id = 0;
  uint32_t relays_left = 0;
  claim_command_t command;
  anv_error_t err = { 0 };

  if (!claim_request_decode (reader, &request_id, &relays_left, &command, &err))
    {
      LOG_WARNING ("malformed claim peer=%s error=\"%s\"", link->peer.id, err.text);
      return;
    }
  metric_inc (&machine->requests[command.type]);
  if (!machine->group->leading)
    reply_not_leader (machine, link->sequence_number, request_id);
  else if (exceeds_capacity (machine, &command))
    {
      claim_result_t result = { .type = CLAIM_RESULT_UNAVAILABLE };
      metric_inc (&machine->refused_full);
      send_reply (machine, link->sequence_number, request_id, &result);
    }
  else
    propose (machine, link->sequence_number, request_id, &command);
  claim_command_clear (&command);
}
