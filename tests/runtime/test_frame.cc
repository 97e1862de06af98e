#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "frame.h"
}

// Guards against frames that are lost or merged when the stream arrives in small pieces.
TEST (Frame, SurvivesEverySplit)
{
  g_autoptr (GByteArray) out = g_byte_array_new ();
  frame_append (out, (const uint8_t *)"hello", 5);
  frame_append (out, (const uint8_t *)"x", 1);
  for (guint split = 0; split <= out->len; split++)
    {
      frame_reader_t reader;
      anv_error_t err = {};
      std::string seen;
      frame_reader_init (&reader, 100);
      const guint starts[] = { 0, split };
      const guint ends[] = { split, out->len };
      for (int part = 0; part < 2; part++)
        {
          ASSERT_TRUE (frame_reader_feed (&reader, out->data + starts[part],
                                          ends[part] - starts[part], &err));
          while (GBytes *payload = frame_reader_next (&reader, &err))
            {
              gsize size = 0;
              const char *data = (const char *)g_bytes_get_data (payload, &size);
              seen += std::string (data, size) + "|";
              g_bytes_unref (payload);
            }
        }
      EXPECT_EQ (seen, "hello|x|");
      frame_reader_destroy (&reader);
    }
}

// Guards against a peer that claims a huge length and makes the process buffer without end.
TEST (Frame, RejectsOversizedAndEmpty)
{
  const uint8_t huge[] = { 0xff, 0xff, 0xff, 0xff };
  const uint8_t empty[] = { 0, 0, 0, 0 };
  frame_reader_t reader;
  anv_error_t err = {};
  frame_reader_init (&reader, 100);
  EXPECT_FALSE (frame_reader_feed (&reader, huge, sizeof (huge), &err));
  EXPECT_EQ (err.code, FRAME_ERROR_TOO_LARGE);
  frame_reader_destroy (&reader);
  frame_reader_init (&reader, 100);
  EXPECT_FALSE (frame_reader_feed (&reader, empty, sizeof (empty), &err));
  EXPECT_EQ (err.code, FRAME_ERROR_EMPTY);
  frame_reader_destroy (&reader);
}
