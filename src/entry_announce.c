#include "entry_announce.h"

#include <string.h>

#define LOG_MODULE "entry_announce"
#include "entry_service.h"
#include "log.h"
#include "option.h"

#define LEASE_FIELD_COUNT 12
#define SERVICE_NAME_SIZE 160
#define US_PER_MS 1000
#define MAX_SLOTS 100000
#define MAX_CONNECTIONS 1000000
/* Size of an echo, "INSTANCE/EPOCH:TIME_US", with the terminating null. */
#define ECHO_SIZE 128

static const char *const state_names[] = {
  [TARGET_UP] = "up",
  [TARGET_DRAINING] = "draining",
  [TARGET_LEAVING] = "leaving",
};

static bool
parse_state (const char *text, target_state_t *state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (state_names); i++)
    {
      if (strcmp (text, state_names[i]) != 0)
        continue;
      *state = (target_state_t)i;
      return true;
    }
  return false;
}

static bool
read_integer (const cJSON *json, const char *key, int64_t min, int64_t max, int64_t *value)
{
  const cJSON *member = cJSON_GetObjectItemCaseSensitive (json, key);
  return json_read_exact_integer (member, value) && *value >= min && *value <= max;
}

/* Returns an upper bound of the age of the announcement in microseconds, from its echo, or
 * LINK_CLOCK_AGE_UNKNOWN without a valid echo. */
static int64_t
age_from_echo (const entry_core_t *core, const cJSON *json)
{
  const char *echo = json_get_string (json, "echo", "");
  const char *colon = strrchr (echo, ':');
  const char *id = core->options.instance;
  int64_t held_ms = json_get_integer (json, "echo_held_ms", -1);

  /* Timestamps of another entry, or of an earlier process of this one, cannot be compared with the
   * clock of this process. */
  g_autofree char *own_prefix
      = g_strdup_printf ("%s/%" G_GINT64_MODIFIER "x", id, core->process_epoch);
  if (colon == NULL || held_ms < 0 || (size_t)(colon - echo) != strlen (own_prefix)
      || strncmp (echo, own_prefix, strlen (own_prefix)) != 0)
    return LINK_CLOCK_AGE_UNKNOWN;
  int64_t echo_us = g_ascii_strtoll (colon + 1, NULL, 10);
  return target_compute_max_age_us (entry_core_now (core), echo_us, held_ms * US_PER_MS);
}

/* Stores the announcement JSON in OUT, whose strings belong to JSON. Returns NULL, or the reason
 * why it is malformed. */
static const char *
parse_announcement (const entry_core_t *core, const cJSON *json, target_announcement_t *out)
{
  char host[64];
  uint16_t port = 0;
  int64_t slots = 0;
  int64_t connections = 0;
  int64_t incarnation = 0;
  int64_t seq = 0;

  *out = (target_announcement_t){
    .service = json_get_string (json, "service", ""),
    .address = json_get_string (json, "address", ""),
    .domain = json_get_string (json, "domain", ""),
    .load = json_get_number (json, "load", 0),
    .sent_us = json_get_integer (json, "sent_ms", 0) * US_PER_MS,
  };
  if (*out->service == '\0' || strlen (out->service) >= SERVICE_NAME_SIZE)
    return "service is missing or too long";
  if (!option_parse_address (out->address, host, sizeof (host), &port) || port == 0)
    return "address must be IP:PORT";
  if (*out->domain == '\0' || strlen (out->domain) >= LINK_ID_SIZE)
    return "domain is missing or too long";
  if (!read_integer (json, "slots", 1, MAX_SLOTS, &slots))
    return "slots must be an integer from 1 to 100000";
  if (!read_integer (json, "connections", 1, MAX_CONNECTIONS, &connections))
    return "connections must be an integer from 1 to 1000000";
  if (!read_integer (json, "incarnation", 0, INT64_MAX, &incarnation)
      || !read_integer (json, "seq", 0, INT64_MAX, &seq))
    return "incarnation and seq must be integers";
  if (!parse_state (json_get_string (json, "state", ""), &out->state))
    return "state must be up, draining or leaving";
  if (!(out->load >= 0 && out->load <= 1))
    return "load must be from 0 to 1";
  out->slots = (uint32_t)slots;
  out->connections = (uint32_t)connections;
  out->incarnation = (uint64_t)incarnation;
  out->seq = (uint64_t)seq;
  out->max_age_us = age_from_echo (core, json);
  return NULL;
}

