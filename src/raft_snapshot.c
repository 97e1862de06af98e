#include "raft_internal.h"

#include <inttypes.h>

#define LOG_MODULE "raft_snapshot"
#include "log.h"

/* Maximum size of a snapshot file that is accepted from a leader. */
#define MAX_SNAPSHOT_BYTES ((uint64_t)1 << 30)

/* Restores the state machine from a snapshot file and stores its index, term and configuration. */
static bool
restore_machine (raft_t *r, const GByteArray *file, anv_error_t *err)
{
  raft_snapshot_t snapshot;
  const uint8_t *data = NULL;
  size_t size = 0;
  if (!raft_snapshot_decode (file->data, file->len, &snapshot, &data, &size))
    {
      anv_error_set (err, ANV_ERROR_STORAGE, STORAGE_ERROR_CORRUPT,
                     "%s-snapshot: damaged file at byte 0", r->options.name);
      return false;
    }
  if (!r->io->machine->ops->restore (r->io->machine, data, size, err))
    {
      anv_error_wrap (err, ANV_ERROR_STORAGE, STORAGE_ERROR_CORRUPT,
                      "%s-snapshot cannot be restored", r->options.name);
      return false;
    }
  r->snapshot = snapshot;
  return true;
}

bool
raft_snapshot_load (raft_t *r, anv_error_t *err)
{
  GByteArray *file = g_byte_array_new ();
  bool ok = raft_snapshot_read (r->io->store, r->options.name, file, err);
  if (ok && file->len > 0)
    ok = restore_machine (r, file, err);
  g_byte_array_free (file, TRUE);
  return ok;
}

/* Returns whether a snapshot is being sent to a member in contact. */
static bool
is_sending (const raft_t *r, int64_t now_us)
{
  for (size_t i = 0; i < r->peer_count; i++)
    {
      if (r->peers[i].snapshot_index != 0 && raft_replication_in_contact (r, &r->peers[i], now_us))
        return true;
    }
  return false;
}

static bool
write_snapshot (raft_t *r, const raft_snapshot_t *snapshot, anv_error_t *err)
{
  GByteArray *data = g_byte_array_new ();
  GByteArray *file = g_byte_array_new ();
  r->io->machine->ops->snapshot (r->io->machine, data);
  raft_snapshot_encode (snapshot, data->data, data->len, file);
  bool ok = raft_snapshot_write (r->io->store, r->options.name, file, err);
  g_byte_array_free (data, TRUE);
  g_byte_array_free (file, TRUE);
  return ok;
}

void
raft_snapshot_take_if_due (raft_t *r, int64_t now_us)
{
  anv_error_t err = { 0 };
  raft_snapshot_t snapshot = { .index = r->applied, .config = r->applied_config };
  if (r->applied - r->snapshot.index < r->options.snapshot_interval_entries || r->disk_full
      || now_us < r->next_snapshot_us || (r->role == RAFT_LEADER && is_sending (r, now_us)))
    return;
  raft_log_get_term (&r->log, snapshot.index, &snapshot.term);
  if (!write_snapshot (r, &snapshot, &err))
    {
      r->next_snapshot_us = now_us + r->options.min_election_timeout_us;
      raft_handle_storage_error (r, &err);
      return;
    }
  r->snapshot = snapshot;
  g_clear_pointer (&r->outgoing_snapshot, g_byte_array_unref);
  uint64_t kept_count = MIN (r->options.trailing_entries, snapshot.index);
  if (!raft_log_compact (&r->log, snapshot.index - kept_count, &err))
    raft_handle_storage_error (r, &err);
}

static bool
load_outgoing_snapshot (raft_t *r)
{
  anv_error_t err = { 0 };
  if (r->outgoing_snapshot != NULL)
    return true;
  r->outgoing_snapshot = g_byte_array_new ();
  if (raft_snapshot_read (r->io->store, r->options.name, r->outgoing_snapshot, &err))
    return true;
  g_clear_pointer (&r->outgoing_snapshot, g_byte_array_unref);
  raft_handle_storage_error (r, &err);
  return false;
}

void
raft_snapshot_send (raft_t *r, int64_t now_us, raft_peer_t *peer)
{
  peer->last_sent_us = now_us;
  peer->probing = true;
  if (!load_outgoing_snapshot (r))
    return;
  if (peer->snapshot_index != r->snapshot.index)
    {
      peer->snapshot_index = r->snapshot.index;
      peer->snapshot_offset = 0;
    }
  size_t remaining = r->outgoing_snapshot->len - peer->snapshot_offset;
  raft_message_t m = {
    .type = RAFT_SNAPSHOT,
    .round = r->round,
    .index = r->snapshot.index,
    .log_term = r->snapshot.term,
    .offset = peer->snapshot_offset,
    .total = r->outgoing_snapshot->len,
    .data = r->outgoing_snapshot->data + peer->snapshot_offset,
    .size = MIN (remaining, r->options.max_batch_bytes),
  };
  raft_send (r, peer->member.id, &m);
}

