#include "peer_network.h"

#include <string.h>
#include <sys/epoll.h>

#define LOG_MODULE "peer_network"
#include "log.h"
#include "tcp_listen.h"

#define LISTEN_BACKLOG 512
#define MAX_ACCEPTS_PER_ITERATION 64

static const char *
get_link_address (const link_t *link)
{
  return link->connect_address[0] != '\0' ? link->connect_address : link->peer.address;
}

static void
count_cross_domain_bytes (peer_network_t *network, const link_t *link, size_t size)
{
  if (link->open && strcmp (link->peer.domain, network->options.self.domain) != 0)
    metric_add (&network->cross_domain_bytes, (int64_t)size);
}

static void
on_opened (link_t *link)
{
  peer_network_t *network = link->owner;
  const char *address = get_link_address (link);
  LOG_DEBUG ("link open peer=%s address=%s", link->peer.id, address);
  if (address[0] != '\0')
    g_hash_table_replace (network->links_by_address, g_strdup (address), link);
}

static void
on_received (link_t *link, wire_type_t type, wire_reader_t *reader, const uint8_t *data,
             size_t size)
{
  peer_network_t *network = link->owner;
  metric_inc (&network->received_messages);
  metric_add (&network->received_bytes, (int64_t)size);
  count_cross_domain_bytes (network, link, size);
  network->options.handler.received (network->options.handler.data, link, type, reader, data, size);
}

static void
on_closed (link_t *link, const anv_error_t *err)
{
  peer_network_t *network = link->owner;
  const char *address = get_link_address (link);
  LOG_DEBUG ("link closed peer=%s address=%s reason=\"%s\"", link->peer.id, address, err->text);
  if (err->code == LINK_ERROR_SILENT)
    metric_inc (&network->silent_links);
  if (g_hash_table_lookup (network->links_by_address, address) == link)
    g_hash_table_remove (network->links_by_address, address);
  g_hash_table_remove (network->links_by_number, &link->sequence_number);
  list_remove (&link->node);
  metric_add (&network->link_count, -1);
}

static const link_ops_t link_ops = {
  .opened = on_opened,
  .received = on_received,
  .closed = on_closed,
};

static void
add_link (peer_network_t *network, link_t *link)
{
  link->sequence_number = ++network->last_link_number;
  list_push_back (&network->links, &link->node);
  g_hash_table_insert (network->links_by_number, &link->sequence_number, link);
  metric_add (&network->link_count, 1);
}

static bool
can_add_link (const peer_network_t *network)
{
  return (size_t)network->link_count.value < network->options.max_links;
}

static void
on_connection_pending (io_watch_t *watch, uint32_t events)
{
  peer_network_t *network = CONTAINER_OF (watch, peer_network_t, watch);
  for (int i = 0; i < MAX_ACCEPTS_PER_ITERATION; i++)
    {
      g_autoptr (GSocket) socket = g_socket_accept (network->socket, NULL, NULL);
      if (socket == NULL)
        return;
      /* At the limit the connection is closed at once; the peer retries later. */
      if (!can_add_link (network))
        continue;
      link_t *link = link_accept (&link_ops, network, network->options.loop, &network->options.self,
                                  network->options.timing, network->options.tls, socket);
      if (link != NULL)
        add_link (network, link);
    }
}

static bool
start (task_t *task, anv_error_t *err)
{
  peer_network_t *network = (peer_network_t *)task;
  link_hello_t *self = &network->options.self;

  network->socket = tcp_listen (network->options.listen, LISTEN_BACKLOG, err);
  if (network->socket == NULL)
    return false;
  if (self->address[0] == '\0')
    tcp_listen_format_address (network->socket, self->address, sizeof (self->address));
  io_watch_init (&network->watch, g_socket_get_fd (network->socket), on_connection_pending);
  io_watch_set (network->options.loop, &network->watch, EPOLLIN);
  LOG_NOTICE ("accepting links address=%s tls=%s", network->options.self.address,
              network->options.tls != NULL ? "yes" : "no");
  return true;
}

static void
receive (task_t *task, const message_t *message)
{
}

static void
stop (task_t *task)
{
  peer_network_t *network = (peer_network_t *)task;
  anv_error_t err = { 0 };
  anv_error_set (&err, ANV_ERROR_LINK, LINK_ERROR_CLOSED, "stopping");
  LIST_FOREACH_SAFE (&network->links, node)
  {
    link_close (CONTAINER_OF (node, link_t, node), &err);
  }
  if (network->socket == NULL)
    return;
  io_watch_remove (network->options.loop, &network->watch);
  g_socket_close (network->socket, NULL);
  g_clear_object (&network->socket);
}

