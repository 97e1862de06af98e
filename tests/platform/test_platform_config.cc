#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "json_util.h"
#include "platform_adapter.h"
#include "rng.h"
#include "version_store.h"
}
#include "config_fixture.h"
#include "sample_config.h"

// Guards against a configuration that is read back other than it was sent: unknown fields, traffic
// splits, the root prefix.
TEST_F (PlatformConfig, IsReadBackAsItWasSent)
{
  ASSERT_EQ (send_change (SAMPLE_CONFIG, "0", true, "a"), "accepted");
  cJSON *sent = cJSON_Parse (to_json (SAMPLE_CONFIG).c_str ());
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
  ASSERT_EQ (send_change (SAMPLE_CONFIG, "0", true, "a"), "accepted");
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
  ASSERT_EQ (send_change (SAMPLE_CONFIG, "0", true, "a"), "accepted");
  EXPECT_EQ (send_change (first_patch, "0000000c", false, "one"), "accepted");
  EXPECT_EQ (send_change (second_patch, "0000000c", false, "two"), "stale");
  EXPECT_EQ (send_change (first_patch, "0000000c", false, "one"), "repeated");
  EXPECT_EQ (send_change (SAMPLE_CONFIG, "0", true, "a"), "repeated");
  EXPECT_EQ (send_change (second_patch, "0000000d", false, "three"),
             "invalid: $.label: must be above the label of the current version");
  EXPECT_EQ (send_change (SAMPLE_CONFIG, "0000000d", true, "four"),
             "invalid: $.label: must be above the label of the current version");
}

