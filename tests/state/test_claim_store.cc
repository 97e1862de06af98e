#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C"
{
#include "claim_store.h"
}

namespace
{
class ClaimStore : public ::testing::Test
{
protected:
  claim_store_t store;

  void
  SetUp () override
  {
    claim_store_init (&store);
  }

  void
  TearDown () override
  {
    claim_store_destroy (&store);
  }

  claim_command_t
  make_command (claim_command_type_t type, char nonce, char body = 'b', uint64_t advance_ms = 0)
  {
    claim_command_t c = {};
    c.type = type;
    memset (c.key, 'k', sizeof (c.key));
    memset (c.nonce, nonce, sizeof (c.nonce));
    memset (c.body_digest, body, sizeof (c.body_digest));
    c.in_progress_timeout_ms = 1000;
    c.retention_ms = 100000;
    c.advance_ms = advance_ms;
    return c;
  }

  claim_command_t
  make_grant_with_generation (char nonce, uint32_t generation)
  {
    claim_command_t c = make_command (CLAIM_COMMAND_GRANT, nonce);
    c.generation = generation;
    return c;
  }

  claim_result_type_t
  apply (const claim_command_t &c, std::string *body = nullptr)
  {
    claim_result_t result;
    claim_store_apply (&store, &c, &result);
    claim_result_type_t type = result.type;
    if (body != nullptr && result.body != nullptr)
      {
        gsize size = 0;
        const char *data = (const char *)g_bytes_get_data (result.body, &size);
        body->assign (data, size);
      }
    claim_result_clear (&result);
    return type;
  }

  claim_result_type_t
  record_outcome (char nonce, const char *text)
  {
    claim_command_t c = make_command (CLAIM_COMMAND_OUTCOME, nonce);
    c.status = 201;
    c.body = g_bytes_new (text, strlen (text));
    claim_result_type_t type = apply (c);
    claim_command_clear (&c);
    return type;
  }
};
}

// Guards against a second dispatch: the claim is granted to one attempt only. That attempt gets the
// same result again if the reply was lost.
TEST_F (ClaimStore, GrantsOnce)
{
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_GRANT, '1')), CLAIM_RESULT_GRANTED);
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_GRANT, '1')), CLAIM_RESULT_GRANTED);
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_GRANT, '2')), CLAIM_RESULT_IN_PROGRESS);
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_GRANT, '2', 'b', 1000)), CLAIM_RESULT_UNKNOWN);
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_GRANT, '3', 'b', 50000)), CLAIM_RESULT_UNKNOWN);
}

// Guards against dispatching a request again whose answer is recorded.
TEST_F (ClaimStore, ReplaysRecordedAnswer)
{
  std::string body;
  apply (make_command (CLAIM_COMMAND_GRANT, '1'));
  EXPECT_EQ (record_outcome ('1', "booked"), CLAIM_RESULT_RECORDED);
  EXPECT_EQ (record_outcome ('1', "other"), CLAIM_RESULT_RECORDED);
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_GRANT, '2'), &body), CLAIM_RESULT_COMPLETED);
  EXPECT_EQ (body, "booked");
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_RELEASE, '1')), CLAIM_RESULT_REJECTED);
}

// Guards against returning the answer of another request that used the same key.
TEST_F (ClaimStore, ReusedKeyWithOtherBodyIsRefused)
{
  apply (make_command (CLAIM_COMMAND_GRANT, '1', 'x'));
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_GRANT, '2', 'y')), CLAIM_RESULT_MISMATCH);
  record_outcome ('1', "booked");
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_GRANT, '2', 'y')), CLAIM_RESULT_MISMATCH);
}

