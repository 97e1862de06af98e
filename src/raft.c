#include "raft.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "raft_internal.h"

#define LOG_MODULE "raft"
#include "log.h"

#define LOG_NAME_SIZE 128
/* Each save costs two syncs. After a restart, entries committed since the last save are applied
 * only once a leader confirms them. */
#define COMMIT_SAVE_INTERVAL_US INT64_C (1000000)

const char *
raft_role_name (raft_role_t role)
{
  static const char *const names[] = { "follower", "pre-candidate", "candidate", "leader" };
  return names[role];
}

void
raft_handle_storage_error (raft_t *r, const anv_error_t *err)
{
  if (err->domain == ANV_ERROR_STORAGE && err->code == STORAGE_ERROR_FULL)
    {
      if (!r->disk_full)
        LOG_WARNING ("disk full group=%s", r->options.name);
      r->disk_full = true;
      return;
    }
  if (r->failed)
    return;
  LOG_ERROR ("member stopped group=%s: %s", r->options.name, err->text);
  r->failed = true;
  r->failure = *err;
  raft_set_role (r, RAFT_FOLLOWER, 0);
  raft_read_abort (r);
}

bool
raft_save_term_and_vote (raft_t *r, uint64_t term, uint64_t vote)
{
  raft_meta_t meta = { .id = r->meta.id, .term = term, .vote = vote };
  anv_error_t err = { 0 };
  if (!raft_meta_save (r->io->store, r->options.name, &meta, &err))
    {
      raft_handle_storage_error (r, &err);
      return false;
    }
  r->meta = meta;
  return true;
}

void
raft_set_role (raft_t *r, raft_role_t role, uint64_t leader)
{
  if (r->role == role && r->leader_id == leader)
    return;
  r->role = role;
  r->leader_id = leader;
  if (leader != 0)
    r->failed_election_count = 0;
  LOG_DEBUG ("role=%s group=%s term=%" PRIu64 " leader=%016" PRIx64, raft_role_name (role),
             r->options.name, r->meta.term, leader);
  if (r->io->ops->role_changed != NULL)
    r->io->ops->role_changed (r->io, role, r->meta.term, leader);
}

static void
follow (raft_t *r, int64_t now_us, uint64_t leader)
{
  if (r->role != RAFT_FOLLOWER)
    raft_election_reset_timeout (r, now_us);
  raft_read_abort (r);
  r->transferee = 0;
  g_clear_pointer (&r->outgoing_snapshot, g_byte_array_unref);
  raft_set_role (r, RAFT_FOLLOWER, leader);
}

bool
raft_enter_term (raft_t *r, int64_t now_us, uint64_t term, uint64_t vote)
{
  if (!raft_save_term_and_vote (r, term, vote))
    return false;
  r->leader_match_index = 0;
  r->reply_due = false;
  follow (r, now_us, 0);
  /* Once for each vote: a candidate that repeats its request must not delay other elections. */
  if (vote != 0)
    raft_election_reset_timeout (r, now_us);
  return true;
}

bool
raft_become_follower (raft_t *r, int64_t now_us, uint64_t term, uint64_t leader)
{
  if (term > r->meta.term && !raft_enter_term (r, now_us, term, 0))
    return false;
  follow (r, now_us, leader);
  return true;
}

void
raft_send (raft_t *r, uint64_t to, raft_message_t *message)
{
  message->group = r->options.group;
  message->from = r->meta.id;
  message->to = to;
  message->founder_id = r->founder_id;
  if (message->term == 0)
    message->term = r->meta.term;
  r->io->ops->send (r->io, message);
}

raft_peer_t *
raft_find_peer (raft_t *r, uint64_t id)
{
  for (size_t i = 0; i < r->peer_count; i++)
    {
      if (r->peers[i].member.id == id)
        return &r->peers[i];
    }
  return NULL;
}

bool
raft_is_voter (raft_t *r)
{
  const raft_peer_t *self = raft_find_peer (r, r->meta.id);
  return self != NULL && self->member.voter;
}

size_t
raft_quorum_size (const raft_t *r)
{
  size_t voter_count = 0;
  for (size_t i = 0; i < r->peer_count; i++)
    voter_count += r->peers[i].member.voter;
  return voter_count / 2 + 1;
}

static bool
load_files (raft_t *r, anv_error_t *err)
{
  char log_name[LOG_NAME_SIZE];
  const char *name = r->options.name;
  snprintf (log_name, sizeof (log_name), "%s-log", name);
  segment_log_options_t options
      = { .name = g_intern_string (log_name), .min_segment_bytes = r->options.min_segment_bytes };
  return raft_meta_load (r->io->store, name, r->options.new_id, &r->meta, err)
         && raft_snapshot_load (r, err)
         && raft_log_open (&r->log, r->io->store, &options, r->snapshot.index, r->snapshot.term,
                           err);
}

/* Returns the index up to which the log is known to be committed. */
static uint64_t
load_commit (raft_t *r)
{
  anv_error_t err = { 0 };
  if (!raft_commit_load (r->io->store, r->options.name, &r->saved_commit_index, &err))
    LOG_WARNING ("cannot read the commit index, waiting for a leader group=%s: %s", r->options.name,
                 err.text);
  return CLAMP (r->saved_commit_index, r->snapshot.index, raft_log_last_index (&r->log));
}

