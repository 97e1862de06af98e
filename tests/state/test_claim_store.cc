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
  command (claim_command_type_t type, char nonce, char body = 'b', uint64_t advance_ms = 0)
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
  grant_after (char nonce, uint32_t generation)
  {
    claim_command_t c = command (CLAIM_COMMAND_GRANT, nonce);
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
  complete (char nonce, const char *text)
  {
    claim_command_t c = command (CLAIM_COMMAND_OUTCOME, nonce);
    c.status = 201;
    c.body = g_bytes_new (text, strlen (text));
    claim_result_type_t type = apply (c);
    claim_command_clear (&c);
    return type;
  }
};
}

// Guards against a second dispatch: the right is given to one attempt only, and the same attempt
// gets the same answer again when the reply was lost.
TEST_F (ClaimStore, GrantsOnce)
{
  EXPECT_EQ (apply (command (CLAIM_COMMAND_GRANT, '1')), CLAIM_RESULT_GRANTED);
  EXPECT_EQ (apply (command (CLAIM_COMMAND_GRANT, '1')), CLAIM_RESULT_GRANTED);
  EXPECT_EQ (apply (command (CLAIM_COMMAND_GRANT, '2')), CLAIM_RESULT_IN_PROGRESS);
  EXPECT_EQ (apply (command (CLAIM_COMMAND_GRANT, '2', 'b', 1000)), CLAIM_RESULT_UNKNOWN);
  EXPECT_EQ (apply (command (CLAIM_COMMAND_GRANT, '3', 'b', 50000)), CLAIM_RESULT_UNKNOWN);
}

// Guards against running a request again whose answer is on record.
TEST_F (ClaimStore, ReplaysRecordedAnswer)
{
  std::string body;
  apply (command (CLAIM_COMMAND_GRANT, '1'));
  EXPECT_EQ (complete ('1', "booked"), CLAIM_RESULT_RECORDED);
  EXPECT_EQ (complete ('1', "other"), CLAIM_RESULT_RECORDED);
  EXPECT_EQ (apply (command (CLAIM_COMMAND_GRANT, '2'), &body), CLAIM_RESULT_COMPLETED);
  EXPECT_EQ (body, "booked");
  EXPECT_EQ (apply (command (CLAIM_COMMAND_RELEASE, '1')), CLAIM_RESULT_REJECTED);
}

// Guards against a reused key that silently returns the answer of another request.
TEST_F (ClaimStore, OtherBodyIsRefused)
{
  apply (command (CLAIM_COMMAND_GRANT, '1', 'x'));
  EXPECT_EQ (apply (command (CLAIM_COMMAND_GRANT, '2', 'y')), CLAIM_RESULT_MISMATCH);
  complete ('1', "booked");
  EXPECT_EQ (apply (command (CLAIM_COMMAND_GRANT, '2', 'y')), CLAIM_RESULT_MISMATCH);
}

// Guards against a lost booking (a released claim stays blocked) and against a delayed copy of an
// earlier claim that takes the right although its attempt has ended (found by ClaimFaults with
// seeds 2480 and 2759).
TEST_F (ClaimStore, ReleaseAllowsNewAttemptOnly)
{
  apply (command (CLAIM_COMMAND_GRANT, '1'));
  EXPECT_EQ (apply (command (CLAIM_COMMAND_GRANT, '2')), CLAIM_RESULT_IN_PROGRESS);
  EXPECT_EQ (apply (command (CLAIM_COMMAND_RELEASE, '9')), CLAIM_RESULT_RECORDED);
  EXPECT_EQ (apply (command (CLAIM_COMMAND_GRANT, '2')), CLAIM_RESULT_IN_PROGRESS);
  EXPECT_EQ (apply (command (CLAIM_COMMAND_RELEASE, '1')), CLAIM_RESULT_RECORDED);
  EXPECT_EQ (apply (command (CLAIM_COMMAND_GRANT, '1')), CLAIM_RESULT_STALE);
  EXPECT_EQ (apply (command (CLAIM_COMMAND_GRANT, '2')), CLAIM_RESULT_STALE);
  EXPECT_EQ (complete ('1', "late"), CLAIM_RESULT_REJECTED);
  EXPECT_EQ (apply (grant_after ('3', 1)), CLAIM_RESULT_GRANTED);
  EXPECT_EQ (apply (command (CLAIM_COMMAND_RELEASE, '3')), CLAIM_RESULT_RECORDED);
  EXPECT_EQ (apply (grant_after ('3', 1)), CLAIM_RESULT_STALE);
  EXPECT_EQ (apply (grant_after ('4', 2)), CLAIM_RESULT_GRANTED);
}

