#include "fleet_quota.h"

#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "fleet_quota"
#include "limiter.h"
#include "log.h"
#include "quota_wire.h"

/* Teams of a new configuration that one tick reads: an id takes about a microsecond, and an owner
 * that stalls loses its leadership. */
#define MAX_TEAMS_PER_TICK 25000
/* Every entry has reported to this instance after this time. Until then, their number is unknown.
 */
#define LEARN_TIME_US INT64_C (2500000)
/* The share of a silent entry is reserved for this long: longer than most partitions, and short
 * enough that the shares of lost machines return. */
#define RESERVE_TIME_US INT64_C (600000000)
/* Period of the metrics by team. */
#define USAGE_PERIOD_US INT64_C (10000000)

typedef struct
{
  uint64_t team_id;
  quota_limit_t limit;
  size_t index; /* of the team in the configuration */
} fleet_quota_limit_t;

typedef struct
{
  entry_state_t state;
  int64_t last_report_us;
} fleet_quota_entry_t;

static int64_t
now_us (const fleet_quota_t *quota)
{
  return io_loop_now_us (quota->options.loop);
}

static int
compare_team_ids (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;
  return x < y ? -1 : x > y;
}

static const fleet_quota_limit_t *
find_limit (const fleet_quota_t *quota, uint64_t team_id)
{
  /* team_id is the first member of the elements. */
  return bsearch (&team_id, quota->limits->data, quota->limits->len, sizeof (fleet_quota_limit_t),
                  compare_team_ids);
}

static bool
get_limit (void *data, uint64_t team_id, quota_limit_t *limit)
{
  const fleet_quota_limit_t *found = find_limit (data, team_id);
  if (found != NULL)
    *limit = found->limit;
  return found != NULL;
}

/* Reads the limits of some more teams of the next configuration. Applies it after the last one. */
static void
read_limits (fleet_quota_t *quota)
{
  if (quota->next_doc == NULL)
    return;
  size_t count = config_doc_team_count (quota->next_doc);
  size_t end = MIN (count, quota->next_index + MAX_TEAMS_PER_TICK);
  for (; quota->next_index < end; quota->next_index++)
    {
      const char *name = NULL;
      size_t size = 0;
      char text[CONFIG_MAX_NAME_SIZE + 1];
      const config_limit_t *limit
          = config_doc_team_limit_at (quota->next_doc, quota->next_index, &name, &size);
      if (limit == NULL || limit->rate <= 0 || size >= sizeof (text))
        continue;
      memcpy (text, name, size);
      text[size] = '\0';
      fleet_quota_limit_t element
          = { limiter_team_id (text), { limit->rate, MAX (limit->burst, 1) }, quota->next_index };
      g_array_append_val (quota->next_limits, element);
    }
  if (quota->next_index < count)
    return;
  qsort (quota->next_limits->data, quota->next_limits->len, sizeof (fleet_quota_limit_t),
         compare_team_ids);
  g_array_unref (quota->limits);
  quota->limits = g_steal_pointer (&quota->next_limits);
  config_doc_unref (quota->doc);
  quota->doc = g_steal_pointer (&quota->next_doc);
  LOG_INFO ("quotas teams=%u", quota->limits->len);
}

void
fleet_quota_set_config (fleet_quota_t *quota, const config_doc_t *doc)
{
  const config_doc_t *newest = quota->next_doc != NULL ? quota->next_doc : quota->doc;
  if (doc == NULL || doc == newest)
    return;
  config_doc_unref (quota->next_doc);
  g_clear_pointer (&quota->next_limits, g_array_unref);
  quota->next_doc = config_doc_ref ((config_doc_t *)doc);
  quota->next_limits = g_array_new (FALSE, FALSE, sizeof (fleet_quota_limit_t));
  quota->next_index = 0;
  read_limits (quota);
}

void
fleet_quota_record_entry (fleet_quota_t *quota, const char *id, entry_state_t state)
{
  fleet_quota_entry_t *entry = g_hash_table_lookup (quota->entries, id);
  if (entry == NULL)
    {
      entry = g_new0 (fleet_quota_entry_t, 1);
      g_hash_table_insert (quota->entries, g_strdup (id), entry);
    }
  entry->state = state;
  entry->last_report_us = now_us (quota);
}

static gboolean
is_gone (gpointer key, gpointer value, gpointer data)
{
  const fleet_quota_entry_t *entry = value;
  int64_t silent_us = now_us (data) - entry->last_report_us;
  return silent_us >= (entry->state == ENTRY_READY ? RESERVE_TIME_US : QUOTA_SILENCE_US);
}

