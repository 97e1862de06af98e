#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "fleet_wire.h"
#include "quota_wire.h"
#include "raft_store.h"
#include "rng.h"
}

namespace
{
// Encoded message and a reader of it.
struct encoded_message_t
{
  wire_writer_t writer;
  wire_reader_t reader;
  wire_type_t type;

  void
  open_reader ()
  {
    anv_error_t err = {};
    ASSERT_TRUE (wire_reader_init (&reader, (const uint8_t *)writer.buffer.data, writer.buffer.size,
                                   &type, &err))
        << err.text;
  }
  ~encoded_message_t ()
  {
    wire_reader_destroy (&reader);
    wire_writer_destroy (&writer);
  }
};
}

// Guards against a view that an entry cannot decode: it would not detect that its feed has lost
// contact with the group.
TEST (FleetWire, ViewIsReadAsItWasSent)
{
  for (unsigned cells : { 1u, 2u, 9u })
    {
      encoded_message_t message;
      fleet_view_t view = { true, g_ptr_array_new (), g_ptr_array_new (), cells, cells - 1 };
      fleet_view_t decoded = {};
      g_ptr_array_add (view.members, (gpointer) "10.0.0.1:1");
      g_ptr_array_add (view.peers, (gpointer) "10.0.0.2:1");
      g_ptr_array_add (view.peers, (gpointer) "10.0.0.3:1");
      fleet_view_encode (&view, &message.writer);
      message.open_reader ();
      ASSERT_TRUE (fleet_view_decode (&decoded, &message.reader)) << cells;
      EXPECT_TRUE (decoded.in_contact);
      EXPECT_EQ (decoded.members->len, 1u);
      ASSERT_EQ (decoded.peers->len, 2u);
      EXPECT_STREQ ((char *)g_ptr_array_index (decoded.peers, 1), "10.0.0.3:1");
      EXPECT_EQ (decoded.cell_count, cells);
      EXPECT_EQ (decoded.own_cell_index, cells - 1);
      fleet_view_clear (&view);
      fleet_view_clear (&decoded);
    }
}

// Guards against a status that a control instance cannot decode: it would treat the entry as
// silent.
TEST (FleetWire, StatusIsReadAsItWasSent)
{
  encoded_message_t message;
  fleet_status_t status = { "10.0.0.1:80", ENTRY_LEAVING, 77, true, false, true, 12.5 };
  fleet_status_t decoded = {};
  fleet_status_encode (&status, &message.writer);
  message.open_reader ();
  ASSERT_TRUE (fleet_status_decode (&decoded, &message.reader));
  EXPECT_STREQ (decoded.caller_address, "10.0.0.1:80");
  EXPECT_EQ (decoded.state, ENTRY_LEAVING);
  EXPECT_EQ (decoded.version, 77u);
  EXPECT_TRUE (decoded.wants_feed && decoded.wants_view && !decoded.wants_sync);
  EXPECT_EQ (decoded.capacity, 12.5);
}

// Guards against announcement times that depend on the sender's clock: times are sent as ages.
TEST (FleetWire, TimesAreSentAsAges)
{
  encoded_message_t message;
  registry_target_t target = {};
  g_strlcpy (target.id, "t", sizeof (target.id));
  target.slots = 3;
  target.started_at_ms = 5;
  target.sequence = 6;
  target.state = REGISTRY_DRAINING;
  target.last_announcement_us = 1000;
  target.warmup_end_us = 5000;
  g_autoptr (GArray) targets = g_array_new (FALSE, FALSE, sizeof (registry_target_t));
  g_autoptr (GArray) decoded = g_array_new (FALSE, TRUE, sizeof (registry_target_t));
  g_array_append_val (targets, target);
  fleet_targets_encode (targets, 3000, &message.writer);
  message.open_reader ();
  ASSERT_TRUE (fleet_targets_decode (decoded, 900000, &message.reader));
  ASSERT_EQ (decoded->len, 1u);
  const registry_target_t *decoded_target = &g_array_index (decoded, registry_target_t, 0);
  EXPECT_STREQ (decoded_target->id, "t");
  EXPECT_EQ (decoded_target->last_announcement_us, 898000);
  EXPECT_EQ (decoded_target->warmup_end_us, 902000);
  EXPECT_EQ (decoded_target->state, REGISTRY_DRAINING);
  EXPECT_EQ (decoded_target->sequence, 6u);
}

