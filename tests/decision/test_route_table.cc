#include <gtest/gtest.h>

#include <algorithm>
#include <string>

extern "C"
{
#include "rng.h"
#include "route_table.h"
}

namespace
{
// Replaces the single quotes of DOCUMENT by double quotes, as JSON requires.
std::string
with_double_quotes (std::string text)
{
  std::replace (text.begin (), text.end (), '\'', '"');
  return text;
}

const char *DOCUMENT = "{ 'services': { 'crew': { 'hosts': ['Crew.example', '[::1]'] }, 'survey': "
                       "{ 'hosts': ['maps'] } }, 'routes': [ "
                       "{'id':'root','service':'crew','methods':['GET','POST'],'prefix':'/"
                       "','class':'background','idempotent':true}, "
                       "{'id':'sheet','service':'crew','methods':['GET'],'prefix':'/"
                       "sheets','class':'urgent','idempotent':true}, "
                       "{'id':'book','service':'crew','methods':['POST'],'prefix':'/"
                       "possessions','class':'urgent','idempotent':false}, "
                       "{'id':'list','service':'crew','methods':['GET'],'prefix':'/"
                       "possessions','class':'urgent','idempotent':true}, "
                       "{'id':'old','service':'crew','methods':['GET'],'prefix':'/sheets/"
                       "old','class':'background','idempotent':true}, "
                       "{'id':'map','service':'survey','methods':['GET'],'prefix':'/sheets/"
                       "old','class':'background','idempotent':true} ] }";

class RouteTable : public ::testing::Test
{
protected:
  config_doc_t *doc = nullptr;
  route_table_t *table = nullptr;

  void
  SetUp () override
  {
    anv_error_t err = {};
    std::string text = with_double_quotes (DOCUMENT);
    doc = config_doc_parse (text.data (), text.size (), CONFIG_SCHEMA, &err);
    ASSERT_NE (doc, nullptr) << err.text;
    table = route_table_new (doc);
  }

  void
  TearDown () override
  {
    route_table_free (table);
    config_doc_unref (doc);
  }

  // Returns the id of the selected route, or '-' and the number of the route_result_t.
  std::string
  look_up_id (const char *method, const char *host, const std::string &request_target)
  {
    route_match_t match;
    route_result_t result
        = route_table_lookup (table, method, host, request_target.c_str (), &match);
    return result == ROUTE_FOUND ? match.route->id : "-" + std::to_string (result);
  }
};
}

// Guards against a request that reaches the wrong service or the route of a shorter prefix.
TEST_F (RouteTable, LongestPrefixAtBoundary)
{
  EXPECT_EQ (look_up_id ("GET", "crew.example", "/sheets/4?x=1"), "sheet");
  EXPECT_EQ (look_up_id ("GET", "CREW.example.:8080", "/sheets?/old"), "sheet");
  EXPECT_EQ (look_up_id ("GET", "[::1]:80", "/sheets/old/"), "old");
  EXPECT_EQ (look_up_id ("GET", "crew.example", "/sheets/older"), "sheet");
  EXPECT_EQ (look_up_id ("GET", "crew.example", "/sheetsx"), "root");
  EXPECT_EQ (look_up_id ("POST", "crew.example", "/possessions"), "book");
  EXPECT_EQ (look_up_id ("GET", "crew.example", "/possessions/9"), "list");
  EXPECT_EQ (look_up_id ("GET", "maps", "/sheets/old/1"), "map");
  EXPECT_EQ (look_up_id ("GET", "maps", "/sheets"), "-" + std::to_string (ROUTE_NO_ROUTE));
  EXPECT_EQ (look_up_id ("POST", "maps", "/sheets/old"), "-" + std::to_string (ROUTE_NO_METHOD));
  EXPECT_EQ (look_up_id ("get", "maps", "/sheets/old"), "-" + std::to_string (ROUTE_NO_METHOD));
  EXPECT_EQ (look_up_id ("GET", "crew.example.evil", "/"), "-" + std::to_string (ROUTE_NO_SERVICE));
  EXPECT_EQ (look_up_id ("GET", "", "/"), "-" + std::to_string (ROUTE_NO_SERVICE));
}

// Guards against a booking (POST /possessions, not idempotent) that is routed as idempotent because
// its path has another spelling, which the backend server interprets as /possessions.
TEST_F (RouteTable, AmbiguousSpellingsOfAPrefixAreRefused)
{
  const char *request_targets[] = {
    "/%70ossessions",
    "//possessions",
    "/./possessions",
    "/possessions;a=1",
    "/Possessions",
    "/%2570ossessions",
    "/possessions%2Fx",
    "/possessions\\x",
    "/possessions%3fx",
    "/%2fpossessions",
    "/possessions%23",
    "/%2e/possessions",
    "/;x/possessions;y//z",
    "/possessions%3Ba",
    "/\\possessions",
    "/possessions%5c1",
    "/%252e//%2570ossessions",
    "/possessions.",
    "/possessions%20",
    "/possessions%20.;x/",
    "/possession%c5%bf",
    "/%ef%bd%90ossessions",
    "/%ef%bc%8fpossessions",
    "/\xef\xbc\x85\x37\x30ossessions",
    "/possessions\xef\xbc\x9bx",
  };
  for (const char *request_target : request_targets)
    EXPECT_EQ (look_up_id ("POST", "crew.example", request_target),
               "-" + std::to_string (ROUTE_AMBIGUOUS_PATH))
        << request_target;
}