void
raft_snapshot_on_reply (raft_t *r, int64_t now_us, const raft_message_t *m)
{
  raft_peer_t *peer = raft_find_peer (r, m->from);
  if (r->role != RAFT_LEADER || peer == NULL || m->term != r->meta.term)
    return;
  peer->last_reply_us = now_us;
  peer->acked_round = MAX (peer->acked_round, m->round);
  if (m->index != peer->snapshot_index || r->outgoing_snapshot == NULL)
    return;
  if (m->ok)
    {
      peer->match_index = MAX (peer->match_index, m->index);
      peer->next_index = peer->match_index + 1;
      peer->snapshot_index = 0;
      peer->probing = false;
      if (!is_sending (r, now_us))
        g_clear_pointer (&r->outgoing_snapshot, g_byte_array_unref);
      return;
    }
  /* A duplicate reply must not cause a duplicate chunk. */
  if (m->offset == peer->snapshot_offset || m->offset > r->outgoing_snapshot->len)
    return;
  peer->snapshot_offset = m->offset;
  raft_snapshot_send (r, now_us, peer);
}

/* Replaces state machine and log by the received snapshot. The snapshot is durable before the log
 * changes; after a crash between the two, raft_log_open() completes the change. */
static bool
install_snapshot (raft_t *r, int64_t now_us, anv_error_t *err)
{
  uint64_t term = 0;
  if (!raft_snapshot_write (r->io->store, r->options.name, r->incoming_snapshot, err)
      || !restore_machine (r, r->incoming_snapshot, err))
    return false;
  bool keep_log_end
      = raft_log_get_term (&r->log, r->snapshot.index, &term) && term == r->snapshot.term;
  bool ok = keep_log_end ? raft_log_compact (&r->log, r->snapshot.index, err)
                         : raft_log_reset (&r->log, r->snapshot.index, r->snapshot.term, err);
  r->commit_index = r->snapshot.index;
  r->applied = r->snapshot.index;
  r->applied_config = r->snapshot.config;
  raft_membership_reload (r, now_us);
  return ok;
}

static bool
is_complete_snapshot (const raft_t *r, const raft_message_t *m)
{
  raft_snapshot_t snapshot;
  const uint8_t *data = NULL;
  size_t size = 0;
  return raft_snapshot_decode (r->incoming_snapshot->data, r->incoming_snapshot->len, &snapshot,
                               &data, &size)
         && snapshot.index == m->index && snapshot.term == m->log_term;
}

static void
store_chunk (raft_t *r, const raft_message_t *m)
{
  if (r->incoming_snapshot_index != m->index || r->incoming_snapshot_term != m->log_term)
    {
      g_byte_array_set_size (r->incoming_snapshot, 0);
      r->incoming_snapshot_index = m->index;
      r->incoming_snapshot_term = m->log_term;
    }
  if (m->offset == r->incoming_snapshot->len && m->size <= m->total - m->offset)
    g_byte_array_append (r->incoming_snapshot, m->data, (guint)m->size);
}

static void
send_chunk_reply (raft_t *r, const raft_message_t *m, bool installed)
{
  raft_message_t reply = { .type = RAFT_SNAPSHOT_REPLY, .round = m->round, .index = m->index };
  reply.offset = r->incoming_snapshot->len;
  reply.ok = installed;
  raft_send (r, m->from, &reply);
}

void
raft_snapshot_on_chunk (raft_t *r, int64_t now_us, const raft_message_t *m)
{
  anv_error_t err = { 0 };
  if (r->role == RAFT_LEADER || m->total > MAX_SNAPSHOT_BYTES || m->offset > m->total)
    return;
  if (r->role != RAFT_FOLLOWER || r->leader_id != m->from)
    raft_become_follower (r, now_us, m->term, m->from);
  r->last_leader_message_us = now_us;
  raft_election_reset_timeout (r, now_us);
  if (m->index <= r->commit_index)
    {
      /* The committed entries include the snapshot; the state machine must not return to an older
       * state. */
      send_chunk_reply (r, m, m->index <= r->log.record_log.synced_index);
      return;
    }
  store_chunk (r, m);
  bool complete = r->incoming_snapshot->len == m->total;
  if (complete && !is_complete_snapshot (r, m))
    {
      LOG_WARNING ("damaged snapshot received group=%s", r->options.name);
      g_byte_array_set_size (r->incoming_snapshot, 0);
      complete = false;
    }
  if (complete && !install_snapshot (r, now_us, &err))
    {
      raft_handle_storage_error (r, &err);
      return;
    }
  send_chunk_reply (r, m, complete);
  if (complete)
    g_byte_array_set_size (r->incoming_snapshot, 0);
}
