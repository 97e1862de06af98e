#include "task.h"

#define LOG_MODULE "task"
#include "log.h"
#include "supervisor.h"

/* Limit per iteration of the main loop, so that a busy task does not starve sockets. */
#define MAX_MESSAGES_PER_ITERATION 64

static gboolean
deliver (gpointer data)
{
  task_t *task = data;

  for (int i = 0; i < MAX_MESSAGES_PER_ITERATION && task->running; i++)
    {
      list_node_t *node = list_pop_front (&task->mailbox);
      if (node == NULL)
        break;
      message_t *message = CONTAINER_OF (node, message_t, node);
      task->ops->receive (task, message);
      message->destroy (message);
    }
  if (task->running && !list_is_empty (&task->mailbox))
    return G_SOURCE_CONTINUE;

  g_clear_pointer (&task->wakeup, g_source_unref);
  return G_SOURCE_REMOVE;
}

static void
schedule_delivery (task_t *task)
{
  if (task->wakeup != NULL || !task->running || list_is_empty (&task->mailbox))
    return;
  task->wakeup = g_idle_source_new ();
  g_source_set_priority (task->wakeup, G_PRIORITY_DEFAULT);
  g_source_set_callback (task->wakeup, deliver, task, NULL);
  g_source_attach (task->wakeup, task->context);
}

static void
cancel_delivery (task_t *task)
{
  if (task->wakeup == NULL)
    return;
  g_source_destroy (task->wakeup);
  g_clear_pointer (&task->wakeup, g_source_unref);
}

void
task_init (task_t *task, const task_ops_t *ops, GMainContext *context)
{
  *task = (task_t){ .ops = ops, .context = context };
  list_node_init (&task->node);
  list_init (&task->mailbox);
}

void
task_destroy (task_t *task)
{
  task_stop (task);
  list_node_t *node = NULL;
  while ((node = list_pop_front (&task->mailbox)) != NULL)
    {
      message_t *message = CONTAINER_OF (node, message_t, node);
      message->destroy (message);
    }
}

bool
task_start (task_t *task, anv_error_t *err)
{
  if (task->running)
    return true;
  if (!task->ops->start (task, err))
    {
      task->ops->stop (task);
      return false;
    }
  task->running = true;
  schedule_delivery (task);
  return true;
}

void
task_stop (task_t *task)
{
  if (!task->running)
    return;
  task->running = false;
  cancel_delivery (task);
  task->ops->stop (task);
}

void
task_post (task_t *task, message_t *message)
{
  list_push_back (&task->mailbox, &message->node);
  schedule_delivery (task);
}

void
task_fail (task_t *task, const anv_error_t *err)
{
  LOG_ERROR ("task failed task=%s error=\"%s\"", task->ops->name, err->text);
  if (task->supervisor != NULL)
    supervisor_report_failure (task->supervisor, task, err);
}
