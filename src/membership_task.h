#pragma once

#include "peer_network.h"
#include "swim.h"

/* membership_task - task that runs swim over the peer network, in entries and control instances. */

typedef struct
{
  io_loop_t *loop;
  peer_network_t *network; /* must be started before this task */
  const char *id;
  const char *domain;
  const char *caller_address; /* "" if the instance is not an entry */
  const GPtrArray *seeds;     /* peer addresses */
  metric_registry_t *counters;
  /* Reports a membership event; see swim_io_t. May be NULL. */
  void (*on_member) (void *data, swim_event_t event, const swim_member_t *member);
  /* Reports that MEMBER has a newer or a conflicting configuration; see swim_io_t. May be NULL. */
  void (*on_version) (void *data, const swim_member_t *member, uint64_t version, uint64_t digest);
  void *data;
} membership_options_t;

typedef struct
{
  task_t task; /* first member */
  swim_io_t io;
  membership_options_t options;
  swim_t swim;
  io_timer_t timer;
  bool started;
  uint64_t version; /* of the installed configuration */
  uint64_t digest;
  metric_t live_members;
  metric_t suspicions;
  metric_t deaths;
} membership_task_t;

void membership_task_init (membership_task_t *membership, const membership_options_t *options,
                           GMainContext *context);
void membership_task_destroy (membership_task_t *membership);

/* Handles a message if its TYPE is one of WIRE_SWIM_*, and returns whether it is. */
bool membership_task_receive (membership_task_t *membership, const link_t *link, wire_type_t type,
                              wire_reader_t *reader);

/* Sets the version and digest of the installed configuration, which all messages contain. */
void membership_task_set_version (membership_task_t *membership, uint64_t version, uint64_t digest);

/* Announces that this instance is about to leave. It remains a member until the task stops. */
void membership_task_set_leaving (membership_task_t *membership);
