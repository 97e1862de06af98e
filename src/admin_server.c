#include "admin_server.h"

#include <string.h>

#define LOG_MODULE "admin_server"
#include "http_codec.h"
#include "log.h"
#include "option.h"

static void
respond (SoupServerMessage *message, int status, const char *type, const char *body)
{
  /* SoupServer 3.2 keeps the descriptor of a connection open after the client has closed it between
   * two requests. Closing after each response avoids this. */
  soup_message_headers_replace (soup_server_message_get_response_headers (message), "Connection",
                                "close");
  soup_server_message_set_status (message, (guint)status, NULL);
  soup_server_message_set_response (message, type, SOUP_MEMORY_COPY, body, strlen (body));
}

static void
handle_metrics (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
                gpointer data)
{
  admin_server_t *admin = data;
  GString *text = g_string_new (NULL);

  if (admin->options.refresh != NULL)
    admin->options.refresh (admin->options.data);
  metric_registry_render (admin->options.counters, text);
  respond (message, 200, "text/plain; version=0.0.4", text->str);
  g_string_free (text, TRUE);
}

static void
handle_live (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
             gpointer data)
{
  respond (message, 200, "text/plain", "live\n");
}

static void
handle_ready (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
              gpointer data)
{
  admin_server_t *admin = data;
  bool ready = admin->options.is_ready (admin->options.data);
  respond (message, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
}

static bool
start (task_t *task, anv_error_t *err)
{
  admin_server_t *admin = (admin_server_t *)task;
  char host[64];
  uint16_t port = 0;
  g_autoptr (GError) error = NULL;

  if (!option_parse_address (admin->options.listen, host, sizeof (host), &port))
    {
      anv_error_set (err, ANV_ERROR_HTTP, HTTP_ERROR_SOCKET, "malformed address '%s'",
                     admin->options.listen);
      return false;
    }
  admin->server = soup_server_new ("server-header", "anvillb", NULL);
  bool tls = admin->options.certificate != NULL;
  if (tls)
    soup_server_set_tls_certificate (admin->server, admin->options.certificate);
  soup_server_add_handler (admin->server, "/metrics", handle_metrics, admin, NULL);
  soup_server_add_handler (admin->server, "/livez", handle_live, admin, NULL);
  soup_server_add_handler (admin->server, "/readyz", handle_ready, admin, NULL);

  g_autoptr (GSocketAddress) address = g_inet_socket_address_new_from_string (host, port);
  if (!soup_server_listen (admin->server, address, tls ? SOUP_SERVER_LISTEN_HTTPS : 0, &error))
    {
      anv_error_set (err, ANV_ERROR_HTTP, HTTP_ERROR_SOCKET, "cannot listen on %s: %s",
                     admin->options.listen, error->message);
      return false;
    }
  LOG_NOTICE ("listening address=%s tls=%s", admin->options.listen, tls ? "yes" : "no");
  return true;
}

static void
receive (task_t *task, const message_t *message)
{
}

static void
stop (task_t *task)
{
  admin_server_t *admin = (admin_server_t *)task;
  if (admin->server == NULL)
    return;
  soup_server_disconnect (admin->server);
  g_clear_object (&admin->server);
}

static const task_ops_t admin_ops = {
  .name = "admin_server",
  .start = start,
  .receive = receive,
  .stop = stop,
};

void
admin_server_init (admin_server_t *admin, const admin_server_options_t *options,
                   GMainContext *context)
{
  *admin = (admin_server_t){ .options = *options };
  task_init (&admin->task, &admin_ops, context);
}

void
admin_server_destroy (admin_server_t *admin)
{
  task_destroy (&admin->task);
}
