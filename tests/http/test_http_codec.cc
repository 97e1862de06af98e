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
struct outcome_t
{
  std::string events; /* H head, B body byte counts are in body, C complete, E error */
  std::string body;
  int code = 0;
  size_t unused = 0;
};

/* Feeds INPUT in pieces of STEP bytes and records the events of all messages in it. */
outcome_t
feed (http_codec_kind_t kind, const std::string &input, size_t step, bool to_head = false)
{
  http_codec_t codec;
  http_codec_init (&codec, kind);
  if (to_head)
    http_codec_expect_no_body (&codec);
  outcome_t outcome;
  anv_error_t err = {};
  for (size_t at = 0; at < input.size () && outcome.code == 0; at += step)
    {
      const char *bytes = input.data () + at;
      size_t size = std::min (step, input.size () - at);
      http_event_t event;
      while (http_codec_next (&codec, &bytes, &size, &event, &err) != HTTP_EVENT_NEED_INPUT)
        {
          if (event.type == HTTP_EVENT_HEAD)
            outcome.events += 'H';
          if (event.type == HTTP_EVENT_BODY)
            outcome.body.append (event.bytes, event.size);
          if (event.type == HTTP_EVENT_COMPLETE)
            {
              outcome.events += 'C';
              http_codec_reset (&codec);
            }
          if (event.type == HTTP_EVENT_ERROR)
            {
              outcome.events += 'E';
              outcome.code = err.code;
              break;
            }
        }
    }
  if (outcome.code == 0)
    {
      http_event_type_t end = http_codec_end_of_input (&codec, &err);
      if (end == HTTP_EVENT_COMPLETE)
        outcome.events += 'C';
      if (end == HTTP_EVENT_ERROR)
        {
          outcome.events += 'E';
          outcome.code = err.code;
        }
    }
  http_codec_destroy (&codec);
  return outcome;
}

struct hostile_t
{
  const char *name;
  std::string input;
  int code;
};

std::string
request (const std::string &fields, const std::string &body = "")
{
  return "POST /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body;
}

