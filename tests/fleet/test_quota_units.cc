#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "quota_client.h"
#include "quota_owner.h"
}

namespace
{
constexpr int64_t MS = 1000, START = 1000000;
constexpr uint64_t TEAM = 7;

struct sent_t
{
  std::string address;
  uint64_t number;
  std::vector<quota_ask_team_t> teams;
};

struct verdict_t
{
  quota_request_t request = {}; // first member
  int count = 0;
  bool admitted = false;
  int64_t retry_after_us = 0;
};

class QuotaClient : public ::testing::Test
{
protected:
  quota_client_t client = {};
  std::vector<sent_t> sent;
  quota_limit_t limit = { 10, 10 };

  static void
  send (void *data, const char *address, const quota_ask_t *ask)
  {
    const quota_ask_team_t *teams = (const quota_ask_team_t *)ask->teams->data;
    ((QuotaClient *)data)
        ->sent.push_back ({ address, ask->number, { teams, teams + ask->teams->len } });
  }
  static void
  on_verdict (quota_request_t *request, bool admitted, int64_t retry_after_us)
  {
    verdict_t *verdict = (verdict_t *)request;
    verdict->count++;
    verdict->admitted = admitted;
    verdict->retry_after_us = retry_after_us;
  }
  void
  SetUp () override
  {
    static const quota_client_ops_t ops = { send, nullptr };
    quota_client_options_t options = { &ops, this };
    quota_client_init (&client, &options);
    g_autoptr (GPtrArray) addresses = g_ptr_array_new ();
    for (const char *address : { "a", "b", "c" })
      g_ptr_array_add (addresses, (gpointer)address);
    quota_client_set_instances (&client, addresses);
  }
  void
  TearDown () override
  {
    quota_client_destroy (&client);
  }
  void
  admit (verdict_t *verdict, int64_t now)
  {
    verdict->request.on_verdict = on_verdict;
    quota_client_admit (&client, now, TEAM, &limit, &verdict->request);
  }
  void
  grant (int64_t now, const char *from, uint64_t number, uint32_t admitted, uint32_t refused,
         uint32_t allowance = 0)
  {
    g_autoptr (GArray) teams = g_array_new (FALSE, FALSE, sizeof (quota_grant_team_t));
    quota_grant_team_t team = { TEAM, admitted, refused, allowance, 100 * MS, 50 * MS };
    quota_grant_t message = { number, 2, teams };
    g_array_append_val (teams, team);
    quota_client_receive_grant (&client, now, from, &message);
  }
  void
  move (int64_t now, const char *from, uint64_t number, const char *owner)
  {
    quota_moved_t message = { number, 2, "" };
    g_strlcpy (message.owner, owner, sizeof (message.owner));
    quota_client_receive_moved (&client, now, from, &message);
  }
};
}

// Guards against questions without end, and against one message for each request.
TEST_F (QuotaClient, AsksOnceForAllRequestsOfAnIteration)
{
  verdict_t verdicts[3];
  for (verdict_t &verdict : verdicts)
    admit (&verdict, START);
  quota_client_flush (&client, START);
  EXPECT_FALSE (quota_client_needs_flush (&client, START));
  ASSERT_EQ (sent.size (), 1u);
  ASSERT_EQ (sent[0].teams.size (), 1u);
  EXPECT_EQ (sent[0].teams[0].waiting_count, 3u);
  grant (START + MS, "a", 1, 1, 2);
  EXPECT_TRUE (verdicts[0].admitted);
  EXPECT_EQ (verdicts[1].retry_after_us, 100 * MS);
  EXPECT_EQ (verdicts[2].retry_after_us, 150 * MS);
  EXPECT_FALSE (quota_client_needs_flush (&client, START + MS));
}

