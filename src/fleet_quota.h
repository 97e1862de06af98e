#pragma once

#include "config_doc.h"
#include "entry_directory.h"
#include "quota_owner.h"
#include "replica_group.h"

/* fleet_quota - quotas of the teams over all entries, at a control instance.
 *
 * While this instance leads the group and is in contact with a majority, it is the owner of the
 * quotas (quota_owner) and answers the questions of the entries with the limits of the newest
 * configuration that it has applied. Otherwise it redirects them to the leader.
 *
 * Every entry reports to every instance, so a new owner knows which entries share the quotas. An
 * entry that fell silent without a planned stop may be cut off and admit its share by itself; the
 * share stays reserved for a while. */

/* Teams with metrics of their own. The others are summed up. */
#define FLEET_QUOTA_MAX_TEAM_METRICS 8

typedef struct
{
  io_loop_t *loop;
  peer_network_t *network;
  replica_group_t *group;
  metric_registry_t *counters;
} fleet_quota_options_t;

typedef struct
{
  char admitted_labels[CONFIG_MAX_NAME_SIZE + 40];
  char refused_labels[CONFIG_MAX_NAME_SIZE + 40];
  metric_t admitted;
  metric_t refused;
} fleet_quota_team_metric_t;

typedef struct
{
  fleet_quota_options_t options;
  quota_owner_t owner;
  GHashTable *entries;    /* id -> fleet_quota_entry_t */
  config_doc_t *doc;      /* configuration that LIMITS is of; NULL before the first one */
  GArray *limits;         /* fleet_quota_limit_t, sorted by team id */
  config_doc_t *next_doc; /* configuration that NEXT_LIMITS is read from; NULL: none */
  GArray *next_limits;    /* unsorted; some of the teams of NEXT_DOC */
  size_t next_index;      /* of the next team of NEXT_DOC */
  uint64_t term;          /* term of the last answer as the owner; 0: none */
  bool stopping;          /* hands ownership over, before a planned stop */
  int64_t created_us;
  int64_t next_usage_us;
  metric_t is_owner;
  metric_t admitted;
  metric_t refused;
  metric_t redirected;
  metric_t buckets;
  fleet_quota_team_metric_t teams[FLEET_QUOTA_MAX_TEAM_METRICS + 1]; /* the last one is the rest */
  size_t team_metric_count;
} fleet_quota_t;

void fleet_quota_init (fleet_quota_t *quota, const fleet_quota_options_t *options);
void fleet_quota_destroy (fleet_quota_t *quota);

/* Applies DOC, which may be NULL. A large configuration takes effect after some ticks. */
void fleet_quota_set_config (fleet_quota_t *quota, const config_doc_t *doc);

/* Records a report of the entry ID. */
void fleet_quota_record_entry (fleet_quota_t *quota, const char *id, entry_state_t state);

/* Redirects all questions from now on. */
void fleet_quota_stop (fleet_quota_t *quota);

/* Must be called every 100 ms. */
void fleet_quota_tick (fleet_quota_t *quota);

/* Handles a message. Returns whether TYPE is known. */
bool fleet_quota_receive (fleet_quota_t *quota, const link_t *link, wire_type_t type,
                          wire_reader_t *reader);
