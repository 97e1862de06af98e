#include <gtest/gtest.h>
#include <zlib.h>

#include <map>

#include "fake_disk.h"
extern "C"
{
#include "file_posix.h"
#include "segment_log.h"
}
#include <unistd.h>

// A segment log and its records: those that were recovered or appended.
struct TestLog
{
  segment_log_t log = {};
  std::map<uint64_t, std::string> records;
  anv_error_t err = {};

  bool
  open (file_store_t *store, uint64_t min_segment_bytes = 200)
  {
    segment_log_options_t options = { "t", min_segment_bytes };
    records.clear ();
    return segment_log_open (
        &log, store, &options,
        [] (void *user, uint64_t index, const uint8_t *data, size_t size, anv_error_t *) {
          static_cast<TestLog *> (user)->records[index] = std::string ((const char *)data, size);
          return true;
        },
        this, &err);
  }
  bool
  append (const std::string &text)
  {
    uint64_t index = 0;
    if (!segment_log_append (&log, (const uint8_t *)text.data (), text.size (), &index, &err))
      return false;
    records[index] = text;
    return true;
  }
  bool
  sync ()
  {
    return segment_log_sync (&log, &err);
  }
};

// Returns the text of record NUMBER. The lengths vary.
static std::string
record_text (uint64_t number)
{
  return "record " + std::to_string (number) + std::string (number % 23, 'x');
}

// Appends COUNT records and syncs after every PER_SYNC of them.
static void
write_records (FakeDisk *disk, int count, int per_sync)
{
  TestLog log;
  ASSERT_TRUE (log.open (disk->store ())) << log.err.text;
  for (int i = 1; i <= count; i++)
    {
      ASSERT_TRUE (log.append (record_text (i)));
      ASSERT_TRUE (i % per_sync != 0 || log.sync ());
    }
  ASSERT_TRUE (log.sync ());
  segment_log_close (&log.log);
}

// Guards against one sync per record, and against records lost between segments.
TEST (SegmentLog, GroupCommitOverSegments)
{
  FakeDisk disk (1);
  TestLog log;
  ASSERT_TRUE (log.open (disk.store ()));
  uint64_t sync_count_before = disk.sync_count;
  for (int i = 1; i <= 64; i++)
    ASSERT_TRUE (log.append (record_text (i)));
  ASSERT_TRUE (log.sync ());
  // One sync for the directory entry of the new segment, one for the data.
  EXPECT_LE (disk.sync_count - sync_count_before, 2u);
  segment_log_close (&log.log);

  write_records (&disk, 64, 4);
  disk.crash ();
  ASSERT_TRUE (log.open (disk.store ())) << log.err.text;
  EXPECT_EQ (log.records.size (), 128u);
  EXPECT_GT (log.log.segments->len, 2u);
  segment_log_close (&log.log);
}

// Guards against a torn last write that hides complete records, is recovered as a record or makes
// the log fail to open. The last segment is cut at every byte; the lost part is missing, or reads
// as zeros up to or beyond its end.
TEST (SegmentLog, TornTailAtEveryByte)
{
  FakeDisk original (1);
  write_records (&original, 10, 10);
  std::string name = original.names ().back ();
  std::string segment_content = original.content (name);
  for (size_t cut = 0; cut < segment_content.size (); cut++)
    {
      size_t complete_count = 0;
      for (size_t end = 0, i = 1; i <= 10; i++)
        {
          end += SEGMENT_RECORD_HEADER_SIZE + record_text (i).size () + 1;
          complete_count += end <= cut;
        }
      for (size_t zero_count : { (size_t)0, segment_content.size () - cut, (size_t)2048 })
        {
          FakeDisk disk (1);
          disk.set_content (name, segment_content.substr (0, cut) + std::string (zero_count, '\0'));
          TestLog log;
          ASSERT_TRUE (log.open (disk.store ())) << "cut " << cut << ": " << log.err.text;
          EXPECT_EQ (log.records.size (), complete_count) << "cut " << cut;
          ASSERT_TRUE (log.append ("next") && log.sync ());
          segment_log_close (&log.log);
          ASSERT_TRUE (log.open (disk.store ()));
          EXPECT_EQ (log.records.rbegin ()->second, "next");
          segment_log_close (&log.log);
        }
    }
}

// Guards against silent repair of damaged records: with a flipped bit anywhere, in the last segment
// too, opening the log must fail and report the file and the offset.
TEST (SegmentLog, FlippedBitIsReported)
{
  FakeDisk original (1);
  write_records (&original, 12, 4);
  for (const std::string &name : original.names ())
    {
      for (size_t offset = 0; offset < original.content (name).size (); offset++)
        {
          FakeDisk disk (1);
          for (const std::string &file_name : original.names ())
            disk.set_content (file_name, original.content (file_name));
          disk.flip_bit (name, offset, offset % 8);
          std::string damaged = disk.content (name);
          TestLog log;
          EXPECT_FALSE (log.open (disk.store ())) << name << " " << offset;
          EXPECT_EQ (log.err.code, STORAGE_ERROR_CORRUPT);
          EXPECT_NE (std::string (log.err.text).find (name), std::string::npos);
          size_t reported = std::stoul (strstr (log.err.text, "byte ") + 5);
          EXPECT_TRUE (reported <= offset && offset - reported < 60) << log.err.text;
          EXPECT_EQ (disk.content (name), damaged);
        }
    }
}

