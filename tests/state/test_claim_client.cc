#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C"
{
#include "claim_client.h"
}

namespace
{
constexpr int64_t MS = 1000;

struct fake_io_t
{
  claim_client_io_t io;
  std::string log; /* members by the last character of the address, relays as r */
  uint64_t last_id;
  claim_command_type_t last_type;
  size_t relays;
};

void
note (claim_client_io_t *io, char where, const uint8_t *data, size_t size)
{
  fake_io_t *fake = (fake_io_t *)io;
  wire_reader_t reader;
  wire_type_t type;
  claim_command_t command;
  uint32_t relays_left = 0;
  ASSERT_TRUE (wire_reader_init (&reader, data, size, &type, nullptr));
  ASSERT_TRUE (claim_request_decode (&reader, &fake->last_id, &relays_left, &command, nullptr));
  wire_reader_destroy (&reader);
  EXPECT_EQ (relays_left, where == 'r' ? 1u : 0u);
  fake->last_type = command.type;
  claim_command_clear (&command);
  fake->log += where;
}

void
send_member (claim_client_io_t *io, const char *address, const uint8_t *data, size_t size)
{
  note (io, address[strlen (address) - 1], data, size);
}

void
send_relay (claim_client_io_t *io, size_t relay, const uint8_t *data, size_t size)
{
  note (io, 'r', data, size);
}

size_t
relay_count (claim_client_io_t *io)
{
  return ((fake_io_t *)io)->relays;
}

const claim_client_io_ops_t io_ops = { send_member, send_relay, relay_count };

void
collect (void *data, const claim_result_t *result)
{
  ((std::vector<claim_result_type_t> *)data)->push_back (result->type);
}

class ClaimClient : public ::testing::Test
{
protected:
  fake_io_t fake = { { &io_ops }, "", 0, CLAIM_COMMAND_GRANT, 0 };
  claim_client_t client;
  std::vector<claim_result_type_t> results;
  uint8_t key[CLAIM_KEY_SIZE] = { 1 };
  uint8_t nonce[CLAIM_NONCE_SIZE] = { 2 };
  uint8_t digest[CLAIM_DIGEST_SIZE] = { 3 };

  void
  SetUp () override
  {
    static const char *const members[] = { "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", nullptr };
    claim_client_options_t options = {};
    options.members = members;
    options.reply_timeout_us = 100 * MS;
    options.grant_validity_us = 2000 * MS;
    options.max_retry_interval_us = 5000 * MS;
    options.max_background_calls = 1000;
    options.retention_ms = 1000;
    options.io = &fake.io;
    claim_client_init (&client, &options);
  }

  void
  TearDown () override
  {
    claim_client_destroy (&client);
  }

  uint64_t
  grant (int64_t deadline_us)
  {
    return claim_client_request_grant (&client, 0, key, nonce, digest, deadline_us, 1000, collect,
                                       &results);
  }

  void
  reply (int64_t now_us, uint64_t id, claim_result_type_t type, const char *leader = "")
  {
    claim_result_t result = {};
    result.type = type;
    g_strlcpy (result.leader_address, leader, sizeof (result.leader_address));
    claim_client_handle_reply (&client, now_us, id, &result);
  }
};
}

// Guards against an entry that waits for one dead member until the request's deadline, and against
// one that never uses its peers when its own link to the group is broken.
TEST_F (ClaimClient, TriesAllMembersThenRelays)
{
  fake.relays = 2;
  grant (1000 * MS);
  for (int64_t now = 100 * MS; now <= 600 * MS; now += 100 * MS)
    claim_client_tick (&client, now);
  EXPECT_EQ (fake.log.substr (0, 3), "123");
  EXPECT_NE (fake.log.find ('r'), std::string::npos);
  reply (650 * MS, 1, CLAIM_RESULT_GRANTED);
  EXPECT_EQ (results, std::vector<claim_result_type_t>{ CLAIM_RESULT_GRANTED });
  EXPECT_EQ (claim_client_pending_count (&client), 0u);
}

