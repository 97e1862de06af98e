#include "config_fixture.h"

extern "C"
{
#include "config_redact.h"
}

using PlatformTeams = PlatformConfig;

// Guards against teams that are read back other than they were sent, and limits or priorities that
// differ from what was sent: no limit for a rate of 0, a bucket of at least 1.
TEST_F (PlatformTeams, TeamsAreReadBackAsTheyWereSent)
{
  ASSERT_EQ (send_change (SAMPLE_TEAMS, "0", true, "a"), "accepted");
  cJSON *sent = cJSON_Parse (to_json (SAMPLE_TEAMS).c_str ());
  cJSON *got = read_config ();
  EXPECT_TRUE (cJSON_Compare (sent, got, true));
  cJSON_Delete (sent);
  cJSON_Delete (got);
  const config_doc_t *doc = version_store_doc (store);
  config_team_info_t team;
  EXPECT_TRUE (config_doc_requires_team_key (doc));
  EXPECT_TRUE (config_doc_route (doc, 0)->is_public);
  ASSERT_TRUE (config_doc_find_team_by_key (doc, "alpha-2", 7, &team));
  EXPECT_STREQ (team.name, "alpha");
  EXPECT_EQ (team.priority, 1u);
  EXPECT_EQ (team.limit.rate, 437);
  ASSERT_TRUE (config_doc_find_team_by_key (doc, "~!", 2, &team));
  EXPECT_EQ (team.priority, CONFIG_NO_PRIORITY);
  EXPECT_EQ (team.limit.burst, 1);
  EXPECT_EQ (config_doc_find_team_limit (doc, "beta")->rate, 0);
  EXPECT_EQ (config_doc_find_team_limit (doc, "delta")->rate, 0.001);
}

// Guards against a list that is lost or invented: without teams there is none, and an empty one
// needs no keys. A list that an earlier version stored as text is read back once.
TEST_F (PlatformTeams, EmptyAndEarlierTeamsAreReadBackOnce)
{
  ASSERT_EQ (send_change ("{'version':'00000001','routes':[],'services':[]}", "0", true, "a"),
             "accepted");
  cJSON *got = read_config ();
  EXPECT_FALSE (cJSON_HasObjectItem (got, "tenants"));
  cJSON_Delete (got);
  ASSERT_EQ (send_change ("{'version':'00000002','routes':[],'services':[],'tenants':[]}",
                          "00000001", true, "b"),
             "accepted");
  got = read_config ();
  EXPECT_EQ (cJSON_GetArraySize (cJSON_GetObjectItem (got, "tenants")), 0);
  EXPECT_TRUE (cJSON_HasObjectItem (got, "tenants"));
  cJSON_Delete (got);
  EXPECT_FALSE (config_doc_requires_team_key (version_store_doc (store)));

  const std::string earlier
      = "{\"annotations\":\"{\\\"tenants\\\":[{\\\"name\\\":\\\"old\\\"}]}\",\"routes\":{},"
        "\"services\":{}}";
  config_doc_t *doc = config_doc_parse (earlier.data (), earlier.size (), CONFIG_SCHEMA, nullptr);
  ASSERT_NE (doc, nullptr);
  char *written = platform_write_config (doc);
  EXPECT_NE (strstr (written, "\"tenants\":[{\"name\":\"old\"}]"), nullptr) << written;
  cJSON_free (written);
  config_doc_unref (doc);
  const std::string patched = earlier.substr (0, earlier.size () - 1) + ",\"teams\":{\"new\":{}}}";
  doc = config_doc_parse (patched.data (), patched.size (), CONFIG_SCHEMA, nullptr);
  ASSERT_NE (doc, nullptr);
  written = platform_write_config (doc);
  EXPECT_STREQ (written, "{\"version\":\"00000000\",\"routes\":[],\"services\":[],"
                         "\"tenants\":[{\"name\":\"new\"}]}");
  cJSON_free (written);
  config_doc_unref (doc);
}

