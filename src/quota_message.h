#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* quota_message - what an entry and the owner of the quotas tell each other; see quota_owner and
 * quota_client. quota_wire encodes it. Teams are identified by limiter_team_id(). */

#define QUOTA_ADDRESS_SIZE 64

/* Most teams in one message. Further teams wait for the next one. */
#define QUOTA_MAX_MESSAGE_TEAMS 512

typedef struct
{
  uint64_t team_id;
  uint32_t waiting_count;  /* requests that wait for a verdict */
  uint32_t used_count;     /* requests admitted without a verdict of the owner */
  uint32_t returned_count; /* admitted requests that have not run */
} quota_ask_team_t;

/* Question of an entry. Without teams it only finds out whether the receiver is the owner. */
typedef struct
{
  uint64_t number; /* from 1, higher with each question of an entry */
  GArray *teams;   /* quota_ask_team_t */
} quota_ask_t;

typedef struct
{
  uint64_t team_id;
  uint32_t admitted_count; /* of the waiting requests, the first ones */
  uint32_t refused_count;  /* the rest of the waiting requests */
  uint32_t allowance;      /* requests that the entry may admit within QUOTA_ALLOWANCE_US */
  int64_t retry_after_us;  /* time until a request would be admitted; 0: at once */
  int64_t retry_step_us;   /* by this later for each further refusal */
} quota_grant_team_t;

/* Answer of the owner. */
typedef struct
{
  uint64_t number;      /* of the question */
  uint32_t entry_count; /* entries that share the quotas; 0: unknown */
  GArray *teams;        /* quota_grant_team_t, in the order of the question */
} quota_grant_t;

/* Answer of an instance that is not the owner. */
typedef struct
{
  uint64_t number;                /* of the question */
  uint32_t entry_count;           /* as in quota_grant_t */
  char owner[QUOTA_ADDRESS_SIZE]; /* peer address of the owner; "" if it is unknown */
} quota_moved_t;

/* Validity of an allowance. */
#define QUOTA_ALLOWANCE_US INT64_C (500000)

/* The owner reserves the share of an entry that it has not heard from for this time. An entry
 * without an owner for longer no longer reports what it admits. */
#define QUOTA_SILENCE_US INT64_C (1500000)
