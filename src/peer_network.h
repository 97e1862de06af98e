#pragma once

#include "link.h"
#include "metric.h"
#include "task.h"

/* peer_network - task that owns the links of a process and finds the link for an address.
 *
 * Sending is best effort. A link is opened when a message needs it, and messages that cannot be
 * delivered are dropped, so a protocol repeats the messages that it depends on.
 * peer_network_reply() answers on the link of the request, which also works if this process cannot
 * connect to the peer. */

typedef struct peer_network peer_network_t;

typedef struct
{
  /* Called for each message from LINK->peer; see link_ops_t. To reply, pass LINK->sequence_number
   * to peer_network_reply(). MESSAGE is the whole payload. */
  void (*received) (void *data, link_t *link, wire_type_t type, wire_reader_t *reader,
                    const uint8_t *message, size_t size);
  void *data;
} peer_handler_t;

typedef struct
{
  io_loop_t *loop;
  const char *listen;          /* "IP:PORT"; port 0 selects a free port */
  const tls_config_t *tls;     /* NULL: no TLS */
  const link_timing_t *timing; /* NULL: link_timing_default */
  size_t max_links;            /* accepted and outgoing together */
  link_hello_t self;           /* an empty address means the listening address */
  metric_registry_t *counters;
  peer_handler_t handler;
} peer_network_options_t;

struct peer_network
{
  task_t task; /* first member */
  peer_network_options_t options;
  GSocket *socket;
  io_watch_t watch;
  list_t links;
  GHashTable *links_by_number;  /* link_t.sequence_number -> link_t */
  GHashTable *links_by_address; /* address -> link_t that messages to it are sent on */
  uint64_t last_link_number;
  metric_t link_count; /* accepted and outgoing, also before HELLO */
  metric_t sent_messages;
  metric_t sent_bytes;
  metric_t received_messages;
  metric_t received_bytes;
  metric_t dropped_messages;
  metric_t silent_links;
  metric_t cross_domain_bytes; /* between failure domains; not those sent before HELLO */
};

void peer_network_init (peer_network_t *network, const peer_network_options_t *options,
                        GMainContext *context);
void peer_network_destroy (peer_network_t *network);

/* Sends a message to the process that listens at ADDRESS. Opens a link if there is none. */
void peer_network_send (peer_network_t *network, const char *address, const uint8_t *data,
                        size_t size);

/* Sends a message on the link NUMBER. Returns false if that link is closed or the message was
 * dropped. */
bool peer_network_reply (peer_network_t *network, uint64_t number, const uint8_t *data,
                         size_t size);

/* Like peer_network_send() and peer_network_reply() for an encoded message; both destroy WRITER. */
void peer_network_send_writer (peer_network_t *network, const char *address, wire_writer_t *writer);
bool peer_network_reply_writer (peer_network_t *network, uint64_t number, wire_writer_t *writer);

/* Returns whether there is a link to ADDRESS and its peer has sent HELLO. */
bool peer_network_is_open (const peer_network_t *network, const char *address);

/* Returns the address that peers use for this process. Valid once the task has started. */
const char *peer_network_get_address (const peer_network_t *network);