std::vector<hostile_t>
hostile_requests ()
{
  const std::string te = "Transfer-Encoding: chunked\r\n";
  return {
    { "length with coding", request ("Content-Length: 3\r\n" + te, "0\r\n\r\n"), 1 },
    { "coding with length", request (te + "Content-Length: 3\r\n", "0\r\n\r\n"), 1 },
    { "two lengths", request ("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), 1 },
    { "same length twice", request ("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"), 1 },
    { "length list", request ("Content-Length: 3, 3\r\n", "abc"), 1 },
    { "negative length", request ("Content-Length: -1\r\n"), 1 },
    { "signed length", request ("Content-Length: +3\r\n", "abc"), 1 },
    { "hexadecimal length", request ("Content-Length: 0x3\r\n", "abc"), 1 },
    { "empty length", request ("Content-Length:\r\n"), 1 },
    { "huge length", request ("Content-Length: 99999999999999999999\r\n"), 1 },
    { "two codings", request (te + te, "0\r\n\r\n"), 1 },
    { "coding list", request ("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 3 },
    { "unknown coding", request ("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"), 3 },
    { "coding with tab", request ("Transfer-Encoding: \vchunked\r\n", "0\r\n\r\n"), 1 },
    { "space before colon", request ("Content-Length : 3\r\n", "abc"), 1 },
    { "name not a token", request ("X(y: 1\r\n"), 1 },
    { "empty name", request (": 1\r\n"), 1 },
    { "no colon", request ("Xy\r\n"), 1 },
    { "bare line feed", "POST /a HTTP/1.1\nHost: h\n\n", 1 },
    { "bare line feed in field", request ("X: 1\nContent-Length: 3\r\n"), 1 },
    { "bare carriage return", request ("X: 1\rContent-Length: 3\r\n"), 1 },
    { "folded line", request ("X: 1\r\n 2\r\n"), 1 },
    { "folded first line", "POST /a HTTP/1.1\r\n Host: h\r\n\r\n", 1 },
    { "null in value", request (std::string ("X: a\0b\r\n", 8)), 1 },
    { "leading empty line", "\r\nPOST /a HTTP/1.1\r\nHost: h\r\n\r\n", 1 },
    { "no host", "GET / HTTP/1.1\r\n\r\n", 1 },
    { "two hosts", request ("Host: g\r\n"), 1 },
    { "host with path", "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", 1 },
    { "other authority", "GET http://x/ HTTP/1.1\r\nHost: h\r\n\r\n", 1 },
    { "space in target", "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", 1 },
    { "version 2.0", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", 4 },
    { "version 0.9", "GET /\r\n\r\n", 1 },
    { "unknown method", "FETCH / HTTP/1.1\r\nHost: h\r\n\r\n", 3 },
    { "connect", "CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n", 3 },
    { "too many fields", request ([] {
        std::string fields;
        for (int i = 0; i < 101; i++)
          fields += "X: 1\r\n";
        return fields;
      }()),
      2 },
    { "head too large", request ("X: " + std::string (33000, 'a') + "\r\n"), 2 },
    { "chunk size sign", request (te, "+1\r\na\r\n0\r\n\r\n"), 1 },
    { "chunk size prefix", request (te, "0x1\r\na\r\n0\r\n\r\n"), 1 },
    { "chunk size empty", request (te, "\r\na\r\n0\r\n\r\n"), 1 },
    { "chunk size overflow", request (te, "11111111111111111\r\na\r\n0\r\n\r\n"), 1 },
    { "chunk line feed", request (te, "1\na\r\n0\r\n\r\n"), 1 },
    { "chunk extension line feed", request (te, "1;a\n\r\na\r\n0\r\n\r\n"), 1 },
    { "chunk without end", request (te, "1\r\nab\r\n0\r\n\r\n"), 1 },
    { "chunk line too long", request (te, "1;" + std::string (2000, 'a') + "\r\n"), 1 },
    { "trailer folded", request (te, "0\r\nX: 1\r\n 2\r\n\r\n"), 1 },
    { "trailer too large", request (te, "0\r\nX: " + std::string (33000, 'a') + "\r\n\r\n"), 2 },
    { "truncated body", request ("Content-Length: 3\r\n", "ab"), 5 },
    { "truncated chunks", request (te, "1\r\na\r\n"), 5 },
    { "truncated head", "GET / HT", 5 },
  };
}
}

// Guards against request smuggling: input that two implementations frame differently is refused,
// however the bytes are divided.
TEST (HttpCodec, HostileRequestsAreRefused)
{
  for (const hostile_t &hostile : hostile_requests ())
    {
      size_t steps[] = { hostile.input.size (), 1, 7 };
      for (size_t step : steps)
        {
          outcome_t outcome = feed (HTTP_CODEC_REQUEST, hostile.input, step);
          EXPECT_EQ (outcome.code, hostile.code) << hostile.name << " step " << step;
          EXPECT_EQ (outcome.events.find ('C'), std::string::npos) << hostile.name;
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
  for (size_t step = 1; step <= input.size (); step++)
    {
      outcome_t outcome = feed (HTTP_CODEC_REQUEST, input, step);
      EXPECT_EQ (outcome.events, "HCHCHC") << step;
      EXPECT_EQ (outcome.body, "abc0123456789wxyz") << step;
    }
}

// Guards against input whose reading depends on its division, for input that nobody thought of.
TEST (HttpCodec, MutatedInputReadsAlikeInPieces)
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
      for (uint64_t edits = 1 + rng_below (&rng, 3); edits > 0; edits--)
        {
          size_t at = rng_below (&rng, input.size ());
          char c = alphabet[rng_below (&rng, alphabet.size ())];
          switch (rng_below (&rng, 3))
            {
            case 0:
              input[at] = c;
              break;
            case 1:
              input.insert (at, 1, c);
              break;
            default:
              input.erase (at, 1);
            }
        }
      outcome_t whole = feed (HTTP_CODEC_REQUEST, input, input.size ());
      outcome_t bytes = feed (HTTP_CODEC_REQUEST, input, 1);
      ASSERT_EQ (whole.events, bytes.events) << input;
      ASSERT_EQ (whole.code, bytes.code) << input;
      ASSERT_EQ (whole.body, bytes.body) << input;
      accepted += whole.code == 0;
    }
  EXPECT_GT (accepted, 0);
}

// Guards against a parser that stops at a request to change the protocol, which is not supported.
TEST (HttpCodec, UpgradeIsReadAsAnOrdinaryRequest)
{
  const std::string upgrade = "Host: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n";
  const std::string input = "GET /a HTTP/1.1\r\n" + upgrade + "\r\nPUT /b HTTP/1.1\r\n" + upgrade
                            + "Content-Length: 2\r\n\r\nab" + "PUT /b HTTP/1.1\r\n" + upgrade
                            + "Transfer-Encoding: chunked\r\n\r\n2\r\ncd\r\n0\r\n\r\n";
  for (size_t step = 1; step <= input.size (); step++)
    {
      outcome_t outcome = feed (HTTP_CODEC_REQUEST, input, step);
      EXPECT_EQ (outcome.events, "HCHCHC") << step;
      EXPECT_EQ (outcome.body, "abcd") << step;
    }
}

// Guards against a response whose end is misjudged, so that it is cut or takes bytes of the next.
TEST (HttpCodec, ResponseFraming)
{
  struct
  {
    const char *input;
    bool to_head;
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
    { "HTTP/1.1 99 Low\r\n\r\n", false, "E", "" },
    { "SSH-2.0-server\r\n\r\n", false, "E", "" },
  };
  for (const auto &item : cases)
    {
      size_t steps[] = { strlen (item.input), 1 };
      for (size_t step : steps)
        {
          outcome_t outcome = feed (HTTP_CODEC_RESPONSE, item.input, step, item.to_head);
          EXPECT_EQ (outcome.events, item.events) << item.input;
          EXPECT_EQ (outcome.body, item.body) << item.input;
        }
    }
}