// Guards against settings of a replaced team that stay in force, a key that cannot move, a shared
// key that only the merged document shows, and access without a key after the last team is gone.
TEST_F (PlatformTeams, PatchReplacesTeamsAsAWhole)
{
  config_team_info_t team;
  ASSERT_EQ (send_change (SAMPLE_TEAMS, "0", true, "a"), "accepted");
  EXPECT_EQ (send_change ("{'version':'0000000d','upsert':{'tenants':[{'name':'beta',"
                          "'api_keys':['alpha-2']}]}}",
                          "0000000c", false, "b"),
             "invalid: $.teams.beta.keys: has a key of team \"alpha\"");
  ASSERT_EQ (send_change ("{'version':'0000000d','upsert':{'tenants':[{'name':'beta',"
                          "'api_keys':['alpha-2']},{'name':'alpha','api_keys':['alpha-1']}],"
                          "'routes':[{'name':'r-a','host':'h.example','path_prefix':'/',"
                          "'route_type':'safe','service':'s'}]},'drop':{'tenants':['gamma']}}",
                          "0000000c", false, "c"),
             "accepted");
  const config_doc_t *doc = version_store_doc (store);
  ASSERT_TRUE (config_doc_find_team_by_key (doc, "alpha-2", 7, &team));
  EXPECT_STREQ (team.name, "beta");
  ASSERT_TRUE (config_doc_find_team_by_key (doc, "alpha-1", 7, &team));
  EXPECT_EQ (team.priority, CONFIG_NO_PRIORITY);
  EXPECT_EQ (team.limit.rate, 0);
  EXPECT_FALSE (config_doc_find_team_by_key (doc, "~!", 2, &team));
  EXPECT_FALSE (config_doc_route (doc, 0)->is_public);
  ASSERT_EQ (send_change ("{'version':'0000000e','drop':{'tenants':['alpha','beta','delta']}}",
                          "0000000d", false, "d"),
             "accepted");
  doc = version_store_doc (store);
  EXPECT_TRUE (config_doc_requires_team_key (doc));
  EXPECT_FALSE (config_doc_find_team_by_key (doc, "alpha-1", 7, &team));
  cJSON *got = read_config ();
  EXPECT_EQ (cJSON_GetArraySize (cJSON_GetObjectItem (got, "tenants")), 0);
  cJSON_Delete (got);
}

// Guards against a patch that differs from what earlier versions made of it, which would refuse it
// when it is sent again.
TEST_F (PlatformTeams, PatchWithoutPublicRoutesKeepsItsText)
{
  const std::string text = to_json ("{'version':'2','upsert':{'routes':[{'name':'r','host':'h',"
                                    "'path_prefix':'/','route_type':'safe','service':'s'}]}}");
  platform_change_t change;
  anv_error_t err = {};
  ASSERT_TRUE (platform_read_patch (text.data (), text.size (), "1", &change, &err));
  EXPECT_NE (strstr (change.document, "\"public\":null"), nullptr);
  EXPECT_EQ (strstr (change.document, "team"), nullptr);
  EXPECT_TRUE (platform_set_clears_public (&change, false));
  EXPECT_EQ (strstr (change.document, "public"), nullptr);
  EXPECT_TRUE (platform_set_clears_public (&change, true));
  EXPECT_NE (strstr (change.document, "\"public\":null"), nullptr);
  platform_change_clear (&change);
}

// Guards against invalid teams that are accepted, valid ones that are refused, and a message
// without the place or with a key in it.
TEST_F (PlatformTeams, InvalidTeamsAreRefused)
{
  const std::string start = "{'version':'00000001','routes':[],'services':[],'tenants':";
  const std::string refused[][2] = {
    { "{}", "unreadable: tenants: must be a list" },
    { "[5]", "unreadable: tenants[0]: must be an object with a name" },
    { "[{'name':'a'},{'api_keys':[]}]", "unreadable: tenants[1]: must be an object with a name" },
    { "[{'name':'a'},{'name':'a'}]", "unreadable: tenants[1]: its name is used twice" },
    { "[{'name':'a b'}]",
      "invalid: $.teams: key \"a b\" must have 1 to 128 letters, digits or characters of ._-:@" },
    { "[{'name':'a','api_keys':'secret'}]", "unreadable: tenants[0]: api_keys: must be a list" },
    { "[{'name':'a','api_keys':['secret','sec ret']}]",
      "unreadable: tenants[0]: api_keys[1]: must be a non-empty string of visible ASCII "
      "characters" },
    { "[{'name':'a','api_keys':['']}]",
      "unreadable: tenants[0]: api_keys[0]: must be a non-empty string of visible ASCII "
      "characters" },
    { "[{'name':'a','api_keys':['\xc3\xa9']}]",
      "unreadable: tenants[0]: api_keys[0]: must be a non-empty string of visible ASCII "
      "characters" },
    { "[{'name':'a','api_keys':[7]}]",
      "unreadable: tenants[0]: api_keys[0]: must be a non-empty string of visible ASCII "
      "characters" },
    { "[{'name':'a','api_keys':['secret','x','secret']}]",
      "unreadable: tenants[0]: api_keys[2]: is listed twice" },
    { "[{'name':'a','api_keys':['secret']},{'name':'b','api_keys':['x','secret']}]",
      "invalid: $.teams.b.keys: has a key of team \"a\"" },
    { "[{'name':'a','rate_per_s':-1}]",
      "unreadable: tenants[0]: rate_per_s: must not be negative" },
    { "[{'name':'a','rate_per_s':1e999}]", "unreadable: tenants[0]: rate_per_s: must be a number" },
    { "[{'name':'a','rate_per_s':'5'}]", "unreadable: tenants[0]: rate_per_s: must be a number" },
    { "[{'name':'a','rate_per_s':1,'burst':-1e999}]",
      "unreadable: tenants[0]: burst: must be a number" },
    { "[{'name':'a','priority':1.5}]", "invalid: $.teams.a.priority: must be an integer" },
    { "[{'name':'a','priority':-1}]", "invalid: $.teams.a.priority: must be from 0 to 1000" },
    { "[{'name':'a','api_keys':['secret']}", "unreadable: not valid JSON" },
  };
  for (const auto &[list, expected] : refused)
    {
      std::string error = send_change (start + list + "}", "0", true, "x");
      EXPECT_EQ (error, expected) << list;
      EXPECT_EQ (error.find ("secret"), std::string::npos) << error;
    }
  for (const char *list : { "[]", "[{'name':'a'}]",
                            "[{'name':'a','api_keys':['s','t']},{'name':'b','api_keys':['S']}]",
                            "[{'name':'a','rate_per_s':0,'burst':0,'priority':0,'api_keys':[]}]",
                            "[{'name':'a','rate_per_s':1e300,'burst':0.1,'priority':1000}]" })
    {
      TearDown ();
      store = version_store_new ();
      EXPECT_EQ (send_change (start + list + "}", "0", true, "x"), "accepted") << list;
    }
}

