#include "http_codec.h"

#include <string.h>

/* 15 digits keep the length far below INT64_MAX. */
#define MAX_CONTENT_LENGTH_DIGITS 15
#define MIN_STATUS 100
#define MAX_STATUS 599

static int on_url (http_parser *parser, const char *at, size_t size);
static int on_field (http_parser *parser, const char *at, size_t size);
static int on_value (http_parser *parser, const char *at, size_t size);
static int on_headers_complete (http_parser *parser);
static int on_body (http_parser *parser, const char *at, size_t size);
static int on_chunk_header (http_parser *parser);
static int on_message_complete (http_parser *parser);

static const http_parser_settings parser_settings = {
  .on_url = on_url,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_chunk_header = on_chunk_header,
  .on_message_complete = on_message_complete,
};

static http_event_type_t
fail (http_codec_t *codec, anv_error_t *err, http_error_t code, const char *text)
{
  codec->mode = HTTP_MODE_FAILED;
  anv_error_set (err, ANV_ERROR_HTTP, code, "%s", text);
  return HTTP_EVENT_ERROR;
}

static bool
is_bodyless_status (int status)
{
  return (status >= 100 && status < 200) || status == 204 || status == 304;
}

static int
on_url (http_parser *parser, const char *at, size_t size)
{
  http_codec_t *codec = parser->data;
  codec->head.request_target = g_strndup (at, size);
  return 0;
}

static int
on_field (http_parser *parser, const char *at, size_t size)
{
  http_codec_t *codec = parser->data;
  codec->field_name = at;
  codec->field_name_size = size;
  return 0;
}

static int
on_value (http_parser *parser, const char *at, size_t size)
{
  http_codec_t *codec = parser->data;
  if (codec->mode != HTTP_MODE_HEAD)
    return 0;
  while (size > 0 && (at[size - 1] == ' ' || at[size - 1] == '\t'))
    size--;
  http_headers_append_len (&codec->head.headers, codec->field_name, codec->field_name_size, at,
                           size);
  return 0;
}

static int
on_headers_complete (http_parser *parser)
{
  http_codec_t *codec = parser->data;
  http_head_t *head = &codec->head;

  head->version_minor = parser->http_minor;
  if (codec->kind == HTTP_CODEC_REQUEST)
    {
      head->method = http_method_str (parser->method);
      return 0;
    }
  head->status = (int)parser->status_code;
  return codec->expects_no_body || is_bodyless_status (head->status) ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t size)
{
  http_codec_t *codec = parser->data;
  codec->body = at;
  codec->body_size = size;
  return 0;
}

static int
on_chunk_header (http_parser *parser)
{
  http_codec_t *codec = parser->data;
  codec->bytes_left = parser->content_length;
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  http_codec_t *codec = parser->data;
  codec->parser_complete = true;
  return 0;
}

static void
clear_head (http_head_t *head)
{
  g_free (head->request_target);
  http_headers_clear (&head->headers);
  *head = (http_head_t){ .content_length = -1 };
}

static void
free_head_buffer (http_codec_t *codec)
{
  if (codec->head_buffer == NULL)
    return;
  g_string_free (codec->head_buffer, TRUE);
  codec->head_buffer = NULL;
}

void
http_codec_init (http_codec_t *codec, http_codec_kind_t kind)
{
  *codec = (http_codec_t){ .kind = kind };
  http_codec_reset (codec);
}

void
http_codec_destroy (http_codec_t *codec)
{
  free_head_buffer (codec);
  clear_head (&codec->head);
}

