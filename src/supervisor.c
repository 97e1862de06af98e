#include "supervisor.h"

#define LOG_MODULE "supervisor"
#include "log.h"

struct supervisor_child
{
  supervisor_t *supervisor;
  task_t *task;
  GSource *restart_source;
  int64_t window_start_us;
  int window_restart_count;
  int total_restart_count;
  anv_error_t last_error;
};

static bool
start_as_task (task_t *task, anv_error_t *err)
{
  return supervisor_start ((supervisor_t *)task, err);
}

static void
receive_as_task (task_t *task, const message_t *message)
{
}

static void
stop_as_task (task_t *task)
{
  supervisor_stop ((supervisor_t *)task);
}

static const task_ops_t supervisor_task_ops = {
  .name = "supervisor",
  .start = start_as_task,
  .receive = receive_as_task,
  .stop = stop_as_task,
};

static void
free_child (gpointer data)
{
  g_free (data);
}

static supervisor_child_t *
find_child (const supervisor_t *supervisor, const task_t *task)
{
  for (guint i = 0; i < supervisor->children->len; i++)
    {
      supervisor_child_t *child = g_ptr_array_index (supervisor->children, i);
      if (child->task == task)
        return child;
    }
  return NULL;
}

static void
cancel_restart (supervisor_child_t *child)
{
  if (child->restart_source == NULL)
    return;
  g_source_destroy (child->restart_source);
  g_clear_pointer (&child->restart_source, g_source_unref);
}

static void
escalate_failure (supervisor_t *supervisor, const anv_error_t *err)
{
  if (supervisor->task.supervisor != NULL)
    task_fail (&supervisor->task, err);
  else if (supervisor->options.on_restart_limit != NULL)
    supervisor->options.on_restart_limit (supervisor->options.data, err);
}

static int64_t
compute_restart_delay_us (const supervisor_t *supervisor, const supervisor_child_t *child)
{
  int64_t delay_us = supervisor->options.min_restart_delay_us;
  for (int i = 0;
       i < child->window_restart_count && delay_us < supervisor->options.max_restart_delay_us; i++)
    delay_us *= 2;
  return MIN (delay_us, supervisor->options.max_restart_delay_us);
}

static gboolean
restart_child (gpointer data)
{
  supervisor_child_t *child = data;
  supervisor_t *supervisor = child->supervisor;
  anv_error_t err = { 0 };

  g_clear_pointer (&child->restart_source, g_source_unref);
  task_stop (child->task);

  int64_t now_us = g_get_monotonic_time ();
  if (now_us - child->window_start_us > supervisor->options.restart_window_us)
    {
      child->window_start_us = now_us;
      child->window_restart_count = 0;
    }
  if (child->window_restart_count >= supervisor->options.max_restarts)
    {
      LOG_ERROR ("too many restarts task=%s restarts=%d", child->task->ops->name,
                 child->window_restart_count);
      escalate_failure (supervisor, &child->last_error);
      return G_SOURCE_REMOVE;
    }
  child->window_restart_count++;
  child->total_restart_count++;
  LOG_WARNING ("restarting task=%s restarts=%d", child->task->ops->name,
               child->total_restart_count);
  if (!task_start (child->task, &err))
    supervisor_report_failure (supervisor, child->task, &err);
  return G_SOURCE_REMOVE;
}

void
supervisor_init (supervisor_t *supervisor, const supervisor_options_t *options)
{
  task_init (&supervisor->task, &supervisor_task_ops, options->context);
  supervisor->options = *options;
  supervisor->children = g_ptr_array_new_with_free_func (free_child);
}

void
supervisor_destroy (supervisor_t *supervisor)
{
  supervisor_stop (supervisor);
  g_clear_pointer (&supervisor->children, g_ptr_array_unref);
  task_destroy (&supervisor->task);
}

void
supervisor_add (supervisor_t *supervisor, task_t *task)
{
  supervisor_child_t *child = g_new0 (supervisor_child_t, 1);
  child->supervisor = supervisor;
  child->task = task;
  task->supervisor = supervisor;
  g_ptr_array_add (supervisor->children, child);
}

bool
supervisor_start (supervisor_t *supervisor, anv_error_t *err)
{
  for (guint i = 0; i < supervisor->children->len; i++)
    {
      supervisor_child_t *child = g_ptr_array_index (supervisor->children, i);
      child->window_start_us = g_get_monotonic_time ();
      child->window_restart_count = 0;
      if (task_start (child->task, err))
        continue;
      anv_error_wrap (err, ANV_ERROR_TASK, 0, "cannot start %s", child->task->ops->name);
      supervisor_stop (supervisor);
      return false;
    }
  return true;
}

void
supervisor_stop (supervisor_t *supervisor)
{
  for (guint i = supervisor->children->len; i > 0; i--)
    {
      supervisor_child_t *child = g_ptr_array_index (supervisor->children, i - 1);
      cancel_restart (child);
      task_stop (child->task);
    }
}

void
supervisor_report_failure (supervisor_t *supervisor, task_t *task, const anv_error_t *err)
{
  supervisor_child_t *child = find_child (supervisor, task);
  if (child == NULL || child->restart_source != NULL)
    return;

  child->last_error = *err;
  int64_t delay_us = compute_restart_delay_us (supervisor, child);
  child->restart_source = g_timeout_source_new ((guint)(delay_us / 1000));
  g_source_set_callback (child->restart_source, restart_child, child, NULL);
  g_source_attach (child->restart_source, supervisor->options.context);
}

int
supervisor_restart_count (const supervisor_t *supervisor, const task_t *task)
{
  const supervisor_child_t *child = find_child (supervisor, task);
  return child != NULL ? child->total_restart_count : 0;
}
