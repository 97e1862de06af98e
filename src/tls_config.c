#include "tls_config.h"

#define LOG_MODULE "tls_config"
#include "link.h"
#include "log.h"

static bool
tls_error (anv_error_t *err, const char *what, const GError *error)
{
  anv_error_set (err, ANV_ERROR_LINK, LINK_ERROR_TLS, "%s: %s", what, error->message);
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
    return tls_error (err, "cannot load the certificate", error);
  if (authority_file == NULL)
    return true;
  config->authority = g_tls_file_database_new (authority_file, &error);
  if (config->authority != NULL)
    return true;
  tls_config_destroy (config);
  return tls_error (err, "cannot load the authority", error);
}

void
tls_config_destroy (tls_config_t *config)
{
  g_clear_object (&config->certificate);
  g_clear_object (&config->authority);
}

/* Peers are known by IP address and their certificates need not name it. */
static gboolean
accept_any_identity (GTlsConnection *connection, GTlsCertificate *certificate,
                     GTlsCertificateFlags errors, gpointer data)
{
  GTlsCertificateFlags fatal = errors & ~G_TLS_CERTIFICATE_BAD_IDENTITY;
  if (fatal != 0)
    LOG_WARNING ("certificate of a peer refused flags=0x%x", (unsigned)fatal);
  return fatal == 0;
}

static GIOStream *
configure (const tls_config_t *config, GIOStream *tls, const GError *error, anv_error_t *err)
{
  if (tls == NULL)
    {
      tls_error (err, "cannot start TLS", error);
      return NULL;
    }
  g_tls_connection_set_database (G_TLS_CONNECTION (tls), config->authority);
  g_signal_connect (tls, "accept-certificate", G_CALLBACK (accept_any_identity), NULL);
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
