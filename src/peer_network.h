#pragma once

#include "counter.h"
#include "link.h"
#include "task.h"

/* peer_network - task that owns all links of a process and finds the link for an address.
 *
 * Sending is best effort: a link is opened when it is needed, and what cannot be delivered is
 * dropped, so protocols above repeat what matters. Replies go back on the link of the request with
 * peer_network_reply(), also when this process could not connect to the peer itself. */

typedef struct peer_network peer_network_t;

typedef struct
{
  /* A message from LINK->peer; see link_ops_t. Reply with peer_network_reply() and LINK->number. */
  void (*received) (void *data, link_t *link, wire_type_t type, wire_reader_t *reader,
                    const uint8_t *message, size_t size);
  void *data;
} peer_handler_t;

typedef struct
{
  io_loop_t *loop;
  const char *listen;          /* "IP:PORT"; port 0 chooses a free one */
  const tls_config_t *tls;     /* NULL for none */
  const link_timing_t *timing; /* NULL: link_timing_default */
  size_t max_links;            /* accepted and connected */
  link_hello_t self;           /* with an empty address, the listening address is used */
  counter_registry_t *counters;
  peer_handler_t handler;
} peer_network_options_t;

struct peer_network
{
  task_t task; /* first member */
  peer_network_options_t options;
  GSocket *socket;
  io_watch_t watch;
  list_t links;
  GHashTable *by_number;  /* number -> link */
  GHashTable *by_address; /* address -> link that messages for it go to */
  uint64_t next_number;
  counter_t open_links;
  counter_t sent_messages;
  counter_t sent_bytes;
  counter_t received_messages;
  counter_t received_bytes;
  counter_t dropped_messages;
  counter_t silent_links;
  counter_t cross_domain_bytes; /* sent to and received from other failure domains */
};

void peer_network_init (peer_network_t *network, const peer_network_options_t *options,
                        GMainContext *context);
void peer_network_destroy (peer_network_t *network);

/* Sends to the process that accepts links at ADDRESS. */
void peer_network_send (peer_network_t *network, const char *address, const uint8_t *data,
                        size_t size);

/* Sends on the link NUMBER, if it is still open. Returns whether it was. */
bool peer_network_reply (peer_network_t *network, uint64_t number, const uint8_t *data,
                         size_t size);

/* Sends an encoded message and frees WRITER. */
void peer_network_send_writer (peer_network_t *network, const char *address, wire_writer_t *writer);
bool peer_network_reply_writer (peer_network_t *network, uint64_t number, wire_writer_t *writer);

/* Returns whether there is an open link to ADDRESS. */
bool peer_network_is_open (const peer_network_t *network, const char *address);

/* The address that peers use for this process; valid after the start. */
const char *peer_network_address (const peer_network_t *network);