bool
raft_init (raft_t *r, const raft_options_t *options, raft_io_t *io, int64_t now_us,
           anv_error_t *err)
{
  memset (r, 0, sizeof (*r));
  r->options = *options;
  r->io = io;
  r->reads = g_array_new (FALSE, FALSE, sizeof (raft_read_t));
  r->incoming_snapshot = g_byte_array_new ();
  if (!load_files (r, err))
    {
      if (err != NULL)
        anv_error_wrap (err, err->domain, err->code, "group %s cannot start", options->name);
      raft_destroy (r);
      return false;
    }
  rng_init (&r->rng, options->seed ^ r->meta.id);
  r->commit_index = load_commit (r);
  r->applied = r->snapshot.index;
  r->applied_config = r->snapshot.config;
  r->last_leader_message_us = now_us - options->min_election_timeout_us;
  raft_membership_reload (r, now_us);
  raft_election_reset_timeout (r, now_us);
  return true;
}

void
raft_destroy (raft_t *r)
{
  if (r->log.entries != NULL)
    raft_log_close (&r->log);
  g_clear_pointer (&r->reads, g_array_unref);
  g_clear_pointer (&r->incoming_snapshot, g_byte_array_unref);
  g_clear_pointer (&r->outgoing_snapshot, g_byte_array_unref);
}

static void
reply_to_stale_message (raft_t *r, const raft_message_t *m)
{
  /* The reply tells the sender the current term. */
  raft_message_t reply = { .round = m->round, .pre_vote = m->pre_vote };
  if (m->type == RAFT_VOTE)
    reply.type = RAFT_VOTE_REPLY;
  else if (m->type == RAFT_APPEND || m->type == RAFT_SNAPSHOT)
    reply.type = RAFT_APPEND_REPLY;
  else
    return;
  raft_send (r, m->from, &reply);
}

/* Returns whether M may raise the term. A pre-vote and a reply that grants it carry a term that may
 * never start; a reply that rejects it carries the current term of its sender. */
static bool
may_raise_term (const raft_message_t *m)
{
  if (m->pre_vote)
    return m->type == RAFT_VOTE_REPLY && !m->ok;
  return true;
}

static void
handle_message (raft_t *r, int64_t now_us, const raft_message_t *m)
{
  switch (m->type)
    {
    case RAFT_VOTE:
      raft_election_on_vote (r, now_us, m);
      break;
    case RAFT_VOTE_REPLY:
      raft_election_on_vote_reply (r, now_us, m);
      break;
    case RAFT_APPEND:
      raft_replication_on_append (r, now_us, m);
      break;
    case RAFT_APPEND_REPLY:
      raft_replication_on_append_reply (r, now_us, m);
      break;
    case RAFT_SNAPSHOT:
      raft_snapshot_on_chunk (r, now_us, m);
      break;
    case RAFT_SNAPSHOT_REPLY:
      raft_snapshot_on_reply (r, now_us, m);
      break;
    case RAFT_TIMEOUT_NOW:
      raft_election_on_timeout_now (r, now_us, m);
      break;
    }
}

void
raft_receive (raft_t *r, int64_t now_us, const raft_message_t *m)
{
  bool is_other_group
      = m->group != r->options.group
        || (m->founder_id != 0 && r->founder_id != 0 && m->founder_id != r->founder_id);
  if (r->failed || is_other_group || m->to != r->meta.id || m->from == r->meta.id)
    return;
  if (m->type == RAFT_VOTE && !m->transfer && raft_election_has_live_leader (r, now_us))
    return;
  if (m->term < r->meta.term)
    {
      reply_to_stale_message (r, m);
      return;
    }
  if (m->term > r->meta.term && may_raise_term (m))
    {
      /* A vote is stored with the term, as each costs syncs. */
      bool votes = m->type == RAFT_VOTE && raft_election_is_up_to_date (r, m);
      if (!raft_enter_term (r, now_us, m->term, votes ? m->from : 0))
        return;
    }
  handle_message (r, now_us, m);
}

void
raft_tick (raft_t *r, int64_t now_us)
{
  if (r->failed)
    return;
  if (r->role == RAFT_LEADER)
    raft_replication_tick (r, now_us);
  else
    raft_election_tick (r, now_us);
  raft_flush (r, now_us);
}

static bool
check_can_propose (const raft_t *r, anv_error_t *err)
{
  if (r->failed)
    anv_error_set (err, ANV_ERROR_RAFT, RAFT_ERROR_STORAGE, "member stopped: %s", r->failure.text);
  else if (r->role != RAFT_LEADER)
    anv_error_set (err, ANV_ERROR_RAFT, RAFT_ERROR_NOT_LEADER, "not the leader");
  else if (r->transferee != 0)
    anv_error_set (err, ANV_ERROR_RAFT, RAFT_ERROR_BUSY, "leadership is being transferred");
  else
    return true;
  return false;
}