// Guards against a route with an invalid member that is accepted, or a valid one that is refused.
TEST_F (PlatformTeams, RoutesAreAcceptedUpToTheirBounds)
{
  const std::string refused[][2] = {
    { "'timeout_ms':0", "invalid: $.routes.r.timeout_ms: must be from 1 to 3600000" },
    { "'timeout_ms':1,'latency_goal_ms':60001",
      "invalid: $.routes.r.goal_ms: must be less than 60000 above timeout_ms" },
    { "'service':'none'", "invalid: $.routes.r.service: names no service" },
    { "'path_prefix':'a/'", "invalid: $.routes.r.prefix: must start with '/'" },
    { "'path_prefix':'a'", "unreadable: routes[0]: path_prefix: must begin and end with a slash" },
    { "'public_access':1", "invalid: $.routes.r.public: must be true or false" },
  };
  auto config = [] (std::string member) {
    for (const auto &[key, text] :
         { std::pair<std::string, std::string> ("'service'", "'service':'s'"),
           { "'path_prefix'", "'path_prefix':'/a/'" } })
      {
        if (member.find (key) == std::string::npos)
          member += "," + text;
      }
    return "{'version':'00000001','routes':[{'name':'r','host':'h','route_type':'safe'," + member
           + "}],'services':[{'name':'s'}]}";
  };
  for (const auto &[member, expected] : refused)
    EXPECT_EQ (send_change (config (member), "0", true, "x"), expected) << member;
  for (const char *member : { "'timeout_ms':1", "'timeout_ms':1,'latency_goal_ms':60000",
                              "'path_prefix':'/'", "'public_access':false" })
    {
      TearDown ();
      store = version_store_new ();
      EXPECT_EQ (send_change (config (member), "0", true, "x"), "accepted") << member;
    }
}

// Guards against keys in what entries get, and a text that does not match the digest in its seal.
TEST_F (PlatformTeams, EntriesGetNoKeys)
{
  config_redact_t redact = {};
  ASSERT_EQ (send_change (SAMPLE_CONFIG, "0", true, "a"), "accepted");
  version_seal_t seal = version_store_seal (store);
  GBytes *text = config_doc_text (version_store_doc (store));
  EXPECT_EQ (config_redact_version (&redact, text, &seal), text) << "no copy without teams";
  version_seal_t own = version_store_seal (store);
  EXPECT_TRUE (version_digest_equal (&seal.document_digest, &own.document_digest));

  std::string teams = SAMPLE_TEAMS;
  teams.replace (teams.find ("0000000c"), 8, "0000000d");
  teams.insert (teams.size () - 1, ",'note':'alpha-1'");
  ASSERT_EQ (send_change (teams, "0000000c", true, "b"), "accepted");
  seal = version_store_seal (store);
  text = config_redact_version (&redact, config_doc_text (version_store_doc (store)), &seal);
  gsize size = 0;
  const char *data = (const char *)g_bytes_get_data (text, &size);
  const std::string sent (data, size);
  EXPECT_EQ (sent.find ("alpha-"), std::string::npos) << sent;
  EXPECT_EQ (sent.find ("~!"), std::string::npos) << sent;
  version_digest_t digest = version_compute_text_digest (data, size);
  EXPECT_TRUE (version_digest_equal (&digest, &seal.document_digest));
  anv_error_t err = {};
  config_team_info_t team;
  config_doc_t *doc = config_doc_new (text, CONFIG_SCHEMA, &err);
  ASSERT_NE (doc, nullptr) << err.text;
  ASSERT_TRUE (config_doc_find_team_by_key (doc, "alpha-1", 7, &team));
  EXPECT_STREQ (team.name, "alpha");
  config_doc_unref (doc);
  seal = version_store_seal (store);
  EXPECT_EQ (config_redact_version (&redact, config_doc_text (version_store_doc (store)), &seal),
             text)
      << "computed once for each version";
  config_redact_clear (&redact);
}
