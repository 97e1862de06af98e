#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "list.h"

/* io_loop - file descriptors, timers and deferred calls on one GMainContext.
 *
 * All descriptors are in one epoll instance behind one GSource. GLib checks every source in every
 * iteration of the main loop; with a single source an idle connection costs nothing. Watches,
 * timers and deferred calls are embedded in the structs that use them. A callback may remove any of
 * them. */

typedef struct io_loop io_loop_t;
typedef struct io_watch io_watch_t;
typedef struct io_timer io_timer_t;
typedef struct io_deferred io_deferred_t;

struct io_watch
{
  int fd;          /* -1 if the watch is not in use */
  uint32_t events; /* EPOLLIN, EPOLLOUT, EPOLLRDHUP; 0: not watched, not even for errors */
  void (*ready) (io_watch_t *watch, uint32_t events);
};

struct io_timer
{
  list_node_t node;
  int64_t due_us; /* monotonic time */
  void (*expired) (io_timer_t *timer);
};

struct io_deferred
{
  list_node_t node;
  void (*run) (io_deferred_t *deferred);
};

/* Returns a new loop that is attached to CONTEXT (NULL for the default one). */
io_loop_t *io_loop_new (GMainContext *context);

/* Runs the pending deferred calls and frees LOOP; does nothing if it is NULL. */
void io_loop_free (io_loop_t *loop);

/* Returns the monotonic time at the start of the current iteration, in microseconds; outside of one
 * the current time. */
int64_t io_loop_now_us (io_loop_t *loop);

void io_watch_init (io_watch_t *watch, int fd, void (*ready) (io_watch_t *, uint32_t));

/* Sets the events that WATCH waits for. */
void io_watch_set (io_loop_t *loop, io_watch_t *watch, uint32_t events);

/* Stops watching and drops events that were not handled yet. Must be called before the descriptor
 * is closed. */
void io_watch_remove (io_loop_t *loop, io_watch_t *watch);

void io_timer_init (io_timer_t *timer, void (*expired) (io_timer_t *));

/* Arms TIMER, or re-arms it if it is armed. It expires at most two ticks of 10 ms after DUE_US. */
void io_timer_set (io_loop_t *loop, io_timer_t *timer, int64_t due_us);
void io_timer_cancel (io_timer_t *timer);

void io_deferred_init (io_deferred_t *deferred, void (*run) (io_deferred_t *));

/* Runs DEFERRED once at the end of the current iteration, after the callbacks of watches and
 * timers; outside of an iteration, at the end of the next one. Does nothing if it is pending. */
void io_loop_defer (io_loop_t *loop, io_deferred_t *deferred);
void io_deferred_cancel (io_deferred_t *deferred);