// Guards against routing a path that backend servers interpret differently whatever its route is,
// such as a malformed path or one with "..".
TEST_F (RouteTable, UnsafePathsAreRefused)
{
  const std::string request_targets[] = {
    "/a/../possessions",
    "/a/%2e%2e/possessions",
    "/a/..;x/possessions",
    "/a/%252e%252e/b",
    "/a\\..\\b",
    "/sheets/%00",
    "/sheets/%c0%af",
    "/sheets/%zz",
    "/sheets/%4",
    "/sheets#x",
    "possessions",
    "",
    "*",
    "http://crew.example/",
    "/a\nb",
    "/a/.../b",
    "/a/..%20/b",
    "/a/%e2%80%a5/b",
    "/a/. ./b",
    "/%2525252525252541",
  };
  for (const std::string &request_target : request_targets)
    EXPECT_EQ (look_up_id ("POST", "crew.example", request_target),
               "-" + std::to_string (ROUTE_BAD_PATH))
        << request_target;
  EXPECT_EQ (look_up_id ("GET", "crew.example", "/" + std::string (ROUTE_MAX_PATH_SIZE, 'x')),
             "-" + std::to_string (ROUTE_PATH_TOO_LONG));
}

// Guards against refusing safe requests: encoding after the prefix does not change the route.
TEST_F (RouteTable, EncodingAfterThePrefixIsAllowed)
{
  EXPECT_EQ (look_up_id ("POST", "crew.example", "/possessions/a%2Fb%20c;v=1//D/."), "book");
  EXPECT_EQ (look_up_id ("GET", "crew.example", "/sheets/100%25?q=/../%zz"), "sheet");
  EXPECT_EQ (look_up_id ("GET", "crew.example", "/sheets/stra%C3%9Fe/\xc3\x84."), "sheet");
  std::string expanding_path = "/sheets/";
  for (int i = 0; i < 1300; i++)
    expanding_path += "\xef\xb7\xba";
  EXPECT_EQ (look_up_id ("GET", "crew.example", expanding_path),
             "-" + std::to_string (ROUTE_PATH_TOO_LONG));
  std::string deep_path = "/sheets";
  for (int i = 0; i < 500; i++)
    deep_path += "/d";
  EXPECT_EQ (look_up_id ("GET", "crew.example", deep_path), "sheet");
}

// Guards against a backend server that applies only some steps of the normalization and thereby
// selects another route for an accepted request: applies random subsets of the steps to random
// paths. Seed 7, 20,000 paths.
TEST_F (RouteTable, PartialNormalizationSelectsTheSameRoute)
{
  const char *path_pieces[]
      = { "/", "//", "sheets", "old",     "possessions",  ";a",   "Sheets", "%2f",
          "x", ".",  "%20",    "/sheets", "/possessions", "/old", "%3bq" };
  rng_t rng;
  rng_init (&rng, 7);
  size_t accepted_count = 0;
  for (int i = 0; i < 20000; i++)
    {
      std::string path = "/";
      for (uint64_t piece_count = rng_uniform_int (&rng, 6); piece_count > 0; piece_count--)
        path += path_pieces[rng_uniform_int (&rng, G_N_ELEMENTS (path_pieces))];
      std::string expected_id = look_up_id ("GET", "crew.example", path);
      if (expected_id[0] == '-')
        continue;
      accepted_count++;

      std::string interpretation = path;
      if (rng_uniform_int (&rng, 2))
        for (size_t position; (position = interpretation.find ("%2f")) != std::string::npos;)
          interpretation.replace (position, 3, "/");
      if (rng_uniform_int (&rng, 2))
        for (size_t position; (position = interpretation.find ("%3b")) != std::string::npos;)
          interpretation.replace (position, 3, ";");
      if (rng_uniform_int (&rng, 2))
        for (size_t position; (position = interpretation.find (';')) != std::string::npos;)
          interpretation.erase (
              position,
              std::min (interpretation.find ('/', position), interpretation.size ()) - position);
      if (rng_uniform_int (&rng, 2))
        for (size_t position; (position = interpretation.find ("//")) != std::string::npos;)
          interpretation.erase (position, 1);
      if (rng_uniform_int (&rng, 2))
        for (char &c : interpretation)
          c = g_ascii_tolower (c);

      if (rng_uniform_int (&rng, 2))
        for (size_t position; (position = interpretation.find ("./")) != std::string::npos;)
          interpretation.erase (position, 1);

      // The route with the longest prefix that matches the interpretation literally.
      const config_route_t *longest_match = nullptr;
      for (size_t r = 0; r < config_doc_route_count (doc); r++)
        {
          const config_route_t *route = config_doc_route (doc, r);
          std::string prefix = route->prefix;
          bool matches = prefix == "/" || interpretation == prefix
                         || interpretation.rfind (prefix + "/", 0) == 0;
          if (matches && route->service == 0 && (route->methods & CONFIG_METHOD_GET) != 0
              && (longest_match == nullptr || prefix.size () > strlen (longest_match->prefix)))
            longest_match = route;
        }
      ASSERT_NE (longest_match, nullptr);
      EXPECT_EQ (longest_match->id, expected_id) << path << " read as " << interpretation;
    }
  EXPECT_GT (accepted_count, 2000u);
}