bool
raft_propose (raft_t *r, int64_t now_us, const uint8_t *data, size_t size, uint64_t *index,
              anv_error_t *err)
{
  if (!check_can_propose (r, err))
    return false;
  if (r->disk_full)
    {
      anv_error_set (err, ANV_ERROR_RAFT, RAFT_ERROR_STORAGE, "disk full");
      return false;
    }
  if (size > RAFT_MAX_ENTRY_BYTES)
    {
      anv_error_set (err, ANV_ERROR_RAFT, RAFT_ERROR_TOO_LARGE,
                     "entry of %zu bytes is above the limit of %u", size, RAFT_MAX_ENTRY_BYTES);
      return false;
    }
  if (!raft_replication_append (r, RAFT_ENTRY_DATA, data, size, err))
    return false;
  *index = raft_log_last_index (&r->log);
  return true;
}

bool
raft_request_read (raft_t *r, int64_t now_us, uint64_t read_id, anv_error_t *err)
{
  if (!check_can_propose (r, err))
    return false;
  raft_read_t read = { .id = read_id, .index = MAX (r->commit_index, r->term_start_index) };
  read.round = r->round + 1;
  r->round_due = true;
  g_array_append_val (r->reads, read);
  return true;
}

static void
sync_log (raft_t *r, int64_t now_us)
{
  anv_error_t err = { 0 };
  if (segment_log_sync (&r->log.record_log, &err))
    {
      r->disk_full = false;
      return;
    }
  raft_handle_storage_error (r, &err);
  /* On a full disk this member cannot even store a new term, so one with free space should lead. */
  if (!r->failed && r->role == RAFT_LEADER && raft_quorum_size (r) > 1)
    raft_become_follower (r, now_us, r->meta.term, 0);
}

static void
apply_committed (raft_t *r)
{
  while (r->applied < r->commit_index)
    {
      uint64_t index = r->applied + 1;
      const raft_entry_t *entry = raft_log_get_entry (&r->log, index);
      size_t used = 0;
      if (entry->type == RAFT_ENTRY_CONFIG)
        raft_config_decode (entry->data, entry->size, &r->applied_config, &used);
      r->applied = index;
      if (entry->type == RAFT_ENTRY_DATA)
        r->io->machine->ops->apply (r->io->machine, index, entry->term, entry->data, entry->size);
    }
}

/* Saves the commit index at intervals. It only speeds up the next start, so a failed save does not
 * stop the member. */
static void
save_commit (raft_t *r, int64_t now_us)
{
  anv_error_t err = { 0 };
  if (r->commit_index <= r->saved_commit_index || r->disk_full || now_us < r->next_commit_save_us)
    return;
  r->next_commit_save_us = now_us + COMMIT_SAVE_INTERVAL_US;
  if (raft_commit_save (r->io->store, r->options.name, r->commit_index, &err))
    r->saved_commit_index = r->commit_index;
  else
    LOG_WARNING ("cannot save the commit index group=%s: %s", r->options.name, err.text);
}

void
raft_flush (raft_t *r, int64_t now_us)
{
  if (r->failed)
    return;
  /* Sends before the sync, so that the followers write while this member syncs. */
  if (r->role == RAFT_LEADER)
    raft_replication_send_appends (r, now_us);
  sync_log (r, now_us);
  if (r->failed)
    return;
  if (r->role == RAFT_LEADER)
    raft_replication_advance_commit (r);
  raft_replication_send_reply (r);
  apply_committed (r);
  save_commit (r, now_us);
  raft_snapshot_take_if_due (r, now_us);
  if (r->role != RAFT_LEADER)
    return;
  raft_read_complete (r);
  if (!r->options.manual_promotion)
    raft_membership_promote_learner (r, now_us);
  raft_continue_transfer (r, now_us);
}

void
raft_get_status (const raft_t *r, raft_status_t *status)
{
  *status = (raft_status_t){
    .id = r->meta.id,
    .role = r->role,
    .term = r->meta.term,
    .leader_id = r->leader_id,
    .commit_index = r->commit_index,
    .applied = r->applied,
    .last_index = raft_log_last_index (&r->log),
    .synced_index = r->log.record_log.synced_index,
    .snapshot_index = r->snapshot.index,
    .disk_full = r->disk_full,
    .change_pending = raft_membership_is_pending (r),
    .transferring = r->transferee != 0,
    .leading_since_us = r->leading_since_us,
    .peers = r->peers,
    .peer_count = r->peer_count,
  };
}

const raft_member_t *
raft_status_find_member (const raft_status_t *status, uint64_t id)
{
  for (size_t i = 0; i < status->peer_count; i++)
    {
      if (status->peers[i].member.id == id)
        return &status->peers[i].member;
    }
  return NULL;
}

bool
raft_in_contact (const raft_t *r, int64_t now_us)
{
  if (r->failed || r->leader_id == 0)
    return false;
  if (r->role == RAFT_LEADER)
    return raft_replication_has_quorum (r, now_us);
  return now_us - r->last_leader_message_us <= 2 * r->options.min_election_timeout_us;
}

const anv_error_t *
raft_failure (const raft_t *r)
{
  return r->failed ? &r->failure : NULL;
}