// Guards against departures and load reports that are decoded to other values than were sent.
TEST (FleetWire, DeparturesAndLoadsAreReadAsTheyWereSent)
{
  encoded_message_t message;
  registry_departure_t departure = {};
  g_strlcpy (departure.id, "t", sizeof (departure.id));
  departure.started_at_ms = 9;
  departure.state = REGISTRY_GONE;
  g_autoptr (GArray) departures = g_array_new (FALSE, FALSE, sizeof (registry_departure_t));
  g_autoptr (GArray) decoded_departures = g_array_new (FALSE, TRUE, sizeof (registry_departure_t));
  g_array_append_val (departures, departure);
  fleet_departed_encode (departures, &message.writer);
  message.open_reader ();
  ASSERT_TRUE (fleet_departed_decode (decoded_departures, &message.reader));
  EXPECT_EQ (g_array_index (decoded_departures, registry_departure_t, 0).started_at_ms, 9);

  encoded_message_t load_message;
  fleet_load_report_t load = { UINT64_MAX, 4, -1.5 };
  g_autoptr (GArray) loads = g_array_new (FALSE, FALSE, sizeof (fleet_load_report_t));
  g_autoptr (GArray) decoded = g_array_new (FALSE, FALSE, sizeof (fleet_load_report_t));
  g_array_append_val (loads, load);
  fleet_load_encode (loads, &load_message.writer);
  load_message.open_reader ();
  ASSERT_TRUE (fleet_load_decode (decoded, &load_message.reader));
  EXPECT_EQ (g_array_index (decoded, fleet_load_report_t, 0).target_id, UINT64_MAX);
  EXPECT_EQ (g_array_index (decoded, fleet_load_report_t, 0).evidence, -1.5);
}

// Guards against verdicts, reports and credits that are decoded to other values than were sent, and
// against counts whose sums overflow.
TEST (FleetWire, QuotasAreReadAsTheyWereSent)
{
  encoded_message_t ask_message, grant_message, moved_message;
  quota_ask_team_t asked = { UINT64_MAX, 3, 2, 1 };
  quota_grant_team_t granted = { 5, 4, 3, UINT32_MAX, 250000, -1 };
  g_autoptr (GArray) asks = g_array_new (FALSE, FALSE, sizeof (asked));
  g_autoptr (GArray) grants = g_array_new (FALSE, FALSE, sizeof (granted));
  g_autoptr (GArray) decoded_asks = g_array_new (FALSE, TRUE, sizeof (asked));
  g_autoptr (GArray) decoded_grants = g_array_new (FALSE, TRUE, sizeof (granted));
  g_array_append_val (asks, asked);
  g_array_append_val (grants, granted);
  quota_ask_t ask = { 9, asks }, decoded_ask = { 0, decoded_asks };
  quota_ask_encode (&ask, &ask_message.writer);
  ask_message.open_reader ();
  ASSERT_TRUE (quota_ask_decode (&decoded_ask, &ask_message.reader));
  EXPECT_EQ (decoded_ask.number, 9u);
  ASSERT_EQ (decoded_asks->len, 1u);
  const quota_ask_team_t *asking = &g_array_index (decoded_asks, quota_ask_team_t, 0);
  EXPECT_EQ (asking->team_id, UINT64_MAX);
  EXPECT_EQ (asking->waiting_count, 3u);
  EXPECT_EQ (asking->used_count, 2u);
  EXPECT_EQ (asking->returned_count, 1u);

  quota_grant_t grant = { 9, 107, grants }, decoded_grant = { 0, 0, decoded_grants };
  quota_grant_encode (&grant, &grant_message.writer);
  grant_message.open_reader ();
  ASSERT_TRUE (quota_grant_decode (&decoded_grant, &grant_message.reader));
  EXPECT_EQ (decoded_grant.entry_count, 107u);
  const quota_grant_team_t *team = &g_array_index (decoded_grants, quota_grant_team_t, 0);
  EXPECT_EQ (team->team_id, 5u);
  EXPECT_EQ (team->admitted_count, 4u);
  EXPECT_EQ (team->refused_count, 3u);
  EXPECT_EQ (team->allowance, 1000000u) << "bounded";
  EXPECT_EQ (team->retry_after_us, 250000);
  EXPECT_EQ (team->retry_step_us, 0) << "bounded";

  quota_moved_t moved = { 9, 107, "10.0.0.1:1" }, decoded_moved = {};
  quota_moved_encode (&moved, &moved_message.writer);
  moved_message.open_reader ();
  ASSERT_TRUE (quota_moved_decode (&decoded_moved, &moved_message.reader));
  EXPECT_EQ (decoded_moved.number, 9u);
  EXPECT_STREQ (decoded_moved.owner, "10.0.0.1:1");
}

