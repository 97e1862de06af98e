#include "version_fixture.h"

#include <vector>

extern "C"
{
#include "operator_api.h"
}

namespace
{
const operator_token_t tokens[] = { { "secret-anna", "anna" }, { "secret-any", nullptr } };

class OperatorApi : public ::testing::Test
{
protected:
  version_store_t *store = version_store_new ();
  rollout_t rollout;
  operator_api_t api = {};
  std::vector<std::string> proposed;
  bool take = true;
  std::string location;

  static bool
  propose (void *data, GBytes *command, void *tag)
  {
    OperatorApi *self = (OperatorApi *)data;
    if (self->take)
      self->proposed.push_back (bytes_text (g_bytes_ref (command)));
    return self->take;
  }

  void
  SetUp () override
  {
    rollout_init (&rollout, 0);
    api = { store, &rollout, tokens, 2, true, nullptr, propose, this };
  }

  void
  TearDown () override
  {
    rollout_destroy (&rollout);
    version_store_free (store);
  }

  // Returns "STATUS BODY", or "pending".
  std::string
  call (const char *method, const char *path, const char *query = nullptr, std::string body = "",
        const char *authorization = "Bearer secret-anna")
  {
    body = json (body);
    operator_request_t request = { method, path, query, authorization, body.data (), body.size () };
    operator_response_t response;
    if (!operator_api_handle (&api, &request, START_MS, nullptr, &response))
      return "pending";
    return finish (response);
  }

  std::string
  finish (operator_response_t &response)
  {
    location = response.location != nullptr ? response.location : "";
    std::string text = std::to_string (response.status) + " " + response.body;
    operator_response_clear (&response);
    return text;
  }

  // Applies the command that was proposed last, as the group does, and returns the answer.
  std::string
  commit ()
  {
    version_command_reader_t reader = {};
    const std::string &data = proposed.back ();
    EXPECT_TRUE (
        version_command_decode (&reader, (const uint8_t *)data.data (), data.size (), nullptr));
    version_result_t result;
    version_store_apply (store, &reader.command, &result);
    version_command_release (&reader);
    operator_response_t response = {};
    operator_api_respond_result (&result, &response);
    return finish (response);
  }
};

const char *good = "{'base':0,'patch_id':'p1','operator':'anna','reason':'because','patch':"
                   "{'teams':{'a':{'rate':1,'burst':9}}}}";
}

// Guards against a lost reply that makes a second version: the resend through the API gets the
// number of the first time.
TEST_F (OperatorApi, SubmitAndResend)
{
  ASSERT_EQ (call ("POST", "/v1/patches", nullptr, good), "pending");
  std::string first = commit ();
  EXPECT_EQ (first.substr (0, 4), "201 ");
  EXPECT_NE (first.find (json ("'outcome':'accepted','text':'','version':1")), std::string::npos);
  ASSERT_EQ (call ("POST", "/v1/patches", nullptr, good), "pending");
  std::string again = commit ();
  EXPECT_EQ (again.substr (0, 4), "200 ");
  EXPECT_NE (again.find (json ("'outcome':'repeated','text':'','version':1")), std::string::npos);
  std::string other = good;
  other.replace (other.find ("'p1'"), 4, "'p2'");
  ASSERT_EQ (call ("POST", "/v1/patches", nullptr, other), "pending");
  EXPECT_EQ (commit ().substr (0, 4), "409 ");
  take = false;
  EXPECT_EQ (call ("POST", "/v1/patches", nullptr, other).substr (0, 4), "503 ");
}

// Guards against a dry run that proposes, and against errors without path and rule.
TEST_F (OperatorApi, DryRunProposesNothing)
{
  EXPECT_EQ (call ("POST", "/v1/patches", "dry_run=1", good).substr (0, 4), "200 ");
  std::string bad
      = call ("POST", "/v1/patches", "dry_run=1",
              "{'base':0,'patch_id':'p','operator':'anna','reason':'r','patch':{'x':1}}");
  EXPECT_EQ (bad.substr (0, 4), "422 ");
  EXPECT_NE (bad.find ("$: unknown key \\\"x\\\""), std::string::npos);
  EXPECT_TRUE (proposed.empty ());
  EXPECT_EQ (version_store_current_version (store), 0u);
}

