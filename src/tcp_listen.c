#include "tcp_listen.h"

#include "link.h"
#include "option.h"

static GSocket *
bind_socket (const char *host, uint16_t port, int backlog, GError **error)
{
  g_autoptr (GSocketAddress) address = g_inet_socket_address_new_from_string (host, port);
  g_autoptr (GSocket) socket = g_socket_new (g_socket_address_get_family (address),
                                             G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);
  if (socket == NULL)
    return NULL;
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_listen_backlog (socket, backlog);
  if (!g_socket_bind (socket, address, TRUE, error) || !g_socket_listen (socket, error))
    return NULL;
  return g_steal_pointer (&socket);
}

GSocket *
tcp_listen (const char *address, int backlog, anv_error_t *err)
{
  char host[LINK_ADDRESS_SIZE];
  uint16_t port = 0;
  g_autoptr (GError) error = NULL;

  if (!option_parse_address (address, host, sizeof (host), &port))
    {
      anv_error_set (err, ANV_ERROR_LINK, LINK_ERROR_SOCKET, "malformed address '%s'", address);
      return NULL;
    }
  GSocket *socket = bind_socket (host, port, backlog, &error);
  if (socket == NULL)
    anv_error_set (err, ANV_ERROR_LINK, LINK_ERROR_SOCKET, "cannot listen on %s: %s", address,
                   error->message);
  return socket;
}

void
tcp_listen_format_address (GSocket *socket, char *text, size_t size)
{
  g_autoptr (GSocketAddress) local = g_socket_get_local_address (socket, NULL);
  GInetSocketAddress *inet = G_INET_SOCKET_ADDRESS (local);
  GInetAddress *ip = g_inet_socket_address_get_address (inet);
  g_autofree char *host = g_inet_address_to_string (ip);
  bool is_ip6 = g_inet_address_get_family (ip) == G_SOCKET_FAMILY_IPV6;
  g_snprintf (text, size, is_ip6 ? "[%s]:%u" : "%s:%u", host,
              g_inet_socket_address_get_port (inet));
}
