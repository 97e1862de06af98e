#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C"
{
#include "file_ops.h"
#include "rng.h"
}

// A disk in memory that implements file_ops. At a crash each unsynced write is present, missing or
// torn, independently of the others, or all of a file are missing. What is missing reads as zeros
// if the size of the file was kept. Of the unsynced operations on the directory, a random number is
// kept, in their order.
class FakeDisk
{
public:
  explicit FakeDisk (uint64_t seed);

  file_store_t *
  store ()
  {
    return &disk_store_.store;
  }

  // Simulates a power failure: drops unsynced state as described above and closes all handles.
  void crash ();
  // Simulates the end of the process only: the page cache is kept.
  void
  close_handles ()
  {
    handles_.clear ();
  }
  // Replaces the disk by an empty one.
  void lose_data ();

  std::vector<std::string> names () const;
  std::string &
  content (const std::string &name)
  {
    return directory_.at (name)->cache;
  }
  void set_content (const std::string &name, const std::string &data);
  void flip_bit (const std::string &name, size_t offset, unsigned bit);

  // Of all files together. An append beyond it writes what fits and fails.
  uint64_t capacity_bytes = UINT64_MAX;
  int fail_sync_in = 0;            // 1: the next sync fails, 2: the one after it, ...; 0: none
  int power_fails_in = 0;          // the same for any change; all later ones fail until crash()
  std::string skip_sync_substring; // syncs of names that contain it have no effect; "": none
  bool power_off = false;
  uint64_t sync_count = 0;
  uint64_t bytes_appended = 0;

private:
  struct FileOp
  {
    bool truncate;
    size_t size;   // of the file after a truncation
    size_t offset; // of a write
    std::string data;
  };
  struct Inode
  {
    std::string name, cache, durable;
    std::vector<FileOp> pending;
    void apply (const FileOp &op);
    void write (size_t offset, const std::string &data);
    void apply_torn (const FileOp &op, rng_t *rng);
  };
  using InodePtr = std::shared_ptr<Inode>;
  struct DirOp
  {
    std::string remove, add;
    InodePtr inode;
  };
  struct DiskStore
  {
    file_store_t store;
    FakeDisk *disk;
  };

  static FakeDisk *
  disk_of (file_store_t *store)
  {
    return reinterpret_cast<DiskStore *> (store)->disk;
  }
  static const file_ops_t ops_;
  bool skips_sync (const std::string &name) const;
  void change_dir (const std::string &remove, const std::string &add, const InodePtr &inode);
  static void apply_dir (std::map<std::string, InodePtr> &names, const DirOp &op);
  uint64_t used_bytes () const;
  bool has_power (anv_error_t *err);
  bool append (int handle, const uint8_t *data, size_t size, anv_error_t *err);
  bool sync (int handle, anv_error_t *err);
  bool sync_dir (anv_error_t *err);

  DiskStore disk_store_;
  rng_t rng_;
  std::map<std::string, InodePtr> directory_, durable_directory_;
  std::vector<DirOp> pending_dir_;
  std::map<int, InodePtr> handles_;
  int next_handle_ = 1;
};
