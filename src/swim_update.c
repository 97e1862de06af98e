#include "swim_internal.h"

#include <math.h>

/* The suspicion timeout is this many periods per doubling of the member count, at least the
 * minimum. An update reaches all members in a number of periods that grows in the same way. */
#define SUSPICION_PERIODS 1.0
#define SUSPICION_MINIMUM_PERIODS 3.0

/* Members, on average over the fleet, that tell a suspected member of the suspicion at once.
 * Without them a refutation takes as long to start as the suspicion takes to spread. */
#define SUSPICION_NOTICES 8

/* A suspected member is pinged once more this long before it is declared dead, because a refutation
 * reaches the last members late when there are many. */
#define LAST_CHECK_US SWIM_PERIOD_US
#define LAST_CHECKS_PER_TICK 4

static int64_t
suspicion_timeout_us (const swim_t *swim)
{
  double periods = SUSPICION_PERIODS * log2 ((double)swim_table_live (&swim->table) + 1);
  return (int64_t)(MAX (periods, SUSPICION_MINIMUM_PERIODS) * (double)SWIM_PERIOD_US);
}

static void
emit (const swim_t *swim, swim_event_t event, const swim_member_t *member)
{
  if (swim->io->on_member != NULL)
    swim->io->on_member (swim->io, event, member);
}

void
swim_change_self (swim_t *swim, uint8_t flags, uint64_t incarnation)
{
  swim_update_t own;
  swim_table_get (swim->table.self, &own);
  own.flags |= flags;
  own.incarnation = MAX (own.incarnation + 1, incarnation);
  swim_table_set (&swim->table, swim->table.self, &own, 0);
  swim_table_spread (&swim->table, swim->table.self);
}

void
swim_refute (swim_t *swim, swim_status_t status, uint64_t incarnation)
{
  uint64_t own = swim->table.self->incarnation;
  bool wrong = status == SWIM_ALIVE ? incarnation > own : incarnation >= own;
  if (!wrong)
    return;
  if (status != SWIM_ALIVE)
    swim->health = MIN (swim->health + 1, swim->options.health_limit);
  swim_change_self (swim, 0, incarnation + 1);
  if (status != SWIM_ALIVE)
    swim_contact_some (swim, true);
}

static void
notify_suspect (swim_t *swim, const swim_member_t *member)
{
  if (rng_below (&swim->rng, swim_table_live (&swim->table)) < SUSPICION_NOTICES)
    swim_contact (swim, member->id, member->peer_address, false);
}

void
swim_suspect (swim_t *swim, int64_t now_us, swim_member_t *member, uint64_t incarnation)
{
  bool was_dead = member->status == SWIM_DEAD;
  swim_update_t update = { .status = SWIM_SUSPECT, .incarnation = incarnation };
  update.flags = member->flags & (uint8_t)~SWIM_FLAG_LEFT;
  swim_table_set (&swim->table, member, &update, now_us + suspicion_timeout_us (swim));
  swim_table_spread (&swim->table, member);
  notify_suspect (swim, member);
  member->checked = false;
  if (was_dead)
    emit (swim, SWIM_EVENT_JOINED, member);
  emit (swim, SWIM_EVENT_SUSPECTED, member);
}

static void
declare_dead (swim_t *swim, int64_t now_us, swim_member_t *member, uint64_t incarnation,
              uint8_t flags)
{
  swim_update_t update = { .status = SWIM_DEAD, .incarnation = incarnation, .flags = flags };
  swim_table_set (&swim->table, member, &update, now_us + SWIM_RETENTION_US);
  swim_table_spread (&swim->table, member);
  /* Tells of a departure at once, or those who do not know it yet would suspect the member. */
  if ((flags & SWIM_FLAG_LEFT) != 0)
    swim_contact_some (swim, false);
  emit (swim, SWIM_EVENT_DEAD, member);
}

