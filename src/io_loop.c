#include "io_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#define MAX_EVENTS_PER_ITERATION 128
#define TICK_US 10000 /* resolution of timers */
#define WHEEL_SLOT_COUNT 1024

struct io_loop
{
  GSource *source;
  int epoll_fd;
  int64_t now_us;
  bool in_dispatch;
  struct epoll_event batch[MAX_EVENTS_PER_ITERATION];
  int batch_size;
  int batch_next;
  list_t deferred;
  int64_t tick;      /* last tick whose timers were run */
  int64_t wake_tick; /* next wakeup; no slot before it holds a timer */
  /* A timer is in the slot of its tick modulo the slot count, so a slot can also hold timers that
   * expire one or more rounds later. */
  list_t wheel[WHEEL_SLOT_COUNT];
};

typedef struct
{
  GSource source;
  io_loop_t *loop;
} loop_source_t;

static void
run_deferred (io_loop_t *loop)
{
  list_node_t *node = NULL;
  while ((node = list_pop_front (&loop->deferred)) != NULL)
    {
      io_deferred_t *deferred = CONTAINER_OF (node, io_deferred_t, node);
      deferred->run (deferred);
    }
}

static void
run_events (io_loop_t *loop)
{
  loop->batch_size = epoll_wait (loop->epoll_fd, loop->batch, MAX_EVENTS_PER_ITERATION, 0);
  for (loop->batch_next = 0; loop->batch_next < loop->batch_size;)
    {
      struct epoll_event *event = &loop->batch[loop->batch_next++];
      io_watch_t *watch = event->data.ptr;
      if (watch != NULL)
        watch->ready (watch, event->events);
    }
  loop->batch_size = 0;
}

/* Runs the expired timers of SLOT. They are collected first, because callbacks may arm timers in
 * the same slot. */
static void
run_slot_timers (io_loop_t *loop, list_t *slot)
{
  list_t due;
  list_init (&due);
  LIST_FOREACH_SAFE (slot, node)
  {
    if (CONTAINER_OF (node, io_timer_t, node)->due_us > loop->now_us)
      continue;
    list_remove (node);
    list_push_back (&due, node);
  }
  list_node_t *node = NULL;
  while ((node = list_pop_front (&due)) != NULL)
    {
      io_timer_t *timer = CONTAINER_OF (node, io_timer_t, node);
      timer->expired (timer);
    }
}

static void
run_timers (io_loop_t *loop)
{
  int64_t current = loop->now_us / TICK_US;
  int64_t first = MAX (loop->tick + 1, current - WHEEL_SLOT_COUNT + 1);
  /* loop->tick is advanced before the callbacks run, so a timer that a callback arms for the
   * current time goes into the next slot. */
  for (int64_t tick = first; tick <= current; tick++)
    {
      loop->tick = tick;
      run_slot_timers (loop, &loop->wheel[tick % WHEEL_SLOT_COUNT]);
    }
}

/* Sets the time of the next wakeup to the first slot that holds a timer. */
static void
schedule_wake (io_loop_t *loop)
{
  if (loop->wake_tick <= loop->tick)
    {
      loop->wake_tick = loop->tick + 1;
      while (loop->wake_tick < loop->tick + WHEEL_SLOT_COUNT
             && list_is_empty (&loop->wheel[loop->wake_tick % WHEEL_SLOT_COUNT]))
        loop->wake_tick++;
    }
  /* GLib 2.74 ignores an unchanged ready time; other versions may wake the main loop. */
  if (g_source_get_ready_time (loop->source) != loop->wake_tick * TICK_US)
    g_source_set_ready_time (loop->source, loop->wake_tick * TICK_US);
}