// Returns RECORD in the format of earlier versions, which has no end byte.
static std::string
without_end_byte (const std::string &record)
{
  GByteArray *out = g_byte_array_new ();
  std::string payload = record.substr (20, record.size () - 21);
  bytes_put_u32 (out, payload.size ());
  g_byte_array_append (out, (const uint8_t *)record.data () + 8, 12); // index, payload CRC
  uint32_t crc = GUINT32_TO_BE (crc32 (0, out->data, out->len));
  std::string old = std::string ((const char *)&crc, 4) + std::string ((char *)out->data, out->len);
  g_byte_array_free (out, TRUE);
  return old + payload;
}

// Guards against a log of an earlier version that cannot be opened, or in which damage to a payload
// that ends with zeros passes for a record that was not written.
TEST (SegmentLog, RecordsWithoutEndByteAreRead)
{
  FakeDisk disk (1);
  TestLog log;
  std::string payload ("\1\2\0\0", 4);
  ASSERT_TRUE (log.open (disk.store ()) && log.append (payload) && log.sync ());
  segment_log_close (&log.log);
  std::string name = disk.names ().back ();
  std::string old = without_end_byte (disk.content (name));

  disk.set_content (name, old);
  ASSERT_TRUE (log.open (disk.store ())) << log.err.text;
  EXPECT_EQ (log.records.at (1), payload);
  ASSERT_TRUE (log.append ("next") && log.sync ());
  segment_log_close (&log.log);
  ASSERT_TRUE (log.open (disk.store ())) << log.err.text;
  EXPECT_EQ (log.records.at (2), "next");
  segment_log_close (&log.log);

  disk.set_content (name, old);
  disk.flip_bit (name, SEGMENT_RECORD_HEADER_SIZE, 0);
  EXPECT_FALSE (log.open (disk.store ()));
  EXPECT_EQ (log.err.code, STORAGE_ERROR_CORRUPT);
}

// Guards against a missing segment that goes unnoticed.
TEST (SegmentLog, MissingSegmentIsReported)
{
  FakeDisk disk (1);
  write_records (&disk, 40, 4);
  std::string missing_name = disk.names ()[2];
  ASSERT_TRUE (disk.store ()->ops->remove (disk.store (), missing_name.c_str (), nullptr));
  TestLog log;
  EXPECT_FALSE (log.open (disk.store ()));
  EXPECT_EQ (log.err.code, STORAGE_ERROR_CORRUPT);
}

// Guards against relying on a sync after a failed one. The log rejects all operations until it is
// opened again, and the records that it then returns survive a crash although the failed sync had
// marked their pages clean.
TEST (SegmentLog, FailedSyncIsNotRetried)
{
  FakeDisk disk (1);
  TestLog log;
  ASSERT_TRUE (log.open (disk.store ()));
  ASSERT_TRUE (log.append ("a") && log.sync () && log.append ("b"));
  disk.fail_sync_in = 1;
  EXPECT_FALSE (log.sync ());
  EXPECT_EQ (log.log.synced_index, 1u);
  EXPECT_FALSE (log.sync ());
  EXPECT_EQ (log.err.code, STORAGE_ERROR_FAILED);
  EXPECT_FALSE (log.append ("c"));
  segment_log_close (&log.log);
  disk.close_handles ();

  ASSERT_TRUE (log.open (disk.store ())) << log.err.text;
  std::map<uint64_t, std::string> recovered = log.records;
  segment_log_close (&log.log);
  disk.crash ();
  ASSERT_TRUE (log.open (disk.store ())) << log.err.text;
  EXPECT_EQ (log.records, recovered);
  segment_log_close (&log.log);
}

// Guards against a partial write that stays in the log after the disk was full, and against a log
// that stays unusable when there is space again.
TEST (SegmentLog, FullDiskKeepsTheBatch)
{
  FakeDisk disk (1);
  TestLog log;
  ASSERT_TRUE (log.open (disk.store ()));
  ASSERT_TRUE (log.append ("first") && log.sync () && log.append ("second"));
  disk.capacity_bytes = 30;
  EXPECT_FALSE (log.sync ());
  EXPECT_EQ (log.err.code, STORAGE_ERROR_FULL);
  EXPECT_EQ (log.log.synced_index, 1u);
  disk.capacity_bytes = UINT64_MAX;
  EXPECT_TRUE (log.sync ());
  segment_log_close (&log.log);
  disk.crash ();
  ASSERT_TRUE (log.open (disk.store ())) << log.err.text;
  EXPECT_EQ (log.records.size (), 2u);
  segment_log_close (&log.log);
}

