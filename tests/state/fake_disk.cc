#include "fake_disk.h"

// Sets ERR and returns false.
static bool
set_storage_error (anv_error_t *err, storage_error_t code, const char *text)
{
  anv_error_set (err, ANV_ERROR_STORAGE, code, "%s", text);
  return false;
}

void
FakeDisk::Inode::apply (const FileOp &op)
{
  if (op.truncate)
    durable.resize (std::min (durable.size (), op.size));
  else
    write (op.offset, op.data);
}

void
FakeDisk::Inode::write (size_t offset, const std::string &data)
{
  if (durable.size () < offset + data.size ())
    durable.resize (offset + data.size (), '\0');
  durable.replace (offset, data.size (), data);
}

// Applies an unsynced write after a power failure: it is present, missing or torn. The part that is
// missing reads as zeros if the new size of the file was kept.
void
FakeDisk::Inode::apply_torn (const FileOp &op, rng_t *rng)
{
  size_t kept = 0;
  switch (rng_uniform_int (rng, 3))
    {
    case 0:
      kept = op.data.size ();
      break;
    case 1:
      kept = rng_uniform_int (rng, op.data.size () + 1);
      break;
    }
  if (kept > 0)
    write (op.offset, op.data.substr (0, kept));
  if (rng_uniform_int (rng, 2) == 0 && durable.size () < op.offset + op.data.size ())
    durable.resize (op.offset + op.data.size (), '\0');
}

FakeDisk::FakeDisk (uint64_t seed) : disk_store_{ { &ops_ }, this }
{
  rng_init (&rng_, seed);
}

bool
FakeDisk::skips_sync (const std::string &name) const
{
  return !skip_sync_substring.empty () && name.find (skip_sync_substring) != std::string::npos;
}

void
FakeDisk::apply_dir (std::map<std::string, InodePtr> &names, const DirOp &op)
{
  names.erase (op.remove);
  if (op.inode)
    names[op.add] = op.inode;
}

void
FakeDisk::change_dir (const std::string &remove, const std::string &add, const InodePtr &inode)
{
  pending_dir_.push_back ({ remove, add, inode });
  apply_dir (directory_, pending_dir_.back ());
}

void
FakeDisk::crash ()
{
  handles_.clear ();
  power_off = false;
  power_fails_in = 0;
  size_t kept_dir_op_count = rng_uniform_int (&rng_, pending_dir_.size () + 1);
  for (size_t i = 0;
       i < kept_dir_op_count && !skips_sync (pending_dir_[i].remove + pending_dir_[i].add); i++)
    apply_dir (durable_directory_, pending_dir_[i]);
  pending_dir_.clear ();
  directory_ = durable_directory_;
  for (auto &[name, inode] : directory_)
    {
      // After some power failures nothing that was unsynced is kept.
      bool all_lost = skips_sync (inode->name) || rng_uniform_int (&rng_, 4) == 0;
      for (const FileOp &op : inode->pending)
        {
          if (all_lost)
            break;
          if (!op.truncate)
            inode->apply_torn (op, &rng_);
          else if (rng_uniform_int (&rng_, 2) == 0)
            inode->apply (op);
        }
      inode->pending.clear ();
      inode->cache = inode->durable;
    }
}

void
FakeDisk::lose_data ()
{
  handles_.clear ();
  directory_.clear ();
  durable_directory_.clear ();
  pending_dir_.clear ();
}

std::vector<std::string>
FakeDisk::names () const
{
  std::vector<std::string> out;
  for (auto &[name, inode] : directory_)
    out.push_back (name);
  return out;
}

void
FakeDisk::set_content (const std::string &name, const std::string &data)
{
  auto inode = std::make_shared<Inode> ();
  inode->cache = inode->durable = data;
  directory_[name] = durable_directory_[name] = inode;
}

void
FakeDisk::flip_bit (const std::string &name, size_t offset, unsigned bit)
{
  std::string data = content (name);
  data[offset] = (char)(data[offset] ^ (1 << bit));
  set_content (name, data);
}

uint64_t
FakeDisk::used_bytes () const
{
  uint64_t total = 0;
  for (auto &[name, inode] : directory_)
    total += inode->cache.size ();
  return total;
}

bool
FakeDisk::has_power (anv_error_t *err)
{
  power_off = power_off || (power_fails_in > 0 && --power_fails_in == 0);
  return !power_off || set_storage_error (err, STORAGE_ERROR_IO, "power is off");
}

