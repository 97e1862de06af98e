#pragma once

#include <gio/gio.h>
#include <stdbool.h>

#include "anv_error.h"

/* tls_config - certificate of this process and the authority that signs its peers.
 *
 * Links between processes use certificates on both sides: each side accepts a peer whose
 * certificate the authority has signed. Names in certificates are not checked, because peers are
 * known by IP address and any certificate of the authority belongs to the fleet. */

typedef struct
{
  GTlsCertificate *certificate;
  GTlsDatabase *authority;
} tls_config_t;

/* Loads PEM files; AUTHORITY_FILE may be NULL if only callers are served. Returns false with
 * ANV_ERROR_LINK. */
bool tls_config_load (tls_config_t *config, const char *certificate_file, const char *key_file,
                      const char *authority_file, anv_error_t *err);
void tls_config_destroy (tls_config_t *config);

/* Wraps a connected socket as the side that accepted it, which demands a certificate of the
 * peer, or as the side that connected. Returns NULL with ANV_ERROR_LINK. */
GIOStream *tls_config_accept (const tls_config_t *config, GSocket *socket, anv_error_t *err);
GIOStream *tls_config_connect (const tls_config_t *config, GSocket *socket, anv_error_t *err);
