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

// A disk in memory behind file_ops. What was not synced is lost at a crash, at a random point: the
// operations on a file, and those on the directory, survive up to a random one, and the first lost
// append may leave any prefix of its bytes.
class FakeDisk
{
public:
  explicit FakeDisk (uint64_t seed);

  file_store_t *
  store ()
  {
    return &base_.store;
  }

  // Power failure: drops unsynced state and closes all handles.
  void crash ();
  // The process ends, the machine stays up: the page cache survives.
  void
  close_handles ()
  {
    handles_.clear ();
  }
  // The disk is replaced by an empty one.
  void lose ();

  std::vector<std::string> names () const;
  std::string &
  content (const std::string &name)
  {
    return names_.at (name)->cache;
  }
  void set_content (const std::string &name, const std::string &data);
  void flip_bit (const std::string &name, size_t offset, unsigned bit);

  uint64_t capacity = UINT64_MAX; // bytes over all files; appends beyond write a part and fail
  int fail_sync_in = 0;           // the sync that fails, counted from the next one; 0: none
  int power_fails_in = 0;         // the same for any change; all that follow fail until crash()
  std::string lying;              // names containing this report syncs that never happen
  bool power_off = false;
  uint64_t syncs = 0;
  uint64_t bytes_appended = 0;

private:
  struct Op
  {
    bool truncate;
    size_t size;
    std::string data;
  };
  struct Inode
  {
    std::string name, cache, durable;
    std::vector<Op> pending;
    void apply (const Op &op);
  };
  using Link = std::shared_ptr<Inode>;
  struct DirOp
  {
    std::string remove, add;
    Link inode;
  };
  struct Base
  {
    file_store_t store;
    FakeDisk *disk;
  };

  static FakeDisk *
  from (file_store_t *store)
  {
    return reinterpret_cast<Base *> (store)->disk;
  }
  static const file_ops_t ops_;
  bool lies (const std::string &name) const;
  void change_dir (const std::string &remove, const std::string &add, const Link &inode);
  static void apply_dir (std::map<std::string, Link> &names, const DirOp &op);
  uint64_t used () const;
  bool has_power (anv_error_t *err);
  bool append (int handle, const uint8_t *data, size_t size, anv_error_t *err);
  bool sync (int handle, anv_error_t *err);
  bool sync_dir (anv_error_t *err);

  Base base_;
  rng_t rng_;
  std::map<std::string, Link> names_, durable_names_;
  std::vector<DirOp> pending_dir_;
  std::map<int, Link> handles_;
  int next_handle_ = 1;
};
