#include <gtest/gtest.h>

#include <algorithm>
#include <string>

extern "C"
{
#include "json_util.h"
#include "platform_adapter.h"
#include "version_store.h"
}

namespace
{
// Replaces the single quotes of TEXT by double quotes.
std::string
to_json (std::string text)
{
  std::replace (text.begin (), text.end (), '\'', '"');
  return text;
}

const char *const CONFIG
    = "{'version':'0000000c','routes':[{'name':'r-b','host':'H.example','path_prefix':'/b/c/',"
      "'route_type':'unsafe','timeout_ms':1000,'latency_goal_ms':500,'priority':1,'service':'s',"
      "'max_attempts':2,'colour':{'x':[1,2]}},{'name':'r-a','host':'h.example','path_prefix':'/',"
      "'route_type':'safe','timeout_ms':800,'priority':2,'traffic_split':[{'service':'s','weight':"
      "90},{'service':'t','weight':10}],'max_attempts':1}],'services':[{'name':'s','health_path':"
      "'/health','max_connections':330,'protocol':'h1','tls':false},{'name':'t'}],'limits':"
      "{'max_header_bytes':16384,'max_body_bytes':67108864,'header_timeout_ms':3000,"
      "'idle_timeout_ms':15000,'other':7},'extra':'kept'}";

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
  send_change (const std::string &body, const char *base, bool replace, const char *change_id)
  {
    platform_change_t change;
    anv_error_t err = {};
    std::string text = to_json (body);
    bool valid = replace ? platform_read_config (text.data (), text.size (), base, &change, &err)
                         : platform_read_patch (text.data (), text.size (), base, &change, &err);
    if (!valid)
      return std::string ("unreadable: ") + err.text;
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
}

// Guards against a configuration that is read back other than it was sent: unknown fields, traffic
// splits, the root prefix.
TEST_F (PlatformConfig, IsReadBackAsItWasSent)
{
  ASSERT_EQ (send_change (CONFIG, "0", true, "a"), "accepted");
  cJSON *sent = cJSON_Parse (to_json (CONFIG).c_str ());
  cJSON *got = read_config ();
  for (const char *list : { "routes", "services" })
    {
      cJSON *sent_items = cJSON_GetObjectItem (sent, list);
      cJSON *got_items = cJSON_GetObjectItem (got, list);
      ASSERT_EQ (cJSON_GetArraySize (sent_items), cJSON_GetArraySize (got_items));
      cJSON *item = nullptr;
      cJSON_ArrayForEach (item, sent_items)
      {
        char *text = cJSON_Print (find_by_name (got_items, json_get_string (item, "name", "")));
        EXPECT_TRUE (cJSON_Compare (
            item, find_by_name (got_items, json_get_string (item, "name", "")), true))
            << text;
        cJSON_free (text);
      }
    }
  for (const char *key : { "version", "limits", "extra" })
    EXPECT_TRUE (
        cJSON_Compare (cJSON_GetObjectItem (sent, key), cJSON_GetObjectItem (got, key), true))
        << key;
  cJSON_Delete (sent);
  cJSON_Delete (got);
}

// Guards against fields of a replaced item that stay in force: a patch replaces items as a whole.
TEST_F (PlatformConfig, PatchReplacesItemsAsAWhole)
{
  ASSERT_EQ (send_change (CONFIG, "0", true, "a"), "accepted");
  ASSERT_EQ (
      send_change ("{'version':'0000000d','upsert':{'routes':[{'name':'r-a','host':'h.example',"
                   "'path_prefix':'/','route_type':'unsafe','timeout_ms':700,'service':'t'}]},"
                   "'drop':{'routes':['r-b','r-none']}}",
                   "0000000c", false, "b"),
      "accepted");
  cJSON *got = read_config ();
  cJSON *routes = cJSON_GetObjectItem (got, "routes");
  ASSERT_EQ (cJSON_GetArraySize (routes), 1);
  char *text = cJSON_PrintUnformatted (routes);
  EXPECT_EQ (std::string (text),
             to_json ("[{'name':'r-a','path_prefix':'/','route_type':'unsafe','host':'h.example',"
                      "'timeout_ms':700,'service':'t'}]"));
  cJSON_free (text);
  cJSON_Delete (got);
}

// Guards against two changes based on the same version that are both accepted, against a change
// that is refused when it is sent again, and against a version number that does not rise.
TEST_F (PlatformConfig, OnlyOneOfTwoChangesOnAVersionIsAccepted)
{
  const char *first_patch = "{'version':'0000000d','upsert':{'services':[{'name':'u'}]}}";
  const char *second_patch = "{'version':'0000000d','upsert':{'services':[{'name':'v'}]}}";
  ASSERT_EQ (send_change (CONFIG, "0", true, "a"), "accepted");
  EXPECT_EQ (send_change (first_patch, "0000000c", false, "one"), "accepted");
  EXPECT_EQ (send_change (second_patch, "0000000c", false, "two"), "stale");
  EXPECT_EQ (send_change (first_patch, "0000000c", false, "one"), "repeated");
  EXPECT_EQ (send_change (CONFIG, "0", true, "a"), "repeated");
  EXPECT_EQ (send_change (second_patch, "0000000d", false, "three"),
             "invalid: $.label: must be above the label of the current version");
  EXPECT_EQ (send_change (CONFIG, "0000000d", true, "four"),
             "invalid: $.label: must be above the label of the current version");
}

// Guards against a change that is accepted although it is malformed or breaks a rule.
TEST_F (PlatformConfig, InvalidChangesAreRefused)
{
  ASSERT_EQ (send_change (CONFIG, "0", true, "a"), "accepted");
  const std::pair<std::string, std::string> cases[] = {
    { "{'version':'0000000d','upsert':[", "unreadable: not valid JSON" },
    { "{'version':'xyz','upsert':{}}",
      "unreadable: version and Base-Version must be hexadecimal numbers" },
    { "{'version':'0000000d','upsert':{'routes':[{'name':'r','host':'h','path_prefix':'a/',"
      "'route_type':'safe','timeout_ms':1,'service':'s'}]}}",
      "invalid: $.routes.r.prefix: must start with '/'" },
    { "{'version':'0000000d','upsert':{'routes':[{'name':'r','host':'h','path_prefix':'/a/',"
      "'route_type':'never','timeout_ms':1,'service':'s'}]}}",
      "unreadable: route_type: must be \"safe\" or \"unsafe\"" },
    { "{'version':'0000000d','upsert':{'routes':[{'name':'r','host':'h','path_prefix':'/a/',"
      "'route_type':'safe','timeout_ms':0,'service':'s'}]}}",
      "invalid: $.routes.r.timeout_ms: must be from 1 to 3600000" },
    { "{'version':'0000000d','upsert':{'routes':[{'name':'r','host':'h','path_prefix':'/a/',"
      "'route_type':'safe','timeout_ms':1000,'latency_goal_ms':61000,'service':'s'}]}}",
      "invalid: $.routes.r.goal_ms: must be less than 60000 above timeout_ms" },
    { "{'version':'0000000d','drop':{'services':['s']}}",
      "invalid: $.routes.r-a.split.service: names no service" },
  };
  for (const auto &[body, expected] : cases)
    EXPECT_EQ (send_change (body, "0000000c", false, "x"), expected);
}

// Guards against a history that does not show what a replacement of the document changed: it is
// recorded as the patch from its base, and the saved store passes the checks of a restore.
TEST_F (PlatformConfig, ReplacementIsRecordedAsAPatch)
{
  ASSERT_EQ (send_change (CONFIG, "0", true, "a"), "accepted");
  ASSERT_EQ (send_change ("{'version':'0000000d','routes':[],'services':[{'name':'t'}]}",
                          "0000000c", true, "b"),
             "accepted");
  const version_record_t *record = version_store_record (store, 2);
  EXPECT_NE (strstr (record->patch, "\"r-b\":null"), nullptr) << record->patch;
  GBytes *saved = version_store_save (store);
  anv_error_t err = {};
  version_store_t *restored = version_store_restore (
      (const uint8_t *)g_bytes_get_data (saved, nullptr), g_bytes_get_size (saved), &err);
  g_bytes_unref (saved);
  ASSERT_NE (restored, nullptr) << err.text;
  EXPECT_EQ (config_doc_label (version_store_doc (restored)), 13u);
  version_store_free (restored);
}

namespace
{
// Parses BODY as a heartbeat of the instance i-1, received at 1000 us.
bool
read_heartbeat (const std::string &body, registry_target_t *target)
{
  std::string text = to_json (body);
  return platform_read_heartbeat ("i-1", text.data (), text.size (), 1000, target);
}
}

// Guards against a body that is not a complete and valid heartbeat but is taken for a target.
TEST (PlatformHeartbeat, InvalidHeartbeatIsRejected)
{
  registry_target_t target;
  const std::string info = "'info':{'service':'s','version':'v','zone':'z','slots':4}";
  const std::string status = "'status':{'state':'ready','sequence':4,'warmup_left_ms':250}";
  const std::string address = "'address':'10.0.0.1:80'";
  ASSERT_TRUE (read_heartbeat ("{" + address + "," + info + "," + status + ",'born':77}", &target));
  EXPECT_STREQ (target.service, "s");
  EXPECT_EQ (target.started_at_ms, 77);
  EXPECT_EQ (target.warmup_end_us, 251000);
  for (const std::string &body :
       { std::string ("{"), "{" + info + "," + status + "}", "{" + address + "," + info + "}",
         "{'address':'nowhere'," + info + "," + status + "}",
         "{" + address + "," + info + ",'status':{'state':'up','sequence':4,'warmup_left_ms':0}}",
         "{" + address + "," + info
             + ",'status':{'state':'ready','sequence':'4','warmup_left_ms':0}}",
         "{" + address + ",'info':{'service':5,'version':'v','zone':'z','slots':4}," + status + "}",
         "{" + address + ",'info':{'service':'s','version':'v','zone':'z','slots':0}," + status
             + "}",
         "{" + address + "," + info + "," + status + ",'born':1.5}",
         "{" + address + "," + info + "," + status + ",'born':'1'}" })
    EXPECT_FALSE (read_heartbeat (body, &target)) << body;
}
