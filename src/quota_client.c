#include "quota_client.h"

#include <string.h>

/* Entries that are assumed to share the quotas until an instance has told their number. */
#define DEFAULT_ENTRY_COUNT 64
/* Redirections that are followed between two steps of the search. Two instances with different
 * views of the group could redirect to each other for ever. */
#define MAX_HOPS 3
/* The search ends when no request has come for this time. */
#define SEARCH_IDLE_US INT64_C (1000000)
#define EVICTION_PERIOD_US INT64_C (1000000)
/* Refusals beyond the first are spread over at most this time. */
#define MAX_RETRY_SPREAD_US INT64_C (30000000)
/* The owner is usually found again within this time. */
#define MAX_FALLBACK_RETRY_US INT64_C (1000000)

typedef struct
{
  uint64_t team_id; /* first member: the key in quota_client_t.teams */
  list_node_t dirty_node;
  list_t waiting; /* quota_request_t, oldest first */
  uint32_t unasked_count;
  uint32_t used_count;     /* admitted here and not reported */
  uint32_t returned_count; /* credits for the owner */
  uint32_t allowance;
  int64_t allowance_end_us;
  quota_limit_t limit;
  quota_local_t local;
} quota_team_t;

typedef struct
{
  uint64_t number;
  int64_t sent_us;
  int64_t due_us; /* the owner is lost if there is no answer by then */
} quota_question_t;

static void
free_team (gpointer data)
{
  quota_team_t *team = data;
  list_remove (&team->dirty_node);
  g_free (team);
}

void
quota_client_init (quota_client_t *client, const quota_client_options_t *options)
{
  *client = (quota_client_t){ .options = *options, .report_due_us = INT64_MAX };
  client->entry_count = DEFAULT_ENTRY_COUNT;
  client->teams = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_team);
  client->unanswered = g_array_new (FALSE, FALSE, sizeof (quota_question_t));
  client->instances = g_ptr_array_new_with_free_func (g_free);
  list_init (&client->dirty);
  list_init (&client->decided);
}

void
quota_client_destroy (quota_client_t *client)
{
  g_clear_pointer (&client->teams, g_hash_table_unref);
  g_clear_pointer (&client->unanswered, g_array_unref);
  g_clear_pointer (&client->instances, g_ptr_array_unref);
}

void
quota_client_set_instances (quota_client_t *client, const GPtrArray *addresses)
{
  g_ptr_array_set_size (client->instances, 0);
  for (guint i = 0; i < addresses->len; i++)
    g_ptr_array_add (client->instances, g_strdup (g_ptr_array_index (addresses, i)));
}

/* Returns the share of LIMIT that this entry may admit by itself. */
static quota_limit_t
compute_share (const quota_client_t *client, const quota_limit_t *limit)
{
  return (quota_limit_t){ limit->rate / client->entry_count,
                          MAX (1, limit->burst / client->entry_count) };
}

static quota_team_t *
find_or_add_team (quota_client_t *client, int64_t now_us, uint64_t team_id,
                  const quota_limit_t *limit)
{
  quota_team_t *team = g_hash_table_lookup (client->teams, &team_id);
  if (team == NULL)
    {
      team = g_new0 (quota_team_t, 1);
      team->team_id = team_id;
      quota_limit_t share = compute_share (client, limit);
      quota_local_init (&team->local, now_us, &share);
      list_node_init (&team->dirty_node);
      list_init (&team->waiting);
      g_hash_table_insert (client->teams, &team->team_id, team);
    }
  team->limit = *limit;
  return team;
}

static void
mark_dirty (quota_client_t *client, quota_team_t *team)
{
  if (!list_node_is_linked (&team->dirty_node))
    list_push_back (&client->dirty, &team->dirty_node);
}

/* Requires a report of what has accumulated at DUE_US at the latest. */
static void
require_report (quota_client_t *client, quota_team_t *team, int64_t due_us)
{
  mark_dirty (client, team);
  client->report_due_us = MIN (client->report_due_us, due_us);
}

