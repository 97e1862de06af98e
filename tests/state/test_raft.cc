#include <gtest/gtest.h>

#include "raft_sim.h"

// A simulated group with an elected leader.
class Group : public RaftSim
{
public:
  explicit Group (int member_count, int voters = 0, bool small_snapshots = false)
      : RaftSim (1, member_count, small_snapshots)
  {
    bootstrap (voters > 0 ? voters : member_count);
    EXPECT_TRUE (run_until ([&] { return leader () >= 0; }, 5 * SECOND));
    run_for (SECOND);
  }
  raft_t *
  leader_raft ()
  {
    return &node (leader ()).raft;
  }
  int
  first_follower ()
  {
    return (leader () + 1) % member_count ();
  }
  int
  second_follower ()
  {
    return (leader () + 2) % member_count ();
  }

  void
  commit (int count)
  {
    uint64_t expected_acked = acked_count + count;
    for (int i = 0; i < count; i++)
      propose (leader (), "entry " + std::to_string (i));
    EXPECT_TRUE (run_until ([&] { return acked_count >= expected_acked; }, 5 * SECOND));
  }
  void
  isolate (int slot, bool outgoing, bool incoming)
  {
    for (int i = 0; i < member_count (); i++)
      {
        if (outgoing)
          cut_links.insert ({ slot, i });
        if (incoming)
          cut_links.insert ({ i, slot });
      }
  }
};

// Guards against a single-member group that waits for other members or loses acknowledged entries.
TEST (Raft, SingleMemberKeepsCommittedEntries)
{
  Group group (1);
  group.commit (30);
  EXPECT_TRUE (group.request_read (0));
  group.run_for (50 * MS);
  EXPECT_EQ (group.confirmed_reads, 1u);
  group.crash (0, true);
  ASSERT_TRUE (group.start (0));
  group.run_for (100 * MS);
  EXPECT_EQ (group.leader (), 0);
  // The configuration and the no-op entry of the first term come before the 30 entries.
  EXPECT_EQ (group.node (0).applied_index, 32u);
  EXPECT_EQ (group.violation, "");
}

// Guards against a restarted member that applies nothing until a leader is elected. After a power
// failure of all members, one that is alone applies the entries up to its saved committed index,
// which is saved every second.
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

// Guards against one sync for each entry of a batch.
TEST (Raft, ProposalsShareASync)
{
  Group group (3);
  uint64_t before = group.leader_raft ()->log.record_log.sync_count;
  group.commit (200);
  EXPECT_LE (group.leader_raft ()->log.record_log.sync_count - before, 3u);
}

// Guards against a leader that keeps its role although it receives no messages.
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

// Guards against a member that receives no messages and deposes a working leader. With the planted
// fault its pre-votes are sent as vote requests of a leadership transfer, which members answer
// although they have a leader: then the leader does change.
TEST (Raft, MemberThatCannotReceiveDoesNotDeposeTheLeader)
{
  for (bool plant_fault : { false, true })
    {
      Group group (3);
      uint64_t before = group.elections_won;
      group.isolate (group.first_follower (), false, true);
      uint64_t follower_id = group.node (group.first_follower ()).id;
      if (plant_fault)
        group.tamper = [follower_id] (raft_message_t &m) {
          bool request = m.from == follower_id && m.type == RAFT_VOTE;
          m.transfer = m.transfer || request;
          m.pre_vote = m.pre_vote && !request;
        };
      group.run_for (10 * SECOND);
      EXPECT_EQ (group.elections_won == before, !plant_fault);
    }
}

// Guards against a member that receives messages of all members but the leader, and gets elected.
TEST (Raft, MemberCutOffFromTheLeaderOnlyDoesNotDeposeIt)
{
  Group group (3);
  uint64_t before = group.elections_won;
  group.cut_links.insert ({ group.leader (), group.first_follower () });
  group.run_for (10 * SECOND);
  EXPECT_EQ (group.elections_won, before);
}

