#include "raft_internal.h"

#include <inttypes.h>

#define LOG_MODULE "raft_replication"
#include "log.h"

/* A member with this many unconfirmed entries is sent no further ones. */
#define MAX_UNCONFIRMED_ENTRIES 8192

bool
raft_replication_in_contact (const raft_t *r, const raft_peer_t *peer, int64_t now_us)
{
  return peer->member.id == r->meta.id
         || now_us - peer->last_reply_us < r->options.min_election_timeout_us;
}

bool
raft_replication_append (raft_t *r, raft_entry_type_t type, const uint8_t *data, size_t size,
                         anv_error_t *err)
{
  raft_entry_t entry = { .term = r->meta.term, .type = type, .data = data, .size = size };
  anv_error_t local = { 0 };
  if (raft_log_append (&r->log, &entry, &local))
    return true;
  raft_handle_storage_error (r, &local);
  if (err != NULL)
    {
      *err = local;
      anv_error_wrap (err, ANV_ERROR_RAFT, RAFT_ERROR_STORAGE, "cannot append");
    }
  return false;
}

void
raft_become_leader (raft_t *r, int64_t now_us)
{
  for (size_t i = 0; i < r->peer_count; i++)
    {
      raft_peer_t *peer = &r->peers[i];
      *peer = (raft_peer_t){ .member = peer->member, .last_reply_us = now_us, .probing = true };
      peer->next_index = raft_log_last_index (&r->log) + 1;
    }
  raft_set_role (r, RAFT_LEADER, r->meta.id);
  r->leading_since_us = now_us;
  r->transferee = 0;
  r->round_due = true;
  r->term_start_index = raft_log_last_index (&r->log) + 1;
  raft_replication_append (r, RAFT_ENTRY_NOOP, NULL, 0, NULL);
}

bool
raft_replication_has_quorum (const raft_t *r, int64_t now_us)
{
  size_t in_contact_count = 0;
  for (size_t i = 0; i < r->peer_count; i++)
    in_contact_count
        += r->peers[i].member.voter && raft_replication_in_contact (r, &r->peers[i], now_us);
  return in_contact_count >= raft_quorum_size (r);
}

void
raft_replication_tick (raft_t *r, int64_t now_us)
{
  if (!raft_replication_has_quorum (r, now_us))
    {
      LOG_NOTICE ("stepping down without contact to a majority group=%s term=%" PRIu64,
                  r->options.name, r->meta.term);
      raft_become_follower (r, now_us, r->meta.term, 0);
      return;
    }
  if (now_us - r->round_sent_us >= r->options.heartbeat_interval_us)
    r->round_due = true;
}

/* Collects the entries of one message, from PEER's next one on. Returns their number. */
static size_t
collect_entries (const raft_t *r, const raft_peer_t *peer, const raft_entry_t **entries)
{
  size_t count = 0;
  size_t bytes = 0;
  uint64_t index = peer->next_index;
  while (count < RAFT_MAX_BATCH_ENTRIES && bytes < r->options.max_batch_bytes)
    {
      const raft_entry_t *entry = raft_log_get_entry (&r->log, index);
      if (entry == NULL || (count > 0 && bytes + entry->size > r->options.max_batch_bytes))
        break;
      entries[count++] = entry;
      bytes += entry->size;
      index++;
    }
  return count;
}

/* Sends PEER one RAFT_APPEND, with the entries that are due, or a snapshot chunk if the log no
 * longer has them. */
static void
send_append (raft_t *r, int64_t now_us, raft_peer_t *peer)
{
  const raft_entry_t *entries[RAFT_MAX_BATCH_ENTRIES];
  raft_message_t m = { .type = RAFT_APPEND, .round = r->round, .commit_index = r->commit_index };
  if (peer->snapshot_index != 0 || !raft_log_get_term (&r->log, peer->next_index - 1, &m.log_term))
    {
      raft_snapshot_send (r, now_us, peer);
      return;
    }
  m.index = peer->next_index - 1;
  m.entries = entries;
  if (peer->next_index <= peer->match_index + MAX_UNCONFIRMED_ENTRIES || peer->probing)
    m.entry_count = collect_entries (r, peer, entries);
  peer->last_sent_us = now_us;
  if (!peer->probing)
    peer->next_index += m.entry_count;
  raft_send (r, peer->member.id, &m);
}

/* Returns whether PEER may be sent another message before the next round. */
static bool
can_send (const raft_t *r, const raft_peer_t *peer, int64_t now_us)
{
  if (peer->probing || peer->snapshot_index != 0)
    return now_us - peer->last_sent_us >= r->options.heartbeat_interval_us;
  return peer->next_index <= raft_log_last_index (&r->log)
         && peer->next_index <= peer->match_index + MAX_UNCONFIRMED_ENTRIES;
}

void
raft_replication_send_appends (raft_t *r, int64_t now_us)
{
  bool send_to_all = r->round_due;
  if (send_to_all)
    {
      r->round++;
      r->round_due = false;
      r->round_sent_us = now_us;
    }
  for (size_t i = 0; i < r->peer_count; i++)
    {
      raft_peer_t *peer = &r->peers[i];
      if (peer->member.id == r->meta.id)
        continue;
      if (send_to_all)
        send_append (r, now_us, peer);
      while (can_send (r, peer, now_us))
        send_append (r, now_us, peer);
    }
}

