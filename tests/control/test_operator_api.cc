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
  std::vector<std::string> proposals;
  bool accept_proposals = true;
  std::string location;

  static bool
  propose (void *data, GBytes *command, void *tag)
  {
    OperatorApi *self = (OperatorApi *)data;
    if (self->accept_proposals)
      self->proposals.push_back (take_bytes_text (g_bytes_ref (command)));
    return self->accept_proposals;
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

  // Returns "STATUS BODY", or "pending" if a command was proposed.
  std::string
  send_request (const char *method, const char *path, const char *query = nullptr,
                std::string body = "", const char *authorization = "Bearer secret-anna")
  {
    body = double_quoted (body);
    operator_request_t request = { method, path, query, authorization, body.data (), body.size () };
    operator_response_t response;
    if (!operator_api_handle (&api, &request, START_MS, nullptr, &response))
      return "pending";
    return format_and_clear (response);
  }

  // Returns "STATUS BODY", stores the location and clears RESPONSE.
  std::string
  format_and_clear (operator_response_t &response)
  {
    location = response.location != nullptr ? response.location : "";
    std::string text = std::to_string (response.status) + " " + response.body;
    operator_response_clear (&response);
    return text;
  }

  // Applies the command that was proposed last, as the group does, and returns "STATUS BODY".
  std::string
  commit_last_proposal ()
  {
    version_command_reader_t reader = {};
    const std::string &data = proposals.back ();
    EXPECT_TRUE (
        version_command_decode (&reader, (const uint8_t *)data.data (), data.size (), nullptr));
    version_result_t result;
    version_store_apply (store, &reader.command, &result);
    version_command_release (&reader);
    operator_response_t response = {};
    operator_api_respond_result (&result, &response);
    return format_and_clear (response);
  }
};

const char *valid_body = "{'base':0,'patch_id':'p1','operator':'anna','reason':'because','patch':"
                         "{'teams':{'a':{'rate':1,'burst':9}}}}";
}

// Guards against a second version after a lost reply: the resent request gets the version of the
// first one.
TEST_F (OperatorApi, ResendGivesTheFirstVersion)
{
  ASSERT_EQ (send_request ("POST", "/v1/patches", nullptr, valid_body), "pending");
  std::string first_response = commit_last_proposal ();
  EXPECT_EQ (first_response.substr (0, 4), "201 ");
  EXPECT_NE (first_response.find (double_quoted ("'outcome':'accepted','text':'','version':1")),
             std::string::npos);
  ASSERT_EQ (send_request ("POST", "/v1/patches", nullptr, valid_body), "pending");
  std::string resend_response = commit_last_proposal ();
  EXPECT_EQ (resend_response.substr (0, 4), "200 ");
  EXPECT_NE (resend_response.find (double_quoted ("'outcome':'repeated','text':'','version':1")),
             std::string::npos);
  std::string stale_body = valid_body;
  stale_body.replace (stale_body.find ("'p1'"), 4, "'p2'");
  ASSERT_EQ (send_request ("POST", "/v1/patches", nullptr, stale_body), "pending");
  EXPECT_EQ (commit_last_proposal ().substr (0, 4), "409 ");
  accept_proposals = false;
  EXPECT_EQ (send_request ("POST", "/v1/patches", nullptr, stale_body).substr (0, 4), "503 ");
}

// Guards against a dry run that proposes, and against errors without path and rule.
TEST_F (OperatorApi, DryRunProposesNothing)
{
  EXPECT_EQ (send_request ("POST", "/v1/patches", "dry_run=1", valid_body).substr (0, 4), "200 ");
  std::string invalid_response
      = send_request ("POST", "/v1/patches", "dry_run=1",
                      "{'base':0,'patch_id':'p','operator':'anna','reason':'r','patch':{'x':1}}");
  EXPECT_EQ (invalid_response.substr (0, 4), "422 ");
  EXPECT_NE (invalid_response.find ("$: unknown key \\\"x\\\""), std::string::npos);
  EXPECT_TRUE (proposals.empty ());
  EXPECT_EQ (version_store_current_version (store), 0u);
}

