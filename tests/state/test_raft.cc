#include <gtest/gtest.h>

#include "raft_sim.h"

// A group that has a leader.
class Group : public RaftSim
{
public:
  explicit Group (int slots, int voters = 0, bool small_snapshots = false)
      : RaftSim (1, slots, small_snapshots)
  {
    boot (voters > 0 ? voters : slots);
    EXPECT_TRUE (run_until ([&] { return leader () >= 0; }, 5 * SECOND));
    run_for (SECOND);
  }
  raft_t *
  lead ()
  {
    return &node (leader ()).raft;
  }
  int
  follower ()
  {
    return (leader () + 1) % slots ();
  }
  int
  other ()
  {
    return (leader () + 2) % slots ();
  }

  void
  commit (int count)
  {
    uint64_t goal = acked + count;
    for (int i = 0; i < count; i++)
      propose (leader (), "entry " + std::to_string (i));
    EXPECT_TRUE (run_until ([&] { return acked >= goal; }, 5 * SECOND));
  }
  void
  isolate (int slot, bool outgoing, bool incoming)
  {
    for (int i = 0; i < slots (); i++)
      {
        if (outgoing)
          cuts.insert ({ slot, i });
        if (incoming)
          cuts.insert ({ i, slot });
      }
  }
};

// Guards against a single instance that waits for others, and against losing what it acknowledged.
TEST (Raft, GroupOfOne)
{
  Group group (1);
  group.commit (30);
  EXPECT_TRUE (group.read (0));
  group.run_for (50 * MS);
  EXPECT_EQ (group.reads_ok, 1u);
  group.crash (0, true);
  ASSERT_TRUE (group.start (0));
  group.run_for (100 * MS);
  EXPECT_EQ (group.leader (), 0);
  EXPECT_EQ (group.node (0).applied_index, 32u); // behind the members and the begin of the term
  EXPECT_EQ (group.violation, "");
}

// Guards against a restarted member that knows nothing until a leader is elected: after a power
// failure of all, one that is alone applies what was committed a second before.
TEST (Raft, RestartedMemberAppliesWhatWasCommitted)
{
  Group group (3);
  group.commit (30);
  group.run_for (2 * SECOND);
  uint64_t committed = group.node (0).applied_index;
  ASSERT_GE (committed, 30u);
  for (int i = 0; i < 3; i++)
    group.crash (i, true);
  ASSERT_TRUE (group.start (0));
  group.run_for (40 * MS);
  EXPECT_EQ (group.node (0).applied_index, committed);
  EXPECT_EQ (group.leader (), -1);
  EXPECT_EQ (group.violation, "");
}

// Guards against a member that does not start, or applies too much, because the file with the
// committed index is damaged.
TEST (Raft, DamagedCommittedIndexIsNotUsed)
{
  Group group (3);
  group.commit (30);
  group.run_for (2 * SECOND);
  for (int i = 0; i < 3; i++)
    group.crash (i, true);
  std::string file = std::string (group.node (0).raft.options.name) + "-commit";
  const uint8_t damaged[] = { 1, 2, 3 };
  ASSERT_TRUE (file_replace (group.node (0).disk.store (), file.c_str (), damaged, sizeof (damaged),
                             nullptr));
  ASSERT_TRUE (group.start (0));
  group.run_for (40 * MS);
  EXPECT_EQ (group.node (0).applied_index, 0u);
  EXPECT_EQ (group.violation, "");
}

// Guards against one sync per entry.
TEST (Raft, ProposalsShareASync)
{
  Group group (3);
  uint64_t before = group.lead ()->log.segments.sync_count;
  group.commit (200);
  EXPECT_LE (group.lead ()->log.segments.sync_count - before, 3u);
}

