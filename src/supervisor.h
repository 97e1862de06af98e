#pragma once

#include <stdint.h>

#include "task.h"

/* supervisor - starts tasks in order, restarts the ones that fail, and stops them in reverse order.
 *
 * A failed task is restarted alone after a delay that doubles up to a limit. A task that fails more
 * often than allowed makes the supervisor itself fail: on_give_up is called and the owner, a parent
 * supervisor or the program, decides. A supervisor is a task, so supervisors form a tree. */

typedef struct
{
  int max_restarts;      /* restarts of one task within window_us before giving up */
  int64_t window_us;     /* length of the window */
  int64_t min_delay_us;  /* delay before the first restart */
  int64_t max_delay_us;  /* longest delay */
  GMainContext *context; /* NULL for the default one */
  void (*on_give_up) (void *data, const anv_error_t *err); /* NULL in a supervisor with a parent */
  void *data;
} supervisor_options_t;

typedef struct supervised supervised_t;

struct supervisor
{
  task_t task; /* first member: a supervisor is a task */
  supervisor_options_t options;
  GPtrArray *children; /* supervised_t, in start order */
};

void supervisor_init (supervisor_t *supervisor, const supervisor_options_t *options);

/* Stops all tasks and forgets them; the tasks themselves belong to their owners. */
void supervisor_destroy (supervisor_t *supervisor);

/* Appends TASK to the start order. Must be called before the supervisor starts. */
void supervisor_add (supervisor_t *supervisor, task_t *task);

/* Starts all tasks. Returns false with the first error, after stopping those already started. */
bool supervisor_start (supervisor_t *supervisor, anv_error_t *err);

/* Stops all tasks, the last started first. */
void supervisor_stop (supervisor_t *supervisor);

/* Called by task_fail(). */
void supervisor_report (supervisor_t *supervisor, task_t *task, const anv_error_t *err);

/* Returns how often TASK was restarted. */
int supervisor_restarts (const supervisor_t *supervisor, const task_t *task);
