#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

extern "C"
{
#include "version_store.h"
}

// 2026-11-03T10:00:00Z as Unix time in milliseconds, the default time of commands in tests.
constexpr int64_t START_MS = 1793700000000;

// Returns TEXT with double quotes in place of single quotes, which keep test documents readable.
inline std::string
double_quoted (std::string text)
{
  std::replace (text.begin (), text.end (), '\'', '"');
  return text;
}

// Applies a command with PATCH, in which single quotes stand for double quotes, to STORE.
inline version_result_t
apply_patch (version_store_t *store, uint64_t base, const std::string &patch_id,
             const std::string &patch, const std::string &operator_name = "anna",
             const std::string &reason = "because", int64_t wall_ms = START_MS)
{
  std::string text = double_quoted (patch);
  version_command_t command = {};
  command.base = base;
  command.patch_id = patch_id.c_str ();
  command.operator_name = operator_name.c_str ();
  command.reason = reason.c_str ();
  command.wall_ms = wall_ms;
  command.patch = text.data ();
  command.patch_size = text.size ();
  command.schema = CONFIG_SCHEMA;
  version_result_t result;
  version_store_apply (store, &command, &result);
  return result;
}

// Returns the patch that sets the limit of team NAME to RATE requests per second, bursts of 9.
inline std::string
team_patch (const std::string &name, int rate)
{
  return "{'teams':{'" + name + "':{'rate':" + std::to_string (rate) + ",'burst':9}}}";
}

// Returns the contents of BYTES and releases the reference to BYTES.
inline std::string
take_bytes_text (GBytes *bytes)
{
  gsize size = 0;
  const char *data = (const char *)g_bytes_get_data (bytes, &size);
  std::string text (data, size);
  g_bytes_unref (bytes);
  return text;
}

inline std::string
save_snapshot (version_store_t *store)
{
  return take_bytes_text (version_store_save (store));
}

inline version_store_t *
restore_snapshot (const std::string &data, anv_error_t *err)
{
  return version_store_restore ((const uint8_t *)data.data (), data.size (), err);
}

inline std::string
digest_text (version_digest_t digest)
{
  char hex[VERSION_HEX_SIZE];
  return version_digest_hex (&digest, hex);
}