// Guards against a grant that nobody uses: the reply was lost, the caller was told "not run", and
// the key would stay blocked for the caller's resend.
TEST_F (ClaimClient, GivenUpClaimIsReleased)
{
  grant (150 * MS);
  claim_client_tick (&client, 100 * MS);
  claim_client_tick (&client, 150 * MS);
  EXPECT_EQ (results, std::vector<claim_result_type_t>{ CLAIM_RESULT_UNAVAILABLE });
  EXPECT_EQ (fake.last_type, CLAIM_COMMAND_RELEASE);
  EXPECT_EQ (claim_client_pending_count (&client), 1u);
  reply (200 * MS, fake.last_id, CLAIM_RESULT_RECORDED);
  EXPECT_EQ (claim_client_pending_count (&client), 0u);
}

// Guards against acting on an old grant after the process was stopped for longer than its validity.
TEST_F (ClaimClient, GrantAfterValidityIsReleased)
{
  uint64_t id = grant (60000 * MS);
  reply (2000 * MS, id, CLAIM_RESULT_GRANTED);
  EXPECT_EQ (results, std::vector<claim_result_type_t>{ CLAIM_RESULT_UNAVAILABLE });
  EXPECT_EQ (fake.last_type, CLAIM_COMMAND_RELEASE);
}

// Guards against a message loop between members that name each other as leader.
TEST_F (ClaimClient, StaleHintsDoNotLoop)
{
  uint64_t id = grant (1000 * MS);
  for (int i = 0; i < 50; i++)
    reply (MS, id, CLAIM_RESULT_NOT_LEADER, i % 2 ? "127.0.0.1:1" : "127.0.0.1:2");
  EXPECT_EQ (fake.log, "121");
  reply (2 * MS, id, CLAIM_RESULT_GRANTED);
  EXPECT_EQ (results.size (), 1u);
}

// Guards against a callback for a caller that has gone, and against a claim left behind.
TEST_F (ClaimClient, CancelReleasesWithoutCallback)
{
  uint64_t id = grant (1000 * MS);
  claim_client_cancel (&client, 10 * MS, id);
  reply (20 * MS, id, CLAIM_RESULT_GRANTED);
  EXPECT_TRUE (results.empty ());
  EXPECT_EQ (fake.last_type, CLAIM_COMMAND_RELEASE);
}

// Guards against calls that each wait for a dead member first: after its failure the leader
// answered without a hint, and bookings fell to 70 a second.
TEST_F (ClaimClient, StartsWithTheMemberThatAnswered)
{
  uint64_t id = grant (1000 * MS);
  claim_client_tick (&client, 100 * MS);
  reply (110 * MS, id, CLAIM_RESULT_GRANTED);
  fake.log.clear ();
  claim_client_request_grant (&client, 200 * MS, key, nonce, digest, 1000 * MS, 1000, collect,
                              &results);
  EXPECT_EQ (fake.log, "2");
}

// Guards against a key that stays blocked: a delayed "in progress" reply ends the call although a
// later copy of its claim was granted (found by ClaimFaults with seed 5355).
TEST_F (ClaimClient, InProgressAfterSeveralAttemptsReleases)
{
  uint64_t id = grant (1000 * MS);
  claim_client_tick (&client, 100 * MS);
  reply (110 * MS, id, CLAIM_RESULT_IN_PROGRESS);
  EXPECT_EQ (results, std::vector<claim_result_type_t>{ CLAIM_RESULT_IN_PROGRESS });
  EXPECT_EQ (fake.last_type, CLAIM_COMMAND_RELEASE);
}

// Guards against an outcome that is lost because the first member did not answer.
TEST_F (ClaimClient, OutcomeIsRetried)
{
  claim_client_record_outcome (&client, 0, key, nonce, 201, nullptr, nullptr, collect, &results);
  claim_client_tick (&client, 100 * MS);
  claim_client_tick (&client, 200 * MS);
  EXPECT_EQ (fake.log, "123");
  reply (210 * MS, fake.last_id, CLAIM_RESULT_RECORDED);
  EXPECT_EQ (results, std::vector<claim_result_type_t>{ CLAIM_RESULT_RECORDED });
}