void
http_codec_reset (http_codec_t *codec)
{
  free_head_buffer (codec);
  clear_head (&codec->head);
  http_parser_init (&codec->parser,
                    codec->kind == HTTP_CODEC_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
  codec->parser.data = codec;
  codec->mode = HTTP_MODE_HEAD;
  codec->expects_no_body = false;
  codec->previous_byte = '\0';
  codec->line_bytes = 0;
  codec->section_bytes = 0;
  codec->section_lines = 0;
  codec->bytes_left = 0;
  codec->parser_complete = false;
}

void
http_codec_expect_no_body (http_codec_t *codec)
{
  codec->expects_no_body = true;
}

bool
http_codec_is_mid_message (const http_codec_t *codec)
{
  return codec->mode != HTTP_MODE_HEAD || codec->section_bytes > 0;
}

/* Checks the next byte C of a line that must end with CRLF. Returns why it is invalid, or NULL. */
static const char *
check_line_byte (const http_codec_t *codec, char c)
{
  if (codec->previous_byte == '\r' && c != '\n')
    return "carriage return without line feed";
  if (c == '\n' && codec->previous_byte != '\r')
    return "line feed without carriage return";
  if (codec->line_bytes == 0 && (c == ' ' || c == '\t'))
    return "folded line or leading white space";
  if (((unsigned char)c < 0x20 && c != '\t' && c != '\r' && c != '\n') || c == 0x7f)
    return "control character";
  return NULL;
}

/* Scans a head or a trailer up to the empty line that ends it. Returns the number of bytes scanned
 * and sets *DONE if they include that line. On an error, sets *REASON and *CODE. */
static size_t
scan_section (http_codec_t *codec, const char *bytes, size_t size, bool *done, const char **reason,
              http_error_t *code)
{
  *code = HTTP_ERROR_SYNTAX;
  for (size_t i = 0; i < size; i++)
    {
      char c = bytes[i];
      if ((*reason = check_line_byte (codec, c)) != NULL)
        return i;
      codec->previous_byte = c;
      codec->line_bytes++;
      codec->section_bytes++;
      if (codec->section_bytes > HTTP_MAX_HEAD_BYTES || codec->section_lines > HTTP_MAX_FIELDS + 1)
        {
          *code = HTTP_ERROR_TOO_LARGE;
          *reason = "header fields too large";
          return i;
        }
      if (c != '\n')
        continue;
      bool empty = codec->line_bytes == 2;
      codec->line_bytes = 0;
      codec->previous_byte = '\0';
      codec->section_lines++;
      if (empty && codec->mode == HTTP_MODE_HEAD && codec->section_lines == 1)
        {
          *reason = "empty line before the message";
          return i;
        }
      if (empty)
        {
          *done = true;
          return i + 1;
        }
    }
  return size;
}

static bool
is_token (const char *text)
{
  if (*text == '\0')
    return false;
  for (const char *p = text; *p != '\0'; p++)
    {
      if (!g_ascii_isalnum (*p) && strchr ("!#$%&'*+-.^_`|~", *p) == NULL)
        return false;
    }
  return true;
}

static bool
parse_content_length (const char *text, int64_t *length)
{
  size_t digit_count = strspn (text, "0123456789");
  if (digit_count == 0 || digit_count > MAX_CONTENT_LENGTH_DIGITS || text[digit_count] != '\0')
    return false;
  *length = g_ascii_strtoll (text, NULL, 10);
  return true;
}

/* Checks the field names and reads the fields that delimit the body. Returns why the message is
 * invalid, or NULL. */
static const char *
check_framing (http_head_t *head, http_error_t *code)
{
  const http_headers_t *headers = &head->headers;
  size_t length_count = http_headers_count (headers, "Content-Length");
  size_t coding_count = http_headers_count (headers, "Transfer-Encoding");

  *code = HTTP_ERROR_SYNTAX;
  for (size_t i = 0; i < http_headers_length (headers); i++)
    {
      if (!is_token (http_headers_name (headers, i)))
        return "header name is not a token";
    }
  if (length_count > 1)
    return "more than one Content-Length";
  if (length_count == 1 && coding_count > 0)
    return "Content-Length together with Transfer-Encoding";
  if (length_count == 1
      && !parse_content_length (http_headers_get (headers, "Content-Length"),
                                &head->content_length))
    return "malformed Content-Length";
  if (coding_count == 0)
    return NULL;
  if (coding_count > 1 || head->version_minor == 0)
    return "Transfer-Encoding repeated or in HTTP/1.0";
  if (g_ascii_strcasecmp (http_headers_get (headers, "Transfer-Encoding"), "chunked") != 0)
    {
      *code = HTTP_ERROR_UNSUPPORTED;
      return "transfer coding other than chunked";
    }
  head->chunked = true;
  return NULL;
}

/* Converts a request target in absolute form to origin form (RFC 9112, 3.2). Returns false if it is
 * not an http URL or if its authority differs from HOST. */
static bool
convert_to_origin_form (http_head_t *head, const char *host)
{
  size_t host_size = strlen (host);
  const char *authority = head->request_target + strlen ("http://");
  if (g_ascii_strncasecmp (head->request_target, "http://", 7) != 0
      || g_ascii_strncasecmp (authority, host, host_size) != 0)
    return false;
  const char *rest = authority + host_size;
  if (*rest != '\0' && *rest != '/' && *rest != '?')
    return false;
  char *target = g_strconcat (*rest == '/' ? "" : "/", rest, NULL);
  g_free (head->request_target);
  head->request_target = target;
  return true;
}

static const char *
check_request (http_head_t *head, http_error_t *code)
{
  const char *host = http_headers_get (&head->headers, "Host");

  *code = HTTP_ERROR_SYNTAX;
  if (http_headers_count (&head->headers, "Host") > 1)
    return "more than one Host";
  if (host == NULL && head->version_minor >= 1)
    return "no Host";
  if (host != NULL && strpbrk (host, " \t,/@?#") != NULL)
    return "malformed Host";
  if (strcmp (head->method, "CONNECT") == 0)
    {
      *code = HTTP_ERROR_UNSUPPORTED;
      return "method CONNECT";
    }
  if (head->request_target == NULL)
    return "no target";
  if (head->request_target[0] != '/' && (host == NULL || !convert_to_origin_form (head, host)))
    return "target is neither a path nor a URL of this host";
  return NULL;
}

/* Returns whether the first line of the head in BYTES has a status of exactly three digits after
 * one blank. http_parser skips leading zeros and further digits. */
static bool
has_valid_status (const char *bytes, size_t size)
{
  static const char version[] = "HTTP/1.1 ";
  size_t start = strlen (version);
  if (size <= start + 3 || bytes[start - 1] != ' ' || bytes[start] == '0')
    return false;
  for (size_t i = start; i < start + 3; i++)
    {
      if (!g_ascii_isdigit (bytes[i]))
        return false;
    }
  return bytes[start + 3] == ' ' || bytes[start + 3] == '\r';
}

static void
choose_body_mode (http_codec_t *codec)
{
  http_head_t *head = &codec->head;
  bool response = codec->kind == HTTP_CODEC_RESPONSE;
  bool bodyless = response && (codec->expects_no_body || is_bodyless_status (head->status));

  codec->mode = HTTP_MODE_COMPLETE;
  if (!bodyless && head->chunked)
    codec->mode = HTTP_MODE_CHUNK_LINE;
  else if (!bodyless && head->content_length > 0)
    codec->mode = HTTP_MODE_LENGTH;
  else if (!bodyless && response && head->content_length < 0)
    codec->mode = HTTP_MODE_UNTIL_CLOSE;

  codec->bytes_left = codec->mode == HTTP_MODE_LENGTH ? (uint64_t)head->content_length : 0;
  codec->line_bytes = 0;
  head->has_body = codec->mode != HTTP_MODE_COMPLETE;
  head->keep_alive
      = codec->mode != HTTP_MODE_UNTIL_CLOSE && http_should_keep_alive (&codec->parser) != 0;
}

static http_event_type_t
parse_head (http_codec_t *codec, const char *bytes, size_t size, anv_error_t *err)
{
  http_parser_execute (&codec->parser, &parser_settings, bytes, size);
  enum http_errno parser_error = HTTP_PARSER_ERRNO (&codec->parser);
  if (parser_error == HPE_INVALID_METHOD)
    return fail (codec, err, HTTP_ERROR_UNSUPPORTED, "unknown method");
  if (parser_error == HPE_INVALID_VERSION)
    return fail (codec, err, HTTP_ERROR_VERSION, "malformed version");

  http_error_t code = HTTP_ERROR_SYNTAX;
  const char *reason = check_framing (&codec->head, &code);
  if (reason == NULL && parser_error != HPE_OK)
    reason = http_errno_description (parser_error);
  if (reason == NULL && codec->kind == HTTP_CODEC_REQUEST)
    {
      if (codec->head.method == NULL)
        return fail (codec, err, HTTP_ERROR_SYNTAX, "malformed request");
      reason = check_request (&codec->head, &code);
    }
  if (reason == NULL && codec->kind == HTTP_CODEC_RESPONSE
      && (codec->head.status < MIN_STATUS || codec->head.status > MAX_STATUS
          || !has_valid_status (bytes, size)))
    reason = "status is not a number from 100 to 599";
  if (reason != NULL)
    return fail (codec, err, code, reason);
  if (codec->parser.http_major != 1 || codec->head.version_minor > 1)
    return fail (codec, err, HTTP_ERROR_VERSION, "version is not HTTP/1.0 or HTTP/1.1");
  choose_body_mode (codec);
  return HTTP_EVENT_HEAD;
}

static http_event_type_t
next_head (http_codec_t *codec, const char **bytes, size_t *size, anv_error_t *err)
{
  bool done = false;
  const char *reason = NULL;
  http_error_t code = HTTP_ERROR_SYNTAX;
  const char *start = *bytes;
  size_t used = scan_section (codec, start, *size, &done, &reason, &code);

  *bytes += used;
  *size -= used;
  if (reason != NULL)
    return fail (codec, err, code, reason);
  if (done && codec->head_buffer == NULL)
    return parse_head (codec, start, used, err);
  if (used == 0)
    return HTTP_EVENT_NEED_INPUT;
  if (codec->head_buffer == NULL)
    codec->head_buffer = g_string_sized_new (MAX (used, 512));
  g_string_append_len (codec->head_buffer, start, (gssize)used);
  if (!done)
    return HTTP_EVENT_NEED_INPUT;

  http_event_type_t type
      = parse_head (codec, codec->head_buffer->str, codec->head_buffer->len, err);
  free_head_buffer (codec);
  return type;
}

/* Passes the next COUNT bytes of the input to http_parser. Returns false if it rejects them. */
static bool
run_parser (http_codec_t *codec, const char **bytes, size_t *size, size_t count)
{
  codec->body_size = 0;
  http_parser_execute (&codec->parser, &parser_settings, *bytes, count);
  *bytes += count;
  *size -= count;
  return HTTP_PARSER_ERRNO (&codec->parser) == HPE_OK;
}

static http_event_type_t
next_chunk_line (http_codec_t *codec, const char **bytes, size_t *size, anv_error_t *err)
{
  size_t i = 0;
  bool done = false;
  for (; i < *size && !done; i++)
    {
      char c = (*bytes)[i];
      const char *reason = check_line_byte (codec, c);
      if (reason == NULL && codec->line_bytes == 0 && !g_ascii_isxdigit (c))
        reason = "malformed chunk size";
      if (reason == NULL && ++codec->line_bytes > HTTP_MAX_CHUNK_LINE_BYTES)
        reason = "chunk line too long";
      if (reason != NULL)
        return fail (codec, err, HTTP_ERROR_SYNTAX, reason);
      codec->previous_byte = c;
      done = c == '\n';
    }
  if (!run_parser (codec, bytes, size, i))
    return fail (codec, err, HTTP_ERROR_SYNTAX, "malformed chunk size");
  if (!done)
    return HTTP_EVENT_NEED_INPUT;
  codec->previous_byte = '\0';
  codec->line_bytes = 0;
  codec->section_bytes = 0;
  codec->section_lines = 0;
  codec->mode = codec->bytes_left > 0 ? HTTP_MODE_CHUNK_DATA : HTTP_MODE_TRAILER;
  return HTTP_EVENT_NEED_INPUT;
}

static http_event_type_t
next_body_data (http_codec_t *codec, const char **bytes, size_t *size, http_event_t *event,
                anv_error_t *err)
{
  size_t count = codec->mode == HTTP_MODE_UNTIL_CLOSE ? *size : MIN (codec->bytes_left, *size);
  const char *start = *bytes;
  if (!run_parser (codec, bytes, size, count))
    return fail (codec, err, HTTP_ERROR_SYNTAX, "malformed body");
  event->bytes = start;
  event->size = count;
  if (codec->mode == HTTP_MODE_UNTIL_CLOSE)
    return HTTP_EVENT_BODY;
  codec->bytes_left -= count;
  if (codec->bytes_left == 0)
    codec->mode = codec->mode == HTTP_MODE_LENGTH ? HTTP_MODE_COMPLETE : HTTP_MODE_CHUNK_END;
  return HTTP_EVENT_BODY;
}

static http_event_type_t
next_chunk_end (http_codec_t *codec, const char **bytes, size_t *size, anv_error_t *err)
{
  char expected = codec->previous_byte == '\r' ? '\n' : '\r';
  if (**bytes != expected)
    return fail (codec, err, HTTP_ERROR_SYNTAX, "chunk does not end with CRLF");
  codec->previous_byte = **bytes;
  if (!run_parser (codec, bytes, size, 1))
    return fail (codec, err, HTTP_ERROR_SYNTAX, "malformed chunk");
  if (codec->previous_byte == '\n')
    {
      codec->previous_byte = '\0';
      codec->mode = HTTP_MODE_CHUNK_LINE;
    }
  return HTTP_EVENT_NEED_INPUT;
}

static http_event_type_t
next_trailer (http_codec_t *codec, const char **bytes, size_t *size, anv_error_t *err)
{
  bool done = false;
  const char *reason = NULL;
  http_error_t code = HTTP_ERROR_SYNTAX;
  size_t used = scan_section (codec, *bytes, *size, &done, &reason, &code);
  /* The parser sees the bytes before a fault as well, and what it finds there counts: otherwise the
   * error would depend on how the input is divided. No bytes would mean the end of the input. */
  if (used > 0 && !run_parser (codec, bytes, size, used))
    return fail (codec, err, HTTP_ERROR_SYNTAX, "malformed trailer");
  if (reason != NULL)
    return fail (codec, err, code, reason);
  if (done && !codec->parser_complete)
    return fail (codec, err, HTTP_ERROR_SYNTAX, "malformed trailer");
  if (done)
    codec->mode = HTTP_MODE_COMPLETE;
  return HTTP_EVENT_NEED_INPUT;
}

static http_event_type_t
parse_next (http_codec_t *codec, const char **bytes, size_t *size, http_event_t *event,
            anv_error_t *err)
{
  switch (codec->mode)
    {
    case HTTP_MODE_HEAD:
      return next_head (codec, bytes, size, err);
    case HTTP_MODE_CHUNK_LINE:
      return next_chunk_line (codec, bytes, size, err);
    case HTTP_MODE_CHUNK_END:
      return next_chunk_end (codec, bytes, size, err);
    case HTTP_MODE_TRAILER:
      return next_trailer (codec, bytes, size, err);
    case HTTP_MODE_LENGTH:
    case HTTP_MODE_UNTIL_CLOSE:
    case HTTP_MODE_CHUNK_DATA:
      return next_body_data (codec, bytes, size, event, err);
    case HTTP_MODE_COMPLETE:
    case HTTP_MODE_FAILED:
      break;
    }
  return fail (codec, err, HTTP_ERROR_SYNTAX, "input after an error");
}

http_event_type_t
http_codec_next (http_codec_t *codec, const char **bytes, size_t *size, http_event_t *event,
                 anv_error_t *err)
{
  *event = (http_event_t){ .type = HTTP_EVENT_NEED_INPUT };
  while (event->type == HTTP_EVENT_NEED_INPUT)
    {
      if (codec->mode == HTTP_MODE_COMPLETE)
        {
          event->type = HTTP_EVENT_COMPLETE;
          break;
        }
      if (*size == 0)
        break;
      event->type = parse_next (codec, bytes, size, event, err);
    }
  return event->type;
}

http_event_type_t
http_codec_end_of_input (http_codec_t *codec, anv_error_t *err)
{
  if (codec->mode == HTTP_MODE_UNTIL_CLOSE)
    {
      codec->mode = HTTP_MODE_COMPLETE;
      return HTTP_EVENT_COMPLETE;
    }
  if (!http_codec_is_mid_message (codec))
    return HTTP_EVENT_NEED_INPUT;
  return fail (codec, err, HTTP_ERROR_TRUNCATED, "input ended inside a message");
}
