#include <gtest/gtest.h>

#include <map>

#include "fake_disk.h"
extern "C"
{
#include "file_posix.h"
#include "segment_log.h"
}
#include <unistd.h>

struct Log
{
  segment_log_t log = {};
  std::map<uint64_t, std::string> records;
  anv_error_t err = {};

  bool
  open (file_store_t *store, uint64_t segment_size = 200)
  {
    segment_log_options_t options = { "t", segment_size };
    records.clear ();
    return segment_log_open (
        &log, store, &options,
        [] (void *user, uint64_t index, const uint8_t *data, size_t size, anv_error_t *) {
          static_cast<Log *> (user)->records[index] = std::string ((const char *)data, size);
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

static std::string
text_of (uint64_t number)
{
  return "record " + std::to_string (number) + std::string (number % 23, 'x');
}

static void
fill (FakeDisk *disk, int count, int per_sync)
{
  Log log;
  ASSERT_TRUE (log.open (disk->store ())) << log.err.text;
  for (int i = 1; i <= count; i++)
    {
      ASSERT_TRUE (log.append (text_of (i)));
      ASSERT_TRUE (i % per_sync != 0 || log.sync ());
    }
  ASSERT_TRUE (log.sync ());
  segment_log_close (&log.log);
}

// Guards against one sync per record, and against records lost between segments.
TEST (SegmentLog, GroupCommitOverSegments)
{
  FakeDisk disk (1);
  Log log;
  ASSERT_TRUE (log.open (disk.store ()));
  uint64_t before = disk.syncs;
  for (int i = 1; i <= 64; i++)
    ASSERT_TRUE (log.append (text_of (i)));
  ASSERT_TRUE (log.sync ());
  EXPECT_LE (disk.syncs - before, 2u); // the new segment's directory entry, and the data
  segment_log_close (&log.log);

  fill (&disk, 64, 4);
  disk.crash ();
  ASSERT_TRUE (log.open (disk.store ())) << log.err.text;
  EXPECT_EQ (log.records.size (), 128u);
  EXPECT_GT (log.log.segments->len, 2u);
  segment_log_close (&log.log);
}

// Guards against a torn last write that hides complete records, survives as a record, or blocks the
// start. The last segment is cut at every byte, and the lost part also reads as zeros.
TEST (SegmentLog, TornTailAtEveryByte)
{
  FakeDisk origin (1);
  fill (&origin, 10, 10);
  std::string name = origin.names ().back ();
  std::string whole = origin.content (name);
  for (size_t cut = 0; cut < whole.size (); cut++)
    {
      size_t complete = 0;
      for (size_t end = 0, i = 1; i <= 10; i++)
        {
          end += SEGMENT_RECORD_HEADER_SIZE + text_of (i).size ();
          complete += end <= cut;
        }
      for (size_t zeros : { (size_t)0, (size_t)2048 })
        {
          FakeDisk disk (1);
          // Zeros follow a sector boundary only, as a file system leaves them.
          size_t kept = zeros > 0 && cut % 512 != 0 ? 0 : cut;
          disk.set_content (name, whole.substr (0, kept) + std::string (zeros, '\0'));
          Log log;
          ASSERT_TRUE (log.open (disk.store ())) << "cut " << cut << ": " << log.err.text;
          EXPECT_EQ (log.records.size (), kept == cut ? complete : 0) << "cut " << cut;
          ASSERT_TRUE (log.append ("next") && log.sync ());
          segment_log_close (&log.log);
          ASSERT_TRUE (log.open (disk.store ()));
          EXPECT_EQ (log.records.rbegin ()->second, "next");
          segment_log_close (&log.log);
        }
    }
}

// Guards against silent repair of damaged records: a flipped bit anywhere, in the last segment too,
// must stop the start and name the file and the place.
TEST (SegmentLog, FlippedBitIsReported)
{
  FakeDisk origin (1);
  fill (&origin, 12, 4);
  for (const std::string &name : origin.names ())
    {
      for (size_t offset = 0; offset < origin.content (name).size (); offset++)
        {
          FakeDisk disk (1);
          for (const std::string &each : origin.names ())
            disk.set_content (each, origin.content (each));
          disk.flip_bit (name, offset, offset % 8);
          std::string damaged = disk.content (name);
          Log log;
          EXPECT_FALSE (log.open (disk.store ())) << name << " " << offset;
          EXPECT_EQ (log.err.code, STORAGE_ERROR_CORRUPT);
          EXPECT_NE (std::string (log.err.text).find (name), std::string::npos);
          size_t reported = std::stoul (strstr (log.err.text, "byte ") + 5);
          EXPECT_TRUE (reported <= offset && offset - reported < 60) << log.err.text;
          EXPECT_EQ (disk.content (name), damaged);
        }
    }
}

// Guards against a missing segment that goes unnoticed.
TEST (SegmentLog, MissingSegmentIsReported)
{
  FakeDisk disk (1);
  fill (&disk, 40, 4);
  std::string middle = disk.names ()[2];
  ASSERT_TRUE (disk.store ()->ops->remove (disk.store (), middle.c_str (), nullptr));
  Log log;
  EXPECT_FALSE (log.open (disk.store ()));
  EXPECT_EQ (log.err.code, STORAGE_ERROR_CORRUPT);
}

// Guards against trust in a sync that follows a failed one: the log refuses further work, and what
// the next opening returns survives a crash although its pages were marked clean.
TEST (SegmentLog, FailedSyncIsNotRetried)
{
  FakeDisk disk (1);
  Log log;
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
  std::map<uint64_t, std::string> promised = log.records;
  segment_log_close (&log.log);
  disk.crash ();
  ASSERT_TRUE (log.open (disk.store ())) << log.err.text;
  EXPECT_EQ (log.records, promised);
  segment_log_close (&log.log);
}

// Guards against a partial write left behind by a full disk, and against a log that stays unusable
// when there is space again.
TEST (SegmentLog, FullDiskKeepsTheBatch)
{
  FakeDisk disk (1);
  Log log;
  ASSERT_TRUE (log.open (disk.store ()));
  ASSERT_TRUE (log.append ("first") && log.sync () && log.append ("second"));
  disk.capacity = 30;
  EXPECT_FALSE (log.sync ());
  EXPECT_EQ (log.err.code, STORAGE_ERROR_FULL);
  EXPECT_EQ (log.log.synced_index, 1u);
  disk.capacity = UINT64_MAX;
  EXPECT_TRUE (log.sync ());
  segment_log_close (&log.log);
  disk.crash ();
  ASSERT_TRUE (log.open (disk.store ())) << log.err.text;
  EXPECT_EQ (log.records.size (), 2u);
  segment_log_close (&log.log);
}

// Guards against synced records that are lost, and removed ones that return, through any order of
// appends, syncs, truncations, trims and crashes. Seeds 1 to 300.
TEST (SegmentLog, RandomOperationsAndCrashes)
{
  for (uint64_t seed = 1; seed <= 300; seed++)
    {
      FakeDisk disk (seed);
      rng_t rng;
      rng_init (&rng, seed * 7919);
      Log log;
      ASSERT_TRUE (log.open (disk.store ()));
      std::map<uint64_t, std::string> model;
      uint64_t trimmed = 0;
      for (int step = 0; step < 60; step++)
        {
          uint64_t last = log.log.next_index - 1;
          uint64_t synced = log.log.synced_index;
          uint64_t target = trimmed + 1 + rng_below (&rng, last - trimmed + 1);
          switch (rng_below (&rng, 8))
            {
            case 0:
              ASSERT_TRUE (segment_log_truncate (&log.log, target, &log.err)) << log.err.text;
              model.erase (model.lower_bound (target), model.end ());
              break;
            case 1:
              if (synced > trimmed)
                trimmed += rng_below (&rng, synced - trimmed);
              ASSERT_TRUE (segment_log_compact (&log.log, trimmed + 1, &log.err));
              model.erase (model.begin (), model.upper_bound (trimmed));
              break;
            case 2:
              segment_log_close (&log.log);
              disk.crash ();
              ASSERT_TRUE (log.open (disk.store ())) << seed << ": " << log.err.text;
              // A log without records does not know its position; its owner sets it.
              if (log.records.empty () && synced == trimmed)
                {
                  ASSERT_TRUE (segment_log_reset (&log.log, synced + 1, &log.err));
                }
              ASSERT_GE (log.log.next_index, synced + 1) << seed;
              model.erase (model.upper_bound (log.log.next_index - 1), model.end ());
              break;
            case 3:
            case 4:
              ASSERT_TRUE (log.sync ());
              break;
            default:
              model[log.log.next_index] = text_of (step);
              ASSERT_TRUE (log.append (text_of (step)));
            }
        }
      ASSERT_TRUE (log.sync ());
      segment_log_close (&log.log);
      ASSERT_TRUE (log.open (disk.store ()));
      for (auto &[index, text] : model)
        {
          ASSERT_TRUE (log.records[index] == text) << seed << " " << index;
        }
      EXPECT_EQ (log.log.next_index,
                 model.empty () ? log.log.next_index : model.rbegin ()->first + 1);
      segment_log_close (&log.log);
    }
}

// Guards against differences between the fake disk and files, and against two processes on one
// directory.
TEST (SegmentLog, PosixFiles)
{
  char *path = g_dir_make_tmp ("anvillb-XXXXXX", nullptr);
  file_posix_t posix, second;
  Log log;
  ASSERT_TRUE (file_posix_init (&posix, path, &log.err)) << log.err.text;
  EXPECT_FALSE (file_posix_init (&second, path, &log.err));
  EXPECT_EQ (log.err.code, STORAGE_ERROR_LOCKED);
  for (int round = 1; round <= 3; round++)
    {
      ASSERT_TRUE (log.open (&posix.store)) << log.err.text;
      for (int i = 0; i < 20; i++)
        ASSERT_TRUE (log.append (text_of (i)) && log.sync ());
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
