#include "version_fixture.h"

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <vector>

extern "C"
{
#include "history.h"
}

namespace
{
int64_t
time_ms (const char *text)
{
  int64_t wall_ms = 0;
  EXPECT_TRUE (history_parse_time (text, &wall_ms)) << text;
  return wall_ms;
}

std::string
take (char *text)
{
  std::string copy = text != nullptr ? text : "(null)";
  g_free (text);
  return copy;
}

// Compares with a file of expected output. ANVILLB_UPDATE_EXPECTED=1 writes the file instead.
void
expect_file (const std::string &text, const std::string &name)
{
  std::string path = std::string (TEST_DATA_DIR) + "/" + name;
  if (getenv ("ANVILLB_UPDATE_EXPECTED") != nullptr)
    std::ofstream (path) << text;
  std::ifstream file (path);
  std::stringstream expected;
  expected << file.rdbuf ();
  EXPECT_EQ (text, expected.str ()) << name;
}

const char *first_patch
    = "{'services':{'crew':{'hosts':['crew.example'],'min_healthy_slots':20,'sensitivity':0.8,"
      "'wrong_answer':{'statuses':[500],'require_header':'X-Sheet-Id'}}},'routes':["
      "{'id':'sheet','service':'crew','methods':['GET'],'prefix':'/sheets','class':'urgent',"
      "'idempotent':true,'timeout_ms':2000},{'id':'book','service':'crew','methods':['POST'],"
      "'prefix':'/possessions','class':'urgent','idempotent':false,'timeout_ms':5000,"
      "'max_body_bytes':65536}],'teams':{'gang-12':{'rate':5,'burst':10}},"
      "'team_default':{'rate':50,'burst':100}}";

class History : public ::testing::Test
{
protected:
  version_store_t *store = version_store_new ();
  std::vector<version_record_t *> records;

  void
  SetUp () override
  {
    add ("2026-10-20T08:00:00Z", "anna", "first configuration", first_patch);
    add ("2026-11-03T10:00:00Z", "ben", "bookings need more time at the end of a shift",
         "{'routes':[{'id':'book','service':'crew','methods':['POST'],'prefix':'/possessions',"
         "'class':'urgent','idempotent':false,'timeout_ms':8000,'max_body_bytes':65536},"
         "{'id':'sheet','service':'crew','methods':['GET'],'prefix':'/sheets','class':'urgent',"
         "'idempotent':true,'timeout_ms':2000}]}");
    add ("2026-11-20T16:30:05Z", "J\xc3\xbcrgen", "survey app",
         "{'services':{'survey':{'hosts':['maps.example'],'sensitivity':0.5}},"
         "'teams':{'planners':{'rate':0.5,'burst':3},'gang-12':{'burst':20}}}");
    add ("2026-11-30T23:59:59Z", "ben", "one gang less", "{'teams':{'gang-12':null}}");
  }

  void
  TearDown () override
  {
    for (version_record_t *record : records)
      version_record_free (record);
    version_store_free (store);
  }

  void
  add (const char *time, const char *who, const char *reason, const std::string &patch)
  {
    uint64_t base = version_store_current_version (store);
    version_result_t result = apply (store, base, "change-" + std::to_string (base + 1), patch, who,
                                     reason, time_ms (time));
    ASSERT_EQ (result.outcome, VERSION_ACCEPTED) << result.text;
    records.push_back (version_record_copy (version_store_record (store, base + 1)));
  }

  history_t
  history () const
  {
    return { records.data (), records.size () };
  }

  std::string
  explain (uint64_t version, const char *method, const char *target, const char *team)
  {
    history_t h = history ();
    history_query_t query = { method, "crew.example", target, team };
    return take (history_explain (&h, version, &query, nullptr));
  }

  // The first bad version after CHANGE was made to the record of VERSION.
  uint64_t
  first_bad_version (uint64_t version, void (*change) (version_record_t *record))
  {
    history_t h = history ();
    version_record_t *original = records[version - 1];
    records[version - 1] = version_record_copy (original);
    change (records[version - 1]);
    history_verify_result_t verdict = history_verify (&h, 0, nullptr);
    version_record_free (records[version - 1]);
    records[version - 1] = original;
    g_free (verdict.text);
    return verdict.first_bad_version;
  }
};

void
replace (char *&text, const char *other)
{
  g_free (text);
  text = g_strdup (other);
}
}

