#include "memory_budget.h"

#include <glib.h>

#define PROCESS_FRACTION_DIVISOR 2
/* A single target that does not read must not take the memory of the others. */
#define TARGET_FRACTION_DIVISOR 16
/* A body of usual length is not paused. */
#define MIN_TARGET_BYTES ((size_t)1024 * 1024)

void
memory_budget_init (memory_budget_t *budget, size_t process_bytes)
{
  *budget = (memory_budget_t){ .max_bytes = process_bytes / PROCESS_FRACTION_DIVISOR };
  list_init (&budget->holders);
}

static size_t
holder_bytes (const memory_holder_t *holder)
{
  return MEMORY_CONN_BYTES + holder->unread_bytes + holder->kept_bytes;
}

static void
record_progress (memory_holder_t *holder, int64_t now_us)
{
  holder->moved_bytes = 0;
  holder->last_progress_us = now_us;
}

void
memory_budget_add (memory_budget_t *budget, memory_holder_t *holder, int64_t now_us)
{
  *holder = (memory_holder_t){ .last_progress_us = now_us };
  list_node_init (&holder->node);
  list_push_back (&budget->holders, &holder->node);
  budget->held_bytes += holder_bytes (holder);
}

void
memory_budget_remove (memory_budget_t *budget, memory_holder_t *holder)
{
  if (holder->node.next == NULL || !list_node_is_linked (&holder->node))
    return;
  budget->held_bytes -= holder_bytes (holder);
  list_remove (&holder->node);
}

void
memory_budget_set (memory_budget_t *budget, memory_holder_t *holder, size_t unread_bytes,
                   size_t kept_bytes, int64_t now_us)
{
  /* A holder without unread bytes waits for no peer, and one that begins to wait is not slow yet.
   */
  if (unread_bytes == 0 || holder->unread_bytes == 0)
    record_progress (holder, now_us);
  budget->held_bytes -= holder_bytes (holder);
  holder->unread_bytes = unread_bytes;
  holder->kept_bytes = kept_bytes;
  budget->held_bytes += holder_bytes (holder);
}

void
memory_budget_record_moved (memory_holder_t *holder, size_t size, int64_t now_us)
{
  holder->moved_bytes += size;
  if (holder->moved_bytes >= MIN_MEMORY_PROGRESS_BYTES)
    record_progress (holder, now_us);
}

memory_level_t
memory_budget_level (const memory_budget_t *budget)
{
  if (budget->held_bytes >= budget->max_bytes + budget->max_bytes / 8)
    return MEMORY_EXCEEDED;
  if (budget->held_bytes >= budget->max_bytes)
    return MEMORY_FULL;
  if (budget->held_bytes >= budget->max_bytes - budget->max_bytes / 4)
    return MEMORY_PRESSURE;
  return MEMORY_NORMAL;
}

/* Returns how long a holder must have been slow to be closed. */
static int64_t
min_slow_us (const memory_budget_t *budget)
{
  size_t pressure_bytes = budget->max_bytes - budget->max_bytes / 4;
  switch (memory_budget_level (budget))
    {
    case MEMORY_NORMAL:
      return INT64_MAX;
    case MEMORY_PRESSURE:
      return MEMORY_FULL_SLOW_US
             + (int64_t)((double)(MEMORY_SLOW_US - MEMORY_FULL_SLOW_US)
                         * (double)(budget->max_bytes - budget->held_bytes)
                         / (double)(budget->max_bytes - pressure_bytes));
    case MEMORY_FULL:
      return MEMORY_FULL_SLOW_US;
    case MEMORY_EXCEEDED:
      break;
    }
  return 0;
}

memory_holder_t *
memory_budget_choose (memory_budget_t *budget, int64_t now_us)
{
  int64_t least_slow_us = min_slow_us (budget);
  memory_holder_t *chosen = NULL;
  double highest_cost = -1;

  if (memory_budget_level (budget) == MEMORY_NORMAL)
    return NULL;
  LIST_FOREACH (&budget->holders, node)
  {
    memory_holder_t *holder = CONTAINER_OF (node, memory_holder_t, node);
    int64_t slow_us = holder->unread_bytes > 0 ? now_us - holder->last_progress_us : 0;
    double cost = (double)holder_bytes (holder) * (double)MAX (slow_us, 0);
    if (slow_us < least_slow_us || cost < highest_cost)
      continue;
    /* Among holders that are not slow the largest closes first. */
    if (chosen != NULL && cost == highest_cost && holder_bytes (holder) <= holder_bytes (chosen))
      continue;
    chosen = holder;
    highest_cost = cost;
  }
  if (chosen != NULL)
    record_progress (chosen, now_us);
  return chosen;
}

size_t
memory_budget_max_target_bytes (const memory_budget_t *budget)
{
  return MAX (budget->max_bytes / TARGET_FRACTION_DIVISOR, MIN_TARGET_BYTES);
}

const char *
memory_level_name (memory_level_t level)
{
  static const char *const names[] = {
    [MEMORY_NORMAL] = "normal",
    [MEMORY_PRESSURE] = "pressure",
    [MEMORY_FULL] = "full",
    [MEMORY_EXCEEDED] = "exceeded",
  };
  return names[level];
}
