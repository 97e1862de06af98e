#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "byte_stream.h"
#include "frame.h"
#include "link_clock.h"
#include "list.h"
#include "tls_config.h"
#include "wire.h"

/* link - one connection between two of the project's own processes.
 *
 * Both sides send HELLO first, and HEARTBEAT when they have sent nothing else for the period of
 * heartbeats. A link without input for the time of silence is closed, because a connection can go
 * silent for good while new ones work. A link without messages for the idle time is closed too, so
 * that a process has links only to the peers it talks to. Heartbeats carry time stamps and echoes
 * for link_clock. */

typedef struct
{
  int64_t heartbeat_us;
  int64_t silence_us;
  int64_t idle_us;
  int64_t handshake_us;     /* until HELLO */
  bool heartbeat_when_idle; /* other messages take the place of heartbeats */
} link_timing_t;

/* Of fleets with membership by gossip. */
extern const link_timing_t link_timing_default;

/* Of fleets with control instances: a silent link is replaced well within the 3 s after which a
 * change must be in force again. */
extern const link_timing_t link_timing_fleet;

/* Output that is queued for a slow peer before messages are dropped. */
#define LINK_MAX_PENDING (64U * 1024 * 1024)
/* Largest frame before the peer has said HELLO. */
#define LINK_MAX_HELLO_SIZE 1024

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

/* What a process says about itself. */
typedef struct
{
  char id[LINK_ID_SIZE];
  char domain[LINK_ID_SIZE];
  char address[LINK_ADDRESS_SIZE]; /* where it accepts links, "IP:PORT" */
  uint64_t incarnation;
} link_hello_t;

typedef struct link link_t;

typedef struct
{
  /* The peer has said HELLO; link->peer is set. */
  void (*opened) (link_t *link);
  /* A message other than HELLO and HEARTBEAT. READER stands at its first field; DATA is the whole
   * payload. */
  void (*received) (link_t *link, wire_type_t type, wire_reader_t *reader, const uint8_t *data,
                    size_t size);
  /* Called once; the link is freed after the current turn of the main loop. */
  void (*closed) (link_t *link, const anv_error_t *err);
} link_ops_t;

struct link
{
  const link_ops_t *ops; /* set by the owner's vtable */
  list_node_t node;      /* for the owner */
  void *owner;
  uint64_t number; /* for the owner */
  io_loop_t *loop;
  byte_stream_t stream;
  frame_reader_t reader;
  io_timer_t timer;
  io_deferred_t free;
  const tls_config_t *tls; /* for a connection under way; NULL without TLS */
  const link_hello_t *self;
  const link_timing_t *timing;
  link_hello_t peer;
  char target[LINK_ADDRESS_SIZE]; /* address that was connected to; "" if accepted */
  link_clock_t clock;
  int64_t opened_us;
  int64_t received_us;   /* last input */
  int64_t used_us;       /* last message in either direction */
  int64_t sent_us;       /* last output */
  int64_t peer_sent_us;  /* time stamp in the peer's last heartbeat; 0 before */
  int64_t peer_stamp_us; /* when it arrived */
  GByteArray *early;     /* frames queued before the link is open */
  bool open;
  bool closed;
};

/* Takes over an accepted SOCKET. */
link_t *link_accept (const link_ops_t *ops, void *owner, io_loop_t *loop, const link_hello_t *self,
                     const link_timing_t *timing, const tls_config_t *tls, GSocket *socket);

/* Starts a connection to ADDRESS. Returns NULL with ANV_ERROR_LINK if that is not possible. */
link_t *link_connect (const link_ops_t *ops, void *owner, io_loop_t *loop, const link_hello_t *self,
                      const link_timing_t *timing, const tls_config_t *tls, const char *address,
                      anv_error_t *err);

/* Queues a message. Returns false if it was dropped because the peer is too slow. */
bool link_send (link_t *link, const uint8_t *data, size_t size);

/* Closes the link and calls closed(). */
void link_close (link_t *link, const anv_error_t *err);

/* Returns an upper bound of the age of a message that the peer sent at SENT_US of its monotonic
 * clock, or LINK_CLOCK_AGE_UNKNOWN. */
int64_t link_message_age (const link_t *link, int64_t sent_us);