// Guards against a grant for an attempt that was given up before its claim arrived.
TEST_F (ClaimStore, ReleaseMayOvertakeClaim)
{
  EXPECT_EQ (apply (command (CLAIM_COMMAND_RELEASE, '1')), CLAIM_RESULT_RECORDED);
  EXPECT_EQ (apply (command (CLAIM_COMMAND_GRANT, '1')), CLAIM_RESULT_STALE);
  EXPECT_EQ (apply (command (CLAIM_COMMAND_RELEASE, '2')), CLAIM_RESULT_RECORDED);
  EXPECT_EQ (apply (grant_after ('2', 1)), CLAIM_RESULT_STALE);
  EXPECT_EQ (apply (grant_after ('2', 2)), CLAIM_RESULT_GRANTED);
}

// Guards against records that never go away and against records that go before their retention.
TEST_F (ClaimStore, RetentionCountsFromLastChange)
{
  apply (command (CLAIM_COMMAND_GRANT, '1'));
  apply (command (CLAIM_COMMAND_GRANT, '1', 'b', 90000));
  complete ('1', "booked");
  EXPECT_EQ (apply (command (CLAIM_COMMAND_GRANT, '2', 'b', 99999)), CLAIM_RESULT_COMPLETED);
  EXPECT_EQ (apply (command (CLAIM_COMMAND_GRANT, '2', 'b', 1)), CLAIM_RESULT_GRANTED);
  EXPECT_EQ (claim_store_count (&store), 1u);
  EXPECT_EQ (store.answer_bytes, 0u);
}

// Guards against state that is lost or changed by a snapshot, which would allow a second run.
TEST_F (ClaimStore, SnapshotKeepsEverything)
{
  apply (command (CLAIM_COMMAND_GRANT, '1'));
  complete ('1', "booked");
  claim_command_t second = command (CLAIM_COMMAND_GRANT, '5');
  second.key[0] = 'z';
  apply (second);
  GByteArray *bytes = claim_store_snapshot (&store);
  claim_store_t copy;
  claim_store_init (&copy);
  ASSERT_TRUE (claim_store_restore (&copy, bytes->data, bytes->len, nullptr));
  GByteArray *again = claim_store_snapshot (&copy);
  ASSERT_EQ (again->len, bytes->len);
  EXPECT_EQ (memcmp (again->data, bytes->data, bytes->len), 0);
  claim_state_t state;
  ASSERT_TRUE (claim_store_lookup (&copy, second.key, &state));
  EXPECT_EQ (state, CLAIM_STATE_GRANTED);
  g_byte_array_unref (again);
  claim_store_destroy (&copy);
  g_byte_array_unref (bytes);
}

// Guards against a half-loaded store: a damaged snapshot must leave the store as it was.
TEST_F (ClaimStore, DamagedSnapshotIsRefused)
{
  apply (command (CLAIM_COMMAND_GRANT, '1'));
  GByteArray *bytes = claim_store_snapshot (&store);
  for (guint cut = 0; cut < bytes->len; cut++)
    EXPECT_FALSE (claim_store_restore (&store, bytes->data, cut, nullptr));
  EXPECT_EQ (claim_store_count (&store), 1u);
  g_byte_array_unref (bytes);
}