static gboolean
dispatch (GSource *base, GSourceFunc callback, gpointer data)
{
  io_loop_t *loop = ((loop_source_t *)base)->loop;

  loop->now_us = g_get_monotonic_time ();
  loop->in_dispatch = true;
  run_events (loop);
  run_timers (loop);
  run_deferred (loop);
  loop->in_dispatch = false;
  schedule_wake (loop);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs loop_source_funcs = { .dispatch = dispatch };

io_loop_t *
io_loop_new (GMainContext *context)
{
  io_loop_t *loop = g_new0 (io_loop_t, 1);
  loop->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (loop->epoll_fd < 0)
    g_error ("cannot create an epoll instance");
  loop->tick = g_get_monotonic_time () / TICK_US;
  list_init (&loop->deferred);
  for (size_t i = 0; i < WHEEL_SLOT_COUNT; i++)
    list_init (&loop->wheel[i]);

  loop->source = g_source_new (&loop_source_funcs, sizeof (loop_source_t));
  ((loop_source_t *)loop->source)->loop = loop;
  g_source_set_can_recurse (loop->source, FALSE);
  g_source_add_unix_fd (loop->source, loop->epoll_fd, G_IO_IN);
  g_source_set_ready_time (loop->source, 0);
  g_source_attach (loop->source, context);
  return loop;
}

void
io_loop_free (io_loop_t *loop)
{
  if (loop == NULL)
    return;
  run_deferred (loop);
  g_source_destroy (loop->source);
  g_source_unref (loop->source);
  close (loop->epoll_fd);
  g_free (loop);
}

int64_t
io_loop_now_us (io_loop_t *loop)
{
  return loop->in_dispatch ? loop->now_us : g_get_monotonic_time ();
}

void
io_watch_init (io_watch_t *watch, int fd, void (*ready) (io_watch_t *, uint32_t))
{
  *watch = (io_watch_t){ .fd = fd, .ready = ready };
}

void
io_watch_set (io_loop_t *loop, io_watch_t *watch, uint32_t events)
{
  if (events == watch->events || watch->fd < 0)
    return;

  /* A descriptor without events is taken out, because epoll always reports hang-ups. */
  int operation = EPOLL_CTL_MOD;
  if (watch->events == 0)
    operation = EPOLL_CTL_ADD;
  else if (events == 0)
    operation = EPOLL_CTL_DEL;
  struct epoll_event event = { .events = events, .data.ptr = watch };
  if (epoll_ctl (loop->epoll_fd, operation, watch->fd, &event) != 0)
    g_error ("epoll_ctl failed for a watched file descriptor");
  watch->events = events;
}

void
io_watch_remove (io_loop_t *loop, io_watch_t *watch)
{
  io_watch_set (loop, watch, 0);
  watch->fd = -1;
  for (int i = loop->batch_next; i < loop->batch_size; i++)
    {
      if (loop->batch[i].data.ptr == watch)
        loop->batch[i].data.ptr = NULL;
    }
}

void
io_timer_init (io_timer_t *timer, void (*expired) (io_timer_t *))
{
  *timer = (io_timer_t){ .expired = expired };
  list_node_init (&timer->node);
}

void
io_timer_set (io_loop_t *loop, io_timer_t *timer, int64_t due_us)
{
  int64_t tick = MAX ((due_us + TICK_US - 1) / TICK_US, loop->tick + 1);
  list_remove (&timer->node);
  timer->due_us = due_us;
  list_push_back (&loop->wheel[tick % WHEEL_SLOT_COUNT], &timer->node);
  if (tick >= loop->wake_tick)
    return;
  loop->wake_tick = tick;
  if (!loop->in_dispatch)
    schedule_wake (loop);
}

void
io_timer_cancel (io_timer_t *timer)
{
  list_remove (&timer->node);
}

void
io_deferred_init (io_deferred_t *deferred, void (*run) (io_deferred_t *))
{
  *deferred = (io_deferred_t){ .run = run };
  list_node_init (&deferred->node);
}

void
io_loop_defer (io_loop_t *loop, io_deferred_t *deferred)
{
  if (list_node_is_linked (&deferred->node))
    return;
  list_push_back (&loop->deferred, &deferred->node);
  if (!loop->in_dispatch)
    g_source_set_ready_time (loop->source, 0);
}

void
io_deferred_cancel (io_deferred_t *deferred)
{
  list_remove (&deferred->node);
}