/* Reports the verdicts. A callback may call this module again. */
static void
report_verdicts (quota_client_t *client)
{
  if (client->reporting)
    return;
  client->reporting = true;
  while (!list_is_empty (&client->decided))
    {
      list_node_t *node = list_pop_front (&client->decided);
      quota_request_t *request = CONTAINER_OF (node, quota_request_t, node);
      request->on_verdict (request, request->admitted, request->retry_after_us);
    }
  client->reporting = false;
}

static void
decide (quota_client_t *client, quota_request_t *request, bool admitted, int64_t retry_after_us)
{
  list_remove (&request->node);
  request->admitted = admitted;
  request->has_credit = admitted;
  request->decided = true;
  request->owner_number = client->owner_number;
  request->retry_after_us = retry_after_us;
  list_push_back (&client->decided, &request->node);
}

static void
decide_locally (quota_client_t *client, int64_t now_us, quota_team_t *team,
                quota_request_t *request)
{
  quota_limit_t share = compute_share (client, &team->limit);
  if (quota_local_admit (&team->local, now_us, client->lost_us, &share))
    {
      client->stats.fallback_admitted_count++;
      if (now_us - client->lost_us < QUOTA_SILENCE_US)
        {
          team->used_count++;
          mark_dirty (client, team);
        }
      decide (client, request, true, 0);
      return;
    }
  client->stats.fallback_refused_count++;
  decide (client, request, false,
          MIN (quota_bucket_wait_us (&team->local.bucket, &share), MAX_FALLBACK_RETRY_US));
}

static void
decide_all_locally (quota_client_t *client, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, client->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      quota_team_t *team = value;
      while (!list_is_empty (&team->waiting))
        decide_locally (client, now_us, team,
                        CONTAINER_OF (list_first (&team->waiting), quota_request_t, node));
      team->unasked_count = 0;
    }
  client->unasked_count = 0;
}

static void
set_target (quota_client_t *client, const char *address)
{
  g_strlcpy (client->target, address, sizeof (client->target));
  g_array_set_size (client->unanswered, 0);
}

/* OLDEST_US is the time of the oldest request in the question. */
static void
send_question (quota_client_t *client, int64_t now_us, int64_t oldest_us, GArray *teams)
{
  quota_ask_t ask = { .number = ++client->ask_number, .teams = teams };
  quota_question_t question = { ask.number, now_us, oldest_us + QUOTA_TIMEOUT_US };
  g_array_append_val (client->unanswered, question);
  client->options.ops->send (client->options.data, client->target, &ask);
}

/* Asks TARGET whether it is the owner. */
static void
send_probe (quota_client_t *client, int64_t now_us)
{
  g_autoptr (GArray) no_teams = g_array_new (FALSE, FALSE, sizeof (quota_ask_team_t));
  send_question (client, now_us, now_us, no_teams);
}

/* Asks the next instance whether it is the owner. */
static void
search_step (quota_client_t *client, int64_t now_us)
{
  client->last_search_us = now_us;
  client->hop_count = 0;
  if (client->instances->len == 0)
    return;
  set_target (client, g_ptr_array_index (client->instances,
                                         client->next_instance++ % client->instances->len));
  send_probe (client, now_us);
}

/* Enters the search. Requests that wait are decided locally. */
static void
lose_owner (quota_client_t *client, int64_t now_us)
{
  if (client->lost_us == 0)
    {
      client->lost_us = now_us;
      client->stats.lost_count++;
    }
  decide_all_locally (client, now_us);
}

static bool
is_idle (const quota_client_t *client, int64_t now_us)
{
  return now_us - client->last_admit_us >= SEARCH_IDLE_US;
}

/* Forgets credits and reports. They are not for a new owner, whose buckets start after them, nor
 * for one that has reserved the share of this entry. */
static void
forget_reports (quota_client_t *client)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, client->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ((quota_team_t *)value)->returned_count = 0;
      ((quota_team_t *)value)->used_count = 0;
    }
}

