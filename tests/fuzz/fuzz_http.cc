/* Messages of callers and targets. Input: a byte of flags, a byte that sets the size of the pieces,
 * and what the peer sends until it closes. */

#include "fuzz.h"
extern "C"
{
#include "http_codec.h"
}

namespace
{
struct flags_t
{
  http_codec_kind_t kind;
  bool answers_head;
};

void
append_head (std::string *trace, const http_head_t *head)
{
  *trace += "HEAD ";
  *trace += head->method != nullptr ? head->method : "-";
  *trace += " ";
  *trace += head->request_target != nullptr ? head->request_target : "-";
  *trace += " " + std::to_string (head->status) + " " + std::to_string (head->version_minor)
            + (head->keep_alive ? " keep" : " close") + (head->chunked ? " chunked " : " plain ")
            + std::to_string (head->content_length) + (head->has_body ? " body" : " empty");
  for (size_t i = 0; i < http_headers_length (&head->headers); i++)
    *trace += std::string ("\n") + http_headers_name (&head->headers, i) + "="
              + http_headers_value (&head->headers, i);
  *trace += "\n";
}

/* Returns what the codec reports for INPUT that arrives in pieces of PIECE_BYTES. Bodies are
 * joined, because their pieces may differ. */
std::string
parse (flags_t flags, const std::string &input, size_t piece_bytes)
{
  std::string trace;
  http_codec_t codec;
  anv_error_t err = {};
  http_codec_init (&codec, flags.kind);
  if (flags.answers_head)
    http_codec_expect_no_body (&codec);
  bool failed = false;
  for (size_t position = 0; position < input.size () && !failed; position += piece_bytes)
    {
      std::string piece = input.substr (position, piece_bytes);
      const char *bytes = piece.data ();
      size_t size = piece.size ();
      http_event_t event;
      while (!failed
             && http_codec_next (&codec, &bytes, &size, &event, &err) != HTTP_EVENT_NEED_INPUT)
        {
          if (event.type == HTTP_EVENT_HEAD)
            append_head (&trace, &codec.head);
          else if (event.type == HTTP_EVENT_BODY)
            trace.append (event.bytes, event.size);
          else if (event.type == HTTP_EVENT_COMPLETE)
            {
              trace += "\nCOMPLETE\n";
              http_codec_reset (&codec);
            }
          else
            failed = true;
        }
      FUZZ_CHECK (failed || size == 0);
      FUZZ_CHECK (codec.head_buffer == nullptr || codec.head_buffer->len <= HTTP_MAX_HEAD_BYTES);
    }
  if (!failed)
    {
      http_event_type_t end = http_codec_end_of_input (&codec, &err);
      trace += end == HTTP_EVENT_COMPLETE ? "\nCOMPLETE at the end\n" : "";
      failed = end == HTTP_EVENT_ERROR;
    }
  if (failed)
    trace += "\nERROR " + std::to_string (err.code) + "\n";
  http_codec_destroy (&codec);
  return trace;
}
}

std::vector<std::string>
fuzz_seeds ()
{
  const std::string request ("\0\3", 2);
  const std::string response ("\1\3", 2);
  const std::string response_to_head ("\3\1", 2);
  return {
    request + "GET /sheets/1?x=%2F HTTP/1.1\r\nHost: crew.example\r\nAccept: */*\r\n\r\n",
    request
        + "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\nhello",
    request
        + "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
          "chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nT: "
          "v\r\n\r\nGET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    response + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 204 No Content\r\n\r\n",
    response
        + "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the end",
    response + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n",
    response_to_head + "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\nHTTP/1.1 304 N\r\n\r\n",
  };
}

extern "C" int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size < 2)
    return 0;
  flags_t flags = { data[0] & 1 ? HTTP_CODEC_RESPONSE : HTTP_CODEC_REQUEST, (data[0] & 2) != 0 };
  flags.answers_head = flags.answers_head && flags.kind == HTTP_CODEC_RESPONSE;
  std::string input ((const char *)data + 2, size - 2);
  std::string whole = parse (flags, input, MAX (input.size (), 1));
  FUZZ_CHECK (whole == parse (flags, input, 1));
  FUZZ_CHECK (whole == parse (flags, input, 1 + data[1]));
  return 0;
}
