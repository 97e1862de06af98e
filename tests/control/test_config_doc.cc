#include <gtest/gtest.h>

#include <algorithm>
#include <string>

extern "C"
{
#include "config_doc.h"
#include "json_util.h"
#include "rng.h"
#include "team_keys.h"
}

namespace
{
// Returns TEXT with double quotes in place of single quotes, which keep test documents readable.
std::string
double_quoted (std::string text)
{
  std::replace (text.begin (), text.end (), '\'', '"');
  return text;
}

// Returns the error of parsing the document, or an empty string if it is valid.
std::string
parse_error (const std::string &single_quoted)
{
  std::string text = double_quoted (single_quoted);
  anv_error_t err = {};
  config_doc_t *doc = config_doc_parse (text.data (), text.size (), CONFIG_SCHEMA, &err);
  EXPECT_EQ (doc == nullptr, anv_error_is_set (&err));
  config_doc_unref (doc);
  return err.text;
}

// Returns a document with service "s", which has MEMBERS in addition to its host.
std::string
service_document (const std::string &members)
{
  return "{'services':{'s':{'hosts':['h']" + members + "}}}";
}

// Returns a route to service "s" that has MEMBERS in addition.
std::string
route_object (const std::string &members)
{
  return "{'service':'s','class':'urgent','idempotent':true" + members + "}";
}

// Returns a document with service "s" and ROUTES, an array or an object.
std::string
routes_document (const std::string &routes)
{
  return "{'services':{'s':{'hosts':['h']}},'routes':" + routes + "}";
}
// Returns the digest of a key, as a document has it.
std::string
digest_of (const std::string &key)
{
  char hex[TEAM_KEY_HEX_SIZE + 1];
  team_key_digest_t digest = team_key_compute_digest (key.data (), key.size ());
  team_key_format_digest (&digest, hex);
  return hex;
}
const std::string DIGEST = digest_of ("key");
// Keys of random documents: enough that most documents have none twice.
const int KEY_COUNT = 40;
const std::string methods_and_prefix = ",'methods':['GET'],'prefix':'/a'";
}

// Guards against settings that are ignored or read with another value than the document states.
TEST (ConfigDoc, EverySettingIsRead)
{
  const std::string text = double_quoted (
      "{ 'services': { 'crew': { 'hosts': ['Crew.example'], 'min_healthy_slots': 20, "
      "'sensitivity': 0.8, 'retry_share': 0.2, 'entries_per_domain': 2, 'stall_ms': 900, "
      "'slow_start_ms': 7000, 'max_queue': 50, 'wrong_answer': { 'statuses': [500, 502], "
      "'require_header': 'X-Sheet-Id' } } }, 'routes': { 'book': { 'service': 'crew', 'methods': "
      "['POST', 'PUT'], 'prefix': '/p', 'class': 'urgent', 'idempotent': false, 'timeout_ms': "
      "5000, 'max_body_bytes': 65536 } }, 'teams': { 'gang-12': { 'rate': 5, 'burst': 10 }, "
      "'gang-2': { 'rate': 0.5, 'burst': 3 } }, 'team_default': { 'rate': 7, 'burst': 8 } }");
  anv_error_t err = {};
  config_doc_t *doc = config_doc_parse (text.data (), text.size (), CONFIG_SCHEMA, &err);
  ASSERT_NE (doc, nullptr) << err.text;
  const config_service_t *service = config_doc_find_service (doc, "crew");
  ASSERT_NE (service, nullptr);
  EXPECT_STREQ (service->hosts[0], "crew.example");
  EXPECT_EQ (service->min_healthy_slots, 20u);
  EXPECT_EQ (service->sensitivity, 0.8);
  EXPECT_EQ (service->retry_share, 0.2);
  EXPECT_EQ (service->entries_per_domain, 2u);
  EXPECT_EQ (service->stall_ms, 900u);
  EXPECT_EQ (service->slow_start_ms, 7000u);
  EXPECT_EQ (service->max_queue, 50u);
  ASSERT_EQ (service->wrong_status_count, 2u);
  EXPECT_EQ (service->wrong_statuses[1], 502);
  EXPECT_STREQ (service->wrong_required_header, "X-Sheet-Id");
  const config_route_t *book = config_doc_find_route (doc, "book");
  ASSERT_NE (book, nullptr);
  EXPECT_EQ (book->methods, CONFIG_METHOD_POST | CONFIG_METHOD_PUT);
  EXPECT_STREQ (book->prefix, "/p");
  EXPECT_EQ (book->request_class, CONFIG_CLASS_URGENT);
  EXPECT_FALSE (book->idempotent);
  EXPECT_EQ (book->timeout_ms, 5000u);
  EXPECT_EQ (book->max_body_bytes, 65536u);
  EXPECT_EQ (config_doc_find_team_limit (doc, "gang-12")->burst, 10);
  EXPECT_EQ (config_doc_find_team_limit (doc, "gang-2")->rate, 0.5);
  for (const char *other : { "gang", "gang-1", "gang-123", "", "gang-12\":{\"burst" })
    EXPECT_EQ (config_doc_find_team_limit (doc, other)->rate, 7) << other;
  EXPECT_EQ (config_doc_find_team_limit (doc, nullptr)->burst, 8);
  config_doc_unref (doc);
}

