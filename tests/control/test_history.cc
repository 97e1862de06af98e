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

// Returns a copy of TEXT and frees TEXT.
std::string
take_text (char *text)
{
  std::string copy = text != nullptr ? text : "(null)";
  g_free (text);
  return copy;
}

// Compares TEXT with the file NAME of expected output. If ANVILLB_UPDATE_EXPECTED is set, writes
// the file first.
void
expect_file_text (const std::string &text, const std::string &name)
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
    add_version ("2026-10-20T08:00:00Z", "anna", "first configuration", first_patch);
    add_version (
        "2026-11-03T10:00:00Z", "ben", "bookings need more time at the end of a shift",
        "{'routes':[{'id':'book','service':'crew','methods':['POST'],'prefix':'/possessions',"
        "'class':'urgent','idempotent':false,'timeout_ms':8000,'max_body_bytes':65536},"
        "{'id':'sheet','service':'crew','methods':['GET'],'prefix':'/sheets','class':'urgent',"
        "'idempotent':true,'timeout_ms':2000}]}");
    add_version ("2026-11-20T16:30:05Z", "J\xc3\xbcrgen", "survey app",
                 "{'services':{'survey':{'hosts':['maps.example'],'sensitivity':0.5}},"
                 "'teams':{'planners':{'rate':0.5,'burst':3},'gang-12':{'burst':20}}}");
    add_version ("2026-11-30T23:59:59Z", "ben", "one gang less", "{'teams':{'gang-12':null}}");
  }

  void
  TearDown () override
  {
    for (version_record_t *record : records)
      version_record_free (record);
    version_store_free (store);
  }

  void
  add_version (const char *time, const char *who, const char *reason, const std::string &patch)
  {
    uint64_t base = version_store_current_version (store);
    version_result_t result = apply_patch (store, base, "change-" + std::to_string (base + 1),
                                           patch, who, reason, time_ms (time));
    ASSERT_EQ (result.outcome, VERSION_ACCEPTED) << result.text;
    records.push_back (version_record_copy (version_store_record (store, base + 1)));
  }

  history_t
  make_history () const
  {
    return { records.data (), records.size () };
  }

  std::string
  explain (uint64_t version, const char *method, const char *target, const char *team)
  {
    history_t history = make_history ();
    history_query_t query = { method, "crew.example", target, team };
    return take_text (history_explain (&history, version, &query, nullptr));
  }

  // Returns the first bad version that is found if CHANGE is applied to the record of VERSION.
  uint64_t
  first_bad_version (uint64_t version, void (*change) (version_record_t *record))
  {
    history_t history = make_history ();
    version_record_t *original = records[version - 1];
    records[version - 1] = version_record_copy (original);
    change (records[version - 1]);
    history_verify_result_t verify_result = history_verify (&history, 0, nullptr);
    version_record_free (records[version - 1]);
    records[version - 1] = original;
    g_free (verify_result.text);
    return verify_result.first_bad_version;
  }
};

void
replace_text (char *&text, const char *replacement)
{
  g_free (text);
  text = g_strdup (replacement);
}
}

// Guards against output that changes for the same records: an auditor compares it with printed
// copies.
TEST_F (History, OutputMatchesExpectedFiles)
{
  history_t history = make_history ();
  expect_file_text (take_text (history_report (&history, 2026, 11, nullptr)), "report-2026-11.txt");
  expect_file_text (take_text (history_show (&history, 2, nullptr)), "show-2.txt");
  expect_file_text (take_text (history_diff (&history, 1, 4, nullptr)), "diff-1-4.txt");
  expect_file_text (take_text (history_list (&history, 1, 4, nullptr)), "list.txt");
  expect_file_text (
      explain (2, "POST", "/possessions/7", "gang-12") + explain (3, "GET", "/sheets?x=1", nullptr)
          + explain (4, "GET", "/sheets", "gang-12")
          + explain (4, "POST", "//possessions", "gang-12") + explain (0, "GET", "/", "x"),
      "explain.txt");
  history_verify_result_t verify_result = history_verify (&history, 4, &records[3]->digest);
  EXPECT_EQ (verify_result.first_bad_version, 0u);
  expect_file_text (take_text (verify_result.text), "verify.txt");
}