namespace
{
constexpr int64_t NOW_US = 5000000000;

// Decodes MESSAGE as each kind of message, whatever its type. Returns whether one of them accepts
// it. Checks what the receivers rely on.
bool
decode_as_any (const std::string &message)
{
  bool accepted = false;
  for (int kind = 0; kind < 9; kind++)
    {
      wire_reader_t reader;
      wire_type_t type;
      if (!wire_reader_init (&reader, (const uint8_t *)message.data (), message.size (), &type,
                             nullptr))
        return accepted;
      fleet_status_t status = {};
      fleet_view_t view = {};
      version_seal_t seal;
      quota_ask_t ask;
      quota_grant_t grant;
      quota_moved_t moved;
      g_autoptr (GArray) items = nullptr;
      GBytes *text = nullptr;
      switch (kind)
        {
        case 0:
          accepted |= fleet_status_decode (&status, &reader);
          EXPECT_LE ((int)status.state, (int)ENTRY_LEAVING);
          break;
        case 1:
          accepted |= fleet_view_decode (&view, &reader);
          EXPECT_GE (view.cell_count, 1u);
          EXPECT_LE (view.cell_count, 65536u);
          fleet_view_clear (&view);
          break;
        case 2:
          text = fleet_config_decode (&seal, &reader);
          accepted |= text != nullptr;
          g_bytes_unref (text);
          break;
        case 3:
          items = g_array_new (FALSE, TRUE, sizeof (registry_target_t));
          accepted |= fleet_targets_decode (items, NOW_US, &reader);
          break;
        case 4:
          items = g_array_new (FALSE, TRUE, sizeof (registry_departure_t));
          accepted |= fleet_departed_decode (items, &reader);
          break;
        case 5:
          items = g_array_new (FALSE, TRUE, sizeof (quota_ask_team_t));
          ask = { 0, items };
          accepted |= quota_ask_decode (&ask, &reader);
          EXPECT_LE (items->len, (guint)QUOTA_MAX_MESSAGE_TEAMS);
          break;
        case 6:
          items = g_array_new (FALSE, TRUE, sizeof (quota_grant_team_t));
          grant = { 0, 0, items };
          accepted |= quota_grant_decode (&grant, &reader);
          EXPECT_LE (grant.entry_count, 1000000u);
          break;
        case 7:
          accepted |= quota_moved_decode (&moved, &reader);
          break;
        default:
          items = g_array_new (FALSE, TRUE, sizeof (fleet_load_report_t));
          accepted |= fleet_load_decode (items, &reader);
          break;
        }
      wire_reader_destroy (&reader);
    }
  return accepted;
}

std::string
take_text (wire_writer_t *writer)
{
  std::string text (writer->buffer.data, writer->buffer.size);
  wire_writer_destroy (writer);
  return text;
}

// Returns one message of each kind.
std::vector<std::string>
sample_messages ()
{
  std::vector<std::string> messages;
  wire_writer_t writer;
  fleet_status_t status = { "10.0.0.1:1", ENTRY_READY, 7, true, false, true, 12.5 };
  fleet_status_encode (&status, &writer);
  messages.push_back (take_text (&writer));
  fleet_view_t view = { true, g_ptr_array_new (), g_ptr_array_new (), 3, 1 };
  g_ptr_array_add (view.members, (gpointer) "10.0.0.1:1");
  g_ptr_array_add (view.peers, (gpointer) "10.0.0.2:1");
  fleet_view_encode (&view, &writer);
  fleet_view_clear (&view);
  messages.push_back (take_text (&writer));
  version_seal_t seal = {};
  GBytes *text = g_bytes_new_static ("{\"routes\":{}}", 13);
  fleet_config_encode (&seal, text, &writer);
  g_bytes_unref (text);
  messages.push_back (take_text (&writer));
  registry_target_t target = { "i-1", "s", "10.0.0.3:1",   "z",           "v",          4,
                               77,    5,   REGISTRY_READY, NOW_US + 1000, NOW_US - 1000 };
  GArray *targets = g_array_new (FALSE, FALSE, sizeof (target));
  g_array_append_val (targets, target);
  fleet_targets_encode (targets, NOW_US, &writer);
  g_array_unref (targets);
  messages.push_back (take_text (&writer));
  registry_departure_t departure = { "i-1", 77, REGISTRY_DRAINING, 0 };
  GArray *departures = g_array_new (FALSE, FALSE, sizeof (departure));
  g_array_append_val (departures, departure);
  fleet_departed_encode (departures, &writer);
  g_array_unref (departures);
  messages.push_back (take_text (&writer));
  fleet_load_report_t load = { 99, 2, -1.5 };
  GArray *loads = g_array_new (FALSE, FALSE, sizeof (load));
  g_array_append_val (loads, load);
  fleet_load_encode (loads, &writer);
  g_array_unref (loads);
  messages.push_back (take_text (&writer));
  quota_ask_team_t asked = { 9, 3, 2, 1 };
  quota_ask_t ask = { 1, g_array_new (FALSE, FALSE, sizeof (asked)) };
  g_array_append_val (ask.teams, asked);
  quota_ask_encode (&ask, &writer);
  g_array_unref (ask.teams);
  messages.push_back (take_text (&writer));
  quota_grant_team_t granted = { 9, 1, 2, 5, 1000, 100 };
  quota_grant_t grant = { 1, 107, g_array_new (FALSE, FALSE, sizeof (granted)) };
  g_array_append_val (grant.teams, granted);
  quota_grant_encode (&grant, &writer);
  g_array_unref (grant.teams);
  messages.push_back (take_text (&writer));
  quota_moved_t moved = { 1, 107, "10.0.0.1:1" };
  quota_moved_encode (&moved, &writer);
  messages.push_back (take_text (&writer));
  return messages;
}

void
mutate (std::string *bytes, rng_t *rng)
{
  for (uint64_t n = 1 + rng_uniform_int (rng, 4); n > 0 && !bytes->empty (); n--)
    {
      size_t position = rng_uniform_int (rng, bytes->size ());
      // 0xd3 and 0xcf begin 64-bit integers, 0xcb a double, 0xdd an array with a 32-bit length.
      static const char starts[] = "\xd3\xcf\xcb\xdd\xff\x7f\x80";
      switch (rng_uniform_int (rng, 4))
        {
        case 0:
          (*bytes)[position] = (char)rng_next (rng);
          break;
        case 1:
          (*bytes)[position] = starts[rng_uniform_int (rng, sizeof (starts) - 1)];
          break;
        case 2:
          bytes->insert (position, 8, (char)rng_next (rng));
          break;
        default:
          bytes->erase (position, 1 + rng_uniform_int (rng, 9));
        }
    }
}
}