// Guards against a report or an explanation that says something else than before about the same
// records; an auditor compares them with paper.
TEST_F (History, ExpectedOutput)
{
  history_t h = history ();
  expect_file (take (history_report (&h, 2026, 11, nullptr)), "report-2026-11.txt");
  expect_file (take (history_show (&h, 2, nullptr)), "show-2.txt");
  expect_file (take (history_diff (&h, 1, 4, nullptr)), "diff-1-4.txt");
  expect_file (take (history_list (&h, 1, 4, nullptr)), "list.txt");
  expect_file (explain (2, "POST", "/possessions/7", "gang-12")
                   + explain (3, "GET", "/sheets?x=1", nullptr)
                   + explain (4, "GET", "/sheets", "gang-12")
                   + explain (4, "POST", "//possessions", "gang-12") + explain (0, "GET", "/", "x"),
               "explain.txt");
  history_verify_result_t verdict = history_verify (&h, 4, &records[3]->digest);
  EXPECT_EQ (verdict.first_bad_version, 0u);
  expect_file (take (verdict.text), "verify.txt");
}

// Guards against a reprint that differs: later versions must not change the report of a month.
TEST_F (History, ReportIsStable)
{
  history_t h = history ();
  std::string before = take (history_report (&h, 2026, 11, nullptr));
  add ("2026-12-01T00:00:00Z", "ben", "december", "{'team_default':{'rate':1}}");
  h = history ();
  EXPECT_EQ (take (history_report (&h, 2026, 11, nullptr)), before);
  EXPECT_NE (take (history_report (&h, 2026, 12, nullptr)), before);
  EXPECT_EQ (history_report (&h, 2026, 13, nullptr), nullptr);
}

// Guards against a change that the listing hides: a digest that differs without a stated reason.
TEST_F (History, OrderAloneIsStated)
{
  add ("2026-12-01", "ben", "order", "{'services':{'survey':{'hosts':['a','b']}}}");
  add ("2026-12-01", "ben", "order", "{'services':{'survey':{'hosts':['b','a']}}}");
  add ("2026-12-01", "ben", "nothing", "{}");
  history_t h = history ();
  EXPECT_EQ (take (history_diff (&h, 5, 6, nullptr)),
             "version 5 to version 6\n"
             "  * $.services.survey.hosts = [\"a\",\"b\"] to [\"b\",\"a\"]\n");
  EXPECT_EQ (take (history_diff (&h, 6, 7, nullptr)), "version 6 to version 7\n  no change\n");
  cJSON *document = history_rebuild_document (&h, 7, nullptr);
  cJSON *routes = cJSON_GetObjectItem (document, "routes");
  cJSON_AddItemToArray (routes, cJSON_DetachItemFromArray (routes, 0));
  g_autofree char *text = json_print_canonical (document);
  cJSON_Delete (document);
  add ("2026-12-01", "ben", "order", text);
  h = history ();
  EXPECT_EQ (take (history_diff (&h, 7, 8, nullptr)),
             "version 7 to version 8\n  only the order of elements changed\n");
}

// Guards against pages that run over the paper, lack the digest, or lose lines.
TEST_F (History, PagesAreBounded)
{
  std::string patch = "{'teams':{";
  for (int i = 0; i < 300; i++)
    patch += (i > 0 ? ",'t" : "'t") + std::to_string (i) + "':{'rate':1,'burst':1}";
  add ("2026-11-30T23:59:59Z", "ben", std::string (900, 'x').c_str (), patch + "}}");
  history_t h = history ();
  std::istringstream text (take (history_report (&h, 2026, 11, nullptr)));
  std::string page;
  size_t pages = 0;
  while (std::getline (text, page, '\f'))
    {
      pages++;
      EXPECT_LE (std::count (page.begin (), page.end (), '\n'), 60);
      EXPECT_NE (page.find ("digest " + digest_text (records[4]->digest)), std::string::npos);
      std::istringstream lines (page);
      for (std::string line; std::getline (lines, line);)
        EXPECT_LE (g_utf8_strlen (line.c_str (), -1), HISTORY_WIDTH) << line;
    }
  EXPECT_GT (pages, 10u);
  std::string whole = text.str ();
  EXPECT_NE (whole.find ("page 1 of " + std::to_string (pages)), std::string::npos);
  EXPECT_NE (whole.find ("Limit of team t299"), std::string::npos);
}

