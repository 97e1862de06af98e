#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "fleet_wire.h"
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