// Guards against calls without a token, or in the name of another operator.
TEST_F (OperatorApi, TokenIsRequired)
{
  for (const char *header : { (const char *)nullptr, "", "Bearer ", "Bearer secret", "secret-anna",
                              "Bearer secret-anna2", "Basic secret-anna" })
    EXPECT_EQ (send_request ("GET", "/v1/status", nullptr, "", header).substr (0, 4), "401 ");
  std::string ben_body = valid_body;
  ben_body.replace (ben_body.find ("'anna'"), 6, "'ben'");
  EXPECT_EQ (send_request ("POST", "/v1/patches", nullptr, ben_body).substr (0, 4), "403 ");
  EXPECT_EQ (send_request ("POST", "/v1/patches", nullptr, ben_body, "bearer secret-any"),
             "pending");
}

// Guards against a follower that proposes a patch, or redirects although it knows no leader.
TEST_F (OperatorApi, FollowerRedirects)
{
  api.is_leader = false;
  EXPECT_EQ (send_request ("POST", "/v1/patches", nullptr, valid_body).substr (0, 4), "503 ");
  api.leader_url = "http://127.0.0.1:9";
  EXPECT_EQ (send_request ("POST", "/v1/patches", "dry_run=1", valid_body).substr (0, 4), "307 ");
  EXPECT_EQ (location, "http://127.0.0.1:9/v1/patches?dry_run=1");
  EXPECT_TRUE (proposals.empty ());
}

// Guards against malformed requests that are accepted or crash the handler.
TEST_F (OperatorApi, MalformedRequestsAreRefused)
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
    EXPECT_EQ (send_request ("POST", "/v1/patches", nullptr, body).substr (0, 4), "400 ") << body;
  EXPECT_EQ (send_request ("GET", "/v1/patches").substr (0, 4), "405 ");
  EXPECT_EQ (send_request ("PUT", "/v1/versions/1").substr (0, 4), "405 ");
  EXPECT_EQ (send_request ("GET", "/v1/versions/x").substr (0, 4), "400 ");
  EXPECT_EQ (send_request ("GET", "/v1/versions/9").substr (0, 4), "404 ");
  EXPECT_EQ (send_request ("GET", "/v2").substr (0, 4), "404 ");
  EXPECT_EQ (send_request ("GET", "/v1/records", "from=x").substr (0, 4), "400 ");
}

// Guards against a page of records that does not show that more follow, and a wrong state of the
// rollout.
TEST_F (OperatorApi, ReturnsVersionsRecordsAndStatus)
{
  for (int i = 0; i < 1005; i++)
    apply_patch (store, i, "p" + std::to_string (i), team_patch ("a", i % 9 + 1));
  std::string page = send_request ("GET", "/v1/records", "from=2");
  EXPECT_NE (page.find (double_quoted ("{'next':1002,'records':[")), std::string::npos);
  page = send_request ("GET", "/v1/records", "from=1002&to=9999");
  EXPECT_NE (page.find (double_quoted ("{'next':0,")), std::string::npos);
  EXPECT_NE (page.find (double_quoted ("'patch_id':'p1004'")), std::string::npos);
  std::string version = send_request ("GET", "/v1/versions/2");
  EXPECT_NE (
      version.find (double_quoted ("{'document':{'teams':{'a':{'burst':9,'rate':2}}},'record':{")),
      std::string::npos);
  EXPECT_NE (
      send_request ("GET", "/v1/versions").find (double_quoted ("{'current':1005,'digest':'")),
      std::string::npos);
  rollout_record_version (&rollout, "e1", 1005, START_MS);
  rollout_record_version (&rollout, "e2", 1004, START_MS);
  std::string status = send_request ("GET", "/v1/status");
  EXPECT_NE (status.find (double_quoted ("'behind':1,'current':1005,")), std::string::npos);
  EXPECT_NE (status.find (double_quoted ("'in_force':1,")), std::string::npos);
  EXPECT_NE (status.find (double_quoted ("'lowest':1004,'role':'leader'")), std::string::npos);
}
