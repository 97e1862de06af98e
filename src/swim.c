#include "swim_internal.h"

#include <string.h>

/* A longer time between two ticks means that the process was paused. */
#define MIN_PAUSE_US (3 * SWIM_PERIOD_US / 2)

/* Intervals between pings of dead members and seeds. The short one applies if no other member is
 * live, or if more than one member is dead for every PARTITION_LIVE_PER_DEAD live ones, which is
 * more likely a partition than that many failures. */
#define RECONNECT_INTERVAL_US (5 * SWIM_PERIOD_US)
#define PARTITION_RECONNECT_INTERVAL_US SWIM_PERIOD_US
#define PARTITION_LIVE_PER_DEAD 8

/* One reconnect in RECONNECTS_PER_SEED_PING also pings a seed, or each one if no other member is
 * live. In a larger fleet only SEED_PINGING_MEMBERS members do so, on average, so that the load of
 * the seeds does not grow with the fleet. */
#define RECONNECTS_PER_SEED_PING 6
#define SEED_PINGING_MEMBERS 32

/* Quick syncs after the start. Equal tables do not prove that both are complete: if many instances
 * start at once, the other table may lack the same members. */
#define JOIN_SYNC_COUNT 5

#define US_PER_S 1e6

void
swim_options_init (swim_options_t *options)
{
  *options = (swim_options_t){ .caller_address = "",
                               .own_domain_share = 0.75,
                               .max_health_score = 8,
                               .suspects_reported_deaths = true };
}

void
swim_init (swim_t *swim, const swim_options_t *options, swim_io_t *io, int64_t now_us)
{
  memset (swim, 0, sizeof (*swim));
  swim->options = *options;
  swim->io = io;
  rng_init (&swim->rng, options->random_seed);
  swim_update_t self = { .id = options->id,
                         .status = SWIM_ALIVE,
                         .incarnation = options->incarnation,
                         .peer_address = options->peer_address,
                         .caller_address = options->caller_address,
                         .domain = options->domain };
  swim_table_init (&swim->table, &self, &swim->rng);
  swim_table_enqueue_update (&swim->table, swim->table.self);
  swim->seeds = g_ptr_array_new_with_free_func (g_free);
  for (size_t i = 0; i < options->seed_count; i++)
    g_ptr_array_add (swim->seeds, g_strdup (options->seeds[i]));
  swim->relayed_pings = g_ptr_array_new_with_free_func (swim_relayed_ping_free);
  swim->transfers = g_ptr_array_new_with_free_func (swim_transfer_free);
  swim->update_tokens = SWIM_UPDATE_BURST_BYTES;
  swim->sync_tokens = SWIM_SYNC_BURST_BYTES;
  swim->last_tick_us = now_us;
  swim->next_period_us = now_us + (int64_t)rng_uniform_int (&swim->rng, SWIM_PERIOD_US);
  swim->next_reconnect_us = now_us;
  swim->reconnect_count = (unsigned)rng_uniform_int (&swim->rng, RECONNECTS_PER_SEED_PING);
  swim->next_sync_us = now_us;
  swim->quick_syncs_left = JOIN_SYNC_COUNT;
}

void
swim_destroy (swim_t *swim)
{
  swim_probe_cancel (swim);
  g_ptr_array_unref (swim->seeds);
  g_ptr_array_unref (swim->relayed_pings);
  g_ptr_array_unref (swim->transfers);
  swim_table_destroy (&swim->table);
}

size_t
swim_live_count (const swim_t *swim)
{
  return swim_table_live_count (&swim->table);
}

const swim_member_t *
swim_find (const swim_t *swim, const char *id)
{
  return swim_table_find (&swim->table, id);
}

void
swim_foreach (const swim_t *swim, void (*visit) (void *data, const swim_member_t *member),
              void *data)
{
  GHashTableIter iter;
  gpointer member = NULL;
  g_hash_table_iter_init (&iter, swim->table.members);
  while (g_hash_table_iter_next (&iter, NULL, &member))
    visit (data, member);
}

static void
ping_seed (swim_t *swim)
{
  if (swim->seeds->len == 0)
    return;
  const char *address
      = g_ptr_array_index (swim->seeds, rng_uniform_int (&swim->rng, swim->seeds->len));
  if (strcmp (address, swim->table.self->peer_address) == 0)
    return;
  swim_ping_untracked (swim, "", address, true);
}

/* Pings seeds and dead members, which the probes do not cover. */
static void
reconnect_tick (swim_t *swim, int64_t now_us)
{
  if (now_us < swim->next_reconnect_us)
    return;
  size_t live_count = swim_live_count (swim);
  bool many_dead = swim->table.dead_count * PARTITION_LIVE_PER_DEAD > live_count;
  swim->next_reconnect_us
      = now_us
        + (live_count == 1 || many_dead ? PARTITION_RECONNECT_INTERVAL_US : RECONNECT_INTERVAL_US);
  bool is_seed_turn = swim->reconnect_count++ % RECONNECTS_PER_SEED_PING == 0
                      && rng_uniform_int (&swim->rng, live_count) < SEED_PINGING_MEMBERS;
  if (live_count == 1 || is_seed_turn)
    ping_seed (swim);
  const swim_member_t *dead = swim_table_pick_random_dead (&swim->table);
  if (dead != NULL && (dead->flags & SWIM_FLAG_LEFT) == 0)
    swim_ping_untracked (swim, dead->id, dead->peer_address, false);
}