// One running member of a group of three. The test sends it the messages of the other two.
class IsolatedMember : public RaftSim
{
public:
  IsolatedMember () : RaftSim (1, 3, false)
  {
    bootstrap (3);
    crash (1, true);
    crash (2, true);
    tamper = [this] (raft_message_t &m) { last_sent = m; };
  }
  void
  receive (raft_message_type_t type, int from, uint64_t term, uint64_t index, uint64_t log_term,
           size_t entry_count = 0)
  {
    raft_entry_t entry = { term, RAFT_ENTRY_DATA, (const uint8_t *)"x", 1 };
    const raft_entry_t *entries[] = { &entry, &entry, &entry };
    raft_message_t m = { type, 7, node (from).id, node (0).id, 0, term, index, log_term };
    m.ok = true;
    m.commit_index = index;
    m.entries = entries;
    m.entry_count = entry_count;
    raft_receive (r, node (0).now (), &m);
    raft_flush (r, node (0).now ());
  }
  raft_t *r = &node (0).raft;
  raft_message_t last_sent = {};
};

// Guards against candidates that start the next election before the votes of the last one, which
// each take two syncs, can arrive, so that no leader is elected while the disks are slow.
TEST (Raft, LeaderIsElectedOnSlowDisks)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      RaftSim sim (seed, 3, false);
      sim.bootstrap (3);
      sim.sync_us = 150 * MS;
      ASSERT_TRUE (sim.run_until ([&] { return sim.leader () >= 0; }, 5 * SECOND)) << seed;
      sim.run_for (2 * SECOND);
      EXPECT_EQ (sim.elections_won, 1u) << seed;
    }
}

// Guards against a leader that counts entries of an earlier term as committed before one of its own
// term is (another leader could still replace them), or changes the membership before that.
TEST (Raft, EarlierTermsAreCommittedWithTheCurrentTerm)
{
  IsolatedMember member;
  raft_member_t added = { 999, false, "" };
  member.receive (RAFT_APPEND, 1, 5, 1, 1, 1);
  member.receive (RAFT_TIMEOUT_NOW, 1, 5, 0, 0);
  member.receive (RAFT_VOTE_REPLY, 2, 6, 0, 0);
  ASSERT_EQ (member.r->role, RAFT_LEADER);
  member.receive (RAFT_APPEND_REPLY, 2, 6, 2, 0);
  EXPECT_EQ (member.r->commit_index, 1u);
  EXPECT_FALSE (raft_add_member (member.r, member.node (0).now (), &added, nullptr));
  member.receive (RAFT_APPEND_REPLY, 2, 6, 3, 0);
  EXPECT_EQ (member.r->commit_index, 3u);
  EXPECT_TRUE (raft_add_member (member.r, member.node (0).now (), &added, nullptr));
}

// Guards against a follower that confirms entries of an earlier leader to a new leader.
TEST (Raft, FollowerConfirmsOnlyWhatItsLeaderSent)
{
  IsolatedMember member;
  member.receive (RAFT_APPEND, 1, 5, 1, 1, 3);
  EXPECT_EQ (member.last_sent.index, 4u);
  member.receive (RAFT_APPEND, 2, 6, 1, 1);
  EXPECT_TRUE (member.last_sent.ok && member.last_sent.type == RAFT_APPEND_REPLY);
  EXPECT_EQ (member.last_sent.index, 1u);
}

// Guards against a delayed snapshot that resets the state machine to an earlier state.
TEST (Raft, OlderSnapshotIsNotInstalled)
{
  IsolatedMember member;
  member.receive (RAFT_APPEND, 1, 5, 1, 1, 3);
  member.receive (RAFT_APPEND, 1, 5, 4, 5);
  EXPECT_EQ (member.r->applied, 4u);
  raft_snapshot_t snapshot = { 2, 5, member.r->applied_config };
  uint8_t state[16] = {};
  GByteArray *file = g_byte_array_new ();
  raft_snapshot_encode (&snapshot, state, sizeof (state), file);
  raft_message_t m = { RAFT_SNAPSHOT, 7, member.node (1).id, member.node (0).id, 0, 5, 2, 5 };
  m.data = file->data;
  m.size = m.total = file->len;
  raft_receive (member.r, member.node (0).now (), &m);
  g_byte_array_unref (file);
  EXPECT_TRUE (member.last_sent.ok && member.last_sent.type == RAFT_SNAPSHOT_REPLY);
  EXPECT_EQ (member.r->applied, 4u);
  EXPECT_EQ (member.node (0).applied_index, 4u);
}

