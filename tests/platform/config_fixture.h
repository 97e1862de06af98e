#pragma once

#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "json_util.h"
#include "platform_adapter.h"
#include "version_store.h"
}
#include "sample_config.h"

/* config_fixture - a store of configurations that is changed as the adapter changes it. */

class PlatformConfig : public ::testing::Test
{
protected:
  version_store_t *store = version_store_new ();

  void
  TearDown () override
  {
    version_store_free (store);
  }
  // Applies a change to the store as the adapter does. Returns the name of the outcome, followed by
  // the error of an invalid change.
  std::string
  send_change (const std::string &body, const char *base, bool replace, const char *change_id,
               bool short_prefixes = false)
  {
    platform_change_t change;
    anv_error_t err = {};
    std::string text = to_json (body);
    bool valid = replace ? platform_read_config (text.data (), text.size (), base, &change, &err)
                         : platform_read_patch (text.data (), text.size (), base, &change, &err);
    if (!valid)
      return std::string ("unreadable: ") + err.text;
    platform_set_prefix_form (&change, short_prefixes);
    version_command_t command = {};
    command.base = VERSION_BASE_BY_LABEL;
    command.patch_id = change_id;
    command.operator_name = "operator";
    command.reason = "test";
    command.patch = change.document;
    command.patch_size = strlen (change.document);
    command.schema = CONFIG_SCHEMA;
    command.replaces_document = replace;
    version_result_t result;
    version_store_apply (store, &command, &result);
    platform_change_clear (&change);
    return std::string (version_outcome_name (result.outcome))
           + (result.outcome == VERSION_INVALID ? std::string (": ") + result.text : "");
  }
  platform_prefix_form_t
  prefix_form () const
  {
    return platform_get_prefix_form (version_store_doc (store));
  }
  // Returns the current document in the format of the platform.
  cJSON *
  read_config ()
  {
    char *text = platform_write_config (version_store_doc (store));
    cJSON *result = cJSON_Parse (text);
    cJSON_free (text);
    return result;
  }
  static cJSON *
  find_by_name (cJSON *list, const char *name)
  {
    cJSON *item = nullptr;
    cJSON_ArrayForEach (item, list)
    {
      if (strcmp (json_get_string (item, "name", ""), name) == 0)
        return item;
    }
    return nullptr;
  }
};
