#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

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
    table = route_table_new (doc, nullptr);
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

namespace
{
struct prefix_case_t
{
  std::vector<std::string> prefixes;
  const char *target;
  const char *expected; /* prefix of the route that is selected; "" if none is */
};

/* Holds the table of a configuration with one route, and so one service, for each prefix. */
class PrefixTable
{
public:
  explicit PrefixTable (const std::vector<std::string> &prefixes,
                        const route_table_options_t *options = nullptr)
  {
    anv_error_t err = {};
    std::string text = "{'services':{'s':{'hosts':['s']}},'routes':[";
    for (size_t i = 0; i < prefixes.size (); i++)
      text += std::string (i > 0 ? "," : "") + "{'id':'r" + std::to_string (i)
              + "','host':'h','service':'s','methods':['GET'],'class':'urgent','idempotent':true,"
                "'prefix':'"
              + prefixes[i] + "'}";
    text = with_double_quotes (text + "]}");
    config_doc_t *doc = config_doc_parse (text.data (), text.size (), CONFIG_SCHEMA, &err);
    EXPECT_NE (doc, nullptr) << err.text;
    table = route_table_new (doc, options);
    config_doc_unref (doc);
  }
  ~PrefixTable ()
  {
    route_table_free (table);
  }
  /* Returns the prefix of the selected route, or "". */
  std::string
  find (const std::string &target) const
  {
    route_match_t match;
    route_result_t result = route_table_lookup (table, "GET", "h", target.c_str (), &match);
    return result == ROUTE_FOUND ? match.route->prefix : "";
  }

private:
  route_table_t *table;
};

/* Returns the longest of PREFIXES that matches the path of TARGET as it is written, or "". */
std::string
find_naively (const std::vector<std::string> &prefixes, const std::string &target)
{
  std::string path = target.substr (0, target.find ('?'));
  std::string longest;
  for (const std::string &prefix : prefixes)
    {
      bool begins = path.compare (0, prefix.size (), prefix) == 0;
      bool at_boundary
          = prefix.back () == '/' || path.size () == prefix.size () || path[prefix.size ()] == '/';
      if (begins && at_boundary && prefix.size () > longest.size ())
        longest = prefix;
    }
  return longest;
}
}

// Guards against access that no route gives: a path that lacks the last slash of a prefix, or a
// spelling of one, selects the route of that prefix.
TEST (RoutePrefix, FinalSlashMustBeInThePath)
{
  const std::vector<std::string> nested = { "/quotes/", "/quotes/book/", "/capture/" };
  const std::vector<std::string> both = { "/a", "/a/" };
  const std::vector<std::string> root = { "/", "/a/" };
  const prefix_case_t cases[] = {
    { nested, "/quotes/book", "/quotes/" },
    { nested, "/quotes/book?x=/", "/quotes/" },
    { nested, "/quotes/book/", "/quotes/book/" },
    { nested, "/quotes/book/x", "/quotes/book/" },
    { nested, "/quotes/bookx/", "/quotes/" },
    { nested, "/quotes/book//x", "/quotes/book/" },
    { nested, "/quotes/book/.", "/quotes/book/" },
    { nested, "/capture", "" },
    { nested, "/capture?amount=1", "" },
    { nested, "/capture?/", "" },
    { nested, "/capture/?amount=1", "/capture/" },
    { nested, "/capture%2f", "" },
    { nested, "/capture%2Fx", "" },
    { nested, "/capture;/x", "" },
    { nested, "/capture;x", "" },
    { nested, "/capture\\x", "" },
    { nested, "//capture/", "" },
    { nested, "/./capture/", "" },
    { nested, "/quotes/../capture/", "" },
    { nested, "/quotes/%2e%2e/capture/", "" },
    { nested, "/", "" },
    { nested, "", "" },
    { both, "/a", "/a" },
    { both, "/a?x", "/a" },
    { both, "/a/", "/a/" },
    { both, "/a/b", "/a/" },
    { both, "/ab", "" },
    { root, "/a", "/" },
    { root, "/a/", "/a/" },
    { root, "/", "/" },
    { root, "/?x", "/" },
    { root, "", "" },
  };
  for (const prefix_case_t &c : cases)
    {
      PrefixTable table (c.prefixes);
      EXPECT_EQ (table.find (c.target), c.expected) << c.target;
    }
}

