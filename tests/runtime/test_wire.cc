#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "rng.h"
#include "wire.h"
}
#include <glib.h>

static std::vector<uint8_t>
sample_message ()
{
  wire_writer_t writer;
  wire_writer_init (&writer, WIRE_HELLO, 4);
  wire_write_string (&writer, "entry-1");
  wire_write_int (&writer, -5);
  wire_write_array (&writer, 2);
  wire_write_double (&writer, 1.5);
  wire_write_bool (&writer, true);
  wire_write_bytes (&writer, "ab", 2);
  std::vector<uint8_t> bytes (writer.buffer.data, writer.buffer.data + writer.buffer.size);
  wire_writer_destroy (&writer);
  return bytes;
}

// Guards against fields that differ after encoding and decoding.
TEST (Wire, RoundTrip)
{
  std::vector<uint8_t> bytes = sample_message ();
  wire_reader_t reader;
  wire_type_t type;
  anv_error_t err = {};
  ASSERT_TRUE (wire_reader_init (&reader, bytes.data (), bytes.size (), &type, &err)) << err.text;
  char *name = wire_read_string (&reader);
  EXPECT_EQ (type, WIRE_HELLO);
  EXPECT_STREQ (name, "entry-1");
  g_free (name);
  EXPECT_EQ (wire_read_int (&reader), -5);
  EXPECT_EQ (wire_read_array (&reader), 2u);
  EXPECT_EQ (wire_read_double (&reader), 1.5);
  wire_read_array_end (&reader);
  size_t size = 0;
  const uint8_t *data = wire_read_bytes (&reader, &size);
  EXPECT_EQ (std::string ((const char *)data, size), "ab");
  EXPECT_TRUE (wire_reader_finish (&reader, &err));
  EXPECT_EQ (wire_read_uint (&reader), 0u);
  EXPECT_FALSE (wire_reader_finish (&reader, &err));
  wire_reader_destroy (&reader);
}

// Guards against a null pointer for an empty string: the unpacker stores one if the first string of
// a message is empty.
TEST (Wire, FirstStringMayBeEmpty)
{
  const uint8_t bytes[] = { 0x93, 1, 0xa0, 0xa0 };
  wire_reader_t reader;
  wire_type_t type;
  char buffer[4] = "x";
  ASSERT_TRUE (wire_reader_init (&reader, bytes, sizeof (bytes), &type, nullptr));
  char *text = wire_read_string (&reader);
  EXPECT_STREQ (text, "");
  g_free (text);
  wire_read_string_into (&reader, buffer, sizeof (buffer));
  EXPECT_STREQ (buffer, "");
  EXPECT_TRUE (wire_reader_finish (&reader, nullptr));
  wire_reader_destroy (&reader);
}

// Guards against messages that declare more elements than they hold, nest without limit, or use
// formats that no message has: each must be an error before memory is allocated for it.
TEST (Wire, RejectsHostileInput)
{
  const std::vector<std::vector<uint8_t> > inputs = {
    {},
    { 0xdd, 0xff, 0xff, 0xff, 0xff, 1 },
    { 0xdc, 0xff, 0xff, 1 },
    { 0x92, 1, 0xc6, 0xff, 0xff, 0xff, 0xff },
    { 0x92, 1, 0xdb, 0x00, 0x00, 0x00, 0x09, 'a' },
    { 0x91, 0x81, 1, 1 },
    { 0x92, 1, 0xc7, 1, 1, 1 },
    { 0x92, 1, 0xc1 },
    { 0x91, 0xa1, 'x' },
    { 0x01 },
    { 0x91, 1, 1 },
    std::vector<uint8_t> (100000, 0x91),
  };
  for (const std::vector<uint8_t> &input : inputs)
    {
      wire_reader_t reader;
      wire_type_t type;
      anv_error_t err = {};
      EXPECT_FALSE (wire_reader_init (&reader, input.data (), input.size (), &type, &err));
      EXPECT_EQ (err.domain, ANV_ERROR_WIRE);
    }
}

// Guards against crashes and out-of-bounds reads on damaged messages (run under the sanitizers).
TEST (Wire, SurvivesMutations)
{
  rng_t rng;
  int accepted = 0;
  rng_init (&rng, 7);
  for (int round = 0; round < 20000; round++)
    {
      std::vector<uint8_t> bytes = sample_message ();
      bytes[rng_uniform_int (&rng, bytes.size ())] = (uint8_t)rng_next (&rng);
      bytes.resize (bytes.size () - rng_uniform_int (&rng, 3));
      wire_reader_t reader;
      wire_type_t type;
      if (!wire_reader_init (&reader, bytes.data (), bytes.size (), &type, nullptr))
        continue;
      accepted++;
      g_free (wire_read_string (&reader));
      wire_read_int (&reader);
      wire_read_array (&reader);
      wire_read_double (&reader);
      wire_reader_finish (&reader, nullptr);
      wire_reader_destroy (&reader);
    }
  EXPECT_GT (accepted, 0);
}