// Guards against defaults that change the meaning of documents that leave a setting out.
TEST (ConfigDoc, DefaultsOfSchema1)
{
  std::string text = double_quoted (
      routes_document ("[" + route_object (methods_and_prefix + ",'id':'a'") + "]"));
  config_doc_t *doc = config_doc_parse (text.data (), text.size (), 1, nullptr);
  ASSERT_NE (doc, nullptr);
  const config_service_t *default_service = config_doc_service (doc, 0);
  EXPECT_EQ (default_service->min_healthy_slots, 1u);
  EXPECT_EQ (default_service->sensitivity, 0.5);
  EXPECT_EQ (default_service->retry_share, 0.1);
  EXPECT_EQ (default_service->entries_per_domain, 1u);
  EXPECT_EQ (default_service->stall_ms, 1000u);
  EXPECT_EQ (default_service->slow_start_ms, 10000u);
  EXPECT_EQ (default_service->max_queue, 1000u);
  EXPECT_EQ (config_doc_route (doc, 0)->timeout_ms, 10000u);
  EXPECT_EQ (config_doc_route (doc, 0)->max_body_bytes, 1048576u);
  EXPECT_EQ (config_doc_team_default (doc)->rate, 50);
  EXPECT_EQ (config_doc_team_default (doc)->burst, 100);
  config_doc_unref (doc);
  EXPECT_EQ (config_doc_parse ("{}", 2, CONFIG_SCHEMA + 1, nullptr), nullptr);
}

