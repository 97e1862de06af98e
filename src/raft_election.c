#include "raft_internal.h"

#include <inttypes.h>

#define LOG_MODULE "raft_election"
#include "log.h"

void
raft_election_reset_timeout (raft_t *r, int64_t now_us)
{
  int64_t random_us
      = (int64_t)rng_uniform_int (&r->rng, (uint64_t)r->options.min_election_timeout_us);
  r->election_deadline_us = now_us + r->options.min_election_timeout_us + random_us;
  r->election_started = false;
}

bool
raft_election_has_live_leader (const raft_t *r, int64_t now_us)
{
  /* A leader that has lost contact with the majority steps down in raft_replication_tick(). */
  if (r->role == RAFT_LEADER)
    return true;
  return r->leader_id != 0
         && now_us - r->last_leader_message_us < r->options.min_election_timeout_us;
}

static void
reset_votes (raft_t *r)
{
  for (size_t i = 0; i < r->peer_count; i++)
    r->peers[i].vote_granted = r->peers[i].member.id == r->meta.id;
}

static bool
has_vote_quorum (const raft_t *r)
{
  size_t vote_count = 0;
  for (size_t i = 0; i < r->peer_count; i++)
    vote_count += r->peers[i].vote_granted && r->peers[i].member.voter;
  return vote_count >= raft_quorum_size (r);
}

static void
request_votes (raft_t *r, bool pre_vote, bool transfer)
{
  for (size_t i = 0; i < r->peer_count; i++)
    {
      const raft_member_t *member = &r->peers[i].member;
      if (!member->voter || member->id == r->meta.id)
        continue;
      raft_message_t m = {
        .type = RAFT_VOTE,
        .term = r->meta.term + pre_vote,
        .index = raft_log_last_index (&r->log),
        .log_term = raft_log_last_term (&r->log),
        .pre_vote = pre_vote,
        .transfer = transfer,
      };
      raft_send (r, member->id, &m);
    }
}

/* The interval between elections doubles up to this many times. */
#define MAX_RETRY_DOUBLINGS 4

/* Schedules the next pre-vote in one to three heartbeat intervals, not after an election timeout. A
 * voter that heard from the leader later than this member ignores the request, and candidates can
 * split the votes; neither should delay the election by another timeout. From the second election
 * on the interval doubles, because a new election invalidates the votes of the last one, which come
 * late from slow disks. */
static void
schedule_election_retry (raft_t *r, int64_t now_us)
{
  unsigned doublings = r->failed_election_count > 0 ? r->failed_election_count - 1 : 0;
  int64_t interval_us = r->options.heartbeat_interval_us << MIN (doublings, MAX_RETRY_DOUBLINGS);
  uint64_t random_us = rng_uniform_int (&r->rng, 2 * (uint64_t)interval_us);
  r->election_deadline_us = now_us + interval_us + (int64_t)random_us;
}

static void
start_election (raft_t *r, int64_t now_us, bool transfer)
{
  if (!raft_save_term_and_vote (r, r->meta.term + 1, r->meta.id))
    {
      raft_become_follower (r, now_us, r->meta.term, 0);
      return;
    }
  /* NOW_US is older than the syncs of the term and vote, so the next tick schedules the retry. */
  r->election_started = true;
  r->failed_election_count++;
  r->leader_match_index = 0;
  r->reply_due = false;
  reset_votes (r);
  raft_set_role (r, RAFT_CANDIDATE, 0);
  if (has_vote_quorum (r))
    raft_become_leader (r, now_us);
  else
    request_votes (r, false, transfer);
}

static void
start_pre_vote (raft_t *r, int64_t now_us)
{
  schedule_election_retry (r, now_us);
  reset_votes (r);
  raft_set_role (r, RAFT_PRE_CANDIDATE, 0);
  if (has_vote_quorum (r))
    start_election (r, now_us, false);
  else
    request_votes (r, true, false);
}

void
raft_election_tick (raft_t *r, int64_t now_us)
{
  if (!raft_is_voter (r))
    {
      /* A learner starts no election. It forgets a silent leader, so that its owner can find out
       * whether it has been removed. */
      if (r->leader_id != 0 && now_us >= r->election_deadline_us)
        raft_set_role (r, RAFT_FOLLOWER, 0);
      return;
    }
  /* A single voter need not wait for a leader's messages. */
  bool single_voter = raft_quorum_size (r) == 1;
  if (r->election_started)
    {
      r->election_started = false;
      schedule_election_retry (r, now_us);
      return;
    }
  if (!single_voter && now_us < r->election_deadline_us)
    return;
  start_pre_vote (r, now_us);
}

