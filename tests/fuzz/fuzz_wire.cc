/* Messages between the processes of a fleet, and commands in the log. Input: a frame's content. */

#include <cmath>
#include <cstring>

#include "fuzz.h"
extern "C"
{
#include "claim_wire.h"
#include "fleet_wire.h"
#include "limiter_wire.h"
#include "quota_wire.h"
#include "raft_wire.h"
#include "swim_wire.h"
#include "version_codec.h"
}

#define NOW_US INT64_C (1000000000)

namespace
{
std::string
take (wire_writer_t *writer)
{
  std::string text (writer->buffer.data, writer->buffer.size);
  wire_writer_destroy (writer);
  return text;
}

/* Decodes an array of elements of ELEMENT_SIZE and encodes it again; "" if it is malformed. */
template <typename Decode, typename Encode>
std::string
reencode_array (size_t element_size, Decode decode, Encode encode)
{
  wire_writer_t writer;
  std::string result;
  GArray *elements = g_array_new (FALSE, TRUE, (guint)element_size);
  if (decode (elements))
    {
      encode (elements, &writer);
      result = take (&writer);
    }
  g_array_unref (elements);
  return result;
}

/* Decodes one message and encodes it again. Returns "" if it is malformed or of no type that has an
 * encoder here. */
std::string
reencode (const std::string &input)
{
  const uint8_t *data = (const uint8_t *)input.data ();
  wire_reader_t reader;
  wire_writer_t writer;
  wire_type_t read_type;
  anv_error_t err = {};
  std::string result;
  if (!wire_reader_init (&reader, data, input.size (), &read_type, &err))
    {
      FUZZ_CHECK (err.text[0] != '\0');
      return "";
    }
  /* Any number may have been sent. In C it may be in an enum, in C++ it may not. */
  unsigned type = 0;
  static_assert (sizeof (type) == sizeof (read_type), "enums have the size of an int");
  memcpy (&type, &read_type, sizeof (type));
  if (type == WIRE_FLEET_STATUS)
    {
      fleet_status_t status = {};
      if (fleet_status_decode (&status, &reader))
        {
          FUZZ_CHECK (std::isfinite (status.capacity));
          fleet_status_encode (&status, &writer);
          result = take (&writer);
        }
    }
  else if (type == WIRE_FLEET_VIEW)
    {
      fleet_view_t view = {};
      if (fleet_view_decode (&view, &reader))
        {
          FUZZ_CHECK (view.cell_count > 0);
          fleet_view_encode (&view, &writer);
          result = take (&writer);
        }
      fleet_view_clear (&view);
    }
  else if (type == WIRE_FLEET_CONFIG)
    {
      version_seal_t seal = {};
      GBytes *text = fleet_config_decode (&seal, &reader);
      if (text != nullptr)
        {
          fleet_config_encode (&seal, text, &writer);
          result = take (&writer);
          g_bytes_unref (text);
        }
    }
  else if (type == WIRE_FLEET_TARGETS)
    result = reencode_array (
        sizeof (registry_target_t),
        [&] (GArray *targets) { return fleet_targets_decode (targets, NOW_US, &reader); },
        [] (GArray *targets, wire_writer_t *out) { fleet_targets_encode (targets, NOW_US, out); });
  else if (type == WIRE_FLEET_DEPARTED)
    result = reencode_array (
        sizeof (registry_departure_t),
        [&] (GArray *departures) { return fleet_departed_decode (departures, &reader); },
        fleet_departed_encode);
  else if (type == WIRE_FLEET_LOAD)
    result = reencode_array (
        sizeof (fleet_load_report_t),
        [&] (GArray *loads) { return fleet_load_decode (loads, &reader); }, fleet_load_encode);
  else if (type == WIRE_FLEET_QUOTA_ASK)
    {
      quota_ask_t ask = {};
      result = reencode_array (
          sizeof (quota_ask_team_t),
          [&] (GArray *teams) {
            ask.teams = teams;
            return quota_ask_decode (&ask, &reader);
          },
          [&] (GArray *, wire_writer_t *out) { quota_ask_encode (&ask, out); });
    }
  else if (type == WIRE_FLEET_QUOTA_GRANT)
    {
      quota_grant_t grant = {};
      result = reencode_array (
          sizeof (quota_grant_team_t),
          [&] (GArray *teams) {
            grant.teams = teams;
            return quota_grant_decode (&grant, &reader);
          },
          [&] (GArray *, wire_writer_t *out) { quota_grant_encode (&grant, out); });
    }
  else if (type == WIRE_FLEET_QUOTA_MOVED)
    {
      quota_moved_t moved = {};
      if (quota_moved_decode (&moved, &reader))
        {
          quota_moved_encode (&moved, &writer);
          result = take (&writer);
        }
    }
  else if (type == WIRE_CLAIM_REQUEST)
    {
      uint64_t id = 0;
      uint32_t relays_left = 0;
      claim_command_t command = {};
      if (claim_request_decode (&reader, &id, &relays_left, &command, &err))
        {
          claim_request_encode (&writer, id, relays_left, &command);
          result = take (&writer);
          claim_command_clear (&command);
        }
    }
  else if (type == WIRE_CLAIM_REPLY)
    {
      uint64_t id = 0;
      claim_result_t reply = {};
      if (claim_reply_decode (&reader, &id, &reply, &err))
        {
          claim_reply_encode (&writer, id, &reply);
          result = take (&writer);
          claim_result_clear (&reply);
        }
    }
  else if (type >= WIRE_SWIM_PING && type <= WIRE_SWIM_SYNC)
    {
      swim_message_t message = {};
      if (swim_wire_decode (&reader, (wire_type_t)type, &message, &err))
        {
          swim_wire_encode (&message, &writer);
          result = take (&writer);
        }
      swim_wire_clear (&message);
    }
  else if (type == WIRE_TEAM_USAGE)
    {
      char *service = nullptr;
      limiter_message_t message = {};
      if (limiter_wire_decode (&reader, &service, &message, &err))
        {
          limiter_wire_encode (&message, service, &writer);
          result = take (&writer);
        }
      limiter_wire_clear (&service, &message);
    }
  wire_reader_destroy (&reader);
  if (type >= WIRE_RAFT_VOTE && type <= WIRE_RAFT_TIMEOUT_NOW)
    {
      raft_wire_message_t decoded = {};
      if (raft_wire_decode (&decoded, data, input.size (), &err))
        {
          raft_wire_encode (&decoded.message, &writer);
          result = take (&writer);
          raft_wire_destroy (&decoded);
        }
    }
  version_command_reader_t command = {};
  if (version_command_decode (&command, data, input.size (), &err))
    {
      GBytes *bytes = version_command_encode (&command.command);
      result.assign ((const char *)g_bytes_get_data (bytes, nullptr), g_bytes_get_size (bytes));
      g_bytes_unref (bytes);
    }
  version_command_release (&command);
  return result;
}

void
fill_target (registry_target_t *target)
{
  *target = {};
  strcpy (target->id, "t-1");
  strcpy (target->service, "crew");
  strcpy (target->address, "10.0.0.1:80");
  strcpy (target->domain, "north");
  strcpy (target->software_version, "7");
  target->slots = 4;
  target->started_at_ms = INT64_C (1700000000000);
  target->sequence = 3;
  target->warmup_end_us = NOW_US + 500000;
  target->last_announcement_us = NOW_US - 1000;
}
}

