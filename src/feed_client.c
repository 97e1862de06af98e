#include "feed_client.h"

#include <string.h>

#define LOG_MODULE "feed_client"
#include "log.h"

#define TICK_US INT64_C (100000)
#define REPORT_US INT64_C (500000)
/* The other instances hear from the entry less often: their links cross failure domains. */
#define OTHERS_EVERY 2
/* A feed answers each report; two answers in a row may be lost or late. */
#define FEED_SILENCE_US INT64_C (1200000)
#define FEED_GRACE_US INT64_C (400000)
#define VIEW_LIFE_US INT64_C (5000000)
/* A view that is older says nothing about contact with the group. */
#define VIEW_FRESH_US INT64_C (1200000)
/* A member that neither the settings nor a view has named for this long is forgotten. */
#define MEMBER_LIFE_US INT64_C (20000000)

typedef struct
{
  char address[LINK_ADDRESS_SIZE]; /* key */
  char domain[LINK_ID_SIZE];       /* "" until it is known */
  int64_t view_us;                 /* last VIEW; 0: none */
  int64_t named_us;
  bool current;
  bool seed;
} feed_member_t;

static int64_t
now_us (const feed_client_t *client)
{
  return io_loop_now_us (client->options.loop);
}

static feed_member_t *
name_member (feed_client_t *client, const char *address)
{
  feed_member_t *member = g_hash_table_lookup (client->members, address);
  if (member == NULL)
    {
      member = g_new0 (feed_member_t, 1);
      g_strlcpy (member->address, address, sizeof (member->address));
      g_hash_table_insert (client->members, member->address, member);
    }
  member->named_us = now_us (client);
  return member;
}

static bool
is_fresh (const feed_client_t *client, const feed_member_t *member)
{
  return member->view_us != 0 && now_us (client) - member->view_us < VIEW_FRESH_US;
}

/* Returns whether the feed is silent or has lost contact with the group. */
static bool
is_feed_lost (const feed_client_t *client)
{
  const feed_member_t *feed = g_hash_table_lookup (client->members, client->feed);
  return feed == NULL || !feed->current || !is_fresh (client, feed);
}

static void
report_to (feed_client_t *client, const feed_member_t *member)
{
  bool feed = strcmp (member->address, client->feed) == 0;
  fleet_status_t status = {
    .state = client->state,
    .version = client->version,
    .feed = feed,
    .resync = feed && !client->synced,
    .capacity = client->options.capacity,
    .want_view = feed || is_feed_lost (client) || now_us (client) - member->view_us >= VIEW_LIFE_US,
  };
  wire_writer_t writer;
  g_strlcpy (status.caller_address, client->options.caller_address, sizeof (status.caller_address));
  fleet_status_encode (&status, &writer);
  peer_network_send_writer (client->options.network, member->address, &writer);
}

static void
report (feed_client_t *client, bool to_all)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, client->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const feed_member_t *member = value;
      if (to_all || strcmp (member->address, client->feed) == 0)
        report_to (client, member);
    }
  client->report_us = now_us (client) + REPORT_US;
}

/* Rank as a feed: first whether it is in contact with the group, then the own failure domain. After
 * the loss of the feed only views from then on count. */
static int
rank (const feed_client_t *client, const feed_member_t *member)
{
  int value = 0;
  if (strcmp (member->domain, client->options.domain) == 0)
    value += 2;
  if (member->current && is_fresh (client, member) && member->view_us >= client->lost_us)
    value += 4;
  return value;
}

static bool
is_usable (const feed_client_t *client, const feed_member_t *member)
{
  return member->view_us != 0 && peer_network_is_open (client->options.network, member->address);
}

static const feed_member_t *
find_best (const feed_client_t *client)
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
      if (best == NULL || rank (client, member) > rank (client, best)
          || (rank (client, member) == rank (client, best)
              && strcmp (member->address, best->address) < 0))
        best = member;
    }
  return best;
}

static void
switch_feed (feed_client_t *client, const feed_member_t *member)
{
  LOG_NOTICE ("feed from=%s to=%s domain=%s current=%d", client->feed, member->address,
              member->domain, member->current);
  g_strlcpy (client->feed, member->address, sizeof (client->feed));
  client->feed_since_us = now_us (client);
  client->synced = false;
  report (client, true);
}

/* Notes the loss of the feed, and asks all instances for their views. */
static void
note_loss (feed_client_t *client)
{
  bool lost = is_feed_lost (client);
  if (lost && client->lost_us == 0)
    {
      client->lost_us = now_us (client);
      report (client, true);
    }
  else if (!lost)
    client->lost_us = 0;
}

/* Chooses another feed if the present one is silent or has lost contact with the group, or if one
 * in the own failure domain is to be had. */