static void
apply_alive (swim_t *swim, const swim_update_t *update, swim_via_t via)
{
  swim_member_t *member = swim_table_find (&swim->table, update->id);
  if (member == NULL)
    {
      member = swim_table_add (&swim->table, update);
      /* An instance that joins gets the whole table and has nothing to tell of it. */
      if (via == SWIM_VIA_GOSSIP || swim->quick_syncs == 0)
        swim_table_spread (&swim->table, member);
      emit (swim, SWIM_EVENT_JOINED, member);
      return;
    }
  if (update->incarnation <= member->incarnation)
    return;

  bool was_dead = member->status == SWIM_DEAD;
  swim_table_set (&swim->table, member, update, 0);
  swim_table_spread (&swim->table, member);
  emit (swim, was_dead ? SWIM_EVENT_JOINED : SWIM_EVENT_UPDATED, member);
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
apply_dead (swim_t *swim, int64_t now_us, const swim_update_t *update, swim_via_t via)
{
  swim_member_t *member = swim_table_find (&swim->table, update->id);
  if (member == NULL || update->incarnation < member->incarnation)
    return;
  if (member->status == SWIM_DEAD)
    {
      swim_table_set (&swim->table, member, update, member->timer_us);
      return;
    }
  bool certain = (update->flags & SWIM_FLAG_LEFT) != 0 || !swim->options.demote_deaths;
  bool suspected = member->status == SWIM_SUSPECT && member->incarnation == update->incarnation;
  if (certain)
    declare_dead (swim, now_us, member, update->incarnation, update->flags);
  else if (suspected)
    return;
  else if (via == SWIM_VIA_GOSSIP || swim->table.suspect_count < SWIM_SYNC_SUSPECT_LIMIT)
    swim_suspect (swim, now_us, member, update->incarnation);
}

void
swim_apply_update (swim_t *swim, int64_t now_us, const swim_update_t *update, swim_via_t via)
{
  if (strcmp (update->id, swim->table.self->id) == 0)
    swim_refute (swim, update->status, update->incarnation);
  else if (update->status == SWIM_ALIVE)
    apply_alive (swim, update, via);
  else if (update->status == SWIM_SUSPECT)
    apply_suspect (swim, now_us, update);
  else
    apply_dead (swim, now_us, update, via);
}

void
swim_extend_suspicions (swim_t *swim, int64_t now_us)
{
  int64_t end_us = now_us + suspicion_timeout_us (swim);
  LIST_FOREACH (&swim->table.suspects, node)
  {
    swim_member_t *member = LIST_ENTRY (node, swim_member_t, timer_node);
    member->timer_us = MAX (member->timer_us, end_us);
  }
}

static void
send_last_checks (swim_t *swim, int64_t now_us)
{
  int count = 0;
  LIST_FOREACH (&swim->table.suspects, node)
  {
    swim_member_t *member = LIST_ENTRY (node, swim_member_t, timer_node);
    if (member->timer_us - LAST_CHECK_US > now_us || count == LAST_CHECKS_PER_TICK)
      return;
    if (member->checked)
      continue;
    member->checked = true;
    count++;
    swim_contact (swim, member->id, member->peer_address, false);
  }
}

void
swim_expire_timers (swim_t *swim, int64_t now_us)
{
  send_last_checks (swim, now_us);
  while (!list_is_empty (&swim->table.suspects))
    {
      swim_member_t *member
          = LIST_ENTRY (list_first (&swim->table.suspects), swim_member_t, timer_node);
      if (member->timer_us > now_us)
        break;
      declare_dead (swim, now_us, member, member->incarnation, member->flags);
    }
  while (!list_is_empty (&swim->table.dead))
    {
      swim_member_t *member
          = LIST_ENTRY (list_first (&swim->table.dead), swim_member_t, timer_node);
      if (member->timer_us > now_us)
        break;
      emit (swim, SWIM_EVENT_REMOVED, member);
      swim_table_remove (&swim->table, member);
    }
}
