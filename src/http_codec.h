#pragma once

#include <http_parser.h>
#include <stdint.h>

#include "anv_error.h"
#include "http_headers.h"

/* http_codec - strict incremental HTTP/1.1 parser on top of http_parser.
 *
 * Rejects messages that implementations interpret differently, which request smuggling relies on:
 * bare LF, bare CR, folded lines, control characters, field names that are not tokens, repeated
 * Host, Content-Length or Transfer-Encoding, Content-Length together with Transfer-Encoding, and
 * transfer codings other than chunked. The head is buffered until it is complete, up to
 * HTTP_MAX_HEAD_BYTES. The body is returned as it arrives. Trailer fields are checked and dropped.
 */

#define HTTP_MAX_HEAD_BYTES (32 * 1024)
#define HTTP_MAX_FIELDS 100
/* Maximum length of a chunk-size line, including its extensions. */
#define HTTP_MAX_CHUNK_LINE_BYTES 1024

/* Why a message was rejected, with the status of the response if it was a request; also the error
 * of a socket. */
typedef enum
{
  HTTP_ERROR_SYNTAX = 1,  /* status 400 */
  HTTP_ERROR_TOO_LARGE,   /* head or trailer too large; status 431 */
  HTTP_ERROR_UNSUPPORTED, /* method or transfer coding; status 501 */
  HTTP_ERROR_VERSION,     /* HTTP version; status 505 */
  HTTP_ERROR_TRUNCATED,   /* the input ended inside a message */
  HTTP_ERROR_SOCKET,      /* connecting, writing or listening failed, or the peer closed */
} http_error_t;

typedef enum
{
  HTTP_CODEC_REQUEST,
  HTTP_CODEC_RESPONSE,
} http_codec_kind_t;

typedef struct
{
  const char *method;   /* static string; NULL in a response */
  char *request_target; /* path and query; NULL in a response */
  int status;           /* 0 in a request */
  int version_minor;    /* minor HTTP version: 0 or 1 */
  http_headers_t headers;
  bool keep_alive;        /* the connection may carry another message after this one */
  bool chunked;           /* the body uses the chunked transfer coding */
  int64_t content_length; /* bytes; -1 if the field is absent */
  bool has_body;
} http_head_t;

typedef enum
{
  HTTP_EVENT_NEED_INPUT, /* all input has been consumed */
  HTTP_EVENT_HEAD,       /* codec->head is complete */
  HTTP_EVENT_BODY,       /* part of the body; points into the input */
  HTTP_EVENT_COMPLETE,   /* end of the message; the rest of the input belongs to the next one */
  HTTP_EVENT_ERROR,
} http_event_type_t;

typedef struct
{
  http_event_type_t type;
  const char *bytes; /* only for HTTP_EVENT_BODY */
  size_t size;       /* number of bytes */
} http_event_t;

/* The part of the message that is parsed next. */
typedef enum
{
  HTTP_MODE_HEAD,
  HTTP_MODE_LENGTH,      /* body with Content-Length */
  HTTP_MODE_UNTIL_CLOSE, /* body that ends with the input */
  HTTP_MODE_CHUNK_LINE,  /* chunk size and extensions */
  HTTP_MODE_CHUNK_DATA,
  HTTP_MODE_CHUNK_END, /* CRLF after the data of a chunk */
  HTTP_MODE_TRAILER,
  HTTP_MODE_COMPLETE,
  HTTP_MODE_FAILED,
} http_codec_mode_t;

typedef struct
{
  http_codec_kind_t kind;
  http_codec_mode_t mode;
  http_parser parser;
  http_head_t head;
  bool expects_no_body; /* the response answers HEAD: no body, whatever its header fields say */
  GString *head_buffer; /* incomplete head; NULL if no byte is buffered */
  char previous_byte;   /* last byte of the current line; '\0' at its start */
  size_t line_bytes;    /* bytes of the current line that were scanned */
  size_t section_bytes; /* bytes of the head or trailer that were scanned */
  size_t section_lines; /* complete lines of the head or trailer */
  uint64_t bytes_left;  /* unread bytes of the body or of the current chunk */
  const char *body;
  size_t body_size;
  bool parser_complete;   /* http_parser has reported the end of the message */
  const char *field_name; /* last field name that http_parser reported; points into the head */
  size_t field_name_size;
} http_codec_t;

void http_codec_init (http_codec_t *codec, http_codec_kind_t kind);
void http_codec_destroy (http_codec_t *codec);

/* Frees the head and prepares the codec for the next message. */
void http_codec_reset (http_codec_t *codec);

/* Tells a response codec that the next response answers a HEAD request and has no body. */
void http_codec_expect_no_body (http_codec_t *codec);

/* Returns whether the codec has consumed any byte of the current message. */
bool http_codec_is_mid_message (const http_codec_t *codec);

/* Consumes input from *BYTES, advances *BYTES and reduces *SIZE accordingly. Stores the next event
 * in EVENT and returns its type. Call http_codec_reset() after HTTP_EVENT_COMPLETE. At
 * HTTP_EVENT_ERROR, ERR is set to ANV_ERROR_HTTP with an http_error_t as code. */
http_event_type_t http_codec_next (http_codec_t *codec, const char **bytes, size_t *size,
                                   http_event_t *event, anv_error_t *err);

/* Reports the end of the input. Returns HTTP_EVENT_COMPLETE if the end of the input delimits the
 * body, HTTP_EVENT_NEED_INPUT between two messages, and HTTP_EVENT_ERROR inside a message. */
http_event_type_t http_codec_end_of_input (http_codec_t *codec, anv_error_t *err);