// Guards against a leader that keeps its role although it hears nobody.
TEST (Raft, LeaderThatCannotReceiveStepsDown)
{
  Group group (3);
  int old = group.leader ();
  group.isolate (old, false, true);
  EXPECT_TRUE (group.run_until (
      [&] { return group.node (old).raft.role != RAFT_LEADER && group.leader () >= 0; },
      3 * SECOND));
  group.commit (3);
  EXPECT_EQ (group.violation, "");
}

// Guards against a member that deposes a working leader because it cannot hear it. With the
// pre-vote replaced by a plain vote request that everyone answers, the leader does change.
TEST (Raft, MemberThatCannotReceiveDoesNotDeposeTheLeader)
{
  for (bool planted : { false, true })
    {
      Group group (3);
      uint64_t before = group.leaders;
      group.isolate (group.follower (), false, true);
      uint64_t deaf = group.node (group.follower ()).id;
      if (planted)
        group.tamper = [deaf] (raft_message_t &m) {
          bool request = m.from == deaf && m.type == RAFT_VOTE;
          m.transfer = m.transfer || request;
          m.pre_vote = m.pre_vote && !request;
        };
      group.run_for (10 * SECOND);
      EXPECT_EQ (group.leaders == before, !planted);
    }
}

// Guards against a member that cannot hear the leader, but the others, and has itself elected.
TEST (Raft, MemberCutOffFromTheLeaderOnlyDoesNotDeposeIt)
{
  Group group (3);
  uint64_t before = group.leaders;
  group.cuts.insert ({ group.leader (), group.follower () });
  group.run_for (10 * SECOND);
  EXPECT_EQ (group.leaders, before);
}

// One member of three, which gets messages from the test instead of the others.
class Lone : public RaftSim
{
public:
  Lone () : RaftSim (1, 3, false)
  {
    boot (3);
    crash (1, true);
    crash (2, true);
    tamper = [this] (raft_message_t &m) { last = m; };
  }
  void
  feed (raft_message_type_t type, int from, uint64_t term, uint64_t index, uint64_t log_term,
        size_t entry_count = 0)
  {
    raft_entry_t entry = { term, RAFT_ENTRY_DATA, (const uint8_t *)"x", 1 };
    const raft_entry_t *entries[] = { &entry, &entry, &entry };
    raft_message_t m = { type, 7, node (from).id, node (0).id, 0, term, index, log_term };
    m.ok = true;
    m.commit = index;
    m.entries = entries;
    m.entry_count = entry_count;
    raft_receive (r, node (0).now (), &m);
    raft_flush (r, node (0).now ());
  }
  raft_t *r = &node (0).raft;
  raft_message_t last = {};
};

// Guards against entries of an earlier term that count as committed before one of the own term is
// (another leader could still replace them), and against a membership change before that.
TEST (Raft, EarlierTermsAreCommittedWithTheOwnTerm)
{
  Lone lone;
  raft_member_t added = { 999, false, "" };
  lone.feed (RAFT_APPEND, 1, 5, 1, 1, 1);
  lone.feed (RAFT_TIMEOUT_NOW, 1, 5, 0, 0);
  lone.feed (RAFT_VOTE_REPLY, 2, 6, 0, 0);
  ASSERT_EQ (lone.r->role, RAFT_LEADER);
  lone.feed (RAFT_APPEND_REPLY, 2, 6, 2, 0);
  EXPECT_EQ (lone.r->commit, 1u);
  EXPECT_FALSE (raft_add_member (lone.r, lone.node (0).now (), &added, nullptr));
  lone.feed (RAFT_APPEND_REPLY, 2, 6, 3, 0);
  EXPECT_EQ (lone.r->commit, 3u);
  EXPECT_TRUE (raft_add_member (lone.r, lone.node (0).now (), &added, nullptr));
}