// Guards against a released claim that stays blocked, so that the request is never run, and against
// a delayed copy of an earlier claim that is granted although its attempt has ended (found by
// ClaimFaults with seeds 2480 and 2759).
TEST_F (ClaimStore, ReleaseAllowsNewAttemptOnly)
{
  apply (make_command (CLAIM_COMMAND_GRANT, '1'));
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_GRANT, '2')), CLAIM_RESULT_IN_PROGRESS);
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_RELEASE, '9')), CLAIM_RESULT_RECORDED);
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_GRANT, '2')), CLAIM_RESULT_IN_PROGRESS);
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_RELEASE, '1')), CLAIM_RESULT_RECORDED);
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_GRANT, '1')), CLAIM_RESULT_STALE);
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_GRANT, '2')), CLAIM_RESULT_STALE);
  EXPECT_EQ (record_outcome ('1', "late"), CLAIM_RESULT_REJECTED);
  EXPECT_EQ (apply (make_grant_with_generation ('3', 1)), CLAIM_RESULT_GRANTED);
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_RELEASE, '3')), CLAIM_RESULT_RECORDED);
  EXPECT_EQ (apply (make_grant_with_generation ('3', 1)), CLAIM_RESULT_STALE);
  EXPECT_EQ (apply (make_grant_with_generation ('4', 2)), CLAIM_RESULT_GRANTED);
}

// Guards against a grant for an attempt that was abandoned before its claim arrived.
TEST_F (ClaimStore, ReleaseMayOvertakeClaim)
{
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_RELEASE, '1')), CLAIM_RESULT_RECORDED);
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_GRANT, '1')), CLAIM_RESULT_STALE);
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_RELEASE, '2')), CLAIM_RESULT_RECORDED);
  EXPECT_EQ (apply (make_grant_with_generation ('2', 1)), CLAIM_RESULT_STALE);
  EXPECT_EQ (apply (make_grant_with_generation ('2', 2)), CLAIM_RESULT_GRANTED);
}

// Guards against records that never expire, and against records that expire before their retention
// time.
TEST_F (ClaimStore, RetentionCountsFromLastChange)
{
  apply (make_command (CLAIM_COMMAND_GRANT, '1'));
  apply (make_command (CLAIM_COMMAND_GRANT, '1', 'b', 90000));
  record_outcome ('1', "booked");
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_GRANT, '2', 'b', 99999)), CLAIM_RESULT_COMPLETED);
  EXPECT_EQ (apply (make_command (CLAIM_COMMAND_GRANT, '2', 'b', 1)), CLAIM_RESULT_GRANTED);
  EXPECT_EQ (claim_store_count (&store), 1u);
  EXPECT_EQ (store.answer_bytes, 0u);
}

// Guards against state that is lost or changed by a snapshot, which would allow a second dispatch.
TEST_F (ClaimStore, SnapshotRoundTripKeepsAllRecords)
{
  apply (make_command (CLAIM_COMMAND_GRANT, '1'));
  record_outcome ('1', "booked");
  claim_command_t other_command = make_command (CLAIM_COMMAND_GRANT, '5');
  other_command.key[0] = 'z';
  apply (other_command);
  GByteArray *snapshot = claim_store_snapshot (&store);
  claim_store_t copy;
  claim_store_init (&copy);
  ASSERT_TRUE (claim_store_restore (&copy, snapshot->data, snapshot->len, nullptr));
  GByteArray *copy_snapshot = claim_store_snapshot (&copy);
  ASSERT_EQ (copy_snapshot->len, snapshot->len);
  EXPECT_EQ (memcmp (copy_snapshot->data, snapshot->data, snapshot->len), 0);
  claim_state_t state;
  ASSERT_TRUE (claim_store_lookup (&copy, other_command.key, &state));
  EXPECT_EQ (state, CLAIM_STATE_GRANTED);
  g_byte_array_unref (copy_snapshot);
  claim_store_destroy (&copy);
  g_byte_array_unref (snapshot);
}

// Guards against a partly restored store: a truncated snapshot must leave the store unchanged.
TEST_F (ClaimStore, DamagedSnapshotIsRefused)
{
  apply (make_command (CLAIM_COMMAND_GRANT, '1'));
  GByteArray *snapshot = claim_store_snapshot (&store);
  for (guint truncated_size = 0; truncated_size < snapshot->len; truncated_size++)
    EXPECT_FALSE (claim_store_restore (&store, snapshot->data, truncated_size, nullptr));
  EXPECT_EQ (claim_store_count (&store), 1u);
  g_byte_array_unref (snapshot);
}
