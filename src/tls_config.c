#include "tls_config.h"

#define LOG_MODULE "tls_config"
#include "link.h"
#include "log.h"

static bool
set_tls_error (anv_error_t *err, const char *action, const GError *error)
{
  anv_error_set (err, ANV_ERROR_LINK, LINK_ERROR_TLS, "%s: %s", action, error->message);
  return false;
}

bool
tls_config_load (tls_config_t *config, const char *certificate_file, const char *key_file,
                 const char *authority_file, anv_error_t *err)
{
  g_autoptr (GError) error = NULL;
  *config = (tls_config_t){ 0 };
  config->certificate = g_tls_certificate_new_from_files (certificate_file, key_file, &error);
  if (config->certificate == NULL)
    return set_tls_error (err, "cannot load the certificate", error);
  if (authority_file == NULL)
    return true;
  config->authority = g_tls_file_database_new (authority_file, &error);
  if (config->authority != NULL)
    return true;
  tls_config_destroy (config);
  return set_tls_error (err, "cannot load the certificate authority", error);
}

void
tls_config_destroy (tls_config_t *config)
{
  g_clear_object (&config->certificate);
  g_clear_object (&config->authority);
}

/* Ignores a mismatch of the identity: peers are identified by IP address, which their certificates
 * need not contain. */
static gboolean
accept_identity_mismatch (GTlsConnection *connection, GTlsCertificate *certificate,
                          GTlsCertificateFlags errors, gpointer data)
{
  GTlsCertificateFlags fatal_errors = errors & ~G_TLS_CERTIFICATE_BAD_IDENTITY;
  if (fatal_errors != 0)
    LOG_WARNING ("certificate of a peer refused flags=0x%x", (unsigned)fatal_errors);
  return fatal_errors == 0;
}

static GIOStream *
configure (const tls_config_t *config, GIOStream *tls, const GError *error, anv_error_t *err)
{
  if (tls == NULL)
    {
      set_tls_error (err, "cannot start TLS", error);
      return NULL;
    }
  g_tls_connection_set_database (G_TLS_CONNECTION (tls), config->authority);
  g_signal_connect (tls, "accept-certificate", G_CALLBACK (accept_identity_mismatch), NULL);
  g_tls_connection_set_require_close_notify (G_TLS_CONNECTION (tls), FALSE);
  return tls;
}

GIOStream *
tls_config_accept (const tls_config_t *config, GSocket *socket, anv_error_t *err)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketConnection) base = g_socket_connection_factory_create_connection (socket);
  GIOStream *tls = g_tls_server_connection_new (G_IO_STREAM (base), config->certificate, &error);
  if (tls != NULL)
    g_object_set (tls, "authentication-mode", G_TLS_AUTHENTICATION_REQUIRED, NULL);
  return configure (config, tls, error, err);
}

GIOStream *
tls_config_connect (const tls_config_t *config, GSocket *socket, anv_error_t *err)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketConnection) base = g_socket_connection_factory_create_connection (socket);
  GIOStream *tls = g_tls_client_connection_new (G_IO_STREAM (base), NULL, &error);
  if (tls != NULL)
    g_tls_connection_set_certificate (G_TLS_CONNECTION (tls), config->certificate);
  return configure (config, tls, error, err);
}
