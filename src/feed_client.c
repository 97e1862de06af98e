#include "feed_client.h"

#include <string.h>

#define LOG_MODULE "feed_client"
#include "log.h"

#define TICK_US INT64_C (100000)
#define REPORT_PERIOD_US INT64_C (500000)
/* Every second report goes to all instances. The others get fewer, because their links cross
 * failure domains. */
#define REPORT_TO_ALL_INTERVAL 2
/* The feed answers each report. One answer may be lost or late, but not two in a row. */
#define FEED_TIMEOUT_US INT64_C (1200000)
/* Shortest time between two switches of the feed. */
#define MIN_SWITCH_INTERVAL_US INT64_C (400000)
/* Age at which the view of an instance other than the feed is requested again. */
#define VIEW_REFRESH_US INT64_C (5000000)
/* An older view does not show that the instance is in contact with the group. */
#define MAX_VIEW_AGE_US INT64_C (1200000)
/* An instance that is not a seed is dropped when it has sent no view and no view has listed it for
 * this long. */
#define MEMBER_RETENTION_US INT64_C (20000000)

typedef struct
{
  char address[LINK_ADDRESS_SIZE]; /* key */
  char domain[LINK_ID_SIZE];       /* "" until the first VIEW */
  int64_t last_view_us;            /* 0: no VIEW has arrived */
  int64_t last_seen_us; /* last VIEW from it, or last time that a view or the seeds listed it */
  bool in_contact;      /* with the group, as of the last VIEW */
  bool is_seed;
} feed_member_t;

static int64_t
now_us (const feed_client_t *client)
{
  return io_loop_now_us (client->options.loop);
}

static feed_member_t *
find_or_add_member (feed_client_t *client, const char *address)
{
  feed_member_t *member = g_hash_table_lookup (client->members, address);
  if (member == NULL)
    {
      member = g_new0 (feed_member_t, 1);
      g_strlcpy (member->address, address, sizeof (member->address));
      g_hash_table_insert (client->members, member->address, member);
    }
  member->last_seen_us = now_us (client);
  return member;
}

static bool
is_view_recent (const feed_client_t *client, const feed_member_t *member)
{
  return member->last_view_us != 0 && now_us (client) - member->last_view_us < MAX_VIEW_AGE_US;
}

/* Returns whether the feed is silent or has lost contact with the group. */
static bool
is_feed_lost (const feed_client_t *client)
{
  const feed_member_t *feed = g_hash_table_lookup (client->members, client->feed);
  return feed == NULL || !feed->in_contact || !is_view_recent (client, feed);
}

static void
send_report (feed_client_t *client, const feed_member_t *member)
{
  bool is_feed = strcmp (member->address, client->feed) == 0;
  fleet_status_t status = {
    .state = client->state,
    .version = client->version,
    .wants_feed = is_feed,
    .wants_sync = is_feed && !client->synced,
    .capacity = client->options.capacity,
    .wants_view
    = is_feed || is_feed_lost (client) || now_us (client) - member->last_view_us >= VIEW_REFRESH_US,
  };
  wire_writer_t writer;
  g_strlcpy (status.caller_address, client->options.caller_address, sizeof (status.caller_address));
  fleet_status_encode (&status, &writer);
  peer_network_send_writer (client->options.network, member->address, &writer);
}

static void
send_reports (feed_client_t *client, bool to_all)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, client->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const feed_member_t *member = value;
      if (to_all || strcmp (member->address, client->feed) == 0)
        send_report (client, member);
    }
  client->next_report_us = now_us (client) + REPORT_PERIOD_US;
}

/* Returns the rank of MEMBER as a feed: contact with the group counts more than the own failure
 * domain. After the loss of the feed only views that arrived since then show contact. */
static int
compute_rank (const feed_client_t *client, const feed_member_t *member)
{
  int value = 0;
  if (strcmp (member->domain, client->options.domain) == 0)
    value += 2;
  if (member->in_contact && is_view_recent (client, member)
      && member->last_view_us >= client->feed_lost_us)
    value += 4;
  return value;
}