static void
check_feed (feed_client_t *client)
{
  note_loss (client);
  const feed_member_t *feed = g_hash_table_lookup (client->members, client->feed);
  const feed_member_t *best = find_best (client);
  int64_t now = now_us (client);
  if (best == NULL || best == feed || now - client->feed_since_us < FEED_GRACE_US)
    return;
  bool silent = feed == NULL || now - MAX (feed->view_us, client->feed_since_us) >= FEED_SILENCE_US
                || !is_usable (client, feed);
  if (silent || rank (client, best) > rank (client, feed))
    switch_feed (client, best);
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer data)
{
  const feed_member_t *member = value;
  const feed_client_t *client = data;
  return !member->seed && now_us (client) - member->named_us >= MEMBER_LIFE_US
         && strcmp (member->address, client->feed) != 0;
}

static void
on_timer (io_timer_t *timer)
{
  feed_client_t *client = LIST_ENTRY (timer, feed_client_t, timer);
  check_feed (client);
  if (now_us (client) >= client->report_us)
    {
      bool searching = !client->synced || is_feed_lost (client);
      report (client, client->reports++ % OTHERS_EVERY == 0 || searching);
      g_hash_table_foreach_remove (client->members, is_forgotten, client);
    }
  io_timer_set (client->options.loop, timer, now_us (client) + TICK_US);
}

void
feed_client_init (feed_client_t *client, const feed_client_options_t *options)
{
  *client = (feed_client_t){ .options = *options };
  client->members = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  client->peers = g_ptr_array_new_with_free_func (g_free);
  client->cells = 1;
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
feed_client_add_seeds (feed_client_t *client, const GPtrArray *seeds)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, client->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((feed_member_t *)value)->seed = false;
  for (guint i = 0; i < seeds->len; i++)
    {
      const char *seed = g_ptr_array_index (seeds, i);
      if (seed != NULL)
        name_member (client, seed)->seed = true;
    }
}

void
feed_client_start (feed_client_t *client)
{
  feed_client_add_seeds (client, client->options.seeds);
  report (client, true);
  io_timer_set (client->options.loop, &client->timer, now_us (client) + TICK_US);
}

void
feed_client_set_state (feed_client_t *client, entry_state_t state)
{
  if (client->state == state)
    return;
  client->state = state;
  report (client, true);
}

void
feed_client_set_version (feed_client_t *client, uint64_t version)
{
  client->version = version;
}

bool
feed_client_was_synced (const feed_client_t *client)
{
  return client->synced_once;
}

static void
receive_view (feed_client_t *client, const link_t *link, wire_reader_t *reader)
{
  fleet_view_t view = { .current = false };
  bool valid = fleet_view_decode (&view, reader);
  if (!valid)
    LOG_WARNING ("unreadable view peer=%s", link->peer.id);
  else
    {
      feed_member_t *member = name_member (client, link->peer.address);
      g_strlcpy (member->domain, link->peer.domain, sizeof (member->domain));
      if (member->current != view.current)
        LOG_INFO ("control instance address=%s current=%d", member->address, view.current);
      member->view_us = now_us (client);
      member->current = view.current;
      for (guint i = 0; i < view.control->len; i++)
        name_member (client, g_ptr_array_index (view.control, i));
      if (strcmp (member->address, client->feed) == 0)
        {
          g_ptr_array_unref (client->peers);
          client->peers = g_ptr_array_ref (view.peers);
          bool moved = client->cells != view.cells || client->cell != view.cell;
          client->cells = view.cells;
          client->cell = view.cell;
          if (moved)
            {
              LOG_INFO ("cell=%u of=%u peers=%u", view.cell, view.cells, view.peers->len);
              client->options.on_cell (client->options.data);
            }
        }
    }
  fleet_view_clear (&view);
  check_feed (client);
}

static void
receive_config (feed_client_t *client, wire_reader_t *reader)
{
  version_seal_t seal;
  g_autoptr (GBytes) text = fleet_config_decode (&seal, reader);
  if (text == NULL)
    {
      LOG_WARNING ("unreadable configuration");
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
      LOG_WARNING ("unreadable targets peer=%s", link->peer.id);
      return;
    }
  if (strcmp (link->peer.address, client->feed) == 0)
    client->synced = true;
  client->synced_once = client->synced_once || client->synced;
  client->options.on_targets (client->options.data, targets);
}

static void
receive_departures (feed_client_t *client, const link_t *link, wire_reader_t *reader)
{
  g_autoptr (GArray) departures = g_array_new (FALSE, TRUE, sizeof (registry_departure_t));
  if (fleet_departed_decode (departures, reader))
    client->options.on_departures (client->options.data, departures);
  else
    LOG_WARNING ("unreadable departures peer=%s", link->peer.id);
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
