#pragma once

#include <glib.h>
#include <stdbool.h>

#include "anv_error.h"
#include "list.h"

/* task - unit of concurrency that owns its sockets and its state.
 *
 * The tasks of a process run on one GMainContext and call each other's functions directly. A
 * message that is posted to a task is delivered later by the main loop. A task_t is the first
 * member of the struct that implements the task. A task that cannot continue calls task_fail(); its
 * supervisor then stops it, and restarts it unless it has failed too often. */

typedef struct task task_t;
typedef struct message message_t;
typedef struct supervisor supervisor_t;

/* Base of all messages. The sender allocates; task_post() transfers ownership to the receiver. */
struct message
{
  list_node_t node;
  int type;                             /* defined by sender and receiver */
  void (*destroy) (message_t *message); /* frees the message; never NULL */
};

typedef struct
{
  const char *name;
  /* Acquires sockets and timers. Returns false with an error if the task cannot start. */
  bool (*start) (task_t *task, anv_error_t *err);
  /* Handles one message; the task frees it afterwards. */
  void (*receive) (task_t *task, const message_t *message);
  /* Releases all resources that start() acquired. Also called after a failed start. */
  void (*stop) (task_t *task);
} task_ops_t;

struct task
{
  const task_ops_t *ops;
  list_node_t node; /* unused; the supervisor has its own list of tasks */
  list_t mailbox;
  GMainContext *context;
  GSource *wakeup; /* delivers messages; NULL if none is scheduled */
  supervisor_t *supervisor;
  bool running;
};

/* Prepares TASK with an empty mailbox on CONTEXT (NULL for the default one). */
void task_init (task_t *task, const task_ops_t *ops, GMainContext *context);

/* Stops TASK if it runs and discards undelivered messages. */
void task_destroy (task_t *task);

/* Starts TASK and the delivery of its messages; does nothing if it runs. Returns false with the
 * error of its start(). */
bool task_start (task_t *task, anv_error_t *err);
void task_stop (task_t *task);

/* Queues MESSAGE, which the main loop delivers in the order of posting. Messages to a stopped task
 * stay queued until it is started again. */
void task_post (task_t *task, message_t *message);

/* Reports that TASK cannot continue. The supervisor stops it later from the main loop, not inside
 * this call. */
void task_fail (task_t *task, const anv_error_t *err);
