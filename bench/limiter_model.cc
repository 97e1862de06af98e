// Memory and traffic of the limiter. Usage: limiter_model
//
// Prints the bytes of state per team, and the bytes per second that one assigned entry sends for
// one service with 12 assigned entries, by number of active teams. Requests are spread evenly over
// the teams and entries; all messages arrive 20 ms later. Fixed seed.

#include <malloc.h>

#include <cstdio>
#include <map>
#include <string>
#include <vector>

extern "C"
{
#include "frame.h"
#include "limiter.h"
#include "limiter_wire.h"
#include "rng.h"
}

static const int64_t MS = 1000;
static const int64_t SECOND = 1000000;
static const int ENTRY_COUNT = 12;

static limiter_limit_t
get_limit (void *, uint64_t)
{
  return { 50, 100 };
}

static void
measure_state (size_t teams)
{
  limiter_t limiter;
  limiter_options_t options = { get_limit, nullptr, 1000000, 100, 1 };
  limiter_init (&limiter, &options);
  int64_t retry_us = 0;
  size_t before = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
  for (size_t i = 0; i < teams; i++)
    limiter_admit (&limiter, SECOND, limiter_team_id (std::to_string (i).c_str ()), &retry_us);
  size_t used_bytes = mallinfo2 ().uordblks + mallinfo2 ().hblkhd - before;
  printf ("state teams=%zu bytes_per_team=%.0f total=%.1f MB\n", teams,
          (double)used_bytes / (double)teams, (double)used_bytes / 1e6);
  limiter_destroy (&limiter);
}

struct packet_t
{
  size_t from;
  size_t to;
  std::string bytes;
};

static void
deliver (std::vector<limiter_t> &limiters, int64_t now_us, const packet_t &packet)
{
  wire_reader_t reader;
  wire_type_t type;
  char *service = nullptr;
  limiter_message_t message;
  wire_reader_init (&reader, (const uint8_t *)packet.bytes.data (), packet.bytes.size (), &type,
                    nullptr);
  limiter_wire_decode (&reader, &service, &message, nullptr);
  limiter_receive (&limiters[packet.to], now_us, std::to_string (packet.from).c_str (), &message);
  limiter_wire_clear (&service, &message);
  wire_reader_destroy (&reader);
}

static void
measure_exchange (size_t teams, double requests_per_second, size_t max_reported)
{
  std::vector<limiter_t> limiters (ENTRY_COUNT);
  std::multimap<int64_t, packet_t> packets;
  rng_t rng;
  uint64_t bytes = 0;
  uint64_t messages = 0;
  rng_init (&rng, 1);
  for (size_t i = 0; i < limiters.size (); i++)
    {
      limiter_options_t options = { get_limit, nullptr, 1000000, max_reported, 1 };
      limiter_init (&limiters[i], &options);
      std::vector<std::string> entry_names;
      std::vector<const char *> peer_ids;
      for (size_t j = 0; j < limiters.size (); j++)
        entry_names.push_back (std::to_string (j));
      for (size_t j = 0; j < limiters.size (); j++)
        if (j != i)
          peer_ids.push_back (entry_names[j].c_str ());
      limiter_set_peers (&limiters[i], 0, peer_ids.data (), peer_ids.size ());
    }
  // The first minutes are left out: teams are evicted only after LIMITER_IDLE_TIMEOUT_US.
  const int64_t measure_start_us = 2 * LIMITER_IDLE_TIMEOUT_US;
  const int64_t end_us = measure_start_us + 60 * SECOND;
  double due_requests = 0;
  for (int64_t now_us = 0; now_us < end_us; now_us += 5 * MS)
    {
      for (due_requests += requests_per_second * 0.005; due_requests >= 1; due_requests -= 1)
        {
          int64_t retry_us = 0;
          uint64_t team = 1 + rng_uniform_int (&rng, teams);
          limiter_admit (&limiters[rng_uniform_int (&rng, ENTRY_COUNT)], now_us, team, &retry_us);
        }
      for (auto it = packets.begin (); it != packets.end () && it->first <= now_us;
           it = packets.erase (it))
        deliver (limiters, now_us, it->second);
      for (size_t i = 0; i < limiters.size (); i++)
        {
          for (size_t j = 0; j < limiters.size () && now_us % (500 * MS) == 0; j++)
            limiter_record_contact (&limiters[i], now_us, std::to_string (j).c_str ());
          if (!limiter_tick (&limiters[i], now_us + (int64_t)i * 20 * MS))
            continue;
          for (size_t peer_index = 0; peer_index + 1 < limiters.size (); peer_index++)
            {
              limiter_message_t message;
              if (!limiter_build_message (&limiters[i], now_us, peer_index, &message))
                continue;
              wire_writer_t writer;
              limiter_wire_encode (&message, "service-1234", &writer);
              messages += now_us >= measure_start_us ? 1 : 0;
              bytes += now_us >= measure_start_us ? writer.buffer.size + FRAME_HEADER_SIZE : 0;
              packets.insert ({ now_us + 20 * MS,
                                { i, peer_index < i ? peer_index : peer_index + 1,
                                  std::string (writer.buffer.data, writer.buffer.size) } });
              wire_writer_destroy (&writer);
            }
        }
    }
  printf ("exchange entries=%d teams=%zu requests/s=%.0f max_reported=%zu "
          "bytes/s_per_entry=%.0f messages/s_per_entry=%.2f\n",
          ENTRY_COUNT, teams, requests_per_second, max_reported, (double)bytes / 60 / ENTRY_COUNT,
          (double)messages / 60 / ENTRY_COUNT);
  for (limiter_t &limiter : limiters)
    limiter_destroy (&limiter);
}

int
main ()
{
  for (size_t teams : { 1000, 10000, 100000, 440000 })
    measure_state (teams);
  for (size_t teams : { 1, 20, 200, 2000, 20000 })
    measure_exchange (teams, 545, 20);
  for (size_t max_reported : { 10, 20, 100 })
    measure_exchange (200, 20000, max_reported);
  return 0;
}
