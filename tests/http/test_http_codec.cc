#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "http_codec.h"
#include "rng.h"
}

namespace
{
struct parse_result_t
{
  std::string events; /* H: head, C: complete, E: error */
  std::string body;   /* of all messages */
  int code = 0;       /* http_error_t; 0 without an error */
  size_t unused = 0;
};

/* Parses INPUT in pieces of PIECE_BYTES and returns the events of all messages in it. With
 * ANSWERS_HEAD, the first message is a response to HEAD. */
parse_result_t
parse_pieces (http_codec_kind_t kind, const std::string &input, size_t piece_bytes,
              bool answers_head = false)
{
  http_codec_t codec;
  http_codec_init (&codec, kind);
  if (answers_head)
    http_codec_expect_no_body (&codec);
  parse_result_t result;
  anv_error_t err = {};
  for (size_t position = 0; position < input.size () && result.code == 0; position += piece_bytes)
    {
      const char *bytes = input.data () + position;
      size_t size = std::min (piece_bytes, input.size () - position);
      http_event_t event;
      while (http_codec_next (&codec, &bytes, &size, &event, &err) != HTTP_EVENT_NEED_INPUT)
        {
          if (event.type == HTTP_EVENT_HEAD)
            result.events += 'H';
          if (event.type == HTTP_EVENT_BODY)
            result.body.append (event.bytes, event.size);
          if (event.type == HTTP_EVENT_COMPLETE)
            {
              result.events += 'C';
              http_codec_reset (&codec);
            }
          if (event.type == HTTP_EVENT_ERROR)
            {
              result.events += 'E';
              result.code = err.code;
              break;
            }
        }
    }
  if (result.code == 0)
    {
      http_event_type_t end = http_codec_end_of_input (&codec, &err);
      if (end == HTTP_EVENT_COMPLETE)
        result.events += 'C';
      if (end == HTTP_EVENT_ERROR)
        {
          result.events += 'E';
          result.code = err.code;
        }
    }
  http_codec_destroy (&codec);
  return result;
}

struct hostile_request_t
{
  const char *name;
  std::string input;
  int code; /* http_error_t */
};

std::string
build_request (const std::string &fields, const std::string &body = "")
{
  return "POST /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body;
}

std::vector<hostile_request_t>
hostile_requests ()
{
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  return {
    { "length with coding", build_request ("Content-Length: 3\r\n" + chunked, "0\r\n\r\n"), 1 },
    { "coding with length", build_request (chunked + "Content-Length: 3\r\n", "0\r\n\r\n"), 1 },
    { "two lengths", build_request ("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), 1 },
    { "same length twice", build_request ("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"), 1 },
    { "length list", build_request ("Content-Length: 3, 3\r\n", "abc"), 1 },
    { "negative length", build_request ("Content-Length: -1\r\n"), 1 },
    { "signed length", build_request ("Content-Length: +3\r\n", "abc"), 1 },
    { "hexadecimal length", build_request ("Content-Length: 0x3\r\n", "abc"), 1 },
    { "empty length", build_request ("Content-Length:\r\n"), 1 },
    { "huge length", build_request ("Content-Length: 99999999999999999999\r\n"), 1 },
    { "two codings", build_request (chunked + chunked, "0\r\n\r\n"), 1 },
    { "coding list", build_request ("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 3 },
    { "unknown coding", build_request ("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"), 3 },
    { "coding with vertical tab", build_request ("Transfer-Encoding: \vchunked\r\n", "0\r\n\r\n"),
      1 },
    { "space before colon", build_request ("Content-Length : 3\r\n", "abc"), 1 },
    { "name not a token", build_request ("X(y: 1\r\n"), 1 },
    { "empty name", build_request (": 1\r\n"), 1 },
    { "no colon", build_request ("Xy\r\n"), 1 },
    { "bare line feed", "POST /a HTTP/1.1\nHost: h\n\n", 1 },
    { "bare line feed in field", build_request ("X: 1\nContent-Length: 3\r\n"), 1 },
    { "bare carriage return", build_request ("X: 1\rContent-Length: 3\r\n"), 1 },
    { "folded line", build_request ("X: 1\r\n 2\r\n"), 1 },
    { "folded first line", "POST /a HTTP/1.1\r\n Host: h\r\n\r\n", 1 },
    { "NUL in value", build_request (std::string ("X: a\0b\r\n", 8)), 1 },
    { "leading empty line", "\r\nPOST /a HTTP/1.1\r\nHost: h\r\n\r\n", 1 },
    { "no host", "GET / HTTP/1.1\r\n\r\n", 1 },
    { "two hosts", build_request ("Host: g\r\n"), 1 },
    { "host with path", "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", 1 },
    { "other authority", "GET http://x/ HTTP/1.1\r\nHost: h\r\n\r\n", 1 },
    { "space in target", "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", 1 },
    { "version 2.0", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", 4 },
    { "version 0.9", "GET /\r\n\r\n", 1 },
    { "unknown method", "FETCH / HTTP/1.1\r\nHost: h\r\n\r\n", 3 },
    { "connect", "CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n", 3 },
    { "too many fields", build_request ([] {
        std::string fields;
        for (int i = 0; i < 101; i++)
          fields += "X: 1\r\n";
        return fields;
      }()),
      2 },
    { "head too large", build_request ("X: " + std::string (33000, 'a') + "\r\n"), 2 },
    { "chunk size sign", build_request (chunked, "+1\r\na\r\n0\r\n\r\n"), 1 },
    { "chunk size prefix", build_request (chunked, "0x1\r\na\r\n0\r\n\r\n"), 1 },
    { "chunk size empty", build_request (chunked, "\r\na\r\n0\r\n\r\n"), 1 },
    { "chunk size overflow", build_request (chunked, "11111111111111111\r\na\r\n0\r\n\r\n"), 1 },
    { "chunk line feed", build_request (chunked, "1\na\r\n0\r\n\r\n"), 1 },
    { "chunk extension line feed", build_request (chunked, "1;a\n\r\na\r\n0\r\n\r\n"), 1 },
    { "chunk without end", build_request (chunked, "1\r\nab\r\n0\r\n\r\n"), 1 },
    { "chunk line too long", build_request (chunked, "1;" + std::string (2000, 'a') + "\r\n"), 1 },
    { "trailer folded", build_request (chunked, "0\r\nX: 1\r\n 2\r\n\r\n"), 1 },
    { "trailer too large",
      build_request (chunked, "0\r\nX: " + std::string (33000, 'a') + "\r\n\r\n"), 2 },
    { "truncated body", build_request ("Content-Length: 3\r\n", "ab"), 5 },
    { "truncated chunks", build_request (chunked, "1\r\na\r\n"), 5 },
    { "truncated head", "GET / HT", 5 },
  };
}
}

// Guards against request smuggling: input that two implementations may frame differently is
// rejected, however it is divided into pieces.
TEST (HttpCodec, HostileRequestsAreRefused)
{
  for (const hostile_request_t &hostile : hostile_requests ())
    {
      size_t piece_sizes[] = { hostile.input.size (), 1, 7 };
      for (size_t piece_bytes : piece_sizes)
        {
          parse_result_t result = parse_pieces (HTTP_CODEC_REQUEST, hostile.input, piece_bytes);
          EXPECT_EQ (result.code, hostile.code) << hostile.name << " piece size " << piece_bytes;
          EXPECT_EQ (result.events.find ('C'), std::string::npos) << hostile.name;
        }
    }
}

// Guards against a parser state that depends on where the input is divided.
TEST (HttpCodec, AnyDivisionGivesTheSameMessages)
{
  const std::string input = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nX-T: 1\r\n\r\n"
                            "PUT /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nwxyz"
                            "GET http://h/c HTTP/1.1\r\nHost: h\r\n\r\n";
  for (size_t piece_bytes = 1; piece_bytes <= input.size (); piece_bytes++)
    {
      parse_result_t result = parse_pieces (HTTP_CODEC_REQUEST, input, piece_bytes);
      EXPECT_EQ (result.events, "HCHCHC") << piece_bytes;
      EXPECT_EQ (result.body, "abc0123456789wxyz") << piece_bytes;
    }
}

// Guards against a parser state that depends on where the input is divided, with randomly mutated
// requests (seed 7) that the fixed cases do not cover.
TEST (HttpCodec, MutatedInputGivesTheSameMessagesInPieces)
{
  const std::string valid = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nX-T: 1\r\n\r\n"
                            "PUT /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nwxyz";
  const std::string alphabet ("\r\n \t:;,0123aA\0\x7f\xff/-", 18);
  rng_t rng;
  rng_init (&rng, 7);
  int accepted = 0;
  for (int round = 0; round < 20000; round++)
    {
      std::string input = valid;
      for (uint64_t edits = 1 + rng_uniform_int (&rng, 3); edits > 0; edits--)
        {
          size_t position = rng_uniform_int (&rng, input.size ());
          char c = alphabet[rng_uniform_int (&rng, alphabet.size ())];
          switch (rng_uniform_int (&rng, 3))
            {
            case 0:
              input[position] = c;
              break;
            case 1:
              input.insert (position, 1, c);
              break;
            default:
              input.erase (position, 1);
            }
        }
      parse_result_t whole = parse_pieces (HTTP_CODEC_REQUEST, input, input.size ());
      parse_result_t bytes = parse_pieces (HTTP_CODEC_REQUEST, input, 1);
      ASSERT_EQ (whole.events, bytes.events) << input;
      ASSERT_EQ (whole.code, bytes.code) << input;
      ASSERT_EQ (whole.body, bytes.body) << input;
      accepted += whole.code == 0;
    }
  EXPECT_GT (accepted, 0);
}

// Guards against a status that depends on how the network divides a message: of two faults in a
// trailer, the first one counts.
TEST (HttpCodec, FirstFaultOfATrailerCountsInAnyDivision)
{
  std::string input = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
                      ": no name\r\n";
  for (int i = 0; i <= HTTP_MAX_FIELDS + 1; i++)
    input += "A: b\r\n";
  for (size_t piece_bytes : { (size_t)1, (size_t)7, input.size () })
    EXPECT_EQ (parse_pieces (HTTP_CODEC_REQUEST, input, piece_bytes).code, HTTP_ERROR_SYNTAX)
        << piece_bytes;
}

// Guards against a parser that stops at a request with Upgrade: upgrades are not supported, so it
// is an ordinary request.
TEST (HttpCodec, UpgradeIsReadAsAnOrdinaryRequest)
{
  const std::string upgrade = "Host: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n";
  const std::string input = "GET /a HTTP/1.1\r\n" + upgrade + "\r\nPUT /b HTTP/1.1\r\n" + upgrade
                            + "Content-Length: 2\r\n\r\nab" + "PUT /b HTTP/1.1\r\n" + upgrade
                            + "Transfer-Encoding: chunked\r\n\r\n2\r\ncd\r\n0\r\n\r\n";
  for (size_t piece_bytes = 1; piece_bytes <= input.size (); piece_bytes++)
    {
      parse_result_t result = parse_pieces (HTTP_CODEC_REQUEST, input, piece_bytes);
      EXPECT_EQ (result.events, "HCHCHC") << piece_bytes;
      EXPECT_EQ (result.body, "abcd") << piece_bytes;
    }
}

// Guards against a wrong end of a response, which is then truncated or contains bytes of the next.
TEST (HttpCodec, ResponseFraming)
{
  struct
  {
    const char *input;
    bool answers_head;
    const char *events;
    const char *body;
  } cases[] = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, "HC", "ok" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true, "HC", "" },
    { "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n", false, "HC", "" },
    { "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n", false, "HC", "" },
    { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, "HCHC",
      "" },
    { "HTTP/1.1 200 OK\r\n\r\nuntil close", false, "HC", "until close" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", false, "HC",
      "a" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n", false, "HE", "a" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", false, "HE", "ok" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk", false, "E", "" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false,
      "E", "" },
    { "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", false, "HC", "" },
    { "HTTP/1.1 599 High\r\nContent-Length: 0\r\n\r\n", false, "HC", "" },
    { "HTTP/1.1 600 High\r\nContent-Length: 0\r\n\r\n", false, "E", "" },
    { "HTTP/1.1 0200 OK\r\nContent-Length: 0\r\n\r\n", false, "E", "" },
    { "HTTP/1.1  200 OK\r\nContent-Length: 0\r\n\r\n", false, "E", "" },
    { "HTTP/1.1 200\tOK\r\nContent-Length: 0\r\n\r\n", false, "E", "" },
    { "HTTP/1.1 99 Low\r\n\r\n", false, "E", "" },
    { "SSH-2.0-server\r\n\r\n", false, "E", "" },
  };
  for (const auto &item : cases)
    {
      size_t piece_sizes[] = { strlen (item.input), 1 };
      for (size_t piece_bytes : piece_sizes)
        {
          parse_result_t result
              = parse_pieces (HTTP_CODEC_RESPONSE, item.input, piece_bytes, item.answers_head);
          EXPECT_EQ (result.events, item.events) << item.input;
          EXPECT_EQ (result.body, item.body) << item.input;
        }
    }
}