// Guards against accepting a document that breaks a rule, or an error without path and rule.
TEST (ConfigDoc, ErrorNamesPathAndRule)
{
  const std::string route_a = route_object (methods_and_prefix + ",'id':'a'");
  const std::pair<std::string, const char *> cases[] = {
    { "[]", "$: must be an object" },
    { "{\"services\":{}", "$: not valid JSON" },
    { "{\"teams\":{},\"teams\":{}}", "$: duplicate key in an object" },
    { std::string (40, '[') + std::string (40, ']'), "$: nested too deeply" },
    { "{'route':[]}", "$: unknown key \"route\"" },
    { "{'services':[]}", "$.services: must be an object" },
    { "{'services':{'s':{}}}", "$.services.s.hosts: is required" },
    { "{'services':{'s':7}}", "$.services.s: must be an object" },
    { "{'services':{'a b':{'hosts':['h']}}}",
      "$.services: key \"a b\" must have 1 to 128 letters, digits or characters of ._-:@" },
    { "{'services':{'s':{'hosts':['h']},'t':{'hosts':['g','H']}}}",
      "$.services.t.hosts: host \"h\" is listed twice" },
    { "{'services':{'s':{'hosts':['h:80']}}}",
      "$.services.s.hosts: element 0 must be a host name without port" },
    { service_document (",'sensitivity':1.5"), "$.services.s.sensitivity: must be from 0 to 1" },
    { service_document (",'sensitivity':-0"), "$.services.s.sensitivity: must be from 0 to 1" },
    { service_document (",'sensitivity':1e999"), "$.services.s.sensitivity: must be a number" },
    { service_document (",'stall_ms':'1'"), "$.services.s.stall_ms: must be a number" },
    { service_document (",'max_queue':1.5"), "$.services.s.max_queue: must be an integer" },
    { service_document (",'floor':1"), "$.services.s.floor: unknown key" },
    { service_document (",'wrong_answer':{'statuses':[99]}"),
      "$.services.s.wrong_answer.statuses: element 0 must be from 100 to 599" },
    { service_document (",'wrong_answer':{'header':'X'}"),
      "$.services.s.wrong_answer.header: unknown key" },
    { routes_document ("7"), "$.routes: must be an array or an object" },
    { routes_document ("[" + route_object (methods_and_prefix) + "]"),
      "$.routes[0].id: is required" },
    { routes_document ("[" + route_a + "," + route_a + "]"), "$.routes: id \"a\" is used twice" },
    { routes_document ("{'b':" + route_a + "}"),
      "$.routes.b.id: must be equal to the key of the route" },
    { routes_document ("[" + route_a + "," + route_object (methods_and_prefix + ",'id':'b'") + "]"),
      "$.routes: \"b\" has the service, prefix and a method of another route" },
    { routes_document ("[" + route_a + ","
                       + route_object (",'id':'b','methods':['PUT'],'prefix':'/A'") + "]"),
      "$.routes: prefixes of \"a\" and \"b\" differ only in case" },
    { routes_document ("[{'id':'a','service':'x','methods':['GET'],'prefix':'/"
                       "','class':'urgent','idempotent':true}]"),
      "$.routes[0].service: names no service" },
    { routes_document (
          "[{'id':'a','service':'s','methods':['GET'],'prefix':'/','class':'urgent'}]"),
      "$.routes[0].idempotent: is required" },
    { routes_document ("[{'id':'a','service':'s','methods':['GET'],'prefix':'/"
                       "','class':'fast','idempotent':true}]"),
      "$.routes[0].class: must be \"urgent\" or \"background\"" },
    { routes_document ("{\"a\":" + route_object (",'methods':['TRACE'],'prefix':'/'") + "}"),
      "$.routes.a.methods: must be of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS" },
    { routes_document ("{\"a\":" + route_object (",'methods':['GET'],'prefix':'/x//'") + "}"),
      "$.routes.a.prefix: must not have an empty segment" },
    { routes_document ("{\"a\":" + route_object (",'methods':['GET'],'prefix':'//'") + "}"),
      "$.routes.a.prefix: must not have an empty segment" },
    { routes_document ("{\"a\":" + route_object (",'methods':['GET'],'prefix':'/%41'") + "}"),
      "$.routes.a.prefix: has a character other than letters, digits, '/' and -._~!$&'()*+,=:@" },
    { routes_document ("{\"a\":" + route_object (",'methods':['GET'],'prefix':'/x/../y'") + "}"),
      "$.routes.a.prefix: has a segment that ends in a dot" },
    { "{'teams':{'t':{'rate':0,'burst':1}}}", "$.teams.t.rate: must be from 0.001 to 1000000" },
    { "{'teams':{'t':{'rate':1}}}", "$.teams.t.burst: is required" },
    { "{'team_default':{'rate':1,'burst':1,'x':1}}", "$.team_default.x: unknown key" },
    { "{\"teams\":{\"\xff\":{}}}", "$: not valid UTF-8 text" },
    { "{'teams':{'t':5}}", "$.teams.t: must be an object" },
    { "{'teams':{'t':{'burst':1}}}", "$.teams.t.rate: is required" },
    { "{'teams':{'t':{'priority':1001}}}", "$.teams.t.priority: must be from 0 to 1000" },
    { "{'teams':{'t':{'annotations':5}}}", "$.teams.t.annotations: must be text" },
    { "{'teams':{'t':{'keys':{}}}}", "$.teams.t.keys: must be a list" },
    { "{'teams':{'t':{'keys':['0123456789ABCDEF0123456789ABCDEF']}}}",
      "$.teams.t.keys: must be digests of 32 lower-case digits" },
    { "{'teams':{'t':{'keys':['00']}}}",
      "$.teams.t.keys: must be digests of 32 lower-case digits" },
    { "{'teams':{'t':{'keys':['" + DIGEST + "','" + DIGEST + "']}}}",
      "$.teams.t.keys: has a key twice" },
    { "{'teams':{'a':{'keys':['" + DIGEST + "']},'t':{'keys':['" + DIGEST + "']}}}",
      "$.teams.t.keys: has a key of team \"a\"" },
    { "{'team_default':{}}", "$.team_default.rate: is required" },
    { "{'team_default':{'rate':1,'burst':1,'keys':[]}}", "$.team_default.keys: unknown key" },
    { "{'team_keys_required':1}", "$.team_keys_required: must be true or false" },
  };
  for (const auto &[text, expected] : cases)
    EXPECT_EQ (parse_error (text), expected) << text;
  EXPECT_EQ (parse_error (routes_document ("[" + route_a + "]")), "");
}

