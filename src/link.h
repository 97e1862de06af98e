#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "byte_stream.h"
#include "frame.h"
#include "link_clock.h"
#include "list.h"
#include "tls_config.h"
#include "wire.h"

/* link - connection between two processes of the fleet.
 *
 * Both sides first send HELLO, then a HEARTBEAT every heartbeat period. A link that receives
 * nothing for the receive timeout is closed, because a connection can stop delivering for good
 * while new ones work. A link without other messages for the idle timeout is closed too, so that a
 * process keeps links only to the peers that it talks to. Heartbeats carry time stamps and echoes
 * for link_clock. */

typedef struct
{
  int64_t heartbeat_period_us;
  int64_t receive_timeout_us;   /* longest time without input */
  int64_t idle_timeout_us;      /* longest time without a message other than a heartbeat */
  int64_t handshake_timeout_us; /* from the start of the connection to the peer's HELLO */
  /* A heartbeat is not sent if other output went out in the last half of a heartbeat period. */
  bool messages_replace_heartbeats;
} link_timing_t;

/* For fleets with gossip membership. */
extern const link_timing_t link_timing_default;

/* For fleets with control instances. After a failure, a change of the configuration must be in
 * force within 3 s, and a silent link is replaced well within that time. */
extern const link_timing_t link_timing_fleet;

/* Most bytes that are queued for a slow peer; messages beyond it are dropped. */
#define LINK_MAX_QUEUED_BYTES (64U * 1024 * 1024)
/* Largest frame that is accepted before the peer's HELLO. */
#define LINK_MAX_HELLO_BYTES 1024

typedef enum
{
  LINK_ERROR_TLS = 1,
  LINK_ERROR_SOCKET,
  LINK_ERROR_SILENT,
  LINK_ERROR_PROTOCOL,
  LINK_ERROR_CLOSED,
} link_error_t;

#define LINK_ID_SIZE 64
#define LINK_ADDRESS_SIZE 64

/* Identity of a process, sent in HELLO. */
typedef struct
{
  char id[LINK_ID_SIZE];
  char domain[LINK_ID_SIZE];
  char address[LINK_ADDRESS_SIZE]; /* listening address for links, "IP:PORT" */
  uint64_t incarnation;
} link_hello_t;

typedef struct link link_t;

typedef struct
{
  /* Called when HELLO has arrived; link->peer is set. */
  void (*opened) (link_t *link);
  /* Called for each message other than HELLO and HEARTBEAT. The next read of READER returns its
   * first field; DATA is the whole payload. */
  void (*received) (link_t *link, wire_type_t type, wire_reader_t *reader, const uint8_t *data,
                    size_t size);
  /* Called once. A deferred call of the io_loop then frees the link. */
  void (*closed) (link_t *link, const anv_error_t *err);
} link_ops_t;

struct link
{
  const link_ops_t *ops;
  list_node_t node; /* for the owner */
  void *owner;
  uint64_t sequence_number; /* identifies the link; assigned by the owner */
  io_loop_t *loop;
  byte_stream_t stream;
  frame_reader_t reader;
  io_timer_t timer;
  io_deferred_t deferred_free;
  const tls_config_t *tls; /* for outgoing connections; NULL without TLS */
  const link_hello_t *self;
  const link_timing_t *timing;
  link_hello_t peer;
  char connect_address[LINK_ADDRESS_SIZE]; /* "" if the connection was accepted */
  link_clock_t clock;
  int64_t created_us;
  int64_t last_input_us;
  int64_t last_message_us; /* in either direction, without HELLO and heartbeats */
  int64_t last_output_us;
  int64_t peer_heartbeat_sent_us;     /* on the peer's clock; 0 before its first heartbeat */
  int64_t peer_heartbeat_received_us; /* on the own clock */
  GByteArray *queued_frames;          /* frames to send when the link is open */
  bool open;                          /* the peer's HELLO has arrived */
  bool closed;
};

/* Creates a link on the accepted SOCKET. Returns NULL if TLS cannot be set up. */
link_t *link_accept (const link_ops_t *ops, void *owner, io_loop_t *loop, const link_hello_t *self,
                     const link_timing_t *timing, const tls_config_t *tls, GSocket *socket);

/* Creates a link and starts to connect to ADDRESS. On failure, returns NULL and sets ERR to
 * ANV_ERROR_LINK. */
link_t *link_connect (const link_ops_t *ops, void *owner, io_loop_t *loop, const link_hello_t *self,
                      const link_timing_t *timing, const tls_config_t *tls, const char *address,
                      anv_error_t *err);

/* Queues a message; before HELLO it is kept until the link opens. Returns false if the message was
 * dropped: the link is closed, its queue is full, or SIZE is not from 1 to FRAME_MAX_SIZE. */
bool link_send (link_t *link, const uint8_t *data, size_t size);

/* Closes the link and calls closed(). */
void link_close (link_t *link, const anv_error_t *err);

/* Returns an upper bound, in microseconds, of the age of a message that the peer sent at SENT_US on
 * its monotonic clock, or LINK_CLOCK_AGE_UNKNOWN. */
int64_t link_compute_message_age_us (const link_t *link, int64_t sent_us);