// Guards against synced records that are lost and removed records that reappear, in any sequence of
// appends, syncs, truncations, compactions and crashes. Uses the seeds 1 to 300.
TEST (SegmentLog, RandomOperationsAndCrashes)
{
  for (uint64_t seed = 1; seed <= 300; seed++)
    {
      FakeDisk disk (seed);
      rng_t rng;
      rng_init (&rng, seed * 7919);
      TestLog log;
      ASSERT_TRUE (log.open (disk.store ()));
      std::map<uint64_t, std::string> expected;
      uint64_t compacted_index = 0;
      for (int step = 0; step < 60; step++)
        {
          uint64_t last = log.log.next_index - 1;
          uint64_t synced = log.log.synced_index;
          uint64_t truncation_index
              = compacted_index + 1 + rng_uniform_int (&rng, last - compacted_index + 1);
          switch (rng_uniform_int (&rng, 8))
            {
            case 0:
              ASSERT_TRUE (segment_log_truncate (&log.log, truncation_index, &log.err))
                  << log.err.text;
              expected.erase (expected.lower_bound (truncation_index), expected.end ());
              break;
            case 1:
              if (synced > compacted_index)
                compacted_index += rng_uniform_int (&rng, synced - compacted_index);
              ASSERT_TRUE (segment_log_compact (&log.log, compacted_index + 1, &log.err));
              expected.erase (expected.begin (), expected.upper_bound (compacted_index));
              break;
            case 2:
              segment_log_close (&log.log);
              disk.crash ();
              ASSERT_TRUE (log.open (disk.store ())) << seed << ": " << log.err.text;
              // A log without records does not know its next index, so its owner sets it.
              if (log.records.empty () && synced == compacted_index)
                {
                  ASSERT_TRUE (segment_log_reset (&log.log, synced + 1, &log.err));
                }
              ASSERT_GE (log.log.next_index, synced + 1) << seed;
              expected.erase (expected.upper_bound (log.log.next_index - 1), expected.end ());
              break;
            case 3:
            case 4:
              ASSERT_TRUE (log.sync ());
              break;
            default:
              expected[log.log.next_index] = record_text (step);
              ASSERT_TRUE (log.append (record_text (step)));
            }
        }
      ASSERT_TRUE (log.sync ());
      segment_log_close (&log.log);
      ASSERT_TRUE (log.open (disk.store ()));
      for (auto &[index, text] : expected)
        {
          ASSERT_TRUE (log.records[index] == text) << seed << " " << index;
        }
      EXPECT_EQ (log.log.next_index,
                 expected.empty () ? log.log.next_index : expected.rbegin ()->first + 1);
      segment_log_close (&log.log);
    }
}

// Guards against differences between the fake disk and real files, and against two processes that
// use one directory.
TEST (SegmentLog, PosixFiles)
{
  char *path = g_dir_make_tmp ("anvillb-XXXXXX", nullptr);
  file_posix_t posix, second;
  TestLog log;
  ASSERT_TRUE (file_posix_init (&posix, path, &log.err)) << log.err.text;
  EXPECT_FALSE (file_posix_init (&second, path, &log.err));
  EXPECT_EQ (log.err.code, STORAGE_ERROR_LOCKED);
  for (int round = 1; round <= 3; round++)
    {
      ASSERT_TRUE (log.open (&posix.store)) << log.err.text;
      for (int i = 0; i < 20; i++)
        ASSERT_TRUE (log.append (record_text (i)) && log.sync ());
      std::map<uint64_t, std::string> written = log.records;
      EXPECT_EQ (written.size (), 20u * round);
      segment_log_close (&log.log);
    }
  ASSERT_TRUE (log.open (&posix.store));
  EXPECT_TRUE (segment_log_truncate (&log.log, 31, &log.err));
  EXPECT_TRUE (segment_log_reset (&log.log, 100, &log.err));
  EXPECT_TRUE (log.append ("last") && log.sync ());
  segment_log_close (&log.log);
  ASSERT_TRUE (log.open (&posix.store));
  EXPECT_EQ (log.records, (std::map<uint64_t, std::string>{ { 100, "last" } }));
  segment_log_close (&log.log);

  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  ASSERT_TRUE (posix.store.ops->list (&posix.store, names, &log.err));
  EXPECT_EQ (names->len, 1u);
  for (guint i = 0; i < names->len; i++)
    posix.store.ops->remove (&posix.store, (const char *)g_ptr_array_index (names, i), nullptr);
  g_ptr_array_free (names, TRUE);
  file_posix_destroy (&posix);
  EXPECT_EQ (rmdir (path), 0);
  g_free (path);
}
