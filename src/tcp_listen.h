#pragma once

#include <gio/gio.h>

#include "anv_error.h"

/* tcp_listen - creates listening TCP sockets. */

/* Returns a non-blocking socket that listens on ADDRESS, "IP:PORT" or "[IP6]:PORT"; port 0 selects
 * a free one. Returns NULL with ANV_ERROR_LINK. */
GSocket *tcp_listen (const char *address, int backlog, anv_error_t *err);

/* Writes the address that SOCKET is bound to, as "IP:PORT" or "[IP6]:PORT", to TEXT. */
void tcp_listen_format_address (GSocket *socket, char *text, size_t size);