// Guards against a follower that confirms entries of an earlier leader to a new one.
TEST (Raft, FollowerConfirmsOnlyWhatItsLeaderSent)
{
  Lone lone;
  lone.feed (RAFT_APPEND, 1, 5, 1, 1, 3);
  EXPECT_EQ (lone.last.index, 4u);
  lone.feed (RAFT_APPEND, 2, 6, 1, 1);
  EXPECT_TRUE (lone.last.ok && lone.last.type == RAFT_APPEND_REPLY);
  EXPECT_EQ (lone.last.index, 1u);
}

// Guards against a late snapshot that takes the state machine back.
TEST (Raft, OlderSnapshotIsNotInstalled)
{
  Lone lone;
  lone.feed (RAFT_APPEND, 1, 5, 1, 1, 3);
  lone.feed (RAFT_APPEND, 1, 5, 4, 5);
  EXPECT_EQ (lone.r->applied, 4u);
  raft_snapshot_t snapshot = { 2, 5, lone.r->applied_config };
  uint8_t state[16] = {};
  GByteArray *file = g_byte_array_new ();
  raft_snapshot_encode (&snapshot, state, sizeof (state), file);
  raft_message_t m = { RAFT_SNAPSHOT, 7, lone.node (1).id, lone.node (0).id, 0, 5, 2, 5 };
  m.data = file->data;
  m.size = m.total = file->len;
  raft_receive (lone.r, lone.node (0).now (), &m);
  g_byte_array_unref (file);
  EXPECT_TRUE (lone.last.ok && lone.last.type == RAFT_SNAPSHOT_REPLY);
  EXPECT_EQ (lone.r->applied, 4u);
  EXPECT_EQ (lone.node (0).applied_index, 4u);
}

// Guards against a log that contradicts the snapshot after a crash between the two writes.
TEST (RaftLog, SnapshotReplacesAContradictingLog)
{
  FakeDisk disk (1);
  segment_log_options_t options = { "g-log", 1000 };
  raft_entry_t entry = { 5, RAFT_ENTRY_DATA, (const uint8_t *)"x", 1 };
  raft_log_t log;
  ASSERT_TRUE (raft_log_open (&log, disk.store (), &options, 0, 0, nullptr));
  for (int i = 0; i < 6; i++)
    raft_log_append (&log, &entry, nullptr);
  ASSERT_TRUE (segment_log_sync (&log.segments, nullptr));
  raft_log_close (&log);
  ASSERT_TRUE (raft_log_open (&log, disk.store (), &options, 3, 5, nullptr));
  EXPECT_EQ (raft_log_last_index (&log), 6u);
  raft_log_close (&log);
  ASSERT_TRUE (raft_log_open (&log, disk.store (), &options, 3, 9, nullptr));
  EXPECT_EQ (raft_log_last_index (&log), 3u);
  raft_log_close (&log);
}

// Guards against a vote that is visible after a failed sync of the directory, but not durable.
TEST (RaftStore, LoadedVoteIsDurable)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      FakeDisk disk (seed);
      raft_meta_t meta;
      ASSERT_TRUE (raft_meta_load (disk.store (), "g", 9, &meta, nullptr));
      meta.vote = 77;
      disk.fail_sync_in = 2; // the file, then the directory
      ASSERT_FALSE (raft_meta_save (disk.store (), "g", &meta, nullptr));
      raft_meta_t loaded, again;
      ASSERT_TRUE (raft_meta_load (disk.store (), "g", 9, &loaded, nullptr));
      disk.crash ();
      ASSERT_TRUE (raft_meta_load (disk.store (), "g", 9, &again, nullptr));
      EXPECT_EQ (loaded.vote, again.vote) << seed;
    }
}