// Guards against a month's report that differs when it is printed again after later versions.
TEST_F (History, LaterVersionsDoNotChangeAReport)
{
  history_t history = make_history ();
  std::string before = take_text (history_report (&history, 2026, 11, nullptr));
  add_version ("2026-12-01T00:00:00Z", "ben", "december", "{'team_default':{'rate':1}}");
  history = make_history ();
  EXPECT_EQ (take_text (history_report (&history, 2026, 11, nullptr)), before);
  EXPECT_NE (take_text (history_report (&history, 2026, 12, nullptr)), before);
  EXPECT_EQ (history_report (&history, 2026, 13, nullptr), nullptr);
}

// Guards against a diff that omits a change of order, which leaves no visible reason for the new
// digest.
TEST_F (History, ChangedOrderIsListed)
{
  add_version ("2026-12-01", "ben", "order", "{'services':{'survey':{'hosts':['a','b']}}}");
  add_version ("2026-12-01", "ben", "order", "{'services':{'survey':{'hosts':['b','a']}}}");
  add_version ("2026-12-01", "ben", "nothing", "{}");
  history_t history = make_history ();
  EXPECT_EQ (take_text (history_diff (&history, 5, 6, nullptr)),
             "version 5 to version 6\n"
             "  * $.services.survey.hosts = [\"a\",\"b\"] to [\"b\",\"a\"]\n");
  EXPECT_EQ (take_text (history_diff (&history, 6, 7, nullptr)),
             "version 6 to version 7\n  no change\n");
  cJSON *document = history_rebuild_document (&history, 7, nullptr);
  cJSON *routes = cJSON_GetObjectItem (document, "routes");
  cJSON_AddItemToArray (routes, cJSON_DetachItemFromArray (routes, 0));
  g_autofree char *text = json_print_canonical (document);
  cJSON_Delete (document);
  add_version ("2026-12-01", "ben", "order", text);
  history = make_history ();
  EXPECT_EQ (take_text (history_diff (&history, 7, 8, nullptr)),
             "version 7 to version 8\n  only the order of elements changed\n");
}

// Guards against pages that do not fit the paper or lack the digest, and against lost lines.
TEST_F (History, PagesAreBounded)
{
  std::string patch = "{'teams':{";
  for (int i = 0; i < 300; i++)
    patch += (i > 0 ? ",'t" : "'t") + std::to_string (i) + "':{'rate':1,'burst':1}";
  add_version ("2026-11-30T23:59:59Z", "ben", std::string (900, 'x').c_str (), patch + "}}");
  history_t history = make_history ();
  std::istringstream text (take_text (history_report (&history, 2026, 11, nullptr)));
  std::string page;
  size_t page_count = 0;
  while (std::getline (text, page, '\f'))
    {
      page_count++;
      EXPECT_LE (std::count (page.begin (), page.end (), '\n'), 60);
      EXPECT_NE (page.find ("digest " + digest_text (records[4]->digest)), std::string::npos);
      std::istringstream lines (page);
      for (std::string line; std::getline (lines, line);)
        EXPECT_LE (g_utf8_strlen (line.c_str (), -1), HISTORY_WIDTH) << line;
    }
  EXPECT_GT (page_count, 10u);
  std::string report = text.str ();
  EXPECT_NE (report.find ("page 1 of " + std::to_string (page_count)), std::string::npos);
  EXPECT_NE (report.find ("Limit of team t299"), std::string::npos);
}