// Guards against a key that finds no team or a wrong one, and against settings that change when the
// document has no limit or priority for a team.
TEST (ConfigDoc, KeysFindTheirTeam)
{
  const std::string text = double_quoted (
      "{'team_keys_required':true,'teams':{'a':{'keys':['" + digest_of ("k1") + "','"
      + digest_of ("k2") + "'],'priority':0,'rate':5,'burst':1},'b':{'keys':['" + digest_of ("k3")
      + "'],'annotations':'x'},'c':{'rate':5,'burst':1}}}");
  anv_error_t err = {};
  config_team_info_t team;
  config_doc_t *doc = config_doc_parse (text.data (), text.size (), CONFIG_SCHEMA, &err);
  ASSERT_NE (doc, nullptr) << err.text;
  EXPECT_TRUE (config_doc_requires_team_key (doc));
  for (const char *key : { "k1", "k2" })
    {
      ASSERT_TRUE (config_doc_find_team_by_key (doc, key, 2, &team));
      EXPECT_STREQ (team.name, "a");
      EXPECT_EQ (team.priority, 0u);
      EXPECT_EQ (team.limit.rate, 5);
    }
  ASSERT_TRUE (config_doc_find_team_by_key (doc, "k3 and more", 2, &team));
  EXPECT_STREQ (team.name, "b");
  EXPECT_EQ (team.priority, CONFIG_NO_PRIORITY);
  EXPECT_EQ (team.limit.rate, 0);
  for (const char *key : { "k4", "k", "", "K1" })
    EXPECT_FALSE (config_doc_find_team_by_key (doc, key, strlen (key), &team)) << key;
  EXPECT_EQ (config_doc_find_team_limit (doc, "b")->rate, 0);
  EXPECT_EQ (config_doc_find_team_limit (doc, "c")->rate, 5);
  config_doc_unref (doc);
  doc = config_doc_parse ("{}", 2, CONFIG_SCHEMA, nullptr);
  EXPECT_FALSE (config_doc_requires_team_key (doc));
  EXPECT_FALSE (config_doc_find_team_by_key (doc, "k1", 2, &team));
  config_doc_unref (doc);
}

// Guards against accepting text from a peer that is damaged or not canonical, or reading outside
// the text. A valid text is truncated at every length and changed at every byte.
TEST (ConfigDoc, DamagedOrNonCanonicalTextIsRefused)
{
  const std::string text
      = double_quoted ("{'routes':{'a':{'class':'urgent','idempotent':true,'methods':['GET'],"
                       "'prefix':'/a','service':'s'}},'services':{'s':{'hosts':['h']}},"
                       "'teams':{'t':{'burst':1,'rate':1},'u':{'burst':1,'rate':1}}}");
  auto accepts = [] (const std::string &single_quoted) {
    std::string candidate = double_quoted (single_quoted);
    g_autoptr (GBytes) bytes = g_bytes_new (candidate.data (), candidate.size ());
    config_doc_t *doc = config_doc_new (bytes, CONFIG_SCHEMA, nullptr);
    config_doc_unref (doc);
    return doc != nullptr;
  };
  EXPECT_TRUE (accepts (text));
  for (size_t i = 0; i < text.size (); i++)
    {
      EXPECT_FALSE (accepts (text.substr (0, i)));
      for (char c : { '"', '\\', '{', ']', '\xff' })
        {
          std::string changed = text;
          changed[i] = c;
          EXPECT_TRUE (changed == text || !accepts (changed)) << changed;
        }
    }
  EXPECT_FALSE (accepts ("{ 'teams':{}}"));
  EXPECT_FALSE (accepts ("{'teams':{},'services':{}}"));
  EXPECT_FALSE (accepts ("{'teams':{'u':{'burst':1,'rate':1},'t':{'burst':1,'rate':1}}}"));
  EXPECT_FALSE (accepts ("{'teams':{'t':{'burst':1,'rate':1},'t':{'burst':1,'rate':1}}}"));
}

