#pragma once

#include <http_parser.h>
#include <stdint.h>

#include "anv_error.h"
#include "http_headers.h"

/* http_codec - strict HTTP/1.1 parser over http_parser: bytes in, events out.
 *
 * Rejects what different implementations read differently: bare LF, bare CR, folded lines, control
 * characters, names that are not tokens, repeated Host, Content-Length or Transfer-Encoding,
 * Content-Length together with Transfer-Encoding, and transfer codings other than chunked. The head
 * is kept until it is complete, at most HTTP_MAX_HEAD_BYTES; the body is passed on as it comes.
 * Trailer fields are checked and dropped. */

#define HTTP_MAX_HEAD_BYTES (32 * 1024)
#define HTTP_MAX_FIELDS 100
/* Longest chunk-size line with its extensions. */
#define HTTP_MAX_CHUNK_LINE_BYTES 1024

typedef enum
{
  HTTP_ERROR_SYNTAX = 1,  /* answer 400 */
  HTTP_ERROR_TOO_LARGE,   /* head too large; answer 431 */
  HTTP_ERROR_UNSUPPORTED, /* method or coding; answer 501 */
  HTTP_ERROR_VERSION,     /* answer 505 */
  HTTP_ERROR_TRUNCATED,   /* input ended inside a message */
  HTTP_ERROR_SOCKET,      /* the connection failed */
} http_error_t;

typedef enum
{
  HTTP_CODEC_REQUEST,
  HTTP_CODEC_RESPONSE,
} http_codec_kind_t;

typedef struct
{
  const char *method; /* static; NULL in a response */
  char *target;       /* path with query; NULL in a response */
  int status;         /* 0 in a request */
  int version_minor;  /* 0 or 1 */
  http_headers_t headers;
  bool keep_alive;        /* the connection can carry another message after this one */
  bool chunked;           /* the body has a chunked coding */
  int64_t content_length; /* -1 if not given */
  bool has_body;
} http_head_t;

typedef enum
{
  HTTP_EVENT_NEED_INPUT, /* all input is consumed */
  HTTP_EVENT_HEAD,       /* codec->head is complete */
  HTTP_EVENT_BODY,       /* part of the body, within the input */
  HTTP_EVENT_COMPLETE,   /* end of the message; the rest of the input belongs to the next one */
  HTTP_EVENT_ERROR,
} http_event_type_t;

typedef struct
{
  http_event_type_t type;
  const char *bytes; /* of HTTP_EVENT_BODY */
  size_t size;
} http_event_t;

typedef enum
{
  HTTP_MODE_HEAD,
  HTTP_MODE_LENGTH,
  HTTP_MODE_UNTIL_CLOSE,
  HTTP_MODE_CHUNK_LINE,
  HTTP_MODE_CHUNK_DATA,
  HTTP_MODE_CHUNK_END,
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
  bool response_to_head; /* the response has no body whatever its fields say */
  GString *partial;      /* bytes of an incomplete head; NULL if there are none */
  char previous;         /* last byte of the current line */
  size_t line_bytes;     /* bytes of the current line so far */
  size_t section_bytes;  /* bytes of the head or the trailer so far */
  size_t section_lines;
  uint64_t left; /* bytes left of the body or of the chunk */
  const char *body;
  size_t body_size;
  bool parser_complete; /* the parser reported the end of the message */
  const char *field_name;
  size_t field_name_size;
} http_codec_t;

void http_codec_init (http_codec_t *codec, http_codec_kind_t kind);
void http_codec_destroy (http_codec_t *codec);

/* Prepares for the next message and frees the head. */
void http_codec_reset (http_codec_t *codec);

/* Tells a response codec that the next response answers a HEAD request. */
void http_codec_expect_no_body (http_codec_t *codec);

/* Returns whether the codec has consumed a part of a message. */
bool http_codec_is_inside (const http_codec_t *codec);

/* Consumes input from *BYTES, moves *BYTES and *SIZE forward and returns the next event. After
 * HTTP_EVENT_COMPLETE call http_codec_reset(). Fails with ANV_ERROR_HTTP and an http_error_t. */
http_event_type_t http_codec_next (http_codec_t *codec, const char **bytes, size_t *size,
                                   http_event_t *event, anv_error_t *err);

/* Tells the codec that the input has ended. Returns HTTP_EVENT_COMPLETE if that ends a body,
 * HTTP_EVENT_NEED_INPUT between two messages and HTTP_EVENT_ERROR inside one. */
http_event_type_t http_codec_end_of_input (http_codec_t *codec, anv_error_t *err);
