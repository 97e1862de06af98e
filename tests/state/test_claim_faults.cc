#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

extern "C"
{
#include "claim_client.h"
#include "claim_store.h"
#include "rng.h"
}

// Several entries and one claims group in virtual time. The group is its state machine behind a
// lossy queue: what a majority has acknowledged is never lost, which the Raft tests show on their
// own. Messages are lost, delayed, duplicated and reordered; entries stall and crash; callers
// resend elsewhere.
namespace
{
constexpr int64_t MS = 1000;
constexpr int ENTRIES = 4;
constexpr int KEYS = 6;
constexpr int64_t ACTIVE_US = 20000 * MS;
constexpr int64_t END_US = 300000 * MS;

struct world_t;

struct entry_t
{
  claim_client_io_t io;
  world_t *world;
  int number;
  int generation; // replies to an earlier generation do not reach a restarted process
  int64_t stalled_until_us;
  bool crash; // set in a callback, carried out by the loop
  claim_client_t client;
};

struct attempt_t
{
  world_t *world;
  int entry;
  int key;
  bool open;
  uint8_t nonce[CLAIM_NONCE_SIZE];
};

struct message_event_t
{
  int64_t at_us;
  uint64_t order;
  bool to_group;
  int entry;
  int generation;
  std::vector<uint8_t> bytes;
  bool
  operator<(const message_event_t &other) const
  {
    return at_us != other.at_us ? at_us > other.at_us : order > other.order;
  }
};

struct world_t
{
  rng_t rng;
  int64_t now_us = 0;
  uint64_t order = 0;
  claim_store_t store;
  entry_t entries[ENTRIES];
  std::priority_queue<message_event_t> queue;
  std::vector<std::unique_ptr<attempt_t> > attempts;
  std::map<int, int> dispatches; // per key
  std::map<int, int> answered;   // per key: recorded answers that callers received
  std::map<int, bool> crashed;   // per key: an entry crashed while it worked on the key
  bool faults = true;
  bool forget_state = false; // planted violation: the group loses acknowledged state once
  std::string violation;
};

bool
chance (world_t *w, double share)
{
  return rng_unit (&w->rng) < share;
}

void
post (world_t *w, bool to_group, int entry, const uint8_t *data, size_t size)
{
  int copies = 1;
  if (w->faults && chance (w, 0.25))
    copies = chance (w, 0.7) ? 0 : 2;
  for (int i = 0; i < copies; i++)
    {
      message_event_t event;
      int64_t delay = 1 * MS + (int64_t)rng_below (&w->rng, 20 * MS);
      if (w->faults && chance (w, 0.05))
        delay += (int64_t)rng_below (&w->rng, 5000 * MS);
      event.at_us = w->now_us + delay;
      event.order = w->order++;
      event.to_group = to_group;
      event.entry = entry;
      event.generation = w->entries[entry].generation;
      event.bytes.assign (data, data + size);
      w->queue.push (event);
    }
}

void
send_member (claim_client_io_t *io, const char *address, const uint8_t *data, size_t size)
{
  entry_t *entry = (entry_t *)io;
  post (entry->world, true, entry->number, data, size);
}

void
send_relay (claim_client_io_t *io, size_t relay, const uint8_t *data, size_t size)
{
  send_member (io, "", data, size);
}

size_t
relay_count (claim_client_io_t *io)
{
  return 1;
}

const claim_client_io_ops_t io_ops = { send_member, send_relay, relay_count };

void
start_entry (world_t *w, int number)
{
  static const char *const members[] = { "a", "b", "c", nullptr };
  entry_t *entry = &w->entries[number];
  claim_client_options_t options = {};
  options.members = members;
  options.reply_timeout_us = 100 * MS;
  options.grant_validity_us = 2000 * MS;
  options.max_retry_interval_us = 5000 * MS;
  options.max_background_calls = 1000;
  options.retention_ms = 3600 * 1000;
  options.io = &entry->io;
  entry->io.ops = &io_ops;
  entry->world = w;
  entry->number = number;
  claim_client_init (&entry->client, &options);
}

std::vector<uint8_t>
key_bytes (int key)
{
  return std::vector<uint8_t> (CLAIM_KEY_SIZE, (uint8_t)(key + 1));
}

void
on_claim (void *data, const claim_result_t *result)
{
  attempt_t *attempt = (attempt_t *)data;
  world_t *w = attempt->world;
  entry_t *entry = &w->entries[attempt->entry];
  std::vector<uint8_t> key = key_bytes (attempt->key);

  attempt->open = false;
  if (result->type == CLAIM_RESULT_COMPLETED)
    w->answered[attempt->key]++;
  if (result->type != CLAIM_RESULT_GRANTED)
    return;
  // The caller went away in the meantime: no byte was sent, so the right goes back.
  if (w->faults && chance (w, 0.1))
    {
      claim_client_release (&entry->client, w->now_us, key.data (), attempt->nonce);
      return;
    }
  bool crash_before = w->faults && chance (w, 0.05);
  bool crash_after = w->faults && chance (w, 0.05);
  if (crash_before || crash_after)
    {
      entry->crash = true;
      w->crashed[attempt->key] = true;
    }
  if (crash_before)
    return;
  if (++w->dispatches[attempt->key] > 1)
    w->violation = "key " + std::to_string (attempt->key) + " dispatched twice";
  if (crash_after)
    return;
  claim_client_record_outcome (&entry->client, w->now_us, key.data (), attempt->nonce, 201, nullptr,
                               nullptr, nullptr, nullptr);
}

void
send_request (world_t *w, int key)
{
  auto attempt = std::make_unique<attempt_t> ();
  int number = (int)rng_below (&w->rng, ENTRIES);
  entry_t *entry = &w->entries[number];
  if (entry->stalled_until_us > w->now_us)
    return;
  attempt->world = w;
  attempt->entry = number;
  attempt->key = key;
  attempt->open = true;
  for (uint8_t &byte : attempt->nonce)
    byte = (uint8_t)rng_next (&w->rng);
  attempt_t *raw = attempt.get ();
  w->attempts.push_back (std::move (attempt));
  uint8_t digest[CLAIM_DIGEST_SIZE] = { 9 };
  claim_client_request_grant (&entry->client, w->now_us, key_bytes (key).data (), raw->nonce,
                              digest, w->now_us + 1500 * MS, 3000, on_claim, raw);
}

void
crash_entry (world_t *w, int number)
{
  entry_t *entry = &w->entries[number];
  for (auto &attempt : w->attempts)
    {
      if (attempt->entry == number && attempt->open)
        w->crashed[attempt->key] = true;
      attempt->open = attempt->open && attempt->entry != number;
    }
  // Calls in the background die with the process too: a release or an outcome may be lost.
  LIST_FOREACH (&entry->client.calls, node)
  {
    for (int key = 0; key < KEYS; key++)
      w->crashed[key] = true;
  }
  claim_client_destroy (&entry->client);
  entry->generation++;
  entry->crash = false;
  start_entry (w, number);
}

void
deliver_to_group (world_t *w, const message_event_t &event)
{
  wire_reader_t reader;
  wire_type_t type;
  uint64_t id = 0;
  uint32_t relays = 0;
  claim_command_t command;
  claim_result_t result;
  wire_writer_t writer;

  ASSERT_TRUE (
      wire_reader_init (&reader, event.bytes.data (), event.bytes.size (), &type, nullptr));
  ASSERT_TRUE (claim_request_decode (&reader, &id, &relays, &command, nullptr));
  wire_reader_destroy (&reader);
  if (w->faults && chance (w, 0.1))
    {
      result = {};
      result.type = chance (w, 0.5) ? CLAIM_RESULT_NOT_LEADER : CLAIM_RESULT_UNAVAILABLE;
    }
  else
    {
      command.advance_ms = 5;
      claim_store_apply (&w->store, &command, &result);
    }
  claim_reply_encode (&writer, id, &result);
  // A reply belongs to the process that asked, so it carries the generation of the request.
  if (event.generation == w->entries[event.entry].generation)
    post (w, false, event.entry, (const uint8_t *)writer.buffer.data, writer.buffer.size);
  wire_writer_destroy (&writer);
  claim_result_clear (&result);
  claim_command_clear (&command);
}

void
deliver_to_entry (world_t *w, const message_event_t &event)
{
  entry_t *entry = &w->entries[event.entry];
  wire_reader_t reader;
  wire_type_t type;
  uint64_t id = 0;
  claim_result_t result;

  if (event.generation != entry->generation)
    return;
  if (entry->stalled_until_us > w->now_us)
    {
      message_event_t later = event;
      later.at_us = entry->stalled_until_us;
      later.order = w->order++;
      w->queue.push (later);
      return;
    }
  ASSERT_TRUE (
      wire_reader_init (&reader, event.bytes.data (), event.bytes.size (), &type, nullptr));
  ASSERT_TRUE (claim_reply_decode (&reader, &id, &result, nullptr));
  wire_reader_destroy (&reader);
  claim_client_handle_reply (&entry->client, w->now_us, id, &result);
  claim_result_clear (&result);
}

void
inject_faults (world_t *w)
{
  if (chance (w, 0.002))
    w->entries[rng_below (&w->rng, ENTRIES)].stalled_until_us
        = w->now_us + (int64_t)rng_below (&w->rng, 60000 * MS);
  if (chance (w, 0.001))
    w->entries[rng_below (&w->rng, ENTRIES)].crash = true;
  if (w->forget_state && w->now_us > ACTIVE_US / 2)
    {
      w->forget_state = false;
      claim_store_destroy (&w->store);
      claim_store_init (&w->store);
    }
}

void
step (world_t *w)
{
  const int64_t step_us = 10 * MS;
  w->faults = w->now_us < ACTIVE_US;
  if (w->faults)
    inject_faults (w);
  for (int key = 0; key < KEYS; key++)
    {
      if (w->answered[key] == 0 && chance (w, w->faults ? 0.02 : 0.003))
        send_request (w, key);
    }
  while (!w->queue.empty () && w->queue.top ().at_us <= w->now_us)
    {
      message_event_t event = w->queue.top ();
      w->queue.pop ();
      if (event.to_group)
        deliver_to_group (w, event);
      else
        deliver_to_entry (w, event);
    }
  for (int i = 0; i < ENTRIES; i++)
    {
      if (w->entries[i].stalled_until_us <= w->now_us)
        claim_client_tick (&w->entries[i].client, w->now_us);
      if (w->entries[i].crash)
        crash_entry (w, i);
    }
  w->now_us += step_us;
}

// A booking that no crash touched must end with its answer once the faults are over.
void
check_no_lost_booking (world_t *w)
{
  for (int key = 0; key < KEYS; key++)
    {
      if (w->answered[key] == 0 && !w->crashed[key])
        w->violation = "key " + std::to_string (key) + " never got its answer";
    }
}

struct outcome_t
{
  std::string violation;
  int dispatches;
  int answered;
};

outcome_t
run (uint64_t seed, bool forget_state)
{
  auto w = std::make_unique<world_t> ();
  rng_init (&w->rng, seed);
  w->forget_state = forget_state;
  claim_store_init (&w->store);
  for (int i = 0; i < ENTRIES; i++)
    start_entry (w.get (), i);
  while (w->now_us < END_US && w->violation.empty ())
    step (w.get ());
  if (w->violation.empty ())
    check_no_lost_booking (w.get ());
  for (entry_t &entry : w->entries)
    claim_client_destroy (&entry.client);
  claim_store_destroy (&w->store);
  outcome_t outcome = { w->violation, 0, 0 };
  for (int key = 0; key < KEYS; key++)
    {
      outcome.dispatches += w->dispatches[key];
      outcome.answered += w->answered[key] > 0;
    }
  return outcome;
}

int
seed_count (int fallback)
{
  const char *text = getenv ("ANVILLB_TEST_SEEDS");
  return text != nullptr ? atoi (text) : fallback;
}
}

// Guards against a request that is not idempotent and runs twice, and against one that is blocked
// for good although nobody ran it. ANVILLB_TEST_SEEDS sets the number of seeds.
TEST (ClaimFaults, AtMostOnceAndNotLost)
{
  int dispatches = 0;
  int answered = 0;
  for (int seed = 1; seed <= seed_count (2000); seed++)
    {
      outcome_t outcome = run ((uint64_t)seed, false);
      ASSERT_EQ (outcome.violation, "") << "seed " << seed;
      dispatches += outcome.dispatches;
      answered += outcome.answered;
    }
  printf ("dispatches %d answered %d\n", dispatches, answered);
  EXPECT_GT (answered, 0);
}

// Guards against a checker that cannot fail: a group that loses acknowledged claims must be found
// out.
TEST (ClaimFaults, CheckerFindsLostState)
{
  int found = 0;
  for (int seed = 1; seed <= 20; seed++)
    found += run ((uint64_t)seed, true).violation.find ("dispatched twice") != std::string::npos;
  EXPECT_GT (found, 0);
}