cJSON *
entry_announce_handle (entry_core_t *core, const char *body, size_t size, const char **reason)
{
  target_announcement_t announcement;
  cJSON *json = json_parse_strict (body, size, reason);
  if (json == NULL)
    return NULL;
  *reason = parse_announcement (core, json, &announcement);
  if (*reason != NULL)
    {
      cJSON_Delete (json);
      return NULL;
    }
  metric_inc (&core->announcements);
  entry_core_handle_announcement (core, &announcement, false);
  cJSON_Delete (json);

  char echo[ECHO_SIZE];
  g_snprintf (echo, sizeof (echo), "%s/%" G_GINT64_MODIFIER "x:%" G_GINT64_FORMAT,
              core->options.instance, core->process_epoch, entry_core_now (core));
  cJSON *response = cJSON_CreateObject ();
  cJSON_AddNumberToObject (response, "lease_ms", TARGET_LEASE_US / US_PER_MS);
  cJSON_AddStringToObject (response, "echo", echo);
  return response;
}

void
entry_announce_forward (entry_core_t *core, const target_announcement_t *announcement,
                        const char *peer_address)
{
  wire_writer_t writer;
  wire_writer_init (&writer, WIRE_TARGET_LEASE, LEASE_FIELD_COUNT);
  wire_write_string (&writer, announcement->service);
  wire_write_string (&writer, announcement->address);
  wire_write_string (&writer, announcement->domain);
  wire_write_uint (&writer, announcement->slots);
  wire_write_uint (&writer, announcement->connections);
  wire_write_double (&writer, announcement->load);
  wire_write_uint (&writer, announcement->state);
  wire_write_uint (&writer, announcement->incarnation);
  wire_write_uint (&writer, announcement->seq);
  wire_write_int (&writer, announcement->sent_us);
  wire_write_int (&writer, announcement->max_age_us);
  wire_write_int (&writer, entry_core_now (core));
  metric_inc (&core->announcements_forwarded);
  peer_network_send_writer (core->options.network, peer_address, &writer);
}

void
entry_announce_receive (entry_core_t *core, const link_t *link, wire_reader_t *reader)
{
  char service[SERVICE_NAME_SIZE];
  char address[LINK_ADDRESS_SIZE];
  char domain[LINK_ID_SIZE];
  target_announcement_t announcement = { .service = service, .address = address, .domain = domain };

  wire_read_string_into (reader, service, sizeof (service));
  wire_read_string_into (reader, address, sizeof (address));
  wire_read_string_into (reader, domain, sizeof (domain));
  announcement.slots = (uint32_t)wire_read_uint (reader);
  announcement.connections = (uint32_t)wire_read_uint (reader);
  announcement.load = wire_read_double (reader);
  announcement.state = (target_state_t)wire_read_uint (reader);
  announcement.incarnation = wire_read_uint (reader);
  announcement.seq = wire_read_uint (reader);
  announcement.sent_us = wire_read_int (reader);
  int64_t max_age_us = wire_read_int (reader);
  int64_t forwarded_us = wire_read_int (reader);
  if (!wire_reader_finish (reader, NULL) || announcement.state > TARGET_LEAVING)
    {
      LOG_WARNING ("malformed announcement peer=%s", link->peer.id);
      return;
    }
  int64_t link_age_us = link_compute_message_age_us (link, forwarded_us);
  bool age_known = max_age_us != LINK_CLOCK_AGE_UNKNOWN && link_age_us != LINK_CLOCK_AGE_UNKNOWN;
  announcement.max_age_us = age_known ? max_age_us + link_age_us : LINK_CLOCK_AGE_UNKNOWN;
  entry_core_handle_announcement (core, &announcement, true);
}

cJSON *
entry_announce_resolve (entry_core_t *core, const char *service, const char *domain)
{
  const placement_member_t *members[PLACEMENT_MAX_RESOLVED];
  cJSON *response = cJSON_CreateObject ();
  cJSON_AddStringToObject (response, "service", service);
  cJSON_AddNumberToObject (response, "ttl_ms", (double)core->options.resolve_ttl_ms);
  cJSON *addresses = cJSON_AddArrayToObject (response, "addresses");
  size_t count
      = placement_resolve (core->placement, service, entry_core_entries_per_domain (core, service),
                           domain, members, G_N_ELEMENTS (members));
  for (size_t i = 0; i < count; i++)
    {
      if (core->leaving && strcmp (members[i]->id, core->options.instance) == 0)
        continue;
      cJSON *item = cJSON_CreateObject ();
      cJSON_AddStringToObject (item, "address", members[i]->address);
      cJSON_AddStringToObject (item, "domain", members[i]->domain);
      cJSON_AddItemToArray (addresses, item);
    }
  return response;
}
