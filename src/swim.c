#include "swim_internal.h"

#include <string.h>

/* A tick that comes later than this after the last one means that the process was paused. */
#define PAUSE_US (3 * SWIM_PERIOD_US / 2)

/* Pings of dead members and seeds. The short interval is for a view in which many are dead, which
 * is more likely a partition than that many failures. */
#define CONTACT_INTERVAL_US (5 * SWIM_PERIOD_US)
#define PARTITION_CONTACT_INTERVAL_US SWIM_PERIOD_US
#define PARTITION_SHARE 8

/* One contact in this many goes to a seed, and in a large fleet only those of this many members, so
 * that the load of the seeds does not grow with the fleet. */
#define SEED_CONTACTS 6
#define SEED_MEMBERS 32

/* Comparisons of tables after the start. One equal table proves little when many instances start at
 * once, because the other one may lack the same members. */
#define JOIN_SYNCS 5

#define US_PER_S 1e6

void
swim_options_init (swim_options_t *options)
{
  *options = (swim_options_t){
    .caller_address = "", .own_domain_share = 0.75, .health_limit = 8, .demote_deaths = true
  };
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
  swim_table_spread (&swim->table, swim->table.self);
  swim->seeds = g_ptr_array_new_with_free_func (g_free);
  for (size_t i = 0; i < options->seed_count; i++)
    g_ptr_array_add (swim->seeds, g_strdup (options->seeds[i]));
  swim->relays = g_ptr_array_new_with_free_func (swim_relay_free);
  swim->transfers = g_ptr_array_new_with_free_func (swim_transfer_free);
  swim->update_tokens = SWIM_UPDATE_BURST;
  swim->sync_tokens = SWIM_SYNC_BURST;
  swim->last_tick_us = now_us;
  swim->next_period_us = now_us + (int64_t)rng_below (&swim->rng, SWIM_PERIOD_US);
  swim->next_contact_us = now_us;
  swim->contact_count = (unsigned)rng_below (&swim->rng, SEED_CONTACTS);
  swim->next_sync_us = now_us;
  swim->quick_syncs = JOIN_SYNCS;
}

void
swim_destroy (swim_t *swim)
{
  swim_probe_abandon (swim);
  g_ptr_array_unref (swim->seeds);
  g_ptr_array_unref (swim->relays);
  g_ptr_array_unref (swim->transfers);
  swim_table_destroy (&swim->table);
}