// Guards against a log that conflicts with the snapshot after a crash between writing the snapshot
// and the log.
TEST (RaftLog, SnapshotReplacesConflictingLog)
{
  FakeDisk disk (1);
  segment_log_options_t options = { "g-log", 1000 };
  raft_entry_t entry = { 5, RAFT_ENTRY_DATA, (const uint8_t *)"x", 1 };
  raft_log_t log;
  ASSERT_TRUE (raft_log_open (&log, disk.store (), &options, 0, 0, nullptr));
  for (int i = 0; i < 6; i++)
    raft_log_append (&log, &entry, nullptr);
  ASSERT_TRUE (segment_log_sync (&log.record_log, nullptr));
  raft_log_close (&log);
  ASSERT_TRUE (raft_log_open (&log, disk.store (), &options, 3, 5, nullptr));
  EXPECT_EQ (raft_log_last_index (&log), 6u);
  raft_log_close (&log);
  ASSERT_TRUE (raft_log_open (&log, disk.store (), &options, 3, 9, nullptr));
  EXPECT_EQ (raft_log_last_index (&log), 3u);
  raft_log_close (&log);
}

// Guards against a vote that can be loaded after a failed sync of the directory but is not durable.
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

// Guards against a stale read from a leader that does not know of its successor. The clocks of the
// other members run three times as fast, since reads must not depend on clocks. With the planted
// fault, replies that confirm later rounds, the checker reports the stale read.
TEST (Raft, DeposedLeaderDoesNotAnswerReads)
{
  for (bool plant_fault : { false, true })
    {
      Group group (3);
      int old = group.leader ();
      if (plant_fault)
        group.tamper
            = [] (raft_message_t &m) { m.round += m.type == RAFT_APPEND_REPLY ? 1000000 : 0; };
      group.commit (1);
      group.isolate (old, true, true);
      group.node (group.first_follower ()).clock_rate
          = group.node (group.second_follower ()).clock_rate = 3;
      ASSERT_TRUE (group.run_until ([&] { return group.leader () != old; }, SECOND));
      group.commit (1);
      ASSERT_EQ (group.node (old).raft.role, RAFT_LEADER);
      ASSERT_TRUE (group.request_read (old));
      group.run_for (SECOND);
      EXPECT_EQ (group.confirmed_reads, plant_fault ? 1u : 0u);
      EXPECT_EQ (group.violation.find ("read misses") != std::string::npos, plant_fault);
    }
}

// Guards against a leadership transfer that takes an election timeout, as at the planned stop of a
// leader, and against a group that refuses proposals after it.
TEST (Raft, TransferNeedsNoElectionTimeout)
{
  Group group (3);
  int old = group.leader ();
  int64_t begin = group.time_us;
  group.propose (old, "before");
  ASSERT_TRUE (
      raft_transfer_leadership (group.leader_raft (), group.node (old).now (), 0, nullptr));
  EXPECT_FALSE (group.propose (old, "during"));
  EXPECT_TRUE (
      group.run_until ([&] { return group.leader () >= 0 && group.leader () != old; }, SECOND));
  EXPECT_LT (group.time_us - begin, 200 * MS);
  group.commit (1);
  EXPECT_EQ (group.violation, "");
}

// Guards against two membership changes at once, the removal of the leader, and a removal that
// leaves no majority.
TEST (Raft, UnsafeMembershipChangesAreRefused)
{
  Group group (3, 2);
  uint64_t only_follower = group.node (1 - group.leader ()).id;
  EXPECT_TRUE (group.add_member (2));
  EXPECT_FALSE (group.add_member (2));
  EXPECT_FALSE (group.remove_member (only_follower));
  EXPECT_TRUE (group.run_until ([&] { return group.is_voter (group.node (2).id); }, SECOND));
  EXPECT_FALSE (group.remove_member (group.leader_raft ()->meta.id));

  group.crash (2, true);
  group.run_for (SECOND);
  EXPECT_FALSE (group.remove_member (only_follower)); // the leader and a crashed voter would remain
  EXPECT_TRUE (group.remove_member (group.node (2).id));
}

// Guards against an instance that has created a group of its own, is added to another one and mixes
// the two logs.
TEST (Raft, InstanceWithItsOwnGroupDoesNotJoin)
{
  Group group (3, 2);
  raft_member_t self = { group.node (2).id, true, "" };
  ASSERT_TRUE (raft_bootstrap (&group.node (2).raft, group.node (2).now (), &self, 1, nullptr));
  uint64_t before = group.elections_won;
  EXPECT_TRUE (group.add_member (2));
  group.run_for (5 * SECOND);
  EXPECT_EQ (group.elections_won, before + 1); // the election in its own group
  EXPECT_EQ (group.node (2).raft.peer_count, 1u);
  EXPECT_FALSE (group.is_voter (group.node (2).id));
}

