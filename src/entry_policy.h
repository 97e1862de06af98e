#pragma once

#include "io_loop.h"
#include "request_policy.h"

/* entry_policy - request policy that sends requests to the announced target with the fewest
 * requests in flight.
 *
 * Host names the service. POST /.anvillb/v1/announce adds or removes targets, which leave when
 * their lease expires; GET /.anvillb/v1/resolve returns the address of this entry. */

typedef struct
{
  io_loop_t *loop;
  const char *address; /* that resolve returns */
  const char *domain;
  int64_t resolve_ttl_ms;
  int64_t request_timeout_us;
  int64_t stall_us;
  size_t max_body_bytes;
} entry_policy_options_t;

typedef struct
{
  request_policy_t policy; /* first member */
  entry_policy_options_t options;
  GHashTable *targets; /* "SERVICE ADDRESS" to target */
  bool draining;       /* resolve returns no address */
} entry_policy_t;

void entry_policy_init (entry_policy_t *policy, const entry_policy_options_t *options);
void entry_policy_destroy (entry_policy_t *policy);
