#pragma once

#include "list.h"
#include "quota_local.h"
#include "quota_message.h"

/* quota_client - admission of requests to the quotas of their teams, at an entry. It does no I/O.
 *
 * Load pattern: as for quota_owner, which decides. A request waits for the owner's verdict, unless
 * an earlier grant gave an allowance for its team. All questions of one iteration of the main loop
 * go in one message. An allowance that was used is reported when it is used up, or after
 * QUOTA_REPORT_DELAY_US.
 *
 * If a question is not answered for QUOTA_TIMEOUT_US, or an instance does not know the owner, the
 * owner is lost: requests are decided at once by this entry's share of the limit (quota_local),
 * rate / entries and max (1, burst / entries), while the client asks one control instance after
 * another. What it admits in the first QUOTA_SILENCE_US is reported to the owner that is found;
 * after that, the owner has reserved the share of this entry. */

#define QUOTA_TIMEOUT_US INT64_C (80000)
#define QUOTA_REPORT_DELAY_US INT64_C (100000)
#define QUOTA_SEARCH_PERIOD_US INT64_C (100000)

typedef struct quota_request quota_request_t;

/* A request. Set to zero before quota_client_admit(). */
struct quota_request
{
  list_node_t node;
  uint64_t team_id;
  int64_t asked_us;      /* call of quota_client_admit() */
  uint64_t ask_number;   /* question that contains it; 0: none yet */
  uint64_t owner_number; /* owner that the credit is for, see quota_client_t */
  bool decided;
  bool admitted;   /* valid if it is decided */
  bool has_credit; /* admitted, and the credit was not given back */
  int64_t retry_after_us;
  /* Reports the verdict. Called once, unless the request is cancelled before, possibly within
   * quota_client_admit(). RETRY_AFTER_US is the time until a refused request would be admitted. */
  void (*on_verdict) (quota_request_t *request, bool admitted, int64_t retry_after_us);
};

typedef struct
{
  /* Sends a question to a control instance. It may be lost. Answers on a link keep the order of the
   * questions. */
  void (*send) (void *data, const char *address, const quota_ask_t *ask);
  /* Reports the time that the owner took to answer. May be NULL. */
  void (*answered) (void *data, int64_t duration_us);
} quota_client_ops_t;

typedef struct
{
  const quota_client_ops_t *ops;
  void *data;
} quota_client_options_t;

typedef struct
{
  uint64_t asked_count;             /* requests that a question was sent for */
  uint64_t allowance_count;         /* admitted on an allowance */
  uint64_t fallback_admitted_count; /* decided by a local bucket */
  uint64_t fallback_refused_count;
  uint64_t refused_count; /* by the owner */
  uint64_t owner_change_count;
  uint64_t lost_count; /* times that the owner was lost */
} quota_client_stats_t;

typedef struct
{
  quota_client_options_t options;
  GHashTable *teams;               /* quota_team_t */
  list_t dirty;                    /* quota_team_t with something for the next question */
  list_t decided;                  /* quota_request_t whose verdict is to be reported */
  GArray *unanswered;              /* questions sent to TARGET without an answer, oldest first */
  GPtrArray *instances;            /* char *, peer addresses of control instances */
  char owner[QUOTA_ADDRESS_SIZE];  /* instance of the last grant; "" for none */
  char target[QUOTA_ADDRESS_SIZE]; /* instance that is asked; "" for none */
  uint64_t owner_number;           /* counts the changes of owner */
  uint64_t ask_number;             /* of the last question */
  uint32_t entry_count;            /* entries that share the quotas, as far as known */
  uint32_t unasked_count;          /* requests that wait for the next question */
  guint next_instance;             /* index of the next instance to search */
  unsigned hop_count;              /* redirections followed since the last search */
  int64_t lost_us;                 /* time at which the owner was lost; 0: it is not */
  int64_t last_search_us;
  int64_t last_admit_us;
  int64_t last_eviction_us;
  int64_t report_due_us; /* time at which a report must be sent; INT64_MAX: none */
  bool reporting;        /* verdicts are being reported */
  quota_client_stats_t stats;
} quota_client_t;

void quota_client_init (quota_client_t *client, const quota_client_options_t *options);

/* Waiting requests get no verdict. */
void quota_client_destroy (quota_client_t *client);

/* Sets the control instances (char *, peer addresses) among which the owner is searched. */
void quota_client_set_instances (quota_client_t *client, const GPtrArray *addresses);

/* Decides about REQUEST of a team with LIMIT. REQUEST stays valid until its verdict or
 * quota_client_cancel(). */
void quota_client_admit (quota_client_t *client, int64_t now_us, uint64_t team_id,
                         const quota_limit_t *limit, quota_request_t *request);

/* Forgets a request that waits for its verdict. Does nothing if the verdict was reported. */
void quota_client_cancel (quota_client_t *client, int64_t now_us, quota_request_t *request);

/* Gives back the credit of a request that was admitted and certainly has not run. Does nothing if
 * it has none, so the credit is given back at most once. */
void quota_client_give_back (quota_client_t *client, int64_t now_us, quota_request_t *request);

/* Returns whether quota_client_flush() has something to send. */
bool quota_client_needs_flush (const quota_client_t *client, int64_t now_us);

/* Sends a question with what has accumulated. Call it once per iteration of the main loop. */
void quota_client_flush (quota_client_t *client, int64_t now_us);

/* Handle an answer from the instance FROM. */
void quota_client_receive_grant (quota_client_t *client, int64_t now_us, const char *from,
                                 const quota_grant_t *grant);
void quota_client_receive_moved (quota_client_t *client, int64_t now_us, const char *from,
                                 const quota_moved_t *moved);

/* Handles what is due: timeouts, reports, the search for the owner. Evicts idle teams. */
void quota_client_tick (quota_client_t *client, int64_t now_us);

/* Returns the time at which quota_client_tick() is needed; INT64_MAX: not before another call. */
int64_t quota_client_next_due_us (const quota_client_t *client);
