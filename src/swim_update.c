#include "swim_internal.h"

#include <math.h>

/* The suspicion timeout grows with the logarithm of the member count, as does the number of periods
 * in which an update reaches all members. */
#define SUSPICION_PERIODS_PER_DOUBLING 1.0
#define MIN_SUSPICION_PERIODS 3.0

/* Average number of members in the fleet that ping a member as soon as they suspect it, which tells
 * it of the suspicion. Otherwise it could refute only when the suspicion has spread to it. */
#define SUSPICION_NOTICE_COUNT 8

/* Time before a suspected member is declared dead at which it is pinged a last time. In a large
 * fleet its refutation reaches some members late. */
#define LAST_PING_LEAD_US SWIM_PERIOD_US
#define MAX_LAST_PINGS_PER_TICK 4

static int64_t
suspicion_timeout_us (const swim_t *swim)
{
  double periods
      = SUSPICION_PERIODS_PER_DOUBLING * log2 ((double)swim_table_live_count (&swim->table) + 1);
  return (int64_t)(MAX (periods, MIN_SUSPICION_PERIODS) * (double)SWIM_PERIOD_US);
}

static void
emit_event (const swim_t *swim, swim_event_t event, const swim_member_t *member)
{
  if (swim->io->on_member != NULL)
    swim->io->on_member (swim->io, event, member);
}

void
swim_update_self (swim_t *swim, uint8_t flags, uint64_t incarnation)
{
  swim_update_t own;
  swim_table_get_update (swim->table.self, &own);
  own.flags |= flags;
  own.incarnation = MAX (own.incarnation + 1, incarnation);
  swim_table_update_member (&swim->table, swim->table.self, &own, 0);
  swim_table_enqueue_update (&swim->table, swim->table.self);
}

void
swim_refute (swim_t *swim, swim_status_t status, uint64_t incarnation)
{
  uint64_t own_incarnation = swim->table.self->incarnation;
  bool wrong
      = status == SWIM_ALIVE ? incarnation > own_incarnation : incarnation >= own_incarnation;
  if (!wrong)
    return;
  if (status != SWIM_ALIVE)
    swim->health_score = MIN (swim->health_score + 1, swim->options.max_health_score);
  swim_update_self (swim, 0, incarnation + 1);
  if (status != SWIM_ALIVE)
    swim_ping_random_members (swim, true);
}

static void
notify_suspect (swim_t *swim, const swim_member_t *member)
{
  if (rng_uniform_int (&swim->rng, swim_table_live_count (&swim->table)) < SUSPICION_NOTICE_COUNT)
    swim_ping_untracked (swim, member->id, member->peer_address, false);
}

void
swim_suspect (swim_t *swim, int64_t now_us, swim_member_t *member, uint64_t incarnation)
{
  bool was_dead = member->status == SWIM_DEAD;
  swim_update_t update = { .status = SWIM_SUSPECT, .incarnation = incarnation };
  update.flags = member->flags & (uint8_t)~SWIM_FLAG_LEFT;
  swim_table_update_member (&swim->table, member, &update, now_us + suspicion_timeout_us (swim));
  swim_table_enqueue_update (&swim->table, member);
  notify_suspect (swim, member);
  member->last_ping_sent = false;
  if (was_dead)
    emit_event (swim, SWIM_EVENT_JOINED, member);
  emit_event (swim, SWIM_EVENT_SUSPECTED, member);
}

static void
declare_dead (swim_t *swim, int64_t now_us, swim_member_t *member, uint64_t incarnation,
              uint8_t flags)
{
  swim_update_t update = { .status = SWIM_DEAD, .incarnation = incarnation, .flags = flags };
  swim_table_update_member (&swim->table, member, &update, now_us + SWIM_DEAD_RETENTION_US);
  swim_table_enqueue_update (&swim->table, member);
  /* Spreads a departure immediately. Otherwise members that do not know it yet would suspect the
   * member. */
  if ((flags & SWIM_FLAG_LEFT) != 0)
    swim_ping_random_members (swim, false);
  emit_event (swim, SWIM_EVENT_DEAD, member);
}

