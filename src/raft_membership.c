#include "raft_internal.h"

#include <inttypes.h>
#include <string.h>

#define LOG_MODULE "raft_membership"
#include "log.h"

bool
raft_membership_is_pending (const raft_t *r)
{
  return r->config_index > r->commit_index;
}

/* Replaces the peers by the members of CONFIG. Earlier members keep their progress. */
static void
set_peers (raft_t *r, int64_t now_us, const raft_config_t *config)
{
  raft_peer_t old_peers[RAFT_MAX_MEMBERS];
  size_t old_count = r->peer_count;
  memcpy (old_peers, r->peers, sizeof (old_peers));
  r->peer_count = config->count;
  for (size_t i = 0; i < config->count; i++)
    {
      raft_peer_t *peer = &r->peers[i];
      *peer = (raft_peer_t){ .last_reply_us = now_us, .probing = true };
      peer->next_index = raft_log_last_index (&r->log) + 1;
      for (size_t j = 0; j < old_count; j++)
        {
          if (old_peers[j].member.id == config->members[i].id)
            *peer = old_peers[j];
        }
      peer->member = config->members[i];
    }
}

void
raft_membership_reload (raft_t *r, int64_t now_us)
{
  raft_config_t config = r->snapshot.config;
  r->config_index = r->snapshot.index;
  for (uint64_t index = raft_log_last_index (&r->log); index > r->snapshot.index; index--)
    {
      const raft_entry_t *entry = raft_log_get_entry (&r->log, index);
      size_t used = 0;
      if (entry == NULL || entry->type != RAFT_ENTRY_CONFIG)
        continue;
      raft_config_decode (entry->data, entry->size, &config, &used);
      r->config_index = index;
      break;
    }
  r->founder_id = config.founder_id;
  set_peers (r, now_us, &config);
}

static void
current_config (const raft_t *r, raft_config_t *config)
{
  config->founder_id = r->founder_id;
  config->count = r->peer_count;
  for (size_t i = 0; i < r->peer_count; i++)
    config->members[i] = r->peers[i].member;
}

static bool
propose_config (raft_t *r, int64_t now_us, const raft_config_t *config, anv_error_t *err)
{
  GByteArray *data = g_byte_array_new ();
  raft_config_encode (config, data);
  bool ok = raft_replication_append (r, RAFT_ENTRY_CONFIG, data->data, data->len, err);
  g_byte_array_free (data, TRUE);
  if (ok)
    raft_membership_reload (r, now_us);
  return ok;
}

static bool
set_error (anv_error_t *err, raft_error_t code, const char *text)
{
  anv_error_set (err, ANV_ERROR_RAFT, code, "%s", text);
  return false;
}

/* Returns whether the membership may change now. A change needs a committed entry of the leader's
 * term; otherwise two leaders could each start one, with configurations whose majorities do not
 * overlap. */
static bool
check_can_change (const raft_t *r, anv_error_t *err)
{
  if (r->failed || r->role != RAFT_LEADER)
    return set_error (err, RAFT_ERROR_NOT_LEADER, "not the leader");
  if (r->transferee != 0)
    return set_error (err, RAFT_ERROR_BUSY, "leadership is being transferred");
  if (raft_membership_is_pending (r) || r->commit_index < r->term_start_index)
    return set_error (err, RAFT_ERROR_BUSY, "another membership change is pending");
  return true;
}

bool
raft_bootstrap (raft_t *r, int64_t now_us, const raft_member_t *members, size_t count,
                anv_error_t *err)
{
  raft_config_t config = { .count = count };
  bool included = false;
  if (r->failed || r->meta.term > 1 || raft_log_last_index (&r->log) > 0)
    return set_error (err, RAFT_ERROR_STATE, "this instance has the data of a group");
  if (count == 0 || count > RAFT_MAX_MEMBERS)
    return set_error (err, RAFT_ERROR_MEMBER, "wrong number of members");
  for (size_t i = 0; i < count; i++)
    {
      config.members[i] = members[i];
      config.members[i].voter = true;
      included = included || members[i].id == r->meta.id;
      if (i == 0 || members[i].id < config.founder_id)
        config.founder_id = members[i].id;
    }
  if (!included)
    return set_error (err, RAFT_ERROR_MEMBER, "this instance is not among the members");

  anv_error_t sync_err = { 0 };
  if (!raft_save_term_and_vote (r, 1, 0))
    return set_error (err, RAFT_ERROR_STORAGE, "cannot store the term");
  if (!propose_config (r, now_us, &config, err))
    return false;
  if (segment_log_sync (&r->log.record_log, &sync_err))
    return true;
  raft_handle_storage_error (r, &sync_err);
  return set_error (err, RAFT_ERROR_STORAGE, sync_err.text);
}