// Guards against credit that is given back twice, or for a request that another owner admitted.
TEST_F (QuotaClient, CreditIsGivenBackOnce)
{
  verdict_t verdict, other;
  admit (&verdict, START);
  quota_client_flush (&client, START);
  grant (START + MS, "a", 1, 1, 0);
  quota_client_give_back (&client, START + MS, &verdict.request);
  quota_client_give_back (&client, START + MS, &verdict.request);
  quota_client_flush (&client, START + 200 * MS);
  ASSERT_EQ (sent.size (), 2u);
  EXPECT_EQ (sent[1].teams[0].returned_count, 1u);
  admit (&other, START + 300 * MS);
  quota_client_flush (&client, START + 300 * MS);
  grant (START + 301 * MS, "a", 3, 1, 0);
  verdict_t moved;
  admit (&moved, START + 400 * MS);
  quota_client_flush (&client, START + 400 * MS);
  move (START + 401 * MS, "a", 4, "b");
  quota_client_flush (&client, START + 401 * MS);
  EXPECT_EQ (sent.back ().address, "b");
  grant (START + 402 * MS, "b", 5, 1, 0);
  EXPECT_EQ (moved.count, 1);
  quota_client_give_back (&client, START + 402 * MS, &other.request);
  EXPECT_FALSE (quota_client_needs_flush (&client, START + 600 * MS));
}

// Guards against a token that is lost with a caller that leaves before the verdict, and against a
// verdict for it.
TEST_F (QuotaClient, CancelledRequestsReturnTheirToken)
{
  verdict_t asked, unasked;
  admit (&asked, START);
  quota_client_flush (&client, START);
  admit (&unasked, START);
  quota_client_cancel (&client, START, &asked.request);
  quota_client_cancel (&client, START, &unasked.request);
  EXPECT_FALSE (quota_client_needs_flush (&client, START));
  grant (START + MS, "a", 1, 1, 0);
  quota_client_flush (&client, START + 101 * MS);
  ASSERT_EQ (sent.size (), 2u);
  EXPECT_EQ (sent[1].teams[0].returned_count, 1u);
  EXPECT_EQ (sent[1].teams[0].waiting_count, 0u);
  EXPECT_EQ (asked.count + unasked.count, 0);
}

// Guards against requests that wait for an owner that is gone, and against a search that ends or
// asks without a pause.
TEST_F (QuotaClient, DecidesLocallyWithoutAnAnswer)
{
  verdict_t verdicts[12];
  admit (&verdicts[0], START);
  quota_client_flush (&client, START);
  quota_client_tick (&client, START + 79 * MS);
  EXPECT_EQ (verdicts[0].count, 0);
  EXPECT_EQ (quota_client_next_due_us (&client), START + QUOTA_TIMEOUT_US);
  quota_client_tick (&client, START + 80 * MS);
  EXPECT_TRUE (verdicts[0].admitted);
  for (int i = 1; i < 12; i++)
    admit (&verdicts[i], START + 90 * MS);
  EXPECT_FALSE (verdicts[11].admitted);
  EXPECT_GT (verdicts[11].retry_after_us, 0);
  for (int64_t now = START + 90 * MS; now < START + 400 * MS; now += 10 * MS)
    quota_client_tick (&client, now);
  ASSERT_EQ (sent.size (), 5u); // the question, and at 80, 180, 280 and 380 ms
  EXPECT_EQ (sent[1].address, "b");
  EXPECT_EQ (sent[4].address, "b");
  grant (START + 401 * MS, "b", sent[4].number, 0, 0);
  verdict_t late;
  admit (&late, START + 402 * MS);
  EXPECT_EQ (late.count, 0);
}

// Guards against two instances that redirect an entry to each other for ever.
TEST_F (QuotaClient, RedirectionsEnd)
{
  verdict_t verdict;
  admit (&verdict, START);
  for (int i = 0; i < 10 && verdict.count == 0; i++)
    {
      quota_client_flush (&client, START);
      move (START, sent.back ().address.c_str (), sent.back ().number,
            sent.back ().address == "a" ? "b" : "a");
    }
  EXPECT_EQ (verdict.count, 1);
  EXPECT_LE (sent.size (), 5u);
}

// Guards against an allowance that is used after its end or beyond its size, or is not reported.
TEST_F (QuotaClient, AllowanceIsBounded)
{
  verdict_t verdicts[5];
  admit (&verdicts[0], START);
  quota_client_flush (&client, START);
  grant (START, "a", 1, 1, 0, 2);
  admit (&verdicts[1], START + MS);
  EXPECT_FALSE (quota_client_needs_flush (&client, START + MS));
  EXPECT_TRUE (quota_client_needs_flush (&client, START + MS + QUOTA_REPORT_DELAY_US));
  admit (&verdicts[2], START + 2 * MS);
  EXPECT_TRUE (verdicts[1].admitted && verdicts[2].admitted);
  quota_client_flush (&client, START + 2 * MS);
  EXPECT_EQ (sent[1].teams[0].used_count, 2u);
  admit (&verdicts[3], START + 3 * MS);
  EXPECT_EQ (verdicts[3].count, 0);
  grant (START + 4 * MS, "a", 2, 0, 0, 2);
  admit (&verdicts[4], START + 4 * MS + QUOTA_ALLOWANCE_US);
  EXPECT_EQ (verdicts[4].count, 0);
}