// Guards against a change that is accepted although it is malformed or breaks a rule.
TEST_F (PlatformConfig, InvalidChangesAreRefused)
{
  ASSERT_EQ (send_change (SAMPLE_CONFIG, "0", true, "a"), "accepted");
  const std::pair<std::string, std::string> cases[] = {
    { "{'version':'0000000d','upsert':[", "unreadable: not valid JSON" },
    { "{'version':'xyz','upsert':{}}",
      "unreadable: version and Base-Version must be hexadecimal numbers" },
    { "{'version':'0000000d','upsert':{'routes':[{'name':'r','host':'h','path_prefix':'a/',"
      "'route_type':'safe','timeout_ms':1,'service':'s'}]}}",
      "invalid: $.routes.r.prefix: must start with '/'" },
    { "{'version':'0000000d','upsert':{'routes':[{'name':'r','host':'h','path_prefix':'/a/',"
      "'route_type':'never','timeout_ms':1,'service':'s'}]}}",
      "unreadable: routes[0]: route_type: must be \"safe\" or \"unsafe\"" },
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
  ASSERT_EQ (send_change (SAMPLE_CONFIG, "0", true, "a"), "accepted");
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
constexpr int64_t WALL_MS = 1000000000000;

// Parses BODY as a heartbeat of the instance ID, received at 1000 us.
bool
read_heartbeat (const std::string &body, registry_target_t *target, const char *id = "i-1")
{
  std::string text = to_json (body);
  return platform_read_heartbeat (id, text.data (), text.size (), 1000, WALL_MS, target) == nullptr;
}

// Returns whether BODY is a valid deregistration of the instance ID.
bool
read_deregistration (const std::string &body, int64_t *started_at_ms, const char *id = "i-1")
{
  std::string text = to_json (body);
  return platform_read_deregistration (id, text.data (), text.size (), WALL_MS, started_at_ms)
         == nullptr;
}

std::string
repeat (const std::string &text, size_t count)
{
  std::string out;
  for (size_t i = 0; i < count; i++)
    out += text;
  return out;
}

// A valid heartbeat in which the value of the member KEY is replaced by VALUE.
std::string
heartbeat_with (const std::string &key, const std::string &value)
{
  std::string body = "{'address':'10.0.0.1:80','born':77,'info':{'service':'s','version':'v',"
                     "'zone':'z','slots':4},'status':{'state':'ready','sequence':4,"
                     "'warmup_left_ms':250}}";
  size_t start = body.find ("'" + key + "':") + key.size () + 3;
  size_t end = body.find_first_of (",}", body[start] == '{' ? body.find ('}', start) : start);
  return body.substr (0, start) + value + body.substr (end + (body[start] == '{'));
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

// Guards against a process that ends, or memory without bounds, because of one odd entry of another
// writer: values nested very deeply, numbers out of range, ports that are none, long texts, names
// with NUL or line breaks, and keys that stand twice.
TEST (PlatformHeartbeat, OddEntriesAreRejected)
{
  registry_target_t target;
  const std::string digits (400, '9');
  const std::string deep = repeat ("[", 10000) + repeat ("]", 10000);
  ASSERT_TRUE (read_heartbeat (heartbeat_with ("slots", "4"), &target));
  for (const char *key : { "slots", "sequence", "born" })
    {
      for (const std::string &value :
           { digits, "-" + digits, std::string ("1e999"), std::string ("-1e999"),
             std::string ("NaN"), std::string ("9007199254740994"), deep })
        EXPECT_FALSE (read_heartbeat (heartbeat_with (key, value), &target)) << key << value;
    }
  for (const char *value : { "NaN", "'250'", "[250]" })
    EXPECT_FALSE (read_heartbeat (heartbeat_with ("warmup_left_ms", value), &target)) << value;
  for (const char *port : { "0", "65536", "-1", "+80", "080000", "", "8o", "99999999999999999999" })
    EXPECT_FALSE (read_heartbeat (
        heartbeat_with ("address", "'10.0.0.1:" + std::string (port) + "'"), &target))
        << port;
  for (const char *key : { "address", "service", "version", "zone", "state" })
    {
      for (const std::string &text :
           { std::string ("s\\u0000t"), std::string ("s\0t", 3), std::string ("s\\nt"),
             std::string ("s\nt"), std::string ("s\\r\\nX: y"), std::string ("\xff\xfe"),
             std::string (4 << 20, 'x'), std::string () })
        EXPECT_FALSE (read_heartbeat (heartbeat_with (key, "'" + text + "'"), &target))
            << key << text.substr (0, 20);
    }
  for (const char *key : { "info", "status" })
    {
      for (const std::string &value : { deep, std::string ("null"), std::string ("7"),
                                        std::string ("[]"), std::string ("{}") })
        EXPECT_FALSE (read_heartbeat (heartbeat_with (key, value), &target)) << key;
    }
  EXPECT_FALSE (read_heartbeat (deep, &target));
  EXPECT_FALSE (read_heartbeat ("{'extra':" + deep + "," + heartbeat_with ("slots", "4").substr (1),
                                &target));
  EXPECT_FALSE (read_heartbeat ("{'born':1," + heartbeat_with ("slots", "4").substr (1), &target));
  EXPECT_FALSE (read_heartbeat ("[" + repeat ("0,", 4 << 20) + "0]", &target));
  for (const std::string &id :
       { std::string (), std::string ("i 1"), std::string ("i\r\nX: y"), std::string ("i\x7f"),
         std::string ("\xc3\xa9"), std::string (REGISTRY_ID_SIZE, 'i') })
    EXPECT_FALSE (read_heartbeat (heartbeat_with ("slots", "4"), &target, id.c_str ())) << id;
  EXPECT_TRUE (read_heartbeat (heartbeat_with ("born", std::to_string (WALL_MS + 5000)), &target));
}

// Guards against a call of another writer that ends a sound target, or all later incarnations of
// one.
TEST (PlatformHeartbeat, OddDeregistrationsAreRejected)
{
  int64_t started_at_ms = 0;
  EXPECT_TRUE (read_deregistration ("", &started_at_ms));
  EXPECT_TRUE (read_deregistration ("{}", &started_at_ms));
  EXPECT_TRUE (read_deregistration ("{'born':77}", &started_at_ms));
  EXPECT_EQ (started_at_ms, 77);
  for (const std::string &body :
       { std::string ("{"), std::string ("x"), std::string ("7"), std::string ("[]"),
         std::string ("{'born':'1'}"), std::string ("{'born':-1}"), std::string ("{'born':1e999}"),
         std::string ("{'born':9007199254740000}"), std::string ("{'born':1,'born':2}"),
         repeat ("{'a':", 10000) + "1" + repeat ("}", 10000), std::string (4 << 20, ' ') + "{}" })
    EXPECT_FALSE (read_deregistration (body, &started_at_ms)) << body.substr (0, 40);
  EXPECT_FALSE (read_deregistration ("", &started_at_ms, "i\nj"));
}

// Guards against input that makes a parser read out of bounds or never end: valid bodies with
// random changes. The sanitizers see what the results don't show.
TEST (PlatformInput, SurvivesMutations)
{
  const std::string bodies[] = { to_json (heartbeat_with ("slots", "4")), to_json (SAMPLE_CONFIG),
                                 to_json ("{'version':'0000000d','upsert':{'routes':[{'name':'r-a',"
                                          "'host':'h','path_prefix':'/x/','route_type':'safe',"
                                          "'timeout_ms':5,'service':'s'}]},'drop':{'routes':"
                                          "['r-b']}}") };
  const std::string pieces[]
      = { "\"", "{", "}", "[", "]", ":", ",", "\\u0000", "1e999", "-", "null" };
  rng_t rng;
  rng_init (&rng, 7);
  for (int i = 0; i < 20000; i++)
    {
      std::string text = bodies[i % G_N_ELEMENTS (bodies)];
      for (uint64_t n = rng_uniform_int (&rng, 6); n > 0 && !text.empty (); n--)
        {
          size_t position = rng_uniform_int (&rng, text.size ());
          switch (rng_uniform_int (&rng, 4))
            {
            case 0:
              text[position] = (char)rng_uniform_int (&rng, 256);
              break;
            case 1:
              text.erase (position, rng_uniform_int (&rng, 20));
              break;
            case 2:
              text.insert (position, pieces[rng_uniform_int (&rng, G_N_ELEMENTS (pieces))]);
              break;
            default:
              text.insert (position, text.substr (rng_uniform_int (&rng, text.size ()), 30));
            }
        }
      registry_target_t target;
      int64_t started_at_ms = 0;
      platform_change_t change;
      anv_error_t err = {};
      platform_read_heartbeat ("i-1", text.data (), text.size (), 1000, WALL_MS, &target);
      platform_read_deregistration ("i-1", text.data (), text.size (), WALL_MS, &started_at_ms);
      if (platform_read_config (text.data (), text.size (), "0000000c", &change, &err))
        platform_change_clear (&change);
      if (platform_read_patch (text.data (), text.size (), "0000000c", &change, &err))
        platform_change_clear (&change);
    }
}

// Guards against documents that programs of earlier versions refuse, and against a prefix that has
// another meaning in the short form.
TEST_F (PlatformConfig, PrefixesHaveAShortAndAFullForm)
{
  const char *added = "{'version':'0000000d','upsert':{'routes':[{'name':'r','host':'h.example',"
                      "'path_prefix':'%s','route_type':'safe','timeout_ms':1,'service':'s'}]}}";
  EXPECT_EQ (prefix_form (), PLATFORM_PREFIXES_ROOT);
  ASSERT_EQ (send_change (SAMPLE_CONFIG, "0", true, "a", true), "accepted");
  EXPECT_EQ (prefix_form (), PLATFORM_PREFIXES_SHORT);
  cJSON *got = read_config ();
  EXPECT_STREQ (json_get_string (find_by_name (cJSON_GetObjectItem (got, "routes"), "r-b"),
                                 "path_prefix", ""),
                "/b/c/");
  cJSON_Delete (got);
  for (const char *prefix : { "//", "/b//" })
    {
      g_autofree char *body = g_strdup_printf (added, prefix);
      EXPECT_EQ (send_change (body, "0000000c", false, "x", true),
                 "invalid: $.routes.r.prefix: must not have an empty segment");
    }
  g_autofree char *body = g_strdup_printf (added, "/d/");
  ASSERT_EQ (send_change (body, "0000000c", false, "b"), "accepted");
  EXPECT_EQ (prefix_form (), PLATFORM_PREFIXES_FULL);
}

// Guards against an id of a change that differs after its form was changed and changed back, which
// would make the same change another one.
TEST_F (PlatformConfig, PrefixFormCanBeChangedBack)
{
  platform_change_t change;
  anv_error_t err = {};
  std::string text = to_json (SAMPLE_CONFIG);
  ASSERT_TRUE (platform_read_config (text.data (), text.size (), "0", &change, &err)) << err.text;
  std::string full = change.document;
  EXPECT_FALSE (platform_set_prefix_form (&change, false));
  EXPECT_TRUE (platform_set_prefix_form (&change, true));
  EXPECT_NE (full, change.document);
  EXPECT_TRUE (platform_set_prefix_form (&change, false));
  EXPECT_EQ (full, change.document);
  platform_change_clear (&change);
}