static bool
is_usable (const feed_client_t *client, const feed_member_t *member)
{
  return member->last_view_us != 0
         && peer_network_is_open (client->options.network, member->address);
}

static const feed_member_t *
find_best_feed (const feed_client_t *client)
{
  const feed_member_t *best = NULL;
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, client->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const feed_member_t *member = value;
      if (!is_usable (client, member))
        continue;
      if (best == NULL || compute_rank (client, member) > compute_rank (client, best)
          || (compute_rank (client, member) == compute_rank (client, best)
              && strcmp (member->address, best->address) < 0))
        best = member;
    }
  return best;
}

static void
switch_feed (feed_client_t *client, const feed_member_t *member)
{
  LOG_NOTICE ("feed from=%s to=%s domain=%s current=%d", client->feed, member->address,
              member->domain, member->in_contact);
  g_strlcpy (client->feed, member->address, sizeof (client->feed));
  client->last_switch_us = now_us (client);
  client->synced = false;
  send_reports (client, true);
}

/* Records whether the feed is lost. When it is lost, asks all instances for their views. */
static void
update_loss (feed_client_t *client)
{
  bool lost = is_feed_lost (client);
  if (lost && client->feed_lost_us == 0)
    {
      client->feed_lost_us = now_us (client);
      send_reports (client, true);
    }
  else if (!lost)
    client->feed_lost_us = 0;
}

/* Switches to another feed if the present one is silent, or if another one has a higher rank. */
static void
update_feed (feed_client_t *client)
{
  update_loss (client);
  const feed_member_t *feed = g_hash_table_lookup (client->members, client->feed);
  const feed_member_t *best = find_best_feed (client);
  int64_t now = now_us (client);
  if (best == NULL || best == feed || now - client->last_switch_us < MIN_SWITCH_INTERVAL_US)
    return;
  bool silent = feed == NULL
                || now - MAX (feed->last_view_us, client->last_switch_us) >= FEED_TIMEOUT_US
                || !is_usable (client, feed);
  if (silent || compute_rank (client, best) > compute_rank (client, feed))
    switch_feed (client, best);
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer data)
{
  const feed_member_t *member = value;
  const feed_client_t *client = data;
  return !member->is_seed && now_us (client) - member->last_seen_us >= MEMBER_RETENTION_US
         && strcmp (member->address, client->feed) != 0;
}

static void
on_timer (io_timer_t *timer)
{
  feed_client_t *client = CONTAINER_OF (timer, feed_client_t, timer);
  update_feed (client);
  if (now_us (client) >= client->next_report_us)
    {
      bool searching = !client->synced || is_feed_lost (client);
      send_reports (client, client->report_count++ % REPORT_TO_ALL_INTERVAL == 0 || searching);
      g_hash_table_foreach_remove (client->members, is_expired, client);
    }
  io_timer_set (client->options.loop, timer, now_us (client) + TICK_US);
}

void
feed_client_init (feed_client_t *client, const feed_client_options_t *options)
{
  *client = (feed_client_t){ .options = *options };
  client->members = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  client->peers = g_ptr_array_new_with_free_func (g_free);
  client->cell_count = 1;
  io_timer_init (&client->timer, on_timer);
}

void
feed_client_destroy (feed_client_t *client)
{
  io_timer_cancel (&client->timer);
  g_clear_pointer (&client->members, g_hash_table_unref);
  g_clear_pointer (&client->peers, g_ptr_array_unref);
}

void
feed_client_set_seeds (feed_client_t *client, const GPtrArray *seeds)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, client->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((feed_member_t *)value)->is_seed = false;
  for (guint i = 0; i < seeds->len; i++)
    {
      const char *seed = g_ptr_array_index (seeds, i);
      if (seed != NULL)
        find_or_add_member (client, seed)->is_seed = true;
    }
}