// Guards against a process that ends, or computes with values out of range, because of a damaged
// message of another process (run under the sanitizers).
TEST (FleetWire, SurvivesMutations)
{
  std::vector<std::string> samples = sample_messages ();
  int accepted = 0;
  rng_t rng;
  rng_init (&rng, 11);
  for (const std::string &sample : samples)
    EXPECT_TRUE (decode_as_any (sample));
  for (int round = 0; round < 30000; round++)
    {
      std::string bytes = samples[round % samples.size ()];
      mutate (&bytes, &rng);
      accepted += decode_as_any (bytes);
    }
  EXPECT_GT (accepted, 0);
}

// The same for the membership in a stored record.
TEST (FleetWire, StoredMembershipSurvivesMutations)
{
  raft_config_t config = {};
  GByteArray *out = g_byte_array_new ();
  config.founder_id = 5;
  for (config.count = 0; config.count < 5; config.count++)
    {
      config.members[config.count].id = 100 + config.count;
      g_strlcpy (config.members[config.count].name, "10.0.0.1:1/10.0.0.1:2", RAFT_NAME_SIZE);
    }
  raft_config_encode (&config, out);
  std::string sample ((const char *)out->data, out->len);
  g_byte_array_free (out, TRUE);
  rng_t rng;
  rng_init (&rng, 12);
  for (int round = 0; round < 30000; round++)
    {
      std::string bytes = sample;
      size_t used = 0;
      mutate (&bytes, &rng);
      if (raft_config_decode ((const uint8_t *)bytes.data (), bytes.size (), &config, &used))
        {
          EXPECT_LE (used, bytes.size ());
          EXPECT_LE (config.count, (size_t)RAFT_MAX_MEMBERS);
        }
    }
}
