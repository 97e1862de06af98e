#include "quota_wire.h"

#define ASK_FIELD_COUNT 2
#define ASK_TEAM_FIELD_COUNT 4
#define GRANT_FIELD_COUNT 3
#define GRANT_TEAM_FIELD_COUNT 6
#define MOVED_FIELD_COUNT 3
/* Limits on what a message may say, so that sums don't overflow. */
#define MAX_REQUESTS UINT64_C (1000000)
#define MAX_ENTRIES UINT64_C (1000000)
#define MAX_DURATION_US INT64_C (86400000000)

static uint32_t
read_count (wire_reader_t *reader)
{
  uint64_t count = wire_read_uint (reader);
  return (uint32_t)MIN (count, MAX_REQUESTS);
}

static uint32_t
read_entry_count (wire_reader_t *reader)
{
  uint64_t count = wire_read_uint (reader);
  return (uint32_t)MIN (count, MAX_ENTRIES);
}

static int64_t
read_duration_us (wire_reader_t *reader)
{
  int64_t duration_us = wire_read_int (reader);
  return CLAMP (duration_us, 0, MAX_DURATION_US);
}

/* Opens the array of teams. Returns their number, or 0 if there are too many. */
static uint32_t
read_team_count (wire_reader_t *reader)
{
  uint32_t count = wire_read_array (reader);
  if (count <= QUOTA_MAX_MESSAGE_TEAMS)
    return count;
  reader->failed = true;
  return 0;
}

void
quota_ask_encode (const quota_ask_t *ask, wire_writer_t *writer)
{
  wire_writer_init (writer, WIRE_FLEET_QUOTA_ASK, ASK_FIELD_COUNT);
  wire_write_uint (writer, ask->number);
  wire_write_array (writer, ask->teams->len);
  for (guint i = 0; i < ask->teams->len; i++)
    {
      const quota_ask_team_t *team = &g_array_index (ask->teams, quota_ask_team_t, i);
      wire_write_array (writer, ASK_TEAM_FIELD_COUNT);
      wire_write_uint (writer, team->team_id);
      wire_write_uint (writer, team->waiting_count);
      wire_write_uint (writer, team->used_count);
      wire_write_uint (writer, team->returned_count);
    }
}

bool
quota_ask_decode (quota_ask_t *ask, wire_reader_t *reader)
{
  ask->number = wire_read_uint (reader);
  uint32_t count = read_team_count (reader);
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    {
      quota_ask_team_t team;
      wire_read_array (reader);
      team.team_id = wire_read_uint (reader);
      team.waiting_count = read_count (reader);
      team.used_count = read_count (reader);
      team.returned_count = read_count (reader);
      wire_read_array_end (reader);
      g_array_append_val (ask->teams, team);
    }
  wire_read_array_end (reader);
  return wire_reader_finish (reader, NULL);
}

void
quota_grant_encode (const quota_grant_t *grant, wire_writer_t *writer)
{
  wire_writer_init (writer, WIRE_FLEET_QUOTA_GRANT, GRANT_FIELD_COUNT);
  wire_write_uint (writer, grant->number);
  wire_write_uint (writer, grant->entry_count);
  wire_write_array (writer, grant->teams->len);
  for (guint i = 0; i < grant->teams->len; i++)
    {
      const quota_grant_team_t *team = &g_array_index (grant->teams, quota_grant_team_t, i);
      wire_write_array (writer, GRANT_TEAM_FIELD_COUNT);
      wire_write_uint (writer, team->team_id);
      wire_write_uint (writer, team->admitted_count);
      wire_write_uint (writer, team->refused_count);
      wire_write_uint (writer, team->allowance);
      wire_write_int (writer, team->retry_after_us);
      wire_write_int (writer, team->retry_step_us);
    }
}

bool
quota_grant_decode (quota_grant_t *grant, wire_reader_t *reader)
{
  grant->number = wire_read_uint (reader);
  grant->entry_count = read_entry_count (reader);
  uint32_t count = read_team_count (reader);
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    {
      quota_grant_team_t team;
      wire_read_array (reader);
      team.team_id = wire_read_uint (reader);
      team.admitted_count = read_count (reader);
      team.refused_count = read_count (reader);
      team.allowance = read_count (reader);
      team.retry_after_us = read_duration_us (reader);
      team.retry_step_us = read_duration_us (reader);
      wire_read_array_end (reader);
      g_array_append_val (grant->teams, team);
    }
  wire_read_array_end (reader);
  return wire_reader_finish (reader, NULL);
}

void
quota_moved_encode (const quota_moved_t *moved, wire_writer_t *writer)
{
  wire_writer_init (writer, WIRE_FLEET_QUOTA_MOVED, MOVED_FIELD_COUNT);
  wire_write_uint (writer, moved->number);
  wire_write_uint (writer, moved->entry_count);
  wire_write_string (writer, moved->owner);
}

bool
quota_moved_decode (quota_moved_t *moved, wire_reader_t *reader)
{
  moved->number = wire_read_uint (reader);
  moved->entry_count = read_entry_count (reader);
  wire_read_string_into (reader, moved->owner, sizeof (moved->owner));
  return wire_reader_finish (reader, NULL);
}