static void
end_search (quota_client_t *client, int64_t now_us)
{
  if (client->lost_us == 0)
    return;
  if (now_us - client->lost_us >= QUOTA_SILENCE_US)
    forget_reports (client);
  if (!list_is_empty (&client->dirty))
    client->report_due_us = now_us;
  client->lost_us = 0;
}

static void
add_waiting (quota_client_t *client, quota_team_t *team, quota_request_t *request)
{
  list_push_back (&team->waiting, &request->node);
  team->unasked_count++;
  client->unasked_count++;
  mark_dirty (client, team);
}

void
quota_client_admit (quota_client_t *client, int64_t now_us, uint64_t team_id,
                    const quota_limit_t *limit, quota_request_t *request)
{
  quota_team_t *team = find_or_add_team (client, now_us, team_id, limit);
  list_node_init (&request->node);
  request->team_id = team_id;
  request->asked_us = now_us;
  /* The search was suspended, so nothing is known about the owner. */
  if (is_idle (client, now_us))
    end_search (client, now_us);
  client->last_admit_us = now_us;
  if (team->allowance > 0 && now_us < team->allowance_end_us)
    {
      team->allowance--;
      team->used_count++;
      client->stats.allowance_count++;
      quota_local_record_admission (&team->local, now_us);
      require_report (client, team, team->allowance > 0 ? now_us + QUOTA_REPORT_DELAY_US : now_us);
      decide (client, request, true, 0);
    }
  else if (client->lost_us != 0)
    decide_locally (client, now_us, team, request);
  else
    add_waiting (client, team, request);
  report_verdicts (client);
}

static void
give_credit (quota_client_t *client, int64_t now_us, quota_team_t *team, uint32_t count)
{
  team->returned_count += count;
  require_report (client, team, now_us + QUOTA_REPORT_DELAY_US);
}

void
quota_client_give_back (quota_client_t *client, int64_t now_us, quota_request_t *request)
{
  quota_team_t *team = g_hash_table_lookup (client->teams, &request->team_id);
  if (!request->has_credit)
    return;
  request->has_credit = false;
  /* Another owner did not subtract this request. */
  if (team != NULL && request->owner_number == client->owner_number && client->lost_us == 0)
    give_credit (client, now_us, team, 1);
}

void
quota_client_cancel (quota_client_t *client, int64_t now_us, quota_request_t *request)
{
  quota_team_t *team = g_hash_table_lookup (client->teams, &request->team_id);
  if (!list_node_is_linked (&request->node))
    return;
  list_remove (&request->node);
  if (request->decided)
    quota_client_give_back (client, now_us, request);
  else if (team != NULL && request->ask_number == 0)
    {
      team->unasked_count--;
      client->unasked_count--;
    }
}

bool
quota_client_needs_flush (const quota_client_t *client, int64_t now_us)
{
  return client->lost_us == 0 && (client->unasked_count > 0 || client->report_due_us <= now_us);
}

/* Puts the requests of TEAM that were not asked for into the question NUMBER. Returns the time of
 * the oldest one. */
static int64_t
number_requests (quota_client_t *client, int64_t now_us, quota_team_t *team, uint64_t number)
{
  int64_t oldest_us = now_us;
  LIST_FOREACH (&team->waiting, node)
  {
    quota_request_t *request = CONTAINER_OF (node, quota_request_t, node);
    if (request->ask_number != 0)
      continue;
    request->ask_number = number;
    oldest_us = MIN (oldest_us, request->asked_us);
  }
  client->stats.asked_count += team->unasked_count;
  client->unasked_count -= team->unasked_count;
  team->unasked_count = 0;
  return oldest_us;
}