bool
FakeDisk::append (int handle, const uint8_t *data, size_t size, anv_error_t *err)
{
  if (!has_power (err))
    return false;
  InodePtr &inode = handles_.at (handle);
  uint64_t in_use = used_bytes ();
  size_t fits = capacity_bytes > in_use ? std::min<uint64_t> (size, capacity_bytes - in_use) : 0;
  std::string written ((const char *)data, fits);
  inode->pending.push_back ({ false, 0, inode->cache.size (), written });
  inode->cache += written;
  bytes_appended += fits;
  return fits == size || set_storage_error (err, STORAGE_ERROR_FULL, "no space left");
}

bool
FakeDisk::sync (int handle, anv_error_t *err)
{
  InodePtr &inode = handles_.at (handle);
  sync_count++;
  if (!has_power (err))
    return false;
  if (fail_sync_in > 0 && --fail_sync_in == 0)
    {
      // The pages are marked clean although they were not written, so a later sync leaves zeros.
      for (FileOp &op : inode->pending)
        op.data.assign (op.data.size (), '\0');
      return set_storage_error (err, STORAGE_ERROR_IO, "sync failed");
    }
  if (skips_sync (inode->name))
    return true;
  for (const FileOp &op : inode->pending)
    inode->apply (op);
  inode->pending.clear ();
  return true;
}

bool
FakeDisk::sync_dir (anv_error_t *err)
{
  sync_count++;
  if (!has_power (err))
    return false;
  if (fail_sync_in > 0 && --fail_sync_in == 0)
    return set_storage_error (err, STORAGE_ERROR_IO, "directory sync failed");
  std::vector<DirOp> unsynced;
  for (const DirOp &op : pending_dir_)
    {
      if (skips_sync (op.remove + op.add))
        unsynced.push_back (op);
      else
        apply_dir (durable_directory_, op);
    }
  pending_dir_ = unsynced;
  return true;
}

const file_ops_t FakeDisk::ops_ = {
  [] (file_store_t *store, const char *name, bool create, int *handle, anv_error_t *err) {
    FakeDisk *disk = disk_of (store);
    auto found = disk->directory_.find (name);
    if (found == disk->directory_.end () && !create)
      return set_storage_error (err, STORAGE_ERROR_NOT_FOUND, "no such file");
    InodePtr inode = found != disk->directory_.end () ? found->second : std::make_shared<Inode> ();
    if (found == disk->directory_.end ())
      {
        inode->name = name;
        disk->change_dir ("", name, inode);
      }
    *handle = disk->next_handle_++;
    disk->handles_[*handle] = inode;
    return true;
  },
  [] (file_store_t *store, int handle) { disk_of (store)->handles_.erase (handle); },
  [] (file_store_t *store, int handle, const uint8_t *data, size_t size, anv_error_t *err) {
    return disk_of (store)->append (handle, data, size, err);
  },
  [] (file_store_t *store, int handle, anv_error_t *err) {
    return disk_of (store)->sync (handle, err);
  },
  [] (file_store_t *store, int handle, uint64_t offset, uint8_t *buffer, size_t size,
      size_t *read_size, anv_error_t *) {
    const std::string &data = disk_of (store)->handles_.at (handle)->cache;
    *read_size = offset < data.size () ? std::min (size, data.size () - offset) : 0;
    data.copy ((char *)buffer, *read_size, std::min (offset, data.size ()));
    return true;
  },
  [] (file_store_t *store, int handle, uint64_t size, anv_error_t *err) {
    if (!disk_of (store)->has_power (err))
      return false;
    InodePtr &inode = disk_of (store)->handles_.at (handle);
    inode->cache.resize (std::min (inode->cache.size (), size));
    inode->pending.push_back ({ true, size, 0, "" });
    return true;
  },
  [] (file_store_t *store, const char *old_name, const char *new_name, anv_error_t *err) {
    FakeDisk *disk = disk_of (store);
    auto found = disk->directory_.find (old_name);
    if (!disk->has_power (err))
      return false;
    if (found == disk->directory_.end ())
      return set_storage_error (err, STORAGE_ERROR_NOT_FOUND, "no such file");
    disk->change_dir (old_name, new_name, InodePtr (found->second));
    return true;
  },
  [] (file_store_t *store, const char *name, anv_error_t *err) {
    FakeDisk *disk = disk_of (store);
    if (!disk->has_power (err))
      return false;
    if (disk->directory_.count (name) == 0)
      return set_storage_error (err, STORAGE_ERROR_NOT_FOUND, "no such file");
    disk->change_dir (name, "", nullptr);
    return true;
  },
  [] (file_store_t *store, GPtrArray *names, anv_error_t *) {
    for (auto &[name, inode] : disk_of (store)->directory_)
      g_ptr_array_add (names, g_strdup (name.c_str ()));
    return true;
  },
  [] (file_store_t *store, anv_error_t *err) { return disk_of (store)->sync_dir (err); },
};