// Guards against an old answer from a leader that does not know of its successor, whatever the
// clocks do: the others run three times as fast. A planted count of replies shows that the checker
// sees such a read.
TEST (Raft, DeposedLeaderDoesNotAnswerReads)
{
  for (bool planted : { false, true })
    {
      Group group (3);
      int old = group.leader ();
      if (planted)
        group.tamper
            = [] (raft_message_t &m) { m.round += m.type == RAFT_APPEND_REPLY ? 1000000 : 0; };
      group.commit (1);
      group.isolate (old, true, true);
      group.node (group.follower ()).rate = group.node (group.other ()).rate = 3;
      ASSERT_TRUE (group.run_until ([&] { return group.leader () != old; }, SECOND));
      group.commit (1);
      ASSERT_EQ (group.node (old).raft.role, RAFT_LEADER);
      ASSERT_TRUE (group.read (old));
      group.run_for (SECOND);
      EXPECT_EQ (group.reads_ok, planted ? 1u : 0u);
      EXPECT_EQ (group.violation.find ("read misses") != std::string::npos, planted);
    }
}

// Guards against a planned stop that costs an election timeout, or refuses work afterwards.
TEST (Raft, TransferOfLeadership)
{
  Group group (3);
  int old = group.leader ();
  int64_t begin = group.time_us;
  group.propose (old, "before");
  ASSERT_TRUE (raft_transfer_leadership (group.lead (), group.node (old).now (), 0, nullptr));
  EXPECT_FALSE (group.propose (old, "during"));
  EXPECT_TRUE (
      group.run_until ([&] { return group.leader () >= 0 && group.leader () != old; }, SECOND));
  EXPECT_LT (group.time_us - begin, 200 * MS);
  group.commit (1);
  EXPECT_EQ (group.violation, "");
}

// Guards against two changes at once, and against a removal that leaves no majority.
TEST (Raft, MembershipChangesAreRefused)
{
  Group group (3, 2);
  uint64_t only_follower = group.node (1 - group.leader ()).id;
  EXPECT_TRUE (group.add (2));
  EXPECT_FALSE (group.add (2));
  EXPECT_FALSE (group.remove (only_follower));
  EXPECT_TRUE (group.run_until ([&] { return group.is_voter (group.node (2).id); }, SECOND));
  EXPECT_FALSE (group.remove (group.lead ()->meta.id));

  group.crash (2, true);
  group.run_for (SECOND);
  EXPECT_FALSE (group.remove (only_follower)); // the leader and a dead voter would remain
  EXPECT_TRUE (group.remove (group.node (2).id));
}

// Guards against an instance with a group of its own that is added and mixes two histories.
TEST (Raft, InstanceOfAnotherGroupIsNotMixedIn)
{
  Group group (3, 2);
  raft_member_t self = { group.node (2).id, true, "" };
  ASSERT_TRUE (raft_bootstrap (&group.node (2).raft, group.node (2).now (), &self, 1, nullptr));
  uint64_t before = group.leaders;
  EXPECT_TRUE (group.add (2));
  group.run_for (5 * SECOND);
  EXPECT_EQ (group.leaders, before + 1); // its own
  EXPECT_EQ (group.node (2).raft.peer_count, 1u);
  EXPECT_FALSE (group.is_voter (group.node (2).id));
}

// Guards against a new member that counts before it has the log: while it cannot answer, the two
// voters go on, and it does not become one.
TEST (Raft, LearnerCountsOnlyWhenCaughtUp)
{
  Group group (3, 2, true);
  group.commit (100);
  group.isolate (2, true, false);
  ASSERT_TRUE (group.add (2));
  group.run_for (5 * SECOND);
  EXPECT_TRUE (group.is_member (group.node (2).id));
  EXPECT_FALSE (group.is_voter (group.node (2).id));
  group.commit (5);
  group.cuts.clear ();
  EXPECT_TRUE (group.run_until ([&] { return group.is_voter (group.node (2).id); }, 2 * SECOND));
  EXPECT_GT (group.node (2).raft.snapshot.index, 0u); // it came in chunks of 128 bytes
  EXPECT_EQ (group.violation, "");
}