/* Counts the entries that share the quotas, and those of them that are silent. */
static void
count_entries (fleet_quota_t *quota)
{
  uint32_t silent_count = 0;
  GHashTableIter iter;
  gpointer value = NULL;
  if (now_us (quota) - quota->created_us < LEARN_TIME_US)
    return;
  g_hash_table_foreach_remove (quota->entries, is_gone, quota);
  g_hash_table_iter_init (&iter, quota->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    silent_count
        += now_us (quota) - ((fleet_quota_entry_t *)value)->last_report_us >= QUOTA_SILENCE_US;
  quota_owner_set_entries (&quota->owner, g_hash_table_size (quota->entries), silent_count);
}

/* Returns whether this instance is the owner. Starts ownership in a new term. */
static bool
update_ownership (fleet_quota_t *quota)
{
  raft_status_t status;
  bool is_owner = !quota->stopping && quota->options.group->started && quota->options.group->leading
                  && replica_group_in_contact (quota->options.group);
  if (is_owner != (quota->is_owner.value != 0))
    LOG_NOTICE ("owner of the quotas=%d", is_owner);
  metric_set (&quota->is_owner, is_owner);
  if (!is_owner)
    return false;
  raft_get_status (&quota->options.group->raft, &status);
  /* In the same term no other instance was the owner, so the buckets are still right. */
  if (status.term != quota->term)
    quota_owner_reset (&quota->owner, now_us (quota));
  quota->term = status.term;
  return true;
}

static void
redirect (fleet_quota_t *quota, const link_t *link, uint64_t number)
{
  char name[RAFT_NAME_SIZE] = "";
  char call_address[LINK_ADDRESS_SIZE];
  wire_writer_t writer;
  quota_moved_t moved = { .number = number, .entry_count = quota->owner.entry_count };
  if (quota->options.group->started && !quota->options.group->leading
      && replica_group_in_contact (quota->options.group))
    replica_group_get_leader_name (quota->options.group, name);
  replica_group_split_member_name (name, moved.owner, call_address);
  metric_inc (&quota->redirected);
  quota_moved_encode (&moved, &writer);
  peer_network_reply_writer (quota->options.network, link->sequence_number, &writer);
}

static void
answer (fleet_quota_t *quota, const link_t *link, const quota_ask_t *ask)
{
  g_autoptr (GArray) teams = g_array_new (FALSE, FALSE, sizeof (quota_grant_team_t));
  quota_grant_t grant = { .teams = teams };
  wire_writer_t writer;
  quota_owner_answer (&quota->owner, now_us (quota), ask, &grant);
  for (guint i = 0; i < teams->len; i++)
    {
      metric_add (&quota->admitted, g_array_index (teams, quota_grant_team_t, i).admitted_count);
      metric_add (&quota->admitted, g_array_index (ask->teams, quota_ask_team_t, i).used_count);
      metric_add (&quota->refused, g_array_index (teams, quota_grant_team_t, i).refused_count);
    }
  quota_grant_encode (&grant, &writer);
  peer_network_reply_writer (quota->options.network, link->sequence_number, &writer);
}

static void
receive_ask (fleet_quota_t *quota, const link_t *link, wire_reader_t *reader)
{
  g_autoptr (GArray) teams = g_array_new (FALSE, TRUE, sizeof (quota_ask_team_t));
  quota_ask_t ask = { .teams = teams };
  if (!quota_ask_decode (&ask, reader))
    {
      LOG_WARNING ("malformed question about quotas peer=%s", link->peer.id);
      return;
    }
  fleet_quota_entry_t *entry = g_hash_table_lookup (quota->entries, link->peer.id);
  if (entry != NULL)
    entry->last_report_us = now_us (quota);
  if (update_ownership (quota))
    answer (quota, link, &ask);
  else
    redirect (quota, link, ask.number);
}

bool
fleet_quota_receive (fleet_quota_t *quota, const link_t *link, wire_type_t type,
                     wire_reader_t *reader)
{
  if (type != WIRE_FLEET_QUOTA_ASK)
    return false;
  receive_ask (quota, link, reader);
  return true;
}

static void
clear_team_metrics (fleet_quota_t *quota)
{
  for (size_t i = 0; i < quota->team_metric_count; i++)
    {
      metric_unregister (&quota->teams[i].admitted);
      metric_unregister (&quota->teams[i].refused);
    }
  quota->team_metric_count = 0;
}

static void
add_team_metric (fleet_quota_t *quota, const char *name, size_t name_size,
                 const quota_usage_t *usage)
{
  fleet_quota_team_metric_t *metric = &quota->teams[quota->team_metric_count++];
  g_snprintf (metric->admitted_labels, sizeof (metric->admitted_labels),
              "team=\"%.*s\",verdict=\"admitted\"", (int)name_size, name);
  g_snprintf (metric->refused_labels, sizeof (metric->refused_labels),
              "team=\"%.*s\",verdict=\"refused\"", (int)name_size, name);
  metric_register (quota->options.counters, &metric->admitted, METRIC_KIND_GAUGE,
                   "anvillb_quota_team_requests", metric->admitted_labels,
                   "Requests of the largest teams in the last 10 s.");
  metric_register (quota->options.counters, &metric->refused, METRIC_KIND_GAUGE,
                   "anvillb_quota_team_requests", metric->refused_labels,
                   "Requests of the largest teams in the last 10 s.");
  metric_set (&metric->admitted, (int64_t)usage->admitted_count);
  metric_set (&metric->refused, (int64_t)usage->refused_count);
}

static int
compare_usages (const void *a, const void *b)
{
  const quota_usage_t *x = a;
  const quota_usage_t *y = b;
  uint64_t x_count = x->admitted_count + x->refused_count;
  uint64_t y_count = y->admitted_count + y->refused_count;
  return x_count > y_count ? -1 : x_count < y_count;
}

/* Shows the use of the largest teams, and of the others together. */
static void
show_usage (fleet_quota_t *quota)
{
  g_autoptr (GArray) usages = g_array_new (FALSE, FALSE, sizeof (quota_usage_t));
  quota_usage_t rest = { .team_id = 0 };
  quota_owner_take_usage (&quota->owner, usages);
  qsort (usages->data, usages->len, sizeof (quota_usage_t), compare_usages);
  clear_team_metrics (quota);
  for (guint i = 0; i < usages->len; i++)
    {
      const quota_usage_t *usage = &g_array_index (usages, quota_usage_t, i);
      const fleet_quota_limit_t *limit = find_limit (quota, usage->team_id);
      const char *name = NULL;
      size_t size = 0;
      if (quota->team_metric_count < FLEET_QUOTA_MAX_TEAM_METRICS && limit != NULL
          && usage->admitted_count + usage->refused_count > 0)
        {
          config_doc_team_limit_at (quota->doc, limit->index, &name, &size);
          add_team_metric (quota, name, size, usage);
          continue;
        }
      rest.admitted_count += usage->admitted_count;
      rest.refused_count += usage->refused_count;
    }
  if (usages->len > 0)
    add_team_metric (quota, "", 0, &rest);
  metric_set (&quota->buckets, (int64_t)quota_owner_bucket_count (&quota->owner));
}

void
fleet_quota_tick (fleet_quota_t *quota)
{
  read_limits (quota);
  count_entries (quota);
  update_ownership (quota);
  if (now_us (quota) < quota->next_usage_us)
    return;
  quota->next_usage_us = now_us (quota) + USAGE_PERIOD_US;
  show_usage (quota);
}

void
fleet_quota_stop (fleet_quota_t *quota)
{
  quota->stopping = true;
}

void
fleet_quota_init (fleet_quota_t *quota, const fleet_quota_options_t *options)
{
  metric_registry_t *registry = options->counters;
  *quota = (fleet_quota_t){ .options = *options };
  quota_owner_options_t owner_options = { .find_limit = get_limit, .data = quota };
  quota_owner_init (&quota->owner, &owner_options);
  quota->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  quota->limits = g_array_new (FALSE, FALSE, sizeof (fleet_quota_limit_t));
  quota->created_us = now_us (quota);
  metric_register (registry, &quota->is_owner, METRIC_KIND_GAUGE, "anvillb_quota_owner", NULL,
                   "Whether this instance decides about quotas.");
  metric_register (registry, &quota->admitted, METRIC_KIND_COUNTER, "anvillb_quota_requests_total",
                   "verdict=\"admitted\"",
                   "Requests that this instance decided about, and reported ones.");
  metric_register (registry, &quota->refused, METRIC_KIND_COUNTER, "anvillb_quota_requests_total",
                   "verdict=\"refused\"",
                   "Requests that this instance decided about, and reported ones.");
  metric_register (registry, &quota->redirected, METRIC_KIND_COUNTER,
                   "anvillb_quota_redirected_total", NULL,
                   "Questions about quotas that were redirected to the owner.");
  metric_register (registry, &quota->buckets, METRIC_KIND_GAUGE, "anvillb_quota_teams", NULL,
                   "Teams with a bucket in use at this instance.");
}

void
fleet_quota_destroy (fleet_quota_t *quota)
{
  quota_owner_destroy (&quota->owner);
  config_doc_unref (quota->doc);
  config_doc_unref (quota->next_doc);
  g_clear_pointer (&quota->entries, g_hash_table_unref);
  g_clear_pointer (&quota->limits, g_array_unref);
  g_clear_pointer (&quota->next_limits, g_array_unref);
}
