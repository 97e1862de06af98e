#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "http_headers.h"
}

// Guards against forwarding hop-by-hop fields, and against a caller that removes end-to-end fields
// by naming them in Connection.
TEST (HttpHeaders, HopByHopFieldsAreRemoved)
{
  http_headers_t headers;
  http_headers_init (&headers);
  http_headers_append (&headers, "Host", "h");
  http_headers_append (&headers, "Connection", "close, X-Private ,Host");
  http_headers_append (&headers, "connection", "X-Other, Idempotency-Key");
  http_headers_append (&headers, "X-Private", "1");
  http_headers_append (&headers, "x-other", "1");
  http_headers_append (&headers, "X-Others", "1");
  http_headers_append (&headers, "Idempotency-Key", "k");
  http_headers_append (&headers, "TE", "trailers");
  http_headers_append (&headers, "Keep-Alive", "1");
  http_headers_append (&headers, "Upgrade", "h2c");
  http_headers_remove_hop_by_hop (&headers);
  GString *text = g_string_new (nullptr);
  http_headers_write (&headers, text);
  EXPECT_STREQ (text->str, "Host: h\r\nX-Others: 1\r\nIdempotency-Key: k\r\n");
  g_string_free (text, TRUE);
  http_headers_destroy (&headers);
}

// Guards against a token that matches a part of a longer word, such as close in xclose.
TEST (HttpHeaders, TokensAreWholeWords)
{
  http_headers_t headers;
  http_headers_init (&headers);
  http_headers_append (&headers, "Connection", "xclose,\tKeep-Alive ,closed");
  EXPECT_FALSE (http_headers_has_token (&headers, "connection", "close"));
  EXPECT_TRUE (http_headers_has_token (&headers, "connection", "keep-alive"));
  http_headers_destroy (&headers);
}

// Guards against a field of a caller that reaches a target, which may take '_' for '-', under
// another spelling of its name.
TEST (HttpHeaders, SimilarNamesAreRemoved)
{
  http_headers_t headers;
  http_headers_init (&headers);
  for (const char *name : { "Tenant-Name", "tenant_name", "TENANT-name", "Tenant", "Tenant-Name-",
                            "Tenant.Name", "TenantName" })
    http_headers_append (&headers, name, "x");
  http_headers_remove_similar (&headers, "Tenant-Name");
  std::string left;
  for (size_t i = 0; i < http_headers_length (&headers); i++)
    left += std::string (http_headers_name (&headers, i)) + " ";
  EXPECT_EQ (left, "Tenant Tenant-Name- Tenant.Name TenantName ");
  http_headers_destroy (&headers);
}