bool
raft_election_is_up_to_date (const raft_t *r, const raft_message_t *m)
{
  uint64_t last_term = raft_log_last_term (&r->log);
  if (m->log_term != last_term)
    return m->log_term > last_term;
  return m->index >= raft_log_last_index (&r->log);
}

void
raft_election_on_vote (raft_t *r, int64_t now_us, const raft_message_t *m)
{
  raft_message_t reply = { .type = RAFT_VOTE_REPLY, .pre_vote = m->pre_vote };
  bool grant = raft_election_is_up_to_date (r, m);
  if (m->pre_vote)
    grant = grant && m->term > r->meta.term;
  else
    grant = grant && (r->meta.vote == 0 || r->meta.vote == m->from);

  /* The vote must be durable before the candidate may count it. */
  if (grant && !m->pre_vote && r->meta.vote == 0)
    {
      if (!raft_save_term_and_vote (r, r->meta.term, m->from))
        return;
      raft_election_reset_timeout (r, now_us);
    }
  reply.ok = grant;
  reply.term = grant ? m->term : r->meta.term;
  raft_send (r, m->from, &reply);
}

void
raft_election_on_vote_reply (raft_t *r, int64_t now_us, const raft_message_t *m)
{
  raft_peer_t *peer = raft_find_peer (r, m->from);
  raft_role_t role = m->pre_vote ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE;
  uint64_t term = r->meta.term + m->pre_vote;
  if (peer == NULL || !m->ok || r->role != role || m->term != term)
    return;
  peer->vote_granted = true;
  if (!has_vote_quorum (r))
    return;
  if (m->pre_vote)
    start_election (r, now_us, false);
  else
    raft_become_leader (r, now_us);
}

void
raft_election_on_timeout_now (raft_t *r, int64_t now_us, const raft_message_t *m)
{
  if (m->term != r->meta.term || m->from != r->leader_id || !raft_is_voter (r))
    return;
  start_election (r, now_us, true);
}

/* Returns the voter in contact with the longest synced log, or NULL. */
static raft_peer_t *
find_transferee (raft_t *r, int64_t now_us)
{
  raft_peer_t *best = NULL;
  for (size_t i = 0; i < r->peer_count; i++)
    {
      raft_peer_t *peer = &r->peers[i];
      if (peer->member.id == r->meta.id || !peer->member.voter
          || !raft_replication_in_contact (r, peer, now_us))
        continue;
      if (best == NULL || peer->match_index > best->match_index)
        best = peer;
    }
  return best;
}

bool
raft_transfer_leadership (raft_t *r, int64_t now_us, uint64_t id, anv_error_t *err)
{
  if (r->failed || r->role != RAFT_LEADER)
    {
      anv_error_set (err, ANV_ERROR_RAFT, RAFT_ERROR_NOT_LEADER, "not the leader");
      return false;
    }
  const raft_peer_t *peer = id != 0 ? raft_find_peer (r, id) : find_transferee (r, now_us);
  if (peer == NULL || !peer->member.voter || peer->member.id == r->meta.id)
    {
      anv_error_set (err, ANV_ERROR_RAFT, RAFT_ERROR_MEMBER, "no other voter to lead");
      return false;
    }
  r->transferee = peer->member.id;
  r->timeout_now_sent_us = 0;
  r->transfer_deadline_us = now_us + r->options.min_election_timeout_us;
  return true;
}

void
raft_continue_transfer (raft_t *r, int64_t now_us)
{
  if (r->transferee == 0)
    return;
  const raft_peer_t *peer = raft_find_peer (r, r->transferee);
  if (peer == NULL || now_us >= r->transfer_deadline_us)
    {
      LOG_NOTICE ("leadership transfer failed group=%s", r->options.name);
      r->transferee = 0;
      return;
    }
  bool awaiting_election = r->timeout_now_sent_us != 0
                           && now_us - r->timeout_now_sent_us < r->options.heartbeat_interval_us;
  if (awaiting_election || peer->match_index < raft_log_last_index (&r->log))
    return;
  raft_message_t m = { .type = RAFT_TIMEOUT_NOW };
  raft_send (r, r->transferee, &m);
  r->timeout_now_sent_us = now_us;
}