size_t
swim_live_count (const swim_t *swim)
{
  return swim_table_live (&swim->table);
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
contact_seed (swim_t *swim)
{
  if (swim->seeds->len == 0)
    return;
  const char *address = g_ptr_array_index (swim->seeds, rng_below (&swim->rng, swim->seeds->len));
  if (strcmp (address, swim->table.self->peer_address) == 0)
    return;
  swim_contact (swim, "", address, true);
}

/* Keeps trying to reach those that the probes do not cover: seeds and dead members. */
static void
contact_tick (swim_t *swim, int64_t now_us)
{
  if (now_us < swim->next_contact_us)
    return;
  size_t live = swim_live_count (swim);
  bool many_dead = swim->table.dead_count * PARTITION_SHARE > live;
  swim->next_contact_us
      = now_us + (live == 1 || many_dead ? PARTITION_CONTACT_INTERVAL_US : CONTACT_INTERVAL_US);
  bool seed_turn
      = swim->contact_count++ % SEED_CONTACTS == 0 && rng_below (&swim->rng, live) < SEED_MEMBERS;
  if (live == 1 || seed_turn)
    contact_seed (swim);
  const swim_member_t *dead = swim_table_random_dead (&swim->table);
  if (dead != NULL && (dead->flags & SWIM_FLAG_LEFT) == 0)
    swim_contact (swim, dead->id, dead->peer_address, false);
}

static void
refill_budgets (swim_t *swim, int64_t elapsed_us)
{
  double seconds = (double)elapsed_us / US_PER_S;
  swim->update_tokens
      = MIN (swim->update_tokens + SWIM_UPDATE_RATE * seconds, (double)SWIM_UPDATE_BURST);
  swim->sync_tokens = MIN (swim->sync_tokens + SWIM_SYNC_RATE * seconds, (double)SWIM_SYNC_BURST);
}

/* After a pause, the acks of the last probe and refutations are still in the socket buffer. */
static void
resume (swim_t *swim, int64_t now_us)
{
  swim_probe_abandon (swim);
  swim_extend_suspicions (swim, now_us);
  swim_sync_soon (swim, now_us, 1);
}

void
swim_tick (swim_t *swim, int64_t now_us)
{
  if (swim->stopped)
    return;
  int64_t elapsed_us = now_us - swim->last_tick_us;
  swim->last_tick_us = now_us;
  refill_budgets (swim, elapsed_us);
  if (elapsed_us > PAUSE_US)
    resume (swim, now_us);
  swim_probe_tick (swim, now_us);
  swim_expire_timers (swim, now_us);
  contact_tick (swim, now_us);
  swim_sync_tick (swim, now_us);
}

static void
note_sender (swim_t *swim, int64_t now_us, const swim_message_t *message)
{
  swim_member_t *sender = swim_table_find (&swim->table, message->from);
  if (sender == NULL || sender->status == SWIM_DEAD)
    {
      swim_sync_soon (swim, now_us, 1);
      return;
    }
  sender->version = message->version;
  sender->digest = message->digest;
  bool differs = message->version == swim->version && message->digest != swim->digest;
  if ((message->version > swim->version || differs) && swim->io->on_version != NULL)
    swim->io->on_version (swim->io, sender, message->version, message->digest);
}

static void
dispatch (swim_t *swim, int64_t now_us, const char *source, const swim_message_t *message)
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
  bool for_other = message->to[0] != '\0' && strcmp (message->to, own_id) != 0;
  if (swim->stopped || for_other || strcmp (message->from, own_id) == 0)
    return;

  if (message->known_incarnation > 0)
    swim_refute (swim, message->known_status, message->known_incarnation);
  swim_via_t via = message->type == WIRE_SWIM_SYNC ? SWIM_VIA_SYNC : SWIM_VIA_GOSSIP;
  for (size_t i = 0; i < message->update_count; i++)
    swim_apply_update (swim, now_us, &message->updates[i], via);
  note_sender (swim, now_us, message);
  dispatch (swim, now_us, source, message);

  /* Nothing else follows an ack, so a sender that does not know the own state would not learn it.
   */
  if (message->type == WIRE_SWIM_ACK && !swim->stopped
      && message->known_incarnation != swim->table.self->incarnation)
    swim_contact (swim, message->from, source, true);
}

void
swim_set_version (swim_t *swim, int64_t now_us, uint64_t version, uint64_t digest)
{
  swim->version = version;
  swim->digest = digest;
  if (version > 0 && (swim->table.self->flags & SWIM_FLAG_CONFIGURED) == 0)
    swim_change_self (swim, SWIM_FLAG_CONFIGURED, 0);
  swim_contact_some (swim, false);
}

void
swim_set_leaving (swim_t *swim, int64_t now_us)
{
  swim_change_self (swim, SWIM_FLAG_LEAVING, 0);
  swim_contact_some (swim, false);
}

void
swim_stop (swim_t *swim, int64_t now_us)
{
  swim_update_t update;
  swim_table_get (swim->table.self, &update);
  update.status = SWIM_DEAD;
  update.flags |= SWIM_FLAG_LEFT;
  swim_table_set (&swim->table, swim->table.self, &update, now_us + SWIM_RETENTION_US);
  swim_table_spread (&swim->table, swim->table.self);
  swim_contact_some (swim, false);
  swim->stopped = true;
}
