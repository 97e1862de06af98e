#pragma once

#include <gio/gio.h>
#include <stdbool.h>

#include "anv_error.h"

/* tls_config - certificate of this process and the certificate authority (CA) of the fleet.
 *
 * Links between processes use mutual TLS: each side accepts a peer whose certificate the authority
 * has signed. Names in certificates are not checked, because peers are identified by IP address and
 * every certificate that the authority signs belongs to the fleet. */

typedef struct
{
  GTlsCertificate *certificate;
  GTlsDatabase *authority; /* NULL if there are no links with TLS */
} tls_config_t;

/* Loads PEM files; AUTHORITY_FILE may be NULL if only callers are served. Returns false with
 * ANV_ERROR_LINK. */
bool tls_config_load (tls_config_t *config, const char *certificate_file, const char *key_file,
                      const char *authority_file, anv_error_t *err);
void tls_config_destroy (tls_config_t *config);

/* Wrap a connected socket in TLS, as the server, which requires a certificate of the peer, or as
 * the client. Return NULL with ANV_ERROR_LINK. */
GIOStream *tls_config_accept (const tls_config_t *config, GSocket *socket, anv_error_t *err);
GIOStream *tls_config_connect (const tls_config_t *config, GSocket *socket, anv_error_t *err);