namespace
{
// Returns a random document, which may break a rule. Routes are an object if KEYED_ROUTES is true,
// otherwise an array.
std::string
random_document (rng_t *rng, bool keyed_routes)
{
  std::string services, routes, teams;
  for (int i = 0; i < 4; i++)
    {
      std::string number = std::to_string (i);
      if (i == 3 || rng_uniform_int (rng, 3) > 0)
        services += "'s" + number + "':{'hosts':['h" + number + "']},";
      if (rng_uniform_int (rng, 3) > 0)
        teams += "'t" + number + "':{'rate':" + std::to_string (1 + rng_uniform_int (rng, 2))
                 + ",'burst':4,'keys':['"
                 + digest_of (std::to_string (rng_uniform_int (rng, KEY_COUNT))) + "']},";
    }
  for (int i = 0; i < 6; i++)
    {
      std::string number = std::to_string (i);
      if (rng_uniform_int (rng, 3) == 0)
        continue;
      routes += (keyed_routes ? "'r" + number + "':{" : "{'id':'r" + number + "',") + "'service':'s"
                + std::to_string (rng_uniform_int (rng, 5) == 0 ? 2 : 3)
                + "','class':'urgent','idempotent':true,'methods':['GET'],'prefix':'/"
                + std::to_string (rng_uniform_int (rng, 12)) + "'},";
    }
  for (std::string *part : { &services, &routes, &teams })
    if (!part->empty ())
      part->pop_back ();
  return double_quoted ("{'services':{" + services + "},'routes':" + (keyed_routes ? "{" : "[")
                        + routes + (keyed_routes ? "}" : "]") + ",'teams':{" + teams + "}}");
}

// Returns services, routes and team limits of DOC as text.
std::string
dump_settings (const config_doc_t *doc)
{
  std::string text;
  for (size_t i = 0; i < config_doc_service_count (doc); i++)
    text += std::string (config_doc_service (doc, i)->name) + " "
            + config_doc_service (doc, i)->hosts[0] + "\n";
  for (size_t i = 0; i < config_doc_route_count (doc); i++)
    {
      const config_route_t *r = config_doc_route (doc, i);
      text += std::string (r->id) + " " + r->prefix + " " + std::to_string (r->service)
              + std::to_string (r->timeout_ms) + std::to_string (r->methods) + "\n";
    }
  for (size_t i = 0; i < config_doc_team_count (doc); i++)
    {
      const char *name = nullptr;
      size_t size = 0;
      const config_limit_t *limit = config_doc_team_limit_at (doc, i, &name, &size);
      text += std::string (name, size) + " " + std::to_string (limit->rate) + "\n";
    }
  for (int i = 0; i < KEY_COUNT; i++)
    {
      std::string key = std::to_string (i);
      config_team_info_t team;
      if (config_doc_find_team_by_key (doc, key.data (), key.size (), &team))
        text += key + " of " + team.name + std::to_string (team.limit.rate) + "\n";
    }
  return text;
}
}

// Guards against a result that depends on the previous document: parts that are copied from it must
// match the new text, and every rule must still be checked. Seed 3, 4,000 documents; the previous
// document is the last valid one.
TEST (ConfigDoc, PreviousDocumentMakesNoDifference)
{
  rng_t rng;
  rng_init (&rng, 3);
  config_doc_t *previous = nullptr;
  size_t valid_count = 0;
  for (int i = 0; i < 4000; i++)
    {
      std::string text = random_document (&rng, i / 1000 % 2 == 0);
      anv_error_t independent_err = {};
      anv_error_t err = {};
      config_doc_t *independent
          = config_doc_parse (text.data (), text.size (), CONFIG_SCHEMA, &independent_err);
      cJSON *root = json_parse (text.data (), text.size (), nullptr);
      char *canonical = json_print_canonical (root);
      cJSON_Delete (root);
      GBytes *bytes = g_bytes_new_take (canonical, strlen (canonical));
      config_doc_t *next = config_doc_new_after (previous, bytes, CONFIG_SCHEMA, &err);
      g_bytes_unref (bytes);
      ASSERT_STREQ (err.text, independent_err.text) << text;
      if (independent != nullptr)
        {
          valid_count++;
          ASSERT_EQ (dump_settings (next), dump_settings (independent)) << text;
          config_doc_unref (previous);
          previous = next;
        }
      config_doc_unref (independent);
    }
  config_doc_unref (previous);
  EXPECT_GT (valid_count, 500u);
  EXPECT_LT (valid_count, 3500u);
}