// Guards against damaged history that passes verification, and against naming the wrong version.
TEST_F (History, VerifyNamesTheFirstBadVersion)
{
  EXPECT_EQ (first_bad_version (2, [] (version_record_t *r) { replace_text (r->reason, "other"); }),
             2u);
  EXPECT_EQ (
      first_bad_version (3, [] (version_record_t *r) { replace_text (r->operator_name, "eve"); }),
      3u);
  EXPECT_EQ (first_bad_version (3, [] (version_record_t *r) { r->wall_ms++; }), 3u);
  EXPECT_EQ (first_bad_version (4, [] (version_record_t *r) { replace_text (r->patch, "{}"); }),
             4u);
  EXPECT_EQ (first_bad_version (2, [] (version_record_t *r) { replace_text (r->patch, "{"); }), 2u);
  EXPECT_EQ (first_bad_version (2, [] (version_record_t *r) { r->digest.bytes[0] ^= 1; }), 2u);
  EXPECT_EQ (first_bad_version (4, [] (version_record_t *r) { r->version = 3; }), 4u);
  EXPECT_EQ (first_bad_version (1, [] (version_record_t *r) { r->schema = 2; }), 1u);

  // If a forger recomputes the whole chain, only the digest on paper shows the forgery.
  version_digest_t printed = records[1]->digest;
  version_digest_t previous = records[0]->digest;
  replace_text (records[1]->reason, "forged");
  for (size_t i = 1; i < records.size (); i++)
    {
      version_seal_t seal = version_record_make_seal (records[i], &previous);
      previous = records[i]->digest = version_seal_compute_digest (&seal);
    }
  history_t history = make_history ();
  history_verify_result_t verify_result = history_verify (&history, 0, nullptr);
  EXPECT_EQ (verify_result.first_bad_version, 0u);
  g_free (verify_result.text);
  verify_result = history_verify (&history, 2, &printed);
  EXPECT_EQ (verify_result.first_bad_version, 2u);
  EXPECT_NE (take_text (verify_result.text).find ("the digest differs from the printed one"),
             std::string::npos);
  verify_result = history_verify (&history, 9, &printed);
  EXPECT_EQ (verify_result.first_bad_version, 5u);
  g_free (verify_result.text);
}

// Guards against a forged document that still has a valid chain of records: the patch is replaced
// and the chain recomputed, but not the digest of the document.
TEST_F (History, VerifyRebuildsDocuments)
{
  replace_text (records[3]->patch, "{}");
  version_seal_t seal = version_record_make_seal (records[3], &records[2]->digest);
  records[3]->digest = version_seal_compute_digest (&seal);
  history_t history = make_history ();
  history_verify_result_t verify_result = history_verify (&history, 0, nullptr);
  EXPECT_EQ (verify_result.first_bad_version, 4u);
  EXPECT_NE (take_text (verify_result.text).find ("the document does not match its digest"),
             std::string::npos);
  EXPECT_EQ (history_show (&history, 4, nullptr), nullptr);
  EXPECT_EQ (history_report (&history, 2026, 11, nullptr), nullptr);
}

// Guards against selecting the wrong version for a time, also after a version that was made while
// the clock was ahead.
TEST_F (History, SelectsVersionByTime)
{
  history_t history = make_history ();
  EXPECT_EQ (history_version_at (&history, time_ms ("2026-10-20T07:59:59Z")), 0u);
  EXPECT_EQ (history_version_at (&history, time_ms ("2026-10-20T08:00:00Z")), 1u);
  EXPECT_EQ (history_version_at (&history, time_ms ("2026-11-20")), 2u);
  EXPECT_EQ (history_version_at (&history, time_ms ("2036-11-20")), 4u);
  add_version ("2030-01-01", "ben", "clock ahead", "{}");
  add_version ("2026-12-02", "ben", "clock right", "{}");
  history = make_history ();
  EXPECT_EQ (history_version_at (&history, time_ms ("2026-12-01")), 4u);
  EXPECT_EQ (history_version_at (&history, time_ms ("2026-12-03")), 6u);
  EXPECT_NE (take_text (history_report (&history, 2026, 12, nullptr))
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
  replace_text (records[0]->reason, "a\nversion 9\x1b[1m\xe2\x80\xae\xff");
  history_t history = make_history ();
  std::string text = take_text (history_list (&history, 1, 1, nullptr));
  EXPECT_EQ (std::count (text.begin (), text.end (), '\n'), 1);
  EXPECT_NE (text.find ("a?version 9?[1m?"), std::string::npos);
}
