#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "list.h"

/* memory_budget - decides which connections close, and whether new requests are refused, when the
 * bytes that a process holds for its connections approach a bound. It does no I/O, and times are
 * arguments.
 *
 * Answers the load in which thousands of callers read a byte a second while targets do not read
 * uploads. Each connection of a caller is a holder. The owner reports what it holds:
 *
 *   unread bytes  wait for a peer: output to the caller or the target, and kernel buffers,
 *   kept bytes    wait for this process or the target: bodies kept for another attempt, pipelined
 *                 input.
 *
 * Besides these, each holder counts with MEMORY_CONN_BYTES. A holder is slow as long as it has
 * unread bytes and its peers do not take them. The cost of a holder is the product of the bytes
 * held and the time since the last progress; the one with the highest cost closes first.
 *
 *   MEMORY_NORMAL    nothing closes.
 *   MEMORY_PRESSURE  from 3/4 of the bound: holders close that are slow for MEMORY_SLOW_US. That
 *                    time falls with what is left, so that holders that come fast close before
 *                    the bound is reached, where others would be refused.
 *   MEMORY_FULL      from the bound: new requests are refused, and holders close that are slow
 *                    for MEMORY_FULL_SLOW_US.
 *   MEMORY_EXCEEDED  from 9/8 of the bound: any holder closes.
 *
 * The level follows from the bytes held at the moment, so closing ends as soon as it falls. */

/* Estimate of what an open connection takes without any buffered bytes, in this process and in the
 * kernel. */
#define MEMORY_CONN_BYTES ((size_t)4096)
/* Progress is a peer that has taken this many bytes, or all. A caller that reads a byte a second
 * makes none; one on a link of 56 kbit/s makes some twice a second. */
#define MIN_MEMORY_PROGRESS_BYTES ((size_t)4096)
#define MEMORY_SLOW_US INT64_C (2000000)
/* Longer than a round trip between failure domains, which delays the progress of every caller. */
#define MEMORY_FULL_SLOW_US INT64_C (100000)

typedef enum
{
  MEMORY_NORMAL,
  MEMORY_PRESSURE,
  MEMORY_FULL,
  MEMORY_EXCEEDED,
} memory_level_t;

typedef struct
{
  list_node_t node;
  size_t unread_bytes;
  size_t kept_bytes;
  size_t moved_bytes;       /* taken by peers since the last progress */
  int64_t last_progress_us; /* last progress, or last time without unread bytes */
} memory_holder_t;

typedef struct
{
  size_t max_bytes;  /* bound of the process */
  size_t held_bytes; /* by all holders */
  list_t holders;
} memory_budget_t;

/* Initialises BUDGET for a process that may use PROCESS_BYTES of memory. Its bound is a half: the
 * rest is for the program, the configuration and free memory of the allocator. */
void memory_budget_init (memory_budget_t *budget, size_t process_bytes);

void memory_budget_add (memory_budget_t *budget, memory_holder_t *holder, int64_t now_us);
/* Does nothing if HOLDER was not added. */
void memory_budget_remove (memory_budget_t *budget, memory_holder_t *holder);

/* Sets what HOLDER holds now. */
void memory_budget_set (memory_budget_t *budget, memory_holder_t *holder, size_t unread_bytes,
                        size_t kept_bytes, int64_t now_us);

/* Records that peers have taken SIZE unread bytes. */
void memory_budget_record_moved (memory_holder_t *holder, size_t size, int64_t now_us);

memory_level_t memory_budget_level (const memory_budget_t *budget);

/* Returns the holder to close now, or NULL. Closing counts as progress, so that a holder that has
 * to flush a last response is not returned at once again. */
memory_holder_t *memory_budget_choose (memory_budget_t *budget, int64_t now_us);

/* Returns the bound for the bytes of unanswered requests that were sent to one target. */
size_t memory_budget_max_target_bytes (const memory_budget_t *budget);

/* Returns the name of LEVEL for log lines. */
const char *memory_level_name (memory_level_t level);
