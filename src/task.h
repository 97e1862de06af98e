#pragma once

#include <glib.h>
#include <stdbool.h>

#include "anv_error.h"
#include "list.h"

/* task - unit of concurrency that owns its sockets and its state.
 *
 * Tasks run on one GMainContext and never touch each other's state; they exchange messages. A task
 * is a member of the struct that implements it, with the vtable first. A task that cannot go on
 * calls task_fail(); its supervisor then stops it and decides on a restart. */

typedef struct task task_t;
typedef struct message message_t;
typedef struct supervisor supervisor_t;

/* Base of all messages. The sender allocates; ownership passes to the receiver with task_post(). */
struct message
{
  list_node_t node;
  int type;                             /* meaning is private to sender and receiver */
  void (*destroy) (message_t *message); /* frees the message; never NULL */
};

typedef struct
{
  const char *name;
  /* Acquires sockets and timers. Returns false with an error if the task cannot start. */
  bool (*start) (task_t *task, anv_error_t *err);
  /* Handles one message; the task frees it afterwards. */
  void (*receive) (task_t *task, const message_t *message);
  /* Releases everything that start() acquired. Called also after a failed start. */
  void (*stop) (task_t *task);
} task_ops_t;

struct task
{
  const task_ops_t *ops;
  list_node_t node; /* on the supervisor's list */
  list_t mailbox;
  GMainContext *context;
  GSource *wakeup;
  supervisor_t *supervisor;
  bool running;
};

/* Prepares TASK with an empty mailbox on CONTEXT (NULL for the default one). */
void task_init (task_t *task, const task_ops_t *ops, GMainContext *context);

/* Stops TASK if it runs and discards undelivered messages. */
void task_destroy (task_t *task);

bool task_start (task_t *task, anv_error_t *err);
void task_stop (task_t *task);

/* Queues MESSAGE; it is delivered from the main loop in the order of posting. A stopped task keeps
 * its messages until it is started again. */
void task_post (task_t *task, message_t *message);

/* Reports that TASK cannot go on. The supervisor acts from the main loop, not inside this call. */
void task_fail (task_t *task, const anv_error_t *err);
