#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "frame.h"
}

// Guards against frames that are lost or merged when the stream arrives in small pieces.
TEST (Frame, EverySplitGivesTheSameFrames)
{
  g_autoptr (GByteArray) stream = g_byte_array_new ();
  frame_append (stream, (const uint8_t *)"hello", 5);
  frame_append (stream, (const uint8_t *)"x", 1);
  for (guint split = 0; split <= stream->len; split++)
    {
      frame_reader_t reader;
      anv_error_t err = {};
      std::string payloads;
      frame_reader_init (&reader, 100);
      const guint starts[] = { 0, split };
      const guint ends[] = { split, stream->len };
      for (int part = 0; part < 2; part++)
        {
          ASSERT_TRUE (frame_reader_feed (&reader, stream->data + starts[part],
                                          ends[part] - starts[part], &err));
          while (GBytes *payload = frame_reader_next (&reader, &err))
            {
              gsize size = 0;
              const char *data = (const char *)g_bytes_get_data (payload, &size);
              payloads += std::string (data, size) + "|";
              g_bytes_unref (payload);
            }
        }
      EXPECT_EQ (payloads, "hello|x|");
      frame_reader_destroy (&reader);
    }
}

// Guards against a peer that sends a huge length and makes the process buffer without limit.
TEST (Frame, RejectsOversizedAndEmpty)
{
  const uint8_t huge_length[] = { 0xff, 0xff, 0xff, 0xff };
  const uint8_t zero_length[] = { 0, 0, 0, 0 };
  frame_reader_t reader;
  anv_error_t err = {};
  frame_reader_init (&reader, 100);
  EXPECT_FALSE (frame_reader_feed (&reader, huge_length, sizeof (huge_length), &err));
  EXPECT_EQ (err.code, FRAME_ERROR_TOO_LARGE);
  frame_reader_destroy (&reader);
  frame_reader_init (&reader, 100);
  EXPECT_FALSE (frame_reader_feed (&reader, zero_length, sizeof (zero_length), &err));
  EXPECT_EQ (err.code, FRAME_ERROR_EMPTY);
  frame_reader_destroy (&reader);
}
