#pragma once

#include "io_loop.h"
#include "memory_budget.h"
#include "metric.h"

/* caller_memory - applies memory_budget to the connections of callers.
 *
 * Each connection reports what it and its request hold when that changes. Kernel buffers are read
 * from the sockets when output was written and every 500 ms. Whether connections close is decided
 * when an account changes, at most every 1 ms at the bound and every 20 ms under pressure, and
 * every 500 ms. */

/* Size of the kernel's buffers of a connection, each way; the kernel doubles it for its own
 * structures. Enough for 16 Mbit/s at a round trip of 30 ms. */
#define MEMORY_KERNEL_BUFFER_BYTES (64 * 1024)

typedef struct caller_conn caller_conn_t;

typedef struct
{
  io_loop_t *loop;
  size_t process_bytes; /* see memory_budget_init() */
  metric_registry_t *counters;
} caller_memory_options_t;

typedef struct
{
  caller_memory_options_t options;
  memory_budget_t budget;
  io_timer_t timer;
  io_deferred_t check;
  memory_level_t logged_level;
  int64_t last_check_us;
  int64_t last_log_us;
  int64_t closed_since_log;
  metric_t held;
  metric_t closed_unread; /* closed holders that were slow */
  metric_t closed_other;  /* closed holders without unread bytes */
} caller_memory_t;

void caller_memory_init (caller_memory_t *memory, const caller_memory_options_t *options);

/* All connections must be closed. */
void caller_memory_destroy (caller_memory_t *memory);

/* The functions below do nothing for a connection without a budget. */

/* Begins and ends the account of CONN, and limits the kernel buffers of its socket. */
void caller_memory_open (caller_conn_t *conn);
void caller_memory_close (caller_conn_t *conn);

/* Updates the account of CONN; with READ_KERNEL, kernel buffers are read as well. */
void caller_memory_update (caller_conn_t *conn, bool read_kernel);

/* Records that a peer has taken SIZE bytes from CONN or its request, and updates the account. */
void caller_memory_record_moved (caller_conn_t *conn, size_t size);