// Guards against a selection that differs from the longest prefix as it is written. Paths without
// unusual segments must be found like that; others may be refused, but must not select another
// route.
TEST (RoutePrefix, SelectsWhatANaiveMatcherSelects)
{
  const char *segments[] = { "a", "b", "ab", "B" };
  const char *unusual[] = { "", ".", "..", "%61", "a;x", "a.", "%2f" };
  rng_t rng;
  rng_init (&rng, 7);
  size_t found_count = 0;
  for (int round = 0; round < 2000; round++)
    {
      std::vector<std::string> prefixes;
      for (uint64_t i = rng_next (&rng) % 6; i > 0; i--)
        {
          std::string prefix;
          for (uint64_t depth = rng_next (&rng) % 4; depth > 0; depth--)
            prefix += std::string ("/") + segments[rng_next (&rng) % 3];
          if (prefix.empty () || rng_next (&rng) % 2 == 0)
            prefix += "/";
          if (std::find (prefixes.begin (), prefixes.end (), prefix) == prefixes.end ())
            prefixes.push_back (prefix);
        }
      PrefixTable table (prefixes);
      for (int path = 0; path < 20; path++)
        {
          std::string target;
          bool usual = true;
          for (uint64_t depth = rng_next (&rng) % 5; depth > 0; depth--)
            {
              bool is_unusual = rng_next (&rng) % 8 == 0;
              usual = usual && !is_unusual;
              target
                  += std::string ("/")
                     + (is_unusual ? unusual[rng_next (&rng) % 7] : segments[rng_next (&rng) % 3]);
            }
          if (target.empty () || rng_next (&rng) % 2 == 0)
            target += "/";
          if (rng_next (&rng) % 4 == 0)
            target += "?x=/a/";
          std::string expected = find_naively (prefixes, target);
          std::string found = table.find (target);
          if (usual || !found.empty ())
            {
              EXPECT_EQ (found, expected) << target;
            }
          found_count += !found.empty ();
        }
    }
  EXPECT_GT (found_count, 10000u);
}

/* Guards against requests on routes of stored configurations whose prefixes lack the last slash. */
TEST (RoutePrefix, AddedFinalSlashMustBeInThePath)
{
  const route_table_options_t options = { .adds_final_slash = true };
  const std::vector<std::string> short_prefixes
      = { "/quotes", "/quotes/book", "/capture", "/capture/status", "/" };
  const std::vector<std::string> full_prefixes
      = { "/quotes/", "/quotes/book/", "/capture/", "/capture/status/", "/" };
  const char *const paths[]
      = { "/quotes",      "/quotes/",          "/quotes?/",       "/quotesx/",
          "/quotes/book", "/quotes/book/x",    "/quotes/book;/x", "/capture",
          "/capture?x=1", "/capture%2f",       "/capture//x",     "/",
          "/other",       "/capture/status?x", "/Capture/x",      "/capture/." };
  for (size_t count = 3; count <= short_prefixes.size (); count++)
    {
      const std::vector<std::string> shorts (short_prefixes.begin (),
                                             short_prefixes.begin () + count);
      const std::vector<std::string> fulls (full_prefixes.begin (), full_prefixes.begin () + count);
      PrefixTable short_table (shorts, &options);
      PrefixTable full_table (fulls, &options);
      PrefixTable expected (fulls);
      for (const char *path : paths)
        {
          std::string found = short_table.find (path);
          std::string full = found == "" || found == "/" ? found : found + "/";
          EXPECT_EQ (full, expected.find (path)) << path;
          EXPECT_EQ (full_table.find (path), expected.find (path)) << path;
        }
    }
}