// Guards against damaged history that passes, and against naming the wrong version.
TEST_F (History, VerifyNamesTheFirstBadVersion)
{
  EXPECT_EQ (first_bad_version (2, [] (version_record_t *r) { replace (r->reason, "other"); }), 2u);
  EXPECT_EQ (first_bad_version (3, [] (version_record_t *r) { replace (r->operator_name, "eve"); }),
             3u);
  EXPECT_EQ (first_bad_version (3, [] (version_record_t *r) { r->wall_ms++; }), 3u);
  EXPECT_EQ (first_bad_version (4, [] (version_record_t *r) { replace (r->patch, "{}"); }), 4u);
  EXPECT_EQ (first_bad_version (2, [] (version_record_t *r) { replace (r->patch, "{"); }), 2u);
  EXPECT_EQ (first_bad_version (2, [] (version_record_t *r) { r->digest.bytes[0] ^= 1; }), 2u);
  EXPECT_EQ (first_bad_version (4, [] (version_record_t *r) { r->version = 3; }), 4u);
  EXPECT_EQ (first_bad_version (1, [] (version_record_t *r) { r->schema = 2; }), 1u);

  // A forger who recomputes the whole chain is found by the digest on paper only.
  version_digest_t printed = records[1]->digest;
  version_digest_t previous = records[0]->digest;
  replace (records[1]->reason, "forged");
  for (size_t i = 1; i < records.size (); i++)
    {
      version_seal_t seal = version_record_make_seal (records[i], &previous);
      previous = records[i]->digest = version_seal_compute_digest (&seal);
    }
  history_t h = history ();
  history_verify_result_t verdict = history_verify (&h, 0, nullptr);
  EXPECT_EQ (verdict.first_bad_version, 0u);
  g_free (verdict.text);
  verdict = history_verify (&h, 2, &printed);
  EXPECT_EQ (verdict.first_bad_version, 2u);
  EXPECT_NE (take (verdict.text).find ("the digest differs from the printed one"),
             std::string::npos);
  verdict = history_verify (&h, 9, &printed);
  EXPECT_EQ (verdict.first_bad_version, 5u);
  g_free (verdict.text);
}

// Guards against a forged document that still has a valid chain of records: the patch is replaced
// and the chain recomputed, but not the digest of the document.
TEST_F (History, VerifyRebuildsDocuments)
{
  replace (records[3]->patch, "{}");
  version_seal_t seal = version_record_make_seal (records[3], &records[2]->digest);
  records[3]->digest = version_seal_compute_digest (&seal);
  history_t h = history ();
  history_verify_result_t verdict = history_verify (&h, 0, nullptr);
  EXPECT_EQ (verdict.first_bad_version, 4u);
  EXPECT_NE (take (verdict.text).find ("the document does not match its digest"),
             std::string::npos);
  EXPECT_EQ (history_show (&h, 4, nullptr), nullptr);
  EXPECT_EQ (history_report (&h, 2026, 11, nullptr), nullptr);
}

// Guards against looking up the wrong version for a time, also after a clock that was wrong.
TEST_F (History, VersionAtATime)
{
  history_t h = history ();
  EXPECT_EQ (history_version_at (&h, time_ms ("2026-10-20T07:59:59Z")), 0u);
  EXPECT_EQ (history_version_at (&h, time_ms ("2026-10-20T08:00:00Z")), 1u);
  EXPECT_EQ (history_version_at (&h, time_ms ("2026-11-20")), 2u);
  EXPECT_EQ (history_version_at (&h, time_ms ("2036-11-20")), 4u);
  add ("2030-01-01", "ben", "clock ahead", "{}");
  add ("2026-12-02", "ben", "clock right", "{}");
  h = history ();
  EXPECT_EQ (history_version_at (&h, time_ms ("2026-12-01")), 4u);
  EXPECT_EQ (history_version_at (&h, time_ms ("2026-12-03")), 6u);
  EXPECT_NE (take (history_report (&h, 2026, 12, nullptr))
                 .find ("The time is before that of the previous version."),
             std::string::npos);
  int64_t ignored = 0;
  for (const char *text :
       { "", "2026", "2026-13-01", "2026-11-03T", "2026-11-03T10:00:00", "2026-11-03 10:00:00Z",
         "2026-11-03T10:00:00Zx", "2026-11-03T25:00:00Z" })
    EXPECT_FALSE (history_parse_time (text, &ignored)) << text;
}

// Guards against text from a damaged record that imitates lines of the report.
TEST_F (History, ControlCharactersAreShownAsQuestionMarks)
{
  replace (records[0]->reason, "a\nversion 9\x1b[1m\xe2\x80\xae\xff");
  history_t h = history ();
  std::string text = take (history_list (&h, 1, 1, nullptr));
  EXPECT_EQ (std::count (text.begin (), text.end (), '\n'), 1);
  EXPECT_NE (text.find ("a?version 9?[1m?"), std::string::npos);
}