static void
refill_budgets (swim_t *swim, int64_t elapsed_us)
{
  double seconds = (double)elapsed_us / US_PER_S;
  swim->update_tokens = MIN (swim->update_tokens + SWIM_UPDATE_BYTES_PER_S * seconds,
                             (double)SWIM_UPDATE_BURST_BYTES);
  swim->sync_tokens
      = MIN (swim->sync_tokens + SWIM_SYNC_BYTES_PER_S * seconds, (double)SWIM_SYNC_BURST_BYTES);
}

/* Avoids false suspicions and deaths after a pause of the process: acks and refutations that
 * arrived in the meantime are still in the socket buffer. */
static void
resume (swim_t *swim, int64_t now_us)
{
  swim_probe_cancel (swim);
  swim_extend_suspicions (swim, now_us);
  swim_schedule_sync (swim, now_us, 1);
}

void
swim_tick (swim_t *swim, int64_t now_us)
{
  if (swim->stopped)
    return;
  int64_t elapsed_us = now_us - swim->last_tick_us;
  swim->last_tick_us = now_us;
  refill_budgets (swim, elapsed_us);
  if (elapsed_us > MIN_PAUSE_US)
    resume (swim, now_us);
  swim_probe_tick (swim, now_us);
  swim_expire_timers (swim, now_us);
  reconnect_tick (swim, now_us);
  swim_sync_tick (swim, now_us);
}

static void
update_sender (swim_t *swim, int64_t now_us, const swim_message_t *message)
{
  swim_member_t *sender = swim_table_find (&swim->table, message->from);
  if (sender == NULL || sender->status == SWIM_DEAD)
    {
      swim_schedule_sync (swim, now_us, 1);
      return;
    }
  sender->version = message->version;
  sender->digest = message->digest;
  bool digest_differs = message->version == swim->version && message->digest != swim->digest;
  if ((message->version > swim->version || digest_differs) && swim->io->on_version != NULL)
    swim->io->on_version (swim->io, sender, message->version, message->digest);
}

static void
handle_message (swim_t *swim, int64_t now_us, const char *source, const swim_message_t *message)
{
  if (message->type == WIRE_SWIM_PING)
    swim_receive_ping (swim, source, message);
  else if (message->type == WIRE_SWIM_ACK)
    swim_receive_ack (swim, message);
  else if (message->type == WIRE_SWIM_PING_REQ)
    swim_receive_ping_req (swim, now_us, source, message);
  else
    swim_receive_sync (swim, now_us, source, message);
}

void
swim_receive (swim_t *swim, int64_t now_us, const char *source, const swim_message_t *message)
{
  const char *own_id = swim->table.self->id;
  bool is_for_other = message->to[0] != '\0' && strcmp (message->to, own_id) != 0;
  if (swim->stopped || is_for_other || strcmp (message->from, own_id) == 0)
    return;

  if (message->known_incarnation > 0)
    swim_refute (swim, message->known_status, message->known_incarnation);
  swim_channel_t channel
      = message->type == WIRE_SWIM_SYNC ? SWIM_CHANNEL_SYNC : SWIM_CHANNEL_GOSSIP;
  for (size_t i = 0; i < message->update_count; i++)
    swim_apply_update (swim, now_us, &message->updates[i], channel);
  update_sender (swim, now_us, message);
  handle_message (swim, now_us, source, message);

  /* An ack gets no reply. If its sender does not know the current incarnation of this instance, it
   * learns it from an additional ping. */
  if (message->type == WIRE_SWIM_ACK && !swim->stopped
      && message->known_incarnation != swim->table.self->incarnation)
    swim_ping_untracked (swim, message->from, source, true);
}

void
swim_set_version (swim_t *swim, int64_t now_us, uint64_t version, uint64_t digest)
{
  swim->version = version;
  swim->digest = digest;
  if (version > 0 && (swim->table.self->flags & SWIM_FLAG_CONFIGURED) == 0)
    swim_update_self (swim, SWIM_FLAG_CONFIGURED, 0);
  swim_ping_random_members (swim, false);
}

void
swim_set_leaving (swim_t *swim, int64_t now_us)
{
  swim_update_self (swim, SWIM_FLAG_LEAVING, 0);
  swim_ping_random_members (swim, false);
}

void
swim_stop (swim_t *swim, int64_t now_us)
{
  swim_update_t update;
  swim_table_get_update (swim->table.self, &update);
  update.status = SWIM_DEAD;
  update.flags |= SWIM_FLAG_LEFT;
  swim_table_update_member (&swim->table, swim->table.self, &update,
                            now_us + SWIM_DEAD_RETENTION_US);
  swim_table_enqueue_update (&swim->table, swim->table.self);
  swim_ping_random_members (swim, false);
  swim->stopped = true;
}