// Guards against an instance that votes under its old identity after it has lost its disk.
TEST (Raft, LostDiskGetsANewIdentity)
{
  Group group (3);
  group.commit (5);
  int slot = group.follower ();
  uint64_t old = group.node (slot).id;
  group.lose_disk (slot);
  ASSERT_TRUE (group.start (slot));
  EXPECT_NE (group.node (slot).id, old);
  group.crash (group.other (), true);
  EXPECT_FALSE (group.run_until ([&] { return group.leader () < 0; }, 200 * MS));
  group.run_for (5 * SECOND);
  EXPECT_EQ (group.leader (), -1); // one voter of three is left
  for (int i = 0; i < group.slots (); i++)
    group.start (i);
  ASSERT_TRUE (group.run_until ([&] { return group.leader () >= 0; }, 5 * SECOND));
  group.run_for (SECOND);
  EXPECT_TRUE (group.remove (old));
  group.run_for (SECOND);
  EXPECT_TRUE (group.add (slot));
  group.settle ();
  EXPECT_TRUE (group.is_voter (group.node (slot).id));
  EXPECT_EQ (group.violation, "");
}

// Guards against a leader with a full disk that blocks the group, and against acknowledgements that
// count its unsynced log.
TEST (Raft, LeaderWithFullDiskHandsOver)
{
  Group group (3);
  int old = group.leader ();
  group.node (old).disk.capacity = 0;
  group.propose (old, "does not fit");
  EXPECT_TRUE (
      group.run_until ([&] { return group.leader () >= 0 && group.leader () != old; }, 3 * SECOND));
  group.commit (5);
  group.settle ();
  EXPECT_EQ (group.violation, "");
}

// Guards against a member that goes on after a failed sync.
TEST (Raft, FailedSyncStopsTheMember)
{
  Group group (3);
  SimNode &node = group.node (group.leader ());
  node.disk.fail_sync_in = 1;
  group.propose (node.slot, "lost");
  raft_flush (&node.raft, node.now ());
  ASSERT_NE (raft_failure (&node.raft), nullptr);
  EXPECT_EQ (node.raft.role, RAFT_FOLLOWER);
  EXPECT_FALSE (group.propose (node.slot, "refused"));
  EXPECT_FALSE (group.read (node.slot));
}

// Guards against crashes on damaged messages, and against fields that get lost.
TEST (RaftWire, RoundTripAndMutations)
{
  raft_entry_t entry = { 3, RAFT_ENTRY_DATA, (const uint8_t *)"data", 4 };
  const raft_entry_t *entries[] = { &entry, &entry };
  for (int type = RAFT_VOTE; type <= RAFT_TIMEOUT_NOW; type++)
    {
      raft_message_t m = { (raft_message_type_t)type, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11 };
      m.ok = m.pre_vote = m.transfer = true;
      m.entries = entries;
      m.entry_count = 2;
      m.data = (const uint8_t *)"chunk";
      m.size = 5;
      wire_writer_t first, second;
      raft_wire_encode (&m, &first);
      raft_wire_message_t decoded;
      std::string bytes (first.buffer.data, first.buffer.size);
      ASSERT_TRUE (
          raft_wire_decode (&decoded, (const uint8_t *)bytes.data (), bytes.size (), nullptr));
      EXPECT_EQ (decoded.message.type, type);
      raft_wire_encode (&decoded.message, &second);
      EXPECT_EQ (bytes, std::string (second.buffer.data, second.buffer.size));
      raft_wire_destroy (&decoded);
      wire_writer_destroy (&first);
      wire_writer_destroy (&second);

      rng_t rng;
      rng_init (&rng, 5);
      for (int round = 0; round < 3000; round++)
        {
          std::string damaged = bytes.substr (0, bytes.size () - rng_below (&rng, 3));
          damaged[rng_below (&rng, damaged.size ())] = (char)rng_next (&rng);
          if (raft_wire_decode (&decoded, (const uint8_t *)damaged.data (), damaged.size (),
                                nullptr))
            raft_wire_destroy (&decoded);
        }
    }
}
