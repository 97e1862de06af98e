#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "rng.h"
#include "swim_wire.h"
}

static const uint64_t INCARNATION = 1700000000000;

static swim_message_t
sample_message (swim_status_t status)
{
  static uint8_t hashes[SWIM_SYNC_HASHES_SIZE] = { 1, 2, 3 };
  swim_message_t message = {};
  message.type = WIRE_SWIM_SYNC;
  message.from = "entry-1";
  message.to = "";
  message.seq = 7;
  message.incarnation = INCARNATION;
  message.known_status = SWIM_SUSPECT;
  message.version = 3;
  message.digest = UINT64_MAX;
  message.subject = "entry-9";
  message.subject_address = "10.0.0.9:7946";
  message.sync_stage = SWIM_SYNC_REQUEST;
  message.sync_data = hashes;
  message.sync_size = sizeof (hashes);
  message.updates[0]
      = { "entry-2",       status, SWIM_FLAG_CONFIGURED, INCARNATION + 1, "10.0.0.2:7946",
          "10.0.0.2:8080", "fd-1" };
  message.update_count = 1;
  return message;
}

static std::vector<uint8_t>
encode (const swim_message_t &message)
{
  wire_writer_t writer;
  swim_wire_encode (&message, &writer);
  std::vector<uint8_t> bytes (writer.buffer.data, writer.buffer.data + writer.buffer.size);
  wire_writer_destroy (&writer);
  return bytes;
}

// Guards against fields that differ after encoding and decoding.
TEST (SwimWire, RoundTrip)
{
  std::vector<uint8_t> bytes = encode (sample_message (SWIM_ALIVE));
  wire_reader_t reader;
  wire_type_t type;
  swim_message_t message;
  ASSERT_TRUE (wire_reader_init (&reader, bytes.data (), bytes.size (), &type, nullptr));
  ASSERT_TRUE (swim_wire_decode (&reader, type, &message, nullptr));
  EXPECT_EQ (type, WIRE_SWIM_SYNC);
  EXPECT_EQ (encode (message), bytes);
  EXPECT_STREQ (message.updates[0].caller_address, "10.0.0.2:8080");
  EXPECT_EQ (message.updates[0].flags, SWIM_FLAG_CONFIGURED);
  EXPECT_EQ (message.known_status, SWIM_SUSPECT);
  swim_wire_clear (&message);
  wire_reader_destroy (&reader);
}

// Guards against messages above the datagram size because the size of an update is underestimated.
TEST (SwimWire, UpdateSizeIsAnUpperBound)
{
  for (swim_status_t status : { SWIM_ALIVE, SWIM_DEAD })
    for (size_t length : { 1, 31, 32, 63 })
      {
        std::string text (length, 'x');
        swim_message_t message = sample_message (status);
        swim_update_t update = message.updates[0];
        update.id = update.peer_address = update.caller_address = update.domain = text.c_str ();
        message.update_count = 0;
        size_t size_without_update = encode (message).size ();
        message.updates[message.update_count++] = update;
        EXPECT_LE (encode (message).size () - size_without_update, swim_wire_update_size (&update));
      }
}

// Guards against values that later code cannot handle: an incarnation that overflows when a
// suspicion is refuted, hashes of the wrong size, a member without an address, an unknown status,
// and a message without a sender.
TEST (SwimWire, RejectsInvalidValues)
{
  for (int fault = 0; fault < 5; fault++)
    {
      swim_message_t message = sample_message (SWIM_ALIVE);
      if (fault == 0)
        message.updates[0].incarnation = UINT64_MAX;
      else if (fault == 1)
        message.sync_size--;
      else if (fault == 2)
        message.updates[0].peer_address = "";
      else if (fault == 3)
        message.known_status = (swim_status_t)3;
      else
        message.from = "";
      std::vector<uint8_t> bytes = encode (message);
      wire_reader_t reader;
      wire_type_t type;
      anv_error_t err = {};
      ASSERT_TRUE (wire_reader_init (&reader, bytes.data (), bytes.size (), &type, nullptr));
      EXPECT_FALSE (swim_wire_decode (&reader, type, &message, &err)) << fault;
      EXPECT_EQ (err.domain, ANV_ERROR_WIRE);
      swim_wire_clear (&message);
      wire_reader_destroy (&reader);
    }
}

// Guards against crashes, leaks and out-of-bounds reads on damaged messages (with the sanitizers).
TEST (SwimWire, SurvivesMutations)
{
  rng_t rng;
  rng_init (&rng, 11);
  int accepted = 0;
  for (int round = 0; round < 20000; round++)
    {
      std::vector<uint8_t> bytes
          = encode (sample_message (round % 2 == 0 ? SWIM_ALIVE : SWIM_SUSPECT));
      for (uint64_t i = 0; i <= rng_uniform_int (&rng, 3); i++)
        bytes[rng_uniform_int (&rng, bytes.size ())] = (uint8_t)rng_next (&rng);
      wire_reader_t reader;
      wire_type_t type;
      swim_message_t message;
      if (!wire_reader_init (&reader, bytes.data (), bytes.size (), &type, nullptr))
        continue;
      accepted += swim_wire_decode (&reader, type, &message, nullptr) ? 1 : 0;
      swim_wire_clear (&message);
      wire_reader_destroy (&reader);
    }
  EXPECT_GT (accepted, 1000);
}