std::vector<std::string>
fuzz_seeds ()
{
  std::vector<std::string> seeds;
  wire_writer_t writer;

  fleet_status_t status = {};
  strcpy (status.caller_address, "10.0.0.9:80");
  status.version = 12;
  status.capacity = 1234.5;
  fleet_status_encode (&status, &writer);
  seeds.push_back (take (&writer));
  status.capacity = NAN; // must be refused
  fleet_status_encode (&status, &writer);
  seeds.push_back (take (&writer));

  fleet_view_t view = { true, g_ptr_array_new (), g_ptr_array_new (), 3, 1 };
  g_ptr_array_add (view.members, (gpointer) "10.0.0.1:1");
  g_ptr_array_add (view.peers, (gpointer) "10.0.0.2:1");
  fleet_view_encode (&view, &writer);
  seeds.push_back (take (&writer));
  fleet_view_clear (&view);

  version_seal_t seal = {};
  seal.schema = 1;
  seal.version = 3;
  GBytes *text = g_bytes_new_static ("{}", 2);
  fleet_config_encode (&seal, text, &writer);
  seeds.push_back (take (&writer));

  GArray *targets = g_array_new (FALSE, TRUE, sizeof (registry_target_t));
  g_array_set_size (targets, 2);
  fill_target (&g_array_index (targets, registry_target_t, 0));
  fill_target (&g_array_index (targets, registry_target_t, 1));
  fleet_targets_encode (targets, NOW_US, &writer);
  seeds.push_back (take (&writer));
  g_array_unref (targets);

  GArray *departures = g_array_new (FALSE, TRUE, sizeof (registry_departure_t));
  registry_departure_t departure = { "t-1", INT64_C (1700000000000), REGISTRY_DRAINING, 5 };
  g_array_append_val (departures, departure);
  fleet_departed_encode (departures, &writer);
  seeds.push_back (take (&writer));
  g_array_unref (departures);

  GArray *loads = g_array_new (FALSE, TRUE, sizeof (fleet_load_report_t));
  fleet_load_report_t load = { 77, 3, -0.25 };
  g_array_append_val (loads, load);
  fleet_load_encode (loads, &writer);
  seeds.push_back (take (&writer));
  g_array_unref (loads);

  quota_ask_team_t asked = { 99, 3, 2, 1 };
  quota_ask_t ask = { 1, g_array_new (FALSE, TRUE, sizeof (asked)) };
  g_array_append_val (ask.teams, asked);
  quota_ask_encode (&ask, &writer);
  seeds.push_back (take (&writer));
  g_array_unref (ask.teams);
  quota_grant_team_t granted = { 99, 1, 2, 5, 1000, 100 };
  quota_grant_t grant = { 1, 107, g_array_new (FALSE, TRUE, sizeof (granted)) };
  g_array_append_val (grant.teams, granted);
  quota_grant_encode (&grant, &writer);
  seeds.push_back (take (&writer));
  g_array_unref (grant.teams);
  quota_moved_t moved = { 1, 107, "10.0.0.1:1" };
  quota_moved_encode (&moved, &writer);
  seeds.push_back (take (&writer));

  claim_command_t command = {};
  command.type = CLAIM_COMMAND_OUTCOME;
  command.status = 201;
  command.headers = g_bytes_ref (text);
  command.body = g_bytes_ref (text);
  claim_request_encode (&writer, 9, 1, &command);
  seeds.push_back (take (&writer));
  claim_command_clear (&command);

  claim_result_t reply = {};
  reply.type = CLAIM_RESULT_NOT_LEADER;
  strcpy (reply.leader_address, "10.0.0.3:1");
  claim_reply_encode (&writer, 9, &reply);
  seeds.push_back (take (&writer));

  swim_message_t message = {};
  message.type = WIRE_SWIM_PING;
  message.from = "a";
  message.to = "b";
  message.subject = "";
  message.subject_address = "";
  message.updates[0]
      = { "c", SWIM_ALIVE, SWIM_FLAG_CONFIGURED, 4, "10.0.0.4:1", "10.0.0.4:2", "north" };
  message.updates[1] = { "d", SWIM_DEAD, SWIM_FLAG_LEFT, 5, "", "", "" };
  message.update_count = 2;
  swim_wire_encode (&message, &writer);
  seeds.push_back (take (&writer));

  limiter_message_t usage = {};
  limiter_usage_t of_team = { 99, 3 };
  usage.epoch = 2;
  usage.batch_count = 1;
  usage.batches[0] = { 1, 0, 1, &of_team };
  limiter_wire_encode (&usage, "crew", &writer);
  seeds.push_back (take (&writer));

  raft_entry_t entry = { 4, RAFT_ENTRY_DATA, (const uint8_t *)"Vx", 2 };
  const raft_entry_t *entries[] = { &entry };
  for (int type = RAFT_VOTE; type <= RAFT_TIMEOUT_NOW; type++)
    {
      raft_message_t raft = {};
      raft.type = (raft_message_type_t)type;
      raft.from = 1;
      raft.to = 2;
      raft.founder_id = 1;
      raft.term = 4;
      raft.index = 7;
      if (type == RAFT_APPEND)
        {
          raft.entries = entries;
          raft.entry_count = 1;
        }
      if (type == RAFT_SNAPSHOT)
        {
          raft.data = (const uint8_t *)"abc";
          raft.size = 3;
          raft.total = 3;
        }
      raft_wire_encode (&raft, &writer);
      seeds.push_back (take (&writer));
    }

  version_command_t version = {};
  version.patch_id = "first";
  version.operator_name = "ops";
  version.reason = "why";
  version.patch = "{\"services\":{}}";
  version.patch_size = strlen (version.patch);
  version.schema = 1;
  GBytes *encoded = version_command_encode (&version);
  seeds.emplace_back ((const char *)g_bytes_get_data (encoded, nullptr),
                      g_bytes_get_size (encoded));
  g_bytes_unref (encoded);
  g_bytes_unref (text);
  return seeds;
}

extern "C" int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  std::string once = reencode (std::string ((const char *)data, size));
  if (once.empty ())
    return 0;
  std::string twice = reencode (once);
  FUZZ_CHECK (!twice.empty ());
  FUZZ_CHECK (once == twice);
  return 0;
}
