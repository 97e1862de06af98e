#pragma once

#include <stdint.h>

#include "task.h"

/* supervisor - starts tasks in order, restarts the ones that fail, and stops them in reverse order.
 *
 * A failed task is restarted after a delay that doubles up to a maximum; the other tasks keep
 * running. A task that fails more often than allowed stays stopped, and the supervisor escalates
 * the failure: it fails itself if it has a parent supervisor, otherwise it calls
 * on_restart_limit(). A supervisor is a task, so supervisors can form a tree. */

typedef struct
{
  int max_restarts;          /* of a task within restart_window_us; the next failure is escalated */
  int64_t restart_window_us; /* period in which restarts are counted */
  int64_t min_restart_delay_us; /* delay before the first restart */
  int64_t max_restart_delay_us; /* delay after repeated doubling */
  GMainContext *context;        /* NULL for the default one */
  /* NULL in a supervisor with a parent. */
  void (*on_restart_limit) (void *data, const anv_error_t *err);
  void *data;
} supervisor_options_t;

typedef struct supervisor_child supervisor_child_t;

struct supervisor
{
  task_t task; /* first member: a supervisor is a task */
  supervisor_options_t options;
  GPtrArray *children; /* supervisor_child_t, in start order */
};

void supervisor_init (supervisor_t *supervisor, const supervisor_options_t *options);

/* Stops all tasks and frees the list of them. The tasks themselves belong to their owners. */
void supervisor_destroy (supervisor_t *supervisor);

/* Appends TASK to the start order. Must be called before the supervisor starts. */
void supervisor_add (supervisor_t *supervisor, task_t *task);

/* Starts all tasks. Returns false with the first error, after stopping those already started. */
bool supervisor_start (supervisor_t *supervisor, anv_error_t *err);

/* Stops all tasks, the last started first. */
void supervisor_stop (supervisor_t *supervisor);

/* Schedules a restart of TASK after a failure; called by task_fail(). Does nothing if one is
 * pending. */
void supervisor_report_failure (supervisor_t *supervisor, task_t *task, const anv_error_t *err);

/* Returns the number of restarts of TASK since it was added; 0 if it is not supervised. */
int supervisor_restart_count (const supervisor_t *supervisor, const task_t *task);