bool
raft_add_member (raft_t *r, int64_t now_us, const raft_member_t *member, anv_error_t *err)
{
  raft_config_t config;
  if (!check_can_change (r, err))
    return false;
  if (member->id == 0 || raft_find_peer (r, member->id) != NULL)
    return set_error (err, RAFT_ERROR_MEMBER, "the identity is a member already or is not valid");
  if (r->peer_count == RAFT_MAX_MEMBERS)
    return set_error (err, RAFT_ERROR_MEMBER, "the group has the largest number of members");
  current_config (r, &config);
  config.members[config.count] = *member;
  config.members[config.count++].voter = false;
  return propose_config (r, now_us, &config, err);
}

/* Returns whether a majority of the voters other than ID is in contact. */
static bool
keeps_quorum_without (const raft_t *r, int64_t now_us, uint64_t id)
{
  size_t voter_count = 0;
  size_t in_contact_count = 0;
  for (size_t i = 0; i < r->peer_count; i++)
    {
      const raft_peer_t *peer = &r->peers[i];
      if (!peer->member.voter || peer->member.id == id)
        continue;
      voter_count++;
      in_contact_count += raft_replication_in_contact (r, peer, now_us);
    }
  return in_contact_count >= voter_count / 2 + 1;
}

bool
raft_remove_member (raft_t *r, int64_t now_us, uint64_t id, anv_error_t *err)
{
  raft_config_t config = { .founder_id = r->founder_id };
  if (!check_can_change (r, err))
    return false;
  const raft_peer_t *peer = raft_find_peer (r, id);
  if (peer == NULL)
    return set_error (err, RAFT_ERROR_MEMBER, "no such member");
  if (id == r->meta.id)
    return set_error (err, RAFT_ERROR_QUORUM,
                      "the leader cannot be removed; transfer leadership first");
  if (peer->member.voter && !keeps_quorum_without (r, now_us, id))
    return set_error (err, RAFT_ERROR_QUORUM, "the voters that remain would have no majority");
  for (size_t i = 0; i < r->peer_count; i++)
    {
      if (r->peers[i].member.id != id)
        config.members[config.count++] = r->peers[i].member;
    }
  return propose_config (r, now_us, &config, err);
}

/* Returns whether PEER is a learner that is in contact and has synced all committed entries. */
static bool
can_promote (const raft_t *r, const raft_peer_t *peer, int64_t now_us)
{
  return !peer->member.voter && peer->match_index >= r->commit_index
         && raft_replication_in_contact (r, peer, now_us);
}

static bool
propose_promotion (raft_t *r, int64_t now_us, const raft_peer_t *peer, anv_error_t *err)
{
  raft_config_t config;
  current_config (r, &config);
  config.members[peer - r->peers].voter = true;
  LOG_NOTICE ("learner becomes voter group=%s member=%016" PRIx64, r->options.name,
              peer->member.id);
  return propose_config (r, now_us, &config, err);
}

bool
raft_promote_member (raft_t *r, int64_t now_us, uint64_t id, anv_error_t *err)
{
  if (!check_can_change (r, err))
    return false;
  const raft_peer_t *peer = raft_find_peer (r, id);
  if (peer == NULL || !can_promote (r, peer, now_us))
    return set_error (err, RAFT_ERROR_MEMBER, "no learner that is in contact and has caught up");
  return propose_promotion (r, now_us, peer, err);
}

void
raft_membership_promote_learner (raft_t *r, int64_t now_us)
{
  if (!check_can_change (r, NULL))
    return;
  for (size_t i = 0; i < r->peer_count; i++)
    {
      if (!can_promote (r, &r->peers[i], now_us))
        continue;
      propose_promotion (r, now_us, &r->peers[i], NULL);
      return;
    }
}