void
feed_client_start (feed_client_t *client)
{
  feed_client_set_seeds (client, client->options.seeds);
  send_reports (client, true);
  io_timer_set (client->options.loop, &client->timer, now_us (client) + TICK_US);
}

void
feed_client_set_state (feed_client_t *client, entry_state_t state)
{
  if (client->state == state)
    return;
  client->state = state;
  send_reports (client, true);
}

void
feed_client_set_version (feed_client_t *client, uint64_t version)
{
  client->version = version;
}

bool
feed_client_was_synced (const feed_client_t *client)
{
  return client->was_synced;
}

static void
receive_view (feed_client_t *client, const link_t *link, wire_reader_t *reader)
{
  fleet_view_t view = { .in_contact = false };
  bool valid = fleet_view_decode (&view, reader);
  if (!valid)
    LOG_WARNING ("malformed view peer=%s", link->peer.id);
  else
    {
      feed_member_t *member = find_or_add_member (client, link->peer.address);
      g_strlcpy (member->domain, link->peer.domain, sizeof (member->domain));
      if (member->in_contact != view.in_contact)
        LOG_INFO ("control instance address=%s current=%d", member->address, view.in_contact);
      member->last_view_us = now_us (client);
      member->in_contact = view.in_contact;
      for (guint i = 0; i < view.members->len; i++)
        find_or_add_member (client, g_ptr_array_index (view.members, i));
      if (strcmp (member->address, client->feed) == 0)
        {
          g_ptr_array_unref (client->peers);
          client->peers = g_ptr_array_ref (view.peers);
          bool cell_changed
              = client->cell_count != view.cell_count || client->cell_index != view.own_cell_index;
          client->cell_count = view.cell_count;
          client->cell_index = view.own_cell_index;
          if (cell_changed)
            {
              LOG_INFO ("cell=%u of=%u peers=%u", view.own_cell_index, view.cell_count,
                        view.peers->len);
              client->options.on_cell_changed (client->options.data);
            }
        }
    }
  fleet_view_clear (&view);
  update_feed (client);
}

static void
receive_config (feed_client_t *client, wire_reader_t *reader)
{
  version_seal_t seal;
  g_autoptr (GBytes) text = fleet_config_decode (&seal, reader);
  if (text == NULL)
    {
      LOG_WARNING ("malformed configuration");
      return;
    }
  if (seal.version > client->version)
    client->options.on_config (client->options.data, &seal, text);
}

static void
receive_targets (feed_client_t *client, const link_t *link, wire_reader_t *reader)
{
  g_autoptr (GArray) targets = g_array_new (FALSE, TRUE, sizeof (registry_target_t));
  if (!fleet_targets_decode (targets, now_us (client), reader))
    {
      LOG_WARNING ("malformed targets peer=%s", link->peer.id);
      return;
    }
  /* The feed answers wants_sync with one message that contains all targets. Messages that contain
   * only changes follow it. */
  if (strcmp (link->peer.address, client->feed) == 0)
    client->synced = true;
  client->was_synced = client->was_synced || client->synced;
  client->options.on_targets (client->options.data, targets);
}

static void
receive_departures (feed_client_t *client, const link_t *link, wire_reader_t *reader)
{
  g_autoptr (GArray) departures = g_array_new (FALSE, TRUE, sizeof (registry_departure_t));
  if (fleet_departed_decode (departures, reader))
    client->options.on_departures (client->options.data, departures);
  else
    LOG_WARNING ("malformed departures peer=%s", link->peer.id);
}

bool
feed_client_receive (feed_client_t *client, const link_t *link, wire_type_t type,
                     wire_reader_t *reader)
{
  if (type == WIRE_FLEET_VIEW)
    receive_view (client, link, reader);
  else if (type == WIRE_FLEET_CONFIG)
    receive_config (client, reader);
  else if (type == WIRE_FLEET_TARGETS)
    receive_targets (client, link, reader);
  else if (type == WIRE_FLEET_DEPARTED)
    receive_departures (client, link, reader);
  else
    return false;
  return true;
}
