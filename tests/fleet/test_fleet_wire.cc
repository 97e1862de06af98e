#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "fleet_wire.h"
}

namespace
{
// Reader over an encoded message.
struct decoded_t
{
  wire_writer_t writer;
  wire_reader_t reader;
  wire_type_t type;

  void
  open ()
  {
    anv_error_t err = {};
    ASSERT_TRUE (wire_reader_init (&reader, (const uint8_t *)writer.buffer.data, writer.buffer.size,
                                   &type, &err))
        << err.text;
  }
  ~decoded_t ()
  {
    wire_reader_destroy (&reader);
    wire_writer_destroy (&writer);
  }
};
}

// Guards against a view that an entry cannot read: it would not learn that its feed has lost
// contact with the group.
TEST (FleetWire, ViewIsReadAsItWasSent)
{
  for (unsigned cells : { 1u, 2u, 9u })
    {
      decoded_t d;
      fleet_view_t view = { true, g_ptr_array_new (), g_ptr_array_new (), cells, cells - 1 };
      fleet_view_t got = {};
      g_ptr_array_add (view.members, (gpointer) "10.0.0.1:1");
      g_ptr_array_add (view.peers, (gpointer) "10.0.0.2:1");
      g_ptr_array_add (view.peers, (gpointer) "10.0.0.3:1");
      fleet_view_encode (&view, &d.writer);
      d.open ();
      ASSERT_TRUE (fleet_view_decode (&got, &d.reader)) << cells;
      EXPECT_TRUE (got.in_contact);
      EXPECT_EQ (got.members->len, 1u);
      ASSERT_EQ (got.peers->len, 2u);
      EXPECT_STREQ ((char *)g_ptr_array_index (got.peers, 1), "10.0.0.3:1");
      EXPECT_EQ (got.cell_count, cells);
      EXPECT_EQ (got.cell, cells - 1);
      fleet_view_clear (&view);
      fleet_view_clear (&got);
    }
}

// Guards against a report that is lost, so that the entry is taken for silent.
TEST (FleetWire, StatusIsReadAsItWasSent)
{
  decoded_t d;
  fleet_status_t status = { "10.0.0.1:80", ENTRY_LEAVING, 77, true, false, true, 12.5 };
  fleet_status_t got = {};
  fleet_status_encode (&status, &d.writer);
  d.open ();
  ASSERT_TRUE (fleet_status_decode (&got, &d.reader));
  EXPECT_STREQ (got.caller_address, "10.0.0.1:80");
  EXPECT_EQ (got.state, ENTRY_LEAVING);
  EXPECT_EQ (got.version, 77u);
  EXPECT_TRUE (got.wants_feed && got.wants_view && !got.wants_sync);
  EXPECT_EQ (got.capacity, 12.5);
}

// Guards against clocks of different machines in an announcement: times travel as ages.
TEST (FleetWire, TimesTravelAsAges)
{
  decoded_t d;
  registry_target_t target = {};
  g_strlcpy (target.id, "t", sizeof (target.id));
  target.slots = 3;
  target.started_at_ms = 5;
  target.sequence = 6;
  target.state = REGISTRY_DRAINING;
  target.last_announcement_us = 1000;
  target.warmup_end_us = 5000;
  g_autoptr (GArray) targets = g_array_new (FALSE, FALSE, sizeof (registry_target_t));
  g_autoptr (GArray) got = g_array_new (FALSE, TRUE, sizeof (registry_target_t));
  g_array_append_val (targets, target);
  fleet_targets_encode (targets, 3000, &d.writer);
  d.open ();
  ASSERT_TRUE (fleet_targets_decode (got, 900000, &d.reader));
  ASSERT_EQ (got->len, 1u);
  const registry_target_t *read = &g_array_index (got, registry_target_t, 0);
  EXPECT_STREQ (read->id, "t");
  EXPECT_EQ (read->last_announcement_us, 898000);
  EXPECT_EQ (read->warmup_end_us, 902000);
  EXPECT_EQ (read->state, REGISTRY_DRAINING);
  EXPECT_EQ (read->sequence, 6u);
}

// Guards against departures and loads that change on the way.
TEST (FleetWire, DeparturesAndLoadsAreReadAsTheyWereSent)
{
  decoded_t d;
  registry_departure_t departure = {};
  g_strlcpy (departure.id, "t", sizeof (departure.id));
  departure.started_at_ms = 9;
  departure.state = REGISTRY_GONE;
  g_autoptr (GArray) departures = g_array_new (FALSE, FALSE, sizeof (registry_departure_t));
  g_autoptr (GArray) departed = g_array_new (FALSE, TRUE, sizeof (registry_departure_t));
  g_array_append_val (departures, departure);
  fleet_departed_encode (departures, &d.writer);
  d.open ();
  ASSERT_TRUE (fleet_departed_decode (departed, &d.reader));
  EXPECT_EQ (g_array_index (departed, registry_departure_t, 0).started_at_ms, 9);

  decoded_t e;
  fleet_load_report_t load = { UINT64_MAX, 4, -1.5 };
  g_autoptr (GArray) loads = g_array_new (FALSE, FALSE, sizeof (fleet_load_report_t));
  g_autoptr (GArray) got = g_array_new (FALSE, FALSE, sizeof (fleet_load_report_t));
  g_array_append_val (loads, load);
  fleet_load_encode (loads, &e.writer);
  e.open ();
  ASSERT_TRUE (fleet_load_decode (got, &e.reader));
  EXPECT_EQ (g_array_index (got, fleet_load_report_t, 0).target_id, UINT64_MAX);
  EXPECT_EQ (g_array_index (got, fleet_load_report_t, 0).evidence, -1.5);
}