static void
apply_alive (swim_t *swim, const swim_update_t *update, swim_channel_t channel)
{
  swim_member_t *member = swim_table_find (&swim->table, update->id);
  if (member == NULL)
    {
      member = swim_table_add (&swim->table, update);
      /* While quick syncs are left, as after the start, records received by sync are not spread.
       * They may be the whole table, which others already know. */
      if (channel == SWIM_CHANNEL_GOSSIP || swim->quick_syncs_left == 0)
        swim_table_enqueue_update (&swim->table, member);
      emit_event (swim, SWIM_EVENT_JOINED, member);
      return;
    }
  if (update->incarnation <= member->incarnation)
    return;

  bool was_dead = member->status == SWIM_DEAD;
  swim_table_update_member (&swim->table, member, update, 0);
  swim_table_enqueue_update (&swim->table, member);
  emit_event (swim, was_dead ? SWIM_EVENT_JOINED : SWIM_EVENT_UPDATED, member);
}

static void
apply_suspect (swim_t *swim, int64_t now_us, const swim_update_t *update)
{
  swim_member_t *member = swim_table_find (&swim->table, update->id);
  if (member == NULL || update->incarnation < member->incarnation)
    return;
  if (update->incarnation == member->incarnation && member->status != SWIM_ALIVE)
    return;
  swim_suspect (swim, now_us, member, update->incarnation);
}

static void
apply_dead (swim_t *swim, int64_t now_us, const swim_update_t *update, swim_channel_t channel)
{
  swim_member_t *member = swim_table_find (&swim->table, update->id);
  if (member == NULL || update->incarnation < member->incarnation)
    return;
  if (member->status == SWIM_DEAD)
    {
      swim_table_update_member (&swim->table, member, update, member->timer_expiry_us);
      return;
    }
  bool is_final = (update->flags & SWIM_FLAG_LEFT) != 0 || !swim->options.suspects_reported_deaths;
  bool already_suspected
      = member->status == SWIM_SUSPECT && member->incarnation == update->incarnation;
  if (is_final)
    declare_dead (swim, now_us, member, update->incarnation, update->flags);
  else if (already_suspected)
    return;
  else if (channel == SWIM_CHANNEL_GOSSIP || swim->table.suspect_count < SWIM_MAX_SYNC_SUSPECTS)
    swim_suspect (swim, now_us, member, update->incarnation);
}

void
swim_apply_update (swim_t *swim, int64_t now_us, const swim_update_t *update,
                   swim_channel_t channel)
{
  if (strcmp (update->id, swim->table.self->id) == 0)
    swim_refute (swim, update->status, update->incarnation);
  else if (update->status == SWIM_ALIVE)
    apply_alive (swim, update, channel);
  else if (update->status == SWIM_SUSPECT)
    apply_suspect (swim, now_us, update);
  else
    apply_dead (swim, now_us, update, channel);
}

void
swim_extend_suspicions (swim_t *swim, int64_t now_us)
{
  int64_t end_us = now_us + suspicion_timeout_us (swim);
  LIST_FOREACH (&swim->table.suspects, node)
  {
    swim_member_t *member = CONTAINER_OF (node, swim_member_t, timer_node);
    member->timer_expiry_us = MAX (member->timer_expiry_us, end_us);
  }
}

static void
send_last_pings (swim_t *swim, int64_t now_us)
{
  int count = 0;
  LIST_FOREACH (&swim->table.suspects, node)
  {
    swim_member_t *member = CONTAINER_OF (node, swim_member_t, timer_node);
    if (member->timer_expiry_us - LAST_PING_LEAD_US > now_us || count == MAX_LAST_PINGS_PER_TICK)
      return;
    if (member->last_ping_sent)
      continue;
    member->last_ping_sent = true;
    count++;
    swim_ping_untracked (swim, member->id, member->peer_address, false);
  }
}

void
swim_expire_timers (swim_t *swim, int64_t now_us)
{
  send_last_pings (swim, now_us);
  while (!list_is_empty (&swim->table.suspects))
    {
      swim_member_t *member
          = CONTAINER_OF (list_first (&swim->table.suspects), swim_member_t, timer_node);
      if (member->timer_expiry_us > now_us)
        break;
      declare_dead (swim, now_us, member, member->incarnation, member->flags);
    }
  while (!list_is_empty (&swim->table.dead))
    {
      swim_member_t *member
          = CONTAINER_OF (list_first (&swim->table.dead), swim_member_t, timer_node);
      if (member->timer_expiry_us > now_us)
        break;
      emit_event (swim, SWIM_EVENT_REMOVED, member);
      swim_table_remove (&swim->table, member);
    }
}