static void
send_dirty (quota_client_t *client, int64_t now_us)
{
  g_autoptr (GArray) teams = g_array_new (FALSE, FALSE, sizeof (quota_ask_team_t));
  int64_t oldest_us = now_us;
  while (!list_is_empty (&client->dirty) && teams->len < QUOTA_MAX_MESSAGE_TEAMS)
    {
      quota_team_t *team = CONTAINER_OF (list_pop_front (&client->dirty), quota_team_t, dirty_node);
      quota_ask_team_t ask
          = { team->team_id, team->unasked_count, team->used_count, team->returned_count };
      int64_t team_oldest_us = number_requests (client, now_us, team, client->ask_number + 1);
      oldest_us = MIN (oldest_us, team_oldest_us);
      team->used_count = 0;
      team->returned_count = 0;
      if (ask.waiting_count + ask.used_count + ask.returned_count > 0)
        g_array_append_val (teams, ask);
    }
  client->report_due_us = list_is_empty (&client->dirty) ? INT64_MAX : now_us;
  if (teams->len > 0)
    send_question (client, now_us, oldest_us, teams);
}

void
quota_client_flush (quota_client_t *client, int64_t now_us)
{
  if (!quota_client_needs_flush (client, now_us))
    return;
  if (client->target[0] == '\0' && client->instances->len > 0)
    set_target (client, g_ptr_array_index (client->instances,
                                           client->next_instance++ % client->instances->len));
  if (client->target[0] != '\0')
    send_dirty (client, now_us);
  else
    lose_owner (client, now_us);
  report_verdicts (client);
}

/* Asks again for all requests that wait for the answer to a question before BEFORE. */
static void
ask_again (quota_client_t *client, uint64_t before)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, client->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      quota_team_t *team = value;
      LIST_FOREACH (&team->waiting, node)
      {
        quota_request_t *request = CONTAINER_OF (node, quota_request_t, node);
        if (request->ask_number == 0 || request->ask_number >= before)
          continue;
        request->ask_number = 0;
        team->unasked_count++;
        client->unasked_count++;
      }
      if (team->unasked_count > 0)
        mark_dirty (client, team);
    }
}

/* Records that the question NUMBER was answered. Answers keep the order of the questions, so those
 * to earlier questions are lost. Returns whether the question was open. */
static bool
close_question (quota_client_t *client, int64_t now_us, uint64_t number, int64_t *duration_us)
{
  guint index = 0;
  while (index < client->unanswered->len
         && g_array_index (client->unanswered, quota_question_t, index).number < number)
    index++;
  bool open = index < client->unanswered->len
              && g_array_index (client->unanswered, quota_question_t, index).number == number;
  if (!open)
    return false;
  *duration_us = now_us - g_array_index (client->unanswered, quota_question_t, index).sent_us;
  g_array_remove_range (client->unanswered, 0, index + 1);
  if (index > 0)
    ask_again (client, number);
  return true;
}

static void
set_owner (quota_client_t *client, int64_t now_us, const char *address)
{
  bool changed = strcmp (client->owner, address) != 0;
  if (changed)
    {
      forget_reports (client);
      g_strlcpy (client->owner, address, sizeof (client->owner));
      client->owner_number++;
      client->stats.owner_change_count++;
    }
  if (strcmp (client->target, address) != 0)
    set_target (client, address);
  end_search (client, now_us);
  client->hop_count = 0;
}

static void
apply_grant (quota_client_t *client, int64_t now_us, uint64_t number,
             const quota_grant_team_t *grant)
{
  quota_team_t *team = g_hash_table_lookup (client->teams, &grant->team_id);
  uint32_t admitted = grant->admitted_count;
  int64_t refusals = 0;
  if (team == NULL)
    return;
  LIST_FOREACH_SAFE (&team->waiting, node)
  {
    quota_request_t *request = CONTAINER_OF (node, quota_request_t, node);
    if (request->ask_number != number)
      continue;
    if (admitted > 0)
      {
        admitted--;
        quota_local_record_admission (&team->local, now_us);
        decide (client, request, true, 0);
        continue;
      }
    int64_t spread_us = MIN (refusals * grant->retry_step_us, MAX_RETRY_SPREAD_US);
    refusals++;
    client->stats.refused_count++;
    decide (client, request, false, grant->retry_after_us + spread_us);
  }
  /* These requests were cancelled or decided by the local bucket, which reports what it admits. */
  if (admitted > 0)
    give_credit (client, now_us, team, admitted);
  if (grant->refused_count > 0)
    quota_local_record_refusal (&team->local, now_us);
  team->allowance = grant->allowance > team->used_count ? grant->allowance - team->used_count : 0;
  team->allowance_end_us = now_us + QUOTA_ALLOWANCE_US;
}