static const task_ops_t network_ops = {
  .name = "peer_network",
  .start = start,
  .receive = receive,
  .stop = stop,
};

static void
register_counters (peer_network_t *network)
{
  metric_registry_t *registry = network->options.counters;
  const struct
  {
    metric_t *counter;
    metric_kind_t kind;
    const char *name;
    const char *help;
  } table[] = {
    { &network->link_count, METRIC_KIND_GAUGE, "anvillb_links", "Links to other processes." },
    { &network->sent_messages, METRIC_KIND_COUNTER, "anvillb_link_messages_sent_total",
      "Messages sent to other processes." },
    { &network->sent_bytes, METRIC_KIND_COUNTER, "anvillb_link_bytes_sent_total",
      "Bytes of messages sent." },
    { &network->received_messages, METRIC_KIND_COUNTER, "anvillb_link_messages_received_total",
      "Messages received from other processes." },
    { &network->received_bytes, METRIC_KIND_COUNTER, "anvillb_link_bytes_received_total",
      "Bytes of messages received." },
    { &network->dropped_messages, METRIC_KIND_COUNTER, "anvillb_link_messages_dropped_total",
      "Messages that could not be queued." },
    { &network->silent_links, METRIC_KIND_COUNTER, "anvillb_links_silent_total",
      "Links closed because the peer was silent." },
    { &network->cross_domain_bytes, METRIC_KIND_COUNTER, "anvillb_link_bytes_cross_domain_total",
      "Bytes of messages to and from other failure domains." },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (table); i++)
    metric_register (registry, table[i].counter, table[i].kind, table[i].name, NULL, table[i].help);
}

void
peer_network_init (peer_network_t *network, const peer_network_options_t *options,
                   GMainContext *context)
{
  *network = (peer_network_t){ .options = *options };
  if (options->timing == NULL)
    network->options.timing = &link_timing_default;
  list_init (&network->links);
  network->links_by_number = g_hash_table_new (g_int64_hash, g_int64_equal);
  network->links_by_address = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  task_init (&network->task, &network_ops, context);
  register_counters (network);
}

void
peer_network_destroy (peer_network_t *network)
{
  task_destroy (&network->task);
  g_clear_pointer (&network->links_by_number, g_hash_table_unref);
  g_clear_pointer (&network->links_by_address, g_hash_table_unref);
}

static link_t *
find_or_connect (peer_network_t *network, const char *address)
{
  anv_error_t err = { 0 };
  link_t *link = g_hash_table_lookup (network->links_by_address, address);
  if (link != NULL)
    return link;
  if (!can_add_link (network))
    return NULL;
  link = link_connect (&link_ops, network, network->options.loop, &network->options.self,
                       network->options.timing, network->options.tls, address, &err);
  if (link == NULL)
    {
      LOG_DEBUG ("cannot connect address=%s error=\"%s\"", address, err.text);
      return NULL;
    }
  add_link (network, link);
  g_hash_table_replace (network->links_by_address, g_strdup (address), link);
  return link;
}

static bool
send_on_link (peer_network_t *network, link_t *link, const uint8_t *data, size_t size)
{
  if (link == NULL || !link_send (link, data, size))
    {
      metric_inc (&network->dropped_messages);
      return false;
    }
  metric_inc (&network->sent_messages);
  metric_add (&network->sent_bytes, (int64_t)size);
  count_cross_domain_bytes (network, link, size);
  return true;
}

void
peer_network_send (peer_network_t *network, const char *address, const uint8_t *data, size_t size)
{
  send_on_link (network, find_or_connect (network, address), data, size);
}

bool
peer_network_reply (peer_network_t *network, uint64_t number, const uint8_t *data, size_t size)
{
  return send_on_link (network, g_hash_table_lookup (network->links_by_number, &number), data,
                       size);
}

void
peer_network_send_writer (peer_network_t *network, const char *address, wire_writer_t *writer)
{
  peer_network_send (network, address, (const uint8_t *)writer->buffer.data, writer->buffer.size);
  wire_writer_destroy (writer);
}

bool
peer_network_reply_writer (peer_network_t *network, uint64_t number, wire_writer_t *writer)
{
  bool sent = peer_network_reply (network, number, (const uint8_t *)writer->buffer.data,
                                  writer->buffer.size);
  wire_writer_destroy (writer);
  return sent;
}

bool
peer_network_is_open (const peer_network_t *network, const char *address)
{
  const link_t *link = g_hash_table_lookup (network->links_by_address, address);
  return link != NULL && link->open;
}

const char *
peer_network_get_address (const peer_network_t *network)
{
  return network->options.self.address;
}
