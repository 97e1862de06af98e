#include "caller_listener.h"

#include <string.h>
#include <sys/epoll.h>

#define LOG_MODULE "caller_listener"
#include "log.h"
#include "tcp_listen.h"

#define LISTEN_BACKLOG 1024
#define MAX_ACCEPTS_PER_WAKEUP 64
/* Delay after a failed accept, for example because no file descriptor is free. */
#define ACCEPT_RETRY_DELAY_US 100000

static void
update_accepting (caller_listener_t *listener)
{
  bool below_limit = caller_listener_open_count (listener) < listener->options.max_connections;
  io_watch_set (listener->options.conn.loop, &listener->watch,
                listener->accepting && below_limit && !listener->accept_failed ? EPOLLIN : 0);
}

static void
on_accept_retry (io_timer_t *timer)
{
  caller_listener_t *listener = CONTAINER_OF (timer, caller_listener_t, accept_retry);
  listener->accept_failed = false;
  update_accepting (listener);
}

static void
on_conn_closed (caller_conn_t *conn, void *data)
{
  caller_listener_t *listener = data;
  metric_add (&listener->open, -1);
  if (listener->accepting)
    update_accepting (listener);
}

static GIOStream *
start_server_tls (caller_listener_t *listener, GSocket *socket)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketConnection) base = g_socket_connection_factory_create_connection (socket);
  GIOStream *tls
      = g_tls_server_connection_new (G_IO_STREAM (base), listener->options.certificate, &error);
  if (tls == NULL)
    {
      LOG_WARNING ("cannot start TLS error=\"%s\"", error->message);
      return NULL;
    }
  /* Callers often omit close_notify, and HTTP framing reveals a truncated message without it. */
  g_tls_connection_set_require_close_notify (G_TLS_CONNECTION (tls), FALSE);
  return tls;
}

static bool
accept_one (caller_listener_t *listener)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocket) socket = g_socket_accept (listener->socket, NULL, &error);
  if (socket == NULL)
    {
      if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        return false;
      io_loop_t *loop = listener->options.conn.loop;
      LOG_WARNING ("cannot accept error=\"%s\"", error->message);
      listener->accept_failed = true;
      io_timer_set (loop, &listener->accept_retry, io_loop_now_us (loop) + ACCEPT_RETRY_DELAY_US);
      return false;
    }
  g_socket_set_blocking (socket, FALSE);
  g_autoptr (GIOStream) tls = NULL;
  if (listener->options.certificate != NULL && (tls = start_server_tls (listener, socket)) == NULL)
    return true;
  metric_inc (&listener->accepted);
  metric_add (&listener->open, 1);
  caller_conn_t *conn = caller_conn_new (&listener->options.conn, socket, tls);
  list_push_back (&listener->conns, &conn->node);
  return true;
}

static void
on_ready (io_watch_t *watch, uint32_t events)
{
  caller_listener_t *listener = CONTAINER_OF (watch, caller_listener_t, watch);
  for (int i = 0; i < MAX_ACCEPTS_PER_WAKEUP; i++)
    {
      if (caller_listener_open_count (listener) >= listener->options.max_connections)
        break;
      if (!accept_one (listener))
        break;
    }
  update_accepting (listener);
}

static uint16_t
get_bound_port (GSocket *socket)
{
  g_autoptr (GSocketAddress) address = g_socket_get_local_address (socket, NULL);
  return g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (address));
}

static bool
start (task_t *task, anv_error_t *err)
{
  caller_listener_t *listener = (caller_listener_t *)task;

  listener->socket = tcp_listen (listener->options.listen, LISTEN_BACKLOG, err);
  if (listener->socket == NULL)
    {
      anv_error_wrap (err, ANV_ERROR_HTTP, HTTP_ERROR_SOCKET, "cannot create the listening socket");
      return false;
    }
  listener->port = get_bound_port (listener->socket);
  listener->accepting = true;
  listener->accept_failed = false;
  io_watch_init (&listener->watch, g_socket_get_fd (listener->socket), on_ready);
  update_accepting (listener);
  LOG_NOTICE ("listening address=%s port=%u tls=%s", listener->options.listen, listener->port,
              listener->options.certificate != NULL ? "yes" : "no");
  return true;
}

static void
receive (task_t *task, const message_t *message)
{
}

static void
stop_accepting (caller_listener_t *listener)
{
  if (listener->socket == NULL)
    return;
  listener->accepting = false;
  io_timer_cancel (&listener->accept_retry);
  io_watch_remove (listener->options.conn.loop, &listener->watch);
  g_socket_close (listener->socket, NULL);
  g_clear_object (&listener->socket);
}

static void
stop (task_t *task)
{
  caller_listener_t *listener = (caller_listener_t *)task;
  stop_accepting (listener);
  list_node_t *node = NULL;
  while ((node = list_first (&listener->conns)) != NULL)
    caller_conn_close (CONTAINER_OF (node, caller_conn_t, node));
}

static const task_ops_t listener_ops = {
  .name = "caller_listener",
  .start = start,
  .receive = receive,
  .stop = stop,
};

void
caller_listener_init (caller_listener_t *listener, const caller_listener_options_t *options,
                      GMainContext *context)
{
  *listener = (caller_listener_t){ .options = *options };
  listener->options.conn.closed = on_conn_closed;
  listener->options.conn.data = listener;
  list_init (&listener->conns);
  io_timer_init (&listener->accept_retry, on_accept_retry);
  task_init (&listener->task, &listener_ops, context);
  metric_register (options->counters, &listener->open, METRIC_KIND_GAUGE,
                   "anvillb_caller_connections", options->labels, "Open connections of callers.");
  metric_register (options->counters, &listener->accepted, METRIC_KIND_COUNTER,
                   "anvillb_caller_connections_total", options->labels, "Accepted connections.");
}

void
caller_listener_destroy (caller_listener_t *listener)
{
  task_destroy (&listener->task);
}

void
caller_listener_drain (caller_listener_t *listener)
{
  /* Closing the socket would reset the connections that wait to be accepted. */
  while (listener->socket != NULL
         && caller_listener_open_count (listener) < listener->options.max_connections
         && accept_one (listener))
    ;
  stop_accepting (listener);
  LIST_FOREACH_SAFE (&listener->conns, node)
  {
    caller_conn_drain (CONTAINER_OF (node, caller_conn_t, node));
  }
}

size_t
caller_listener_open_count (const caller_listener_t *listener)
{
  return (size_t)listener->open.value;
}