void
quota_client_receive_grant (quota_client_t *client, int64_t now_us, const char *from,
                            const quota_grant_t *grant)
{
  int64_t duration_us = 0;
  bool is_target = strcmp (from, client->target) == 0;
  /* An owner that was silent may answer while the search asks other instances. */
  if (!is_target && (client->lost_us == 0 || strcmp (from, client->owner) != 0))
    return;
  if (is_target && close_question (client, now_us, grant->number, &duration_us)
      && client->options.ops->answered != NULL)
    client->options.ops->answered (client->options.data, duration_us);
  if (grant->entry_count > 0)
    client->entry_count = grant->entry_count;
  set_owner (client, now_us, from);
  for (guint i = 0; i < grant->teams->len; i++)
    apply_grant (client, now_us, grant->number,
                 &g_array_index (grant->teams, quota_grant_team_t, i));
  report_verdicts (client);
}

void
quota_client_receive_moved (quota_client_t *client, int64_t now_us, const char *from,
                            const quota_moved_t *moved)
{
  int64_t duration_us = 0;
  if (strcmp (from, client->target) != 0
      || !close_question (client, now_us, moved->number, &duration_us))
    return;
  if (moved->entry_count > 0)
    client->entry_count = moved->entry_count;
  if (moved->owner[0] == '\0' || strcmp (moved->owner, from) == 0 || ++client->hop_count > MAX_HOPS)
    {
      lose_owner (client, now_us);
      client->last_search_us = now_us;
    }
  else
    {
      set_target (client, moved->owner);
      if (client->lost_us != 0)
        send_probe (client, now_us);
      else
        ask_again (client, UINT64_MAX);
    }
  report_verdicts (client);
}

/* Evicts teams without anything to report whose local bucket is full. */
static void
evict (quota_client_t *client, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value = NULL;
  if (now_us - client->last_eviction_us < EVICTION_PERIOD_US)
    return;
  client->last_eviction_us = now_us;
  g_hash_table_iter_init (&iter, client->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      quota_team_t *team = value;
      quota_limit_t share = compute_share (client, &team->limit);
      quota_bucket_refill (&team->local.bucket, now_us, &share);
      bool is_idle_team = list_is_empty (&team->waiting) && team->local.bucket.tokens >= share.burst
                          && now_us >= team->allowance_end_us;
      if (is_idle_team && team->used_count == 0 && team->returned_count == 0)
        g_hash_table_iter_remove (&iter);
    }
}

void
quota_client_tick (quota_client_t *client, int64_t now_us)
{
  bool timed_out = client->unanswered->len > 0
                   && now_us >= g_array_index (client->unanswered, quota_question_t, 0).due_us;
  if (client->lost_us == 0 && timed_out)
    {
      lose_owner (client, now_us);
      search_step (client, now_us);
    }
  else if (client->lost_us != 0 && !is_idle (client, now_us)
           && now_us - client->last_search_us >= QUOTA_SEARCH_PERIOD_US)
    search_step (client, now_us);
  evict (client, now_us);
  report_verdicts (client);
}

int64_t
quota_client_next_due_us (const quota_client_t *client)
{
  int64_t due_us = INT64_MAX;
  if (g_hash_table_size (client->teams) > 0)
    due_us = client->last_eviction_us + EVICTION_PERIOD_US;
  if (client->lost_us != 0
      && client->last_search_us + QUOTA_SEARCH_PERIOD_US - client->last_admit_us < SEARCH_IDLE_US)
    due_us = MIN (due_us, client->last_search_us + QUOTA_SEARCH_PERIOD_US);
  if (client->lost_us == 0)
    due_us = MIN (due_us, client->report_due_us);
  if (client->lost_us == 0 && client->unanswered->len > 0)
    due_us = MIN (due_us, g_array_index (client->unanswered, quota_question_t, 0).due_us);
  return due_us;
}