// Guards against a new member that counts towards the majority before it has the log. While its
// replies are lost, it stays a learner and the two voters commit entries without it.
TEST (Raft, LearnerBecomesVoterOnlyWhenCaughtUp)
{
  Group group (3, 2, true);
  group.commit (100);
  group.isolate (2, true, false);
  ASSERT_TRUE (group.add_member (2));
  group.run_for (5 * SECOND);
  EXPECT_TRUE (group.is_member (group.node (2).id));
  EXPECT_FALSE (group.is_voter (group.node (2).id));
  group.commit (5);
  group.cut_links.clear ();
  EXPECT_TRUE (group.run_until ([&] { return group.is_voter (group.node (2).id); }, 2 * SECOND));
  EXPECT_GT (group.node (2).raft.snapshot.index, 0u); // received in chunks of 128 bytes
  EXPECT_EQ (group.violation, "");
}

// Guards against a learner that was removed while it could not reply and still takes itself for a
// member with a leader, so that it never asks to join again.
TEST (Raft, RemovedLearnerForgetsItsLeader)
{
  Group group (3, 2);
  group.isolate (2, true, false);
  ASSERT_TRUE (group.add_member (2));
  group.run_for (SECOND);
  EXPECT_EQ (group.node (2).raft.leader_id, group.node (group.leader ()).id);
  ASSERT_TRUE (group.remove_member (group.node (2).id));
  group.cut_links.clear ();
  group.run_for (2 * SECOND);
  EXPECT_EQ (group.node (2).raft.leader_id, 0u);
  EXPECT_EQ (group.violation, "");
}

// Guards against an instance that votes under its old identity after it has lost its disk, and so
// votes twice in a term.
TEST (Raft, LostDiskGetsANewIdentity)
{
  Group group (3);
  group.commit (5);
  int slot = group.first_follower ();
  uint64_t old = group.node (slot).id;
  group.lose_disk (slot);
  ASSERT_TRUE (group.start (slot));
  EXPECT_NE (group.node (slot).id, old);
  group.crash (group.second_follower (), true);
  EXPECT_FALSE (group.run_until ([&] { return group.leader () < 0; }, 200 * MS));
  group.run_for (5 * SECOND);
  EXPECT_EQ (group.leader (), -1); // one voter of three is left
  for (int i = 0; i < group.member_count (); i++)
    group.start (i);
  ASSERT_TRUE (group.run_until ([&] { return group.leader () >= 0; }, 5 * SECOND));
  group.run_for (SECOND);
  EXPECT_TRUE (group.remove_member (old));
  group.run_for (SECOND);
  EXPECT_TRUE (group.add_member (slot));
  group.check_recovery ();
  EXPECT_TRUE (group.is_voter (group.node (slot).id));
  EXPECT_EQ (group.violation, "");
}

// Guards against a leader with a full disk that blocks the group, and against acknowledgements that
// count its unsynced entries.
TEST (Raft, LeaderWithFullDiskHandsOver)
{
  Group group (3);
  int old = group.leader ();
  group.node (old).disk.capacity_bytes = 0;
  group.propose (old, "does not fit");
  EXPECT_TRUE (
      group.run_until ([&] { return group.leader () >= 0 && group.leader () != old; }, 3 * SECOND));
  group.commit (5);
  group.check_recovery ();
  EXPECT_EQ (group.violation, "");
}

// Guards against a member that keeps working after a failed sync.
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
  EXPECT_FALSE (group.request_read (node.slot));
}

// Guards against fields that are lost in encoding, and against crashes on damaged messages.
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
          std::string damaged = bytes.substr (0, bytes.size () - rng_uniform_int (&rng, 3));
          damaged[rng_uniform_int (&rng, damaged.size ())] = (char)rng_next (&rng);
          if (raft_wire_decode (&decoded, (const uint8_t *)damaged.data (), damaged.size (),
                                nullptr))
            raft_wire_destroy (&decoded);
        }
    }
}
