#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <sys/epoll.h>

#include "fake_backend.h"

#define LOG_MODULE "fake_backend"
#include "log.h"
#include "option.h"

/* Time for the last announcement to be sent before the process exits. */
#define LEAVE_DELAY_MS 200

static fake_backend_t backend;

static const option_t options[] = {
  { "listen", OPTION_ADDRESS, &backend.options.listen, "127.0.0.1:0", 0, 0, NULL, false, "ADDRESS",
    "Address; port 0 chooses a free one, which is printed" },
  { "entry", OPTION_ADDRESS_LIST, &backend.options.entries, NULL, 0, 0, NULL, false, "ADDRESS",
    "Entry that gets announcements; the next one is used after a failure" },
  { "service", OPTION_STRING, &backend.options.service, "crew", 0, 0, NULL, false, "NAME",
    "Service" },
  { "domain", OPTION_STRING, &backend.options.domain, "default", 0, 0, NULL, false, "NAME",
    "Failure domain" },
  { "slots", OPTION_INTEGER, &backend.options.slots, "2", 1, 100000, NULL, false, "COUNT",
    "Requests executed at the same time" },
  { "connections", OPTION_INTEGER, &backend.options.connections, "300", 1, 100000, NULL, false,
    "COUNT", "Announced connection limit" },
  { "service-ms", OPTION_INTEGER, &backend.options.service_ms, "10", 0, 100000, NULL, false, "MS",
    "Service time" },
  { "announce-ms", OPTION_INTEGER, &backend.options.announce_ms, "800", 1, 100000, NULL, false,
    "MS", "Period of announcements" },
  { "body-bytes", OPTION_INTEGER, &backend.options.body_bytes, "100", 0, 1e9, NULL, false, "BYTES",
    "Size of a response body" },
  { "seed", OPTION_INTEGER, &backend.options.seed, "1", 0, 1e9, NULL, false, "NUMBER",
    "Seed of the random faults" },
  { 0 },
};

static const option_table_t table = {
  .program = "fake-backend",
  .summary = "Stand-in for a backend server, for tests.",
  .options = options,
};

static gboolean
on_announce (gpointer data)
{
  fake_announce_send (&backend);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_leave_delay_passed (gpointer data)
{
  g_main_loop_quit (data);
  return G_SOURCE_REMOVE;
}

static gboolean
on_terminate (gpointer data)
{
  static bool stopping;
  if (stopping)
    return G_SOURCE_CONTINUE;
  stopping = true;
  backend.state = FAKE_LEAVING;
  fake_announce_send (&backend);
  g_timeout_add (LEAVE_DELAY_MS, on_leave_delay_passed, data);
  return G_SOURCE_CONTINUE;
}

static bool
start_listening (void)
{
  char host[64];
  uint16_t port = 0;
  g_autoptr (GError) error = NULL;

  if (!option_parse_address (backend.options.listen, host, sizeof (host), &port))
    return false;
  g_autoptr (GSocketAddress) address = g_inet_socket_address_new_from_string (host, port);
  backend.socket = g_socket_new (g_socket_address_get_family (address), G_SOCKET_TYPE_STREAM,
                                 G_SOCKET_PROTOCOL_TCP, &error);
  g_socket_set_listen_backlog (backend.socket, 1024);
  g_socket_set_blocking (backend.socket, FALSE);
  if (!g_socket_bind (backend.socket, address, TRUE, &error)
      || !g_socket_listen (backend.socket, &error))
    {
      LOG_ERROR ("cannot listen error=\"%s\"", error->message);
      return false;
    }
  g_autoptr (GSocketAddress) bound = g_socket_get_local_address (backend.socket, NULL);
  backend.port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound));
  printf ("port=%u\n", backend.port);
  fflush (stdout);
  io_watch_init (&backend.watch, g_socket_get_fd (backend.socket), fake_backend_accept);
  io_watch_set (backend.loop, &backend.watch, EPOLLIN);
  return true;
}

static void
init_backend (void)
{
  backend.loop = io_loop_new (NULL);
  backend.faults.slow = 1;
  backend.incarnation = g_get_real_time () / 1000;
  backend.keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  rng_init (&backend.rng, (uint64_t)backend.options.seed);
  list_init (&backend.conns);
  list_init (&backend.waiting);
  upstream_pool_options_t pool_options = {
    .loop = backend.loop,
    .connect_timeout_us = 500000,
    .idle_timeout_us = 4000000,
  };
  upstream_pool_init (&backend.pool, &pool_options);
}

int
main (int argc, char **argv)
{
  option_result_t result;
  anv_error_t err = { 0 };

  log_init (table.program, LOG_LEVEL_INFO);
  if (!option_parse (&table, argc, argv, &result, &err))
    {
      LOG_ERROR ("%s", err.text);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  init_backend ();
  if (!start_listening ())
    return 1;
  GMainLoop *main_loop = g_main_loop_new (NULL, FALSE);
  fake_announce_send (&backend);
  g_timeout_add ((guint)backend.options.announce_ms, on_announce, NULL);
  g_unix_signal_add (SIGTERM, on_terminate, main_loop);
  g_unix_signal_add (SIGINT, on_terminate, main_loop);
  g_main_loop_run (main_loop);
  return 0;
}
