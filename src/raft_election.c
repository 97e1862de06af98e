#include "raft_internal.h"

#include <inttypes.h>

#define LOG_MODULE "raft_election"
#include "log.h"

void
raft_election_reset (raft_t *r, int64_t now_us)
{
  int64_t spread = (int64_t)rng_below (&r->rng, (uint64_t)r->options.election_us);
  r->election_deadline_us = now_us + r->options.election_us + spread;
}

bool
raft_election_leader_alive (const raft_t *r, int64_t now_us)
{
  /* A leader that has lost contact to the majority steps down by itself. */
  if (r->role == RAFT_LEADER)
    return true;
  return r->leader != 0 && now_us - r->leader_heard_us < r->options.election_us;
}

static void
clear_votes (raft_t *r)
{
  for (size_t i = 0; i < r->peer_count; i++)
    r->peers[i].granted = r->peers[i].member.id == r->meta.id;
}

static bool
has_majority (const raft_t *r)
{
  size_t votes = 0;
  for (size_t i = 0; i < r->peer_count; i++)
    votes += r->peers[i].granted && r->peers[i].member.voter;
  return votes >= raft_majority (r);
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

/* A voter that heard the leader a little later ignores a request, and two candidates can split the
 * votes; neither should cost another election timeout. */
static void
retry_soon (raft_t *r, int64_t now_us)
{
  uint64_t spread = rng_below (&r->rng, 2 * (uint64_t)r->options.heartbeat_us);
  r->election_deadline_us = now_us + r->options.heartbeat_us + (int64_t)spread;
}

static void
start_election (raft_t *r, int64_t now_us, bool transfer)
{
  if (!raft_persist (r, r->meta.term + 1, r->meta.id))
    {
      raft_become_follower (r, now_us, r->meta.term, 0);
      return;
    }
  retry_soon (r, now_us);
  r->verified = 0;
  r->reply_due = false;
  clear_votes (r);
  raft_set_role (r, RAFT_CANDIDATE, 0);
  if (has_majority (r))
    raft_replication_lead (r, now_us);
  else
    request_votes (r, false, transfer);
}

static void
start_pre_vote (raft_t *r, int64_t now_us)
{
  retry_soon (r, now_us);
  clear_votes (r);
  raft_set_role (r, RAFT_PRE_CANDIDATE, 0);
  if (has_majority (r))
    start_election (r, now_us, false);
  else
    request_votes (r, true, false);
}

void
raft_election_tick (raft_t *r, int64_t now_us)
{
  if (!raft_is_voter (r))
    return;
  /* A group of one has nobody to wait for. */
  bool alone = raft_majority (r) == 1;
  if (!alone && now_us < r->election_deadline_us)
    return;
  start_pre_vote (r, now_us);
}

static bool
is_up_to_date (const raft_t *r, const raft_message_t *m)
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
  bool grant = is_up_to_date (r, m);
  if (m->pre_vote)
    grant = grant && m->term > r->meta.term;
  else
    grant = grant && (r->meta.vote == 0 || r->meta.vote == m->from);

  /* The vote must survive a crash before the candidate may count it. */
  if (grant && !m->pre_vote && r->meta.vote == 0)
    {
      if (!raft_persist (r, r->meta.term, m->from))
        return;
      raft_election_reset (r, now_us);
    }
  reply.ok = grant;
  reply.term = grant ? m->term : r->meta.term;
  raft_send (r, m->from, &reply);
}

void
raft_election_on_vote_reply (raft_t *r, int64_t now_us, const raft_message_t *m)
{
  raft_peer_t *peer = raft_peer (r, m->from);
  raft_role_t role = m->pre_vote ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE;
  uint64_t term = r->meta.term + m->pre_vote;
  if (peer == NULL || !m->ok || r->role != role || m->term != term)
    return;
  peer->granted = true;
  if (!has_majority (r))
    return;
  if (m->pre_vote)
    start_election (r, now_us, false);
  else
    raft_replication_lead (r, now_us);
}

void
raft_election_on_timeout_now (raft_t *r, int64_t now_us, const raft_message_t *m)
{
  if (m->term != r->meta.term || m->from != r->leader || !raft_is_voter (r))
    return;
  start_election (r, now_us, true);
}

static raft_peer_t *
best_successor (raft_t *r, int64_t now_us)
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
raft_transfer (raft_t *r, int64_t now_us, uint64_t id, anv_error_t *err)
{
  if (r->failed || r->role != RAFT_LEADER)
    {
      anv_error_set (err, ANV_ERROR_RAFT, RAFT_ERROR_NOT_LEADER, "not the leader");
      return false;
    }
  const raft_peer_t *peer = id != 0 ? raft_peer (r, id) : best_successor (r, now_us);
  if (peer == NULL || !peer->member.voter || peer->member.id == r->meta.id)
    {
      anv_error_set (err, ANV_ERROR_RAFT, RAFT_ERROR_MEMBER, "no other voter to lead");
      return false;
    }
  r->transfer_to = peer->member.id;
  r->transfer_sent_us = 0;
  r->transfer_deadline_us = now_us + r->options.election_us;
  return true;
}

void
raft_transfer_continue (raft_t *r, int64_t now_us)
{
  if (r->transfer_to == 0)
    return;
  const raft_peer_t *peer = raft_peer (r, r->transfer_to);
  if (peer == NULL || now_us >= r->transfer_deadline_us)
    {
      LOG_NOTICE ("leadership transfer ended without success group=%s", r->options.name);
      r->transfer_to = 0;
      return;
    }
  bool waiting = r->transfer_sent_us != 0 && now_us - r->transfer_sent_us < r->options.heartbeat_us;
  if (waiting || peer->match_index < raft_log_last_index (&r->log))
    return;
  raft_message_t m = { .type = RAFT_TIMEOUT_NOW };
  raft_send (r, r->transfer_to, &m);
  r->transfer_sent_us = now_us;
}