// Guards against calls without a token, or in the name of another operator.
TEST_F (OperatorApi, TokenIsRequired)
{
  for (const char *header : { (const char *)nullptr, "", "Bearer ", "Bearer secret", "secret-anna",
                              "Bearer secret-anna2", "Basic secret-anna" })
    EXPECT_EQ (call ("GET", "/v1/status", nullptr, "", header).substr (0, 4), "401 ");
  std::string ben = good;
  ben.replace (ben.find ("'anna'"), 6, "'ben'");
  EXPECT_EQ (call ("POST", "/v1/patches", nullptr, ben).substr (0, 4), "403 ");
  EXPECT_EQ (call ("POST", "/v1/patches", nullptr, ben, "bearer secret-any"), "pending");
}

// Guards against a follower that takes a patch, or redirects to nowhere.
TEST_F (OperatorApi, FollowerRedirects)
{
  api.is_leader = false;
  EXPECT_EQ (call ("POST", "/v1/patches", nullptr, good).substr (0, 4), "503 ");
  api.leader_url = "http://127.0.0.1:9";
  EXPECT_EQ (call ("POST", "/v1/patches", "dry_run=1", good).substr (0, 4), "307 ");
  EXPECT_EQ (location, "http://127.0.0.1:9/v1/patches?dry_run=1");
  EXPECT_TRUE (proposed.empty ());
}

// Guards against malformed requests that are taken or crash the handler.
TEST_F (OperatorApi, MalformedRequests)
{
  const char *bodies[] = { "",
                           "[]",
                           "{'base':-1}",
                           "{'base':0}",
                           "{'base':0,'patch':{}}",
                           "{'base':1.5,'patch_id':'p','operator':'anna','reason':'r','patch':{}}",
                           "{'base':0,'base':0}",
                           "{'base':0,'patch_id':7,'operator':'anna','reason':'r','patch':{}}" };
  for (const char *body : bodies)
    EXPECT_EQ (call ("POST", "/v1/patches", nullptr, body).substr (0, 4), "400 ") << body;
  EXPECT_EQ (call ("GET", "/v1/patches").substr (0, 4), "405 ");
  EXPECT_EQ (call ("PUT", "/v1/versions/1").substr (0, 4), "405 ");
  EXPECT_EQ (call ("GET", "/v1/versions/x").substr (0, 4), "400 ");
  EXPECT_EQ (call ("GET", "/v1/versions/9").substr (0, 4), "404 ");
  EXPECT_EQ (call ("GET", "/v2").substr (0, 4), "404 ");
  EXPECT_EQ (call ("GET", "/v1/records", "from=x").substr (0, 4), "400 ");
}

// Guards against records that are left out without notice, and a wrong state of the rollout.
TEST_F (OperatorApi, ReadsVersionsRecordsAndStatus)
{
  for (int i = 0; i < 1005; i++)
    apply (store, i, "p" + std::to_string (i), team_patch ("a", i % 9 + 1));
  std::string page = call ("GET", "/v1/records", "from=2");
  EXPECT_NE (page.find (json ("{'next':1002,'records':[")), std::string::npos);
  page = call ("GET", "/v1/records", "from=1002&to=9999");
  EXPECT_NE (page.find (json ("{'next':0,")), std::string::npos);
  EXPECT_NE (page.find (json ("'patch_id':'p1004'")), std::string::npos);
  std::string version = call ("GET", "/v1/versions/2");
  EXPECT_NE (version.find (json ("{'document':{'teams':{'a':{'burst':9,'rate':2}}},'record':{")),
             std::string::npos);
  EXPECT_NE (call ("GET", "/v1/versions").find (json ("{'current':1005,'digest':'")),
             std::string::npos);
  rollout_record_version (&rollout, "e1", 1005, START_MS);
  rollout_record_version (&rollout, "e2", 1004, START_MS);
  std::string status = call ("GET", "/v1/status");
  EXPECT_NE (status.find (json ("'behind':1,'current':1005,")), std::string::npos);
  EXPECT_NE (status.find (json ("'in_force':1,")), std::string::npos);
  EXPECT_NE (status.find (json ("'lowest':1004,'role':'leader'")), std::string::npos);
}
