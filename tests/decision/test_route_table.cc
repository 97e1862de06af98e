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
// Replaces single quotes, which stand for double quotes in this file.
std::string
json (std::string text)
{
  std::replace (text.begin (), text.end (), '\'', '"');
  return text;
}

const char *document = "{ 'services': { 'crew': { 'hosts': ['Crew.example', '[::1]'] }, 'survey': "
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
    std::string text = json (document);
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

  std::string
  look_up (const char *method, const char *host, const std::string &target)
  {
    route_match_t match;
    route_result_t result = route_table_lookup (table, method, host, target.c_str (), &match);
    return result == ROUTE_FOUND ? match.route->id : "-" + std::to_string (result);
  }
};
}

// Guards against a request that reaches the wrong service or the route of a shorter prefix.
TEST_F (RouteTable, LongestPrefixAtBoundary)
{
  EXPECT_EQ (look_up ("GET", "crew.example", "/sheets/4?x=1"), "sheet");
  EXPECT_EQ (look_up ("GET", "CREW.example.:8080", "/sheets?/old"), "sheet");
  EXPECT_EQ (look_up ("GET", "[::1]:80", "/sheets/old/"), "old");
  EXPECT_EQ (look_up ("GET", "crew.example", "/sheets/older"), "sheet");
  EXPECT_EQ (look_up ("GET", "crew.example", "/sheetsx"), "root");
  EXPECT_EQ (look_up ("POST", "crew.example", "/possessions"), "book");
  EXPECT_EQ (look_up ("GET", "crew.example", "/possessions/9"), "list");
  EXPECT_EQ (look_up ("GET", "maps", "/sheets/old/1"), "map");
  EXPECT_EQ (look_up ("GET", "maps", "/sheets"), "-" + std::to_string (ROUTE_NO_ROUTE));
  EXPECT_EQ (look_up ("POST", "maps", "/sheets/old"), "-" + std::to_string (ROUTE_NO_METHOD));
  EXPECT_EQ (look_up ("get", "maps", "/sheets/old"), "-" + std::to_string (ROUTE_NO_METHOD));
  EXPECT_EQ (look_up ("GET", "crew.example.evil", "/"), "-" + std::to_string (ROUTE_NO_SERVICE));
  EXPECT_EQ (look_up ("GET", "", "/"), "-" + std::to_string (ROUTE_NO_SERVICE));
}

// Guards against a booking that is routed as idempotent because the path is spelt in another way
// that the backend server reads as the booking path.
TEST_F (RouteTable, OtherSpellingsOfBookingAreRefused)
{
  const char *targets[] = {
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
  for (const char *target : targets)
    EXPECT_EQ (look_up ("POST", "crew.example", target),
               "-" + std::to_string (ROUTE_AMBIGUOUS_PATH))
        << target;
}

// Guards against paths whose meaning depends on the backend server in every case.
TEST_F (RouteTable, UnsafePathsAreRefused)
{
  const std::string targets[] = {
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
  for (const std::string &target : targets)
    EXPECT_EQ (look_up ("POST", "crew.example", target), "-" + std::to_string (ROUTE_BAD_PATH))
        << target;
  EXPECT_EQ (look_up ("GET", "crew.example", "/" + std::string (ROUTE_MAX_PATH_SIZE, 'x')),
             "-" + std::to_string (ROUTE_PATH_TOO_LONG));
}

// Guards against refusing harmless requests: encoding behind the prefix does not change the route.
TEST_F (RouteTable, EncodingBehindThePrefixIsAllowed)
{
  EXPECT_EQ (look_up ("POST", "crew.example", "/possessions/a%2Fb%20c;v=1//D/."), "book");
  EXPECT_EQ (look_up ("GET", "crew.example", "/sheets/100%25?q=/../%zz"), "sheet");
  EXPECT_EQ (look_up ("GET", "crew.example", "/sheets/stra%C3%9Fe/\xc3\x84."), "sheet");
  std::string wide = "/sheets/";
  for (int i = 0; i < 1300; i++)
    wide += "\xef\xb7\xba";
  EXPECT_EQ (look_up ("GET", "crew.example", wide), "-" + std::to_string (ROUTE_PATH_TOO_LONG));
  std::string deep = "/sheets";
  for (int i = 0; i < 500; i++)
    deep += "/d";
  EXPECT_EQ (look_up ("GET", "crew.example", deep), "sheet");
}

// Guards against a partial reading that selects another route than an accepted request got: applies
// random subsets of the reading steps to random paths. Seed 7, 20,000 paths.
TEST_F (RouteTable, NoPartialReadingSelectsAnotherRoute)
{
  const char *pieces[] = { "/", "//", "sheets", "old",     "possessions",  ";a",   "Sheets", "%2f",
                           "x", ".",  "%20",    "/sheets", "/possessions", "/old", "%3bq" };
  rng_t rng;
  rng_init (&rng, 7);
  size_t accepted = 0;
  for (int i = 0; i < 20000; i++)
    {
      std::string path = "/";
      for (uint64_t n = rng_below (&rng, 6); n > 0; n--)
        path += pieces[rng_below (&rng, G_N_ELEMENTS (pieces))];
      std::string expected = look_up ("GET", "crew.example", path);
      if (expected[0] == '-')
        continue;
      accepted++;

      std::string reading = path;
      if (rng_below (&rng, 2))
        for (size_t at; (at = reading.find ("%2f")) != std::string::npos;)
          reading.replace (at, 3, "/");
      if (rng_below (&rng, 2))
        for (size_t at; (at = reading.find ("%3b")) != std::string::npos;)
          reading.replace (at, 3, ";");
      if (rng_below (&rng, 2))
        for (size_t at; (at = reading.find (';')) != std::string::npos;)
          reading.erase (at, std::min (reading.find ('/', at), reading.size ()) - at);
      if (rng_below (&rng, 2))
        for (size_t at; (at = reading.find ("//")) != std::string::npos;)
          reading.erase (at, 1);
      if (rng_below (&rng, 2))
        for (char &c : reading)
          c = g_ascii_tolower (c);

      if (rng_below (&rng, 2))
        for (size_t at; (at = reading.find ("./")) != std::string::npos;)
          reading.erase (at, 1);

      // The literal route of the reading, by definition of the longest prefix.
      const config_route_t *best = nullptr;
      for (size_t r = 0; r < config_doc_route_count (doc); r++)
        {
          const config_route_t *route = config_doc_route (doc, r);
          std::string prefix = route->prefix;
          bool matches = prefix == "/" || reading == prefix || reading.rfind (prefix + "/", 0) == 0;
          if (matches && route->service == 0 && (route->methods & CONFIG_METHOD_GET) != 0
              && (best == nullptr || prefix.size () > strlen (best->prefix)))
            best = route;
        }
      ASSERT_NE (best, nullptr);
      EXPECT_EQ (best->id, expected) << path << " read as " << reading;
    }
  EXPECT_GT (accepted, 2000u);
}