// Guards against memory that grows with the teams that were seen once.
TEST_F (QuotaClient, IdleTeamsAreEvicted)
{
  for (uint64_t team = 1; team <= 1000; team++)
    {
      verdict_t verdict;
      verdict.request.on_verdict = on_verdict;
      quota_client_admit (&client, START, team, &limit, &verdict.request);
      quota_client_cancel (&client, START, &verdict.request);
    }
  quota_client_flush (&client, START);
  quota_client_tick (&client, START + 2000 * MS);
  EXPECT_EQ (g_hash_table_size (client.teams), 0u);
  EXPECT_TRUE (sent.empty ());
}

namespace
{
quota_grant_team_t
ask_owner (quota_owner_t *owner, int64_t now, uint64_t team, uint32_t waiting, uint32_t used = 0,
           uint32_t returned = 0)
{
  g_autoptr (GArray) teams = g_array_new (FALSE, FALSE, sizeof (quota_ask_team_t));
  g_autoptr (GArray) granted = g_array_new (FALSE, FALSE, sizeof (quota_grant_team_t));
  quota_ask_team_t element = { team, waiting, used, returned };
  quota_ask_t ask = { 1, teams };
  quota_grant_t grant = { 0, 0, granted };
  g_array_append_val (teams, element);
  quota_owner_answer (owner, now, &ask, &grant);
  return g_array_index (granted, quota_grant_team_t, 0);
}

bool
find_limit (void *data, uint64_t team, quota_limit_t *limit)
{
  *limit = *(quota_limit_t *)data;
  return team != 0;
}
}

// Guards against a bucket that exceeds its burst or is refilled by credit, a Retry-After at which a
// request is refused again, allowances beyond a quarter of the bucket, and buckets that stay.
TEST (QuotaOwner, KeepsOneBucketPerTeam)
{
  quota_limit_t limit = { 10, 100 };
  quota_owner_options_t options = { find_limit, &limit };
  quota_owner_t owner;
  quota_owner_init (&owner, &options);
  quota_owner_reset (&owner, START);
  EXPECT_EQ (ask_owner (&owner, START, 0, 500).admitted_count, 500u) << "no limit";
  quota_grant_team_t grant = ask_owner (&owner, START, TEAM, 60);
  EXPECT_EQ (grant.admitted_count, 50u) << "half full after the start";
  EXPECT_EQ (grant.refused_count, 10u);
  EXPECT_EQ (ask_owner (&owner, START + grant.retry_after_us - 1, TEAM, 1).admitted_count, 0u);
  EXPECT_EQ (ask_owner (&owner, START + grant.retry_after_us, TEAM, 1).admitted_count, 1u);
  int64_t now = START + 20000 * MS;
  quota_owner_set_entries (&owner, 5, 0);
  EXPECT_EQ (ask_owner (&owner, now, TEAM, 0, 0, 50).allowance, 5u);
  EXPECT_EQ (ask_owner (&owner, now, TEAM, 101).admitted_count, 100u) << "not above the burst";
  EXPECT_EQ (ask_owner (&owner, now, TEAM, 0).allowance, 0u);
  ask_owner (&owner, now, TEAM, 0, 1000);
  EXPECT_EQ (ask_owner (&owner, now + 10100 * MS, TEAM, 2).admitted_count, 1u) << "from -burst";
  limit = { 5, 10 };
  EXPECT_EQ (ask_owner (&owner, now + 60000 * MS, TEAM, 100).admitted_count, 10u) << "lower limit";
  quota_owner_set_entries (&owner, 4, 2);
  EXPECT_EQ (ask_owner (&owner, now + 120000 * MS, TEAM, 100).admitted_count, 5u) << "reserved";
  ask_owner (&owner, now + 180000 * MS, 0, 1);
  EXPECT_EQ (quota_owner_bucket_count (&owner), 0u);
  quota_owner_destroy (&owner);
}
