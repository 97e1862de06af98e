/* What a process reads from its disk. Input: a byte that chooses the file, and its content. */

#include <cstring>
#include <map>

#include "fake_disk.h"
#include "fuzz.h"
extern "C"
{
#include "claim_store.h"
#include "log.h"
#include "raft_store.h"
#include "segment_log.h"
#include "version_store.h"
}

namespace
{
enum
{
  FILE_LOG,
  FILE_SNAPSHOT,
  FILE_META,
  FILE_CLAIMS,
  FILE_VERSIONS,
  FILE_COUNT,
};

const char *const LOG_NAME = "t-00000000000000000001.seg1";

typedef std::map<uint64_t, std::string> records_t;

bool
collect (void *user, uint64_t index, const uint8_t *data, size_t size, anv_error_t *)
{
  (*static_cast<records_t *> (user))[index] = std::string ((const char *)data, size);
  return true;
}

/* Opens the log of DISK. On success, adds one record if APPENDED is not NULL, and closes the log.
 */
bool
open_log (FakeDisk *disk, records_t *records, const char *appended)
{
  segment_log_t log = {};
  segment_log_options_t options = { "t", 200 };
  anv_error_t err = {};
  bool opened = segment_log_open (&log, disk->store (), &options, collect, records, &err);
  FUZZ_CHECK (opened || err.text[0] != '\0');
  if (opened && appended != nullptr)
    {
      uint64_t index = 0;
      FUZZ_CHECK (
          segment_log_append (&log, (const uint8_t *)appended, strlen (appended), &index, &err));
      FUZZ_CHECK (segment_log_sync (&log, &err));
      FUZZ_CHECK (records->empty () || index == records->rbegin ()->first + 1);
      (*records)[index] = appended;
    }
  if (opened)
    segment_log_close (&log);
  return opened;
}

/* Checks that a log with one bit changed isn't read as if it held other records: each record that
 * is read is one of RECORDS. */
void
check_changed_bit (const std::string &content, const records_t &records, size_t position)
{
  FakeDisk disk (1);
  records_t read;
  disk.set_content (LOG_NAME, content);
  disk.flip_bit (LOG_NAME, position, (unsigned)(position % 8));
  if (!open_log (&disk, &read, nullptr))
    return;
  for (const auto &[index, text] : read)
    FUZZ_CHECK (records.count (index) != 0 && records.at (index) == text);
}

/* Checks that what one start reads from the log, and what is added then, is there at the next. */
void
check_log (const std::string &content)
{
  FakeDisk disk (1);
  records_t first, second;
  if (content.empty ())
    return;
  disk.set_content (LOG_NAME, content);
  if (!open_log (&disk, &first, "added"))
    return;
  disk.crash ();
  FUZZ_CHECK (open_log (&disk, &second, nullptr));
  FUZZ_CHECK (first == second);
  std::string saved = disk.content (LOG_NAME);
  check_changed_bit (saved, first,
                     (content.size () * 31 + (uint8_t)content.back ()) % saved.size ());
}

void
check_snapshot (const std::string &content)
{
  raft_snapshot_t snapshot = {};
  const uint8_t *data = nullptr;
  size_t size = 0;
  if (!raft_snapshot_decode ((const uint8_t *)content.data (), content.size (), &snapshot, &data,
                             &size))
    return;
  GByteArray *again = g_byte_array_new ();
  raft_snapshot_encode (&snapshot, data, size, again);
  FUZZ_CHECK (std::string ((const char *)again->data, again->len) == content);
  g_byte_array_unref (again);
}

void
check_meta (const std::string &content)
{
  FakeDisk disk (1);
  raft_meta_t first = {};
  raft_meta_t second = {};
  anv_error_t err = {};
  disk.set_content ("g-meta", content);
  if (!raft_meta_load (disk.store (), "g", 5, &first, &err))
    {
      FUZZ_CHECK (err.text[0] != '\0');
      return;
    }
  FUZZ_CHECK (first.id != 0);
  disk.crash ();
  FUZZ_CHECK (raft_meta_load (disk.store (), "g", 6, &second, &err));
  FUZZ_CHECK (first.id == second.id && first.term == second.term && first.vote == second.vote);
}

void
check_claims (const std::string &content)
{
  claim_store_t store, again;
  anv_error_t err = {};
  claim_store_init (&store);
  claim_store_init (&again);
  if (claim_store_restore (&store, (const uint8_t *)content.data (), content.size (), &err))
    {
      GByteArray *saved = claim_store_snapshot (&store);
      FUZZ_CHECK (claim_store_restore (&again, saved->data, saved->len, &err));
      FUZZ_CHECK (claim_store_count (&store) == claim_store_count (&again));
      GByteArray *saved_again = claim_store_snapshot (&again);
      FUZZ_CHECK (saved->len == saved_again->len
                  && memcmp (saved->data, saved_again->data, saved->len) == 0);
      g_byte_array_unref (saved);
      g_byte_array_unref (saved_again);
    }
  else
    FUZZ_CHECK (err.text[0] != '\0' && claim_store_count (&store) == 0);
  claim_store_destroy (&store);
  claim_store_destroy (&again);
}

/* Returns whether CONTENT is a valid state. If it is, stores what is saved of it in SAVED. */
bool
restore_versions (const std::string &content, std::string *saved)
{
  anv_error_t err = {};
  version_store_t *store
      = version_store_restore ((const uint8_t *)content.data (), content.size (), &err);
  if (store == nullptr)
    {
      FUZZ_CHECK (err.text[0] != '\0');
      return false;
    }
  GBytes *bytes = version_store_save (store);
  saved->assign ((const char *)g_bytes_get_data (bytes, nullptr), g_bytes_get_size (bytes));
  g_bytes_unref (bytes);
  version_store_free (store);
  return true;
}

void
check_versions (const std::string &content)
{
  std::string saved, again;
  if (!restore_versions (content, &saved))
    return;
  FUZZ_CHECK (restore_versions (saved, &again));
  FUZZ_CHECK (saved == again);
}

std::string
make_log ()
{
  FakeDisk disk (1);
  segment_log_t log = {};
  segment_log_options_t options = { "t", 100000 };
  anv_error_t err = {};
  uint64_t index = 0;
  FUZZ_CHECK (segment_log_open (&log, disk.store (), &options, nullptr, nullptr, &err));
  for (const char *text : { "one", "", "the third" })
    {
      FUZZ_CHECK (segment_log_append (&log, (const uint8_t *)text, strlen (text), &index, &err));
      FUZZ_CHECK (segment_log_sync (&log, &err));
    }
  segment_log_close (&log);
  return disk.content (LOG_NAME);
}

std::string
make_snapshot ()
{
  raft_snapshot_t snapshot = {};
  snapshot.index = 12;
  snapshot.term = 3;
  snapshot.config.founder_id = 5;
  snapshot.config.count = 1;
  snapshot.config.members[0].id = 5;
  snapshot.config.members[0].voter = true;
  strcpy (snapshot.config.members[0].name, "10.0.0.1:1/10.0.0.1:2");
  GByteArray *out = g_byte_array_new ();
  raft_snapshot_encode (&snapshot, (const uint8_t *)"state", 5, out);
  std::string text ((const char *)out->data, out->len);
  g_byte_array_unref (out);
  return text;
}

std::string
make_meta ()
{
  FakeDisk disk (1);
  anv_error_t err = {};
  raft_meta_t meta = { 5, 3, 5 };
  FUZZ_CHECK (raft_meta_save (disk.store (), "g", &meta, &err));
  return disk.content ("g-meta");
}

std::string
make_claims ()
{
  claim_store_t store;
  claim_command_t command = {};
  claim_result_t result = {};
  claim_store_init (&store);
  command.type = CLAIM_COMMAND_GRANT;
  command.key[0] = 1;
  command.nonce[0] = 2;
  command.in_progress_timeout_ms = 1000;
  command.retention_ms = 60000;
  claim_store_apply (&store, &command, &result);
  claim_result_clear (&result);
  command.type = CLAIM_COMMAND_OUTCOME;
  command.status = 201;
  command.body = g_bytes_new_static ("done", 4);
  claim_store_apply (&store, &command, &result);
  claim_result_clear (&result);
  claim_command_clear (&command);
  GByteArray *saved = claim_store_snapshot (&store);
  std::string text ((const char *)saved->data, saved->len);
  g_byte_array_unref (saved);
  claim_store_destroy (&store);
  return text;
}

std::string
make_versions ()
{
  version_store_t *store = version_store_new ();
  version_result_t result;
  const char *const patches[]
      = { "{\"services\":{\"s\":{\"hosts\":[\"h\"]}}}",
          "{\"routes\":{\"r\":{\"service\":\"s\",\"prefix\":\"/x/\",\"methods\":[\"GET\"],"
          "\"class\":\"urgent\",\"idempotent\":true}}}" };
  uint64_t base = 0;
  for (const char *patch : patches)
    {
      version_command_t command = {};
      std::string id = "change-" + std::to_string (base);
      command.base = base++;
      command.patch_id = id.c_str ();
      command.operator_name = "ops";
      command.reason = "why";
      command.patch = patch;
      command.patch_size = strlen (patch);
      command.schema = CONFIG_SCHEMA;
      version_store_apply (store, &command, &result);
      FUZZ_CHECK (result.outcome == VERSION_ACCEPTED);
    }
  GBytes *bytes = version_store_save (store);
  std::string text ((const char *)g_bytes_get_data (bytes, nullptr), g_bytes_get_size (bytes));
  g_bytes_unref (bytes);
  version_store_free (store);
  return text;
}
}

std::vector<std::string>
fuzz_seeds ()
{
  return {
    std::string (1, FILE_LOG) + make_log (),
    std::string (1, FILE_SNAPSHOT) + make_snapshot (),
    std::string (1, FILE_META) + make_meta (),
    std::string (1, FILE_CLAIMS) + make_claims (),
    std::string (1, FILE_VERSIONS) + make_versions (),
  };
}

extern "C" int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size < 1)
    return 0;
  std::string content ((const char *)data + 1, size - 1);
  log_init ("fuzz_files", LOG_LEVEL_ERROR); // each torn record is a warning
  switch (data[0] % FILE_COUNT)
    {
    case FILE_LOG:
      check_log (content);
      break;
    case FILE_SNAPSHOT:
      check_snapshot (content);
      break;
    case FILE_META:
      check_meta (content);
      break;
    case FILE_CLAIMS:
      check_claims (content);
      break;
    case FILE_VERSIONS:
      check_versions (content);
      break;
    }
  return 0;
}
