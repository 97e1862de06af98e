#pragma once

#include "peer_network.h"
#include "swim.h"

/* membership_task - task that runs swim over the peer network, for entries and control. */

typedef struct
{
  io_loop_t *loop;
  peer_network_t *network; /* must start first */
  const char *id;
  const char *domain;
  const char *caller_address; /* "" if the instance is no entry */
  const GPtrArray *seeds;     /* peer addresses */
  counter_registry_t *counters;
  void (*on_member) (void *data, swim_event_t event, const swim_member_t *member);
  /* MEMBER has a higher configuration version; see swim_io_t. */
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
  uint64_t version;
  uint64_t digest;
  counter_t live;
  counter_t suspicions;
  counter_t deaths;
} membership_task_t;

void membership_task_init (membership_task_t *membership, const membership_options_t *options,
                           GMainContext *context);
void membership_task_destroy (membership_task_t *membership);

/* Takes a message of the types SWIM_*. Returns whether TYPE is one of them. */
bool membership_task_receive (membership_task_t *membership, const link_t *link, wire_type_t type,
                              wire_reader_t *reader);

/* Sets the installed configuration version, which peers learn from all messages. */
void membership_task_set_version (membership_task_t *membership, uint64_t version, uint64_t digest);

/* Announces that this instance drains. */
void membership_task_leave (membership_task_t *membership);