void
raft_replication_advance_commit (raft_t *r)
{
  raft_peer_t *self = raft_find_peer (r, r->meta.id);
  if (self != NULL)
    self->match_index = r->log.record_log.synced_index;
  for (size_t i = 0; i < r->peer_count; i++)
    {
      uint64_t index = r->peers[i].match_index;
      size_t synced_voter_count = 0;
      for (size_t j = 0; j < r->peer_count; j++)
        synced_voter_count += r->peers[j].member.voter && r->peers[j].match_index >= index;
      /* An entry of an earlier term is committed only together with one of this term, since another
       * leader could still replace it although a majority has it. */
      if (synced_voter_count >= raft_quorum_size (r) && index > r->commit_index
          && index >= r->term_start_index)
        r->commit_index = index;
    }
}

void
raft_replication_send_reply (raft_t *r)
{
  if (!r->reply_due || r->role != RAFT_FOLLOWER || r->leader_id == 0)
    return;
  r->reply_due = false;
  raft_message_t reply = { .type = RAFT_APPEND_REPLY, .ok = true, .round = r->reply_round };
  reply.index = MIN (MAX (r->leader_match_index, r->commit_index), r->log.record_log.synced_index);
  raft_send (r, r->leader_id, &reply);
}

static void
send_append_rejection (raft_t *r, const raft_message_t *m)
{
  uint64_t retry_index = MIN (m->index, raft_log_last_index (&r->log) + 1);
  uint64_t conflicting_term = 0;
  if (raft_log_get_term (&r->log, retry_index, &conflicting_term))
    {
      /* Skips all entries of the conflicting term at once. */
      uint64_t term = conflicting_term;
      while (retry_index > r->commit_index + 1
             && raft_log_get_term (&r->log, retry_index - 1, &term) && term == conflicting_term)
        retry_index--;
    }
  raft_message_t reply = { .type = RAFT_APPEND_REPLY, .round = m->round, .index = retry_index };
  raft_send (r, m->from, &reply);
}

/* Stores ENTRY at INDEX unless the log has it. First removes a conflicting entry at INDEX and all
 * later ones. */
static bool
store_entry (raft_t *r, int64_t now_us, uint64_t index, const raft_entry_t *entry)
{
  uint64_t term = 0;
  anv_error_t err = { 0 };
  bool present = raft_log_get_term (&r->log, index, &term);
  if (index <= r->commit_index && present && term != entry->term)
    {
      /* A disk has lost synced data, here or on a majority of the other members. */
      anv_error_set (&err, ANV_ERROR_RAFT, RAFT_ERROR_STATE,
                     "the leader contradicts committed entry %" PRIu64, index);
      raft_handle_storage_error (r, &err);
      return false;
    }
  if (index <= r->commit_index)
    return true;
  if (present && term == entry->term)
    return true;
  bool ok = !present || raft_log_truncate (&r->log, index, &err);
  ok = ok && raft_log_append (&r->log, entry, &err);
  if (!ok)
    raft_handle_storage_error (r, &err);
  if (present || entry->type == RAFT_ENTRY_CONFIG)
    raft_membership_reload (r, now_us);
  return ok;
}

static bool
has_matching_prefix (const raft_t *r, const raft_message_t *m)
{
  uint64_t term = 0;
  if (m->index <= r->commit_index)
    return true;
  return raft_log_get_term (&r->log, m->index, &term) && term == m->log_term;
}

void
raft_replication_on_append (raft_t *r, int64_t now_us, const raft_message_t *m)
{
  if (r->role == RAFT_LEADER)
    return;
  if (r->role != RAFT_FOLLOWER || r->leader_id != m->from)
    raft_become_follower (r, now_us, m->term, m->from);
  r->last_leader_message_us = now_us;
  raft_election_reset_timeout (r, now_us);
  if (!has_matching_prefix (r, m))
    {
      send_append_rejection (r, m);
      return;
    }
  uint64_t index = m->index;
  for (size_t i = 0; i < m->entry_count; i++)
    {
      if (!store_entry (r, now_us, ++index, m->entries[i]))
        return;
    }
  r->leader_match_index = MAX (r->leader_match_index, index);
  r->commit_index = MAX (r->commit_index, MIN (m->commit_index, r->leader_match_index));
  r->reply_round = r->reply_due ? MAX (r->reply_round, m->round) : m->round;
  r->reply_due = true;
}

void
raft_replication_on_append_reply (raft_t *r, int64_t now_us, const raft_message_t *m)
{
  raft_peer_t *peer = raft_find_peer (r, m->from);
  if (r->role != RAFT_LEADER || peer == NULL || m->term != r->meta.term)
    return;
  peer->last_reply_us = now_us;
  peer->acked_round = MAX (peer->acked_round, m->round);
  if (!m->ok)
    {
      if (m->index <= peer->match_index || m->index > peer->next_index)
        return;
      peer->next_index = m->index;
      peer->probing = true;
      /* The next flush sends at once, not after a heartbeat interval. */
      peer->last_sent_us = now_us - r->options.heartbeat_interval_us;
      return;
    }
  peer->match_index = MAX (peer->match_index, m->index);
  peer->next_index = MAX (peer->next_index, peer->match_index + 1);
  peer->probing = false;
}
